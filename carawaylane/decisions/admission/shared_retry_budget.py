"""Retry budget of a service that all entries and homes share.

Each entry counts its own first attempts and retries by the home that decided
on them, and reports the counts with each slot request. A home adds up the
reports. Two limits hold for each retry:

- All attempts of the entries that ask the home, so that a home that replaces
  another one knows what has been spent.
- The attempts that this home decided on. They are disjoint from those of other
  homes, so that homes beside each other do not spend the same budget.
"""

from __future__ import annotations

from copy import copy

from attrs import Factory, define, evolve, frozen

from carawaylane.decisions.admission.whole_retry_budget import (
    WholeRetryBudget,
)
from carawaylane.messages.dispatch import AttemptCounts, AttemptReport

# Shares of the budget that homes spend. The rest covers retries that are not
# yet in the reports while several homes grant.
SLACK_SHARE = 0.7
RATIO_SHARE = 0.9
# A report that arrives within this time after a grant may have been sent
# before it. An entry waits no longer than this for a home's first reply.
REPORT_LAG_S = 0.25


@frozen(kw_only=True, eq=False, repr=False)
class RetryUsage:
    """First attempts and retries in the window, and how many it allows."""

    first_attempts: float
    retries: int
    limit: float

    @property
    def allows_retry(self) -> bool:
        """Whether one more retry is within the limit."""
        return self.retries + 1 <= self.limit


@define(kw_only=True, eq=False, repr=False)
class _EntryReport:
    """Latest report of an entry, and when it was granted retries since."""

    at_s: float
    report: AttemptReport = AttemptReport()
    granted_at_s: list[float] = Factory(list)


@define(kw_only=True, eq=False, repr=False)
class _AttemptSum:
    """Sum of the counts of entries.

    The first attempts of an entry that does not report again leave the window
    one by one. They are taken to be spread evenly over it.
    """

    window_s: float
    retries: int = 0
    _first_attempts: int = 0
    # Sum of first attempts, each multiplied by the time of its report.
    _first_attempts_by_time: float = 0.0

    def add(
        self, counts: AttemptCounts, granted: int, at_s: float, sign: int
    ) -> None:
        """Add the counts of an entry, or remove them with a `sign` of -1."""
        self.retries += sign * (counts.retries + granted)
        self._first_attempts += sign * counts.first_attempts
        self._first_attempts_by_time += sign * counts.first_attempts * at_s

    def first_attempts(self, now_s: float) -> float:
        """Return the first attempts that are still in the window."""
        age_sum = now_s * self._first_attempts - self._first_attempts_by_time
        return max(0.0, self._first_attempts - age_sum / self.window_s)


