"""Quarantine of requests that are suspected of crashing targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaylane.decisions.admission.quarantine import Quarantine
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

REPORT_TIMEOUT_S = 1.0


@service('suspects')
class Suspects(Service):
    """Tracks the requests on each target and quarantines those that crash it.

    Each request that was running on a target when it crashed is a suspect. It
    is quarantined, and not run any more, after the crash of as many targets
    as the `max_victims` setting says, or of one target if it is unsafe.
    """

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._quarantine = Quarantine(max_victims=kernel.cfg.max_victims)
        self._unsafe_quarantine = Quarantine(max_victims=1)
        # Requests by target and request id.
        self._running: dict[str, dict[str, Request]] = {}

    async def start(self) -> None:
        """Look up the services that this one uses."""
        self._metrics = self.kernel.find('telemetry').metrics
        self._config = self.kernel.find('relay').config

    def running_request_ids(self, target: str) -> list[str]:
        """Return the ids of the requests that run on a target."""
        return list(self._running.get(target, {}))

    def add_running(self, target: str, req: Request) -> None:
        """Record that a request is sent to a target."""
        self._running.setdefault(target, {})[req.request_id] = req

    def remove_running(self, target: str, req: Request) -> None:
        """Record that a request no longer runs on a target."""
        running = self._running.get(target, {})
        running.pop(req.request_id, None)

    async def handle_crash(self, home: ShardHome, target: str) -> None:
        """Record a crash for the requests that ran on the target.

        Reports them to the owners of the service's shards as well.
        """
        home.post(TargetCrashed(target=target))
        for req in list(self._running.get(target, {}).values()):
            unsafe = bool(req.key) or self._is_unsafe(req)
            self.record_crash(req.digest, target, unsafe)
            await self._report_suspicion(req, target, unsafe)

    def record_crash(self, digest: str, target: str, unsafe: bool) -> None:
        """Record that a target crashed while running a request."""
        now_ms = self.kernel.now_ms()
        quarantine = self._unsafe_quarantine if unsafe else self._quarantine
        if quarantine.record_crash(digest, target, now_ms):
            emit(REQUEST_POISONOUS, digest=digest, target=target)

    async def _report_suspicion(
        self, req: Request, target: str, unsafe: bool
    ) -> None:
        peers = self.kernel.find('peers')
        fleet = self.kernel.find('relay').fleet
        owners = {
            holding.owner
            for (service_name, _), holding in fleet.holdings.items()
            if service_name == req.service
        }
        msg = Suspicion(
            service=req.service,
            digest=req.digest,
            target=target,
            unsafe=unsafe,
        )
        for owner in owners - {self.kernel.member}:
            await peers.call(owner, 'Suspect', msg, REPORT_TIMEOUT_S)

    def quarantine_outcome(
        self, kind: TrafficKind, req: Request
    ) -> Outcome | None:
        """Return the outcome of a request if it is quarantined, else None."""
        now_ms = self.kernel.now_ms()
        quarantine = (
            self._unsafe_quarantine if kind.unsafe else self._quarantine
        )
        if not quarantine.contains(req.digest, now_ms):
            return None
        reason = 'targets died under this request'
        self._metrics.count('poisonous')
        if kind.unsafe:
            return NotRun(reason=reason, retry_after_ms=0, status=422)
        return Failed(reason=reason, retry_after_ms=0)

    def _is_unsafe(self, req: Request) -> bool:
        kind = self._config.docs.get(('TrafficKind', req.kind))
        return kind is not None and kind.unsafe
