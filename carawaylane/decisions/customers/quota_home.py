"""Decides for a shard of customers which requests are within their quotas."""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING

from attrs import Factory, define

from carawaylane.decisions.customers.customer_counts import MAX_REPORTED
from carawaylane.decisions.customers.quota_bounds import QuotaBounds
from carawaylane.decisions.customers.quota_bucket import (
    QuotaBucket,
    QuotaUsage,
)
from carawaylane.decisions.customers.quota_loans import (
    LentRight,
    OfferedAdvance,
)
from carawaylane.decisions.customers.quota_room import (
    WHOLE_TOKEN,
    lacking_tokens,
)
from carawaylane.decisions.customers.run_log import (
    STEP_S,
    ShareHistory,
    SlidingCount,
)
from carawaylane.messages.quotas import (
    Admitted,
    Limits,
    Loan,
    OverQuota,
    QuotaAsk,
    QuotaReturn,
    Stamp,
    UnknownCustomer,
    Verdict,
    Waited,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

# A loan ends this long after the stamp that the entry echoed. After a takeover
# the rate is not used until the loans end, unless the home ended the streams:
# with 1.2 s, a customer at half of its limit had 15 of 100 requests refused in
# two takeovers within 5 s.
LOAN_S = 0.8
# How often an entry checks its loans. It renews those that would end soon
# after the next check, unless requests have renewed them. A timer costs up to
# 0.13 ms on an idle host, and a message 0.3 ms at its sender.
RENEWAL_PERIOD_S = 0.5
RENEW_BEFORE_S = RENEWAL_PERIOD_S + 0.15
# How often a better home than the present one is asked for a reply.
RENEWAL_S = 0.25
# How long a home may spend the advance of an entry.
ADVANCE_LIFE_S = 2.0
# Loans that end within this time are ended together, since each end needs a
# pass over all customers.
END_GRID_S = 0.05
STAMP_STEP_S = 0.001
# Callers that are refused are told to come back at intervals of the rate, up
# to this time. They do not wait longer than a few seconds.
MAX_RETRY_AFTER_S = 5.0


@define(kw_only=True, repr=False)
class QuotaHome:
    """Token buckets of the customers of a shard, filled by lent rights.

    Load: all requests of up to 2,000 customers, of all entries that lend their
    right to this home. Costs of a request do not depend on the number of
    customers or entries; a pass over all customers is needed when loans end,
    at most each END_GRID_S.
    """

    run: int
    bounds: QuotaBounds
    now_s: float
    _members: frozenset[str] = frozenset()
    _loans: dict[str, LentRight] = Factory(dict)
    _advances: list[OfferedAdvance] = Factory(list)
    _advance_period: int = 0
    _buckets: dict[str, QuotaBucket] = Factory(dict)
    # Loans that count at present, and the integral of their share over time.
    _counting: int = 0
    _fill: float = 0.0
    _history: ShareHistory = Factory(
        lambda self: ShareHistory(window_s=self.bounds.window_s),
        takes_self=True,
    )
    # No loan starts to count or ends before this time.
    _next_change_s: float = float('inf')

    @property
    def has_loans(self) -> bool:
        """Whether an entry lends its right to this home."""
        return bool(self._loans)

    def share(self) -> float:
        """Return the share of all rights that this home may use."""
        return self._counting / max(1, len(self._members))

    def update_members(self, names: frozenset[str], now_s: float) -> None:
        """Replace the members, each of which has an equal right."""
        if names == self._members:
            return
        self._advance_to(now_s)
        self._settle_all()
        self._members = names
        self._recount(now_s)
        self._settle_all()

    def update_limits(
        self, limits: Mapping[str, Limits], now_s: float
    ) -> None:
        """Replace the quotas; a lower burst scales the level down."""
        self._advance_to(now_s)
        for name in list(self._buckets):
            if name not in limits:
                del self._buckets[name]
        for name, new_limits in limits.items():
            self._set_limits(name, new_limits)

    def decide(self, entry: str, ask: QuotaAsk, now_s: float) -> Verdict:
        """Take the loan of an entry, and decide on its request if any."""
        self._advance_to(now_s)
        self._take_loan(entry, ask.loan)
        waited = ask.waited
        customer = waited.customer if waited is not None else ask.customer
        if not customer:
            return Admitted()
        bucket = self._buckets.get(customer)
        if bucket is None and ask.limits is not None:
            bucket = self._set_limits(customer, ask.limits)
        if bucket is None:
            return UnknownCustomer()
        if waited is not None:
            return self._count_again(bucket, waited)
        return self._admit(bucket)

    def drop_loan(self, entry: str, now_s: float) -> None:
        """End the loan of an entry now, as its stream has ended."""
        self._advance_to(now_s)
        loan = self._loans.get(entry)
        if loan is not None:
            loan.ends_at_s = self.now_s
            self._next_change_s = self.now_s
            self._advance_to(now_s)

    def take_back(self, returned: QuotaReturn, now_s: float) -> bool:
        """Return the token of a request that did not run.

        A bucket that was full since it gave the token stays as it is, as it
        would have been full anyway.
        """
        bucket = self._buckets.get(returned.customer)
        if bucket is None or returned.admitted_at.run != self.run:
            return False
        self._advance_to(now_s)
        self._uncount(bucket, returned.counted_at)
        self._settle(bucket)
        if returned.admitted_at.at_ms / 1000 + STAMP_STEP_S < bucket.full_at_s:
            return False
        bucket.level += 1.0
        self._settle(bucket)
        return True

    def stamp(self) -> Stamp:
        """Return the time of the last decision, rounded down."""
        return Stamp(run=self.run, at_ms=int(self.now_s * 1000))

    def usage(self) -> list[QuotaUsage]:
        """Return the customers with the most requests in the last window."""
        used = []
        for name, bucket in self._buckets.items():
            bucket.roll_window(self.now_s, self.bounds.window_s)
            if bucket.admitted_before:
                used.append(
                    QuotaUsage(
                        customer=name,
                        admitted=bucket.admitted_before,
                        limit=self.bounds.limit(bucket.limits),
                    )
                )
        return nlargest(MAX_REPORTED, used, key=lambda usage: usage.admitted)

    def _take_loan(self, entry: str, loan: Loan) -> None:
        if loan.advance > 0 and entry in self._members:
            if not self._advances:
                self._advance_period += 1
            self._advances.append(
                OfferedAdvance(
                    share=loan.advance, ends_at_s=self.now_s + ADVANCE_LIFE_S
                )
            )
        if loan.echo is None or loan.echo.run != self.run:
            return
        if loan.echo.at_ms / 1000 > self.now_s:
            # The clock of a host has stood still, so the date is not usable.
            return
        ends_at_s = loan.echo.at_ms / 1000 + LOAN_S
        if ends_at_s <= self.now_s + END_GRID_S:
            return
        known = self._loans.get(entry)
        usable_at_s = self.now_s + loan.delay_s
        if known is not None:
            if known.counts and loan.delay_s > 0:
                # The right was lent to another home meanwhile, which may use
                # it after the end of this loan: there must be a new one.
                return
            if ends_at_s >= known.ends_at_s:
                # Not a message that was delayed in an earlier stream.
                known.usable_at_s = usable_at_s
                known.ends_at_s = ends_at_s
                if not known.counts and usable_at_s < self._next_change_s:
                    self._next_change_s = usable_at_s
                    self._advance_to(self.now_s)
            return
        self._loans[entry] = LentRight(
            usable_at_s=usable_at_s, ends_at_s=ends_at_s
        )
        self._next_change_s = min(self._next_change_s, usable_at_s, ends_at_s)
        self._advance_to(self.now_s)

    def _advance_to(self, now_s: float) -> None:
        """Move the time on, and start and end loans that are due."""
        elapsed_s = max(0.0, now_s - self.now_s)
        self._fill += elapsed_s * self.share()
        self.now_s = max(self.now_s, now_s)
        while self._advances and self._advances[0].ends_at_s <= self.now_s:
            self._advances.pop(0)
        if self.now_s < self._next_change_s:
            return
        counting_before = self._counting
        members = max(1, len(self._members))
        for entry, loan in list(self._loans.items()):
            if loan.ends_at_s > self.now_s + END_GRID_S:
                continue
            del self._loans[entry]
            if loan.counts:
                overdue_s = max(0.0, self.now_s - loan.ends_at_s)
                self._fill -= min(overdue_s, elapsed_s) / members
        self._recount(self.now_s)
        if self._counting < counting_before:
            self._settle_all()

    def _recount(self, now_s: float) -> None:
        """Count the loans of members, and find the time of the next change."""
        self._counting = 0
        self._next_change_s = float('inf')
        for entry, loan in self._loans.items():
            loan.counts = loan.usable_at_s <= now_s and entry in self._members
            self._counting += loan.counts
            due_at_s = loan.ends_at_s - END_GRID_S
            if not loan.counts and entry in self._members:
                due_at_s = min(due_at_s, loan.usable_at_s)
            self._next_change_s = min(self._next_change_s, due_at_s)
        self._history.record(self.now_s, self.share(), self._fill)

    def _set_limits(self, name: str, limits: Limits) -> QuotaBucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            window_s = self.bounds.window_s
            bucket = QuotaBucket(
                limits=limits,
                seen_fill=self._fill,
                runs=SlidingCount(window_s=window_s),
                advances=SlidingCount(window_s=window_s),
            )
            self._buckets[name] = bucket
        elif bucket.limits != limits:
            self._settle(bucket)
            before = self.bounds.capacity(bucket.limits)
            after = self.bounds.capacity(limits)
            bucket.level *= min(1.0, after / before)
            bucket.limits = limits
            bucket.promised_at_s = 0.0
            self._settle(bucket)
        return bucket

    def _settle_all(self) -> None:
        for bucket in self._buckets.values():
            self._settle(bucket)

    def _settle(self, bucket: QuotaBucket) -> None:
        """Fill a bucket up to its capacity."""
        filled = self._fill - bucket.seen_fill
        bucket.seen_fill = self._fill
        bucket.level += filled * bucket.limits.rate_per_s
        capacity = self.bounds.capacity(bucket.limits) * self.share()
        if bucket.level >= capacity:
            bucket.level = capacity
            bucket.full_at_s = self.now_s

    def _admit(self, bucket: QuotaBucket) -> Admitted | OverQuota:
        self._settle(bucket)
        bucket.roll_window(self.now_s, self.bounds.window_s)
        lacking = max(WHOLE_TOKEN - bucket.level, self._lacking(bucket))
        if lacking <= 0:
            bucket.level -= 1.0
        elif not self._spend_advance(bucket):
            return self._refuse(bucket, lacking)
        bucket.admitted += 1
        bucket.runs.add(self.now_s)
        return Admitted()

    def _count_again(
        self, bucket: QuotaBucket, waited: Waited
    ) -> Admitted | OverQuota:
        """Count a request that waited when it runs, not when it was admitted.

        Its token is not taken again; the requests of the window are bounded.
        """
        self._uncount(bucket, waited.counted_at)
        if not waited.runs:
            return Admitted()
        self._settle(bucket)
        bucket.check_runs_until_s = self.now_s + self.bounds.window_s + STEP_S
        lacking = self._lacking(bucket)
        if lacking > 0 and not self._spend_advance(bucket):
            return self._refuse(bucket, lacking)
        bucket.runs.add(self.now_s)
        return Admitted()

    def _uncount(self, bucket: QuotaBucket, counted_at: Stamp | None) -> None:
        if counted_at is not None and counted_at.run == self.run:
            bucket.runs.remove(counted_at.at_ms)

    def _lacking(self, bucket: QuotaBucket) -> float:
        """Return what must be filled in before one more request may run."""
        return lacking_tokens(
            bucket,
            capacity=self.bounds.capacity(bucket.limits),
            fill=self._fill,
            history=self._history,
            now_s=self.now_s,
        )

    def _refuse(self, bucket: QuotaBucket, lacking: float) -> OverQuota:
        bucket.roll_window(self.now_s, self.bounds.window_s)
        return OverQuota(
            retry_after_s=self._retry_after(bucket, lacking),
            admitted=bucket.admitted_lately(self.now_s, self.bounds.window_s),
            limit=self.bounds.limit(bucket.limits),
        )

    def _spend_advance(self, bucket: QuotaBucket) -> bool:
        if self._advance_left(bucket) < 1.0:
            return False
        bucket.advance_spent += 1.0
        bucket.advances.add(self.now_s)
        return True

    def _advance_left(self, bucket: QuotaBucket) -> float:
        if not self._advances:
            return 0.0
        if bucket.advance_period != self._advance_period:
            bucket.advance_period = self._advance_period
            bucket.advance_spent = 0.0
        share = sum(advance.share for advance in self._advances)
        slack = self.bounds.slack_of(bucket.limits)
        return (
            share * slack / max(1, len(self._members)) - bucket.advance_spent
        )

    def _retry_after(self, bucket: QuotaBucket, lacking: float) -> float:
        """Return when a request would be admitted.

        Callers that are refused get different times, since only one of them
        would be admitted at each.
        """
        share = self.share()
        wait_s = 0.0
        if share == 0 or self.bounds.capacity(bucket.limits) * share < 1:
            # More rights are needed: those that are lent, or will be soon.
            share = max(1, len(self._loans)) / max(1, len(self._members))
            wait_s = min(LOAN_S, max(0.0, self._next_change_s - self.now_s))
        rate_per_s = bucket.limits.rate_per_s * share
        ready_at_s = self.now_s + wait_s + lacking / rate_per_s
        bucket.promised_at_s = max(
            ready_at_s, bucket.promised_at_s + 1.0 / rate_per_s
        )
        if bucket.promised_at_s > self.now_s + MAX_RETRY_AFTER_S:
            bucket.promised_at_s = ready_at_s
        return min(MAX_RETRY_AFTER_S, bucket.promised_at_s - self.now_s)
