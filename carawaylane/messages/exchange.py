"""Requests inside the fleet and to targets, and chunks of streamed answers."""

from __future__ import annotations

from typing import Any, Protocol

from attrs import field, frozen

from carawaylane.decisions.admission.memory_budget import Holding
from carawaylane.messages.outcomes import Headers, Outcome


class UploadedBody(Protocol):
    """A body that is sent on while it is received.

    It `is_spent` as soon as it can't be sent to a further target, and
    `is_broken` if its sender broke it off. `length` is in bytes.
    """

    length: int
    is_spent: bool
    is_sent: bool
    is_broken: bool

    async def send(self, conn: Any) -> None:
        """Send the body on a connection to a target."""


@frozen(kw_only=True, repr=False)
class Request:
    """A caller's request as nodes forward it.

    `kind` is the name of its traffic kind. `key`, `shard` and `epoch` are set
    as far as the entry has routed it; only unsafe requests have a key.
    `deadline_ms` and `accepted_ms` are Unix times, `digest` identifies equal
    requests.
    """

    request_id: str
    service: str
    kind: str
    caller: str
    method: str
    path: str
    headers: Headers = ()
    body: bytes = field(default=b'', repr=False)
    key: str = ''
    shard: int = 0
    epoch: int = 0
    entry: str = ''
    deadline_ms: int = 0
    accepted_ms: int = 0
    trace_parent: str = ''
    digest: str = ''


@frozen(kw_only=True, repr=False)
class OutgoingRequest:
    """A request as it is sent to a target."""

    method: str
    path: str
    headers: Headers
    body: bytes
    request_id: str
    idempotent: bool
    # What the request holds of the memory budget, None if that is not counted.
    holding: Holding | None = field(default=None, eq=False, repr=False)
    # Whether an answer is passed on before it is complete, if it is large.
    streams: bool = False
    # The body, if it is sent on while it is received; `body` is empty then.
    upload: UploadedBody | None = field(default=None, eq=False, repr=False)

    @property
    def body_bytes(self) -> int:
        """Length of the body."""
        if self.upload is not None:
            return self.upload.length
        return len(self.body)

    @property
    def is_spent(self) -> bool:
        """Whether a part of the body is gone, so that no repeat has it."""
        return self.upload is not None and self.upload.is_spent


@frozen(kw_only=True, repr=False)
class Head:
    """Status and headers of an answer.

    `target` is the target that gave it; `replayed` marks an answer that was
    stored for an earlier attempt with the same key.
    """

    status: int
    headers: Headers = ()
    target: str = ''
    replayed: bool = False


@frozen(kw_only=True, repr=False)
class AnswerChunk:
    """A chunk of a streamed answer.

    The first chunk has the head, unless the request got no answer. Only the
    last chunk has the outcome, and the number of free slots of the shard if
    its home reported it. A single chunk may be first and last.
    """

    head: Head | None = None
    data: bytes = field(default=b'', repr=False)
    outcome: Outcome | None = None
    free_slots: int | None = None
