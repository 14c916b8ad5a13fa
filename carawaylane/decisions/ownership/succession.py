"""Changes of a shard's owner, driven by the fleet log or by a standby."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from carawaylane.decisions.ownership.fleet import EPOCH_STEP, STANDBY_STEP
from carawaylane.decisions.ownership.journal import Promise

if TYPE_CHECKING:
    from carawaylane.decisions.ownership.fleet import FleetState, Holding
    from carawaylane.decisions.ownership.ownership import ShardOwnership


@frozen(kw_only=True)
class SuccessionWindows:
    """Time limits of a change of owner, in milliseconds.

    Callers may resend a key for `resend_ms`. A new owner asks the members to
    promise that they forward nothing to owners of older epochs; attempts wait
    up to `gather_ms` for these promises.
    """

    resend_ms: int
    gather_ms: int


def apply_fleet_state(
    ownership: ShardOwnership,
    fleet: FleetState,
    now_ms: int,
    windows: SuccessionWindows,
) -> None:
    """Become the owner, or cease to be it, as the fleet log says.

    An owner that waits for promises stops waiting for lost members.
    """
    holding = fleet.holdings.get(ownership.shard)
    if holding is None:
        return
    if holding.epoch > ownership.newest_epoch:
        if holding.owner == ownership.node:
            _begin_claimed_epoch(ownership, fleet, holding, now_ms, windows)
        else:
            ownership.retire(owner=holding.owner, epoch=holding.epoch)
    _drop_lost_members(ownership, fleet, windows)


def take_over_as_standby(
    ownership: ShardOwnership,
    fleet: FleetState,
    now_ms: int,
    windows: SuccessionWindows,
) -> bool:
    """Become the owner without the fleet log, if this is the standby.

    Return whether a new epoch began here.
    """
    holding = fleet.holdings.get(ownership.shard)
    if holding is None or holding.standby != ownership.node:
        return False
    epoch = holding.epoch + STANDBY_STEP
    if epoch <= ownership.newest_epoch:
        return False
    _begin_epoch(
        ownership, fleet, holding.owner, holding.epoch, epoch, now_ms, windows
    )
    return True


def merge_promises(as_entry: Promise, as_owner: Promise) -> Promise:
    """Return the joint promise of a member as an entry and a past owner."""
    return Promise(
        promised=as_entry.promised and as_owner.promised,
        records=as_entry.records + as_owner.records,
        covered_members=as_entry.covered_members,
        known_epoch=max(as_entry.known_epoch, as_owner.known_epoch),
    )


def _begin_claimed_epoch(
    ownership: ShardOwnership,
    fleet: FleetState,
    holding: Holding,
    now_ms: int,
    windows: SuccessionWindows,
) -> None:
    previous_epoch = holding.epoch - EPOCH_STEP
    _begin_epoch(
        ownership,
        fleet,
        holding.previous,
        previous_epoch,
        holding.epoch,
        now_ms,
        windows,
    )


def _begin_epoch(
    ownership: ShardOwnership,
    fleet: FleetState,
    previous_owner: str,
    previous_epoch: int,
    epoch: int,
    now_ms: int,
    windows: SuccessionWindows,
) -> None:
    loss_ms = fleet.latest_loss_ms(now_ms - windows.resend_ms, previous_owner)
    ownership.begin_epoch(
        epoch=epoch,
        first_owner=not previous_owner,
        members=set(fleet.members) - {previous_owner},
        unproven_until_ms=loss_ms + windows.resend_ms if loss_ms else 0,
        promise_deadline_ms=now_ms + windows.gather_ms,
        previous_owner=previous_owner,
        previous_epoch=previous_epoch,
    )


def _drop_lost_members(
    ownership: ShardOwnership, fleet: FleetState, windows: SuccessionWindows
) -> None:
    for member in list(ownership.awaited_members):
        loss = fleet.losses.get(member)
        if member not in fleet.members and loss is not None:
            ownership.drop_lost_member(member, loss.at_ms + windows.resend_ms)
