"""The tokens and the requests of one customer at a quota home."""

from __future__ import annotations

from attrs import define, frozen

from carawaylane.decisions.customers.run_log import SlidingCount
from carawaylane.messages.quotas import Limits


@frozen(kw_only=True, repr=False)
class QuotaUsage:
    """Requests of a customer in a window, and its limit."""

    customer: str
    admitted: int
    limit: float


@define(kw_only=True, repr=False)
class QuotaBucket:
    """Tokens of a customer; one is taken for each request.

    `seen_fill` is the value of the home's fill at the last update.
    """

    limits: Limits
    # Requests that ran in the last window, and those of them that were
    # admitted from an advance.
    runs: SlidingCount
    advances: SlidingCount
    level: float = 0.0
    seen_fill: float = 0.0
    # When the level was cut to the capacity last.
    full_at_s: float = float('-inf')
    # What was spent of the advances of a period without a gap between them.
    advance_period: int = 0
    advance_spent: float = 0.0
    # Until when requests that waited before they ran may be in the window. The
    # level alone doesn't bound the requests of the window then.
    check_runs_until_s: float = float('-inf')
    # When the caller that was refused last was told to come back.
    promised_at_s: float = 0.0
    # Requests admitted in the present and the last window.
    admitted: int = 0
    admitted_before: int = 0
    window: int = 0

    def roll_window(self, now_s: float, window_s: float) -> None:
        """Start a new window of the requests that are shown to operators."""
        window = int(now_s / window_s)
        if window == self.window:
            return
        follows = window == self.window + 1
        self.admitted_before = self.admitted if follows else 0
        self.admitted = 0
        self.window = window

    def admitted_lately(self, now_s: float, window_s: float) -> int:
        """Return about how many requests the last window_s had admitted."""
        left_share = 1 - now_s / window_s % 1
        return self.admitted + round(left_share * self.admitted_before)
