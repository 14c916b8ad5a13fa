"""Placing, queueing and refusing, with the time passed in."""

import pytest

from carawaylane.decisions.dispatcher import (
    UNTRIED_AFTER_S,
    Dispatcher,
)
from carawaylane.decisions.failure_estimate import HEALTHY_LOSS_SHARE, Result
from carawaylane.decisions.target_state import CONFIRM_SLACK_S
from carawaylane.decisions.usage_floor import LOSS_MIN
from carawaylane.messages.dispatch import (
    AttemptKind,
    Grant,
    Queued,
    Refusal,
    SlotRequest,
)
from carawaylane.messages.platform_objects import TargetSpec
from carawaylane.settings.gateway import Bounds


def entry(name, **changes):
    row = {
        'name': name,
        'service': 's',
        'address': f'{name}:1',
        'data_centre': 'a',
        'slots': 2,
        'draining': False,
    }
    return TargetSpec(**row | changes)


def made(*names, now_s=0.0, **changes):
    found = Dispatcher(service='s', bounds=Bounds())
    found.update_targets([entry(name, **changes) for name in names], now_s)
    return found


class Asker:
    def __init__(self):
        self.number = 0

    def __call__(self, **changes):
        self.number += 1
        row = {
            'ticket': ('e', self.number),
            'data_centre': 'a',
            'route': 'r',
            'priority': 1,
            'idempotent': False,
            'left_s': 2.0,
            'objective_s': 0.6,
        }
        return SlotRequest(**row | changes)


@pytest.fixture
def ask():
    return Asker()


def served(found, ask, now_s, took_s=0.1, result=Result.ANSWERED):
    grant = found.request_slot(ask, now_s)
    assert isinstance(grant, Grant)
    found.record_result(ask.ticket, result, took_s, now_s + took_s)
    return grant.target


def test_no_target_gets_more_than_its_slots(ask):
    found = made('t1', 't2', slots=2)
    grants = [found.request_slot(ask(), 0.0) for _ in range(5)]
    names = [each.target for each in grants if isinstance(each, Grant)]
    assert sorted(names) == ['t1', 't1', 't2', 't2']
    assert isinstance(grants[4], Queued)


def test_a_freed_slot_goes_to_the_most_urgent(ask):
    found = made('t1', slots=1)
    first, late, urgent = ask(), ask(priority=2), ask(priority=0)
    found.request_slot(first, 0.0)
    found.request_slot(late, 0.01)
    found.request_slot(urgent, 0.02)
    found.record_result(first.ticket, Result.ANSWERED, 0.1, 0.1)
    assert [each.ticket for each, _ in found.serve_queue(0.1)] == [
        urgent.ticket
    ]


def test_what_surely_cannot_be_served_is_refused_at_once(ask):
    found = made('t1', slots=1)
    for _ in range(8):
        found.request_slot(ask(left_s=5.0, objective_s=5.0), 0.0)
    verdict = found.request_slot(ask(left_s=0.5), 0.0)
    assert isinstance(verdict, Refusal)
    assert verdict.retry_after_s > 0.5


def test_a_queued_ask_is_refused_once_its_time_is_too_short(ask):
    found = made('t1', slots=1)
    found.request_slot(ask(left_s=5.0), 0.0)
    waits = ask(left_s=0.5)
    assert isinstance(found.request_slot(waits, 0.0), Queued)
    assert not found.serve_queue(0.05)
    [(_, verdict)] = found.serve_queue(0.4)
    assert isinstance(verdict, Refusal)


def test_a_target_that_hung_is_passed_over(ask):
    found = made('t1', 't2')
    hung = served(found, ask(), 0.0, 1.0, Result.OVERDUE)
    later = {served(found, ask(), 1.1 + n / 5) for n in range(4)}
    assert hung not in later


def test_work_without_an_answer_counts_before_its_timeout(ask):
    found = made('t1', 't2', slots=4)
    stuck = found.request_slot(ask(), 0.0)
    fresh = [found.request_slot(ask(), 0.8) for _ in range(3)]
    assert stuck.target not in {each.target for each in fresh}


def test_when_all_targets_look_sick_the_least_sick_still_work(ask):
    found = made('t1', 't2')
    for number in range(6):
        now_s = number * 1.3
        waits = ask()
        verdict = found.request_slot(waits, now_s)
        if isinstance(verdict, Queued):
            verdicts = found.serve_queue(now_s + 0.3)
            assert isinstance(verdicts[0][1], Grant)
        found.record_result(waits.ticket, Result.OVERDUE, 1.0, now_s + 1.0)


