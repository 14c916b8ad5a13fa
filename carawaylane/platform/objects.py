"""Client of the platform's object store; it does not retry failed calls."""

from __future__ import annotations

from collections import defaultdict
from re import compile as compile_pattern
from typing import TYPE_CHECKING, Any

from aiohttp import (
    ClientError,
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
)
from attrs import evolve, frozen

from carawaylane.kernel.steps import run_in_steps
from carawaylane.messages.platform_objects import InvalidObject
from carawaylane.messages.stored_objects import (
    REVISION_BITS,
    ObjectDelta,
    ObjectKind,
    StoredObject,
    era_of,
    revision_in_era,
)
from carawaylane.platform.documents import (
    COLLECTIONS,
    DECODE_ERRORS,
    encode_json,
    is_text,
    reason_of,
)
from carawaylane.platform.eras import EraReader, combine
from carawaylane.platform.pages import Undecoded, decode_page
from carawaylane.platform.stepwise_json import encode_in_steps
from carawaylane.storage.answers import bounded_connector, read_answer
from carawaylane.storage.driver import Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable, Generator, Iterable

    OnRejected = Callable[[ObjectKind, InvalidObject, int], object]
    OnGone = Callable[[ObjectKind, str], object]

# A healthy store answers within milliseconds, but a slow one is still used.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.5
KEEPALIVE_S = 5.0
# Bytes of all objects of a list, and what each object takes at least.
MAX_LIST_BYTES = 32 << 20
OBJECT_BYTES = 256
# Objects without a usable name of which it is known that they were reported.
MAX_UNNAMED = 1000
# Time for the answer to a watch, added to the wait that the watch asks for.
WATCH_MARGIN_S = 0.7
# Why a page of a watch that names an older revision than the watch is none.
OLDER_PAGE = 'a page of an older revision'
CALL_ERRORS = (TimeoutError, ClientError, OSError, ValueError)
# Sorts after the surrogates, which no request can carry.
AFTER_SURROGATES = '\ue000'
_SURROGATE = compile_pattern('[\ud800-\udfff]')
OK = 200
CREATED = 201
NOT_FOUND = 404
CONFLICT = 409
GONE = 410


@frozen(kw_only=True, eq=False, repr=False)
class HistoryExpired:
    """The store no longer has the changes after the requested revision."""


