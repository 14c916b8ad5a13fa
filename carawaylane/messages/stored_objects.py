"""Undecoded objects of the platform's store, as nodes exchange them."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

# A revision holds the era of the store above this many bits. It orders the
# states of the store also after a restore from an older copy.
REVISION_BITS = 44


def era_of(revision: int) -> int:
    """Return the era of the store in which a revision was given out."""
    return revision >> REVISION_BITS


def revision_in_era(revision: int) -> int:
    """Return a revision as the store numbers it within its era."""
    return revision & (2**REVISION_BITS - 1)


class ObjectKind(Enum):
    """The collection that an object belongs to."""

    PLAN = 0
    TARGETS = 1
    MEMBERS = 2

    # Members are equal only to themselves. The hash of `Enum` is computed in
    # Python, and members are keys of dicts that are read all the time.
    __hash__ = object.__hash__


# The kinds by their number in messages; a newer build may know others.
KIND_BY_NUMBER = {kind.value: kind for kind in ObjectKind}


@frozen(kw_only=True, repr=False)
class StoredObject:
    """An object at the revision of its last change.

    `data` is None once the object is removed. A removal is marked `lapsed`
    if the object may only have expired during an outage of the store, or may
    have been lost in a restore of the store.
    """

    name: str
    revision: int
    data: bytes | None
    lapsed: bool = False


@frozen(kw_only=True, repr=False)
class ObjectDelta:
    """Objects of one kind that changed between two revisions of the store.

    The items are all changes after revision `base` up to `revision`. If
    `base` is 0, they are all objects that exist.
    """

    items: tuple[StoredObject, ...]
    revision: int
    base: int = 0
