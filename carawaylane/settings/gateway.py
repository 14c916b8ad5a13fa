"""Settings that the platform gives a node of the gateway profile."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class Bounds:
    """What the operators allow; times in seconds."""

    config_propagation_s: float = 2.0
    drain_s: float = 2.0
    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: int = 50
    floor_share: float = 0.7


@frozen(kw_only=True)
class GatewaySettings:
    """Checked settings of one node."""

    name: str
    data_centre: str
    listen: str
    ready_listen: str
    peer_listen: str
    metrics_port: int
    seeds: tuple[str, ...]
    store_address: str
    cores: float
    max_fds: int
    bounds: Bounds
    trace_exporter: str = 'none'
    trace_ratio: float = 0.0
