"""Driver for an object API over HTTP and JSON."""

from __future__ import annotations

from json import loads
from typing import TYPE_CHECKING, Any, TypeVar

from aiohttp import ClientError, ClientSession, ClientTimeout

from carawaylane.storage.answers import bounded_connector, read_answer
from carawaylane.storage.driver import (
    HostState,
    Unavailable,
    VersionConflict,
    VersionedObject,
    driver,
)

if TYPE_CHECKING:
    from collections.abc import Callable

Parsed = TypeVar('Parsed')

CALL_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 15.0
# Deeply nested JSON raises RecursionError.
CALL_ERRORS = (
    TimeoutError,
    ClientError,
    OSError,
    ValueError,
    RecursionError,
)


@driver('http')
class HttpDriver:
    """Client of the object API at one URL; it does not retry."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._session: ClientSession | None = None

    async def get(self, key: str) -> VersionedObject | Unavailable:
        """Return the current version of an object."""
        response = await self._request('GET', f'/objects/{key}')
        if isinstance(response, Unavailable):
            return response
        if response[0] != 200:
            return VersionedObject(key=key, version=0)
        return _parse(_parse_object, response[1])

    async def put(
        self, key: str, value: Any, *, if_version: int
    ) -> VersionedObject | VersionConflict | Unavailable:
        """Write an object if `if_version` is its current version."""
        response = await self._request(
            'PUT',
            f'/objects/{key}',
            params={'if_version': str(if_version)},
            json=value,
        )
        if isinstance(response, Unavailable):
            return response
        status, row = response
        stored = _parse(_parse_object, row)
        if status == 409 and not isinstance(stored, Unavailable):
            return VersionConflict(current=stored)
        return stored

    async def delete(self, key: str) -> bool | Unavailable:
        """Delete an object; return whether it existed."""
        response = await self._request('DELETE', f'/objects/{key}')
        if isinstance(response, Unavailable):
            return response
        return response[0] == 200

    async def list_objects(
        self, prefix: str, *, after: str
    ) -> list[VersionedObject] | Unavailable:
        """Return the objects with a key prefix whose keys follow `after`."""
        return await self._fetch_objects(
            '/objects', {'prefix': prefix, 'after': after}, CALL_TIMEOUT_S
        )

    async def watch(
        self, prefix: str, *, after: str, timeout_s: float
    ) -> list[VersionedObject] | Unavailable:
        """Wait for objects with a key prefix whose keys follow `after`."""
        params = {
            'prefix': prefix,
            'after': after,
            'timeout_s': str(timeout_s),
        }
        total_timeout_s = timeout_s + CALL_TIMEOUT_S
        return await self._fetch_objects('/watch', params, total_timeout_s)

    async def hosts(self) -> list[HostState] | Unavailable:
        """Return the platform's list of hosts."""
        response = await self._request('GET', '/hosts')
        if isinstance(response, Unavailable):
            return response
        return _parse(_parse_hosts, response[1])

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _fetch_objects(
        self, path: str, params: dict[str, str], total_timeout_s: float
    ) -> list[VersionedObject] | Unavailable:
        response = await self._request(
            'GET', path, params=params, total_timeout_s=total_timeout_s
        )
        if isinstance(response, Unavailable):
            return response
        return _parse(_parse_objects, response[1])

    async def _request(
        self,
        method: str,
        path: str,
        *,
        total_timeout_s: float = CALL_TIMEOUT_S,
        **kwargs: Any,
    ) -> tuple[int, Any] | Unavailable:
        if self._session is None:
            self._session = ClientSession(
                connector=bounded_connector(keepalive_s=KEEPALIVE_S)
            )
        timeout = ClientTimeout(
            total=total_timeout_s, connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.request(
                method, self._url + path, timeout=timeout, **kwargs
            ) as http_response:
                if http_response.status >= 500 or http_response.status == 429:
                    return Unavailable(reason=f'status {http_response.status}')
                body = await read_answer(http_response)
                return http_response.status, (
                    loads(body) if body.strip() else None
                )
        except CALL_ERRORS as exc:
            return Unavailable(reason=type(exc).__name__)


def _parse(parse: Callable[[Any], Parsed], value: Any) -> Parsed | Unavailable:
    """Return what an answer holds; one of another form is no answer."""
    try:
        return parse(value)
    except (AttributeError, LookupError, TypeError, ValueError) as exc:
        return Unavailable(reason=f'malformed answer: {type(exc).__name__}')


def _parse_object(row: Any) -> VersionedObject:
    return VersionedObject(
        key=row['key'], version=row['version'], value=row.get('value')
    )


def _parse_objects(body: Any) -> list[VersionedObject]:
    return [_parse_object(row) for row in body['objects']]


def _parse_hosts(body: Any) -> list[HostState]:
    return [
        HostState(name=row['name'], leaving=row['leaving'])
        for row in body['hosts']
    ]
