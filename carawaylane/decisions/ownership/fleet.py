"""Members of the fleet and owners of shards, built from the fleet log.

Joins, departures and claims share one sequence. A node that claims a shard at
sequence number n therefore knows every entry that may still forward to the
previous owner: each of them joined before n.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import Factory, asdict, define, evolve, field, frozen
from attrs.validators import instance_of

from carawaylane.decisions.ownership.changelog import reading_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawaylane.decisions.ownership.changelog import Change

# Claims in the log get epochs that are multiples of this. Those in between are
# for owners that hand their shard over while the log can't be written.
EPOCH_STEP = 1000
# A standby that takes over without the log adds this to the epoch in the log,
# which keeps clear of the epochs of handovers.
STANDBY_STEP = 500

# Name of the service and number of the shard.
ShardId = tuple[str, int]


@frozen(kw_only=True)
class Member:
    """One process of a node; after a restart it is a new member.

    `rpc` and `admin` are its addresses, `join_seq` is the sequence number at
    which it joined.
    """

    name: str = field(validator=instance_of(str))
    host: str = field(validator=instance_of(str))
    data_centre: str = field(validator=instance_of(str))
    rpc: str = field(validator=instance_of(str))
    admin: str = field(default='', validator=instance_of(str))
    join_seq: int = field(default=0, validator=instance_of(int))


@frozen(kw_only=True)
class Holding:
    """The owner of a shard and its epoch.

    `previous` is the owner before it, `claim_seq` the sequence number of its
    claim and `standby` the member that may take over without the log.
    """

    owner: str = field(validator=instance_of(str))
    epoch: int = field(validator=instance_of(int))
    previous: str = field(default='', validator=instance_of(str))
    claim_seq: int = field(default=0, validator=instance_of(int))
    standby: str = field(default='', validator=instance_of(str))


@frozen(kw_only=True)
class Loss:
    """A member that is known to be dead, and with it its journal.

    `seq` is the sequence number of the change that recorded the loss.
    """

    member: str = field(validator=instance_of(str))
    at_ms: int = field(validator=instance_of(int))
    seq: int = field(validator=instance_of(int))


_OPERATIONS: dict[str, Callable[[FleetState, dict[str, Any], int], None]] = {}


def operation(name: str) -> Callable[..., Any]:
    """Register the function that applies an operation of the fleet log."""

    def register(func: Callable[..., None]) -> Callable[..., None]:
        _OPERATIONS[name] = func
        return func

    return register


@define(kw_only=True)
class FleetState:
    """State of the fleet log: members, owners, losses and leaving hosts.

    It is the state after the changes that have been applied so far.
    """

    members: dict[str, Member] = Factory(dict)
    holdings: dict[ShardId, Holding] = Factory(dict)
    losses: dict[str, Loss] = Factory(dict)
    leaving_hosts: set[str] = Factory(set)

    def apply(self, change: Change) -> None:
        """Apply a change whole, or raise `UnreadableChangeError`."""
        draft = evolve(
            self,
            members=dict(self.members),
            holdings=dict(self.holdings),
            losses=dict(self.losses),
            leaving_hosts=set(self.leaving_hosts),
        )
        with reading_json():
            for op in change.body.get('ops', ()):
                _OPERATIONS[op['op']](draft, op, change.seq)
        self._replace(draft)

    def dump(self) -> dict[str, Any]:
        """Return the state as a JSON object."""
        return {
            'members': [asdict(member) for member in self.members.values()],
            'holdings': [
                {'service': shard[0], 'shard': shard[1], **asdict(holding)}
                for shard, holding in self.holdings.items()
            ],
            'losses': [asdict(loss) for loss in self.losses.values()],
            'leaving_hosts': sorted(self.leaving_hosts),
        }

    def load(self, dumped: dict[str, Any]) -> None:
        """Replace the state by a dumped one.

        Raises `UnreadableChangeError` for another one.
        """
        with reading_json():
            members = [Member(**row) for row in dumped.get('members', ())]
            holdings = {}
            for dumped_row in dumped.get('holdings', ()):
                row = dict(dumped_row)
                shard = _read_shard(row)
                del row['service'], row['shard']
                holdings[shard] = Holding(**row)
            losses = [Loss(**row) for row in dumped.get('losses', ())]
            hosts = map(_read_text, dumped.get('leaving_hosts', ()))
            draft = FleetState(
                members={member.name: member for member in members},
                holdings=holdings,
                losses={loss.member: loss for loss in losses},
                leaving_hosts=set(hosts),
            )
        self._replace(draft)

    def _replace(self, other: FleetState) -> None:
        self.members = other.members
        self.holdings = other.holdings
        self.losses = other.losses
        self.leaving_hosts = other.leaving_hosts

    def latest_loss_ms(self, since_ms: int, except_member: str) -> int:
        """Return when a member was last lost since `since_ms`, 0 if none was.

        The loss of `except_member` does not count.
        """
        times = [
            loss.at_ms
            for loss in self.losses.values()
            if loss.member != except_member and loss.at_ms >= since_ms
        ]
        return max(times, default=0)


@operation('join')
def _join(state: FleetState, op: dict[str, Any], seq: int) -> None:
    at_ms = _read_integer(op['at_ms'])
    # A node that starts on a host replaces the process before it.
    for predecessor in [
        member
        for member in state.members.values()
        if member.host == op['host'] and member.name != op['member']
    ]:
        _record_loss(state, predecessor.name, at_ms, seq)
    state.leaving_hosts.discard(op['host'])
    state.members[op['member']] = Member(
        name=op['member'],
        host=op['host'],
        data_centre=op['data_centre'],
        rpc=op['rpc'],
        admin=op.get('admin', ''),
        join_seq=seq,
    )


@operation('leave')
def _leave(state: FleetState, op: dict[str, Any], seq: int) -> None:
    state.members.pop(op['member'], None)


@operation('evict')
def _evict(state: FleetState, op: dict[str, Any], seq: int) -> None:
    at_ms = _read_integer(op['at_ms'])
    if op['member'] in state.members:
        _record_loss(state, op['member'], at_ms, seq)
    # Keys that an older lost journal held can't be resent any more.
    horizon_ms = at_ms - op.get('window_ms', 0)
    state.losses = {
        name: loss
        for name, loss in state.losses.items()
        if loss.at_ms >= horizon_ms
    }


@operation('claim')
def _claim(state: FleetState, op: dict[str, Any], seq: int) -> None:
    shard = _read_shard(op)
    holding = state.holdings.get(shard, Holding(owner='', epoch=0))
    # Of claims that race for an epoch, the first in the log wins.
    if holding.epoch != op['expect_epoch']:
        return
    if op['owner'] not in state.members:
        return
    state.holdings[shard] = Holding(
        owner=op['owner'],
        epoch=holding.epoch + EPOCH_STEP,
        previous=holding.owner,
        claim_seq=seq,
    )


@operation('standby')
def _set_standby(state: FleetState, op: dict[str, Any], seq: int) -> None:
    shard = _read_shard(op)
    epoch = _read_integer(op['expect_epoch'])
    standby = _read_text(op['standby'])
    holding = state.holdings.get(shard)
    if holding is None or holding.epoch != epoch or holding.standby:
        return
    state.holdings[shard] = evolve(holding, standby=standby)


@operation('host')
def _set_host_leaving(state: FleetState, op: dict[str, Any], seq: int) -> None:
    if op['leaving']:
        state.leaving_hosts.add(_read_text(op['host']))
    else:
        state.leaving_hosts.discard(op['host'])


def _record_loss(state: FleetState, member: str, at_ms: int, seq: int) -> None:
    state.members.pop(member, None)
    state.losses[member] = Loss(member=member, at_ms=at_ms, seq=seq)


def _read_shard(row: dict[str, Any]) -> ShardId:
    """Return the shard that a row names, or raise `ValueError`."""
    service, number = row['service'], row['shard']
    if not isinstance(service, str) or type(number) is not int:
        raise ValueError('not a shard')
    return service, number


def _read_text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f'{value!r} is no string')
    return value


def _read_integer(value: Any) -> int:
    if type(value) is not int:
        raise ValueError(f'{value!r} is no integer')
    return value
