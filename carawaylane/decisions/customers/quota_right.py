"""The right of an entry to a share of the quotas, lent to one home at a time.

Also names what nodes must agree on: shards, and the quotas of customers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, frozen
from xxhash import xxh3_64_intdigest

from carawaylane.decisions.customers.quota_bounds import (
    ADVANCE_SHARE,
    SECOND_ADVANCE_SHARE,
    START_ADVANCE_SHARE,
)
from carawaylane.decisions.customers.quota_home import (
    ADVANCE_LIFE_S,
    LOAN_S,
    RENEW_BEFORE_S,
)
from carawaylane.messages.quotas import Limits, Loan, Stamp

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaylane.messages.platform_objects import Customer

CUSTOMERS_PER_SHARD = 2000
# Clocks of hosts may run at rates that differ a little.
CLOCK_MARGIN_S = 0.01
CLOCK_DRIFT = 0.001
STAMP_LIFE_S = 4.0
# A home that has replied within this time gets renewals without a reply, as
# each reply costs its sender 0.3 ms. A silent home keeps the right of an entry
# without requests for that long; requests find out within 0.25 s.
MAX_SILENCE_S = 2.0
# Members that vanish from the list may still run, since their registration
# expires while they are cut off from the store. Partitions last up to 12 s.
VANISHED_MEMBER_S = 30.0


def shard_names(customer_count: int) -> list[str]:
    """Return the names of the shards of so many customers."""
    count = max(1, -(-customer_count // CUSTOMERS_PER_SHARD))
    return [f'{number}/{count}' for number in range(count)]


def shard_of(customer: str, shards: list[str]) -> str:
    """Return the shard of a customer."""
    if len(shards) == 1:
        return shards[0]
    return shards[xxh3_64_intdigest(customer.encode()) % len(shards)]


def limits_of(customer: Customer, window_s: float) -> Limits | None:
    """Return the quota of a customer, None if there is none.

    A burst without a rate limits the requests of a window.
    """
    if customer.rate_per_s > 0:
        return Limits(rate_per_s=customer.rate_per_s, burst=customer.burst)
    if customer.burst > 0:
        return Limits(rate_per_s=customer.burst / window_s, burst=0.0)
    return None


@frozen(kw_only=True, repr=False)
class _HeardStamp:
    """The newest stamp of a home, and when it was received."""

    stamp: Stamp
    heard_at_s: float


@define(kw_only=True, repr=False)
class QuotaRight:
    """Lends a right such that two homes never use it at the same time.

    Load: one right for each shard; renewals and requests of this entry.
    `free_at_s` is when the present holder may begin to use it. A node that
    has just started may have lent its right before.
    """

    window_s: float
    free_at_s: float
    # Whether an earlier run of the node may have lent the right.
    after_start: bool = False
    holder: str = ''
    # When the loan to the present holder ends at the latest.
    lent_until_s: float = 0.0
    _stamps: dict[str, _HeardStamp] = Factory(dict)
    # By former holder: when the loan to it ends at the latest. The first
    # one is that of the run before.
    _ends_s: dict[str, float] = Factory(
        lambda self: {'': self.free_at_s}, takes_self=True
    )
    # Homes to which no earlier run of the node lends the right.
    _confirmed: set[str] = Factory(set)
    # When an advance may be offered again, and a second one to another home.
    _advance_at_s: float = float('-inf')
    _second_advance_at_s: float = float('-inf')
    _advance_home: str = ''
    _has_started: bool = False

    def loan_to(
        self, home: str, now_s: float, *, is_probe: bool = False
    ) -> Loan:
        """Return what to lend to a home that is about to be asked.

        The echo is the newest stamp that was received. After a takeover the
        right is thus usable earlier than with the date of the last message.

        A home that has not replied lately is lent nothing but an advance, so
        that a home that is dead does not get the right. A probe only finds
        out whether a home replies.
        """
        heard = self._stamps.get(home)
        if heard is None or now_s >= heard.heard_at_s + LOAN_S:
            if is_probe:
                return Loan()
            return Loan(advance=self._next_advance(home, now_s))
        advance = self._next_advance(home, now_s)
        if self._awaits_homes(now_s):
            # The right may soon be free; a loan with a delay would stay.
            return Loan(advance=advance)
        self.after_start = False
        if home != self.holder:
            self._ends_s = {
                name: end_s
                for name, end_s in self._ends_s.items()
                if end_s > now_s
            }
            self._ends_s[self.holder] = max(
                self.lent_until_s, self._ends_s.get(self.holder, 0.0)
            )
            self.free_at_s = max(self.free_at_s, self.lent_until_s)
            self.holder = home
            self.lent_until_s = self._ends_s.pop(home, 0.0)
        self.lent_until_s = max(
            self.lent_until_s, heard.heard_at_s + LOAN_S + CLOCK_MARGIN_S
        )
        return Loan(
            echo=heard.stamp,
            delay_s=max(0.0, self.free_at_s - now_s),
            advance=advance,
        )

    def unconfirmed(
        self, homes: frozenset[str], now_s: float
    ) -> frozenset[str]:
        """Return the homes that may still use the right of an earlier run."""
        if not self._awaits_homes(now_s):
            return frozenset()
        return homes - self._confirmed

    def confirm_free(
        self, home: str, homes: frozenset[str], now_s: float
    ) -> bool:
        """Record that no earlier run lends to a home.

        Returns whether the right has become free, as this holds for all nodes
        to which an earlier run may have lent it.
        """
        self._confirmed.add(home)
        if not homes or not homes <= self._confirmed:
            return False
        if not self._awaits_homes(now_s):
            return False
        self._ends_s.pop('', None)
        self.free_at_s = now_s
        return True

    def renewal(self, now_s: float) -> Loan | None:
        """Return a loan to the holder that lasts LOAN_S from now.

        The clock of the home shows at least the time of its newest stamp and
        what has passed here since, so it needn't reply to each renewal. None
        if there is no stamp that is new enough.
        """
        heard = self._stamps.get(self.holder)
        age_s = self.silence_s(now_s)
        if heard is None or age_s >= STAMP_LIFE_S:
            return None
        at_ms = heard.stamp.at_ms + int(age_s * (1 - CLOCK_DRIFT) * 1000)
        self.lent_until_s = max(
            self.lent_until_s, now_s + LOAN_S + CLOCK_MARGIN_S
        )
        return Loan(
            echo=Stamp(run=heard.stamp.run, at_ms=at_ms),
            delay_s=max(0.0, self.free_at_s - now_s),
        )

    def silence_s(self, now_s: float) -> float:
        """Return how long ago the holder has replied last."""
        heard = self._stamps.get(self.holder)
        return float('inf') if heard is None else now_s - heard.heard_at_s

    def renewal_due_s(self) -> float:
        """Return when the loan to the holder should be renewed."""
        return self.lent_until_s - RENEW_BEFORE_S

    def release(self, home: str, now_s: float) -> bool:
        """Take the right back from a home that has given up all its loans.

        Returns whether the present holder may use the right earlier.
        """
        self._stamps.pop(home, None)
        if home == self.holder:
            self.lent_until_s = min(self.lent_until_s, now_s)
            return False
        if self._ends_s.pop(home, 0.0) < self.free_at_s:
            return False
        before_s = self.free_at_s
        self.free_at_s = max(now_s, *self._ends_s.values(), 0.0)
        return self.free_at_s < before_s

    def hear(self, home: str, stamp: Stamp, now_s: float) -> bool:
        """Record a stamp; return whether the home should get an echo now."""
        known = self._stamps.get(home)
        is_same_run = known is not None and known.stamp.run == stamp.run
        if known is None or not is_same_run or stamp.at_ms > known.stamp.at_ms:
            self._stamps[home] = _HeardStamp(stamp=stamp, heard_at_s=now_s)
        return not self._awaits_homes(now_s) and (
            not is_same_run
            or self.holder != home
            or now_s >= self.lent_until_s
        )

    def _awaits_homes(self, now_s: float) -> bool:
        """Return whether homes may use the right of an earlier run."""
        return self.after_start and now_s < self.free_at_s

    def _next_advance(self, home: str, now_s: float) -> float:
        if home == self.holder:
            return 0.0
        again_at_s = now_s + self.window_s + ADVANCE_LIFE_S
        if not self._has_started:
            self._has_started = True
            self._advance_at_s = self._second_advance_at_s = again_at_s
            return START_ADVANCE_SHARE
        if now_s >= self._advance_at_s:
            self._advance_at_s = again_at_s
            self._advance_home = home
            return ADVANCE_SHARE
        if now_s >= self._second_advance_at_s and home != self._advance_home:
            self._second_advance_at_s = again_at_s
            return SECOND_ADVANCE_SHARE
        return 0.0


@define(kw_only=True, repr=False)
class MemberCount:
    """The members that may hold a right: listed ones, and vanished ones."""

    _listed: frozenset[str] = frozenset()
    # When members that are not listed any more were listed last.
    _vanished_at_s: dict[str, float] = Factory(dict)
    _names: frozenset[str] = frozenset()

    def update(self, listed: Iterable[str], now_s: float) -> frozenset[str]:
        """Return the names of the members that may hold a right.

        This is done twice a second, so nothing is built without a change.
        """
        names = frozenset(listed)
        expired = [
            name
            for name, at_s in self._vanished_at_s.items()
            if at_s <= now_s - VANISHED_MEMBER_S
        ]
        if names == self._listed and not expired:
            return self._names
        for name in expired:
            del self._vanished_at_s[name]
        self._vanished_at_s.update(dict.fromkeys(self._listed - names, now_s))
        for name in names:
            self._vanished_at_s.pop(name, None)
        self._listed = names
        self._names = names | frozenset(self._vanished_at_s)
        return self._names
