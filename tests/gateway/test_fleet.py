"""Tests of several nodes: spread of changes, failed homes, store outages."""

from asyncio import Event, create_task, gather, sleep, timeout
from time import time

from attrs import evolve

from carawaylane.decisions.propagation.dissemination import rank_members
from carawaylane.decisions.propagation.store_outages import LAPSE_GRACE_S
from carawaylane.gateway.dispatch import _Avoidance
from carawaylane.kernel import kernel
from carawaylane.messages.stored_objects import ObjectKind
from carawaylane.settings.gateway import Bounds
from carawaylane.storage.driver import Unavailable
from standins.raw_target import Reply
from tests.gateway.conftest import (
    READY_TIMEOUT_S,
    fetch,
    plan_spec,
    route_spec,
)


async def start_three_nodes(fleet):
    fleet.store.put('config', 'main', plan_spec())
    return await gather(
        *(fleet.start_node(f'n{number}') for number in range(3))
    )


async def start_three_ranked_nodes(fleet):
    """Return three nodes in order of their rank as the home of `stock`.

    The first is the home, the second replaces it if it fails, and the last is
    used as the entry; it has served a request.
    """
    nodes = await start_three_nodes(fleet)
    await fleet.start_target('i-1')
    members = nodes[0].find('directory').members
    await fleet.wait_until(lambda: len(members) == 3)
    nodes_by_name = {node.cfg.name: node for node in nodes}
    home, second_home, entry = (
        nodes_by_name[name] for name in rank_members(members.values(), 'stock')
    )
    assert (await fetch(entry, '/read/1')).status == 200
    return home, second_home, entry


