"""Index that finds the selectors matching a set of labels."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from carawaylane.decisions.routing.selector import Selector

# Selectors by name.
Bucket = dict[str, 'Selector']


@define(kw_only=True)
class SelectorIndex:
    """Named selectors, each indexed by one of the labels that it requires.

    `buckets` holds, for a label key and value, the selectors that are indexed
    by that key and admit that value. Of the labels that a selector requires,
    the key with the smallest buckets is chosen. A look-up tests only the
    selectors in the buckets of the given labels, and those in `unindexed`,
    which list no admitted values for any label.
    """

    buckets: dict[tuple[str, str], Bucket] = Factory(dict)
    indexed_keys: Counter[str] = Factory(Counter)
    unindexed: Bucket = Factory(dict)
    buckets_by_name: dict[str, list[Bucket]] = Factory(dict)
    # How many selectors, present or past, admit each label value.
    selector_counts: Counter[tuple[str, str]] = Factory(Counter)

    def add_all(self, named_selectors: Iterable[tuple[str, Selector]]) -> None:
        """Add many selectors, counting all before choosing their keys."""
        pairs = list(named_selectors)
        for _, selector in pairs:
            self.selector_counts.update(_admitted_pairs(selector))
        for name, selector in pairs:
            self._insert(name, selector)

    def put(self, name: str, selector: Selector) -> None:
        """Add a selector or replace the one of that name."""
        self.remove(name)
        self.selector_counts.update(_admitted_pairs(selector))
        self._insert(name, selector)

    def remove(self, name: str) -> None:
        """Remove the selector of that name, if there is one."""
        for bucket in self.buckets_by_name.pop(name, ()):
            bucket.pop(name, None)

    def matching(self, labels: Mapping[str, str]) -> Iterator[str]:
        """Yield the names of the selectors that match the labels."""
        for key in self.indexed_keys:
            value = labels.get(key)
            if value is None:
                continue
            bucket = self.buckets.get((key, value))
            if bucket:
                yield from _matching_names(bucket, labels)
        yield from _matching_names(self.unindexed, labels)

    def _insert(self, name: str, selector: Selector) -> None:
        admitted = selector.admitted_values()
        if not admitted:
            self.unindexed[name] = selector
            self.buckets_by_name[name] = [self.unindexed]
            return
        key = min(
            admitted,
            key=lambda label: max(
                self.selector_counts[(label, value)]
                for value in admitted[label]
            ),
        )
        self.indexed_keys[key] += 1
        buckets = [
            self.buckets.setdefault((key, value), {})
            for value in admitted[key]
        ]
        for bucket in buckets:
            bucket[name] = selector
        self.buckets_by_name[name] = buckets


def _matching_names(
    bucket: Bucket, labels: Mapping[str, str]
) -> Iterator[str]:
    for name, selector in bucket.items():
        if selector.matches(labels):
            yield name


def _admitted_pairs(selector: Selector) -> Iterable[tuple[str, str]]:
    for key, values in selector.admitted_values().items():
        for value in values:
            yield key, value
