"""How a change spreads from the watchers to every node, counted.

Uses the fanout of the relay and one ping a second by each node; time is in
rounds of one push. No network is simulated: a round is one hop.
"""

from __future__ import annotations

from random import Random

from attrs import frozen

from carawaylane.services.relay import FAR_FANOUT, NEAR_FANOUT

# One push between nodes of different regions, generously.
HOP_S = 0.1
PING_PERIOD_S = 1.0


@frozen(kw_only=True)
class GossipRun:
    """One change that reached every node."""

    nodes: int
    pushes: int
    pulls: int
    rounds: int
    push_coverage: float
    seconds: float

    @property
    def messages_per_node(self) -> float:
        """Messages for one change, over the nodes."""
        return (self.pushes + self.pulls) / self.nodes


def simulate_gossip(
    *,
    nodes: int,
    data_centres: int,
    watchers: int,
    push_loss: float,
    seed: int,
) -> GossipRun:
    """GossipRun one change; `lost` is the share of pushes that are lost."""
    rng = Random(seed)
    centre = [number % data_centres for number in range(nodes)]
    by_centre: dict[int, list[int]] = {}
    for node, place in enumerate(centre):
        by_centre.setdefault(place, []).append(node)
    knows = {
        node for members in by_centre.values() for node in members[:watchers]
    }
    fresh = set(knows)
    pushes = rounds = 0
    while fresh:
        rounds += 1
        reached: set[int] = set()
        for node in sorted(fresh):
            chosen = _chosen(node, by_centre[centre[node]], nodes, rng)
            pushes += len(chosen)
            reached |= {x for x in chosen if rng.random() >= push_loss}
        fresh = reached - knows
        knows |= fresh
    push_coverage = len(knows) / nodes
    pulls, periods = _finish_by_pings(knows, nodes, rng)
    return GossipRun(
        nodes=nodes,
        pushes=pushes,
        pulls=pulls,
        rounds=rounds,
        push_coverage=push_coverage,
        seconds=rounds * HOP_S + periods * PING_PERIOD_S,
    )


def _chosen(node: int, near: list[int], nodes: int, rng: Random) -> list[int]:
    others = [each for each in near if each != node]
    chosen = rng.sample(others, min(NEAR_FANOUT, len(others)))
    far = rng.randrange(nodes)
    return chosen + [far] * FAR_FANOUT


def _finish_by_pings(
    knows: set[int], nodes: int, rng: Random
) -> tuple[int, int]:
    pulls = periods = 0
    while len(knows) < nodes:
        periods += 1
        learned: set[int] = set()
        for node in range(nodes):
            peer = rng.randrange(nodes)
            if (node in knows) != (peer in knows):
                learned.add(peer if node in knows else node)
        pulls += len(learned)
        knows |= learned
    return pulls, periods
