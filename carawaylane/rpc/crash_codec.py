"""Conversion between messages about crashes and internal types.

Clocks differ between nodes, so messages carry ages.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaylane.decisions.admission.quarantine import (
    NEVER_MS,
    QUARANTINE_MS,
    CrashRecord,
)
from carawaylane.rpc.fleet_pb2 import CrashRecord as CrashRecordPb
from carawaylane.rpc.fleet_pb2 import Victim

if TYPE_CHECKING:
    from collections.abc import Iterable


def pack_crash_records(
    records: Iterable[CrashRecord], now_ms: int
) -> list[CrashRecordPb]:
    """Return the messages of records whose times are of this node's clock."""
    return [
        CrashRecordPb(
            digest=int(record.digest),
            victims=[
                Victim(target=target, age_ms=_age_ms(crashed_ms, now_ms))
                for target, crashed_ms in record.victims
            ],
            answered=record.answered_ms > NEVER_MS,
            answered_age_ms=_age_ms(record.answered_ms, now_ms),
        )
        for record in records
    ]


def unpack_crash_records(
    msgs: Iterable[CrashRecordPb], now_ms: int
) -> list[CrashRecord]:
    """Return the records in messages, with times of this node's clock."""
    return [
        CrashRecord(
            digest=str(msg.digest),
            victims=tuple(
                (victim.target, now_ms - victim.age_ms)
                for victim in msg.victims
            ),
            answered_ms=now_ms - msg.answered_age_ms
            if msg.answered
            else NEVER_MS,
        )
        for msg in msgs
    ]


def _age_ms(at_ms: int, now_ms: int) -> int:
    return max(0, min(now_ms - at_ms, QUARANTINE_MS))
