"""Tests of the memory of a node as a process, without any contract."""

from asyncio import (
    create_task,
    gather,
    get_running_loop,
    open_connection,
    sleep,
    start_server,
    timeout,
)
from contextlib import suppress
from json import dumps
from socket import SO_RCVBUF, SOL_SOCKET, socket

import pytest
from uvloop import EventLoopPolicy

from standins.raw_target import OK, Reply, request_id_of
from tests.gateway.conftest import HOST, plan_spec, route_spec
from tests.gateway.test_daemon import (
    boot_spec,
    start_daemon,
    wait_until_ready,
)
from tests.gateway.test_memory import LARGE_BODY, SIZED, peak_mb

BOUND_SHARE = 0.9
BODY_NODE_MB = 300
BODY = bytes(60_000_000)
ANSWER_NODE_MB = 200
ANSWERS_AT_ONCE = 8
# What a target takes, so that the answers are in progress at the same time.
WORK_S = 0.05


@pytest.fixture(scope='module')
def event_loop_policy():
    """Use the event loop of the daemon, whose transports are its own."""
    return EventLoopPolicy()


async def start(fleet, tmp_path, memory_mb):
    times = {'timeout_ms': 20_000, 'target_latency_ms': 10_000}
    fleet.store.put(
        'config',
        'main',
        plan_spec(
            1,
            [
                route_spec('get', '/get/', kind='download', **times),
                route_spec('write', '/write/', kind='unsafe', **times),
            ],
        ),
    )
    settings = boot_spec(fleet.store_address)
    settings['limits'] |= {'memory_mb': memory_mb, 'max_fds': 8000}
    path = tmp_path / 'local.json'
    path.write_text(dumps(settings))
    proc = await start_daemon(path)
    await wait_until_ready(proc, settings)
    read_log = create_task(proc.stdout.read())
    return proc, settings['listen']['front'].rpartition(':')[2], read_log


async def stop(proc, read_log):
    proc.kill()
    await read_log
    await proc.wait()


async def drop_bodies(reader, writer):
    """Serve a connection as a target that keeps nothing of a body."""
    head = await reader.readuntil(b'\r\n\r\n')
    left = len(BODY)
    while left and (part := await reader.read(256 << 10)):
        left -= len(part)
    writer.write(OK.replace(b'@ID@', request_id_of(head)))
    await reader.read()
    writer.close()


async def send_body(port, number):
    reader, writer = await open_connection('127.0.0.1', port)
    writer.write(
        f'POST /write/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {number}\r\n'
        f'Content-Length: {len(BODY)}\r\n\r\n'.encode()
    )
    writer.write(BODY)
    async with timeout(20):
        head = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    return int(head[9:12])


@pytest.mark.parametrize('clients', [2, 9])
async def test_large_bodies_fit_into_the_memory(fleet, tmp_path, clients):
    servers = []
    for number in range(clients):
        server = await start_server(drop_bodies, '127.0.0.1', 0)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        fleet.register_target(f'i-{number}', port, slots=4)
    proc, port, read_log = await start(fleet, tmp_path, BODY_NODE_MB)
    try:
        statuses = await gather(
            *(send_body(port, number) for number in range(clients))
        )
        peak = peak_mb(proc)
        print(f'peak {peak:.1f} MB')
    finally:
        await stop(proc, read_log)
        for server in servers:
            server.close()
    assert statuses == [200] * clients
    assert peak < BOUND_SHARE * BODY_NODE_MB


async def read_slowly(sockets):
    for _ in range(80):
        for sock in sockets:
            with suppress(BlockingIOError, ConnectionError):
                sock.recv(4096)
        await sleep(0.1)


async def test_large_answers_in_progress_fit_into_the_memory(fleet, tmp_path):
    """Each caller asks for all at once, and reads 40 KB/s."""
    clients = 60
    for number in range(71):
        await fleet.start_target(
            f'i-{number}',
            lambda *_: Reply(data=SIZED + LARGE_BODY, delay_s=WORK_S),
            slots=4,
        )
    proc, port, read_log = await start(fleet, tmp_path, ANSWER_NODE_MB)
    request = (
        f'GET /get/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r%d\r\n\r\n'
    ).encode()
    sockets = []
    try:
        for client in range(clients):
            sock = socket()
            sockets.append(sock)
            sock.setblocking(False)
            sock.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
            loop = get_running_loop()
            await loop.sock_connect(sock, ('127.0.0.1', int(port)))
            first = client * ANSWERS_AT_ONCE
            numbers = range(first, first + ANSWERS_AT_ONCE)
            data = b''.join(request % number for number in numbers)
            await loop.sock_sendall(sock, data)
        await read_slowly(sockets)
        peak = peak_mb(proc)
        print(f'peak {peak:.1f} MB')
    finally:
        await stop(proc, read_log)
        for sock in sockets:
            sock.close()
    assert peak < BOUND_SHARE * ANSWER_NODE_MB
