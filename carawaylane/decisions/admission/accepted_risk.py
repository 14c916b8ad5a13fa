"""Which risk of a failing target a request accepts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaylane.messages.dispatch import AttemptKind

if TYPE_CHECKING:
    from carawaylane.messages.dispatch import SlotRequest

# A request accepts this risk at once. The accepted risk then rises with the
# waiting time and reaches 1 after SELECTIVE_SHARE of the latency objective.
# IMMEDIATE_RISK is above STATIONARY_RISK, the estimate for a target without
# recent requests.
IMMEDIATE_RISK = 0.32
IMMEDIATE_RISK_IDEMPOTENT = 0.5
SELECTIVE_SHARE = 0.3
# A request that would otherwise be refused accepts this risk; about every
# second one is still served.
LAST_RESORT_RISK = 0.7
MAX_HEDGE_RISK = 0.6


def risk_accepted(request: SlotRequest, waited_s: float) -> float:
    """Return the risk that a request accepts after a wait."""
    if request.attempt is AttemptKind.HEDGE:
        return MAX_HEDGE_RISK
    immediate = IMMEDIATE_RISK
    if request.idempotent:
        immediate = IMMEDIATE_RISK_IDEMPOTENT
    share = waited_s / (SELECTIVE_SHARE * request.objective_s)
    return immediate + share * (1 - immediate)
