"""Whether a request waits for a slot in the data centre of its entry.

It is built for large answers at services with some slots in each data
centre, one of which becomes free every few hundredths of a second.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

from carawaylane.decisions.placement.target_state import remaining_s
from carawaylane.messages.dispatch import AttemptKind, Ticket

if TYPE_CHECKING:
    from carawaylane.decisions.placement.target_pool import TargetPool
    from carawaylane.messages.dispatch import SlotRequest

# A target with a higher failure probability is not worth a wait.
MAX_RISK = 0.3
# Longest wait, as a share of the latency objective.
MAX_WAIT_SHARE = 0.1
# Cost of a wait of the whole latency objective, in units of a lost request.
COST_OBJECTIVE = 1.0
# Answers whose bytes cost less don't wait.
MIN_BYTES_COST = 0.05
# No estimate of the remaining time is better than this.
MIN_REMAINING_S = 0.01
# Work that takes a larger share of the latency objective leaves no time.
MAX_WORK_SHARE = 0.3
# Requests that wait at a time. They are in the queue, and a long one refuses
# requests that could be served elsewhere.
MAX_WAITING = 16
# A request that was cancelled no longer counts after this time.
FORGET_AFTER_S = 1.0


@define(kw_only=True, eq=False, repr=False)
class LocalWait:
    """The requests that wait for a slot nearby, and since when."""

    _since_s: dict[Ticket, float] = Factory(dict)

    def is_worth(
        self,
        pool: TargetPool,
        request: SlotRequest,
        bytes_cost: float,
        now_s: float,
    ) -> bool:
        """Return whether the wait costs less than the bytes."""
        if (
            bytes_cost < MIN_BYTES_COST
            or request.attempt.is_retry
            or request.attempt is AttemptKind.RESEND
            or request.left_s < request.objective_s
            or pool.latency_model(request).mean_s()
            > MAX_WORK_SHARE * request.objective_s
        ):
            return False
        since_s = self._since_s.get(request.ticket, now_s)
        expected_s = self._expected_wait_s(pool, request, now_s)
        waited_s = now_s - since_s
        if (
            self._has_room(request.ticket, now_s)
            and COST_OBJECTIVE * expected_s < bytes_cost * request.objective_s
            and waited_s + expected_s < MAX_WAIT_SHARE * request.objective_s
        ):
            self._since_s[request.ticket] = since_s
            return True
        self.end(request.ticket)
        return False

    def end(self, ticket: Ticket) -> None:
        """Record that a request waits no longer."""
        self._since_s.pop(ticket, None)

    def _has_room(self, ticket: Ticket, now_s: float) -> bool:
        while self._since_s:
            oldest = next(iter(self._since_s))
            if now_s - self._since_s[oldest] <= FORGET_AFTER_S:
                break
            del self._since_s[oldest]
        return ticket in self._since_s or len(self._since_s) < MAX_WAITING

    def _expected_wait_s(
        self, pool: TargetPool, request: SlotRequest, now_s: float
    ) -> float:
        """Return the expected time until a slot nearby becomes free."""
        ends_per_s = sum(
            1 / max(MIN_REMAINING_S, remaining_s(granted, now_s))
            for target in pool.targets.values()
            if target.spec.data_centre == request.data_centre
            and target.is_open()
            and target.spec.name not in request.avoided_targets
            and pool.failure_risk(target, now_s) < MAX_RISK
            for granted in target.in_flight.values()
        )
        return 1 / ends_per_s if ends_per_s else float('inf')
