"""Tests of requests that wait in a planned stop: they are refused in time."""

from asyncio import create_task, sleep

import pytest
from attrs import evolve
from uvloop import EventLoopPolicy

from carawaylane.gateway import caller_requests
from carawaylane.settings.gateway import Bounds
from standins.raw_target import Reply
from tests.gateway.conftest import fetch, plan_spec
from tests.gateway.planned_stops import (
    GRACE_S,
    LATE_S,
    ROUTES,
    Stop,
    answer_of,
    assert_refused,
    hang,
    routes,
    send,
    start,
)
from tests.gateway.test_pipelining import (
    CLOSED,
    TARGET_BODY,
    read_response,
    request,
)

NOT_RUN = (
    b'HTTP/1.1 503 Service Unavailable\r\nRequest-Id: @ID@\r\n'
    b'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)

either_kind = pytest.mark.parametrize('kind', ROUTES)


@pytest.fixture(scope='module')
def event_loop_policy():
    """Use the event loop of the daemon, whose transports are its own."""
    return EventLoopPolicy()


async def test_a_body_that_comes_late_in_a_stop_is_not_passed_on(fleet):
    """It was passed on at any time of the stop, and cut at its end."""
    node, target = await start(fleet)
    stop = Stop(fleet, node)
    await stop.reach(LATE_S)
    length = ['Content-Length: 4']
    forms = [
        (length, b'ab', b'cd'),
        (
            ['Transfer-Encoding: chunked'],
            b'2\r\nab\r\n',
            b'2\r\ncd\r\n0\r\n\r\n',
        ),
        ([*length, 'Expect: 100-continue'], b'', b'abcd'),
    ]
    conns = [
        (await send(node, kind, *lines, body=first), rest)
        for lines, first, rest in forms
        for kind in ROUTES
    ]
    for conn, _ in conns[4:]:
        assert (await answer_of(conn))[0] == 100
    await stop.reach(2.0)
    for conn, rest in conns:
        conn[1].write(rest)
    for conn, _ in conns:
        assert_refused(*await answer_of(conn))
    assert await stop.end() < GRACE_S
    assert not target.requests


async def test_a_body_that_does_not_end_in_a_stop_is_refused(fleet):
    """Its connection was closed without an answer."""
    node, _ = await start(fleet)
    conns = [
        await send(node, kind, 'Content-Length: 9', body=b'a')
        for kind in ROUTES
    ]
    stop = Stop(fleet, node)
    for conn in conns:
        assert_refused(*await answer_of(conn))
    assert await stop.end() < GRACE_S


async def use_the_slot(fleet, make_later_reply):
    """Return a node, its target and the request that uses its one slot."""

    def make_reply(number, data):
        if number == 1:
            return Reply(delay_s=2.0)
        return make_later_reply(number, data)

    node, target = await start(fleet, make_reply, slots=1)
    first = create_task(fetch(node, '/write/x', method='POST'))
    await fleet.wait_until(lambda: target.requests)
    return node, target, first


@either_kind
async def test_a_request_in_a_queue_is_refused_in_a_stop(fleet, kind):
    """Its slot came late in the stop, and then it was cut."""
    node, target, first = await use_the_slot(fleet, hang)
    stop = Stop(fleet, node)
    await stop.reach(LATE_S)
    conn = await send(node, kind)
    await sleep(0.1)
    assert len(node.find('dispatch')._pending) == 1
    assert_refused(*await answer_of(conn))
    assert (await first).status == 200
    await stop.end()
    assert len(target.requests) == 1


@either_kind
async def test_a_queued_request_that_ends_in_time_is_served_in_a_stop(
    fleet, kind
):
    node, target, first = await use_the_slot(
        fleet, lambda *_: Reply(delay_s=0.1)
    )
    stop = Stop(fleet, node)
    await stop.reach(LATE_S)
    conn = await send(node, kind, 'Deadline-Ms: 1500')
    assert (await answer_of(conn))[0] == 200
    assert (await first).status == 200
    assert await stop.end() < GRACE_S
    assert len(target.requests) == 2


async def test_a_request_that_waits_for_a_configuration_is_refused_in_a_stop(
    fleet, monkeypatch
):
    monkeypatch.setattr(caller_requests, 'FIRST_COPIES_WAIT_S', 20)
    fleet.store.fault = 'busy'
    node = await fleet.start_node('n1', ready=False)
    node.cfg = evolve(node.cfg, bounds=Bounds(grace_s=GRACE_S))
    conns = [await send(node, kind) for kind in ROUTES]
    stop = Stop(fleet, node)
    for conn in conns:
        assert_refused(*await answer_of(conn))
    assert await stop.end() < GRACE_S


async def test_a_request_that_waits_for_its_quota_is_refused_in_a_stop(
    fleet, monkeypatch
):
    spec = plan_spec(1, routes())
    rates = {'rate_per_s': 50, 'burst': 50}
    spec['tenants'] = [{'name': 'a', 'api_keys': ['key']} | rates]
    fleet.store.put('config', 'main', spec)
    target = await fleet.start_target('i-1', hang)
    node = await fleet.start_node('n1')
    node.cfg = evolve(node.cfg, bounds=Bounds(grace_s=GRACE_S))
    asked = []

    async def wait(*_args):
        asked.append(True)
        await sleep(20)

    monkeypatch.setattr(node.find('quotas'), '_decide_once', wait)
    conns = [
        await send(node, kind, 'Authorization: Bearer key') for kind in ROUTES
    ]
    stop = Stop(fleet, node)
    for conn in conns:
        assert_refused(*await answer_of(conn))
    assert len(asked) == 2
    assert await stop.end() < GRACE_S
    assert not target.requests


async def test_pipelined_requests_are_all_answered_in_a_stop(fleet):
    """The turn of the second one comes late; a third is late itself."""
    node, target = await start(
        fleet,
        lambda number, _: (
            Reply(data=TARGET_BODY, delay_s=1.8)
            if number <= len(ROUTES)
            else hang(0, b'')
        ),
    )
    stop = Stop(fleet, node)
    conns = [await send(node, kind) for kind in ROUTES]
    await fleet.wait_until(lambda: len(target.requests) == 2)
    for _, writer in conns:
        # It runs only once, so it waits for the response before it.
        writer.write(request(2, path='/write/x', method='POST'))
    await stop.reach(1.5)
    for _, writer in conns:
        writer.write(request(3))
    for reader, _ in conns:
        assert await read_response(reader) == (b'r001', 200)
        assert (await read_response(reader))[1] == 503
        assert (await read_response(reader))[1] == 503
        assert await read_response(reader) == CLOSED
    assert await stop.end() < GRACE_S
    assert len(target.requests) == 2


async def test_a_target_that_refuses_late_in_a_stop_is_not_followed(fleet):
    """The next target got the request, which was cut at the end."""
    received = []

    def refuse_the_first(_number, data):
        received.append(data)
        if len(received) == 1:
            return Reply(data=NOT_RUN, delay_s=2.0)
        return Reply(hang=True)

    node, _ = await start(fleet, refuse_the_first)
    await fleet.start_target('i-2', refuse_the_first, slots=50)
    targets = node.find('directory').targets
    await fleet.wait_until(lambda: len(targets) == 2)
    conn = await send(node, 'unsafe')
    await fleet.wait_until(lambda: received)
    stop = Stop(fleet, node)
    assert_refused(*await answer_of(conn))
    assert await stop.end() < GRACE_S
    assert len(received) == 1


async def test_a_request_that_waits_for_a_connection_is_refused_in_a_stop(
    fleet,
):
    """It was sent as the connection came, when requests are refused."""
    node, target = await start(fleet)
    pool = node.find('exchanges').pool
    open_connection = pool.open
    opened = []

    async def open_late(address):
        opened.append(address)
        await sleep(0.27)
        return await open_connection(address)

    pool.open = open_late
    stop = Stop(fleet, node)
    await stop.reach(LATE_S)
    conns = [await send(node, kind) for kind in ROUTES]
    await fleet.wait_until(lambda: len(opened) == 2)
    for conn in conns:
        assert_refused(*await answer_of(conn))
    assert await stop.end() < GRACE_S
    assert not target.requests
