"""One node's ownership of one shard: from takeover to handover.

Each change of owner starts a new epoch. The node that the fleet log names
as the new owner may run keys once every member but the previous owner has
promised to forward nothing under an older epoch. Until then, and for as long
as the journal of a lost member may have held a key, a key without a record
is in doubt unless it provably never ran.
"""

from __future__ import annotations

from dataclasses import dataclass

from attrs import Factory, define

from carawaylane.decisions.ownership.fleet import EPOCH_STEP, ShardId
from carawaylane.decisions.ownership.journal import Promise
from carawaylane.decisions.ownership.ledger import (
    InDoubt,
    Ledger,
    Record,
    Verdict,
)
from carawaylane.messages.outcomes import Moved

GENERATED_KEY_PREFIX = 'cl'


@dataclass(frozen=True, kw_only=True, slots=True)
class PromisesPending:
    """Promises are still awaited: decide again when they have come in."""


@dataclass(frozen=True, kw_only=True, slots=True)
class GeneratedKey:
    """Parts of a key that an entry generated for a request without one."""

    service: str
    shard: int
    epoch: int


def generate_key(shard: ShardId, epoch: int, nonce: str) -> str:
    """Return a key that carries its shard and the epoch it was made under."""
    return f'{GENERATED_KEY_PREFIX}.{shard[0]}.{shard[1]}.{epoch}.{nonce}'


def parse_generated_key(key: str) -> GeneratedKey | None:
    """Return the parts of a generated key, None for a caller's own key."""
    parts = key.split('.')
    if len(parts) != 5 or parts[0] != GENERATED_KEY_PREFIX:
        return None
    if not (parts[2].isdecimal() and parts[3].isdecimal()):
        return None
    return GeneratedKey(
        service=parts[1], shard=int(parts[2]), epoch=int(parts[3])
    )


