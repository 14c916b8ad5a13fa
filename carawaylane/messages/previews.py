"""What a home would reply to a request for a slot, and why."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from carawaylane.messages.dispatch import SlotReply


class Verdict(Enum):
    """What a request would get at one target now."""

    GRANT = 0
    # The target may serve it later.
    WAIT = 1
    # The target takes no new requests.
    REFUSE = 2


@frozen(kw_only=True, repr=False)
class Candidate:
    """A target as a home sees it for one request.

    `risk` is the probability that the target is failing, `work_s` the
    expected time that it takes for the request, `remaining_s` that for the
    requests in flight at it. `cost` is in units of a lost request.
    """

    target: str
    data_centre: str
    slots: int
    in_flight: int
    risk: float
    work_s: float
    remaining_s: float
    cost: float
    verdict: Verdict
    reason: str


@frozen(kw_only=True, repr=False)
class Preview:
    """The reply that a request would get, and the targets in order."""

    reply: SlotReply
    # Requests that wait for a slot of the service.
    queued: int
    candidates: tuple[Candidate, ...]
