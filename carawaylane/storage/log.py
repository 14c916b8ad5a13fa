"""A sequence of changes kept as objects of the platform.

Change n is the object `LOG/changes/n`, created on the condition that there
is none. So racing writers get different places, and a writer whose answer
was lost finds out by its nonce whether it won.
"""

from __future__ import annotations

from dataclasses import dataclass
from json import dumps, loads
from typing import Any

from attrs import frozen

from carawaylane.decisions.changelog import Batch, Change
from carawaylane.storage.driver import (
    PlatformDriver,
    Unavailable,
    VersionConflict,
    VersionedObject,
)

SEQ_DIGITS = 12
# A part of a snapshot stays below the largest value of the object API.
PART_CHARS = 700_000
# Attempts to learn whether a write whose answer was lost took effect.
CONFIRM_TRIES = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class Appended:
    """The change has its place."""

    change: Change


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendConflict:
    """Another writer has the place; `winner` is its change."""

    winner: Change


AppendOutcome = Appended | AppendConflict | Unavailable


@frozen(kw_only=True)
class LogStore:
    """One log on the platform."""

    driver: PlatformDriver
    name: str

    async def append(
        self, *, seq: int, body: dict[str, Any], nonce: str
    ) -> AppendOutcome:
        """Try to give a change the place `seq`."""
        value = {**body, 'nonce': nonce}
        key = self._key(seq)
        found = await self.driver.put(key, value, if_version=0)
        for _ in range(CONFIRM_TRIES):
            if not isinstance(found, Unavailable):
                break
            found = await self._confirm(key)
        if isinstance(found, Unavailable):
            return found
        if isinstance(found, VersionConflict):
            found = found.current
        change = Change(seq=seq, body=found.value)
        if found.value.get('nonce') == nonce:
            return Appended(change=change)
        return AppendConflict(winner=change)

    async def load(self, after: int) -> Batch | Unavailable:
        """Return everything after a place, with a snapshot if needed."""
        snapshot: dict[str, Any] | None = None
        snapshot_seq = 0
        head = await self.driver.get(f'{self.name}/snapshot')
        if isinstance(head, Unavailable):
            return head
        if head.version and head.value['seq'] > after:
            parts = await self._parts(head.value)
            if isinstance(parts, Unavailable):
                return parts
            snapshot = loads(parts)
            snapshot_seq = head.value['seq']
        rows = await self.driver.list_objects(
            self._prefix, after=self._key(max(after, snapshot_seq))
        )
        if isinstance(rows, Unavailable):
            return rows
        return Batch(
            log=self.name,
            changes=_changes(rows),
            snapshot=snapshot,
            snapshot_seq=snapshot_seq,
        )

    async def watch(self, after: int, timeout_s: float) -> Batch | Unavailable:
        """Wait for changes after a place."""
        rows = await self.driver.watch(
            self._prefix, after=self._key(after), timeout_s=timeout_s
        )
        if isinstance(rows, Unavailable):
            return rows
        return Batch(log=self.name, changes=_changes(rows))

    async def compact(
        self, *, seq: int, state: dict[str, Any], keep_changes: int
    ) -> bool:
        """Write a snapshot of place `seq` and drop older changes."""
        head = await self.driver.get(f'{self.name}/snapshot')
        if isinstance(head, Unavailable):
            return False
        if head.version and head.value['seq'] >= seq:
            return False
        text = dumps(state)
        count = -(-len(text) // PART_CHARS)
        for part in range(count):
            piece = text[part * PART_CHARS : (part + 1) * PART_CHARS]
            done = await self.driver.put(
                self._part(seq, part), {'text': piece}, if_version=0
            )
            if isinstance(done, Unavailable):
                return False
        done = await self.driver.put(
            f'{self.name}/snapshot',
            {'seq': seq, 'parts': count},
            if_version=head.version,
        )
        if not isinstance(done, VersionedObject):
            return False
        await self._drop(seq - keep_changes, head)
        return True

    @property
    def _prefix(self) -> str:
        return f'{self.name}/changes/'

    def _key(self, seq: int) -> str:
        return f'{self._prefix}{seq:0{SEQ_DIGITS}d}'

    def _part(self, seq: int, part: int) -> str:
        return f'{self.name}/snapshots/{seq:0{SEQ_DIGITS}d}/{part}'

    async def _confirm(self, key: str) -> VersionedObject | Unavailable:
        found = await self.driver.get(key)
        if isinstance(found, VersionedObject) and not found.version:
            return Unavailable(reason='the write did not take effect')
        return found

    async def _parts(self, head: dict[str, Any]) -> str | Unavailable:
        texts: list[str] = []
        for part in range(head['parts']):
            found = await self.driver.get(self._part(head['seq'], part))
            if isinstance(found, Unavailable):
                return found
            if not found.version:
                return Unavailable(reason='the snapshot was replaced')
            texts.append(found.value['text'])
        return ''.join(texts)

    async def _drop(self, until: int, old_head: VersionedObject) -> None:
        rows = await self.driver.list_objects(self._prefix, after=self._key(0))
        if isinstance(rows, Unavailable):
            return
        for row in rows:
            if _seq(row.key) <= until:
                await self.driver.delete(row.key)
        if old_head.version:
            for part in range(old_head.value['parts']):
                await self.driver.delete(
                    self._part(old_head.value['seq'], part)
                )


def _changes(rows: list[VersionedObject]) -> tuple[Change, ...]:
    return tuple(Change(seq=_seq(row.key), body=row.value) for row in rows)


def _seq(key: str) -> int:
    return int(key.rpartition('/')[2])
