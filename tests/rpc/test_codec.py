"""Tests that values survive conversion to protobuf messages and back."""

import pytest

from carawaylane.decisions.ownership.ledger import KeyState, Record
from carawaylane.messages.exchange import AnswerChunk, Head, Request
from carawaylane.messages.outcomes import (
    Answered,
    Failed,
    Moved,
    NotRun,
    Unknown,
)
from carawaylane.rpc.codec import (
    pack_chunk,
    pack_record,
    pack_request,
    unpack_chunk,
    unpack_record,
    unpack_request,
)

OUTCOMES = [
    Answered(status=0),
    NotRun(reason='r', retry_after_ms=5, status=422, refused_ms=9),
    Unknown(reason='r', retry_after_ms=7),
    Failed(reason='r', retry_after_ms=7),
    Moved(epoch=3, owner='n'),
]


@pytest.mark.parametrize('outcome', OUTCOMES)
def test_chunks_are_unchanged(outcome):
    head = Head(status=200, headers=(('a', 'b'),), target='t', replayed=True)
    chunk = AnswerChunk(head=head, data=b'x', outcome=outcome, free_slots=2)
    assert unpack_chunk(pack_chunk(chunk, 2)) == chunk


ODD_STATUSES = [-1, 0, 99, 100, 199, 600, 2**31 - 1]


@pytest.mark.parametrize('status', ODD_STATUSES)
def test_a_chunk_with_a_status_that_http_does_not_have_is_malformed(status):
    """The caller got it, from a home with an older build."""
    chunk = AnswerChunk(head=Head(status=status), data=b'x')
    with pytest.raises(ValueError, match='is no answer'):
        unpack_chunk(pack_chunk(chunk, 0))


@pytest.mark.parametrize('status', ODD_STATUSES)
def test_a_refusal_has_a_status_of_http(status):
    chunk = AnswerChunk(outcome=NotRun(reason='r', status=status))
    assert unpack_chunk(pack_chunk(chunk, 0)).outcome.status == 503


@pytest.mark.parametrize('status', ODD_STATUSES)
def test_a_record_holds_no_answer_with_another_status(status):
    record = Record(
        key='k',
        state=next(iter(KeyState)),
        at_ms=1,
        answer=Answered(status=status),
    )
    unpacked = unpack_record(pack_record(('s', 1), record))[1]
    assert unpacked.answer is None


def test_requests_are_unchanged():
    req = Request(
        request_id='i',
        service='s',
        kind='k',
        caller='c',
        method='POST',
        path='/p?q=1',
        headers=(('a', 'b'),),
        body=b'x',
        key='key',
        shard=1,
        epoch=2,
        entry='e',
        deadline_ms=3,
        accepted_ms=4,
        trace_parent='t',
        digest='d',
    )
    assert unpack_request(pack_request(req, 0)) == req


@pytest.mark.parametrize('state', KeyState)
def test_records_are_unchanged(state):
    answer = None
    if state is KeyState.ANSWERED:
        answer = Answered(status=201, headers=(('a', 'b'),), body=b'x')
    record = Record(key='k', state=state, at_ms=5, answer=answer)
    assert unpack_record(pack_record(('s', 1), record)) == (('s', 1), record)
