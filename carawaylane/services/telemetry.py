"""Metrics and trace spans of the node."""

from __future__ import annotations

from functools import cached_property
from typing import TYPE_CHECKING

from carawaylane.kernel.service import Service, service
from carawaylane.telemetry.metrics import Metrics

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.telemetry.traces import Tracer


@service('telemetry')
class Telemetry(Service):
    """Owns the metrics of the node and the tracer of its requests."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.metrics = Metrics()

    @cached_property
    def tracer(self) -> Tracer:
        """The tracer, created on first use: its import takes long."""
        from carawaylane.telemetry.traces import Tracer

        cfg = self.kernel.cfg
        return Tracer(
            node=cfg.name,
            exporter_name=cfg.trace_exporter,
            ratio=cfg.trace_ratio,
        )

    async def stop(self) -> None:
        """Export the buffered spans."""
        await super().stop()
        if 'tracer' in self.__dict__:
            self.tracer.close()
