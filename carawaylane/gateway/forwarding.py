"""Forwarding of a caller's request: targets, again where that is safe."""

from __future__ import annotations

from asyncio import FIRST_COMPLETED, Task, create_task, wait

from attrs import Factory, define, frozen

from carawaylane.decisions.failure_estimate import Result
from carawaylane.gateway.dispatch import GrantedSlot
from carawaylane.gateway.exchanges import ExchangeResult, OutgoingRequest
from carawaylane.kernel.service import Service, service
from carawaylane.messages.dispatch import AttemptKind, Refusal, SlotRequest
from carawaylane.messages.outcomes import (
    Answered,
    Failed,
    NotRun,
    Outcome,
    Unknown,
)
from carawaylane.messages.platform_objects import Route
from carawaylane.services.targets import (
    BrokenExchange,
    CompleteAnswer,
    NeverSent,
    RefusedByTarget,
)
from carawaylane.telemetry.events import TARGET_RESULT, emit

SERVER_ERROR = 500
# Sends that never reached a target don't count against the route's limit,
# but they end somewhere.
MAX_UNREACHED = 3
# An answer that comes in less than this can't be acted on.
LEAST_LEFT_S = 0.005
# A hedge that found no good slot is asked for again after this.
HEDGE_AGAIN_S = 0.25
# Least time between words to a home that an exchange is still open.
LEAST_TELL_S = 0.05


@frozen(kw_only=True)
class Job:
    """A caller's request with its route; times of the steady clock."""

    out: OutgoingRequest
    route: Route
    service: str
    deadline_s: float
    digest: int


@define(kw_only=True, eq=False)
class _Send:
    """An exchange under way."""

    placed: GrantedSlot
    began_s: float
    task: Task[ExchangeResult]
    # When the home is told next that this exchange is still open.
    tell_at_s: float


@define(kw_only=True, eq=False)
class _Progress:
    """What a job has been through."""

    job: Job
    running: list[_Send] = Factory(list)
    avoid: set[str] = Factory(set)
    # Targets that have received the request.
    reached: int = 0
    unreached: int = 0
    hedge_at_s: float = float('inf')
    # The target's own error, kept in case that nothing better comes.
    error: Answered | None = None
    # Why it may have run without an answer.
    broken: str = ''
    timed_out: bool = False


