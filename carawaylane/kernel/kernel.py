"""The service container of a node: lookup and lifecycle of services."""

from __future__ import annotations

from asyncio import Event
from time import monotonic, time
from typing import TYPE_CHECKING, Any

from carawaylane.kernel.service import Service, service_classes

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random
    from socket import socket


class Kernel:
    """The services of one node by name, with its settings and clocks.

    `member` identifies this run of the node in the fleet: the name of the
    node and its incarnation, which is the Unix time in ms of its start.
    `stop_requested` is set by a stop signal and by `abort`, `failure` only by
    `abort`. No earlier run of the node has acted since `started_at_s`, a time
    of the monotonic clock. `sockets` are those that listen before the services
    start, by the name of the service that accepts their connections, and
    `before_leaving` is called before the node leaves the list of members.
    """

    def __init__(
        self, *, cfg: Any, rng: Random, started_at_s: float | None = None
    ) -> None:
        self.cfg = cfg
        self.rng = rng
        self.started_at_s = (
            monotonic() if started_at_s is None else started_at_s
        )
        self.incarnation = int(time() * 1000)
        self.member = f'{cfg.name}@{self.incarnation}'
        self.draining = False
        self.failure: BaseException | None = None
        self.stop_requested = Event()
        self.sockets: dict[str, socket] = {}
        self.before_leaving: list[Callable[[], None]] = []
        self._services: dict[str, Service] = {}

    def create_services(self, names: Sequence[str]) -> None:
        """Create the named services; they start in the given order."""
        classes = service_classes()
        for name in names:
            self._services[name] = classes[name](kernel=self)

    def find(self, name: str) -> Any:
        """Return the service registered under `name`."""
        return self._services[name]

    async def start(self) -> None:
        """Start the services in the order in which they were created."""
        for svc in self._services.values():
            await svc.start()

    async def drain(self) -> None:
        """Mark the node as draining; drain the services in reverse order."""
        self.draining = True
        for svc in reversed(self._services.values()):
            await svc.drain()

    async def stop(self) -> None:
        """Stop the services in reverse order."""
        for svc in reversed(self._services.values()):
            await svc.stop()

    def abort(self, exc: BaseException) -> None:
        """Request a stop without a drain, after a task of a service failed.

        Such a failure means that an invariant does not hold.
        """
        self.failure = exc
        self.stop_requested.set()

    # The monotonic clock in seconds, which each request reads 30 times.
    now_s = staticmethod(monotonic)

    def now_ms(self) -> int:
        """Return the Unix time in milliseconds."""
        return int(time() * 1000)
