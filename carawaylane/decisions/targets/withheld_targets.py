"""Targets that a home grants to no entry, or not to some, as they asked.

A target that leaves is granted to nobody. One that asked an entry for a pause
is not granted to that entry; others may still be served by it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

from carawaylane.decisions.targets.backpressure import MAX_STARTS, MEMORY_S

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from carawaylane.decisions.placement.target_state import TargetState
    from carawaylane.messages.dispatch import BackpressureNotice
    from carawaylane.messages.platform_objects import TargetSpec


@frozen(kw_only=True, eq=False, repr=False)
class _Pause:
    """How long an entry sends nothing to an incarnation of a target."""

    until_s: float
    started_ms: int


@define(kw_only=True, eq=False, repr=False)
class WithheldTargets:
    """What the targets of a service asked of the entries, as a home knows it.

    It outlasts changes of the list of targets, so that one which lapses and
    comes back is still withheld. An incarnation is identified by its start.
    Starts are not ordered, as the clocks of hosts differ.
    """

    # By target and start: when an entry last heard that it leaves.
    _leaving: dict[str, dict[int, float]] = Factory(dict)
    # By target and entry.
    _pauses: dict[str, dict[str, _Pause]] = Factory(dict)
    # By entry: the end of its last pause.
    _last_pause_s: dict[str, float] = Factory(dict)

    def apply(
        self,
        notice: BackpressureNotice,
        entry: str,
        present: TargetSpec | None,
        now_s: float,
    ) -> None:
        """Take over what a target, as it is at present, asked of an entry."""
        started_ms = notice.start_of(present.started_ms if present else None)
        if started_ms is None:
            return
        if notice.leaving:
            starts = self._leaving.setdefault(notice.target, {})
            starts.pop(started_ms, None)
            starts[started_ms] = now_s
            if len(starts) > MAX_STARTS:
                del starts[next(iter(starts))]
        if notice.pause_left_s > 0:
            until_s = now_s + notice.pause_left_s
            pauses = self._pauses.setdefault(notice.target, {})
            known = pauses.get(entry)
            if (
                known is None
                or known.started_ms != started_ms
                or known.until_s < until_s
            ):
                pauses[entry] = _Pause(until_s=until_s, started_ms=started_ms)
            self._last_pause_s[entry] = max(
                until_s, self._last_pause_s.get(entry, 0.0)
            )

    def is_leaving(self, spec: TargetSpec) -> bool:
        """Return whether a target said that it is about to stop."""
        return spec.started_ms in self._leaving.get(spec.name, ())

    def open_to(
        self, entry: str, targets: list[TargetState], now_s: float
    ) -> list[TargetState]:
        """Return the targets that did not ask an entry for a pause."""
        if not self.is_pausing(entry, now_s):
            return targets
        return [
            target
            for target in targets
            if not self.pause_left_s(target.spec, entry, now_s)
        ]

    def shortest_pause_s(
        self, entry: str, specs: Iterable[TargetSpec], now_s: float
    ) -> float:
        """Return how long all of some targets want nothing from an entry."""
        return min(
            (self.pause_left_s(spec, entry, now_s) for spec in specs),
            default=0.0,
        )

    def is_pausing(self, entry: str, now_s: float) -> bool:
        """Return whether any target wants nothing from an entry."""
        return self._last_pause_s.get(entry, now_s) > now_s

    def pause_left_s(
        self, spec: TargetSpec, entry: str, now_s: float
    ) -> float:
        """Return how long an entry is to send nothing, 0 if it may."""
        pause = self._pauses.get(spec.name, {}).get(entry)
        if pause is None or spec.started_ms != pause.started_ms:
            return 0.0
        return max(0.0, pause.until_s - now_s)

    def forget_old(self, present: Container[str], now_s: float) -> None:
        """Forget pauses that have ended, and targets that are gone."""
        self._leaving = {
            name: starts
            for name, starts in self._leaving.items()
            if name in present or now_s - max(starts.values()) <= MEMORY_S
        }
        self._last_pause_s = {
            entry: until_s
            for entry, until_s in self._last_pause_s.items()
            if until_s > now_s
        }
        for name, pauses in list(self._pauses.items()):
            if all(pause.until_s <= now_s for pause in pauses.values()):
                del self._pauses[name]
