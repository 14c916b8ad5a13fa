"""Undecoded objects of the platform's store, as nodes exchange them."""

from __future__ import annotations

from enum import Enum

from attrs import frozen


class ObjectKind(Enum):
    """The collection that an object belongs to."""

    PLAN = 0
    TARGETS = 1
    MEMBERS = 2


@frozen(kw_only=True)
class StoredObject:
    """An object at the revision of its last change.

    `data` is None once the object is removed. A removal is marked `lapsed`
    if the object may only have expired during an outage of the store.
    """

    name: str
    revision: int
    data: bytes | None
    lapsed: bool = False


@frozen(kw_only=True)
class ObjectDelta:
    """Objects of one kind that changed between two revisions of the store.

    The items are all changes after revision `base` up to `revision`. If
    `base` is 0, they are all objects that exist.
    """

    items: tuple[StoredObject, ...]
    revision: int
    base: int = 0
