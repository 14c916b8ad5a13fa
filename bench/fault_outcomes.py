"""Shares of unknown and needless refusals under faults of nodes."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

from tests.decisions.fleet_model import World

HOSTS = 8
CALLS = 400
OPEN = 20
CASES = (
    'none',
    'entry killed',
    'owner killed',
    'owner paused',
    'owner and entry killed',
    'owner stopped as planned',
    'owner killed, platform out',
)


def fault_outcome_rows(seed: int) -> list[dict[str, Any]]:
    """Return a row for each fault."""
    return [_case(case, Random(seed)) for case in CASES]


def _case(case: str, rng: Random) -> dict[str, Any]:
    world = World(hosts=HOSTS)
    nodes = list(world.nodes.values())
    world.claimed_by(nodes[0])
    done = [f'done{n}' for n in range(CALLS)]
    for key in done:
        world.call(key, rng.choice(nodes[1:]))
        world.advance_call(key, 4, 'Answered')
    under_way = [f'open{n}' for n in range(OPEN)]
    for key in under_way:
        world.call(key, rng.choice(nodes[1:]))
        world.advance_call(key, 2, 'Answered')
    _fault(world, nodes, case)
    alive = [x for x in world.nodes.values() if x.up]
    heir = nodes[2]
    if case != 'none' and 'planned' not in case and case != 'entry killed':
        _take_over(world, heir)
    for msg in [x for x in world.msgs if x.kind == 'handover']:
        world.deliver(msg)
    for node in alive:
        world.learn(node)
        _hear(world, node)
    fresh = [f'fresh{n}' for n in range(CALLS)]
    row: dict[str, Any] = {'fault': case}
    for name, keys in (
        ('fresh', fresh),
        ('under way', under_way),
        ('resent', done),
    ):
        row[name] = _told(world, keys, alive, rng)
    minted = Counter()
    for _ in range(CALLS):
        entry = rng.choice(alive)
        key = world.generate_key(entry)
        if key is not None:
            world.sent_first.setdefault(key, world.now_ms)
            minted[_one(world, key, entry)] += 1
    row['minted'] = _text(minted)
    row['doubles'] = sum(count > 1 for count in world.runs.values())
    return row


def _fault(world: World, nodes: list[Any], case: str) -> None:
    if 'platform out' in case:
        world.platform_up = False
    if case.startswith('owner killed') or case.startswith('owner and'):
        world.kill(nodes[0])
    if 'entry killed' in case:
        world.kill(nodes[1])
        world.evict(nodes[1])
    if case == 'owner paused':
        nodes[0].paused = True
    if 'planned' in case:
        for job in list(nodes[0].jobs):
            world.settle(nodes[0], job, 'Answered')
        for msg in [x for x in world.msgs if x.kind == 'reply']:
            world.deliver(msg)
        world.leave(nodes[0])


def _take_over(world: World, heir: Any) -> None:
    world.take_over(heir)
    world.deliver_promises()
    world.now_ms += 2000


def _hear(world: World, node: Any) -> None:
    """Learn of a handover as entries do: by being told."""
    for other in world.nodes.values():
        if other.up and other.ownership.is_owner():
            if other.ownership.epoch > node.holding()[1]:
                node.hint = (other.name, other.ownership.epoch)


def _told(world: World, keys: list[str], alive: list[Any], rng: Random) -> str:
    counts: Counter[str] = Counter()
    for key in keys:
        counts[_one(world, key, rng.choice(alive))] += 1
    return _text(counts)


def _one(world: World, key: str, entry: Any) -> str:
    before = len(world.told)
    world.call(key, entry)
    world.advance_call(key, 8, 'Answered')
    told = [what for k, what in world.told[before:] if k == key]
    if not told:
        return 'not reached'
    return 'answered' if told[-1] in ('Answered', 'Replay') else told[-1]


def _text(counts: Counter[str]) -> str:
    total = sum(counts.values())
    names = {'InDoubt': 'unknown', 'Refuse': 'not run'}
    return ', '.join(
        f'{names.get(what, what)} {count / total:.0%}'
        for what, count in counts.most_common()
    )
