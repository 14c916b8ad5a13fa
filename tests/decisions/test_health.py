"""Detection, ejection within the floor, return."""

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from carawaylane.config.schema import Weights
from carawaylane.decisions.health import (
    BASE_EJECTION_S,
    ShardHealth,
    Standing,
    TargetOutcome,
)

NAMES = ['t0', 't1', 't2', 't3', 't4']


def make(floor=50, slots=2, count=5, **kwargs):
    health = ShardHealth(floor_percent=floor, weights=Weights(), **kwargs)
    health.configure({name: slots for name in NAMES[:count]})
    return health


def outcome(target, *, failed=False, latency_s=0.05):
    return TargetOutcome(
        target=target, kind='k', failed=failed, latency_s=latency_s
    )


def warm(health, now_s=0.0):
    for _ in range(20):
        for name in health.targets:
            health.record_outcome(outcome(name), now_s)


@pytest.mark.parametrize(
    ('weights', 'failures'), [((3, 1), 2), ((1, 1), 3), ((1, 3), 3)]
)
def test_few_failures_of_one_target_among_well_peers_eject_it(
    weights, failures
):
    detection, false_ejection = weights
    health = make()
    health.weights = Weights(
        detection=detection, false_ejection=false_ejection
    )
    health.configure({})
    health.configure(dict.fromkeys(NAMES, 2))
    warm(health)
    standings = []
    for _ in range(failures):
        standings.append(health.targets['t0'].standing)
        health.record_outcome(outcome('t0', failed=True), 1.0)
    assert set(standings) == {Standing.SERVING}
    assert health.targets['t0'].standing is Standing.EJECTED


def test_a_straggler_is_ejected_though_it_never_fails():
    health = make()
    warm(health)
    for step in range(4):
        health.record_outcome(outcome('t0', latency_s=0.5), 1.0 + step)
    assert health.targets['t0'].standing is Standing.EJECTED


def test_all_targets_slow_at_once_is_load_and_ejects_none():
    health = make()
    warm(health)
    for step in range(30):
        for name in health.targets:
            health.record_outcome(outcome(name, latency_s=1.0), 1.0 + step)
    ejected = [
        x for x in health.targets.values() if x.standing is Standing.EJECTED
    ]
    assert len(ejected) <= 1


def test_a_relapse_stays_outside_longer():
    health = make()
    warm(health)
    stays = []
    now_s = 1.0
    for _ in range(3):
        while health.targets['t0'].standing is not Standing.EJECTED:
            health.record_outcome(outcome('t0', failed=True), now_s)
        stays.append(health.targets['t0'].return_at_s - now_s)
        now_s = health.targets['t0'].return_at_s
        health.update_standings(now_s)
        assert health.targets['t0'].limit == 1
    assert stays == [BASE_EJECTION_S, 2 * BASE_EJECTION_S, 4 * BASE_EJECTION_S]


def test_a_returning_target_gets_its_slots_back_one_by_one():
    health = make(slots=3)
    warm(health)
    for _ in range(3):
        health.record_outcome(outcome('t0', failed=True), 1.0)
    health.update_standings(1.0 + BASE_EJECTION_S)
    limits = []
    for _ in range(7):
        limits.append(health.targets['t0'].limit)
        health.record_outcome(outcome('t0'), 10.0)
    assert limits == [1, 1, 1, 2, 2, 2, 3]


def test_a_label_takes_out_at_once_and_the_floor_keeps_the_sick_in():
    health = make(floor=60)
    warm(health)
    health.set_operator_state('t3', 'out', False, 1.0)
    health.set_operator_state('t4', 'draining', False, 1.0)
    for _ in range(6):
        health.record_outcome(outcome('t0', failed=True), 2.0)
    assert health.targets['t0'].standing is Standing.HELD
    assert health.in_service_slots() >= health.floor_slots()


class FloorMachine(RuleBasedStateMachine):
    """Detector and operators eject in any order; the floor holds."""

    def __init__(self):
        super().__init__()
        self.health = make(floor=60)
        self.now_s = 0.0
        self.by_label = set()

    @rule(name=st.sampled_from(NAMES), failed=st.booleans())
    def observe(self, name, failed):
        self.health.record_outcome(outcome(name, failed=failed), self.now_s)

    @rule(name=st.sampled_from(NAMES))
    def crash(self, name):
        self.health.record_crash(name, self.now_s)

    @rule(
        name=st.sampled_from(NAMES),
        state=st.sampled_from(['serving', 'draining', 'out']),
        leaving=st.booleans(),
    )
    def label(self, name, state, leaving):
        self.health.set_operator_state(name, state, leaving, self.now_s)
        self.by_label.discard(name)
        if state != 'serving' or leaving:
            self.by_label.add(name)

    @rule(seconds=st.sampled_from([0.1, 3.0, 10.0, 700.0]))
    def advance(self, seconds):
        self.now_s += seconds
        self.health.update_standings(self.now_s)

    @invariant()
    def detector_never_goes_below_the_floor(self):
        slots = {x.name: x.slots for x in self.health.targets.values()}
        labelled = sum(slots[name] for name in self.by_label)
        possible = sum(slots.values()) - labelled
        wanted = min(possible, self.health.floor_slots())
        assert self.health.in_service_slots() >= wanted

    @invariant()
    def labelled_targets_take_no_work(self):
        for name in self.by_label:
            assert not self.health.targets[name].in_service


def test_the_floor_holds_under_detector_and_operators():
    run_state_machine_as_test(
        FloorMachine,
        settings=settings(
            max_examples=100,
            stateful_step_count=50,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(NAMES), st.booleans()), max_size=80))
def test_two_homes_with_parts_of_the_targets_keep_the_floor(events):
    halves = [make(floor=50, count=5), make(floor=50, count=5)]
    halves[0].configure({'t0': 2, 't1': 2, 't2': 2})
    halves[1].configure({'t3': 2, 't4': 2})
    for name, failed in events:
        for half in halves:
            half.record_outcome(outcome(name, failed=failed), 1.0)
    assert sum(half.in_service_slots() for half in halves) >= 5
