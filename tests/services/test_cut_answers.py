"""Tests of answers that are cut at any byte, on the level of the protocol.

Only a whole answer is delivered, and the end of its connection is noticed.
"""

from asyncio import create_task, get_running_loop, sleep

import pytest
from aiohttp import ClientError
from aiohttp.http_exceptions import HttpProcessingError

from carawaylane.services.response_handler import BoundedResponseHandler
from tests.services.test_response_handler import FakeTransport

BODY = b'0123456789ab'
HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Seal: s\r\n'
CHUNKS = b'5\r\n01234\r\n7;x=y\r\n56789ab\r\n0\r\n'
LENGTH = b'Content-Length: 12\r\n'
SIZED = HEAD + LENGTH + b'\r\n' + BODY
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n'
WHOLE = {
    'length': SIZED,
    'length first': SIZED.replace(LENGTH, b'').replace(
        b'Request-Id', LENGTH + b'Request-Id'
    ),
    'old version': SIZED.replace(b'1.1', b'1.0'),
    'closing': SIZED.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n'),
    'line feeds': SIZED.replace(b'\r', b''),
    'folded': SIZED.replace(b'Length: ', b'Length:\r\n ').replace(
        b'Seal: ', b'Seal:\r\n\t'
    ),
    'interim answers': INTERIM + SIZED,
    'chunks': HEAD + b'Transfer-Encoding: chunked\r\n\r\n' + CHUNKS + b'\r\n',
    'folded chunks': HEAD
    + b'Transfer-Encoding:\r\n chunked\r\n\r\n'
    + CHUNKS
    + b'\r\n',
    'trailers': HEAD
    + b'Transfer-Encoding: chunked\r\n\r\n'
    + CHUNKS
    + b'Request-Id: x\r\nDigest: 1\r\n\r\n',
}
WITHOUT_LENGTH = {
    'without a length': HEAD + b'\r\n' + BODY,
    'old, without a length': HEAD.replace(b'1.1', b'1.0') + b'\r\n' + BODY,
}
STEPS = (1, 7, 10_000)
ENDS = {'closed': None, 'reset': ConnectionResetError(104, 'reset')}
ANSWER_ERRORS = (ClientError, HttpProcessingError, OSError)


async def settle():
    for _ in range(4):
        await sleep(0)


async def read_answer(handler):
    message, payload = await handler.read()
    while 100 <= message.code < 200:
        message, payload = await handler.read()
    body = b''
    async for chunk in payload.iter_chunked(1 << 15):
        body += chunk
    return message.code, body


async def outcome(data, step, end, *, used=False, **params):
    """Return what is read of an answer that ends with its connection.

    Without an end, the target falls silent. None if the reader still waits.
    """
    handler = BoundedResponseHandler(get_running_loop())
    handler.connection_made(FakeTransport())
    params = {'read_until_eof': True, 'auto_decompress': False} | params
    if used:
        handler.set_response_params(read_until_eof=True)
        handler.data_received(SIZED)
        assert await read_answer(handler) == (200, BODY)
    handler.set_response_params(**params)
    task = create_task(read_answer(handler))
    await settle()
    for start in range(0, len(data), step):
        if handler.is_connected():
            handler.data_received(data[start : start + step])
            await settle()
    if not handler.is_connected():
        handler.connection_lost(None)
    elif end != 'silent':
        handler.connection_lost(ENDS[end])
    await settle()
    if not task.done():
        task.cancel()
        return None
    try:
        return await task
    except ANSWER_ERRORS as exc:
        return exc


def is_error(result):
    return isinstance(result, ANSWER_ERRORS)


@pytest.mark.parametrize('used', [False, True], ids=['new', 'used before'])
@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('name', WHOLE)
async def test_no_part_of_an_answer_is_taken_for_the_whole(name, end, used):
    answer = WHOLE[name]
    for step in STEPS:
        for cut in range(len(answer)):
            result = await outcome(answer[:cut], step, end, used=used)
            assert is_error(result), (step, answer[:cut])
        result = await outcome(answer, step, end, used=used)
        assert result == (200, BODY), step


@pytest.mark.parametrize('name', WITHOUT_LENGTH)
async def test_an_answer_without_a_length_ends_with_its_connection(name):
    answer = WITHOUT_LENGTH[name]
    head_bytes = len(answer) - len(BODY)
    for step in STEPS:
        for cut in range(head_bytes):
            assert is_error(await outcome(answer[:cut], step, 'closed')), cut
        assert await outcome(answer, step, 'closed') == (200, BODY), step


