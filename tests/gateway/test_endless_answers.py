"""Tests of targets whose answers do not end until the node closes."""

from asyncio import gather
from time import monotonic

import pytest

from carawaylane.rpc.fleet_pb2 import Header, RelayReply, RelayRequest
from standins.raw_target import OK, Reply
from tests.gateway.conftest import fetch, plan_spec, route_spec

HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n'
ENDLESS_HEADS = {
    'interim answers': Reply(
        data=b'', endless=b'HTTP/1.1 100 Continue\r\n\r\n'
    ),
    'header lines': Reply(data=HEAD, endless=b'X-Filler: 1\r\n'),
    'long header lines': Reply(
        data=HEAD, endless=b'X-Filler: ' + b'x' * 60000 + b'\r\n'
    ),
    'one header line': Reply(data=HEAD + b'X-Filler: ', endless=b'x' * 1000),
    'one status line': Reply(data=b'HTTP/1.1 200 ', endless=b'x' * 1000),
}
ENDLESS_BODIES = {
    'no length': Reply(data=HEAD + b'\r\n', endless=b'x' * 1000),
    'a huge length': Reply(
        data=HEAD + b'Content-Length: 99999999999\r\n\r\n',
        endless=b'x' * 1000,
    ),
    'chunks': Reply(
        data=HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        endless=b'3e8\r\n' + b'x' * 1000 + b'\r\n',
    ),
    'small chunks': Reply(
        data=HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        endless=b'1\r\nx\r\n',
    ),
}
SWITCH = (
    b'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n'
    b'Upgrade: websocket\r\n'
)
ENDLESS_HEADS |= {
    'empty lines': Reply(data=b'', endless=b'\n' * 1000),
    'another protocol': Reply(data=SWITCH + b'\r\n', endless=b'x' * 1000),
    'another protocol, later': Reply(
        data=SWITCH + b'\r\n', after=b'x', endless=b'x' * 1000
    ),
    '101 without a protocol': Reply(
        data=b'HTTP/1.1 101 OK\r\n\r\n', endless=b'x' * 1000
    ),
}
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
ENDLESS_FRAMING = {
    'a chunk size of zeros': Reply(data=CHUNKED, endless=b'0' * 1000),
    'spaces after a chunk size': Reply(
        data=CHUNKED + b'1', endless=b' ' * 1000
    ),
    'a chunk extension': Reply(data=CHUNKED + b'1;a=', endless=b'x' * 1000),
    'trailers': Reply(data=CHUNKED + b'0\r\n', endless=b'T: 1\r\n'),
    'long trailers': Reply(
        data=CHUNKED + b'0\r\n', endless=b'T: ' + b'\xff' * 60000 + b'\r\n'
    ),
}
AFTER_ANSWERS = {
    'answers after the answer': Reply(data=OK, endless=OK),
    'bytes after the answer': Reply(data=OK, endless=b'x' * 1000),
}
# A node may use 256 MB. What it has not read stays in the socket buffers of
# the operating system, a few MB for each connection.
MAX_HEAD_BYTES, MAX_BODY_BYTES, SOCKET_BYTES = 1 << 20, 16 << 20, 12 << 20
MAX_ALL_BYTES = 128 << 20
CALLERS = 20
# Long enough that only a limit on the bytes ends an answer.
TIMEOUT_S = 20


async def start_node(fleet, reply):
    timeout_ms = 1000 * TIMEOUT_S
    routes = [
        route_spec('write', '/write/', kind='unsafe', timeout_ms=timeout_ms)
    ]
    fleet.store.put('config', 'main', plan_spec(routes=routes))
    target = await fleet.start_target(
        'i-1', lambda *_: reply, slots=CALLERS + 1
    )
    node = await fleet.start_node('n1')
    return node, target


