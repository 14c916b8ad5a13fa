"""Administration API of a node, for carawayctl and the load balancer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp import web
from attrs import asdict

from carawaylane.decisions.ownership.placement import shard_of_key
from carawaylane.decisions.routing.traffic_kinds import request_labels
from carawaylane.kernel.service import Service, service
from carawaylane.messages.home import Describe

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel


@service('admin')
class Admin(Service):
    """Serves the administration API over HTTP."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start listening."""
        app = web.Application()
        app.router.add_get('/live', self._handle_live)
        app.router.add_get('/ready', self._handle_ready)
        app.router.add_get('/metrics', self._handle_metrics)
        app.router.add_get('/status', self._handle_status)
        app.router.add_get('/explain', self._handle_explain)
        if self.kernel.cfg.test_faults:
            app.router.add_post('/faults', self._handle_faults)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        host, _, port = self.kernel.cfg.admin.rpartition(':')
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        await super().stop()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle_live(self, req: web.Request) -> web.Response:
        return web.json_response({'live': True})

    async def _handle_ready(self, req: web.Request) -> web.Response:
        ready = self.kernel.find('entry').is_ready()
        return web.json_response(
            {'ready': ready}, status=200 if ready else 503
        )

    async def _handle_metrics(self, req: web.Request) -> web.Response:
        metrics = self.kernel.find('telemetry').metrics
        return web.Response(
            body=metrics.exposition(), content_type='text/plain'
        )

    async def _handle_status(self, req: web.Request) -> web.Response:
        relay = self.kernel.find('relay')
        catalogue = self.kernel.find('catalogue')
        membership = self.kernel.find('membership')
        watcher = self.kernel.find('watcher')
        cfg = self.kernel.cfg
        return web.json_response(
            {
                'member': self.kernel.member,
                'host': cfg.name,
                'data_centre': cfg.data_centre,
                'ready': self.kernel.find('entry').is_ready(),
                'joined': watcher.joined,
                'platform_reachable': watcher.platform_reachable,
                'config_seq': catalogue.applied_seq,
                'fleet_seq': relay.seq('fleet'),
                'members': sorted(relay.fleet.members),
                'down': sorted(membership.down_members()),
                'shards': await self._shard_rows(),
                'metrics': self.kernel.find('telemetry').metrics.as_json(),
            }
        )

    async def _shard_rows(self) -> list[dict[str, Any]]:
        homes = self.kernel.find('homes')
        return [
            asdict(await home.ask(Describe()))
            for home in list(homes.by_shard.values())
        ]

    async def _handle_explain(self, req: web.Request) -> web.Response:
        """Describe how a request with the queried properties is routed."""
        query = req.query
        labels = request_labels(
            method=query.get('method', 'GET'),
            path=query.get('path', '/'),
            host=query.get('host', ''),
            caller=query.get('caller', ''),
            labels_header=query.get('labels', ''),
        )
        config = self.kernel.find('catalogue').config
        kind = config.traffic_kinds.find(labels)
        row: dict[str, Any] = {'labels': labels, 'kind': None}
        if kind is not None:
            row['kind'] = kind.name
            row['safety'] = kind.safety
            row['service'] = kind.service
            row['shards'] = self._routing_rows(kind.service)
            key = query.get('key', '')
            if key:
                spec = config.services[kind.service]
                row['shard_of_key'] = shard_of_key(spec, key)
        return web.json_response(row)

    def _routing_rows(self, service_name: str) -> list[dict[str, Any]]:
        config = self.kernel.find('catalogue').config
        homes = self.kernel.find('homes')
        forwarder = self.kernel.find('forwarder')
        rows: list[dict[str, Any]] = []
        for number in range(config.services[service_name].shards):
            shard = (service_name, number)
            holding = homes.newest_holding(shard)
            targets = config.shard_targets(*shard)
            rows.append(
                {
                    'shard': number,
                    'owner': holding.owner if holding else '',
                    'epoch': holding.epoch if holding else 0,
                    'home': forwarder.choose_home(shard, set()) or '',
                    'targets': [target.name for target in targets],
                }
            )
        return rows

    async def _handle_faults(self, req: web.Request) -> web.Response:
        """Simulate network partitions to and from other nodes, for tests."""
        faults = await req.json()
        peers = self.kernel.find('peers')
        peers.cut_to = set(faults.get('cut_to', ()))
        peers.cut_from = set(faults.get('cut_from', ()))
        return web.json_response({})
