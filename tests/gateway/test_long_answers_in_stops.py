"""Tests of daemons that are stopped while they send answers for long."""

from asyncio import (
    create_task,
    gather,
    get_running_loop,
    open_connection,
    sleep,
)
from json import dumps
from signal import SIGTERM
from socket import SO_RCVBUF, SOL_SOCKET, socket

import pytest
from attrs import define

from tests.gateway.long_answers import (
    BODY,
    LongTarget,
    plan,
    receive,
    request,
)
from tests.gateway.test_daemon import (
    boot_spec,
    start_daemon,
    wait_until_ready,
)

# A slow caller takes 60 kB in this time, and an answer in 5 s.
SLOW_READ_S = 0.5
SMALL_BUFFER_BYTES = 4096


@define(kw_only=True, slots=False)
class Caller:
    """A caller that sends one request, and perhaps reads slowly."""

    name: str
    path: str
    pause_s: float = 0.0
    # What it sends behind the request, after some time.
    queued: str = ''

    async def connect(self, address):
        sock = socket()
        if self.pause_s:
            sock.setsockopt(SOL_SOCKET, SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.setblocking(False)
        await get_running_loop().sock_connect(sock, address)
        self._reader, self._writer = await open_connection(
            sock=sock, limit=SMALL_BUFFER_BYTES
        )
        self._writer.write(request(self.name, self.path))

    async def receive(self):
        return await receive(self._reader, pause_s=self.pause_s)

    def send_queued(self):
        if self.queued:
            name = f'next-{self.name}'
            self._writer.write(request(name, self.queued))


async def start_daemon_of(fleet, tmp_path, *, grace_s):
    fleet.store.put('config', 'main', plan(target_latency_ms=4000))
    target = await LongTarget().start(fleet)
    settings = boot_spec(fleet.store_address, grace_s=grace_s)
    settings['contracts'] = ['pressure']
    settings['limits'] |= {'memory_mb': 8}
    path = tmp_path / 'local.json'
    path.write_text(dumps(settings))
    proc = await start_daemon(path)
    await wait_until_ready(proc, settings)
    host, _, port = settings['listen']['front'].rpartition(':')
    return proc, target, (host, int(port))


def callers_of(length_s, pause_s, prefix=''):
    def caller(name, path, **kwargs):
        return Caller(name=f'{prefix}{name}', path=path, **kwargs)

    return [
        caller('sized', f'/get/{length_s}'),
        caller('chunked', f'/get/chunked/{length_s}'),
        caller('slow', '/get/0', pause_s=pause_s),
        caller('queued', f'/get/{length_s}', queued='/write/0'),
        caller('queued-slow', '/get/0', pause_s=pause_s, queued='/read/0'),
    ]


async def stop_beside(proc, target, address, early, late, signals):
    """Stop a daemon while callers receive answers; return these in order."""
    log = create_task(proc.communicate())
    await gather(*(caller.connect(address) for caller in early))
    while not all(target.runs[caller.name] for caller in early):
        await sleep(0.02)
    await sleep(0.3)
    proc.send_signal(SIGTERM)
    started_at_s = get_running_loop().time()
    await sleep(0.3)
    await gather(*(caller.connect(address) for caller in late))
    answers = [create_task(caller.receive()) for caller in (*early, *late)]
    # The node refuses requests by then.
    await sleep(2.7)
    for caller in (*early, *late):
        caller.send_queued()
    for _ in range(signals - 1):
        proc.send_signal(SIGTERM)
        await sleep(0.3)
    received = await gather(*answers)
    _, err = await log
    took_s = get_running_loop().time() - started_at_s
    assert proc.returncode == 0, err
    return received, took_s


@pytest.mark.parametrize('signals', [1, 3])
async def test_answers_that_end_in_a_stop_arrive_whole(
    fleet, tmp_path, signals
):
    grace_s = 20
    proc, target, address = await start_daemon_of(
        fleet, tmp_path, grace_s=grace_s
    )
    early = callers_of(6.0, SLOW_READ_S)
    early.append(Caller(name='unsafe', path='/write/6.0'))
    late = callers_of(5.5, SLOW_READ_S, 'late-')
    received, took_s = await stop_beside(
        proc, target, address, early, late, signals
    )
    for caller, answer in zip((*early, *late), received, strict=True):
        assert answer.is_whole, caller.name
        if caller.name != 'unsafe':
            assert answer.body == BODY, caller.name
    assert set(target.runs.values()) == {1}
    assert not any(name.startswith('next') for name in target.runs)
    # The node left as no answer was left.
    assert took_s < grace_s / 2


@pytest.mark.parametrize('signals', [1, 3])
async def test_answers_that_outlast_a_stop_do_not_look_whole(
    fleet, tmp_path, signals
):
    proc, target, address = await start_daemon_of(fleet, tmp_path, grace_s=6)
    early = callers_of(20.0, 4 * SLOW_READ_S)
    late = callers_of(20.0, 4 * SLOW_READ_S, 'late-')
    received, _ = await stop_beside(
        proc, target, address, early, late, signals
    )
    for caller, answer in zip((*early, *late), received, strict=True):
        assert answer.status == 200, caller.name
        assert answer.end, caller.name
    assert not any(name.startswith('next') for name in target.runs)


@pytest.mark.parametrize('length_s', [4.0, 20.0])
async def test_what_was_read_behind_a_slow_reader_is_answered_in_order(
    fleet, tmp_path, length_s
):
    """The longer answers outlast the stop, and all behind them ends too."""
    grace_s = 20 if length_s < 10 else 6
    proc, target, address = await start_daemon_of(
        fleet, tmp_path, grace_s=grace_s
    )
    pause_s = length_s / 10
    callers = [
        Caller(name='read', path='/get/0', pause_s=pause_s),
        Caller(name='write', path='/get/0', pause_s=pause_s),
        Caller(name='long', path=f'/get/{length_s}'),
    ]
    kinds = {'read': '/read/0', 'write': '/write/0', 'long': '/write/0'}
    await gather(*(caller.connect(address) for caller in callers))
    for caller in callers:
        caller.queued = kinds[caller.name]
        caller.send_queued()
    while not all(target.runs[caller.name] for caller in callers):
        await sleep(0.02)
    await sleep(0.3)
    log = create_task(proc.communicate())
    proc.send_signal(SIGTERM)

    async def receive_two(caller):
        return await caller.receive(), await caller.receive()

    received = await gather(*(receive_two(caller) for caller in callers))
    await log
    assert proc.returncode == 0
    for caller, (first, second) in zip(callers, received, strict=True):
        runs = target.runs[f'next-{caller.name}']
        if length_s < 10:
            assert first.body == BODY, caller.name
            assert second.is_whole, caller.name
            assert second.status == (200 if runs else 503)
        else:
            assert not first.is_whole, caller.name
            assert second.status == 0
        assert runs == (caller.name == 'read')
