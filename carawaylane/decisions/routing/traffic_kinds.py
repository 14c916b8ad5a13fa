"""Assignment of requests to traffic kinds by their labels."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

from carawaylane.config.schema import TrafficKind
from carawaylane.decisions.routing.selector import parse_selector
from carawaylane.decisions.routing.selector_index import SelectorIndex

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


# The first segments of a path become the labels segment0, segment1 and so on.
LABELLED_SEGMENTS = 4


@define(kw_only=True)
class TrafficKindTable:
    """All traffic kinds, indexed by their selectors."""

    kinds: dict[str, TrafficKind] = Factory(dict)
    index: SelectorIndex = Factory(SelectorIndex)

    @classmethod
    def build(cls, kinds: Iterable[TrafficKind]) -> TrafficKindTable:
        """Return a table of the given traffic kinds."""
        table = cls(kinds={kind.name: kind for kind in kinds})
        table.index.add_all(
            (kind.name, parse_selector(kind.selector))
            for kind in table.kinds.values()
        )
        return table

    def put(self, kind: TrafficKind) -> None:
        """Add a traffic kind or replace the one of the same name."""
        self.kinds[kind.name] = kind
        self.index.put(kind.name, parse_selector(kind.selector))

    def remove(self, name: str) -> None:
        """Remove the traffic kind of that name, if there is one."""
        self.kinds.pop(name, None)
        self.index.remove(name)

    def find(self, labels: Mapping[str, str]) -> TrafficKind | None:
        """Return the matching traffic kind of highest priority, or None."""
        best: TrafficKind | None = None
        for name in self.index.matching(labels):
            kind = self.kinds[name]
            if best is None or kind.priority > best.priority:
                best = kind
        return best


def request_labels(
    *, method: str, path: str, host: str, caller: str, labels_header: str
) -> dict[str, str]:
    """Return the labels of a request.

    `labels_header` holds the caller's own labels as `key=value` pairs joined
    by commas. Labels taken from the request itself override them.
    """
    labels: dict[str, str] = {}
    for part in labels_header.split(','):
        key, separator, value = part.partition('=')
        if separator:
            labels[key.strip()] = value.strip()
    segments = [part for part in path.split('/') if part]
    for number, segment in enumerate(segments[:LABELLED_SEGMENTS]):
        labels[f'segment{number}'] = segment
    labels['method'] = method
    labels['path'] = path
    labels['host'] = host
    labels['caller'] = caller
    return labels
