"""The floor: the minimum share of a service's targets that stays in use.

A dispatcher that sends only to the best targets soon has no recent results
from the others. When several of the best then fail at once, healthy targets
have been idle. The floor guards against this in a busy service whose targets
have gray failures: they lose requests while they appear to be healthy.
"""

from __future__ import annotations

from collections import deque

from attrs import Factory, define

# The required share of the targets must get a request within this time.
WINDOW_S = 2.0
# The floor is required once a tenth of the requests in the window are lost; it
# is applied just below that, but not for fewer lost requests than MIN_LOSSES.
LOSSY_SHARE = 0.09
MIN_LOSSES = 4
# With this many requests per target in the window the floor always applies.
# With fewer, it would take most of the traffic from the best targets.
BUSY_REQUESTS_PER_TARGET = 1.5
# A target without a request for this long is due for one. It is shorter than
# the window, so that a second request still falls into it.
UNTRIED_S = 1.3
# Targets below this failure probability count towards the floor. The higher
# limit applies while requests are lost, when the floor is required.
RISK_LIMIT, LOSSY_RISK_LIMIT = 0.6, 0.75
# Added to the required share, since a target that is estimated to be failing
# may be healthy.
SHARE_MARGIN = 0.15


@define(kw_only=True, eq=False, repr=False)
class UsageFloor:
    """Decides whether more targets of a service must get requests."""

    # Required share of the healthy targets.
    share: float
    _sent_times_s: deque[float] = Factory(deque)
    # When requests ended, and whether each was lost.
    _results: deque[tuple[float, bool]] = Factory(deque)
    _lost_count: int = 0

    def record_sent(self, now_s: float) -> None:
        """Record that a target got a request."""
        self._sent_times_s.append(now_s)

    def record_result(self, now_s: float, *, lost: bool) -> None:
        """Record that a request ended."""
        self._results.append((now_s, lost))
        self._lost_count += lost

    def risk_limit(self, now_s: float, targets: int, stuck: int) -> float:
        """Return the risk below which targets must get requests.

        Returns 0 if the floor does not apply. `stuck` is the number of
        requests in flight that are unanswered for an unusual time and count
        as lost. With enough traffic the floor always applies: when many
        targets fail at once, all requests in flight on them are lost, so it
        would be too late to apply it after losses.
        """
        since_s = now_s - WINDOW_S
        while self._sent_times_s and self._sent_times_s[0] < since_s:
            self._sent_times_s.popleft()
        while self._results and self._results[0][0] < since_s:
            self._lost_count -= self._results.popleft()[1]
        total = len(self._results) + stuck
        if self._lost_count + stuck >= max(MIN_LOSSES, LOSSY_SHARE * total):
            return LOSSY_RISK_LIMIT
        return (
            RISK_LIMIT
            if len(self._sent_times_s) >= BUSY_REQUESTS_PER_TARGET * targets
            else 0.0
        )

    def is_met(self, healthy: int, untried: int) -> bool:
        """Return whether enough healthy targets had a request lately.

        `untried` is the number of healthy targets that had none.
        """
        return untried <= (1 - self.share - SHARE_MARGIN) * healthy
