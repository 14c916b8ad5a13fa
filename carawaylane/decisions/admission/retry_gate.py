"""Decides whether a second attempt may be made: by budget and by pace."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from carawaylane.decisions.admission.refusals import (
    RETRY_BUDGET_RETRY_S,
    refuse,
)
from carawaylane.decisions.admission.retry_pacing import RetryPacer
from carawaylane.decisions.admission.shared_retry_budget import (
    RetryUsage,
    SharedRetryBudget,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawaylane.messages.dispatch import Refusal, SlotRequest


@define(kw_only=True, eq=False, repr=False)
class RetryGate:
    """Allows second attempts within the budget of the service."""

    budget: SharedRetryBudget
    pacer: RetryPacer

    def allows(self, request: SlotRequest, now_s: float) -> bool:
        """Return whether a request that arrives may be attempted again."""
        if not request.attempt.is_retry:
            return True
        if not self._has_budget(now_s):
            return False
        return self.pacer.allows(request, self.usage(now_s), now_s)

    def usage(self, now_s: float) -> RetryUsage:
        """Return what this home has spent of the budget, and its limit."""
        if self.pacer.is_shedding():
            return self.budget.whole_usage(now_s)
        return self.budget.home_usage(now_s)

    def _has_budget(self, now_s: float) -> bool:
        """Return whether one more retry is within the budget.

        Requests that targets shed are worth the whole of it.
        """
        if self.pacer.is_shedding():
            return self.budget.whole_usage(now_s).allows_retry
        return self.budget.allows_retry(now_s)

    def refusal(
        self,
        request: SlotRequest,
        wait_s: Callable[[SlotRequest, float], float],
        now_s: float,
    ) -> Refusal | None:
        """Refuse a second attempt beyond the retry budget.

        If targets have refused the request and not failed on it, the caller
        can come back as soon as a slot is free, after `wait_s`.
        """
        if self.allows(request, now_s):
            return None
        retry_after_s = RETRY_BUDGET_RETRY_S
        if self.pacer.is_shedding():
            retry_after_s = wait_s(request, now_s)
        reason = 'the retry budget is spent'
        if self._has_budget(now_s):
            reason = 'the retry budget is paced'
        return refuse(request, retry_after_s, reason)

    def still_allows(self, request: SlotRequest, now_s: float) -> bool:
        """Return whether others have left budget while a request waited."""
        return not request.attempt.is_retry or self._has_budget(now_s)

    def record_granted(self, request: SlotRequest, now_s: float) -> None:
        """Count a second attempt that is made."""
        if request.attempt.is_retry:
            self.budget.record_retry(request.entry, now_s)
            self.pacer.record_retry(now_s)
