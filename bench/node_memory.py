"""Measures what a node takes of its memory under large bodies and answers.

It starts a node as a process on the loopback device, with the stand-in store.
The callers and targets of large requests are another process, so that the
latencies of the small ones are those of the node. A case has callers that send
bodies of 60 MB one after the other (a node with 300 MB), or ask for eight
answers of 540 KB at once and read them slowly (a node with 200 MB). Small
requests are sent alone first and then beside them. Printed are the peak of the
resident size, what became of the large requests (-1: under way at the end, 0:
cut), how many small ones were served, and their latencies. With `--code`
another copy of the code is measured.
"""

from __future__ import annotations

import argparse
import sys
from asyncio import (
    BufferedProtocol,
    CancelledError,
    StreamReader,
    StreamWriter,
    Task,
    TimerHandle,
    create_subprocess_exec,
    create_task,
    gather,
    get_running_loop,
    open_connection,
    sleep,
    subprocess,
    timeout,
)
from collections import Counter
from contextlib import suppress
from itertools import count
from json import dumps, loads
from os import environ
from pathlib import Path
from socket import SO_RCVBUF, SOL_SOCKET, socket
from statistics import median
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Any

from aiohttp import web
from attrs import Factory, define, frozen
from uvloop import run

from bench.ports import free_port
from carawaylane.platform.boot import BOOT_FILE_VARIABLE
from standins.store import Store

HOST = 'shop.example'
TARGETS = 71
SMALL_TARGETS = 8
SLOTS = 4
# What a target takes for a request after it has its body.
WORK_S = 0.05
BODY_BYTES = 60_000_000
ANSWER_BYTES = 540_000
ANSWERS_AT_ONCE = 8
BODY_NODE_MB = 300
ANSWER_NODE_MB = 200
BOUND_SHARE = 0.9
# One after the other on each of the connections for small requests.
SMALL_CONNECTIONS = 4
SMALL_PERIOD_S = 0.05
ALONE_S = 3.0
SETTLE_S = 2.0
TIMEOUT_MS = 20_000
# A node that takes more is ended.
MAX_NODE_MB = 1500.0
WATCH_PERIOD_S = 0.02
READ_BYTES = 4096
READ_PERIOD_S = 0.1
PATTERN = bytes(range(250))
# Shared by all connections, as what is received is dropped.
_SINK = memoryview(bytearray(256 << 10))
_ids = count(1)


class _Target(BufferedProtocol):
    """Takes requests with bodies of any size, and answers them by path."""

    def __init__(self) -> None:
        self._head = b''
        self._left = 0
        self._answer = b''
        self._timer: TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Answer no more."""
        if self._timer is not None:
            self._timer.cancel()

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Return the shared buffer."""
        return _SINK

    def buffer_updated(self, size: int) -> None:
        """Take a part of a request."""
        if not self._left:
            self._head += bytes(_SINK[:size])
            head, end, rest = self._head.partition(b'\r\n\r\n')
            if not end:
                return
            self._head = b''
            self._left = _length(head)
            self._answer = _answer(head)
            size = len(rest)
        self._left -= size
        if not self._left:
            self._timer = get_running_loop().call_later(
                WORK_S, self._transport.write, self._answer
            )


def _length(head: bytes) -> int:
    _, _, rest = head.lower().partition(b'content-length:')
    return int(rest.partition(b'\r\n')[0] or 0)


