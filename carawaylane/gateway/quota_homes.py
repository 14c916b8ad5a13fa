"""This node as the quota home of shards of customers."""

from __future__ import annotations

from asyncio import sleep
from os import urandom
from typing import TYPE_CHECKING

from attrs import define, evolve

from carawaylane.decisions.customers.quota_bounds import QuotaBounds
from carawaylane.decisions.customers.quota_home import (
    RENEWAL_PERIOD_S,
    QuotaHome,
)
from carawaylane.decisions.customers.quota_right import (
    MemberCount,
    limits_of,
    shard_names,
    shard_of,
)
from carawaylane.messages.quotas import (
    Admitted,
    Leaving,
    Limits,
    Loan,
    QuotaAsk,
    QuotaReply,
    QuotaReturn,
    Stamp,
)
from carawaylane.messages.stored_objects import ObjectKind
from carawaylane.telemetry.events import QUOTA_USAGE, emit

if TYPE_CHECKING:
    from collections.abc import Callable

    from prometheus_client.registry import Collector

    from carawaylane.decisions.customers.customer_counts import (
        CustomerCounts,
    )
    from carawaylane.decisions.customers.quota_home import QuotaUsage
    from carawaylane.gateway.directory import Directory
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.platform_objects import Plan

USAGE_LOG_PERIOD_S = 5.0
# How often the configuration is checked without quotas.
IDLE_PERIOD_S = 1.0


@define(kw_only=True, repr=False)
class _ConnectedRun:
    """A run of an entry, and how many streams it has open."""

    member: str
    streams: int = 0


