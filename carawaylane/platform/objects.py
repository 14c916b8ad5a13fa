"""Client of the platform's object store: every call is tried once."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from aiohttp import (
    ClientError,
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
    TCPConnector,
)
from attrs import evolve

from carawaylane.messages.stored_objects import (
    ObjectDelta,
    ObjectKind,
    StoredObject,
)
from carawaylane.platform.documents import COLLECTIONS, encode_json
from carawaylane.storage.driver import Unavailable

# A healthy store answers in milliseconds; slow ones stay usable.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.5
# Beyond the time that a watch may wait at the store.
WATCH_SLACK_S = 0.7
OK = 200
CREATED = 201
NOT_FOUND = 404
CONFLICT = 409
EXPIRED = 410


@dataclass(frozen=True, kw_only=True, slots=True)
class Expired:
    """The store has dropped the history that a watch would need."""


class ObjectStore:
    """Lists, watches and writes objects of the platform."""

    def __init__(self, *, address: str) -> None:
        self._url = f'http://{address}'
        self._session: ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def list_all(self, kind: ObjectKind) -> ObjectDelta | Unavailable:
        """Return all objects of a kind, however many pages they take."""
        found: list[StoredObject] = []
        after = ''
        revision = 0
        while True:
            params = {'after': after} if after else {}
            page = await self._call('GET', _path(kind), params=params)
            if isinstance(page, Unavailable):
                return page
            status, row = page
            if status != OK:
                return Unavailable(reason=f'status {status}')
            try:
                found += _items(row['items'])
                # Changes made between two pages are seen by the watch.
                revision = revision or row['current_rev']
                if not row.get('more') or not found:
                    return ObjectDelta(items=tuple(found), revision=revision)
                after = found[-1].name
            except (KeyError, TypeError, AttributeError) as exc:
                return Unavailable(reason=f'unreadable page: {exc!r}')

    async def watch(
        self, kind: ObjectKind, *, revision: int, wait_s: float
    ) -> ObjectDelta | Expired | Unavailable:
        """Wait for changes after a revision; none if none came in time."""
        params = {
            'watch': str(revision),
            'wait_ms': str(int(wait_s * 1000)),
        }
        found = await self._call(
            'GET',
            _path(kind),
            params=params,
            limit_s=wait_s + WATCH_SLACK_S,
        )
        if isinstance(found, Unavailable):
            return found
        status, row = found
        if status == EXPIRED:
            return Expired()
        if status != OK:
            return Unavailable(reason=f'status {status}')
        try:
            return ObjectDelta(
                items=tuple(_changes(row)),
                revision=row['current_rev'],
                base=revision,
            )
        except (KeyError, TypeError, AttributeError) as exc:
            return Unavailable(reason=f'unreadable events: {exc!r}')

    async def create(
        self, kind: ObjectKind, name: str, value: Any
    ) -> bool | Unavailable:
        """Create an object; False if one of that name exists."""
        body = {'metadata': {'name': name}, 'spec': value}
        found = await self._call('POST', _path(kind), body=body)
        if isinstance(found, Unavailable):
            return found
        if found[0] in (OK, CREATED):
            return True
        if found[0] == CONFLICT:
            return False
        return Unavailable(reason=f'status {found[0]}')

    async def replace(
        self, kind: ObjectKind, name: str, value: Any
    ) -> bool | Unavailable:
        """Replace an object whatever it holds; False if there is none."""
        body = {'metadata': {'name': name}, 'spec': value}
        found = await self._call('PUT', _path(kind, name), body=body)
        if isinstance(found, Unavailable):
            return found
        if found[0] in (OK, NOT_FOUND):
            return found[0] == OK
        return Unavailable(reason=f'status {found[0]}')

    async def delete(self, kind: ObjectKind, name: str) -> bool | Unavailable:
        """Remove an object; False if there is none."""
        found = await self._call('DELETE', _path(kind, name))
        return found if isinstance(found, Unavailable) else found[0] == OK

    async def _call(
        self,
        method: str,
        path: str,
        *,
        limit_s: float = CALL_TIMEOUT_S,
        body: Any = None,
        **kwargs: Any,
    ) -> tuple[int, Any] | Unavailable:
        if self._session is None:
            self._session = ClientSession(
                connector=TCPConnector(limit=0, keepalive_timeout=5.0),
                cookie_jar=DummyCookieJar(),
            )
        if body is not None:
            kwargs['data'] = encode_json(body)
            kwargs['headers'] = {'Content-Type': 'application/json'}
        timeout = ClientTimeout(total=limit_s, connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.request(
                method, self._url + path, timeout=timeout, **kwargs
            ) as resp:
                if resp.status >= 500 or resp.status == 429:
                    return Unavailable(reason=f'status {resp.status}')
                return resp.status, await resp.json(content_type=None)
        except (TimeoutError, ClientError, OSError, ValueError) as exc:
            return Unavailable(reason=type(exc).__name__)


def _path(kind: ObjectKind, *names: str) -> str:
    return '/'.join(('/objects', COLLECTIONS[kind], *names))


def _items(rows: list[Any]) -> list[StoredObject]:
    """Return the objects of a page; what has no name is left out."""
    return [item for row in rows if (item := _item(row)) is not None]


def _changes(page: dict[str, Any]) -> list[StoredObject]:
    found = []
    for row in page['events']:
        item = _item(row.get('object'))
        if item is not None and row.get('deleted'):
            # A removal bears the revision of the object's last change.
            item = evolve(item, data=None, revision=page['current_rev'])
        if item is not None:
            found.append(item)
    return found


def _item(row: Any) -> StoredObject | None:
    try:
        meta = row['metadata']
        return StoredObject(
            name=meta['name'],
            revision=meta['revision'],
            data=encode_json(row.get('spec')),
        )
    except (KeyError, TypeError, AttributeError):
        return None
