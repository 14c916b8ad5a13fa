"""Attempts of one entry at a service over a sliding window."""

from __future__ import annotations

from collections import deque

from attrs import Factory, define

from carawaylane.messages.dispatch import AttemptCounts, AttemptReport


@define(kw_only=True, eq=False, repr=False)
class _HomeWindow:
    """Times of the attempts for which one home decided."""

    first_times_s: deque[float] = Factory(deque)
    retry_times_s: deque[float] = Factory(deque)

    def drop_before(self, since_s: float) -> None:
        for times in (self.first_times_s, self.retry_times_s):
            while times and times[0] <= since_s:
                times.popleft()

    def counts(self) -> AttemptCounts:
        return AttemptCounts(
            first_attempts=len(self.first_times_s),
            retries=len(self.retry_times_s),
        )


@define(kw_only=True, eq=False, repr=False)
class RetryWindow:
    """First attempts and retries of the last `window_s` seconds, by home."""

    window_s: float
    _by_home: dict[str, _HomeWindow] = Factory(dict)

    def record_first_attempt(self, home: str, now_s: float) -> None:
        """Count the first attempt of a request that a home decided on."""
        self._home_window(home).first_times_s.append(now_s)

    def record_retry(self, home: str, now_s: float) -> None:
        """Count a retry that a home granted."""
        self._home_window(home).retry_times_s.append(now_s)

    def report_to(self, home: str, now_s: float) -> AttemptReport:
        """Return the counts of the window that ends now, for a home."""
        first_attempts = retries = 0
        at_home = AttemptCounts()
        for name, window in list(self._by_home.items()):
            window.drop_before(now_s - self.window_s)
            counts = window.counts()
            if not counts.first_attempts and not counts.retries:
                del self._by_home[name]
            first_attempts += counts.first_attempts
            retries += counts.retries
            if name == home:
                at_home = counts
        return AttemptReport(
            total=AttemptCounts(
                first_attempts=first_attempts, retries=retries
            ),
            at_home=at_home,
        )

    def _home_window(self, home: str) -> _HomeWindow:
        return self._by_home.setdefault(home, _HomeWindow())
