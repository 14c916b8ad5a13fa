"""Running requests on targets, at the home of their shard."""

from __future__ import annotations

from asyncio import CancelledError, Queue, Task, timeout
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from attrs import define, evolve

from carawaylane.decisions.budget import RetryBudget
from carawaylane.decisions.health import Outcome as WorkOutcome
from carawaylane.decisions.ledger import (
    Doubtful,
    Join,
    Refuse,
    Replay,
    Run,
)
from carawaylane.decisions.poison import Quarantine
from carawaylane.decisions.slots import Demand, Granted
from carawaylane.kernel.service import Service, service
from carawaylane.messages.exchange import Head, Piece, Request
from carawaylane.messages.home import (
    Acquire,
    AdmitKey,
    AwaitKey,
    CancelDemand,
    CrashedBy,
    Observed,
    Release,
    SaidLeaving,
    SettleKey,
)
from carawaylane.messages.outcomes import (
    Answered,
    Failed,
    Moved,
    NotRun,
    Outcome,
    Unknown,
)
from carawaylane.rpc.node_pb2 import ForwardRequest, Suspicion
from carawaylane.services.peers import NeverSentError
from carawaylane.services.targets import (
    Broke,
    Exchange,
    ExchangeRules,
    NeverSent,
    Opened,
    Refused,
    TruncatedError,
    Whole,
)
from carawaylane.telemetry.events import (
    ANSWER_REJECTED,
    REQUEST_POISONOUS,
    emit,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from carawaylane.config.schema import TrafficKind
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.services.shard import ShardHome

# Share of the time left that one of several tries may take.
TRY_SHARE = 0.5
SUSPECT_TIMEOUT_S = 1.0
# An unsafe request that a target refused moves on at most this often.
UNSAFE_MOVES = 3
UNSERVED = 'this node does not know the service'
PIECES_AHEAD = 16
DISCARD_POLL_S = 0.1


@define(kw_only=True)
class _Try:
    """What one try led to: an outcome, or another try."""

    outcome: Outcome | None = None
    opened: Opened | None = None
    again: bool = False
    costs: bool = True


@service('runner')
class Runner(Service):
    """Takes a request through admission, slot, target and record."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.quarantine = Quarantine(max_victims=kernel.cfg.max_victims)
        self.unsafe_quarantine = Quarantine(max_victims=1)
        self._budgets: dict[str, RetryBudget] = {}
        self._under_way: dict[str, dict[str, Request]] = {}

    async def start(self) -> None:
        """Find the services that running needs."""
        self._homes = self.kernel.find('homes')
        self._metrics = self.kernel.find('telemetry').metrics
        self._traces = self.kernel.find('telemetry').traces
        self._config = self.kernel.find('relay').config

    async def run(self, req: Request) -> AsyncIterator[Piece]:
        """Yield the answer to a request of a shard that is homed here."""
        home = await self._homes.home((req.service, req.shard))
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

    async def lend(self, req: Request) -> AsyncIterator[Piece]:
        """Yield the answer to a request whose key another shard owns.

        The owner has recorded the key; here it only gets a slot.
        """
        home = await self._homes.home((req.service, req.shard))
        kind = self._config.docs.get(('TrafficKind', req.kind))
        if home is None or kind is None:
            yield Piece(end=NotRun(reason=UNSERVED))
            return
        async for piece in self._run_plain(home, kind, req):
            yield piece

    async def _run_plain(
        self, home: ShardHome, kind: TrafficKind, req: Request
    ) -> AsyncIterator[Piece]:
        tried = await self._try_all(home, kind, req)
        if tried.opened is not None:
            async for piece in self._stream(tried.opened, kind.unsafe):
                yield piece
            return
        yield _piece_of(tried.outcome)

    async def _run_keyed(
        self, home: ShardHome, kind: TrafficKind, req: Request
    ) -> AsyncIterator[Piece]:
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
            tried = await self._try_all(home, kind, req)
            if isinstance(tried.outcome, NotRun):
                tried = await self._borrow(home, req, tried)
            if tried.opened is None:
                outcome = tried.outcome or outcome
                if isinstance(outcome, NotRun):
                    now_ms = self.kernel.now_ms()
                    outcome = replace(outcome, refused_ms=now_ms)
                piece = _piece_of(outcome)
            else:
                last = Piece(end=Unknown(reason='truncated'))
                async for last in self._stream(tried.opened, True):
                    if last.end is None:
                        await pieces.put(last)
                piece = last
                outcome = last.end or outcome
                kept = False
        finally:
            home.post(SettleKey(key=req.key, outcome=outcome, kept=kept))
        await pieces.put(piece)

    async def _borrow(
        self, home: ShardHome, req: Request, refused: _Try
    ) -> _Try:
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

    async def _borrow_from(self, lender: str, req: Request) -> _Try:
        if lender == self.kernel.member:
            pieces = self.lend(req)
        else:
            peers = self.kernel.find('peers')
            pieces = peers.forward(lender, req, ForwardRequest.TO_SLOT)
        try:
            first = await anext(pieces)
        except NeverSentError:
            return _Try(outcome=NotRun(reason='a lender is not reached'))
        if first.head is None:
            return _Try(outcome=first.end)
        opened = Opened(
            status=first.head.status,
            headers=first.head.headers,
            body=first.data,
            rest=_rest_of(pieces),
        )
        if not isinstance(first.end, Answered):
            return _Try(opened=opened)
        return _Try(
            outcome=Answered(
                status=opened.status,
                headers=opened.headers,
                body=opened.body,
                target=first.head.target,
            )
        )

    async def _try_all(
        self, home: ShardHome, kind: TrafficKind, req: Request
    ) -> _Try:
        budget = self._budget(kind)
        budget.earn()
        avoid: set[str] = set()
        retries = 0
        moves = 0
        while True:
            held = self._held(kind, req)
            if held is not None:
                return _Try(outcome=held)
            more = retries < kind.retries.max and not kind.unsafe
            tried = await self._try_once(home, kind, req, avoid, more)
            if not tried.again:
                return tried
            if tried.costs:
                retries += 1
                if not more or not budget.spend():
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
    ) -> _Try:
        left_s = self._left_s(req)
        demand = Demand(
            ticket=home.pool.ticket(),
            kind=kind.name,
            caller=req.caller,
            share=kind.share,
            max_queue=kind.max_queue,
            deadline_s=self.kernel.now_s() + left_s,
            avoid=frozenset(avoid),
        )
        asked_s = self.kernel.now_s()
        try:
            grant = await home.ask(Acquire(demand=demand))
        except CancelledError:
            home.post(CancelDemand(ticket=demand.ticket))
            raise
        self._metrics.time('slot_wait', self.kernel.now_s() - asked_s)
        if not isinstance(grant, Granted):
            return _Try(
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
    ) -> _Try:
        began_s = self.kernel.now_s()
        span = self._traces.start('target', req.trace_parent)
        found: Exchange | None = None
        self._under_way.setdefault(target, {})[req.request_id] = req
        try:
            found = await self._exchange(home, kind, req, target, more)
            if isinstance(found, Opened):
                found.rest = self._held_slot(
                    home, kind, ticket, target, began_s, found.rest
                )
        finally:
            span.end()
            if not isinstance(found, Opened):
                self._give_back(home, kind, ticket, target, began_s, found)
            if found is not None and not isinstance(found, Broke):
                self._forget(target, req)
        if isinstance(found, Broke):
            return await self._after_break(home, kind, req, target, found)
        return await self._conclude(home, kind, target, found)

    async def _exchange(
        self,
        home: ShardHome,
        kind: TrafficKind,
        req: Request,
        target: str,
        more: bool,
    ) -> Exchange:
        spec = home.service
        known = home.targets.get(target)
        if known is None or spec is None:
            return NeverSent(reason='the target was removed')
        left_s = self._left_s(req)
        if left_s <= 0:
            return NeverSent(reason='the deadline passed')
        rules = ExchangeRules(
            timeout_s=left_s * TRY_SHARE if more else left_s,
            idle_s=kind.timeout_ms / 1000,
            echoes_request_id=spec.echoes_request_id,
            not_run_header=spec.not_run_header,
            hold_bytes=self.kernel.cfg.max_answer_hold_bytes,
        )
        client = self._homes.client(known.address)
        return await client.exchange(req, rules, unsafe=kind.unsafe)

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
                Release(
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
        found: Exchange | None,
    ) -> None:
        took_s = self.kernel.now_s() - began_s
        outcome = None
        if isinstance(found, Whole):
            outcome = _work(target, kind, found.status >= 500, took_s)
        elif isinstance(found, NeverSent):
            outcome = _work(target, kind, True, took_s)
        elif isinstance(found, Broke) and (found.timed_out or found.crossed):
            outcome = _work(target, kind, True, took_s)
        whole = isinstance(found, Whole)
        home.post(
            Release(
                ticket=ticket,
                target=target,
                outcome=outcome,
                busy_s=took_s if whole else None,
            )
        )
        if whole:
            self._metrics.time('target', took_s)

    async def _conclude(
        self,
        home: ShardHome,
        kind: TrafficKind,
        target: str,
        found: Exchange,
    ) -> _Try:
        match found:
            case Whole():
                return self._conclude_whole(kind, target, found)
            case Opened():
                return _Try(opened=found)
            case Refused():
                if found.leaving:
                    home.post(SaidLeaving(target=target))
                outcome = NotRun(reason='the target refused it')
                again = not found.late
                return _Try(outcome=outcome, again=again, costs=False)
            case NeverSent():
                await self._drop_pool(home, target)
                return _Try(
                    outcome=NotRun(reason=found.reason),
                    again=True,
                    costs=False,
                )
        return _Try(outcome=Unknown(reason='no such case'))

    async def _drop_pool(self, home: ShardHome, target: str) -> None:
        known = home.targets.get(target)
        if known is not None:
            await self._homes.client(known.address).drop_pool()

    def _conclude_whole(
        self, kind: TrafficKind, target: str, found: Whole
    ) -> _Try:
        outcome = Answered(
            status=found.status,
            headers=found.headers,
            body=found.body,
            target=target,
        )
        failed = found.status in (500, 502, 503, 504)
        return _Try(outcome=outcome, again=failed and not kind.unsafe)

    async def _after_break(
        self,
        home: ShardHome,
        kind: TrafficKind,
        req: Request,
        target: str,
        found: Broke,
    ) -> _Try:
        if found.crossed or found.reason.startswith('truncated'):
            emit(ANSWER_REJECTED, target=target, reason=found.reason)
            self._metrics.count('answers_rejected')
        known = home.targets.get(target)
        if known is not None:
            client = self._homes.client(known.address)
            await client.drop_pool()
            if not found.timed_out and not await client.alive():
                await self._suspect_all(home, target)
            elif not found.timed_out and not found.crossed:
                outcome = _work(target, kind, True, 0.0)
                home.post(Observed(outcome=outcome))
        self._forget(target, req)
        if kind.unsafe:
            return _Try(outcome=Unknown(reason=found.reason))
        return _Try(outcome=Failed(reason=found.reason), again=True)

    async def _suspect_all(self, home: ShardHome, target: str) -> None:
        """Suspect every request that was on a target when it died."""
        home.post(CrashedBy(target=target))
        for req in list(self._under_way.get(target, {}).values()):
            unsafe = bool(req.key) or self._unsafe(req)
            self.suspect(req.digest, target, unsafe)
            await self._tell_suspicion(req, target, unsafe)

    def suspect(self, digest: str, target: str, unsafe: bool) -> None:
        """Count a target that died under a request."""
        now_ms = self.kernel.now_ms()
        chosen = self.unsafe_quarantine if unsafe else self.quarantine
        if chosen.crashed(digest, target, now_ms):
            emit(REQUEST_POISONOUS, digest=digest, target=target)

    async def _tell_suspicion(
        self, req: Request, target: str, unsafe: bool
    ) -> None:
        peers = self.kernel.find('peers')
        fleet = self.kernel.find('relay').fleet
        owners = {
            held.owner
            for (name, _), held in fleet.holdings.items()
            if name == req.service
        }
        msg = Suspicion(
            service=req.service,
            digest=req.digest,
            target=target,
            unsafe=unsafe,
        )
        for owner in owners - {self.kernel.member}:
            await peers.call(owner, 'Suspect', msg, SUSPECT_TIMEOUT_S)

    def _held(self, kind: TrafficKind, req: Request) -> Outcome | None:
        now_ms = self.kernel.now_ms()
        chosen = self.unsafe_quarantine if kind.unsafe else self.quarantine
        if not chosen.holds(req.digest, now_ms):
            return None
        reason = 'targets died under this request'
        self._metrics.count('poisonous')
        if kind.unsafe:
            return NotRun(reason=reason, retry_after_ms=0, status=422)
        return Failed(reason=reason, retry_after_ms=0)

    async def _stream(
        self, opened: Opened, unsafe: bool
    ) -> AsyncIterator[Piece]:
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

    def _forget(self, target: str, req: Request) -> None:
        under_way = self._under_way.get(target, {})
        under_way.pop(req.request_id, None)

    def _unsafe(self, req: Request) -> bool:
        kind = self._config.docs.get(('TrafficKind', req.kind))
        return kind is not None and kind.unsafe

    def _budget(self, kind: TrafficKind) -> RetryBudget:
        known = self._budgets.get(kind.name)
        if known is None or known.percent != kind.retries.budget_percent:
            known = RetryBudget(percent=kind.retries.budget_percent)
            self._budgets[kind.name] = known
        return known

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


async def _rest_of(pieces: AsyncIterator[Piece]) -> AsyncIterator[bytes]:
    async for piece in pieces:
        if piece.data:
            yield piece.data
        if piece.end is not None and not isinstance(piece.end, Answered):
            raise TruncatedError('the lender lost the answer')


def _may_borrow(outcome: Outcome | None) -> bool:
    # A quarantined request must not run anywhere.
    return isinstance(outcome, NotRun) and outcome.retry_after_ms > 0


def _work(
    target: str, kind: TrafficKind, failed: bool, took_s: float
) -> WorkOutcome:
    return WorkOutcome(
        target=target, kind=kind.name, failed=failed, latency_s=took_s
    )


def _settled(verdict: Any) -> Outcome:
    match verdict:
        case Replay(answer=answer):
            return Answered(
                status=answer.status,
                headers=answer.headers,
                body=answer.body,
                replayed=True,
            )
        case Doubtful(reason=reason):
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