@define(kw_only=True, eq=False, repr=False)
class SharedRetryBudget:
    """Allows retries in proportion to first attempts, plus a constant.

    `ratio` is the number of retries per first attempt, `slack` the constant.
    A home spends the part of `slack` that corresponds to the share of the
    entries that ask it: `members` is the number of all entries.
    """

    window_s: float
    ratio: float
    slack: int
    members: int = 1
    # By entry, the oldest report first.
    _reports: dict[str, _EntryReport] = Factory(dict)
    _total: _AttemptSum = Factory(
        lambda self: _AttemptSum(window_s=self.window_s), takes_self=True
    )
    _at_home: _AttemptSum = Factory(
        lambda self: _AttemptSum(window_s=self.window_s), takes_self=True
    )
    _whole: WholeRetryBudget = Factory(
        lambda self: WholeRetryBudget(
            window_s=self.window_s, ratio=self.ratio, slack=self.slack
        ),
        takes_self=True,
    )

    def snapshot(self) -> SharedRetryBudget:
        """Return a copy, of which reading the usage changes nothing here."""
        return evolve(
            self,
            reports=dict(self._reports),
            total=copy(self._total),
            at_home=copy(self._at_home),
        )

    def record_report(
        self, entry: str, report: AttemptReport, now_s: float
    ) -> None:
        """Replace the counts of an entry."""
        self._whole.record_report(entry, report, now_s)
        previous = self._remove(entry)
        granted_at_s = [
            at_s
            for at_s in (previous.granted_at_s if previous else ())
            if at_s > now_s - REPORT_LAG_S
        ]
        self._add(
            entry,
            _EntryReport(at_s=now_s, report=report, granted_at_s=granted_at_s),
        )

    def record_first_attempt(self, now_s: float) -> None:
        """Count a first attempt that this home decides on."""
        self._whole.record_first_attempt(now_s)

    def record_retry(self, entry: str, now_s: float) -> None:
        """Count a retry that is granted to an entry."""
        self._whole.record_retry(entry, now_s)
        entry_report = self._reports.get(entry)
        if entry_report is None:
            entry_report = _EntryReport(at_s=now_s)
            self._add(entry, entry_report)
        self._add_to_sums(entry_report, -1)
        entry_report.granted_at_s.append(now_s)
        self._add_to_sums(entry_report, 1)

    def allows_retry(self, now_s: float) -> bool:
        """Return whether one more retry is within both limits."""
        return (
            self.total_usage(now_s).allows_retry
            and self.home_usage(now_s).allows_retry
        )

    def is_asked_by_one(self, now_s: float) -> bool:
        """Return whether one entry of several decides alone."""
        self._expire_reports(now_s - self.window_s)
        return len(self._reports) <= 1 < self.members

    def whole_usage(self, now_s: float) -> RetryUsage:
        """Return the attempts that this home knows of, and the whole limit.

        It is in force while targets shed; otherwise the shares of the budget
        are, which leave room for reports that are on their way.
        """
        self._share_of_entries(now_s)
        first_attempts = self._total.first_attempts(now_s)
        retries = self._whole.retries(now_s)
        left = self._whole.left(first_attempts, self.members, now_s)
        return RetryUsage(
            first_attempts=first_attempts,
            retries=retries,
            limit=retries + left,
        )

    def total_usage(self, now_s: float) -> RetryUsage:
        """Return the attempts of the entries that ask this home."""
        share = self._share_of_entries(now_s)
        return self._usage(self._total, share, now_s)

    def home_usage(self, now_s: float) -> RetryUsage:
        """Return the attempts that this home decided on."""
        return self._usage(self._at_home, self.home_share(now_s), now_s)

    def home_share(self, now_s: float) -> float:
        """Return the share of the attempts that this home decided on.

        The shares of all homes add up to at most 1.
        """
        share = self._share_of_entries(now_s)
        total = self._total.first_attempts(now_s)
        if total > 0:
            share *= self._at_home.first_attempts(now_s) / total
        return share

    def _usage(
        self, attempts: _AttemptSum, slack_share: float, now_s: float
    ) -> RetryUsage:
        first_attempts = attempts.first_attempts(now_s)
        return RetryUsage(
            first_attempts=first_attempts,
            retries=attempts.retries,
            limit=self.ratio * RATIO_SHARE * first_attempts
            + self.slack * SLACK_SHARE * slack_share,
        )

    def _share_of_entries(self, now_s: float) -> float:
        """Return the share of the members that asked within the window."""
        self._expire_reports(now_s - self.window_s)
        return min(1.0, len(self._reports) / max(1, self.members))

    def _expire_reports(self, since_s: float) -> None:
        """Drop older reports, but not the retries granted since."""
        while self._reports:
            entry, oldest = next(iter(self._reports.items()))
            if oldest.at_s > since_s:
                return
            self._remove(entry)
            granted_at_s = [
                at_s for at_s in oldest.granted_at_s if at_s > since_s
            ]
            if granted_at_s:
                self._add(
                    entry,
                    _EntryReport(
                        at_s=granted_at_s[-1], granted_at_s=granted_at_s
                    ),
                )

    def _add(self, entry: str, entry_report: _EntryReport) -> None:
        self._reports[entry] = entry_report
        self._add_to_sums(entry_report, 1)

    def _remove(self, entry: str) -> _EntryReport | None:
        entry_report = self._reports.pop(entry, None)
        if entry_report is not None:
            self._add_to_sums(entry_report, -1)
        return entry_report

    def _add_to_sums(self, entry_report: _EntryReport, sign: int) -> None:
        granted = len(entry_report.granted_at_s)
        at_s = entry_report.at_s
        report = entry_report.report
        self._total.add(report.total, granted, at_s, sign)
        self._at_home.add(report.at_home, granted, at_s, sign)
