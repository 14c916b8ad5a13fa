"""Attempts to run a request: a slot, a target, an exchange, again."""

from __future__ import annotations

from asyncio import CancelledError
from typing import TYPE_CHECKING

from attrs import define

from carawaylane.decisions.budget import RetryBudget
from carawaylane.decisions.health import TargetOutcome
from carawaylane.decisions.slots import Granted, SlotRequest
from carawaylane.kernel.service import Service, service
from carawaylane.messages.home import (
    AcquireSlot,
    CancelSlotRequest,
    LateOutcome,
    ReleaseSlot,
    TargetLeaving,
)
from carawaylane.messages.outcomes import (
    Answered,
    Failed,
    NotRun,
    Outcome,
    Unknown,
)
from carawaylane.services.targets import (
    BrokenExchange,
    CompleteAnswer,
    ExchangeOptions,
    ExchangeResult,
    NeverSent,
    RefusedByTarget,
    StreamedAnswer,
)
from carawaylane.telemetry.events import ANSWER_REJECTED, emit

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from carawaylane.config.schema import TrafficKind
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.exchange import Request
    from carawaylane.services.shard import ShardHome

# Share of the time left that one of several tries may take.
TRY_SHARE = 0.5
# An unsafe request that a target refused moves on at most this often.
UNSAFE_MOVES = 3


@define(kw_only=True)
class Attempt:
    """What an attempt led to: an outcome, an open answer, or another."""

    outcome: Outcome | None = None
    opened: StreamedAnswer | None = None
    again: bool = False
    costs: bool = True


