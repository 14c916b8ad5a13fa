"""Matching of requests to routes, and of routes to services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from collections.abc import Iterable, Set

    from carawaylane.messages.platform_objects import Route, WeightedService


class RouteTable:
    """Routes by host and path prefix."""

    def __init__(self, *, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        self.add(routes)

    def add(self, routes: Iterable[Route]) -> None:
        """Add routes; the last one of a host and prefix counts."""
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def updated(self, routes: Iterable[Route], hosts: Set[str]) -> RouteTable:
        """Return the table of all routes, which differ for some hosts only.

        Both tables share what they have of the other hosts.
        """
        table = RouteTable(routes=())
        table._by_host = dict(self._by_host)
        for host in hosts:
            table._by_host.pop(host, None)
        table.add(route for route in routes if route.host in hosts)
        return table

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path.

        The path has no query string, and every prefix ends with a slash.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = path.rfind('/') + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None


# Nodes begin at one of this many points of the round-robin cycle.
START_POINTS = 100


@define(kw_only=True, eq=False, repr=False)
class TrafficSplitter:
    """Splits the requests of a route by smooth weighted round robin.

    Each request goes to the service that is furthest behind its share, so
    that even a few requests are split close to the weights.
    """

    # By route and weights: how many requests each service is behind its share.
    _deficits: dict[str, dict[str, float]] = Factory(dict)

    def choose(self, route: Route, offset: float) -> WeightedService:
        """Return the service for the next request.

        `offset`, from 0 to 1, is where in the cycle a route's first request
        falls, so that nodes do not all begin with the same service.
        """
        if len(route.traffic_split) == 1:
            return route.traffic_split[0]
        total = sum(item.weight for item in route.traffic_split) or 1.0
        key = f'{route.name}|' + ','.join(
            f'{item.service}={item.weight:g}' for item in route.traffic_split
        )
        deficits = self._deficits.get(key)
        if deficits is None:
            deficits = _initial_deficits(route, offset, total)
            # Drops the deficits for former weights of the route.
            self._deficits = {
                other_key: other_deficits
                for other_key, other_deficits in self._deficits.items()
                if not other_key.startswith(f'{route.name}|')
            }
            self._deficits[key] = deficits
        return _next_service(route, deficits, total)


def _initial_deficits(
    route: Route, offset: float, total: float
) -> dict[str, float]:
    """Return the deficits at the point of the cycle given by `offset`."""
    deficits = {item.service: 0.0 for item in route.traffic_split}
    for _ in range(int(offset * START_POINTS)):
        _next_service(route, deficits, total)
    return deficits


def _next_service(
    route: Route, deficits: dict[str, float], total: float
) -> WeightedService:
    for item in route.traffic_split:
        deficits[item.service] += item.weight / total
    chosen = max(route.traffic_split, key=lambda item: deficits[item.service])
    deficits[chosen.service] -= 1
    return chosen
