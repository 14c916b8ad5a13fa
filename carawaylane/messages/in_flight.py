"""What an entry has in flight at targets, for a home that does not know it."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True, repr=False)
class TargetInFlight:
    """Requests of an entry that are in flight at a target.

    `numbers` are those of the tickets of some or all of them, the oldest
    first. `oldest_age_s` is the time since the oldest was sent.
    """

    target: str
    requests: int
    oldest_age_s: float
    numbers: tuple[int, ...] = ()
