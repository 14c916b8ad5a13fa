"""A target as its home holds it: entry, belief, work in flight."""

from __future__ import annotations

from attrs import Factory, define

from carawaylane.decisions.failure_estimate import Belief, Evidence
from carawaylane.messages.dispatch import SlotRequest, Ticket
from carawaylane.messages.plan import TargetSpec

# An entry's word that it still waits is late by this much at most.
CONFIRM_SLACK_S = 0.1
# For this long an entry surely keeps its connection (see exchanges).
WARM_S = 4.5
MAX_WARM = 256


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
    evidence: Evidence
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

    entry: TargetSpec
    belief: Belief
    seen_s: float
    in_flight: dict[Ticket, InFlightRequest] = Factory(dict)
    # Until when an entry avoids the target, since it could not reach it.
    paths: dict[str, float] = Factory(dict)
    # When an entry last got an answer: its connection is kept for a while.
    warm: dict[str, float] = Factory(dict)
    # Digests of requests whose exchange broke off, and when.
    broke: dict[int, float] = Factory(dict)
    gone: bool = False
    # The chance that it is failing, as of a time, until more is learned.
    risk: float = 0.0
    risk_s: float = float('-inf')

    def open(self) -> bool:
        """Return whether the target may get new work."""
        return not self.entry.draining and not self.gone

    def free(self) -> bool:
        """Return whether a slot is free."""
        return len(self.in_flight) < self.entry.slots

    def cold(self, now_s: float) -> bool:
        """Return whether the target has just started."""
        return now_s - self.seen_s < self.entry.warmup_left_s

    def is_warm(self, entry: str, now_s: float) -> bool:
        """Return whether an entry has a connection to the target."""
        return now_s - self.warm.get(entry, float('-inf')) <= WARM_S

    def note_warm(self, entry: str, now_s: float) -> None:
        """Note that an entry got an answer on a connection it keeps."""
        self.warm.pop(entry, None)
        self.warm[entry] = now_s
        if len(self.warm) > MAX_WARM:
            del self.warm[next(iter(self.warm))]
