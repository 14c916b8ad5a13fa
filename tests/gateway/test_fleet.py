"""Several nodes: news, homes, and the store's troubles."""

from asyncio import Event, gather, sleep, timeout
from time import time

from carawaylane.decisions.dissemination import rank_members
from carawaylane.gateway.directory import LAPSED_GRACE_S
from carawaylane.kernel import kernel
from carawaylane.messages.stored_objects import ObjectKind
from carawaylane.storage.driver import Unavailable
from tests.gateway.conftest import (
    READY_TIMEOUT_S,
    fetch,
    plan_spec,
    route_spec,
)


async def three(fleet):
    fleet.store.put('config', 'main', plan_spec())
    return await gather(
        *(fleet.start_node(f'n{number}') for number in range(3))
    )


async def three_by_rank(fleet):
    """Return the nodes by rank for `stock`; the last one has served."""
    nodes = await three(fleet)
    await fleet.start_target('i-1')
    members = nodes[0].find('directory').members
    await fleet.wait_until(lambda: len(members) == 3)
    by_name = {node.cfg.name: node for node in nodes}
    home, second, entry = (
        by_name[name] for name in rank_members(members.values(), 'stock')
    )
    assert (await fetch(entry, '/read/1')).status == 200
    return home, second, entry


def calls(fleet):
    return sum(fleet.store.calls.values())


async def test_one_node_watches_and_all_learn(fleet):
    nodes = await three(fleet)
    await sleep(1.0)
    fleet.store.calls.clear()
    newer = plan_spec(2, [route_spec('new', '/new/')])
    fleet.store.put('config', 'main', newer)
    for node in nodes:
        directory = node.find('directory')
        await fleet.wait_until(lambda d=directory: d.plan.version == 2)
    # The change itself costs the data centre one call, not one a node.
    assert calls(fleet) <= 2


async def test_a_node_that_the_store_turns_away_learns_from_peers(fleet):
    first = await fleet.start_node('n1', ready=False)
    fleet.store.put('config', 'main', plan_spec(3))
    await fleet.wait_until(first.find('callers').ready)
    fleet.store.fault = 'busy'
    second = await fleet.start_node('n2', seeds=[first.cfg.peer_listen])
    assert second.find('directory').plan.version == 3


async def test_a_watch_that_lost_its_history_lists_again(fleet):
    fleet.store.put('config', 'main', plan_spec())
    node = await fleet.start_node('n1')
    directory = node.find('directory')
    for number in range(120):
        fleet.register_target(f'i-{number:03}', 9)
    await fleet.wait_until(lambda: len(directory.targets) == 120)
    fleet.store.remove('servers', 'i-007')
    fleet.store.expire_history()
    await fleet.wait_until(lambda: len(directory.targets) == 119)


async def test_an_entry_that_cannot_be_read_spoils_no_other(fleet):
    fleet.store.put('config', 'main', plan_spec())
    for number, spec in enumerate(
        ['text', None, {}, {'service': 'stock', 'slots': 'two'}, [1]]
    ):
        fleet.store.put('servers', f'bad-{number}', spec)
    await fleet.start_target('i-1')
    node = await fleet.start_node('n1')
    assert list(node.find('directory').targets) == ['i-1']
    assert (await fetch(node, '/read/x')).status == 200


async def test_entries_that_lapse_in_an_outage_are_kept_a_while(fleet):
    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-1')
    await fleet.start_target('i-2')
    node = await fleet.start_node('n1')
    directory = node.find('directory')
    await fleet.wait_until(lambda: len(directory.targets) == 2)
    fleet.store.fault = 'busy'
    fleet.store.wake_watches()
    kept = fleet.store.objects['servers']['i-1']['spec']
    fleet.store.remove('servers', 'i-1')
    fleet.store.remove('servers', 'i-2')
    await sleep(5.5)
    fleet.store.fault = ''
    replica = directory.replicas[ObjectKind.TARGETS]
    await fleet.wait_until(lambda: replica.items['i-1'].data is None)
    assert set(directory.targets) == {'i-1', 'i-2'}
    assert (await fetch(node, '/read/x')).status == 200
    fleet.store.put('servers', 'i-1', kept)
    await sleep(LAPSED_GRACE_S + 0.5)
    assert set(directory.targets) == {'i-1'}


