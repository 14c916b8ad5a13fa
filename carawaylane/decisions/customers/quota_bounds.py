"""The bound on the requests of a customer, and the parts of its slack."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from carawaylane.messages.quotas import Limits

# Shares of the slack of the bound. The capacity covers customers whose
# requests are not evenly spaced. The advances cover the time until the right
# of an entry that moved may be used, and a second move soon after the first;
# an entry that has just started gets less, since it may have been started
# more than once in a window.
CAPACITY_SHARE = 0.15
ADVANCE_SHARE = 0.45
SECOND_ADVANCE_SHARE = 0.1
START_ADVANCE_SHARE = 0.1
# A request that waits no longer than this between its admission and its run
# counts as run at its admission. The rate of this time is a tenth of what the
# rate adds to the slack, which no other part uses.
UNREPORTED_WAIT_S = 0.05


@frozen(kw_only=True, repr=False)
class QuotaBounds:
    """How far the requests of a customer may exceed its limit in a window."""

    window_s: float
    overshoot: float
    slack: float

    def slack_of(self, limits: Limits) -> float:
        """Return the requests by which a window may exceed the limit."""
        return self.limit(limits) * self.overshoot + self.slack

    def limit(self, limits: Limits) -> float:
        """Return the requests of a window that the limit allows."""
        return limits.rate_per_s * self.window_s + limits.burst

    def capacity(self, limits: Limits) -> float:
        """Return the capacity of the bucket of a customer, for all homes."""
        return limits.burst + CAPACITY_SHARE * self.slack_of(limits)
