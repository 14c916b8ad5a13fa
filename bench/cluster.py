"""A small fleet of real processes on loopback, with its stand-ins."""

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
POLL_S = 0.05
# Of the end of a log, in an error.
LOG_CHARS = 4000


class NotServingError(RuntimeError):
    """A process ended, or did not serve in time, while starting."""


@define(kw_only=True)
class Proc:
    """A process that we started."""

    name: str
    process: Process
    port: int
    admin: int = 0
    ready: bool = False
    argv: list[str] = Factory(list)

    @property
    def url(self) -> str:
        """Where it serves."""
        return f'http://127.0.0.1:{self.port}'

    def signal(self, number: int) -> None:
        """Send it a signal."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Return its exit code."""
        return await self.process.wait()


class Cluster:
    """Starts and ends processes, and calls them over HTTP."""

    def __init__(self) -> None:
        self.platform: Proc | None = None
        self.nodes: dict[str, Proc] = {}
        self.targets: dict[str, Proc] = {}
        self.logs = Path(mkdtemp(prefix='carawaylane-'))
        self.session: ClientSession | None = None

    async def __aenter__(self) -> Cluster:
        """Start the platform's stand-in."""
        self.session = ClientSession(timeout=ClientTimeout(total=15))
        port = free_port()
        argv = ['-m', 'standins.platform', '--port', str(port)]
        self.platform = await self._start('platform', argv, port)
        await self.serving(self.platform, f'{self.platform.url}/control')
        return self

    async def __aexit__(self, *exc: object) -> None:
        """End every process."""
        procs = [*self.nodes.values(), *self.targets.values(), self.platform]
        for proc in procs:
            if proc is not None and proc.process.returncode is None:
                proc.process.send_signal(SIGKILL)
                await proc.wait()
        await self.session.close()

    async def add_target(self, name: str, *flags: str) -> Proc:
        """Start a target's stand-in."""
        port = free_port()
        argv = ['-m', 'standins.target', '--name', name]
        argv += ['--port', str(port), *flags]
        proc = await self._start(name, argv, port)
        self.targets[name] = proc
        await self.serving(proc, f'{proc.url}/control')
        return proc

    async def add_node(self, name: str, data_centre: str, *flags: str) -> Proc:
        """Start a node and wait until it is ready."""
        port, rpc, admin = free_port(), free_port(), free_port()
        argv = ['-m', 'carawaylane.daemon', '--name', name]
        argv += ['--data-centre', data_centre]
        argv += ['--listen', f'127.0.0.1:{port}']
        argv += ['--rpc', f'127.0.0.1:{rpc}']
        argv += ['--admin', f'127.0.0.1:{admin}']
        argv += ['--platform', self.platform.url]
        argv += ['--drain-grace-ms', '300', '--test-faults', 'true', *flags]
        proc = await self._start(name, argv, port)
        proc.admin = admin
        self.nodes[name] = proc
        await self.serving(proc, f'{self.admin_url(name)}/ready')
        proc.ready = True
        return proc

    def admin_url(self, name: str) -> str:
        """Return where a node's administration API is."""
        return f'http://127.0.0.1:{self.nodes[name].admin}'

    def seeds(self) -> str:
        """Return the rpc addresses of the nodes, as a setting."""
        return ','.join(
            proc.argv[proc.argv.index('--rpc') + 1]
            for proc in self.nodes.values()
        )

    async def status(self, name: str) -> dict[str, Any]:
        """Return what a node tells of itself."""
        return await self.get(f'{self.admin_url(name)}/status')

    async def control(self, proc: Proc, **row: Any) -> dict[str, Any]:
        """Set the faults of a stand-in, or just return its counts."""
        async with self.session.post(f'{proc.url}/control', json=row) as resp:
            return await resp.json()

    async def cut(
        self, name: str, *, to: list[str] = (), come: list[str] = ()
    ) -> None:
        """Cut the ways from a node to others, and from others to it."""
        row = {'cut_to': list(to), 'cut_from': list(come)}
        url = f'{self.admin_url(name)}/faults'
        async with self.session.post(url, json=row) as resp:
            resp.raise_for_status()

    async def get(self, url: str) -> Any:
        """Return a JSON page, or None if there is none."""
        try:
            limit = ClientTimeout(total=2)
            async with self.session.get(url, timeout=limit) as resp:
                return await resp.json() if resp.status == 200 else None
        except (TimeoutError, ClientError, OSError):
            return None

    async def until(self, func: Any, limit_s: float = START_TIMEOUT_S) -> Any:
        """Return the first truthy reply of an awaitable function."""
        async with timeout(limit_s):
            while True:
                found = await func()
                if found:
                    return found
                await sleep(POLL_S)

    async def serving(self, proc: Proc, url: str) -> None:
        """Wait until a process answers; tell why if it doesn't."""

        async def up() -> bool:
            return proc.process.returncode is not None or await self.get(url)

        try:
            await self.until(up)
        except TimeoutError as exc:
            raise NotServingError(self._why(proc)) from exc
        if proc.process.returncode is not None:
            raise NotServingError(self._why(proc))

    def _why(self, proc: Proc) -> str:
        log = (self.logs / f'{proc.name}.log').read_text(errors='replace')
        code = proc.process.returncode
        return f'{proc.name}: exit code {code}, log:\n{log[-LOG_CHARS:]}'

    async def in_force(self, seq: int) -> None:
        """Wait until every node has a version of the configuration."""
        for name, proc in list(self.nodes.items()):
            if proc.process.returncode is not None:
                continue

            async def reached(name: str = name) -> bool:
                row = await self.status(name)
                return bool(row) and row['config_seq'] >= seq

            await self.until(reached)

    async def owned(self, count: int) -> None:
        """Wait until so many shards have a proven owner."""

        async def enough() -> bool:
            return len(await self.owners()) >= count

        await self.until(enough)

    async def owners(self) -> dict[tuple[str, int], str]:
        """Return the live, proven owner of each shard."""
        found: dict[tuple[str, int], str] = {}
        for name, proc in self.nodes.items():
            if proc.process.returncode is not None:
                continue
            row = await self.status(name)
            for shard in row['shards'] if row else ():
                if shard['owned'] and shard['proven']:
                    found[tuple(shard['shard'])] = name
        return found

    async def runs(self) -> dict[str, int]:
        """Return how often each key was started by any live target."""
        total: dict[str, int] = {}
        for proc in self.targets.values():
            if proc.process.returncode is not None:
                continue
            row = await self.control(proc)
            for key, count in row['started'].items():
                total[key] = total.get(key, 0) + count
        return total

    async def stop(self, proc: Proc) -> int:
        """Stop a process as planned; return its exit code."""
        proc.signal(SIGTERM)
        async with timeout(STOP_TIMEOUT_S):
            return await proc.wait()

    async def _start(self, name: str, argv: list[str], port: int) -> Proc:
        log = (self.logs / f'{name}.log').open('ab')
        process = await create_subprocess_exec(
            sys.executable, *argv, stdout=DEVNULL, stderr=log
        )
        log.close()
        return Proc(name=name, process=process, port=port, argv=argv)
