"""The attempts at a service that a home decided on, by the time of each.

It is built for services whose targets shed half of what they receive: within
seconds, second attempts reach the bound of the operators. The bound holds for
each window, so retries of the last seconds may be covered only by first
attempts of the same seconds: whatever the window will be that ends later, its
first attempts must cover its retries.
"""

from __future__ import annotations

from collections import Counter, deque

from attrs import Factory, define

# Width of the bins that attempts are counted in.
BIN_S = 0.1


@define(kw_only=True, repr=False)
class _Bin:
    started_at_s: float
    first_attempts: int = 0
    retries: int = 0


@define(kw_only=True, repr=False)
class HomeAttempts:
    """First attempts and retries of a sliding window at one home.

    The debt is the largest number by which the retries of a part of the
    window, up to now, exceed `ratio` times the first attempts of that part.
    """

    window_s: float
    ratio: float
    _debt: float = 0.0
    # When older bins were last taken from the debt.
    _forgiven_at_s: float = 0.0
    _bins: deque[_Bin] = Factory(deque)
    # Retries granted in the window: when, and to which entry.
    _granted: deque[tuple[float, str]] = Factory(deque)
    _granted_to: Counter[str] = Factory(Counter)

    def record_first_attempt(self, now_s: float) -> None:
        """Count a first attempt that this home decides on."""
        self._bin(now_s).first_attempts += 1
        self._debt = max(0.0, self._debt - self.ratio)

    def record_retry(self, entry: str, now_s: float) -> None:
        """Count a retry that is granted to an entry."""
        self._granted.append((now_s, entry))
        self._granted_to[entry] += 1
        self.add_retries(1, now_s)

    def add_retries(self, retries: int, now_s: float) -> None:
        """Count retries that an earlier run of the home has granted."""
        if retries:
            self._bin(now_s).retries += retries
            self._debt += retries

    def first_attempts(self, now_s: float) -> int:
        """Return the first attempts of the whole bins of the window."""
        return sum(
            counted.first_attempts
            for counted in self._bins
            if counted.started_at_s >= now_s - self.window_s
        )

    def granted(self, now_s: float) -> int:
        """Return the retries of the window that this run has granted."""
        while self._granted and self._granted[0][0] <= now_s - self.window_s:
            _, entry = self._granted.popleft()
            self._granted_to[entry] -= 1
            if not self._granted_to[entry]:
                del self._granted_to[entry]
        return len(self._granted)

    def granted_to(self, entry: str, now_s: float) -> int:
        """Return the retries of the window that an entry was granted."""
        self.granted(now_s)
        return self._granted_to.get(entry, 0)

    def debt(self, now_s: float) -> float:
        """Return the retries that first attempts do not cover."""
        if self._debt and now_s - self._forgiven_at_s >= BIN_S:
            self._forgiven_at_s = now_s
            self._debt = min(self._debt, self._debt_of_window(now_s))
        return self._debt

    def _debt_of_window(self, now_s: float) -> float:
        """Return at least the debt without what has left the window.

        A part of the window may begin within a bin, after the first attempts
        of the bin and before its retries.
        """
        while (
            self._bins
            and self._bins[0].started_at_s + BIN_S <= now_s - self.window_s
        ):
            self._bins.popleft()
        debt = balance = 0.0
        for counted in reversed(self._bins):
            debt = max(debt, balance + counted.retries)
            balance += counted.retries - self.ratio * counted.first_attempts
        return debt

    def _bin(self, now_s: float) -> _Bin:
        if not self._bins or now_s - self._bins[-1].started_at_s >= BIN_S:
            self._bins.append(_Bin(started_at_s=now_s))
            # A little more than a window, also if no retry is asked for.
            while self._bins[0].started_at_s < now_s - self.window_s - BIN_S:
                self._bins.popleft()
        return self._bins[-1]
