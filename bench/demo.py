"""The demonstration: both users' services under load and two faults."""

from __future__ import annotations

import asyncio
import sys
from asyncio import create_task, gather, sleep
from pathlib import Path
from random import Random
from signal import SIGKILL
from statistics import quantiles
from time import monotonic, time

from aiohttp import ClientSession

from bench.callers import Callers
from bench.cluster import Cluster
from carawaylane.commands.change import apply_files
from carawaylane.commands.store import Accepted
from carawaylane.storage.http import HttpDriver

TARGETS = {
    'stock-1': 'room-stock',
    'stock-2': 'room-stock',
    'stock-3': 'room-stock',
    'charge-1': 'charges',
    'charge-2': 'charges',
    'sizes-1': 'catalogue',
    'sizes-2': 'catalogue',
    'pay-1': 'payments',
}
NODES = {'n1': 'dc-a', 'n2': 'dc-a', 'n3': 'dc-b', 'n4': 'dc-b'}
SHARDS = 5
CALM_S = 4.0
FAULT_S = 6.0
GRAY = 'stock-1'
LOST = 'n2'
DIRECT_SAMPLES = 200


def targets_yaml(cluster: Cluster) -> str:
    """Return the documents of the targets that run."""
    return '\n---\n'.join(
        f'kind: Target\nname: {name}\n'
        f'address: 127.0.0.1:{proc.port}\n'
        f'labels: {{app: {TARGETS[name]}}}'
        for name, proc in cluster.targets.items()
    )


async def apply(cluster: Cluster) -> int:
    """Apply the samples of both users and the targets."""
    samples = Path(__file__).parent.parent / 'samples'
    extra = cluster.log_dir / 'targets.yaml'
    extra.write_text(targets_yaml(cluster), encoding='utf-8')
    paths = [samples / 'association.yaml', samples / 'sarelo.yaml', extra]
    driver = HttpDriver(cluster.platform.url)
    done = await apply_files(driver, 'demo', paths, None)
    await driver.close()
    if not isinstance(done, Accepted):
        raise SystemExit(f'the samples were not accepted: {done}')
    return done.seq


async def direct_s(cluster: Cluster, name: str) -> list[float]:
    """Return latencies of direct calls to a target."""
    times: list[float] = []
    async with ClientSession() as session:
        for _ in range(DIRECT_SAMPLES):
            began_s = monotonic()
            async with session.get(cluster.targets[name].url + '/x') as resp:
                await resp.read()
            times.append(monotonic() - began_s)
    return times


def percentile_ms(times: list[float], percent: int) -> float:
    """Return a percentile in milliseconds."""
    return quantiles(times, n=100)[percent - 1] * 1000


async def main() -> int:
    """Run the demonstration; return the exit code."""
    rng = Random(1)
    async with Cluster() as cluster:
        await gather(*(cluster.add_target(name) for name in TARGETS))
        await gather(
            *(cluster.add_node(name, dc) for name, dc in NODES.items())
        )
        await cluster.wait_for_config(await apply(cluster))
        await cluster.wait_for_owners(SHARDS)
        callers = Callers(cluster=cluster, rng=rng)
        direct = await direct_s(cluster, 'sizes-1')
        loads = [
            create_task(callers.load('/stock/7', unsafe=False, rate=60)),
            create_task(callers.load('/charges', unsafe=True, rate=30)),
            create_task(callers.load('/catalogue/x', unsafe=False, rate=60)),
            create_task(callers.load('/payments', unsafe=True, rate=20)),
        ]
        await sleep(CALM_S)
        calm = {k: list(v) for k, v in callers.account.latency_s.items()}
        began = time()
        gray = cluster.targets[GRAY]
        await cluster.control(gray, faults={'fail': True})
        await sleep(FAULT_S / 2)
        cluster.nodes[LOST].signal(SIGKILL)
        await cluster.nodes[LOST].wait()
        await sleep(FAULT_S / 2)
        for task in loads:
            task.cancel()
        await gather(*loads, return_exceptions=True)
        row = await cluster.control(gray)
        late = [at for at in row['arrivals'] if at > began]
        wrong = await callers.check()
        await callers.close()
    report(callers, calm, direct, late, began, wrong)
    return 1 if wrong else 0


def report(
    callers: Callers,
    calm: dict[str, list[float]],
    direct: list[float],
    late: list[float],
    began: float,
    wrong: list[str],
) -> None:
    """Print the table."""
    print('answers by kind')
    for (kind, what), count in sorted(callers.account.told.items()):
        print(f'  {kind:8} {what:18} {count:6}')
    doubles = sum('times' in line for line in wrong)
    print(f'doubles {doubles}')
    first = sorted(late)[0] - began if late else 0.0
    burst = [at for at in late if at < began + FAULT_S]
    print(
        f'{GRAY} failed at 0 s: {len(burst)} requests reached it after; '
        f'first {first:.2f} s'
    )
    stop = next(
        (
            a
            for a, b in zip(sorted(late), sorted(late)[1:], strict=False)
            if b - a > 1.0
        ),
        sorted(late)[-1] if late else began,
    )
    print(f'detection time {stop - began:.2f} s')
    for kind, times in sorted(calm.items()):
        added = [
            percentile_ms(times, q) - percentile_ms(direct, q)
            for q in (50, 99)
        ]
        print(f'added to {kind}: p50 {added[0]:.2f} ms, p99 {added[1]:.2f} ms')
    for line in wrong[:10]:
        print('BROKEN:', line)
    print('all promises held' if not wrong else 'promises were broken')


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
