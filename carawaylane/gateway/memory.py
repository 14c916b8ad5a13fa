"""What this node holds for callers and targets, within its memory."""

from __future__ import annotations

from asyncio import Event, Lock, sleep
from itertools import count
from typing import TYPE_CHECKING
from weakref import WeakValueDictionary

from carawaylane.decisions.admission.memory_budget import (
    BUDGET_SHARE,
    Holding,
    MemoryBudget,
)
from carawaylane.kernel.service import Service, service
from carawaylane.telemetry.events import READER_CLOSED, emit

if TYPE_CHECKING:
    from carawaylane.gateway.caller_connection import CallerConnection
    from carawaylane.kernel.kernel import Kernel

# Interval at which slow readers are looked for while memory is short.
EVICTION_PERIOD_S = 0.1


@service('memory')
class Memory(Service):
    """Owns the memory budget, and closes connections of slow readers."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._short = Event()
        self.budget = MemoryBudget(
            limit_bytes=int(BUDGET_SHARE * kernel.cfg.memory_bytes),
            on_short=self._short.set,
        )
        # Taken by a large body for each part that it passes on.
        self.upload_turn = Lock()
        self._connections: WeakValueDictionary[int, CallerConnection] = (
            WeakValueDictionary()
        )
        self._numbers = count(1)

    async def start(self) -> None:
        """Start to look for slow readers."""
        self._metrics = self.kernel.find('telemetry').metrics
        self.spawn(self._eviction_loop())

    def add_connection(self, conn: CallerConnection) -> int:
        """Return the number by which the budget knows a connection."""
        number = next(self._numbers)
        self._connections[number] = conn
        return number

    def open(self, conn: CallerConnection) -> Holding:
        """Return what a new request of a connection holds."""
        return self.budget.open(conn.number)

    async def _eviction_loop(self) -> None:
        while True:
            await self._short.wait()
            self._short.clear()
            while self.budget.is_short:
                now_s = self.kernel.now_s()
                for holding in self.budget.slow_readers(now_s):
                    self._close(holding, now_s)
                await sleep(EVICTION_PERIOD_S)

    def _close(self, holding: Holding, now_s: float) -> None:
        conn = self._connections.get(holding.connection)
        if conn is None or conn.transport is None:
            return
        emit(
            READER_CLOSED,
            customer=holding.customer,
            held_bytes=holding.size,
            bytes_per_s=round(holding.read_rate(now_s)),
            used_bytes=self.budget.used_bytes,
            limit_bytes=self.budget.limit_bytes,
        )
        self._metrics.count('readers_closed')
        conn.transport.abort()
