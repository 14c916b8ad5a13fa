"""Spreads second attempts over the window of the retry budget.

It handles services whose targets refuse a part of what they receive while
they have free capacity. Unpaced, the second attempts of the first seconds
spend the budget of the whole window, and later requests get none.
"""

from __future__ import annotations

from collections import deque
from math import exp
from typing import TYPE_CHECKING

from attrs import Factory, define

from carawaylane.decisions.admission.caller_age import CallerAges
from carawaylane.decisions.placement.failure_estimate import Result
from carawaylane.messages.dispatch import AttemptKind

if TYPE_CHECKING:
    from carawaylane.decisions.admission.shared_retry_budget import RetryUsage
    from carawaylane.messages.dispatch import SlotRequest

# Time constant of the share of results that are refusals by targets. It is
# evidence once it rests on about MIN_RESULTS results.
SHED_MEMORY_S = 0.5
MIN_RESULTS = 10.0
# Second attempts are paced if targets refuse more than this share. Fewer are
# within the ratio of the budget.
PACED_SHED_SHARE = 0.2
# What is left of the budget is spent over this time at the earliest.
SPREAD_S = 1.0
# Second attempts asked for within this time are compared with each other, but
# no more than the latest MAX_ASKED.
COMPARED_S = 1.0
MAX_ASKED = 256


@define(kw_only=True, eq=False, repr=False)
class RetryPacer:
    """Decides which second attempts of a service to make now.

    A caller that comes back soon makes a first attempt, which spends no
    budget. So second attempts go to callers who came back before, who are
    more likely to give up, ahead of those who came for the first time. If
    callers do not come back, a second attempt now is as good as one later.
    """

    ages: CallerAges
    # Refusals by targets and all results, both decaying.
    _shed: float = 0.0
    _results: float = 0.0
    _results_at_s: float = 0.0
    # Second attempts that were asked for: when, and their rank.
    _asked: deque[tuple[float, tuple[int, float]]] = Factory(
        lambda: deque(maxlen=MAX_ASKED)
    )
    _tokens: float = 0.0
    _tokens_at_s: float = 0.0

    def record_result(self, result: Result, now_s: float) -> None:
        """Count a result, whether its target refused the request."""
        if result in (Result.ANSWERED, Result.SHED):
            kept = exp((self._results_at_s - now_s) / SHED_MEMORY_S)
            self._shed = self._shed * kept + (result is Result.SHED)
            self._results = self._results * kept + 1
            self._results_at_s = now_s

    def is_shedding(self) -> bool:
        """Return whether targets refuse much of what they receive."""
        return self._shed > PACED_SHED_SHARE * max(MIN_RESULTS, self._results)

    def allows(
        self, request: SlotRequest, usage: RetryUsage, now_s: float
    ) -> bool:
        """Return whether a second attempt may be made now."""
        if (
            request.attempt is not AttemptKind.REPEAT
            or not self.is_shedding()
            or not self.ages.callers_return()
        ):
            return True
        per_s = max(0.0, usage.limit - usage.retries) / SPREAD_S
        self._refill(per_s, now_s)
        rank = self._rank(request, now_s)
        while self._asked and self._asked[0][0] < now_s - COMPARED_S:
            self._asked.popleft()
        ahead = sum(other < rank for _, other in self._asked)
        self._asked.append((now_s, rank))
        return self._tokens >= 1 and ahead < per_s * COMPARED_S

    def record_retry(self, now_s: float) -> None:
        """Count a second attempt that is made."""
        if self.is_shedding():
            self._tokens -= 1

    def _refill(self, per_s: float, now_s: float) -> None:
        """Add tokens at the pace of the budget, at most those of a second."""
        added = per_s * (now_s - self._tokens_at_s)
        self._tokens = min(max(1.0, per_s), self._tokens + added)
        self._tokens_at_s = now_s

    def _rank(self, request: SlotRequest, now_s: float) -> tuple[int, float]:
        """Return the rank of a second attempt, the lowest first.

        More urgent requests go first, then callers who came first.
        """
        return (request.priority, -self.ages.age_s(request, now_s))