async def test_a_home_that_dies_is_replaced_within_a_request(fleet):
    home, second, entry = await three_by_rank(fleet)
    assert home.find('dispatchers').dispatchers['stock'].targets
    await home.find('fleet_rpc').stop()
    assert (await fetch(entry, '/read/2')).status == 200
    assert 'stock' in second.find('dispatchers').dispatchers


async def test_a_home_that_is_silent_is_passed_over(fleet):
    home, _, entry = await three_by_rank(fleet)
    # Frozen: it takes messages and answers nothing.
    home.find('dispatchers').post = lambda msg: None
    assert (await fetch(entry, '/write/2', method='POST')).status == 200
    assert home.cfg.name in entry.find('dispatch')._avoided_homes


async def test_a_write_to_a_closed_stream_stops_no_node(fleet):
    """Found on the bench: the loop's RuntimeError ended three processes."""
    nodes = await three(fleet)
    await fleet.start_target('i-1')
    for number in range(5):
        for node in nodes:
            links = node.find('dispatch')._remote_homes.values()
            for home in links:
                if (
                    home.stream is not None
                    and home.stream._channel is not None
                ):
                    protocol = home.stream._channel._protocol
                    if protocol is not None:
                        protocol.connection.close()
        done = await gather(
            *(fetch(node, f'/read/{number}') for node in nodes)
        )
        assert {found.status for found in done} == {200}
    assert all(node.failure is None for node in nodes)


async def test_a_planned_stop_takes_the_node_off_the_list_first(fleet):
    nodes = await three(fleet)
    members = nodes[0].find('directory').members
    await fleet.wait_until(lambda: len(members) == 3)
    leaver = nodes[2]
    leaver.draining = True
    await leaver.find('store_watch').drain()
    await fleet.wait_until(lambda: leaver.cfg.name not in members)


async def test_a_stop_does_not_wait_for_a_silent_store(fleet):
    """Found on the bench: it served on too long and was killed at work."""
    nodes = await three(fleet)
    members = nodes[0].find('directory').members
    await fleet.wait_until(lambda: len(members) == 3)
    leaver = nodes[2]
    store = leaver.find('store_watch')._store
    delete, answers = store.delete, Event()
    asked = []

    async def slow(kind, name):
        asked.append(name)
        if len(asked) == 1:
            await answers.wait()
            return Unavailable(reason='no answer')
        return await delete(kind, name)

    store.delete = slow
    leaver.draining = True
    async with timeout(READY_TIMEOUT_S):
        await leaver.find('store_watch').drain()
    answers.set()
    # What a lost call left undone is done once the store answers.
    await fleet.wait_until(lambda: leaver.cfg.name not in members)
    assert len(asked) == 2


async def test_a_node_without_targets_is_not_ready(fleet):
    """Found in CI beside load: ready before targets, so all was refused."""
    fleet.store.put('config', 'main', plan_spec())
    node = await fleet.start_node('n1', ready=False)
    directory = node.find('directory')
    await fleet.wait_until(node.find('callers').ready)
    directory.replicas[ObjectKind.TARGETS].revision = 0
    assert directory.plan is not None
    assert not node.find('callers').ready()


async def test_a_silent_store_holds_nothing_back(fleet):
    """Requests go on, and the next version comes once it answers."""
    await fleet.start_target('i-1')
    nodes = await three(fleet)
    fleet.store.fault = 'silent'
    for _ in range(20):
        answers = await gather(*(fetch(node, '/read/x') for node in nodes))
        assert {each.status for each in answers} == {200}
        await sleep(0.15)
    fleet.store.fault = ''
    fleet.store.put(
        'config', 'main', plan_spec(2, [route_spec('new', '/new/')])
    )
    for node in nodes:
        directory = node.find('directory')
        await fleet.wait_until(lambda d=directory: d.plan.version == 2)
    assert (await fetch(nodes[0], '/new/x')).status == 200


async def test_a_clock_that_jumps_changes_nothing(fleet, monkeypatch):
    """Waits and ages are of the steady clock."""
    await fleet.start_target('i-1')
    nodes = await three(fleet)
    off_s = [0.0]
    monkeypatch.setattr(kernel, 'time', lambda: time() + off_s[0])
    for off_s[0] in (3600.0, -3600.0, 0.0):
        fleet.store.put('config', 'main', plan_spec(2 + int(abs(off_s[0]))))
        for node in nodes:
            assert (await fetch(node, '/read/x')).status == 200
    for node in nodes:
        directory = node.find('directory')
        await fleet.wait_until(lambda d=directory: d.plan.version > 1)
        assert (await fetch(node, '/read/x')).status == 200
