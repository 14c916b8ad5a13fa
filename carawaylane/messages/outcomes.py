"""Outcomes of a request, as tagged values."""

from __future__ import annotations

from dataclasses import dataclass, field

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """The whole answer of a target."""

    status: int
    headers: Headers = ()
    body: bytes = b''
    target: str = ''
    replayed: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """No target ran the request, nor will it run without a new attempt.

    For a keyed request `refused_ms` is the Unix time at which the owner
    recorded that; 0 if there is no record that keeps it true for a while.
    """

    reason: str
    retry_after_ms: int = 1000
    status: int = 503
    refused_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The request may have run; its key is never run again.

    A positive `retry_after_ms` says that asking again under the same key
    may tell more.
    """

    reason: str
    retry_after_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """An idempotent request got no whole answer."""

    reason: str
    retry_after_ms: int = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class Moved:
    """The receiver does not own the shard; nothing was run."""

    epoch: int = 0
    owner: str = ''


Outcome = Answered | NotRun | Unknown | Failed | Moved


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """A user's mistake in a document or a call: where and why."""

    place: str
    reason: str

    def __str__(self) -> str:
        """Return the one line shown to people."""
        return f'{self.place}: {self.reason}' if self.place else self.reason


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckReport:
    """Gathered errors and warnings of a check."""

    errors: tuple[Problem, ...] = ()
    warnings: tuple[Problem, ...] = field(default=())

    @property
    def ok(self) -> bool:
        """Whether nothing was wrong."""
        return not self.errors
