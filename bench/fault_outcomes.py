"""What callers are told when nodes fail, by the model of the fleet.

For each fault, a row has the shares of the outcomes of new requests (`fresh`),
of requests in flight during the fault that are sent again (`under way`), of
answered requests that are sent again (`resent`) and of new requests with keys
from the fleet (`minted`), and the number of keys that ran twice (`doubles`).
"""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

from tests.decisions.fleet_model import World

HOSTS = 8
CALLS = 400
CALLS_IN_FLIGHT = 20
FAULTS = (
    'none',
    'entry killed',
    'owner killed',
    'owner paused',
    'owner and entry killed',
    'owner stopped as planned',
    'owner killed, platform out',
)


def fault_outcome_rows(seed: int) -> list[dict[str, Any]]:
    """Return a row of outcome shares for each fault."""
    return [_fault_row(fault, Random(seed)) for fault in FAULTS]


def _fault_row(fault: str, rng: Random) -> dict[str, Any]:
    world = World(hosts=HOSTS)
    nodes = list(world.nodes.values())
    world.claimed_by(nodes[0])
    answered = [f'done{n}' for n in range(CALLS)]
    for key in answered:
        world.call(key, rng.choice(nodes[1:]))
        world.advance_call(key, 4, 'Answered')
    in_flight = [f'open{n}' for n in range(CALLS_IN_FLIGHT)]
    for key in in_flight:
        world.call(key, rng.choice(nodes[1:]))
        world.advance_call(key, 2, 'Answered')
    _inject_fault(world, nodes, fault)
    running = [node for node in world.nodes.values() if node.up]
    heir = nodes[2]
    if fault != 'none' and 'planned' not in fault and fault != 'entry killed':
        _take_over(world, heir)
    for msg in [msg for msg in world.msgs if msg.kind == 'handover']:
        world.deliver(msg)
    for node in running:
        world.learn(node)
        _learn_new_owner(world, node)
    new = [f'fresh{n}' for n in range(CALLS)]
    row: dict[str, Any] = {'fault': fault}
    for column, keys in (
        ('fresh', new),
        ('under way', in_flight),
        ('resent', answered),
    ):
        row[column] = _outcome_shares(world, keys, running, rng)
    minted_counts = Counter()
    for _ in range(CALLS):
        entry = rng.choice(running)
        key = world.generate_key(entry)
        if key is not None:
            world.sent_first.setdefault(key, world.now_ms)
            minted_counts[_outcome_of_call(world, key, entry)] += 1
    row['minted'] = _format_shares(minted_counts)
    row['doubles'] = sum(count > 1 for count in world.runs.values())
    return row


def _inject_fault(world: World, nodes: list[Any], fault: str) -> None:
    if 'platform out' in fault:
        world.platform_up = False
    if fault.startswith('owner killed') or fault.startswith('owner and'):
        world.kill(nodes[0])
    if 'entry killed' in fault:
        world.kill(nodes[1])
        world.evict(nodes[1])
    if fault == 'owner paused':
        nodes[0].paused = True
    if 'planned' in fault:
        for job in list(nodes[0].jobs):
            world.settle(nodes[0], job, 'Answered')
        for msg in [msg for msg in world.msgs if msg.kind == 'reply']:
            world.deliver(msg)
        world.leave(nodes[0])


def _take_over(world: World, heir: Any) -> None:
    world.take_over(heir)
    world.deliver_promises()
    world.now_ms += 2000


def _learn_new_owner(world: World, node: Any) -> None:
    """Tell a node which node owns the shard, as a home tells entries."""
    for other in world.nodes.values():
        if other.up and other.ownership.is_owner():
            if other.ownership.epoch > node.holding()[1]:
                node.hint = (other.name, other.ownership.epoch)


def _outcome_shares(
    world: World, keys: list[str], running: list[Any], rng: Random
) -> str:
    counts: Counter[str] = Counter()
    for key in keys:
        counts[_outcome_of_call(world, key, rng.choice(running))] += 1
    return _format_shares(counts)


def _outcome_of_call(world: World, key: str, entry: Any) -> str:
    start = len(world.told)
    world.call(key, entry)
    world.advance_call(key, 8, 'Answered')
    outcomes = [
        outcome for told_key, outcome in world.told[start:] if told_key == key
    ]
    if not outcomes:
        return 'not reached'
    return (
        'answered' if outcomes[-1] in ('Answered', 'Replay') else outcomes[-1]
    )


def _format_shares(counts: Counter[str]) -> str:
    total = sum(counts.values())
    names = {'InDoubt': 'unknown', 'Refuse': 'not run'}
    return ', '.join(
        f'{names.get(outcome, outcome)} {count / total:.0%}'
        for outcome, count in counts.most_common()
    )
