"""A request on its way and the pieces of its answer."""

from __future__ import annotations

from attrs import field, frozen

from carawaylane.messages.outcomes import Headers, Outcome


@frozen(kw_only=True)
class Request:
    """A caller's request inside the fleet; times are Unix milliseconds."""

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


@frozen(kw_only=True)
class Head:
    """Status and headers of an answer."""

    status: int
    headers: Headers = ()
    target: str = ''
    replayed: bool = False


@frozen(kw_only=True)
class Piece:
    """A part of an answer: the first has a head, the last an end.

    With the end come the free slots of the shard, if its home told them.
    """

    head: Head | None = None
    data: bytes = field(default=b'', repr=False)
    end: Outcome | None = None
    free_slots: int | None = None