@pytest.mark.parametrize('name', WITHOUT_LENGTH)
async def test_an_answer_without_a_length_that_is_reset_is_not_whole(name):
    answer = WITHOUT_LENGTH[name]
    for step in STEPS:
        for cut in range(len(answer) + 1):
            result = await outcome(answer[:cut], step, 'reset')
            assert is_error(result), (step, answer[:cut])


@pytest.mark.parametrize('name', [*WHOLE, *WITHOUT_LENGTH])
async def test_no_part_of_an_answer_is_delivered_while_silent(name):
    answer = (WHOLE | WITHOUT_LENGTH)[name]
    for step in STEPS:
        for cut in range(len(answer)):
            assert await outcome(answer[:cut], step, 'silent') is None, cut


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize(
    ('answer', 'params'),
    [
        (HEAD + LENGTH + b'\r\n', {'skip_payload': True}),
        (HEAD + b'Transfer-Encoding: chunked\r\n\r\n', {'skip_payload': True}),
        (HEAD.replace(b'200 OK', b'204 No Content') + b'\r\n', {}),
        (HEAD.replace(b'200', b'304') + LENGTH + b'\r\n', {}),
        (HEAD + b'Content-Length: 0\r\n\r\n', {}),
    ],
    ids=['HEAD', 'HEAD chunked', '204', '304', 'empty'],
)
async def test_the_head_of_an_answer_without_a_body_is_whole(
    answer, params, end
):
    for step in STEPS:
        for cut in range(len(answer)):
            result = await outcome(answer[:cut], step, end, **params)
            assert is_error(result), (step, answer[:cut])
        status, body = await outcome(answer, step, end, **params)
        assert (str(status).encode(), body) == (answer[9:12], b'')


@pytest.mark.parametrize(
    'lines',
    [
        LENGTH * 2,
        b'Content-Length: 3\r\n' + LENGTH,
        b'Content-Length: 12, 12\r\n',
        b'Content-Length:\r\n',
        b'Content-Length: +12\r\n',
        b'Content-Length: -1\r\n',
        b'Content-Length: 1x\r\n',
        b'Content-Length: 18446744073709551616\r\n',
        LENGTH + b'Transfer-Encoding: chunked\r\n',
        b'Transfer-Encoding: chunked\r\n' + LENGTH,
        LENGTH + b'Transfer-Encoding: identity\r\n',
        b'Content-Length: 18446744073709551615\r\n',
        b'Transfer-Encoding: gzip\r\n',
        b'Transfer-Encoding: xchunked\r\n',
        b'Transfer-Encoding:\r\n',
        b'Transfer-Encoding: chunked, gzip\r\n',
        b'Transfer-Encoding: gzip, chunked\r\n',
        b'Transfer-Encoding: chunked\r\n' * 2,
        b'Content-Len\x00gth: 12\r\n',
        b'X: a\r' + LENGTH,
    ],
)
@pytest.mark.parametrize('body', [BODY, CHUNKS + b'\r\n'])
async def test_an_answer_without_a_clear_end_is_none(lines, body):
    for step in STEPS:
        result = await outcome(HEAD + lines + b'\r\n' + body, step, 'closed')
        assert is_error(result), step


CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
MALFORMED = {
    'no size': CHUNKED + b'5\r\n01234\r\nzz\r\n',
    'long chunk': CHUNKED + b'5\r\n0123456789ab\r\n0\r\n\r\n',
    'huge size': CHUNKED + b'5\r\n01234\r\n' + b'f' * 17 + b'\r\n',
    'length in a trailer': CHUNKED + CHUNKS + LENGTH + b'\r\n',
}


@pytest.mark.parametrize('name', MALFORMED)
async def test_no_reader_waits_for_an_answer_that_is_malformed(name):
    for step in STEPS:
        assert is_error(await outcome(MALFORMED[name], step, 'silent')), step


@pytest.mark.parametrize(
    'answer',
    [
        SIZED.replace(b'200', b'000'),
        SIZED.replace(b'200', b'099'),
        SIZED.replace(b'200', b'600'),
        SIZED.replace(b'200', b'999'),
        SIZED.replace(b'Seal: s', b'Seal: \x01'),
        SIZED.replace(b'Seal: s', b'Seal: s\x7fs'),
        SIZED.replace(b'\r\n\r\n', b'\r\nX: a\x0b\r\n\r\n'),
    ],
)
async def test_an_answer_that_can_not_be_sent_on_is_none(answer):
    for step in STEPS:
        assert is_error(await outcome(answer, step, 'silent')), step
