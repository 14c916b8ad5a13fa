"""The objects of the store that this node can't read, and why."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from attrs import Factory, define, frozen

from carawaylane.kernel.kernel import Kernel
from carawaylane.messages.platform_objects import InvalidObject
from carawaylane.messages.stored_objects import ObjectKind, revision_in_era
from carawaylane.telemetry.events import ENTRY_UNREADABLE, emit

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawaylane.messages.stored_objects import StoredObject

Decoded = TypeVar('Decoded')
# Objects that are remembered. Others are reported again at each list.
MAX_REJECTED = 1000
MAX_NAME_CHARS = 256


@frozen(kw_only=True, repr=False)
class RejectedObject:
    """An object that can't be read at a revision of it."""

    kind: ObjectKind
    name: str
    revision: int
    reason: str


@define(kw_only=True, eq=False, repr=False)
class RejectedObjects:
    """Reports each revision of an object that can't be read once."""

    _kernel: Kernel
    _by_name: dict[tuple[ObjectKind, str], RejectedObject] = Factory(dict)

    def current(self) -> list[RejectedObject]:
        """Return the objects that can't be read at present."""
        return list(self._by_name.values())

    def decode(
        self,
        kind: ObjectKind,
        item: StoredObject,
        decode: Callable[[str, bytes], Decoded | InvalidObject],
    ) -> Decoded | None:
        """Return the value of an object, None if it has none."""
        if item.data is None:
            self.discard(kind, item.name)
            return None
        value = decode(item.name, item.data)
        if isinstance(value, InvalidObject):
            self.add(kind, value, item.revision)
            return None
        self.discard(kind, item.name)
        return value

    def discard(self, kind: ObjectKind, name: str) -> None:
        """Forget an object that can be read, or is gone."""
        if self._by_name:
            self._by_name.pop((kind, _printable(name)), None)

    def add(
        self, kind: ObjectKind, invalid: InvalidObject, revision: int
    ) -> None:
        """Report an object unless this revision of it is known."""
        name = _printable(invalid.name)
        known = self._by_name.pop((kind, name), None)
        rejected = RejectedObject(
            kind=kind, name=name, revision=revision, reason=invalid.reason
        )
        self._by_name[kind, name] = rejected
        if known is not None and known.revision == revision:
            return
        if len(self._by_name) > MAX_REJECTED:
            del self._by_name[next(iter(self._by_name))]
        metrics = self._kernel.find('telemetry').metrics
        metrics.count('entries_unreadable', kind=kind.name.lower())
        emit(
            ENTRY_UNREADABLE,
            kind=kind.name,
            entry=name,
            revision=revision_in_era(revision),
            reason=invalid.reason,
        )


def _printable(name: str) -> str:
    """Return a name that fits in a line."""
    name = name[:MAX_NAME_CHARS]
    return name if name.isprintable() else f'{name!a}'
