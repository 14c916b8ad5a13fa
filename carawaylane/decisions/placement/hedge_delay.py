"""When a second attempt is sent while the first one has no answer."""

from __future__ import annotations

from statistics import NormalDist
from typing import TYPE_CHECKING

from carawaylane.decisions.placement.failure_estimate import (
    FAILING_LOSS_SHARE,
)

if TYPE_CHECKING:
    from carawaylane.decisions.placement.failure_estimate import LatencyModel

# A hedge is due once the target more likely hangs than not. The share of a
# healthy target's answers that take longer than the delay is at most 0.4, so
# that hedges are not too early, and at least 0.08, so that they are not too
# late for the answer to be in time.
MAX_UNANSWERED_SHARE, MIN_UNANSWERED_SHARE = 0.4, 0.08


def hedge_delay_s(model: LatencyModel, risk: float) -> float:
    """Return the age at which the target more likely hangs than not."""
    odds = (1 - risk) / risk
    hang_share = model.hang_share
    share = (FAILING_LOSS_SHARE - odds * hang_share) / max(
        0.01, odds * (1 - hang_share) - (1 - FAILING_LOSS_SHARE)
    )
    if odds * (1 - hang_share) <= 1 - FAILING_LOSS_SHARE:
        share = MAX_UNANSWERED_SHARE
    share = max(MIN_UNANSWERED_SHARE, min(MAX_UNANSWERED_SHARE, share))
    z = NormalDist().inv_cdf(1 - share)
    return model.quantile_s(z)
