"""One node's ownership of one shard: fencing, active, released.

A successor named by the log is not active until every member but the former
owner has promised to forward nothing under an older epoch. Until then, and
as long as a lost journal may hide a key, a key that it can't prove fresh is
doubtful.
"""

from __future__ import annotations

from dataclasses import dataclass

from attrs import Factory, define

from carawaylane.decisions.fleet import EPOCH_STEP, ShardId
from carawaylane.decisions.journal import Promise
from carawaylane.decisions.ledger import (
    InDoubt,
    Ledger,
    Record,
    Verdict,
)
from carawaylane.messages.outcomes import Moved

MINTED_PREFIX = 'cl'


@dataclass(frozen=True, kw_only=True, slots=True)
class NotYet:
    """Promises are being gathered: decide again when they are in."""


@dataclass(frozen=True, kw_only=True, slots=True)
class MintedKey:
    """Parts of a key that the fleet made."""

    service: str
    shard: int
    epoch: int


def mint(shard: ShardId, epoch: int, nonce: str) -> str:
    """Return a key that only the given epoch of the shard may run."""
    return f'{MINTED_PREFIX}.{shard[0]}.{shard[1]}.{epoch}.{nonce}'


def parse_minted(key: str) -> MintedKey | None:
    """Return the parts of a minted key, or None for a caller's own key."""
    parts = key.split('.')
    if len(parts) != 5 or parts[0] != MINTED_PREFIX:
        return None
    if not (parts[2].isdecimal() and parts[3].isdecimal()):
        return None
    return MintedKey(
        service=parts[1], shard=int(parts[2]), epoch=int(parts[3])
    )


