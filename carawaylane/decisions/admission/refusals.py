"""Refusals of requests for a slot, and when their callers may come back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaylane.messages.dispatch import Refusal

if TYPE_CHECKING:
    from random import Random

    from carawaylane.decisions.admission.quarantine import Quarantine
    from carawaylane.decisions.placement.target_pool import TargetPool
    from carawaylane.messages.dispatch import SlotRequest, Ticket

# Delays after which a refused caller is told to retry.
MIN_RETRY_AFTER_S = 0.05
NO_TARGET_RETRY_S = 0.5
RETRY_BUDGET_RETRY_S = 1.0
QUARANTINE_RETRY_S = 60.0
# Callers that are refused until a pause ends come back up to this share of it
# later, not all at once.
PAUSE_RETRY_SPREAD = 0.25


def refuse(request: SlotRequest, retry_after_s: float, reason: str) -> Refusal:
    """Return a refusal with at least the shortest retry delay."""
    return Refusal(
        ticket=request.ticket,
        retry_after_s=max(MIN_RETRY_AFTER_S, retry_after_s),
        reason=reason,
    )


def refuse_quarantined(ticket: Ticket) -> Refusal:
    """Return the refusal of a request that crashes targets."""
    return Refusal(
        ticket=ticket,
        retry_after_s=QUARANTINE_RETRY_S,
        reason='the request crashes targets',
    )


def refuse_without_target(request: SlotRequest, pool: TargetPool) -> Refusal:
    """Return the refusal if no target takes the request."""
    if pool.has_open_target():
        return refuse(request, 0.0, 'all targets were tried')
    reason = 'no target is known'
    if pool.targets:
        reason = 'all targets are leaving'
    return refuse(request, NO_TARGET_RETRY_S, reason)


def refuse_for_pause(
    request: SlotRequest, pause_left_s: float, rng: Random
) -> Refusal:
    """Return the refusal while all targets want nothing from an entry."""
    spread = 1 + PAUSE_RETRY_SPREAD * rng.random()
    return refuse(
        request, pause_left_s * spread, 'all targets asked for a pause'
    )


def immediate_refusal(
    request: SlotRequest,
    pool: TargetPool,
    quarantine: Quarantine,
    now_s: float,
) -> Refusal | None:
    """Return a refusal that does not depend on free slots, or None."""
    if request.digest and quarantine.contains(
        str(request.digest), int(now_s * 1000)
    ):
        return refuse_quarantined(request.ticket)
    if not pool.has_open_target(request.avoided_targets):
        return refuse_without_target(request, pool)
    return None
