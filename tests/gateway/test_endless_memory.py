"""Tests of the memory of a node whose targets send without end."""

from asyncio import create_task, gather, sleep
from json import dumps
from types import SimpleNamespace

import pytest
from uvloop import EventLoopPolicy

from standins.raw_target import Reply
from tests.gateway.conftest import fetch
from tests.gateway.test_daemon import (
    boot_spec,
    start_daemon,
    wait_until_ready,
)
from tests.gateway.test_memory import (
    CHUNK,
    CHUNKED,
    SlowReaders,
    peak_mb,
    plan,
)

MEMORY_MB = 256
READERS = 1000
# All at once, after all requests are sent.
DELAY_S = 3.0
ENDLESS = {
    'chunks': Reply(data=CHUNKED, delay_s=DELAY_S, endless=CHUNK),
    'small chunks': Reply(
        data=CHUNKED, delay_s=DELAY_S, endless=b'2\r\nxy\r\n'
    ),
    'trailers': Reply(
        data=CHUNKED + CHUNK + b'0\r\n',
        delay_s=DELAY_S,
        endless=b'T: ' + b'\xff' * 60000 + b'\r\n',
    ),
}


@pytest.fixture(scope='module')
def event_loop_policy():
    """Use the event loop of the daemon, whose transports are its own."""
    return EventLoopPolicy()


async def start(fleet, tmp_path, reply):
    """Start a node and its targets; return its process and address."""
    fleet.store.put('config', 'main', plan())
    for number in range(8):
        await fleet.start_target(f'i-{number}', lambda *_: reply, slots=256)
    settings = boot_spec(fleet.store_address)
    settings['limits'] |= {'memory_mb': MEMORY_MB, 'max_fds': 8000}
    settings['contracts'] = ['pressure']
    path = tmp_path / 'local.json'
    path.write_text(dumps(settings))
    proc = await start_daemon(path)
    await wait_until_ready(proc, settings)
    return proc, settings['listen']['front']


async def stop(proc, read_log):
    proc.terminate()
    await read_log
    await proc.wait()


@pytest.mark.parametrize('reply', ENDLESS)
async def test_streams_without_end_and_readers_at_rest_fit_into_the_memory(
    fleet, tmp_path, reply
):
    proc, address = await start(fleet, tmp_path, ENDLESS[reply])
    read_log = create_task(proc.stdout.read())
    readers = SlowReaders(address)
    try:
        await readers.start(READERS)
        await sleep(DELAY_S + 2)
        peak = peak_mb(proc)
        print(f'peak {peak:.1f} MB')
    finally:
        readers.close()
        await stop(proc, read_log)
    assert peak < MEMORY_MB


@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_many_bodies_without_end_fit_into_the_memory(
    fleet, tmp_path, method
):
    proc, address = await start(fleet, tmp_path, ENDLESS['chunks'])
    read_log = create_task(proc.stdout.read())
    node = SimpleNamespace(cfg=SimpleNamespace(listen=address))
    path = '/read/x' if method == 'GET' else '/write/x'
    try:
        responses = await gather(
            *(
                fetch(node, path, method=method, request_id=f'r{number}')
                for number in range(READERS // 2)
            )
        )
        peak = peak_mb(proc)
        print(f'peak {peak:.1f} MB')
    finally:
        await stop(proc, read_log)
    statuses = {response.status for response in responses}
    assert statuses <= {502, 503, 504}
    assert peak < MEMORY_MB
