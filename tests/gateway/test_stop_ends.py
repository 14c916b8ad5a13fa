"""Tests of how planned stops end: with answers, and no later than needed."""

from asyncio import gather, get_running_loop
from socket import SO_RCVBUF, SO_SNDBUF, SOL_SOCKET, socket

import pytest
from attrs import evolve
from uvloop import EventLoopPolicy

from carawaylane.settings.gateway import Bounds
from standins.raw_target import Reply
from tests.gateway.conftest import connect, send_request
from tests.gateway.planned_stops import (
    GRACE_S,
    ROUTES,
    Stop,
    answer_of,
    assert_refused,
    head_of,
    send,
    start,
)
from tests.gateway.test_pipelining import TARGET_BODY


@pytest.fixture(scope='module')
def event_loop_policy():
    """Use the event loop of the daemon, whose transports are its own."""
    return EventLoopPolicy()


async def test_the_end_of_a_stop_answers_what_still_runs(fleet):
    """Its connection was closed without an answer."""
    node, target = await start(fleet)
    conns = [await send(node, kind) for kind in ROUTES]
    await fleet.wait_until(lambda: len(target.requests) == 2)
    stop = Stop(fleet, node)
    for conn in conns:
        assert (await answer_of(conn))[0] == 504
        assert await conn[0].read() == b'this node stops'
    assert 2.5 < await stop.end() < GRACE_S


async def test_an_answer_that_comes_before_the_end_of_a_stop_is_delivered(
    fleet,
):
    node, target = await start(fleet, lambda *_: Reply(delay_s=2.4))
    conns = [await send(node, kind) for kind in ROUTES]
    await fleet.wait_until(lambda: len(target.requests) == 2)
    stop = Stop(fleet, node)
    for conn in conns:
        assert (await answer_of(conn))[0] == 200
    assert await stop.end() < GRACE_S


async def test_a_stop_does_not_take_what_mostly_lasts_longer(fleet):
    """Most answers of the route come after the end of the stop."""
    node, target = await start(fleet, target_latency_ms=4000)
    stop = Stop(fleet, node)
    await stop.reach(0.2)
    conns = [await send(node, kind) for kind in ROUTES]
    for conn in conns:
        assert_refused(*await answer_of(conn))
    assert not target.requests
    # Its time ends before the stop.
    conn = await send(node, 'unsafe', 'Deadline-Ms: 300')
    assert (await answer_of(conn))[0] == 504
    await stop.end()
    assert len(target.requests) == 1


async def test_a_stop_waits_for_an_answer_that_is_read_slowly(fleet):
    """What the process had buffered would be lost at its exit."""
    size = 60_000
    data = TARGET_BODY.replace(b': 4', b': %d' % size)[:-4] + bytes(size)
    node, target = await start(fleet, lambda *_: Reply(data=data))
    node.cfg = evolve(node.cfg, bounds=Bounds(grace_s=6.0))
    callers = node.find('callers')
    sock = socket()
    sock.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
    sock.setblocking(False)
    host, _, port = node.cfg.listen.rpartition(':')
    await get_running_loop().sock_connect(sock, (host, int(port)))
    await fleet.wait_until(callers._connections)
    conn = callers._connections()[0]
    own_sock = conn.transport.get_extra_info('socket')
    own_sock.setsockopt(SOL_SOCKET, SO_SNDBUF, 4096)
    sock.send(head_of('safe'))
    await fleet.wait_until(lambda: target.requests)
    stop = Stop(fleet, node)
    await stop.reach(3.6)
    assert conn.transport.get_write_buffer_size() > 0
    assert not stop.task.done()
    received = b''
    while data := await get_running_loop().sock_recv(sock, 65536):
        received += data
    sock.close()
    assert len(received.partition(b'\r\n\r\n')[2]) == size
    assert await stop.end() < 4.5


async def test_requests_around_a_close_are_answered_or_not_read(fleet):
    node, target = await start(fleet, lambda *_: Reply())
    statuses = []
    stop = Stop(fleet, node)

    async def fetch_at(time_s, kind):
        await stop.reach(time_s)
        try:
            conn = await connect(node)
            response = await send_request(conn, f'{ROUTES[kind]}x')
        except (OSError, EOFError):
            return
        statuses.append(response.status)

    await gather(
        *(
            fetch_at(0.02 * number, kind)
            for number in range(150)
            for kind in ROUTES
        )
    )
    assert await stop.end() < GRACE_S
    assert statuses.count(200) == len(target.requests)
    assert set(statuses) == {200, 503}


async def test_a_request_that_was_just_taken_does_not_count_as_idle(fleet):
    """Its connection was closed before its handler had started."""
    node, target = await start(fleet, lambda *_: Reply())
    callers = node.find('callers')
    make_request = callers.make_request

    def close_after_taking(*args):
        req = make_request(*args)
        callers._close_idle_connections()
        return req

    callers._http_server.request_factory = close_after_taking
    for kind in ROUTES:
        conn = await send(node, kind)
        assert (await answer_of(conn))[0] == 200
    assert len(target.requests) == 2


async def test_a_stop_without_requests_ends_once_it_was_noticed(fleet):
    node, _ = await start(fleet)
    node.cfg = evolve(node.cfg, bounds=Bounds(grace_s=30.0))
    idle = await connect(node)
    stop = Stop(fleet, node)
    assert await stop.end() < 3.5
    assert await idle[0].read() == b''
