"""Probes of targets that are out of service or idle, as hints only."""

from __future__ import annotations

from asyncio import gather, sleep
from typing import TYPE_CHECKING

from carawaylane.decisions.health import Standing
from carawaylane.kernel.service import Service, service

if TYPE_CHECKING:
    from carawaylane.services.shard import ShardHome

POLL_S = 0.25
PROBE_TIMEOUT_S = 1.0
# How much longer a target stays out whose probe fails.
HOLD_S = 1.0


@service('prober')
class Prober(Service):
    """Probes ejected targets: a failed probe prolongs their stay.

    A probe that passes never ends a stay: only work clears a target.
    """

    async def start(self) -> None:
        """Start probing."""
        self._homes = self.kernel.find('homes')
        self._last: dict[str, float] = {}
        self.spawn(self._loop())

    async def _loop(self) -> None:
        while True:
            await sleep(POLL_S)
            homes = list(self._homes.by_shard.values())
            await gather(*(self._probe_shard(home) for home in homes))

    async def _probe_shard(self, home: ShardHome) -> None:
        spec = home.service
        if spec is None or home.health is None or not spec.health_path:
            return
        now_s = self.kernel.now_s()
        for name, target in list(home.targets.items()):
            known = home.health.targets.get(name)
            if known is None or known.standing is not Standing.EJECTED:
                continue
            due_s = self._last.get(name, 0) + spec.probe_interval_ms / 1000
            near_s = known.return_at_s - POLL_S * 2
            if now_s < min(due_s, near_s):
                continue
            self._last[name] = now_s
            client = self._homes.target_client(target.address)
            if not await client.probe(spec.health_path, PROBE_TIMEOUT_S):
                wanted_s = self.kernel.now_s() + HOLD_S
                known.return_at_s = max(known.return_at_s, wanted_s)
