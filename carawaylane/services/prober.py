"""Health probes of ejected targets."""

from __future__ import annotations

from asyncio import gather, sleep
from typing import TYPE_CHECKING

from carawaylane.decisions.targets.health import Standing
from carawaylane.kernel.service import Service, service

if TYPE_CHECKING:
    from carawaylane.services.shard import ShardHome

PROBE_POLL_S = 0.25
PROBE_TIMEOUT_S = 1.0
# A target whose probe fails stays ejected for at least this long.
EJECTION_EXTENSION_S = 1.0


@service('prober')
class Prober(Service):
    """Probes ejected targets; a failed probe extends the ejection.

    A successful probe does not end it, as a target with a gray failure may
    still pass health checks. Only the results of requests clear a target.
    """

    async def start(self) -> None:
        """Start probing."""
        self._homes = self.kernel.find('homes')
        # Time of the last probe of each target by its name.
        self._last_probed_at_s: dict[str, float] = {}
        self.spawn(self._probe_loop())

    async def _probe_loop(self) -> None:
        while True:
            await sleep(PROBE_POLL_S)
            homes = list(self._homes.by_shard.values())
            await gather(*(self._probe_shard(home) for home in homes))

    async def _probe_shard(self, home: ShardHome) -> None:
        spec = home.service
        if spec is None or home.health is None or not spec.health_path:
            return
        now_s = self.kernel.now_s()
        for name, target in list(home.targets.items()):
            health = home.health.targets.get(name)
            if health is None or health.standing is not Standing.EJECTED:
                continue
            due_at_s = (
                self._last_probed_at_s.get(name, 0)
                + spec.probe_interval_ms / 1000
            )
            # Also probe in the last two polls before the target would return
            # to service.
            before_return_at_s = health.return_at_s - PROBE_POLL_S * 2
            if now_s < min(due_at_s, before_return_at_s):
                continue
            self._last_probed_at_s[name] = now_s
            client = self._homes.target_client(target.address)
            if not await client.probe(spec.health_path, PROBE_TIMEOUT_S):
                earliest_return_at_s = (
                    self.kernel.now_s() + EJECTION_EXTENSION_S
                )
                health.return_at_s = max(
                    health.return_at_s, earliest_return_at_s
                )
