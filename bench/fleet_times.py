"""Figures of a running fleet: in force, platform calls, top rate.

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
from bench.demo import SHARDS, TARGETS, apply
from carawaylane.commands.change import label_targets
from carawaylane.commands.store import Accepted, Draft, change_config
from carawaylane.storage.http import HttpDriver

if TYPE_CHECKING:
    from carawaylane.config.state import ConfigState

CHANGES = 15
SIZES = (4, 8, 16)
IDLE_S = 6.0
# Time for owners to name their standbys.
SETTLE_S = 4.0
LOOP_S = 4.0
# The brief's "a few seconds" for a leaving target.
LEAVING_BOUND_S = 3.0
CONNECTIONS = (1, 8, 32)


async def main() -> None:
    """Print the figures."""
    for size in SIZES:
        await _fleet(size)
    await _leaving()
    await _top_rate()


async def _fleet(size: int) -> None:
    async with Cluster() as cluster:
        await cluster.add_target('sizes-1')
        await gather(
            *(cluster.add_node(f'n{n}', f'dc{n % 2}') for n in range(size))
        )
        await cluster.wait_for_config(await apply(cluster))
        await cluster.wait_for_owners(SHARDS)
        await sleep(SETTLE_S)
        before = await _calls(cluster)
        await sleep(IDLE_S)
        after = await _calls(cluster)
        times = [await _change(cluster, n) for n in range(CHANGES)]
    times.sort()
    calls = (after - before) / IDLE_S
    print(
        f'{size} nodes: platform calls {calls:.1f}/s idle; in force '
        f'everywhere p50 {times[len(times) // 2] * 1000:.0f} ms, '
        f'max {times[-1] * 1000:.0f} ms',
        flush=True,
    )


async def _calls(cluster: Cluster) -> int:
    row = await cluster.control(cluster.platform)
    return row['calls'].get('reads', 0) + row['calls'].get('writes', 0)


async def _change(cluster: Cluster, number: int) -> float:
    driver = HttpDriver(cluster.platform.url)
    done = await label_targets(
        driver, 'bench', 'app=catalogue', {'turn': str(number)}
    )
    began_s = monotonic()
    await driver.close()
    if not isinstance(done, Accepted):
        raise SystemExit(f'not accepted: {done}')
    await cluster.wait_for_config(done.seq)
    return monotonic() - began_s


async def _leaving() -> None:
    """Measure from an accepted drain to the last new work of the target."""
    async with Cluster() as cluster:
        await gather(*(cluster.add_target(name) for name in TARGETS))
        await gather(
            *(cluster.add_node(f'n{n}', f'dc{n % 2}') for n in range(4))
        )
        await cluster.wait_for_config(await apply(cluster))
        await cluster.wait_for_owners(SHARDS)
        callers = Callers(cluster=cluster, rng=Random(1))
        task = create_task(callers.load('/catalogue/x', unsafe=False, rate=60))
        await sleep(1)
        driver = HttpDriver(cluster.platform.url)
        left = cluster.targets['sizes-1']
        address = f'127.0.0.1:{left.port}'
        chosen = {'state': 'draining'}
        await _label_one(driver, address, chosen)
        accepted = time()
        await sleep(LEAVING_BOUND_S + 1)
        task.cancel()
        await gather(task, return_exceptions=True)
        row = await cluster.control(left)
        await driver.close()
        await callers.close()
    late = [at - accepted for at in row['arrivals'] if at > accepted]
    last = max(late, default=0.0)
    print(
        f'leaving: last new work {last * 1000:.0f} ms after the drain was '
        f'accepted, {last / LEAVING_BOUND_S:.2f} of its bound',
        flush=True,
    )


async def _label_one(
    driver: HttpDriver, address: str, labels: dict[str, str]
) -> None:
    def make(state: ConfigState) -> Draft:
        target = next(x for x in state.targets() if x.address == address)
        put = (evolve(target, labels={**target.labels, **labels}),)
        return Draft(put=put)

    await change_config(driver, 'bench', make)


async def _top_rate() -> None:
    async with Cluster() as cluster:
        await gather(
            *(
                cluster.add_target(name, '--slots', '64', '--work-s', '0.001')
                for name in TARGETS
            )
        )
        await gather(*(cluster.add_node(f'n{n}', f'dc{n}') for n in range(3)))
        await cluster.wait_for_config(await apply(cluster))
        await cluster.wait_for_owners(SHARDS)
        url = next(iter(cluster.nodes.values())).url + '/catalogue/x'
        for count in CONNECTIONS:
            rate = await _closed_loop(url, count)
            print(
                f'top rate through one entry, {count} connections: '
                f'{rate:.0f}/s',
                flush=True,
            )


async def _closed_loop(url: str, count: int) -> float:
    done = 0
    end_s = monotonic() + LOOP_S

    async def loop(session: ClientSession) -> None:
        nonlocal done
        while monotonic() < end_s:
            async with session.get(url) as resp:
                await resp.read()
                done += resp.status == 200

    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        await gather(*(create_task(loop(session)) for _ in range(count)))
    return done / LOOP_S


if __name__ == '__main__':
    asyncio.run(main())
