"""Sends requests as callers do and checks the answers against the promises.

The promises: an answer belongs to its request, an unsafe request runs at most
once, and one that was reported as not run never runs.
"""

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

# Attempts of one unsafe request, and the pause between two of them.
MAX_ATTEMPTS = 12
RETRY_DELAY_S = 0.5


@define(kw_only=True)
class CallerTotals:
    """Outcomes reported to callers, and violations of the promises.

    Outcomes are counted by kind of request (`lookup` or `unsafe`) and name.
    Latencies are those of answered requests; for an unsafe request, from the
    first attempt to the answer.
    """

    outcomes: Counter[tuple[str, str]] = Factory(Counter)
    answered_keys: set[str] = Factory(set)
    not_run_keys: set[str] = Factory(set)
    unknown_keys: set[str] = Factory(set)
    violations: list[str] = Factory(list)
    connection_errors: list[str] = Factory(list)
    latencies_s: dict[str, list[float]] = Factory(dict)

    def outcome_share(self, kind: str, outcome: str) -> float:
        """Return the share of a kind's requests that had an outcome."""
        total = sum(
            count
            for (counted_kind, _), count in self.outcomes.items()
            if counted_kind == kind
        )
        return self.outcomes[(kind, outcome)] / total if total else 0.0


class Callers:
    """Sends lookups and unsafe requests through any node."""

    def __init__(self, *, cluster: Cluster, rng: Random) -> None:
        self.cluster = cluster
        self.rng = rng
        self.totals = CallerTotals()
        self.unsafe_count = 0
        self.session = ClientSession(
            connector=TCPConnector(limit=0),
            timeout=ClientTimeout(total=8),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    def pick_entry_url(self) -> str:
        """Return the URL of a random ready node, as a load balancer would."""
        ready_urls = [
            proc.url
            for proc in self.cluster.nodes.values()
            if proc.ready and proc.process.returncode is None
        ]
        return self.rng.choice(ready_urls)

    async def send_lookup(self, path: str) -> str:
        """Send an idempotent request and check that the answer belongs to it.

        Stand-in targets end their answer with the name of the caller.
        """
        start_s = monotonic()
        caller = f'caller{self.rng.randrange(1000)}'
        outcome = 'connection lost'
        try:
            async with self.session.get(
                self.pick_entry_url() + path, headers={'X-Caller': caller}
            ) as resp:
                text = await resp.text()
                outcome = self._outcome_of(resp.status, resp.headers)
                if outcome == 'answered' and not text.endswith(caller):
                    self.totals.violations.append(f'{caller} got {text!r}')
        except (TimeoutError, ClientError, OSError) as exc:
            outcome = 'connection lost'
            self.totals.connection_errors.append(repr(exc))
        self._record('lookup', monotonic() - start_s, outcome)
        return outcome

    async def send_unsafe(self, path: str) -> str:
        """Send an unsafe request and retry it until its outcome is final.

        The outcomes `answered` and `unknown` are final. Gives up after
        MAX_ATTEMPTS.
        """
        self.unsafe_count += 1
        key = f'key-{self.unsafe_count}-{self.rng.randrange(1 << 30)}'
        outcome = ''
        start_s = monotonic()
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await sleep(RETRY_DELAY_S)
            outcome = await self.send_unsafe_once(path, key)
            if outcome in ('answered', 'unknown'):
                break
        self._record('unsafe', monotonic() - start_s, outcome)
        totals = self.totals
        if outcome == 'answered':
            totals.answered_keys.add(key)
        elif outcome == 'not-run':
            totals.not_run_keys.add(key)
        else:
            totals.unknown_keys.add(key)
        return outcome

    async def send_unsafe_once(self, path: str, key: str) -> str:
        """Send an unsafe request once, without a retry; return its outcome."""
        try:
            async with self.session.post(
                self.pick_entry_url() + path,
                data=key,
                headers={'Idempotency-Key': key},
            ) as resp:
                text = await resp.text()
                outcome = self._outcome_of(resp.status, resp.headers)
                if outcome == 'answered' and key not in text:
                    self.totals.violations.append(f'{key} got {text!r}')
                return outcome
        except (TimeoutError, ClientError, OSError):
            return 'connection lost'

    async def send_at_rate(
        self, path: str, *, unsafe: bool, rate: float
    ) -> None:
        """Send `rate` requests per second, on average, until cancelled.

        Intervals are exponentially distributed. On cancellation, waits for
        the requests that are in flight.
        """
        tasks = set()
        try:
            while True:
                send = self.send_unsafe if unsafe else self.send_lookup
                task = create_task(send(path))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await sleep(self.rng.expovariate(rate))
        except CancelledError:
            for task in list(tasks):
                await task
            raise

    async def find_violations(self) -> list[str]:
        """Return a line for each violation of the promises."""
        run_counts = await self.cluster.run_counts()
        totals = self.totals
        violations = list(totals.violations)
        violations += [
            f'{key} ran {count} times'
            for key, count in run_counts.items()
            if key.startswith('key-') and count > 1
        ]
        violations += [
            f'{key} ran, but the caller got "not-run"'
            for key in totals.not_run_keys
            if run_counts.get(key)
        ]
        violations += [
            f'{key} was answered, but no target ran it'
            for key in totals.answered_keys
            # Run counts of a target are lost when it exits.
            if not run_counts.get(key) and self._all_targets_alive()
        ]
        return violations

    def _all_targets_alive(self) -> bool:
        return all(
            proc.process.returncode is None
            for proc in self.cluster.targets.values()
        )

    def _outcome_of(self, status: int, headers: object) -> str:
        outcome = headers.get('Carawaylane-Outcome')
        # With Retry-After, a later attempt may still learn the outcome.
        if outcome == 'unknown' and 'Retry-After' in headers:
            return 'unknown, retry'
        if outcome is not None:
            return outcome
        return 'answered' if status < 500 else f'status {status}'

    def _record(self, kind: str, latency_s: float, outcome: str) -> None:
        self.totals.outcomes[(kind, outcome)] += 1
        if outcome == 'answered':
            self.totals.latencies_s.setdefault(kind, []).append(latency_s)