RETRY_SLACK = 20
SHED = (
    b'HTTP/1.1 503 Service Unavailable\r\nRequest-Id: @ID@\r\n'
    b'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)


def count_store_calls(fleet):
    return sum(fleet.store.calls.values())


async def test_a_change_reaches_all_nodes_through_one_watch(fleet):
    nodes = await start_three_nodes(fleet)
    await sleep(1.0)
    fleet.store.calls.clear()
    new_plan = plan_spec(2, [route_spec('new', '/new/')])
    fleet.store.put('config', 'main', new_plan)
    for node in nodes:
        directory = node.find('directory')
        await fleet.wait_until(lambda d=directory: d.plan.version == 2)
    # Only the watching node calls the store for a change, not each node.
    assert count_store_calls(fleet) <= 2


async def test_a_node_gets_the_objects_from_a_peer_if_the_store_is_down(fleet):
    first = await fleet.start_node('n1', ready=False)
    fleet.store.put('config', 'main', plan_spec(3))
    await fleet.wait_until(first.find('callers').ready)
    fleet.store.fault = 'busy'
    second = await fleet.start_node('n2', seeds=[first.cfg.peer_listen])
    assert second.find('directory').plan.version == 3


async def test_objects_are_listed_again_if_the_history_of_a_watch_expired(
    fleet,
):
    fleet.store.put('config', 'main', plan_spec())
    node = await fleet.start_node('n1')
    directory = node.find('directory')
    for number in range(120):
        fleet.register_target(f'i-{number:03}', 9)
    await fleet.wait_until(lambda: len(directory.targets) == 120)
    fleet.store.remove('servers', 'i-007')
    fleet.store.expire_history()
    await fleet.wait_until(lambda: len(directory.targets) == 119)


async def test_a_target_that_lapses_and_registers_again_at_once_is_kept(
    fleet,
):
    """Both changes are in one answer to the watch."""
    fleet.store.put('config', 'main', plan_spec())
    node = await fleet.start_node('n1')
    await fleet.start_target('i-1')
    directory = node.find('directory')
    await fleet.wait_until(lambda: 'i-1' in directory.targets)
    spec = fleet.store.objects['servers']['i-1']['spec']
    fleet.store.remove('servers', 'i-1')
    fleet.store.put('servers', 'i-1', spec | {'slots': 7})
    fleet.register_target('i-2', 9)
    await fleet.wait_until(lambda: 'i-2' in directory.targets)
    assert directory.targets['i-1'].slots == 7


async def test_invalid_objects_do_not_affect_valid_ones(fleet):
    fleet.store.put('config', 'main', plan_spec())
    for number, spec in enumerate(
        ['text', None, {}, {'service': 'stock', 'slots': 'two'}, [1]]
    ):
        fleet.store.put('servers', f'bad-{number}', spec)
    for field in ('slots', 'warmup_left_ms', 'born'):
        fleet.register_target(f'bad-{field}', 80)
        spec = fleet.store.objects['servers'][f'bad-{field}']['spec']
        spec[field] = 10**400
    await fleet.start_target('i-1')
    node = await fleet.start_node('n1')
    assert list(node.find('directory').targets) == ['i-1']
    assert (await fetch(node, '/read/x')).status == 200


async def test_targets_that_lapse_in_an_outage_are_kept_for_a_while(fleet):
    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-1')
    await fleet.start_target('i-2')
    node = await fleet.start_node('n1')
    directory = node.find('directory')
    await fleet.wait_until(lambda: len(directory.targets) == 2)
    fleet.store.fault = 'busy'
    fleet.store.wake_watches()
    spec = fleet.store.objects['servers']['i-1']['spec']
    fleet.store.remove('servers', 'i-1')
    fleet.store.remove('servers', 'i-2')
    # Longer than OUTAGE_S, so that the removals count as lapsed.
    await sleep(5.5)
    fleet.store.fault = ''
    replica = directory.replicas[ObjectKind.TARGETS]
    await fleet.wait_until(lambda: replica.items['i-1'].data is None)
    assert set(directory.targets) == {'i-1', 'i-2'}
    assert (await fetch(node, '/read/x')).status == 200
    fleet.store.put('servers', 'i-1', spec)
    await sleep(LAPSE_GRACE_S + 0.5)
    assert set(directory.targets) == {'i-1'}


async def test_a_home_that_fails_is_replaced_during_a_request(fleet):
    home, second_home, entry = await start_three_ranked_nodes(fleet)
    assert home.find('dispatchers').dispatchers['stock'].pool.targets
    await home.find('fleet_rpc').stop()
    assert (await fetch(entry, '/read/2')).status == 200
    assert 'stock' in second_home.find('dispatchers').dispatchers


async def test_the_next_home_is_told_what_is_in_flight(fleet):
    """Guards against a new home that grants slots that are taken."""
    home, second_home, entry = await start_three_ranked_nodes(fleet)
    fleet.store.remove('servers', 'i-1')
    await fleet.start_target('i-2', lambda *_: Reply(delay_s=0.7))
    for node in (home, second_home, entry):
        directory = node.find('directory')
        await fleet.wait_until(lambda d=directory: 'i-2' in d.targets)
        await fleet.wait_until(lambda d=directory: 'i-1' not in d.targets)
    request = create_task(fetch(entry, '/write/2', method='POST'))
    pool = home.find('dispatchers').dispatchers['stock'].pool
    await fleet.wait_until(lambda: pool.in_flight)
    await home.find('fleet_rpc').stop()
    # As if the process of the home had ended.
    entry.find('dispatch').stream_to(home.cfg.name).close()
    homes = second_home.find('dispatchers').dispatchers
    await fleet.wait_until(
        lambda: 'stock' in homes and homes['stock'].pool.in_flight
    )
    assert not request.done()
    assert (await request).status == 200
    # The initial model of the route takes longer to drop the request.
    await fleet.wait_until(lambda: not homes['stock'].pool.in_flight)


async def start_shedding_targets(fleet):
    return [
        await fleet.start_target(
            f'i-{number}', lambda *_: Reply(data=SHED), slots=40
        )
        for number in range(3)
    ]


def limit_retries(nodes):
    """Allow a retry for every fifth request, and RETRY_SLACK more."""
    for node in nodes:
        node.cfg = evolve(
            node.cfg, bounds=Bounds(retry_ratio=0.2, retry_slack=RETRY_SLACK)
        )


def assert_within_retry_budget(targets, requests):
    received = sum(len(target.requests) for target in targets)
    assert 0 < received - requests <= 0.2 * requests + RETRY_SLACK


async def test_homes_that_do_not_hear_each_other_share_one_retry_budget(
    fleet,
):
    """Each node is a home of its own if no other node replies to it."""
    targets = await start_shedding_targets(fleet)
    nodes = await start_three_nodes(fleet)
    limit_retries(nodes)
    for node in nodes:
        members = node.find('directory').members
        await fleet.wait_until(lambda m=members: len(m) == 3)
        node.find('dispatch')._avoided_homes = {
            other.cfg.name: _Avoidance(until_s=float('inf'), duration_s=1.0)
            for other in nodes
            if other is not node
        }
    for number in range(40):
        await gather(
            *(fetch(node, f'/write/{number}', method='POST') for node in nodes)
        )
    assert_within_retry_budget(targets, 40 * len(nodes))


async def test_the_successor_of_a_home_continues_its_retry_budget(fleet):
    home, second_home, entry = await start_three_ranked_nodes(fleet)
    fleet.store.remove('servers', 'i-1')
    targets = await start_shedding_targets(fleet)
    limit_retries([home, second_home, entry])
    for node in (home, second_home, entry):
        directory = node.find('directory')
        await fleet.wait_until(lambda d=directory: len(d.targets) == 3)
    home.find('dispatchers').dispatchers.clear()
    for number in range(60):
        if number == 30:
            await home.find('fleet_rpc').stop()
        await fetch(entry, f'/write/{number}', method='POST')
    assert 'stock' in second_home.find('dispatchers').dispatchers
    assert_within_retry_budget(targets, 60)


async def test_a_home_that_does_not_reply_is_avoided(fleet):
    home, _, entry = await start_three_ranked_nodes(fleet)
    # As if its process were suspended: messages arrive, but no reply is sent.
    home.find('dispatchers').post = lambda msg: None
    assert (await fetch(entry, '/write/2', method='POST')).status == 200
    assert home.cfg.name in entry.find('dispatch')._avoided_homes


async def test_a_write_to_a_closed_stream_does_not_stop_the_node(fleet):
    """The event loop raises RuntimeError for such a write.

    It must count as a lost stream, since an unexpected exception stops the
    node. The test closes connections to homes without telling the streams.
    """
    nodes = await start_three_nodes(fleet)
    await fleet.start_target('i-1')
    for number in range(5):
        for node in nodes:
            homes = node.find('dispatch')._remote_homes.values()
            for home in homes:
                if (
                    home.stream is not None
                    and home.stream._channel is not None
                ):
                    protocol = home.stream._channel._protocol
                    if protocol is not None:
                        protocol.connection.close()
        responses = await gather(
            *(fetch(node, f'/read/{number}') for node in nodes)
        )
        assert {response.status for response in responses} == {200}
    assert all(node.failure is None for node in nodes)


async def test_a_draining_node_removes_itself_from_the_members(fleet):
    nodes = await start_three_nodes(fleet)
    members = nodes[0].find('directory').members
    await fleet.wait_until(lambda: len(members) == 3)
    draining_node = nodes[2]
    draining_node.draining = True
    await draining_node.find('registration').drain()
    await fleet.wait_until(lambda: draining_node.cfg.name not in members)


async def test_a_drain_does_not_wait_for_a_store_that_does_not_answer(fleet):
    """If it waited, the node would be killed before its requests end."""
    nodes = await start_three_nodes(fleet)
    members = nodes[0].find('directory').members
    await fleet.wait_until(lambda: len(members) == 3)
    draining_node = nodes[2]
    store = draining_node.find('store_watch').store
    delete, store_answers = store.delete, Event()
    deleted_names = []

    async def slow_delete(kind, name):
        deleted_names.append(name)
        if len(deleted_names) == 1:
            await store_answers.wait()
            return Unavailable(reason='no answer')
        return await delete(kind, name)

    store.delete = slow_delete
    draining_node.draining = True
    async with timeout(READY_TIMEOUT_S):
        await draining_node.find('registration').drain()
    store_answers.set()
    # The call that failed is repeated once the store answers.
    await fleet.wait_until(lambda: draining_node.cfg.name not in members)
    assert len(deleted_names) == 2


async def test_a_node_without_targets_is_not_ready(fleet):
    """If it were ready, it would get requests and refuse all of them."""
    fleet.store.put('config', 'main', plan_spec())
    node = await fleet.start_node('n1', ready=False)
    directory = node.find('directory')
    await fleet.wait_until(node.find('callers').ready)
    directory.replicas[ObjectKind.TARGETS].revision = 0
    assert directory.plan is not None
    assert not node.find('callers').ready()


async def test_requests_are_served_while_the_store_does_not_answer(fleet):
    """Once it answers again, the nodes get the next version."""
    await fleet.start_target('i-1')
    nodes = await start_three_nodes(fleet)
    fleet.store.fault = 'silent'
    for _ in range(20):
        responses = await gather(*(fetch(node, '/read/x') for node in nodes))
        assert {response.status for response in responses} == {200}
        await sleep(0.15)
    fleet.store.fault = ''
    fleet.store.put(
        'config', 'main', plan_spec(2, [route_spec('new', '/new/')])
    )
    for node in nodes:
        directory = node.find('directory')
        await fleet.wait_until(lambda d=directory: d.plan.version == 2)
    assert (await fetch(nodes[0], '/new/x')).status == 200


async def test_jumps_of_the_wall_clock_have_no_effect(fleet, monkeypatch):
    """Delays and ages are measured by the monotonic clock."""
    await fleet.start_target('i-1')
    nodes = await start_three_nodes(fleet)
    offset_s = [0.0]
    monkeypatch.setattr(kernel, 'time', lambda: time() + offset_s[0])
    for offset_s[0] in (3600.0, -3600.0, 0.0):
        fleet.store.put('config', 'main', plan_spec(2 + int(abs(offset_s[0]))))
        for node in nodes:
            assert (await fetch(node, '/read/x')).status == 200
    for node in nodes:
        directory = node.find('directory')
        await fleet.wait_until(lambda d=directory: d.plan.version > 1)
        assert (await fetch(node, '/read/x')).status == 200


async def test_all_nodes_follow_a_store_that_is_restored_from_an_older_copy(
    fleet,
):
    """The restored store lacks a target and gives out revisions again."""
    nodes = await start_three_nodes(fleet)
    await fleet.start_target('i-1')
    for node in nodes:
        members = node.find('directory').members
        await fleet.wait_until(lambda m=members: len(m) == 3)
    copy = fleet.store.copy()
    fleet.store.put('config', 'main', plan_spec(2))
    fleet.register_target('lost', 9)
    for node in nodes:
        directory = node.find('directory')
        await fleet.wait_until(
            lambda d=directory: d.plan.version == 2 and 'lost' in d.targets
        )
    fleet.store.restore(copy)
    await fleet.start_target('i-2')
    for node in nodes:
        directory = node.find('directory')
        await fleet.wait_until(
            lambda d=directory: set(d.targets) == {'i-1', 'i-2'}
        )
        # The configuration in force does not go back.
        assert directory.plan.version == 2
        assert (await fetch(node, '/read/x')).status == 200
    fleet.store.put(
        'config', 'main', plan_spec(3, [route_spec('new', '/new/')])
    )
    for node in nodes:
        directory = node.find('directory')
        await fleet.wait_until(lambda d=directory: d.plan.version == 3)
        assert (await fetch(node, '/new/x')).status == 200


async def test_nodes_that_a_restored_store_has_lost_register_again(fleet):
    copy = fleet.store.copy()
    nodes = await start_three_nodes(fleet)
    await fleet.start_target('i-1')
    for node in nodes:
        members = node.find('directory').members
        await fleet.wait_until(lambda m=members: len(m) == 3)
    fleet.store.restore(copy)
    fleet.store.put('config', 'main', plan_spec())
    await fleet.wait_until(
        lambda: len(fleet.store.objects.get('members', ())) == 3
    )
    for node in nodes:
        # Homes stay as they are meanwhile.
        assert len(node.find('directory').members) == 3
    await sleep(LAPSE_GRACE_S + 0.5)
    for node in nodes:
        assert len(node.find('directory').members) == 3


async def test_a_node_cut_off_from_a_restored_store_follows_its_peers(fleet):
    nodes = await start_three_nodes(fleet)
    copy = fleet.store.copy()
    await fleet.start_target('i-1')
    for node in nodes:
        directory = node.find('directory')
        await fleet.wait_until(lambda d=directory: 'i-1' in d.targets)
    cut_off = nodes[0].find('store_watch')
    cut_off.store._url = 'http://127.0.0.1:9'
    await cut_off.store.close()
    fleet.store.restore(copy)
    await fleet.start_target('i-2')
    directory = nodes[0].find('directory')
    await fleet.wait_until(lambda: set(directory.targets) == {'i-2'})
