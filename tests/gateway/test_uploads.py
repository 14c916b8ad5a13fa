"""Tests of large bodies, which are sent on while they are received."""

from asyncio import (
    Event,
    IncompleteReadError,
    create_task,
    gather,
    sleep,
    start_server,
    timeout,
)

import pytest

from carawaylane.decisions.admission.memory_budget import (
    MAX_FIRST_PART_BYTES,
    UPLOAD_BYTES,
)
from standins.raw_target import OK, Reply, request_id_of, reset
from tests.gateway.conftest import HOST, connect, plan_spec, route_spec

# A connection may hold 4 MB of it, so that a body of 6 MB is not held whole.
MEMORY_BYTES = 64 << 20
BODY = bytes(range(250)) * 24_000
BODY_BYTES = len(BODY)
REFUSED = (
    b'HTTP/1.1 503 Service Unavailable\r\nRequest-Id: @ID@\r\n'
    b'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)


def plan(timeout_ms=5_000):
    times = {'timeout_ms': timeout_ms, 'target_latency_ms': timeout_ms}
    return plan_spec(
        1,
        [
            route_spec('read', '/read/', **times),
            route_spec('write', '/write/', kind='unsafe', **times),
        ],
    )


async def start_node(fleet, **changes):
    fleet.store.put('config', 'main', plan(**changes))
    return await fleet.start_node('n1', memory_bytes=MEMORY_BYTES)


def head(path='/write/x', length=BODY_BYTES, request_id='r'):
    method = 'POST' if 'write' in path else 'GET'
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Request-Id: {request_id}\r\nContent-Length: {length}\r\n\r\n'
    ).encode()


async def send(node, data):
    """Send bytes on a connection; return the head of the answer."""
    reader, writer = await connect(node)
    writer.write(data)
    try:
        async with timeout(10):
            return await reader.readuntil(b'\r\n\r\n')
    finally:
        writer.close()


def budget_of(node):
    return node.find('memory').budget


class PartTarget:
    """Answers as soon as it has the head and a part of the body."""

    def __init__(self, part_bytes=0, answer=OK):
        self.part_bytes = part_bytes
        self.answer = answer
        self.heads = []
        self.ends = 0

    async def start(self, fleet, name='i-1'):
        server = await start_server(self._serve, '127.0.0.1', 0)

        async def close():
            server.close()

        fleet._cleanup_callbacks.append(close)
        port = server.sockets[0].getsockname()[1]
        fleet.register_target(name, port, slots=64)
        return self

    async def _serve(self, reader, writer):
        try:
            request_head = await reader.readuntil(b'\r\n\r\n')
            self.heads.append(request_head)
            await reader.readexactly(self.part_bytes)
            request_id = request_id_of(request_head)
            writer.write(self.answer.replace(b'@ID@', request_id))
            while await reader.read(65536):
                pass
        except (IncompleteReadError, ConnectionError):
            pass
        self.ends += 1
        writer.close()


async def test_a_large_body_is_sent_on_unchanged_and_not_held(fleet):
    target = await fleet.start_target('i-1', slots=64)
    node = await start_node(fleet)
    held = []

    async def watch():
        while True:
            held.append(budget_of(node).used_bytes)
            await sleep(0)

    watching = create_task(watch())
    for number in range(3):
        answer = await send(node, head(request_id=f'r{number}') + BODY)
        assert b' 200 ' in answer
    watching.cancel()
    for request in target.requests:
        assert request.partition(b'\r\n\r\n')[2] == BODY
    assert len(target.requests) == 3
    assert target.connections == 1
    assert max(held) == UPLOAD_BYTES
    await fleet.wait_until(lambda: budget_of(node).used_bytes == 0)


async def test_a_body_without_room_for_repeats_is_sent_on(fleet):
    target = await fleet.start_target('i-1')
    node = await start_node(fleet)
    assert b' 200 ' in await send(node, head('/read/x') + BODY)
    assert target.requests[0].endswith(BODY)


async def test_a_safe_body_with_room_is_held_for_repeats(fleet):
    body = BODY[: UPLOAD_BYTES + 1]
    targets = [
        await fleet.start_target(
            name, lambda *_: Reply(data=b'', connection_end='close')
        )
        for name in ('i-1', 'i-2')
    ]
    node = await start_node(fleet)
    answer = await send(node, head('/read/x', len(body)) + body)
    assert b' 200 ' not in answer
    for target in targets:
        assert target.requests[0].endswith(body)


async def test_a_connection_is_not_used_again_behind_half_a_body(fleet):
    target = await PartTarget().start(fleet)
    node = await start_node(fleet)
    reader, writer = await connect(node)
    writer.write(head() + BODY[:MAX_FIRST_PART_BYTES])
    async with timeout(5):
        assert b' 200 ' in await reader.readuntil(b'\r\n\r\n')
    await fleet.wait_until(lambda: target.ends == 1)
    assert b' 200 ' in await send(node, head('/read/x', 0, 's'))
    assert len(target.heads) == 2
    writer.close()


