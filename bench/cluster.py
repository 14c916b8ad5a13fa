"""Runs nodes, stand-in targets and a stand-in platform as processes.

All of them listen on the loopback address.
"""

from __future__ import annotations

import sys
from asyncio import create_subprocess_exec, sleep, timeout
from asyncio.subprocess import Process
from pathlib import Path
from signal import SIGKILL, SIGTERM
from subprocess import DEVNULL
from tempfile import mkdtemp
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout
from attrs import Factory, define

from bench.ports import free_port

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05
# Length of the end of a log that is quoted in an error.
LOG_TAIL_CHARS = 4000


class StartError(RuntimeError):
    """A process exited, or did not answer in time, while it started."""


@define(kw_only=True)
class ManagedProcess:
    """A child process and the ports on which it serves.

    `admin_port` and `ready` are set for nodes only; `ready` becomes true when
    the node has passed its readiness check. `argv` are the arguments of the
    Python interpreter.
    """

    name: str
    process: Process
    port: int
    admin_port: int = 0
    ready: bool = False
    argv: list[str] = Factory(list)

    @property
    def url(self) -> str:
        """Return the base URL on which the process serves."""
        return f'http://127.0.0.1:{self.port}'

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has exited."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process exits and return its exit code."""
        return await self.process.wait()


