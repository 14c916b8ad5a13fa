"""Tests of what is queued behind an answer when its node is stopped."""

from asyncio import sleep

import pytest
from attrs import evolve
from uvloop import EventLoopPolicy

from carawaylane.gateway.caller_connection import CallerConnection
from carawaylane.settings.gateway import Bounds
from tests.gateway.conftest import connect
from tests.gateway.long_answers import (
    BODY,
    SMALL_MEMORY,
    LongTarget,
    plan,
    receive,
    request,
)
from tests.gateway.planned_stops import GRACE_S, Stop

# More than a node parses ahead.
MANY = 40
REFUSE_AT_S = 1.35


@pytest.fixture(scope='module')
def event_loop_policy():
    """Use the event loop of the daemon, whose transports are its own."""
    return EventLoopPolicy()


@pytest.fixture
def read_data(monkeypatch):
    """The data that nodes have read from callers."""
    data = bytearray()
    data_received = CallerConnection.data_received

    def record(conn, received):
        data.extend(received)
        data_received(conn, received)

    monkeypatch.setattr(CallerConnection, 'data_received', record)
    return data


async def start(fleet, *, grace_s=GRACE_S):
    fleet.store.put('config', 'main', plan())
    target = await LongTarget().start(fleet)
    node = await fleet.start_node('n1', **SMALL_MEMORY)
    node.cfg = evolve(node.cfg, bounds=Bounds(grace_s=grace_s))
    return node, target


async def send_long(fleet, node, target, paths):
    """Return a connection for each path whose target has begun to answer."""
    conns = {}
    for name, path in paths.items():
        conns[name] = await connect(node)
        conns[name][1].write(request(f'long-{name}', path))
    await fleet.wait_until(
        lambda: all(target.runs[f'long-{name}'] for name in paths)
    )
    # The heads of the answers have been sent.
    await sleep(0.2)
    return conns


async def assert_queued_is_answered(reader, request_id, target):
    """Return the id if the request was refused, as it may never run then."""
    response = await receive(reader)
    assert response.is_whole, request_id
    if response.status == 200:
        assert response.body == request_id.encode()
        assert target.runs[request_id] == 1
        return set()
    assert response.status == 503
    return {request_id}


@pytest.mark.parametrize('kind', ['read', 'write'])
async def test_all_that_was_read_is_answered_in_a_stop(fleet, read_data, kind):
    """What was read behind the requests that were parsed was dropped."""
    node, target = await start(fleet, grace_s=20.0)
    firsts = {first: f'/{first}/0.8' for first in ('get', 'read', 'write')}
    conns = await send_long(fleet, node, target, firsts)
    for first, (_, writer) in conns.items():
        writer.write(
            b''.join(
                request(f'{first}-{number}', f'/{kind}/0')
                for number in range(MANY)
            )
        )
    await fleet.wait_until(lambda: read_data.count(b'-%d\r' % (MANY - 1)) == 3)
    stop = Stop(fleet, node)
    refused = set()
    for first, (reader, _) in conns.items():
        assert (await receive(reader)).is_whole
        for number in range(MANY):
            refused |= await assert_queued_is_answered(
                reader, f'{first}-{number}', target
            )
        assert (await receive(reader)).status == 0
    assert await stop.end() < 15
    assert not refused & set(target.runs)


async def test_a_request_behind_an_announced_close_is_not_read(
    fleet, read_data
):
    """It was read and dropped, so its caller could not repeat it."""
    node, target = await start(fleet, grace_s=20.0)
    stop = Stop(fleet, node)
    paths = dict.fromkeys(QUEUED, '/get/1.5')
    conns = await send_long(fleet, node, target, paths)
    await sleep(0.3)
    for name, (_, writer) in conns.items():
        writer.write(QUEUED[name])
    for reader, _ in conns.values():
        long = await receive(reader)
        assert 'connection: close' in long.head
        assert (long.is_whole, long.body) == (True, BODY)
        assert (await receive(reader)).status == 0
    assert await stop.end() < 15
    assert b'next' not in read_data
    assert len(target.runs) == len(conns)


def queued(name):
    path = '/read/0' if name == 'safe' else '/write/0'
    return {
        'safe': request('next-safe', path),
        'unsafe': request('next-unsafe', path),
        'body': request('next-body', path, body=b'whole'),
        'half': request('next-half', path, 'Content-Length: 9') + b'half',
    }[name]


QUEUED = {name: queued(name) for name in ('safe', 'unsafe', 'body', 'half')}


@pytest.mark.parametrize('queued_at_s', [-0.1, 0.3, 1.8])
async def test_a_request_behind_a_long_answer_is_answered_in_a_stop(
    fleet, queued_at_s
):
    """The answer began before the stop, and ends in time."""
    node, target = await start(fleet)
    paths = dict.fromkeys(QUEUED, '/get/2.2')
    conns = await send_long(fleet, node, target, paths)
    if queued_at_s < 0:
        for name, (_, writer) in conns.items():
            writer.write(QUEUED[name])
        await sleep(-queued_at_s)
    stop = Stop(fleet, node)
    if queued_at_s > 0:
        await stop.reach(queued_at_s)
        for name, (_, writer) in conns.items():
            writer.write(QUEUED[name])
    refused = set()
    for name, (reader, _) in conns.items():
        long = await receive(reader)
        assert 'connection: close' not in long.head
        assert (long.is_whole, long.body) == (True, BODY)
        refused |= await assert_queued_is_answered(
            reader, f'next-{name}', target
        )
        assert (await receive(reader)).status == 0
    assert await stop.end() < GRACE_S
    assert not refused & set(target.runs)


@pytest.mark.parametrize('queued_at_s', [0.3, 1.8])
async def test_a_request_behind_an_answer_that_outlasts_a_stop_ends_with_it(
    fleet, read_data, queued_at_s
):
    """The stop outlasted the grace, beside what was read and not answered."""
    node, target = await start(fleet)
    paths = dict.fromkeys(QUEUED, '/get/9')
    conns = await send_long(fleet, node, target, paths)
    stop = Stop(fleet, node)
    await stop.reach(queued_at_s)
    for name, (_, writer) in conns.items():
        writer.write(QUEUED[name])
    for name, (reader, _) in conns.items():
        long = await receive(reader)
        assert long.status == 200
        assert not long.is_whole
        assert target.runs[f'next-{name}'] <= (name == 'safe')
    assert await stop.end() < GRACE_S
    if queued_at_s > REFUSE_AT_S:
        assert b'next' not in read_data
    assert not target.sent
