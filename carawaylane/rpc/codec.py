"""Conversion between the messages of node.proto and internal types."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaylane.decisions.ownership.journal import Promise
from carawaylane.decisions.ownership.ledger import KeyState, Record
from carawaylane.messages.exchange import AnswerChunk, Head, Request
from carawaylane.messages.outcomes import (
    FINAL_STATUSES,
    Answered,
    Failed,
    Headers,
    Moved,
    NotRun,
    Outcome,
    Unknown,
)
from carawaylane.rpc.node_pb2 import (
    End,
    FenceReply,
    ForwardChunk,
    ForwardRequest,
    Header,
)
from carawaylane.rpc.node_pb2 import Head as HeadPb
from carawaylane.rpc.node_pb2 import Record as RecordPb

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaylane.decisions.ownership.fleet import ShardId

_VERDICT_OF_OUTCOME = {
    Answered: End.ANSWERED,
    NotRun: End.NOT_RUN,
    Unknown: End.UNKNOWN,
    Moved: End.MOVED,
    Failed: End.FAILED,
}


def pack_headers(headers: Headers) -> list[Header]:
    """Return the protobuf messages of headers."""
    return [Header(name=name, value=value) for name, value in headers]


def unpack_headers(header_messages: Iterable[Header]) -> Headers:
    """Return the headers in protobuf messages."""
    return tuple((header.name, header.value) for header in header_messages)


def pack_request(req: Request, hop: ForwardRequest.Hop) -> ForwardRequest:
    """Return the protobuf message of a request; `hop` says what it is for."""
    return ForwardRequest(
        request_id=req.request_id,
        key=req.key,
        service=req.service,
        shard=req.shard,
        epoch=req.epoch,
        entry=req.entry,
        kind=req.kind,
        caller=req.caller,
        deadline_ms=req.deadline_ms,
        accepted_ms=req.accepted_ms,
        method=req.method,
        path=req.path,
        headers=pack_headers(req.headers),
        body=req.body,
        hop=hop,
        trace_parent=req.trace_parent,
        digest=req.digest,
    )


def unpack_request(msg: ForwardRequest) -> Request:
    """Return the request in a protobuf message."""
    return Request(
        request_id=msg.request_id,
        key=msg.key,
        service=msg.service,
        shard=msg.shard,
        epoch=msg.epoch,
        entry=msg.entry,
        kind=msg.kind,
        caller=msg.caller,
        deadline_ms=msg.deadline_ms,
        accepted_ms=msg.accepted_ms,
        method=msg.method,
        path=msg.path,
        headers=unpack_headers(msg.headers),
        body=msg.body,
        trace_parent=msg.trace_parent,
        digest=msg.digest,
    )


def pack_chunk(chunk: AnswerChunk, free_slots: int) -> ForwardChunk:
    """Return the protobuf message of a chunk of an answer.

    `free_slots` is sent with the last chunk only.
    """
    msg = ForwardChunk(data=chunk.data)
    if chunk.head is not None:
        msg.head.CopyFrom(
            HeadPb(
                status=chunk.head.status,
                headers=pack_headers(chunk.head.headers),
                target=chunk.head.target,
                replayed=chunk.head.replayed,
            )
        )
    if chunk.outcome is not None:
        msg.end.CopyFrom(_pack_outcome(chunk.outcome, free_slots))
    return msg


def unpack_chunk(msg: ForwardChunk) -> AnswerChunk:
    """Return the chunk of an answer in a protobuf message.

    Raises `ValueError` if the status of the answer is none of HTTP.
    """
    head = None
    if msg.HasField('head'):
        if msg.head.status not in FINAL_STATUSES:
            raise ValueError(f'status {msg.head.status} is no answer')
        head = Head(
            status=msg.head.status,
            headers=unpack_headers(msg.head.headers),
            target=msg.head.target,
            replayed=msg.head.replayed,
        )
    if not msg.HasField('end'):
        return AnswerChunk(head=head, data=msg.data)
    return AnswerChunk(
        head=head,
        data=msg.data,
        outcome=_unpack_outcome(msg.end),
        free_slots=msg.end.free_slots,
    )


def pack_record(shard: ShardId, record: Record) -> RecordPb:
    """Return the protobuf message of the record of an idempotency key."""
    msg = RecordPb(
        key=record.key,
        service=shard[0],
        shard=shard[1],
        at_ms=record.at_ms,
        state=record.state.name,
    )
    if record.answer is not None:
        msg.status = record.answer.status
        msg.headers.extend(pack_headers(record.answer.headers))
        msg.body = record.answer.body
    return msg


def unpack_record(msg: RecordPb) -> tuple[ShardId, Record]:
    """Return the shard and the key's record in a protobuf message."""
    answer = None
    if msg.status in FINAL_STATUSES:
        answer = Answered(
            status=msg.status,
            headers=unpack_headers(msg.headers),
            body=msg.body,
        )
    record = Record(
        key=msg.key, state=KeyState(msg.state), at_ms=msg.at_ms, answer=answer
    )
    return (msg.service, msg.shard), record


def pack_promise(shard: ShardId, promise: Promise) -> FenceReply:
    """Return the protobuf message of an entry's promise to a new owner."""
    return FenceReply(
        promised=promise.promised,
        records=[pack_record(shard, record) for record in promise.records],
        vouched=promise.covered_members,
        known_epoch=promise.known_epoch,
    )


def unpack_promise(msg: FenceReply) -> Promise:
    """Return the promise in a protobuf message."""
    return Promise(
        promised=msg.promised,
        records=tuple(unpack_record(record)[1] for record in msg.records),
        covered_members=tuple(msg.vouched),
        known_epoch=msg.known_epoch,
    )


def _pack_outcome(outcome: Outcome, free_slots: int) -> End:
    msg = End(
        verdict=_VERDICT_OF_OUTCOME[type(outcome)], free_slots=free_slots
    )
    if isinstance(outcome, Moved):
        msg.epoch = outcome.epoch
        msg.owner = outcome.owner
    elif not isinstance(outcome, Answered):
        msg.reason = outcome.reason
        msg.retry_after_ms = outcome.retry_after_ms
    if isinstance(outcome, NotRun):
        msg.refused_ms = outcome.refused_ms
        msg.status = outcome.status
    return msg


def _unpack_outcome(msg: End) -> Outcome:
    match msg.verdict:
        case End.ANSWERED:
            return Answered(status=0)
        case End.NOT_RUN:
            return NotRun(
                reason=msg.reason,
                retry_after_ms=msg.retry_after_ms,
                status=msg.status if msg.status in FINAL_STATUSES else 503,
                refused_ms=msg.refused_ms,
            )
        case End.MOVED:
            return Moved(epoch=msg.epoch, owner=msg.owner)
        case End.FAILED:
            return Failed(reason=msg.reason, retry_after_ms=msg.retry_after_ms)
    return Unknown(reason=msg.reason, retry_after_ms=msg.retry_after_ms)
