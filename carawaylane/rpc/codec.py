"""Conversion between wire messages and the types of the decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaylane.decisions.journal import Promise
from carawaylane.decisions.ledger import Record, State
from carawaylane.messages.exchange import Head, Piece, Request
from carawaylane.messages.outcomes import (
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

    from carawaylane.decisions.fleet import ShardId

_VERDICTS = {
    Answered: End.ANSWERED,
    NotRun: End.NOT_RUN,
    Unknown: End.UNKNOWN,
    Moved: End.MOVED,
    Failed: End.FAILED,
}


def pack_headers(headers: Headers) -> list[Header]:
    """Return headers in their wire form."""
    return [Header(name=name, value=value) for name, value in headers]


def unpack_headers(rows: Iterable[Header]) -> Headers:
    """Return headers from their wire form."""
    return tuple((row.name, row.value) for row in rows)


def pack_request(req: Request, hop: ForwardRequest.Hop) -> ForwardRequest:
    """Return a request in its wire form."""
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
    """Return a request from its wire form."""
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


def pack_piece(piece: Piece, free_slots: int) -> ForwardChunk:
    """Return a piece of an answer in its wire form."""
    chunk = ForwardChunk(data=piece.data)
    if piece.head is not None:
        chunk.head.CopyFrom(
            HeadPb(
                status=piece.head.status,
                headers=pack_headers(piece.head.headers),
                target=piece.head.target,
                replayed=piece.head.replayed,
            )
        )
    if piece.end is not None:
        chunk.end.CopyFrom(_pack_end(piece.end, free_slots))
    return chunk


def unpack_piece(chunk: ForwardChunk) -> Piece:
    """Return a piece of an answer from its wire form."""
    head = None
    if chunk.HasField('head'):
        head = Head(
            status=chunk.head.status,
            headers=unpack_headers(chunk.head.headers),
            target=chunk.head.target,
            replayed=chunk.head.replayed,
        )
    if not chunk.HasField('end'):
        return Piece(head=head, data=chunk.data)
    return Piece(
        head=head,
        data=chunk.data,
        end=_unpack_end(chunk.end),
        free_slots=chunk.end.free_slots,
    )


def pack_record(shard: ShardId, record: Record) -> RecordPb:
    """Return the record of a key in its wire form."""
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
    """Return the record of a key, and its shard, from the wire form."""
    answer = None
    if msg.status:
        answer = Answered(
            status=msg.status,
            headers=unpack_headers(msg.headers),
            body=msg.body,
        )
    record = Record(
        key=msg.key, state=State(msg.state), at_ms=msg.at_ms, answer=answer
    )
    return (msg.service, msg.shard), record


def pack_promise(shard: ShardId, promise: Promise) -> FenceReply:
    """Return a promise in its wire form."""
    return FenceReply(
        promised=promise.promised,
        records=[pack_record(shard, each) for each in promise.records],
        vouched=promise.covered_members,
        known_epoch=promise.known_epoch,
    )


def unpack_promise(msg: FenceReply) -> Promise:
    """Return a promise from its wire form."""
    return Promise(
        promised=msg.promised,
        records=tuple(unpack_record(each)[1] for each in msg.records),
        covered_members=tuple(msg.vouched),
        known_epoch=msg.known_epoch,
    )


def _pack_end(end: Outcome, free_slots: int) -> End:
    msg = End(verdict=_VERDICTS[type(end)], free_slots=free_slots)
    if isinstance(end, Moved):
        msg.epoch = end.epoch
        msg.owner = end.owner
    elif not isinstance(end, Answered):
        msg.reason = end.reason
        msg.retry_after_ms = end.retry_after_ms
    if isinstance(end, NotRun):
        msg.refused_ms = end.refused_ms
        msg.status = end.status
    return msg


def _unpack_end(msg: End) -> Outcome:
    match msg.verdict:
        case End.ANSWERED:
            return Answered(status=0)
        case End.NOT_RUN:
            return NotRun(
                reason=msg.reason,
                retry_after_ms=msg.retry_after_ms,
                status=msg.status,
                refused_ms=msg.refused_ms,
            )
        case End.MOVED:
            return Moved(epoch=msg.epoch, owner=msg.owner)
        case End.FAILED:
            return Failed(reason=msg.reason, retry_after_ms=msg.retry_after_ms)
    return Unknown(reason=msg.reason, retry_after_ms=msg.retry_after_ms)
