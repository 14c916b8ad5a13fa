"""Budget of repeated sends of a service, over a sliding window."""

from __future__ import annotations

from collections import deque

from attrs import Factory, define

# The home of a service counts alone; its predecessor or a node that was
# cut off may have spent a share of the same window.
SLACK_SHARE = 0.7
RATIO_SHARE = 0.9


@define(kw_only=True)
class RetryWindow:
    """Allows repeats in proportion to first sends, plus a slack."""

    window_s: float
    ratio: float
    slack: int
    _firsts: deque[float] = Factory(deque)
    _repeats: deque[float] = Factory(deque)

    def first(self, now_s: float) -> None:
        """Count the first send of a request."""
        self._firsts.append(now_s)

    def fits(self, now_s: float) -> bool:
        """Return whether one more repeat fits."""
        for times in (self._firsts, self._repeats):
            while times and times[0] <= now_s - self.window_s:
                times.popleft()
        limit = (
            self.ratio * RATIO_SHARE * len(self._firsts)
            + self.slack * SLACK_SHARE
        )
        return len(self._repeats) + 1 <= limit

    def spend(self, now_s: float) -> None:
        """Count a repeat that is sent."""
        self._repeats.append(now_s)
