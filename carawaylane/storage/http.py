"""Driver of an object API over HTTP and JSON."""

from __future__ import annotations

from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from carawaylane.storage.driver import (
    HostState,
    Unavailable,
    VersionConflict,
    VersionedObject,
    driver,
)

CALL_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0


@driver('http')
class HttpDriver:
    """Talks to one URL; every call is tried once."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._session: ClientSession | None = None

    async def get(self, key: str) -> VersionedObject | Unavailable:
        """Return an object as it is now."""
        found = await self._call('GET', f'/objects/{key}')
        if isinstance(found, Unavailable):
            return found
        return _stored(found[1]) if found[0] == 200 else _none(key)

    async def put(
        self, key: str, value: Any, *, if_version: int
    ) -> VersionedObject | VersionConflict | Unavailable:
        """Write an object if it has the given version."""
        found = await self._call(
            'PUT',
            f'/objects/{key}',
            params={'if_version': str(if_version)},
            json=value,
        )
        if isinstance(found, Unavailable):
            return found
        status, row = found
        if status == 409:
            return VersionConflict(current=_stored(row))
        return _stored(row)

    async def delete(self, key: str) -> bool | Unavailable:
        """Remove an object."""
        found = await self._call('DELETE', f'/objects/{key}')
        if isinstance(found, Unavailable):
            return found
        return found[0] == 200

    async def list_objects(
        self, prefix: str, *, after: str
    ) -> list[VersionedObject] | Unavailable:
        """Return objects below a prefix whose keys follow `after`."""
        return await self._rows(
            '/objects', {'prefix': prefix, 'after': after}, CALL_TIMEOUT_S
        )

    async def watch(
        self, prefix: str, *, after: str, timeout_s: float
    ) -> list[VersionedObject] | Unavailable:
        """Wait for objects below a prefix whose keys follow `after`."""
        params = {
            'prefix': prefix,
            'after': after,
            'timeout_s': str(timeout_s),
        }
        limit_s = timeout_s + CALL_TIMEOUT_S
        return await self._rows('/watch', params, limit_s)

    async def hosts(self) -> list[HostState] | Unavailable:
        """Return the platform's list of hosts."""
        found = await self._call('GET', '/hosts')
        if isinstance(found, Unavailable):
            return found
        return [
            HostState(name=row['name'], leaving=row['leaving'])
            for row in found[1]['hosts']
        ]

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _rows(
        self, path: str, params: dict[str, str], limit_s: float
    ) -> list[VersionedObject] | Unavailable:
        found = await self._call('GET', path, params=params, limit_s=limit_s)
        if isinstance(found, Unavailable):
            return found
        return [_stored(row) for row in found[1]['objects']]

    async def _call(
        self,
        method: str,
        path: str,
        *,
        limit_s: float = CALL_TIMEOUT_S,
        **kwargs: Any,
    ) -> tuple[int, Any] | Unavailable:
        if self._session is None:
            self._session = ClientSession()
        timeout = ClientTimeout(total=limit_s, connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.request(
                method, self._url + path, timeout=timeout, **kwargs
            ) as resp:
                if resp.status >= 500 or resp.status == 429:
                    return Unavailable(reason=f'status {resp.status}')
                return resp.status, await resp.json()
        except (TimeoutError, ClientError, OSError, ValueError) as exc:
            return Unavailable(reason=type(exc).__name__)


def _stored(row: dict[str, Any]) -> VersionedObject:
    return VersionedObject(
        key=row['key'], version=row['version'], value=row.get('value')
    )


def _none(key: str) -> VersionedObject:
    return VersionedObject(key=key, version=0)
