"""Processor time and memory of real node processes at several rates."""

from __future__ import annotations

from asyncio import gather, sleep

from attrs import frozen
from psutil import Process

from bench.cluster import Cluster
from bench.demo import SHARDS, TARGETS, apply
from bench.latency import new_histogram, paced

NODES = 3
RATES = (20, 65, 130)
SECONDS = 4.0
IDLE_SECONDS = 5.0


@frozen(kw_only=True)
class NodeCost:
    """What one node process spends."""

    idle_cores: float
    idle_rss_bytes: int
    cores_by_rate: dict[int, float]
    loaded_rss_bytes: int

    @property
    def cpu_ms_per_request(self) -> float:
        """Processor milliseconds of a request, over all its hops."""
        low, high = min(self.cores_by_rate), max(self.cores_by_rate)
        grown = self.cores_by_rate[high] - self.cores_by_rate[low]
        return grown / (high - low) * 1000


async def measure_node_cost() -> NodeCost:
    """Measure three nodes, idle and under load; figures are for one."""
    async with Cluster() as cluster:
        await gather(
            *(cluster.add_target(name, '--slots', '16') for name in TARGETS)
        )
        await gather(
            *(cluster.add_node(f'n{n}', f'dc{n}') for n in range(NODES))
        )
        await cluster.wait_for_config(await apply(cluster))
        await cluster.wait_for_owners(SHARDS)
        procs = [Process(each.process.pid) for each in cluster.nodes.values()]
        idle = await _core(procs, sleep(IDLE_SECONDS), IDLE_SECONDS)
        idle_rss_bytes = _bytes(procs)
        cores_by_rate: dict[int, float] = {}
        for rate in RATES:
            urls = [
                (method, each.url + path, new_histogram())
                for each in cluster.nodes.values()
                for method, path in (
                    ('GET', '/catalogue/x'),
                    ('POST', '/payments'),
                )
            ]
            run = paced(urls, rate / 2, SECONDS)
            cores_by_rate[rate] = await _core(procs, run, SECONDS)
        return NodeCost(
            idle_cores=idle,
            idle_rss_bytes=idle_rss_bytes,
            cores_by_rate=cores_by_rate,
            loaded_rss_bytes=_bytes(procs),
        )


async def _core(procs: list[Process], run: object, seconds: float) -> float:
    before = sum(_cpu_s(proc) for proc in procs)
    await run
    spent = sum(_cpu_s(proc) for proc in procs) - before
    return spent / seconds / len(procs)


def _cpu_s(proc: Process) -> float:
    times = proc.cpu_times()
    return times.user + times.system


def _bytes(procs: list[Process]) -> int:
    return sum(proc.memory_info().rss for proc in procs) // len(procs)
