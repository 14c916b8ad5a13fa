"""Measures processor time and memory of node processes at several rates."""

from __future__ import annotations

from asyncio import gather, sleep

from attrs import frozen
from psutil import Process

from bench.cluster import Cluster
from bench.demo import SERVICE_BY_TARGET, SHARD_COUNT, apply_samples
from bench.latency import new_histogram, send_paced

NODE_COUNT = 3
# Requests per second at each node.
RATES = (20, 65, 130)
LOAD_S = 4.0
IDLE_S = 5.0


@frozen(kw_only=True)
class NodeCost:
    """Mean cost of one node process, idle and under load.

    `cores_by_rate` maps requests per second at the node to the processor
    time spent per second.
    """

    idle_cores: float
    idle_rss_bytes: int
    cores_by_rate: dict[int, float]
    loaded_rss_bytes: int

    @property
    def cpu_ms_per_request(self) -> float:
        """Return processor time per request, summed over all nodes it passes.

        It is the slope between the lowest and the highest rate, so idle cost
        is left out.
        """
        low_rate, high_rate = min(self.cores_by_rate), max(self.cores_by_rate)
        added_cores = (
            self.cores_by_rate[high_rate] - self.cores_by_rate[low_rate]
        )
        return added_cores / (high_rate - low_rate) * 1000


async def measure_node_cost() -> NodeCost:
    """Start a fleet and measure the mean cost of its nodes."""
    async with Cluster() as cluster:
        await gather(
            *(
                cluster.add_target(name, '--slots', '16')
                for name in SERVICE_BY_TARGET
            )
        )
        await gather(
            *(cluster.add_node(f'n{n}', f'dc{n}') for n in range(NODE_COUNT))
        )
        await cluster.wait_for_config(await apply_samples(cluster))
        await cluster.wait_for_owners(SHARD_COUNT)
        procs = [Process(node.process.pid) for node in cluster.nodes.values()]
        idle_cores = await _mean_cores(procs, sleep(IDLE_S), IDLE_S)
        idle_rss_bytes = _mean_rss_bytes(procs)
        cores_by_rate: dict[int, float] = {}
        for rate in RATES:
            calls = [
                (method, node.url + path, new_histogram())
                for node in cluster.nodes.values()
                for method, path in (
                    ('GET', '/catalogue/x'),
                    ('POST', '/payments'),
                )
            ]
            load = send_paced(calls, rate / 2, LOAD_S)
            cores_by_rate[rate] = await _mean_cores(procs, load, LOAD_S)
        return NodeCost(
            idle_cores=idle_cores,
            idle_rss_bytes=idle_rss_bytes,
            cores_by_rate=cores_by_rate,
            loaded_rss_bytes=_mean_rss_bytes(procs),
        )


async def _mean_cores(
    procs: list[Process], load: object, seconds: float
) -> float:
    """Return the cores that a process uses, on average, during a load."""
    start_cpu_s = sum(_cpu_s(proc) for proc in procs)
    await load
    spent_cpu_s = sum(_cpu_s(proc) for proc in procs) - start_cpu_s
    return spent_cpu_s / seconds / len(procs)


def _cpu_s(proc: Process) -> float:
    times = proc.cpu_times()
    return times.user + times.system


def _mean_rss_bytes(procs: list[Process]) -> int:
    return sum(proc.memory_info().rss for proc in procs) // len(procs)
