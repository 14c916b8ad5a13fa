"""Which nodes watch the store, and the trees along which changes spread.

Every node ranks the members of a data centre by rendezvous hashing, so that
no agreement is needed. Two nodes that watch at once cost extra calls to the
store, but do no harm.
"""

from __future__ import annotations

from math import log
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from carawaylane.decisions.propagation.pacing import link_time_s

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from carawaylane.messages.platform_objects import Member

# Peers to which a node forwards a broadcast.
FANOUT = 12
# Nodes with links below this send large objects to few peers, so that others
# pass them on.
SMALL_LINK_MBPS = 20.0
SMALL_LINK_FANOUT = 2
# Messages above this size count as large. The list of 300 members has 24 KB;
# sent to FANOUT peers, it occupies a link of 5 Mbit/s for 0.5 s.
LARGE_MESSAGE_BYTES = 8 << 10
# If a recipient of a broadcast has not replied by then, others get the part
# of the broadcast that was its own. Far above the time of a reply.
TAKEOVER_DELAY_S = 0.2
# Seed of the ranking that selects the watchers.
WATCH_SEED = 'watch'
# Members with fewer cores than this are ranked as if they had this many.
MIN_CORES = 0.05
# Exponents of the cores in the weight of a member. Squared, they keep the
# smallest hosts out of nearly all first ranks; a duty of which there are only
# few in the fleet, each with a part of all requests, needs a large host.
CORES_EXPONENT = 2
FEW_DUTIES_CORES_EXPONENT = 6


def rendezvous_score(name: str, seed: str) -> int:
    """Return the rendezvous hash of a name, from 0 to 2**64 - 1."""
    return xxh3_64_intdigest(f'{name}|{seed}'.encode())


def rank_members(
    members: Iterable[Member], seed: str, exponent: int = CORES_EXPONENT
) -> list[str]:
    """Return the names of members by rank, best first.

    Members with few cores rank low, so that the fleet's traffic does not
    concentrate on them; the larger the exponent, the lower.
    """
    by_rank = sorted(
        members, key=lambda member: _weighted_rank_key(member, seed, exponent)
    )
    return [member.name for member in by_rank]


def _weighted_rank_key(member: Member, seed: str, exponent: int) -> float:
    """Return the sort key of a weighted rendezvous hash, smallest first."""
    # Uniformly distributed between 0 and 1.
    uniform = (rendezvous_score(member.name, seed) + 1) / (2**64 + 1)
    return -log(uniform) / max(MIN_CORES, member.cores) ** exponent


def large_fanout(link_mbps: float) -> int:
    """Return to how many peers a node sends a large broadcast."""
    return FANOUT if link_mbps >= SMALL_LINK_MBPS else SMALL_LINK_FANOUT


def takeover_delay_s(sent_bytes: int, link_mbps: float) -> float:
    """Return how long a sender of a broadcast waits for the replies.

    That includes the time in which its own link transmits the broadcast. A
    node that took over before that would send even more over a busy link.
    """
    return TAKEOVER_DELAY_S + link_time_s(sent_bytes, link_mbps)


def order_by_link(members: Iterable[Member]) -> list[Member]:
    """Return members with the fastest links first, so that these relay."""
    return sorted(members, key=lambda member: -member.link_mbps)


def broadcast_shares(
    recipients: Sequence[str], fanout: int = FANOUT
) -> list[list[str]]:
    """Split the recipients of a broadcast into one share for each child.

    The first of a share is the child, which forwards to the others. With
    FANOUT children, the tree is the one of `broadcast_children`.
    """
    shares = [[child] for child in recipients[:fanout]]
    for position in range(fanout + 1, len(recipients) + 1):
        ancestor = position
        while ancestor > fanout:
            ancestor = (ancestor - 1) // fanout
        shares[ancestor - 1].append(recipients[position - 1])
    return shares


def broadcast_children(names: list[str], root: str, own: str) -> list[str]:
    """Return the names to which `own` forwards a broadcast by `root`.

    For broadcasts of older builds, in which each node finds its children in
    its own list of members. The broadcast tree is a complete tree in which
    nodes have FANOUT children.
    """
    tree_order = [root] + sorted(name for name in names if name != root)
    if own not in tree_order:
        return []
    position = tree_order.index(own)
    first_child = position * FANOUT + 1
    return tree_order[first_child : first_child + FANOUT]
