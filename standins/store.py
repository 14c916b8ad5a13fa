"""Stand-in for the object store that gateway nodes watch.

It can inject faults and drop its history of changes.
"""

from __future__ import annotations

from asyncio import Event, sleep, timeout
from collections import Counter
from copy import deepcopy
from typing import Any

from aiohttp import web


class Store:
    """Objects by kind and name, with one revision counter for all.

    `calls` counts requests by method; `fault` is applied to each request.
    `era` counts the restores from an older copy.
    `history` holds the revision, kind and object of each change, and whether
    it was a deletion.
    """

    def __init__(self, *, page_size: int = 50) -> None:
        self.revision = 1
        self.era = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.expired_revision = 0
        self.calls: Counter[str] = Counter()
        # '' (none), 'busy' (status 503), 'silent' (no answer for a minute) or
        # 'cut' (the connection is aborted).
        self.fault = ''
        self._page_size = page_size
        self._changed = Event()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object."""
        self.revision += 1
        item = {
            'metadata': {'name': name, 'revision': self.revision},
            'spec': spec,
        }
        self.objects.setdefault(kind, {})[name] = item
        self._record(kind, item, False)

    def remove(self, kind: str, name: str) -> bool:
        """Delete an object; return whether it existed."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is None:
            return False
        self.revision += 1
        self._record(kind, item, True)
        return True

    def expire_history(self) -> None:
        """Drop the history, so that watches from older revisions fail."""
        self.expired_revision = self.revision
        self.history.clear()
        self.wake_watches()

    def copy(self) -> tuple[int, dict[str, dict[str, dict[str, Any]]]]:
        """Return a copy for `restore`."""
        return self.revision, deepcopy(self.objects)

    def restore(
        self, copy: tuple[int, dict[str, dict[str, dict[str, Any]]]]
    ) -> None:
        """Come back from a copy: what was written since is gone."""
        self.revision, objects = copy
        self.objects = deepcopy(objects)
        self.history = [
            change for change in self.history if change[0] <= self.revision
        ]
        self.era += 1
        self.wake_watches()

    def wake_watches(self) -> None:
        """Let pending watches check for events and faults."""
        self._changed.set()
        self._changed = Event()

    def app(self) -> web.Application:
        """Return the stand-in as a web application."""
        app = web.Application()
        app.router.add_route(
            '*', r'/objects/{kind}{name:[\s\S]*}', self._serve
        )
        return app

    def _record(self, kind: str, item: dict[str, Any], deleted: bool) -> None:
        self.history.append((self.revision, kind, item, deleted))
        self.wake_watches()

    async def _serve(self, req: web.Request) -> web.Response:
        response = await self._answer(req)
        response.headers['Store-Era'] = str(self.era)
        return response

    async def _answer(self, req: web.Request) -> web.Response:
        self.calls[req.method] += 1
        if self.fault == 'busy':
            return web.Response(status=503)
        if self.fault == 'silent':
            await sleep(60)
        if self.fault == 'cut' and req.transport is not None:
            req.transport.abort()
        kind = req.match_info['kind']
        name = req.match_info['name'].removeprefix('/')
        if req.method == 'GET':
            if 'watch' in req.query:
                return await self._watch(req, kind)
            self.calls['list'] += 1
            return self._list(req, kind)
        if req.method == 'DELETE':
            return self._delete(req, kind, name)
        item = await req.json()
        if req.method == 'POST':
            name = item['metadata']['name']
            if name in self.objects.get(kind, {}):
                return web.json_response({}, status=409)
        elif name not in self.objects.get(kind, {}):
            return web.json_response({}, status=404)
        self.put(kind, name, item['spec'])
        return web.json_response(self.objects[kind][name])

    def _delete(self, req: web.Request, kind: str, name: str) -> web.Response:
        """Remove an object, of the revision in the query if there is one."""
        item = self.objects.get(kind, {}).get(name)
        if item is not None:
            revision = str(item['metadata']['revision'])
            if req.query.get('revision', revision) != revision:
                return web.json_response(item, status=409)
        removed = self.remove(kind, name)
        return web.json_response({}, status=200 if removed else 404)

    def _list(self, req: web.Request, kind: str) -> web.Response:
        items = self.objects.get(kind, {})
        names = [
            name for name in sorted(items) if name > req.query.get('after', '')
        ]
        return web.json_response(
            {
                'items': [items[name] for name in names[: self._page_size]],
                'more': len(names) > self._page_size,
                'current_rev': self.revision,
            }
        )

    async def _watch(self, req: web.Request, kind: str) -> web.Response:
        since_revision = int(req.query['watch'])
        try:
            async with timeout(int(req.query['wait_ms']) / 1000):
                while self.fault or not self._events(kind, since_revision):
                    if self.fault:
                        return web.Response(status=503)
                    if (
                        since_revision < self.expired_revision
                        or since_revision > self.revision
                    ):
                        return web.json_response({}, status=410)
                    await self._changed.wait()
        except TimeoutError:
            pass
        return web.json_response(
            {
                'events': self._events(kind, since_revision),
                'current_rev': self.revision,
            }
        )

    def _events(self, kind: str, since_revision: int) -> list[dict[str, Any]]:
        return [
            {'object': item, 'deleted': deleted}
            for revision, event_kind, item, deleted in self.history
            if revision > since_revision and event_kind == kind
        ]
