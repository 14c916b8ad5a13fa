"""Settings of a gateway node, read from the boot file of the platform."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class Bounds:
    """Limits that the operators set on a gateway node.

    `config_propagation_s` and `drain_s` limit how long a configuration change
    and a drain may take; the node does not enforce them. The platform kills a
    stopping process after `grace_s`. The repeated sends of a service within
    `retry_window_s` are limited to `retry_ratio` of its first sends, plus
    `retry_slack`. At least `floor_share` of the healthy targets of a busy
    service must get requests.
    """

    config_propagation_s: float = 2.0
    drain_s: float = 2.0
    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: int = 50
    floor_share: float = 0.7


@frozen(kw_only=True)
class GatewaySettings:
    """Validated settings of one gateway node.

    `cores` is the CPU share of the node, in cores of reference speed.
    """

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
