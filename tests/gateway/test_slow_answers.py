"""Tests of answers that go on for longer than their requests have time."""

from asyncio import Event, create_task, gather, timeout

import pytest

from carawaylane.decisions.admission.answer_memory import LARGE_ANSWERS_BYTES
from carawaylane.gateway.fleet_rpc import FleetHandler
from carawaylane.rpc.fleet_pb2 import Header, RelayReply, RelayRequest
from standins.raw_target import Reply
from tests.gateway.conftest import fetch, plan_spec, route_spec

HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# What is sent at once, and again and again.
SLOW = {
    'status line': (b'HTTP/1.1 200 ', b'O'),
    'head': (HEAD, b'X: y\r\n'),
    'one line': (HEAD + b'X: ', b'y'),
    'body': (HEAD + b'Content-Length: 1000000\r\n\r\n', b'x'),
    'no length': (HEAD + b'\r\n', b'x'),
    'chunks': (CHUNKED, b'1\r\nx\r\n'),
    'chunk size': (CHUNKED, b'0'),
    'chunk extension': (CHUNKED + b'1;a=', b'x'),
    'trailers': (CHUNKED + b'0\r\n', b'T: 1\r\n'),
}
PERIOD_S = 0.02
LEFT_MS = 600
# Far longer than any of these requests should take.
HANG_S = 20


def slow_reply(name):
    start, again = SLOW[name]
    return Reply(data=start, endless=again, period_s=PERIOD_S)


async def start_node(fleet, reply):
    """Start a node and a target that gives the answer to paths with /slow."""
    routes = [
        route_spec('slow', '/slow/', kind='unsafe', timeout_ms=LEFT_MS),
        route_spec('write', '/write/', kind='unsafe', timeout_ms=10_000),
    ]
    fleet.store.put('config', 'main', plan_spec(routes=routes))
    await fleet.start_target(
        'i-1',
        lambda _, data: reply if b' /slow/' in data else Reply(),
        slots=1,
    )
    return await fleet.start_node('n1')


def relay_request(node, *, request_id='r1', left_ms=LEFT_MS):
    return RelayRequest(
        target='i-1',
        address=node.find('directory').targets['i-1'].address,
        method='POST',
        path=b'/slow/x',
        headers=[Header(name=b'Request-Id', value=request_id.encode())],
        request_id=request_id,
        left_ms=left_ms,
    )


@pytest.mark.parametrize('name', SLOW)
async def test_a_slow_answer_ends_with_the_time_of_its_request(fleet, name):
    node = await start_node(fleet, slow_reply(name))
    async with timeout(HANG_S):
        response = await fetch(node, '/slow/x', method='POST')
        assert response.status in (502, 504)
        # The only slot is free again.
        response = await fetch(
            node, '/write/x', method='POST', request_id='r2'
        )
        assert response.status == 200


@pytest.mark.parametrize('name', SLOW)
async def test_a_slow_answer_ends_with_the_time_of_a_peers_request(
    fleet, name
):
    node = await start_node(fleet, slow_reply(name))
    async with timeout(HANG_S):
        reply = await node.find('target_paths').relay(relay_request(node))
    assert reply.result == RelayReply.BROKEN
    assert reply.timed_out


class RestingPeer:
    """Stream of a peer that sends a request and does not read the reply."""

    def __init__(self, request):
        self._request = request
        self.reply = None
        self.is_cancelled = False

    async def recv_message(self):
        return self._request

    async def send_message(self, reply):
        self.reply = reply
        await Event().wait()

    async def cancel(self):
        self.is_cancelled = True


async def test_replies_that_peers_do_not_read_are_bounded(fleet):
    body = b'x' * (6 << 20)
    length = b'Content-Length: %d\r\n\r\n' % len(body)
    node = await start_node(fleet, Reply(data=HEAD + length + body))
    handler = FleetHandler(svc=node.find('fleet_rpc'))
    peers = [
        RestingPeer(
            relay_request(node, request_id=f'r{number}', left_ms=1000 * HANG_S)
        )
        for number in range(12)
    ]
    tasks = []
    for peer in peers:
        tasks.append(create_task(handler.Relay(peer)))
        await fleet.wait_until(lambda peer=peer: peer.reply)
    waiting = sum(len(peer.reply.body) for peer in peers)
    for task in tasks:
        task.cancel()
    await gather(*tasks, return_exceptions=True)
    assert 0 < waiting <= LARGE_ANSWERS_BYTES
    lost = [peer.reply for peer in peers if not peer.reply.body]
    assert {reply.result for reply in lost} == {RelayReply.BROKEN}


async def test_a_reply_that_a_peer_does_not_read_ends_with_its_time(fleet):
    node = await start_node(fleet, Reply())
    peer = RestingPeer(relay_request(node))
    async with timeout(HANG_S):
        await FleetHandler(svc=node.find('fleet_rpc')).Relay(peer)
    assert peer.reply.result == RelayReply.ANSWERED
    assert peer.is_cancelled
