"""Starts a small deployment on loopback addresses, and sends requests to it.

The nodes are started with the command of the deploy file. A node that ends is
started again after a short delay, as the platform does, until the script ends.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import socket
import sys
import tempfile
import tomllib
from asyncio import create_task
from asyncio.subprocess import DEVNULL, Process
from contextlib import suppress
from pathlib import Path
from random import SystemRandom
from signal import SIGINT, SIGTERM
from time import monotonic
from traceback import print_exc
from typing import TYPE_CHECKING, Any, NoReturn

from aiohttp import ClientSession, ClientTimeout

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

ROOT = Path(__file__).resolve().parents[2]
HOST = 'shop.example'
ZONES = ('heredia', 'escazu', 'cartago')
RESTART_DELAY_S = 0.3
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
PORTS = (15000, 32000)
_used_ports: set[int] = set()
_port_rng = SystemRandom()
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_delay_s': 2,
    'stable_window_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'config_propagation_ms': 2000,
    'rollback_slack_ms': 250,
    'max_skew_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 56,
    'recovery_s': 15,
    'probes_per_s': 3,
    'floor_share': 0.7,
}
LIMITS = {
    'cpu_share': 0.86,
    'cores': 1,
    'memory_mb': 300,
    'max_fds': 4100,
    'link_mbps': 1000.0,
    'disk_mb': 0,
}


class CannotRunError(Exception):
    """The deployment did not come up."""


def free_port() -> int:
    """Return a free port, each one once.

    It lies below those that outgoing connections get, so that none takes it
    before its process listens.
    """
    while True:
        port = _port_rng.randrange(*PORTS)
        if port in _used_ports:
            continue
        _used_ports.add(port)
        with socket.socket() as sock, suppress(OSError):
            sock.bind(('127.0.0.1', port))
            return port


def route(name: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the configuration; the path begins with its name."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'service': service,
        'route_type': 'unsafe',
        'max_attempts': 2,
        'timeout_ms': 1200,
        'target_latency_ms': 600,
        'priority': 1,
        **changes,
    }


def run_case(main: Callable[[], Coroutine[Any, Any, int]]) -> NoReturn:
    """Run a case and exit with its code, CANNOT_RUN if it ends otherwise.

    Python's own code for an error is 1, which says that a rule was broken.
    """
    code = CANNOT_RUN
    try:
        code = asyncio.run(main())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt):
        print_exc()
    sys.exit(code)


class Node:
    """A node of the fleet and its process."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.front = f'127.0.0.1:{free_port()}'
        self.ready_address = f'127.0.0.1:{free_port()}'
        self.control = f'127.0.0.1:{free_port()}'
        self.internal_port = free_port()
        # Where this node reaches the store; empty if directly.
        self.store = ''
        self.proc: Process | None = None
        self.is_ready = False
        # Exit codes of ends that the script did not cause.
        self.own_ends: list[int] = []
        self.expected_end = False


