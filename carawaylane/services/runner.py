"""Runs requests at the home of their shard, with or without a key."""

from __future__ import annotations

from asyncio import Queue, Task, timeout
from contextlib import aclosing
from typing import TYPE_CHECKING, Any

from attrs import Factory, define, evolve

from carawaylane.decisions.ownership.ledger import (
    InDoubt,
    Join,
    Refuse,
    Replay,
    Run,
)
from carawaylane.kernel.service import Service, service
from carawaylane.messages.exchange import AnswerChunk, Head, Request
from carawaylane.messages.home import AdmitKey, AwaitKey, RecordKeyOutcome
from carawaylane.messages.outcomes import (
    Answered,
    Failed,
    Moved,
    NotRun,
    Outcome,
    Unknown,
)
from carawaylane.rpc.node_pb2 import ForwardRequest
from carawaylane.services.attempts import AttemptResult
from carawaylane.services.peers import NeverSentError
from carawaylane.services.targets import StreamedAnswer, TruncatedError
from carawaylane.telemetry.events import ANSWER_REJECTED, emit

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from carawaylane.config.schema import TrafficKind
    from carawaylane.services.shard import ShardHome

UNKNOWN_SERVICE = 'this node does not know the service'
# Chunks of an answer that may wait for a slow reader.
MAX_QUEUED_CHUNKS = 16
QUEUE_DRAIN_POLL_S = 0.1


@define(kw_only=True, eq=False, repr=False)
class _KeyedRun:
    """Chunks of the answer of a run with a key, for its caller.

    If the caller is gone, the request still runs to its end, so that the
    outcome of its key gets recorded.
    """

    chunks: Queue[AnswerChunk] = Factory(lambda: Queue(MAX_QUEUED_CHUNKS))
    caller_left: bool = False


@service('runner')
class Runner(Service):
    """Admits keys, runs requests and records the outcomes of keys."""

    async def start(self) -> None:
        """Look up the services that running a request uses."""
        self._homes = self.kernel.find('homes')
        self._attempts = self.kernel.find('attempts')
        self._config = self.kernel.find('relay').config

    async def run_request(
        self, req: Request
    ) -> AsyncGenerator[AnswerChunk, None]:
        """Run a request of a shard whose home is here; yield its answer."""
        home = await self._homes.get_or_create_home((req.service, req.shard))
        kind = self._config.docs.get(('TrafficKind', req.kind))
        if home is None or kind is None:
            yield AnswerChunk(outcome=_unknown_service_outcome(req))
            return
        if req.key:
            chunks = self._run_keyed(home, kind, req)
        else:
            chunks = self._run_unkeyed(home, kind, req)
        async for chunk in chunks:
            yield chunk

    async def run_on_lent_slot(
        self, req: Request
    ) -> AsyncGenerator[AnswerChunk, None]:
        """Run a request on a slot of `req.shard`, lent by that shard's home.

        The request has a key of another shard of the service, whose home
        recorded the key but could not run the request.
        """
        home = await self._homes.get_or_create_home((req.service, req.shard))
        kind = self._config.docs.get(('TrafficKind', req.kind))
        if home is None or kind is None:
            yield AnswerChunk(outcome=NotRun(reason=UNKNOWN_SERVICE))
            return
        async for chunk in self._run_unkeyed(home, kind, req):
            yield chunk

    async def _run_unkeyed(
        self, home: ShardHome, kind: TrafficKind, req: Request
    ) -> AsyncGenerator[AnswerChunk, None]:
        result = await self._attempts.run_with_retries(home, kind, req)
        if result.streamed is not None:
            async for chunk in self._stream(result.streamed, kind.unsafe):
                yield chunk
            return
        yield _final_chunk(result.outcome)

    async def _run_keyed(
        self, home: ShardHome, kind: TrafficKind, req: Request
    ) -> AsyncGenerator[AnswerChunk, None]:
        entry = self.kernel.find('relay').fleet.members.get(req.entry)
        join_seq = entry.join_seq if entry else None
        verdict = await home.ask(AdmitKey(req=req, join_seq=join_seq))
        if isinstance(verdict, Run):
            run = _KeyedRun()
            run_task = self.spawn(self._run_and_record(home, kind, req, run))
            try:
                while True:
                    chunk = await run.chunks.get()
                    yield chunk
                    if chunk.outcome is not None:
                        return
            finally:
                run.caller_left = True
                if not run_task.done():
                    self.spawn(_drain_queue(run.chunks, run_task))
        elif isinstance(verdict, Join):
            yield _final_chunk(await self._await_outcome(home, req))
        else:
            yield _final_chunk(_outcome_of_verdict(verdict))

    async def _await_outcome(self, home: ShardHome, req: Request) -> Outcome:
        time_left_s = self._time_left_s(req)
        try:
            async with timeout(max(0.0, time_left_s)):
                outcome = await home.ask(AwaitKey(key=req.key))
        except TimeoutError:
            return Unknown(reason='it is running', retry_after_ms=1000)
        if isinstance(outcome, Answered):
            return Answered(
                status=outcome.status,
                headers=outcome.headers,
                body=outcome.body,
                replayed=True,
            )
        return outcome

    async def _run_and_record(
        self,
        home: ShardHome,
        kind: TrafficKind,
        req: Request,
        run: _KeyedRun,
    ) -> None:
        outcome: Outcome = Unknown(reason='the run was stopped')
        kept = True
        try:
            result = await self._attempts.run_with_retries(home, kind, req)
            if isinstance(result.outcome, NotRun):
                result = await self._try_other_shards(home, req, result)
            if result.streamed is None:
                outcome = result.outcome or outcome
                if isinstance(outcome, NotRun):
                    now_ms = self.kernel.now_ms()
                    outcome = evolve(outcome, refused_ms=now_ms)
                final_chunk = _final_chunk(outcome)
            else:
                final_chunk = await self._pass_on(result.streamed, req, run)
                outcome = final_chunk.outcome or outcome
                kept = False
        finally:
            home.post(
                RecordKeyOutcome(key=req.key, outcome=outcome, kept=kept)
            )
        await run.chunks.put(final_chunk)

    async def _pass_on(
        self, answer: StreamedAnswer, req: Request, run: _KeyedRun
    ) -> AnswerChunk:
        """Pass the chunks of an answer on; return the last one.

        An answer that nobody reads is read on until the deadline.
        """
        async with aclosing(self._stream(answer, True)) as chunks:
            async for chunk in chunks:
                if chunk.outcome is not None:
                    return chunk
                if run.caller_left and self._time_left_s(req) <= 0:
                    break
                await run.chunks.put(chunk)
        return AnswerChunk(outcome=Unknown(reason='truncated'))

    async def _try_other_shards(
        self, home: ShardHome, req: Request, refusal: AttemptResult
    ) -> AttemptResult:
        """Run a refused request on a slot of another shard of its service.

        Returns `refusal` if no shard has a slot for it.
        """
        spec = home.service
        if spec is None or not _may_use_other_shard(refusal.outcome):
            return refusal
        forwarder = self.kernel.find('forwarder')
        for number in range(spec.shards):
            if number == req.shard:
                continue
            lender = forwarder.choose_home((req.service, number), set())
            if lender is None:
                continue
            result = await self._run_at_lender(
                lender, evolve(req, shard=number)
            )
            if not isinstance(result.outcome, NotRun):
                return result
        return refusal

    async def _run_at_lender(self, lender: str, req: Request) -> AttemptResult:
        """Run a request on a slot that the home of another shard lends."""
        if lender == self.kernel.member:
            chunks = self.run_on_lent_slot(req)
        else:
            peers = self.kernel.find('peers')
            chunks = peers.forward(lender, req, ForwardRequest.TO_SLOT)
        try:
            first_chunk = await anext(chunks)
        except NeverSentError:
            return AttemptResult(
                outcome=NotRun(reason='a lender is not reached')
            )
        if first_chunk.head is None:
            return AttemptResult(outcome=first_chunk.outcome)
        answer = StreamedAnswer(
            status=first_chunk.head.status,
            headers=first_chunk.head.headers,
            body=first_chunk.data,
            rest=_remaining_data(chunks),
        )
        if not isinstance(first_chunk.outcome, Answered):
            return AttemptResult(streamed=answer)
        return AttemptResult(
            outcome=Answered(
                status=answer.status,
                headers=answer.headers,
                body=answer.body,
                target=first_chunk.head.target,
            )
        )

    async def _stream(
        self, answer: StreamedAnswer, unsafe: bool
    ) -> AsyncGenerator[AnswerChunk, None]:
        head = Head(status=answer.status, headers=answer.headers)
        yield AnswerChunk(head=head, data=answer.body)
        try:
            async for data in answer.rest:
                yield AnswerChunk(data=data)
        except TruncatedError as exc:
            emit(ANSWER_REJECTED, target='', reason=str(exc))
            reason = f'truncated: {exc}'
            if unsafe:
                yield AnswerChunk(outcome=Unknown(reason=reason))
            else:
                yield AnswerChunk(outcome=Failed(reason=reason))
            return
        yield AnswerChunk(outcome=Answered(status=answer.status))

    def _time_left_s(self, req: Request) -> float:
        return (req.deadline_ms - self.kernel.now_ms()) / 1000


