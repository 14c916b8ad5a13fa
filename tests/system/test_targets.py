"""Targets that are gray, crossed, truncated, crashed or leaving."""

from asyncio import create_task, gather, sleep

from carawaylane.commands.change import drain_targets
from carawaylane.commands.store import Accepted
from carawaylane.storage.http import HttpDriver
from tests.system.conftest import fleet, load

# Time for requests that were on their way when a target left; no bound.
SETTLE_S = 0.5


async def standing(cluster, target):
    """Return a target's standing as the owner of its shard sees it."""
    for name in cluster.nodes:
        row = await cluster.status(name)
        for shard in row['shards'] if row else ():
            for each in shard['targets'] if shard['owned'] else ():
                if each['target'] == target:
                    return each['standing']
    return None


async def until_outside(cluster, target, expected):
    """Wait for a standing, then return how much work had come by then."""

    async def reached():
        return await standing(cluster, target) == expected

    await cluster.wait_until(reached)
    await sleep(SETTLE_S)
    return await arrived(cluster, target)


async def arrived(cluster, target):
    """Return how many requests have come to a target."""
    row = await cluster.control(cluster.targets[target])
    return len(row['arrivals'])


async def fetch(callers, url, size):
    """Return how many bytes came of a slow, streaming answer."""
    async with callers.session.get(
        f'{url}/stock/1?size={size}&pause_s=0.05'
    ) as resp:
        return len(await resp.read())


async def test_crossed_and_truncated_answers_reach_no_caller():
    async with fleet() as (cluster, callers):
        stock = cluster.targets['stock-1']
        charge = cluster.targets['charge-1']
        async with load(callers):
            await cluster.control(stock, faults={'crossed': True})
            await cluster.control(charge, faults={'truncate': True})
            await sleep(2)
            await cluster.control(charge, faults={'crossed': True})
            await cluster.control(stock, faults={'truncate': True})
            await sleep(2)
        assert await callers.find_violations() == []
        assert callers.totals.violations == []


async def test_a_poisonous_request_stops_after_one_unsafe_victim():
    async with fleet() as (cluster, callers):
        for name in ('charge-1', 'charge-2'):
            proc = cluster.targets[name]
            await cluster.control(proc, faults={'crash_on': 'poison'})
        told = []
        for number in range(6):
            async with callers.session.post(
                callers.pick_entry_url() + '/charges',
                data='poison',
                headers={'Idempotency-Key': f'p{number}'},
            ) as resp:
                told.append(resp.headers.get('Carawaylane-Outcome'))
        dead = [
            name
            for name, proc in cluster.targets.items()
            if proc.process.returncode is not None
        ]
        assert len(dead) == 1
        assert told[0] == 'unknown'
        assert set(told[1:]) == {'not-run'}


async def test_a_poisonous_lookup_stops_after_two_victims():
    async with fleet() as (cluster, callers):
        for name in ('stock-1', 'stock-2'):
            await cluster.add_target(f'{name}-spare')
        for proc in cluster.targets.values():
            await cluster.control(proc, faults={'crash_on': 'poison'})
        for _ in range(6):
            async with callers.session.post(
                callers.pick_entry_url() + '/stock/1', data='poison'
            ) as resp:
                await resp.read()
        dead = [
            proc
            for proc in cluster.targets.values()
            if proc.process.returncode is not None
        ]
        assert len(dead) <= 2


async def test_a_drained_target_gets_no_new_work_and_finishes_its_own():
    async with fleet() as (cluster, callers):
        async with load(callers):
            await sleep(1)
            url = callers.pick_entry_url()
            slow = create_task(fetch(callers, url, 200_000))
            driver = HttpDriver(cluster.platform.url)
            done = await drain_targets(driver, 'op', 'app=charges')
            assert isinstance(done, Accepted)
            await driver.close()
            names = ('charge-1', 'charge-2')
            before = [
                await until_outside(cluster, name, 'draining')
                for name in names
            ]
            await sleep(2)
            assert await slow == 200_000
        assert [await arrived(cluster, name) for name in names] == before
        assert await callers.find_violations() == []


async def test_a_planned_stop_cuts_no_streaming_answer():
    async with fleet() as (cluster, callers):
        tasks = [
            create_task(fetch(callers, proc.url, 400_000))
            for proc in cluster.nodes.values()
        ]
        await sleep(0.4)
        codes = await gather(
            *(cluster.stop(proc) for proc in cluster.nodes.values())
        )
        assert codes == [0] * 4
        assert await gather(*tasks) == [400_000] * 4


async def test_a_target_that_says_it_leaves_gets_no_new_work():
    async with fleet() as (cluster, callers):
        proc = cluster.targets['stock-1']
        async with load(callers):
            await sleep(1)
            await cluster.control(proc, faults={'leaving': True})
            before = await until_outside(cluster, 'stock-1', 'leaving')
            await sleep(2)
        assert await arrived(cluster, 'stock-1') == before
        assert callers.totals.outcome_share('lookup', 'answered') == 1


async def test_a_target_on_a_leaving_host_gets_no_new_work():
    async with fleet() as (cluster, callers):
        hosts = [
            {'name': name, 'leaving': name == 'host-of-charge-1'}
            for name in ('n0', 'n1', 'n2', 'n3', 'host-of-charge-1')
        ]
        async with load(callers):
            await sleep(1)
            await cluster.control(cluster.platform, hosts=hosts)
            before = await until_outside(cluster, 'charge-1', 'leaving')
            await sleep(2)
        assert await arrived(cluster, 'charge-1') == before
        assert callers.totals.outcome_share('unsafe', 'answered') == 1


async def test_connections_that_went_silent_lose_no_lookup():
    async with fleet() as (cluster, callers):
        async with load(callers):
            await sleep(1)
            for name in ('stock-1', 'charge-1'):
                proc = cluster.targets[name]
                await cluster.control(proc, faults={'silence': True})
            await sleep(3)
        assert await callers.find_violations() == []
        assert callers.totals.outcome_share('lookup', 'answered') == 1
