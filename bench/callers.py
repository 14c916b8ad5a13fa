"""Callers that send requests and keep account of what they were told."""

from __future__ import annotations

from asyncio import CancelledError, create_task, sleep
from collections import Counter
from time import monotonic
from typing import TYPE_CHECKING

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from attrs import Factory, define

if TYPE_CHECKING:
    from random import Random

    from bench.cluster import Cluster

RESENDS = 12
RESEND_PAUSE_S = 0.5


@define(kw_only=True)
class Account:
    """What callers were told, by kind, and what was wrong about it."""

    told: Counter[tuple[str, str]] = Factory(Counter)
    answered_keys: set[str] = Factory(set)
    not_run_keys: set[str] = Factory(set)
    unknown_keys: set[str] = Factory(set)
    wrong: list[str] = Factory(list)
    lost: list[str] = Factory(list)
    latency_s: dict[str, list[float]] = Factory(dict)

    def share(self, kind: str, what: str) -> float:
        """Return the share of a kind's requests that were told `what`."""
        total = sum(n for (k, _), n in self.told.items() if k == kind)
        return self.told[(kind, what)] / total if total else 0.0


class Callers:
    """Sends lookups and unsafe requests through any node."""

    def __init__(self, *, cluster: Cluster, rng: Random) -> None:
        self.cluster = cluster
        self.rng = rng
        self.account = Account()
        self.numbers = 0
        self.session = ClientSession(
            connector=TCPConnector(limit=0),
            timeout=ClientTimeout(total=8),
        )

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    def entry(self) -> str:
        """Return a node, as the balancer would: one that is ready."""
        ready = [
            proc.url
            for proc in self.cluster.nodes.values()
            if proc.ready and proc.process.returncode is None
        ]
        return self.rng.choice(ready)

    async def lookup(self, path: str) -> str:
        """Send an idempotent request and check that the answer is ours."""
        began_s = monotonic()
        caller = f'caller{self.rng.randrange(1000)}'
        what = 'connection lost'
        try:
            async with self.session.get(
                self.entry() + path, headers={'X-Caller': caller}
            ) as resp:
                text = await resp.text()
                what = self._read(resp.status, resp.headers)
                if what == 'answered' and not text.endswith(caller):
                    self.account.wrong.append(f'{caller} got {text!r}')
        except (TimeoutError, ClientError, OSError) as exc:
            what = 'connection lost'
            self.account.lost.append(repr(exc))
        self._took('lookup', monotonic() - began_s, what)
        return what

    async def unsafe(self, path: str) -> str:
        """Send an unsafe request and resend it until there is an answer."""
        self.numbers += 1
        key = f'key-{self.numbers}-{self.rng.randrange(1 << 30)}'
        what = ''
        began_s = monotonic()
        for attempt in range(RESENDS):
            if attempt:
                await sleep(RESEND_PAUSE_S)
            what = await self.unsafe_once(path, key)
            if what in ('answered', 'unknown'):
                break
        self._took('unsafe', monotonic() - began_s, what)
        account = self.account
        if what == 'answered':
            account.answered_keys.add(key)
        elif what == 'not-run':
            account.not_run_keys.add(key)
        else:
            account.unknown_keys.add(key)
        return what

    async def unsafe_once(self, path: str, key: str) -> str:
        """Send one attempt of an unsafe request."""
        try:
            async with self.session.post(
                self.entry() + path,
                data=key,
                headers={'Idempotency-Key': key},
            ) as resp:
                text = await resp.text()
                what = self._read(resp.status, resp.headers)
                if what == 'answered' and key not in text:
                    self.account.wrong.append(f'{key} got {text!r}')
                return what
        except (TimeoutError, ClientError, OSError):
            return 'connection lost'

    async def load(self, path: str, *, unsafe: bool, rate: float) -> None:
        """Send requests at a rate until cancelled."""
        tasks = set()
        try:
            while True:
                func = self.unsafe if unsafe else self.lookup
                task = create_task(func(path))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await sleep(self.rng.expovariate(rate))
        except CancelledError:
            for task in list(tasks):
                await task
            raise

    async def check(self) -> list[str]:
        """Return every promise that was broken."""
        runs = await self.cluster.run_counts()
        account = self.account
        wrong = list(account.wrong)
        wrong += [
            f'{key} ran {count} times'
            for key, count in runs.items()
            if key.startswith('key-') and count > 1
        ]
        wrong += [
            f'{key} ran, but "not run" was told'
            for key in account.not_run_keys
            if runs.get(key)
        ]
        wrong += [
            f'{key} was answered, but never ran'
            for key in account.answered_keys
            if not runs.get(key) and self._all_targets_live()
        ]
        return wrong

    def _all_targets_live(self) -> bool:
        return all(
            proc.process.returncode is None
            for proc in self.cluster.targets.values()
        )

    def _read(self, status: int, headers: object) -> str:
        outcome = headers.get('Carawaylane-Outcome')
        if outcome == 'unknown' and 'Retry-After' in headers:
            return 'unknown yet'
        if outcome is not None:
            return outcome
        return 'answered' if status < 500 else f'status {status}'

    def _took(self, kind: str, took_s: float, what: str) -> None:
        self.account.told[(kind, what)] += 1
        if what == 'answered':
            self.account.latency_s.setdefault(kind, []).append(took_s)
