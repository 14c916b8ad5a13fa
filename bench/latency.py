"""Measures the latency that a node adds to calls to a target.

Direct calls in the same run are the reference.

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
from bench.demo import (
    DATA_CENTRE_BY_NODE,
    SERVICE_BY_TARGET,
    SHARD_COUNT,
    apply_samples,
)

# Highest allowed latency that a node adds at the 99th percentile.
MAX_ADDED_P99_MS = 4.5


def new_histogram() -> HdrHistogram:
    """Return a histogram of latencies from 1 µs to 60 s, in microseconds."""
    return HdrHistogram(1, 60_000_000, 3)


async def _record_call(
    session: ClientSession, histogram: HdrHistogram, method: str, url: str
) -> None:
    start_s = monotonic()
    async with session.request(method, url) as resp:
        await resp.read()
        resp.raise_for_status()
    histogram.record_value(int((monotonic() - start_s) * 1e6))


async def send_paced(
    calls: list[tuple[str, str, HdrHistogram]], rate: float, seconds: float
) -> None:
    """Repeat each of the calls at a mean rate per second.

    A call is a method, a URL and the histogram for its latency. The load is
    open: calls start without waiting for earlier answers.
    """
    rng = Random(1)
    tasks = set()
    async with ClientSession() as session:
        end_s = monotonic() + seconds
        while monotonic() < end_s:
            for method, url, histogram in calls:
                task = create_task(
                    _record_call(session, histogram, method, url)
                )
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await sleep(rng.expovariate(rate * len(calls)))
        await gather(*tasks)


async def main(rate: float, seconds: float, node_count: int) -> None:
    """Measure lookups and unsafe requests through each node.

    `rate` is the number of requests per second at each node.
    Prints latencies and how much they exceed those of direct calls.
    """
    async with Cluster() as cluster:
        await gather(
            *(
                cluster.add_target(name, '--slots', '16')
                for name in SERVICE_BY_TARGET
            )
        )
        node_items = list(DATA_CENTRE_BY_NODE.items())[:node_count]
        await gather(*(cluster.add_node(name, dc) for name, dc in node_items))
        await cluster.wait_for_config(await apply_samples(cluster))
        await cluster.wait_for_owners(SHARD_COUNT)
        histograms = {
            name: new_histogram() for name in ('direct', 'get', 'post')
        }
        entry_urls = [proc.url for proc in cluster.nodes.values()]
        direct_url = cluster.targets['sizes-1'].url + '/x'
        warm_up_calls = [
            ('GET', url + '/catalogue/x', new_histogram())
            for url in entry_urls
        ]
        await send_paced(warm_up_calls, rate, 1.0)
        calls = [('GET', direct_url, histograms['direct'])]
        for url in entry_urls:
            calls.append(('GET', url + '/catalogue/x', histograms['get']))
            calls.append(('POST', url + '/payments', histograms['post']))
        # Each node gets lookups and unsafe requests, half of the rate each.
        await send_paced(calls, rate / 2, seconds)
    print(f'{node_count} nodes, {rate:g} requests/s at each, {seconds:g} s')
    for name, histogram in histograms.items():
        p50_ms = histogram.get_value_at_percentile(50) / 1000
        p99_ms = histogram.get_value_at_percentile(99) / 1000
        added_p50_ms = (
            p50_ms - histograms['direct'].get_value_at_percentile(50) / 1000
        )
        added_p99_ms = (
            p99_ms - histograms['direct'].get_value_at_percentile(99) / 1000
        )
        print(
            f'{name:7} n={histogram.get_total_count():5} p50 {p50_ms:.2f} ms '
            f'p99 {p99_ms:.2f} ms; added p50 {added_p50_ms:.2f} ms '
            f'p99 {added_p99_ms:.2f} ms'
        )
    added_lookup_p99_ms = (
        histograms['get'].get_value_at_percentile(99)
        - histograms['direct'].get_value_at_percentile(99)
    ) / 1000
    print(
        'added p99 as a share of its bound: '
        f'{added_lookup_p99_ms / MAX_ADDED_P99_MS:.2f}'
    )


if __name__ == '__main__':
    parser = argparse.ArgumentParser()
    parser.add_argument('--rate', type=float, default=65)
    parser.add_argument('--seconds', type=float, default=8)
    parser.add_argument('--nodes', type=int, default=3)
    args = parser.parse_args()
    asyncio.run(main(args.rate, args.seconds, args.nodes))
