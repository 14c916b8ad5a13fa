"""Tests of the bounds on what a target sends over a connection."""

import tracemalloc
from asyncio import Transport, create_task, get_running_loop, sleep, timeout

import pytest
from aiohttp import ClientError
from aiohttp.http_exceptions import HttpProcessingError

from carawaylane.services.response_handler import (
    MAX_FRAMING_BYTES,
    MAX_INTERIM_ANSWERS,
    MAX_LINES,
    MAX_SKIPPED_ANSWERS,
    MAX_SKIPPED_BYTES,
    BoundedResponseHandler,
)

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'2\r\nok\r\n0\r\n\r\n'
)
READ_BUFFER_BYTES = 256 << 10
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'


class FakeTransport(Transport):
    def __init__(self):
        super().__init__()
        self.closing = False

    def is_closing(self):
        return self.closing

    def abort(self):
        self.closing = True

    close = abort


def connect(**params):
    handler = BoundedResponseHandler(get_running_loop())
    handler.connection_made(FakeTransport())
    handler.set_response_params(read_until_eof=True, **params)
    return handler


def receive(handler, data, step):
    for start in range(0, len(data), step):
        handler.data_received(data[start : start + step])


async def read_final(handler):
    message, payload = await handler.read()
    while message.code == 100:
        message, payload = await handler.read()
    return message, await payload.read()


@pytest.mark.parametrize('step', [1, 7, 100000])
@pytest.mark.parametrize('answer', [ANSWER, CHUNKED], ids=['length', 'chunks'])
async def test_an_answer_is_parsed_however_it_arrives(answer, step):
    handler = connect()
    receive(handler, INTERIM + answer, step)
    message, body = await read_final(handler)
    assert (message.code, body) == (200, b'ok')
    assert handler.is_connected()
    assert not handler.should_close


@pytest.mark.parametrize('step', [1, 7, 100000])
@pytest.mark.parametrize(
    'extra',
    [b'garbage', ANSWER, INTERIM * 1000],
    ids=['garbage', 'answer', 'interim answers'],
)
async def test_bytes_after_an_answer_close_its_connection(step, extra):
    handler = connect()
    receive(handler, ANSWER + extra, step)
    message, body = await read_final(handler)
    assert (message.code, body) == (200, b'ok')
    assert handler.should_close
    assert not handler.is_connected()


async def test_an_answer_without_a_body_ends_with_its_head():
    handler = connect(skip_payload=True)
    receive(handler, ANSWER.removesuffix(b'ok'), 100)
    assert (await handler.read())[0].code == 200
    handler.data_received(b'more')
    assert not handler.is_connected()


async def test_the_next_answer_is_parsed_on_the_same_connection():
    handler = connect()
    for _ in range(3):
        receive(handler, ANSWER, 100)
        assert (await read_final(handler))[1] == b'ok'
        handler.set_response_params(read_until_eof=True)
    assert handler.is_connected()


async def test_some_interim_answers_are_passed_over_but_not_many():
    handler = connect()
    receive(handler, INTERIM * MAX_INTERIM_ANSWERS + ANSWER, 100000)
    assert (await read_final(handler))[1] == b'ok'
    handler = connect()
    receive(handler, INTERIM * (MAX_INTERIM_ANSWERS + 1) + ANSWER, 100000)
    with pytest.raises((ClientError, HttpProcessingError)):
        await read_final(handler)
    assert not handler.is_connected()


FOREIGN = {
    'length': b'HTTP/1.1 200 OK\r\nId: y\r\nContent-Length: 3\r\n\r\nyes',
    'no body': b'HTTP/1.1 503 No\r\nId: y\r\nContent-Length: 0\r\n\r\n',
    'no content': b'HTTP/1.1 204 No Content\r\nId: y\r\n\r\n',
}
FOREIGN_CHUNKS = (
    b'HTTP/1.1 200 OK\r\nId: y\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'3\r\nyes\r\n0\r\n\r\n'
)


def connect_skipping(**params):
    handler = connect(**params)
    handler.skip_answers(lambda message: 'Id' in message.headers)
    return handler


@pytest.mark.parametrize('step', [1, 7, 100000])
@pytest.mark.parametrize('answer', [ANSWER, CHUNKED], ids=['length', 'chunks'])
@pytest.mark.parametrize('foreign', FOREIGN)
async def test_an_answer_is_read_behind_one_to_another_request(
    foreign, answer, step
):
    handler = connect_skipping()
    for data in (FOREIGN[foreign], FOREIGN[foreign], INTERIM + answer):
        receive(handler, data, step)
    message, body = await read_final(handler)
    assert (message.code, body) == (200, b'ok')
    assert handler.skipped_answers == 2
    assert not handler.should_close
    handler.set_response_params(read_until_eof=True)
    receive(handler, ANSWER, step)
    assert (await read_final(handler))[1] == b'ok'


