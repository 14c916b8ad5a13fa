"""Tests of TargetClient: the liveness check, and unsafe exchanges.

An unsafe request reaches a target at most once.
"""

from asyncio import gather, sleep, start_server, timeout

import pytest
from attrs import evolve

from carawaylane.messages.exchange import Request
from carawaylane.services.targets import (
    BrokenExchange,
    CompleteAnswer,
    ExchangeOptions,
    NeverSent,
    RefusedByTarget,
    StreamedAnswer,
    TargetClient,
    TruncatedError,
)
from standins.raw_target import RawTarget, Reply

OPTIONS = ExchangeOptions(
    head_timeout_s=2.0,
    read_timeout_s=2.0,
    echoes_request_id=False,
    not_run_header='Not-Executed',
    max_buffered_bytes=65536,
)


async def keep_open(reader, writer):
    await reader.read()
    writer.close()


async def close_at_once(reader, writer):
    writer.close()


async def reset_later(reader, writer):
    await sleep(0.02)
    writer.transport.abort()


@pytest.mark.parametrize(
    ('handler', 'alive'),
    [(keep_open, True), (close_at_once, False), (reset_later, False)],
)
async def test_a_target_is_alive_if_it_keeps_a_connection_open(handler, alive):
    async with await start_server(handler, '127.0.0.1', 0) as server:
        port = server.sockets[0].getsockname()[1]
        client = TargetClient(address=f'127.0.0.1:{port}')
        assert await client.is_alive() is alive


async def test_a_target_that_refuses_connections_is_not_alive():
    async with await start_server(keep_open, '127.0.0.1', 0) as server:
        port = server.sockets[0].getsockname()[1]
    assert await TargetClient(address=f'127.0.0.1:{port}').is_alive() is False


async def count_deliveries(method):
    """Return how often a target that never answers gets an unsafe request.

    The target reads the request and closes the connection.
    """
    target = RawTarget(
        plan=lambda n, data: Reply(data=b'', connection_end='close')
    )
    req = Request(
        request_id='r',
        service='s',
        kind='k',
        caller='c',
        method=method,
        path='/',
        body=b'1',
    )
    async with await start_server(target.serve, '127.0.0.1', 0) as server:
        port = server.sockets[0].getsockname()[1]
        client = TargetClient(address=f'127.0.0.1:{port}')
        await client.exchange(req, OPTIONS, new_connection=True)
        await client.close()
    return len(target.requests)


@pytest.mark.parametrize('method', ['PUT', 'DELETE'])
async def test_an_unsafe_put_or_delete_is_sent_once(method):
    """An unsafe request is not resent, even if its method is idempotent.

    The target may have run the request. aiohttp by itself resends a PUT or
    DELETE once if the target closes the connection without an answer.
    """
    assert await count_deliveries(method) == 1


async def test_an_unsafe_post_is_sent_once():
    """A request that got no answer may have run, so it is not resent."""
    assert await count_deliveries('POST') == 1


HEAD = b'HTTP/1.1 200 OK\r\nNot-Used: 1\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# What a client has not read stays in the socket buffers.
MAX_TAKEN_BYTES = 16 << 20


@pytest.mark.parametrize(
    ('reply', 'result_type'),
    [
        (
            Reply(data=b'', endless=b'HTTP/1.1 100 Continue\r\n\r\n'),
            BrokenExchange,
        ),
        (Reply(data=HEAD, endless=b'X-Filler: 1\r\n'), BrokenExchange),
        (Reply(data=HEAD + b'\r\n', endless=b'x' * 1000), StreamedAnswer),
        (
            Reply(
                data=HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
                endless=b'1\r\nx\r\n',
            ),
            StreamedAnswer,
        ),
        (Reply(endless=b'x' * 1000), CompleteAnswer),
        (Reply(data=CHUNKED + b'1;a=', endless=b'x' * 1000), BrokenExchange),
        (Reply(data=CHUNKED + b'0\r\n', endless=b'T: 1\r\n'), BrokenExchange),
    ],
    ids=[
        'interim answers',
        'header lines',
        'body',
        'small chunks',
        'extra',
        'chunk extension',
        'trailers',
    ],
)
@pytest.mark.parametrize('unsafe', [False, True])
async def test_little_is_taken_of_an_answer_without_end(
    reply, result_type, unsafe
):
    target = RawTarget(plan=lambda *_: reply)
    async with await start_server(target.serve, '127.0.0.1', 0) as server:
        port = server.sockets[0].getsockname()[1]
        client = TargetClient(address=f'127.0.0.1:{port}')
        results = await gather(
            *(
                client.exchange(
                    Request(
                        request_id=f'r{number}',
                        service='s',
                        kind='k',
                        caller='c',
                        method='PUT',
                        path='/x',
                    ),
                    OPTIONS,
                    new_connection=unsafe,
                )
                for number in range(10)
            )
        )
        assert {type(result) for result in results} == {result_type}
        assert max(target.endless_bytes, default=0) <= MAX_TAKEN_BYTES
        await client.close()


