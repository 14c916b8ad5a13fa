"""Attempts leave nothing behind, and blame targets for work only."""

from asyncio import CancelledError, create_task, sleep, start_server

import pytest

from carawaylane.config.schema import Target, TrafficKind
from carawaylane.messages.exchange import Request
from carawaylane.messages.home import Configure
from carawaylane.messages.outcomes import NotRun

KIND = TrafficKind(
    name='k', selector='', service='s', safety='idempotent', timeout_ms=5000
)


async def hang(reader, writer):
    await reader.read()
    writer.close()


def request(kernel, *, left_ms):
    return Request(
        request_id='r',
        service='s',
        kind='k',
        caller='c',
        method='GET',
        path='/',
        digest='d',
        deadline_ms=kernel.now_ms() + left_ms,
    )


async def home_with(kernel, port):
    home = await kernel.find('homes').get_or_create_home(('s', 0))
    spec = kernel.find('catalogue').config.services['s']
    target = Target(name='t', address=f'127.0.0.1:{port}')
    await home.ask(
        Configure(service=spec, targets=[target], leaving_hosts=frozenset())
    )
    return home


async def test_a_cancelled_attempt_gives_its_slot_back(kernel):
    async with await start_server(hang, '127.0.0.1', 0) as server:
        port = server.sockets[0].getsockname()[1]
        home = await home_with(kernel, port)
        req = request(kernel, left_ms=5000)
        task = create_task(kernel.find('attempts').run(home, KIND, req))
        while not home.busy():
            await sleep(0.01)
        await sleep(0.05)
        assert kernel.find('suspects').under_way('t') == ['r']
        task.cancel()
        with pytest.raises(CancelledError):
            await task
        await sleep(0.05)
        assert home.busy() == 0
        assert kernel.find('suspects').under_way('t') == []


async def test_a_late_request_is_not_run_and_blames_nobody(kernel):
    home = await home_with(kernel, 9)
    req = request(kernel, left_ms=-5)
    done = await kernel.find('attempts').run(home, KIND, req)
    assert isinstance(done.outcome, NotRun)
    await sleep(0.05)
    assert home.health.targets['t'].detector.score() == 0
