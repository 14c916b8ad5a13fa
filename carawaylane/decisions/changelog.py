"""Replica of one sequence of changes kept by the platform.

A change has a place in the sequence, given by the platform alone. A replica
applies changes in order and without gaps, so its state only moves forward,
whoever relays them.
"""

from __future__ import annotations

from typing import Any, Protocol

from attrs import Factory, define, frozen

# Changes kept in memory for peers that are behind.
KEPT_CHANGES = 2000


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


class Fold(Protocol):
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
    fold: Fold
    seq: int = 0
    kept: int = KEPT_CHANGES
    recent: dict[int, Change] = Factory(dict)
    early: dict[int, Change] = Factory(dict)

    def learn(self, batch: Batch) -> bool:
        """Take in a batch and return whether the state moved forward."""
        before = self.seq
        if batch.snapshot is not None and batch.snapshot_seq > self.seq:
            self._install(batch)
        for change in batch.changes:
            if change.seq > self.seq:
                self.early[change.seq] = change
        self._apply_ready()
        return self.seq > before

    def since(self, after: int) -> Batch:
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
            log=self.name, snapshot=self.fold.dump(), snapshot_seq=self.seq
        )

    def _install(self, batch: Batch) -> None:
        self.fold.load(batch.snapshot or {})
        self.seq = batch.snapshot_seq
        self.recent.clear()
        self.early = {
            seq: change for seq, change in self.early.items() if seq > self.seq
        }

    def _apply_ready(self) -> None:
        while self.seq + 1 in self.early:
            change = self.early.pop(self.seq + 1)
            self.fold.apply(change)
            self.seq = change.seq
            self.recent[change.seq] = change
            self.recent.pop(change.seq - self.kept, None)