@service('attempts')
class Attempts(Service):
    """Runs requests on targets, again where that is safe and paid for."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._budgets: dict[str, RetryBudget] = {}

    async def start(self) -> None:
        """Find the services that attempts need."""
        self._homes = self.kernel.find('homes')
        self._suspects = self.kernel.find('suspects')
        self._metrics = self.kernel.find('telemetry').metrics
        self._traces = self.kernel.find('telemetry').traces

    async def run(
        self, home: ShardHome, kind: TrafficKind, req: Request
    ) -> Attempt:
        """Return what all attempts together led to."""
        budget = self._budget(kind)
        budget.record_first_attempt()
        avoid: set[str] = set()
        retries = 0
        moves = 0
        while True:
            held = self._suspects.held(kind, req)
            if held is not None:
                return Attempt(outcome=held)
            more = retries < kind.retries.max and not kind.unsafe
            tried = await self._try_once(home, kind, req, avoid, more)
            if not tried.again:
                return tried
            if tried.costs:
                retries += 1
                if not more or not budget.try_spend():
                    return tried
            else:
                moves += 1
                if moves > UNSAFE_MOVES:
                    return tried
            self._metrics.count('retries', kind=kind.name)

    async def _try_once(
        self,
        home: ShardHome,
        kind: TrafficKind,
        req: Request,
        avoid: set[str],
        more: bool,
    ) -> Attempt:
        left_s = self._left_s(req)
        demand = SlotRequest(
            ticket=home.pool.new_ticket(),
            kind=kind.name,
            caller=req.caller,
            share=kind.share,
            max_queue=kind.max_queue,
            deadline_s=self.kernel.now_s() + left_s,
            avoid=frozenset(avoid),
        )
        asked_s = self.kernel.now_s()
        try:
            grant = await home.ask(AcquireSlot(slot_request=demand))
        except CancelledError:
            home.post(CancelSlotRequest(ticket=demand.ticket))
            raise
        self._metrics.observe_duration(
            'slot_wait', self.kernel.now_s() - asked_s
        )
        if not isinstance(grant, Granted):
            return Attempt(
                outcome=NotRun(
                    reason=grant.reason,
                    retry_after_ms=int(grant.retry_after_s * 1000) + 1,
                )
            )
        avoid.add(grant.target)
        return await self._with_slot(
            home, kind, req, demand.ticket, grant.target, more
        )

    async def _with_slot(
        self,
        home: ShardHome,
        kind: TrafficKind,
        req: Request,
        ticket: int,
        target: str,
        more: bool,
    ) -> Attempt:
        began_s = self.kernel.now_s()
        span = self._traces.start_span('target', req.trace_parent)
        found: ExchangeResult | None = None
        self._suspects.begin(target, req)
        try:
            found = await self._exchange(home, kind, req, target, more)
            if isinstance(found, StreamedAnswer):
                found.rest = self._held_slot(
                    home, kind, ticket, target, began_s, found.rest
                )
        finally:
            span.end()
            if not isinstance(found, StreamedAnswer):
                self._give_back(home, kind, ticket, target, began_s, found)
            # After a break it stays until it is known what died.
            if not isinstance(found, BrokenExchange):
                self._suspects.forget(target, req)
        if isinstance(found, BrokenExchange):
            return await self._after_break(home, kind, req, target, found)
        return await self._conclude(home, kind, target, found)

    async def _exchange(
        self,
        home: ShardHome,
        kind: TrafficKind,
        req: Request,
        target: str,
        more: bool,
    ) -> ExchangeResult:
        spec = home.service
        known = home.targets.get(target)
        if known is None or spec is None:
            return RefusedByTarget(leaving=False, deadline_passed=False)
        left_s = self._left_s(req)
        if left_s <= 0:
            return RefusedByTarget(leaving=False, deadline_passed=True)
        options = ExchangeOptions(
            head_timeout_s=left_s * TRY_SHARE if more else left_s,
            read_timeout_s=kind.timeout_ms / 1000,
            echoes_request_id=spec.echoes_request_id,
            not_run_header=spec.not_run_header,
            max_buffered_bytes=self.kernel.cfg.max_answer_hold_bytes,
        )
        client = self._homes.target_client(known.address)
        return await client.exchange(req, options, unsafe=kind.unsafe)

    async def _held_slot(
        self,
        home: ShardHome,
        kind: TrafficKind,
        ticket: int,
        target: str,
        began_s: float,
        rest: AsyncIterator[bytes],
    ) -> AsyncIterator[bytes]:
        """Yield the rest of an answer and keep its slot until its end."""
        whole = False
        try:
            async for data in rest:
                yield data
            whole = True
        finally:
            outcome = None
            if not whole:
                outcome = _work(target, kind, True, 0.0)
            home.post(
                ReleaseSlot(
                    ticket=ticket, target=target, outcome=outcome, busy_s=None
                )
            )

    def _give_back(
        self,
        home: ShardHome,
        kind: TrafficKind,
        ticket: int,
        target: str,
        began_s: float,
        found: ExchangeResult | None,
    ) -> None:
        took_s = self.kernel.now_s() - began_s
        outcome = None
        if isinstance(found, CompleteAnswer):
            outcome = _work(target, kind, found.status >= 500, took_s)
        elif isinstance(found, NeverSent):
            outcome = _work(target, kind, True, took_s)
        elif isinstance(found, BrokenExchange) and (
            found.timed_out or found.mismatched
        ):
            outcome = _work(target, kind, True, took_s)
        whole = isinstance(found, CompleteAnswer)
        home.post(
            ReleaseSlot(
                ticket=ticket,
                target=target,
                outcome=outcome,
                busy_s=took_s if whole else None,
            )
        )
        if whole:
            self._metrics.observe_duration('target', took_s)

    async def _conclude(
        self,
        home: ShardHome,
        kind: TrafficKind,
        target: str,
        found: ExchangeResult,
    ) -> Attempt:
        match found:
            case CompleteAnswer():
                return self._conclude_whole(kind, target, found)
            case StreamedAnswer():
                return Attempt(opened=found)
            case RefusedByTarget():
                if found.leaving:
                    home.post(TargetLeaving(target=target))
                reason = (
                    'the deadline passed'
                    if found.deadline_passed
                    else 'refused'
                )
                outcome = NotRun(reason=reason)
                again = not found.deadline_passed
                return Attempt(outcome=outcome, again=again, costs=False)
            case NeverSent():
                await self._drop_pool(home, target)
                return Attempt(
                    outcome=NotRun(reason=found.reason),
                    again=True,
                    costs=False,
                )
        return Attempt(outcome=Unknown(reason='no such case'))

    async def _drop_pool(self, home: ShardHome, target: str) -> None:
        known = home.targets.get(target)
        if known is not None:
            await self._homes.target_client(known.address).drop_pool()

    def _conclude_whole(
        self, kind: TrafficKind, target: str, found: CompleteAnswer
    ) -> Attempt:
        outcome = Answered(
            status=found.status,
            headers=found.headers,
            body=found.body,
            target=target,
        )
        failed = found.status in (500, 502, 503, 504)
        return Attempt(outcome=outcome, again=failed and not kind.unsafe)

    async def _after_break(
        self,
        home: ShardHome,
        kind: TrafficKind,
        req: Request,
        target: str,
        found: BrokenExchange,
    ) -> Attempt:
        if found.mismatched or found.reason.startswith('truncated'):
            emit(ANSWER_REJECTED, target=target, reason=found.reason)
            self._metrics.count('answers_rejected')
        known = home.targets.get(target)
        if known is not None:
            client = self._homes.target_client(known.address)
            await client.drop_pool()
            if not found.timed_out and not await client.is_alive():
                await self._suspects.died(home, target)
            elif not found.timed_out and not found.mismatched:
                outcome = _work(target, kind, True, 0.0)
                home.post(LateOutcome(outcome=outcome))
        self._suspects.forget(target, req)
        if kind.unsafe:
            return Attempt(outcome=Unknown(reason=found.reason))
        return Attempt(outcome=Failed(reason=found.reason), again=True)

    def _budget(self, kind: TrafficKind) -> RetryBudget:
        known = self._budgets.get(kind.name)
        if known is None or known.percent != kind.retries.budget_percent:
            known = RetryBudget(percent=kind.retries.budget_percent)
            self._budgets[kind.name] = known
        return known

    def _left_s(self, req: Request) -> float:
        return (req.deadline_ms - self.kernel.now_ms()) / 1000


def _work(
    target: str, kind: TrafficKind, failed: bool, took_s: float
) -> TargetOutcome:
    return TargetOutcome(
        target=target, kind=kind.name, failed=failed, latency_s=took_s
    )
