"""Requests under suspicion of crashing the targets that run them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaylane.decisions.quarantine import Quarantine
from carawaylane.kernel.service import Service, service
from carawaylane.messages.home import TargetCrashed
from carawaylane.messages.outcomes import Failed, NotRun, Outcome
from carawaylane.rpc.node_pb2 import Suspicion
from carawaylane.telemetry.events import REQUEST_POISONOUS, emit

if TYPE_CHECKING:
    from carawaylane.config.schema import TrafficKind
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.exchange import Request
    from carawaylane.services.shard import ShardHome

SUSPECT_TIMEOUT_S = 1.0


@service('suspects')
class Suspects(Service):
    """Knows what runs on which target, and what died under what."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._quarantine = Quarantine(max_victims=kernel.cfg.max_victims)
        self._unsafe_quarantine = Quarantine(max_victims=1)
        self._under_way: dict[str, dict[str, Request]] = {}

    async def start(self) -> None:
        """Find the services that this one needs."""
        self._metrics = self.kernel.find('telemetry').metrics
        self._config = self.kernel.find('relay').config

    def under_way(self, target: str) -> list[str]:
        """Return the ids of the requests that a target runs."""
        return list(self._under_way.get(target, {}))

    def begin(self, target: str, req: Request) -> None:
        """Note that a target runs a request."""
        self._under_way.setdefault(target, {})[req.request_id] = req

    def forget(self, target: str, req: Request) -> None:
        """Note that a target no longer runs a request."""
        under_way = self._under_way.get(target, {})
        under_way.pop(req.request_id, None)

    async def died(self, home: ShardHome, target: str) -> None:
        """Suspect every request that was on a target when it died."""
        home.post(TargetCrashed(target=target))
        for req in list(self._under_way.get(target, {}).values()):
            unsafe = bool(req.key) or self._unsafe(req)
            self.record_crash(req.digest, target, unsafe)
            await self._tell_suspicion(req, target, unsafe)

    def record_crash(self, digest: str, target: str, unsafe: bool) -> None:
        """Count a target that died under a request."""
        now_ms = self.kernel.now_ms()
        chosen = self._unsafe_quarantine if unsafe else self._quarantine
        if chosen.record_crash(digest, target, now_ms):
            emit(REQUEST_POISONOUS, digest=digest, target=target)

    async def _tell_suspicion(
        self, req: Request, target: str, unsafe: bool
    ) -> None:
        peers = self.kernel.find('peers')
        fleet = self.kernel.find('relay').fleet
        owners = {
            held.owner
            for (name, _), held in fleet.holdings.items()
            if name == req.service
        }
        msg = Suspicion(
            service=req.service,
            digest=req.digest,
            target=target,
            unsafe=unsafe,
        )
        for owner in owners - {self.kernel.member}:
            await peers.call(owner, 'Suspect', msg, SUSPECT_TIMEOUT_S)

    def held(self, kind: TrafficKind, req: Request) -> Outcome | None:
        """Return the final answer to a request that must not run."""
        now_ms = self.kernel.now_ms()
        chosen = self._unsafe_quarantine if kind.unsafe else self._quarantine
        if not chosen.contains(req.digest, now_ms):
            return None
        reason = 'targets died under this request'
        self._metrics.count('poisonous')
        if kind.unsafe:
            return NotRun(reason=reason, retry_after_ms=0, status=422)
        return Failed(reason=reason, retry_after_ms=0)

    def _unsafe(self, req: Request) -> bool:
        kind = self._config.docs.get(('TrafficKind', req.kind))
        return kind is not None and kind.unsafe
