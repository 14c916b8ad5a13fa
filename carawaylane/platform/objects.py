"""Client of the platform's object store; it does not retry failed calls."""

from __future__ import annotations

from json import loads
from typing import TYPE_CHECKING, Any

from aiohttp import (
    ClientError,
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
)
from attrs import evolve, frozen

from carawaylane.kernel.steps import run_in_steps
from carawaylane.messages.stored_objects import (
    ObjectDelta,
    ObjectKind,
    StoredObject,
    era_of,
    revision_in_era,
)
from carawaylane.platform.documents import COLLECTIONS, encode_json
from carawaylane.platform.eras import EraReader, combine
from carawaylane.platform.stepwise_json import (
    decode_in_steps,
    encode_in_steps,
)
from carawaylane.storage.answers import bounded_connector, read_answer
from carawaylane.storage.driver import Unavailable

if TYPE_CHECKING:
    from collections.abc import Generator

# A healthy store answers within milliseconds, but a slow one is still used.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.5
KEEPALIVE_S = 5.0
# Bytes of all objects of a list, and what each object takes at least.
MAX_LIST_BYTES = 32 << 20
OBJECT_BYTES = 256
# Configurations above this size are decoded in steps.
LARGE_BODY_BYTES = 32 << 10
# Time for the answer to a watch, added to the wait that the watch asks for.
WATCH_MARGIN_S = 0.7
# A RecursionError comes from an answer that is nested too deeply.
CALL_ERRORS = (
    TimeoutError,
    ClientError,
    OSError,
    ValueError,
    RecursionError,
)
OK = 200
CREATED = 201
NOT_FOUND = 404
CONFLICT = 409
GONE = 410


@frozen(kw_only=True, eq=False, repr=False)
class HistoryExpired:
    """The store no longer has the changes after the requested revision."""


