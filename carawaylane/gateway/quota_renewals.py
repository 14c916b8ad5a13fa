"""Renews the loans of this entry's rights, and probes better homes."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from carawaylane.decisions.customers.quota_right import MAX_SILENCE_S
from carawaylane.messages.quotas import Loan, QuotaAsk, QuotaReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawaylane.decisions.customers.quota_right import QuotaRight
    from carawaylane.gateway.quota_asks import QuotaAsks
    from carawaylane.gateway.quota_rights import QuotaRights
    from carawaylane.kernel.kernel import Kernel


class QuotaRenewals:
    """Renews each loan shortly before it ends, unless requests renew it.

    A home that has replied lately gets renewals that need no reply.
    """

    def __init__(
        self,
        *,
        kernel: Kernel,
        rights: QuotaRights,
        asks: QuotaAsks,
        timeout_s: float,
        decide_here: Callable[[str, QuotaAsk], QuotaReply],
        receive: Callable[[str, QuotaReply], QuotaReply | None],
    ) -> None:
        self._own_name = kernel.cfg.name
        self._kernel = kernel
        self._rights = rights
        self._asks = asks
        self._timeout_s = timeout_s
        self._decide_here = decide_here
        self._receive = receive

    def check(self, shard: str) -> None:
        """Renew the loan, and probe a home that ranks before the holder."""
        now_s = self._kernel.now_s()
        holder = self._rights.by_shard[shard].holder
        best = self._rights.candidates(shard)[0]
        unconfirmed = self._rights.unconfirmed(shard)
        if unconfirmed:
            if self._rights.probe_due(shard, now_s):
                for home in unconfirmed:
                    self.lend(home, shard, is_probe=True)
            return
        if holder and not self._rights.is_avoided(holder):
            self._continue(shard)
            if best != holder and self._rights.probe_due(shard, now_s):
                self.lend(best, shard, is_probe=True)
        elif self._rights.probe_due(shard, now_s):
            self.lend(best, shard)

    def lend(self, home: str, shard: str, *, is_probe: bool = False) -> None:
        """Lend the right to a home, or only find out whether it replies."""
        right = self._rights.by_shard[shard]
        loan = right.loan_to(home, self._kernel.now_s(), is_probe=is_probe)
        self._ask(home, shard, loan)

    def release(self, home: str, shard: str) -> None:
        """Take a right back from a home that no longer uses it."""
        right = self._rights.by_shard[shard]
        if right.release(home, self._kernel.now_s()):
            # Tell the present holder that it may use the right at once.
            self.lend(right.holder, shard)

    def _ask(self, home: str, shard: str, loan: Loan) -> None:
        ask = QuotaAsk(ticket=self._asks.new_ticket(), shard=shard, loan=loan)
        if home == self._own_name:
            self._receive(home, self._decide_here(home, ask))
        elif self._rights.is_member(home):
            self._asks.send(
                home, ask, self._timeout_s, partial(self._lent, shard)
            )

    def _lent(self, shard: str, reply: QuotaReply | None) -> None:
        if shard not in self._rights.by_shard:
            return
        if reply is None:
            self.check(shard)
        else:
            self._continue(shard)

    def _continue(self, shard: str) -> None:
        """Renew the loan of a shard when it is due."""
        right = self._rights.by_shard.get(shard)
        if right is None or not right.holder:
            return
        if self._rights.is_avoided(right.holder):
            # The next check lends the right to another home.
            return
        now_s = self._kernel.now_s()
        if now_s >= right.renewal_due_s():
            self._renew(shard, right, now_s)

    def _renew(self, shard: str, right: QuotaRight, now_s: float) -> None:
        home = right.holder
        if home == self._own_name:
            # Once for a new date, and again to echo it.
            self.lend(home, shard)
            self.lend(home, shard)
            return
        loan = right.renewal(now_s)
        if loan is None or not self._rights.is_member(home):
            self._ask(home, shard, right.loan_to(home, now_s))
            return
        if right.silence_s(now_s) >= MAX_SILENCE_S:
            self._ask(home, shard, loan)
            return
        ticket = self._asks.new_ticket()
        self._asks.send_one_way(
            home, QuotaAsk(ticket=ticket, shard=shard, loan=loan, one_way=True)
        )
