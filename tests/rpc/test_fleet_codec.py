"""Tests that slot requests and results survive conversion to protobuf."""

import pytest

from carawaylane.decisions.failure_estimate import Result
from carawaylane.messages.dispatch import (
    AttemptCounts,
    AttemptKind,
    AttemptReport,
    RateLimitNotice,
    SlotRequest,
)
from carawaylane.rpc.fleet_codec import (
    pack_result,
    pack_slot_request,
    unpack_rate_limit,
    unpack_slot_request,
)

NOTICES = tuple(
    RateLimitNotice(
        target='t', rate_per_s=rate_per_s, sent_age_s=1.5, heard_age_s=0.25
    )
    for rate_per_s in (None, 0.0, 0.75)
)


def test_slot_requests_are_unchanged():
    request = SlotRequest(
        ticket=('e', 7),
        data_centre='a',
        route='r',
        priority=2,
        idempotent=True,
        left_s=1.5,
        objective_s=0.5,
        attempt=AttemptKind.HEDGE,
        avoided_targets=frozenset({'t1', 't2'}),
        digest=9,
        request_id='i',
        recent_attempts=AttemptReport(
            total=AttemptCounts(first_attempts=3, retries=2),
            at_home=AttemptCounts(first_attempts=1, retries=1),
        ),
        rate_limits=NOTICES,
    )
    msg = pack_slot_request(request, 's')
    assert unpack_slot_request(msg, 'e', 'a') == request


@pytest.mark.parametrize('notice', NOTICES)
def test_the_rate_limit_in_a_result_is_unchanged(notice):
    msg = pack_result(('e', 7), 's', Result.ANSWERED, 0.1, notice)
    assert unpack_rate_limit(msg.rate_limit) == notice


def test_a_result_without_an_answer_says_nothing_of_a_limit():
    msg = pack_result(('e', 7), 's', Result.OVERDUE, 0.1)
    assert not msg.HasField('rate_limit')
