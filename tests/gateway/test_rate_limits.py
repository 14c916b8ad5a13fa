"""Tests of targets that name a rate limit for the requests of all nodes."""

from asyncio import gather, sleep
from time import monotonic

import pytest

from carawaylane.gateway.dispatch import _Avoidance
from standins.raw_target import OK, Reply
from tests.gateway.conftest import fetch, plan_spec

LIMIT_PER_S = 2.0
# The operators' bound: in any window of 4 s, from 3 s after a target first
# named its limit, one and a half times the limit and 5 requests more.
WINDOW_S, LIMIT_FACTOR, LIMIT_SLACK, NOTICE_S = 4.0, 1.5, 5, 3.0
ALLOWED_IN_WINDOW = LIMIT_FACTOR * LIMIT_PER_S * WINDOW_S + LIMIT_SLACK
LOAD_S = NOTICE_S + WINDOW_S + 1.0
PAUSE_S = 0.05
SHED = (
    b'HTTP/1.1 503 Service Unavailable\r\nRequest-Id: @ID@\r\n'
    b'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)


def most_in_a_window(times_s):
    return max(
        sum(start_s <= at_s < start_s + WINDOW_S for at_s in times_s)
        for start_s in times_s
    )


async def start_nodes(fleet, count=3):
    fleet.store.put('config', 'main', plan_spec())
    nodes = await gather(
        *(fleet.start_node(f'n{number}') for number in range(count))
    )
    for node in nodes:
        members = node.find('directory').members
        await fleet.wait_until(lambda m=members: len(m) == count)
    return nodes


async def send_load(nodes, *, load_s=LOAD_S):
    """Send requests to all nodes; return how many were sent and served."""

    async def send_to(node, kind, method):
        sent = served = 0
        end_s = monotonic() + load_s
        while monotonic() < end_s:
            response = await fetch(node, f'/{kind}/x', method=method)
            sent += 1
            served += response.status == 200
            await sleep(PAUSE_S)
        return sent, served

    counts = await gather(
        *(
            send_to(node, kind, method)
            for node in nodes
            for kind, method in (('read', 'GET'), ('write', 'POST'))
        )
    )
    return tuple(map(sum, zip(*counts, strict=True)))


def isolate_homes(nodes):
    """Make each node its own home, as if no other one replied to it."""
    for node in nodes:
        node.find('dispatch')._avoided_homes = {
            other.cfg.name: _Avoidance(until_s=float('inf'), duration_s=1.0)
            for other in nodes
            if other is not node
        }


def assert_within_limit(target, limited_from_s):
    times_s = [
        at_s
        for at_s in target.arrival_times_s
        if at_s >= limited_from_s + NOTICE_S
    ]
    assert times_s
    assert most_in_a_window(times_s) <= ALLOWED_IN_WINDOW


@pytest.mark.parametrize('homes', ['one home', 'each node a home'])
@pytest.mark.parametrize('answer', [OK, SHED], ids=['served', 'shed'])
async def test_all_nodes_together_keep_to_the_rate_limit_of_a_target(
    fleet, homes, answer
):
    nodes = await start_nodes(fleet)
    limited = await fleet.start_target(
        'limited', lambda *_: Reply(data=answer), slots=4
    )
    await fleet.start_target('i-2', slots=4)
    for node in nodes:
        targets = node.find('directory').targets
        await fleet.wait_until(lambda t=targets: len(t) == 2)
    if homes == 'each node a home':
        isolate_homes(nodes)
    limited.rate_limit_per_s = LIMIT_PER_S
    started_at_s = monotonic()
    sent, served = await send_load(nodes)
    assert_within_limit(limited, started_at_s)
    # The other target has room for nearly all requests.
    assert served >= 0.9 * sent


async def test_a_limit_that_answers_no_longer_name_is_lifted_at_all_nodes(
    fleet,
):
    nodes = await start_nodes(fleet)
    limited = await fleet.start_target('limited', slots=4)
    for node in nodes:
        targets = node.find('directory').targets
        await fleet.wait_until(lambda t=targets: len(t) == 1)
    limited.rate_limit_per_s = LIMIT_PER_S
    await send_load(nodes, load_s=1.0)
    limited.rate_limit_per_s = None
    await send_load(nodes, load_s=1.0)
    assert {(await fetch(node, '/read/x')).status for node in nodes} == {200}
    sent, served = await send_load(nodes, load_s=1.0)
    assert served == sent


async def test_a_refused_request_does_not_lift_a_limit(fleet):
    """A target may name its limit in the answers that it serves only."""
    fleet.store.put('config', 'main', plan_spec())
    named = OK.replace(b'\r\n', b'\r\nServer-Limit: 1000\r\n', 1)
    replies = [Reply(data=named), Reply(data=SHED), Reply()]
    await fleet.start_target('limited', lambda n, _: replies[min(n, 3) - 1])
    node = await fleet.start_node('n1')
    heard = node.find('backpressure').heard
    limits = []
    for number in range(3):
        await sleep(0.01)
        response = await fetch(node, '/write/x', method='POST')
        assert response.status == (503 if number == 1 else 200)
        limits.append(heard.rate_of('limited'))
    assert limits == [1000, 1000, None]


async def test_a_home_that_restarts_is_told_of_a_limit_with_the_next_request(
    fleet,
):
    """It has forgotten the limit, which the entry told it a moment ago."""
    nodes = await start_nodes(fleet)
    # The last request gets no answer that would tell the home.
    limited = await fleet.start_target(
        'limited', lambda number, _: Reply(hang=number > 3), slots=4
    )
    limited.rate_limit_per_s = 1000
    for node in nodes:
        targets = node.find('directory').targets
        await fleet.wait_until(lambda t=targets: len(t) == 1)
    home, entry = (
        [node for node in nodes if node.cfg.name == name][0]
        for name in nodes[0].find('directory').ranked_members('stock')[:2]
    )
    for _ in range(2):
        await fetch(entry, '/write/x', method='POST')
    await sleep(1.0)
    await fetch(entry, '/write/x', method='POST')
    await sleep(0.1)
    # As if its process had ended: its state and its connections are gone.
    home.find('dispatchers').dispatchers.clear()
    entry.find('dispatch')._remote_homes[home.cfg.name].stream.close()
    await sleep(0.1)
    await fetch(entry, '/write/x', method='POST')
    dispatcher = home.find('dispatchers').dispatchers['stock']
    limits = dispatcher.pool.rate_limits
    assert len(limited.requests) == 4
    assert limits.rate_of('limited', home.now_s()) <= 1000


@pytest.mark.parametrize('limit', [b'1e308', b'1e400', b'inf', b'-1', b'x'])
async def test_a_limit_that_is_no_rate_does_not_end_a_home(fleet, limit):
    """The home counted the requests that it allows up to infinity."""
    data = OK.replace(b'Response-Seal', b'Server-Limit: %s\r\nResponse-Seal')
    nodes = await start_nodes(fleet, 2)
    await fleet.start_target('i-1', lambda *_: Reply(data=data % limit))
    for node in nodes:
        targets = node.find('directory').targets
        await fleet.wait_until(lambda t=targets: 'i-1' in t)
    for _ in range(2):
        for node in nodes:
            assert (await fetch(node, '/read/x')).status == 200
        await sleep(2.2)
    for node in nodes:
        assert (await fetch(node, '/read/x')).status == 200
        assert node.failure is None


async def test_an_objective_below_1_ms_does_not_end_a_home(fleet):
    nodes = await start_nodes(fleet, 2)
    routes = plan_spec()['routes']
    routes = [route | {'target_latency_ms': 0.4} for route in routes]
    await fleet.start_target('i-1')
    fleet.store.put('config', 'main', plan_spec(2, routes))
    for node in nodes:
        directory = node.find('directory')
        await fleet.wait_until(
            lambda d=directory: d.plan.version == 2 and 'i-1' in d.targets
        )
    for node in nodes:
        for number in range(3):
            response = await fetch(node, f'/read/{number}')
            assert response.status in (200, 503)
    for node in nodes:
        assert node.failure is None
