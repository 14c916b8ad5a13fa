"""Bodies of callers' requests, as far as there is memory for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp.web_exceptions import HTTPRequestEntityTooLarge

from carawaylane.decisions.admission.memory_budget import (
    MAX_FIRST_PART_BYTES,
    MIN_LARGE_RESPONSE_BYTES,
    UPLOAD_BYTES,
)
from carawaylane.gateway.uploads import PIECE_BYTES

if TYPE_CHECKING:
    from aiohttp.web_request import BaseRequest

    from carawaylane.decisions.admission.memory_budget import Holding
    from carawaylane.messages.platform_objects import Route


def holds_body(holding: Holding | None, size: int, *, repeats: bool) -> bool:
    """Return whether all of a body is read before the request is sent.

    A large one is held for the repeats of an idempotent request if there is
    room for it. The size of one of unknown length is 0, and it is held as far
    as there is room.
    """
    if holding is None or size <= UPLOAD_BYTES:
        return True
    return repeats and holding.budget.holds_body(holding.connection, size)


def reserved_bytes(route: Route, *, is_held: bool) -> int:
    """Return what is held from the start of a request to its end."""
    size = 0 if is_held else UPLOAD_BYTES
    return size + MIN_LARGE_RESPONSE_BYTES * route.large_answers


def arrived_bytes(req: BaseRequest) -> int:
    """Return the length of a body if all of it has arrived, else 0."""
    return req.content.total_bytes if req.content.is_eof() else 0


def has_room(
    holding: Holding,
    customer: str,
    body_bytes: int,
    *,
    reserved: int,
    arrived: int,
) -> bool:
    """Return whether there is memory for a request and its response.

    `body_bytes` may be held, `reserved` are held from now on. So are those of
    a body that has `arrived`, which would be lost if the request had to wait
    for its turn.
    """
    budget = holding.budget
    if not budget.admits(holding.connection, body_bytes + reserved):
        return False
    reserved += arrived
    return budget.assign(holding, customer) and (
        not reserved or holding.reserve(reserved)
    )


async def read_first_part(req: BaseRequest) -> bytes:
    """Read what is held of a body that is sent on as it is received."""
    chunks = []
    left = MAX_FIRST_PART_BYTES
    while left:
        chunk = await req.content.read(min(left, PIECE_BYTES))
        if not chunk:
            break
        chunks.append(chunk)
        left -= len(chunk)
    return b''.join(chunks)


async def read_held_body(req: BaseRequest, holding: Holding) -> bytes | None:
    """Read a body; return None as soon as there is no memory for it."""
    chunks = []
    size = 0
    async for chunk in req.content.iter_any():
        size += len(chunk)
        if 0 < req._client_max_size < size:
            raise HTTPRequestEntityTooLarge(
                max_size=req._client_max_size, actual_size=size
            )
        if not holding.grow(len(chunk)):
            return None
        chunks.append(chunk)
    if len(chunks) == 1:
        return chunks[0]
    # All of it exists twice while it is joined.
    if not holding.budget.grow(holding, size):
        return None
    body = b''.join(chunks)
    holding.shrink(size)
    return body
