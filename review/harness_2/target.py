"""Stand-in of an upstream, as a process of its own.

It answers as the pages say: 421 if the request is for another instance, 503
with `Not-Executed` if all slots and the queue are taken, else 200 with the id
of the request and a seal, after the work that the query of the path asks for
(`ms`). It registers itself in the store and renews its entry. SIGUSR1 lets it
report `draining`, SIGUSR2 lets it write to the store no more; it goes on
serving.

At any time, some upstreams fail a portion of their requests for several
seconds: with `weak_turn` = [n, m], it resets the connection of half of the
requests that it runs in each nth of m turns of WEAK_S seconds.

Each line that it writes is a JSON object with the time (`t`, monotonic), what
happened (`run`, `end`, `gone`, `failed`, `reject`, `acked`) and the id of the
request; a run tells whether the upstream was `weak` then.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from asyncio import Semaphore, StreamReader, StreamWriter
from contextlib import suppress
from random import Random
from time import monotonic
from typing import Any
from urllib.parse import parse_qs, urlsplit

from aiohttp import ClientSession, ClientTimeout

HEARTBEAT_S = 1.5
QUEUE = 8
WEAK_S = 5.0
WEAK_SHARE = 0.5
WEAK_WORK_S = 0.05


class Target:
    """An upstream with some slots and a short queue."""

    def __init__(self, cfg: dict[str, Any]) -> None:
        self.cfg = cfg
        self.rng = Random(cfg['id'])
        self.slots = int(cfg['slots'])
        self.free = Semaphore(self.slots)
        self.present = 0
        self.state = 'ready'
        self.seq = 0
        self.is_silent = False
        self.changed = asyncio.Event()

    def log(self, what: str, request_id: str = '', **more: object) -> None:
        """Write a line."""
        line = {'t': monotonic(), 'server': self.cfg['id'], 'what': what}
        print(json.dumps({**line, 'id': request_id, **more}), flush=True)

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Serve one request at a time on a connection."""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                first, *lines = head.decode('latin-1').split('\r\n')
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (
                        line.partition(':') for line in lines
                    )
                }
                length = int(headers.get('content-length', 0))
                body = await reader.readexactly(length)
                await self.answer(first, headers, body, reader, writer)
        writer.close()

    async def answer(
        self,
        first: str,
        headers: dict[str, str],
        body: bytes,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        """Run a request, or reject it."""
        request_id = headers.get('request-id', '')
        path = urlsplit(first.split(' ')[1])
        if headers.get('target-instance', self.cfg['id']) != self.cfg['id']:
            self.log('reject', request_id, status=421)
            await self.send(writer, 421, request_id, ['Not-Executed: 1'])
            return
        if self.present >= self.slots + QUEUE:
            self.log('reject', request_id, status=503)
            await self.send(writer, 503, request_id, ['Not-Executed: 1'])
            return
        self.present += 1
        try:
            async with self.free:
                work_ms = int(parse_qs(path.query).get('ms', ['50'])[0])
                weak = self.is_weak()
                self.log(
                    'run', request_id, body=body.decode('latin-1'), weak=weak
                )
                if weak and self.rng.random() < WEAK_SHARE:
                    await asyncio.sleep(WEAK_WORK_S)
                    self.log('failed', request_id)
                    writer.transport.abort()
                    raise ConnectionResetError
                await asyncio.sleep(work_ms / 1000)
                if reader.at_eof() or writer.is_closing():
                    self.log('gone', request_id)
                    raise ConnectionResetError
                self.log('end', request_id)
                seal = f'Response-Seal: {self.cfg["id"]}.{request_id}'
                await self.send(writer, 200, request_id, [seal])
        finally:
            self.present -= 1

    async def send(
        self,
        writer: StreamWriter,
        status: int,
        request_id: str,
        more: list[str],
    ) -> None:
        """Send an answer whose body names the request."""
        body = f'answer to {request_id}'.encode()
        lines = [
            f'HTTP/1.1 {status} X',
            f'Request-Id: {request_id}',
            *more,
            f'Content-Length: {len(body)}',
        ]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await writer.drain()

    async def register(self) -> None:
        """Keep the entry in the store up to date."""
        url = f'http://{self.cfg["store"]}/objects/servers'
        timeout = ClientTimeout(total=1)
        async with ClientSession(timeout=timeout) as session:
            while not self.is_silent:
                self.seq += 1
                state = self.state
                self.changed.clear()
                spec = {
                    'service': self.cfg['service'],
                    'address': self.cfg['address'],
                    'zone': self.cfg['zone'],
                    'version': '1',
                    'slots': self.slots,
                    'state': state,
                    'warmup_left_ms': 0,
                    'seq': self.seq,
                }
                item = {'metadata': {'name': self.cfg['id']}, 'spec': spec}
                with suppress(OSError, TimeoutError):
                    name = self.cfg['id']
                    async with session.put(f'{url}/{name}', json=item) as resp:
                        status = resp.status
                    if status == 404:
                        async with session.post(url, json=item) as resp:
                            status = resp.status
                    if status < 300 and state == 'draining':
                        self.log('acked')
                with suppress(TimeoutError):
                    async with asyncio.timeout(HEARTBEAT_S):
                        await self.changed.wait()

    def is_weak(self) -> bool:
        """Return whether this upstream fails requests now."""
        if 'weak_turn' not in self.cfg:
            return False
        turn, turns = self.cfg['weak_turn']
        return bool(int(monotonic() / WEAK_S) % turns == turn)

    def fall_silent(self) -> None:
        """Write nothing to the store any more."""
        self.is_silent = True
        self.changed.set()

    def start_draining(self) -> None:
        """Report that this upstream leaves."""
        self.state = 'draining'
        self.changed.set()


async def main() -> None:
    """Serve until the process is ended."""
    target = Target(json.loads(sys.argv[1]))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, target.start_draining)
    loop.add_signal_handler(signal.SIGUSR2, target.fall_silent)
    host, _, port = target.cfg['address'].rpartition(':')
    server = await asyncio.start_server(target.serve, host, int(port))
    async with server:
        await target.register()
        await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
