"""Conversion of previews of placements to protobuf."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaylane.rpc.fleet_codec import pack_slot_reply
from carawaylane.rpc.fleet_pb2 import PreviewReply

if TYPE_CHECKING:
    from carawaylane.messages.previews import Candidate, Preview


def pack_preview(preview: Preview) -> PreviewReply:
    """Return the protobuf message of a preview."""
    return PreviewReply(
        reply=pack_slot_reply(preview.reply),
        queued=preview.queued,
        candidates=map(_pack_candidate, preview.candidates),
    )


def _pack_candidate(candidate: Candidate) -> PreviewReply.Candidate:
    return PreviewReply.Candidate(
        target=candidate.target,
        data_centre=candidate.data_centre,
        slots=candidate.slots,
        in_flight=candidate.in_flight,
        risk=candidate.risk,
        work_s=candidate.work_s,
        remaining_s=candidate.remaining_s,
        cost=candidate.cost,
        verdict=candidate.verdict.value,  # type: ignore[arg-type]
        reason=candidate.reason,
    )