@define(kw_only=True)
class ShardOwnership:
    """State of this node as an owner of a shard, present or past.

    The node is the owner while `active` is set and `successor` is empty. A
    handover sets `successor`; a newer epoch elsewhere clears `active`, too.
    `handover_epoch` is the epoch of the last handover to this node.

    `awaited_members` are those whose promise is missing; until
    `promise_deadline_ms`, attempts that depend on it wait. Before
    `unproven_until_ms` a key without a record may have run, as the lost
    journal of a dead member may have held it. `standby_seq` is how far the
    standby has read the fleet log.
    """

    node: str
    shard: ShardId
    ledger: Ledger
    epoch: int = 0
    active: bool = False
    previous_owner: str = ''
    previous_epoch: int = 0
    standby: str = ''
    standby_seq: int = 0
    successor: str = ''
    successor_epoch: int = 0
    handover_epoch: int = 0
    awaited_members: set[str] = Factory(set)
    unproven_until_ms: int = 0
    promise_deadline_ms: int = 0

    def begin_epoch(
        self,
        *,
        epoch: int,
        first_owner: bool,
        members: set[str],
        unproven_until_ms: int,
        promise_deadline_ms: int,
        previous_owner: str = '',
        previous_epoch: int = 0,
    ) -> None:
        """Become the owner under a claim in the fleet log.

        `first_owner` says that the shard never had an owner. `members` are
        those whose promise is needed: all but the previous owner, as an
        owner journals no keys that it runs itself.
        """
        self.standby = ''
        self.standby_seq = 0
        if self.is_owner() and self._only_records_ownership(epoch):
            self.epoch = epoch
            return
        self.epoch = epoch
        self.successor = ''
        self.awaited_members = set() if first_owner else set(members)
        self.unproven_until_ms = 0 if first_owner else unproven_until_ms
        self.promise_deadline_ms = promise_deadline_ms
        self.previous_owner = previous_owner
        self.previous_epoch = previous_epoch
        self.active = True

    def _only_records_ownership(self, epoch: int) -> bool:
        # The claim records a handover or takeover that happened without the
        # log, or this owner claimed again.
        claimed_epoch = self.epoch - self.epoch % EPOCH_STEP
        return epoch == claimed_epoch + EPOCH_STEP

    def accept_handover(
        self, *, epoch: int, records: list[Record], unproven_until_ms: int
    ) -> bool:
        """Become the owner by a handover; False if the epoch is outdated."""
        if epoch <= self.newest_epoch:
            return False
        self.ledger.merge_records(records, keep_running=True)
        self.epoch = epoch
        self.handover_epoch = epoch
        self.successor = ''
        self.awaited_members = set()
        self.unproven_until_ms = unproven_until_ms
        self.active = True
        return True

    @property
    def newest_epoch(self) -> int:
        """The newest epoch of the shard that this node knows of."""
        return max(self.epoch, self.successor_epoch)

    def is_owner(self) -> bool:
        """Return whether this node owns the shard now."""
        return self.active and not self.successor

    def record_promise(self, member: str, promise: Promise) -> None:
        """Merge the records that come with a member's promise.

        A promise that was refused changes nothing.
        """
        if not promise.promised:
            return
        self.ledger.merge_records(promise.records)
        self.awaited_members.discard(member)
        if self._previous_owner_handed_over(promise.known_epoch):
            self.awaited_members.add(self.previous_owner)
        self.awaited_members.difference_update(promise.covered_members)

    def _previous_owner_handed_over(self, known_epoch: int) -> bool:
        # After a handover the previous owner forwards keys to the node that
        # took over, so its journal is needed like that of any other entry.
        if not self.previous_owner or self.previous_owner == self.node:
            return False
        return self.previous_epoch < known_epoch < self.epoch

    def drop_lost_member(self, member: str, unproven_until_ms: int) -> None:
        """Stop waiting for the promise of a member known to be dead."""
        if member not in self.awaited_members:
            return
        self.awaited_members.discard(member)
        self.unproven_until_ms = max(self.unproven_until_ms, unproven_until_ms)

    def set_standby(self, member: str, seq: int, own_seq: int) -> bool:
        """Accept a member as standby, once for an epoch.

        The member must have read the fleet log up to `own_seq`, as far as
        this owner. It may take over without the log and must then know
        every entry to ask for a promise, so from now on the owner accepts
        keys only from entries that the standby knows.
        """
        if not self.is_owner() or self.standby or seq < own_seq:
            return False
        # The log names a standby only for an epoch that a claim has begun.
        if self.epoch % EPOCH_STEP:
            return False
        self.standby = member
        self.standby_seq = seq
        return True

    def update_standby_seq(self, member: str, seq: int) -> None:
        """Record how far the standby has read the fleet log."""
        if member == self.standby:
            self.standby_seq = max(self.standby_seq, seq)

    def accepts_entry(self, join_seq: int | None) -> bool:
        """Return whether an entry that joined at `join_seq` may send keys."""
        if join_seq is None:
            return False
        return not self.standby or join_seq <= self.standby_seq

    def hand_over(self, *, successor: str, epoch: int) -> None:
        """Stop owning the shard: the successor owns it from now on."""
        self.successor = successor
        self.successor_epoch = epoch

    def retire(self, *, owner: str, epoch: int) -> None:
        """Stop owning the shard if another node has a newer epoch."""
        if epoch <= self.newest_epoch:
            return
        self.active = False
        self.successor = owner
        self.successor_epoch = epoch

    def accept_fence(self, *, successor: str, epoch: int) -> Promise:
        """Retire in favor of a successor and return the records for it.

        The promise is refused if this node has the same or a newer epoch.
        """
        if self.active and epoch <= self.epoch:
            return Promise(promised=False, known_epoch=self.epoch)
        known_epoch = self.newest_epoch
        self.retire(owner=successor, epoch=epoch)
        return Promise(
            promised=True,
            records=tuple(self.ledger.records.values()),
            known_epoch=known_epoch,
        )

    def admit_attempt(
        self,
        *,
        key: str,
        epoch: int,
        entry: str,
        join_seq: int | None,
        accepted_ms: int,
        now_ms: int,
    ) -> Verdict | Moved | PromisesPending:
        """Decide whether an attempt that an entry forwarded may run.

        `join_seq` is the sequence number in the fleet log at which the entry
        joined, None if this node does not know it as a member.
        """
        if not self.active or self.successor or epoch != self.epoch:
            return Moved(
                epoch=max(self.epoch, self.successor_epoch),
                owner=self.successor or (self.node if self.active else ''),
            )
        # A key must be in the journal of an entry other than its owner.
        if entry == self.node or not self.accepts_entry(join_seq):
            return Moved(epoch=self.epoch, owner=self.node)
        if not self.ledger.is_decided(key, now_ms):
            obstacle = self._check_undecided_key(key, now_ms)
            if obstacle is not None:
                return obstacle
        return self.ledger.admit_attempt(
            key=key, accepted_ms=accepted_ms, now_ms=now_ms
        )

    def is_proven(self, now_ms: int) -> bool:
        """Return whether a key without a record is known not to have run."""
        return not self.awaited_members and now_ms >= self.unproven_until_ms

    def _check_undecided_key(
        self, key: str, now_ms: int
    ) -> InDoubt | PromisesPending | None:
        generated = parse_generated_key(key)
        if generated is not None:
            return self._check_generated_key(generated, now_ms)
        if self.is_proven(now_ms):
            return None
        if self.awaited_members and now_ms < self.promise_deadline_ms:
            return PromisesPending()
        self.ledger.mark_in_doubt(key, now_ms)
        return InDoubt(reason='a lost node may have run it')

    def _check_generated_key(
        self, generated: GeneratedKey, now_ms: int
    ) -> InDoubt | None:
        if (generated.service, generated.shard) != self.shard:
            return InDoubt(reason='the key belongs to another shard')
        if generated.epoch > self.epoch:
            return InDoubt(reason='the key was not made here')
        # No older epoch can have run a key that was made under this one.
        if generated.epoch == self.epoch or self.is_proven(now_ms):
            return None
        return InDoubt(reason='a lost node may have run it')
