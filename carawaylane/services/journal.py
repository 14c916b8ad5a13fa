"""The entry's journal of the keys that it forwarded to owners of shards.

A new owner asks each entry for the records of its shard, together with a
promise to forward nothing to older epochs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from carawaylane.decisions.ownership.fleet import ShardId
from carawaylane.decisions.ownership.journal import (
    Fence,
    JournalState,
    Promise,
)
from carawaylane.decisions.ownership.ledger import Record
from carawaylane.kernel.service import Actor, handles, service
from carawaylane.messages.outcomes import (
    Answered,
    Moved,
    NotRun,
    Outcome,
)
from carawaylane.rpc.codec import pack_record
from carawaylane.rpc.node_pb2 import JournalRequest

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel

HANDOVER_TIMEOUT_S = 5.0
HANDOVER_ATTEMPTS = 5


@frozen(kw_only=True)
class RecordAttempt:
    """Record a key before it is forwarded.

    The reply is False if it must not be forwarded: a promise forbids this
    owner or epoch, or the journal is full or closed.
    """

    shard: ShardId
    epoch: int
    owner: str
    key: str


@frozen(kw_only=True)
class RecordAttemptOutcome:
    """Record how a forwarded attempt ended.

    `kept` is False if the outcome doesn't hold the whole answer, which then
    can't be replayed.
    """

    shard: ShardId
    key: str
    outcome: Outcome
    kept: bool = True


@frozen(kw_only=True)
class MakePromise:
    """Ask for a promise on behalf of a new owner; the reply is a Promise."""

    shard: ShardId
    fence: Fence


@frozen(kw_only=True)
class TakeOverJournal:
    """Take over the journal of a member that is stopping.

    `covered_members` are former members whose journals that member had taken
    over. The reply is False if this node is stopping, too.
    """

    source: str
    records: tuple[tuple[ShardId, Record], ...]
    covered_members: tuple[str, ...]


@service('journal')
class Journal(Actor):
    """Owns the journal and this entry's promises to owners of shards."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        cfg = kernel.cfg
        self.state = JournalState(
            window_ms=cfg.resend_window_ms,
            max_records=cfg.journal_records,
            max_answer_bytes=cfg.journal_answer_bytes,
        )
        self._is_closed = False

    async def drain(self) -> None:
        """Hand the journal over to a random live member."""
        self._is_closed = True
        peers = self.kernel.find('peers')
        self.state.expire_records(self.kernel.now_ms())
        msg = JournalRequest(
            source=self.kernel.member,
            records=[
                pack_record(shard, record)
                for (shard, _), record in self.state.records.items()
            ],
            vouched=sorted(self.state.covered_members),
        )
        for _ in range(HANDOVER_ATTEMPTS):
            live_peers = self.kernel.find('membership').live_peers()
            if not live_peers:
                return
            successor = self.kernel.rng.choice(live_peers).name
            reply = await peers.call(
                successor, 'KeepJournal', msg, HANDOVER_TIMEOUT_S
            )
            if reply is not None and reply.accepted:
                return

    @handles(RecordAttempt)
    def _record_attempt(self, msg: RecordAttempt) -> bool:
        if self._is_closed:
            return False
        if not self.state.may_forward(msg.shard, msg.epoch, msg.owner):
            return False
        return self.state.record_attempt(
            msg.shard, msg.key, self.kernel.now_ms()
        )

    @handles(RecordAttemptOutcome)
    def _record_outcome(self, msg: RecordAttemptOutcome) -> None:
        now_ms = self.kernel.now_ms()
        match msg.outcome:
            case Answered():
                answer = msg.outcome if msg.kept else None
                self.state.record_answer(msg.shard, msg.key, answer, now_ms)
            case Moved():
                self.state.cancel_attempt(msg.shard, msg.key)
            case NotRun():
                self.state.record_refusal(msg.shard, msg.key, now_ms)
            case _:
                self.state.record_unknown(msg.shard, msg.key)

    @handles(MakePromise)
    def _make_promise(self, msg: MakePromise) -> Promise:
        return self.state.make_promise(
            msg.shard, msg.fence, self.kernel.now_ms()
        )

    @handles(TakeOverJournal)
    def _take_over(self, msg: TakeOverJournal) -> bool:
        if self._is_closed:
            return False
        self.state.take_over(
            list(msg.records), [msg.source, *msg.covered_members]
        )
        return True
