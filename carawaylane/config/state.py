"""State of the configuration after the changes in its log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import Factory, define

from carawaylane.config.documents import from_json, to_json
from carawaylane.config.schema import (
    Document,
    Service,
    Target,
    TrafficKind,
    kind_of,
)
from carawaylane.decisions.ownership.changelog import reading_json

if TYPE_CHECKING:
    from carawaylane.decisions.ownership.changelog import Change

DocumentKey = tuple[str, str]


@define(kw_only=True)
class ConfigState:
    """Documents by kind and name.

    `last_changed_seq` holds, for each document, the sequence number of the
    change that last wrote or deleted it.
    """

    docs: dict[DocumentKey, Document] = Factory(dict)
    last_changed_seq: dict[DocumentKey, int] = Factory(dict)
    authors: dict[int, str] = Factory(dict)

    def apply(self, change: Change) -> None:
        """Apply the next change, or raise `UnreadableChangeError`."""
        with reading_json():
            docs = [from_json(row) for row in change.body.get('put', ())]
            deleted_keys = [
                read_key(row) for row in change.body.get('delete', ())
            ]
        for doc in docs:
            key = (kind_of(doc), doc.name)
            self.docs[key] = doc
            self.last_changed_seq[key] = change.seq
        for key in deleted_keys:
            self.docs.pop(key, None)
            self.last_changed_seq[key] = change.seq

    def dump(self) -> dict[str, Any]:
        """Return the state as a JSON object."""
        return {
            'docs': [to_json(doc) for doc in self.docs.values()],
            'changed': [
                [*key, seq] for key, seq in self.last_changed_seq.items()
            ],
        }

    def load(self, dumped: dict[str, Any]) -> None:
        """Replace the state by one that `dump` returned.

        Raises `UnreadableChangeError` for another one.
        """
        with reading_json():
            docs = [from_json(row) for row in dumped.get('docs', ())]
            changed_seqs = {
                read_key((kind, name)): int(seq)
                for kind, name, seq in dumped.get('changed', ())
            }
        self.docs = {(kind_of(doc), doc.name): doc for doc in docs}
        self.last_changed_seq = changed_seqs

    def services(self) -> list[Service]:
        """Return all services."""
        return [doc for doc in self.docs.values() if isinstance(doc, Service)]

    def traffic_kinds(self) -> list[TrafficKind]:
        """Return all traffic kinds."""
        return [
            doc for doc in self.docs.values() if isinstance(doc, TrafficKind)
        ]

    def targets(self) -> list[Target]:
        """Return all targets."""
        return [doc for doc in self.docs.values() if isinstance(doc, Target)]


def read_key(row: Any) -> DocumentKey:
    """Return the kind and the name in a row, or raise `ValueError`."""
    kind, name = row
    if not isinstance(kind, str) or not isinstance(name, str):
        raise ValueError('a kind or a name is no string')
    return kind, name
