"""Conversion between the messages of a relayed request and internal types."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from carawaylane.decisions.targets.backpressure import MAX_PAUSE_S
from carawaylane.messages.exchange import OutgoingRequest
from carawaylane.messages.outcomes import Backpressure, InvalidNumber
from carawaylane.rpc.fleet_codec import read_rate
from carawaylane.rpc.fleet_pb2 import Header, RelayReply, RelayRequest
from carawaylane.services.targets import (
    BrokenExchange,
    CompleteAnswer,
    NeverSent,
    RefusedByTarget,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaylane.gateway.exchanges import ExchangeResult
    from carawaylane.messages.outcomes import Headers


def pack_relay_request(
    target: str, address: str, request: OutgoingRequest, left_s: float
) -> RelayRequest:
    """Return the message that lets another node send a request."""
    return RelayRequest(
        target=target,
        address=address,
        method=request.method,
        path=_to_bytes(request.path),
        headers=_pack_headers(request.headers),
        body=request.body,
        request_id=request.request_id,
        idempotent=request.idempotent,
        left_ms=int(left_s * 1000),
    )


def unpack_relayed_request(msg: RelayRequest) -> OutgoingRequest:
    """Return the request that a message asks this node to send."""
    return OutgoingRequest(
        method=msg.method,
        path=_to_text(msg.path),
        headers=_unpack_headers(msg.headers),
        body=msg.body,
        request_id=msg.request_id,
        idempotent=msg.idempotent,
    )


def _unpack_headers(headers: Iterable[Header]) -> Headers:
    return tuple(
        (_to_text(header.name), _to_text(header.value)) for header in headers
    )


def _pack_headers(headers: Headers) -> list[Header]:
    return [
        Header(name=_to_bytes(name), value=_to_bytes(value))
        for name, value in headers
    ]


def _to_bytes(text: str) -> bytes:
    return text.encode('utf-8', 'surrogateescape')


def _to_text(data: bytes) -> str:
    return data.decode('utf-8', 'surrogateescape')


def pack_relay_reply(result: ExchangeResult) -> RelayReply:
    """Return the message with the result of a relayed request."""
    match result:
        case CompleteAnswer():
            reply = RelayReply(
                result=RelayReply.ANSWERED,
                status=result.status,
                headers=_pack_headers(result.headers),
                body=result.body,
            )
            _set_backpressure(reply, result.backpressure)
            return reply
        case RefusedByTarget():
            reply = RelayReply(
                result=RelayReply.REFUSED, misdirected=result.misdirected
            )
            _set_backpressure(reply, result.backpressure)
            return reply
        case NeverSent():
            return RelayReply(
                result=RelayReply.NEVER_SENT,
                reason=result.reason,
                own_path=result.own_path,
                withheld=result.withheld,
            )
        case BrokenExchange():
            return RelayReply(
                result=RelayReply.BROKEN,
                reason=result.reason,
                mismatched=result.mismatched,
                timed_out=result.timed_out,
                own_path=result.own_path,
            )


def _set_backpressure(reply: RelayReply, backpressure: Backpressure) -> None:
    rate_limit = backpressure.rate_limit
    if isinstance(rate_limit, InvalidNumber):
        reply.invalid_rate_limit = rate_limit.text
    elif rate_limit is not None:
        reply.rate_limit_per_s = rate_limit
    if isinstance(backpressure.pause_s, InvalidNumber):
        reply.invalid_pause = backpressure.pause_s.text
    else:
        reply.pause_ms = ceil(min(backpressure.pause_s, MAX_PAUSE_S) * 1000)
    reply.leaving = backpressure.leaving


def unpack_relay_reply(msg: RelayReply) -> ExchangeResult:
    """Return the result of a relayed request."""
    if msg.result == RelayReply.ANSWERED:
        return CompleteAnswer(
            status=msg.status,
            headers=_unpack_headers(msg.headers),
            body=msg.body,
            backpressure=_unpack_backpressure(msg),
        )
    if msg.result == RelayReply.REFUSED:
        return RefusedByTarget(
            leaving=False,
            deadline_passed=False,
            misdirected=msg.misdirected,
            backpressure=_unpack_backpressure(msg),
        )
    if msg.result == RelayReply.NEVER_SENT:
        return NeverSent(
            reason=msg.reason, own_path=msg.own_path, withheld=msg.withheld
        )
    return BrokenExchange(
        reason=msg.reason,
        mismatched=msg.mismatched,
        timed_out=msg.timed_out,
        own_path=msg.own_path,
    )


def _unpack_backpressure(msg: RelayReply) -> Backpressure:
    rate_limit: float | InvalidNumber | None = None
    if msg.HasField('invalid_rate_limit'):
        rate_limit = InvalidNumber(text=msg.invalid_rate_limit)
    elif msg.HasField('rate_limit_per_s'):
        rate_limit = read_rate(msg.rate_limit_per_s)
    pause_s: float | InvalidNumber = msg.pause_ms / 1000
    if msg.HasField('invalid_pause'):
        pause_s = InvalidNumber(text=msg.invalid_pause)
    return Backpressure(
        rate_limit=rate_limit, pause_s=pause_s, leaving=msg.leaving
    )
