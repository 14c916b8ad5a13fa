"""Targets with a free slot in order of cost, so that few are evaluated.

It is built for services of up to some thousand targets with as many requests
per second: each event updates one target, and each choice some more, so that
costs which drift with time are at most some hundred milliseconds old.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from itertools import count, islice

from attrs import Factory, define

from carawaylane.decisions.placement.target_state import TargetState

# Targets that are evaluated for each choice in the data centre of the entry
# and in each of the others.
LOCAL_CANDIDATES, OTHER_CANDIDATES = 6, 3
# Data centres whose targets are evaluated besides that of the entry.
MAX_OTHER_DATA_CENTRES = 4
# Entries of the order that are passed over for one choice, such as targets
# with a rate limit. If none is left, all targets are evaluated.
MAX_PASSED = 40
# Targets whose cost is brought up to date with each choice.
REFRESHED = 2
# Entries of the order for each target after which it is built anew.
MAX_ENTRIES_PER_TARGET = 6

_Entry = tuple[float, int, TargetState]


@define(kw_only=True, eq=False, repr=False)
class TargetIndex:
    """The order of the targets of each data centre by cost.

    `cost_of` returns the part of a target's cost that does not depend on the
    request.
    """

    cost_of: Callable[[TargetState, float], float]
    _heaps: dict[str, list[_Entry]] = Factory(dict)
    # By target: the entry that is valid.
    _valid: dict[str, int] = Factory(dict)
    _numbers: Iterator[int] = Factory(count)
    # Targets whose cost is brought up to date next.
    _refresh: Iterator[TargetState] = Factory(lambda: iter(()))

    def clear(self) -> None:
        """Forget all targets."""
        self._heaps.clear()
        self._valid.clear()
        self._refresh = iter(())

    def update(self, target: TargetState, now_s: float) -> None:
        """Put a target in its place, or remove it without a free slot."""
        name = target.spec.name
        self._valid.pop(name, None)
        if not target.is_open() or not target.has_free_slot():
            return
        number = next(self._numbers)
        self._valid[name] = number
        heap = self._heaps.setdefault(target.spec.data_centre, [])
        heappush(heap, (self.cost_of(target, now_s), number, target))
        if len(heap) > MAX_ENTRIES_PER_TARGET * max(8, len(self._valid)):
            heap[:] = sorted(entry for entry in heap if self._is_valid(entry))

    def refresh(self, targets: dict[str, TargetState], now_s: float) -> None:
        """Bring the cost of some targets up to date, in turn."""
        batch = list(islice(self._refresh, REFRESHED))
        if not batch:
            self._refresh = iter(list(targets.values()))
        for target in batch:
            if targets.get(target.spec.name) is target:
                self.update(target, now_s)

    def candidates(
        self, data_centre: str, is_allowed: Callable[[TargetState], bool]
    ) -> list[TargetState]:
        """Return the targets of lowest cost, some of each data centre."""
        found = self._lowest(data_centre, LOCAL_CANDIDATES, is_allowed)
        others = (name for name in self._heaps if name != data_centre)
        for name in islice(others, MAX_OTHER_DATA_CENTRES):
            found += self._lowest(name, OTHER_CANDIDATES, is_allowed)
        return found

    def best(
        self, is_allowed: Callable[[TargetState], bool]
    ) -> list[TargetState]:
        """Return the target of lowest cost of each data centre."""
        return [
            target
            for data_centre in self._heaps
            for target in self._lowest(data_centre, 1, is_allowed)
        ]

    def _lowest(
        self,
        data_centre: str,
        limit: int,
        is_allowed: Callable[[TargetState], bool],
    ) -> list[TargetState]:
        heap = self._heaps.get(data_centre, [])
        popped: list[_Entry] = []
        found: list[TargetState] = []
        while heap and len(found) < limit and len(popped) < MAX_PASSED:
            entry = heappop(heap)
            if not self._is_valid(entry):
                continue
            popped.append(entry)
            if is_allowed(entry[2]):
                found.append(entry[2])
        for entry in popped:
            heappush(heap, entry)
        return found

    def _is_valid(self, entry: _Entry) -> bool:
        return self._valid.get(entry[2].spec.name) == entry[1]
