"""When requests of a customer ran, and which share of the rights was lent."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

if TYPE_CHECKING:
    from collections.abc import Iterator

# Requests are counted in steps of this time. A window is rounded up to whole
# steps, so its bound is never exceeded.
STEP_MS = 50
STEP_S = STEP_MS / 1000


def step_of(at_s: float) -> int:
    """Return the step that a time of the home's clock is in."""
    return int(at_s * 1000) // STEP_MS


@define(kw_only=True, repr=False)
class SlidingCount:
    """Counts events of the last window.

    Load: each request of a customer; holds an entry for each step in which
    there was one, 101 at most for a window of 5 s.
    """

    window_s: float
    total: int = 0
    # Steps and the events in them, the oldest first.
    _steps: deque[list[int]] = Factory(deque)

    def add(self, now_s: float) -> None:
        """Count an event."""
        step = step_of(now_s)
        if self._steps and self._steps[-1][0] == step:
            self._steps[-1][1] += 1
        else:
            self.expire(now_s)
            self._steps.append([step, 1])
        self.total += 1

    def remove(self, at_ms: int) -> None:
        """Remove an event that was counted at a time, if it still is."""
        step = at_ms // STEP_MS
        for entry in self._steps:
            if entry[0] == step and entry[1]:
                entry[1] -= 1
                self.total -= 1
                return

    def since(self, at_s: float) -> int:
        """Return the events of steps that end after a time."""
        first = step_of(at_s)
        return sum(count for step, count in self._steps if step >= first)

    def backwards(self, now_s: float) -> Iterator[tuple[float, int]]:
        """Yield the end of each step or now, and events since its start."""
        total = 0
        for step, count in reversed(self._steps):
            total += count
            if count:
                yield min(now_s, (step + 1) * STEP_S), total

    def expire(self, now_s: float) -> None:
        """Forget the events before the window that ends now."""
        first = step_of(now_s - self.window_s)
        while self._steps and self._steps[0][0] < first:
            self.total -= self._steps.popleft()[1]


@frozen(kw_only=True, repr=False)
class _Change:
    """The share of the rights from a time on, and the fill until then."""

    at_s: float
    share: float
    fill: float


@define(kw_only=True, repr=False)
class ShareHistory:
    """The share of the rights of a home in the last window.

    Load: one entry for each change of the share, which is at most one each
    END_GRID_S and one for each loan that starts.
    """

    window_s: float
    _changes: deque[_Change] = Factory(deque)

    def record(self, now_s: float, share: float, fill: float) -> None:
        """Record the share from now on, and its integral until now."""
        start_s = now_s - self.window_s
        while len(self._changes) > 1 and self._changes[1].at_s <= start_s:
            self._changes.popleft()
        if self._changes and self._changes[-1].share == share:
            return
        self._changes.append(_Change(at_s=now_s, share=share, fill=fill))

    def starts(self, now_s: float) -> Iterator[float]:
        """Yield the start of the window, and the times of changes in it."""
        start_s = now_s - self.window_s
        yield start_s
        for change in self._changes:
            if change.at_s > start_s:
                # A moment before, when the share may have been smaller.
                yield change.at_s - 1e-6

    def at(self, time_s: float) -> tuple[float, float]:
        """Return the share at a time of the last window, and the fill."""
        found = _Change(at_s=time_s, share=0.0, fill=0.0)
        for change in self._changes:
            if change.at_s > time_s:
                # A loan that ended a moment before was taken off the fill.
                fill = found.fill + (time_s - found.at_s) * found.share
                return found.share, min(fill, change.fill)
            found = change
        fill = found.fill + (time_s - found.at_s) * found.share
        return found.share, fill
