"""Tests of the budget for what a node holds."""

from random import Random

import pytest

from carawaylane.decisions.admission.memory_budget import (
    ADMISSION_SHARE,
    CONNECTION_SHARE,
    CUSTOMER_SHARE,
    LARGE_SHARE,
    MAX_BUFFERED_BYTES,
    MIN_LARGE_RESPONSE_BYTES,
    SLOW_READER_BYTES_PER_S,
    MemoryBudget,
)

LIMIT = 64 << 20


@pytest.fixture
def budget():
    return MemoryBudget(limit_bytes=LIMIT)


def fill(budget, share, first_connection=1):
    """Use up a share of the budget, a megabyte for each connection."""
    holdings = []
    while budget.used_bytes + (1 << 20) <= share * LIMIT:
        holding = budget.open(first_connection + len(holdings))
        holding.start_sending(0.0)
        assert holding.grow(1 << 20)
        holdings.append(holding)
    return holdings


def test_large_requests_are_refused_before_small_ones(budget):
    fill(budget, ADMISSION_SHARE)
    rest = int(ADMISSION_SHARE * LIMIT) - budget.used_bytes
    assert budget.open(999).grow(rest)
    assert not budget.admits(1000, MIN_LARGE_RESPONSE_BYTES)
    assert budget.admits(1000, 400)


def test_no_connection_holds_more_than_its_share(budget):
    size = int(CONNECTION_SHARE * LIMIT)
    first, second = budget.open(1), budget.open(1)
    first.start_sending(0.0)
    assert first.grow(size - 1000)
    assert not second.grow(20_000)
    assert not budget.admits(1, 2000)
    assert budget.admits(2, 2000)
    assert not budget.admits(2, size + 1)


def test_responses_that_wait_leave_room_for_the_one_in_turn(budget):
    """A pipeline of large responses came to a stop without it."""
    first, second = budget.open(1), budget.open(1)
    while second.grow(1 << 16):
        pass
    assert not first.grow(1 << 16)
    assert not budget.admits_behind(1000)
    assert budget.admits_behind(1)
    first.start_sending(0.0)
    assert first.grow(1 << 20)


def test_a_reservation_is_used_before_more_is_held(budget):
    holding = budget.open(1)
    assert holding.reserve(1000)
    fill(budget, 0.88, first_connection=2)
    assert holding.grow(600)
    assert holding.size == 1000
    assert holding.grow(600)
    assert holding.size == 1200


def test_no_customer_holds_more_than_its_share(budget):
    held = 0
    for number in range(1, 1000):
        holding = budget.open(number)
        budget.assign(holding, 'large')
        if not holding.grow(1 << 20):
            break
        held += 1 << 20
    assert held <= CUSTOMER_SHARE * LIMIT
    other = budget.open(2000)
    assert budget.assign(other, 'small')
    assert other.grow(1 << 20)


def test_less_is_buffered_as_memory_gets_short(budget):
    sizes = [budget.buffer_limit()]
    for first in range(1, 60, 10):
        fill(budget, min(1, first / 60), first_connection=first * 1000)
        sizes.append(budget.buffer_limit())
    assert sizes == sorted(sizes, reverse=True)
    assert (sizes[0], sizes[-1]) == (
        MAX_BUFFERED_BYTES,
        MIN_LARGE_RESPONSE_BYTES,
    )


def test_the_slowest_readers_leave_first_and_only_as_many_as_needed(budget):
    holdings = fill(budget, 0.95)
    for number, holding in enumerate(holdings):
        holding.start_sending(0.0)
        holding.record_sent(number * 100)
    assert not budget.slow_readers(1.0)
    chosen = budget.slow_readers(10.0)
    assert chosen == holdings[: len(chosen)]
    for holding in chosen:
        holding.release()
    assert budget.used_bytes <= ADMISSION_SHARE * LIMIT
    assert budget.used_bytes > (ADMISSION_SHARE - 0.05) * LIMIT
    assert not budget.slow_readers(10.0)


def test_fast_readers_stay_whatever_is_held(budget):
    for holding in fill(budget, LARGE_SHARE):
        holding.start_sending(0.0)
        holding.record_sent(10 * SLOW_READER_BYTES_PER_S)
    assert not budget.slow_readers(10.0)


def test_readers_stay_while_there_is_room(budget):
    for holding in fill(budget, 0.5):
        holding.start_sending(0.0)
    assert not budget.slow_readers(1000.0)


@pytest.mark.parametrize('seed', range(20))
def test_the_count_is_that_of_all_holdings_and_within_the_limit(seed):
    """A byte that is given back twice or never ends the service in hours."""
    rng = Random(seed)
    budget = MemoryBudget(limit_bytes=LIMIT)
    holdings = []
    for _ in range(2000):
        action = rng.randrange(5)
        if action == 0 or not holdings:
            holdings.append(budget.open(rng.randrange(1, 20)))
            continue
        holding = rng.choice(holdings)
        if action == 1:
            holding.grow(rng.randrange(4 << 20))
        elif action == 2:
            holding.shrink(rng.randrange(4 << 20))
        elif action == 3:
            budget.assign(holding, rng.choice(('', 'a', 'b')))
        else:
            holding.release()
            holding.release()
            holdings.remove(holding)
        assert budget.used_bytes == sum(held.size for held in holdings)
        assert 0 <= budget.used_bytes <= LIMIT
    for holding in holdings:
        holding.release()
    assert budget.used_bytes == 0
    assert not budget.holdings
    assert not budget._by_connection
    assert not budget._by_customer


def test_slow_readers_are_looked_for_only_while_memory_is_short():
    calls = []
    budget = MemoryBudget(
        limit_bytes=1000, on_short=lambda: calls.append(budget.used_bytes)
    )
    holding = budget.open(1)
    assert holding.grow(899)
    assert not calls
    assert not budget.is_short
    assert holding.grow(1)
    assert calls == [900]
    assert budget.is_short
    holding.release()
    assert calls == [900]
    assert not budget.is_short
