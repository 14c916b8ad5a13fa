"""Admission after all nodes lost power, and at a home that takes over."""

from __future__ import annotations

from heapq import heappop, heappush, heapreplace

import pytest

from carawaylane.decisions.admission.reserve import HORIZON_S, Reserve
from tests.decisions.admission.caller_model import (
    RequestClass,
    World,
    draw_calls,
)
from tests.decisions.admission.collection_loads import (
    BURST_S,
    SHARES,
    SLACK,
    WEIGHTS,
    by_customer,
    heavy_customer,
)

OUTAGE_S = (4.0, 5.5)
# The two seconds that hold the outage, and those after callers are back.
SECONDS_S = (3.8, 5.8)
PICKUP_REGISTER = RequestClass(
    name='pickup-register',
    rate_per_s=lambda _: 273.0,
    work_s=0.322,
    objective_s=1.619,
    deadline_s=6.445,
    values=(2.0, 0.98),
    customers=lambda _: SHARES,
)


def restarted_world(seed: int, targets: int) -> World:
    world = World(
        calls=draw_calls([PICKUP_REGISTER], 9.0, seed),
        targets=targets,
        slots=4,
        slack=SLACK,
        entries=88,
        seed=seed,
        weights=WEIGHTS,
    )
    since_s, until_s = OUTAGE_S
    world.at(since_s, world.lose_power, until_s - since_s)
    return world.run()


def is_in_time(call) -> bool:
    return (
        call.ended_s is not None
        and call.ended_s - call.at_s <= call.kind.objective_s
    )


def can_be_in_time(call) -> bool:
    """Return whether an answer before or after the outage is in time."""
    return (
        call.at_s + call.work_s < OUTAGE_S[0]
        or call.at_s + call.kind.objective_s - call.work_s > OUTAGE_S[1] + 0.05
    )


def in_time_by_deadline(world: World) -> int:
    """Return how many calls are in time if slots go by deadline.

    All slots are free as the nodes are back, and calls that are late already
    take none.
    """
    chosen = world.chosen(*SECONDS_S)
    in_time = sum(call.at_s + call.work_s < OUTAGE_S[0] for call in chosen)
    coming = sorted(
        (call.came_s, call.at_s, number)
        for number, call in enumerate(world.calls)
        if call.came_s >= OUTAGE_S[1]
    )
    coming.reverse()
    free_at_s = [OUTAGE_S[1]] * (world.targets * world.slots)
    waiting = []
    while coming or waiting:
        now_s = free_at_s[0]
        if not waiting:
            now_s = max(now_s, coming[-1][0])
        while coming and coming[-1][0] <= now_s:
            heappush(waiting, coming.pop()[1:])
        call = world.calls[heappop(waiting)[1]]
        due_s = call.at_s + call.kind.objective_s
        if now_s < due_s:
            heapreplace(free_at_s, now_s + call.work_s)
            in_time += call in chosen and now_s + call.work_s <= due_s
    return in_time


@pytest.mark.parametrize('seed', range(1, 21))
def test_calls_are_in_time_as_by_deadline_once_nodes_are_back(seed):
    """Guards against a home without estimates that refuses or overfills."""
    world = restarted_world(seed, targets=71)
    in_time = sum(map(is_in_time, world.chosen(*SECONDS_S)))
    assert in_time >= 0.95 * in_time_by_deadline(world)
    assert world.credit(OUTAGE_S[1], 9.0) >= 0.98
    assert not world.refusals


@pytest.mark.parametrize('seed', [1, 2, 5, 8, 10, 11, 12, 15])
def test_requests_are_in_time_again_once_nodes_are_back(seed):
    """Guards against a home without estimates that refuses or overfills.

    Of the calls that an answer could reach in time, most must get it, and no
    call after the outage may miss its objective for want of slots.
    """
    world = restarted_world(seed, targets=71)
    calls = world.chosen(*SECONDS_S)
    possible = sum(can_be_in_time(call) for call in calls)
    assert sum(is_in_time(call) for call in calls) >= 0.9 * possible
    assert world.credit(OUTAGE_S[1], 9.0) >= 0.98
    assert not world.refusals


def test_scarce_slots_recover_within_three_seconds_of_the_outage():
    """Guards against a backlog of late requests that delays new ones."""
    world = restarted_world(1, targets=40)
    assert world.credit(OUTAGE_S[1], OUTAGE_S[1] + 3) >= 0.95


@pytest.mark.parametrize('seed', range(1, 11))
def test_a_takeover_with_a_long_queue_keeps_the_shares(seed):
    """Guards against a new home that serves by arrival or refuses all."""
    world = heavy_customer(seed, weights=WEIGHTS)
    world.at(8.0, world.take_over)
    mean, worst, heavy = by_customer(world.run())
    assert mean >= 0.95
    assert worst >= mean - 0.05
    assert heavy <= mean
    untouched = heavy_customer(seed, weights=WEIGHTS).run()
    assert world.credit(*BURST_S) >= untouched.credit(*BURST_S) - 0.05


def test_a_burst_beyond_the_capacity_reserves_slots():
    """Guards against slots taken by lesser requests in an urgent burst."""
    reserve = Reserve()
    urgent, lesser = (False, 0), (False, 2)
    for number in range(60):
        reserve.record_request(urgent, number / 200)
    reserved = reserve.slots_ahead_of(lesser, 100.0, 0.3)
    assert 0.7 * HORIZON_S * 100 < reserved < 1.3 * HORIZON_S * 100
    assert reserve.slots_ahead_of(urgent, 100.0, 0.3) == 0
    assert reserve.slots_ahead_of(lesser, 300.0, 0.3) == 0
    assert reserve.slots_ahead_of(lesser, 100.0, 1.0) == 0
