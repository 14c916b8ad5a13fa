"""HTTP server for the readiness check and for metrics."""

from __future__ import annotations

from asyncio import AbstractServer, get_running_loop, to_thread
from importlib import import_module
from typing import TYPE_CHECKING

from aiohttp.web_response import Response
from aiohttp.web_server import Server

from carawaylane.kernel.service import Service, service
from carawaylane.messages.stored_objects import era_of
from carawaylane.platform.headers import READY_PATH
from carawaylane.telemetry.events import TASK_FAILED, emit
from carawaylane.telemetry.log_setup import dropped_lines

if TYPE_CHECKING:
    from aiohttp.web_request import BaseRequest
    from prometheus_client.registry import Collector

    from carawaylane.kernel.kernel import Kernel

METRICS_PATH = '/metrics'
# Imported when the metrics are read for the first time: the library that
# renders them takes long to import, and no request needs it.
RENDERER_MODULES = (
    'carawaylane.telemetry.exposition',
    'carawaylane.gateway.customer_metrics',
    'carawaylane.gateway.rejected_metrics',
)
LISTEN_BACKLOG = 128
SHUTDOWN_TIMEOUT_S = 1.0
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
        self._server: Server | None = None
        self._listeners: list[AbstractServer] = []
        self._has_renderer = False

    async def start(self) -> None:
        """Start listening."""
        self._callers = self.kernel.find('callers')
        self._metrics = self.kernel.find('telemetry').metrics
        self._directory = self.kernel.find('directory')
        self._dispatchers = self.kernel.find('dispatchers')
        self._exchanges = self.kernel.find('exchanges')
        self._server = Server(self._handle, access_log=None)
        self._metrics.add_collector(self._load_rejected)
        cfg = self.kernel.cfg
        host, _, ready_port = cfg.ready_listen.rpartition(':')
        for port in (int(ready_port), cfg.metrics_port):
            self._listeners.append(
                await get_running_loop().create_server(
                    self._server, host, port, backlog=LISTEN_BACKLOG
                )
            )

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        await super().stop()
        for listener in self._listeners:
            listener.close()
        if self._server is not None:
            self._server.pre_shutdown()
            await self._server.shutdown(SHUTDOWN_TIMEOUT_S)

    async def _handle(self, req: BaseRequest) -> Response:
        if req.path == READY_PATH:
            return Response(status=200 if self._callers.ready() else 503)
        if req.path == METRICS_PATH:
            return await self._metrics_page()
        return Response(status=404)

    async def _metrics_page(self) -> Response:
        if not self._has_renderer:
            try:
                # In a thread, so that requests are served meanwhile.
                for module in RENDERER_MODULES:
                    await to_thread(import_module, module)
            except Exception as exc:
                # A node that can't show its metrics must not stay up.
                emit(TASK_FAILED, service=self.name, error=repr(exc))
                self.kernel.abort(exc)
                return Response(status=500)
            self._has_renderer = True
        self._update_gauges()
        return Response(
            body=self._metrics.exposition(), content_type='text/plain'
        )

    def _load_rejected(self) -> Collector:
        from carawaylane.gateway.rejected_metrics import RejectedMetrics

        return RejectedMetrics(rejected=self._directory.rejected)

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
        gauge('entries_rejected', len(self._directory.rejected.current()))
        gauge('connections_opened', self._exchanges.pool.opened)
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
