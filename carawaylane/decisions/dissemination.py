"""Who watches the store, and along which tree news goes to the rest.

Decided by rendezvous rank in each data centre, so that it needs no
agreement: two watchers at once cost calls, not correctness.
"""

from __future__ import annotations

from math import log
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaylane.messages.platform_objects import Member

# A copy older than this has lost its watcher; each further candidate waits
# a step longer. Below the bound for changes to be in force, 2 s.
STALE_S = 1.1
STEP_S = 0.4
# Candidates of a data centre; more would only add refused calls in an outage.
CANDIDATES = 3
FANOUT = 12
WATCH_SEED = 'watch'
# Share of a core below which members rank alike.
MIN_CORES = 0.05


def rendezvous_score(name: str, seed: str) -> int:
    """Return the rendezvous score of a name."""
    return xxh3_64_intdigest(f'{name}|{seed}'.encode())


def rank_members(members: Iterable[Member], seed: str) -> list[str]:
    """Return the names of members by rank, the first best.

    A node with a small share of a core ranks low, so that the fleet's
    traffic does not gather on it.
    """
    found = sorted(members, key=lambda each: _weighted_rank_key(each, seed))
    return [each.name for each in found]


def _weighted_rank_key(member: Member, seed: str) -> float:
    """Return the key of a weighted rendezvous hash: smaller is better."""
    unit = (rendezvous_score(member.name, seed) + 1) / (2**64 + 1)
    # The square keeps the smallest machines out of nearly all first places.
    return -log(unit) / max(MIN_CORES, member.cores) ** 2


def should_watch(rank: int, age_s: float) -> bool:
    """Return whether a candidate watches, given the age of its copy."""
    if rank >= CANDIDATES:
        return False
    return rank == 0 or age_s > STALE_S + STEP_S * (rank - 1)


def broadcast_children(names: list[str], root: str, own: str) -> list[str]:
    """Return to whom `own` passes on what `root` sends to all names."""
    order = [root] + sorted(name for name in names if name != root)
    if own not in order:
        return []
    place = order.index(own)
    first = place * FANOUT + 1
    return order[first : first + FANOUT]
