"""Retry budget of a service over a sliding window."""

from __future__ import annotations

from collections import deque

from attrs import Factory, define, frozen

# Shares of the budget that this home spends. It knows only its own retries;
# its predecessor or a partitioned node may have spent the rest in the window.
SLACK_SHARE = 0.7
RATIO_SHARE = 0.9


@frozen(kw_only=True)
class RetryUsage:
    """First attempts and retries in the window, and how many it allows."""

    first_attempts: int
    retries: int
    limit: float


@define(kw_only=True)
class RetryWindow:
    """Allows retries in proportion to first attempts, plus a constant.

    `ratio` is the number of retries per first attempt, `slack` the constant.
    """

    window_s: float
    ratio: float
    slack: int
    _first_times_s: deque[float] = Factory(deque)
    _retry_times_s: deque[float] = Factory(deque)

    def record_first_attempt(self, now_s: float) -> None:
        """Count the first attempt of a request."""
        self._first_times_s.append(now_s)

    def allows_retry(self, now_s: float) -> bool:
        """Return whether one more retry is within the budget."""
        usage = self.usage(now_s)
        return usage.retries + 1 <= usage.limit

    def usage(self, now_s: float) -> RetryUsage:
        """Return how much of the budget is in use."""
        for times in (self._first_times_s, self._retry_times_s):
            while times and times[0] <= now_s - self.window_s:
                times.popleft()
        return RetryUsage(
            first_attempts=len(self._first_times_s),
            retries=len(self._retry_times_s),
            limit=self.ratio * RATIO_SHARE * len(self._first_times_s)
            + self.slack * SLACK_SHARE,
        )

    def record_retry(self, now_s: float) -> None:
        """Count a retry that is sent."""
        self._retry_times_s.append(now_s)
