"""How a tenure follows the fleet log, and what a member promises."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from carawaylane.decisions.fleet import EPOCH_STEP, STANDBY_STEP
from carawaylane.decisions.journal import Promise

if TYPE_CHECKING:
    from carawaylane.decisions.fleet import FleetState, Holding
    from carawaylane.decisions.tenure import Tenure


@frozen(kw_only=True)
class Windows:
    """Times that succession goes by, in milliseconds."""

    resend_ms: int
    gather_ms: int


def follow_fleet(
    tenure: Tenure, fleet: FleetState, now_ms: int, windows: Windows
) -> None:
    """Begin, retire or go on waiting, as the fleet log says."""
    held = fleet.holdings.get(tenure.shard)
    if held is None:
        return
    if held.epoch > tenure.seen_epoch:
        if held.owner == tenure.node:
            _begin(tenure, fleet, held, now_ms, windows)
        else:
            tenure.retire(owner=held.owner, epoch=held.epoch)
    _drop_gone(tenure, fleet, windows)


def stand_in(
    tenure: Tenure, fleet: FleetState, now_ms: int, windows: Windows
) -> bool:
    """Begin as the standby of an owner that is down, without the log."""
    held = fleet.holdings.get(tenure.shard)
    if held is None or held.standby != tenure.node:
        return False
    epoch = held.epoch + STANDBY_STEP
    if epoch <= tenure.seen_epoch:
        return False
    _begin_at(tenure, fleet, held.owner, held.epoch, epoch, now_ms, windows)
    return True


def join_promises(mine: Promise, owned: Promise) -> Promise:
    """Return what a member says as an entry and as an owner."""
    return Promise(
        promised=mine.promised and owned.promised,
        records=mine.records + owned.records,
        covered_members=mine.covered_members,
        known_epoch=max(mine.known_epoch, owned.known_epoch),
    )


def _begin(
    tenure: Tenure,
    fleet: FleetState,
    held: Holding,
    now_ms: int,
    windows: Windows,
) -> None:
    former_epoch = held.epoch - EPOCH_STEP
    _begin_at(
        tenure,
        fleet,
        held.previous,
        former_epoch,
        held.epoch,
        now_ms,
        windows,
    )


def _begin_at(
    tenure: Tenure,
    fleet: FleetState,
    former: str,
    former_epoch: int,
    epoch: int,
    now_ms: int,
    windows: Windows,
) -> None:
    lost_ms = fleet.losses_within(now_ms - windows.resend_ms, former)
    tenure.begin(
        epoch=epoch,
        fresh=not former,
        members=set(fleet.members) - {former},
        unproven_until_ms=lost_ms + windows.resend_ms if lost_ms else 0,
        gather_until_ms=now_ms + windows.gather_ms,
        former=former,
        former_epoch=former_epoch,
    )


def _drop_gone(tenure: Tenure, fleet: FleetState, windows: Windows) -> None:
    for member in list(tenure.waiting):
        loss = fleet.losses.get(member)
        if member not in fleet.members and loss is not None:
            tenure.gone(member, loss.at_ms + windows.resend_ms)
