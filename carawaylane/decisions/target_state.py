"""A target as its home holds it: entry, belief, work in flight."""

from __future__ import annotations

from attrs import Factory, define

from carawaylane.decisions.failure_estimate import FailureEstimate, Observation
from carawaylane.messages.dispatch import SlotRequest, Ticket
from carawaylane.messages.platform_objects import TargetSpec

# An entry's word that it still waits is late by this much at most.
CONFIRM_SLACK_S = 0.1
# For this long an entry surely keeps its connection (see exchanges).
CONNECTION_KEPT_S = 4.5
MAX_CONNECTIONS = 256


@define(kw_only=True)
class InFlightRequest:
    """A granted request."""

    ask: SlotRequest
    target: str
    at_s: float
    # When its entry last said that it still waits; until then, silence may
    # be the entry's.
    heard_s: float
    hedge_after_s: float
    observation: Observation
    # The entry is out of touch: nothing more will be heard.
    lost: bool = False

    def waited_s(self, now_s: float) -> float:
        """Return for how long the target has surely not answered."""
        if self.lost:
            return 0.0
        known_until_s = self.heard_s + self.hedge_after_s + CONFIRM_SLACK_S
        return min(now_s, known_until_s) - self.at_s


@define(kw_only=True)
class TargetState:
    """A target with what runs there and what is believed of it."""

    spec: TargetSpec
    estimate: FailureEstimate
    first_seen_s: float
    in_flight: dict[Ticket, InFlightRequest] = Factory(dict)
    # Until when an entry avoids the target, since it could not reach it.
    avoided_until_s: dict[str, float] = Factory(dict)
    # When an entry last got an answer: its connection is kept for a while.
    last_answer_s: dict[str, float] = Factory(dict)
    # Digests of requests whose exchange broke off, and when.
    broken_at_s: dict[int, float] = Factory(dict)
    replaced: bool = False
    # The chance that it is failing, as of a time, until more is learned.
    cached_risk: float = 0.0
    cached_risk_at_s: float = float('-inf')

    def is_open(self) -> bool:
        """Return whether the target may get new work."""
        return not self.spec.draining and not self.replaced

    def has_free_slot(self) -> bool:
        """Return whether a slot is free."""
        return len(self.in_flight) < self.spec.slots

    def is_warming_up(self, now_s: float) -> bool:
        """Return whether the target has just started."""
        return now_s - self.first_seen_s < self.spec.warmup_left_s

    def has_connection(self, entry: str, now_s: float) -> bool:
        """Return whether an entry has a connection to the target."""
        return (
            now_s - self.last_answer_s.get(entry, float('-inf'))
            <= CONNECTION_KEPT_S
        )

    def record_connection(self, entry: str, now_s: float) -> None:
        """Note that an entry got an answer on a connection it keeps."""
        self.last_answer_s.pop(entry, None)
        self.last_answer_s[entry] = now_s
        if len(self.last_answer_s) > MAX_CONNECTIONS:
            del self.last_answer_s[next(iter(self.last_answer_s))]