class Cluster:
    """Starts and stops the processes of a fleet and calls them over HTTP.

    `log_dir` holds one log file for each process.
    """

    def __init__(self) -> None:
        self.platform: ManagedProcess | None = None
        self.nodes: dict[str, ManagedProcess] = {}
        self.targets: dict[str, ManagedProcess] = {}
        self.log_dir = Path(mkdtemp(prefix='carawaylane-'))
        self.session: ClientSession | None = None

    async def __aenter__(self) -> Cluster:
        """Start the stand-in of the platform."""
        self.session = ClientSession(timeout=ClientTimeout(total=15))
        port = free_port()
        argv = ['-m', 'standins.platform', '--port', str(port)]
        self.platform = await self._start('platform', argv, port)
        await self.wait_until_serving(
            self.platform, f'{self.platform.url}/control'
        )
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Kill every process that still runs."""
        procs = [*self.nodes.values(), *self.targets.values(), self.platform]
        for proc in procs:
            if proc is not None and proc.process.returncode is None:
                proc.process.send_signal(SIGKILL)
                await proc.wait()
        await self.session.close()

    async def add_target(self, name: str, *flags: str) -> ManagedProcess:
        """Start a stand-in target and wait until it answers."""
        port = free_port()
        argv = ['-m', 'standins.target', '--name', name]
        argv += ['--port', str(port), *flags]
        proc = await self._start(name, argv, port)
        self.targets[name] = proc
        await self.wait_until_serving(proc, f'{proc.url}/control')
        return proc

    async def add_node(
        self, name: str, data_centre: str, *flags: str
    ) -> ManagedProcess:
        """Start a node and wait until it is ready."""
        port, rpc_port, admin_port = free_port(), free_port(), free_port()
        argv = ['-m', 'carawaylane.daemon', '--name', name]
        argv += ['--data-centre', data_centre]
        argv += ['--listen', f'127.0.0.1:{port}']
        argv += ['--rpc', f'127.0.0.1:{rpc_port}']
        argv += ['--admin', f'127.0.0.1:{admin_port}']
        argv += ['--platform', self.platform.url]
        # A grace below the default of 2000 ms keeps planned stops short; test
        # faults let drop_traffic work.
        argv += ['--drain-grace-ms', '300', '--test-faults', 'true', *flags]
        proc = await self._start(name, argv, port)
        proc.admin_port = admin_port
        self.nodes[name] = proc
        await self.wait_until_serving(proc, f'{self.admin_url(name)}/ready')
        proc.ready = True
        return proc

    def admin_url(self, name: str) -> str:
        """Return the base URL of a node's administration API."""
        return f'http://127.0.0.1:{self.nodes[name].admin_port}'

    def seed_addresses(self) -> str:
        """Return the RPC addresses of all nodes as a value of --seeds."""
        return ','.join(
            proc.argv[proc.argv.index('--rpc') + 1]
            for proc in self.nodes.values()
        )

    async def status(self, name: str) -> dict[str, Any]:
        """Return the parsed status page of a node; None without an answer."""
        return await self.get_json(f'{self.admin_url(name)}/status')

    async def control(
        self, proc: ManagedProcess, **settings: Any
    ) -> dict[str, Any]:
        """Change the given settings of a stand-in and return its counters.

        The setting `faults` injects faults; each stand-in documents its own.
        """
        async with self.session.post(
            f'{proc.url}/control', json=settings
        ) as resp:
            return await resp.json()

    async def drop_traffic(
        self,
        name: str,
        *,
        to_nodes: list[str] = (),
        from_nodes: list[str] = (),
    ) -> None:
        """Drop the RPC messages of a node to, and from, the given nodes.

        Replaces what was dropped before; without nodes, nothing is dropped
        any more.
        """
        rules = {'cut_to': list(to_nodes), 'cut_from': list(from_nodes)}
        url = f'{self.admin_url(name)}/faults'
        async with self.session.post(url, json=rules) as resp:
            resp.raise_for_status()

    async def get_json(self, url: str) -> Any:
        """Return the JSON body of a 200 answer; None in any other case."""
        try:
            request_timeout = ClientTimeout(total=2)
            async with self.session.get(url, timeout=request_timeout) as resp:
                return await resp.json() if resp.status == 200 else None
        except (TimeoutError, ClientError, OSError):
            return None

    async def wait_until(
        self, condition: Any, limit_s: float = START_TIMEOUT_S
    ) -> Any:
        """Poll an async function and return its first truthy value.

        Raises TimeoutError if there is none within `limit_s`.
        """
        async with timeout(limit_s):
            while True:
                value = await condition()
                if value:
                    return value
                await sleep(POLL_INTERVAL_S)

    async def wait_until_serving(self, proc: ManagedProcess, url: str) -> None:
        """Wait until a process answers a URL; raise StartError if not."""

        async def answered_or_exited() -> bool:
            return proc.process.returncode is not None or await self.get_json(
                url
            )

        try:
            await self.wait_until(answered_or_exited)
        except TimeoutError as exc:
            raise StartError(self._start_failure(proc)) from exc
        if proc.process.returncode is not None:
            raise StartError(self._start_failure(proc))

    def _start_failure(self, proc: ManagedProcess) -> str:
        log = (self.log_dir / f'{proc.name}.log').read_text(errors='replace')
        code = proc.process.returncode
        return f'{proc.name}: exit code {code}, log:\n{log[-LOG_TAIL_CHARS:]}'

    async def wait_for_config(self, seq: int) -> None:
        """Wait until every live node has the configuration `seq` or newer."""
        for name, proc in list(self.nodes.items()):
            if proc.process.returncode is not None:
                continue

            async def has_version(name: str = name) -> bool:
                status = await self.status(name)
                return bool(status) and status['config_seq'] >= seq

            await self.wait_until(has_version)

    async def wait_for_owners(self, count: int) -> None:
        """Wait until at least `count` shards have a proven owner."""

        async def enough_owners() -> bool:
            return len(await self.owners()) >= count

        await self.wait_until(enough_owners)

    async def owners(self) -> dict[tuple[str, int], str]:
        """Return the node that owns each shard, if it is live and proven.

        An owner is proven once it can tell for every key whether it is new.
        """
        owner_by_shard: dict[tuple[str, int], str] = {}
        for name, proc in self.nodes.items():
            if proc.process.returncode is not None:
                continue
            status = await self.status(name)
            for shard in status['shards'] if status else ():
                if shard['owned'] and shard['proven']:
                    owner_by_shard[tuple(shard['shard'])] = name
        return owner_by_shard

    async def run_counts(self) -> dict[str, int]:
        """Return how often the live targets started each key, in total."""
        run_counts: dict[str, int] = {}
        for proc in self.targets.values():
            if proc.process.returncode is not None:
                continue
            counters = await self.control(proc)
            for key, count in counters['started'].items():
                run_counts[key] = run_counts.get(key, 0) + count
        return run_counts

    async def stop(self, proc: ManagedProcess) -> int:
        """Stop a process with SIGTERM and return its exit code.

        Raises TimeoutError if it has not exited after STOP_TIMEOUT_S.
        """
        proc.signal(SIGTERM)
        async with timeout(STOP_TIMEOUT_S):
            return await proc.wait()

    async def _start(
        self, name: str, argv: list[str], port: int
    ) -> ManagedProcess:
        log = (self.log_dir / f'{name}.log').open('ab')
        process = await create_subprocess_exec(
            sys.executable, *argv, stdout=DEVNULL, stderr=log
        )
        log.close()
        return ManagedProcess(name=name, process=process, port=port, argv=argv)
