"""Counts requests in flight that other homes granted as taken slots.

It handles takeovers of busy services, and homes beside each other.
"""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from attrs import evolve

from carawaylane.decisions.placement.failure_estimate import Observation
from carawaylane.decisions.placement.target_state import InFlightRequest

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaylane.decisions.placement.target_pool import TargetPool
    from carawaylane.messages.dispatch import SlotRequest, Ticket
    from carawaylane.messages.in_flight import TargetInFlight


def count_reported(
    pool: TargetPool, request: SlotRequest, now_s: float
) -> int:
    """Take slots for what an entry has in flight; return their number.

    A slot is taken until the entry reports the result, or for as long as
    nearly all exchanges take, so that a wrong report does not last.
    """
    counted = 0
    for reported in request.in_flight:
        target = pool.targets.get(reported.target)
        if target is None:
            continue
        for ticket, age_s in _tickets(pool, request.entry, reported):
            model = pool.latency_model(request)
            pool.insert(
                target,
                InFlightRequest(
                    request=evolve(request, ticket=ticket, in_flight=()),
                    target=reported.target,
                    granted_at_s=now_s - age_s,
                    confirmed_at_s=now_s,
                    hedge_after_s=0.0,
                    model=model,
                    occupancy=target.occupancy(),
                    time_factor=1.0,
                    warmup_factor=1.0,
                    # The result says nothing of the target to this home,
                    # which does not know the route of the request.
                    observation=Observation(at_s=now_s),
                    entry_lost=True,
                    counted_until_s=now_s + model.stuck_after_s,
                ),
            )
            counted += 1
    return counted


def _tickets(
    pool: TargetPool, entry: str, reported: TargetInFlight
) -> Iterator[tuple[Ticket, float]]:
    """Return the tickets that are not known yet, with the assumed ages.

    Only the age of the oldest is known; the others are taken to be half as
    old. No more are counted than the target has slots: the others queue
    there.
    """
    spec = pool.targets[reported.target].spec
    numbers = list(reported.numbers[: reported.requests])
    # Tickets that are not in the report get numbers that no entry uses.
    unnamed = (
        -number
        for number in count(1)
        if (entry, -number) not in pool.in_flight
    )
    while len(numbers) < min(reported.requests, spec.slots):
        numbers.append(next(unnamed))
    for position, number in enumerate(numbers):
        if (entry, number) not in pool.in_flight:
            share = 0.5 if position else 1.0
            yield (entry, number), share * reported.oldest_age_s
