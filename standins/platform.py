"""Stand-in for the platform: an in-memory object API with fault injection."""

from __future__ import annotations

import argparse
from asyncio import Event, sleep, wait_for
from collections import Counter
from time import monotonic, time
from typing import Any

from aiohttp import web

MAX_VALUE_BYTES = 1 << 20
# Limits on the rates of calls to the platform.
WRITES_PER_S = 300
READS_PER_S = 2000


class TokenBucket:
    """Rate limit of `rate` calls per second, with bursts of the same size."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.tokens = rate
        self.refilled_s = monotonic()

    def try_acquire(self) -> bool:
        """Take a token if there is one; return whether the call is allowed."""
        now_s = monotonic()
        self.tokens += (now_s - self.refilled_s) * self.rate
        self.tokens = min(self.rate, self.tokens)
        self.refilled_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Platform:
    """The objects and hosts of the platform, and its injected faults.

    Faults: `down` (status 503; if its value is `hang`, only after a minute),
    `delay_s` (a delay before each call) and `lose_answers` (the number of
    writes that take effect but get no answer).
    """

    def __init__(self) -> None:
        self.objects: dict[str, tuple[int, Any]] = {}
        self.hosts: list[dict[str, Any]] = []
        self.listed_hosts: list[dict[str, Any]] = []
        self.calls: Counter[str] = Counter()
        self.changed = Event()
        self.faults: dict[str, Any] = {}
        self.write_limit = TokenBucket(WRITES_PER_S)
        self.read_limit = TokenBucket(READS_PER_S)
        self.hosts_lag_until_s = 0.0

    @web.middleware
    async def inject_faults(
        self, req: web.Request, handler: Any
    ) -> web.StreamResponse:
        """Count a call, limit the rate and apply the injected faults."""
        if req.path.startswith('/control'):
            return await handler(req)
        is_write = req.method in ('PUT', 'DELETE')
        self.calls['writes' if is_write else 'reads'] += 1
        self.calls[f'{req.method} {req.path.split("/")[1]}'] += 1
        if self.faults.get('down'):
            if self.faults['down'] == 'hang':
                await sleep(60)
            return web.json_response({}, status=503)
        if not (
            self.write_limit if is_write else self.read_limit
        ).try_acquire():
            return web.json_response({}, status=429)
        await sleep(self.faults.get('delay_s', 0))
        response = await handler(req)
        if is_write and self.faults.get('lose_answers', 0) > 0:
            self.faults['lose_answers'] -= 1
            req.transport.close()
        return response

    async def get(self, req: web.Request) -> web.Response:
        """Return an object."""
        key = req.match_info['key']
        if key not in self.objects:
            return web.json_response({}, status=404)
        return web.json_response(self._object_json(key))

    async def put(self, req: web.Request) -> web.Response:
        """Write an object if `if_version`, when given, is its version."""
        key = req.match_info['key']
        body = await req.read()
        if len(body) > MAX_VALUE_BYTES:
            return web.json_response({}, status=413)
        version = self.objects.get(key, (0, None))[0]
        if version != int(req.query.get('if_version', version)):
            return web.json_response(self._object_json(key), status=409)
        self.objects[key] = (version + 1, await req.json())
        self._wake_watches()
        return web.json_response(self._object_json(key))

    async def delete(self, req: web.Request) -> web.Response:
        """Delete an object."""
        deleted = self.objects.pop(req.match_info['key'], None)
        status = 404 if deleted is None else 200
        return web.json_response({}, status=status)

    async def list(self, req: web.Request) -> web.Response:
        """Return the objects with a key prefix whose keys follow `after`."""
        return web.json_response({'objects': self._objects_after(req)})

    async def watch(self, req: web.Request) -> web.Response:
        """Wait for objects with a key prefix whose keys follow `after`."""
        end_s = monotonic() + float(req.query.get('timeout_s', 10))
        while not self._objects_after(req) and not self.faults.get('down'):
            left_s = end_s - monotonic()
            if left_s <= 0:
                break
            try:
                await wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                break
        return web.json_response({'objects': self._objects_after(req)})

    async def get_hosts(self, req: web.Request) -> web.Response:
        """Return the list of hosts; it shows a change after `lag_s`."""
        if time() >= self.hosts_lag_until_s:
            self.listed_hosts = list(self.hosts)
        return web.json_response({'hosts': self.listed_hosts})

    async def control(self, req: web.Request) -> web.Response:
        """Set faults and hosts if posted; return the counts of calls.

        A new list of hosts shows after `lag_s` seconds, if that is posted.
        """
        if req.method == 'POST':
            settings = await req.json()
            self.faults.update(settings.get('faults', {}))
            self._wake_watches()
            if 'hosts' in settings:
                self.hosts = settings['hosts']
                self.hosts_lag_until_s = time() + settings.get('lag_s', 0)
        return web.json_response(
            {'calls': dict(self.calls), 'faults': self.faults}
        )

    def _object_json(self, key: str) -> dict[str, Any]:
        version, value = self.objects.get(key, (0, None))
        return {'key': key, 'version': version, 'value': value}

    def _objects_after(self, req: web.Request) -> list[dict[str, Any]]:
        prefix, after = req.query['prefix'], req.query.get('after', '')
        keys = [
            key
            for key in self.objects
            if key.startswith(prefix) and key > after
        ]
        return [self._object_json(key) for key in sorted(keys)]

    def _wake_watches(self) -> None:
        self.changed.set()
        self.changed = Event()


def make_app() -> web.Application:
    """Return the stand-in as a web application."""
    platform = Platform()
    app = web.Application(
        middlewares=[platform.inject_faults],
        client_max_size=MAX_VALUE_BYTES + 1024,
    )
    app['platform'] = platform
    app.router.add_get('/objects/{key:.+}', platform.get)
    app.router.add_put('/objects/{key:.+}', platform.put)
    app.router.add_delete('/objects/{key:.+}', platform.delete)
    app.router.add_get('/objects', platform.list)
    app.router.add_get('/watch', platform.watch)
    app.router.add_get('/hosts', platform.get_hosts)
    app.router.add_route('*', '/control', platform.control)
    return app


def main() -> None:
    """Serve the stand-in on the loopback address."""
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
