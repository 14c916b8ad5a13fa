"""What a dispatcher would reply to a request now, decided without effects.

It is built for an operator who asks why requests go where they go while a
service is short of slots, or while some of its targets fail.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from carawaylane.decisions.admission.accepted_risk import (
    LAST_RESORT_RISK,
    risk_accepted,
)
from carawaylane.decisions.admission.dispatcher import (
    MIN_WORK_SHARE,
    Dispatcher,
)
from carawaylane.decisions.admission.order import ArrivalOrder, ShareOrder
from carawaylane.decisions.admission.queue import WaitEstimate
from carawaylane.decisions.admission.refusals import (
    refuse,
    refuse_without_target,
)
from carawaylane.decisions.placement.pool_view import (
    PoolView,
    expected_remaining_s,
)
from carawaylane.messages.dispatch import Grant, Queued
from carawaylane.messages.previews import Candidate, Preview, Verdict

if TYPE_CHECKING:
    from carawaylane.decisions.placement.target_state import TargetState
    from carawaylane.messages.dispatch import SlotReply, SlotRequest
    from carawaylane.settings.gateway import Placement

Judgement = tuple[Verdict, str]


class DispatcherView(Dispatcher):
    """A dispatcher to look at, with copies of what changes when it is read."""

    pool: PoolView

    def __init__(
        self, *, dispatcher: Dispatcher, placement: Placement
    ) -> None:
        # Shares all else with the dispatcher; `super().__init__` would make
        # one without state.
        vars(self).update(vars(dispatcher))
        self.retry_budget = dispatcher.retry_budget.snapshot()
        pool = dispatcher.pool
        self.pool = PoolView(
            pool=pool,
            placement=placement,
            rate_limits=pool.rate_limits.snapshot(
                self.retry_budget.home_share
            ),
        )
        self._waits = WaitEstimate(pool=self.pool)
        self._order = _copy_order(self._order)

    def preview(self, request: SlotRequest, now_s: float) -> Preview:
        """Return the reply to a first attempt, and the targets in order."""
        pool = self.pool
        chosen = pool.choice.choose(request, now_s)
        candidates = {
            target.spec.name
            for target in pool.choice.all_candidates(request, now_s)
        }
        stuck_at = pool.targets_where_stuck(request.entry, now_s)
        due = pool.names_due_for_floor(now_s)
        obstacle = self._obstacle(request, now_s)
        rows = []
        for target in pool.targets.values():
            cost = pool.choice.cost(target, request, now_s)
            is_candidate = target.spec.name in candidates
            verdict, reason = (
                self._judge(target, request, due, obstacle, now_s)
                if is_candidate
                else self._unavailable(target, request, stuck_at, now_s)
            )
            is_chosen = chosen is not None and chosen[0] is target
            rows.append(
                (
                    (not is_chosen, not is_candidate, verdict.value, cost),
                    self._candidate(
                        target, request, cost, verdict, reason, now_s
                    ),
                )
            )
        rows.sort(key=lambda row: row[0])
        return Preview(
            reply=self._reply(request, chosen, obstacle, now_s),
            queued=self.queue_length(),
            candidates=tuple(candidate for _, candidate in rows),
        )

    def _candidate(
        self,
        target: TargetState,
        request: SlotRequest,
        cost: float,
        verdict: Verdict,
        reason: str,
        now_s: float,
    ) -> Candidate:
        return Candidate(
            target=target.spec.name,
            data_centre=target.spec.data_centre,
            slots=target.spec.slots,
            in_flight=len(target.in_flight),
            risk=self.pool.failure_risk(target, now_s),
            work_s=self.pool.expected_work_s(target, request, now_s),
            remaining_s=expected_remaining_s(target, now_s),
            cost=cost,
            verdict=verdict,
            reason=reason,
        )

    def _reply(
        self,
        request: SlotRequest,
        chosen: tuple[TargetState, float] | None,
        obstacle: str,
        now_s: float,
    ) -> SlotReply:
        """Return what `request_slot` would return."""
        if not self.pool.has_open_target(request.avoided_targets):
            return refuse_without_target(request, self.pool)
        risk_limit = risk_accepted(request, 0.0)
        ahead = self._count_ahead(request)
        wait_s = self._expected_wait_s(request, ahead, now_s)
        limit_s = min(request.left_s, self._queue_limit_s(request, ahead))
        is_late = wait_s + MIN_WORK_SHARE * self._mean_exchange_s > limit_s
        if is_late and not ahead:
            risk_limit = max(risk_limit, LAST_RESORT_RISK)
        if chosen is not None and not obstacle and chosen[1] <= risk_limit:
            target, risk = chosen
            return Grant(
                ticket=request.ticket,
                target=target.spec.name,
                address='',
                hedge_after_s=0.0,
                risk=risk,
            )
        if not is_late:
            return Queued(ticket=request.ticket, expected_wait_s=wait_s)
        if self.pool.pause_left_s(request, now_s) > 0:
            return refuse(request, wait_s, 'all targets asked for a pause')
        return refuse(request, wait_s, 'no slot in time')

    def _obstacle(self, request: SlotRequest, now_s: float) -> str:
        """Return why the request may take no free slot, empty if it may."""
        ahead = self._count_ahead(request)
        if ahead and not request.idempotent:
            return f'{ahead} queued requests go ahead'
        if not self._order.may_take_slot(
            request, None, self._waits, self._mean_exchange_s, now_s
        ):
            return 'free slots are reserved for more urgent requests'
        return ''

    def _judge(
        self,
        target: TargetState,
        request: SlotRequest,
        due: set[str],
        obstacle: str,
        now_s: float,
    ) -> Judgement:
        """Return what the request would get at a target that may serve it."""
        limit = risk_accepted(request, 0.0)
        if obstacle:
            return Verdict.WAIT, obstacle
        if self.pool.failure_risk(target, now_s) > limit:
            return (
                Verdict.WAIT,
                f'the request accepts a risk of {limit:.2f} at once',
            )
        if target.spec.name in due:
            return Verdict.GRANT, 'had no request lately, so it goes first'
        return Verdict.GRANT, 'free'

    def _unavailable(
        self,
        target: TargetState,
        request: SlotRequest,
        stuck_at: set[str],
        now_s: float,
    ) -> Judgement:
        """Return why a target is no candidate for the request."""
        pool, spec = self.pool, target.spec
        if spec.draining:
            return Verdict.REFUSE, 'drains'
        if not target.is_open():
            return Verdict.REFUSE, 'is about to stop or was replaced'
        if not target.has_free_slot():
            return Verdict.WAIT, f'all {spec.slots} slots are in use'
        if not pool.rate_limits.allows(spec.name, now_s):
            return Verdict.WAIT, 'the rate limit that it names is used up'
        if pool.withheld.pause_left_s(spec, request.entry, now_s):
            return Verdict.WAIT, 'it asked the entry for a pause'
        if spec.name in stuck_at:
            return Verdict.WAIT, 'a request of the entry is stuck there'
        if target.avoided_until_s.get(request.entry, 0.0) > now_s:
            return Verdict.WAIT, 'it failed the entry a short time ago'
        return Verdict.WAIT, 'others had no request lately and go first'


def _copy_order(order: ArrivalOrder) -> ArrivalOrder:
    """Return an order in which reading the share of a customer adds none."""
    if not isinstance(order, ShareOrder):
        return order
    shares = evolve(order.shares, levels=dict(order.shares._levels))
    return evolve(order, shares=shares)
