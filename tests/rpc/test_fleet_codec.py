"""Tests that slot requests and results survive conversion to protobuf."""

import pytest

from carawaylane.decisions.placement.failure_estimate import Result
from carawaylane.decisions.placement.learned_digest import (
    MAX_ROUTES,
    MAX_TARGETS,
)
from carawaylane.messages.dispatch import (
    AttemptCounts,
    AttemptKind,
    AttemptReport,
    BackpressureNotice,
    SlotRequest,
)
from carawaylane.messages.learned import (
    LearnedDigest,
    LearnedRoute,
    LearnedTarget,
)
from carawaylane.rpc.fleet_codec import (
    pack_result,
    pack_slot_request,
    unpack_result_notices,
    unpack_slot_request,
)
from carawaylane.rpc.learned_codec import pack_learned, unpack_learned

NOTICES = tuple(
    BackpressureNotice(
        target='t', rate_per_s=rate_per_s, sent_age_s=1.5, heard_age_s=0.25
    )
    for rate_per_s in (None, 0.0, 0.75)
) + (
    BackpressureNotice(
        target='t', names_rate=False, pause_left_s=2.5, started_until_ms=2**41
    ),
    BackpressureNotice(target='t', names_rate=False, leaving=True),
    *(
        BackpressureNotice(
            target='t', names_rate=False, leaving=True, started_ms=started_ms
        )
        for started_ms in (0, 2**41)
    ),
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
        notices=NOTICES,
        customer='c',
        request_bytes=1234,
        method='GET',
        path_shape='/a/*',
        large_answers=True,
    )
    msg = pack_slot_request(request, 's')
    assert unpack_slot_request(msg, 'e', 'a') == request


@pytest.mark.parametrize('notice', NOTICES)
def test_the_rate_limit_in_a_result_is_unchanged(notice):
    msg = pack_result(('e', 7), 's', Result.ANSWERED, 0.1, notice)
    assert unpack_result_notices(msg) == (notice,)


def test_a_result_without_an_answer_says_nothing_of_a_limit():
    msg = pack_result(('e', 7), 's', Result.OVERDUE, 0.1)
    assert not msg.HasField('rate_limit')
    assert unpack_result_notices(msg) == ()


def test_a_notice_without_a_limit_does_not_lift_one_at_an_older_node():
    """Such a node takes a message without a limit as lifting it."""
    notice = BackpressureNotice(target='t', names_rate=False, leaving=True)
    assert not pack_result(('e', 7), 's', Result.SHED, 0.1, notice).HasField(
        'rate_limit'
    )


def test_all_that_a_target_asks_for_is_in_its_messages():
    notice = BackpressureNotice(
        target='t', rate_per_s=2.0, pause_left_s=0.0001, leaving=True
    )
    msg = pack_result(('e', 7), 's', Result.SHED, 0.1, notice)
    limit, withheld = unpack_result_notices(msg)
    assert limit.rate_per_s == 2.0 and not limit.withholds
    assert withheld.leaving and withheld.pause_left_s > 0


def test_the_bytes_of_an_answer_are_unchanged():
    msg = pack_result(('e', 7), 's', Result.ANSWERED, 0.1, None, 5 << 30)
    assert msg.answer_bytes == 5 << 30


def test_what_an_entry_learned_is_unchanged():
    learned = LearnedDigest(
        routes=(
            LearnedRoute(route='r', log_mean=-1.5, log_sd=0.5, answers=7),
        ),
        targets=(LearnedTarget(target='t', slowness=0.75, answers=3),),
    )
    assert unpack_learned(pack_learned(learned)) == learned


def test_the_largest_digest_is_bounded_in_bytes():
    """It must not delay the request that carries it on a slow link."""
    name = 'n' * 30
    learned = LearnedDigest(
        routes=(
            LearnedRoute(route=name, log_mean=-1.5, log_sd=0.5, answers=20),
        )
        * MAX_ROUTES,
        targets=(LearnedTarget(target=name, slowness=0.7, answers=20),)
        * MAX_TARGETS,
    )
    assert pack_learned(learned).ByteSize() <= 3000


def request_aiming_at(objective_s, **changes):
    return SlotRequest(
        ticket=('e', 7),
        data_centre='a',
        route='r',
        priority=2,
        idempotent=True,
        left_s=1.5,
        objective_s=objective_s,
        attempt=AttemptKind.FIRST,
        avoided_targets=frozenset(),
        digest=9,
        **changes,
    )


def test_a_latency_objective_below_1_ms_is_not_0():
    """A home divided by it, and ended."""
    msg = pack_slot_request(request_aiming_at(0.0004), 's')
    assert unpack_slot_request(msg, 'e', 'a').objective_s == 0.001
    # As older builds send it.
    msg.objective_ms = 0
    assert unpack_slot_request(msg, 'e', 'a').objective_s == 0.001


@pytest.mark.parametrize(
    'rate_per_s', [1e300, float('inf'), float('nan'), -1.0]
)
def test_a_rate_that_limits_nothing_is_none(rate_per_s):
    """A home counted up to infinity, and ended."""
    notice = BackpressureNotice(
        target='t', rate_per_s=rate_per_s, sent_age_s=0.0, heard_age_s=0.0
    )
    msg = pack_slot_request(request_aiming_at(1.0, notices=(notice,)), 's')
    (unpacked,) = unpack_slot_request(msg, 'e', 'a').notices
    assert unpacked.rate_per_s is None


@pytest.mark.parametrize('odd', [float('inf'), float('nan'), 1e30, -1e30])
def test_what_was_learned_is_sound(odd):
    """A home could not tell when to hedge, and ended."""
    sound = LearnedDigest(
        routes=(LearnedRoute(route='r', log_mean=1.0, log_sd=0.5, answers=3),),
        targets=(LearnedTarget(target='t', slowness=-0.5, answers=3),),
    )
    msg = pack_learned(sound)
    msg.routes.add(route='a', log_mean=odd, log_sd=0.5, answers=3)
    msg.routes.add(route='b', log_mean=1.0, log_sd=odd, answers=3)
    msg.targets.add(target='c', slowness=odd, answers=3)
    assert unpack_learned(msg) == sound
