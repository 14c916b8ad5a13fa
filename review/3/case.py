"""A node is stopped and started again, and an upstream leaves meanwhile.

The upstream never reports that it drains: its entry is removed, and it serves
for `drain_ms` and a little longer. No request may reach it after that bound.
"""

from __future__ import annotations

from asyncio import sleep
from collections import Counter
from json import loads
from signal import SIGTERM
from time import monotonic

from attrs import frozen

from review.harness.fleet import (
    BOUNDS,
    CannotRunError,
    Fleet,
    Node,
    free_port,
    route,
)
from review.harness.load import Load, Traffic
from review.harness.runner import run_case
from review.harness.upstream import Upstream

HOST = 'hulo84.example'
SERVICE = 'wuno96b'
NODES = 4
UPSTREAMS = 5
ROUNDS = 3
# When the entry is removed, after the node was told to stop.
REMOVED_AFTER_S = 2.5
# How much longer than the bound the upstream serves before it exits.
SERVES_LONGER_S = 0.2
CALM_S = 8.0
DRAIN_S = BOUNDS['drain_ms'] / 1000


@frozen(kw_only=True)
class Late:
    """A request that reached an upstream too late, and who was stopped."""

    request_id: str
    by_s: float
    stopped: Node | None


def find_watcher(nodes: list[Node]) -> Node:
    """Return the node that reads the lists of the store, by the logs.

    A platform sees it by the calls that the store gets.
    """
    for node in nodes:
        log = (node.folder / f'{node.name}.log').read_text()
        duties = [
            event['on']
            for line in log.splitlines()
            if (event := loads(line)).get('name') == 'watch-duty'
        ]
        if duties and duties[-1]:
            return node
    raise CannotRunError('no node watches the store')


def make_upstream(fleet: Fleet, number: int) -> Upstream:
    """Return an upstream with an address of its own."""
    host = f'127.0.2.{number}'
    return Upstream(
        name=f'i-{number}',
        address=f'{host}:{free_port(host)}',
        record=fleet.record,
        draw_work_s=lambda: 0.16,
    )


async def join(fleet: Fleet, upstream: Upstream) -> None:
    """Start an upstream and write its entry."""
    await upstream.start()
    fleet.put_server(upstream.name, service=SERVICE, address=upstream.address)


async def leave(fleet: Fleet, upstream: Upstream) -> float:
    """Remove the entry; the upstream exits later. Return when it was gone."""
    removed_at_s = monotonic()
    fleet.remove_server(upstream.name)
    await sleep(DRAIN_S + SERVES_LONGER_S)
    await upstream.exit()
    return removed_at_s


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Stop the watching node and let an upstream leave, again and again."""
    await fleet.start_store()
    upstreams = [
        make_upstream(fleet, number + 1) for number in range(UPSTREAMS)
    ]
    for upstream in upstreams:
        await join(fleet, upstream)
    fleet.put_config(
        1, [route('r-1', HOST, '/xapu221/', SERVICE, 'unsafe')], [SERVICE]
    )
    nodes = fleet.add_nodes(NODES)
    await fleet.start_nodes()
    load = Load(
        nodes=nodes,
        host=HOST,
        record=fleet.record,
        traffic=[Traffic(method='POST', path='/xapu221/a', body_bytes=1200)],
        clients_per_node=8,
        pause_s=0.25,
    )
    load.start()
    await sleep(CALM_S)
    late = []
    for number in range(ROUNDS):
        stopped = None
        if trouble:
            stopped = find_watcher(nodes)
            # It ends by itself within the time that it has, and is started.
            stopped.signal(SIGTERM)
        await sleep(REMOVED_AFTER_S)
        leaving = upstreams[number]
        gone_at_s = await leave(fleet, leaving) + DRAIN_S
        late += [
            Late(
                request_id=request.request_id,
                by_s=request.arrived_at_s - gone_at_s,
                stopped=stopped,
            )
            for request in leaving.runs
            if request.arrived_at_s > gone_at_s
        ]
        upstreams.append(make_upstream(fleet, UPSTREAMS + number + 1))
        await join(fleet, upstreams[-1])
        await sleep(CALM_S)
    await load.stop()
    judged = {answer.request_id: answer for answer in load.answers}
    in_touch = 0
    for item in late:
        answer = judged.get(item.request_id)
        if answer is None:
            continue
        entry, _ = load.sent[item.request_id]
        # The stopped machine is not in touch, the others are.
        counts_for_rule = item.stopped is None or entry != item.stopped.name
        in_touch += counts_for_rule
        fleet.record.write(
            'reached-too-late',
            request=item.request_id,
            by_s=round(item.by_s, 3),
            entry=entry,
            in_touch=counts_for_rule,
            status=answer.status,
        )
    counts = Counter(answer.status for answer in load.answers)
    fleet.record.write(
        'answers', **{f's{key}': n for key, n in counts.items()}
    )
    fleet.record.write('too-late-by-machines-in-touch', count=in_touch)
    return in_touch > 0


if __name__ == '__main__':
    run_case(play, __file__)
