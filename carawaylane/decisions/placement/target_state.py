"""State that the home of a service keeps for each target."""

from __future__ import annotations

from math import exp

from attrs import Factory, define

from carawaylane.decisions.placement.failure_estimate import (
    FailureEstimate,
    LatencyModel,
    Observation,
)
from carawaylane.messages.dispatch import SlotRequest, Ticket
from carawaylane.messages.platform_objects import TargetSpec

# An entry's confirmation that it waits for an answer comes at most this late.
CONFIRM_SLACK_S = 0.1
# An entry keeps an idle connection to a target for at least this long (see
# gateway/exchanges.py).
CONNECTION_KEPT_S = 4.5
# Entries per target whose connections are tracked.
MAX_CONNECTIONS = 256
# A new target soon gets a first request, so that it is known whether it works
# when its capacity is needed.
FIRST_REQUEST_AFTER_S = 1.0
# A target that warms up takes twice the work.
WARMING_UP_FACTOR = 2.0
# A target that is slower than this is suspected like this one.
MAX_TIME_FACTOR = 4.0
# The last answers of a target are few, and their work differs. With 0.5, the
# slowest answers in time were slower than by risk on the load near-full.
RECENT_WEIGHT = 0.25


@define(kw_only=True, eq=False, repr=False)
class InFlightRequest:
    """A granted request that has not ended."""

    request: SlotRequest
    target: str
    granted_at_s: float
    # When the entry last confirmed that it still waits for the answer. If it
    # confirms no more, the entry may be silent, not the target.
    confirmed_at_s: float
    # Age at which a hedge is due, and the interval of the confirmations.
    hedge_after_s: float
    # Of the request's work, and the share of the target's slots in use.
    model: LatencyModel
    occupancy: float
    # How much longer the target is expected to take than others, and the part
    # of it that is due to a recent start.
    time_factor: float
    warmup_factor: float
    observation: Observation
    # The entry is lost, so no confirmation or result will arrive.
    entry_lost: bool = False
    # Until when a request that another home granted takes a slot.
    counted_until_s: float | None = None

    def unanswered_s(self, now_s: float) -> float:
        """Return how long the target is known not to have answered."""
        if self.entry_lost:
            return 0.0
        known_until_s = (
            self.confirmed_at_s + self.hedge_after_s + CONFIRM_SLACK_S
        )
        return min(now_s, known_until_s) - self.granted_at_s


@define(kw_only=True, eq=False, repr=False)
class TargetState:
    """A target, its requests in flight and its failure estimate."""

    spec: TargetSpec
    estimate: FailureEstimate
    # When the target was added, or its spec last changed.
    updated_at_s: float
    in_flight: dict[Ticket, InFlightRequest] = Factory(dict)
    # By entry that could not reach the target: until when it avoids it.
    avoided_until_s: dict[str, float] = Factory(dict)
    # By entry: when it last got an answer, after which it keeps a connection.
    last_answer_by_entry_s: dict[str, float] = Factory(dict)
    # By digest of a request: when a connection broke during its exchange.
    broken_at_s: dict[int, float] = Factory(dict)
    # Another target now has the address.
    replaced: bool = False
    # The target said in an answer that it is about to stop.
    leaving: bool = False
    # Probability that the target is failing at `cached_risk_at_s`; any new
    # evidence resets that time.
    cached_risk: float = 0.0
    cached_risk_at_s: float = float('-inf')

    def is_open(self) -> bool:
        """Return whether the target accepts new requests."""
        return not (self.spec.draining or self.replaced or self.leaving)

    def has_free_slot(self) -> bool:
        """Return whether fewer requests are in flight than there are slots."""
        return len(self.in_flight) < self.spec.slots

    def occupancy(self) -> float:
        """Return the share of the slots in use."""
        return len(self.in_flight) / self.spec.slots

    def is_warming_up(self, now_s: float) -> bool:
        """Return whether the target started recently and is still slow."""
        return now_s - self.updated_at_s < self.spec.warmup_left_s

    def warmup_factor(self, now_s: float) -> float:
        """Return how much longer requests take after a recent start."""
        return WARMING_UP_FACTOR if self.is_warming_up(now_s) else 1.0

    def is_first_request_due(self, now_s: float) -> bool:
        """Return whether the target should get its first request now."""
        untried = self.estimate.last_sent_s == float('-inf')
        return untried and now_s - self.updated_at_s > FIRST_REQUEST_AFTER_S

    def has_connection(self, entry: str, now_s: float) -> bool:
        """Return whether an entry still has a connection to the target."""
        return (
            now_s - self.last_answer_by_entry_s.get(entry, float('-inf'))
            <= CONNECTION_KEPT_S
        )

    def record_connection(self, entry: str, now_s: float) -> None:
        """Record that an entry got an answer and keeps its connection."""
        self.last_answer_by_entry_s.pop(entry, None)
        self.last_answer_by_entry_s[entry] = now_s
        if len(self.last_answer_by_entry_s) > MAX_CONNECTIONS:
            del self.last_answer_by_entry_s[
                next(iter(self.last_answer_by_entry_s))
            ]


@define(kw_only=True, eq=False, repr=False)
class FreeTargets:
    """Targets with a free slot at a time, and those due for the floor."""

    at_s: float
    all: list[TargetState]
    due: list[TargetState]
    # None until it is asked for.
    lowest_risk: float | None = None


def speed_factor(target: TargetState, now_s: float) -> float:
    """Return how much longer requests take at a target than at the mean."""
    estimate = target.estimate
    recent = estimate.slowness - estimate.lasting_slowness
    if recent > 0:
        idle_s = max(0.0, now_s - estimate.last_answer_s)
        recent *= exp(-idle_s / estimate.SLOWNESS_DECAY_S)
    slowness = estimate.lasting_slowness + RECENT_WEIGHT * max(0.0, recent)
    return exp(slowness) * target.warmup_factor(now_s)


def remaining_s(granted: InFlightRequest, now_s: float) -> float:
    """Return the expected time until a request in flight is answered."""
    return granted.model.remaining_s(now_s - granted.granted_at_s)


def untried(
    targets: list[TargetState], request: SlotRequest
) -> list[TargetState]:
    """Return the targets that a request has not been sent to."""
    return [
        target
        for target in targets
        if target.spec.name not in request.avoided_targets
    ]