class Fleet:
    """The processes of a deployment, and the record of what happened."""

    def __init__(self, record: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.started_at_s = monotonic()
        self.store = f'127.0.0.1:{free_port()}'
        self.nodes: list[Node] = []
        self.targets: dict[str, Process] = {}
        self.target_addresses: dict[str, str] = {}
        self.ending = False
        self._record = record.open('w', encoding='utf-8')
        self._tasks: list[asyncio.Task[Any]] = []
        # All processes that the script has started.
        self._procs: list[Process] = []
        self._session: ClientSession | None = None

    def now_s(self) -> float:
        """Return the time since the start of the script."""
        return monotonic() - self.started_at_s

    def note(self, text: str) -> None:
        """Write a line of the record."""
        self._record.write(f'{self.now_s():8.3f} s  {text}\n')
        self._record.flush()

    def spawn(self, coro: Any) -> asyncio.Task[Any]:
        """Run a task until the end of the script."""
        task = create_task(coro)
        self._tasks.append(task)
        return task

    async def start_store(self) -> None:
        """Start the store, which is empty."""
        port = self.store.rpartition(':')[2]
        await self._python('store', 'review/harness_2/store.py', port)
        await self._until(self._store_answers, 10, 'the store does not answer')

    async def _store_answers(self) -> bool:
        with suppress(OSError):
            await self.control(do='none')
            return True
        return False

    async def control(self, **order: Any) -> dict[str, Any]:
        """Let the store do something at once, and return its counters."""
        assert self._session is not None
        url = f'http://{self.store}/control'
        async with self._session.post(url, json=order) as resp:
            return dict(await resp.json())

    async def put_config(
        self, version: int, routes: list[dict[str, Any]]
    ) -> None:
        """Write a version of the configuration, as the operator."""
        services = sorted({item['service'] for item in routes})
        spec = {
            'version': version,
            'routes': routes,
            'services': [
                {'name': name, 'health_path': '/health'} for name in services
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 1048576,
                'header_timeout_ms': 5000,
                'idle_timeout_ms': 30000,
            },
        }
        await self.control(do='put', kind='config', name='main', spec=spec)
        self.note(f'the store has acknowledged configuration {version}')

    async def start_target(
        self,
        name: str,
        service: str,
        *,
        slots: int = 2,
        zone: str = ZONES[0],
        **more: Any,
    ) -> None:
        """Start an upstream, which registers itself."""
        address = f'127.0.0.1:{free_port()}'
        self.target_addresses[name] = address
        cfg = {
            'id': name,
            'service': service,
            'address': address,
            'zone': zone,
            'slots': slots,
            'store': self.store,
            **more,
        }
        self.targets[name] = await self._python(
            name, 'review/harness_2/target.py', json.dumps(cfg)
        )

    def target_lines(self) -> list[dict[str, Any]]:
        """Return what all upstreams have written, by time."""
        lines = []
        for name in self.targets:
            text = (self.folder / f'{name}.log').read_text()
            lines += [
                json.loads(line)
                for line in text.splitlines()
                if line.startswith('{')
            ]
        for line in lines:
            line['t'] -= self.started_at_s
        return sorted(lines, key=lambda line: line['t'])

    async def _python(self, name: str, *args: str) -> Process:
        with (self.folder / f'{name}.log').open('ab') as log:
            proc = await asyncio.create_subprocess_exec(
                sys.executable,
                *args,
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, 'PYTHONPATH': f'target/deps{os.pathsep}.'},
            )
        self._procs.append(proc)
        return proc

    async def start_nodes(
        self,
        count: int,
        prepare: Callable[[Node], Awaitable[None]] | None = None,
    ) -> None:
        """Start the nodes together, and wait until all are ready.

        `prepare` is called for each node before the first one starts.
        """
        self.nodes = [
            Node(
                f'front-{ZONES[number % 3]}-{number // 3 + 1}',
                ZONES[number % 3],
            )
            for number in range(count)
        ]
        for node in self.nodes:
            if prepare is not None:
                await prepare(node)
        for node in self.nodes:
            self.spawn(self.keep_running(node))
            self.spawn(self._watch_ready(node))

        async def all_ready() -> bool:
            return all(node.is_ready for node in self.nodes)

        await self._until(all_ready, 25, 'the nodes do not get ready')
        self.note('all nodes are ready')

    def settings_of(self, node: Node) -> dict[str, Any]:
        """Return the settings file of a node."""
        return {
            'node': node.name,
            'role': 'gateway',
            'machine_class': 'front',
            'serves': ['front', 'control'],
            'ip': '127.0.0.1',
            'zone': node.zone,
            'region': 'valle-central',
            'zones': dict.fromkeys(ZONES, 'valle-central'),
            'listen': {
                'front': node.front,
                'readiness_address': node.ready_address,
                'control': node.control,
            },
            'internal_port_range': [node.internal_port, node.internal_port],
            'seeds': [other.control for other in self.nodes[:3]],
            'bootstrap': True,
            'limits': LIMITS,
            'data_dir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeat_ms': 1500,
            'bounds': BOUNDS,
            'platform': {
                'address': node.store or self.store,
                'form': 'objects',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'history_s': 20,
                'value_bytes': 1048576,
                'min_ttl_ms': 1000,
            },
        }

    async def start_process(self, node: Node) -> Process:
        """Start the process of a node as the deploy file says."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['gateway']
        path = self.folder / f'{node.name}.json'
        path.write_text(json.dumps(self.settings_of(node)))
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env |= role.get('env', {})
        env |= {'CARAWAYLANE_BOOT': str(path), 'PYTHONPATH': 'target/deps'}
        with (self.folder / f'{node.name}.log').open('ab') as log:
            proc = await asyncio.create_subprocess_exec(
                *role['run'].split(),
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=env,
            )
        self._procs.append(proc)
        return proc

    async def keep_running(self, node: Node) -> None:
        """Start a node, and again whenever it ends."""
        while not self.ending:
            node.proc = await self.start_process(node)
            node.expected_end = False
            self.note(f'{node.name} is started')
            code = await node.proc.wait()
            node.is_ready = False
            if self.ending:
                return
            if node.expected_end:
                self.note(f'{node.name} has ended with {code}')
            else:
                node.own_ends.append(code)
                self.note(f'{node.name} ENDED BY ITSELF with {code}')
            await asyncio.sleep(RESTART_DELAY_S)

    async def _watch_ready(self, node: Node) -> None:
        assert self._session is not None
        while True:
            ready = False
            with suppress(OSError, TimeoutError):
                url = f'http://{node.ready_address}/ready'
                async with self._session.get(url) as resp:
                    ready = resp.status == 200
            node.is_ready = ready
            await asyncio.sleep(0.2)

    async def _until(
        self, check: Callable[[], Awaitable[bool]], limit_s: float, what: str
    ) -> None:
        end_s = monotonic() + limit_s
        while not await check():
            if monotonic() > end_s:
                raise CannotRunError(what)
            await asyncio.sleep(0.1)

    async def __aenter__(self) -> Fleet:
        # So a script that is ended from outside ends its processes, too.
        task = asyncio.current_task()
        assert task is not None
        for sig in (SIGINT, SIGTERM):
            asyncio.get_running_loop().add_signal_handler(sig, task.cancel)
        self._session = ClientSession(timeout=ClientTimeout(total=1))
        return self

    async def __aexit__(self, *_exc: object) -> None:
        self.ending = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for proc in self._procs:
            if proc.returncode is None:
                proc.kill()
                await proc.wait()
        if self._session is not None:
            await self._session.close()
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)
