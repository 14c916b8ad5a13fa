"""Figures of a running fleet: in force, platform calls, top rate.

Usage: python -m bench.fleet_times
"""

from __future__ import annotations

import asyncio
from asyncio import create_task, gather, sleep
from time import monotonic

from aiohttp import ClientSession, TCPConnector

from bench.cluster import Cluster
from bench.demo import SHARDS, TARGETS, apply
from carawaylane.commands.change import label_targets
from carawaylane.commands.store import Accepted
from carawaylane.platform.http import HttpDriver

CHANGES = 15
SIZES = (4, 8, 16)
IDLE_S = 6.0
LOOP_S = 4.0
CONNECTIONS = (1, 8, 32)


async def main() -> None:
    """Print the figures."""
    for size in SIZES:
        await _fleet(size)
    await _top_rate()


async def _fleet(size: int) -> None:
    async with Cluster() as cluster:
        await cluster.add_target('sizes-1')
        await gather(
            *(cluster.add_node(f'n{n}', f'dc{n % 2}') for n in range(size))
        )
        await cluster.in_force(await apply(cluster))
        await cluster.owned(SHARDS)
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
    await cluster.in_force(done.seq)
    return monotonic() - began_s


async def _top_rate() -> None:
    async with Cluster() as cluster:
        await gather(
            *(
                cluster.add_target(name, '--slots', '64', '--work-s', '0.001')
                for name in TARGETS
            )
        )
        await gather(*(cluster.add_node(f'n{n}', f'dc{n}') for n in range(3)))
        await cluster.in_force(await apply(cluster))
        await cluster.owned(SHARDS)
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
