"""Tests of answers that are larger than a node keeps, on all routes."""

from asyncio import gather, open_connection, sleep, timeout

import pytest

from carawaylane.decisions.admission.answer_memory import (
    LARGE_ANSWERS_BYTES,
    MAX_ANSWER_BYTES,
)
from carawaylane.decisions.admission.memory_budget import MAX_BUFFERED_BYTES
from carawaylane.gateway.streamed_answers import MAX_AHEAD_BYTES
from standins.raw_target import Reply
from tests.gateway.conftest import HOST, plan_spec, route_spec

HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n'
SIZES = [MAX_ANSWER_BYTES + (1 << 20), 40 << 20]
METHODS = {'read': 'GET', 'write': 'POST'}
MEMORY_BYTES = 256 << 20
PIECE_BYTES = 16 << 10


def body_of(size):
    return bytes(range(256)) * (size // 256)


def sized(size):
    return HEAD + b'Content-Length: %d\r\n\r\n' % size + body_of(size)


async def start(fleet, data, *, connection_end='', **settings):
    routes = [
        route_spec(kind, f'/{kind}/', kind=kind_name, timeout_ms=20_000)
        for kind, kind_name in (('read', 'safe'), ('write', 'unsafe'))
    ]
    fleet.store.put('config', 'main', plan_spec(routes=routes))
    target = await fleet.start_target(
        'i-1',
        lambda *_: Reply(data=data, connection_end=connection_end),
        slots=64,
    )
    return target, await fleet.start_node('n1', **settings)


async def ask(node, route, *, version='1.1', method='', number=0):
    """Send a request; return the streams of its connection."""
    host, _, port = node.cfg.listen.rpartition(':')
    reader, writer = await open_connection(host, int(port))
    writer.write(
        f'{method or METHODS[route]} /{route}/x HTTP/{version}\r\n'
        f'Host: {HOST}\r\nRequest-Id: r{number}\r\n'
        'Connection: close\r\n\r\n'.encode()
    )
    return reader, writer


async def read_answer(node, route, **options):
    """Return the head and the body, and whether the connection was reset."""
    reader, writer = await ask(node, route, **options)
    data = bytearray()
    try:
        async with timeout(30):
            while chunk := await reader.read(1 << 20):
                data += chunk
        reset = False
    except ConnectionError:
        reset = True
    finally:
        writer.close()
    head, _, body = bytes(data).partition(b'\r\n\r\n')
    return head, body, reset


@pytest.mark.parametrize('settings', [{}, {'memory_bytes': MEMORY_BYTES}])
@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('route', METHODS)
async def test_a_sound_answer_of_any_size_arrives_whole(
    fleet, route, size, version, settings
):
    target, node = await start(fleet, sized(size), **settings)
    head, body, _ = await read_answer(node, route, version=version)
    assert head.split()[1] == b'200'
    assert b'content-length: %d' % size in head.lower()
    assert body == body_of(size)
    assert len(target.requests) == 1
    budget = node.find('memory').budget
    await fleet.wait_until(lambda: not budget.holdings)
    assert budget.used_bytes == 0


async def test_the_length_of_a_large_answer_to_head_is_no_body(fleet):
    data = HEAD + b'Content-Length: %d\r\n\r\n' % SIZES[0]
    _, node = await start(fleet, data)
    head, body, _ = await read_answer(node, 'read', method='HEAD')
    assert head.split()[1] == b'200'
    assert not body


@pytest.mark.parametrize('route', METHODS)
async def test_many_sound_answers_at_once_arrive_whole(fleet, route):
    """Together they take more than the node keeps of large ones."""
    size, count = 2 << 20, 40
    assert size * count > LARGE_ANSWERS_BYTES
    target, node = await start(fleet, sized(size))
    answers = await gather(
        *(read_answer(node, route, number=number) for number in range(count))
    )
    assert [head.split()[1] for head, _, _ in answers] == [b'200'] * count
    assert all(body == body_of(size) for _, body, _ in answers)
    assert len(target.requests) == count


@pytest.mark.parametrize('end', ['close', 'reset'])
@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('route', METHODS)
async def test_a_larger_answer_that_breaks_off_never_looks_complete(
    fleet, route, version, end
):
    data = sized(SIZES[0])[:-1]
    _, node = await start(fleet, data, connection_end=end)
    head, body, reset = await read_answer(node, route, version=version)
    assert b'content-length: %d' % SIZES[0] in head.lower()
    assert len(body) < SIZES[0]
    assert reset


async def test_callers_at_rest_hold_little_of_larger_answers(fleet):
    _, node = await start(fleet, sized(SIZES[1]))
    count = 20
    conns = await gather(
        *(
            ask(node, ('read', 'write')[number % 2], number=number)
            for number in range(count)
        )
    )
    for reader, _ in conns:
        await reader.readuntil(b'\r\n\r\n')
    await sleep(1.0)
    held_bytes = node.find('memory').budget.used_bytes
    most_bytes = MAX_BUFFERED_BYTES + MAX_AHEAD_BYTES + PIECE_BYTES
    assert held_bytes <= count * most_bytes
    for reader, writer in conns:
        assert await reader.readexactly(SIZES[1]) == body_of(SIZES[1])
        writer.close()
