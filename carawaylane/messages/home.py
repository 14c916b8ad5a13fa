"""Messages to the home of a shard."""

from __future__ import annotations

from attrs import Factory, frozen

from carawaylane.config.schema import Service, Target
from carawaylane.decisions.fleet import FleetState, ShardId
from carawaylane.decisions.health import TargetOutcome
from carawaylane.decisions.journal import Promise
from carawaylane.decisions.ledger import Record
from carawaylane.decisions.slots import SlotRequest
from carawaylane.messages.exchange import Request
from carawaylane.messages.outcomes import Outcome


@frozen(kw_only=True)
class Configure:
    """The service and targets of the shard, and hosts that leave."""

    service: Service
    targets: list[Target]
    leaving_hosts: frozenset[str]


@frozen(kw_only=True)
class Acquire:
    """Ask for a slot; the reply is a Granted or Shed."""

    demand: SlotRequest


@frozen(kw_only=True)
class CancelDemand:
    """Give up waiting for a slot, or give it back if it was granted."""

    ticket: int


@frozen(kw_only=True)
class Release:
    """Give a slot back, with the outcome of the work if it tells much."""

    ticket: int
    target: str
    outcome: TargetOutcome | None
    busy_s: float | None


@frozen(kw_only=True)
class CrashedBy:
    """A target died under a request that is under suspicion."""

    target: str


@frozen(kw_only=True)
class Observed:
    """An outcome of work whose slot was given back before."""

    outcome: TargetOutcome


@frozen(kw_only=True)
class SaidLeaving:
    """A target said in an answer that it is leaving."""

    target: str


@frozen(kw_only=True)
class AdmitKey:
    """Ask whether a keyed request may run; the reply is a verdict."""

    req: Request
    join_seq: int | None


@frozen(kw_only=True)
class AwaitKey:
    """Wait for the outcome of a key that is running."""

    key: str


@frozen(kw_only=True)
class SettleKey:
    """A key's run ended; `kept` is False for an answer too large."""

    key: str
    outcome: Outcome
    kept: bool = True


@frozen(kw_only=True)
class FollowFleet:
    """The fleet log moved; the reply says if promises are wanted."""

    fleet: FleetState


@frozen(kw_only=True)
class StandIn:
    """Take over as the standby; the reply says if promises are wanted."""

    fleet: FleetState


@frozen(kw_only=True)
class NameStandby:
    """A member that could be the standby and what it knows of the log."""

    member: str
    seq: int
    own_seq: int


@frozen(kw_only=True)
class StandbyKnows:
    """How far the standby has read the fleet log."""

    member: str
    seq: int


@frozen(kw_only=True)
class Promised:
    """A member promised to forward nothing older than an epoch."""

    member: str
    epoch: int
    promise: Promise


@frozen(kw_only=True)
class FenceOwner:
    """A successor asks; the reply tells what this owner has run."""

    epoch: int
    successor: str


@frozen(kw_only=True)
class ReleaseTenure:
    """Hand the shard over; the reply is what the heir must know."""

    heir: str
    epoch: int


@frozen(kw_only=True)
class Inheritance:
    """What an owner hands over."""

    records: tuple[Record, ...]
    unproven_until_ms: int


@frozen(kw_only=True)
class Inherit:
    """A stopping owner hands the shard over to this node."""

    epoch: int
    inheritance: Inheritance


@frozen(kw_only=True)
class TargetRow:
    """What the administration API shows of a target."""

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
    """What the administration API shows of a shard at its home."""

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
    """Time has passed."""
