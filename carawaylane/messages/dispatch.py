"""Requests for a slot on a target, and the replies to them.

The entry, the node that took a caller's request, asks the home of the
service for a slot. The home decides for all entries.
"""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from carawaylane.messages.in_flight import TargetInFlight
from carawaylane.messages.learned import LearnedDigest

# Identifies a slot request: the entry and a number that it counts up.
Ticket = tuple[str, int]


class AttemptKind(Enum):
    """Why the entry needs a slot."""

    FIRST = 0
    # A retry: another target has received the request.
    REPEAT = 1
    # No target has received the request, since the connection failed.
    RESEND = 2
    # Another target still works on the request, and its answer is overdue.
    HEDGE = 3

    @property
    def is_retry(self) -> bool:
        """Whether another target has received the request."""
        return self in (AttemptKind.REPEAT, AttemptKind.HEDGE)


@frozen(kw_only=True, repr=False)
class AttemptCounts:
    """First attempts and retries in the window of the retry budget."""

    first_attempts: int = 0
    retries: int = 0


@frozen(kw_only=True, repr=False)
class AttemptReport:
    """Attempts of an entry at a service, for the home that it asks.

    `total` are those for which any home decided, `at_home` those for which
    the home that is asked decided.
    """

    total: AttemptCounts = AttemptCounts()
    at_home: AttemptCounts = AttemptCounts()


@frozen(kw_only=True, repr=False)
class BackpressureNotice:
    """What an answer said of the requests that its target takes.

    `rate_per_s` is the limit for all nodes together, None if there is none;
    with `names_rate` unset the notice says nothing of it. `sent_age_s` is the
    time since the request was sent, `heard_age_s` that since the answer
    arrived. The entry sends the target nothing for `pause_left_s`, and
    nothing more if it is `leaving`. Both apply to the incarnation that
    registered the start `started_ms`; if that is None, to the present one
    unless it started after the Unix time `started_until_ms`.
    """

    target: str
    rate_per_s: float | None = None
    sent_age_s: float = 0.0
    heard_age_s: float = 0.0
    names_rate: bool = True
    pause_left_s: float = 0.0
    leaving: bool = False
    started_ms: int | None = None
    started_until_ms: int = 0

    def start_of(self, present_ms: int | None) -> int | None:
        """Return the start that is meant, None if it can't be known.

        `present_ms` is that of the target's present incarnation, None if it
        has none.
        """
        if self.started_ms is not None:
            return self.started_ms
        if present_ms is None or present_ms > self.started_until_ms:
            return None
        return present_ms

    @property
    def withholds(self) -> bool:
        """Whether the entry sends the target no requests for now."""
        return self.leaving or self.pause_left_s > 0


@frozen(kw_only=True, repr=False)
class SlotRequest:
    """A caller's request that needs a slot on a target.

    `left_s` is the time until its caller gives up, `objective_s` the latency
    objective of its route. `digest` identifies equal requests, 0 if unknown.
    `recent_attempts` are those of the entry at the service, `notices`
    what its targets have asked for.
    """

    ticket: Ticket
    data_centre: str
    route: str
    # 0 is the most urgent.
    priority: int
    idempotent: bool
    left_s: float
    objective_s: float
    attempt: AttemptKind = AttemptKind.FIRST
    avoided_targets: frozenset[str] = frozenset()
    digest: int = 0
    request_id: str = ''
    recent_attempts: AttemptReport = AttemptReport()
    notices: tuple[BackpressureNotice, ...] = ()
    # The customer whose request it is, empty if there is none.
    customer: str = ''
    # Size of the request's body, which the target holds in memory.
    request_bytes: int = 0
    method: str = ''
    # Pattern that stands for similar paths, from a bounded set.
    path_shape: str = ''
    # Whether the route's answers are large.
    large_answers: bool = False
    # Told to a home that the entry asks for the first time.
    learned: LearnedDigest | None = None
    in_flight: tuple[TargetInFlight, ...] = ()

    @property
    def only_reports(self) -> bool:
        """Whether no slot is wanted, as the request only has a report."""
        return bool(self.in_flight) and self.left_s <= 0

    @property
    def entry(self) -> str:
        """The node that requests the slot."""
        return self.ticket[0]


@frozen(kw_only=True)
class Grant:
    """A slot on a target.

    `risk` is the probability that the target is failing. A hedge is due if
    there is no answer after `hedge_after_s`.
    """

    ticket: Ticket
    target: str
    address: str
    hedge_after_s: float
    risk: float


@frozen(kw_only=True)
class Queued:
    """The request is queued; another reply follows."""

    ticket: Ticket
    expected_wait_s: float


@frozen(kw_only=True)
class Refusal:
    """No slot will be granted; the caller may retry after a delay."""

    ticket: Ticket
    retry_after_s: float
    reason: str


SlotReply = Grant | Queued | Refusal
