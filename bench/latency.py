"""Latency that a node adds, against direct calls in the same run.

Usage: python -m bench.latency [--rate N] [--seconds N] [--nodes N]
"""

from __future__ import annotations

import argparse
import asyncio
from asyncio import create_task, gather, sleep
from random import Random
from time import monotonic

from aiohttp import ClientSession
from hdrh.histogram import HdrHistogram

from bench.cluster import Cluster
from bench.demo import NODES, SHARDS, TARGETS, apply

TARGET_P99_MS = 4.5


def new_histogram() -> HdrHistogram:
    """Return a histogram of microseconds up to a minute."""
    return HdrHistogram(1, 60_000_000, 3)


async def _call(
    session: ClientSession, hist: HdrHistogram, method: str, url: str
) -> None:
    began_s = monotonic()
    async with session.request(method, url) as resp:
        await resp.read()
        resp.raise_for_status()
    hist.record_value(int((monotonic() - began_s) * 1e6))


async def paced(
    urls: list[tuple[str, str, HdrHistogram]], rate: float, seconds: float
) -> None:
    """Send to every URL in turn at a rate, without waiting for answers."""
    rng = Random(1)
    tasks = set()
    async with ClientSession() as session:
        end_s = monotonic() + seconds
        while monotonic() < end_s:
            for method, url, hist in urls:
                task = create_task(_call(session, hist, method, url))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await sleep(rng.expovariate(rate * len(urls)))
        await gather(*tasks)


async def main(rate: float, seconds: float, nodes: int) -> None:
    """Measure lookups and unsafe requests through each node."""
    async with Cluster() as cluster:
        await gather(
            *(cluster.add_target(name, '--slots', '16') for name in TARGETS)
        )
        chosen = list(NODES.items())[:nodes]
        await gather(*(cluster.add_node(name, dc) for name, dc in chosen))
        await cluster.wait_for_config(await apply(cluster))
        await cluster.wait_for_owners(SHARDS)
        hists = {name: new_histogram() for name in ('direct', 'get', 'post')}
        entries = [proc.url for proc in cluster.nodes.values()]
        direct = cluster.targets['sizes-1'].url + '/x'
        warm = [
            ('GET', url + '/catalogue/x', new_histogram()) for url in entries
        ]
        await paced(warm, rate, 1.0)
        urls = [('GET', direct, hists['direct'])]
        for url in entries:
            urls.append(('GET', url + '/catalogue/x', hists['get']))
            urls.append(('POST', url + '/payments', hists['post']))
        await paced(urls, rate / 2, seconds)
    print(f'{nodes} nodes, {rate:g} requests/s at each, {seconds:g} s')
    for name, hist in hists.items():
        p50 = hist.get_value_at_percentile(50) / 1000
        p99 = hist.get_value_at_percentile(99) / 1000
        d50 = p50 - hists['direct'].get_value_at_percentile(50) / 1000
        d99 = p99 - hists['direct'].get_value_at_percentile(99) / 1000
        print(
            f'{name:7} n={hist.get_total_count():5} p50 {p50:.2f} ms '
            f'p99 {p99:.2f} ms; added p50 {d50:.2f} ms p99 {d99:.2f} ms'
        )
    added = (
        hists['get'].get_value_at_percentile(99)
        - hists['direct'].get_value_at_percentile(99)
    ) / 1000
    print(f'added p99 over its bound: {added / TARGET_P99_MS:.2f}')


if __name__ == '__main__':
    parser = argparse.ArgumentParser()
    parser.add_argument('--rate', type=float, default=65)
    parser.add_argument('--seconds', type=float, default=8)
    parser.add_argument('--nodes', type=int, default=3)
    args = parser.parse_args()
    asyncio.run(main(args.rate, args.seconds, args.nodes))