async def _drain_queue(
    chunks: Queue[AnswerChunk], run_task: Task[None]
) -> None:
    """Discard queued chunks, so that a full queue does not block the run."""
    while not run_task.done():
        try:
            async with timeout(QUEUE_DRAIN_POLL_S):
                await chunks.get()
        except TimeoutError:
            continue


async def _remaining_data(
    chunks: AsyncGenerator[AnswerChunk, None],
) -> AsyncIterator[bytes]:
    async for chunk in chunks:
        if chunk.data:
            yield chunk.data
        if chunk.outcome is not None and not isinstance(
            chunk.outcome, Answered
        ):
            raise TruncatedError('the lender lost the answer')


def _may_use_other_shard(outcome: Outcome | None) -> bool:
    # A refusal without a retry time is final, such as that of a quarantined
    # request.
    return isinstance(outcome, NotRun) and outcome.retry_after_ms > 0


def _outcome_of_verdict(verdict: Any) -> Outcome:
    match verdict:
        case Replay(answer=answer):
            return Answered(
                status=answer.status,
                headers=answer.headers,
                body=answer.body,
                replayed=True,
            )
        case InDoubt(reason=reason):
            return Unknown(reason=reason)
        case Refuse(reason=reason, at_ms=at_ms):
            return NotRun(reason=reason, refused_ms=at_ms)
        case Moved():
            return verdict
    return Unknown(reason='no such verdict')


def _final_chunk(outcome: Outcome | None) -> AnswerChunk:
    if isinstance(outcome, Answered):
        head = Head(
            status=outcome.status,
            headers=outcome.headers,
            target=outcome.target,
            replayed=outcome.replayed,
        )
        return AnswerChunk(head=head, data=outcome.body, outcome=outcome)
    return AnswerChunk(outcome=outcome)


def _unknown_service_outcome(req: Request) -> Outcome:
    if req.key:
        return Moved()
    return NotRun(reason=UNKNOWN_SERVICE)
