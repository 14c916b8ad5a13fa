"""The store is silent to the nodes that watch it while it serves the others.

See claim.txt. The script exits with 1 if rule CONFIG was broken.
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
    BOUNDS,
    BROKEN,
    CANNOT_RUN,
    HELD,
    ZONES,
    CannotRunError,
    Fleet,
    Node,
    route,
    run_case,
)
from proxy import StoreProxy  # noqa: E402

NODES = 9
SERVICES = ('cargos', 'inventario', 'pedidos')
TARGETS_PER_SERVICE = 3
SLOTS = 6
CLIENTS_PER_NODE = 3
CYCLES = 8
CYCLE_S = 11.0
# After a change of the configuration, the store falls silent to the watchers,
# and a second change follows.
SILENT_AFTER_S = 0.2
SECOND_CHANGE_AFTER_S = 0.35
SILENCE_S = 5.0
# A watch is repeated at least as often.
WATCH_S = 3.0
WORK_MS = (20, 120)
PAUSE_S = (0.02, 0.1)
BOUND_S = float(BOUNDS['config_propagation_ms']) / 1000
CLIENT_DEADLINE_S = 2.5
STABLE_S = float(BOUNDS['stable_window_ms']) / 1000


class Change:
    """A configuration, when it was sent and acknowledged, and its service."""

    def __init__(
        self, service: str, sent_at_s: float, acked_at_s: float
    ) -> None:
        self.service = service
        self.sent_at_s = sent_at_s
        self.acked_at_s = acked_at_s


class Play:
    """What the operator and the platform did."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.proxies: dict[str, StoreProxy] = {}
        self.changes: list[Change] = []
        # By node: from when to when the store was silent to it.
        self.silences: list[tuple[str, float, float]] = []
        self.clients: list[Client] = []

    async def prepare(self, node: Node) -> None:
        """Put a proxy between a node and the store."""
        proxy = StoreProxy(self.fleet.store)
        await proxy.start()
        node.store = proxy.address
        self.proxies[node.name] = proxy

    async def change(self) -> None:
        """Send all requests to the next service by a new version."""
        version = 3 * len(self.changes) + 1
        service = SERVICES[len(self.changes) % len(SERVICES)]
        sent_at_s = self.fleet.now_s()
        await self.fleet.put_config(version, [route('charge', service)])
        self.changes.append(Change(service, sent_at_s, self.fleet.now_s()))
        self.fleet.note(f'version {version} moves the route to {service}')

    def watchers(self) -> list[Node]:
        """Return the nodes that watch the configuration, by their calls."""
        now_s = self.fleet.started_at_s + self.fleet.now_s()
        return [
            node
            for node in self.fleet.nodes
            if now_s - self.proxies[node.name].watched_at_s < WATCH_S
        ]

    async def send_requests(self, client: Client, end_s: float) -> None:
        """Send one request after the other until the end."""
        while self.fleet.now_s() < end_s:
            work_ms = client.rng.randint(*WORK_MS)
            if await client.send(f'/charge/post?ms={work_ms}') is None:
                await asyncio.sleep(0.1)
            await asyncio.sleep(client.rng.uniform(*PAUSE_S))
        client.close()

    async def run(self, *, trouble: bool) -> None:
        """Run the deployment."""
        fleet = self.fleet
        await fleet.start_store()
        await self.change()
        for service in SERVICES:
            for number in range(TARGETS_PER_SERVICE):
                await fleet.start_target(
                    f'i-{service}-{number}',
                    service,
                    slots=SLOTS,
                    zone=ZONES[number],
                )
        await fleet.start_nodes(NODES, self.prepare)
        rng = Random(8)
        end_s = fleet.now_s() + 3.0 + CYCLES * CYCLE_S
        self.clients = [
            Client(fleet, node, Random(rng.random()))
            for node in fleet.nodes
            for _ in range(CLIENTS_PER_NODE)
        ]
        tasks = [
            fleet.spawn(self.send_requests(client, end_s))
            for client in self.clients
        ]
        await asyncio.sleep(3.0)
        for _ in range(CYCLES):
            await self._cycle(trouble=trouble)
        await asyncio.gather(*tasks)

    async def _cycle(self, *, trouble: bool) -> None:
        fleet = self.fleet
        began_s = fleet.now_s()
        # No more than a third of the machines.
        watchers = self.watchers()[: NODES // 3]
        if not watchers:
            raise CannotRunError('no node watches the configuration')
        await self.change()
        await asyncio.sleep(began_s + SILENT_AFTER_S - fleet.now_s())
        silent_at_s = fleet.now_s()
        if trouble:
            for node in watchers:
                self.proxies[node.name].fall_silent()
            names = ', '.join(node.name for node in watchers)
            fleet.note(f'the store falls silent to {names}')
        await asyncio.sleep(began_s + SECOND_CHANGE_AFTER_S - fleet.now_s())
        await self.change()
        await asyncio.sleep(began_s + SILENCE_S - fleet.now_s())
        if trouble:
            for node in watchers:
                self.proxies[node.name].wake()
                self.silences.append((node.name, silent_at_s, fleet.now_s()))
            fleet.note('the store serves all')
        await asyncio.sleep(began_s + CYCLE_S - fleet.now_s())

    def is_in_touch(self, this: Try) -> bool:
        """Return whether the store served the machine all the while."""
        return not any(
            this.node == name
            and began_s <= this.sent_at_s <= ended_s + STABLE_S
            for name, began_s, ended_s in self.silences
        )


def lateness_s(play: Play, this: Try, service: str) -> float:
    """Return by how much a request is beyond the bound, 0 if it isn't.

    It is if only versions allow its service that were replaced longer before
    it was sent than the bound. A version counts from the sending of it, which
    is before its acknowledgement.
    """
    replaced_at_s = float('inf')
    for change, following in zip(
        play.changes, [*play.changes[1:], None], strict=True
    ):
        if change.sent_at_s > this.sent_at_s + CLIENT_DEADLINE_S:
            break
        if change.service == service:
            replaced_at_s = following.acked_at_s if following else float('inf')
    return max(0.0, this.sent_at_s - replaced_at_s - BOUND_S)


def judge(play: Play) -> int:
    """Write what was sent, answered and run, and check rule CONFIG."""
    fleet = play.fleet
    runs = {
        line['id']: line
        for line in fleet.target_lines()
        if line['what'] == 'run'
    }
    late: Counter[str] = Counter()
    statuses: Counter[int | None] = Counter()
    tries = [this for client in play.clients for this in client.tries]
    for this in sorted(tries, key=lambda this: this.sent_at_s):
        statuses[this.status] += 1
        run = runs.get(this.request_id)
        where = 'not run'
        if run is not None:
            where = f'run by {run["server"]} at {run["t"]:.3f} s'
            over_s = lateness_s(play, this, run['server'].split('-')[1])
            if over_s > 0 and play.is_in_touch(this):
                late[this.node] += 1
                where += f', {over_s:.3f} s TOO LATE'
        fleet.note(
            f'{this.request_id} sent at {this.sent_at_s:.3f} s to'
            f' {this.node}, {where}: {this.status}'
        )
    fleet.note(f'ends of {len(tries)} requests: {dict(statuses)}')
    fleet.note(f'run as only an older version allows: {dict(late)}')
    fleet.note('CONFIG is broken' if late else 'CONFIG held')
    return BROKEN if late else HELD


async def main() -> int:
    """Run the case and return the exit code."""
    async with Fleet(FOLDER / 'record.txt') as fleet:
        play = Play(fleet)
        try:
            await play.run(trouble=os.environ.get('TROUBLE') != '0')
        except (CannotRunError, OSError) as exc:
            fleet.note(f'the case could not run: {exc!r}')
            return CANNOT_RUN
        if not any(
            this.status == 200
            for client in play.clients
            for this in client.tries
        ):
            fleet.note('the case could not run: nothing was served')
            return CANNOT_RUN
        return judge(play)


if __name__ == '__main__':
    run_case(main)
