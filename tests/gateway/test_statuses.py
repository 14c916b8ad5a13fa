"""Tests of answers of targets whose status is none of HTTP."""

from asyncio import run

import pytest

from carawaylane.services.targets import BrokenExchange, CompleteAnswer
from standins.raw_target import OK, Reply
from tests.gateway.conftest import fetch
from tests.gateway.test_target_paths import FakeWorld, exchange_in
from tests.gateway.test_unsealed_answers import LARGE_BODY, start_two_targets

# 1xx is the status of an interim answer, after which another one follows.
ODD_STATUSES = ['000', '001', '099', '600', '800', '999', '20', '2000', '-20']
LARGE = b'Content-Length: %d\r\n\r\n%s' % (len(LARGE_BODY), LARGE_BODY)
FORMS = {
    'buffered': OK,
    'chunked': OK.replace(
        b'Content-Length: 2\r\n\r\nok',
        b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n',
    ),
    'empty': OK.replace(b'Content-Length: 2\r\n\r\nok', b'\r\n'),
    'streamed': OK.replace(b'Content-Length: 2\r\n\r\nok', LARGE),
    'refusal': OK.replace(b'Response-Seal: s', b'Not-Executed: 1'),
}


def with_status(answer, status):
    return answer.replace(b'200 OK', status.encode() + b' OK')


@pytest.mark.parametrize('status', ODD_STATUSES)
@pytest.mark.parametrize('form', FORMS)
async def test_a_safe_request_goes_on_to_another_target(fleet, form, status):
    """Its caller got a status that HTTP does not have."""
    answer = FORMS[form]
    node, received = await start_two_targets(
        fleet,
        [Reply(data=with_status(answer, status)), Reply(data=OK)],
        memory_bytes=8 << 20,
    )
    path = '/get/x' if form == 'streamed' else '/read/x'
    response = await fetch(node, path)
    assert (response.status, response.body) == (200, b'ok')
    assert len(received) == 2


@pytest.mark.parametrize('status', ODD_STATUSES)
@pytest.mark.parametrize('form', FORMS)
async def test_an_unsafe_request_ends_as_unknown(fleet, form, status):
    """It may have run, so it is neither sent again nor said not to have."""
    node, received = await start_two_targets(
        fleet,
        [Reply(data=with_status(FORMS[form], status)), Reply(data=OK)],
        memory_bytes=8 << 20,
    )
    response = await fetch(node, '/write/x', method='POST', body=b'1')
    assert response.status in (502, 504)
    assert len(received) == 1


@pytest.mark.parametrize('status', ['200', '299', '302', '404', '500', '599'])
async def test_an_answer_with_a_status_of_http_is_passed_on(fleet, status):
    node, received = await start_two_targets(
        fleet, [Reply(data=with_status(OK, status))]
    )
    response = await fetch(node, '/write/x', method='POST', body=b'1')
    assert response.status == int(status)
    assert len(received) == 1


@pytest.mark.parametrize('status', [0, 1, 99, 100, 199, 600, 999, 2**32 - 1])
def test_an_answer_from_a_peer_needs_a_status_of_http(status):
    """Peers with an older build pass others on."""
    answer = CompleteAnswer(
        status=status, headers=(('Response-Seal', 's'),), body=b''
    )
    world = FakeWorld(
        direct=(answer, True),
        relays=[('reply', (answer, True))] * 3,
        reached=False,
        reached_by_peer=True,
    )
    result = run(exchange_in(world, cut_off_before=True))
    assert isinstance(result, BrokenExchange)
    assert world.sent == 1
