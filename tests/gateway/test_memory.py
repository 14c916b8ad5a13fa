"""Tests of large answers and of callers that read slowly."""

from asyncio import (
    create_task,
    gather,
    get_running_loop,
    sleep,
    timeout,
)
from json import dumps
from pathlib import Path
from socket import SO_RCVBUF, SOL_SOCKET, socket
from time import monotonic

import pytest
from uvloop import EventLoopPolicy

from carawaylane.decisions.admission.memory_budget import (
    MIN_LARGE_RESPONSE_BYTES,
)
from carawaylane.gateway.streamed_answers import MEMORY_RETRY_S
from standins.raw_target import Reply
from tests.gateway.conftest import HOST, connect, fetch, plan_spec, route_spec
from tests.gateway.test_daemon import (
    boot_spec,
    start_daemon,
    wait_until_ready,
)

LARGE_BYTES = 540_000
LARGE_BODY = bytes(range(250)) * (LARGE_BYTES // 250)
HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n'
SIZED = HEAD + b'Content-Length: %d\r\n\r\n' % LARGE_BYTES
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'%x\r\n%s\r\n' % (LARGE_BYTES, LARGE_BODY)
# The budget is a quarter of this, so that answers over 64 KB are streamed.
SMALL_MEMORY_BYTES = 8 << 20


@pytest.fixture(scope='module')
def event_loop_policy():
    """Use the event loop of the daemon, whose transports are its own."""
    return EventLoopPolicy()


def plan():
    times = {'timeout_ms': 10_000, 'target_latency_ms': 5_000}
    return plan_spec(
        1,
        [
            route_spec('get', '/get/', kind='download', **times),
            route_spec('read', '/read/', **times),
            route_spec('write', '/write/', kind='unsafe', **times),
        ],
    )


async def start(fleet, make_reply, *, slots=64, **settings):
    fleet.store.put('config', 'main', plan())
    target = await fleet.start_target('i-1', make_reply, slots=slots)
    settings = {
        'memory_bytes': SMALL_MEMORY_BYTES,
    } | settings
    return target, await fleet.start_node('n1', **settings)


def budget_of(node):
    return node.find('memory').budget


def large_reply(_number, data):
    if b' /get/' in data:
        return Reply(data=SIZED + LARGE_BODY)
    return Reply()


async def read_all(node, request):
    """Return all bytes until the connection is closed, and if it was reset."""
    reader, writer = await connect(node)
    writer.write(request)
    data = b''
    try:
        async with timeout(10):
            while chunk := await reader.read(65536):
                data += chunk
    except ConnectionError:
        return data, True
    finally:
        writer.close()
    return data, False


def get_request(version='1.1', *lines):
    text = '\r\n'.join(
        [
            f'GET /get/x HTTP/{version}',
            f'Host: {HOST}',
            'Request-Id: r',
            *lines,
        ]
    )
    return text.encode() + b'\r\n\r\n'


@pytest.mark.parametrize(
    'data', [SIZED + LARGE_BODY, CHUNKED + CHUNK + b'0\r\n\r\n']
)
@pytest.mark.parametrize('memory_bytes', [SMALL_MEMORY_BYTES, 256 << 20])
async def test_a_large_answer_arrives_unchanged(fleet, data, memory_bytes):
    _, node = await start(
        fleet, lambda n, _: Reply(data=data), memory_bytes=memory_bytes
    )
    received, _ = await read_all(node, get_request('1.1', 'Connection: close'))
    head, _, body = received.partition(b'\r\n\r\n')
    if b'chunked' in head.lower():
        assert body.endswith(b'\r\n0\r\n\r\n')
        assert body.count(b'\r\n') >= 4
        body = dechunk(body)
    assert body == LARGE_BODY
    await fleet.wait_until(lambda: budget_of(node).used_bytes == 0)
    assert not budget_of(node).holdings


def dechunk(data):
    body = b''
    while True:
        size, _, data = data.partition(b'\r\n')
        if not int(size, 16):
            return body
        body += data[: int(size, 16)]
        data = data[int(size, 16) + 2 :]


@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('end', ['close', 'reset'])
@pytest.mark.parametrize(
    'data', [SIZED + LARGE_BODY[:-1], CHUNKED + CHUNK, CHUNKED + CHUNK[:-9]]
)
async def test_an_answer_that_breaks_off_never_looks_complete(
    fleet, version, end, data
):
    """The connection is reset, as one that closes may end a body."""
    target, node = await start(
        fleet, lambda n, _: Reply(data=data, connection_end=end)
    )
    received, reset = await read_all(node, get_request(version))
    head, _, body = received.partition(b'\r\n\r\n')
    if head.startswith((b'HTTP/1.1 502', b'HTTP/1.0 502')):
        return
    assert reset
    assert not body.endswith(b'0\r\n\r\n')
    assert len(body) < LARGE_BYTES or b'content-length' not in head.lower()
    await fleet.wait_until(lambda: budget_of(node).used_bytes == 0)


async def test_a_large_answer_that_is_malformed_breaks_off_at_once(fleet):
    _, node = await start(
        fleet, lambda n, _: Reply(data=CHUNKED + CHUNK + b'zz\r\n')
    )
    async with timeout(3):
        received, reset = await read_all(node, get_request())
    assert received.startswith(b'HTTP/1.1 200')
    assert reset
    assert not received.endswith(b'0\r\n\r\n')


async def test_a_caller_that_leaves_stops_a_large_answer(fleet):
    _, node = await start(
        fleet, lambda n, _: Reply(data=SIZED, endless=LARGE_BODY[:1000])
    )
    reader, writer = await connect(node)
    writer.write(get_request())
    await reader.readuntil(b'\r\n\r\n')
    writer.transport.abort()
    await fleet.wait_until(lambda: not budget_of(node).holdings)
    assert budget_of(node).used_bytes == 0


async def test_large_answers_in_a_pipeline_come_in_order(fleet):
    _, node = await start(fleet, large_reply)
    reader, writer = await connect(node)
    small = f'GET /read/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: s\r\n\r\n'
    writer.write((get_request() + small.encode()) * 4)
    for _ in range(4):
        head = await reader.readuntil(b'\r\n\r\n')
        assert str(LARGE_BYTES).encode() in head
        assert await reader.readexactly(LARGE_BYTES) == LARGE_BODY
        await reader.readuntil(b'\r\n\r\n')
        assert await reader.readexactly(2) == b'ok'
    writer.close()
    await fleet.wait_until(lambda: not budget_of(node).holdings)
    assert budget_of(node).used_bytes == 0


@pytest.mark.parametrize(
    ('path', 'body_bytes', 'answer_bytes'),
    [
        ('get', 0, LARGE_BYTES),
        ('read', 0, 150_000),
        ('read', 60_000, 150_000),
    ],
)
async def test_requests_behind_a_slow_answer_wait_for_memory(
    fleet, path, body_bytes, answer_bytes
):
    """Guards against errors for want of memory to requests out of turn."""
    answer = HEAD + b'Content-Length: %d\r\n\r\n' % answer_bytes
    reply = Reply(data=answer + LARGE_BODY[:answer_bytes])
    target, node = await start(fleet, lambda n, _: reply)
    reader, writer = await connect(node)
    body = LARGE_BODY[:body_bytes]
    request = get_request('1.1', f'Content-Length: {body_bytes}') + body
    writer.write(request.replace(b'/get/', f'/{path}/'.encode()) * 8)
    for _ in range(8):
        head = await reader.readuntil(b'\r\n\r\n')
        assert b' 200 ' in head
        received = b''
        while len(received) < answer_bytes:
            # Long enough for those behind to take the memory that is free.
            await sleep(2 * MEMORY_RETRY_S)
            received += await reader.read(answer_bytes - len(received))
        assert received == LARGE_BODY[:answer_bytes]
    bodies = [data.partition(b'\r\n\r\n')[2] for data in target.requests]
    assert bodies == [body] * 8
    writer.close()
    await fleet.wait_until(lambda: not budget_of(node).holdings)
    assert budget_of(node).used_bytes == 0


async def test_small_requests_are_served_while_memory_is_short(fleet):
    """Those that hold the memory leave, and large requests run again."""
    _, node = await start(fleet, large_reply)
    budget = budget_of(node)
    readers = SlowReaders(node.cfg.listen)
    await readers.start(100)
    await sleep(0.5)
    assert budget.used_bytes + MIN_LARGE_RESPONSE_BYTES > (
        0.5 * budget.limit_bytes
    )
    for _ in range(20):
        assert (await fetch(node, '/read/x')).status == 200
    readers.close()
    await fleet.wait_until(lambda: budget.used_bytes == 0)
    assert (await fetch(node, '/get/x')).status == 200


async def test_a_body_without_room_is_refused(fleet):
    target, node = await start(fleet, large_reply)
    body = bytes(budget_of(node).limit_bytes)
    reader, writer = await connect(node)
    writer.write(
        f'POST /write/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: b\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'.encode()
    )
    head = await reader.readuntil(b'\r\n\r\n')
    assert b' 503 ' in head
    assert b'Retry-After' in head
    assert not target.requests
    writer.close()


READERS = 2000
MEMORY_MB = 200
READ_BYTES = 1024


class SlowReaders:
    """Connections with small buffers that read a little twice a second."""

    def __init__(self, address):
        host, _, port = address.rpartition(':')
        self._address = (host, int(port))
        self._sockets = []
        self.read_bytes = 0

    async def start(self, count):
        for _ in range(0, count, 100):
            await gather(*(self._start_one() for _ in range(100)))
            await sleep(0)

    async def _start_one(self):
        sock = socket()
        sock.setblocking(False)
        sock.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
        loop = get_running_loop()
        await loop.sock_connect(sock, self._address)
        await loop.sock_sendall(sock, get_request())
        self._sockets.append(sock)

    async def read_for(self, duration_s):
        end_s = monotonic() + duration_s
        while monotonic() < end_s:
            for sock in self._sockets:
                try:
                    self.read_bytes += len(sock.recv(READ_BYTES))
                except (BlockingIOError, ConnectionError):
                    pass
            await sleep(0.5)

    def close(self):
        for sock in self._sockets:
            sock.close()


def peak_mb(proc):
    status = Path(f'/proc/{proc.pid}/status').read_text()
    line = next(row for row in status.splitlines() if 'VmHWM' in row)
    return int(line.split()[1]) / 1024


async def test_2000_slow_readers_fit_into_the_memory(fleet, tmp_path):
    """Responses of 540 KB for all of them would take 1,080 MB."""
    fleet.store.put('config', 'main', plan())
    for number in range(8):
        await fleet.start_target(f'i-{number}', large_reply, slots=32)
    settings = boot_spec(fleet.store_address)
    settings['limits'] |= {'memory_mb': MEMORY_MB, 'max_fds': 8000}
    settings['contracts'] = ['pressure']
    path = tmp_path / 'local.json'
    path.write_text(dumps(settings))
    proc = await start_daemon(path)
    await wait_until_ready(proc, settings)
    readers = SlowReaders(settings['listen']['front'])
    read_log = create_task(proc.stdout.read())
    idle_mb = peak_mb(proc)
    try:
        await readers.start(READERS)
        await readers.read_for(15)
        print(f'peak {peak_mb(proc):.1f} MB, idle {idle_mb:.1f} MB')
        print(f'read {readers.read_bytes} bytes')
        peak = peak_mb(proc)
    finally:
        readers.close()
        proc.terminate()
        log = await read_log
        await proc.wait()
    print('closed', log.count(b'reader-closed'), 'refused', log.count(b'503'))
    assert peak < MEMORY_MB
    assert readers.read_bytes > READERS * 100
