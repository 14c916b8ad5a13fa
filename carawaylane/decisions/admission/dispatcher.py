"""Grants, queues and refuses requests for a slot on the targets of a service.

It is built for targets with few slots, of which most are busy at the peak,
and of which some have gray failures: they lose most of their requests while
they appear to be healthy. A request gets the target that is least likely to
lose it. If only targets that are likely failing have free slots, it waits a
little for a better one. If it can't be served in time, it is refused at once.
"""

from __future__ import annotations

from math import isinf
from typing import TYPE_CHECKING

from carawaylane.decisions.admission.accepted_risk import (
    LAST_RESORT_RISK,
    risk_accepted,
)
from carawaylane.decisions.admission.alone_limit import AloneLimit
from carawaylane.decisions.admission.caller_age import CallerAges
from carawaylane.decisions.admission.grants import grant_slot
from carawaylane.decisions.admission.order import ArrivalOrder, order_for
from carawaylane.decisions.admission.quarantine import Quarantine
from carawaylane.decisions.admission.queue import (
    QUEUE_SHARE,
    QueuedRequest,
    RequestQueue,
    WaitEstimate,
)
from carawaylane.decisions.admission.refusals import (
    immediate_refusal,
    refuse,
    refuse_for_pause,
)
from carawaylane.decisions.admission.reported_requests import count_reported
from carawaylane.decisions.admission.results import (
    ResultRecorder,
    expired_tickets,
)
from carawaylane.decisions.admission.retry_gate import RetryGate
from carawaylane.decisions.admission.retry_pacing import RetryPacer
from carawaylane.decisions.admission.shared_retry_budget import (
    RetryUsage,
    SharedRetryBudget,
)
from carawaylane.decisions.placement.failure_estimate import Result
from carawaylane.decisions.placement.target_pool import TargetPool
from carawaylane.decisions.targets.rate_limits import SharedRateLimits
from carawaylane.messages.dispatch import (
    AttemptKind,
    Grant,
    Queued,
    Refusal,
    SlotReply,
    SlotRequest,
    Ticket,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

    from carawaylane.decisions.placement.target_state import TargetState
    from carawaylane.messages.platform_objects import TargetSpec
    from carawaylane.settings.gateway import Bounds

# A queued hedge goes ahead of requests that arrived up to this long before it,
# since the request that it hedges arrived earlier, too.
HEDGE_LEAD_S = 1.0
# A request is granted only while this share of a mean exchange is left.
MIN_WORK_SHARE = 0.7
# Mean duration of an exchange before the first answer, and the weight of the
# newest exchange in the moving average.
INITIAL_EXCHANGE_S = 0.2
EXCHANGE_GAIN = 0.05


class Dispatcher:
    """Decides on the requests for slots on the targets of one service.

    It keeps the queue, the retry budget and the quarantine; `pool` keeps the
    targets and the requests in flight at them.
    """

    def __init__(
        self,
        *,
        service: str,
        bounds: Bounds,
        rng: Random,
        quarantine: Quarantine | None = None,
    ) -> None:
        self.service = service
        self._rng = rng
        self.quarantine = quarantine or Quarantine.for_fleet()
        self._queue = RequestQueue()
        self._mean_exchange_s = INITIAL_EXCHANGE_S
        self.retry_budget = SharedRetryBudget(
            window_s=bounds.retry_window_s,
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack,
        )
        self.pool = TargetPool(
            floor_share=bounds.floor_share,
            rate_limits=SharedRateLimits(
                share_at=self.retry_budget.home_share, rng=rng
            ),
        )
        self._ages = CallerAges()
        self._retry_gate = RetryGate(
            budget=self.retry_budget, pacer=RetryPacer(ages=self._ages)
        )
        self._order = ArrivalOrder()
        self._waits = WaitEstimate(pool=self.pool)
        self._alone = AloneLimit(
            pool=self.pool, budget=self.retry_budget, rng=rng
        )
        self._results = ResultRecorder(
            pool=self.pool, quarantine=self.quarantine
        )

    def update_targets(
        self, specs: Iterable[TargetSpec], now_s: float
    ) -> None:
        """Update the list of targets; those that remain keep their state."""
        self.pool.update(specs, now_s)

    def set_weights(self, weights: Mapping[str, float] | None) -> None:
        """Serve customers by their weights; by arrival if there are none."""
        self._order = order_for(weights, self._order, self._ages)
        self._alone.enabled = weights is not None

    # Requests

    def request_slot(self, request: SlotRequest, now_s: float) -> SlotReply:
        """Grant, queue or refuse a request."""
        self.retry_budget.record_report(
            request.entry, request.recent_attempts, now_s
        )
        self._ages.record_request(request, now_s)
        self._order.record_request(request, self._mean_exchange_s, now_s)
        for notice in request.notices:
            self.pool.apply_notice(notice, request.entry, now_s)
        count_reported(self.pool, request, now_s)
        if request.only_reports:
            return refuse(request, 0.0, 'no slot is wanted')
        if request.attempt is AttemptKind.FIRST:
            self.retry_budget.record_first_attempt(now_s)
        refusal = (
            immediate_refusal(request, self.pool, self.quarantine, now_s)
            or self._retry_gate.refusal(request, self._wait_for_slot_s, now_s)
            or self._alone.refuse(
                request,
                now_s,
                within_share=self._order.is_within_share(request),
            )
        )
        if refusal is not None:
            return refusal
        ahead = self._count_ahead(request)
        # Queued requests may be waiting only for a target with less risk.
        if not ahead or request.idempotent:
            grant = self._try_grant(request, now_s)
            if grant is not None:
                return grant
        if request.attempt is AttemptKind.HEDGE:
            return self._queue_hedge(request, now_s)
        wait_s = self._expected_wait_s(request, ahead, now_s)
        limit_s = min(request.left_s, self._queue_limit_s(request, ahead))
        if wait_s + MIN_WORK_SHARE * self._mean_exchange_s > limit_s:
            return self._grant_or_refuse(request, ahead, wait_s, now_s)
        return self._enqueue(request, now_s, now_s, wait_s)

    def _queue_hedge(self, request: SlotRequest, now_s: float) -> SlotReply:
        """Queue a hedge as if it came HEDGE_LEAD_S ago, or refuse it."""
        queued_at_s = now_s - HEDGE_LEAD_S
        ahead = self._count_ahead(request, queued_at_s)
        wait_s = self._expected_wait_s(request, ahead, now_s)
        if wait_s + MIN_WORK_SHARE * self._mean_exchange_s > request.left_s:
            return refuse(request, 0.0, 'no free slot for a hedge')
        return self._enqueue(request, queued_at_s, now_s, wait_s)

    def _enqueue(
        self,
        request: SlotRequest,
        queued_at_s: float,
        now_s: float,
        wait_s: float,
    ) -> Queued:
        """Add a request to the queue, sorted by priority and arrival."""
        self._queue.add(
            self._order.place(
                request, queued_at_s, self._work_s(request), now_s
            )
        )
        return Queued(ticket=request.ticket, expected_wait_s=wait_s)

    def cancel_queued(self, ticket: Ticket) -> None:
        """Remove a request from the queue."""
        for queued in self._queue.cancel(ticket):
            self._order.record_dropped(queued)

    def drop_entry(self, entry: str) -> None:
        """Remove the queued requests of a lost entry.

        Its requests in flight may still be running.
        """
        for queued in self._queue.drop_entry(entry):
            self._order.record_dropped(queued)
        self.pool.drop_entry(entry)

    def serve_queue(
        self, now_s: float, *, refuses_late: bool = True
    ) -> list[tuple[SlotRequest, SlotReply]]:
        """Return new grants and refusals for queued requests.

        Without `refuses_late` it ends once no target is free, so that each
        result does not cost a pass over a long queue, and does not drop
        requests of entries that are silent.
        """
        if refuses_late:
            for ticket in expired_tickets(
                self.pool, self._mean_exchange_s, now_s
            ):
                # The silence of an entry is no evidence about the target.
                self.record_result(ticket, Result.UNUSED, 0.0, now_s)
            self._order.sort(
                self._queue.requests, self._mean_exchange_s, now_s
            )
        replies: list[tuple[SlotRequest, SlotReply]] = []
        remaining: list[QueuedRequest] = []
        waiting = self._queue.requests
        for position, queued in enumerate(waiting):
            if not refuses_late and isinf(self.pool.lowest_free_risk(now_s)):
                remaining += waiting[position:]
                break
            reply = self._serve_queued(queued, len(remaining), now_s)
            if reply is None:
                remaining.append(queued)
            else:
                replies.append((queued.request, reply))
                if isinstance(reply, Refusal):
                    self._order.record_dropped(queued)
        self._queue.requests = remaining
        return replies

    def queue_length(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    def retry_usage(self, now_s: float) -> RetryUsage:
        """Return how much of the retry budget this home has granted."""
        return self._retry_gate.usage(now_s)

    # Results

    def record_result(
        self, ticket: Ticket, result: Result, duration_s: float, now_s: float
    ) -> None:
        """Record how the exchange of a granted request ended."""
        granted = self.pool.end_in_flight(ticket)
        if granted is None:
            return
        if granted.counted_until_s is not None:
            if result is Result.ANSWERED:
                self._record_exchange(duration_s)
            return
        self._retry_gate.pacer.record_result(result, now_s)
        self._alone.record_result(granted, result, duration_s, now_s)
        target = self.pool.targets.get(granted.target)
        if target is not None:
            self._results.apply(target, granted, result, duration_s, now_s)
            if result is Result.ANSWERED:
                self._record_exchange(duration_s)
        if result not in (Result.CANCELLED, Result.UNUSED):
            self.pool.floor.record_result(
                now_s, lost=result is not Result.ANSWERED
            )

    def _record_exchange(self, duration_s: float) -> None:
        self._mean_exchange_s += EXCHANGE_GAIN * (
            duration_s - self._mean_exchange_s
        )

    # Decision

    def _wait_for_slot_s(self, request: SlotRequest, now_s: float) -> float:
        """Return the expected wait, 0 if a slot is free."""
        ahead = self._count_ahead(request)
        if ahead or isinf(self.pool.lowest_free_risk(now_s)):
            return self._expected_wait_s(request, ahead, now_s)
        return 0.0

    def _try_grant(
        self,
        request: SlotRequest,
        now_s: float,
        waited_s: float = 0.0,
        min_accepted_risk: float = 0.0,
        queued: QueuedRequest | None = None,
    ) -> Grant | None:
        """Grant the best free slot, unless its risk is too high."""
        # Other retries may have spent the budget while this one waited.
        if not (
            self._retry_gate.still_allows(request, now_s)
            and self._order.may_take_slot(
                request, queued, self._waits, self._mean_exchange_s, now_s
            )
        ):
            return None
        accepted_risk = max(
            min_accepted_risk, risk_accepted(request, waited_s)
        )
        # Most passes over a long queue find no target to choose.
        if self.pool.lowest_free_risk(now_s) > accepted_risk:
            return None
        choice = self._choose_target(request, now_s)
        if choice is None or choice[1] > accepted_risk:
            return None
        target, risk = choice
        self._retry_gate.record_granted(request, now_s)
        self._order.record_granted(request, queued, self._work_s(request))
        return grant_slot(self.pool, target, request, risk, now_s)

    def _choose_target(
        self, request: SlotRequest, now_s: float
    ) -> tuple[TargetState, float] | None:
        """Return the free target of lowest cost and its failure risk."""
        return self._alone.choose(request, now_s)

    # Queue

    def _serve_queued(
        self, queued: QueuedRequest, ahead: int, now_s: float
    ) -> SlotReply | None:
        """Grant or refuse a queued request; None if it continues to wait."""
        request = queued.request
        left_s = queued.deadline_s - now_s
        grant = self._try_grant(
            request, now_s, now_s - queued.queued_at_s, queued=queued
        )
        if grant is not None:
            return grant
        wait_s = self._expected_wait_s(request, ahead, now_s)
        if left_s < wait_s + MIN_WORK_SHARE * self._mean_exchange_s:
            return self._grant_or_refuse(request, ahead, wait_s, now_s, queued)
        return None

    def _grant_or_refuse(
        self,
        request: SlotRequest,
        ahead: int,
        wait_s: float,
        now_s: float,
        queued: QueuedRequest | None = None,
    ) -> SlotReply:
        """Grant a slot with high risk if nobody is ahead, or refuse."""
        if not ahead:
            grant = self._try_grant(
                request,
                now_s,
                min_accepted_risk=LAST_RESORT_RISK,
                queued=queued,
            )
            if grant is not None:
                return grant
        pause_left_s = self.pool.pause_left_s(request, now_s)
        if pause_left_s > 0:
            return refuse_for_pause(request, pause_left_s, self._rng)
        retry_after_s = self._order.retry_after_s(
            request,
            wait_s,
            self._waits.capacity_per_s(self._mean_exchange_s, now_s),
            now_s,
        )
        return refuse(request, retry_after_s, 'no slot in time')

    def _queue_limit_s(self, request: SlotRequest, ahead: int) -> float:
        """Return how long the wait and the exchange may take together."""
        return request.objective_s * (QUEUE_SHARE if ahead else 1.0)

    def _count_ahead(
        self, request: SlotRequest, queued_at_s: float = float('inf')
    ) -> int:
        """Return how many queued requests are served before another one."""
        return self._queue.count_ahead(
            request.priority, queued_at_s, self._order.tag(request)
        )

    def _work_s(self, request: SlotRequest) -> float:
        """Return the expected work of a request."""
        return self.pool.latency_model(request).mean_s()

    def _expected_wait_s(
        self, request: SlotRequest, ahead: int, now_s: float
    ) -> float:
        """Return the expected wait behind a number of queued requests."""
        return self._waits.expected_s(
            request, ahead, self._mean_exchange_s, now_s
        )