def _answer(head: bytes) -> bytes:
    _, _, rest = head.lower().partition(b'request-id:')
    request_id = rest.partition(b'\r\n')[0].strip()
    body = b'ok'
    if head.startswith(b'GET /get/'):
        body = PATTERN * (ANSWER_BYTES // len(PATTERN))
    return (
        b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n'
        b'Content-Length: %d\r\n\r\n%s' % (request_id, len(body), body)
    )


def _plan() -> dict[str, Any]:
    routes = [
        {
            'name': name,
            'host': HOST,
            'path_prefix': f'/{name}/',
            'route_type': kind,
            'timeout_ms': TIMEOUT_MS,
            'target_latency_ms': TIMEOUT_MS // 2,
            'priority': 1,
            'service': service,
            'max_attempts': 2,
        }
        for name, kind, service in (
            ('read', 'safe', 'prices'),
            ('write', 'unsafe', 'stock'),
            ('get', 'download', 'stock'),
        )
    ]
    return {'version': 1, 'routes': routes, 'limits': {}}


async def _start_targets(count: int) -> list[int]:
    """Start targets; return their ports."""
    loop = get_running_loop()
    servers = [
        await loop.create_server(_Target, '127.0.0.1', 0) for _ in range(count)
    ]
    return [server.sockets[0].getsockname()[1] for server in servers]


async def _start_store(
    large_ports: list[int],
) -> tuple[Store, web.AppRunner, str]:
    store = Store()
    runner = web.AppRunner(store.app(), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    store.put('config', 'main', _plan())
    # Small requests have targets of their own, as slow readers take slots.
    small_ports = await _start_targets(SMALL_TARGETS)
    for number, port in enumerate([*large_ports, *small_ports]):
        store.put(
            'servers',
            f't{number}',
            {
                'service': 'stock' if number < TARGETS else 'prices',
                'address': f'127.0.0.1:{port}',
                'zone': 'z1',
                'version': 'v1',
                'slots': SLOTS,
                'state': 'ready',
                'warmup_left_ms': 0,
                'seq': 1,
            },
        )
    return store, runner, f'127.0.0.1:{runner.addresses[0][1]}'


@define(kw_only=True)
class _Results:
    """Statuses of requests (0 if cut) and latencies of those served."""

    statuses: Counter[int] = Factory(Counter)
    latencies_s: list[float] = Factory(list)

    def text(self) -> str:
        """Return how many were served, and the median and p99 latency."""
        sent = self.statuses.total()
        times_ms = sorted(1000 * time_s for time_s in self.latencies_s) or [0]
        return (
            f'{self.statuses[200]} of {sent}, median {median(times_ms):.0f} '
            f'ms, p99 {times_ms[int(0.99 * (len(times_ms) - 1))]:.0f} ms'
        )


def _head(method: str, path: str, size: int = 0) -> bytes:
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Request-Id: {next(_ids):016x}\r\nDeadline-Ms: {TIMEOUT_MS}\r\n'
        f'Content-Length: {size}\r\n\r\n'
    ).encode()


async def _read_answer(reader: StreamReader) -> tuple[int, float]:
    """Return the status of an answer and its Retry-After."""
    head = (await reader.readuntil(b'\r\n\r\n')).lower()
    await reader.readexactly(_length(head))
    _, _, rest = head.partition(b'retry-after:')
    return int(head[9:12]), float(rest.partition(b'\r\n')[0] or 0)


async def _send_small(port: int, results: _Results) -> None:
    """Send small requests one after the other until cancelled."""
    writer: StreamWriter | None = None
    try:
        while True:
            if writer is None:
                reader, writer = await open_connection('127.0.0.1', port)
            started_at_s = monotonic()
            writer.write(_head('GET', '/read/x'))
            try:
                status, _ = await _read_answer(reader)
            except (EOFError, OSError):
                status, writer = 0, None
            results.statuses[status] += 1
            if status == 200:
                results.latencies_s.append(monotonic() - started_at_s)
            await sleep(SMALL_PERIOD_S)
    except OSError:
        results.statuses[0] += 1
    except CancelledError:
        if writer is not None:
            writer.close()


async def _send_bodies(
    port: int, body: bytes, end_s: float, results: _Results
) -> None:
    """Send large bodies one after the other; come back when told to."""
    started_at_s = monotonic()
    while monotonic() < end_s:
        writer: StreamWriter | None = None
        retry_after_s = 1.0
        try:
            async with timeout(end_s - monotonic()):
                reader, writer = await open_connection('127.0.0.1', port)
                writer.write(_head('POST', '/write/x', len(body)))
                writer.transport.write(body)
                status, retry_after_s = await _read_answer(reader)
        except TimeoutError:
            results.statuses[-1] += 1
            return
        except (EOFError, OSError):
            status = 0
        finally:
            if writer is not None:
                writer.transport.abort()
        results.statuses[status] += 1
        if status == 200:
            results.latencies_s.append(monotonic() - started_at_s)
            started_at_s = monotonic()
        else:
            await sleep(max(retry_after_s, 0.1))


async def _read_slowly(port: int, end_s: float, results: _Results) -> None:
    """Ask for large answers in a pipeline, and read a little at a time."""
    loop = get_running_loop()
    sock = socket()
    sock.setblocking(False)
    sock.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
    received = b''
    with sock:
        try:
            await loop.sock_connect(sock, ('127.0.0.1', port))
            requests = [_head('GET', '/get/x') for _ in range(ANSWERS_AT_ONCE)]
            await loop.sock_sendall(sock, b''.join(requests))
            while monotonic() < end_s:
                with suppress(BlockingIOError):
                    part = sock.recv(READ_BYTES)
                    if not part:
                        break
                    received = received[-16:] + part
                    for status in (200, 503):
                        line = b'HTTP/1.1 %d' % status
                        results.statuses[status] += received.count(line)
                    received = received[-8:]
                await sleep(READ_PERIOD_S)
        except OSError:
            results.statuses[0] += 1


@frozen(kw_only=True)
class Case:
    """What large requests a node of a size gets, for how long."""

    name: str
    clients: int
    memory_mb: int
    duration_s: float
    pressure: bool = False


CASES = [
    Case(name='bodies', clients=2, memory_mb=BODY_NODE_MB, duration_s=6.0),
    Case(name='bodies', clients=9, memory_mb=BODY_NODE_MB, duration_s=8.0),
    Case(name='bodies', clients=50, memory_mb=BODY_NODE_MB, duration_s=15.0),
    *(
        Case(
            name='answers',
            clients=clients,
            memory_mb=ANSWER_NODE_MB,
            duration_s=10.0,
            pressure=pressure,
        )
        for pressure in (True, False)
        for clients in (48, 60, 500)
    ),
]


def _settings(case: Case, store_address: str) -> dict[str, Any]:
    return {
        'node': 'n1',
        'zone': 'z1',
        'listen': {
            'front': f'127.0.0.1:{free_port()}',
            'readiness_address': f'127.0.0.1:{free_port()}',
            'control': f'127.0.0.1:{free_port()}',
        },
        'internal_port_range': [free_port(), 65535],
        'seeds': [],
        'limits': {
            'cpu_share': 1,
            'cores': 1,
            'max_fds': 8000,
            'memory_mb': case.memory_mb,
        },
        'bounds': {'grace_s': 6},
        'contracts': ['pressure'] if case.pressure else [],
        'platform': {'address': store_address},
    }


async def _send_large(case: Case, port: int) -> _Results:
    results = _Results()
    end_s = monotonic() + case.duration_s
    if case.name == 'bodies':
        body = PATTERN * (BODY_BYTES // len(PATTERN))
        callers = [
            _send_bodies(port, body, end_s, results)
            for _ in range(case.clients)
        ]
    else:
        callers = [
            _read_slowly(port, end_s, results) for _ in range(case.clients)
        ]
    await gather(*callers)
    return results


async def _run_load(case: Case) -> None:
    """Print the ports of targets, read the port of the node, and load it."""
    print(dumps(await _start_targets(TARGETS)), flush=True)
    port = await get_running_loop().run_in_executor(None, sys.stdin.readline)
    results = await _send_large(case, int(port))
    print(dumps(dict(results.statuses)), flush=True)


async def _start_load(case: Case) -> tuple[subprocess.Process, list[int]]:
    """Start the process of the large requests; return its targets' ports."""
    proc = await create_subprocess_exec(
        sys.executable,
        '-m',
        'bench.node_memory',
        '--load',
        str(CASES.index(case)),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert proc.stdout is not None
    return proc, loads(await proc.stdout.readline())


async def _await_load(proc: subprocess.Process, port: int) -> dict[int, int]:
    """Have the large requests sent; return how many had which status."""
    output, _ = await proc.communicate(f'{port}\n'.encode())
    return {int(status): number for status, number in loads(output).items()}


def _start_small(port: int, results: _Results) -> list[Task[None]]:
    return [
        create_task(_send_small(port, results))
        for _ in range(SMALL_CONNECTIONS)
    ]


async def _stop(tasks: list[Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await gather(*tasks, return_exceptions=True)


async def _watch(proc: subprocess.Process) -> None:
    """End a node that takes so much that this machine might lack it."""
    while _peak_mb(proc.pid) < MAX_NODE_MB:
        await sleep(WATCH_PERIOD_S)
    proc.kill()


def _peak_mb(pid: int) -> float:
    text = Path(f'/proc/{pid}/status').read_text()
    return int(text.partition('VmHWM:')[2].split()[0]) / 1024


async def measure(case: Case, code: Path) -> str:
    """Return a line of figures for a case."""
    load, large_ports = await _start_load(case)
    _, runner, store_address = await _start_store(large_ports)
    settings = _settings(case, store_address)
    port = int(settings['listen']['front'].rpartition(':')[2])
    with TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.json'
        path.write_text(dumps(settings))
        proc = await create_subprocess_exec(
            sys.executable,
            '-m',
            'carawaylane.gateway.daemon',
            cwd=code,
            stdout=subprocess.DEVNULL,
            env={**environ, BOOT_FILE_VARIABLE: str(path)},
        )
        try:
            await sleep(SETTLE_S)
            alone = _Results()
            tasks = _start_small(port, alone)
            await sleep(ALONE_S)
            await _stop(tasks)
            idle_mb = _peak_mb(proc.pid)
            beside = _Results()
            tasks = _start_small(port, beside)
            watch = create_task(_watch(proc))
            large = await _await_load(load, port)
            await _stop(tasks)
            peak_mb = MAX_NODE_MB if watch.done() else _peak_mb(proc.pid)
            watch.cancel()
        finally:
            for child in (proc, load):
                with suppress(ProcessLookupError):
                    child.kill()
                await child.wait()
            await runner.cleanup()
    outcomes = ', '.join(
        f'{number} x {status}' for status, number in sorted(large.items())
    )
    contract = ' with pressure' if case.pressure else ''
    return (
        f'{case.clients} {case.name}{contract}: peak {peak_mb:.0f} MB '
        f'(bound {BOUND_SHARE * case.memory_mb:.0f}, idle {idle_mb:.0f}); '
        f'large: {outcomes}; small: {beside.text()} '
        f'(alone {alone.text()})'
    )


def main() -> None:
    """Print the figures of the cases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--code', type=Path, default=Path.cwd())
    parser.add_argument('--case', choices=['bodies', 'answers'])
    parser.add_argument('--clients', type=int)
    parser.add_argument('--load', type=int, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.load is not None:
        run(_run_load(CASES[args.load]))
        return
    for case in CASES:
        if args.case in (None, case.name) and (
            args.clients in (None, case.clients)
        ):
            print(run(measure(case, args.code.resolve())), flush=True)


if __name__ == '__main__':
    main()
