"""The entry's side of quotas: asks homes whether a request may run.

The entry lends its right, its share of all quotas, to the quota home of the
customer's shard, and to itself if no other node replies.
"""

from __future__ import annotations

from asyncio import Future, get_running_loop, sleep
from functools import partial
from typing import TYPE_CHECKING

from attrs import evolve

from carawaylane.decisions.customers.admission_wait import AdmissionWait
from carawaylane.decisions.customers.customer_counts import CustomerCounts
from carawaylane.decisions.customers.quota_bounds import UNREPORTED_WAIT_S
from carawaylane.decisions.customers.quota_home import LOAN_S
from carawaylane.decisions.customers.quota_right import limits_of, shard_of
from carawaylane.gateway.quota_asks import QuotaAsks
from carawaylane.gateway.quota_homes import QuotaHomes
from carawaylane.gateway.quota_renewals import QuotaRenewals
from carawaylane.gateway.quota_rights import QuotaRights
from carawaylane.kernel.service import Service, service
from carawaylane.messages.quotas import (
    OVER_QUOTA_REASON,
    Admitted,
    Leaving,
    Loan,
    OverQuota,
    QuotaAdmission,
    QuotaAsk,
    QuotaRefusal,
    QuotaReply,
    QuotaReturn,
    UnknownCustomer,
    Waited,
)
from carawaylane.rpc.fleet_pb2 import Call
from carawaylane.rpc.quota_codec import pack_quota_return
from carawaylane.telemetry.events import QUOTA_EXCEEDED, QUOTA_RIGHT_LENT, emit

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.platform_objects import Customer

# A home replies at once; see FIRST_REPLY_TIMEOUT_S of slots.
REPLY_TIMEOUT_S = 0.25
# Told to callers if no home, and not this node either, can decide.
NO_HOME_RETRY_AFTER_S = 0.3
# Period of checks while a right may be lent by an earlier run.
START_PERIOD_S = 0.1


