"""TCP proxy between a node and the store, which can fall silent."""

from __future__ import annotations

import asyncio
from asyncio import StreamReader, StreamWriter
from contextlib import suppress
from time import monotonic

BLOCK_BYTES = 65536


class StoreProxy:
    """Passes bytes on, or keeps them while it is silent.

    `watched_at_s` is when a watch of the configuration last passed to the
    store, as the platform can see it.
    """

    def __init__(self, store: str) -> None:
        self.address = ''
        self.watched_at_s = float('-inf')
        self._store = store
        self._is_silent = False
        self._writers: set[StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def fall_silent(self) -> None:
        """Pass nothing on any more, in neither direction."""
        self._is_silent = True

    def wake(self) -> None:
        """Serve again; the connections that were silent are reset."""
        self._is_silent = False
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        host, _, port = self._store.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        with suppress(ConnectionError):
            await asyncio.gather(
                self._pass_on(reader, far_writer),
                self._pass_on(far_reader, writer),
            )
        for end in (writer, far_writer):
            self._writers.discard(end)
            end.close()

    async def _pass_on(
        self, reader: StreamReader, writer: StreamWriter
    ) -> None:
        while data := await reader.read(BLOCK_BYTES):
            if self._is_silent:
                continue
            if data.startswith(b'GET /objects/config?watch='):
                self.watched_at_s = monotonic()
            writer.write(data)
            await writer.drain()
        if not self._is_silent:
            writer.close()
