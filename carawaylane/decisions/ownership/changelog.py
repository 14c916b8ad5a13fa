"""Replicas of a log of changes that is stored on the platform.

Only the platform assigns sequence numbers. A replica applies changes in order
and without gaps, so its state never goes back, whichever node relays them.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, Protocol

from attrs import Factory, define, frozen

if TYPE_CHECKING:
    from collections.abc import Iterator

# How many of the last changes are kept for peers that lack them.
RECENT_CHANGES_LIMIT = 2000
MAX_REASON_CHARS = 200


@frozen(kw_only=True)
class Change:
    """A change in the log: its sequence number and its body, a JSON object."""

    seq: int
    body: dict[str, Any]


@frozen(kw_only=True)
class Batch:
    """Changes of a log, or a snapshot of its state and changes after it."""

    log: str
    changes: tuple[Change, ...] = ()
    snapshot: dict[str, Any] | None = None
    snapshot_seq: int = 0


class UnreadableChangeError(Exception):
    """A change or a dumped state has another form than those of this build."""


@contextmanager
def reading_json() -> Iterator[None]:
    """Turn the errors of JSON of another form into UnreadableChangeError."""
    try:
        yield
    except (
        ArithmeticError,
        AttributeError,
        LookupError,
        RecursionError,
        TypeError,
        ValueError,
        # Several errors of values, as cattrs raises them.
        ExceptionGroup,
    ) as exc:
        raise UnreadableChangeError(f'{type(exc).__name__}: {exc}') from exc


class LogState(Protocol):
    """State built from a sequence of changes.

    A change or a dumped state that can't be read leaves it as it is.
    """

    def apply(self, change: Change) -> None:
        """Apply the next change, or raise `UnreadableChangeError`."""

    def dump(self) -> dict[str, Any]:
        """Return the state as a JSON object."""

    def load(self, dumped: dict[str, Any]) -> None:
        """Replace the state by a dumped one, or raise the same."""


@define(kw_only=True)
class LogReplica:
    """A node's replica of one log, which never goes back.

    `recent` holds the last changes, up to `recent_limit`, and `out_of_order`
    those that wait for an earlier one, both by sequence number. `unreadable`
    tells why changes or snapshots could not be read; all replicas pass over
    the same ones.
    """

    name: str
    state: LogState
    seq: int = 0
    recent_limit: int = RECENT_CHANGES_LIMIT
    recent: dict[int, Change] = Factory(dict)
    out_of_order: dict[int, Change] = Factory(dict)
    unreadable: dict[int, str] = Factory(dict)

    def apply_batch(self, batch: Batch) -> bool:
        """Apply a batch and return whether the replica advanced."""
        seq_before = self.seq
        if batch.snapshot is not None and batch.snapshot_seq > self.seq:
            self._load_snapshot(batch)
        for change in batch.changes:
            if change.seq > self.seq:
                self.out_of_order[change.seq] = change
        self._apply_next_changes()
        return self.seq > seq_before

    def batch_after(self, after: int) -> Batch:
        """Return what a peer lacks that has applied changes up to `after`.

        If the changes are no longer at hand, that is a snapshot.
        """
        if after >= self.seq:
            return Batch(log=self.name)
        if after + 1 in self.recent:
            return Batch(
                log=self.name,
                changes=tuple(
                    self.recent[seq] for seq in range(after + 1, self.seq + 1)
                ),
            )
        return Batch(
            log=self.name, snapshot=self.state.dump(), snapshot_seq=self.seq
        )

    def _load_snapshot(self, batch: Batch) -> None:
        try:
            self.state.load(batch.snapshot or {})
        except UnreadableChangeError as exc:
            self._pass_over(batch.snapshot_seq, exc)
            return
        self.seq = batch.snapshot_seq
        self.recent.clear()
        self.out_of_order = {
            seq: change
            for seq, change in self.out_of_order.items()
            if seq > self.seq
        }

    def _apply_next_changes(self) -> None:
        while self.seq + 1 in self.out_of_order:
            change = self.out_of_order.pop(self.seq + 1)
            try:
                self.state.apply(change)
            except UnreadableChangeError as exc:
                self._pass_over(change.seq, exc)
            self.seq = change.seq
            self.recent[change.seq] = change
            self.recent.pop(change.seq - self.recent_limit, None)

    def _pass_over(self, seq: int, exc: UnreadableChangeError) -> None:
        self.unreadable[seq] = str(exc)[:MAX_REASON_CHARS]
        while len(self.unreadable) > self.recent_limit:
            del self.unreadable[next(iter(self.unreadable))]
