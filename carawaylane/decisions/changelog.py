"""Replica of one sequence of changes kept by the platform.

A change has a place in the sequence, given by the platform alone. A replica
applies changes in order and without gaps, so its state only moves forward,
whoever relays them.
"""

from __future__ import annotations

from typing import Any, Protocol

from attrs import Factory, define, frozen

# Changes kept in memory for peers that are behind.
RECENT_CHANGES_LIMIT = 2000


@frozen(kw_only=True)
class Change:
    """One accepted change: its place and its body, a JSON object."""

    seq: int
    body: dict[str, Any]


@frozen(kw_only=True)
class Batch:
    """Changes for a peer, after a snapshot if it is too far behind."""

    log: str
    changes: tuple[Change, ...] = ()
    snapshot: dict[str, Any] | None = None
    snapshot_seq: int = 0


class LogState(Protocol):
    """State built from a sequence of changes."""

    def apply(self, change: Change) -> None:
        """Apply the next change."""

    def dump(self) -> dict[str, Any]:
        """Return the state as a JSON object."""

    def load(self, dumped: dict[str, Any]) -> None:
        """Replace the state by a dumped one."""


@define(kw_only=True)
class LogReplica:
    """A node's copy of one log, which never goes back."""

    name: str
    state: LogState
    seq: int = 0
    recent_limit: int = RECENT_CHANGES_LIMIT
    recent: dict[int, Change] = Factory(dict)
    out_of_order: dict[int, Change] = Factory(dict)

    def apply_batch(self, batch: Batch) -> bool:
        """Take in a batch and return whether the state moved forward."""
        before = self.seq
        if batch.snapshot is not None and batch.snapshot_seq > self.seq:
            self._install(batch)
        for change in batch.changes:
            if change.seq > self.seq:
                self.out_of_order[change.seq] = change
        self._apply_ready()
        return self.seq > before

    def batch_after(self, after: int) -> Batch:
        """Return what a peer at place `after` lacks."""
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

    def _install(self, batch: Batch) -> None:
        self.state.load(batch.snapshot or {})
        self.seq = batch.snapshot_seq
        self.recent.clear()
        self.out_of_order = {
            seq: change
            for seq, change in self.out_of_order.items()
            if seq > self.seq
        }

    def _apply_ready(self) -> None:
        while self.seq + 1 in self.out_of_order:
            change = self.out_of_order.pop(self.seq + 1)
            self.state.apply(change)
            self.seq = change.seq
            self.recent[change.seq] = change
            self.recent.pop(change.seq - self.recent_limit, None)
