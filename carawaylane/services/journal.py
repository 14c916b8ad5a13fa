"""The entry's journal of forwarded keys, and its promises."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from carawaylane.decisions.fleet import ShardId
from carawaylane.decisions.journal import Fence, JournalState, Promise
from carawaylane.decisions.ledger import Record
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

HAND_OVER_TIMEOUT_S = 5.0
HAND_OVER_TRIES = 5


@frozen(kw_only=True)
class RecordAttempt:
    """Record a key before forwarding it; the reply says if it may go."""

    shard: ShardId
    epoch: int
    owner: str
    key: str


@frozen(kw_only=True)
class RecordAttemptOutcome:
    """A forwarded attempt ended; `kept` is False without its answer."""

    shard: ShardId
    key: str
    outcome: Outcome
    kept: bool = True


@frozen(kw_only=True)
class MakePromise:
    """A successor asks for a promise."""

    shard: ShardId
    fence: Fence


@frozen(kw_only=True)
class TakeOverJournal:
    """A stopping member leaves its journal with this node."""

    source: str
    records: tuple[tuple[ShardId, Record], ...]
    vouched: tuple[str, ...]


@service('journal')
class Journal(Actor):
    """Owns the journal."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        cfg = kernel.cfg
        self.state = JournalState(
            window_ms=cfg.resend_window_ms,
            max_records=cfg.journal_records,
            max_answer_bytes=cfg.journal_answer_bytes,
        )
        self._closed = False

    async def drain(self) -> None:
        """Leave the journal with a live member."""
        self._closed = True
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
        for _ in range(HAND_OVER_TRIES):
            alive = self.kernel.find('membership').live_peers()
            if not alive:
                return
            heir = self.kernel.rng.choice(alive).name
            reply = await peers.call(
                heir, 'KeepJournal', msg, HAND_OVER_TIMEOUT_S
            )
            if reply is not None and reply.accepted:
                return

    @handles(RecordAttempt)
    def _note(self, msg: RecordAttempt) -> bool:
        if self._closed:
            return False
        if not self.state.may_forward(msg.shard, msg.epoch, msg.owner):
            return False
        return self.state.record_attempt(
            msg.shard, msg.key, self.kernel.now_ms()
        )

    @handles(RecordAttemptOutcome)
    def _concluded(self, msg: RecordAttemptOutcome) -> None:
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
    def _promise(self, msg: MakePromise) -> Promise:
        return self.state.make_promise(
            msg.shard, msg.fence, self.kernel.now_ms()
        )

    @handles(TakeOverJournal)
    def _keep(self, msg: TakeOverJournal) -> bool:
        if self._closed:
            return False
        self.state.take_over(list(msg.records), [msg.source, *msg.vouched])
        return True