@pytest.mark.parametrize(
    ('reply', 'max_bytes', 'status'),
    [
        *((reply, MAX_HEAD_BYTES, 504) for reply in ENDLESS_HEADS.values()),
        *((reply, MAX_BODY_BYTES, 504) for reply in ENDLESS_BODIES.values()),
        *((reply, MAX_HEAD_BYTES, 504) for reply in ENDLESS_FRAMING.values()),
        *((reply, MAX_HEAD_BYTES, 200) for reply in AFTER_ANSWERS.values()),
    ],
    ids=[*ENDLESS_HEADS, *ENDLESS_BODIES, *ENDLESS_FRAMING, *AFTER_ANSWERS],
)
async def test_an_answer_without_end_is_cut_off(
    fleet, reply, max_bytes, status
):
    node, target = await start_node(fleet, reply)
    started_at_s = monotonic()
    response = await fetch(node, '/write/x', method='POST')
    assert response.status == status
    assert monotonic() - started_at_s < TIMEOUT_S / 2
    await fleet.wait_until(lambda: target.endless_bytes)
    assert target.endless_bytes[0] <= max_bytes + SOCKET_BYTES


@pytest.mark.parametrize(
    'reply',
    [ENDLESS_HEADS['interim answers'], ENDLESS_BODIES['no length']],
    ids=['head', 'body'],
)
async def test_many_answers_without_end_fit_into_the_memory_of_a_node(
    fleet, reply
):
    node, target = await start_node(fleet, reply)
    responses = await gather(
        *(
            fetch(node, '/write/x', method='POST', request_id=f'r{number}')
            for number in range(CALLERS)
        )
    )
    assert {response.status for response in responses} == {504}
    assert sum(target.endless_bytes) <= MAX_ALL_BYTES + CALLERS * SOCKET_BYTES


async def test_other_answers_are_served_beside_answers_without_end(fleet):
    replies = {b'endless': ENDLESS_BODIES['no length'], b'whole': Reply()}

    def make_reply(_number, data):
        return replies[b'endless' if b'/endless' in data else b'whole']

    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-1', make_reply, slots=2 * CALLERS)
    node = await fleet.start_node('n1')
    paths = ['/write/endless', '/write/whole'] * CALLERS
    responses = await gather(
        *(fetch(node, path, method='POST', request_id=path) for path in paths)
    )
    statuses = [response.status for response in responses]
    assert statuses == [504, 200] * CALLERS


ODD_HEADERS = {
    'zeros': b'Content-Length: ' + b'0' * 5000 + b'2\r\n',
    'timeout': b'Content-Length: 2\r\nKeep-Alive: timeout=%s\r\n'
    % (b'9' * 5000),
    'long timeout': b'Content-Length: 2\r\nKeep-Alive: timeout=%s\r\n'
    % (b'9' * 400),
}


@pytest.mark.parametrize('lines', ODD_HEADERS)
async def test_a_number_of_thousands_of_digits_breaks_no_answer(fleet, lines):
    reply = Reply(data=HEAD + ODD_HEADERS[lines] + b'\r\nok')
    node, _ = await start_node(fleet, reply)
    response = await fetch(node, '/write/x', method='POST')
    assert (response.status, response.body) == (200, b'ok')


RELAYED = ENDLESS_HEADS | ENDLESS_BODIES | ENDLESS_FRAMING


@pytest.mark.parametrize('reply', RELAYED)
async def test_an_answer_to_a_request_of_a_peer_is_cut_off(fleet, reply):
    node, target = await start_node(fleet, RELAYED[reply])
    address = node.find('directory').targets['i-1'].address
    replies = await gather(
        *(
            node.find('target_paths').relay(
                RelayRequest(
                    target='i-1',
                    address=address,
                    method='POST',
                    path=b'/write/x',
                    headers=[
                        Header(name=b'Request-Id', value=b'r%d' % number)
                    ],
                    request_id=f'r{number}',
                    left_ms=1000 * TIMEOUT_S,
                )
            )
            for number in range(CALLERS)
        )
    )
    assert {reply.result for reply in replies} == {RelayReply.BROKEN}
    assert not any(reply.timed_out for reply in replies)
    assert sum(target.endless_bytes) <= MAX_ALL_BYTES + CALLERS * SOCKET_BYTES
