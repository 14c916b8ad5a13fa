"""An entry with an address that can't be read ends the processes of the nodes.

See claim.txt. The script exits with 1 if rule LOST was broken.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections import Counter
from pathlib import Path
from random import Random

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'harness_2'))

from client import Client, Try  # noqa: E402
from fleet import (  # noqa: E402
    BROKEN,
    CANNOT_RUN,
    HELD,
    ZONES,
    CannotRunError,
    Fleet,
    route,
    run_case,
)

NODES = 3
TARGETS = 4
SLOTS = 6
CLIENTS_PER_NODE = 8
PLAY_S = 80.0
ENTRY_AT_S = 5.0
# Times of work: the aim of `folio-charge` is 600 ms, its time-out 1,200 ms.
WORK_MS = (100, 900)
PAUSE_S = (0.2, 0.8)
# More than this breaks the rule, at one machine.
ALLOWED = 3
# The entry of another writer, whose address is not one of the form IP:port.
ENTRY = {
    'service': 'cargos',
    'address': 'cargos-7..heredia:8164',
    'zone': 'heredia',
    'version': '1',
    'slots': 2,
    'state': 'ready',
    'warmup_left_ms': 0,
    'seq': 1,
}


async def send_requests(client: Client, end_s: float) -> None:
    """Send one request after the other until the end."""
    while client.fleet.now_s() < end_s:
        work_ms = client.rng.randint(*WORK_MS)
        if await client.send(f'/cargos/charge?ms={work_ms}') is None:
            await asyncio.sleep(0.1)
        await asyncio.sleep(client.rng.uniform(*PAUSE_S))
    client.close()


async def play(fleet: Fleet, *, trouble: bool) -> list[Try]:
    """Run the deployment; return the attempts of all clients."""
    await fleet.start_store()
    await fleet.put_config(1, [route('cargos', 'cargos')])
    for number in range(TARGETS):
        zone = ZONES[number % len(ZONES)]
        await fleet.start_target(
            f'i-{number:04x}',
            'cargos',
            slots=SLOTS,
            zone=zone,
            weak_turn=[number, TARGETS],
        )
    await fleet.start_nodes(NODES)
    rng = Random(6)
    begin_s = fleet.now_s()
    clients = [
        Client(fleet, node, Random(rng.random()))
        for node in fleet.nodes
        for _ in range(CLIENTS_PER_NODE)
    ]
    tasks = [
        fleet.spawn(send_requests(client, begin_s + PLAY_S))
        for client in clients
    ]
    await asyncio.sleep(ENTRY_AT_S)
    if trouble:
        await fleet.control(
            do='put', kind='servers', name='i-b07f', spec=ENTRY
        )
        fleet.note(f'another writer puts servers/i-b07f: {ENTRY}')
    await asyncio.gather(*tasks)
    return [this for client in clients for this in client.tries]


def judge(fleet: Fleet, tries: list[Try]) -> int:
    """Write what was sent, answered and run, and check rule LOST.

    Counted are requests that a sound upstream ran, one that did not fail any
    requests then, and whose kept connection was closed by the node.
    """
    ran = {
        line['id']: line
        for line in fleet.target_lines()
        if line['what'] == 'run'
    }
    lost: Counter[str] = Counter()
    for this in sorted(tries, key=lambda this: this.sent_at_s):
        run = ran.get(this.request_id)
        where = (
            f'run by {run["server"]} at {run["t"]:.3f} s' if run else 'not run'
        )
        end = this.status or ('deadline' if this.timed_out else 'CLOSED')
        fleet.note(
            f'{this.request_id} sent at {this.sent_at_s:.3f} s to {this.node}'
            f' (no. {this.number} on its connection), {where}: {end}'
        )
        if (
            run is not None
            and not run['weak']
            and this.number > 1
            and this.status is None
            and not this.timed_out
        ):
            lost[this.node] += 1
    for node in fleet.nodes:
        fleet.note(
            f'{node.name}: ended by itself with {node.own_ends}; closed'
            f' {lost[node.name]} kept connections with a request that runs'
        )
    statuses = Counter(
        this.status or ('deadline' if this.timed_out else 'closed')
        for this in tries
    )
    fleet.note(f'ends of {len(tries)} requests: {dict(statuses)}')
    broken = any(count > ALLOWED for count in lost.values())
    fleet.note('LOST is broken' if broken else 'LOST held')
    return BROKEN if broken else HELD


async def main() -> int:
    """Run the case and return the exit code."""
    async with Fleet(FOLDER / 'record.txt') as fleet:
        try:
            tries = await play(fleet, trouble=os.environ.get('TROUBLE') != '0')
        except (CannotRunError, OSError) as exc:
            fleet.note(f'the case could not run: {exc!r}')
            return CANNOT_RUN
        if not any(this.status == 200 for this in tries):
            fleet.note('the case could not run: nothing was served')
            return CANNOT_RUN
        return judge(fleet, tries)


if __name__ == '__main__':
    run_case(main)
