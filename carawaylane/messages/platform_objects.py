"""What operators and targets have said: routes, limits, targets, members."""

from __future__ import annotations

from attrs import frozen

MS_PER_S = 1000.0


@frozen(kw_only=True)
class WeightedService:
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


@frozen(kw_only=True)
class Route:
    """Requests of one host whose path begins with a prefix."""

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    priority: int
    max_targets: int
    traffic_split: tuple[WeightedService, ...]


@frozen(kw_only=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 64 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@frozen(kw_only=True)
class Plan:
    """A version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    limits: CallerLimits


@frozen(kw_only=True)
class TargetSpec:
    """A target as it described itself.

    `born_ms` is the Unix time of its start, 0 if unknown: a new start under
    an old name holds nothing of before.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    warmup_left_s: float = 0.0
    started_ms: int = 0


@frozen(kw_only=True)
class Member:
    """A node of the fleet: where peers reach it, and its share of a core."""

    name: str
    address: str
    data_centre: str
    cores: float


@frozen(kw_only=True)
class InvalidObject:
    """An entry that names nothing to use, and why."""

    name: str
    reason: str
