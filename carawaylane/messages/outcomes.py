"""Outcomes of a request, and problems found by a check."""

from __future__ import annotations

from typing import Any

from attrs import field, frozen

Headers = tuple[tuple[str, str], ...]

# Statuses of HTTP that end an exchange (RFC 9110, 15); others say nothing of
# the request.
FINAL_STATUSES = range(200, 600)


@frozen(kw_only=True, repr=False)
class InvalidNumber:
    """Text in an answer that is not a finite number of at least 0."""

    text: str


@frozen(kw_only=True, repr=False)
class Backpressure:
    """What a target asks of its callers in an answer.

    `rate_limit` is the number of requests per second that it takes from all
    nodes together, None if the answer names no limit. This node is to send
    nothing for `pause_s`. A target that is `leaving` is about to stop.
    """

    rate_limit: float | InvalidNumber | None = None
    pause_s: float | InvalidNumber = 0.0
    leaving: bool = False


NO_BACKPRESSURE = Backpressure()


@frozen(kw_only=True, repr=False)
class Answered:
    """A target answered the request, completely without a stream."""

    status: int
    headers: Headers = ()
    body: bytes = b''
    target: str = ''
    replayed: bool = False
    # The body, if the answer is passed on before it is complete.
    stream: Any = field(default=None, eq=False)


@frozen(kw_only=True, repr=False)
class NotRun:
    """No target ran the request, and none will run this attempt.

    For a request with an idempotency key, `refused_ms` is the Unix time at
    which the owner of the shard recorded the refusal. It is 0 if no record
    keeps other attempts under the key from running.
    """

    reason: str
    retry_after_ms: int = 1000
    status: int = 503
    refused_ms: int = 0


@frozen(kw_only=True, repr=False)
class Unknown:
    """The request may have run; its idempotency key never runs again.

    If `retry_after_ms` is positive, the outcome may be known when the caller
    resends the request under the same key after that time.
    """

    reason: str
    retry_after_ms: int = 0


@frozen(kw_only=True, repr=False)
class Failed:
    """An idempotent request got no complete answer."""

    reason: str
    retry_after_ms: int = 1000


@frozen(kw_only=True, repr=False)
class Moved:
    """The receiver does not own the shard, and nothing was run.

    `epoch` and `owner` are those that the receiver knows.
    """

    epoch: int = 0
    owner: str = ''


Outcome = Answered | NotRun | Unknown | Failed | Moved


@frozen(kw_only=True, repr=False)
class Problem:
    """An error or warning of a check: where it is and what is wrong."""

    place: str
    reason: str

    def __str__(self) -> str:
        """Return the problem as one line for the user."""
        return f'{self.place}: {self.reason}' if self.place else self.reason


@frozen(kw_only=True, repr=False)
class CheckReport:
    """Errors and warnings of a check."""

    errors: tuple[Problem, ...] = ()
    warnings: tuple[Problem, ...] = ()

    @property
    def ok(self) -> bool:
        """Whether the check found no errors."""
        return not self.errors
