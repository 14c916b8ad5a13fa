"""Which shard a key or target belongs to and which node serves a shard."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen
from xxhash import xxh3_64_intdigest

from carawaylane.decisions.ownership.ownership import parse_generated_key
from carawaylane.decisions.routing.selector import parse_selector

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping
    from random import Random

    from carawaylane.config.schema import Service, Target
    from carawaylane.decisions.ownership.fleet import (
        FleetState,
        Member,
        ShardId,
    )


@frozen(kw_only=True)
class ShardLoad:
    """Free slots of a shard as its home last reported them."""

    free_slots: int
    reported_ms: int


def shard_of_key(service: Service, key: str) -> int | None:
    """Return the shard of a key, None for a key of another service.

    A generated key names its shard.
    """
    generated = parse_generated_key(key)
    if generated is None:
        return _digest(key) % service.shards
    if generated.service != service.name or generated.shard >= service.shards:
        return None
    return generated.shard


def select_targets(
    service: Service, targets: Iterable[Target]
) -> list[Target]:
    """Return the targets that a service selects, sorted by name."""
    selector = parse_selector(service.selector)
    selected = [
        target for target in targets if selector.matches(target.labels)
    ]
    return sorted(selected, key=lambda target: target.name)


def targets_in_shard(
    service: Service, targets: list[Target], shard: int
) -> list[Target]:
    """Return the targets of one shard.

    Targets are assigned round-robin, so that the numbers of targets of two
    shards differ by one at most.
    """
    return targets[shard :: service.shards]


def rank_nodes(names: Iterable[str], shard: ShardId) -> list[str]:
    """Return node names by rendezvous hashing for a shard, best first."""
    return sorted(
        names,
        key=lambda name: _digest(f'{name}|{shard[0]}|{shard[1]}'),
        reverse=True,
    )


def home_node(
    fleet: FleetState, shard: ShardId, down: Collection[str]
) -> str | None:
    """Return the node that runs idempotent requests of a shard.

    It is the owner or, while that is down, the live node that ranks best.
    """
    holding = fleet.holdings.get(shard)
    if (
        holding
        and holding.owner in fleet.members
        and holding.owner not in down
    ):
        return holding.owner
    live_nodes = [name for name in fleet.members if name not in down]
    ranked = rank_nodes(live_nodes, shard)
    return ranked[0] if ranked else None


def unowned_shards(
    fleet: FleetState, services: Iterable[Service], down: Collection[str]
) -> list[ShardId]:
    """Return the shards without a live owner."""
    unowned: list[ShardId] = []
    holdings, members = fleet.holdings, fleet.members
    for service in services:
        for number in range(service.shards):
            holding = holdings.get((service.name, number))
            if (
                holding
                and holding.owner in members
                and holding.owner not in down
            ):
                continue
            unowned.append((service.name, number))
    return unowned


def choose_claimant(
    fleet: FleetState, shard: ShardId, down: Collection[str]
) -> str | None:
    """Return the node that should claim a shard, None if its owner is live.

    Of the three live nodes that rank best, it is the one that owns the fewest
    shards, which balances the shards between the nodes.
    """
    holding = fleet.holdings.get(shard)
    if (
        holding
        and holding.owner in fleet.members
        and holding.owner not in down
    ):
        return None
    live_nodes = [name for name in fleet.members if name not in down]
    counts = shard_counts(fleet)
    candidates = rank_nodes(live_nodes, shard)[:3]
    return min(candidates, key=lambda name: counts.get(name, 0), default=None)


def shard_counts(fleet: FleetState) -> dict[str, int]:
    """Return how many shards each member owns."""
    counts = dict.fromkeys(fleet.members, 0)
    for holding in fleet.holdings.values():
        if holding.owner in counts:
            counts[holding.owner] += 1
    return counts


def choose_successor(
    fleet: FleetState,
    shard: ShardId,
    owner: str,
    down: Collection[str],
    max_join_seq: int | None = None,
) -> str | None:
    """Return the node that should succeed the owner of a shard.

    It is the live node with the fewest shards and, of several, one in another
    data centre. With `max_join_seq` only members that joined up to that
    sequence number count.
    """
    owner_member = fleet.members.get(owner)
    counts = shard_counts(fleet)
    candidates = [
        member
        for member in fleet.members.values()
        if member.name != owner
        and member.name not in down
        and member.host not in fleet.leaving_hosts
        and (max_join_seq is None or member.join_seq <= max_join_seq)
    ]

    def cost(member: Member) -> tuple[int, bool, str]:
        same_data_centre = (
            owner_member is not None
            and member.data_centre == owner_member.data_centre
        )
        return (counts.get(member.name, 0), same_data_centre, member.name)

    best = min(candidates, key=cost, default=None)
    return best.name if best else None


def choose_shard(
    service: Service,
    loads: Mapping[ShardId, ShardLoad],
    own_free_slots: Mapping[ShardId, int],
    rng: Random,
) -> int:
    """Return the shard with more free slots of two that are drawn at random.

    This is known as the power of two choices. `own_free_slots` has the free
    slots of shards at this node, `loads` those that other homes reported.
    """
    if service.shards == 1:
        return 0
    first, second = rng.sample(range(service.shards), 2)

    def free_slots(number: int) -> int:
        shard = (service.name, number)
        if shard in own_free_slots:
            return own_free_slots[shard]
        load = loads.get(shard)
        return load.free_slots if load else 0

    return first if free_slots(first) >= free_slots(second) else second


def _digest(text: str) -> int:
    return xxh3_64_intdigest(text.encode())
