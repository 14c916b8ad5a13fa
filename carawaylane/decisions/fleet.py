"""Members of the fleet and owners of shards, as a fold of the fleet log.

Joins, leavings and claims share one sequence. A successor whose claim is at
place n therefore knows every entry that could have read an older owner: each
of them joined before n.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import Factory, asdict, define, evolve, frozen

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawaylane.decisions.changelog import Change

# Epochs given by the log are multiples of this; those between are given by
# an owner that hands its shard over while the log can't be written.
EPOCH_STEP = 1000
# A standby that takes over without the log does so this far above the epoch
# of the log, out of the way of handovers.
STANDBY_STEP = 500

ShardId = tuple[str, int]


@frozen(kw_only=True)
class Member:
    """One incarnation of a node."""

    name: str
    host: str
    data_centre: str
    rpc: str
    admin: str = ''
    join_seq: int = 0


@frozen(kw_only=True)
class Holding:
    """The owner of a shard and the epoch of its tenure."""

    owner: str
    epoch: int
    previous: str = ''
    claim_seq: int = 0
    standby: str = ''


@frozen(kw_only=True)
class Loss:
    """A member that died with its journal."""

    member: str
    at_ms: int
    seq: int


_OPERATIONS: dict[str, Callable[[FleetState, dict[str, Any], int], None]] = {}


def operation(name: str) -> Callable[..., Any]:
    """Register how an operation of the fleet log changes the state."""

    def register(func: Callable[..., None]) -> Callable[..., None]:
        _OPERATIONS[name] = func
        return func

    return register


@define(kw_only=True)
class FleetState:
    """Members, holdings, losses and leaving hosts at one place of the log."""

    members: dict[str, Member] = Factory(dict)
    holdings: dict[ShardId, Holding] = Factory(dict)
    losses: dict[str, Loss] = Factory(dict)
    leaving_hosts: set[str] = Factory(set)

    def apply(self, change: Change) -> None:
        """Apply the operations of one change."""
        for oper in change.body.get('ops', ()):
            _OPERATIONS[oper['op']](self, oper, change.seq)

    def dump(self) -> dict[str, Any]:
        """Return the state as a JSON object."""
        return {
            'members': [asdict(each) for each in self.members.values()],
            'holdings': [
                {'service': shard[0], 'shard': shard[1], **asdict(held)}
                for shard, held in self.holdings.items()
            ],
            'losses': [asdict(each) for each in self.losses.values()],
            'leaving_hosts': sorted(self.leaving_hosts),
        }

    def load(self, dumped: dict[str, Any]) -> None:
        """Replace the state by a dumped one."""
        members = [Member(**each) for each in dumped.get('members', ())]
        self.members = {each.name: each for each in members}
        self.holdings = {}
        for each in dumped.get('holdings', ()):
            row = dict(each)
            shard = (row.pop('service'), row.pop('shard'))
            self.holdings[shard] = Holding(**row)
        losses = [Loss(**each) for each in dumped.get('losses', ())]
        self.losses = {each.member: each for each in losses}
        self.leaving_hosts = set(dumped.get('leaving_hosts', ()))

    def latest_loss_ms(self, since_ms: int, other_than: str) -> int:
        """Return the time of the last loss of another member, or 0."""
        times = [
            loss.at_ms
            for loss in self.losses.values()
            if loss.member != other_than and loss.at_ms >= since_ms
        ]
        return max(times, default=0)


@operation('join')
def _join(state: FleetState, oper: dict[str, Any], seq: int) -> None:
    for old in [
        each
        for each in state.members.values()
        if each.host == oper['host'] and each.name != oper['member']
    ]:
        _lose(state, old.name, oper['at_ms'], seq)
    state.leaving_hosts.discard(oper['host'])
    state.members[oper['member']] = Member(
        name=oper['member'],
        host=oper['host'],
        data_centre=oper['data_centre'],
        rpc=oper['rpc'],
        admin=oper.get('admin', ''),
        join_seq=seq,
    )


@operation('leave')
def _leave(state: FleetState, oper: dict[str, Any], seq: int) -> None:
    state.members.pop(oper['member'], None)


@operation('evict')
def _evict(state: FleetState, oper: dict[str, Any], seq: int) -> None:
    if oper['member'] in state.members:
        _lose(state, oper['member'], oper['at_ms'], seq)
    horizon_ms = oper['at_ms'] - oper.get('window_ms', 0)
    state.losses = {
        name: loss
        for name, loss in state.losses.items()
        if loss.at_ms >= horizon_ms
    }


@operation('claim')
def _claim(state: FleetState, oper: dict[str, Any], seq: int) -> None:
    shard = (oper['service'], oper['shard'])
    held = state.holdings.get(shard, Holding(owner='', epoch=0))
    if held.epoch != oper['expect_epoch']:
        return
    if oper['owner'] not in state.members:
        return
    state.holdings[shard] = Holding(
        owner=oper['owner'],
        epoch=held.epoch + EPOCH_STEP,
        previous=held.owner,
        claim_seq=seq,
    )


@operation('standby')
def _standby(state: FleetState, oper: dict[str, Any], seq: int) -> None:
    shard = (oper['service'], oper['shard'])
    held = state.holdings.get(shard)
    if held is None or held.epoch != oper['expect_epoch'] or held.standby:
        return
    state.holdings[shard] = evolve(held, standby=oper['standby'])


@operation('host')
def _host(state: FleetState, oper: dict[str, Any], seq: int) -> None:
    if oper['leaving']:
        state.leaving_hosts.add(oper['host'])
    else:
        state.leaving_hosts.discard(oper['host'])


def _lose(state: FleetState, member: str, at_ms: int, seq: int) -> None:
    state.members.pop(member, None)
    state.losses[member] = Loss(member=member, at_ms=at_ms, seq=seq)
