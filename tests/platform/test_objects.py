"""Tests of the client of the platform's store."""

from asyncio import start_server, timeout
from json import dumps

import pytest

from carawaylane.messages.stored_objects import ObjectKind
from carawaylane.platform.eras import combine
from carawaylane.platform.objects import (
    MAX_LIST_BYTES,
    OLDER_PAGE,
    ObjectStoreClient,
)
from carawaylane.storage.answers import MAX_ANSWER_BYTES
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


@pytest.mark.parametrize(
    ('page_revision', 'is_none'), [(4, True), (5, False), (6, False)]
)
async def test_a_page_of_an_older_revision_is_no_answer(
    page_revision, is_none
):
    """It comes from a copy that lags, which may lack later changes."""
    body = dumps({'events': [], 'current_rev': page_revision}).encode()
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
    result = await client.watch(
        ObjectKind.TARGETS, revision=combine(1, 5), wait_s=0.1
    )
    if is_none:
        assert result == Unavailable(reason=OLDER_PAGE)
    else:
        assert result.revision == combine(1, page_revision)
    await client.close()
    server.close()


HEAD = b'HTTP/1.1 200 OK\r\nStore-Era: 1\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
ENDLESS = {
    'interim answers': Reply(
        data=b'', endless=b'HTTP/1.1 100 Continue\r\n\r\n'
    ),
    'no length': Reply(data=HEAD + b'\r\n', endless=b' ' * 1000),
    'chunks': Reply(data=CHUNKED, endless=b'1\r\n[\r\n'),
    'trailers': Reply(data=CHUNKED + b'0\r\n', endless=b'T: 1\r\n'),
    'chunk extension': Reply(data=CHUNKED + b'1;a=', endless=b'x' * 1000),
}
SOCKET_BYTES = 12 << 20


async def call_store(make_reply, call):
    """Return the result of a call, and the target that answered it."""
    target = RawTarget(plan=make_reply)
    server = await start_server(target.serve, '127.0.0.1', 0)
    address = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
    client = ObjectStoreClient(address=address)
    result = await call(client)
    await client.close()
    server.close()
    return result, target


@pytest.mark.parametrize('reply', ENDLESS)
async def test_an_answer_of_the_store_without_end_is_cut_off(reply):
    result, target = await call_store(
        lambda *_: ENDLESS[reply],
        lambda client: client.watch(
            ObjectKind.TARGETS, revision=combine(1, 1), wait_s=5.0
        ),
    )
    assert isinstance(result, Unavailable)
    assert target.endless_bytes[0] <= MAX_ANSWER_BYTES + SOCKET_BYTES


@pytest.mark.parametrize('names', ['new', 'the same', 'none'])
async def test_a_list_of_the_store_without_end_is_cut_off(names):
    def make_reply(number, _data):
        name = f'{number:06}' if names == 'new' else 'x'
        item = {
            'metadata': {'name': name, 'revision': number},
            'spec': {'text': 'x' * 1_000_000},
        }
        items = [] if names == 'none' and number > 1 else [item]
        page = {'items': items, 'current_rev': number, 'more': True}
        body = dumps(page).encode()
        head = HEAD + b'Content-Length: %d\r\n\r\n' % len(body)
        return Reply(data=head + body)

    async def call(client):
        async with timeout(20):
            return await client.list_all(ObjectKind.TARGETS)

    result, target = await call_store(make_reply, call)
    assert isinstance(result, Unavailable)
    assert len(target.requests) <= MAX_LIST_BYTES // 1_000_000 + 1
