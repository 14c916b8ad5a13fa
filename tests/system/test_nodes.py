"""Tests of nodes that crash, pause, lose connections or are replaced.

In every test, no unsafe request may run twice and no caller may get a wrong
answer.
"""

from asyncio import sleep
from signal import SIGCONT, SIGKILL, SIGSTOP

from tests.system.conftest import (
    SHARD_COUNT,
    charges_owner,
    constant_load,
    running_fleet,
)


async def test_a_killed_owner_causes_no_second_run_and_traffic_goes_on():
    async with running_fleet() as (cluster, callers):
        async with constant_load(callers):
            await sleep(1)
            owner = await charges_owner(cluster)
            cluster.nodes[owner].signal(SIGKILL)
            await cluster.nodes[owner].wait()
            await cluster.wait_for_owners(SHARD_COUNT)
            await sleep(1)
        assert await callers.find_violations() == []
        assert callers.totals.outcomes[('unsafe', 'answered')] > 20


async def test_a_resumed_owner_causes_no_second_run():
    """A stopped owner may resume work on a shard that another node owns."""
    async with running_fleet() as (cluster, callers):
        async with constant_load(callers):
            await sleep(1)
            owner = await charges_owner(cluster)
            node = cluster.nodes.pop(owner)
            node.signal(SIGSTOP)
            await cluster.wait_for_owners(SHARD_COUNT)
            await sleep(1)
            node.signal(SIGCONT)
            cluster.nodes[owner] = node
            await sleep(2)
        assert await callers.find_violations() == []


async def test_an_owner_whose_answers_are_lost_causes_no_second_run():
    """The owner receives messages of other nodes, but its own get lost."""
    async with running_fleet() as (cluster, callers):
        async with constant_load(callers):
            await sleep(1)
            owner = await charges_owner(cluster)
            others = [name for name in cluster.nodes if name != owner]
            await cluster.drop_traffic(owner, to_nodes=others)
            await sleep(4)
            await cluster.drop_traffic(owner)
            await sleep(1)
        assert await callers.find_violations() == []


async def test_a_one_way_partition_causes_no_second_run():
    """Nodes n0 and n1 receive from n2 and n3, but can't send to them."""
    async with running_fleet() as (cluster, callers):
        async with constant_load(callers):
            await sleep(1)
            await cluster.drop_traffic('n0', to_nodes=['n2', 'n3'])
            await cluster.drop_traffic('n1', to_nodes=['n2', 'n3'])
            await sleep(4)
            await cluster.drop_traffic('n0')
            await cluster.drop_traffic('n1')
            await sleep(1)
        assert await callers.find_violations() == []


async def test_a_platform_outage_stops_no_traffic():
    async with running_fleet() as (cluster, callers):
        await cluster.control(cluster.platform, faults={'down': True})
        async with constant_load(callers):
            await sleep(3)
        await cluster.control(cluster.platform, faults={'down': False})
        totals = callers.totals
        assert await callers.find_violations() == []
        assert totals.connection_errors == []
        assert totals.outcome_share('lookup', 'answered') == 1, totals.outcomes
        assert totals.outcome_share('unsafe', 'answered') == 1, totals.outcomes


async def test_a_standby_replaces_an_owner_killed_in_a_platform_outage():
    async with running_fleet() as (cluster, callers):
        async with constant_load(callers):
            await sleep(2)
            await cluster.control(cluster.platform, faults={'down': True})
            owner = await charges_owner(cluster)
            cluster.nodes[owner].signal(SIGKILL)
            await cluster.nodes[owner].wait()
            await cluster.wait_for_owners(SHARD_COUNT)
            outcomes_in_outage = [
                await callers.send_unsafe('/charges') for _ in range(20)
            ]
            await cluster.control(cluster.platform, faults={'down': False})
            await sleep(2)
            await cluster.wait_for_owners(SHARD_COUNT)
        assert outcomes_in_outage == ['answered'] * 20
        assert await callers.find_violations() == []


async def test_a_node_starts_from_its_peers_in_a_platform_outage():
    """The new node gets the configuration from its seeds and serves it."""
    async with running_fleet(nodes=3) as (cluster, callers):
        await cluster.control(cluster.platform, faults={'down': True})
        seeds = cluster.seed_addresses()
        await cluster.add_node('late', 'a', '--seeds', seeds)
        status = await cluster.status('late')
        assert status['config_seq'] == 1
        late_node = cluster.nodes.pop('late')
        others, cluster.nodes = cluster.nodes, {'late': late_node}
        outcomes = [await callers.send_lookup('/stock/1') for _ in range(5)]
        outcomes += [await callers.send_unsafe('/charges') for _ in range(5)]
        cluster.nodes = {**others, 'late': late_node}
        assert outcomes == ['answered'] * 10
        assert await callers.find_violations() == []


async def test_a_rolling_replacement_cuts_and_loses_nothing():
    async with running_fleet(nodes=4) as (cluster, callers):
        async with constant_load(callers):
            await sleep(1)
            for number in range(4):
                await cluster.add_node(f'new{number}', 'ab'[number % 2])
                replaced = cluster.nodes.pop(f'n{number}')
                assert await cluster.stop(replaced) == 0
            await cluster.wait_for_owners(SHARD_COUNT)
            await sleep(1)
        totals = callers.totals
        assert await callers.find_violations() == []
        assert totals.connection_errors == []
        assert totals.outcome_share('lookup', 'answered') == 1, totals.outcomes
        assert totals.outcome_share('unsafe', 'answered') == 1, totals.outcomes
