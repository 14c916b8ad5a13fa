"""Which shard a key or target belongs to, and which node is its home."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen
from xxhash import xxh3_64_intdigest

from carawaylane.decisions.ownership import parse_generated_key
from carawaylane.decisions.selector import parse_selector

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping
    from random import Random

    from carawaylane.config.schema import Service, Target
    from carawaylane.decisions.fleet import FleetState, Member, ShardId


@frozen(kw_only=True)
class ShardLoad:
    """Free slots that the home of a shard last told."""

    free_slots: int
    stamp_ms: int


def shard_of_key(service: Service, key: str) -> int | None:
    """Return the shard that owns a key; None for one of another service."""
    minted = parse_generated_key(key)
    if minted is None:
        return _digest(key) % service.shards
    if minted.service != service.name or minted.shard >= service.shards:
        return None
    return minted.shard


def select_targets(
    service: Service, targets: Iterable[Target]
) -> list[Target]:
    """Return the targets that a service selects, in the order of names."""
    sel = parse_selector(service.selector)
    found = [each for each in targets if sel.matches(each.labels)]
    return sorted(found, key=lambda each: each.name)


def targets_in_shard(
    service: Service, targets: list[Target], shard: int
) -> list[Target]:
    """Return every n-th target, so that shards differ by one at most."""
    return targets[shard :: service.shards]


def rank_nodes(names: Iterable[str], shard: ShardId) -> list[str]:
    """Return names by rendezvous rank for a shard, the first best."""
    return sorted(
        names,
        key=lambda name: _digest(f'{name}|{shard[0]}|{shard[1]}'),
        reverse=True,
    )


def home_node(
    fleet: FleetState, shard: ShardId, down: Collection[str]
) -> str | None:
    """Return the node that runs idempotent requests of a shard.

    It is the owner, or while that one is down the best ranked other.
    """
    held = fleet.holdings.get(shard)
    if held and held.owner in fleet.members and held.owner not in down:
        return held.owner
    alive = [name for name in fleet.members if name not in down]
    best = rank_nodes(alive, shard)
    return best[0] if best else None


def unowned_shards(
    fleet: FleetState, services: Iterable[Service], down: Collection[str]
) -> list[ShardId]:
    """Return the shards without a live owner."""
    found: list[ShardId] = []
    holdings, members = fleet.holdings, fleet.members
    for spec in services:
        for number in range(spec.shards):
            held = holdings.get((spec.name, number))
            if held and held.owner in members and held.owner not in down:
                continue
            found.append((spec.name, number))
    return found


def choose_claimant(
    fleet: FleetState, shard: ShardId, down: Collection[str]
) -> str | None:
    """Return the node that should claim a shard without a live owner.

    Among the three best ranked live nodes the one with fewest shards does,
    so that claims stay spread.
    """
    held = fleet.holdings.get(shard)
    if held and held.owner in fleet.members and held.owner not in down:
        return None
    alive = [name for name in fleet.members if name not in down]
    counts = shard_counts(fleet)
    best = rank_nodes(alive, shard)[:3]
    return min(best, key=lambda name: counts.get(name, 0), default=None)


def shard_counts(fleet: FleetState) -> dict[str, int]:
    """Return how many shards each member owns."""
    counts = dict.fromkeys(fleet.members, 0)
    for held in fleet.holdings.values():
        if held.owner in counts:
            counts[held.owner] += 1
    return counts


def choose_successor(
    fleet: FleetState,
    shard: ShardId,
    own: str,
    down: Collection[str],
    newest_join: int | None = None,
) -> str | None:
    """Return the node that a stopping owner hands a shard to.

    The least loaded live one in another data centre if there is any, and
    among those that joined up to `newest_join` if that is given.
    """
    mine = fleet.members.get(own)
    counts = shard_counts(fleet)
    others = [
        each
        for each in fleet.members.values()
        if each.name != own
        and each.name not in down
        and each.host not in fleet.leaving_hosts
        and (newest_join is None or each.join_seq <= newest_join)
    ]

    def cost(each: Member) -> tuple[int, bool, str]:
        near = mine is not None and each.data_centre == mine.data_centre
        return (counts.get(each.name, 0), near, each.name)

    best = min(others, key=cost, default=None)
    return best.name if best else None


def choose_shard(
    service: Service,
    loads: Mapping[ShardId, ShardLoad],
    own_free: Mapping[ShardId, int],
    rng: Random,
) -> int:
    """Return the emptier of two random shards by published free slots."""
    if service.shards == 1:
        return 0
    one, two = rng.sample(range(service.shards), 2)

    def free(shard: int) -> int:
        place = (service.name, shard)
        if place in own_free:
            return own_free[place]
        load = loads.get(place)
        return load.free_slots if load else 0

    return one if free(one) >= free(two) else two


def _digest(text: str) -> int:
    return xxh3_64_intdigest(text.encode())
