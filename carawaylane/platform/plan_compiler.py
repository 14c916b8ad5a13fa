"""Decodes large configurations in steps, and only what has changed."""

from __future__ import annotations

from json import JSONDecoder
from typing import TYPE_CHECKING, Any

from attrs import Factory, frozen

from carawaylane.decisions.customers.keys import KeyRing
from carawaylane.decisions.propagation.split_text import (
    STEP_SEGMENTS,
)
from carawaylane.decisions.routing.route_table import RouteTable
from carawaylane.messages.platform_objects import (
    Customer,
    InvalidObject,
    Plan,
    Route,
)
from carawaylane.platform.documents import (
    CUSTOMERS,
    DECODE_ERRORS,
    ROUTES,
    decode_plan,
    make_plan,
    parse_customer,
    parse_customers,
    parse_route,
)
from carawaylane.platform.segmenting import KEY_SEPARATOR

if TYPE_CHECKING:
    from collections.abc import Generator

    from carawaylane.decisions.propagation.segments import SegmentedText

_DECODER = JSONDecoder()


# Decoding an element takes some 15 times as long as comparing one.
STEP_DECODED = STEP_SEGMENTS // 2
STEP_COMPARED = 8 * STEP_SEGMENTS


@frozen(kw_only=True, eq=False, repr=False)
class CompiledPlan:
    """A version of the configuration with what requests look up in it.

    `routes` and `customers` are by the keys of their segments. The next
    version shares with this one all that has not changed.
    """

    revision: int
    plan: Plan
    route_table: RouteTable
    key_ring: KeyRing
    routes: dict[str, Route]
    customers: dict[str, Customer]
    # The keys of all segments, the members of the object that have no own
    # segments, and the number of each member's first segment.
    keys: tuple[str, ...] = ()
    spec: dict[str, Any] = Factory(dict)
    numbers: dict[str, int] = Factory(dict)


class FirstElements:
    """Decodes the elements of a first version while its text is split.

    So each element is read from the text only once. After one that is invalid
    nothing is kept: the compiler comes across it again and says where it is.
    """

    def __init__(self) -> None:
        self.decoded: dict[str, dict[str, Any]] = {ROUTES: {}, CUSTOMERS: {}}
        self._is_valid = True

    def add(self, section: str, key: str, position: int, spec: Any) -> None:
        """Decode an element."""
        if not self._is_valid or section not in self.decoded:
            return
        try:
            self.decoded[section][key] = _parse(section, position, spec)
        except DECODE_ERRORS:
            self._is_valid = False
            for elements in self.decoded.values():
                elements.clear()


def _parse(section: str, position: int, spec: Any) -> Any:
    if section == ROUTES:
        return parse_route(spec)
    return parse_customer(f'{section}[{position}]', spec)


def compile_plan(
    name: str,
    text: SegmentedText,
    previous: CompiledPlan | None,
    first: FirstElements | None = None,
) -> Generator[None, None, CompiledPlan | InvalidObject]:
    """Return the configuration in a text.

    `previous` was compiled from the text itself or from an earlier version
    that this one was made from. If there is none, `first` may have elements
    of the text.
    """
    if text.split.keys == ('',):
        return _compile_whole(name, text)
    try:
        return (yield from _Compilation(text, previous, first).run())
    except DECODE_ERRORS as exc:
        return InvalidObject(name=name, reason=f'{type(exc).__name__}: {exc}')


def _compile_whole(
    name: str, text: SegmentedText
) -> CompiledPlan | InvalidObject:
    plan = decode_plan(name, text.split.text)
    if isinstance(plan, InvalidObject):
        return plan
    return CompiledPlan(
        revision=text.revision,
        plan=plan,
        route_table=RouteTable(routes=plan.routes),
        key_ring=KeyRing(customers=plan.customers),
        routes={},
        customers={},
    )


