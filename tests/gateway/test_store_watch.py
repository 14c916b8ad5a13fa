"""Tests of the calls that watch the platform's store."""

from asyncio import Event, gather, sleep, start_server

import pytest
from attrs import evolve
from grpclib.client import Channel

from bench.ports import free_port
from carawaylane.decisions.propagation.dissemination import (
    WATCH_SEED,
    rank_members,
)
from carawaylane.decisions.propagation.watch_duty import (
    SILENCE_S,
    watch_wait_s,
)
from carawaylane.gateway import links, store_watch
from carawaylane.gateway.store_watch import (
    WATCH_PAUSE_S,
    WATCH_WAIT_S,
)
from carawaylane.messages.stored_objects import ObjectKind
from carawaylane.settings.gateway import Bounds
from tests.gateway.conftest import READY_TIMEOUT_S, plan_spec

CHANGE_COUNT, CHANGE_INTERVAL_S = 60, 0.01
PLAN_WAIT_S = watch_wait_s(Bounds().config_propagation_s)


def register_member(fleet, number):
    address = f'127.0.0.1:{number + 1}'
    spec = {'address': address, 'zone': 'z2', 'cores': 0.1}
    fleet.store.put('members', f'x{number}', spec)


def register_target(fleet, number):
    fleet.register_target(f'x{number}', number + 1)


@pytest.mark.parametrize(
    ('kind', 'register'),
    [
        (ObjectKind.MEMBERS, register_member),
        (ObjectKind.TARGETS, register_target),
    ],
)
async def test_changes_in_quick_succession_share_a_call_and_a_broadcast(
    fleet, monkeypatch, kind, register
):
    """The nodes of a fleet that starts register one after the other."""
    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-1')
    node = await fleet.start_node('n1')
    await fleet.wait_until(lambda: len(node.find('directory').members) == 1)
    await sleep(max(WATCH_PAUSE_S.values()))
    broadcasts = []
    monkeypatch.setattr(
        node.find('news'), 'broadcast', lambda *args: broadcasts.append(args)
    )
    calls_before, started_at_s = fleet.store.calls['GET'], node.now_s()
    for number in range(CHANGE_COUNT):
        register(fleet, number)
        await sleep(CHANGE_INTERVAL_S)
    items = node.find('directory').replicas[kind].items
    await fleet.wait_until(lambda: f'x{CHANGE_COUNT - 1}' in items)
    assert {f'x{number}' for number in range(CHANGE_COUNT)} <= set(items)
    took_s = node.now_s() - started_at_s
    most_broadcasts = 2 + took_s / WATCH_PAUSE_S[kind]
    # Watches without a change end after a while, too.
    waits_s = [PLAN_WAIT_S, *WATCH_WAIT_S.values()]
    idle_calls = sum(1 + took_s / wait_s for wait_s in waits_s)
    assert len(broadcasts) <= most_broadcasts
    assert (
        fleet.store.calls['GET'] - calls_before <= most_broadcasts + idle_calls
    )


async def start_seeds(fleet, count):
    """Start nodes that are the seeds; return their addresses for peers."""
    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-1')
    seeds = [f'127.0.0.1:{free_port()}' for _ in range(count)]
    nodes = await gather(
        *(
            fleet.start_node(f'seed{i}', seeds=seeds, peer_listen=address)
            for i, address in enumerate(seeds)
        )
    )
    for node in nodes:
        members = node.find('directory').members
        await fleet.wait_until(lambda m=members: len(m) == count)
    return seeds


def count_first_syncs(object_sync, first_syncs):
    """Collect the requests of nodes that have no copies yet."""
    handle_sync = object_sync.handle_sync

    def record_and_handle(msg):
        if not any(known.revision for known in msg.known):
            first_syncs.append(msg.source)
        return handle_sync(msg)

    object_sync.handle_sync = record_and_handle


async def test_nodes_get_their_first_copies_from_a_seed(fleet, monkeypatch):
    """Each node listed all objects in the store, which prices every call.

    A seed that replies is the only one that sends all objects.
    """
    monkeypatch.setattr(store_watch, 'SEED_PERIOD_S', READY_TIMEOUT_S)
    monkeypatch.setattr(store_watch, 'SEED_WAIT_S', READY_TIMEOUT_S)
    seeds = await start_seeds(fleet, 3)
    first_syncs = []
    for seed in fleet.nodes[:]:
        count_first_syncs(seed.find('news'), first_syncs)
    lists_before = fleet.store.calls['list']
    creates_before = fleet.store.calls['POST']
    nodes = await gather(
        *(fleet.start_node(f'n{i}', seeds=seeds) for i in range(9))
    )
    for node in nodes:
        members = node.find('directory').members
        await fleet.wait_until(lambda m=members: len(m) == 12)
    assert fleet.store.calls['list'] == lists_before
    assert fleet.store.calls['POST'] == creates_before + len(nodes)
    assert len(first_syncs) == len(nodes)


