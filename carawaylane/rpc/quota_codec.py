"""Conversion between the quota messages of fleet.proto and internal types."""

from __future__ import annotations

from math import ceil

from carawaylane.messages.quotas import (
    Admitted,
    Leaving,
    Limits,
    Loan,
    OverQuota,
    QuotaAsk,
    QuotaReply,
    QuotaReturn,
    Stamp,
    UnknownCustomer,
    Verdict,
    Waited,
)
from carawaylane.rpc.fleet_pb2 import QuotaAsk as QuotaAskPb
from carawaylane.rpc.fleet_pb2 import QuotaLimits, Reply
from carawaylane.rpc.fleet_pb2 import QuotaReply as QuotaReplyPb
from carawaylane.rpc.fleet_pb2 import QuotaReturn as QuotaReturnPb


def pack_quota_ask(ask: QuotaAsk) -> QuotaAskPb:
    """Return the protobuf message of an ask."""
    echo = ask.loan.echo
    msg = QuotaAskPb(
        ticket=ask.ticket,
        shard=ask.shard,
        customer=ask.customer,
        limits=QuotaLimits(
            rate_per_s=ask.limits.rate_per_s, burst=ask.limits.burst
        )
        if ask.limits
        else None,
        echo_run=echo.run if echo else None,
        echo_ms=echo.at_ms if echo else 0,
        # Rounded up, since another home may use the right until then.
        delay_ms=ceil(ask.loan.delay_s * 1000),
        advance=ask.loan.advance,
        one_way=ask.one_way,
    )
    if ask.waited is not None:
        msg.waited = ask.waited.customer
        msg.runs = ask.waited.runs
        _pack_counted(msg, ask.waited.counted_at)
    return msg


def unpack_quota_ask(msg: QuotaAskPb) -> QuotaAsk:
    """Return the ask in the protobuf message of an entry."""
    return QuotaAsk(
        ticket=msg.ticket,
        shard=msg.shard,
        customer=msg.customer,
        limits=Limits(rate_per_s=msg.limits.rate_per_s, burst=msg.limits.burst)
        if msg.HasField('limits')
        else None,
        loan=Loan(
            echo=Stamp(run=msg.echo_run, at_ms=msg.echo_ms)
            if msg.HasField('echo_run')
            else None,
            delay_s=msg.delay_ms / 1000,
            advance=msg.advance,
        ),
        waited=Waited(
            customer=msg.waited,
            counted_at=_unpack_counted(msg),
            runs=msg.runs,
        )
        if msg.waited
        else None,
        one_way=msg.one_way,
    )


def _pack_counted(
    msg: QuotaAskPb | QuotaReturnPb, counted_at: Stamp | None
) -> None:
    if counted_at is not None:
        msg.counted_run = counted_at.run
        msg.counted_ms = counted_at.at_ms


def _unpack_counted(msg: QuotaAskPb | QuotaReturnPb) -> Stamp | None:
    if not msg.HasField('counted_run'):
        return None
    return Stamp(run=msg.counted_run, at_ms=msg.counted_ms)


def pack_quota_reply(reply: QuotaReply) -> Reply:
    """Return the protobuf message of a home's reply."""
    msg = QuotaReplyPb(
        shard=reply.shard,
        run=reply.stamp.run,
        at_ms=reply.stamp.at_ms,
        ended_earlier_runs=reply.ended_earlier_runs,
    )
    match reply.verdict:
        case UnknownCustomer():
            msg.verdict = QuotaReplyPb.UNKNOWN
        case Leaving():
            msg.verdict = QuotaReplyPb.LEAVING
        case OverQuota() as over:
            msg.verdict = QuotaReplyPb.OVER
            msg.retry_after_ms = ceil(over.retry_after_s * 1000)
            msg.admitted = over.admitted
            msg.limit = over.limit
    return Reply(ticket=reply.ticket, quota=msg)


def unpack_quota_reply(msg: Reply) -> QuotaReply:
    """Return the reply in the protobuf message of a home."""
    quota = msg.quota
    verdict: Verdict = Admitted()
    if quota.verdict == QuotaReplyPb.UNKNOWN:
        verdict = UnknownCustomer()
    elif quota.verdict == QuotaReplyPb.LEAVING:
        verdict = Leaving()
    elif quota.verdict == QuotaReplyPb.OVER:
        verdict = OverQuota(
            retry_after_s=quota.retry_after_ms / 1000,
            admitted=quota.admitted,
            limit=quota.limit,
        )
    return QuotaReply(
        ticket=msg.ticket,
        shard=quota.shard,
        stamp=Stamp(run=quota.run, at_ms=quota.at_ms),
        verdict=verdict,
        ended_earlier_runs=quota.ended_earlier_runs,
    )


def pack_quota_return(returned: QuotaReturn) -> QuotaReturnPb:
    """Return the protobuf message of a returned token."""
    msg = QuotaReturnPb(
        shard=returned.shard,
        customer=returned.customer,
        run=returned.admitted_at.run,
        at_ms=returned.admitted_at.at_ms,
    )
    _pack_counted(msg, returned.counted_at)
    return msg


def unpack_quota_return(msg: QuotaReturnPb) -> QuotaReturn:
    """Return the returned token in the protobuf message of an entry."""
    return QuotaReturn(
        shard=msg.shard,
        customer=msg.customer,
        admitted_at=Stamp(run=msg.run, at_ms=msg.at_ms),
        counted_at=_unpack_counted(msg),
    )
