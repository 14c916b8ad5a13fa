"""Conversion of what entries have in flight to and from protobuf."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaylane.messages.in_flight import TargetInFlight
from carawaylane.rpc.fleet_pb2 import InFlight

if TYPE_CHECKING:
    from collections.abc import Iterable


def pack_in_flight(report: Iterable[TargetInFlight]) -> list[InFlight]:
    """Return the protobuf messages of a report."""
    return [
        InFlight(
            target=target.target,
            requests=target.requests,
            oldest_ms=int(target.oldest_age_s * 1000),
            tickets=target.numbers,
        )
        for target in report
    ]


def unpack_in_flight(msgs: Iterable[InFlight]) -> tuple[TargetInFlight, ...]:
    """Return the report in protobuf messages."""
    return tuple(
        TargetInFlight(
            target=msg.target,
            requests=msg.requests,
            oldest_age_s=msg.oldest_ms / 1000,
            numbers=tuple(msg.tickets),
        )
        for msg in msgs
    )
