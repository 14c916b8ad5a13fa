"""Measures times and rates of running fleets.

Prints the time until a change is in force on every node, the rate of platform
calls of an idle fleet, the reaction to a drain and the highest rate of
requests through one entry.

Usage: python -m bench.fleet_times
"""

from __future__ import annotations

import asyncio
from asyncio import create_task, gather, sleep
from random import Random
from time import monotonic, time
from typing import TYPE_CHECKING

from aiohttp import ClientSession, TCPConnector
from attrs import evolve

from bench.callers import Callers
from bench.cluster import Cluster
from bench.demo import SERVICE_BY_TARGET, SHARD_COUNT, apply_samples
from carawaylane.commands.change import label_targets
from carawaylane.commands.store import Accepted, ConfigChange, change_config
from carawaylane.storage.http import HttpDriver

if TYPE_CHECKING:
    from carawaylane.config.state import ConfigState

CHANGE_COUNT = 15
FLEET_SIZES = (4, 8, 16)
# Time for which the platform calls of an idle fleet are counted.
IDLE_S = 6.0
# Time for owners to name their standby nodes in the fleet log.
SETTLE_S = 4.0
# Duration of the load for each number of connections.
CLOSED_LOOP_S = 4.0
# Bound on new requests after a target starts to leave; the requirement says
# "a few seconds".
MAX_DRAIN_REACTION_S = 3.0
CONNECTION_COUNTS = (1, 8, 32)


async def main() -> None:
    """Run all measurements and print their results."""
    for size in FLEET_SIZES:
        await _measure_fleet(size)
    await _measure_drain_reaction()
    await _measure_top_rate()


async def _measure_fleet(size: int) -> None:
    """Print the platform calls of an idle fleet and the times of changes."""
    async with Cluster() as cluster:
        await cluster.add_target('sizes-1')
        await gather(
            *(cluster.add_node(f'n{n}', f'dc{n % 2}') for n in range(size))
        )
        await cluster.wait_for_config(await apply_samples(cluster))
        await cluster.wait_for_owners(SHARD_COUNT)
        await sleep(SETTLE_S)
        calls_before = await _platform_calls(cluster)
        await sleep(IDLE_S)
        calls_after = await _platform_calls(cluster)
        latencies_s = [
            await _change_time_s(cluster, n) for n in range(CHANGE_COUNT)
        ]
    latencies_s.sort()
    calls_per_s = (calls_after - calls_before) / IDLE_S
    print(
        f'{size} nodes: platform calls {calls_per_s:.1f}/s idle; in force '
        f'everywhere p50 {latencies_s[len(latencies_s) // 2] * 1000:.0f} ms, '
        f'max {latencies_s[-1] * 1000:.0f} ms',
        flush=True,
    )


async def _platform_calls(cluster: Cluster) -> int:
    """Return how many calls the platform has received."""
    counters = await cluster.control(cluster.platform)
    return counters['calls'].get('reads', 0) + counters['calls'].get(
        'writes', 0
    )


async def _change_time_s(cluster: Cluster, number: int) -> float:
    """Return the time from an accepted change until every node has it."""
    driver = HttpDriver(cluster.platform.url)
    result = await label_targets(
        driver, 'bench', 'app=catalogue', {'turn': str(number)}
    )
    start_s = monotonic()
    await driver.close()
    if not isinstance(result, Accepted):
        raise SystemExit(f'the change was not accepted: {result}')
    await cluster.wait_for_config(result.seq)
    return monotonic() - start_s


async def _measure_drain_reaction() -> None:
    """Print the time from an accepted drain to the last new request."""
    async with Cluster() as cluster:
        await gather(*(cluster.add_target(name) for name in SERVICE_BY_TARGET))
        await gather(
            *(cluster.add_node(f'n{n}', f'dc{n % 2}') for n in range(4))
        )
        await cluster.wait_for_config(await apply_samples(cluster))
        await cluster.wait_for_owners(SHARD_COUNT)
        callers = Callers(cluster=cluster, rng=Random(1))
        load_task = create_task(
            callers.send_at_rate('/catalogue/x', unsafe=False, rate=60)
        )
        await sleep(1)
        driver = HttpDriver(cluster.platform.url)
        draining = cluster.targets['sizes-1']
        address = f'127.0.0.1:{draining.port}'
        labels = {'state': 'draining'}
        await _label_target(driver, address, labels)
        accepted_at = time()
        await sleep(MAX_DRAIN_REACTION_S + 1)
        load_task.cancel()
        await gather(load_task, return_exceptions=True)
        counters = await cluster.control(draining)
        await driver.close()
        await callers.close()
    reactions_s = [
        at - accepted_at for at in counters['arrivals'] if at > accepted_at
    ]
    last_s = max(reactions_s, default=0.0)
    print(
        f'drain: last new request {last_s * 1000:.0f} ms after the drain '
        f'was accepted, {last_s / MAX_DRAIN_REACTION_S:.2f} of the bound',
        flush=True,
    )


async def _label_target(
    driver: HttpDriver, address: str, labels: dict[str, str]
) -> None:
    def make_change(state: ConfigState) -> ConfigChange:
        target = next(
            target for target in state.targets() if target.address == address
        )
        put = (evolve(target, labels={**target.labels, **labels}),)
        return ConfigChange(put=put)

    await change_config(driver, 'bench', make_change)


async def _measure_top_rate() -> None:
    """Print the highest rate through one entry, by connections to it."""
    async with Cluster() as cluster:
        await gather(
            *(
                cluster.add_target(name, '--slots', '64', '--work-s', '0.001')
                for name in SERVICE_BY_TARGET
            )
        )
        await gather(*(cluster.add_node(f'n{n}', f'dc{n}') for n in range(3)))
        await cluster.wait_for_config(await apply_samples(cluster))
        await cluster.wait_for_owners(SHARD_COUNT)
        url = next(iter(cluster.nodes.values())).url + '/catalogue/x'
        for connections in CONNECTION_COUNTS:
            rate = await _closed_loop_rate(url, connections)
            print(
                f'top rate through one entry, {connections} connections: '
                f'{rate:.0f}/s',
                flush=True,
            )


async def _closed_loop_rate(url: str, connections: int) -> float:
    """Return how many answers with status 200 arrive per second.

    Each connection sends a request as soon as the last one is answered.
    """
    answered = 0
    end_s = monotonic() + CLOSED_LOOP_S

    async def send_in_turn(session: ClientSession) -> None:
        nonlocal answered
        while monotonic() < end_s:
            async with session.get(url) as resp:
                await resp.read()
                answered += resp.status == 200

    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        await gather(
            *(create_task(send_in_turn(session)) for _ in range(connections))
        )
    return answered / CLOSED_LOOP_S


if __name__ == '__main__':
    asyncio.run(main())
