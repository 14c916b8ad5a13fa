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
