"""Tests of the HTTP driver: answers without end."""

from asyncio import start_server

import pytest

from carawaylane.storage.answers import MAX_ANSWER_BYTES
from carawaylane.storage.driver import Unavailable
from carawaylane.storage.http import HttpDriver
from standins.raw_target import RawTarget, Reply

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
SOCKET_BYTES = 12 << 20


@pytest.mark.parametrize(
    'reply',
    [
        Reply(data=HEAD + b'\r\n', endless=b' ' * 1000),
        Reply(
            data=HEAD + b'Transfer-Encoding: chunked\r\n\r\n1;a=',
            endless=b'x' * 1000,
        ),
    ],
    ids=['body', 'chunk extension'],
)
async def test_an_answer_without_end_is_cut_off(reply):
    target = RawTarget(plan=lambda *_: reply)
    async with await start_server(target.serve, '127.0.0.1', 0) as server:
        port = server.sockets[0].getsockname()[1]
        driver = HttpDriver(f'http://127.0.0.1:{port}')
        assert isinstance(await driver.get('x'), Unavailable)
        await driver.close()
    assert target.endless_bytes[0] <= MAX_ANSWER_BYTES + SOCKET_BYTES


@pytest.mark.parametrize(
    'body',
    [
        b'[]',
        b'7',
        b'{}',
        b'null',
        b'{"key": 7, "version": 1, "objects": 7, "hosts": 7}',
        b'{"key": "x", "version": "1", "objects": [{}], "hosts": [{}]}',
        b'{"key": "x", "version": null, "objects": [7], "hosts": [7]}',
        b'{"key": "x", "hosts": [{"name": 7, "leaving": 1}], "objects": {}, '
        b'"version": []}',
        b'[' * 100_000,
        b'\xff\xfe',
    ],
    ids=lambda body: ascii(body[:20]),
)
async def test_an_answer_of_another_form_is_none(body):
    """It raised in a task of the watcher, which ended the process."""
    data = HEAD + b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
    target = RawTarget(plan=lambda *_: Reply(data=data))
    async with await start_server(target.serve, '127.0.0.1', 0) as server:
        port = server.sockets[0].getsockname()[1]
        driver = HttpDriver(f'http://127.0.0.1:{port}')
        for call in (
            driver.get('x'),
            driver.put('x', 1, if_version=0),
            driver.list_objects('x', after=''),
            driver.watch('x', after='', timeout_s=0.1),
            driver.hosts(),
        ):
            result = await call
            # A list may be empty.
            assert isinstance(result, Unavailable) or result == []
        await driver.close()
