"""Outcomes of a request's attempts."""

import pytest

from carawaylane.gateway.attempts import ForwardState, RoutedRequest
from carawaylane.messages.dispatch import Refusal
from carawaylane.messages.exchange import OutgoingRequest
from carawaylane.messages.outcomes import NotRun
from carawaylane.platform.documents import decode_plan, encode_json
from tests.gateway.conftest import plan_spec

REFUSAL = Refusal(ticket='t', retry_after_s=0.1, reason='no slot')


def route_request(route):
    return RoutedRequest(
        request=OutgoingRequest(
            method='POST',
            path='/x',
            headers=(),
            body=b'',
            request_id='r1',
            idempotent=route.idempotent,
        ),
        route=route,
        service='stock',
        deadline_s=1.0,
        digest=1,
    )


@pytest.mark.parametrize('index', [0, 1], ids=['safe', 'unsafe'])
def test_a_broken_exchange_without_a_reason_makes_no_promise(index):
    route = decode_plan('main', encode_json(plan_spec())).routes[index]
    state = ForwardState(routed=route_request(route))
    state.broken_reason = ''
    assert state.may_have_run
    for outcome in (state.failed_outcome(), state.refused_outcome(REFUSAL)):
        assert not isinstance(outcome, NotRun)
