"""The candidates for a request in a service with many targets."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from carawaylane.decisions.placement.target_index import TargetIndex

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawaylane.decisions.placement.target_pool import TargetPool
    from carawaylane.decisions.placement.target_state import TargetState
    from carawaylane.messages.dispatch import SlotRequest

# With fewer targets, all of them are evaluated for each request.
MIN_INDEXED = 32
# The targets that are due for the usage floor are found anew after this time,
# longer in larger services as it looks at all targets. It is short against
# the window of the floor.
FLOOR_TTL_S, FLOOR_TTL_PER_TARGET_S = 0.05, 0.0001
# Targets due for the floor that are evaluated for one request.
MAX_DUE = 8


class IndexedTargets:
    """Keeps an index of the targets of a pool up to date with its changes.

    It is built for services of tens to thousands of targets with as many
    requests per second.
    """

    def __init__(
        self,
        *,
        pool: TargetPool,
        cost_of: Callable[[TargetState, float], float],
        may_probe: Callable[[TargetState, SlotRequest, float], bool],
    ) -> None:
        self._pool = pool
        self._may_probe = may_probe
        self._index = TargetIndex(cost_of=cost_of)
        self._known = False
        self._due: list[str] = []
        self._due_at_s = float('-inf')

    def clear(self) -> None:
        """Forget the targets, whose list changes."""
        self._index.clear()
        self._known = False
        self._due_at_s = float('-inf')

    def lowest_risk(self, now_s: float) -> float:
        """Return the lowest risk of the best free targets, inf if none."""
        self._update(now_s)
        pool = self._pool
        found = self._index.best(lambda target: self._takes(target, now_s))
        return min(
            (pool.failure_risk(target, now_s) for target in found),
            default=float('inf'),
        )

    def candidates(
        self, request: SlotRequest, now_s: float
    ) -> list[TargetState]:
        """Return the targets to evaluate, none if all must be."""
        self._update(now_s)
        pool = self._pool
        self._index.refresh(pool.targets, now_s)
        avoided = request.avoided_targets | pool.targets_where_stuck(
            request.entry, now_s
        )
        is_pausing = pool.withheld.is_pausing(request.entry, now_s)

        def is_allowed(target: TargetState) -> bool:
            return (
                target.spec.name not in avoided
                and target.avoided_until_s.get(request.entry, 0.0) <= now_s
                and self._takes(target, now_s)
                and not (
                    is_pausing
                    and pool.withheld.pause_left_s(
                        target.spec, request.entry, now_s
                    )
                )
            )

        due = self._free_due(
            lambda target: (
                is_allowed(target) and self._may_probe(target, request, now_s)
            ),
            now_s,
        )
        return due or self._index.candidates(request.data_centre, is_allowed)

    def _takes(self, target: TargetState, now_s: float) -> bool:
        return self._pool.rate_limits.allows(target.spec.name, now_s)

    def _free_due(
        self, is_allowed: Callable[[TargetState], bool], now_s: float
    ) -> list[TargetState]:
        """Return some free targets that are due for the usage floor."""
        targets = self._pool.targets
        ttl_s = max(FLOOR_TTL_S, FLOOR_TTL_PER_TARGET_S * len(targets))
        if now_s - self._due_at_s >= ttl_s:
            self._due_at_s = now_s
            due = self._pool.names_due_for_floor(now_s)
            self._due = [name for name in targets if name in due]
        found = (
            target
            for name in self._due
            if (target := targets.get(name)) is not None
            and target.estimate.last_sent_s < self._due_at_s
            and target.is_open()
            and target.has_free_slot()
            and is_allowed(target)
        )
        return list(islice(found, MAX_DUE))

    def _update(self, now_s: float) -> None:
        """Update the order with the targets that changed."""
        pool = self._pool
        if not self._known:
            self._known = True
            pool.changed = set(pool.targets)
        for name in sorted(pool.changed):
            if (target := pool.targets.get(name)) is not None:
                self._index.update(target, now_s)
        pool.changed.clear()
