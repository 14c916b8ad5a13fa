"""A node's copy of the platform's objects of one kind."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, evolve

from carawaylane.messages.stored_objects import (
    ObjectDelta,
    StoredObject,
    era_of,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

# A removed object is kept as a tombstone for this long, so that peers that lag
# behind learn of its removal.
TOMBSTONE_TTL_S = 120.0
NEVER_S = float('-inf')


@define(kw_only=True, eq=False, repr=False)
class ObjectReplica:
    """Objects and tombstones by name, complete up to a revision.

    The revision never decreases. `confirmed_at_s` is when the store last
    confirmed, to this node or to a peer, that nothing newer existed.
    """

    revision: int = 0
    confirmed_at_s: float = NEVER_S
    items: dict[str, StoredObject] = Factory(dict)
    # All changes after this revision are known, removals included.
    complete_from: int = 0
    _removed_at_s: dict[str, float] = Factory(dict)

    def age_s(self, now_s: float) -> float:
        """Return the time since the store confirmed this copy."""
        return now_s - self.confirmed_at_s

    def mark_confirmed(self, now_s: float, age_s: float = 0.0) -> None:
        """Record that the copy was complete `age_s` ago."""
        self.confirmed_at_s = max(self.confirmed_at_s, now_s - age_s)

    def apply(self, delta: ObjectDelta, now_s: float) -> list[str] | None:
        """Apply a delta; return the names of the objects that changed.

        Returns None, and changes nothing, if the copy lacks changes that
        precede the delta.
        """
        if delta.base > self.revision:
            return None
        if delta.revision < self.revision:
            return []
        changed = [item.name for item in delta.items if self._put(item, now_s)]
        if delta.base == 0 and delta.revision > self.revision:
            changed += self._remove_unlisted(delta, now_s)
        self.revision = delta.revision
        self._drop_old_tombstones(now_s)
        return changed

    def changes_since(self, revision: int) -> ObjectDelta:
        """Return the changes after a revision, or all objects.

        It is all objects if tombstones of later removals have been dropped,
        or if the revision is of another era: its copy may hold objects that
        the store lost before this copy knew of them.
        """
        is_known = revision >= self.complete_from
        same_era = era_of(revision) == era_of(self.revision)
        base = revision if is_known and same_era else 0
        items = self.items.values()
        if base:
            delta_items = [item for item in items if item.revision > base]
        else:
            delta_items = [item for item in items if item.data is not None]
        return ObjectDelta(
            items=tuple(delta_items), revision=self.revision, base=base
        )

    def existing(self) -> Iterable[StoredObject]:
        """Return the objects that are not removed."""
        return (item for item in self.items.values() if item.data is not None)

    def _put(self, item: StoredObject, now_s: float) -> bool:
        current = self.items.get(item.name)
        if current is not None and current.revision >= item.revision:
            return False
        self.items[item.name] = item
        # Peers may know an object that this copy has never had.
        if item.data is None:
            self._removed_at_s[item.name] = now_s
        else:
            self._removed_at_s.pop(item.name, None)
        data_before = current.data if current is not None else None
        return data_before != item.data

    def _remove_unlisted(self, delta: ObjectDelta, now_s: float) -> list[str]:
        """Remove the objects that a full list lacks.

        What a restored store lacks may be written again.
        """
        listed = {item.name for item in delta.items}
        lapsed = era_of(delta.revision) != era_of(self.revision)
        changed = []
        for name, item in list(self.items.items()):
            if name in listed or item.data is None:
                continue
            self.items[name] = evolve(
                item, data=None, revision=delta.revision, lapsed=lapsed
            )
            self._removed_at_s[name] = now_s
            changed.append(name)
        # Objects may have come and gone unseen before the list.
        self.complete_from = delta.revision
        return changed

    def _drop_old_tombstones(self, now_s: float) -> None:
        for name, removed_at_s in list(self._removed_at_s.items()):
            if now_s - removed_at_s > TOMBSTONE_TTL_S:
                tombstone = self.items.pop(name)
                self.complete_from = max(
                    self.complete_from, tombstone.revision
                )
                del self._removed_at_s[name]
