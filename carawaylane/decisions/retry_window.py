"""Attempts of one entry at a service over a sliding window."""

from __future__ import annotations

from collections import deque

from attrs import Factory, define

from carawaylane.messages.dispatch import AttemptCounts


@define(kw_only=True)
class RetryWindow:
    """First attempts and retries of the last `window_s` seconds."""

    window_s: float
    _first_times_s: deque[float] = Factory(deque)
    _retry_times_s: deque[float] = Factory(deque)

    def record_first_attempt(self, now_s: float) -> None:
        """Count the first attempt of a request."""
        self._first_times_s.append(now_s)

    def record_retry(self, now_s: float) -> None:
        """Count a retry that is sent."""
        self._retry_times_s.append(now_s)

    def counts(self, now_s: float) -> AttemptCounts:
        """Return the counts of the window that ends now."""
        for times in (self._first_times_s, self._retry_times_s):
            while times and times[0] <= now_s - self.window_s:
                times.popleft()
        return AttemptCounts(
            first_attempts=len(self._first_times_s),
            retries=len(self._retry_times_s),
        )
