"""Demonstration: the services of both users under load and two faults.

The users are the organisations whose documents are in `samples/`. One target
starts to fail its requests and, later, one node is killed.
"""

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

SERVICE_BY_TARGET = {
    'stock-1': 'room-stock',
    'stock-2': 'room-stock',
    'stock-3': 'room-stock',
    'charge-1': 'charges',
    'charge-2': 'charges',
    'sizes-1': 'catalogue',
    'sizes-2': 'catalogue',
    'pay-1': 'payments',
}
DATA_CENTRE_BY_NODE = {'n1': 'dc-a', 'n2': 'dc-a', 'n3': 'dc-b', 'n4': 'dc-b'}
SHARD_COUNT = 5
# Duration of the load before the first fault, and after it.
BASELINE_S = 4.0
FAULT_S = 6.0
FAILING_TARGET = 'stock-1'
KILLED_NODE = 'n2'
DIRECT_CALLS = 200


def targets_yaml(cluster: Cluster) -> str:
    """Return the configuration documents of the running targets."""
    return '\n---\n'.join(
        f'kind: Target\nname: {name}\n'
        f'address: 127.0.0.1:{proc.port}\n'
        f'labels: {{app: {SERVICE_BY_TARGET[name]}}}'
        for name, proc in cluster.targets.items()
    )


async def apply_samples(cluster: Cluster) -> int:
    """Apply the sample documents and the targets; return their version."""
    samples = Path(__file__).parent.parent / 'samples'
    targets_file = cluster.log_dir / 'targets.yaml'
    targets_file.write_text(targets_yaml(cluster), encoding='utf-8')
    paths = [
        samples / 'association.yaml',
        samples / 'sarelo.yaml',
        targets_file,
    ]
    driver = HttpDriver(cluster.platform.url)
    result = await apply_files(driver, 'demo', paths, None)
    await driver.close()
    if not isinstance(result, Accepted):
        raise SystemExit(f'the sample documents were not accepted: {result}')
    return result.seq


async def measure_direct_latencies_s(
    cluster: Cluster, name: str
) -> list[float]:
    """Return latencies of calls that go directly to a target."""
    latencies_s: list[float] = []
    async with ClientSession() as session:
        for _ in range(DIRECT_CALLS):
            start_s = monotonic()
            async with session.get(cluster.targets[name].url + '/x') as resp:
                await resp.read()
            latencies_s.append(monotonic() - start_s)
    return latencies_s


def percentile_ms(latencies_s: list[float], percent: int) -> float:
    """Return a percentile of latencies in milliseconds."""
    return quantiles(latencies_s, n=100)[percent - 1] * 1000


async def main() -> int:
    """Run the demonstration; return 1 if a promise was broken."""
    rng = Random(1)
    async with Cluster() as cluster:
        await gather(*(cluster.add_target(name) for name in SERVICE_BY_TARGET))
        await gather(
            *(
                cluster.add_node(name, dc)
                for name, dc in DATA_CENTRE_BY_NODE.items()
            )
        )
        await cluster.wait_for_config(await apply_samples(cluster))
        await cluster.wait_for_owners(SHARD_COUNT)
        callers = Callers(cluster=cluster, rng=rng)
        direct_latencies_s = await measure_direct_latencies_s(
            cluster, 'sizes-1'
        )
        load_tasks = [
            create_task(
                callers.send_at_rate('/stock/7', unsafe=False, rate=60)
            ),
            create_task(
                callers.send_at_rate('/charges', unsafe=True, rate=30)
            ),
            create_task(
                callers.send_at_rate('/catalogue/x', unsafe=False, rate=60)
            ),
            create_task(
                callers.send_at_rate('/payments', unsafe=True, rate=20)
            ),
        ]
        await sleep(BASELINE_S)
        baseline_latencies_s = {
            kind: list(latencies_s)
            for kind, latencies_s in callers.totals.latencies_s.items()
        }
        fault_time_s = time()
        failing = cluster.targets[FAILING_TARGET]
        await cluster.control(failing, faults={'fail': True})
        await sleep(FAULT_S / 2)
        cluster.nodes[KILLED_NODE].signal(SIGKILL)
        await cluster.nodes[KILLED_NODE].wait()
        await sleep(FAULT_S / 2)
        for task in load_tasks:
            task.cancel()
        await gather(*load_tasks, return_exceptions=True)
        counters = await cluster.control(failing)
        arrival_times_s = [
            at for at in counters['arrivals'] if at > fault_time_s
        ]
        violations = await callers.find_violations()
        await callers.close()
    print_report(
        callers,
        baseline_latencies_s,
        direct_latencies_s,
        arrival_times_s,
        fault_time_s,
        violations,
    )
    return 1 if violations else 0


def print_report(
    callers: Callers,
    baseline_latencies_s: dict[str, list[float]],
    direct_latencies_s: list[float],
    arrival_times_s: list[float],
    fault_time_s: float,
    violations: list[str],
) -> None:
    """Print outcomes, reaction to the failing target and added latency.

    `arrival_times_s` are the times at which requests reached the failing
    target after it began to fail at `fault_time_s`.
    """
    print('answers by kind')
    for (kind, outcome), count in sorted(callers.totals.outcomes.items()):
        print(f'  {kind:8} {outcome:18} {count:6}')
    # A line about a repeated run reads "KEY ran N times".
    repeated_keys = sum('times' in line for line in violations)
    print(f'keys that ran more than once: {repeated_keys}')
    first_after_s = (
        sorted(arrival_times_s)[0] - fault_time_s if arrival_times_s else 0.0
    )
    times_in_fault_s = [
        at for at in arrival_times_s if at < fault_time_s + FAULT_S
    ]
    print(
        f'{FAILING_TARGET} failed at 0 s: {len(times_in_fault_s)} requests '
        f'reached it afterwards; first after {first_after_s:.2f} s'
    )
    # The last request before the first pause of more than a second; a target
    # that is in service receives several requests a second.
    last_time_s = next(
        (
            at
            for at, next_time_s in zip(
                sorted(arrival_times_s),
                sorted(arrival_times_s)[1:],
                strict=False,
            )
            if next_time_s - at > 1.0
        ),
        sorted(arrival_times_s)[-1] if arrival_times_s else fault_time_s,
    )
    print(f'detection time {last_time_s - fault_time_s:.2f} s')
    for kind, latencies_s in sorted(baseline_latencies_s.items()):
        added_ms = [
            percentile_ms(latencies_s, percent)
            - percentile_ms(direct_latencies_s, percent)
            for percent in (50, 99)
        ]
        print(
            f'added to {kind}: p50 {added_ms[0]:.2f} ms, '
            f'p99 {added_ms[1]:.2f} ms'
        )
    for line in violations[:10]:
        print('BROKEN:', line)
    print('all promises held' if not violations else 'promises were broken')


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
