"""Metrics and trace spans of the node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaylane.kernel.service import Service, service
from carawaylane.telemetry.metrics import Metrics
from carawaylane.telemetry.traces import Tracer

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel


@service('telemetry')
class Telemetry(Service):
    """Owns the metrics of the node and the tracer of its requests."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        cfg = kernel.cfg
        self.metrics = Metrics()
        self.tracer = Tracer(
            node=cfg.name,
            exporter_name=cfg.trace_exporter,
            ratio=cfg.trace_ratio,
        )

    async def stop(self) -> None:
        """Export the buffered spans."""
        await super().stop()
        self.tracer.close()
