"""Liveness check of a target over a new connection."""

from asyncio import sleep, start_server

import pytest

from carawaylane.services.targets import TargetClient


async def keep_open(reader, writer):
    await reader.read()
    writer.close()


async def close_at_once(reader, writer):
    writer.close()


async def reset_later(reader, writer):
    await sleep(0.02)
    writer.transport.abort()


@pytest.mark.parametrize(
    ('handler', 'alive'),
    [(keep_open, True), (close_at_once, False), (reset_later, False)],
)
async def test_a_target_is_alive_if_it_keeps_a_connection_open(handler, alive):
    async with await start_server(handler, '127.0.0.1', 0) as server:
        port = server.sockets[0].getsockname()[1]
        client = TargetClient(address=f'127.0.0.1:{port}')
        assert await client.is_alive() is alive


async def test_a_target_that_refuses_connections_is_not_alive():
    async with await start_server(keep_open, '127.0.0.1', 0) as server:
        port = server.sockets[0].getsockname()[1]
    assert await TargetClient(address=f'127.0.0.1:{port}').is_alive() is False
