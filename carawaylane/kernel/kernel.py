"""The kernel of a node: starts, finds, drains and stops services."""

from __future__ import annotations

from asyncio import Event
from time import monotonic, time
from typing import TYPE_CHECKING, Any

from carawaylane.kernel.service import Service, service_classes

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random


class Kernel:
    """All services of one node, by name, and its identity and clocks."""

    def __init__(self, *, cfg: Any, rng: Random) -> None:
        self.cfg = cfg
        self.rng = rng
        self.incarnation = int(time() * 1000)
        self.member = f'{cfg.name}@{self.incarnation}'
        self.draining = False
        self.failure: BaseException | None = None
        self.stop_requested = Event()
        self._services: dict[str, Service] = {}

    def create_services(self, names: Sequence[str]) -> None:
        """Construct the named services, in the order of their start."""
        classes = service_classes()
        for name in names:
            self._services[name] = classes[name](kernel=self)

    def find(self, name: str) -> Any:
        """Return the service of that name."""
        return self._services[name]

    async def start(self) -> None:
        """Start the services in the order of their registration."""
        for svc in self._services.values():
            await svc.start()

    async def drain(self) -> None:
        """Refuse new work and finish what is in flight."""
        self.draining = True
        for svc in reversed(self._services.values()):
            await svc.drain()

    async def stop(self) -> None:
        """Stop the services, the last started first."""
        for svc in reversed(self._services.values()):
            await svc.stop()

    def abort(self, exc: BaseException) -> None:
        """Stop the process, since an invariant does not hold."""
        self.failure = exc
        self.stop_requested.set()

    def now_s(self) -> float:
        """Return the time of the monotonic clock."""
        return monotonic()

    def now_ms(self) -> int:
        """Return Unix time in milliseconds."""
        return int(time() * 1000)
