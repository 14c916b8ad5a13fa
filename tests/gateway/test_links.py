"""Calls to other nodes over connections that fail."""

from asyncio import create_task, gather, sleep, start_server

from carawaylane.gateway.links import PeerChannels
from carawaylane.rpc.fleet_pb2 import SyncRequest

CALLS = 3


async def test_calls_that_wait_to_write_fail_if_the_connection_is_closed():
    """A call that times out closes the connection that others wait for."""
    server = await start_server(lambda reader, writer: None, '127.0.0.1', 0)
    address = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
    channels = PeerChannels(kernel=None)
    first = create_task(channels.call(address, 'Sync', SyncRequest()))
    await sleep(0.05)
    channel = channels._channels._by_address[address].channel
    protocol = channel._protocol
    # As the event loop does if the peer does not read.
    protocol.pause_writing()
    waiting = [
        create_task(channels.call(address, 'Sync', SyncRequest()))
        for _ in range(CALLS)
    ]
    await sleep(0.05)
    channel.close()
    protocol.resume_writing()
    replies = await gather(first, *waiting, return_exceptions=True)
    server.close()
    assert replies == [None] * (1 + CALLS)
