"""The floor: the share of a service's targets that stays in use.

The load this answers: a busy service whose targets fail gray. Whoever sends
only to the best of them soon knows nothing of the others, and once a part of
its work is lost at a stroke, healthy targets have stood idle.
"""

from __future__ import annotations

from collections import deque

from attrs import Factory, define

# The users' window of the floor, in which its share of the targets gets
# some work.
WINDOW_S = 2.0
# Just below the tenth of lost requests at which the users' rule binds.
LOSS_SHARE = 0.09
LOSS_MIN = 4
# Requests for each target in the window from which on it always binds; with
# fewer, tries would take most of the traffic from the best targets.
BUSY = 1.5
# A target is tried again after this, so that a second try still falls into
# the window.
UNTRIED_S = 1.3
# A target counts towards the floor below this chance of failing: the second
# while a share of the requests is lost, when the users' rule binds, too.
RISK, RISK_LOSING = 0.6, 0.75
# Beyond the floor's share: a target thought failing may be sound.
MARGIN = 0.15


@define(kw_only=True)
class Floor:
    """Whether more targets of a service should get work than chosen."""

    # The users' share of the sound targets.
    share: float
    _sent: deque[float] = Factory(deque)
    _ended: deque[tuple[float, bool]] = Factory(deque)
    _lost: int = 0

    def sent(self, now_s: float) -> None:
        """Note that a target got a request."""
        self._sent.append(now_s)

    def ended(self, now_s: float, *, lost: bool) -> None:
        """Note that a request ended."""
        self._ended.append((now_s, lost))
        self._lost += lost

    def risk_limit(self, now_s: float, targets: int, stuck: int) -> float:
        """Return the risk below which targets are tried; 0 tries none.

        With enough traffic some always are: what is open when much fails at
        once is lost, too, so to wait for losses is too late.
        """
        since_s = now_s - WINDOW_S
        while self._sent and self._sent[0] < since_s:
            self._sent.popleft()
        while self._ended and self._ended[0][0] < since_s:
            self._lost -= self._ended.popleft()[1]
        total = len(self._ended) + stuck
        if self._lost + stuck >= max(LOSS_MIN, LOSS_SHARE * total):
            return RISK_LOSING
        return RISK if len(self._sent) >= BUSY * targets else 0.0

    def met(self, well: int, untried: int) -> bool:
        """Return whether enough of the well targets have been tried."""
        return untried <= (1 - self.share - MARGIN) * well
