"""Connections to a target."""

from asyncio import sleep, start_server

import pytest

from carawaylane.services.targets import TargetClient


async def keep(reader, writer):
    await reader.read()
    writer.close()


async def drop(reader, writer):
    writer.close()


async def reset_later(reader, writer):
    await sleep(0.02)
    writer.transport.abort()


@pytest.mark.parametrize(
    ('serve', 'alive'), [(keep, True), (drop, False), (reset_later, False)]
)
async def test_a_target_is_alive_if_it_keeps_a_connection(serve, alive):
    async with await start_server(serve, '127.0.0.1', 0) as server:
        port = server.sockets[0].getsockname()[1]
        client = TargetClient(address=f'127.0.0.1:{port}')
        assert await client.alive() is alive


async def test_a_target_that_takes_no_connection_is_not_alive():
    async with await start_server(keep, '127.0.0.1', 0) as server:
        port = server.sockets[0].getsockname()[1]
    assert await TargetClient(address=f'127.0.0.1:{port}').alive() is False
