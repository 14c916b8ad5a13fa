"""Check of a whole configuration before a change to it is accepted."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from carawaylane.config.schema import (
    Document,
    Service,
    Target,
    TrafficKind,
    kind_of,
)
from carawaylane.decisions.selector import parse_selector
from carawaylane.decisions.selector_index import SelectorIndex
from carawaylane.messages.outcomes import CheckReport, Problem

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from carawaylane.config.state import DocumentKey

_CHECKS: list[Callable[..., Iterable[Problem]]] = []


def check(func: Callable[..., Iterable[Problem]]) -> Callable[..., object]:
    """Register a check over the documents before and after a change."""
    _CHECKS.append(func)
    return func


def check_change(
    before: Mapping[DocumentKey, Document],
    put: Iterable[Document],
    delete: Iterable[DocumentKey],
) -> CheckReport:
    """Return what speaks against a change, and warnings about it."""
    after = dict(before)
    for key in delete:
        after.pop(key, None)
    for doc in put:
        after[(kind_of(doc), doc.name)] = doc
    errors = [problem for func in _CHECKS for problem in func(before, after)]
    return CheckReport(errors=tuple(errors), warnings=tuple(_warnings(after)))


@check
def _kinds_name_services(
    before: Mapping[DocumentKey, Document],
    after: Mapping[DocumentKey, Document],
) -> Iterable[Problem]:
    services = {doc.name for doc in _all(after, Service)}
    for kind in _all(after, TrafficKind):
        if kind.service not in services:
            yield Problem(
                place=f'TrafficKind {kind.name}',
                reason=f'no service is named {kind.service!r}',
            )


@check
def _kinds_do_not_overlap(
    before: Mapping[DocumentKey, Document],
    after: Mapping[DocumentKey, Document],
) -> Iterable[Problem]:
    for one, other in _overlapping_kinds(after, before):
        yield Problem(
            place=f'TrafficKind {one.name}',
            reason=(
                f'overlaps TrafficKind {other.name} at the same priority '
                f'{one.priority}'
            ),
        )


@check
def _targets_have_one_service(
    before: Mapping[DocumentKey, Document],
    after: Mapping[DocumentKey, Document],
) -> Iterable[Problem]:
    index = SelectorIndex()
    index.add_all(
        (doc.name, parse_selector(doc.selector))
        for doc in _all(after, Service)
    )
    for target in _all(after, Target):
        found = sorted(index.matching(target.labels))
        if len(found) > 1:
            yield Problem(
                place=f'Target {target.name}',
                reason=f'is selected by services {" and ".join(found)}',
            )


@check
def _addresses_differ(
    before: Mapping[DocumentKey, Document],
    after: Mapping[DocumentKey, Document],
) -> Iterable[Problem]:
    seen: dict[str, str] = {}
    for target in _all(after, Target):
        other = seen.setdefault(target.address, target.name)
        if other != target.name:
            yield Problem(
                place=f'Target {target.name}',
                reason=f'has the address of Target {other}',
            )


@check
def _shards_stay(
    before: Mapping[DocumentKey, Document],
    after: Mapping[DocumentKey, Document],
) -> Iterable[Problem]:
    for service in _all(after, Service):
        old = before.get(('Service', service.name))
        if isinstance(old, Service) and old.shards != service.shards:
            yield Problem(
                place=f'Service {service.name}',
                reason=(
                    f'shards cannot change from {old.shards} to '
                    f'{service.shards}: keys would change owners'
                ),
            )


def _overlapping_kinds(
    after: Mapping[DocumentKey, Document],
    before: Mapping[DocumentKey, Document],
) -> Iterable[tuple[TrafficKind, TrafficKind]]:
    groups: dict[int, list[TrafficKind]] = defaultdict(list)
    for kind in _all(after, TrafficKind):
        groups[kind.priority].append(kind)
    for kinds in groups.values():
        yield from _overlaps_in(kinds, before)


def _overlaps_in(
    kinds: list[TrafficKind], before: Mapping[DocumentKey, Document]
) -> Iterable[tuple[TrafficKind, TrafficKind]]:
    # Only pairs with a changed side are new; the rest were checked before.
    sels = {kind.name: parse_selector(kind.selector) for kind in kinds}
    changed = [
        kind
        for kind in kinds
        if before.get(('TrafficKind', kind.name)) != kind
    ]
    done: set[str] = set()
    for one in changed:
        done.add(one.name)
        for other in kinds:
            if other.name in done:
                continue
            if sels[one.name].overlaps(sels[other.name]):
                yield one, other


def _warnings(after: Mapping[DocumentKey, Document]) -> Iterable[Problem]:
    targets = list(_all(after, Target))
    for service in _all(after, Service):
        sel = parse_selector(service.selector)
        count = sum(1 for each in targets if sel.matches(each.labels))
        if count < service.shards:
            yield Problem(
                place=f'Service {service.name}',
                reason=f'has {count} targets for {service.shards} shards',
            )


def _all(docs: Mapping[DocumentKey, Document], cls: type) -> list:
    return [doc for doc in docs.values() if isinstance(doc, cls)]
