"""The bodies of answers, as far as there is memory for them."""

from __future__ import annotations

from asyncio import sleep
from typing import TYPE_CHECKING, Any

from aiohttp import StreamReader
from attrs import define

from carawaylane.decisions.admission.answer_memory import MAX_ANSWER_BYTES
from carawaylane.gateway.streamed_answers import (
    MEMORY_RETRY_S,
    READ_BYTES,
    add_piece,
)
from carawaylane.services.response_handler import content_length

if TYPE_CHECKING:
    from carawaylane.decisions.admission.answer_memory import AnswerSize
    from carawaylane.decisions.admission.memory_budget import Holding
    from carawaylane.messages.exchange import OutgoingRequest
    from carawaylane.services.response_handler import BoundedResponseHandler

MIN_SERVER_ERROR_STATUS = 500
# A longer answer takes a link of 1,000 Mbit/s over 8 s, and hardly arrives in
# the time of a request: its length is taken for an error of the target.
MAX_LENGTH_BYTES = 1 << 30


@define(kw_only=True, eq=False, repr=False)
class PartialBody:
    """The part of a large body that is read, and the reader of the rest."""

    payload: StreamReader
    chunks: list[bytes]
    # Read too, but there was no memory for it.
    pending: bytes = b''


def buffer_limit(message: Any, request: OutgoingRequest) -> int | None:
    """Return up to which size an answer is read whole.

    What is beyond it is passed on as it is read. None if the answer is cut off
    there, as it can't be passed on before it is complete.
    """
    if (
        request.holding is None
        or request.upload is not None
        or message.code >= MIN_SERVER_ERROR_STATUS
    ):
        return None
    length = content_length(message)
    # Without either, a broken body may look complete.
    if request.streams and (message.chunked or length is not None):
        return request.holding.budget.buffer_limit()
    if length is None or length > MAX_LENGTH_BYTES:
        return None
    if length > MAX_ANSWER_BYTES:
        return request.holding.budget.buffer_limit()
    return MAX_ANSWER_BYTES


async def read_answer_body(
    protocol: BoundedResponseHandler,
    payload: StreamReader,
    holding: Holding | None,
    limit: int | None,
    size: AnswerSize,
) -> bytes | PartialBody | None:
    """Return the body of an answer, or None if it is too large.

    If it is larger than the limit, only a part of it is read. `size` counts
    towards all answers of the node that are read whole.
    """
    chunks: list[bytes] = []
    held_bytes = 0
    kept = False
    try:
        async for chunk in payload.iter_chunked(READ_BYTES):
            if not size.grow_to(protocol.body_bytes) or not (
                holding is None
                or await _hold_piece(
                    holding, len(chunk), size, may_wait=limit is None
                )
            ):
                if limit is None:
                    return None
                kept = True
                return PartialBody(
                    payload=payload, chunks=chunks, pending=chunk
                )
            held_bytes += len(chunk) if holding is not None else 0
            add_piece(chunks, chunk)
            if limit is not None and held_bytes > limit:
                kept = True
                return PartialBody(payload=payload, chunks=chunks)
        kept = True
    finally:
        size.release()
        if holding is not None and not kept:
            holding.shrink(held_bytes)
    return b''.join(chunks)


async def _hold_piece(
    holding: Holding, length: int, size: AnswerSize, *, may_wait: bool
) -> bool:
    """Hold a piece of an answer; return False if there is no room for it.

    Before its turn, a request may wait for memory of those before it on the
    connection. Meanwhile its answer does not count towards all large ones.
    """
    while not holding.grow(length):
        if holding.in_turn or not may_wait:
            return False
        size.release()
        await sleep(MEMORY_RETRY_S)
    return True