@service('forwarding')
class Forwarding(Service):
    """Takes each request to one outcome."""

    async def start(self) -> None:
        """Find the services that forwarding needs."""
        self._dispatch = self.kernel.find('dispatch')
        self._exchanges = self.kernel.find('exchanges')
        self._metrics = self.kernel.find('telemetry').metrics

    async def forward(self, job: Job) -> Outcome:
        """Return how a request ended; cancelling it stops its targets."""
        state = _Progress(job=job)
        try:
            return await self._forward(state)
        finally:
            for send in state.running:
                send.task.cancel()
                self._report(send, Result.CANCELLED)

    async def _forward(self, state: _Progress) -> Outcome:
        turn = AttemptKind.FIRST
        while True:
            if state.running:
                placed = await self._place_beside(state, turn)
            else:
                placed = await self._place(state, turn)
            if isinstance(placed, GrantedSlot):
                self._send(state, placed)
            elif not state.running:
                return self._refused(state, placed)
            else:
                # Another target still runs it: wait for that.
                state.hedge_at_s = self.kernel.now_s() + HEDGE_AGAIN_S
            next_turn = await self._await_turn(state)
            if not isinstance(next_turn, AttemptKind):
                return next_turn
            turn = next_turn

    async def _place_beside(
        self, state: _Progress, turn: AttemptKind
    ) -> GrantedSlot | Refusal:
        """Return one more target, unless what runs ends before.

        An answer must not wait for a home that is silent, or for a place in
        its queue.
        """
        running = [send.task for send in state.running]
        placing = create_task(self._place(state, turn))
        try:
            while not (placing.done() or any(t.done() for t in running)):
                next_s = min(send.tell_at_s for send in state.running)
                await wait(
                    [placing, *running],
                    timeout=max(0.0, next_s - self.kernel.now_s()),
                    return_when=FIRST_COMPLETED,
                )
                self._tell_open(state)
        finally:
            if not placing.done():
                placing.cancel()
        await wait([placing])
        placed: GrantedSlot | Refusal | None = None
        if not placing.cancelled():
            placed = placing.result()
        if any(task.done() for task in running) and isinstance(
            placed, GrantedSlot
        ):
            placed.home.report_result(
                placed.service, placed.grant.ticket, Result.UNUSED, 0.0
            )
            placed = None
        if placed is not None:
            return placed
        return Refusal(
            ticket=self._dispatch.new_ticket(),
            retry_after_s=0.0,
            reason='the first target ended before',
        )

    async def _place(
        self, state: _Progress, turn: AttemptKind
    ) -> GrantedSlot | Refusal:
        job = state.job
        left_s = job.deadline_s - self.kernel.now_s()
        ticket = self._dispatch.new_ticket()
        if left_s < LEAST_LEFT_S:
            return Refusal(
                ticket=ticket, retry_after_s=0.1, reason='no time is left'
            )
        ask = SlotRequest(
            ticket=ticket,
            data_centre=self.kernel.cfg.data_centre,
            route=job.route.name,
            priority=job.route.priority,
            idempotent=job.route.idempotent,
            left_s=left_s,
            objective_s=job.route.objective_s,
            attempt=turn,
            avoided_targets=frozenset(state.avoid),
            digest=job.digest,
            request_id=job.out.request_id,
        )
        return await self._dispatch.acquire_slot(job.service, ask)

    def _send(self, state: _Progress, placed: GrantedSlot) -> None:
        job = state.job
        now_s = self.kernel.now_s()
        grant = placed.grant
        task = create_task(
            self._exchanges.exchange(
                grant.target, grant.address, job.out, job.deadline_s - now_s
            )
        )
        state.running.append(
            _Send(
                placed=placed,
                began_s=now_s,
                task=task,
                tell_at_s=now_s + max(grant.hedge_after_s, LEAST_TELL_S),
            )
        )
        state.avoid.add(grant.target)
        state.reached += 1
        state.hedge_at_s = float('inf')
        if job.route.idempotent and state.reached < job.route.max_targets:
            state.hedge_at_s = now_s + grant.hedge_after_s

    async def _await_turn(self, state: _Progress) -> AttemptKind | Outcome:
        """Wait for an outcome, or for a reason to send once more."""
        while state.running:
            next_s = min(send.tell_at_s for send in state.running)
            next_s = min(next_s, state.hedge_at_s) - self.kernel.now_s()
            done, _ = await wait(
                [send.task for send in state.running],
                timeout=max(0.0, next_s),
                return_when=FIRST_COMPLETED,
            )
            if not done:
                self._tell_open(state)
                if self.kernel.now_s() >= state.hedge_at_s:
                    state.hedge_at_s = float('inf')
                    return AttemptKind.HEDGE
            for send in [s for s in state.running if s.task in done]:
                state.running.remove(send)
                found = self._conclude(state, send)
                if found is not None and not state.running:
                    return found
                if isinstance(found, Answered):
                    return found
        return self._failed(state)

    def _tell_open(self, state: _Progress) -> None:
        """Tell homes of exchanges that are still open, when it is due."""
        now_s = self.kernel.now_s()
        for send in state.running:
            if now_s >= send.tell_at_s:
                placed = send.placed
                placed.home.report_still_waiting(
                    placed.service, placed.grant.ticket
                )
                send.tell_at_s = now_s + max(
                    placed.grant.hedge_after_s, LEAST_TELL_S
                )

    def _conclude(
        self, state: _Progress, send: _Send
    ) -> AttemptKind | Outcome | None:
        """Take in the end of an exchange."""
        found = send.task.result()
        result = _result_of(found)
        self._report(send, result)
        self._log(state, send, found, result)
        match found:
            case CompleteAnswer():
                return self._whole(state, found, send)
            case NeverSent():
                state.reached -= 1
                state.unreached += 1
                if state.unreached <= MAX_UNREACHED:
                    return AttemptKind.RESEND
            case RefusedByTarget():
                if self._may_repeat(state):
                    return AttemptKind.REPEAT
            case BrokenExchange():
                state.broken = found.reason
                state.timed_out = found.timed_out
                if state.job.route.idempotent and self._may_repeat(state):
                    return AttemptKind.REPEAT
        return None

    def _whole(
        self, state: _Progress, found: CompleteAnswer, send: _Send
    ) -> AttemptKind | Outcome | None:
        answer = Answered(
            status=found.status,
            headers=found.headers,
            body=found.body,
            target=send.placed.grant.target,
        )
        if found.status < SERVER_ERROR or not state.job.route.idempotent:
            return answer
        state.error = answer
        return AttemptKind.REPEAT if self._may_repeat(state) else None

    def _may_repeat(self, state: _Progress) -> bool:
        left_s = state.job.deadline_s - self.kernel.now_s()
        limit = state.job.route.max_targets
        return state.reached < limit and left_s > LEAST_LEFT_S

    def _refused(self, state: _Progress, refusal: Refusal) -> Outcome:
        if state.error is not None or state.broken:
            return self._failed(state)
        # Whatever was sent has been refused by its target, or never left.
        return NotRun(
            reason=refusal.reason,
            retry_after_ms=int(refusal.retry_after_s * 1000),
        )

    def _failed(self, state: _Progress) -> Outcome:
        if state.error is not None:
            return state.error
        if state.timed_out or state.broken:
            if state.job.route.idempotent and not state.timed_out:
                return Failed(reason=state.broken, retry_after_ms=0)
            return Unknown(reason=state.broken)
        reason = 'targets refused it'
        if state.unreached > MAX_UNREACHED:
            reason = 'no target could be reached'
        return NotRun(reason=reason, retry_after_ms=100)

    def _report(self, send: _Send, result: Result) -> None:
        grant = send.placed.grant
        took_s = self.kernel.now_s() - send.began_s
        send.placed.home.report_result(
            send.placed.service, grant.ticket, result, took_s
        )
        self._metrics.count('exchanges', result=result.name)
        if result is Result.ANSWERED:
            self._metrics.observe_duration('target', took_s)

    def _log(
        self,
        state: _Progress,
        send: _Send,
        found: ExchangeResult,
        result: Result,
    ) -> None:
        if result is Result.ANSWERED:
            return
        emit(
            TARGET_RESULT,
            request=state.job.out.request_id,
            target=send.placed.grant.target,
            result=result.name,
            reason=getattr(found, 'reason', ''),
            took_ms=round((self.kernel.now_s() - send.began_s) * 1000),
            risk=round(send.placed.grant.risk, 2),
        )


def _result_of(found: ExchangeResult) -> Result:
    match found:
        case CompleteAnswer(status=status):
            return (
                Result.ERRORED if status >= SERVER_ERROR else Result.ANSWERED
            )
        case NeverSent():
            return Result.UNREACHED
        case RefusedByTarget(misdirected=True):
            return Result.MISDIRECTED
        case RefusedByTarget():
            return Result.SHED
        case BrokenExchange(timed_out=True):
            return Result.OVERDUE
    return Result.BROKEN
