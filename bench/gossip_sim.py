"""Simulation of how a change reaches every node by gossip.

The watchers, which are the nodes that follow the platform, know the change
first. A node that learns of it pushes it to as many peers as the relay service
does. Nodes that no push reaches learn of it by pings, of which each node sends
one a second. The network is not simulated: a round of pushes takes HOP_S.
"""

from __future__ import annotations

from random import Random

from attrs import frozen

from carawaylane.services.relay import ANY_PEER_FANOUT, SAME_DATA_CENTRE_FANOUT

# Upper bound on the time of a push between nodes in different regions.
HOP_S = 0.1
PING_PERIOD_S = 1.0


@frozen(kw_only=True)
class GossipRun:
    """Cost of the propagation of one change to every node.

    `push_coverage` is the share of nodes that pushes alone reached.
    """

    nodes: int
    pushes: int
    pulls: int
    rounds: int
    push_coverage: float
    seconds: float

    @property
    def messages_per_node(self) -> float:
        """Pushes and pulls for one change, divided by the number of nodes."""
        return (self.pushes + self.pulls) / self.nodes


def simulate_gossip(
    *,
    nodes: int,
    data_centres: int,
    watchers: int,
    push_loss: float,
    seed: int,
) -> GossipRun:
    """Simulate the propagation of one change.

    `watchers` nodes in each data centre know the change at first; `push_loss`
    is the share of pushes that are lost.
    """
    rng = Random(seed)
    data_centre_of = [node % data_centres for node in range(nodes)]
    members_of: dict[int, list[int]] = {}
    for node, data_centre in enumerate(data_centre_of):
        members_of.setdefault(data_centre, []).append(node)
    informed = {
        node for members in members_of.values() for node in members[:watchers]
    }
    newly_informed = set(informed)
    pushes = rounds = 0
    while newly_informed:
        rounds += 1
        reached: set[int] = set()
        for node in sorted(newly_informed):
            peers = _push_peers(
                node, members_of[data_centre_of[node]], nodes, rng
            )
            pushes += len(peers)
            reached |= {peer for peer in peers if rng.random() >= push_loss}
        newly_informed = reached - informed
        informed |= newly_informed
    push_coverage = len(informed) / nodes
    pulls, ping_periods = _inform_by_pings(informed, nodes, rng)
    return GossipRun(
        nodes=nodes,
        pushes=pushes,
        pulls=pulls,
        rounds=rounds,
        push_coverage=push_coverage,
        seconds=rounds * HOP_S + ping_periods * PING_PERIOD_S,
    )


def _push_peers(
    node: int, same_data_centre: list[int], nodes: int, rng: Random
) -> list[int]:
    """Choose the peers to which a node pushes the change."""
    others = [member for member in same_data_centre if member != node]
    near_peers = rng.sample(others, min(SAME_DATA_CENTRE_FANOUT, len(others)))
    far_peer = rng.randrange(nodes)
    return near_peers + [far_peer] * ANY_PEER_FANOUT


def _inform_by_pings(
    informed: set[int], nodes: int, rng: Random
) -> tuple[int, int]:
    """Let pings inform the other nodes; return pulls and ping periods."""
    pulls = ping_periods = 0
    while len(informed) < nodes:
        ping_periods += 1
        learned: set[int] = set()
        for node in range(nodes):
            peer = rng.randrange(nodes)
            if (node in informed) != (peer in informed):
                learned.add(peer if node in informed else node)
        pulls += len(learned)
        informed |= learned
    return pulls, ping_periods
