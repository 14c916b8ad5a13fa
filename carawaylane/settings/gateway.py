"""Settings of a gateway node, read from the boot file of the platform."""

from __future__ import annotations

from enum import Enum

from attrs import frozen


@frozen(kw_only=True, eq=False, repr=False)
class Bounds:
    """Limits that the operators set on a gateway node.

    `config_propagation_s` and `drain_s` limit how long a configuration change
    and a drain may take; the node does not enforce them. The platform kills a
    stopping process after `grace_s`. The repeated sends of a service within
    `retry_window_s` are limited to `retry_ratio` of its first sends, plus
    `retry_slack`. At least `floor_share` of the healthy targets of a busy
    service must get requests. Within `quota_window_s`, the requests of a
    customer that run exceed its quota by at most `quota_overshoot` of it,
    plus `quota_slack`.
    """

    config_propagation_s: float = 2.0
    drain_s: float = 2.0
    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: int = 50
    floor_share: float = 0.7
    quota_window_s: float = 5.0
    quota_overshoot: float = 0.1
    quota_slack: int = 20


class Admission(Enum):
    """Whether requests are admitted by value and by fair shares."""

    # If the configuration has customers.
    AUTO = 'auto'
    ON = 'on'
    OFF = 'off'


class Placement(Enum):
    """How a home chooses the target of a request."""

    # By cost if the configuration has customers or large answers.
    AUTO = 'auto'
    COST = 'cost'
    # By the risk that the target fails, whatever the request costs.
    RISK = 'risk'


@frozen(kw_only=True, eq=False, repr=False)
class GatewaySettings:
    """Validated settings of one gateway node.

    `cores` is the CPU share of the node, in cores of reference speed.
    The node keeps to `memory_bytes` by refusing work. `pipeline_depth` is how
    many requests of a caller's connection run at a time.
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
    memory_bytes: int = 256 << 20
    link_mbps: float = 100.0
    admission: Admission = Admission.AUTO
    placement: Placement = Placement.AUTO
    pipeline_depth: int = 16
    trace_exporter: str = 'none'
    trace_ratio: float = 0.0
