"""The whole retry budget of a service, for seconds in which targets shed.

It handles services whose targets shed half of what they receive, and whose
callers do not come back: each second attempt that the operators' bound allows
then counts, and none beyond it may be made, with one home or with several.

The bound is `ratio` times the first attempts plus `slack`. Each entry brings
an equal share of `slack`. A home has the part of it that corresponds to its
part of the entry's first attempts, so that the parts of all homes add up to 1.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

from carawaylane.decisions.admission.home_attempts import HomeAttempts

if TYPE_CHECKING:
    from carawaylane.messages.dispatch import AttemptReport

# A home has the share of an entry for this multiple of the mean time between
# its requests after the last one, within these limits. Fewer than one in a
# hundred entries that still ask the home are then left out.
HELD_GAPS = 5.0
MIN_HELD_S, MAX_HELD_S = 1.0, 5.0
# If more than this part of the attempts of the window was decided on by other
# homes, such as before a takeover, these shares of the budget are spent. The
# home does not know when those attempts were made, and what has been granted
# since the entries that have not asked it yet made their last reports.
MAX_OTHER_PART = 0.05
RATIO_SHARE, SLACK_SHARE = 0.9, 0.7
# The shares are added up once in this time.
SHARES_TTL_S = 0.1


@define(kw_only=True, repr=False)
class _EntryShare:
    """What an entry reported last."""

    at_s: float
    # Retries of the window that this run of the home has not granted: those
    # of other homes, and of an earlier run.
    other_retries: int = 0
    # Part of the entry's first attempts that this home decided on.
    part: float = 1.0


@define(kw_only=True, repr=False)
class WholeRetryBudget:
    """What a home may still spend of the budget that all homes share."""

    window_s: float
    ratio: float
    slack: int
    _attempts: HomeAttempts = Factory(
        lambda self: HomeAttempts(window_s=self.window_s, ratio=self.ratio),
        takes_self=True,
    )
    # By entry, the oldest report first.
    _entries: dict[str, _EntryShare] = Factory(dict)
    _other_retries: int = 0
    # Sum of the parts that this home has, their mean over all entries, and
    # when both were calculated.
    _held_parts: float = 0.0
    _mean_part: float = 1.0
    _parts_at_s: float = float('-inf')

    def record_report(
        self, entry: str, report: AttemptReport, now_s: float
    ) -> None:
        """Replace what an entry reported."""
        self._expire(now_s)
        previous = self._entries.pop(entry, None)
        granted = self._attempts.granted_to(entry, now_s)
        earlier = max(0, report.at_home.retries - granted)
        latest = _EntryShare(
            at_s=now_s,
            other_retries=earlier
            + report.total.retries
            - report.at_home.retries,
            part=_part_of(report),
        )
        if previous is None:
            self._attempts.add_retries(earlier, now_s)
        else:
            self._other_retries -= previous.other_retries
        self._other_retries += latest.other_retries
        self._entries[entry] = latest

    def record_first_attempt(self, now_s: float) -> None:
        """Count a first attempt that this home decides on."""
        self._attempts.record_first_attempt(now_s)

    def record_retry(self, entry: str, now_s: float) -> None:
        """Count a retry that is granted to an entry."""
        self._attempts.record_retry(entry, now_s)

    def retries(self, now_s: float) -> int:
        """Return all retries of the window that this home knows of."""
        self._expire(now_s)
        return self._attempts.granted(now_s) + self._other_retries

    def left(self, first_attempts: float, members: int, now_s: float) -> float:
        """Return how many retries this home may grant now.

        `first_attempts` are those of the entries that ask it, at any home.
        """
        self._expire(now_s)
        members = max(1, members)
        held_parts, mean_part = self._parts(now_s)
        ratio = self.ratio * first_attempts
        slack_of_all = self.slack * min(1.0, len(self._entries) / members)
        slack_here = self.slack * min(1.0, held_parts / members)
        if mean_part < 1 - MAX_OTHER_PART:
            ratio *= RATIO_SHARE
            slack_of_all *= SLACK_SHARE
            slack_here *= SLACK_SHARE
        left_of_all = ratio + slack_of_all - self.retries(now_s)
        left_here = slack_here - self._attempts.debt(now_s)
        return max(0.0, min(left_here, left_of_all))

    def _parts(self, now_s: float) -> tuple[float, float]:
        """Return the sum of the parts that this home has, and the mean."""
        if not 0 <= now_s - self._parts_at_s < SHARES_TTL_S:
            per_s = self._attempts.first_attempts(now_s) / self.window_s
            gap_s = len(self._entries) / max(1e-9, per_s)
            held_s = max(MIN_HELD_S, min(MAX_HELD_S, HELD_GAPS * gap_s))
            self._parts_at_s = now_s
            parts = [entry.part for entry in self._entries.values()]
            self._mean_part = sum(parts) / max(1, len(parts))
            self._held_parts = sum(
                entry.part
                for entry in self._entries.values()
                if entry.at_s >= now_s - held_s
            )
        return self._held_parts, self._mean_part

    def _expire(self, now_s: float) -> None:
        """Drop entries that have not asked for a window."""
        while self._entries:
            name, oldest = next(iter(self._entries.items()))
            if oldest.at_s > now_s - self.window_s:
                return
            del self._entries[name]
            self._other_retries -= oldest.other_retries


def _part_of(report: AttemptReport) -> float:
    """Return the part of an entry's attempts that a home decided on."""
    if report.total.first_attempts:
        return report.at_home.first_attempts / report.total.first_attempts
    return float(report.total == report.at_home)
