"""Stand-in for a target, with slots, load shedding and injected faults."""

from __future__ import annotations

import argparse
import asyncio
import os
from asyncio import get_running_loop, sleep
from collections import Counter
from time import time
from typing import Any

from aiohttp import web

DEFAULT_WORK_S = 0.01
# The first COLD_REQUESTS of a cold target take COLD_FACTOR times as long.
COLD_FACTOR = 4
COLD_REQUESTS = 20


class Target:
    """A target that counts its requests and applies injected faults.

    Requests are counted by idempotency key, or by request id if they have no
    key. Faults:

    - `leaving`: refuse requests and say that the target leaves;
    - `shed`: refuse requests as if all slots were busy;
    - `crash_on`: exit on a request with this text in its body;
    - `fail`: answer with status 500;
    - `hang`: do not answer;
    - `slow`: take this many times as long;
    - `crossed`: answer with the id of another request;
    - `truncate`: close the connection in the middle of an answer;
    - `health`: if `bad`, fail health probes;
    - `silence`: answer no more on the connections used so far.
    """

    def __init__(
        self, *, name: str, slots: int, work_s: float, cold: bool
    ) -> None:
        self.name = name
        self.slots = slots
        self.work_s = work_s
        self.busy = 0
        self.max_busy = 0
        self.cancelled = 0
        self.started: Counter[str] = Counter()
        self.finished: Counter[str] = Counter()
        self.arrivals: list[float] = []
        self.traceparents: list[str] = []
        self.used_connections: set[object] = set()
        self.silenced_connections: set[object] = set()
        self.faults: dict[str, Any] = {}
        self.cold_requests_left = 0 if not cold else COLD_REQUESTS

    async def handle(self, req: web.Request) -> web.StreamResponse:
        """Handle a request under the injected faults."""
        self.used_connections.add(req.transport)
        body = await req.read()
        if req.transport in self.silenced_connections:
            await sleep(3600)
        self.arrivals.append(time())
        self.traceparents.append(req.headers.get('traceparent', ''))
        refusal = self._refuse(req)
        if refusal is not None:
            return refusal
        key = req.headers.get('Idempotency-Key', '')
        request_key = key or req.headers.get('X-Request-Id', '')
        self.started[request_key] += 1
        self._maybe_crash(body)
        self.busy += 1
        self.max_busy = max(self.max_busy, self.busy)
        try:
            return await self._answer(req, request_key)
        except BaseException:
            self.cancelled += 1
            raise
        finally:
            self.busy -= 1

    async def health(self, req: web.Request) -> web.Response:
        """Answer a health probe; the fault `health` makes it fail."""
        if self.faults.get('health') == 'bad':
            return web.json_response({'ok': False}, status=503)
        return web.json_response({'ok': True, 'busy': self.busy})

    async def control(self, req: web.Request) -> web.Response:
        """Set faults if posted; return the counters."""
        if req.method == 'POST':
            settings = await req.json()
            if settings.get('clear'):
                self.faults.clear()
            self.faults.update(settings.get('faults', {}))
            if self.faults.pop('silence', False):
                # Acts as a network failure that closes no connection.
                self.silenced_connections |= self.used_connections
        return web.json_response(
            {
                'parents': self.traceparents,
                'name': self.name,
                'started': dict(self.started),
                'finished': dict(self.finished),
                'arrivals': self.arrivals,
                'max_busy': self.max_busy,
                'cancelled': self.cancelled,
            }
        )

    def _refuse(self, req: web.Request) -> web.Response | None:
        not_run = {'X-Not-Run': '1', 'X-Request-Id': _request_id(req)}
        deadline_ms = int(req.headers.get('X-Deadline', '0'))
        if deadline_ms and time() * 1000 > deadline_ms:
            return web.Response(status=504, headers=not_run)
        if self.faults.get('leaving'):
            headers = {**not_run, 'X-Leaving': '1'}
            return web.Response(status=503, headers=headers)
        if self.busy >= self.slots or self.faults.get('shed'):
            return web.Response(status=503, headers=not_run)
        return None

    def _maybe_crash(self, body: bytes) -> None:
        crash_text = self.faults.get('crash_on')
        if crash_text and crash_text.encode() in body:
            os._exit(70)

    async def _answer(
        self, req: web.Request, request_key: str
    ) -> web.StreamResponse:
        if self.faults.get('fail'):
            return web.Response(status=500, text='broken')
        if self.faults.get('hang'):
            await sleep(3600)
        factor = self.faults.get('slow', 1)
        if self.cold_requests_left:
            self.cold_requests_left -= 1
            factor *= COLD_FACTOR
        await sleep(self.work_s * factor)
        self.finished[request_key] += 1
        answer_id = _request_id(req)
        if self.faults.get('crossed'):
            answer_id = 'another-request'
        headers = {'X-Request-Id': answer_id}
        text = f'{self.name} {request_key} {req.headers.get("X-Caller", "")}'
        if self.faults.get('truncate'):
            return await self._truncate(req, headers, text)
        size = int(req.query.get('size', 0))
        if size:
            return await self._stream(req, headers, size)
        return web.Response(text=text, headers=headers)

    async def _truncate(
        self, req: web.Request, headers: dict[str, str], text: str
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.content_length = len(text) + 100
        await response.prepare(req)
        await response.write(text.encode())
        if req.transport is not None:
            req.transport.close()
        return response

    async def _stream(
        self, req: web.Request, headers: dict[str, str], size: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        await response.prepare(req)
        pause_s = float(req.query.get('pause_s', 0))
        for start in range(0, size, 16384):
            await response.write(b'x' * min(16384, size - start))
            await sleep(pause_s)
        await response.write_eof()
        return response


def _request_id(req: web.Request) -> str:
    return req.headers.get('X-Request-Id', '')


def make_app(target: Target) -> web.Application:
    """Return the stand-in as a web application."""
    app = web.Application(client_max_size=64 << 20)
    app['target'] = target
    app.router.add_get('/health', target.health)
    app.router.add_route('*', '/control', target.control)
    app.router.add_route('*', '/{tail:.*}', target.handle)
    return app


async def _serve(args: argparse.Namespace) -> None:
    target = Target(
        name=args.name,
        slots=args.slots,
        work_s=args.work_s,
        cold=args.cold,
    )
    runner = web.AppRunner(make_app(target), handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', args.port).start()
    await get_running_loop().create_future()


def main() -> None:
    """Serve the stand-in on the loopback address."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--name', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--slots', type=int, default=2)
    parser.add_argument('--work-s', type=float, default=DEFAULT_WORK_S)
    parser.add_argument('--cold', action='store_true')
    asyncio.run(_serve(parser.parse_args()))


if __name__ == '__main__':
    main()
