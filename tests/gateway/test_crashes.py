"""A request that crashes targets is stopped, whichever nodes see it."""

from asyncio import gather, sleep

from carawaylane.decisions.propagation.dissemination import rank_members
from standins.raw_target import Reply
from tests.gateway.conftest import fetch, plan_spec

# By the operators' rules, a request may crash this many targets.
VICTIMS = 3
CRASHING = '/write/crash'
# Between two requests; longer than it takes to check a target.
PAUSE_S = 0.4


async def start_service(fleet, *, nodes=3, targets=8):
    """Return nodes and targets that crash when they get one request."""
    fleet.store.put('config', 'main', plan_spec())
    started = [await start_crashing_target(fleet, n) for n in range(targets)]
    running = await gather(*(fleet.start_node(f'n{n}') for n in range(nodes)))
    for node in running:
        directory = node.find('directory')
        await fleet.wait_until(
            lambda d=directory: (
                len(d.members) == nodes and len(d.targets) == targets
            )
        )
    return running, started


async def start_crashing_target(fleet, number):
    def answer(_number, data):
        if b'/crash ' in data.partition(b'\r\n')[0]:
            return target.crash()
        return Reply(delay_s=0.01)

    target = await fleet.start_target(f'i-{number}', answer)
    return target


def count_reached(targets, path=CRASHING):
    return sum(
        f' {path} '.encode() in data
        for target in targets
        for data in target.requests
    )


async def send_in_turn(nodes, times, path=CRASHING, method='POST'):
    """Send a request again and again, each time to the next node."""
    replies = []
    for number in range(times):
        node = nodes[number % len(nodes)]
        replies.append(
            await fetch(
                node, path, method=method, request_id=f'{path}-{number}'
            )
        )
        await sleep(PAUSE_S)
    return replies


async def test_a_request_that_crashes_targets_is_stopped_without_other_load(
    fleet,
):
    """Guards against crashes that only other requests bring to light."""
    nodes, targets = await start_service(fleet)
    replies = await send_in_turn(nodes, 7)
    assert count_reached(targets) == VICTIMS
    assert [reply.status for reply in replies[VICTIMS:]] == [503] * 4
    assert (await fetch(nodes[0], '/write/a', method='POST')).status == 200


async def test_a_request_that_crashes_targets_is_stopped_beside_others(fleet):
    nodes, targets = await start_service(fleet)
    replies, others = await gather(
        send_in_turn(nodes, 7),
        gather(*(send_others(node, 25) for node in nodes)),
    )
    assert count_reached(targets) == VICTIMS
    assert replies[-1].status == 503
    assert all(sum(statuses[-5:]) == 5 * 200 for statuses in others)


async def send_others(node, times):
    statuses = []
    for number in range(times):
        reply = await fetch(
            node,
            f'/write/{node.cfg.name}-{number}',
            method='POST',
            request_id=f'{node.cfg.name}-{number}',
        )
        statuses.append(reply.status)
        await sleep(0.1)
    return statuses


async def test_a_request_that_may_be_repeated_is_stopped_too(fleet):
    nodes, targets = await start_service(fleet)
    await send_in_turn(nodes, 5, path='/read/crash', method='GET')
    # The last of them may be sent to a second target before it is known that
    # the first has crashed.
    assert VICTIMS <= count_reached(targets, '/read/crash') <= VICTIMS + 1


async def test_victims_are_counted_while_homes_change(fleet):
    """Guards against a new home that knows no earlier crashes."""
    nodes, targets = await start_service(fleet, nodes=4)
    members = nodes[0].find('directory').members
    by_name = {node.cfg.name: node for node in nodes}
    ranked = [
        by_name[name] for name in rank_members(members.values(), 'stock')
    ]
    for home, entry in zip(ranked[:2], ranked[2:], strict=True):
        await send_in_turn([entry], 1)
        await home.find('fleet_rpc').stop()
    await send_in_turn(ranked[2:], 4)
    assert count_reached(targets) == VICTIMS


async def test_a_node_that_starts_later_knows_the_request(fleet):
    nodes, targets = await start_service(fleet)
    await send_in_turn(nodes, VICTIMS)
    late = await fleet.start_node('late')
    suspects = late.find('crashes').quarantine.suspects
    await fleet.wait_until(lambda: suspects)
    assert (await fetch(late, CRASHING, method='POST')).status == 503
    assert count_reached(targets) == VICTIMS


async def test_a_request_that_targets_answer_is_not_blamed_for_crashes(fleet):
    """Guards against callers who are refused for a request of many."""
    nodes, targets = await start_service(fleet)
    # Every second one crashes, whatever it gets.
    for target in targets[::2]:
        target.plan = lambda *_, t=target: t.crash()
    replies = []
    for _ in range(12):
        replies += await send_in_turn(nodes, 1, path='/write/popular')
    statuses = [reply.status for reply in replies]
    assert statuses.count(504) >= VICTIMS
    assert statuses.count(200) == 12 - statuses.count(504)


async def test_a_target_that_drops_connections_has_not_crashed(fleet):
    nodes, targets = await start_service(fleet)
    for target in targets:
        target.plan = lambda *_: Reply(data=b'', connection_end='close')
    await send_in_turn(nodes, VICTIMS + 1, path='/write/a')
    assert count_reached(targets, '/write/a') == VICTIMS + 1


async def test_crashes_behind_a_peer_are_counted(fleet):
    """Guards against nodes that are cut off and see no target."""
    nodes, targets = await start_service(fleet)
    cut_off = nodes[0]

    async def refuse(_address):
        raise ConnectionRefusedError

    cut_off.find('exchanges').pool.open = refuse
    assert (await fetch(cut_off, '/write/a', method='POST')).status == 200
    await send_in_turn([cut_off], 6)
    assert count_reached(targets) == VICTIMS
    assert (await fetch(nodes[1], CRASHING, method='POST')).status == 503
