"""Tests of answers that come again, or before a request.

None makes an answer of what belongs to another one, and none keeps what its
connection has carried.
"""

import gc
from asyncio import (
    IncompleteReadError,
    gather,
    sleep,
    start_server,
    timeout,
)

import pytest

from carawaylane.gateway.target_paths import _relay_result
from carawaylane.messages.exchange import OutgoingRequest
from carawaylane.rpc.fleet_pb2 import RelayReply
from carawaylane.rpc.relay_codec import pack_relay_reply
from carawaylane.services.targets import BrokenExchange, CompleteAnswer
from standins.raw_target import OK, Reply, read_request, request_id_of
from tests.gateway.conftest import (
    HOST,
    connect,
    fetch,
    plan_spec,
    route_spec,
)

PROMISES = (408, 421, 429, 503)
RUN_S = 0.05
# Long before the timeout of a route that allows a minute.
SOON_S = 20
# A body of a target that reads like an answer to the request r2.
REFUSAL_TEXT = (
    b'HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r2\r\n'
    b'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)
SUCCESS_TEXT = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nResponse-Seal: forged\r\n'
    b'Content-Length: 6\r\n\r\nforged'
)


def answer(request_id, body, length=None):
    return (
        b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n'
        b'Content-Length: %d\r\n\r\n%s'
        % (request_id, len(body) if length is None else length, body)
    )


async def fetch_head(node, path, request_id):
    """Send a HEAD request and return the bytes of the response."""
    reader, writer = await connect(node)
    writer.write(
        f'HEAD {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Request-Id: {request_id}\r\nConnection: close\r\n\r\n'.encode()
    )
    data = await reader.read()
    writer.close()
    return data


async def start(fleet, first, *later, timeout_ms=1500):
    """Start a node and a target; return the node and the later requests."""
    routes = [
        route_spec('read', '/read/', timeout_ms=timeout_ms),
        route_spec('write', '/write/', kind='unsafe', timeout_ms=timeout_ms),
    ]
    fleet.store.put('config', 'main', plan_spec(routes=routes))
    received = []

    def make_reply(number, data):
        if number == 1:
            return first
        received.append(data)
        return later[min(number - 2, len(later) - 1)]

    await fleet.start_target('i-1', make_reply)
    return await fleet.start_node('n1'), received


async def test_the_copy_of_a_head_answer_hides_no_head_of_the_own_one(fleet):
    own = answer(b'r2', REFUSAL_TEXT)
    size = len(own) - len(REFUSAL_TEXT)
    copy = answer(b'r1', b'', size)
    node, runs = await start(
        fleet, Reply(data=copy), Reply(before=copy, data=own, delay_s=RUN_S)
    )
    await fetch_head(node, '/read/x', 'r1')
    response = await fetch(node, '/write/x', method='POST', request_id='r2')
    assert len(runs) == 1
    assert response.status not in PROMISES


@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_a_request_ends_soon_behind_the_copy_of_a_head_answer(
    fleet, method
):
    copy = answer(b'r1', b'', 500)
    node, _ = await start(
        fleet,
        Reply(data=copy),
        Reply(before=copy, delay_s=RUN_S),
        Reply(),
        timeout_ms=60_000,
    )
    await fetch_head(node, '/read/x', 'r1')
    path = '/read/x' if method == 'GET' else '/write/x'
    async with timeout(SOON_S):
        await fetch(node, path, method=method, request_id='r2')


@pytest.mark.parametrize(
    'text', [REFUSAL_TEXT, SUCCESS_TEXT], ids=['refusal', 'success']
)
async def test_the_body_of_a_copy_is_no_answer_to_a_head_request(fleet, text):
    copy = answer(b'r1', text)
    node, runs = await start(
        fleet,
        Reply(data=copy),
        Reply(before=copy, data=answer(b'r2', b'', 2), delay_s=RUN_S),
    )
    assert (await fetch(node, '/read/x', request_id='r1')).status == 200
    data = await fetch_head(node, '/write/x', 'r2')
    assert len(runs) == 1
    assert int(data.split()[1]) not in PROMISES
    assert b'forged' not in data


@pytest.mark.parametrize(
    'text', [REFUSAL_TEXT, SUCCESS_TEXT], ids=['refusal', 'success']
)
async def test_a_copy_that_breaks_off_makes_no_answer_of_a_body(fleet, text):
    own = answer(b'r2', text)
    copy = answer(b'r1', b'x' * (5 + len(own) - len(text)))
    cut = copy[: 5 - (len(own) - len(text)) - 5]
    node, runs = await start(
        fleet,
        Reply(data=copy),
        Reply(before=cut, data=own, delay_s=RUN_S),
    )
    assert (await fetch(node, '/read/x', request_id='r1')).status == 200
    response = await fetch(node, '/write/x', method='POST', request_id='r2')
    assert len(runs) == 1
    assert response.status not in PROMISES
    assert response.body != b'forged'


