"""Slots are exact, shared fairly, and refusals come at once."""

from hypothesis import given, settings
from hypothesis import strategies as st

from carawaylane.decisions.slots import (
    Granted,
    Queued,
    Shed,
    SlotPool,
    SlotRequest,
)


def demand(pool, *, kind='k', caller='c', share=1, deadline_s=10.0, queue=64):
    return SlotRequest(
        ticket=pool.new_ticket(),
        kind=kind,
        caller=caller,
        share=share,
        max_queue=queue,
        deadline_s=deadline_s,
    )


def pool_of(*slots):
    pool = SlotPool()
    pool.configure({f't{n}': count for n, count in enumerate(slots)})
    return pool


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 9), max_size=60))
def test_no_target_ever_has_more_work_than_slots(steps):
    pool = pool_of(2, 1)
    held = []
    for step in steps:
        if step < 6:
            grant = pool.acquire(demand(pool), 0.0)
            if isinstance(grant, Granted):
                held.append(grant.target)
        elif held:
            pool.release(held.pop(0), 0.05)
            for _, grant in pool.serve_queue(0.0):
                held.append(grant.target)
        for each in pool.targets.values():
            assert 0 <= each.busy <= each.slots


def test_a_full_queue_is_refused_at_once_with_when_to_come_back():
    pool = pool_of(1)
    pool.acquire(demand(pool), 0.0)
    assert isinstance(pool.acquire(demand(pool, queue=1), 0.0), Queued)
    grant = pool.acquire(demand(pool, queue=1), 0.0)
    assert isinstance(grant, Shed)
    assert grant.retry_after_s > 0


def test_a_wait_beyond_the_deadline_is_refused_at_once():
    pool = pool_of(1)
    pool.acquire(demand(pool), 0.0)
    pool.service_time_s = 1.0
    grant = pool.acquire(demand(pool, deadline_s=0.5), 0.0)
    assert isinstance(grant, Shed)


def test_without_targets_nothing_waits():
    assert isinstance(SlotPool().acquire(demand(SlotPool()), 0.0), Shed)


def test_kinds_get_slots_by_their_shares():
    pool = pool_of(1)
    pool.acquire(demand(pool), 0.0)
    for _ in range(20):
        pool.acquire(demand(pool, kind='reads', share=1), 0.0)
        pool.acquire(demand(pool, kind='orders', share=3), 0.0)
    served = []
    for _ in range(16):
        pool.release('t0', 0.05)
        served += [each.kind for each, _ in pool.serve_queue(0.0)]
    assert served.count('orders') == 12


def test_callers_of_a_kind_take_turns():
    pool = pool_of(1)
    pool.acquire(demand(pool), 0.0)
    for _ in range(5):
        pool.acquire(demand(pool, caller='busy'), 0.0)
    pool.acquire(demand(pool, caller='quiet'), 0.0)
    served = []
    for _ in range(2):
        pool.release('t0', 0.05)
        served += [each.caller for each, _ in pool.serve_queue(0.0)]
    assert served == ['busy', 'quiet']


def test_a_cancelled_demand_gets_no_slot():
    pool = pool_of(1)
    pool.acquire(demand(pool), 0.0)
    waiting = demand(pool)
    pool.acquire(waiting, 0.0)
    assert pool.cancel(waiting.ticket)
    pool.release('t0', 0.05)
    assert pool.serve_queue(0.0) == []
