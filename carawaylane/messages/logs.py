"""Messages about the two logs between services of a node."""

from __future__ import annotations

from attrs import frozen

from carawaylane.decisions.changelog import Batch


@frozen(kw_only=True)
class Learn:
    """Changes heard from the platform or from a peer."""

    batch: Batch


@frozen(kw_only=True)
class Since:
    """Ask for what a peer at a place of a log lacks."""

    log: str
    after: int


@frozen(kw_only=True)
class ConfigMoved:
    """A newer configuration is in force; `changed` is None for all of it."""

    seq: int
    changed: tuple[tuple[str, str], ...] | None


@frozen(kw_only=True)
class FleetMoved:
    """Members or owners changed."""

    seq: int
