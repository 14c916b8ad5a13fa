"""HTTP server for the readiness check and for metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from carawaylane.kernel.service import Service, service
from carawaylane.messages.stored_objects import era_of
from carawaylane.platform.headers import READY_PATH
from carawaylane.telemetry.events import dropped_lines

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel

METRICS_PATH = '/metrics'
# Maximum age in the metrics, as the age of a copy that was never confirmed is
# infinite.
MAX_AGE_S = 3600.0


@service('status')
class Status(Service):
    """Answers the load balancer's readiness checks and serves metrics.

    Each has an address of its own, but both addresses serve both pages.
    """

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start listening."""
        self._callers = self.kernel.find('callers')
        self._metrics = self.kernel.find('telemetry').metrics
        self._directory = self.kernel.find('directory')
        self._dispatchers = self.kernel.find('dispatchers')
        self._exchanges = self.kernel.find('exchanges')
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        cfg = self.kernel.cfg
        host, _, port = cfg.ready_listen.rpartition(':')
        await web.TCPSite(self._runner, host, int(port)).start()
        await web.TCPSite(self._runner, host, cfg.metrics_port).start()

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        await super().stop()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, req: web.BaseRequest) -> web.Response:
        if req.path == READY_PATH:
            return web.Response(status=200 if self._callers.ready() else 503)
        if req.path == METRICS_PATH:
            self._update_gauges()
            return web.Response(
                body=self._metrics.exposition(), content_type='text/plain'
            )
        return web.Response(status=404)

    def _update_gauges(self) -> None:
        gauge = self._metrics.gauge
        plan = self._directory.plan
        now_s = self.kernel.now_s()
        gauge('ready', int(self._callers.ready()))
        gauge('plan_version', plan.version if plan else 0)
        gauge('targets', len(self._directory.targets))
        gauge(
            'store_era',
            era_of(max(r.revision for r in self._directory.replicas.values())),
        )
        gauge('members', len(self._directory.members))
        gauge('connections_opened', self._exchanges.connections_opened)
        gauge('log_dropped', dropped_lines())
        for kind, replica in self._directory.replicas.items():
            age_s = min(replica.age_s(now_s), MAX_AGE_S)
            gauge(f'copy_age_seconds_{kind.name.lower()}', age_s)
        dispatchers = self._dispatchers.dispatchers.values()
        gauge(
            'queue',
            sum(dispatcher.queue_length() for dispatcher in dispatchers),
        )
        gauge(
            'targets_doubted',
            sum(
                dispatcher.pool.suspect_count(now_s)
                for dispatcher in dispatchers
            ),
        )
