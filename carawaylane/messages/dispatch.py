"""What an entry asks of the home of a service, and the replies."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from attrs import frozen

# The entry that asks, and its number for the request.
Ticket = tuple[str, int]


class AttemptKind(Enum):
    """Why a target is asked for."""

    FIRST = 0
    # Another target has received the request.
    REPEAT = 1
    # No target has received it: a connection failed.
    RESEND = 2
    # Another target still works on it; a free slot or nothing.
    HEDGE = 3


@frozen(kw_only=True)
class SlotRequest:
    """A request that needs a target; `left_s` until its caller gives up."""

    ticket: Ticket
    data_centre: str
    route: str
    priority: int
    idempotent: bool
    left_s: float
    objective_s: float
    attempt: AttemptKind = AttemptKind.FIRST
    avoided_targets: frozenset[str] = frozenset()
    digest: int = 0
    request_id: str = ''

    @property
    def entry(self) -> str:
        """The node that asks."""
        return self.ticket[0]


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """A slot of a target; its answer is overdue after `hedge_s`."""

    ticket: Ticket
    target: str
    address: str
    hedge_after_s: float
    risk: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Queued:
    """The ask is queued; a grant is expected within a time."""

    ticket: Ticket
    expected_wait_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """No target will be granted; when to come back, and why."""

    ticket: Ticket
    retry_after_s: float
    reason: str


SlotReply = Grant | Queued | Refusal