class _Compilation:
    """One run of the compiler; raises one of DECODE_ERRORS."""

    def __init__(
        self,
        text: SegmentedText,
        previous: CompiledPlan | None,
        first: FirstElements | None,
    ) -> None:
        self._text = text
        self._first = first
        # A text that was decoded as a whole has no parts to share.
        has_parts = previous is not None and bool(previous.routes)
        self._previous = previous if has_parts else None
        self._spec: dict[str, Any] = {}
        self._numbers: dict[str, int] = {}
        self._elements: dict[str, list[tuple[str, int]]] = {
            ROUTES: [],
            CUSTOMERS: [],
        }
        # The keys of the routes and customers that differ from those of the
        # previous version, if they are known.
        self._changed: dict[str, list[str]] = {}

    def run(self) -> Generator[None, None, CompiledPlan]:
        """Return the compiled configuration."""
        previous = self._previous
        if previous is not None and previous.keys == self._text.split.keys:
            yield
            decoded = yield from self._decode_changed(previous)
        else:
            decoded = yield from self._decode_all()
        routes, customers = decoded[ROUTES], decoded[CUSTOMERS]
        plan = make_plan(
            self._spec,
            routes=tuple(routes.values())
            or tuple(parse_route(spec) for spec in self._spec[ROUTES]),
            customers=tuple(customers.values())
            or parse_customers(self._spec.get(CUSTOMERS) or []),
        )
        yield
        key_ring = yield from self._make_key_ring(plan, customers)
        yield
        route_table = yield from self._make_route_table(plan, routes)
        return CompiledPlan(
            revision=self._text.revision,
            plan=plan,
            route_table=route_table,
            key_ring=key_ring,
            routes=routes,
            customers=customers,
            keys=self._text.split.keys,
            spec=self._spec,
            numbers=self._numbers,
        )

    def _decode_changed(
        self, previous: CompiledPlan
    ) -> Generator[None, None, dict[str, dict[str, Any]]]:
        """Return the elements if the text has the segments of the previous.

        Only segments that changed are visited.
        """
        self._spec = dict(previous.spec)
        self._numbers = previous.numbers
        decoded: dict[str, dict[str, Any]] = {
            ROUTES: dict(previous.routes),
            CUSTOMERS: dict(previous.customers),
        }
        self._changed = {section: [] for section in decoded}
        yield
        since = previous.revision
        changed = [
            number
            for number, revision in enumerate(self._text.revisions)
            if revision > since
        ]
        yield
        for count, number in enumerate(changed, start=1):
            key = previous.keys[number]
            section, has_name, _ = key.partition(KEY_SEPARATOR)
            if not has_name:
                self._read_member(key, self._text.segment(number).decode())
            elif section in decoded:
                position = number - self._numbers[section] - 1
                decoded[section][key] = self._decode(section, position, number)
                self._changed[section].append(key)
            if count % STEP_DECODED == 0:
                yield
        return decoded

    def _decode(self, section: str, position: int, number: int) -> Any:
        """Return the element in a segment."""
        spec, _ = _DECODER.raw_decode(self._text.segment(number).decode())
        return _parse(section, position, spec)

    def _decode_all(
        self,
    ) -> Generator[None, None, dict[str, dict[str, Any]]]:
        yield from self._read_segments()
        known: dict[str, dict[str, Any]] = {ROUTES: {}, CUSTOMERS: {}}
        since = self._text.revision
        if self._previous is not None:
            since = self._previous.revision
            known[ROUTES] = self._previous.routes
            known[CUSTOMERS] = self._previous.customers
        elif self._first is not None:
            known = self._first.decoded
        routes = yield from self._decode_section(ROUTES, known, since)
        customers = yield from self._decode_section(CUSTOMERS, known, since)
        return {ROUTES: routes, CUSTOMERS: customers}

    def _read_segments(self) -> Generator[None, None, None]:
        """Decode the members of the object that have no own segments."""
        for number, key in enumerate(self._text.split.keys):
            section, has_name, _ = key.partition(KEY_SEPARATOR)
            if has_name:
                self._elements.setdefault(section, []).append((key, number))
            else:
                self._numbers[key] = number
                self._read_member(key, self._text.segment(number).decode())
            if number % STEP_COMPARED == 0:
                yield

    def _read_member(self, key: str, text: str) -> None:
        start = 1 if text.startswith('{') else 0
        _, position = _DECODER.raw_decode(text, start)
        if text.endswith('['):
            # The elements are in segments of their own.
            self._spec[key] = []
            return
        self._spec[key], _ = _DECODER.raw_decode(text, position + 1)

    def _decode_section(
        self, section: str, known: dict[str, dict[str, Any]], since: int
    ) -> Generator[None, None, dict[str, Any]]:
        """Return the elements of a section.

        Those that are known and have not changed since are not decoded.
        """
        revisions = self._text.revisions
        decoded: dict[str, Any] = {}
        count = 0
        for position, (key, number) in enumerate(self._elements[section]):
            element = known[section].get(key)
            if element is None or revisions[number] > since:
                element = self._decode(section, position, number)
                count += 1
                if count % STEP_DECODED == 0:
                    yield
            elif position % STEP_COMPARED == 0:
                yield
            decoded[key] = element
        yield
        return decoded

    def _changed_keys(
        self, section: str, before: dict[str, Any], after: dict[str, Any]
    ) -> Generator[None, None, list[str]]:
        """Return the keys of elements that were added, changed or removed."""
        if section in self._changed:
            return self._changed[section]
        changed = []
        for elements, others in ((before, after), (after, before)):
            for number, (key, element) in enumerate(elements.items()):
                if others.get(key) is not element:
                    changed.append(key)
                if number % STEP_COMPARED == 0:
                    yield
        return list(dict.fromkeys(changed))

    def _make_key_ring(
        self, plan: Plan, customers: dict[str, Customer]
    ) -> Generator[None, None, KeyRing]:
        before = self._previous.customers if self._previous else {}
        if self._previous is None or not before or not customers:
            ring = KeyRing(customers=())
            for start in range(0, len(plan.customers), STEP_COMPARED):
                ring.add(plan.customers[start : start + STEP_COMPARED])
                yield
            return ring
        changed = yield from self._changed_keys(CUSTOMERS, before, customers)
        if not changed:
            return self._previous.key_ring
        return self._previous.key_ring.updated(
            [before[key] for key in changed if key in before],
            [customers[key] for key in changed if key in customers],
        )

    def _make_route_table(
        self, plan: Plan, routes: dict[str, Route]
    ) -> Generator[None, None, RouteTable]:
        if self._previous is None or not routes:
            table = RouteTable(routes=())
            for start in range(0, len(plan.routes), STEP_COMPARED):
                table.add(plan.routes[start : start + STEP_COMPARED])
                yield
            return table
        before = self._previous.routes
        changed = yield from self._changed_keys(ROUTES, before, routes)
        if not changed:
            return self._previous.route_table
        hosts = {
            elements[key].host
            for elements in (before, routes)
            for key in changed
            if key in elements
        }
        return self._previous.route_table.updated(plan.routes, hosts)
