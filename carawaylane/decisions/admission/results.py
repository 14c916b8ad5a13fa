"""Updates what a home knows of a target with the results of its requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from carawaylane.decisions.admission.quarantine import Quarantine
from carawaylane.decisions.placement.failure_estimate import Result
from carawaylane.decisions.placement.target_pool import TargetPool

if TYPE_CHECKING:
    from carawaylane.decisions.placement.target_state import (
        InFlightRequest,
        TargetState,
    )
    from carawaylane.messages.dispatch import Ticket

# How long an entry avoids a target that it could not reach or that did not
# answer in time.
AVOIDANCE_S = 4.0
# A target that is unreachable within this time after a connection broke during
# an exchange has crashed.
CRASH_WINDOW_S = 2.0


# An entry reports a result at most this late after the request's deadline.
REPORT_SLACK_S = 1.0
# Requests of a lost entry are taken to end after this many mean exchanges.
LOST_ENTRY_EXCHANGES = 3.0


def expired_tickets(
    pool: TargetPool, mean_exchange_s: float, now_s: float
) -> list[Ticket]:
    """Return the requests whose entry will not report a result any more."""
    expired = []
    for ticket, granted in pool.in_flight.items():
        end_s = granted.granted_at_s + granted.request.left_s + REPORT_SLACK_S
        if granted.entry_lost:
            end_s = (
                granted.granted_at_s + LOST_ENTRY_EXCHANGES * mean_exchange_s
            )
        if granted.counted_until_s is not None:
            end_s = granted.counted_until_s
        if now_s > end_s:
            expired.append(ticket)
    return expired


@define(kw_only=True, eq=False, repr=False)
class ResultRecorder:
    """Records results as evidence about targets, routes and requests."""

    pool: TargetPool
    quarantine: Quarantine

    def apply(
        self,
        target: TargetState,
        granted: InFlightRequest,
        result: Result,
        duration_s: float,
        now_s: float,
    ) -> None:
        """Update the target and the model of the route with a result."""
        model = granted.model
        estimate = target.estimate
        if result in (Result.ANSWERED, Result.ERRORED):
            self.quarantine.record_answer(
                str(granted.request.digest), int(now_s * 1000)
            )
        target.cached_risk_at_s = float('-inf')
        if result is Result.ANSWERED:
            target.record_connection(granted.request.entry, now_s)
            self.pool.learn_work(target, granted, duration_s)
        target.replaced = target.replaced or result is Result.MISDIRECTED
        if result in (Result.UNREACHED, Result.BROKEN):
            target.avoided_until_s[granted.request.entry] = now_s + AVOIDANCE_S
        if result is Result.OVERDUE:
            target.avoided_until_s[granted.request.entry] = (
                granted.granted_at_s + AVOIDANCE_S
            )
        estimate.record_result(
            result,
            now_s,
            granted.observation,
            unanswered_ratio=model.likelihood_ratio(duration_s),
            weight=self._result_weight(target, result, now_s),
        )
        if result is Result.ANSWERED:
            model.record_hang(0.0)
        elif result in (Result.OVERDUE, Result.CANCELLED):
            # Later answers may already show that the target was healthy.
            healthy_probability = 1 - self.pool.failure_risk(target, now_s)
            model.record_hang(
                healthy_probability * model.hang_probability(duration_s)
            )
        if result is Result.BROKEN and granted.request.digest:
            target.broken_at_s[granted.request.digest] = now_s
        if result is Result.UNREACHED:
            self._record_crash(target, now_s)

    def _result_weight(
        self, target: TargetState, result: Result, now_s: float
    ) -> float:
        """Return the weight of a result as evidence about its target.

        It is less than 1 if the network path may have failed instead.
        """
        recently_answered = now_s - target.estimate.last_answer_s < 1.0
        return 0.4 if result is Result.UNREACHED and recently_answered else 1.0

    def _record_crash(self, target: TargetState, now_s: float) -> None:
        """Record a crash for the requests whose exchange broke just before."""
        for digest, broken_at_s in target.broken_at_s.items():
            if now_s - broken_at_s < CRASH_WINDOW_S:
                self.quarantine.record_crash(
                    str(digest), target.spec.name, int(now_s * 1000)
                )
        target.broken_at_s.clear()
