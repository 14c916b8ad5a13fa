"""Choice of the free target that is least likely to lose a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaylane.decisions.placement.target_state import (
    TargetState,
    untried,
)
from carawaylane.settings.gateway import Placement

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawaylane.decisions.placement.target_pool import TargetPool
    from carawaylane.messages.dispatch import SlotRequest

# Costs of choosing a target, in units of a lost request. COST_BUSY is
# multiplied by the share of its slots in use, COST_SLOW by its slowness and
# COST_SHED by the share of requests that it sheds.
COST_BUSY = 0.1
COST_SLOW = 0.12
COST_WARMING_UP = 0.08
COST_SHED = 0.15
COST_OTHER_DATA_CENTRE = 0.04
# A new connection costs a round trip and part of the slot's time.
COST_CONNECT = 0.035
UNTRIED_BONUS = 0.3
# A lost idempotent request costs less, since it can be retried.
IDEMPOTENT_LOSS_COST = 0.4

# By setting: the class that chooses targets.
CHOICES: dict[Placement, type[ChoiceByRisk]] = {}


def choice(
    placement: Placement,
) -> Callable[[type[ChoiceByRisk]], type[ChoiceByRisk]]:
    """Register the class that chooses targets under a setting."""

    def register(choice_class: type[ChoiceByRisk]) -> type[ChoiceByRisk]:
        CHOICES[placement] = choice_class
        return choice_class

    return register


@choice(Placement.RISK)
class ChoiceByRisk:
    """Chooses by the risk of loss and by what is likely to take longer.

    It is built for services of tens of targets with requests that take
    about the same time, since each choice looks at all free targets.
    """

    def __init__(self, *, pool: TargetPool) -> None:
        self.pool = pool

    def forget_targets(self) -> None:
        """Drop what is kept of the targets, as their list changes."""

    def lowest_free_risk(self, _now_s: float) -> float | None:
        """Return the lowest risk of a free target, None to look at all."""
        return None

    def choose(
        self, request: SlotRequest, now_s: float
    ) -> tuple[TargetState, float] | None:
        """Return the free target of lowest cost and its failure risk."""
        best: tuple[float, float, TargetState] | None = None
        for target in self._candidates(request, now_s):
            risk = self.pool.failure_risk(target, now_s)
            cost = self._cost(target, request, risk, now_s)
            if best is None or cost < best[0]:
                best = (cost, risk, target)
        return (best[2], best[1]) if best else None

    def cost(
        self, target: TargetState, request: SlotRequest, now_s: float
    ) -> float:
        """Return the cost of a target for a request."""
        risk = self.pool.failure_risk(target, now_s)
        return self._cost(target, request, risk, now_s)

    def all_candidates(
        self, request: SlotRequest, now_s: float
    ) -> list[TargetState]:
        """Return the free targets that a request may go to."""
        return ChoiceByRisk._candidates(self, request, now_s)

    def _candidates(
        self, request: SlotRequest, now_s: float
    ) -> list[TargetState]:
        """Return the free targets to choose from."""
        free = self.pool.free_targets(now_s)
        due, all_free = (
            self.pool.withheld.open_to(request.entry, targets, now_s)
            for targets in (
                [
                    target
                    for target in free.due
                    if self._may_probe(target, request, now_s)
                ],
                free.all,
            )
        )
        stuck_at = self.pool.targets_where_stuck(request.entry, now_s)
        candidates = self._reachable(due, request, stuck_at, now_s)
        if not candidates:
            reachable = self._reachable(all_free, request, stuck_at, now_s)
            candidates = (
                reachable
                or untried(due, request)
                or untried(all_free, request)
            )
        return candidates

    def _may_probe(
        self, target: TargetState, request: SlotRequest, now_s: float
    ) -> bool:
        """Return whether a target due for the usage floor may get it."""
        return True

    def _reachable(
        self,
        targets: list[TargetState],
        request: SlotRequest,
        stuck_at: set[str],
        now_s: float,
    ) -> list[TargetState]:
        """Return the targets that the entry is believed to reach."""
        avoided = request.avoided_targets | stuck_at
        return [
            target
            for target in targets
            if target.spec.name not in avoided
            and target.avoided_until_s.get(request.entry, 0.0) <= now_s
        ]

    def _cost(
        self,
        target: TargetState,
        request: SlotRequest,
        risk: float,
        now_s: float,
    ) -> float:
        """Return the cost of choosing a target, in units of a lost request."""
        cost = risk * (IDEMPOTENT_LOSS_COST if request.idempotent else 1.0)
        cost += COST_BUSY * len(target.in_flight) / target.spec.slots
        cost += COST_SLOW * max(0.0, target.estimate.slowness_at(now_s))
        cost += self._shed_cost(target, now_s)
        if target.is_warming_up(now_s):
            cost += COST_WARMING_UP
        if target.spec.data_centre != request.data_centre:
            cost += COST_OTHER_DATA_CENTRE
        if not target.has_connection(request.entry, now_s):
            cost += COST_CONNECT
        if target.is_first_request_due(now_s):
            cost -= UNTRIED_BONUS
        return cost

    def _shed_cost(self, target: TargetState, now_s: float) -> float:
        """Return the cost of a target that sheds some of its requests."""
        return COST_SHED * target.estimate.shed_share
