"""What entries lend to a quota home."""

from __future__ import annotations

from attrs import define


@define(kw_only=True, repr=False)
class LentRight:
    """The right of an entry, which counts from `usable_at_s` until its end."""

    usable_at_s: float
    ends_at_s: float
    counts: bool = False


@define(kw_only=True, repr=False)
class OfferedAdvance:
    """A share of the slack that may be spent until a time."""

    share: float
    ends_at_s: float
