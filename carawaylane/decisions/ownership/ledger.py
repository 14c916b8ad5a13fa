"""Idempotency records of one shard: the keys that its owner has run.

Callers may resend a key within the resend window, so the ledger forgets none
before that window has passed. When it is full, it drops stored answers,
oldest first, and then refuses new keys.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from attrs import Factory, define, evolve, frozen

from carawaylane.messages.outcomes import Answered

if TYPE_CHECKING:
    from collections.abc import Iterable

# A refused key runs only for an attempt that an entry accepted this much
# later. The margin exceeds the clock difference between two hosts.
REFUSAL_MARGIN_MS = 250
# A refusal is reported to the caller as "not run" only for this long, so that
# no later attempt can have run by then. The rest of REFUSAL_MARGIN_MS covers
# the clock difference between two hosts.
REPORT_REFUSAL_WITHIN_MS = 150
# No request runs beyond the longest timeout: an older record in state RUNNING
# never gets an outcome.
MAX_RUN_MS = 120_000
# An attempt without a record that was accepted longer ago may be of a key that
# has run and been forgotten since.
MAX_ATTEMPT_AGE_MS = MAX_RUN_MS
# Estimated size of a record without its answer.
RECORD_OVERHEAD_BYTES = 400


class KeyState(Enum):
    """State of a key.

    UNKNOWN: it may have run. REFUSED: the recorded attempt did not run and a
    later one may.
    """

    RUNNING = 0
    ANSWERED = 1
    UNKNOWN = 2
    REFUSED = 3


@frozen(kw_only=True)
class Record:
    """State of one key and when it was set.

    `answer` is the first answer to the key, None if there is none or if it is
    not kept.
    """

    key: str
    state: KeyState
    at_ms: int
    answer: Answered | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """No attempt has run the key: run this one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Join:
    """An earlier attempt is running: wait for its outcome."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Replay:
    """The key has run: repeat its first answer."""

    answer: Answered


@dataclass(frozen=True, kw_only=True, slots=True)
class InDoubt:
    """The key may have run: it must not run again."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """This attempt does not run.

    `at_ms` is when the refusal of the key was recorded, 0 if no refusal is
    recorded.
    """

    reason: str
    at_ms: int = 0


Verdict = Run | Join | Replay | InDoubt | Refuse


@define(kw_only=True)
class Ledger:
    """Records of the keys of one shard within the resend window.

    `answered_keys` are the keys whose answer is stored. They and the records
    are kept in the order in which they were stored.
    """

    window_ms: int
    max_bytes: int
    records: OrderedDict[str, Record] = Factory(OrderedDict)
    answered_keys: OrderedDict[str, None] = Factory(OrderedDict)
    answer_bytes: int = 0

    def admit_attempt(
        self, *, key: str, accepted_ms: int, now_ms: int
    ) -> Verdict:
        """Decide whether an attempt runs; if so, record it as running."""
        self.expire_records(now_ms)
        record = self.records.get(key)
        if record is not None and self._is_in_window(record, accepted_ms):
            return self._decide_recorded(record, accepted_ms, now_ms)
        if now_ms - accepted_ms > MAX_ATTEMPT_AGE_MS:
            return InDoubt(reason='the attempt is older than the records')
        if self._is_full():
            return Refuse(reason='the record of keys is full')
        self._store(Record(key=key, state=KeyState.RUNNING, at_ms=now_ms))
        return Run()

    def is_decided(self, key: str, now_ms: int) -> bool:
        """Return whether the record of a key alone decides on an attempt.

        Without one, or after a refusal, another node may have run the key.
        """
        self.expire_records(now_ms)
        record = self.records.get(key)
        return (
            record is not None
            and self._is_in_window(record, now_ms)
            and record.state is not KeyState.REFUSED
        )

    def record_answer(
        self, key: str, answer: Answered | None, now_ms: int
    ) -> None:
        """Record that a key ran, with its answer unless that is None."""
        self._store(
            Record(
                key=key, state=KeyState.ANSWERED, at_ms=now_ms, answer=answer
            )
        )
        self._drop_answers()

    def mark_in_doubt(self, key: str, now_ms: int) -> None:
        """Record that a key may have run, so that it never runs again."""
        self._store(Record(key=key, state=KeyState.UNKNOWN, at_ms=now_ms))

    def record_refusal(self, key: str, now_ms: int) -> None:
        """Record that a key did not run.

        Attempts that were accepted before the refusal will not run either.
        """
        self._store(Record(key=key, state=KeyState.REFUSED, at_ms=now_ms))

    def merge_records(
        self, records: Iterable[Record], *, keep_running: bool = False
    ) -> None:
        """Merge records of an earlier owner or of entries.

        A key that is running elsewhere is in doubt here, unless
        `keep_running` says that its outcome will follow.
        """
        for record in records:
            if record.state is KeyState.RUNNING and not keep_running:
                record = evolve(record, state=KeyState.UNKNOWN)
            current = self.records.get(record.key)
            if current is None or _supersedes(record, current):
                self._store(record)
        self._drop_answers()

    def expire_records(self, now_ms: int) -> None:
        """Forget old keys, but none that runs.

        They are kept beyond the resend window, for attempts that were accepted
        within it and arrive late.
        """
        horizon_ms = now_ms - self.window_ms - MAX_ATTEMPT_AGE_MS
        while self.records:
            key, record = next(iter(self.records.items()))
            if record.at_ms > horizon_ms:
                return
            is_running = record.state is KeyState.RUNNING
            if is_running and record.at_ms > horizon_ms - MAX_RUN_MS:
                return
            self._remove(key)

    def _is_in_window(self, record: Record, at_ms: int) -> bool:
        """Return whether a record was in the resend window at a time."""
        max_age_ms = self.window_ms
        if record.state is KeyState.RUNNING:
            max_age_ms += MAX_RUN_MS
        return record.at_ms > at_ms - max_age_ms

    def _decide_recorded(
        self, record: Record, accepted_ms: int, now_ms: int
    ) -> Verdict:
        match record.state:
            case KeyState.RUNNING:
                return Join()
            case KeyState.ANSWERED if record.answer is not None:
                return Replay(answer=record.answer)
            case KeyState.ANSWERED:
                return InDoubt(reason='it ran; its answer is not kept')
            case KeyState.UNKNOWN:
                return InDoubt(reason='an earlier attempt may have run')
        if accepted_ms <= record.at_ms + REFUSAL_MARGIN_MS:
            return Refuse(
                reason='a later attempt was refused', at_ms=record.at_ms
            )
        self._store(
            Record(key=record.key, state=KeyState.RUNNING, at_ms=now_ms)
        )
        return Run()

    def _is_full(self) -> bool:
        return self._size_bytes() + RECORD_OVERHEAD_BYTES > self.max_bytes

    def _size_bytes(self) -> int:
        overhead = len(self.records) * RECORD_OVERHEAD_BYTES
        return overhead + self.answer_bytes

    def _store(self, record: Record) -> None:
        self._remove(record.key)
        self.records[record.key] = record
        if record.answer is not None:
            self.answered_keys[record.key] = None
            self.answer_bytes += _answer_bytes(record)

    def _remove(self, key: str) -> None:
        old = self.records.pop(key, None)
        if old is not None and old.answer is not None:
            del self.answered_keys[key]
            self.answer_bytes -= _answer_bytes(old)

    def _drop_answers(self) -> None:
        while self._size_bytes() > self.max_bytes and self.answered_keys:
            key, _ = self.answered_keys.popitem(last=False)
            record = self.records[key]
            self.answer_bytes -= _answer_bytes(record)
            self.records[key] = evolve(record, answer=None)


def _answer_bytes(record: Record) -> int:
    if record.answer is None:
        return 0
    header_bytes = sum(
        len(name) + len(value) for name, value in record.answer.headers
    )
    return len(record.answer.body) + header_bytes


def _supersedes(new: Record, old: Record) -> bool:
    if new.state is KeyState.ANSWERED:
        return old.state is not KeyState.ANSWERED
    if new.state is KeyState.REFUSED:
        return old.state is KeyState.REFUSED and new.at_ms > old.at_ms
    if new.state is KeyState.UNKNOWN:
        return old.state in (KeyState.REFUSED, KeyState.RUNNING)
    return old.state is KeyState.REFUSED


def may_report_refusal(refused_ms: int, now_ms: int) -> bool:
    """Return whether the caller may still be told that its key did not run.

    `refused_ms` is the time at which the owner recorded the refusal.
    """
    return now_ms - refused_ms <= REPORT_REFUSAL_WITHIN_MS
