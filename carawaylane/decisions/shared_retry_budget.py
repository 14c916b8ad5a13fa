"""Retry budget of a service that all entries and homes share.

Each entry counts its own first attempts and retries, whichever home granted
them, and reports the counts with each slot request. A home adds up the
reports, so that a home that replaces another one, or grants beside it, knows
what has been spent.
"""

from __future__ import annotations

from attrs import Factory, define, frozen

from carawaylane.messages.dispatch import AttemptCounts

# Shares of the budget that homes spend. The rest covers retries that are not
# yet in the reports while several homes grant.
SLACK_SHARE = 0.7
RATIO_SHARE = 0.9
# A report that arrives within this time after a grant may have been sent
# before it. An entry waits no longer than this for a home's first reply.
REPORT_LAG_S = 0.25


@frozen(kw_only=True)
class RetryUsage:
    """First attempts and retries in the window, and how many it allows."""

    first_attempts: int
    retries: int
    limit: float


@define(kw_only=True)
class _EntryReport:
    """Latest counts of an entry, and what it was granted since."""

    at_s: float
    counts: AttemptCounts
    granted_at_s: list[float] = Factory(list)

    @property
    def retries(self) -> int:
        return self.counts.retries + len(self.granted_at_s)


@define(kw_only=True)
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
    _first_attempts: int = 0
    _retries: int = 0

    def record_report(
        self, entry: str, counts: AttemptCounts, now_s: float
    ) -> None:
        """Replace the counts of an entry."""
        previous = self._remove(entry)
        granted_at_s = [
            at_s
            for at_s in (previous.granted_at_s if previous else ())
            if at_s > now_s - REPORT_LAG_S
        ]
        self._add(
            entry,
            _EntryReport(at_s=now_s, counts=counts, granted_at_s=granted_at_s),
        )

    def record_retry(self, entry: str, now_s: float) -> None:
        """Count a retry that is granted to an entry."""
        report = self._remove(entry) or _EntryReport(
            at_s=now_s, counts=AttemptCounts()
        )
        report.at_s = now_s
        report.granted_at_s.append(now_s)
        self._add(entry, report)

    def allows_retry(self, now_s: float) -> bool:
        """Return whether one more retry is within the budget."""
        usage = self.usage(now_s)
        return usage.retries + 1 <= usage.limit

    def usage(self, now_s: float) -> RetryUsage:
        """Return how much of the budget the entries have used."""
        while self._reports:
            entry, oldest = next(iter(self._reports.items()))
            if oldest.at_s > now_s - self.window_s:
                break
            self._remove(entry)
        share = min(1.0, len(self._reports) / max(1, self.members))
        return RetryUsage(
            first_attempts=self._first_attempts,
            retries=self._retries,
            limit=self.ratio * RATIO_SHARE * self._first_attempts
            + self.slack * SLACK_SHARE * share,
        )

    def _add(self, entry: str, report: _EntryReport) -> None:
        self._reports[entry] = report
        self._first_attempts += report.counts.first_attempts
        self._retries += report.retries

    def _remove(self, entry: str) -> _EntryReport | None:
        report = self._reports.pop(entry, None)
        if report is not None:
            self._first_attempts -= report.counts.first_attempts
            self._retries -= report.retries
        return report