ECHOING = evolve(OPTIONS, echoes_request_id=True)
REQUEST = Request(
    request_id='r', service='s', kind='k', caller='c', method='GET', path='/'
)
OWN_ID, OTHER_ID = b'X-Request-Id: r\r\n', b'X-Request-Id: r0\r\n'


def refusal(ids, status=b'503 Service Unavailable'):
    return (
        b'HTTP/1.1 ' + status + b'\r\n' + ids + b'Not-Executed: 1\r\n'
        b'Content-Length: 0\r\n\r\n'
    )


@pytest.mark.parametrize(
    ('data', 'result_type'),
    [
        (refusal(OWN_ID), RefusedByTarget),
        (refusal(OTHER_ID), BrokenExchange),
        (refusal(b''), BrokenExchange),
        (refusal(OWN_ID + OTHER_ID), BrokenExchange),
        (refusal(OWN_ID, b'200 OK'), BrokenExchange),
    ],
    ids=['own id', 'another id', 'no id', 'two ids', 'a success'],
)
async def test_a_refusal_of_another_request_refuses_none(data, result_type):
    target = RawTarget(plan=lambda *_: Reply(data=data))
    async with await start_server(target.serve, '127.0.0.1', 0) as server:
        port = server.sockets[0].getsockname()[1]
        client = TargetClient(address=f'127.0.0.1:{port}')
        result = await client.exchange(REQUEST, ECHOING, new_connection=False)
        await client.close()
    assert isinstance(result, result_type)


async def test_a_late_copy_of_an_answer_is_not_the_answer_to_a_probe():
    def make_reply(number, _data):
        before = refusal(OWN_ID) if target.connections == 1 else b''
        return Reply(before=b'' if number == 1 else before)

    target = RawTarget(plan=make_reply)
    async with await start_server(target.serve, '127.0.0.1', 0) as server:
        port = server.sockets[0].getsockname()[1]
        client = TargetClient(address=f'127.0.0.1:{port}')
        await client.exchange(REQUEST, OPTIONS, new_connection=False)
        assert await client.probe('/health', 1.0)
        await client.close()
    assert len(target.requests) == 2


async def exchange_with(reply, **changes):
    """Return the result of an exchange, and the body read after it."""
    target = RawTarget(plan=lambda *_: reply)
    options = evolve(OPTIONS, **changes)
    async with await start_server(target.serve, '127.0.0.1', 0) as server:
        port = server.sockets[0].getsockname()[1]
        client = TargetClient(address=f'127.0.0.1:{port}')
        result = await client.exchange(REQUEST, options, new_connection=True)
        body = b''
        try:
            if isinstance(result, StreamedAnswer):
                body = b''.join([data async for data in result.rest])
        except TruncatedError as exc:
            return exc, b''
        finally:
            await client.close()
    return result, body


SUCCESS = HEAD + b'Content-Length: 1000\r\n\r\n' + b'x' * 1000
FAILURE = SUCCESS.replace(b'200 OK', b'404 Not Found')


@pytest.mark.parametrize('max_buffered_bytes', [100, 65536])
@pytest.mark.parametrize(
    ('data', 'result_types'),
    [
        (SUCCESS, {BrokenExchange}),
        (SUCCESS.replace(b'200', b'206'), {BrokenExchange}),
        (SUCCESS.replace(b'Not-Used: 1', b'Seal:'), {BrokenExchange}),
        (
            SUCCESS.replace(b'Not-Used', b'Seal'),
            {CompleteAnswer, StreamedAnswer},
        ),
        (FAILURE, {CompleteAnswer, StreamedAnswer}),
    ],
    ids=['no seal', 'part', 'empty seal', 'seal', 'failure'],
)
async def test_a_success_without_the_seal_of_its_service_is_broken(
    data, result_types, max_buffered_bytes
):
    result, _ = await exchange_with(
        Reply(data=data),
        seal_header='seal',
        max_buffered_bytes=max_buffered_bytes,
    )
    assert type(result) in result_types


