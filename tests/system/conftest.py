"""Starts fleets of processes, and load on them, for the system tests."""

from asyncio import create_task, gather
from contextlib import asynccontextmanager
from random import Random

from bench.callers import Callers
from bench.cluster import Cluster
from carawaylane.commands.change import apply_files
from carawaylane.commands.store import Accepted
from carawaylane.storage.http import HttpDriver

SERVICE_DOCUMENTS = """
kind: Service
name: stock
selector: app=stock
shards: 2
echoes_request_id: true
---
kind: Service
name: charges
selector: app=charges
shards: 2
slots: 4
echoes_request_id: true
---
kind: TrafficKind
name: lookup
selector: segment0=stock
service: stock
safety: idempotent
timeout_ms: 3000
---
kind: TrafficKind
name: charge
selector: segment0=charges
service: charges
safety: unsafe
timeout_ms: 3000
"""
SERVICE_BY_TARGET = {
    'stock-1': 'stock',
    'stock-2': 'stock',
    'charge-1': 'charges',
    'charge-2': 'charges',
}
SHARD_COUNT = 4


async def apply_text(cluster, text, author='test'):
    """Apply YAML documents to the configuration of a cluster."""
    path = cluster.log_dir / 'config.yaml'
    path.write_text(text, encoding='utf-8')
    driver = HttpDriver(cluster.platform.url)
    result = await apply_files(driver, author, [path], None)
    await driver.close()
    return result


def target_documents(cluster):
    """Return the documents of all targets of a cluster."""
    return '\n'.join(
        f'---\nkind: Target\nname: {name}\n'
        f'address: 127.0.0.1:{proc.port}\nhost: host-of-{name}\n'
        f'labels: {{app: {SERVICE_BY_TARGET[name]}}}'
        for name, proc in cluster.targets.items()
    )


@asynccontextmanager
async def running_fleet(*, nodes=4, flags=()):
    """Yield a cluster whose shards all have owners, and its callers.

    `flags` are passed to every node.
    """
    async with Cluster() as cluster:
        await gather(
            *(
                cluster.add_target(name, '--slots', '4')
                for name in SERVICE_BY_TARGET
            )
        )
        await gather(
            *(
                cluster.add_node(
                    f'n{number}',
                    'ab'[number % 2],
                    '--log-json',
                    'true',
                    *flags,
                )
                for number in range(nodes)
            )
        )
        result = await apply_text(
            cluster, SERVICE_DOCUMENTS + target_documents(cluster)
        )
        assert isinstance(result, Accepted), result
        await cluster.wait_for_config(result.seq)
        await cluster.wait_for_owners(SHARD_COUNT)
        callers = Callers(cluster=cluster, rng=Random(1))
        try:
            yield cluster, callers
        finally:
            await callers.close()


@asynccontextmanager
async def constant_load(callers, *, rate=25):
    """Send lookups and charges in the background, each at a mean rate.

    On exit, waits for the requests that are in flight.
    """
    tasks = [
        create_task(callers.send_at_rate('/stock/1', unsafe=False, rate=rate)),
        create_task(callers.send_at_rate('/charges', unsafe=True, rate=rate)),
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)


async def charges_owner(cluster):
    """Return the name of a node that owns a shard of the service `charges`."""
    owners = await cluster.owners()
    return next(
        name for shard, name in owners.items() if shard[0] == 'charges'
    )
