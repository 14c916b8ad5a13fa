"""Stand-in of the platform: an object API in memory, with faults."""

from __future__ import annotations

import argparse
from asyncio import Event, sleep, wait_for
from collections import Counter
from time import monotonic, time
from typing import Any

from aiohttp import web

MAX_VALUE_BYTES = 1 << 20
WRITES_PER_S = 300
READS_PER_S = 2000


class Bucket:
    """Calls that are allowed each second."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.tokens = rate
        self.at_s = monotonic()

    def take(self) -> bool:
        """Return whether one more call fits."""
        now_s = monotonic()
        self.tokens += (now_s - self.at_s) * self.rate
        self.tokens = min(self.rate, self.tokens)
        self.at_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Platform:
    """Objects, hosts, counts of calls and the faults in force."""

    def __init__(self) -> None:
        self.objects: dict[str, tuple[int, Any]] = {}
        self.hosts: list[dict[str, Any]] = []
        self.shown_hosts: list[dict[str, Any]] = []
        self.calls: Counter[str] = Counter()
        self.changed = Event()
        self.faults: dict[str, Any] = {}
        self.writes = Bucket(WRITES_PER_S)
        self.reads = Bucket(READS_PER_S)
        self.lag_until_s = 0.0

    @web.middleware
    async def guard(
        self, req: web.Request, handler: Any
    ) -> web.StreamResponse:
        """Count a call and apply the faults to it."""
        if req.path.startswith('/control'):
            return await handler(req)
        write = req.method in ('PUT', 'DELETE')
        self.calls['writes' if write else 'reads'] += 1
        self.calls[f'{req.method} {req.path.split("/")[1]}'] += 1
        if self.faults.get('down'):
            if self.faults['down'] == 'hang':
                await sleep(60)
            return web.json_response({}, status=503)
        if not (self.writes if write else self.reads).take():
            return web.json_response({}, status=429)
        await sleep(self.faults.get('delay_s', 0))
        resp = await handler(req)
        if write and self.faults.get('lose_answers', 0) > 0:
            self.faults['lose_answers'] -= 1
            req.transport.close()
        return resp

    async def get(self, req: web.Request) -> web.Response:
        """Return one object."""
        key = req.match_info['key']
        if key not in self.objects:
            return web.json_response({}, status=404)
        return web.json_response(self._row(key))

    async def put(self, req: web.Request) -> web.Response:
        """Write one object on condition of its version."""
        key = req.match_info['key']
        body = await req.read()
        if len(body) > MAX_VALUE_BYTES:
            return web.json_response({}, status=413)
        version = self.objects.get(key, (0, None))[0]
        if version != int(req.query.get('if_version', version)):
            return web.json_response(self._row(key), status=409)
        self.objects[key] = (version + 1, await req.json())
        self._wake()
        return web.json_response(self._row(key))

    async def delete(self, req: web.Request) -> web.Response:
        """Remove one object."""
        gone = self.objects.pop(req.match_info['key'], None)
        status = 404 if gone is None else 200
        return web.json_response({}, status=status)

    async def list(self, req: web.Request) -> web.Response:
        """Return objects below a prefix, after a key."""
        return web.json_response({'objects': self._after(req)})

    async def watch(self, req: web.Request) -> web.Response:
        """Wait until there are objects below a prefix, after a key."""
        end_s = monotonic() + float(req.query.get('timeout_s', 10))
        while not self._after(req) and not self.faults.get('down'):
            left_s = end_s - monotonic()
            if left_s <= 0:
                break
            try:
                await wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                break
        return web.json_response({'objects': self._after(req)})

    async def get_hosts(self, req: web.Request) -> web.Response:
        """Return the list of hosts as it was a while ago."""
        if time() >= self.lag_until_s:
            self.shown_hosts = list(self.hosts)
        return web.json_response({'hosts': self.shown_hosts})

    async def control(self, req: web.Request) -> web.Response:
        """Set faults and hosts, return counts."""
        if req.method == 'POST':
            row = await req.json()
            self.faults.update(row.get('faults', {}))
            self._wake()
            if 'hosts' in row:
                self.hosts = row['hosts']
                self.lag_until_s = time() + row.get('lag_s', 0)
        return web.json_response(
            {'calls': dict(self.calls), 'faults': self.faults}
        )

    def _row(self, key: str) -> dict[str, Any]:
        version, value = self.objects.get(key, (0, None))
        return {'key': key, 'version': version, 'value': value}

    def _after(self, req: web.Request) -> list[dict[str, Any]]:
        prefix, after = req.query['prefix'], req.query.get('after', '')
        keys = [
            key
            for key in self.objects
            if key.startswith(prefix) and key > after
        ]
        return [self._row(key) for key in sorted(keys)]

    def _wake(self) -> None:
        self.changed.set()
        self.changed = Event()


def make_app() -> web.Application:
    """Return the stand-in as an application."""
    plat = Platform()
    app = web.Application(
        middlewares=[plat.guard], client_max_size=MAX_VALUE_BYTES + 1024
    )
    app['platform'] = plat
    app.router.add_get('/objects/{key:.+}', plat.get)
    app.router.add_put('/objects/{key:.+}', plat.put)
    app.router.add_delete('/objects/{key:.+}', plat.delete)
    app.router.add_get('/objects', plat.list)
    app.router.add_get('/watch', plat.watch)
    app.router.add_get('/hosts', plat.get_hosts)
    app.router.add_route('*', '/control', plat.control)
    return app


def main() -> None:
    """Serve on a port of the loopback address."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, required=True)
    args = parser.parse_args()
    web.run_app(
        make_app(),
        host='127.0.0.1',
        port=args.port,
        print=None,
        handle_signals=True,
        shutdown_timeout=0.2,
    )


if __name__ == '__main__':
    main()