@pytest.mark.parametrize('skipped', FOREIGN)
async def test_bytes_that_arrive_with_a_skipped_answer_are_no_answer(skipped):
    """Some of them may be missing from the skipped one."""
    handler = connect_skipping()
    receive(handler, FOREIGN[skipped] + ANSWER, 100000)
    with pytest.raises((ClientError, HttpProcessingError)):
        await read_final(handler)
    assert not handler.is_connected()


@pytest.mark.parametrize(
    'answers',
    [
        [FOREIGN['no body']] * (MAX_SKIPPED_ANSWERS + 1),
        [FOREIGN['length'].replace(b': 3', b': %d' % (MAX_SKIPPED_BYTES + 1))],
    ],
    ids=['many', 'long'],
)
async def test_answers_to_other_requests_are_skipped_within_bounds(answers):
    handler = connect_skipping()
    for data in answers:
        receive(handler, data, 100000)
    with pytest.raises((ClientError, HttpProcessingError)):
        await read_final(handler)
    assert not handler.is_connected()


@pytest.mark.parametrize(
    ('data', 'params'),
    [
        (FOREIGN_CHUNKS, {}),
        (b'HTTP/1.1 200 OK\r\nId: y\r\n\r\n', {}),
        (FOREIGN['no body'], {'skip_payload': True}),
    ],
    ids=['chunks', 'no length', 'answer to HEAD'],
)
async def test_an_answer_whose_end_is_not_certain_is_not_skipped(data, params):
    handler = connect_skipping(**params)
    receive(handler, data, 100000)
    message, _ = await handler.read()
    assert message.headers['Id'] == 'y'
    assert handler.skipped_answers == 0


CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
LONG_TRAILER = b'T: ' + b'\xff' * 60000 + b'\r\n'
ENDLESS_FRAMING = {
    'chunk size': (b'', b'0'),
    'chunk size line': (b'1', b' '),
    'chunk extension': (b'1;a=', b'x'),
    'trailers': (b'0\r\n', LONG_TRAILER),
    'trailer': (b'0\r\nT: ', b'x'),
}


def connect_long(**params):
    """Return a handler with the longest header lines that are accepted."""
    return connect(max_line_size=65536, max_field_size=65536, **params)


