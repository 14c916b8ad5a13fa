"""Objects of the platform's store, as the fleet hands them around."""

from __future__ import annotations

from enum import Enum

from attrs import frozen


class ObjectKind(Enum):
    """What the objects of one collection describe."""

    PLAN = 0
    TARGETS = 1
    MEMBERS = 2


@frozen(kw_only=True)
class StoredObject:
    """An object: the revision of its change and its content.

    The content is None once the object is removed. A removal that may only
    be a lapse, since the store was out, is marked `lapsed`.
    """

    name: str
    revision: int
    data: bytes | None
    lapsed: bool = False


@frozen(kw_only=True)
class ObjectDelta:
    """Objects of one kind, complete up to a revision of the store.

    They are the changes after `base`; 0 means that they are all there is.
    """

    items: tuple[StoredObject, ...]
    revision: int
    base: int = 0