class ObjectStoreClient:
    """Lists, watches, writes and deletes objects of the platform.

    `on_rejected` is called with the kind and the revision of an object that
    has no name under which it could be known, `on_gone` with the name that it
    was reported under once it is removed, or a list does not have it. Others
    that can't be read are passed on with their revision, and are rejected by
    the decoder of the kind.
    """

    def __init__(
        self,
        *,
        address: str,
        on_rejected: OnRejected = lambda *_: None,
        on_gone: OnGone = lambda *_: None,
    ) -> None:
        self._url = f'http://{address}'
        self._on_rejected = on_rejected
        self._on_gone = on_gone
        # Names under which objects without a usable name were reported.
        self._unnamed: dict[ObjectKind, set[str]] = defaultdict(set)
        self._session: ClientSession | None = None
        self._eras = EraReader()

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def forget_unnamed(self, kinds: Iterable[ObjectKind] = ObjectKind) -> None:
        """Take the objects without a usable name for gone."""
        for kind in kinds:
            for name in self._unnamed.pop(kind, ()):
                self._on_gone(kind, name)

    async def list_all(self, kind: ObjectKind) -> ObjectDelta | Unavailable:
        """Return all objects of a kind."""
        known = self._unnamed.pop(kind, set())
        result = await self._list_pages(kind)
        listed = self._unnamed[kind]
        if isinstance(result, Unavailable):
            listed |= known
        else:
            for name in known - listed:
                self._on_gone(kind, name)
        return result

    async def _list_pages(self, kind: ObjectKind) -> ObjectDelta | Unavailable:
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
            status, body, era = resp
            if status != OK:
                return Unavailable(reason=f'status {status}')
            eras.add(era)
            if len(eras) > 1:
                return Unavailable(reason='restored during the list')
            try:
                page = await run_in_steps(_decode(kind, body))
                page_revision = combine(era, _revision(page['current_rev']))
                raw_items = _require_list(page['items'])
                # The revision of the first page: a watch from there returns
                # the changes that were made while later pages were fetched.
                revision = revision or page_revision
                parsed = await run_in_steps(
                    self._parse_items(kind, raw_items, page_revision)
                )
                items += parsed
                size += sum(map(_size, parsed))
                if size > MAX_LIST_BYTES:
                    return Unavailable(reason='the list is too large')
                if not page.get('more') or not (after or raw_items):
                    return ObjectDelta(items=tuple(items), revision=revision)
                before, after = after, _next_after(raw_items, after)
                if after == before:
                    return Unavailable(reason='a list that does not end')
            except DECODE_ERRORS as exc:
                return Unavailable(
                    reason=f'malformed list of objects: {reason_of(exc)}'
                )

    async def watch(
        self, kind: ObjectKind, *, revision: int, wait_s: float
    ) -> ObjectDelta | HistoryExpired | Unavailable:
        """Return the changes after a revision; wait for them if needed.

        The delta is empty if there are none within `wait_s`. A revision of
        another era of the store has expired. A page that is older than the
        revision comes from a copy that lags, and would hide later changes.
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
        status, body, era = resp
        if status == GONE or era != era_of(revision):
            return HistoryExpired()
        if status != OK:
            return Unavailable(reason=f'status {status}')
        try:
            page = await run_in_steps(_decode(kind, body))
            page_revision = combine(era, _revision(page['current_rev']))
            if page_revision < revision:
                return Unavailable(reason=OLDER_PAGE)
            events = _require_list(page['events'])
            return ObjectDelta(
                items=await run_in_steps(
                    self._parse_events(kind, events, page_revision)
                ),
                revision=page_revision,
                base=revision,
            )
        except DECODE_ERRORS as exc:
            return Unavailable(
                reason=f'malformed list of events: {reason_of(exc)}'
            )

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
    ) -> tuple[int, bytes, int] | Unavailable:
        """Return the status, the body and the era of the response."""
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
                return resp.status, await read_answer(resp), era
        except CALL_ERRORS as exc:
            return Unavailable(reason=type(exc).__name__)

    def _parse_items(
        self, kind: ObjectKind, raw_items: list[Any], page_revision: int
    ) -> Generator[None, None, list[StoredObject]]:
        """Return the objects of a page, without those that have no name."""
        items = []
        for raw_item in raw_items:
            item = yield from self._parse_item(kind, raw_item, page_revision)
            if item is not None:
                items.append(item)
        return items

    def _parse_events(
        self, kind: ObjectKind, events: list[Any], page_revision: int
    ) -> Generator[None, None, tuple[StoredObject, ...]]:
        """Return the last state of each object that changed."""
        items: dict[str, StoredObject] = {}
        for event in events:
            raw_item = event.get('object') if isinstance(event, dict) else None
            is_gone = isinstance(event, dict) and bool(event.get('deleted'))
            item = yield from self._parse_item(
                kind, raw_item, page_revision, is_gone=is_gone
            )
            if item is None:
                continue
            if is_gone:
                # The object of a deletion event has the revision of its last
                # change, so the deletion gets the revision of the page. It
                # would hide a later event of the same object.
                item = evolve(item, data=None, revision=page_revision)
            items[item.name] = item
        return tuple(items.values())

    def _parse_item(
        self,
        kind: ObjectKind,
        raw_item: Any,
        page_revision: int,
        *,
        is_gone: bool = False,
    ) -> Generator[None, None, StoredObject | None]:
        """Return an object, None if it has no name that can be used.

        One whose revision or value can't be read has a value that no decoder
        takes, so that it replaces what was known of the object before.
        """
        name = ''
        revision = page_revision
        data = b''
        try:
            metadata = raw_item['metadata']
            name = metadata['name']
            if not name or not is_text(name):
                raise ValueError('the name is no text')
            spec = raw_item.get('spec')
        except DECODE_ERRORS as exc:
            invalid = InvalidObject(name=f'{name!a}', reason=reason_of(exc))
            if is_gone:
                self._unnamed[kind].discard(invalid.name)
                self._on_gone(kind, invalid.name)
            else:
                if len(self._unnamed[kind]) < MAX_UNNAMED:
                    self._unnamed[kind].add(invalid.name)
                self._on_rejected(kind, invalid, _own_revision(raw_item))
            return None
        try:
            revision = combine(
                era_of(page_revision), _revision(metadata['revision'])
            )
            if isinstance(spec, Undecoded):
                data = spec.text
            else:
                data = yield from encode_in_steps(spec)
        except DECODE_ERRORS:
            data = b''
        return StoredObject(name=name, revision=revision, data=data)


def _path(kind: ObjectKind, *names: str) -> str:
    return '/'.join(('/objects', COLLECTIONS[kind], *names))


def _decode(kind: ObjectKind, body: bytes) -> Generator[None, None, Any]:
    """Return the value of a page; a large one would block the event loop."""
    return decode_page(body, may_be_large=kind is ObjectKind.PLAN)


def _revision(value: Any) -> int:
    if type(value) is int and 0 <= value < 1 << REVISION_BITS:
        return value
    raise ValueError('not a revision')


def _size(item: StoredObject) -> int:
    return OBJECT_BYTES + len(item.data or b'')


def _own_revision(raw_item: Any) -> int:
    """Return the revision of an object within its era, 0 if unknown."""
    try:
        return _revision(raw_item['metadata']['revision'])
    except DECODE_ERRORS:
        return 0


def _require_list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise ValueError('not a list')
    return value


def _next_after(raw_items: list[Any], after: str) -> str:
    """Return the name after which the next page starts.

    It is that of the last object that has one. If none has, it is a name
    after all that begin like the last one up to its unreadable part.
    """
    last = ''
    for raw_item in reversed(raw_items):
        try:
            name = raw_item['metadata']['name']
        except DECODE_ERRORS:
            continue
        if is_text(name):
            return str(name) or after
        if isinstance(name, str):
            last = last or name
    readable, *_ = _SURROGATE.split(last, maxsplit=1)
    return readable + AFTER_SURROGATES if last else after
