"""Starts the nodes of a small deployment beside a store, on loopback.

The nodes are started as the deploy file says, one process each. The store is
the project's own stand-in; it runs in the process of the case.
"""

from __future__ import annotations

from asyncio import (
    Task,
    create_subprocess_exec,
    create_task,
    gather,
    open_connection,
    sleep,
    timeout,
    wait,
)
from asyncio.subprocess import Process
from contextlib import suppress
from json import dumps
from json import loads as decode_json
from os import environ
from pathlib import Path
from shlex import split
from shutil import rmtree
from signal import SIGKILL, SIGTERM
from socket import AF_INET, SOCK_STREAM, socket
from tempfile import mkdtemp
from time import monotonic
from tomllib import loads
from typing import Any

from aiohttp.web import AppRunner, TCPSite
from attrs import Factory, define

from review.harness.record import Record
from standins.store import Store

ROOT = Path(__file__).resolve().parents[2]
# The platform starts a process again this long after it has ended.
RESTART_DELAY_S = 0.3
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
KILL_PERIOD_S = 0.05
# Of sites/acrm-gateway.toml.
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
CONTRACTS = (
    'base',
    'drain',
    'config',
    'cost',
    'retry',
    'recover',
    'health',
    'platform',
)
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 67108864,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
MEMORY_MB = 300


class CannotRunError(Exception):
    """The case could not be set up, so it says nothing of the rule."""


def free_port(host: str) -> int:
    """Return a free port of a loopback address."""
    with socket(AF_INET, SOCK_STREAM) as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


@define(kw_only=True, eq=False)
class Node:
    """A node of the fleet, started again when its process ends by itself.

    `ends` holds the times and the exit codes of the ends of its processes.
    """

    name: str
    settings: dict[str, Any]
    folder: Path
    record: Record
    keeps_running: bool = True
    ends: list[tuple[float, int]] = Factory(list)
    proc: Process | None = None
    _supervisor: Task[None] | None = None

    @property
    def front(self) -> str:
        """The address for clients."""
        return str(self.settings['listen']['front'])

    def start(self) -> None:
        """Start the process, and again whenever it ends."""
        self.keeps_running = True
        self._supervisor = create_task(self._supervise())

    async def _supervise(self) -> None:
        while self.keeps_running:
            await self._spawn()
            assert self.proc is not None
            code = await self.proc.wait()
            if not self.keeps_running:
                return
            self.ends.append((monotonic(), code))
            self.record.write('node-ended', node=self.name, rc=code)
            await sleep(RESTART_DELAY_S)

    async def _spawn(self) -> None:
        boot_file = self.folder / f'{self.name}.json'
        boot_file.write_text(dumps(self.settings))
        role = loads((ROOT / 'deploy/system.toml').read_text())['roles']
        command = split(role['gateway']['run'])
        env = {
            key: environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in environ
        }
        env |= role['gateway'].get('env', {})
        env |= {
            'CARAWAYLANE_BOOT': str(boot_file),
            'PYTHONPATH': 'target/deps',
        }
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.proc = await create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.write('node-start', node=self.name, pid=self.proc.pid)

    async def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> bool:
        """Wait until the node says that it is ready; return whether it did."""
        end_s = monotonic() + timeout_s
        while monotonic() < end_s:
            if await self.is_ready():
                return True
            await sleep(0.1)
        return False

    async def is_ready(self) -> bool:
        """Ask the node as the platform does, once."""
        host, _, port = self.settings['listen'][
            'readiness_address'
        ].rpartition(':')
        with suppress(OSError, TimeoutError):
            async with timeout(1.0):
                reader, writer = await open_connection(host, int(port))
                try:
                    writer.write(b'GET /ready HTTP/1.1\r\nHost: n\r\n\r\n')
                    line = await reader.readline()
                    return b' 200 ' in line
                finally:
                    writer.close()
        return False

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.proc is not None and self.proc.returncode is None:
            self.record.write('signal', node=self.name, number=int(number))
            self.proc.send_signal(number)

    async def stop(self, grace_s: float | None = None) -> None:
        """Stop the process as the platform does: SIGTERM, then SIGKILL.

        A process that is just being started again is ended, too.
        """
        self.keeps_running = False
        if self._supervisor is None:
            return
        if grace_s is not None:
            self.signal(SIGTERM)
            await wait([self._supervisor], timeout=grace_s)
        async with timeout(STOP_TIMEOUT_S):
            while not self._supervisor.done():
                self.kill()
                await wait([self._supervisor], timeout=KILL_PERIOD_S)
        code = self.proc.returncode if self.proc is not None else None
        self.record.write('node-stopped', node=self.name, rc=code)

    def kill(self) -> None:
        """End the process at once."""
        if self.proc is not None and self.proc.returncode is None:
            with suppress(ProcessLookupError):
                self.proc.send_signal(SIGKILL)


