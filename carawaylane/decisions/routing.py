"""Which traffic kind a request belongs to, by its labels."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

from carawaylane.config.schema import TrafficKind
from carawaylane.decisions.selector import Selector, parse_selector

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


# Path segments that become labels segment0, segment1 and so on.
LABELLED_SEGMENTS = 4


@frozen(kw_only=True)
class Route:
    """A traffic kind with its parsed selector."""

    kind: TrafficKind
    selector: Selector


@define(kw_only=True)
class RouteTable:
    """Routes indexed by the admitted values of their most telling label.

    A lookup touches only routes that share a label value with the request,
    and those whose selector names no fixed value.
    """

    index: dict[tuple[str, str], list[Route]] = Factory(dict)
    keys: Counter[str] = Factory(Counter)
    unindexed: list[Route] = Factory(list)
    places: dict[str, list[list[Route]]] = Factory(dict)
    spread: Counter[tuple[str, str]] = Factory(Counter)

    @classmethod
    def build(cls, kinds: Iterable[TrafficKind]) -> RouteTable:
        """Return the table of all given kinds."""
        table = cls()
        routes = [_route(kind) for kind in kinds]
        for route in routes:
            table.spread.update(_pairs(route))
        for route in routes:
            table._place(route)
        return table

    def put(self, kind: TrafficKind) -> None:
        """Add a kind or replace the one of its name."""
        self.remove(kind.name)
        route = _route(kind)
        self.spread.update(_pairs(route))
        self._place(route)

    def remove(self, name: str) -> None:
        """Remove a kind, if there is one of that name."""
        for bucket in self.places.pop(name, ()):
            for route in [each for each in bucket if each.kind.name == name]:
                bucket.remove(route)

    def find(self, labels: Mapping[str, str]) -> TrafficKind | None:
        """Return the matching kind of the highest priority, if any."""
        best: TrafficKind | None = None
        for route in self._candidates(labels):
            if best is not None and route.kind.priority <= best.priority:
                continue
            if route.selector.matches(labels):
                best = route.kind
        return best

    def _candidates(self, labels: Mapping[str, str]) -> Iterable[Route]:
        for key in self.keys:
            value = labels.get(key)
            if value is not None:
                yield from self.index.get((key, value), ())
        yield from self.unindexed

    def _place(self, route: Route) -> None:
        exact = route.selector.exact()
        if not exact:
            self.unindexed.append(route)
            self.places[route.kind.name] = [self.unindexed]
            return
        key = min(
            exact,
            key=lambda each: max(
                self.spread[(each, value)] for value in exact[each]
            ),
        )
        self.keys[key] += 1
        buckets = [
            self.index.setdefault((key, value), []) for value in exact[key]
        ]
        for bucket in buckets:
            bucket.append(route)
        self.places[route.kind.name] = buckets


def request_labels(
    *, method: str, path: str, host: str, caller: str, header: str
) -> dict[str, str]:
    """Return a request's labels; `header` holds `key=value` pairs.

    Labels that the fleet derives itself win over those in the header.
    """
    labels: dict[str, str] = {}
    for part in header.split(','):
        key, found, value = part.partition('=')
        if found:
            labels[key.strip()] = value.strip()
    segments = [part for part in path.split('/') if part]
    for number, segment in enumerate(segments[:LABELLED_SEGMENTS]):
        labels[f'segment{number}'] = segment
    labels['method'] = method
    labels['path'] = path
    labels['host'] = host
    labels['caller'] = caller
    return labels


def _route(kind: TrafficKind) -> Route:
    return Route(kind=kind, selector=parse_selector(kind.selector))


def _pairs(route: Route) -> Iterable[tuple[str, str]]:
    for key, values in route.selector.exact().items():
        for value in values:
            yield key, value
