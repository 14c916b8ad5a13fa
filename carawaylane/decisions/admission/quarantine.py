"""Quarantine of requests that crash the targets that run them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import Factory, define, frozen
from xxhash import xxh3_128_hexdigest

if TYPE_CHECKING:
    from collections.abc import Iterable

# A request is quarantined after this many distinct targets crashed on it.
MAX_VICTIMS = 2
# The same on the users' machines, whose rules allow as many.
ALLOWED_VICTIMS = 3
# Time after the last crash for which a request stays quarantined.
QUARANTINE_MS = 600_000
# The request with the oldest crash is dropped beyond this number, and the
# oldest victim of a request.
MAX_SUSPECTS = 4096
MAX_VICTIMS_KEPT = 16
NEVER_MS = -(2**62)


def request_digest(service: str, method: str, path: str, body: bytes) -> str:
    """Return a hash of a request that does not depend on its key."""
    head = f'{service}\n{method}\n{path}\n'.encode()
    return xxh3_128_hexdigest(head + body)


@frozen(kw_only=True, repr=False)
class CrashRecord:
    """What a node knows of a request that may crash targets.

    `victims` are the targets that crashed on it and when, `answered_ms` is
    when a target last answered it. Times are in ms of any one clock.
    """

    digest: str
    victims: tuple[tuple[str, int], ...]
    answered_ms: int = NEVER_MS


@define(kw_only=True, eq=False, repr=False)
class _Suspect:
    """When targets crashed on a request, and when one last answered it."""

    crashed_ms: dict[str, int] = Factory(dict)
    answered_ms: int = NEVER_MS

    def is_old(self, now_ms: int) -> bool:
        """Return whether what is known of the request no longer counts."""
        known_ms = max(self.answered_ms, *self.crashed_ms.values(), NEVER_MS)
        return known_ms + QUARANTINE_MS <= now_ms

    def add(self, target: str, crashed_ms: int) -> None:
        """Add a crash of a target, unless an answer followed it."""
        if crashed_ms > self.answered_ms:
            self.crashed_ms[target] = crashed_ms
            if len(self.crashed_ms) > MAX_VICTIMS_KEPT:
                del self.crashed_ms[next(iter(self.crashed_ms))]

    def clear_until(self, answered_ms: int) -> None:
        """Drop the crashes before an answer."""
        self.answered_ms = max(self.answered_ms, answered_ms)
        self.crashed_ms = {
            target: crashed_ms
            for target, crashed_ms in self.crashed_ms.items()
            if crashed_ms > self.answered_ms
        }


@define(kw_only=True, eq=False, repr=False)
class Quarantine:
    """Requests that were running on a target when it crashed, by digest.

    A request that a target has answered did not crash those before. Records
    of several nodes can be merged in any order, any number of times.
    """

    max_victims: int = MAX_VICTIMS
    suspects: OrderedDict[str, _Suspect] = Factory(OrderedDict)

    @classmethod
    def for_fleet(cls) -> Quarantine:
        """Return the quarantine of a node on the users' machines."""
        return cls(max_victims=ALLOWED_VICTIMS)

    def contains(self, digest: str, now_ms: int) -> bool:
        """Return whether the request is quarantined and must not run."""
        return self.count_victims(digest, now_ms) >= self.max_victims

    def count_victims(self, digest: str, now_ms: int) -> int:
        """Return how many targets crashed on a request."""
        self._expire(now_ms)
        suspect = self.suspects.get(digest)
        if suspect is None or suspect.is_old(now_ms):
            return 0
        return len(suspect.crashed_ms)

    def record_crash(self, digest: str, target: str, now_ms: int) -> bool:
        """Record a crash; return whether the request is now quarantined."""
        self._suspect(digest).add(target, now_ms)
        return self.contains(digest, now_ms)

    def record_answer(self, digest: str, now_ms: int) -> bool:
        """Record that a target answered; return if it was suspected."""
        suspect = self.suspects.get(digest)
        if suspect is None or not suspect.crashed_ms:
            return False
        suspect.clear_until(now_ms)
        return True

    def record_of(self, digest: str) -> CrashRecord | None:
        """Return what is known of a request."""
        suspect = self.suspects.get(digest)
        if suspect is None:
            return None
        return CrashRecord(
            digest=digest,
            victims=tuple(suspect.crashed_ms.items()),
            answered_ms=suspect.answered_ms,
        )

    def repeated(self, limit: int) -> list[CrashRecord]:
        """Return the last requests with more than one victim or an answer.

        Most requests with one victim were only there when it crashed.
        """
        records = []
        for digest, suspect in reversed(self.suspects.items()):
            record = self.record_of(digest)
            if record is not None and (
                len(suspect.crashed_ms) > 1 or suspect.answered_ms > NEVER_MS
            ):
                records.append(record)
            if len(records) == limit:
                break
        return records

    def merge(self, records: Iterable[CrashRecord], now_ms: int) -> None:
        """Add what other nodes know."""
        for record in records:
            if not record.victims and record.digest not in self.suspects:
                continue
            suspect = self._suspect(record.digest)
            suspect.clear_until(record.answered_ms)
            for target, crashed_ms in record.victims:
                # Ages grow on the way, so the first report is the best.
                if target not in suspect.crashed_ms:
                    suspect.add(target, crashed_ms)
        self._expire(now_ms)

    def _suspect(self, digest: str) -> _Suspect:
        """Return what is known of a request, the last in the order."""
        suspect = self.suspects.pop(digest, None) or _Suspect()
        self.suspects[digest] = suspect
        if len(self.suspects) > MAX_SUSPECTS:
            self.suspects.popitem(last=False)
        return suspect

    def _expire(self, now_ms: int) -> None:
        while self.suspects:
            digest, suspect = next(iter(self.suspects.items()))
            if not suspect.is_old(now_ms):
                return
            del self.suspects[digest]
