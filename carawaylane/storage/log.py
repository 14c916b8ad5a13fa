"""An append-only log of changes, stored as objects of the platform.

Change n is the object `LOG/changes/n`. It is created on the condition that
it does not exist yet, so that only one of several concurrent writers gets
the sequence number n. A writer that got no answer reads the object back and
compares its nonce to learn whether its own write took effect.
"""

from __future__ import annotations

from dataclasses import dataclass
from json import dumps, loads
from typing import Any

from attrs import frozen

from carawaylane.decisions.ownership.changelog import Batch, Change
from carawaylane.storage.driver import (
    PlatformDriver,
    Unavailable,
    VersionConflict,
    VersionedObject,
)

# Sequence numbers in keys are padded with zeros, so that keys sort by them.
SEQ_DIGITS = 12
# Snapshots are split into parts below the largest value of the object API.
PART_CHARS = 700_000
# Attempts to read back a write whose answer was lost.
CONFIRM_ATTEMPTS = 3
# Of objects that another writer wrote.
MALFORMED_ERRORS = (
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Appended:
    """The change was written under its sequence number."""

    change: Change


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendConflict:
    """Another writer took the sequence number; `winner` is its change."""

    winner: Change


AppendOutcome = Appended | AppendConflict | Unavailable


@frozen(kw_only=True)
class LogStore:
    """The change log `name` on the platform."""

    driver: PlatformDriver
    name: str

    async def append(
        self, *, seq: int, body: dict[str, Any], nonce: str
    ) -> AppendOutcome:
        """Write a change under the sequence number `seq` if that is free."""
        value = {**body, 'nonce': nonce}
        key = self._change_key(seq)
        stored = await self.driver.put(key, value, if_version=0)
        for _ in range(CONFIRM_ATTEMPTS):
            if not isinstance(stored, Unavailable):
                break
            stored = await self._read_back(key)
        if isinstance(stored, Unavailable):
            return stored
        if isinstance(stored, VersionConflict):
            stored = stored.current
        change = Change(seq=seq, body=stored.value)
        if (
            isinstance(stored.value, dict)
            and stored.value.get('nonce') == nonce
        ):
            return Appended(change=change)
        return AppendConflict(winner=change)

    async def load(self, after: int) -> Batch | Unavailable:
        """Return the changes after a sequence number.

        The batch starts with the snapshot if that is newer than `after`.
        """
        snapshot: dict[str, Any] | None = None
        snapshot_seq = 0
        snapshot_head = await self.driver.get(f'{self.name}/snapshot')
        if isinstance(snapshot_head, Unavailable):
            return snapshot_head
        if _snapshot_seq(snapshot_head) > after:
            loaded = await self._read_snapshot(snapshot_head.value)
            if isinstance(loaded, Unavailable):
                return loaded
            snapshot = loaded
            snapshot_seq = _snapshot_seq(snapshot_head)
        objects = await self.driver.list_objects(
            self._changes_prefix,
            after=self._change_key(max(after, snapshot_seq)),
        )
        if isinstance(objects, Unavailable):
            return objects
        return Batch(
            log=self.name,
            changes=_parse_changes(objects),
            snapshot=snapshot,
            snapshot_seq=snapshot_seq,
        )

    async def watch(self, after: int, timeout_s: float) -> Batch | Unavailable:
        """Wait for changes after a sequence number."""
        objects = await self.driver.watch(
            self._changes_prefix,
            after=self._change_key(after),
            timeout_s=timeout_s,
        )
        if isinstance(objects, Unavailable):
            return objects
        return Batch(log=self.name, changes=_parse_changes(objects))

    async def compact(
        self, *, seq: int, state: dict[str, Any], keep_changes: int
    ) -> bool:
        """Write a snapshot of the state at `seq` and delete old changes.

        The last `keep_changes` changes up to `seq` remain. Return False if
        the platform is unavailable or another writer was faster.
        """
        snapshot_head = await self.driver.get(f'{self.name}/snapshot')
        if isinstance(snapshot_head, Unavailable):
            return False
        if _snapshot_seq(snapshot_head) >= seq:
            return False
        text = dumps(state)
        part_count = -(-len(text) // PART_CHARS)
        for part in range(part_count):
            part_text = text[part * PART_CHARS : (part + 1) * PART_CHARS]
            put_result = await self.driver.put(
                self._part_key(seq, part), {'text': part_text}, if_version=0
            )
            if isinstance(put_result, Unavailable):
                return False
        put_result = await self.driver.put(
            f'{self.name}/snapshot',
            {'seq': seq, 'parts': part_count},
            if_version=snapshot_head.version,
        )
        if not isinstance(put_result, VersionedObject):
            return False
        await self._delete_up_to(seq - keep_changes, snapshot_head)
        return True

    @property
    def _changes_prefix(self) -> str:
        return f'{self.name}/changes/'

    def _change_key(self, seq: int) -> str:
        return f'{self._changes_prefix}{seq:0{SEQ_DIGITS}d}'

    def _part_key(self, seq: int, part: int) -> str:
        return f'{self.name}/snapshots/{seq:0{SEQ_DIGITS}d}/{part}'

    async def _read_back(self, key: str) -> VersionedObject | Unavailable:
        stored = await self.driver.get(key)
        if isinstance(stored, VersionedObject) and not stored.version:
            return Unavailable(reason='the write did not take effect')
        return stored

    async def _read_snapshot(
        self, snapshot_head: dict[str, Any]
    ) -> dict[str, Any] | Unavailable:
        texts: list[str] = []
        try:
            for part in range(snapshot_head['parts']):
                stored = await self.driver.get(
                    self._part_key(snapshot_head['seq'], part)
                )
                if isinstance(stored, Unavailable):
                    return stored
                if not stored.version:
                    return Unavailable(reason='the snapshot was replaced')
                texts.append(stored.value['text'])
            return dict(loads(''.join(texts)))
        except MALFORMED_ERRORS as exc:
            reason = f'malformed snapshot: {type(exc).__name__}'
            return Unavailable(reason=reason)

    async def _delete_up_to(
        self, last_seq: int, old_snapshot_head: VersionedObject
    ) -> None:
        objects = await self.driver.list_objects(
            self._changes_prefix, after=self._change_key(0)
        )
        if isinstance(objects, Unavailable):
            return
        for stored in objects:
            seq = _seq_of_key(stored.key)
            if seq is not None and seq <= last_seq:
                await self.driver.delete(stored.key)
        old_seq = _snapshot_seq(old_snapshot_head)
        if old_seq:
            parts = old_snapshot_head.value.get('parts')
            for part in range(parts if isinstance(parts, int) else 0):
                await self.driver.delete(self._part_key(old_seq, part))


def _parse_changes(objects: list[VersionedObject]) -> tuple[Change, ...]:
    """Return the changes; another writer's keys may have no number."""
    return tuple(
        Change(seq=seq, body=stored.value)
        for stored in objects
        if (seq := _seq_of_key(stored.key)) is not None
    )


def _seq_of_key(key: str) -> int | None:
    digits = key.rpartition('/')[2]
    if not digits.isdecimal() or len(digits) != SEQ_DIGITS:
        return None
    return int(digits)


def _snapshot_seq(head: VersionedObject) -> int:
    """Return the sequence number of a snapshot, 0 if there is none."""
    value = head.value if head.version else None
    seq = value.get('seq') if isinstance(value, dict) else None
    return seq if type(seq) is int else 0
