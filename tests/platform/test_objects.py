"""Tests of the client of the platform's store."""

from asyncio import start_server

import pytest

from carawaylane.messages.stored_objects import ObjectKind
from carawaylane.platform.eras import combine
from carawaylane.platform.objects import ObjectStoreClient
from carawaylane.storage.driver import Unavailable
from standins.raw_target import RawTarget, Reply


@pytest.mark.parametrize(
    'body',
    [
        b'[' * 100_000,
        b'{"items":' * 20_000,
        b'{"items": 7, "current_rev": 1}',
        b'{"items": [], "current_rev": ',
        b'\xff\xfe',
        b'',
    ],
    ids=['lists', 'objects', 'a number', 'cut off', 'not UTF-8', 'empty'],
)
async def test_an_answer_that_cannot_be_read_is_none(body):
    head = (
        'HTTP/1.1 200 OK\r\nStore-Era: 1\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    answer = Reply(data=head.encode() + body)
    target = RawTarget(plan=lambda *_: answer)
    server = await start_server(target.serve, '127.0.0.1', 0)
    client = ObjectStoreClient(
        address=f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
    )
    for call in (
        client.list_all(ObjectKind.TARGETS),
        client.watch(ObjectKind.TARGETS, revision=combine(1, 1), wait_s=0.1),
    ):
        result = await call
        assert isinstance(result, Unavailable)
    await client.close()
    server.close()
