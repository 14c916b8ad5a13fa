"""Which traffic kind a request belongs to, by its labels."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

from carawaylane.config.schema import TrafficKind
from carawaylane.decisions.selector import parse_selector
from carawaylane.decisions.selector_index import SelectorIndex

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


# Path segments that become labels segment0, segment1 and so on.
LABELLED_SEGMENTS = 4


@define(kw_only=True)
class TrafficKindTable:
    """All traffic kinds, found by the labels of a request."""

    kinds: dict[str, TrafficKind] = Factory(dict)
    index: SelectorIndex = Factory(SelectorIndex)

    @classmethod
    def build(cls, kinds: Iterable[TrafficKind]) -> TrafficKindTable:
        """Return the table of all given kinds."""
        table = cls(kinds={kind.name: kind for kind in kinds})
        table.index.add_all(
            (kind.name, parse_selector(kind.selector))
            for kind in table.kinds.values()
        )
        return table

    def put(self, kind: TrafficKind) -> None:
        """Add a kind or replace the one of its name."""
        self.kinds[kind.name] = kind
        self.index.put(kind.name, parse_selector(kind.selector))

    def remove(self, name: str) -> None:
        """Remove a kind, if there is one of that name."""
        self.kinds.pop(name, None)
        self.index.remove(name)

    def find(self, labels: Mapping[str, str]) -> TrafficKind | None:
        """Return the matching kind of the highest priority, if any."""
        best: TrafficKind | None = None
        for name in self.index.matching(labels):
            kind = self.kinds[name]
            if best is None or kind.priority > best.priority:
                best = kind
        return best


def request_labels(
    *, method: str, path: str, host: str, caller: str, labels_header: str
) -> dict[str, str]:
    """Return a request's labels; `labels_header` holds `key=value` pairs.

    Labels that the fleet derives itself win over those in the header.
    """
    labels: dict[str, str] = {}
    for part in labels_header.split(','):
        key, found, value = part.partition('=')
        if found:
            labels[key.strip()] = value.strip()
    segments = [part for part in path.split('/') if part]
    for number, segment in enumerate(segments[:LABELLED_SEGMENTS]):
        labels[f'segment{number}'] = segment
    labels['method'] = method
    labels['path'] = path
    labels['host'] = host
    labels['caller'] = caller
    return labels
