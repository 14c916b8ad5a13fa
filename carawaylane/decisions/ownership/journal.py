"""An entry's journal of the keys it forwarded, and its promises to owners.

A key is sent to a target only after an entry other than the owner has
journalled it. So the next owner learns from the entries which keys an owner
that died or paused may have run.

A new owner asks each member for a promise to forward nothing to owners of
older epochs; until then it runs no key that may have run before. The member
keeps the promise as a fence, and its reply carries the records of its journal.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

from carawaylane.decisions.ownership.fleet import ShardId
from carawaylane.decisions.ownership.ledger import KeyState, Record

if TYPE_CHECKING:
    from carawaylane.messages.outcomes import Answered


@frozen(kw_only=True)
class Fence:
    """A promise to forward no key of a shard to an older epoch.

    Under this epoch, keys go to `successor` only.
    """

    epoch: int
    successor: str


@frozen(kw_only=True)
class Promise:
    """Reply of a member to a new owner that asks for a promise.

    `promised` is False if the member has promised a newer epoch. The
    records are those of its journal and, if it owned the shard, its ledger.
    `covered_members` are former members whose journals it has taken over.
    `known_epoch` is the newest epoch of the shard that it knew before; if the
    promise is refused, it is the epoch that stands against it.
    """

    promised: bool
    records: tuple[Record, ...] = ()
    covered_members: tuple[str, ...] = ()
    known_epoch: int = 0


@define(kw_only=True)
class _Attempts:
    """Attempts to forward one key.

    `open_count` is the number of those without an outcome. `reached_owner`
    says that an earlier attempt may have reached an owner.
    """

    open_count: int = 0
    reached_owner: bool = False


@define(kw_only=True)
class JournalState:
    """Records of keys that this entry forwarded in the resend window.

    They include records that it took over from other entries. `fences` are
    the promises it has made, `covered_members` the members whose journals it
    has taken over. Answers of at most `max_answer_bytes` are stored.
    """

    window_ms: int
    max_records: int
    max_answer_bytes: int = 4096
    records: OrderedDict[tuple[ShardId, str], Record] = Factory(OrderedDict)
    fences: dict[ShardId, Fence] = Factory(dict)
    covered_members: set[str] = Factory(set)
    attempts: dict[tuple[ShardId, str], _Attempts] = Factory(dict)

    def may_forward(self, shard: ShardId, epoch: int, owner: str) -> bool:
        """Return whether promises allow forwarding to an owner and epoch."""
        fence = self.fences.get(shard)
        if fence is None or epoch > fence.epoch:
            return True
        return epoch == fence.epoch and owner == fence.successor

    def record_attempt(self, shard: ShardId, key: str, now_ms: int) -> bool:
        """Record a key before it is forwarded; False if there is no room."""
        self.expire_records(now_ms)
        record_id = (shard, key)
        record = self.records.get(record_id)
        if record is None and len(self.records) >= self.max_records:
            return False
        attempts = self.attempts.setdefault(
            record_id, _Attempts(reached_owner=bool(record))
        )
        attempts.open_count += 1
        if record is None or record.state is not KeyState.ANSWERED:
            self._store(
                shard, Record(key=key, state=KeyState.RUNNING, at_ms=now_ms)
            )
        return True

    def cancel_attempt(self, shard: ShardId, key: str) -> None:
        """End an attempt that reached no owner.

        The record of the key goes, too, unless another attempt needs it.
        """
        record_id = (shard, key)
        attempts = self._close_attempt(record_id)
        if attempts is None or attempts.open_count or attempts.reached_owner:
            return
        self.attempts.pop(record_id, None)
        self.records.pop(record_id, None)

    def record_refusal(self, shard: ShardId, key: str, now_ms: int) -> None:
        """End an attempt that the owner refused to run.

        While other attempts are open, the key still counts as running.
        """
        record_id = (shard, key)
        attempts = self._close_attempt(record_id)
        record = self.records.get(record_id)
        if record is None or record.state is not KeyState.RUNNING:
            return
        if attempts is not None and attempts.open_count:
            attempts.reached_owner = True
            return
        self._store(
            shard, Record(key=key, state=KeyState.REFUSED, at_ms=now_ms)
        )

    def record_unknown(self, shard: ShardId, key: str) -> None:
        """End an attempt whose outcome is unknown."""
        attempts = self._close_attempt((shard, key))
        if attempts is not None:
            attempts.reached_owner = True

    def record_answer(
        self, shard: ShardId, key: str, answer: Answered | None, now_ms: int
    ) -> None:
        """End an attempt whose key ran; store its answer if it is small."""
        self.record_unknown(shard, key)
        is_small = answer and len(answer.body) <= self.max_answer_bytes
        self._store(
            shard,
            Record(
                key=key,
                state=KeyState.ANSWERED,
                at_ms=now_ms,
                answer=answer if is_small else None,
            ),
        )

    def make_promise(
        self, shard: ShardId, fence: Fence, now_ms: int
    ) -> Promise:
        """Promise to forward nothing to epochs older than the fence.

        The promise is refused if a newer epoch, or another owner of the same
        epoch, has been promised.
        """
        self.expire_records(now_ms)
        current = self.fences.get(shard)
        if current is not None and not _may_replace(current, fence):
            return Promise(promised=False, known_epoch=current.epoch)
        self.fences[shard] = fence
        records = tuple(
            record
            for (record_shard, _), record in self.records.items()
            if record_shard == shard
        )
        return Promise(
            promised=True,
            records=records,
            covered_members=tuple(sorted(self.covered_members)),
        )

    def take_over(
        self, records: list[tuple[ShardId, Record]], members: list[str]
    ) -> None:
        """Take over the journal of a member that stops.

        `members` are that member and those whose journals it had taken over.
        """
        for shard, record in records:
            if (shard, record.key) not in self.records:
                self._store(shard, record)
        self.covered_members.update(members)

    def expire_records(self, now_ms: int) -> None:
        """Forget keys older than the resend window."""
        horizon_ms = now_ms - self.window_ms
        while self.records:
            record_id, record = next(iter(self.records.items()))
            if record.at_ms > horizon_ms:
                return
            del self.records[record_id]
            self.attempts.pop(record_id, None)

    def _close_attempt(
        self, record_id: tuple[ShardId, str]
    ) -> _Attempts | None:
        attempts = self.attempts.get(record_id)
        if attempts is not None:
            attempts.open_count -= 1
        return attempts

    def _store(self, shard: ShardId, record: Record) -> None:
        record_id = (shard, record.key)
        self.records.pop(record_id, None)
        self.records[record_id] = record


def _may_replace(current: Fence, new: Fence) -> bool:
    if new.epoch > current.epoch:
        return True
    return new == current
