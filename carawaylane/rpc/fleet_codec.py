"""Conversion between messages of the fleet protocol and their types."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaylane.messages.dispatch import (
    AttemptKind,
    Grant,
    Queued,
    Refusal,
    SlotReply,
    SlotRequest,
    Ticket,
)
from carawaylane.messages.stored_objects import ObjectDelta, StoredObject
from carawaylane.rpc.fleet_pb2 import Ask as AskPb
from carawaylane.rpc.fleet_pb2 import Done, Known, Object, Reply

if TYPE_CHECKING:
    from carawaylane.decisions.failure_estimate import Result


def pack_slot_request(ask: SlotRequest, service: str) -> AskPb:
    """Return an ask in its wire form."""
    return AskPb(
        ticket=ask.ticket[1],
        service=service,
        route=ask.route,
        priority=ask.priority,
        idempotent=ask.idempotent,
        left_ms=int(ask.left_s * 1000),
        objective_ms=int(ask.objective_s * 1000),
        turn=ask.attempt.value,  # type: ignore[arg-type]
        avoid=sorted(ask.avoided_targets),
        digest=ask.digest,
        request_id=ask.request_id,
    )


def unpack_slot_request(
    msg: AskPb, entry: str, data_centre: str
) -> SlotRequest:
    """Return an ask that an entry sent."""
    return SlotRequest(
        ticket=(entry, msg.ticket),
        data_centre=data_centre,
        route=msg.route,
        priority=msg.priority,
        idempotent=msg.idempotent,
        left_s=msg.left_ms / 1000,
        objective_s=msg.objective_ms / 1000,
        attempt=AttemptKind(msg.turn),
        avoided_targets=frozenset(msg.avoid),
        digest=msg.digest,
        request_id=msg.request_id,
    )


def pack_result(
    ticket: Ticket, service: str, result: Result, took_s: float
) -> Done:
    """Return the report on a granted request in its wire form."""
    return Done(
        ticket=ticket[1],
        service=service,
        result=result.value,  # type: ignore[arg-type]
        took_ms=int(took_s * 1000),
    )


def pack_still_waiting(ticket: Ticket, service: str) -> Done:
    """Return the word that an entry still waits for a target."""
    return Done(ticket=ticket[1], service=service, result=Done.OPEN)


def pack_slot_reply(verdict: SlotReply) -> Reply:
    """Return a home's reply in its wire form."""
    number = verdict.ticket[1]
    match verdict:
        case Grant():
            return Reply(
                ticket=number,
                verdict=Reply.GRANT,
                target=verdict.target,
                address=verdict.address,
                hedge_ms=int(verdict.hedge_after_s * 1000),
                risk_pct=int(verdict.risk * 100),
            )
        case Queued():
            return Reply(
                ticket=number,
                verdict=Reply.WAIT,
                expect_ms=int(verdict.expected_wait_s * 1000),
            )
        case Refusal():
            return Reply(
                ticket=number,
                verdict=Reply.REFUSE,
                expect_ms=int(verdict.retry_after_s * 1000),
                reason=verdict.reason,
            )


def unpack_slot_reply(msg: Reply, entry: str) -> SlotReply:
    """Return a home's reply to an entry."""
    ticket = (entry, msg.ticket)
    if msg.verdict == Reply.GRANT:
        return Grant(
            ticket=ticket,
            target=msg.target,
            address=msg.address,
            hedge_after_s=msg.hedge_ms / 1000,
            risk=msg.risk_pct / 100,
        )
    if msg.verdict == Reply.WAIT:
        return Queued(ticket=ticket, expected_wait_s=msg.expect_ms / 1000)
    return Refusal(
        ticket=ticket,
        retry_after_s=msg.expect_ms / 1000,
        reason=msg.reason,
    )


def pack_delta(kind: int, news: ObjectDelta, age_s: float) -> Known:
    """Return news of a collection in their wire form."""
    return Known(
        kind=kind,
        revision=news.revision,
        base=news.base,
        items=[
            Object(
                name=each.name,
                revision=each.revision,
                data=each.data or b'',
                gone=each.data is None,
                lapsed=each.lapsed,
            )
            for each in news.items
        ],
        age_ms=int(min(age_s, 3600.0) * 1000),
    )


def unpack_delta(msg: Known) -> ObjectDelta:
    """Return news that a peer sent."""
    return ObjectDelta(
        items=tuple(
            StoredObject(
                name=each.name,
                revision=each.revision,
                data=None if each.gone else each.data,
                lapsed=each.lapsed,
            )
            for each in msg.items
        ),
        revision=msg.revision,
        base=msg.base,
    )
