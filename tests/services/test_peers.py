"""Calls of the daemon to other nodes over connections that fail."""

from asyncio import create_task, gather, sleep, start_server

import pytest

from carawaylane.messages.exchange import Request
from carawaylane.rpc.node_pb2 import PingRequest
from carawaylane.services.peers import NeverSentError

CALLS = 3
TIMEOUT_S = 0.5


async def test_calls_that_wait_to_write_fail_if_the_connection_is_closed(
    kernel,
):
    """A replaced connection is closed while other calls wait for it."""
    server = await start_server(lambda reader, writer: None, '127.0.0.1', 0)
    address = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
    peers = kernel.find('peers')

    def call():
        return create_task(
            peers.call(address, 'Ping', PingRequest(), TIMEOUT_S)
        )

    first = call()
    await sleep(0.05)
    channel = peers._connections[address].channel
    protocol = channel._protocol
    # As the event loop does if the peer does not read.
    protocol.pause_writing()
    waiting = [call() for _ in range(CALLS)]
    await sleep(0.05)
    channel.close()
    protocol.resume_writing()
    replies = await gather(first, *waiting, return_exceptions=True)
    server.close()
    assert replies == [None] * (1 + CALLS)


@pytest.mark.parametrize(
    'address', ['h..localhost:80', '[::1%a]:80', 'h:http', 'h:99999', ':']
)
async def test_a_member_whose_address_is_malformed_is_not_reached(
    kernel, address
):
    """A request that was forwarded to it ended with ValueError."""
    peers = kernel.find('peers')
    req = Request(
        request_id='r',
        service='s',
        kind='k',
        caller='c',
        method='GET',
        path='/',
        body=b'',
        deadline_ms=kernel.now_ms() + 1000,
    )
    assert await peers.call(address, 'Ping', PingRequest(), 1.0) is None
    with pytest.raises(NeverSentError):
        async for _ in peers.forward(address, req, 0):
            pass
