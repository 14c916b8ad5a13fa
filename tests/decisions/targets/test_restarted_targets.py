"""Tests of targets that start again, and of records that can't be read."""

from json import dumps
from random import Random

import pytest

from carawaylane.decisions.placement.failure_estimate import Result
from carawaylane.decisions.targets.backpressure import (
    MAX_STARTS,
    NEWS_S,
    HeardBackpressure,
    TargetIdentity,
)
from carawaylane.messages.dispatch import Grant
from carawaylane.messages.outcomes import Backpressure
from carawaylane.messages.platform_objects import InvalidObject, TargetSpec
from carawaylane.platform.documents import decode_target
from tests.decisions.admission.test_dispatcher import (
    RequestFactory,
    make_dispatcher,
    risk_of,
    target_spec,
)

RECORD = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'warmup_left_ms': 1500,
    'seq': 4,
    'born': 1_700_000_000_000,
}
MUTATIONS = 10_000
VALUES = (
    None,
    True,
    -1,
    0,
    1.5,
    10**400,
    float('inf'),
    float('nan'),
    '',
    'x',
    '\ud800',
    [],
    {},
    [[]],
    {'a': 1},
)


def fill_slots(dispatcher, request, now_s):
    """Take all slots, and return the grants."""
    grants = [dispatcher.request_slot(request(), now_s) for _ in range(2)]
    assert all(isinstance(grant, Grant) for grant in grants)
    return grants


def test_a_restarted_target_has_all_its_slots():
    """Requests to the earlier start took them until they expired."""
    request = RequestFactory()
    dispatcher = make_dispatcher('t', started_ms=1)
    fill_slots(dispatcher, request, 1.0)
    dispatcher.update_targets([target_spec('t', started_ms=2)], 1.1)
    assert not dispatcher.pool.in_flight
    fill_slots(dispatcher, request, 1.2)


def test_late_results_of_an_earlier_start_count_for_nothing():
    request = RequestFactory()
    dispatcher = make_dispatcher('t', started_ms=1)
    grants = fill_slots(dispatcher, request, 1.0)
    dispatcher.update_targets([target_spec('t', started_ms=2)], 1.1)
    risk = risk_of(dispatcher, 't', 1.2)
    for grant in grants:
        dispatcher.record_result(grant.ticket, Result.BROKEN, 0.2, 1.2)
    assert risk_of(dispatcher, 't', 1.2) == risk
    assert not dispatcher.pool.targets['t'].avoided_until_s
    assert not dispatcher.pool.targets['t'].broken_at_s


def test_a_target_with_another_address_or_slots_keeps_its_requests():
    request = RequestFactory()
    dispatcher = make_dispatcher('t', started_ms=1)
    grants = fill_slots(dispatcher, request, 1.0)
    dispatcher.update_targets(
        [target_spec('t', started_ms=1, slots=3, address='t:2')], 1.1
    )
    assert len(dispatcher.pool.in_flight) == len(grants)


def mutate(rng):
    """Return a record with a few fields or bytes changed, as bytes."""
    record = dict(RECORD)
    for _ in range(rng.randrange(3)):
        record[rng.choice(list(RECORD))] = rng.choice(VALUES)
    for _ in range(rng.randrange(2)):
        record.pop(rng.choice(list(record)))
    data = bytearray(dumps(record).encode())
    for _ in range(rng.choice((0, 0, 1, 5))):
        position = rng.randrange(len(data))
        action = rng.randrange(3)
        if action == 0:
            data[position] = rng.randrange(256)
        elif action == 1:
            del data[position:]
            data += b' '
        else:
            data[position:position] = rng.randbytes(3)
    return bytes(data)


def test_mutated_records_raise_nothing_and_change_no_other_target():
    rng = Random(4)
    request = RequestFactory()
    dispatcher = make_dispatcher('good')
    unreadable = 0
    for number in range(MUTATIONS):
        decoded = decode_target('odd', mutate(rng))
        specs = [target_spec('good')]
        if isinstance(decoded, InvalidObject):
            unreadable += 1
        else:
            assert isinstance(decoded, TargetSpec)
            assert decoded.slots > 0
            specs.append(decoded)
        now_s = number * 0.001
        dispatcher.update_targets(specs, now_s)
        assert 'good' in dispatcher.pool.targets
        grant = dispatcher.request_slot(
            request(avoided_targets=frozenset({'odd'})), now_s
        )
        assert isinstance(grant, Grant)
        assert grant.target == 'good'
        dispatcher.record_result(grant.ticket, Result.ANSWERED, 0.1, now_s)
    assert MUTATIONS / 4 < unreadable < MUTATIONS


