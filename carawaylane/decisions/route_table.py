"""Which route a request takes, and which part of its split."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaylane.messages.platform_objects import Route, WeightedService


class RouteTable:
    """Routes by host and path prefix."""

    def __init__(self, *, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path.

        The path has no query; prefixes end with a slash.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = path.rfind('/') + 1
        while end > 0:
            found = prefixes.get(path[:end])
            if found is not None:
                return found
            end = path.rfind('/', 0, end - 1) + 1
        return None


# Turns over which the nodes' starting points are spread.
START_TURNS = 100


@define(kw_only=True)
class TrafficSplitter:
    """Deals requests to the parts of a route by their weights.

    Each request goes to the part that is furthest behind its share, which
    keeps small counts close to the weights, too.
    """

    _behind: dict[str, dict[str, float]] = Factory(dict)

    def choose(self, route: Route, offset: float) -> WeightedService:
        """Return the part for the next request.

        `offset`, from 0 to 1, sets where a route's first turn begins, so
        that nodes do not all begin with the same part.
        """
        if len(route.traffic_split) == 1:
            return route.traffic_split[0]
        total = sum(part.weight for part in route.traffic_split) or 1.0
        key = f'{route.name}|' + ','.join(
            f'{part.service}={part.weight:g}' for part in route.traffic_split
        )
        behind = self._behind.get(key)
        if behind is None:
            behind = _started(route, offset, total)
            self._behind = {
                name: kept
                for name, kept in self._behind.items()
                if not name.startswith(f'{route.name}|')
            }
            self._behind[key] = behind
        return _deal(route, behind, total)


def _started(route: Route, offset: float, total: float) -> dict[str, float]:
    """Return the state after a number of turns that depends on `offset`."""
    behind = {part.service: 0.0 for part in route.traffic_split}
    for _ in range(int(offset * START_TURNS)):
        _deal(route, behind, total)
    return behind


def _deal(
    route: Route, behind: dict[str, float], total: float
) -> WeightedService:
    for part in route.traffic_split:
        behind[part.service] += part.weight / total
    chosen = max(route.traffic_split, key=lambda part: behind[part.service])
    behind[chosen.service] -= 1
    return chosen
