"""Attempts to run a request on targets, with retries."""

from __future__ import annotations

from asyncio import CancelledError
from typing import TYPE_CHECKING

from attrs import define

from carawaylane.decisions.admission.retry_budget import RetryBudget
from carawaylane.decisions.admission.slots import Granted, SlotRequest
from carawaylane.decisions.targets.health import TargetOutcome
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

# Share of the time left that an attempt may take if a retry may follow it.
RETRYABLE_ATTEMPT_SHARE = 0.5
# Retries of a request after attempts that did not run. They are free: neither
# the retry limits of the traffic kind nor its safety apply to them.
MAX_FREE_RETRIES = 3


@define(kw_only=True)
class AttemptResult:
    """Result of one attempt, or of all attempts of a request.

    It is an outcome, or an answer that is still being read. If `retry` is
    set, another attempt is safe; `counts_as_retry` tells whether that attempt
    counts towards the retry limits of the traffic kind.
    """

    outcome: Outcome | None = None
    streamed: StreamedAnswer | None = None
    retry: bool = False
    counts_as_retry: bool = True


@service('attempts')
class Attempts(Service):
    """Runs requests on targets.

    Retries a request if that is safe and within the retry limits of its
    traffic kind.
    """

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._budgets: dict[str, RetryBudget] = {}

    async def start(self) -> None:
        """Look up the services that attempts use."""
        self._homes = self.kernel.find('homes')
        self._suspects = self.kernel.find('suspects')
        self._metrics = self.kernel.find('telemetry').metrics
        self._tracer = self.kernel.find('telemetry').tracer

    async def run_with_retries(
        self, home: ShardHome, kind: TrafficKind, req: Request
    ) -> AttemptResult:
        """Run a request; return the result of its last attempt."""
        budget = self._retry_budget(kind)
        budget.record_first_attempt()
        tried_targets: set[str] = set()
        retries = 0
        free_retries = 0
        while True:
            quarantine_outcome = self._suspects.quarantine_outcome(kind, req)
            if quarantine_outcome is not None:
                return AttemptResult(outcome=quarantine_outcome)
            may_retry = retries < kind.retries.max and not kind.unsafe
            result = await self._attempt(
                home, kind, req, tried_targets, may_retry
            )
            if not result.retry:
                return result
            if result.counts_as_retry:
                retries += 1
                if not may_retry or not budget.try_spend():
                    return result
            else:
                free_retries += 1
                if free_retries > MAX_FREE_RETRIES:
                    return result
            self._metrics.count('retries', kind=kind.name)

    async def _attempt(
        self,
        home: ShardHome,
        kind: TrafficKind,
        req: Request,
        tried_targets: set[str],
        may_retry: bool,
    ) -> AttemptResult:
        time_left_s = self._time_left_s(req)
        slot_request = SlotRequest(
            ticket=home.pool.new_ticket(),
            kind=kind.name,
            caller=req.caller,
            share=kind.share,
            max_queue=kind.max_queue,
            deadline_s=self.kernel.now_s() + time_left_s,
            avoid=frozenset(tried_targets),
        )
        requested_at_s = self.kernel.now_s()
        try:
            acquire_result = await home.ask(
                AcquireSlot(slot_request=slot_request)
            )
        except CancelledError:
            home.post(CancelSlotRequest(ticket=slot_request.ticket))
            raise
        self._metrics.observe_duration(
            'slot_wait', self.kernel.now_s() - requested_at_s
        )
        if not isinstance(acquire_result, Granted):
            return AttemptResult(
                outcome=NotRun(
                    reason=acquire_result.reason,
                    retry_after_ms=int(acquire_result.retry_after_s * 1000)
                    + 1,
                )
            )
        is_retry = bool(tried_targets)
        tried_targets.add(acquire_result.target)
        return await self._run_in_slot(
            home,
            kind,
            req,
            slot_request.ticket,
            acquire_result.target,
            may_retry,
            is_retry,
        )

    async def _run_in_slot(
        self,
        home: ShardHome,
        kind: TrafficKind,
        req: Request,
        ticket: int,
        target: str,
        may_retry: bool,
        is_retry: bool,
    ) -> AttemptResult:
        started_at_s = self.kernel.now_s()
        span = self._tracer.start_span('target', req.trace_parent)
        exchange: ExchangeResult | None = None
        self._suspects.add_running(target, req)
        try:
            exchange = await self._exchange(
                home, kind, req, target, may_retry, is_retry
            )
            if isinstance(exchange, StreamedAnswer):
                exchange.rest = self._stream_then_release(
                    home, kind, ticket, target, started_at_s, exchange.rest
                )
                # A generator that has not started cleans nothing up.
                await anext(exchange.rest)
        finally:
            span.end()
            if not isinstance(exchange, StreamedAnswer):
                self._release_slot(
                    home, kind, ticket, target, started_at_s, exchange
                )
            # After a broken exchange the request stays listed as running until
            # it is known whether the target crashed: it is then a suspect.
            if not isinstance(exchange, BrokenExchange):
                self._suspects.remove_running(target, req)
        if isinstance(exchange, BrokenExchange):
            return await self._handle_broken(home, kind, req, target, exchange)
        return await self._attempt_result(home, kind, target, exchange)

    async def _exchange(
        self,
        home: ShardHome,
        kind: TrafficKind,
        req: Request,
        target: str,
        may_retry: bool,
        is_retry: bool,
    ) -> ExchangeResult:
        spec = home.service
        target_spec = home.targets.get(target)
        if target_spec is None or spec is None:
            return RefusedByTarget(leaving=False, deadline_passed=False)
        time_left_s = self._time_left_s(req)
        if time_left_s <= 0:
            return RefusedByTarget(leaving=False, deadline_passed=True)
        options = ExchangeOptions(
            head_timeout_s=time_left_s * RETRYABLE_ATTEMPT_SHARE
            if may_retry
            else time_left_s,
            read_timeout_s=kind.timeout_ms / 1000,
            echoes_request_id=spec.echoes_request_id,
            not_run_header=spec.not_run_header,
            seal_header=spec.seal_header,
            max_buffered_bytes=self.kernel.cfg.max_answer_hold_bytes,
        )
        client = self._homes.target_client(target_spec.address)
        return await client.exchange(
            req, options, new_connection=kind.unsafe or is_retry
        )

    async def _stream_then_release(
        self,
        home: ShardHome,
        kind: TrafficKind,
        ticket: int,
        target: str,
        started_at_s: float,
        rest: AsyncIterator[bytes],
    ) -> AsyncIterator[bytes]:
        """Yield nothing, then the rest of an answer, and release its slot."""
        complete = False
        try:
            yield b''
            async for data in rest:
                yield data
            complete = True
        finally:
            outcome = None
            if not complete:
                outcome = _target_outcome(target, kind, True, 0.0)
            home.post(
                ReleaseSlot(
                    ticket=ticket, target=target, outcome=outcome, busy_s=None
                )
            )

    def _release_slot(
        self,
        home: ShardHome,
        kind: TrafficKind,
        ticket: int,
        target: str,
        started_at_s: float,
        exchange: ExchangeResult | None,
    ) -> None:
        latency_s = self.kernel.now_s() - started_at_s
        outcome = None
        if isinstance(exchange, CompleteAnswer):
            outcome = _target_outcome(
                target, kind, exchange.status >= 500, latency_s
            )
        elif isinstance(exchange, NeverSent):
            outcome = _target_outcome(target, kind, True, latency_s)
        elif isinstance(exchange, BrokenExchange) and (
            exchange.timed_out or exchange.mismatched
        ):
            outcome = _target_outcome(target, kind, True, latency_s)
        # Other broken exchanges are counted once it is known whether the
        # target crashed.
        answered = isinstance(exchange, CompleteAnswer)
        home.post(
            ReleaseSlot(
                ticket=ticket,
                target=target,
                outcome=outcome,
                busy_s=latency_s if answered else None,
            )
        )
        if answered:
            self._metrics.observe_duration('target', latency_s)

    async def _attempt_result(
        self,
        home: ShardHome,
        kind: TrafficKind,
        target: str,
        exchange: ExchangeResult,
    ) -> AttemptResult:
        match exchange:
            case CompleteAnswer():
                return self._answer_result(kind, target, exchange)
            case StreamedAnswer():
                return AttemptResult(streamed=exchange)
            case RefusedByTarget():
                if exchange.leaving:
                    home.post(TargetLeaving(target=target))
                # Without ids, a copy of the refusal would refuse the next
                # request on its connection.
                if home.service and not home.service.echoes_request_id:
                    await self._drop_pool(home, target)
                reason = (
                    'the deadline passed'
                    if exchange.deadline_passed
                    else 'refused'
                )
                outcome = NotRun(reason=reason)
                retry = not exchange.deadline_passed
                return AttemptResult(
                    outcome=outcome, retry=retry, counts_as_retry=False
                )
            case NeverSent():
                await self._drop_pool(home, target)
                return AttemptResult(
                    outcome=NotRun(reason=exchange.reason),
                    retry=True,
                    counts_as_retry=False,
                )
        return AttemptResult(outcome=Unknown(reason='no such case'))

    async def _drop_pool(self, home: ShardHome, target: str) -> None:
        target_spec = home.targets.get(target)
        if target_spec is not None:
            await self._homes.target_client(target_spec.address).drop_pool()

    def _answer_result(
        self, kind: TrafficKind, target: str, answer: CompleteAnswer
    ) -> AttemptResult:
        outcome = Answered(
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
            target=target,
        )
        failed = answer.status in (500, 502, 503, 504)
        return AttemptResult(outcome=outcome, retry=failed and not kind.unsafe)

    async def _handle_broken(
        self,
        home: ShardHome,
        kind: TrafficKind,
        req: Request,
        target: str,
        exchange: BrokenExchange,
    ) -> AttemptResult:
        """Check whether the target crashed; return the attempt's result."""
        if exchange.mismatched or exchange.reason.startswith('truncated'):
            emit(ANSWER_REJECTED, target=target, reason=exchange.reason)
            self._metrics.count('answers_rejected')
        target_spec = home.targets.get(target)
        if target_spec is not None:
            client = self._homes.target_client(target_spec.address)
            await client.drop_pool()
            if not exchange.timed_out and not await client.is_alive():
                await self._suspects.handle_crash(home, target)
            elif not exchange.timed_out and not exchange.mismatched:
                outcome = _target_outcome(target, kind, True, 0.0)
                home.post(LateOutcome(outcome=outcome))
        self._suspects.remove_running(target, req)
        if kind.unsafe:
            return AttemptResult(outcome=Unknown(reason=exchange.reason))
        return AttemptResult(
            outcome=Failed(reason=exchange.reason), retry=True
        )

    def _retry_budget(self, kind: TrafficKind) -> RetryBudget:
        budget = self._budgets.get(kind.name)
        if budget is None or budget.percent != kind.retries.budget_percent:
            budget = RetryBudget(percent=kind.retries.budget_percent)
            self._budgets[kind.name] = budget
        return budget

    def _time_left_s(self, req: Request) -> float:
        return (req.deadline_ms - self.kernel.now_ms()) / 1000


def _target_outcome(
    target: str, kind: TrafficKind, failed: bool, latency_s: float
) -> TargetOutcome:
    return TargetOutcome(
        target=target, kind=kind.name, failed=failed, latency_s=latency_s
    )