CLOCKS_MS = [-3_600_000, -1, 1, 3_600_000]
STARTED_MS = 1_700_000_000_000
WISHES = [Backpressure(leaving=True), Backpressure(pause_s=500.0)]


def started(started_ms):
    return TargetIdentity(
        name='t',
        service='s',
        started_ms=started_ms,
        now_ms=STARTED_MS + 60_000,
    )


@pytest.mark.parametrize('wish', WISHES, ids=['leaves', 'pauses'])
@pytest.mark.parametrize('clock_ms', CLOCKS_MS)
def test_a_restart_on_a_slow_clock_is_not_withheld_by_an_entry(clock_ms, wish):
    heard = HeardBackpressure()
    heard.record_answer(started(STARTED_MS), wish, 0.0, 0.0)
    now_s = NEWS_S + 1.0
    assert heard.withheld('t', STARTED_MS, now_s) is not None
    assert heard.withheld('t', STARTED_MS + clock_ms, now_s) is None


@pytest.mark.parametrize('wish', WISHES, ids=['leaves', 'pauses'])
@pytest.mark.parametrize('clock_ms', CLOCKS_MS)
def test_a_restart_on_a_slow_clock_is_granted_by_a_home(clock_ms, wish):
    heard = HeardBackpressure()
    request = RequestFactory()
    dispatcher = make_dispatcher('t', started_ms=STARTED_MS)
    notice = heard.record_answer(started(STARTED_MS), wish, 0.0, 1.0)
    dispatcher.pool.apply_notice(notice, 'e', 1.0)
    assert not isinstance(dispatcher.request_slot(request(), 1.0), Grant)
    restarted = target_spec('t', started_ms=STARTED_MS + clock_ms)
    dispatcher.update_targets([restarted], 2.0)
    assert isinstance(dispatcher.request_slot(request(), 2.0), Grant)


@pytest.mark.parametrize('clock_ms', CLOCKS_MS)
def test_a_home_that_hears_late_of_an_earlier_start_uses_the_new_one(clock_ms):
    """Another home had granted the requests that were answered so."""
    heard = HeardBackpressure()
    request = RequestFactory()
    heard.record_answer(started(STARTED_MS), WISHES[0], 0.0, 0.0)
    dispatcher = make_dispatcher('t', started_ms=STARTED_MS + clock_ms)
    for notice in heard.report_to('h', 1.0, 's'):
        dispatcher.pool.apply_notice(notice, 'e', 1.0)
    assert isinstance(dispatcher.request_slot(request(), 1.0), Grant)


@pytest.mark.parametrize('clock_ms', CLOCKS_MS)
def test_a_late_answer_of_an_earlier_start_does_not_free_a_new_one(clock_ms):
    heard = HeardBackpressure()
    dispatcher = make_dispatcher('t', started_ms=STARTED_MS + clock_ms)
    for identity in (started(STARTED_MS + clock_ms), started(STARTED_MS)):
        notice = heard.record_answer(identity, WISHES[0], 0.0, 0.0)
        dispatcher.pool.apply_notice(notice, 'e', 0.0)
    now_s = NEWS_S + 1.0
    assert heard.withheld('t', STARTED_MS + clock_ms, now_s) is not None
    reply = dispatcher.request_slot(RequestFactory()(), now_s)
    assert not isinstance(reply, Grant)


def test_an_entry_that_is_not_told_of_a_restart_yet_keeps_to_the_answer():
    heard = HeardBackpressure()
    heard.record_answer(started(STARTED_MS), WISHES[0], 0.0, 0.0)
    started_ms = STARTED_MS + 59_000
    assert heard.withheld('t', started_ms, NEWS_S - 0.1) is not None


def test_a_target_of_another_address_is_not_known_to_have_answered():
    heard = HeardBackpressure()
    heard.record_answer(started(None), WISHES[0], 0.0, 0.0)
    assert heard.withheld('t', STARTED_MS, NEWS_S - 0.1) is not None
    assert heard.withheld('t', STARTED_MS, NEWS_S) is None
    assert heard.report_to('h', 1.0, 's') == ()


def test_starts_without_end_under_one_name_take_no_memory():
    heard = HeardBackpressure()
    for number in range(1000):
        heard.record_answer(started(number), WISHES[0], 0.0, 0.0)
    assert len(heard._by_target['t'].wishes) <= MAX_STARTS
    assert heard.withheld('t', 999, NEWS_S) is not None
