"""In which order requests get slots when a service is short of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

from carawaylane.decisions.admission.caller_age import CallerAges
from carawaylane.decisions.admission.fair_shares import FairShares
from carawaylane.decisions.admission.queue import (
    KEY,
    QueuedRequest,
    WaitEstimate,
)
from carawaylane.decisions.admission.reserve import Reserve
from carawaylane.decisions.admission.return_times import ReturnTimes
from carawaylane.messages.dispatch import AttemptKind

if TYPE_CHECKING:
    from collections.abc import Mapping

    from carawaylane.messages.dispatch import SlotRequest


# Longer than any deadline: late requests that keep their place are behind
# those in time in the same place.
LATE_S = 3600.0


class ArrivalOrder:
    """Serves requests by priority and arrival.

    It handles services whose callers need no shares of their own.
    """

    def tag(self, request: SlotRequest) -> float:
        """Return the place of a request within its priority."""
        return 0.0

    def sort(
        self, queued: list[QueuedRequest], work_s: float, now_s: float
    ) -> None:
        """Bring a queue into order before slots are granted."""

    def place(
        self,
        request: SlotRequest,
        queued_at_s: float,
        work_s: float,
        now_s: float,
    ) -> QueuedRequest:
        """Return a request that is queued, with its place."""
        return QueuedRequest(
            request=request,
            queued_at_s=queued_at_s,
            deadline_s=now_s + request.left_s,
            tag=self.tag(request),
        )

    def record_granted(
        self, request: SlotRequest, queued: QueuedRequest | None, work_s: float
    ) -> None:
        """Record that a request got a slot, from the queue or at once."""

    def is_within_share(self, request: SlotRequest) -> bool:
        """Return whether a customer has asked for less than its share."""
        return True

    def record_dropped(self, queued: QueuedRequest) -> None:
        """Record that a queued request gets no slot."""

    def record_request(
        self, request: SlotRequest, work_s: float, now_s: float
    ) -> None:
        """Record that a request has come."""

    def may_take_slot(
        self,
        request: SlotRequest,
        queued: QueuedRequest | None,
        waits: WaitEstimate,
        mean_exchange_s: float,
        now_s: float,
    ) -> bool:
        """Return whether a request may take one of the free slots."""
        return True

    def retry_after_s(
        self,
        request: SlotRequest,
        wait_s: float,
        capacity_per_s: float,
        now_s: float,
    ) -> float:
        """Return when the caller of a refused request may come back."""
        return wait_s


@define(kw_only=True, eq=False, repr=False)
class ShareOrder(ArrivalOrder):
    """Serves requests by priority and the shares of their customers.

    It handles services that are short of slots for seconds, by bursts of a
    request class, customers far above their usual rate or lost targets.
    Requests that can't be answered within their objective any more are served
    after those that can.
    """

    shares: FairShares
    ages: CallerAges
    returns: ReturnTimes
    reserve: Reserve = Factory(Reserve)
    # By ticket: the work charged for a queued request.
    _charged_s: dict[tuple[str, int], float] = Factory(dict)

    def tag(self, request: SlotRequest) -> float:
        """Return the start tag of a request of its customer."""
        if request.attempt is AttemptKind.HEDGE:
            # The request that it hedges has been served.
            return self.shares.virtual_s(request.priority)
        return self.shares.start_tag(request.priority, request.customer)

    def sort(
        self, queued: list[QueuedRequest], work_s: float, now_s: float
    ) -> None:
        """Move requests that would be late behind the others."""
        for waiting in queued:
            # Its turn has come, as others have been served beyond its tag.
            waiting.keeps_place |= waiting.tag <= self.shares.virtual_s(
                waiting.request.priority
            )
            waiting.set_late(
                now_s + work_s > waiting.in_time_until_s
                and not waiting.keeps_place
            )
        for waiting_of_customer in _by_customer(queued).values():
            _share_tags(waiting_of_customer)
        for waiting in queued:
            self._set_place(waiting, work_s, now_s)
        queued.sort(key=KEY)

    def _set_place(
        self, waiting: QueuedRequest, work_s: float, now_s: float
    ) -> None:
        """Order requests that are due by the time until which they wait."""
        is_late = now_s + work_s > waiting.in_time_until_s
        waiting.set_place(
            max(
                waiting.tag,
                self.shares.virtual_s(waiting.request.priority),
            ),
            waiting.in_time_until_s + LATE_S * is_late,
        )

    def place(
        self,
        request: SlotRequest,
        queued_at_s: float,
        work_s: float,
        now_s: float,
    ) -> QueuedRequest:
        """Return a request that is queued, and charge its customer."""
        queued = super().place(request, queued_at_s, work_s, now_s)
        queued.in_time_until_s = now_s + self._in_time_s(request, now_s)
        queued.keeps_place = self.is_within_share(request)
        self._set_place(queued, work_s, now_s)
        self._charged_s[request.ticket] = work_s
        self.shares.charge(request.priority, request.customer, work_s)
        return queued

    def _in_time_s(self, request: SlotRequest, now_s: float) -> float:
        """Return how long an answer is still within the objective."""
        return request.objective_s - self.ages.age_s(request, now_s)

    def record_granted(
        self, request: SlotRequest, queued: QueuedRequest | None, work_s: float
    ) -> None:
        """Advance the virtual time to the tag of a request."""
        if queued is None:
            tag = self.tag(request)
            self.shares.charge(request.priority, request.customer, work_s)
        else:
            tag = queued.tag
            self._charged_s.pop(request.ticket, None)
        self.shares.advance(request.priority, tag)

    def record_request(
        self, request: SlotRequest, work_s: float, now_s: float
    ) -> None:
        """Count a request in the forecasts."""
        self.returns.record_request(request, now_s)
        self.reserve.record_request(self._rank(request, work_s, now_s), now_s)

    def may_take_slot(
        self,
        request: SlotRequest,
        queued: QueuedRequest | None,
        waits: WaitEstimate,
        mean_exchange_s: float,
        now_s: float,
    ) -> bool:
        """Return whether a slot is left by requests that go ahead soon."""
        if request.attempt is not AttemptKind.FIRST:
            return True
        rank = self._rank(request, mean_exchange_s, now_s)
        if queued is not None:
            rank = (queued.late, request.priority)
        reserved = self.reserve.slots_ahead_of(
            rank,
            waits.capacity_per_s(mean_exchange_s, now_s),
            now_s,
        )
        return not reserved or reserved < waits.free_slots(
            mean_exchange_s, now_s
        )

    def is_within_share(self, request: SlotRequest) -> bool:
        """Return whether a customer has asked for less than its share."""
        return self.tag(request) <= self.shares.virtual_s(request.priority)

    def _rank(
        self, request: SlotRequest, work_s: float, now_s: float
    ) -> tuple[bool, int]:
        late = work_s > self._in_time_s(request, now_s)
        return (late, request.priority)

    def retry_after_s(
        self,
        request: SlotRequest,
        wait_s: float,
        capacity_per_s: float,
        now_s: float,
    ) -> float:
        """Return when capacity is expected to be free for the caller."""
        if self.is_within_share(request):
            # The customer is within its share, so it goes ahead of others.
            return wait_s
        return self.returns.retry_after_s(
            request, wait_s, capacity_per_s, now_s
        )

    def record_dropped(self, queued: QueuedRequest) -> None:
        """Give the work of a request back to its customer."""
        request = queued.request
        work_s = self._charged_s.pop(request.ticket, None)
        if work_s is not None:
            self.shares.give_back(request.priority, request.customer, work_s)


def _by_customer(
    queued: list[QueuedRequest],
) -> dict[tuple[int, str], list[QueuedRequest]]:
    groups: dict[tuple[int, str], list[QueuedRequest]] = {}
    for waiting in queued:
        request = waiting.request
        groups.setdefault((request.priority, request.customer), []).append(
            waiting
        )
    return groups


def _share_tags(queued: list[QueuedRequest]) -> None:
    """Give the lowest tags of a customer to the requests served first.

    Otherwise the requests in time of a customer with many late ones are
    granted with high tags, the virtual time runs ahead of the work done, and
    requests of other customers are placed behind the late ones.
    """
    if len(queued) > 1:
        tags = sorted(waiting.tag for waiting in queued)
        queued.sort(key=lambda waiting: (waiting.late, waiting.queued_at_s))
        for waiting, tag in zip(queued, tags, strict=True):
            waiting.tag = tag


def order_for(
    weights: Mapping[str, float] | None,
    order: ArrivalOrder,
    ages: CallerAges,
) -> ArrivalOrder:
    """Return the order for the weights of customers, or without customers.

    An order by shares keeps the tags of its customers.
    """
    if isinstance(order, ShareOrder):
        order.shares.weights = weights or {}
        return order if weights is not None else ArrivalOrder()
    if weights is None:
        return order
    return ShareOrder(
        shares=FairShares(weights=weights),
        ages=ages,
        returns=ReturnTimes(ages=ages),
    )
