"""Decoded objects of the platform's store: routes, targets and members."""

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
    """How requests to a host whose path begins with a prefix are served.

    `objective_s` is the latency that the operator aims at; `max_targets`
    limits how many targets may receive one request.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    # 0 is the most urgent.
    priority: int
    max_targets: int
    traffic_split: tuple[WeightedService, ...]


@frozen(kw_only=True)
class CallerLimits:
    """Limits on the size of a caller's request and on its idle time."""

    header_bytes: int = 16384
    body_bytes: int = 64 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@frozen(kw_only=True)
class Plan:
    """A version of the routing configuration."""

    version: int
    routes: tuple[Route, ...]
    limits: CallerLimits


@frozen(kw_only=True)
class TargetSpec:
    """A target as it registered itself.

    `started_ms` is the Unix time of its start, 0 if unknown. Nothing learned
    about a target applies after a restart under the same name.
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
    """A node: its address for peers, and the CPU cores it may use."""

    name: str
    address: str
    data_centre: str
    cores: float


@frozen(kw_only=True)
class InvalidObject:
    """An object that can't be decoded, and the reason."""

    name: str
    reason: str