def test_a_leaving_target_gets_nothing_new(ask):
    found = made('t1', 't2')
    found.update_targets([entry('t1', draining=True), entry('t2')], 1.0)
    names = {found.request_slot(ask(), 1.0).target for _ in range(2)}
    assert names == {'t2'}
    assert isinstance(found.request_slot(ask(), 1.0), Queued)


def test_a_new_start_under_an_old_name_holds_nothing_of_before(ask):
    found = made('t1', started_ms=5)
    served(found, ask(), 0.0, 1.0, Result.OVERDUE)
    found.request_slot(ask(), 1.1)
    found.update_targets([entry('t1', started_ms=9)], 1.2)
    assert not found.targets['t1'].in_flight
    assert found.targets['t1'].estimate.probability < 0.2


def test_a_target_that_joins_is_tried_before_long(ask):
    """Found on the bench: new targets got nothing while others were well."""
    found = made('t1', 't2', 't3')
    for number in range(10):
        served(found, ask(), number * 0.2)
    names = [entry(name) for name in ('t1', 't2', 't3', 'new')]
    found.update_targets(names, 2.0)
    after = [
        served(found, ask(), 2.0 + UNTRIED_AFTER_S + number * 0.2)
        for number in range(1, 4)
    ]
    assert 'new' in after


def test_a_hedge_waits_for_a_slot_ahead_of_later_requests(ask):
    """Asking again after a refusal, it lost each freed slot to others."""
    found = made('t1', 't2', slots=1)
    asks = [ask(idempotent=True) for _ in range(3)]
    grants = [found.request_slot(each, 0.0) for each in asks[:2]]
    hung = grants[0].target
    assert isinstance(found.request_slot(asks[2], 0.5), Queued)
    hedge = ask(
        attempt=AttemptKind.HEDGE,
        idempotent=True,
        avoided_targets=frozenset({hung}),
    )
    assert isinstance(found.request_slot(hedge, 0.6), Queued)
    found.record_result(asks[1].ticket, Result.ANSWERED, 0.7, 0.7)
    [(granted, verdict)] = found.serve_queue(0.7)
    assert granted.ticket == hedge.ticket
    assert verdict.target != hung


def test_a_hedge_without_the_time_to_wait_is_refused(ask):
    found = made('t1', slots=1)
    found.request_slot(ask(), 0.0)
    hedge = ask(attempt=AttemptKind.HEDGE, idempotent=True, left_s=0.1)
    assert isinstance(found.request_slot(hedge, 0.1), Refusal)
    assert not found.queue_length()


def test_a_hedge_that_waits_is_refused_once_its_time_is_too_short(ask):
    found = made('t1', slots=1)
    found.request_slot(ask(left_s=5.0), 0.0)
    hedge = ask(attempt=AttemptKind.HEDGE, idempotent=True, left_s=0.5)
    assert isinstance(found.request_slot(hedge, 0.0), Queued)
    [(_, verdict)] = found.serve_queue(0.4)
    assert isinstance(verdict, Refusal)


def test_repeats_stay_within_the_budget(ask):
    bounds = Bounds(retry_ratio=0.2, retry_slack=10, retry_window_s=10)
    found = Dispatcher(service='s', bounds=bounds)
    found.update_targets([entry('t1', slots=100)], 0.0)
    for _ in range(20):
        found.request_slot(ask(), 0.0)
    verdicts = [
        found.request_slot(
            ask(attempt=AttemptKind.REPEAT, idempotent=True), 0.02
        )
        for _ in range(30)
    ]
    granted = sum(isinstance(each, Grant) for each in verdicts)
    assert 0 < granted <= 0.2 * 20 + 10
    for ticket in list(found.in_flight):
        found.record_result(ticket, Result.ANSWERED, 0.1, 0.2)
    late = ask(attempt=AttemptKind.REPEAT, idempotent=True)
    assert isinstance(found.request_slot(late, 10.2), Grant)


