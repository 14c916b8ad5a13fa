"""An index over selectors, by the admitted values of one of their labels."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from carawaylane.decisions.selector import Selector

Bucket = dict[str, 'Selector']


@define(kw_only=True)
class SelectorIndex:
    """Named selectors, each filed under its most telling label.

    A lookup touches only selectors that share a label value with the given
    labels, and those that admit no fixed value.
    """

    buckets: dict[tuple[str, str], Bucket] = Factory(dict)
    keys: Counter[str] = Factory(Counter)
    unindexed: Bucket = Factory(dict)
    places: dict[str, list[Bucket]] = Factory(dict)
    spread: Counter[tuple[str, str]] = Factory(Counter)

    def add_all(self, rows: Iterable[tuple[str, Selector]]) -> None:
        """File many selectors, knowing how all of them are spread."""
        known = list(rows)
        for _, selector in known:
            self.spread.update(_pairs(selector))
        for name, selector in known:
            self._file(name, selector)

    def put(self, name: str, selector: Selector) -> None:
        """File a selector, in place of the one of its name."""
        self.remove(name)
        self.spread.update(_pairs(selector))
        self._file(name, selector)

    def remove(self, name: str) -> None:
        """Remove a selector, if there is one of that name."""
        for bucket in self.places.pop(name, ()):
            bucket.pop(name, None)

    def matching(self, labels: Mapping[str, str]) -> Iterator[str]:
        """Yield the names of the selectors that match labels."""
        for key in self.keys:
            value = labels.get(key)
            if value is None:
                continue
            bucket = self.buckets.get((key, value))
            if bucket:
                yield from _matching(bucket, labels)
        yield from _matching(self.unindexed, labels)

    def _file(self, name: str, selector: Selector) -> None:
        exact = selector.exact()
        if not exact:
            self.unindexed[name] = selector
            self.places[name] = [self.unindexed]
            return
        key = min(
            exact,
            key=lambda each: max(
                self.spread[(each, value)] for value in exact[each]
            ),
        )
        self.keys[key] += 1
        found = [
            self.buckets.setdefault((key, value), {}) for value in exact[key]
        ]
        for bucket in found:
            bucket[name] = selector
        self.places[name] = found


def _matching(bucket: Bucket, labels: Mapping[str, str]) -> Iterator[str]:
    for name, selector in bucket.items():
        if selector.matches(labels):
            yield name


def _pairs(selector: Selector) -> Iterable[tuple[str, str]]:
    for key, values in selector.exact().items():
        for value in values:
            yield key, value
