"""Requests that wait for a slot of a service, and how long they will wait."""

from __future__ import annotations

from bisect import bisect_right, insort_right
from operator import attrgetter
from typing import TYPE_CHECKING

from attrs import Factory, define, field

from carawaylane.decisions.placement.target_pool import TargetPool
from carawaylane.messages.dispatch import SlotRequest, Ticket

if TYPE_CHECKING:
    from collections.abc import Callable

# Whether the answer would be late, the priority, the place within it, and when
# the request was queued.
Key = tuple[bool, int, float, float]
KEY = attrgetter('key')
# Share of the latency objective that waiting and a mean exchange may take if
# other requests are ahead. With more, a full service spends its slots on late
# answers.
QUEUE_SHARE = 0.5


@define(kw_only=True, eq=False, repr=False)
class QueuedRequest:
    """A request that waits for a slot."""

    request: SlotRequest
    # When the request was queued; for a hedge, HEDGE_LEAD_S before that.
    queued_at_s: float
    deadline_s: float
    # Until when an answer is within the latency objective.
    in_time_until_s: float = float('inf')
    # Place within the priority, before the time of arrival.
    tag: float = 0.0
    # Whether it keeps its place when late, since its customer had asked for
    # less than its share.
    keeps_place: bool = False
    # The order in which requests are served; the first member says whether
    # the answer would be late.
    key: Key = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Derive the order of a request that is in time."""
        self.key = (
            False,
            self.request.priority,
            self.tag,
            self.queued_at_s,
        )

    @property
    def late(self) -> bool:
        """Whether the answer would be late."""
        return self.key[0]

    def set_place(self, tag: float, at_s: float) -> None:
        """Move a request to another place within its priority."""
        self.key = (*self.key[:2], tag, at_s)

    def set_late(self, late: bool) -> None:
        """Move a request behind those in time, or back."""
        if late is not self.late:
            self.key = (late, *self.key[1:])


@define(kw_only=True, eq=False, repr=False)
class RequestQueue:
    """The waiting requests of a service, always in the order of their keys."""

    requests: list[QueuedRequest] = Factory(list)

    def __len__(self) -> int:
        return len(self.requests)

    def add(self, queued: QueuedRequest) -> None:
        """Add a request in its place."""
        insort_right(self.requests, queued, key=KEY)

    def cancel(self, ticket: Ticket) -> list[QueuedRequest]:
        """Remove a request and return it, if it is queued."""
        return self._remove(lambda queued: queued.request.ticket == ticket)

    def drop_entry(self, entry: str) -> list[QueuedRequest]:
        """Remove the requests of an entry and return them."""
        return self._remove(lambda queued: queued.request.entry == entry)

    def count_ahead(
        self,
        priority: int,
        queued_at_s: float = float('inf'),
        tag: float = 0.0,
    ) -> int:
        """Return how many queued requests are served before another one.

        It has this priority and tag, and was queued at `queued_at_s`, by
        default last of them.
        """
        key = (False, priority, tag, queued_at_s)
        return bisect_right(self.requests, key, key=KEY)

    def _remove(
        self, matches: Callable[[QueuedRequest], bool]
    ) -> list[QueuedRequest]:
        removed = [queued for queued in self.requests if matches(queued)]
        if removed:
            self.requests = [
                queued for queued in self.requests if not matches(queued)
            ]
        return removed


@define(kw_only=True, eq=False, repr=False)
class WaitEstimate:
    """Estimates the wait in the queue from the slots that can serve it."""

    pool: TargetPool
    # Slots that can serve the queue, cached for one point in time.
    _usable_slots: float = 1.0
    _usable_slots_at_s: float = float('-inf')

    def expected_s(
        self,
        request: SlotRequest,
        ahead: int,
        mean_exchange_s: float,
        now_s: float,
    ) -> float:
        """Return the expected wait behind a number of queued requests.

        It lasts at least until a target takes requests of the entry.
        """
        slots = self._slots(mean_exchange_s, now_s)
        queue_wait_s = (ahead + 1) * mean_exchange_s / slots
        return max(queue_wait_s, self.pool.pause_left_s(request, now_s))

    def capacity_per_s(self, mean_exchange_s: float, now_s: float) -> float:
        """Return how many requests the usable slots serve in a second."""
        return self._slots(mean_exchange_s, now_s) / mean_exchange_s

    def free_slots(self, mean_exchange_s: float, now_s: float) -> float:
        """Return how many usable slots are free, roughly."""
        return self._slots(mean_exchange_s, now_s) - len(self.pool.in_flight)

    def _slots(self, mean_exchange_s: float, now_s: float) -> float:
        if self._usable_slots_at_s != now_s:
            self._usable_slots, self._usable_slots_at_s = (
                self.pool.count_usable_slots(now_s, mean_exchange_s),
                now_s,
            )
        return self._usable_slots
