"""Taking a request from its entry to the home of its shard."""

from __future__ import annotations

from asyncio import sleep
from contextlib import aclosing
from typing import TYPE_CHECKING

from attrs import evolve

from carawaylane.decisions.ledger import may_report_refusal
from carawaylane.decisions.placement import (
    ShardLoad,
    choose_shard,
    home_node,
    shard_of_key,
)
from carawaylane.kernel.service import Service, service
from carawaylane.messages.exchange import Piece, Request
from carawaylane.messages.outcomes import (
    Answered,
    Failed,
    Moved,
    NotRun,
    Outcome,
    Unknown,
)
from carawaylane.rpc.node_pb2 import ForwardRequest
from carawaylane.services.journal import RecordAttempt, RecordAttemptOutcome
from carawaylane.services.peers import NODE_LOST, NeverSentError

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from carawaylane.config.schema import Service as ServiceSpec
    from carawaylane.decisions.fleet import Holding, ShardId
    from carawaylane.kernel.kernel import Kernel

# Homes that an idempotent request is sent to at most.
PLAIN_TRIES = 3
# Tries to find the owner of a key, and the pause before the next.
KEYED_TRIES = 6
KEYED_PAUSE_S = 0.1
RETRY_AFTER_MS = 1000
NO_OWNER = Unknown(
    reason='the owner of the key cannot be reached; this attempt did not run',
    retry_after_ms=RETRY_AFTER_MS,
)


