"""Checks of the whole configuration that would result from a change."""

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
from carawaylane.decisions.routing.selector import parse_selector
from carawaylane.decisions.routing.selector_index import SelectorIndex
from carawaylane.messages.outcomes import CheckReport, Problem

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from carawaylane.config.state import DocumentKey

_CHECKS: list[Callable[..., Iterable[Problem]]] = []


def check(func: Callable[..., Iterable[Problem]]) -> Callable[..., object]:
    """Register a check.

    The check gets all documents before and after a change and yields the
    problems that prevent it.
    """
    _CHECKS.append(func)
    return func


def check_change(
    before: Mapping[DocumentKey, Document],
    put: Iterable[Document],
    delete: Iterable[DocumentKey],
) -> CheckReport:
    """Return the errors that prevent a change, and warnings."""
    after = dict(before)
    for key in delete:
        after.pop(key, None)
    for doc in put:
        after[(kind_of(doc), doc.name)] = doc
    errors = [
        problem
        for run_check in _CHECKS
        for problem in run_check(before, after)
    ]
    return CheckReport(errors=tuple(errors), warnings=tuple(_warnings(after)))


@check
def _services_of_kinds_exist(
    before: Mapping[DocumentKey, Document],
    after: Mapping[DocumentKey, Document],
) -> Iterable[Problem]:
    services = {doc.name for doc in _of_type(after, Service)}
    for kind in _of_type(after, TrafficKind):
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
    for kind, other in _overlapping_kinds(after, before):
        yield Problem(
            place=f'TrafficKind {kind.name}',
            reason=(
                f'overlaps TrafficKind {other.name} at the same priority '
                f'{kind.priority}'
            ),
        )


@check
def _targets_match_one_service(
    before: Mapping[DocumentKey, Document],
    after: Mapping[DocumentKey, Document],
) -> Iterable[Problem]:
    index = SelectorIndex()
    index.add_all(
        (doc.name, parse_selector(doc.selector))
        for doc in _of_type(after, Service)
    )
    for target in _of_type(after, Target):
        services = sorted(index.matching(target.labels))
        if len(services) > 1:
            yield Problem(
                place=f'Target {target.name}',
                reason=f'is selected by services {" and ".join(services)}',
            )


@check
def _addresses_are_unique(
    before: Mapping[DocumentKey, Document],
    after: Mapping[DocumentKey, Document],
) -> Iterable[Problem]:
    name_by_address: dict[str, str] = {}
    for target in _of_type(after, Target):
        other = name_by_address.setdefault(target.address, target.name)
        if other != target.name:
            yield Problem(
                place=f'Target {target.name}',
                reason=f'has the address of Target {other}',
            )


@check
def _shard_counts_are_unchanged(
    before: Mapping[DocumentKey, Document],
    after: Mapping[DocumentKey, Document],
) -> Iterable[Problem]:
    for service in _of_type(after, Service):
        earlier = before.get(('Service', service.name))
        if isinstance(earlier, Service) and earlier.shards != service.shards:
            yield Problem(
                place=f'Service {service.name}',
                reason=(
                    f'shards cannot change from {earlier.shards} to '
                    f'{service.shards}: keys would change owners'
                ),
            )


def _overlapping_kinds(
    after: Mapping[DocumentKey, Document],
    before: Mapping[DocumentKey, Document],
) -> Iterable[tuple[TrafficKind, TrafficKind]]:
    by_priority: dict[int, list[TrafficKind]] = defaultdict(list)
    for kind in _of_type(after, TrafficKind):
        by_priority[kind.priority].append(kind)
    for kinds in by_priority.values():
        yield from _new_overlaps(kinds, before)


def _new_overlaps(
    kinds: list[TrafficKind], before: Mapping[DocumentKey, Document]
) -> Iterable[tuple[TrafficKind, TrafficKind]]:
    # Two unchanged kinds were compared when the later one was accepted.
    selectors = {kind.name: parse_selector(kind.selector) for kind in kinds}
    changed = [
        kind
        for kind in kinds
        if before.get(('TrafficKind', kind.name)) != kind
    ]
    checked: set[str] = set()
    for kind in changed:
        checked.add(kind.name)
        for other in kinds:
            if other.name in checked:
                continue
            if selectors[kind.name].overlaps(selectors[other.name]):
                yield kind, other


def _warnings(after: Mapping[DocumentKey, Document]) -> Iterable[Problem]:
    targets = list(_of_type(after, Target))
    for service in _of_type(after, Service):
        selector = parse_selector(service.selector)
        count = sum(1 for target in targets if selector.matches(target.labels))
        if count < service.shards:
            yield Problem(
                place=f'Service {service.name}',
                reason=f'has {count} targets for {service.shards} shards',
            )


def _of_type(docs: Mapping[DocumentKey, Document], cls: type) -> list:
    return [doc for doc in docs.values() if isinstance(doc, cls)]
