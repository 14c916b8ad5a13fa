"""Tests of targets that answer wrongly, crash, fall silent or leave."""

from asyncio import create_task, gather, sleep

from carawaylane.commands.change import drain_targets
from carawaylane.commands.store import Accepted
from carawaylane.storage.http import HttpDriver
from tests.system.conftest import constant_load, running_fleet

# Time for requests to arrive that were sent before the target left.
SETTLE_S = 0.5


async def target_standing(cluster, target):
    """Return a target's standing as the owner of its shard sees it."""
    for name in cluster.nodes:
        status = await cluster.status(name)
        for shard in status['shards'] if status else ():
            for target_row in shard['targets'] if shard['owned'] else ():
                if target_row['target'] == target:
                    return target_row['standing']
    return None


async def arrivals_at_standing(cluster, target, expected):
    """Wait for a standing; return how many requests had arrived by then.

    Includes requests that were sent before the standing changed.
    """

    async def has_standing():
        return await target_standing(cluster, target) == expected

    await cluster.wait_until(has_standing)
    await sleep(SETTLE_S)
    return await arrival_count(cluster, target)


async def arrival_count(cluster, target):
    """Return how many requests have arrived at a target."""
    counters = await cluster.control(cluster.targets[target])
    return len(counters['arrivals'])


async def fetch_slow_answer(callers, url, size):
    """Read an answer of `size` bytes that is streamed slowly.

    Returns the number of bytes received.
    """
    async with callers.session.get(
        f'{url}/stock/1?size={size}&pause_s=0.05'
    ) as resp:
        return len(await resp.read())


async def test_crossed_and_truncated_answers_reach_no_caller():
    """Targets send answers to other requests, or cut answers short."""
    async with running_fleet() as (cluster, callers):
        stock_target = cluster.targets['stock-1']
        charge_target = cluster.targets['charge-1']
        async with constant_load(callers):
            await cluster.control(stock_target, faults={'crossed': True})
            await cluster.control(charge_target, faults={'truncate': True})
            await sleep(2)
            await cluster.control(charge_target, faults={'crossed': True})
            await cluster.control(stock_target, faults={'truncate': True})
            await sleep(2)
        assert await callers.find_violations() == []
        assert callers.totals.violations == []


async def test_a_poisonous_request_stops_after_one_unsafe_victim():
    """Every target that runs the request crashes; resends use other keys."""
    async with running_fleet() as (cluster, callers):
        for name in ('charge-1', 'charge-2'):
            proc = cluster.targets[name]
            await cluster.control(proc, faults={'crash_on': 'poison'})
        outcomes = []
        for number in range(6):
            async with callers.session.post(
                callers.pick_entry_url() + '/charges',
                data='poison',
                headers={'Idempotency-Key': f'p{number}'},
            ) as resp:
                outcomes.append(resp.headers.get('Carawaylane-Outcome'))
        crashed = [
            name
            for name, proc in cluster.targets.items()
            if proc.process.returncode is not None
        ]
        assert len(crashed) == 1
        assert outcomes[0] == 'unknown'
        assert set(outcomes[1:]) == {'not-run'}


async def test_a_poisonous_lookup_stops_after_two_victims():
    """Every target that runs the lookup crashes; a third one must not."""
    async with running_fleet() as (cluster, callers):
        for name in ('stock-1', 'stock-2'):
            await cluster.add_target(f'{name}-spare')
        for proc in cluster.targets.values():
            await cluster.control(proc, faults={'crash_on': 'poison'})
        for _ in range(6):
            async with callers.session.post(
                callers.pick_entry_url() + '/stock/1', data='poison'
            ) as resp:
                await resp.read()
        crashed = [
            proc
            for proc in cluster.targets.values()
            if proc.process.returncode is not None
        ]
        assert len(crashed) <= 2


async def test_a_drained_target_gets_no_new_work_and_finishes_its_own():
    async with running_fleet() as (cluster, callers):
        async with constant_load(callers):
            await sleep(1)
            url = callers.pick_entry_url()
            slow_fetch = create_task(fetch_slow_answer(callers, url, 200_000))
            driver = HttpDriver(cluster.platform.url)
            result = await drain_targets(driver, 'op', 'app=charges')
            assert isinstance(result, Accepted)
            await driver.close()
            names = ('charge-1', 'charge-2')
            arrivals_before = [
                await arrivals_at_standing(cluster, name, 'draining')
                for name in names
            ]
            await sleep(2)
            assert await slow_fetch == 200_000
        assert [
            await arrival_count(cluster, name) for name in names
        ] == arrivals_before
        assert await callers.find_violations() == []


async def test_a_planned_stop_cuts_no_streaming_answer():
    async with running_fleet() as (cluster, callers):
        fetches = [
            create_task(fetch_slow_answer(callers, proc.url, 400_000))
            for proc in cluster.nodes.values()
        ]
        await sleep(0.4)
        exit_codes = await gather(
            *(cluster.stop(proc) for proc in cluster.nodes.values())
        )
        assert exit_codes == [0] * 4
        assert await gather(*fetches) == [400_000] * 4


async def test_a_target_that_says_it_leaves_gets_no_new_requests():
    async with running_fleet() as (cluster, callers):
        proc = cluster.targets['stock-1']
        async with constant_load(callers):
            await sleep(1)
            await cluster.control(proc, faults={'leaving': True})
            arrivals_before = await arrivals_at_standing(
                cluster, 'stock-1', 'leaving'
            )
            await sleep(2)
        assert await arrival_count(cluster, 'stock-1') == arrivals_before
        assert callers.totals.outcome_share('lookup', 'answered') == 1


async def test_a_target_on_a_leaving_host_gets_no_new_requests():
    async with running_fleet() as (cluster, callers):
        hosts = [
            {'name': name, 'leaving': name == 'host-of-charge-1'}
            for name in ('n0', 'n1', 'n2', 'n3', 'host-of-charge-1')
        ]
        async with constant_load(callers):
            await sleep(1)
            await cluster.control(cluster.platform, hosts=hosts)
            arrivals_before = await arrivals_at_standing(
                cluster, 'charge-1', 'leaving'
            )
            await sleep(2)
        assert await arrival_count(cluster, 'charge-1') == arrivals_before
        assert callers.totals.outcome_share('unsafe', 'answered') == 1


async def test_silent_connections_to_targets_lose_no_lookup():
    """Open connections stay up, but targets no longer answer on them."""
    async with running_fleet() as (cluster, callers):
        async with constant_load(callers):
            await sleep(1)
            for name in ('stock-1', 'charge-1'):
                proc = cluster.targets[name]
                await cluster.control(proc, faults={'silence': True})
            await sleep(3)
        assert await callers.find_violations() == []
        assert callers.totals.outcome_share('lookup', 'answered') == 1