@service('quotas')
class Quotas(Service):
    """Asks homes of quotas; sends nothing if no customer has a quota."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.counts = CustomerCounts()
        # Until when messages to a home may arrive by a stream that this node
        # has closed itself.
        self._closed_until_s: dict[str, float] = {}

    async def start(self) -> None:
        """Look up the other services and start renewing loans."""
        self._directory = self.kernel.find('directory')
        self._slot_client = self.kernel.find('dispatch')
        self._metrics = self.kernel.find('telemetry').metrics
        self._homes = QuotaHomes(kernel=self.kernel, directory=self._directory)
        self._rights = QuotaRights(
            kernel=self.kernel, directory=self._directory, homes=self._homes
        )
        self._asks = QuotaAsks(
            slot_client=self._slot_client, rights=self._rights
        )
        self._renewals = QuotaRenewals(
            kernel=self.kernel,
            rights=self._rights,
            asks=self._asks,
            timeout_s=REPLY_TIMEOUT_S,
            decide_here=self._homes.decide,
            receive=self._receive,
        )
        self._metrics.add_collector(
            partial(self._homes.load_collector, self.counts)
        )
        self.kernel.before_leaving.append(self.leave)
        self.spawn(self._renewal_loop())
        self.spawn(self._homes.usage_log_loop())

    def leave(self) -> None:
        """Stop acting as a home if there is another node.

        This is called before the node leaves the list of members, as entries
        then lend their rights to others, and wait for the loans to end.
        """
        if set(self._directory.members) - {self.kernel.cfg.name}:
            self._homes.leave()
            for shard in self._rights.by_shard:
                reply = self._homes.leaving_reply(shard)
                self.handle_reply(self.kernel.cfg.name, reply)

    async def admit(
        self,
        customer: Customer,
        request_id: str,
        objective_s: float,
        deadline_s: float,
    ) -> QuotaAdmission | QuotaRefusal | None:
        """Admit or refuse a request; None if the customer has no quota.

        If the caller gives up at `deadline_s`, homes are asked no longer.
        """
        if not customer.is_limited:
            return None
        wait = AdmissionWait(
            objective_s=objective_s, started_at_s=self.kernel.now_s()
        )
        while True:
            decision = await self._decide_once(customer, deadline_s)
            if isinstance(decision, QuotaAdmission):
                self._metrics.count('quota_admitted')
                return decision
            pause_s = wait.next_ask_s(decision, self.kernel.now_s())
            if pause_s is None:
                return self._refuse(customer.name, request_id, decision)
            self._metrics.count('quota_waited')
            await sleep(pause_s)

    async def _decide_once(
        self, customer: Customer, deadline_s: float
    ) -> QuotaAdmission | OverQuota | None:
        """Ask homes until one decides; None if none does."""
        self._rights.follow_shards()
        shard = shard_of(customer.name, self._homes.shards)
        ask = QuotaAsk(ticket=0, shard=shard, customer=customer.name)
        home, reply = await self._ask_homes(shard, customer, ask, deadline_s)
        if reply is None:
            return None
        if isinstance(reply.verdict, OverQuota):
            return reply.verdict
        return QuotaAdmission(
            home=home,
            token=QuotaReturn(
                shard=shard,
                customer=customer.name,
                admitted_at=reply.stamp,
                counted_at=reply.stamp,
            ),
            checked_at_s=self.kernel.now_s(),
        )

    async def confirm(
        self,
        admission: QuotaAdmission,
        customer: Customer,
        request_id: str,
        objective_s: float,
        deadline_s: float,
    ) -> QuotaRefusal | None:
        """Count a request that waited when it is about to run.

        Returns a refusal if it may not run, else None. The bound is on the
        requests that run in a window, whenever they were admitted. If too many
        are to run at once, those of a customer below its limit wait again.
        """
        now_s = self.kernel.now_s()
        if now_s - admission.checked_at_s <= UNREPORTED_WAIT_S:
            return None
        wait = AdmissionWait(objective_s=objective_s, started_at_s=now_s)
        while True:
            verdict = await self._confirm_once(admission, customer, deadline_s)
            if isinstance(verdict, Admitted):
                self._metrics.count('quota_confirmed')
                return None
            pause_s = None
            if verdict is not None:
                pause_s = wait.next_ask_s(verdict, self.kernel.now_s())
            if pause_s is None:
                return self._refuse(customer.name, request_id, verdict)
            self._metrics.count('quota_waited')
            await sleep(pause_s)

    async def _confirm_once(
        self, admission: QuotaAdmission, customer: Customer, deadline_s: float
    ) -> Admitted | OverQuota | None:
        """Ask homes until one counts the request; None if none replies."""
        self._rights.follow_shards()
        token = admission.token
        shard = shard_of(customer.name, self._homes.shards)
        waited = Waited(
            customer=customer.name, counted_at=token.counted_at, runs=True
        )
        _, reply = await self._ask_homes(
            shard,
            customer,
            QuotaAsk(ticket=0, shard=shard, waited=waited),
            deadline_s,
        )
        admission.token = evolve(token, counted_at=None)
        if reply is None:
            return None
        if isinstance(reply.verdict, OverQuota):
            return reply.verdict
        admission.token = evolve(token, counted_at=reply.stamp)
        admission.checked_at_s = self.kernel.now_s()
        return Admitted()

    def report_waiting(self, admission: QuotaAdmission) -> None:
        """Tell the home that a request waits and does not run yet."""
        token = admission.token
        if token.counted_at is None:
            return
        admission.token = evolve(token, counted_at=None)
        ask = QuotaAsk(
            ticket=self._asks.new_ticket(),
            shard=token.shard,
            loan=Loan(),
            waited=Waited(
                customer=token.customer,
                counted_at=token.counted_at,
                runs=False,
            ),
        )
        if admission.home == self.kernel.cfg.name:
            self._homes.decide(admission.home, ask)
        elif not self._rights.is_avoided(admission.home):
            self._asks.send_one_way(admission.home, ask)

    def give_back(self, admission: QuotaAdmission) -> None:
        """Return the token of a request that has not run and never will."""
        self._metrics.count('quota_returned')
        if admission.home == self.kernel.cfg.name:
            self.take_back(admission.token)
        elif admission.home in self._directory.members:
            stream = self._slot_client.stream_to(admission.home)
            stream.send(Call(quota_return=pack_quota_return(admission.token)))

    def answer(
        self, member: str, ask: QuotaAsk, send: Callable[[QuotaReply], None]
    ) -> None:
        """Decide on an ask of a run of another node, and reply to it."""
        self._homes.answer(member, ask, send)

    def take_back(self, token: QuotaReturn) -> None:
        """Take a token back as a home."""
        self._homes.take_back(token)

    def handle_reply(self, home: str, reply: QuotaReply) -> None:
        """Pass the reply of another node to the request that waits for it."""
        received = self._receive(home, reply)
        self._asks.handle_reply(reply.ticket, received)
        if received is None and reply.shard in self._rights.by_shard:
            self._renewals.check(reply.shard)

    def entry_connected(self, member: str) -> None:
        """End the loans of earlier runs of an entry that opens a stream."""
        self._homes.entry_connected(member)

    def entry_lost(self, member: str) -> None:
        """End the loans of a run of an entry whose stream has ended."""
        self._homes.entry_lost(member)

    def stream_ended(self, home: str, *, by_home: bool) -> None:
        """Take rights back and wake the requests that wait for a home.

        A home that has ended the stream, or whose process has ended, no longer
        uses the right. One that this node did not reach may use it, and so may
        one that still reads an earlier stream.
        """
        now_s = self.kernel.now_s()
        if not by_home:
            self._closed_until_s[home] = now_s + LOAN_S
        elif now_s >= self._closed_until_s.get(home, 0.0):
            for shard in self._rights.by_shard:
                self._renewals.release(home, shard)
        self._asks.stream_ended(home)

    def _refuse(
        self, customer: str, request_id: str, verdict: OverQuota | None
    ) -> QuotaRefusal:
        if verdict is None:
            verdict = OverQuota(retry_after_s=NO_HOME_RETRY_AFTER_S)
        self._metrics.count('quota_refused')
        emit(
            QUOTA_EXCEEDED,
            request=request_id,
            customer=customer,
            retry_after_ms=round(verdict.retry_after_s * 1000),
            admitted=verdict.admitted,
            limit=round(verdict.limit, 1),
        )
        return QuotaRefusal(
            retry_after_s=verdict.retry_after_s, reason=OVER_QUOTA_REASON
        )

    async def _ask_homes(
        self, shard: str, customer: Customer, ask: QuotaAsk, deadline_s: float
    ) -> tuple[str, QuotaReply | None]:
        """Return the first reply of a home of a shard, and the home."""
        for home in self._rights.homes_to_ask(shard):
            now_s = self.kernel.now_s()
            timeout_s = min(REPLY_TIMEOUT_S, deadline_s - now_s)
            if timeout_s <= 0:
                break
            ask = evolve(
                ask,
                ticket=self._asks.new_ticket(),
                loan=self._rights.by_shard[shard].loan_to(home, now_s),
            )
            reply = await self._ask(home, ask, timeout_s)
            if reply and isinstance(reply.verdict, UnknownCustomer):
                limits = limits_of(customer, self._homes.bounds.window_s)
                ask = evolve(
                    ask, ticket=self._asks.new_ticket(), limits=limits
                )
                reply = await self._ask(home, ask, timeout_s)
            if reply is not None:
                return home, reply
        return '', None

    async def _ask(
        self, home: str, ask: QuotaAsk, timeout_s: float
    ) -> QuotaReply | None:
        if home == self.kernel.cfg.name:
            return self._receive(home, self._homes.decide(home, ask))
        if not self._rights.is_member(home):
            return None
        received: Future[QuotaReply | None] = (
            get_running_loop().create_future()
        )

        def on_reply(reply: QuotaReply | None) -> None:
            if not received.done():
                received.set_result(reply)

        self._asks.send(home, ask, timeout_s, on_reply)
        try:
            return await received
        finally:
            self._asks.forget(ask.ticket)

    def _receive(self, home: str, reply: QuotaReply) -> QuotaReply | None:
        """Record a reply; return it unless the home is about to stop."""
        if not isinstance(reply.verdict, Leaving):
            self._rights.silent_homes.record_reply(home)
            self._hear(home, reply)
            return reply
        self._rights.silent_homes.record_silence(home, self.kernel.now_s())
        if reply.shard in self._rights.by_shard:
            self._renewals.release(home, reply.shard)
        return None

    def _hear(self, home: str, reply: QuotaReply) -> None:
        """Record the stamp of a home, and lend it the right if it waits."""
        right = self._rights.by_shard.get(reply.shard)
        if right is None:
            return
        holder = right.holder
        needs_echo = right.hear(home, reply.stamp, self.kernel.now_s())
        if reply.ended_earlier_runs and right.confirm_free(
            home, self._rights.first_homes(reply.shard), self.kernel.now_s()
        ):
            best = self._rights.candidates(reply.shard)[0]
            self._renewals.lend(best, reply.shard)
            needs_echo = False
        if needs_echo and self._rights.prefers(home, reply.shard, holder):
            self._renewals.lend(home, reply.shard)
        if right.holder != holder:
            emit(
                QUOTA_RIGHT_LENT,
                shard=reply.shard,
                home=right.holder,
                home_before=holder,
                usable_in_ms=round(
                    max(0.0, right.free_at_s - self.kernel.now_s()) * 1000
                ),
            )

    def _check_period_s(self) -> float:
        if self.kernel.now_s() - self.kernel.started_at_s < LOAN_S:
            return START_PERIOD_S
        return self._homes.check_period_s()

    async def _renewal_loop(self) -> None:
        while True:
            await sleep(self._check_period_s())
            self._rights.follow_shards()
            if not self._homes.limited_customers:
                continue
            self._homes.update_members()
            for shard in self._rights.by_shard:
                self._renewals.check(shard)