@service('forwarder')
class Forwarder(Service):
    """Chooses homes and passes requests on to them."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._loads: dict[ShardId, ShardLoad] = {}

    async def start(self) -> None:
        """Find the services that forwarding needs."""
        self._homes = self.kernel.find('homes')
        self._peers = self.kernel.find('peers')
        self._runner = self.kernel.find('runner')
        self._journal = self.kernel.find('journal')
        self._relay = self.kernel.find('relay')
        self._membership = self.kernel.find('membership')
        self._watcher = self.kernel.find('watcher')
        self._catalogue = self.kernel.find('catalogue')

    async def forward(
        self, req: Request, *, unsafe: bool
    ) -> AsyncGenerator[Piece, None]:
        """Yield the answer to a request that this entry accepted."""
        spec = self._catalogue.config.services.get(req.service)
        if spec is None:
            yield Piece(end=NotRun(reason='the service was removed'))
            return
        if req.key:
            pieces = self.forward_keyed(req)
        else:
            pieces = self._forward_plain(spec, req, unsafe)
        async for piece in pieces:
            yield piece

    def home(self, shard: ShardId, lost: set[str]) -> str | None:
        """Return the node that plain requests of a shard go to."""
        down = self._membership.down_members() | lost
        hint = self._homes.newest_holding(shard)
        fleet = self._relay.fleet
        if hint and hint.owner in fleet.members and hint.owner not in down:
            return hint.owner
        return home_node(fleet, shard, down)

    async def _forward_plain(
        self, spec: ServiceSpec, req: Request, unsafe: bool
    ) -> AsyncGenerator[Piece, None]:
        lost: set[str] = set()
        shed: set[int] = set()
        last: Piece = Piece(end=NotRun(reason='no node is home of the shard'))
        for _ in range(PLAIN_TRIES):
            shard = self._pick(spec, shed)
            home = self.home((spec.name, shard), lost)
            if home is None:
                break
            sent = evolve(req, shard=shard)
            again = False
            try:
                async with aclosing(self._send(home, sent)) as pieces:
                    async for piece in pieces:
                        self._note_load((spec.name, shard), piece)
                        if piece.head is None and _may_repeat(
                            piece.end, unsafe
                        ):
                            last = piece
                            again = True
                            break
                        yield piece
            except NeverSentError:
                last = Piece(end=NotRun(reason='a home cannot be reached'))
                lost.add(home)
                continue
            if not again:
                return
            if isinstance(last.end, NotRun):
                shed.add(shard)
                if len(shed) >= spec.shards:
                    break
            else:
                lost.add(home)
        yield last

    async def _send(
        self, home: str, req: Request
    ) -> AsyncGenerator[Piece, None]:
        if home == self.kernel.member:
            pieces = self._runner.run_request(req)
        else:
            pieces = self._peers.forward(home, req, ForwardRequest.TO_HOME)
        async for piece in pieces:
            yield piece

    def _pick(self, spec: ServiceSpec, shed: set[int]) -> int:
        own = {
            shard: home.free_slots()
            for shard, home in self._homes.by_shard.items()
            if shard[0] == spec.name
        }
        shard = choose_shard(spec, self._loads, own, self.kernel.rng)
        if shard not in shed:
            return shard
        rest = [each for each in range(spec.shards) if each not in shed]
        return self.kernel.rng.choice(rest)

    def _note_load(self, shard: ShardId, piece: Piece) -> None:
        if piece.free_slots is not None:
            self._loads[shard] = ShardLoad(
                free_slots=piece.free_slots, reported_ms=self.kernel.now_ms()
            )

    async def forward_keyed(self, req: Request) -> AsyncGenerator[Piece, None]:
        """Yield the answer to a keyed request, which this node journals."""
        spec = self._catalogue.config.services.get(req.service)
        number = shard_of_key(spec, req.key) if spec else None
        if number is None:
            reason = 'the key belongs to another service'
            yield Piece(
                end=NotRun(reason=reason, status=400, retry_after_ms=0)
            )
            return
        shard = (req.service, number)
        young = False
        for attempt in range(KEYED_TRIES):
            if attempt:
                await sleep(KEYED_PAUSE_S)
            if self.kernel.now_ms() >= req.deadline_ms:
                break
            moved = False
            async with aclosing(self._keyed_once(shard, req, young)) as pieces:
                async for piece in pieces:
                    if isinstance(piece.end, Moved):
                        end = piece.end
                        self._homes.record_owner_hint(
                            shard, end.owner, end.epoch
                        )
                        # The owner stays but does not take this entry
                        # yet: an older member can pass the key on.
                        young = _same(end, self._homes.newest_holding(shard))
                        moved = True
                        break
                    yield self._still_true(piece)
            if not moved:
                return
        yield Piece(end=NO_OWNER)

    def _still_true(self, piece: Piece) -> Piece:
        """Return a piece whose "not run" no later attempt can belie."""
        end = piece.end
        if not isinstance(end, NotRun) or not end.retry_after_ms:
            return piece
        if may_report_refusal(end.refused_ms, self.kernel.now_ms()):
            return piece
        return Piece(
            end=Unknown(
                reason=f'{end.reason}; this attempt did not run',
                retry_after_ms=end.retry_after_ms,
            )
        )

    async def _keyed_once(
        self, shard: ShardId, req: Request, young: bool
    ) -> AsyncGenerator[Piece, None]:
        held = self._homes.newest_holding(shard)
        if held is None:
            yield Piece(end=Moved())
            return
        through = young or not self._watcher.joined
        if held.owner == self.kernel.member or through:
            pieces = self._via_witness(held.owner, req)
        else:
            sent = evolve(
                req,
                shard=shard[1],
                epoch=held.epoch,
                entry=self.kernel.member,
            )
            pieces = self._journalled(shard, held.owner, sent)
        async for piece in pieces:
            yield piece

    async def _via_witness(
        self, owner: str, req: Request
    ) -> AsyncGenerator[Piece, None]:
        """Let another member journal a key that is owned here."""
        if req.entry:
            # The request came from another entry already.
            yield Piece(end=Moved())
            return
        others = [
            each.name
            for each in self._membership.live_peers()
            if each.name != owner
        ]
        if not others:
            yield Piece(end=Moved())
            return
        witness = self.kernel.rng.choice(others)
        sent = evolve(req, entry=self.kernel.member)
        try:
            async for piece in self._peers.forward(
                witness, sent, ForwardRequest.VIA_WITNESS
            ):
                yield piece
        except NeverSentError:
            yield Piece(end=Moved())

    async def _journalled(
        self, shard: ShardId, owner: str, req: Request
    ) -> AsyncGenerator[Piece, None]:
        note = RecordAttempt(
            shard=shard, epoch=req.epoch, owner=owner, key=req.key
        )
        if not await self._journal.ask(note):
            yield Piece(end=Moved())
            return
        outcome: Outcome = Unknown(reason='the attempt was cut short')
        answer = _Collected(limit=self.kernel.cfg.journal_answer_bytes)
        try:
            async for piece in self._peers.forward(
                owner, req, ForwardRequest.TO_HOME
            ):
                answer.add(piece)
                if piece.end is not None:
                    outcome = piece.end
                yield piece
        except NeverSentError:
            outcome = Moved()
            yield Piece(end=Moved())
        finally:
            self._conclude(shard, req.key, outcome, answer)

    def _conclude(
        self,
        shard: ShardId,
        key: str,
        outcome: Outcome,
        answer: _Collected,
    ) -> None:
        whole = answer.whole() if isinstance(outcome, Answered) else None
        self._journal.post(
            RecordAttemptOutcome(
                shard=shard,
                key=key,
                outcome=whole or outcome,
                kept=whole is not None,
            )
        )


def _same(end: Moved, held: Holding | None) -> bool:
    if held is None or not end.owner:
        return False
    return (end.owner, end.epoch) == (held.owner, held.epoch)


def _may_repeat(end: Outcome | None, unsafe: bool) -> bool:
    if isinstance(end, NotRun):
        return end.retry_after_ms > 0
    if unsafe:
        return False
    return isinstance(end, Failed) and end.reason == NODE_LOST


class _Collected:
    """An answer as it passes by, kept while it is small."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._data = bytearray()
        self._head: Piece | None = None
        self._fits = True

    def add(self, piece: Piece) -> None:
        """Take in the next piece."""
        if piece.head is not None:
            self._head = piece
        if not self._fits:
            return
        self._data += piece.data
        if len(self._data) > self._limit:
            self._fits = False
            self._data.clear()

    def whole(self) -> Answered | None:
        """Return the answer, or None if it was too large."""
        if self._head is None or self._head.head is None or not self._fits:
            return None
        head = self._head.head
        return Answered(
            status=head.status,
            headers=head.headers,
            body=bytes(self._data),
            target=head.target,
        )
