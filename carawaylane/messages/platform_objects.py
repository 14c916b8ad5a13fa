"""Decoded objects of the platform's store: routes, targets and members."""

from __future__ import annotations

from attrs import field, frozen

MS_PER_S = 1000.0
# Of nodes that do not say how fast their link is.
DEFAULT_LINK_MBPS = 100.0


@frozen(kw_only=True, repr=False)
class WeightedService:
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


@frozen(kw_only=True, repr=False)
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
    # Whether requests need no customer's key.
    auth_exempt: bool = False
    # Whether answers are large, so that they are streamed to the caller.
    large_answers: bool = False


@frozen(kw_only=True, repr=False)
class Customer:
    """A customer, whose requests carry one of its keys.

    Keys are known by their hash only. `rate_per_s` and `burst` limit its
    requests over all nodes; there is no limit if both are 0.
    """

    name: str
    key_digests: tuple[bytes, ...] = field(repr=False)
    # Goes before the priority of the route, unless it is None.
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the customer has a quota."""
        return self.rate_per_s > 0 or self.burst > 0


@frozen(kw_only=True, repr=False)
class CallerLimits:
    """Limits on the size of a caller's request and on its idle time."""

    header_bytes: int = 16384
    body_bytes: int = 64 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@frozen(kw_only=True, repr=False)
class Plan:
    """A version of the routing configuration."""

    version: int
    routes: tuple[Route, ...]
    limits: CallerLimits
    # Without customers, requests need no key.
    customers: tuple[Customer, ...] = ()


@frozen(kw_only=True, repr=False)
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


@frozen(kw_only=True, repr=False)
class Member:
    """A node: its address for peers, its CPU cores and its link."""

    name: str
    address: str
    data_centre: str
    cores: float
    link_mbps: float = DEFAULT_LINK_MBPS


@frozen(kw_only=True, repr=False)
class InvalidObject:
    """An object that can't be decoded, and the reason."""

    name: str
    reason: str
