"""Messages to the home of a shard, on slots, targets, keys and ownership."""

from __future__ import annotations

from attrs import Factory, frozen

from carawaylane.config.schema import Service, Target
from carawaylane.decisions.admission.slots import SlotRequest
from carawaylane.decisions.ownership.fleet import FleetState, ShardId
from carawaylane.decisions.ownership.journal import Promise
from carawaylane.decisions.ownership.ledger import Record
from carawaylane.decisions.targets.health import TargetOutcome
from carawaylane.messages.exchange import Request
from carawaylane.messages.outcomes import Outcome


@frozen(kw_only=True)
class Configure:
    """Set the service and targets of the shard and the leaving hosts."""

    service: Service
    targets: list[Target]
    leaving_hosts: frozenset[str]


@frozen(kw_only=True)
class AcquireSlot:
    """Ask for a slot; the reply is Granted or Shed, at once or later."""

    slot_request: SlotRequest


@frozen(kw_only=True)
class CancelSlotRequest:
    """Stop waiting for a slot, or give it back if it was granted."""

    ticket: int


@frozen(kw_only=True)
class ReleaseSlot:
    """Give a slot back.

    `outcome` is None if the end of the request says nothing about the
    health of the target. `busy_s` is how long the request held the slot,
    None if that says nothing about the service time.
    """

    ticket: int
    target: str
    outcome: TargetOutcome | None
    busy_s: float | None


@frozen(kw_only=True)
class TargetCrashed:
    """A target crashed on a request suspected of causing crashes."""

    target: str


@frozen(kw_only=True)
class LateOutcome:
    """The outcome of a request whose slot was given back before."""

    outcome: TargetOutcome


@frozen(kw_only=True)
class TargetLeaving:
    """A target announced in an answer that it is shutting down."""

    target: str


@frozen(kw_only=True)
class AdmitKey:
    """Ask whether a keyed request may run.

    The reply is a Verdict of the ledger, or Moved if this node doesn't own
    the shard under the epoch of the request. `join_seq` is the sequence
    number at which the entry joined, None if it is not a known member.
    """

    req: Request
    join_seq: int | None


@frozen(kw_only=True)
class AwaitKey:
    """Wait for the outcome of a key whose request is running."""

    key: str


@frozen(kw_only=True)
class RecordKeyOutcome:
    """Record how the request of a key ended.

    `kept` is False if the answer was streamed and can't be replayed.
    """

    key: str
    outcome: Outcome
    kept: bool = True


@frozen(kw_only=True)
class ApplyFleetState:
    """Apply a change of the fleet log to the ownership of the shard.

    The reply is True if a new epoch began here, whose promises must be
    gathered.
    """

    fleet: FleetState


@frozen(kw_only=True)
class TakeOverAsStandby:
    """Take the shard over as its standby, without the fleet log.

    The reply is True if a new epoch began here, whose promises must be
    gathered.
    """

    fleet: FleetState


@frozen(kw_only=True)
class ProposeStandby:
    """Propose a member as the standby; the reply says if it was accepted.

    `seq` and `own_seq` are the sequence numbers up to which the member and
    the owner have read the fleet log.
    """

    member: str
    seq: int
    own_seq: int


@frozen(kw_only=True)
class StandbyProgress:
    """The sequence number up to which the standby has read the fleet log."""

    member: str
    seq: int


@frozen(kw_only=True)
class PromiseReceived:
    """The reply of a member to the request for a promise under an epoch."""

    member: str
    epoch: int
    promise: Promise


@frozen(kw_only=True)
class FenceOwner:
    """Fence this owner on behalf of a successor; the reply is a Promise."""

    epoch: int
    successor: str


@frozen(kw_only=True)
class HandOverShard:
    """Hand the shard over to a successor.

    The reply is the HandoverState for it, None if this node can't hand over.
    """

    successor: str
    epoch: int


@frozen(kw_only=True)
class HandoverState:
    """What the successor needs to know of the keys of the shard.

    Until `unproven_until_ms` a key without a record may have run.
    """

    records: tuple[Record, ...]
    unproven_until_ms: int


@frozen(kw_only=True)
class AcceptHandover:
    """Take the shard over from an owner that is stopping."""

    epoch: int
    state: HandoverState


@frozen(kw_only=True)
class TargetRow:
    """A target as the administration API shows it.

    Of its `slots`, `limit` may be in use at present and `busy` are in use.
    """

    target: str
    service: str
    shard: int
    standing: str
    reason: str
    slots: int
    limit: int
    busy: int


@frozen(kw_only=True)
class ShardRow:
    """A shard as the administration API of its home shows it.

    `proven` says that a key without a record is known not to have run, `keys`
    is the number of records, and `waiting` that of queued requests.
    """

    shard: ShardId
    epoch: int
    owned: bool
    proven: bool
    keys: int
    free_slots: int
    waiting: int
    floor_slots: int
    targets: list[TargetRow] = Factory(list)


@frozen(kw_only=True)
class Describe:
    """Ask for a ShardRow."""


@frozen(kw_only=True)
class Tick:
    """Check what depends on time: overdue requests, queues, promises."""
