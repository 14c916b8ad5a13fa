"""One budget for what a node holds for callers and for targets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import Factory, define

# Share of the machine's memory that requests and responses may take. A node
# takes 40 to 60 MB without any, 120 MB with the largest configuration, and
# CPython and malloc add about a half to what is counted.
BUDGET_SHARE = 0.25
# Above this share of the budget no new large request is accepted, so that
# those which were accepted can be finished.
ADMISSION_SHARE = 0.8
# What holds more than SMALL_REQUEST_BYTES grows up to this share. The rest is
# for small requests: they hold little, and many are more urgent.
SMALL_REQUEST_BYTES = 16 << 10
LARGE_SHARE = 0.97
# From this share on, connections of slow readers are closed until less than
# ADMISSION_SHARE is in use.
EVICTION_SHARE = 0.9
CONNECTION_SHARE = 0.25
CUSTOMER_SHARE = 0.5
# Share of what a connection may hold for requests and responses that are not
# in turn. The rest is for the response in turn, which those behind it would
# block for good otherwise.
WAITING_SHARE = 0.5
# A caller that takes less than this rate of a response which it has been sent
# for MIN_READING_S is slow. A response of 540 KB takes 34 s at this rate, five
# times as long as callers wait for one.
SLOW_READER_BYTES_PER_S = 16_384
MIN_READING_S = 2.0
# What a large response holds at least, as one part of it is on its way from
# the target and another one to the caller.
MIN_LARGE_RESPONSE_BYTES = 64 << 10
MAX_BUFFERED_BYTES = 1 << 20
# A large response may be buffered up to this share of what is free.
BUFFERED_SHARE = 1 / 16
# A longer body of a request is sent on while it is received, if no repeat may
# need it or there is no room for all of it. It holds this much: its first
# part, what has arrived behind it, and what waits to be written to the target.
UPLOAD_BYTES = 1 << 20
# The first part, which may be sent to further targets.
MAX_FIRST_PART_BYTES = UPLOAD_BYTES // 2


@define(kw_only=True, eq=False, repr=False)
class Holding:
    """What one request holds: its body, its answers and its response.

    `connection` identifies the connection of the caller, `customer` is empty
    if there is none.
    """

    budget: MemoryBudget
    connection: int
    customer: str = ''
    size: int = 0
    # When the response began to be sent, and what the caller took of it.
    sending_since_s: float | None = None
    sent_bytes: int = 0
    # Whether all responses before it on the connection are sent.
    in_turn: bool = False
    # Part of the size that is not in use yet.
    _reserved: int = 0

    def reserve(self, size: int) -> bool:
        """Hold bytes for later; return False if there is no room for them."""
        if not self.budget.grow(self, size):
            return False
        self._reserved += size
        return True

    def grow(self, size: int) -> bool:
        """Hold more bytes; return False if there is no room for them."""
        used = min(size, self._reserved)
        if not self.budget.grow(self, size - used):
            return False
        self._reserved -= used
        return True

    def shrink(self, size: int) -> None:
        """Hold fewer bytes."""
        self.budget.shrink(self, min(size, self.size))

    def release(self) -> None:
        """Hold nothing any more."""
        self.budget.shrink(self, self.size)
        self._reserved = 0
        self.budget.holdings.pop(id(self), None)

    def start_sending(self, now_s: float) -> None:
        """Record that the response is sent to the caller from now on."""
        self.in_turn = True
        self.sending_since_s = now_s
        self.sent_bytes = 0

    def record_sent(self, size: int) -> None:
        """Record that the caller took some bytes of the response."""
        self.sent_bytes += size

    def read_rate(self, now_s: float) -> float:
        """Return how fast the caller reads, infinite if not known yet."""
        if self.sending_since_s is None:
            return float('inf')
        reading_s = now_s - self.sending_since_s
        if reading_s < MIN_READING_S:
            return float('inf')
        return self.sent_bytes / reading_s


@define(kw_only=True, eq=False, repr=False)
class MemoryBudget:
    """Bounds what a node holds in total, by connection and by customer.

    Handles thousands of callers that read large responses slowly, targets
    that answer faster than callers read, long queues of requests with bodies,
    and pipelines: new requests are refused while it is nearly spent, and the
    slowest readers lose their connections if that is not enough.
    """

    limit_bytes: int
    # Called as more is held while slow readers may have to leave.
    on_short: Callable[[], None] | None = None
    used_bytes: int = 0
    holdings: dict[int, Holding] = Factory(dict)
    _by_connection: dict[int, int] = Factory(dict)
    _by_customer: dict[str, int] = Factory(dict)

    @property
    def is_short(self) -> bool:
        """Whether slow readers have to leave."""
        return self.used_bytes >= EVICTION_SHARE * self.limit_bytes

    def open(self, connection: int) -> Holding:
        """Return what a new request holds, nothing yet."""
        holding = Holding(budget=self, connection=connection)
        self.holdings[id(holding)] = holding
        return holding

    def admits(self, connection: int, size: int = 0) -> bool:
        """Return whether a new request of a connection is accepted."""
        share = ADMISSION_SHARE
        if size <= SMALL_REQUEST_BYTES:
            share = 1.0
        return (
            self.used_bytes + size <= share * self.limit_bytes
            and self._by_connection.get(connection, 0) + size
            <= CONNECTION_SHARE * self.limit_bytes
        )

    def holds_body(self, connection: int, size: int) -> bool:
        """Return whether there is room to hold a body, and to join it."""
        return size <= UPLOAD_BYTES or self.admits(connection, 2 * size)

    def admits_behind(self, waiting: int) -> bool:
        """Return whether one more request may run before its turn.

        `waiting` is how many of the connection run so already. Others wait
        for their turn, and are not refused.
        """
        size = (waiting + 1) * MIN_LARGE_RESPONSE_BYTES
        return (
            self.used_bytes + size <= ADMISSION_SHARE * self.limit_bytes
            and size <= CONNECTION_SHARE * WAITING_SHARE * self.limit_bytes
        )

    def assign(self, holding: Holding, customer: str) -> bool:
        """Count a request for its customer; False if that holds too much."""
        self._count(self._by_customer, holding.customer, -holding.size)
        holding.customer = customer
        self._count(self._by_customer, customer, holding.size)
        return not customer or (
            self._by_customer.get(customer, 0)
            <= CUSTOMER_SHARE * self.limit_bytes
        )

    def grow(self, holding: Holding, size: int) -> bool:
        """Let a request hold more; return False if there is no room."""
        if (
            holding.size + size <= SMALL_REQUEST_BYTES
            and self.used_bytes + size <= self.limit_bytes
        ):
            self._add(holding, size)
            return True
        in_connection = self._by_connection.get(holding.connection, 0)
        of_customer = self._by_customer.get(holding.customer, 0)
        total_share, connection_share = LARGE_SHARE, CONNECTION_SHARE
        if not holding.in_turn:
            total_share = EVICTION_SHARE
            connection_share = CONNECTION_SHARE * WAITING_SHARE
        if (
            self.used_bytes + size > total_share * self.limit_bytes
            or in_connection + size > connection_share * self.limit_bytes
            or of_customer + size > CUSTOMER_SHARE * self.limit_bytes
        ):
            return False
        self._add(holding, size)
        return True

    def shrink(self, holding: Holding, size: int) -> None:
        """Let a request hold less."""
        self._add(holding, -size)

    def buffer_limit(self) -> int:
        """Return up to which size a large response is read whole.

        One that is read whole can still be asked of another target if it
        breaks off, so much is buffered while there is room.
        """
        free = max(0.0, ADMISSION_SHARE * self.limit_bytes - self.used_bytes)
        return int(
            min(
                MAX_BUFFERED_BYTES,
                max(MIN_LARGE_RESPONSE_BYTES, BUFFERED_SHARE * free),
            )
        )

    def slow_readers(self, now_s: float) -> list[Holding]:
        """Return the readers to disconnect, the slowest first."""
        if not self.is_short:
            return []
        slow = sorted(
            (
                (holding.read_rate(now_s), -holding.size, key)
                for key, holding in self.holdings.items()
                if holding.size
                and holding.read_rate(now_s) < SLOW_READER_BYTES_PER_S
            ),
        )
        excess = self.used_bytes - ADMISSION_SHARE * self.limit_bytes
        chosen = []
        for _, _, key in slow:
            if excess <= 0:
                break
            chosen.append(self.holdings[key])
            excess -= self.holdings[key].size
        return chosen

    def _add(self, holding: Holding, size: int) -> None:
        holding.size += size
        self.used_bytes += size
        self._count(self._by_connection, holding.connection, size)
        if holding.customer:
            self._count(self._by_customer, holding.customer, size)
        if size > 0 and self.on_short is not None and self.is_short:
            self.on_short()

    @staticmethod
    def _count(counts: dict[Any, int], key: int | str, size: int) -> None:
        """Add to a count; counts of 0 are dropped, as keys come and go."""
        if not key:
            return
        count = counts.get(key, 0) + size
        if count:
            counts[key] = count
        else:
            counts.pop(key, None)