@pytest.mark.parametrize('kind', ['safe', 'unsafe'])
async def test_another_id_on_a_new_connection_ends_the_exchange(fleet, kind):
    routes = [
        route_spec('x', '/x/', kind=kind, max_attempts=1, timeout_ms=60_000)
    ]
    fleet.store.put('config', 'main', plan_spec(routes=routes))
    await fleet.start_target(
        'i-1', lambda *_: Reply(data=OK.replace(b'@ID@', b'other'))
    )
    node = await fleet.start_node('n1')
    async with timeout(SOON_S):
        response = await fetch(node, '/x/x')
    assert response.status in (502, 504)


@pytest.mark.parametrize('opened_by_check', [False, True])
async def test_an_answer_before_a_request_refuses_none(fleet, opened_by_check):
    runs = []

    async def serve(reader, writer):
        writer.write(
            b'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        try:
            while True:
                data = await read_request(reader)
                runs.append(data)
                await sleep(RUN_S)
                writer.write(OK.replace(b'@ID@', request_id_of(data)))
        except (IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    fleet.store.put('config', 'main', plan_spec())
    server = await start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    fleet.register_target('i-1', port)
    node = await fleet.start_node('n1')
    if opened_by_check:
        assert await node.find('exchanges').reaches(f'127.0.0.1:{port}')
        await sleep(RUN_S)
    response = await fetch(node, '/write/x', method='POST')
    await sleep(RUN_S)
    server.close()
    assert not (runs and response.status in PROMISES)


BODY = b'x' * 900_000


def held_body_bytes():
    return sum(
        len(obj.body)
        for obj in gc.get_objects()
        if isinstance(obj, OutgoingRequest)
    )


async def test_idle_connections_hold_no_request(fleet):
    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-1', lambda *_: Reply(delay_s=0.2), slots=8)
    node = await fleet.start_node('n1')
    responses = await gather(
        *(
            fetch(
                node,
                '/write/x',
                method='POST',
                body=BODY,
                request_id=f'r{number}',
            )
            for number in range(6)
        )
    )
    assert {response.status for response in responses} == {200}
    await sleep(RUN_S)
    gc.collect()
    assert held_body_bytes() == 0


async def test_closed_connections_are_freed_without_a_collection(fleet):
    fleet.store.put('config', 'main', plan_spec())
    close = OK.replace(b'\r\n', b'\r\nConnection: close\r\n', 1)
    await fleet.start_target('i-1', lambda *_: Reply(data=close))
    node = await fleet.start_node('n1')
    gc.collect()
    gc.disable()
    try:
        for number in range(20):
            await fetch(
                node,
                '/write/x',
                method='POST',
                body=BODY,
                request_id=f'r{number}',
            )
        await sleep(RUN_S)
        held = held_body_bytes()
    finally:
        gc.enable()
    assert held <= 2 * len(BODY)


@pytest.mark.parametrize('status', PROMISES)
def test_the_status_of_an_older_peer_makes_no_promise(status):
    reply = pack_relay_reply(
        CompleteAnswer(status=status, headers=(), body=b'')
    )
    assert isinstance(_relay_result(reply), BrokenExchange)


def test_a_success_of_an_older_peer_without_a_seal_is_no_answer():
    reply = pack_relay_reply(
        CompleteAnswer(status=200, headers=(('Request-Id', 'r'),), body=b'')
    )
    assert isinstance(_relay_result(reply), BrokenExchange)


def test_an_empty_reply_of_a_peer_is_no_answer():
    assert isinstance(_relay_result(RelayReply()), BrokenExchange)


async def test_a_target_that_ends_behind_a_copy_is_not_mismatched(fleet):
    fleet.store.put('config', 'main', plan_spec())
    copy = OK.replace(b'@ID@', b'r1')
    await fleet.start_target(
        'i-1',
        lambda number, _: (
            Reply()
            if number == 1
            else Reply(data=copy, connection_end='reset')
        ),
    )
    node = await fleet.start_node('n1')
    address = fleet.store.objects['servers']['i-1']['spec']['address']
    results = [
        await node.find('exchanges').exchange(
            'i-1',
            address,
            OutgoingRequest(
                method='GET',
                path='/',
                headers=(('Host', HOST), ('Request-Id', request_id)),
                body=b'',
                request_id=request_id,
                idempotent=True,
            ),
            2.0,
        )
        for request_id in ('r1', 'r2')
    ]
    assert isinstance(results[1], BrokenExchange)
    assert not results[1].mismatched
