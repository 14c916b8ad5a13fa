"""Keeps an entry that decides alone from filling targets that others share.

It handles seconds in which the entries of a service reach no home. Each entry
takes all slots of a target for its own, so 88 entries with a request each hold
88 requests at 20 slots. Left alone, entries also choose alike, and fill the
same target while others are idle.
"""

from __future__ import annotations

from math import exp, log
from random import Random
from typing import TYPE_CHECKING

from attrs import Factory, define

from carawaylane.decisions.admission.accepted_risk import risk_accepted
from carawaylane.decisions.admission.refusals import refuse
from carawaylane.decisions.admission.shared_retry_budget import (
    SharedRetryBudget,
)
from carawaylane.decisions.placement.failure_estimate import (
    MIN_LATENCY_S,
    Result,
)
from carawaylane.decisions.placement.target_pool import TargetPool

if TYPE_CHECKING:
    from carawaylane.decisions.placement.target_state import (
        InFlightRequest,
        TargetState,
    )
    from carawaylane.messages.dispatch import Refusal, SlotRequest

# Weight of a result in the slowness, the logarithm of the duration over the
# median of the class. An entry of many gets about one answer a second.
GAIN = 0.6
# Limits of the slowness of one answer, and that of a request that is shed.
MIN_SLOWNESS, MAX_SLOWNESS, SHED_SLOWNESS = -1.0, 2.5, 2.0
# Above this slowness, 1.6 times the median, targets are overloaded. The work
# of requests varies by 0.6 in these units.
OVERLOADED = 0.5
# How fast the share that is sent falls with the slowness. With 1 priorities
# were still inverted in a burst of two classes, with 4 customers fared worse.
STEEPNESS = 2.0
# The results of the rest show the end of the overload.
MAX_REFUSED_SHARE = 0.9
# Time constant of the slowness without results.
MEMORY_S = 20.0
# Weight of an answer in the median. While targets are overloaded, the time
# that requests queue there must not count as work.
MEDIAN_GAIN = 0.02
# Requests that are saved for later, and sent in advance: those within the
# share of their customer, and those more urgent than others.
MAX_SAVED, SHARE_ADVANCE, URGENT_ADVANCE = 1.5, 1.0, 2.0
MAX_ADVANCE = SHARE_ADVANCE + URGENT_ADVANCE
# Longest delay that refused callers are told, as a share of their time left:
# they give up if it is more than a third.
RETRY_DELAY_SHARE = 0.25


@define(kw_only=True, repr=False)
class Overload:
    """Recognises overload of targets by the responses of one entry.

    The share of the requests that is sent falls with the slowness of answers.
    """

    _slowness: float = 0.0
    _result_at_s: float = 0.0
    # By route: logarithm of the median duration without overload.
    _medians: dict[str, float] = Factory(dict)
    # Requests that may be sent; each one that comes adds the share sent.
    _credit: float = 1.0
    _least_urgent: int = 0

    def record_result(
        self,
        granted: InFlightRequest,
        result: Result,
        duration_s: float,
        now_s: float,
    ) -> None:
        """Learn from a response."""
        if result is Result.SHED:
            slowness = SHED_SLOWNESS
        elif result is Result.ANSWERED:
            slowness = self._slowness_of(granted, duration_s)
        else:
            return
        recent = self.slowness_at(now_s)
        self._slowness = recent + GAIN * (slowness - recent)
        self._result_at_s = now_s

    def slowness_at(self, now_s: float) -> float:
        """Return the slowness, which decays since the last response."""
        return self._slowness * exp((self._result_at_s - now_s) / MEMORY_S)

    def refused_share(self, now_s: float) -> float:
        """Return the share of the requests that is refused."""
        excess = self.slowness_at(now_s) - OVERLOADED
        if excess <= 0:
            return 0.0
        return min(MAX_REFUSED_SHARE, 1 - exp(-STEEPNESS * excess))

    def admits(
        self, request: SlotRequest, now_s: float, *, within_share: bool
    ) -> bool:
        """Return whether a request may be sent."""
        refused_share = self.refused_share(now_s)
        self._least_urgent = max(self._least_urgent, request.priority)
        self._credit = min(MAX_SAVED, self._credit + 1 - refused_share)
        needed = 1.0
        if request.priority < self._least_urgent:
            needed -= URGENT_ADVANCE
        if within_share:
            needed -= SHARE_ADVANCE
        if refused_share and self._credit < needed:
            return False
        self._credit = max(-MAX_ADVANCE, self._credit - 1)
        return True

    def _slowness_of(
        self, granted: InFlightRequest, duration_s: float
    ) -> float:
        route = granted.request.route
        median = self._medians.setdefault(route, granted.model.log_mean)
        deviation = log(max(MIN_LATENCY_S, duration_s)) - median
        slowness = max(MIN_SLOWNESS, min(MAX_SLOWNESS, deviation))
        if slowness < 0 or self._slowness < OVERLOADED:
            self._medians[route] = median + MEDIAN_GAIN * slowness
        return slowness


@define(kw_only=True, repr=False)
class AloneLimit:
    """What a home decides otherwise if only one entry of several asks it."""

    pool: TargetPool
    budget: SharedRetryBudget
    rng: Random
    # New decisions take effect where requests have customers.
    enabled: bool = False
    _overload: Overload = Factory(Overload)

    def record_result(
        self,
        granted: InFlightRequest,
        result: Result,
        duration_s: float,
        now_s: float,
    ) -> None:
        """Learn from a response whether targets are overloaded."""
        if self.enabled:
            self._overload.record_result(granted, result, duration_s, now_s)

    def refuse(
        self, request: SlotRequest, now_s: float, *, within_share: bool
    ) -> Refusal | None:
        """Refuse a part of the requests while targets are overloaded.

        The caller may come back after the time that requests queue there.
        """
        if not self._is_alone(now_s) or self._overload.admits(
            request, now_s, within_share=within_share
        ):
            return None
        queue_s = self.pool.latency_model(request).mean_s() * (
            exp(self._overload.slowness_at(now_s)) - 1
        )
        return refuse(
            request,
            min(RETRY_DELAY_SHARE * request.left_s, queue_s),
            'targets are overloaded',
        )

    def choose(
        self, request: SlotRequest, now_s: float
    ) -> tuple[TargetState, float] | None:
        """Return a free target and its risk.

        It is one at random in the data centre of the best one, if its risk is
        accepted, as other entries choose at the same time by the same rules.
        """
        best = self.pool.choose(request, now_s)
        if best is None or not self._is_alone(now_s):
            return best
        free = [
            target
            for target in self.pool.withheld.open_to(
                request.entry, self.pool.free_targets(now_s).all, now_s
            )
            if target.spec.data_centre == best[0].spec.data_centre
            and target.spec.name not in request.avoided_targets
            and target.avoided_until_s.get(request.entry, 0.0) <= now_s
        ]
        target = self.rng.choice(free) if free else best[0]
        risk = self.pool.failure_risk(target, now_s)
        return (target, risk) if risk <= risk_accepted(request, 0.0) else best

    def _is_alone(self, now_s: float) -> bool:
        return self.enabled and self.budget.is_asked_by_one(now_s)
