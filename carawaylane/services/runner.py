"""Running requests at the home of their shard, keyed or not."""

from __future__ import annotations

from asyncio import Queue, Task, timeout
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from attrs import evolve

from carawaylane.decisions.ledger import (
    InDoubt,
    Join,
    Refuse,
    Replay,
    Run,
)
from carawaylane.kernel.service import Service, service
from carawaylane.messages.exchange import Head, Piece, Request
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

UNSERVED = 'this node does not know the service'
PIECES_AHEAD = 16
DISCARD_POLL_S = 0.1


@service('runner')
class Runner(Service):
    """Admits keys, runs requests and records how they ended."""

    async def start(self) -> None:
        """Find the services that running needs."""
        self._homes = self.kernel.find('homes')
        self._attempts = self.kernel.find('attempts')
        self._config = self.kernel.find('relay').config

    async def run_request(self, req: Request) -> AsyncGenerator[Piece, None]:
        """Yield the answer to a request of a shard that is homed here."""
        home = await self._homes.get_or_create_home((req.service, req.shard))
        kind = self._config.docs.get(('TrafficKind', req.kind))
        if home is None or kind is None:
            yield Piece(end=_unserved(req))
            return
        if req.key:
            pieces = self._run_keyed(home, kind, req)
        else:
            pieces = self._run_plain(home, kind, req)
        async for piece in pieces:
            yield piece

    async def run_on_lent_slot(
        self, req: Request
    ) -> AsyncGenerator[Piece, None]:
        """Yield the answer to a request whose key another shard owns.

        The owner has recorded the key; here it only gets a slot.
        """
        home = await self._homes.get_or_create_home((req.service, req.shard))
        kind = self._config.docs.get(('TrafficKind', req.kind))
        if home is None or kind is None:
            yield Piece(end=NotRun(reason=UNSERVED))
            return
        async for piece in self._run_plain(home, kind, req):
            yield piece

    async def _run_plain(
        self, home: ShardHome, kind: TrafficKind, req: Request
    ) -> AsyncGenerator[Piece, None]:
        tried = await self._attempts.run_with_retries(home, kind, req)
        if tried.streamed is not None:
            async for piece in self._stream(tried.streamed, kind.unsafe):
                yield piece
            return
        yield _piece_of(tried.outcome)

    async def _run_keyed(
        self, home: ShardHome, kind: TrafficKind, req: Request
    ) -> AsyncGenerator[Piece, None]:
        entry = self.kernel.find('relay').fleet.members.get(req.entry)
        join_seq = entry.join_seq if entry else None
        verdict = await home.ask(AdmitKey(req=req, join_seq=join_seq))
        if isinstance(verdict, Run):
            pieces: Queue[Piece] = Queue(PIECES_AHEAD)
            run = self.spawn(self._run_once(home, kind, req, pieces))
            try:
                while True:
                    piece = await pieces.get()
                    yield piece
                    if piece.end is not None:
                        return
            finally:
                # The run goes on without its caller; nobody reads on.
                if not run.done():
                    self.spawn(_discard(pieces, run))
        elif isinstance(verdict, Join):
            yield _piece_of(await self._join(home, req))
        else:
            yield _piece_of(_settled(verdict))

    async def _join(self, home: ShardHome, req: Request) -> Outcome:
        left_s = self._left_s(req)
        try:
            async with timeout(max(0.0, left_s)):
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

    async def _run_once(
        self,
        home: ShardHome,
        kind: TrafficKind,
        req: Request,
        pieces: Queue[Piece],
    ) -> None:
        outcome: Outcome = Unknown(reason='the run was stopped')
        kept = True
        try:
            tried = await self._attempts.run_with_retries(home, kind, req)
            if isinstance(tried.outcome, NotRun):
                tried = await self._borrow(home, req, tried)
            if tried.streamed is None:
                outcome = tried.outcome or outcome
                if isinstance(outcome, NotRun):
                    now_ms = self.kernel.now_ms()
                    outcome = replace(outcome, refused_ms=now_ms)
                piece = _piece_of(outcome)
            else:
                last = Piece(end=Unknown(reason='truncated'))
                async for last in self._stream(tried.streamed, True):
                    if last.end is None:
                        await pieces.put(last)
                piece = last
                outcome = last.end or outcome
                kept = False
        finally:
            home.post(
                RecordKeyOutcome(key=req.key, outcome=outcome, kept=kept)
            )
        await pieces.put(piece)

    async def _borrow(
        self, home: ShardHome, req: Request, refused: AttemptResult
    ) -> AttemptResult:
        """Ask the homes of the service's other shards for a slot."""
        spec = home.service
        if spec is None or not _may_borrow(refused.outcome):
            return refused
        forwarder = self.kernel.find('forwarder')
        for number in range(spec.shards):
            if number == req.shard:
                continue
            lender = forwarder.home((req.service, number), set())
            if lender is None:
                continue
            found = await self._borrow_from(lender, evolve(req, shard=number))
            if not isinstance(found.outcome, NotRun):
                return found
        return refused

    async def _borrow_from(self, lender: str, req: Request) -> AttemptResult:
        if lender == self.kernel.member:
            pieces = self.run_on_lent_slot(req)
        else:
            peers = self.kernel.find('peers')
            pieces = peers.forward(lender, req, ForwardRequest.TO_SLOT)
        try:
            first = await anext(pieces)
        except NeverSentError:
            return AttemptResult(
                outcome=NotRun(reason='a lender is not reached')
            )
        if first.head is None:
            return AttemptResult(outcome=first.end)
        opened = StreamedAnswer(
            status=first.head.status,
            headers=first.head.headers,
            body=first.data,
            rest=_rest_of(pieces),
        )
        if not isinstance(first.end, Answered):
            return AttemptResult(streamed=opened)
        return AttemptResult(
            outcome=Answered(
                status=opened.status,
                headers=opened.headers,
                body=opened.body,
                target=first.head.target,
            )
        )

    async def _stream(
        self, opened: StreamedAnswer, unsafe: bool
    ) -> AsyncGenerator[Piece, None]:
        head = Head(status=opened.status, headers=opened.headers)
        yield Piece(head=head, data=opened.body)
        try:
            async for data in opened.rest:
                yield Piece(data=data)
        except TruncatedError as exc:
            emit(ANSWER_REJECTED, target='', reason=str(exc))
            reason = f'truncated: {exc}'
            if unsafe:
                yield Piece(end=Unknown(reason=reason))
            else:
                yield Piece(end=Failed(reason=reason))
            return
        yield Piece(end=Answered(status=opened.status))

    def _left_s(self, req: Request) -> float:
        return (req.deadline_ms - self.kernel.now_ms()) / 1000


async def _discard(pieces: Queue[Piece], run: Task[None]) -> None:
    """Read on in a caller's stead, so that its run can end."""
    while not run.done():
        try:
            async with timeout(DISCARD_POLL_S):
                await pieces.get()
        except TimeoutError:
            continue


async def _rest_of(
    pieces: AsyncGenerator[Piece, None],
) -> AsyncIterator[bytes]:
    async for piece in pieces:
        if piece.data:
            yield piece.data
        if piece.end is not None and not isinstance(piece.end, Answered):
            raise TruncatedError('the lender lost the answer')


def _may_borrow(outcome: Outcome | None) -> bool:
    # A quarantined request must not run anywhere.
    return isinstance(outcome, NotRun) and outcome.retry_after_ms > 0


def _settled(verdict: Any) -> Outcome:
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


def _piece_of(outcome: Outcome | None) -> Piece:
    if isinstance(outcome, Answered):
        head = Head(
            status=outcome.status,
            headers=outcome.headers,
            target=outcome.target,
            replayed=outcome.replayed,
        )
        return Piece(head=head, data=outcome.body, end=outcome)
    return Piece(end=outcome)


def _unserved(req: Request) -> Outcome:
    if req.key:
        return Moved()
    return NotRun(reason=UNSERVED)