class QuotaHomes:
    """Homes of shards, created when an entry asks for one.

    They follow the configuration and the members. `shards` are those of the
    configuration in force; an entry may still ask for earlier ones.
    """

    def __init__(self, *, kernel: Kernel, directory: Directory) -> None:
        bounds = kernel.cfg.bounds
        self.bounds = QuotaBounds(
            window_s=bounds.quota_window_s,
            overshoot=bounds.quota_overshoot,
            slack=bounds.quota_slack,
        )
        self.shards: list[str] = []
        self.limited_customers = 0
        self.homes: dict[str, QuotaHome] = {}
        self._kernel = kernel
        self._directory = directory
        self._run = int.from_bytes(urandom(7), 'big')
        self._plan: Plan | None = None
        self._limits_by_shard: dict[str, dict[str, Limits]] = {}
        self._member_count = MemberCount()
        self._members: frozenset[str] = frozenset()
        self._leaving = False
        # By name of an entry: the run that connected last, and its streams.
        self._runs: dict[str, _ConnectedRun] = {}
        # By entry and shard: how to send something to an entry.
        self._senders: dict[tuple[str, str], Callable[[QuotaReply], None]] = {}

    def entry_connected(self, member: str) -> None:
        """End the loans of earlier runs of an entry that opens a stream."""
        name = _name_of(member)
        run = self._runs.get(name)
        if run is None or run.member != member:
            run = self._runs[name] = _ConnectedRun(member=member)
            self.drop_loans(name)
        run.streams += 1

    def entry_lost(self, member: str) -> None:
        """End the loans of a run of an entry of which a stream has ended.

        The entry may lend the right to another home then.
        """
        name = _name_of(member)
        run = self._runs.get(name)
        if run is None or run.member != member:
            return
        self.drop_loans(name)
        run.streams -= 1
        if not run.streams:
            del self._runs[name]

    def decide_for_run(self, member: str, ask: QuotaAsk) -> QuotaReply:
        """Decide on an ask; an earlier run of an entry lends nothing."""
        if not self._is_connected(member):
            ask = evolve(ask, loan=Loan())
        reply = self.decide(_name_of(member), ask)
        return evolve(reply, ended_earlier_runs=True)

    def _is_connected(self, member: str) -> bool:
        run = self._runs.get(_name_of(member))
        return run is not None and run.member == member

    def answer(
        self, member: str, ask: QuotaAsk, send: Callable[[QuotaReply], None]
    ) -> None:
        """Decide on an ask of another node, and reply if that is needed."""
        reply = self.decide_for_run(member, ask)
        if self._is_connected(member):
            self._senders[_name_of(member), ask.shard] = send
        if not ask.one_way or not isinstance(reply.verdict, Admitted):
            send(reply)

    def load_collector(self, counts: CustomerCounts) -> Collector:
        """Return the collector of the customers' metrics."""
        # Imports a library that is needed only once the metrics are read.
        from carawaylane.gateway.customer_metrics import CustomerMetrics

        return CustomerMetrics(counts=counts, usage=self.usage)

    def decide(self, entry: str, ask: QuotaAsk) -> QuotaReply:
        """Decide on an ask of an entry."""
        self.update_plan()
        now_s = self._kernel.now_s()
        if self._leaving:
            return self.leaving_reply(ask.shard, ask.ticket)
        home = self.homes.get(ask.shard)
        if home is None:
            home = QuotaHome(run=self._run, bounds=self.bounds, now_s=now_s)
            home.update_members(self._members, now_s)
            home.update_limits(self._limits_by_shard.get(ask.shard, {}), now_s)
            self.homes[ask.shard] = home
        verdict = home.decide(entry, ask, now_s)
        return QuotaReply(
            ticket=ask.ticket,
            shard=ask.shard,
            stamp=home.stamp(),
            verdict=verdict,
        )

    def take_back(self, token: QuotaReturn) -> None:
        """Take the token of a request back that did not run."""
        home = self.homes.get(token.shard)
        if home is not None:
            home.take_back(token, self._kernel.now_s())

    def drop_loans(self, entry: str) -> None:
        """End the loans of an entry at all shards."""
        for home in self.homes.values():
            home.drop_loan(entry, self._kernel.now_s())
        for key in [key for key in self._senders if key[0] == entry]:
            del self._senders[key]

    def check_period_s(self) -> float:
        """Return how often loans and the configuration are checked."""
        return RENEWAL_PERIOD_S if self.limited_customers else IDLE_PERIOD_S

    def leave(self) -> None:
        """Give up all loans for good, so that other homes may use them.

        Entries lend their rights anew when they learn of it.
        """
        self._leaving = True
        self.homes.clear()
        for (_, shard), send in self._senders.items():
            send(self.leaving_reply(shard))

    def leaving_reply(self, shard: str, ticket: int = 0) -> QuotaReply:
        """Return the reply of a home that is about to stop."""
        at_ms = int(self._kernel.now_s() * 1000)
        return QuotaReply(
            ticket=ticket,
            shard=shard,
            stamp=Stamp(run=self._run, at_ms=at_ms),
            verdict=Leaving(),
        )

    def usage(self) -> list[QuotaUsage]:
        """Return the busiest customers of all shards."""
        return [
            usage for home in self.homes.values() for usage in home.usage()
        ]

    async def usage_log_loop(self) -> None:
        """Log the busiest customers of all shards, again and again."""
        while True:
            await sleep(USAGE_LOG_PERIOD_S)
            for shard, home in self.homes.items():
                for usage in home.usage():
                    emit(
                        QUOTA_USAGE,
                        shard=shard,
                        customer=usage.customer,
                        admitted=usage.admitted,
                        limit=round(usage.limit, 1),
                        share=round(home.share(), 3),
                    )

    def update_plan(self) -> None:
        """Follow the configuration."""
        plan = self._directory.plan
        if plan is self._plan or plan is None:
            return
        self._plan = plan
        limits = {
            customer.name: customer_limits
            for customer in plan.customers
            if (customer_limits := limits_of(customer, self.bounds.window_s))
        }
        self.limited_customers = len(limits)
        self.shards = shard_names(len(limits))
        self._limits_by_shard = {shard: {} for shard in self.shards}
        for name, customer_limits in limits.items():
            shard = shard_of(name, self.shards)
            self._limits_by_shard[shard][name] = customer_limits
        now_s = self._kernel.now_s()
        for shard, home in self.homes.items():
            home.update_limits(self._limits_by_shard.get(shard, {}), now_s)
        self.update_members()

    def update_members(self) -> None:
        """Follow the list of members."""
        now_s = self._kernel.now_s()
        listed = self._directory.members
        if not self._directory.replicas[ObjectKind.MEMBERS].revision:
            # Only this node is known yet; it would take all of the quotas.
            listed = {}
        self._members = self._member_count.update(listed, now_s)
        for shard, home in list(self.homes.items()):
            home.update_members(self._members, now_s)
            if shard not in self.shards and not home.has_loans:
                del self.homes[shard]


def _name_of(member: str) -> str:
    """Return the name of the node in the name of a run of it."""
    return member.rpartition('@')[0]
