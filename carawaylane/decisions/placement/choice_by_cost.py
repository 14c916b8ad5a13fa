"""Choice of the free target at which a request is expected to cost least."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaylane.decisions.placement.choice_by_risk import (
    CHOICES,
    COST_CONNECT,
    COST_OTHER_DATA_CENTRE,
    IDEMPOTENT_LOSS_COST,
    UNTRIED_BONUS,
    ChoiceByRisk,
    choice,
)
from carawaylane.decisions.placement.indexed_targets import (
    MIN_INDEXED,
    IndexedTargets,
)
from carawaylane.decisions.placement.local_wait import LocalWait
from carawaylane.decisions.placement.target_state import speed_factor
from carawaylane.settings.gateway import Placement

if TYPE_CHECKING:
    from carawaylane.decisions.placement.target_pool import TargetPool
    from carawaylane.decisions.placement.target_state import TargetState
    from carawaylane.messages.dispatch import SlotRequest

# Cost of an expected response time of the whole latency objective, in units of
# a lost request.
COST_OBJECTIVE = 0.5
# Cost of a full target, as all requests at a target are lost together.
COST_OCCUPIED = 0.08
# Of the order of targets in large services: cost of a lost request, half of
# them idempotent, and share of the latency objective that the work takes.
TYPICAL_LOSS_COST = 0.7
TYPICAL_WORK_SHARE = 0.25
# Cost of answer bytes between data centres, in units of a lost request. An
# answer of 90 KB costs as much as 0.37 more risk of loss for an idempotent
# request, so that the risk of a failing target stays the main term.
COST_PER_BYTE = 0.15 / 90_000
# Up to these bytes, COST_OTHER_DATA_CENTRE alone counts.
SMALL_ANSWER_BYTES = 8 << 10
MAX_COST_BYTES = 0.25
# Cost of a request that a target sheds, in units of a lost request: another
# attempt draws on the retry budget and on the attempts of its route.
COST_SHED = 0.5
# A target due for the usage floor gets unsafe requests only up to this risk,
# as a hung target loses them. On the load unsafe-hung a spell of hanging costs
# 1.70 requests without the limit and 1.36 with it; with a limit of 0.32 the
# floor is missed.
MAX_UNSAFE_PROBE_RISK = 0.45

__all__ = ['CHOICES', 'ChoiceByCost']


@choice(Placement.COST)
class ChoiceByCost(ChoiceByRisk):
    """Chooses by the risk of loss and by the cost of the answer.

    It is built for services that answer some requests with much more bytes
    than others, where bytes between data centres are expensive.
    """

    def __init__(self, *, pool: TargetPool) -> None:
        super().__init__(pool=pool)
        self._local_wait = LocalWait()
        self._indexed = IndexedTargets(
            pool=pool, cost_of=self._base_cost, may_probe=self._may_probe
        )

    def forget_targets(self) -> None:
        self._indexed.clear()

    def lowest_free_risk(self, now_s: float) -> float | None:
        if len(self.pool.targets) < MIN_INDEXED:
            return None
        return self._indexed.lowest_risk(now_s)

    def _candidates(
        self, request: SlotRequest, now_s: float
    ) -> list[TargetState]:
        if len(self.pool.targets) >= MIN_INDEXED:
            found = self._indexed.candidates(request, now_s)
            if found:
                return found
        return super()._candidates(request, now_s)

    def _may_probe(
        self, target: TargetState, request: SlotRequest, now_s: float
    ) -> bool:
        return (
            request.idempotent
            or self.pool.failure_risk(target, now_s) <= MAX_UNSAFE_PROBE_RISK
        )

    def choose(
        self, request: SlotRequest, now_s: float
    ) -> tuple[TargetState, float] | None:
        """Return the best target, or None if one nearby is worth a wait."""
        pool = self.pool
        work_share = pool.latency_model(request).mean_s() / request.objective_s
        bytes_cost = self._bytes_cost(request)
        best: tuple[float, float, TargetState] | None = None
        for target in self._candidates(request, now_s):
            risk = pool.failure_risk(target, now_s)
            cost = self._request_cost(
                target, request, risk, work_share, bytes_cost, now_s
            )
            if best is None or cost < best[0]:
                best = (cost, risk, target)
        if best is None or (
            best[2].spec.data_centre != request.data_centre
            and self._local_wait.is_worth(pool, request, bytes_cost, now_s)
        ):
            return None
        self._local_wait.end(request.ticket)
        return best[2], best[1]

    def _cost(
        self,
        target: TargetState,
        request: SlotRequest,
        risk: float,
        now_s: float,
    ) -> float:
        """Return the cost of a target for a request."""
        mean_s = self.pool.latency_model(request).mean_s()
        return self._request_cost(
            target,
            request,
            risk,
            mean_s / request.objective_s,
            self._bytes_cost(request),
            now_s,
        )

    def _request_cost(
        self,
        target: TargetState,
        request: SlotRequest,
        risk: float,
        work_share: float,
        bytes_cost: float,
        now_s: float,
    ) -> float:
        """Return the cost of a target with what all targets share."""
        cost = risk * (IDEMPOTENT_LOSS_COST if request.idempotent else 1.0)
        cost += self._target_cost(target, work_share, now_s)
        if target.spec.data_centre != request.data_centre:
            cost += COST_OTHER_DATA_CENTRE + bytes_cost
        if not target.has_connection(request.entry, now_s):
            cost += COST_CONNECT
        return cost

    def _base_cost(self, target: TargetState, now_s: float) -> float:
        """Return the cost of a target for a typical request."""
        risk = self.pool.failure_risk(target, now_s)
        return TYPICAL_LOSS_COST * risk + self._target_cost(
            target, TYPICAL_WORK_SHARE, now_s
        )

    def _target_cost(
        self, target: TargetState, work_share: float, now_s: float
    ) -> float:
        """Return the cost of a target's speed and state.

        `work_share` is the share of the latency objective that the work of
        the request takes at a target of mean speed.
        """
        pool = self.pool
        occupancy = target.occupancy()
        factor = pool.crowding.factor(occupancy) * speed_factor(target, now_s)
        cost = COST_OBJECTIVE * work_share * factor
        cost += COST_OCCUPIED * occupancy
        cost += self._shed_cost(target, now_s)
        if target.is_first_request_due(now_s):
            cost -= UNTRIED_BONUS
        return cost

    def _shed_cost(self, target: TargetState, now_s: float) -> float:
        """Return the cost by the share that a target shed lately."""
        return COST_SHED * target.estimate.shed_share_at(now_s)

    def _bytes_cost(self, request: SlotRequest) -> float:
        """Return the cost of an answer from another data centre."""
        expected = self.pool.answer_sizes.expected_bytes(request)
        if expected <= SMALL_ANSWER_BYTES:
            return 0.0
        return min(MAX_COST_BYTES, COST_PER_BYTE * expected)
