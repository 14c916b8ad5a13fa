"""The rest of a large answer, read from a target while it is sent on."""

from __future__ import annotations

from asyncio import (
    CancelledError,
    Event,
    Task,
    create_task,
    get_running_loop,
    sleep,
    timeout,
)
from collections import deque
from typing import TYPE_CHECKING

from aiohttp import ClientError
from aiohttp.http_exceptions import HttpProcessingError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, MutableSequence

    from aiohttp import StreamReader

    from carawaylane.decisions.admission.memory_budget import Holding

# A target may be silent as long as the request has time, and this long after
# it: a caller that reads slowly still gets what the target goes on sending.
LATE_SILENCE_S = 5.0
# While no memory is left, the target is read again after this time. It cuts
# off an answer that stays unread for seconds.
MEMORY_RETRY_S = 0.02
# What is read ahead of a caller.
MAX_AHEAD_BYTES = 1 << 20
# A chunk as large as all that has arrived may not fit into what a connection
# may hold, which a stream would then wait for in vain.
READ_BYTES = 16 << 10
# Pieces are joined up to this size, since each one takes some 40 bytes more
# than its length, and a target may send a byte at a time.
JOINED_PIECE_BYTES = 1024
# Raised by aiohttp while an answer is read and parsed.
ANSWER_ERRORS = (ClientError, HttpProcessingError, OSError, ValueError)


class BrokenAnswerError(Exception):
    """The target broke the answer off."""


class AnswerStream:
    """Reads on from the target as far as there is memory, for one reader.

    What was read is given back to the memory budget as it is sent. The owner
    of the connection learns how the answer ended: whether it is complete, or
    None if nobody wants it any more.
    """

    def __init__(
        self,
        *,
        payload: StreamReader,
        chunks: list[bytes],
        pending: bytes,
        length: int | None,
        holding: Holding,
        deadline_s: float,
    ) -> None:
        # Total length of the body, None if the target did not say.
        self.length = length
        self._payload = payload
        self._chunks = deque(chunks)
        # Read already, but there was no memory for it.
        self._pending = pending
        self._holding = holding
        # Of the request, a time of the event loop.
        self._deadline_s = deadline_s
        self._held_bytes = sum(map(len, chunks))
        self._task: Task[None] | None = None
        self._changed = Event()
        self._is_done = False
        self._is_complete: bool | None = None
        self._on_end: list[Callable[[bool | None], None]] = []

    def start(self, on_end: Callable[[bool | None], None]) -> None:
        """Read on; `on_end` is called as the answer ends."""
        self._on_end.append(on_end)
        self._task = create_task(self._read())

    def when_done(self, on_end: Callable[[bool | None], None]) -> None:
        """Call a function as the answer ends, or now if it has ended."""
        if self._is_done:
            on_end(self._is_complete)
        else:
            self._on_end.append(on_end)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield what is read, and raise BrokenAnswerError if it breaks."""
        while True:
            while self._chunks:
                chunk = self._chunks.popleft()
                yield chunk
                self._give_back(len(chunk))
            if self._is_done:
                break
            self._changed.clear()
            await self._changed.wait()
        if not self._is_complete:
            raise BrokenAnswerError

    def discard(self) -> None:
        """Stop reading, as nobody wants the answer any more."""
        if self._task is not None and not self._task.done():
            self._task.cancel()
        elif not self._is_done:
            self._end(None)
        self._chunks.clear()
        self._give_back(self._held_bytes)

    async def _read(self) -> None:
        complete: bool | None = False
        try:
            chunk = self._pending
            self._pending = b''
            while chunk or (chunk := await self._next_chunk()):
                await self._hold(len(chunk))
                add_piece(self._chunks, chunk)
                self._changed.set()
                chunk = b''
            complete = True
        except (*ANSWER_ERRORS, TimeoutError):
            pass
        except CancelledError:
            complete = None
            raise
        finally:
            self._end(complete)

    async def _next_chunk(self) -> bytes:
        left_s = self._deadline_s - get_running_loop().time()
        async with timeout(max(left_s, LATE_SILENCE_S)):
            return await self._payload.read(READ_BYTES)

    async def _hold(self, size: int) -> None:
        while self._held_bytes >= MAX_AHEAD_BYTES or not self._holding.grow(
            size
        ):
            await sleep(MEMORY_RETRY_S)
        self._held_bytes += size

    def _give_back(self, size: int) -> None:
        size = min(size, self._held_bytes)
        self._held_bytes -= size
        self._holding.shrink(size)

    def _end(self, complete: bool | None) -> None:
        self._is_done = True
        self._is_complete = complete
        self._changed.set()
        for on_end in self._on_end:
            on_end(complete)
        self._on_end.clear()


def add_piece(pieces: MutableSequence[bytes], piece: bytes) -> None:
    """Add what was read of a body to the pieces before it."""
    if pieces and len(pieces[-1]) + len(piece) <= JOINED_PIECE_BYTES:
        pieces[-1] += piece
    else:
        pieces.append(piece)
