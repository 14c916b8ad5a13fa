"""Tests of successes whose head has lost the target's seal."""

import pytest

from standins.raw_target import OK, Reply
from tests.gateway.conftest import connect, fetch, plan_spec, route_spec

SEAL = b'Response-Seal: s\r\n'
HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\n' + SEAL
LARGE_BODY = b'x' * (2 << 20)


async def start_two_targets(fleet, replies, **settings):
    """Start a node and two targets; return it and the requests they get.

    The nth request to either target gets the nth reply, or the last one.
    """
    routes = [
        route_spec('read', '/read/'),
        route_spec('get', '/get/', kind='download'),
        route_spec('write', '/write/', kind='unsafe'),
    ]
    fleet.store.put('config', 'main', plan_spec(routes=routes))
    received = []

    def make_reply(_number, data):
        received.append(data)
        return replies[min(len(received), len(replies)) - 1]

    for name in ('i-1', 'i-2'):
        await fleet.start_target(name, make_reply)
    return await fleet.start_node('n1', **settings), received


async def test_a_head_without_a_seal_is_not_passed_on(fleet):
    head = HEAD + b'Content-Length: 2\r\n\r\n'
    node, received = await start_two_targets(
        fleet, [Reply(data=head.replace(SEAL, b'')), Reply(data=head)]
    )
    reader, writer = await connect(node)
    writer.write(
        b'HEAD /read/x HTTP/1.1\r\nHost: shop.example\r\n'
        b'Request-Id: r1\r\n\r\n'
    )
    answer = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    assert answer.startswith(b'HTTP/1.1 200 ')
    assert SEAL.lower() in answer.lower()
    assert len(received) == 2


@pytest.mark.parametrize('memory_bytes', [8 << 20, 256 << 20])
async def test_a_large_success_without_a_seal_is_not_sent_on(
    fleet, memory_bytes
):
    answer = HEAD + b'Content-Length: %d\r\n\r\n' % len(LARGE_BODY)
    answer += LARGE_BODY
    node, received = await start_two_targets(
        fleet,
        [Reply(data=answer.replace(SEAL, b'')), Reply(data=answer)],
        memory_bytes=memory_bytes,
    )
    response = await fetch(node, '/get/x')
    assert response.status == 200
    assert response.headers['response-seal'] == 's'
    assert len(received) == 2


async def test_successes_without_a_seal_end_as_unknown(fleet):
    unsealed = Reply(data=OK.replace(SEAL, b''))
    node, received = await start_two_targets(fleet, [unsealed])
    for path, method, attempts in (
        ('/write/x', 'POST', 1),
        ('/read/x', 'GET', 2),
    ):
        received.clear()
        response = await fetch(node, path, method=method, request_id=path)
        assert response.status in (502, 504)
        assert len(received) == attempts


@pytest.mark.parametrize('status', [b'500 Error', b'404 Not Found', b'302 x'])
async def test_an_answer_other_than_a_success_needs_no_seal(fleet, status):
    data = OK.replace(SEAL, b'').replace(b'200 OK', status)
    node, received = await start_two_targets(fleet, [Reply(data=data)])
    response = await fetch(node, '/write/x', method='POST', body=b'1')
    assert response.status == int(status[:3])
    assert len(received) == 1
