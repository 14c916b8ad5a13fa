"""A fleet of real processes for the tests of this folder."""

from asyncio import create_task, gather
from contextlib import asynccontextmanager
from random import Random

from bench.callers import Callers
from bench.cluster import Cluster
from carawaylane.commands.change import apply_files
from carawaylane.commands.store import Accepted
from carawaylane.storage.http import HttpDriver

SERVICES = """
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
TARGETS = {
    'stock-1': 'stock',
    'stock-2': 'stock',
    'charge-1': 'charges',
    'charge-2': 'charges',
}
SHARDS = 4


async def apply_text(cluster, text, author='test'):
    path = cluster.log_dir / 'config.yaml'
    path.write_text(text, encoding='utf-8')
    driver = HttpDriver(cluster.platform.url)
    done = await apply_files(driver, author, [path], None)
    await driver.close()
    return done


def target_documents(cluster):
    return '\n'.join(
        f'---\nkind: Target\nname: {name}\n'
        f'address: 127.0.0.1:{proc.port}\nhost: host-of-{name}\n'
        f'labels: {{app: {TARGETS[name]}}}'
        for name, proc in cluster.targets.items()
    )


@asynccontextmanager
async def fleet(*, nodes=4, flags=()):
    """Yield a fleet that serves, and callers to it."""
    async with Cluster() as cluster:
        await gather(
            *(cluster.add_target(name, '--slots', '4') for name in TARGETS)
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
        done = await apply_text(cluster, SERVICES + target_documents(cluster))
        assert isinstance(done, Accepted), done
        await cluster.wait_for_config(done.seq)
        await cluster.wait_for_owners(SHARDS)
        callers = Callers(cluster=cluster, rng=Random(1))
        try:
            yield cluster, callers
        finally:
            await callers.close()


@asynccontextmanager
async def load(callers, *, rate=25):
    """Keep lookups and charges coming, then wait for the last of them."""
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


async def charge_owner(cluster):
    owners = await cluster.owners()
    return next(
        name for shard, name in owners.items() if shard[0] == 'charges'
    )