@pytest.mark.parametrize('step', [7, 100000])
@pytest.mark.parametrize('framing', ENDLESS_FRAMING)
async def test_framing_without_end_breaks_a_chunked_body(framing, step):
    first, piece = ENDLESS_FRAMING[framing]
    handler = connect_long()
    receive(handler, CHUNKED_HEAD + b'2\r\nok\r\n' + first, step)
    _, payload = await handler.read()
    assert await payload.read(100) == b'ok'
    receive(handler, piece * (2 * MAX_FRAMING_BYTES // len(piece)), step)
    assert not handler.is_connected()
    assert handler.should_close
    handler.connection_lost(None)
    with pytest.raises(ClientError):
        async with timeout(1):
            await payload.read(100)


async def test_trailers_that_stop_short_of_the_limit_take_little_memory():
    handler = connect_long()
    tracemalloc.start()
    try:
        receive(handler, CHUNKED_HEAD + b'0\r\n', 100)
        for _ in range(100):
            handler.data_received(LONG_TRAILER)
        assert tracemalloc.get_traced_memory()[1] < 1 << 20
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize('size', [1, 1000, 8192, 20000])
async def test_a_long_chunked_body_is_read_whole(size):
    handler = connect()
    count = 2 * MAX_FRAMING_BYTES
    chunk = b'%08x;name=value\r\n%s\r\n' % (size, b'x' * size)
    handler.data_received(CHUNKED_HEAD)
    _, payload = await handler.read()
    data = chunk * (count // len(chunk) + 1) + b'0\r\nT: 1\r\n\r\n'
    handler.data_received(data)
    body = await payload.read()
    assert body == b'x' * (size * (count // len(chunk) + 1))
    assert handler.is_connected()
    assert not handler.should_close


async def test_bytes_that_arrive_while_the_reader_rests_are_no_framing():
    handler = connect()
    count = 4 * READ_BUFFER_BYTES // 1000
    handler.data_received(
        CHUNKED_HEAD + b'3e8\r\n%s\r\n' % (b'x' * 1000) * count
    )
    assert handler.is_connected()
    handler.data_received(b'0\r\n\r\n')
    _, payload = await handler.read()
    assert len(await payload.read()) == 1000 * count
    assert not handler.should_close


@pytest.mark.parametrize(
    'broken',
    [b'zz\r\n', b'0\r\n' + b'T: 1\r\n' * 1000],
    ids=['size', 'trailers'],
)
async def test_a_reader_learns_at_once_that_a_body_can_not_be_parsed(broken):
    handler = connect()
    receive(handler, CHUNKED_HEAD + b'2\r\nok\r\n', 100)
    _, payload = await handler.read()
    assert await payload.read(100) == b'ok'
    reading = create_task(payload.read(100))
    await sleep(0)
    handler.data_received(broken)
    handler.connection_lost(None)
    with pytest.raises(ClientError):
        async with timeout(1):
            await reading


SWITCH = (
    b'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n'
    b'Upgrade: websocket\r\n\r\n'
)


@pytest.mark.parametrize('step', [7, 100000])
async def test_a_switch_of_protocols_breaks_the_answer_and_keeps_nothing(step):
    handler = connect()
    receive(handler, SWITCH, step)
    assert not handler.is_connected()
    handler.data_received(b'x' * 100000)
    assert not handler._tail
    with pytest.raises(ClientError):
        async with timeout(1):
            await handler.read()


async def test_bytes_before_any_request_close_a_connection():
    handler = BoundedResponseHandler(get_running_loop())
    handler.connection_made(FakeTransport())
    handler.data_received(b'x' * 100000)
    assert not handler.is_connected()
    assert handler.should_close
    assert not handler._tail


async def test_few_lines_are_parsed_one_by_one():
    handler = connect()
    parts = []
    parse = handler._parser.feed_data

    class CountingParser:
        def feed_data(self, data):
            if data:
                parts.append(data)
            return parse(data)

    handler._parser = CountingParser()
    handler.data_received(b'\n' * 100000)
    assert not handler.is_connected()
    assert len(parts) <= MAX_LINES + 1


async def test_a_content_length_with_thousands_of_zeros_is_a_length():
    handler = connect_long()
    zeros = b'0' * 5000
    handler.data_received(ANSWER.replace(b': 2', b': ' + zeros + b'2'))
    assert (await read_final(handler))[1] == b'ok'
    assert handler.is_connected()


# Beyond so many unread chunks, aiohttp asks for no more.
UNREAD_CHUNKS = 16 * 64
SMALL_BUFFER_BYTES = 16 * UNREAD_CHUNKS
ONE_CHUNK = b'1\r\nx\r\n'


@pytest.mark.parametrize('size', [1, 4, 100])
@pytest.mark.parametrize('count', range(UNREAD_CHUNKS - 1, UNREAD_CHUNKS + 4))
async def test_a_whole_answer_whose_connection_ends_is_whole_for_a_late_reader(
    count, size
):
    """The parser rests at the limit of unread chunks, also once it is past."""
    handler = connect(read_bufsize=SMALL_BUFFER_BYTES)
    handler.data_received(CHUNKED.partition(b'2\r\n')[0])
    _, payload = await handler.read()
    chunk = b'%x\r\n' % size + b'x' * size + b'\r\n'
    receive(handler, chunk * count, 8190)
    left = count * size
    while left:
        left -= len(await payload.read(left))
    handler.data_received(chunk * 3 + b'0\r\n\r\n')
    handler.eof_received()
    handler.connection_lost(None)
    assert len(await payload.read()) == 3 * size


@pytest.mark.parametrize('cut', range(1, 3 * len(ONE_CHUNK) + 5))
@pytest.mark.parametrize('count', [UNREAD_CHUNKS, UNREAD_CHUNKS + 1])
async def test_an_answer_that_is_cut_off_is_not_whole_for_a_late_reader(
    count, cut
):
    handler = connect(read_bufsize=SMALL_BUFFER_BYTES)
    handler.data_received(CHUNKED.partition(b'2\r\n')[0])
    _, payload = await handler.read()
    receive(handler, ONE_CHUNK * count, 8190)
    assert len(await payload.read(count)) == count
    handler.data_received((ONE_CHUNK * 3 + b'0\r\n\r\n')[:-cut])
    handler.connection_lost(None)
    with pytest.raises(ClientError):
        await payload.read()


@pytest.mark.parametrize('rest', [b'zz\r\n', b'0\r\n\r\n' + ANSWER])
async def test_what_is_parsed_as_a_connection_ends_is_checked(rest):
    handler = connect(read_bufsize=SMALL_BUFFER_BYTES)
    handler.data_received(CHUNKED.partition(b'2\r\n')[0])
    _, payload = await handler.read()
    count = UNREAD_CHUNKS + 1
    receive(handler, ONE_CHUNK * count, 8190)
    assert len(await payload.read(count)) == count
    handler.data_received(ONE_CHUNK + rest)
    handler.connection_lost(None)
    if rest.startswith(b'0'):
        assert await payload.read() == b'x'
    else:
        with pytest.raises((ClientError, HttpProcessingError)):
            await payload.read()
    assert handler.should_close
    assert not handler.is_connected()


async def test_much_that_is_left_as_a_connection_ends_is_parsed_at_once():
    """The parser would rest at each chunk, and copy the rest each time."""
    handler = connect(read_bufsize=SMALL_BUFFER_BYTES)
    handler.data_received(CHUNKED.partition(b'2\r\n')[0])
    _, payload = await handler.read()
    calls = []
    parser = handler._parser

    class CountingParser:
        def feed_data(self, data):
            calls.append(data)
            return parser.feed_data(data)

        def __getattr__(self, name):
            return getattr(parser, name)

    count = 100_000
    handler.data_received(ONE_CHUNK * count + b'0\r\n\r\n')
    handler._parser = CountingParser()
    handler.connection_lost(None)
    assert len(calls) < 5
    assert len(await payload.read()) == count
