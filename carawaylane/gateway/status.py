"""Readiness for the balancer, and metrics for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from carawaylane.kernel.service import Service, service
from carawaylane.platform.headers import READY_PATH

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel

METRICS_PATH = '/metrics'


@service('status')
class Status(Service):
    """Owns the sockets for readiness and metrics."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Open the sockets."""
        self._callers = self.kernel.find('callers')
        self._metrics = self.kernel.find('telemetry').metrics
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        cfg = self.kernel.cfg
        host, _, port = cfg.ready_listen.rpartition(':')
        await web.TCPSite(self._runner, host, int(port)).start()
        await web.TCPSite(self._runner, host, cfg.metrics_port).start()

    async def stop(self) -> None:
        """Close the sockets."""
        await super().stop()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, req: web.BaseRequest) -> web.Response:
        if req.path == READY_PATH:
            return web.Response(status=200 if self._callers.ready() else 503)
        if req.path == METRICS_PATH:
            return web.Response(
                body=self._metrics.page(), content_type='text/plain'
            )
        return web.Response(status=404)
