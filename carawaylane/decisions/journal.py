"""An entry's memory of the keys it forwarded, and its promises.

A key is sent to a target only after an entry other than the owner has
journalled it. A successor therefore learns from the entries what an owner
that died or paused may have run.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

from carawaylane.decisions.fleet import ShardId
from carawaylane.decisions.ledger import Record, State

if TYPE_CHECKING:
    from carawaylane.messages.outcomes import Answered


@frozen(kw_only=True)
class Fence:
    """A promise: nothing goes to an older epoch than this."""

    epoch: int
    successor: str


@frozen(kw_only=True)
class Promise:
    """Reply to a successor: the keys it must know of."""

    promised: bool
    records: tuple[Record, ...] = ()
    vouched: tuple[str, ...] = ()
    known_epoch: int = 0


@define(kw_only=True)
class _Attempts:
    open: int = 0
    sent: bool = False


@define(kw_only=True)
class Journal:
    """Keys forwarded within the resend window, by shard."""

    window_ms: int
    max_records: int
    max_answer_bytes: int = 4096
    records: OrderedDict[tuple[ShardId, str], Record] = Factory(OrderedDict)
    fences: dict[ShardId, Fence] = Factory(dict)
    vouched: set[str] = Factory(set)
    attempts: dict[tuple[ShardId, str], _Attempts] = Factory(dict)

    def may_forward(self, shard: ShardId, epoch: int, owner: str) -> bool:
        """Return whether no promise forbids this owner and epoch."""
        fence = self.fences.get(shard)
        if fence is None or epoch > fence.epoch:
            return True
        return epoch == fence.epoch and owner == fence.successor

    def note(self, shard: ShardId, key: str, now_ms: int) -> bool:
        """Record a key before it is forwarded; False if there is no room."""
        self.expire(now_ms)
        place = (shard, key)
        known = self.records.get(place)
        if known is None and len(self.records) >= self.max_records:
            return False
        tries = self.attempts.setdefault(place, _Attempts(sent=bool(known)))
        tries.open += 1
        if known is None or known.state is not State.ANSWERED:
            self._put(
                shard, Record(key=key, state=State.RUNNING, at_ms=now_ms)
            )
        return True

    def withdraw(self, shard: ShardId, key: str) -> None:
        """End an attempt that reached no owner."""
        place = (shard, key)
        tries = self._close(place)
        if tries is None or tries.open or tries.sent:
            return
        self.attempts.pop(place, None)
        self.records.pop(place, None)

    def refused(self, shard: ShardId, key: str, now_ms: int) -> None:
        """End an attempt of which the owner says that it did not run."""
        place = (shard, key)
        tries = self._close(place)
        known = self.records.get(place)
        if known is None or known.state is not State.RUNNING:
            return
        if tries is not None and tries.open:
            tries.sent = True
            return
        self._put(shard, Record(key=key, state=State.REFUSED, at_ms=now_ms))

    def lost(self, shard: ShardId, key: str) -> None:
        """End an attempt whose outcome is not known."""
        tries = self._close((shard, key))
        if tries is not None:
            tries.sent = True

    def answered(
        self, shard: ShardId, key: str, answer: Answered | None, now_ms: int
    ) -> None:
        """Record that a key ran, with its first answer if that is small."""
        self.lost(shard, key)
        kept = answer and len(answer.body) <= self.max_answer_bytes
        self._put(
            shard,
            Record(
                key=key,
                state=State.ANSWERED,
                at_ms=now_ms,
                answer=answer if kept else None,
            ),
        )

    def promise(self, shard: ShardId, fence: Fence, now_ms: int) -> Promise:
        """Promise to forward nothing older, unless promised otherwise."""
        self.expire(now_ms)
        current = self.fences.get(shard)
        if current is not None and not _may_replace(current, fence):
            return Promise(promised=False, known_epoch=current.epoch)
        self.fences[shard] = fence
        records = tuple(
            record
            for (where, _), record in self.records.items()
            if where == shard
        )
        return Promise(
            promised=True,
            records=records,
            vouched=tuple(sorted(self.vouched)),
        )

    def keep(
        self, records: list[tuple[ShardId, Record]], members: list[str]
    ) -> None:
        """Take over the journal of members that stop."""
        for shard, record in records:
            if (shard, record.key) not in self.records:
                self._put(shard, record)
        self.vouched.update(members)

    def expire(self, now_ms: int) -> None:
        """Forget keys older than the window."""
        horizon_ms = now_ms - self.window_ms
        while self.records:
            place, record = next(iter(self.records.items()))
            if record.at_ms > horizon_ms:
                return
            del self.records[place]
            self.attempts.pop(place, None)

    def _close(self, place: tuple[ShardId, str]) -> _Attempts | None:
        tries = self.attempts.get(place)
        if tries is not None:
            tries.open -= 1
        return tries

    def _put(self, shard: ShardId, record: Record) -> None:
        place = (shard, record.key)
        self.records.pop(place, None)
        self.records[place] = record


def _may_replace(current: Fence, new: Fence) -> bool:
    if new.epoch > current.epoch:
        return True
    return new == current
