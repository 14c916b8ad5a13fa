"""A pool of targets to look at, of which nothing changes.

It is built for an operator who asks where a request would go, while the pool
serves hundreds of requests per second: it copies only what reading changes.
"""

from __future__ import annotations

from copy import copy, deepcopy
from typing import TYPE_CHECKING

from attrs import evolve

from carawaylane.decisions.placement.choice_by_cost import CHOICES
from carawaylane.decisions.placement.target_pool import (
    RISK_TTL_S,
    TargetPool,
)
from carawaylane.decisions.placement.target_state import (
    remaining_s,
    speed_factor,
)
from carawaylane.settings.gateway import Placement

if TYPE_CHECKING:
    from carawaylane.decisions.placement.choice_by_risk import ChoiceByRisk
    from carawaylane.decisions.placement.failure_estimate import LatencyModel
    from carawaylane.decisions.placement.target_state import TargetState
    from carawaylane.decisions.targets.rate_limits import SharedRateLimits
    from carawaylane.messages.dispatch import SlotRequest


class PoolView(TargetPool):
    """The targets of a pool, with copies of what changes when it is read."""

    def __init__(
        self,
        *,
        pool: TargetPool,
        placement: Placement,
        rate_limits: SharedRateLimits,
    ) -> None:
        # Shares all else with the pool; `super().__init__` would make an
        # empty pool.
        vars(self).update(vars(pool))
        self.placement = placement
        self.rate_limits = rate_limits
        self.floor = deepcopy(pool.floor)
        self.work_models = copy(pool.work_models)
        self.changed = set()
        self._free = None
        self._risks: dict[str, float] = {}
        self.choice: ChoiceByRisk = CHOICES[placement](pool=self)
        self._choices = {placement: self.choice}

    def failure_risk(self, target: TargetState, now_s: float) -> float:
        """Return the risk of a target without recording it."""
        if now_s - target.cached_risk_at_s < RISK_TTL_S:
            return target.cached_risk
        name = target.spec.name
        if name not in self._risks:
            self._risks[name] = _fresh_risk(target, now_s)
        return self._risks[name]

    def latency_model(self, request: SlotRequest) -> LatencyModel:
        """Return the model of a request without adding one."""
        if self.placement is not Placement.COST:
            # Placement by risk knows no classes.
            request = evolve(request, method='', path_shape='', customer='')
        return self.work_models.known(request)

    def expected_work_s(
        self, target: TargetState, request: SlotRequest, now_s: float
    ) -> float:
        """Return how long a target is expected to take for a request."""
        mean_s = self.latency_model(request).mean_s()
        if self.placement is not Placement.COST:
            return mean_s
        load_factor = self.crowding.factor(target.occupancy())
        return mean_s * load_factor * speed_factor(target, now_s)


def expected_remaining_s(target: TargetState, now_s: float) -> float:
    """Return the work that the requests in flight at a target still need."""
    return sum(
        remaining_s(granted, now_s) for granted in target.in_flight.values()
    )


def _fresh_risk(target: TargetState, now_s: float) -> float:
    """Return what `TargetPool.failure_risk` would find."""
    ratios = {
        id(granted.observation): granted.model.likelihood_ratio(
            granted.unanswered_s(now_s) / granted.time_factor
        )
        for granted in target.in_flight.values()
    }
    observations = [
        evolve(observation, ratio=ratios[id(observation)])
        if id(observation) in ratios
        else observation
        for observation in target.estimate.observations
    ]
    return evolve(target.estimate, observations=observations).probability_at(
        now_s
    )
