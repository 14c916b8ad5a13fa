"""Messages about the configuration log and the fleet log."""

from __future__ import annotations

from attrs import frozen

from carawaylane.decisions.ownership.changelog import Batch


@frozen(kw_only=True)
class ApplyBatch:
    """Apply changes received from the platform or from a peer."""

    batch: Batch


@frozen(kw_only=True)
class ReadBatch:
    """Ask for the changes of a log that follow sequence number `after`."""

    log: str
    after: int


@frozen(kw_only=True)
class ConfigChanged:
    """The replica of the configuration has advanced to `seq`.

    `changed` holds the (kind, name) of each changed document; None means
    that any document may have changed.
    """

    seq: int
    changed: tuple[tuple[str, str], ...] | None


@frozen(kw_only=True)
class FleetChanged:
    """The replica of the fleet log has advanced to `seq`."""

    seq: int