@define(kw_only=True, eq=False)
class Fleet:
    """A store and nodes; each node has a loopback address of its own."""

    record: Record
    store: Store = Factory(lambda: Store(page_size=500))
    nodes: list[Node] = Factory(list)
    store_address: str = ''
    folder: Path = Factory(lambda: Path(mkdtemp(prefix='review-')))
    _runner: AppRunner | None = None

    async def start_store(self) -> None:
        """Serve the store."""
        host = '127.0.3.1'
        port = free_port(host)
        self._runner = AppRunner(
            self.store.app(), access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await TCPSite(self._runner, host, port).start()
        self.store_address = f'{host}:{port}'

    def put_config(
        self,
        version: int,
        routes: list[dict[str, Any]],
        services: list[str],
        **limits: int,
    ) -> None:
        """Write a version of the configuration, as the operator does."""
        self.store.put(
            'config',
            'main',
            {
                'version': version,
                'routes': routes,
                'services': [
                    {
                        'name': name,
                        'health_path': '/health',
                        'max_connections': 330,
                        'protocol': 'h1',
                        'tls': False,
                    }
                    for name in services
                ],
                'limits': {**LIMITS, **limits},
            },
        )

    def put_server(self, name: str, **fields: Any) -> None:
        """Write the entry of an upstream."""
        spec = {
            'zone': 'zone-a',
            'version': 1,
            'slots': 4,
            'state': 'ready',
            'warmup_left_ms': 0,
            'seq': 1,
            **fields,
        }
        self.store.put('servers', name, spec)
        self.record.write('entry', id=ascii(name), spec=ascii(spec)[:200])

    def remove_server(self, name: str) -> None:
        """Remove the entry of an upstream."""
        self.store.remove('servers', name)
        self.record.write('entry-removed', id=name)

    def add_nodes(self, count: int, **fields: Any) -> list[Node]:
        """Prepare nodes; the first ones are the seeds of all."""
        hosts = [
            f'127.0.1.{len(self.nodes) + number + 1}'
            for number in range(count)
        ]
        # Ports are the same on all machines.
        ports = [free_port(hosts[0]) for _ in range(4)]
        seeds = [f'{host}:{ports[2]}' for host in hosts[:3]]
        added = []
        for number, host in enumerate(hosts):
            name = f'front-zone-a-{number + 1}'
            settings = {
                'node': name,
                'role': 'gateway',
                'machine_class': 'front',
                'serves': ['front', 'control'],
                'ip': host,
                'zone': 'zone-a',
                'region': 'region-a',
                'zones': {'zone-a': 'region-a'},
                'listen': {
                    'front': f'{host}:{ports[0]}',
                    'readiness_address': f'{host}:{ports[1]}',
                    'control': f'{host}:{ports[2]}',
                },
                'internal_port_range': [ports[3], ports[3]],
                'seeds': seeds,
                'bootstrap': True,
                'in_fault_budget': False,
                'limits': {
                    'cpu_share': 0.86,
                    'cores': 1,
                    'memory_mb': MEMORY_MB,
                    'max_fds': 4100,
                    'link_mbps': 1000.0,
                    'disk_mb': 0,
                },
                'data_dir': None,
                'discovery': 'platform',
                'entry': 'vip',
                'heartbeat_ms': 1500,
                'contracts': list(CONTRACTS),
                'fault_tolerance': {'machines': 1, 'zones': 0, 'regions': 0},
                'bounds': BOUNDS,
                'platform': {
                    'address': self.store_address,
                    'form': 'objects',
                    'writes_per_s': 400,
                    'reads_per_s': 2000,
                    'history_s': 20,
                    'value_bytes': 1048576,
                    'min_ttl_ms': 1000,
                },
                **fields,
            }
            added.append(
                Node(
                    name=name,
                    settings=settings,
                    folder=self.folder,
                    record=self.record,
                )
            )
        self.nodes += added
        return added

    async def start_nodes(self) -> None:
        """Start all nodes and wait until they are ready."""
        for node in self.nodes:
            node.start()
        ready = await gather(*(node.wait_ready() for node in self.nodes))
        if not all(ready):
            raise CannotRunError('a node did not get ready')

    def record_failures(self) -> None:
        """Record why nodes have ended, by their logs, once for each reason."""
        reasons = set()
        for node in self.nodes:
            log = node.folder / f'{node.name}.log'
            for line in log.read_text().splitlines() if log.exists() else ():
                with suppress(ValueError, TypeError, KeyError):
                    event = decode_json(line)
                    if event['name'] == 'task-failed':
                        reasons.add((event['service'], event['error']))
        for service, error in sorted(reasons):
            self.record.write(
                'node-log-task-failed', service=service, error=ascii(error)
            )

    async def close(self) -> None:
        """End all processes and remove the temporary folder."""
        await gather(*(node.stop() for node in self.nodes))
        self.record_failures()
        if self._runner is not None:
            self.store.fault = ''
            self.store.wake_watches()
            await self._runner.cleanup()
        rmtree(self.folder, ignore_errors=True)


def route(
    name: str, host: str, prefix: str, service: str, kind: str, **fields: Any
) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': host,
        'path_prefix': prefix,
        'route_type': kind,
        'timeout_ms': 2500,
        'target_latency_ms': 600,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        **fields,
    }
