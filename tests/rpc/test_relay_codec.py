"""Tests that relayed requests and their results survive conversion."""

import pytest

from carawaylane.messages.exchange import OutgoingRequest
from carawaylane.messages.outcomes import Backpressure, InvalidNumber
from carawaylane.rpc.relay_codec import (
    pack_relay_reply,
    pack_relay_request,
    unpack_relay_reply,
    unpack_relayed_request,
)
from carawaylane.services.targets import (
    BrokenExchange,
    CompleteAnswer,
    NeverSent,
    RefusedByTarget,
)

# Header values may contain bytes that are not valid text.
HEADERS = (('A', 'b'), ('X-Raw', 'caf\udce9'))


def test_a_relayed_request_is_unchanged():
    request = OutgoingRequest(
        method='POST',
        path='/p%20\udce9?q=1',
        headers=HEADERS,
        body=b'\x00x',
        request_id='r1',
        idempotent=True,
    )
    msg = pack_relay_request('t', 'a:1', request, 1.5)
    assert (msg.target, msg.address, msg.left_ms) == ('t', 'a:1', 1500)
    assert unpack_relayed_request(msg) == request


@pytest.mark.parametrize(
    'result',
    [
        CompleteAnswer(
            status=200,
            headers=HEADERS,
            body=b'\x00',
            backpressure=Backpressure(rate_limit=0.0),
        ),
        CompleteAnswer(
            status=500,
            headers=(),
            body=b'',
            backpressure=Backpressure(
                rate_limit=InvalidNumber(text=''),
                pause_s=InvalidNumber(text='x'),
            ),
        ),
        RefusedByTarget(
            leaving=False,
            deadline_passed=False,
            misdirected=True,
            backpressure=Backpressure(
                rate_limit=1.5, pause_s=2.5, leaving=True
            ),
        ),
        NeverSent(reason='r', own_path=True),
        NeverSent(reason='r', withheld=True),
        BrokenExchange(reason='r', mismatched=True),
        BrokenExchange(reason='r', timed_out=True, own_path=True),
    ],
)
def test_the_result_of_a_relayed_request_is_unchanged(result):
    assert unpack_relay_reply(pack_relay_reply(result)) == result