class ObjectStoreClient:
    """Lists, watches, writes and deletes objects of the platform."""

    def __init__(self, *, address: str) -> None:
        self._url = f'http://{address}'
        self._session: ClientSession | None = None
        self._eras = EraReader()

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def list_all(self, kind: ObjectKind) -> ObjectDelta | Unavailable:
        """Return all objects of a kind, which the store lists page by page."""
        items: list[StoredObject] = []
        after = ''
        size = 0
        revision = 0
        eras: set[int] = set()
        while True:
            params = {'after': after} if after else {}
            resp = await self._call('GET', _path(kind), params=params)
            if isinstance(resp, Unavailable):
                return resp
            status, page, era = resp
            if status != OK:
                return Unavailable(reason=f'status {status}')
            eras.add(era)
            if len(eras) > 1:
                return Unavailable(reason='restored during the list')
            try:
                parsed = await run_in_steps(_parse_items(page['items'], era))
                items += parsed
                size += sum(map(_size, parsed))
                if size > MAX_LIST_BYTES:
                    return Unavailable(reason='the list is too large')
                # The revision of the first page: a watch from there returns
                # the changes that were made while later pages were fetched.
                revision = revision or combine(era, page['current_rev'])
                if not page.get('more') or not items:
                    return ObjectDelta(items=tuple(items), revision=revision)
                if not parsed or items[-1].name == after:
                    return Unavailable(reason='a page brings no new object')
                after = items[-1].name
            except (KeyError, TypeError, AttributeError) as exc:
                return Unavailable(
                    reason=f'malformed list of objects: {exc!r}'
                )

    async def watch(
        self, kind: ObjectKind, *, revision: int, wait_s: float
    ) -> ObjectDelta | HistoryExpired | Unavailable:
        """Return the changes after a revision; wait for them if needed.

        The delta is empty if there are none within `wait_s`. A revision of
        another era of the store has expired.
        """
        params = {
            'watch': str(revision_in_era(revision)),
            'wait_ms': str(int(wait_s * 1000)),
        }
        resp = await self._call(
            'GET',
            _path(kind),
            params=params,
            timeout_s=wait_s + WATCH_MARGIN_S,
        )
        if isinstance(resp, Unavailable):
            return resp
        status, page, era = resp
        if status == GONE or era != era_of(revision):
            return HistoryExpired()
        if status != OK:
            return Unavailable(reason=f'status {status}')
        try:
            return ObjectDelta(
                items=await run_in_steps(_parse_events(page, era)),
                revision=combine(era, page['current_rev']),
                base=revision,
            )
        except (KeyError, TypeError, AttributeError) as exc:
            return Unavailable(reason=f'malformed list of events: {exc!r}')

    async def create(
        self, kind: ObjectKind, name: str, spec: Any
    ) -> bool | Unavailable:
        """Create an object; return False if the name is taken."""
        body = {'metadata': {'name': name}, 'spec': spec}
        resp = await self._call('POST', _path(kind), body=body)
        if isinstance(resp, Unavailable):
            return resp
        if resp[0] in (OK, CREATED):
            return True
        if resp[0] == CONFLICT:
            return False
        return Unavailable(reason=f'status {resp[0]}')

    async def replace(
        self, kind: ObjectKind, name: str, spec: Any
    ) -> bool | Unavailable:
        """Replace an object unconditionally; return whether it existed."""
        body = {'metadata': {'name': name}, 'spec': spec}
        resp = await self._call('PUT', _path(kind, name), body=body)
        if isinstance(resp, Unavailable):
            return resp
        if resp[0] in (OK, NOT_FOUND):
            return resp[0] == OK
        return Unavailable(reason=f'status {resp[0]}')

    async def delete(self, kind: ObjectKind, name: str) -> bool | Unavailable:
        """Delete an object; return whether it existed."""
        resp = await self._call('DELETE', _path(kind, name))
        return resp if isinstance(resp, Unavailable) else resp[0] == OK

    async def _call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        body: Any = None,
        **kwargs: Any,
    ) -> tuple[int, Any, int] | Unavailable:
        """Return the status, the decoded body and the era of the response."""
        if self._session is None:
            self._session = ClientSession(
                connector=bounded_connector(keepalive_s=KEEPALIVE_S),
                cookie_jar=DummyCookieJar(),
            )
        if body is not None:
            kwargs['data'] = encode_json(body)
            kwargs['headers'] = {'Content-Type': 'application/json'}
        timeout = ClientTimeout(total=timeout_s, connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.request(
                method, self._url + path, timeout=timeout, **kwargs
            ) as resp:
                if resp.status >= 500 or resp.status == 429:
                    return Unavailable(reason=f'status {resp.status}')
                era = self._eras.read(resp.headers)
                return (
                    resp.status,
                    await _decode_body(path, await read_answer(resp)),
                    era,
                )
        except CALL_ERRORS as exc:
            return Unavailable(reason=type(exc).__name__)


def _path(kind: ObjectKind, *names: str) -> str:
    return '/'.join(('/objects', COLLECTIONS[kind], *names))


async def _decode_body(path: str, body: bytes) -> Any:
    """Return the value of a body; raise `ValueError` if it is invalid.

    A large configuration would block the event loop.
    """
    is_large = len(body) > LARGE_BODY_BYTES
    if is_large and path == _path(ObjectKind.PLAN):
        return await run_in_steps(decode_in_steps(body))
    return loads(body) if body.strip() else None


def _size(item: StoredObject) -> int:
    return OBJECT_BYTES + len(item.data or b'')


def _parse_items(
    raw_items: list[Any], era: int
) -> Generator[None, None, list[StoredObject]]:
    """Return the objects of a page, without those that are malformed."""
    items = []
    for raw_item in raw_items:
        item = yield from _parse_item(raw_item, era)
        if item is not None:
            items.append(item)
    return items


def _parse_events(
    page: dict[str, Any], era: int
) -> Generator[None, None, tuple[StoredObject, ...]]:
    """Return the last state of each object that changed."""
    items: dict[str, StoredObject] = {}
    for event in page['events']:
        item = yield from _parse_item(event.get('object'), era)
        if item is not None and event.get('deleted'):
            # The object of a deletion event has the revision of its last
            # change, so the deletion gets the revision of the page. It would
            # hide a later event of the same object.
            item = evolve(
                item, data=None, revision=combine(era, page['current_rev'])
            )
        if item is not None:
            items[item.name] = item
    return tuple(items.values())


def _parse_item(
    raw_item: Any, era: int
) -> Generator[None, None, StoredObject | None]:
    try:
        metadata = raw_item['metadata']
        return StoredObject(
            name=metadata['name'],
            revision=combine(era, metadata['revision']),
            data=(yield from encode_in_steps(raw_item.get('spec'))),
        )
    except (KeyError, TypeError, AttributeError):
        return None
