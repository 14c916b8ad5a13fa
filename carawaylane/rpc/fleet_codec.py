"""Conversion between the messages of fleet.proto and internal types."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from carawaylane.decisions.targets.rate_limits import MAX_RATE_PER_S
from carawaylane.messages.dispatch import (
    AttemptCounts,
    AttemptKind,
    AttemptReport,
    BackpressureNotice,
    Grant,
    Queued,
    Refusal,
    SlotReply,
    SlotRequest,
    Ticket,
)
from carawaylane.rpc.fleet_pb2 import Ask as AskPb
from carawaylane.rpc.fleet_pb2 import (
    Attempts,
    Done,
    RateLimit,
    Reply,
    Withheld,
)
from carawaylane.rpc.in_flight_codec import pack_in_flight, unpack_in_flight
from carawaylane.rpc.learned_codec import pack_learned, unpack_learned

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaylane.decisions.placement.failure_estimate import Result


def pack_slot_request(request: SlotRequest, service: str) -> AskPb:
    """Return the protobuf message of a slot request."""
    return AskPb(
        ticket=request.ticket[1],
        service=service,
        route=request.route,
        priority=request.priority,
        idempotent=request.idempotent,
        left_ms=int(request.left_s * 1000),
        # Some routes aim at less than 1 ms.
        objective_ms=ceil(request.objective_s * 1000),
        turn=request.attempt.value,  # type: ignore[arg-type]
        avoid=sorted(request.avoided_targets),
        digest=request.digest,
        request_id=request.request_id,
        recent_attempts=_pack_counts(request.recent_attempts.total),
        recent_attempts_here=_pack_counts(request.recent_attempts.at_home),
        rate_limits=[
            _pack_rate_limit(notice)
            for notice in request.notices
            if notice.names_rate
        ],
        withheld=[
            _pack_withheld(notice)
            for notice in request.notices
            if notice.withholds
        ],
        customer=request.customer,
        request_bytes=request.request_bytes,
        method=request.method,
        path_shape=request.path_shape,
        large_answers=request.large_answers,
        learned=pack_learned(request.learned) if request.learned else None,
        in_flight=pack_in_flight(request.in_flight),
    )


def unpack_slot_request(
    msg: AskPb, entry: str, data_centre: str
) -> SlotRequest:
    """Return the slot request in the protobuf message of an entry."""
    return SlotRequest(
        ticket=(entry, msg.ticket),
        data_centre=data_centre,
        route=msg.route,
        priority=msg.priority,
        idempotent=msg.idempotent,
        left_s=msg.left_ms / 1000,
        # Older builds round down to 0, which no route aims at.
        objective_s=max(msg.objective_ms, 1) / 1000,
        attempt=AttemptKind(msg.turn),
        avoided_targets=frozenset(msg.avoid),
        digest=msg.digest,
        request_id=msg.request_id,
        recent_attempts=AttemptReport(
            total=_unpack_counts(msg.recent_attempts),
            at_home=_unpack_counts(msg.recent_attempts_here),
        ),
        notices=_unpack_notices(msg.rate_limits, msg.withheld),
        customer=msg.customer,
        request_bytes=msg.request_bytes,
        method=msg.method,
        path_shape=msg.path_shape,
        large_answers=msg.large_answers,
        learned=unpack_learned(msg.learned)
        if msg.HasField('learned')
        else None,
        in_flight=unpack_in_flight(msg.in_flight),
    )


def _pack_counts(counts: AttemptCounts) -> Attempts:
    return Attempts(firsts=counts.first_attempts, retries=counts.retries)


def _unpack_counts(msg: Attempts) -> AttemptCounts:
    return AttemptCounts(first_attempts=msg.firsts, retries=msg.retries)


def _pack_rate_limit(notice: BackpressureNotice) -> RateLimit:
    return RateLimit(
        target=notice.target,
        per_s=notice.rate_per_s,
        sent_age_ms=int(notice.sent_age_s * 1000),
        heard_age_ms=int(notice.heard_age_s * 1000),
    )


def read_rate(rate_per_s: float) -> float | None:
    """Return a rate that a peer sent, None if it limits nothing."""
    return rate_per_s if 0 <= rate_per_s <= MAX_RATE_PER_S else None


def _pack_withheld(notice: BackpressureNotice) -> Withheld:
    return Withheld(
        target=notice.target,
        # Rounded up, so that a pause that has not ended is not 0.
        pause_left_ms=ceil(notice.pause_left_s * 1000),
        leaving=notice.leaving,
        started_ms=notice.started_ms,
        # Older builds order the starts of targets.
        started_until_ms=notice.started_until_ms,
    )


def _unpack_notices(
    limits: Iterable[RateLimit], withheld: Iterable[Withheld]
) -> tuple[BackpressureNotice, ...]:
    """Return a notice for each message, two for some targets."""
    return (
        *(
            BackpressureNotice(
                target=msg.target,
                rate_per_s=read_rate(msg.per_s)
                if msg.HasField('per_s')
                else None,
                sent_age_s=msg.sent_age_ms / 1000,
                heard_age_s=msg.heard_age_ms / 1000,
            )
            for msg in limits
        ),
        *(
            BackpressureNotice(
                target=msg.target,
                names_rate=False,
                pause_left_s=msg.pause_left_ms / 1000,
                leaving=msg.leaving,
                started_ms=msg.started_ms
                if msg.HasField('started_ms')
                else None,
                started_until_ms=msg.started_until_ms,
            )
            for msg in withheld
        ),
    )


def unpack_result_notices(msg: Done) -> tuple[BackpressureNotice, ...]:
    """Return what the target of a result asked for."""
    return _unpack_notices(
        [msg.rate_limit] if msg.HasField('rate_limit') else [],
        [msg.withheld] if msg.HasField('withheld') else [],
    )


def pack_result(
    ticket: Ticket,
    service: str,
    result: Result,
    duration_s: float,
    notice: BackpressureNotice | None = None,
    answer_bytes: int = 0,
) -> Done:
    """Return the protobuf message of the result of a granted request."""
    return Done(
        ticket=ticket[1],
        service=service,
        result=result.value,  # type: ignore[arg-type]
        took_ms=int(duration_s * 1000),
        rate_limit=_pack_rate_limit(notice)
        if notice and notice.names_rate
        else None,
        withheld=_pack_withheld(notice)
        if notice and notice.withholds
        else None,
        answer_bytes=answer_bytes,
    )


def pack_still_waiting(ticket: Ticket, service: str) -> Done:
    """Return the protobuf message that an answer is still awaited."""
    return Done(ticket=ticket[1], service=service, result=Done.OPEN)


def pack_slot_reply(reply: SlotReply) -> Reply:
    """Return the protobuf message of a reply to a slot request."""
    ticket_number = reply.ticket[1]
    match reply:
        case Grant():
            return Reply(
                ticket=ticket_number,
                verdict=Reply.GRANT,
                target=reply.target,
                address=reply.address,
                hedge_ms=int(reply.hedge_after_s * 1000),
                risk_pct=int(reply.risk * 100),
            )
        case Queued():
            return Reply(
                ticket=ticket_number,
                verdict=Reply.WAIT,
                expect_ms=int(reply.expected_wait_s * 1000),
            )
        case Refusal():
            return Reply(
                ticket=ticket_number,
                verdict=Reply.REFUSE,
                expect_ms=int(reply.retry_after_s * 1000),
                reason=reply.reason,
            )


def unpack_slot_reply(msg: Reply, entry: str) -> SlotReply:
    """Return the reply to an entry in the protobuf message of a home."""
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
