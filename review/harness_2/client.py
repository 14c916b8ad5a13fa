"""Clients that send requests one by one on connections that they keep."""

from __future__ import annotations

import asyncio
from asyncio import StreamReader, StreamWriter
from contextlib import suppress
from itertools import count
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from random import Random

    from fleet import Fleet, Node

HOST = 'shop.example'
CONNECT_TIMEOUT_S = 1.0
_numbers = count(1)


@define(kw_only=True)
class Try:
    """One attempt of a client, and how it ended.

    `status` is None if the connection was closed without a whole answer, or
    if the client gave up at its deadline (`timed_out`). `number` is the
    position of the request on its connection.
    """

    request_id: str
    node: str
    path: str
    number: int
    sent_at_s: float
    status: int | None = None
    body: bytes = b''
    seal: str = ''
    ended_at_s: float | None = None
    timed_out: bool = False


class Client:
    """A client that the platform's balancer has given to one node."""

    def __init__(self, fleet: Fleet, node: Node, rng: Random) -> None:
        self.fleet = fleet
        self.node = node
        self.rng = rng
        self.tries: list[Try] = []
        self._conn: tuple[StreamReader, StreamWriter] | None = None
        self._sent = 0

    async def connect(self) -> bool:
        """Open a connection to the node if it is in rotation."""
        if self._conn is not None:
            return True
        if not self.node.is_ready:
            return False
        host, _, port = self.node.front.rpartition(':')
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._conn = await asyncio.open_connection(host, int(port))
            self._sent = 0
        return self._conn is not None

    async def send(
        self,
        path: str,
        *,
        method: str = 'POST',
        body: bytes = b'x',
        deadline_ms: int = 2500,
    ) -> Try | None:
        """Send a request and return how it ended; None without a node."""
        if not await self.connect():
            return None
        assert self._conn is not None
        reader, writer = self._conn
        self._sent += 1
        request_id = f'{next(_numbers):08x}{self.rng.getrandbits(32):08x}'
        this = Try(
            request_id=request_id,
            node=self.node.name,
            path=path,
            number=self._sent,
            sent_at_s=self.fleet.now_s(),
        )
        self.tries.append(this)
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST}',
            f'Request-Id: {request_id}',
            f'Deadline-Ms: {deadline_ms}',
            f'Content-Length: {len(body)}',
        ]
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
                await writer.drain()
                await self._read_answer(reader, this)
        except TimeoutError:
            this.timed_out = True
            self.close()
        except (OSError, asyncio.IncompleteReadError):
            self.close()
        this.ended_at_s = self.fleet.now_s()
        return this

    async def _read_answer(self, reader: StreamReader, this: Try) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(':') for line in lines)
        }
        this.body = await reader.readexactly(
            int(headers.get('content-length', 0))
        )
        this.seal = headers.get('response-seal', '')
        this.status = int(first.split(' ')[1])
        if headers.get('connection', '').lower() == 'close':
            self.close()

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._conn is not None:
            self._conn[1].close()
            self._conn = None
