"""How many requests of a customer may run in a window at a quota home."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaylane.decisions.customers.run_log import STEP_S

if TYPE_CHECKING:
    from carawaylane.decisions.customers.quota_bucket import QuotaBucket
    from carawaylane.decisions.customers.run_log import ShareHistory

# Sums of fractions may be a little less than a whole token.
WHOLE_TOKEN = 1 - 1e-6


def lacking_tokens(
    bucket: QuotaBucket,
    *,
    capacity: float,
    fill: float,
    history: ShareHistory,
    now_s: float,
) -> float:
    """Return what must be filled in before one more request may run.

    0 if it may run now. From no time of the window on may more run than the
    capacity of that time, what was filled in, and what was spent of advances.
    The whole window alone is not enough: a right may move to another home.
    `capacity` is that of all homes, `fill` the integral of the home's share.
    """
    if now_s >= bucket.check_runs_until_s:
        return 0.0
    bucket.runs.expire(now_s)
    times = [(at_s, bucket.runs.since(at_s)) for at_s in history.starts(now_s)]
    times += bucket.runs.backwards(now_s)
    lacking = 0.0
    for at_s, ran in times:
        share, fill_before = history.at(at_s)
        allowed = (
            share * capacity
            + (fill - fill_before) * bucket.limits.rate_per_s
            + bucket.advances.since(at_s - STEP_S)
        )
        lacking = max(lacking, ran + WHOLE_TOKEN - allowed)
    return lacking
