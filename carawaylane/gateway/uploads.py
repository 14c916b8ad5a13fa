"""Large bodies of requests, sent to a target while they are received."""

from __future__ import annotations

from asyncio import Lock, create_task, sleep
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

from aiohttp import StreamReader
from attrs import define, field

from carawaylane.gateway.target_messages import request_head

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaylane.gateway.target_connections import Connection
    from carawaylane.messages.exchange import OutgoingRequest

PIECE_BYTES = 64 << 10
# Above this size a body is not joined with the head of its request.
MAX_JOINED_BYTES = 64 << 10


@define(kw_only=True, eq=False, repr=False)
class Upload:
    """The body of a request, of which the first part is held.

    The first part can be sent to several targets in turn, the rest only once.
    The sender is read as fast as the target takes the body. `turn` is shared
    by all large bodies of a node: each passes one piece on in its turn, so
    that other requests wait for a piece of one body at most.
    """

    length: int
    first: bytes
    payload: StreamReader
    turn: Lock
    # Whether more than the first part has been taken.
    is_spent: bool = field(init=False, default=False)
    is_sent: bool = field(init=False, default=False)
    # Whether the sender broke the body off.
    is_broken: bool = field(init=False, default=False)

    async def send(self, conn: Connection) -> None:
        """Send the body to a target; one that breaks off breaks the exchange.

        It ends quietly if the target takes no more, which may have answered.
        """
        if not await self._write(conn, self.first):
            return
        left = self.length - len(self.first)
        while left:
            piece = await self._next_piece()
            if not piece:
                self.is_broken = True
                conn.transport.abort()
                return
            left -= len(piece)
            if not await self._write(conn, piece):
                return
        self.is_sent = True

    async def _next_piece(self) -> bytes:
        """Return the next piece, empty if the body broke off."""
        try:
            piece = await self.payload.read(PIECE_BYTES)
        except Exception:  # noqa: BLE001
            # Whatever aiohttp says of the connection, the body is not whole.
            return b''
        self.is_spent = True
        return piece

    async def _write(self, conn: Connection, piece: bytes) -> bool:
        """Write a piece as the target takes it; False if it takes no more."""
        async with self.turn:
            if not conn.protocol.is_connected():
                return False
            conn.transport.write(piece)
            # The turn lasts until the event loop has served other sockets.
            await sleep(0)
        try:
            await conn.protocol.drain()
        except OSError:
            return False
        return True


@contextmanager
def writing(
    conn: Connection, request: OutgoingRequest, target: str, time_left_s: float
) -> Iterator[None]:
    """Write a request; an upload goes on while its answer is read."""
    head = request_head(request, target, time_left_s)
    transport: Any = conn.transport
    if len(request.body) > MAX_JOINED_BYTES:
        transport.write(head)
        transport.write(request.body)
    else:
        transport.write(head + request.body)
    if request.upload is None:
        yield
        return
    task = create_task(request.upload.send(conn))
    try:
        yield
    finally:
        task.cancel()
