"""Nodes that die, sleep, are cut off or replaced, under load."""

from asyncio import sleep
from signal import SIGCONT, SIGKILL, SIGSTOP

from tests.system.conftest import SHARDS, charge_owner, fleet, load


async def test_a_killed_owner_doubles_and_loses_nothing():
    async with fleet() as (cluster, callers):
        async with load(callers):
            await sleep(1)
            lost = await charge_owner(cluster)
            cluster.nodes[lost].signal(SIGKILL)
            await cluster.nodes[lost].wait()
            await cluster.wait_for_owners(SHARDS)
            await sleep(1)
        assert await callers.find_violations() == []
        assert callers.totals.outcomes[('unsafe', 'answered')] > 20


async def test_a_paused_owner_that_wakes_doubles_nothing():
    async with fleet() as (cluster, callers):
        async with load(callers):
            await sleep(1)
            asleep = await charge_owner(cluster)
            node = cluster.nodes.pop(asleep)
            node.signal(SIGSTOP)
            await cluster.wait_for_owners(SHARDS)
            await sleep(1)
            node.signal(SIGCONT)
            cluster.nodes[asleep] = node
            await sleep(2)
        assert await callers.find_violations() == []


async def test_an_owner_whose_answers_are_cut_doubles_nothing():
    async with fleet() as (cluster, callers):
        async with load(callers):
            await sleep(1)
            lost = await charge_owner(cluster)
            others = [name for name in cluster.nodes if name != lost]
            await cluster.drop_traffic(lost, to_nodes=others)
            await sleep(4)
            await cluster.drop_traffic(lost)
            await sleep(1)
        assert await callers.find_violations() == []


async def test_two_halves_that_hear_one_way_double_nothing():
    async with fleet() as (cluster, callers):
        async with load(callers):
            await sleep(1)
            await cluster.drop_traffic('n0', to_nodes=['n2', 'n3'])
            await cluster.drop_traffic('n1', to_nodes=['n2', 'n3'])
            await sleep(4)
            await cluster.drop_traffic('n0')
            await cluster.drop_traffic('n1')
            await sleep(1)
        assert await callers.find_violations() == []


async def test_a_platform_outage_stops_no_traffic():
    async with fleet() as (cluster, callers):
        await cluster.control(cluster.platform, faults={'down': True})
        async with load(callers):
            await sleep(3)
        await cluster.control(cluster.platform, faults={'down': False})
        totals = callers.totals
        assert await callers.find_violations() == []
        assert totals.connection_errors == []
        assert totals.outcome_share('lookup', 'answered') == 1, totals.outcomes
        assert totals.outcome_share('unsafe', 'answered') == 1, totals.outcomes


async def test_an_owner_killed_in_a_platform_outage_is_stood_in_for():
    async with fleet() as (cluster, callers):
        async with load(callers):
            await sleep(2)
            await cluster.control(cluster.platform, faults={'down': True})
            lost = await charge_owner(cluster)
            cluster.nodes[lost].signal(SIGKILL)
            await cluster.nodes[lost].wait()
            await cluster.wait_for_owners(SHARDS)
            during = [await callers.send_unsafe('/charges') for _ in range(20)]
            await cluster.control(cluster.platform, faults={'down': False})
            await sleep(2)
            await cluster.wait_for_owners(SHARDS)
        assert during == ['answered'] * 20
        assert await callers.find_violations() == []


async def test_a_node_starts_from_its_peers_in_a_platform_outage():
    async with fleet(nodes=3) as (cluster, callers):
        await cluster.control(cluster.platform, faults={'down': True})
        seeds = cluster.seed_addresses()
        await cluster.add_node('late', 'a', '--seeds', seeds)
        row = await cluster.status('late')
        assert row['config_seq'] == 1
        only = cluster.nodes.pop('late')
        others, cluster.nodes = cluster.nodes, {'late': only}
        told = [await callers.send_lookup('/stock/1') for _ in range(5)]
        told += [await callers.send_unsafe('/charges') for _ in range(5)]
        cluster.nodes = {**others, 'late': only}
        assert told == ['answered'] * 10
        assert await callers.find_violations() == []


async def test_a_rolling_replacement_cuts_and_loses_nothing():
    async with fleet(nodes=4) as (cluster, callers):
        async with load(callers):
            await sleep(1)
            for number in range(4):
                await cluster.add_node(f'new{number}', 'ab'[number % 2])
                old = cluster.nodes.pop(f'n{number}')
                assert await cluster.stop(old) == 0
            await cluster.wait_for_owners(SHARDS)
            await sleep(1)
        totals = callers.totals
        assert await callers.find_violations() == []
        assert totals.connection_errors == []
        assert totals.outcome_share('lookup', 'answered') == 1, totals.outcomes
        assert totals.outcome_share('unsafe', 'answered') == 1, totals.outcomes