def test_a_resend_after_no_connection_is_no_repeat(ask):
    bounds = Bounds(retry_ratio=0, retry_slack=0)
    found = Dispatcher(service='s', bounds=bounds)
    found.update_targets([entry('t1')], 0.0)
    assert isinstance(
        found.request_slot(ask(attempt=AttemptKind.RESEND), 0.0), Grant
    )


def test_a_request_that_crashes_targets_is_held(ask):
    found = made('t1', 't2', 't3', 't4', slots=1)
    for number in range(3):
        now_s = number * 1.0
        bad = ask(digest=77)
        grant = found.request_slot(bad, now_s)
        found.record_result(bad.ticket, Result.BROKEN, 0.1, now_s + 0.1)
        probe = ask()
        found._fly(found.targets[grant.target], probe, now_s + 0.2, 0.5)
        found.record_result(probe.ticket, Result.UNREACHED, 0.1, now_s + 0.3)
    verdict = found.request_slot(ask(digest=77), 3.0)
    assert isinstance(verdict, Refusal)
    assert 'crashes' in verdict.reason
    assert not isinstance(found.request_slot(ask(digest=78), 3.0), Refusal)


def test_a_broken_answer_alone_does_not_hold_a_request(ask):
    found = made('t1', 't2', 't3', 't4')
    for number in range(4):
        bad = ask(digest=77)
        found.request_slot(bad, number * 1.0)
        found.record_result(bad.ticket, Result.BROKEN, 0.1, number + 0.1)
    assert not isinstance(found.request_slot(ask(digest=77), 9.0), Refusal)


def test_an_entry_avoids_a_target_that_only_it_cannot_reach(ask):
    found = made('t1', 't2', slots=8)
    cut = ask()
    grant = found.request_slot(cut, 0.0)
    found.record_result(cut.ticket, Result.UNREACHED, 0.1, 0.1)
    names = {found.request_slot(ask(), 0.2).target for _ in range(4)}
    assert grant.target not in names


def test_while_much_is_lost_the_floor_of_targets_is_tried(ask):
    names = [f't{number}' for number in range(10)]
    found = made(*names, slots=2)
    tried, losses = set(), 0
    for number in range(60):
        now_s = number * 0.05
        one = ask(idempotent=True)
        grant = found.request_slot(one, now_s)
        if isinstance(grant, Grant):
            if now_s > 1.0:
                tried.add(grant.target)
            lost = number % 6 == 0
            losses += lost
            result = Result.ERRORED if lost else Result.ANSWERED
            found.record_result(one.ticket, result, 0.04, now_s + 0.04)
    assert losses >= LOSS_MIN
    assert len(tried) >= 7


def test_work_of_an_entry_that_went_silent_frees_its_slot(ask):
    found = made('t1', slots=1)
    found.request_slot(ask(left_s=1.0), 0.0)
    found.serve_queue(2.5)
    assert isinstance(found.request_slot(ask(), 2.5), Grant)


def test_asks_of_a_lost_entry_are_forgotten(ask):
    found = made('t1', slots=1)
    found.request_slot(ask(), 0.0)
    found.request_slot(ask(), 0.0)
    found.drop_entry('e')
    assert not found.queue_length()


def test_shedding_targets_stay_capacity(ask):
    """Found on the bench: all targets shed half, and 220 were refused."""
    found = made('t1', 't2', 't3')
    for number in range(30):
        served(found, ask(), number * 0.1, 0.01, Result.SHED)
    verdict = found.request_slot(ask(), 3.1)
    assert isinstance(verdict, Grant)


def test_a_doubtful_slot_is_used_before_a_refusal(ask):
    found = made('t1', slots=4)
    served(found, ask(), 0.0, 0.1, Result.ERRORED)
    assert 0.5 < found.failure_risk(found.targets['t1'], 0.3) < 0.7
    found._hold_s = 0.5
    assert isinstance(found.request_slot(ask(left_s=0.4), 0.3), Grant)


def test_an_unsafe_request_never_goes_where_it_would_surely_hang(ask):
    found = made('t1', slots=4)
    for sent_s in (0.0, 0.1, 0.2):
        hung = ask()
        assert isinstance(found.request_slot(hung, sent_s), Grant)
    for ticket in list(found.in_flight):
        found.confirm_in_flight(ticket, 0.7)
    found._hold_s = 0.5
    assert isinstance(found.request_slot(ask(left_s=0.4), 0.7), Refusal)