NO_LENGTH = HEAD + b'\r\n' + b'x' * 1000


@pytest.mark.parametrize('data', [HEAD + b'\r\n', NO_LENGTH])
async def test_an_answer_without_a_length_that_is_reset_is_broken(data):
    result, _ = await exchange_with(Reply(data=data, connection_end='reset'))
    assert isinstance(result, BrokenExchange)


async def test_a_streamed_answer_without_a_length_that_is_reset_is_cut():
    result, _ = await exchange_with(
        Reply(data=NO_LENGTH, connection_end='reset'), max_buffered_bytes=100
    )
    assert isinstance(result, TruncatedError)


async def test_an_answer_without_a_length_that_ends_by_closing_is_whole():
    reply = Reply(data=NO_LENGTH, connection_end='close')
    result, _ = await exchange_with(reply)
    assert result.body == b'x' * 1000
    result, rest = await exchange_with(reply, max_buffered_bytes=100)
    assert result.body + rest == b'x' * 1000


async def test_no_exchange_waits_for_an_answer_that_is_malformed():
    data = HEAD + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n'
    async with timeout(2):
        result, _ = await exchange_with(
            Reply(data=data), head_timeout_s=20, read_timeout_s=20
        )
    assert isinstance(result, BrokenExchange)


@pytest.mark.parametrize(
    'line',
    [
        b'Content-Length: 18446744073709551615',
        b'Transfer-Encoding: gzip',
        b'Transfer-Encoding: gzip, chunked',
    ],
)
async def test_an_answer_without_a_clear_end_is_broken(line):
    data = HEAD + line + b'\r\n\r\n2\r\nok\r\n0\r\n\r\n'
    result, _ = await exchange_with(Reply(data=data, connection_end='close'))
    assert isinstance(result, BrokenExchange)


async def test_framing_with_a_space_before_the_colon_is_not_sent_on():
    """Some callers read it as framing, beside that of the node."""
    data = HEAD + b'Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'
    result, _ = await exchange_with(Reply(data=data))
    assert result.body == b'ok'
    assert [name for name, _ in result.headers] == ['Not-Used']


@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
@pytest.mark.parametrize('max_buffered_bytes', [1, 65536])
@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_an_answer_with_a_status_that_http_does_not_have_is_none(
    status, max_buffered_bytes, method
):
    """It was passed on, buffered or streamed, to callers and to peers."""
    answer = b'HTTP/1.1 %s OK\r\nContent-Length: 4\r\n\r\nbody' % status
    target = RawTarget(plan=lambda *_: Reply(data=answer))
    req = Request(
        request_id='r',
        service='s',
        kind='k',
        caller='c',
        method=method,
        path='/',
        body=b'',
    )
    options = evolve(OPTIONS, max_buffered_bytes=max_buffered_bytes)
    async with await start_server(target.serve, '127.0.0.1', 0) as server:
        port = server.sockets[0].getsockname()[1]
        client = TargetClient(address=f'127.0.0.1:{port}')
        result = await client.exchange(req, options, new_connection=True)
        assert isinstance(result, BrokenExchange)
        assert not await client.probe('/', 1.0)
        await client.close()


@pytest.mark.parametrize(
    'address',
    [
        '127..1:80',
        'h..localhost:80',
        'x' * 64 + '.localhost:80',
        '[::1%r\u00e9seau]:80',
        '::1:80',
        'h:http',
        'h:' + '9' * 5000,
        'http://127.0.0.1:80/',
    ],
    ids=lambda address: ascii(address[:12]),
)
async def test_a_target_whose_address_is_malformed_is_never_reached(address):
    """A probe raised UnicodeError, which ended the process."""
    client = TargetClient(address=address)
    req = Request(
        request_id='r',
        service='s',
        kind='k',
        caller='c',
        method='POST',
        path='/',
        body=b'',
    )
    result = await client.exchange(req, OPTIONS, new_connection=True)
    assert isinstance(result, NeverSent)
    assert not await client.probe('/', 1.0)
    assert not await client.is_alive()
    await client.close()