@define(kw_only=True)
class Tenure:
    """Ownership of a shard by this node under one epoch."""

    node: str
    shard: ShardId
    ledger: Ledger
    epoch: int = 0
    active: bool = False
    former: str = ''
    former_epoch: int = 0
    standby: str = ''
    standby_seq: int = 0
    heir: str = ''
    heir_epoch: int = 0
    inherited_epoch: int = 0
    waiting: set[str] = Factory(set)
    unproven_until_ms: int = 0
    gather_until_ms: int = 0

    def begin(
        self,
        *,
        epoch: int,
        fresh: bool,
        members: set[str],
        unproven_until_ms: int,
        gather_until_ms: int,
        former: str = '',
        former_epoch: int = 0,
    ) -> None:
        """Start under a claim of the log.

        `fresh` says that the shard never had an owner; `members` are those
        whose promise is needed: all but the former owner, who never
        journals keys that it runs itself.
        """
        self.standby = ''
        self.standby_seq = 0
        if self.holds() and self._continues(epoch):
            self.epoch = epoch
            return
        self.epoch = epoch
        self.heir = ''
        self.waiting = set() if fresh else set(members)
        self.unproven_until_ms = 0 if fresh else unproven_until_ms
        self.gather_until_ms = gather_until_ms
        self.former = former
        self.former_epoch = former_epoch
        self.active = True

    def _continues(self, epoch: int) -> bool:
        base = self.epoch - self.epoch % EPOCH_STEP
        return epoch == base + EPOCH_STEP

    def inherit(
        self, *, epoch: int, records: list[Record], unproven_until_ms: int
    ) -> bool:
        """Start by a handover; False if a newer epoch is known here."""
        if epoch <= self.seen_epoch:
            return False
        self.ledger.merge_records(records, keep_running=True)
        self.epoch = epoch
        self.inherited_epoch = epoch
        self.heir = ''
        self.waiting = set()
        self.unproven_until_ms = unproven_until_ms
        self.active = True
        return True

    @property
    def seen_epoch(self) -> int:
        """The newest epoch that this node knows of, whoever holds it."""
        return max(self.epoch, self.heir_epoch)

    def holds(self) -> bool:
        """Return whether this node owns the shard now."""
        return self.active and not self.heir

    def promised(self, member: str, promise: Promise) -> None:
        """Count the promise of one member and learn its keys."""
        if not promise.promised:
            return
        self.ledger.merge_records(promise.records)
        self.waiting.discard(member)
        if self._handed_over(promise.known_epoch):
            self.waiting.add(self.former)
        self.waiting.difference_update(promise.covered_members)

    def _handed_over(self, known_epoch: int) -> bool:
        # The former owner forwards to whoever it handed its shard to, so
        # its journal counts like any other.
        if not self.former or self.former == self.node:
            return False
        return self.former_epoch < known_epoch < self.epoch

    def gone(self, member: str, lost_until_ms: int) -> None:
        """Stop waiting for a member that is dead for certain."""
        if member not in self.waiting:
            return
        self.waiting.discard(member)
        self.unproven_until_ms = max(self.unproven_until_ms, lost_until_ms)

    def name_standby(self, member: str, seq: int, own_seq: int) -> bool:
        """Take a standby that knows all members that this owner knows.

        From now on only entries that it knows are admitted: it may take
        over without the log, and must then know whom to ask for a promise.
        """
        if not self.holds() or self.standby or seq < own_seq:
            return False
        if self.epoch % EPOCH_STEP:
            return False
        self.standby = member
        self.standby_seq = seq
        return True

    def standby_knows(self, member: str, seq: int) -> None:
        """Hear how far the standby has read the fleet log."""
        if member == self.standby:
            self.standby_seq = max(self.standby_seq, seq)

    def admits_entry(self, join_seq: int | None) -> bool:
        """Return whether an entry that joined at a place may send keys."""
        if join_seq is None:
            return False
        return not self.standby or join_seq <= self.standby_seq

    def release(self, *, heir: str, epoch: int) -> None:
        """Stop owning the shard for an heir's sake, for good."""
        self.heir = heir
        self.heir_epoch = epoch

    def retire(self, *, owner: str, epoch: int) -> None:
        """Stop owning the shard since another holds a newer epoch."""
        if epoch <= self.seen_epoch:
            return
        self.active = False
        self.heir = owner
        self.heir_epoch = epoch

    def fenced(self, *, successor: str, epoch: int) -> Promise:
        """Return this node's promise as an owner, which then retires."""
        if self.active and epoch <= self.epoch:
            return Promise(promised=False, known_epoch=self.epoch)
        known = self.seen_epoch
        self.retire(owner=successor, epoch=epoch)
        return Promise(
            promised=True,
            records=tuple(self.ledger.records.values()),
            known_epoch=known,
        )

    def admit(
        self,
        *,
        key: str,
        epoch: int,
        entry: str,
        join_seq: int | None,
        accepted_ms: int,
        now_ms: int,
    ) -> Verdict | Moved | NotYet:
        """Decide on an attempt forwarded by an entry.

        `join_seq` is the entry's place in the fleet log, None if this node
        does not know it as a member.
        """
        if not self.active or self.heir or epoch != self.epoch:
            return Moved(
                epoch=max(self.epoch, self.heir_epoch),
                owner=self.heir or (self.node if self.active else ''),
            )
        if entry == self.node or not self.admits_entry(join_seq):
            return Moved(epoch=self.epoch, owner=self.node)
        if not self.ledger.is_decided(key, now_ms):
            doubt = self._doubt(key, now_ms)
            if doubt is not None:
                return doubt
        return self.ledger.admit_attempt(
            key=key, accepted_ms=accepted_ms, now_ms=now_ms
        )

    def proven(self, now_ms: int) -> bool:
        """Return whether an unrecorded key is known never to have run."""
        return not self.waiting and now_ms >= self.unproven_until_ms

    def _doubt(self, key: str, now_ms: int) -> InDoubt | NotYet | None:
        minted = parse_minted(key)
        if minted is not None:
            return self._doubt_minted(minted, now_ms)
        if self.proven(now_ms):
            return None
        if self.waiting and now_ms < self.gather_until_ms:
            return NotYet()
        self.ledger.mark_in_doubt(key, now_ms)
        return InDoubt(reason='a lost node may have run it')

    def _doubt_minted(self, minted: MintedKey, now_ms: int) -> InDoubt | None:
        if (minted.service, minted.shard) != self.shard:
            return InDoubt(reason='the key belongs to another shard')
        if minted.epoch > self.epoch:
            return InDoubt(reason='the key was not made here')
        if minted.epoch == self.epoch or self.proven(now_ms):
            return None
        return InDoubt(reason='a lost node may have run it')