@pytest.mark.parametrize('node_count', [1, 4])
async def test_nodes_without_a_live_seed_get_their_copies_from_the_store(
    fleet, node_count
):
    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-1')
    seeds = [f'127.0.0.1:{free_port()}']
    nodes = await gather(
        *(
            fleet.start_node(f'n{i}', seeds=seeds, ready=False)
            for i in range(node_count)
        )
    )
    for node in nodes:
        await fleet.wait_until(node.find('callers').ready)
        members = node.find('directory').members
        await fleet.wait_until(lambda m=members: len(m) == node_count)


async def test_a_node_that_starts_without_the_store_uses_its_seeds(fleet):
    """It registers, and gets later changes, once the store answers."""
    seeds = await start_seeds(fleet, 1)
    fleet.store.fault = 'cut'
    node = await fleet.start_node('n1', seeds=seeds)
    fleet.store.fault = ''
    fleet.store.put('config', 'main', plan_spec(2))
    directory = node.find('directory')
    await fleet.wait_until(lambda: directory.plan.version == 2)
    await fleet.wait_until(lambda: 'n1' in fleet.store.objects['members'])


async def test_a_seed_with_old_copies_does_not_keep_a_node_from_new_ones(
    fleet,
):
    """The seed is cut off from the store, the node that starts is not."""
    seeds = await start_seeds(fleet, 1)
    store = fleet.nodes[0].find('store_watch').store
    store._url = 'http://127.0.0.1:9'
    await store.close()
    fleet.store.put('config', 'main', plan_spec(2))
    node = await fleet.start_node('n1', seeds=seeds)
    for running_node in (node, fleet.nodes[0]):
        directory = running_node.find('directory')
        await fleet.wait_until(lambda d=directory: d.plan.version == 2)


async def test_a_silent_seed_does_not_delay_the_copies_of_another(
    fleet, monkeypatch
):
    """A call to it would end long after the test."""
    monkeypatch.setattr(links, 'CALL_TIMEOUT_S', 10 * READY_TIMEOUT_S)
    seeds = await start_seeds(fleet, 1)

    async def accept(reader, writer):
        await reader.read()
        writer.close()

    server = await start_server(accept, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    lists_before = fleet.store.calls['list']
    node = await fleet.start_node('n1', seeds=[f'127.0.0.1:{port}', *seeds])
    members = node.find('directory').members
    await fleet.wait_until(lambda: len(members) == 2)
    await fleet.wait_until(node.find('store_watch')._joined.is_set)
    assert fleet.store.calls['list'] == lists_before
    server.close()


async def test_a_seed_that_first_swallows_connections_is_asked_again(
    fleet, monkeypatch
):
    """Like one whose machine is up before it listens."""
    monkeypatch.setattr(links, 'CALL_TIMEOUT_S', 10 * READY_TIMEOUT_S)
    monkeypatch.setattr(store_watch, 'SEED_WAIT_S', READY_TIMEOUT_S)
    connect = Channel.__connect__
    swallowed = []

    async def swallow_first(channel):
        if len(swallowed) < 2:
            swallowed.append(channel)
            await Event().wait()
        return await connect(channel)

    monkeypatch.setattr(Channel, '__connect__', swallow_first)
    seed = f'127.0.0.1:{free_port()}'
    node = await fleet.start_node('n1', seeds=[seed], ready=False)
    await fleet.wait_until(lambda: len(swallowed) == 2)
    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-1')
    await fleet.start_node('seed', seeds=[seed], peer_listen=seed)
    await fleet.wait_until(node.find('callers').ready)


async def test_a_watcher_that_restarts_watches_at_once(fleet, monkeypatch):
    """Its object is still listed, so that it knows its rank."""
    monkeypatch.setattr(store_watch, 'RANK_WAIT_S', 10 * READY_TIMEOUT_S)
    seeds = await start_seeds(fleet, 1)
    seed = fleet.nodes[0].find('directory').members['seed0']
    names = (f'n{number}' for number in range(1000))
    name = next(
        name
        for name in names
        if rank_members([seed, evolve(seed, name=name)], WATCH_SEED)[0] == name
    )
    spec = {'address': '127.0.0.1:1', 'zone': 'z1', 'cores': 1.0}
    fleet.store.put('members', name, spec)
    members = fleet.nodes[0].find('directory').members
    await fleet.wait_until(lambda: name in members)
    node = await fleet.start_node(name, seeds=seeds)
    watch = node.find('store_watch')
    await fleet.wait_until(lambda: watch._on_duty)
    # Any node may watch once it has heard no other for so long.
    replica = node.find('directory').replicas[ObjectKind.PLAN]
    assert replica.age_s(node.now_s()) < PLAN_WAIT_S + SILENCE_S
