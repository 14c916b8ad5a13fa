"""A node's copy of the platform's objects of one kind."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, evolve

from carawaylane.messages.stored_objects import ObjectDelta, StoredObject

if TYPE_CHECKING:
    from collections.abc import Iterable

# Removals are remembered this long, for peers that lag behind.
TOMBSTONE_TTL_S = 120.0
NEVER_S = float('-inf')


@define(kw_only=True)
class Replica:
    """Objects by name, complete up to a revision; it never goes back.

    `confirmed_s` is when the store last confirmed, here or at a peer, that
    nothing newer existed.
    """

    revision: int = 0
    confirmed_s: float = NEVER_S
    items: dict[str, StoredObject] = Factory(dict)
    # Changes after this revision are all known, with their removals.
    complete_from: int = 0
    _gone_s: dict[str, float] = Factory(dict)

    def age_s(self, now_s: float) -> float:
        """Return the time since the store confirmed this copy."""
        return now_s - self.confirmed_s

    def mark_confirmed(self, now_s: float, age_s: float = 0.0) -> None:
        """Note that the copy was complete some time ago."""
        self.confirmed_s = max(self.confirmed_s, now_s - age_s)

    def apply(self, news: ObjectDelta, now_s: float) -> list[str] | None:
        """Apply changes; return the names that changed.

        None means that changes between this copy and the news are missing.
        """
        if news.base > self.revision:
            return None
        if news.revision < self.revision:
            return []
        changed = [each.name for each in news.items if self._put(each, now_s)]
        if news.base == 0 and news.revision > self.revision:
            changed += self._drop_missing(news, now_s)
        self.revision = news.revision
        self._forget(now_s)
        return changed

    def changes_since(self, revision: int) -> ObjectDelta:
        """Return the changes after a revision, or all objects."""
        base = revision if revision >= self.complete_from else 0
        items = self.items.values()
        if base:
            chosen = [each for each in items if each.revision > base]
        else:
            chosen = [each for each in items if each.data is not None]
        return ObjectDelta(
            items=tuple(chosen), revision=self.revision, base=base
        )

    def existing(self) -> Iterable[StoredObject]:
        """Return the objects that exist."""
        return (each for each in self.items.values() if each.data is not None)

    def _put(self, item: StoredObject, now_s: float) -> bool:
        known = self.items.get(item.name)
        if known is not None and known.revision >= item.revision:
            return False
        if item.data is None:
            if known is None or known.data is None:
                return False
            self._gone_s[item.name] = now_s
        else:
            self._gone_s.pop(item.name, None)
        self.items[item.name] = item
        return known is None or known.data != item.data

    def _drop_missing(self, news: ObjectDelta, now_s: float) -> list[str]:
        listed = {each.name for each in news.items}
        changed = []
        for name, known in list(self.items.items()):
            if name in listed or known.data is None:
                continue
            self.items[name] = evolve(known, data=None, revision=news.revision)
            self._gone_s[name] = now_s
            changed.append(name)
        if not self.revision:
            self.complete_from = news.revision
        return changed

    def _forget(self, now_s: float) -> None:
        for name, gone_s in list(self._gone_s.items()):
            if now_s - gone_s > TOMBSTONE_TTL_S:
                dropped = self.items.pop(name)
                self.complete_from = max(self.complete_from, dropped.revision)
                del self._gone_s[name]
