"""Reads from the sockets of targets in parts of a bounded size."""

from __future__ import annotations

from asyncio import BufferedProtocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import BaseTransport

    from carawaylane.services.response_handler import BoundedResponseHandler

# Event loops read up to 256 KB at once, which is kept while the reader of an
# answer rests.
READ_BYTES = 16 << 10
# What is read is copied at once, so all connections share a buffer.
_BUFFER = memoryview(bytearray(READ_BYTES))


class SmallReads(BufferedProtocol):
    """Passes what is read of a connection to the protocol of its answers."""

    def __init__(self, *, handler: BoundedResponseHandler) -> None:
        self.handler = handler

    def connection_made(self, transport: BaseTransport) -> None:
        """Pass the transport on."""
        self.handler.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on that the connection has ended."""
        self.handler.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pass on that the buffer of what is sent is full."""
        self.handler.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that there is room in the buffer again."""
        self.handler.resume_writing()

    def eof_received(self) -> None:
        """Pass on that the target sends no more."""
        self.handler.eof_received()

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _BUFFER

    def buffer_updated(self, size: int) -> None:
        """Take what was read into the buffer."""
        self.handler.data_received(bytes(_BUFFER[:size]))
