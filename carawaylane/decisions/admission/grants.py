"""Grants of slots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaylane.decisions.placement.hedge_delay import hedge_delay_s
from carawaylane.messages.dispatch import Grant

if TYPE_CHECKING:
    from carawaylane.decisions.placement.target_pool import TargetPool
    from carawaylane.decisions.placement.target_state import TargetState
    from carawaylane.messages.dispatch import SlotRequest


def grant_slot(
    pool: TargetPool,
    target: TargetState,
    request: SlotRequest,
    risk: float,
    now_s: float,
) -> Grant:
    """Give a request a slot on a target that fails with some risk."""
    target.estimate.last_sent_s = now_s
    pool.floor.record_sent(now_s)
    hedge_after_s = hedge_delay_s(pool.latency_model(request), risk)
    pool.add_in_flight(target, request, now_s, hedge_after_s)
    return Grant(
        ticket=request.ticket,
        target=target.spec.name,
        address=target.spec.address,
        hedge_after_s=hedge_after_s,
        risk=risk,
    )