def test_a_timeout_that_came_early_says_little_of_the_target(ask):
    """The rest of a request's time was too short for any target."""
    found = made('t1', slots=4)
    served(found, ask(), 0.0, 0.1, Result.OVERDUE)
    assert found.failure_risk(found.targets['t1'], 0.2) < 0.2


def test_an_entry_keeps_to_the_targets_it_is_connected_to(ask):
    names = [f't{number}' for number in range(6)]
    found = made(*names, slots=2)
    now_s = 0.0
    for _ in range(12):
        now_s += 0.3
        served(found, ask(ticket=('other', int(now_s * 10))), now_s)
    used = set()
    for number in range(8):
        now_s += 0.3
        used.add(served(found, ask(ticket=('mine', number)), now_s))
    assert len(used) <= 3


def test_silence_of_an_entry_is_not_held_against_its_targets(ask):
    """Found on the bench: a home that was cut off thought all were sick."""
    found = made('t1', slots=4)
    for number in range(3):
        found.request_slot(ask(ticket=('cut', number), left_s=9.0), 0.0)
    found.drop_entry('cut')
    assert found.failure_risk(found.targets['t1'], 3.0) < 0.5


def test_work_whose_entry_still_waits_counts_by_its_age(ask):
    found = made('t1', slots=4)
    told, silent = made('t1', slots=4), found
    for each, confirms in ((told, True), (silent, False)):
        waits = ask(left_s=9.0)
        each.request_slot(waits, 0.0)
        for step in range(1, 20):
            if confirms:
                each.confirm_in_flight(waits.ticket, step * 0.2)
    [known], [unknown] = told.in_flight.values(), silent.in_flight.values()
    assert known.waited_s(4.0) == 4.0
    assert unknown.waited_s(4.0) == unknown.hedge_after_s + CONFIRM_SLACK_S
    assert told.failure_risk(told.targets['t1'], 4.0) > silent.failure_risk(
        silent.targets['t1'], 4.0
    )


def test_the_queue_ends_where_its_requests_would_be_late(ask):
    found = made('t1', slots=1)
    verdicts = [
        found.request_slot(ask(left_s=6.0, objective_s=0.6), 0.0)
        for _ in range(40)
    ]
    waits = [each for each in verdicts if isinstance(each, Queued)]
    assert isinstance(verdicts[-1], Refusal)
    assert max(each.expected_wait_s for each in waits) <= 3.0


def test_hedges_that_find_no_slot_cost_no_budget(ask):
    """Found on the bench: refused hedges used up the budget of repeats."""
    bounds = Bounds(retry_ratio=0.0, retry_slack=2)
    found = Dispatcher(service='s', bounds=bounds)
    found.update_targets([entry('t1', slots=1)], 0.0)
    first = ask()
    found.request_slot(first, 0.0)
    for _ in range(5):
        found.request_slot(
            ask(attempt=AttemptKind.HEDGE, idempotent=True), 0.1
        )
    found.record_result(first.ticket, Result.ANSWERED, 0.1, 0.1)
    verdict = found.request_slot(
        ask(attempt=AttemptKind.HEDGE, idempotent=True), 0.2
    )
    assert isinstance(verdict, Grant)


def hangs_after(found, ask, *, answers_after):
    """Return the learned share of hangs after ten lookups that hung."""
    now_s = 0.0
    for _ in range(10):
        hung = ask(left_s=3.0)
        target = found.request_slot(hung, now_s).target
        for step in range(1, 7):
            other = ask()
            found._fly(found.targets[target], other, now_s + step / 4, 0.5)
            result = Result.ANSWERED if answers_after else Result.OVERDUE
            ended_s = now_s + step / 4 + 0.1
            found.record_result(other.ticket, result, 0.1, ended_s)
        found.record_result(hung.ticket, Result.OVERDUE, 3.0, now_s + 3.0)
        now_s += 20.0
    return found.models['r'].hang_share


def test_requests_that_hang_alone_are_laid_to_their_route(ask):
    alone = hangs_after(made('t1', 't2', slots=8), ask, answers_after=True)
    spells = hangs_after(made('t1', 't2', slots=8), ask, answers_after=False)
    assert alone > 2 * HEALTHY_LOSS_SHARE
    # By the end of a hang a failing target may be well again.
    assert spells - HEALTHY_LOSS_SHARE < 0.5 * (alone - HEALTHY_LOSS_SHARE)