async def test_a_refusal_of_the_first_part_goes_to_another_target(fleet):
    targets = [
        await PartTarget(answer=REFUSED).start(fleet, 'i-1'),
        await PartTarget(answer=REFUSED).start(fleet, 'i-2'),
    ]
    node = await start_node(fleet)
    reader, writer = await connect(node)
    writer.write(head() + BODY[:MAX_FIRST_PART_BYTES])
    async with timeout(5):
        answer = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    assert b' 503 ' in answer
    assert [len(target.heads) for target in targets] == [1, 1]


async def test_a_refusal_of_more_is_told_as_not_run_and_not_repeated(fleet):
    targets = [
        await PartTarget(len(BODY), REFUSED).start(fleet, 'i-1'),
        await PartTarget(len(BODY), REFUSED).start(fleet, 'i-2'),
    ]
    node = await start_node(fleet)
    answer = await send(node, head() + BODY)
    assert b' 503 ' in answer
    assert b'Retry-After' in answer
    assert sum(len(target.heads) for target in targets) == 1


async def test_a_body_that_is_too_slow_is_never_said_not_to_have_run(fleet):
    target = await PartTarget(len(BODY)).start(fleet)
    node = await start_node(fleet, timeout_ms=600)
    answer = await send(node, head() + BODY[: 2 * MAX_FIRST_PART_BYTES])
    assert b' 504 ' in answer
    await fleet.wait_until(lambda: target.ends == 1)
    assert len(target.heads) == 1


async def test_a_body_that_breaks_off_ends_its_exchange(fleet):
    target = await PartTarget(len(BODY)).start(fleet)
    node = await start_node(fleet)
    _, writer = await connect(node)
    writer.write(head() + BODY[: 2 * MAX_FIRST_PART_BYTES])
    await fleet.wait_until(lambda: target.heads)
    writer.transport.abort()
    await fleet.wait_until(lambda: target.ends == 1)
    await fleet.wait_until(lambda: not budget_of(node).holdings)
    assert budget_of(node).used_bytes == 0


async def test_a_caller_that_leaves_while_it_is_not_read_is_noticed(fleet):
    """The target takes nothing, so that nothing is read of the caller."""
    done = Event()

    async def serve(_reader, writer):
        await done.wait()
        writer.close()

    server = await start_server(serve, '127.0.0.1', 0)
    fleet.register_target('i-1', server.sockets[0].getsockname()[1])
    node = await start_node(fleet, timeout_ms=60_000)
    _, writer = await connect(node)
    body = bytes(60 << 20)
    writer.write(head(length=len(body)))
    writer.write(body)
    await sleep(0.5)
    assert budget_of(node).holdings
    reset(writer)
    # Sooner than the system gives up the connection to the target.
    async with timeout(3):
        await fleet.wait_until(lambda: not budget_of(node).holdings)
    done.set()
    server.close()


async def test_bodies_beyond_the_budget_are_refused_at_once(fleet):
    """Those that were accepted are served, and small requests too."""
    target = await fleet.start_target('i-1', slots=64)
    node = await start_node(fleet)
    count = MEMORY_BYTES // 2 // UPLOAD_BYTES
    conns = await gather(*(connect(node) for _ in range(count)))
    for number, (_, writer) in enumerate(conns):
        writer.write(head(request_id=f'r{number}') + BODY[:1000])
    await fleet.wait_until(
        lambda: budget_of(node).used_bytes >= 12 * UPLOAD_BYTES
    )
    assert b' 200 ' in await send(node, head('/read/x', 0, 's'))
    for _, writer in conns:
        writer.write(BODY[1000:])
    async with timeout(20):
        answers = await gather(
            *(reader.readuntil(b'\r\n\r\n') for reader, _ in conns)
        )
    for _, writer in conns:
        writer.close()
    served = sum(b' 200 ' in answer for answer in answers)
    refused = [answer for answer in answers if b' 503 ' in answer]
    assert served >= 12
    assert served + len(refused) == count
    assert refused
    assert all(b'Retry-After' in answer for answer in refused)
    assert len(target.requests) == served + 1


@pytest.mark.parametrize('body_bytes', [UPLOAD_BYTES, UPLOAD_BYTES + 1])
async def test_a_body_above_the_limit_is_refused_before_it_is_read(
    fleet, body_bytes
):
    target = await fleet.start_target('i-1')
    spec = plan()
    spec['limits'] = {'max_body_bytes': UPLOAD_BYTES}
    fleet.store.put('config', 'main', spec)
    node = await fleet.start_node('n1', memory_bytes=MEMORY_BYTES)
    answer = await send(node, head(length=body_bytes) + BODY[:body_bytes])
    assert (b' 413 ' in answer) == (body_bytes > UPLOAD_BYTES)
    assert len(target.requests) == (body_bytes <= UPLOAD_BYTES)
