"""The daemon as a process: settings, logs, signals, reload."""

import sys
from asyncio import (
    create_subprocess_exec,
    create_task,
    open_connection,
    sleep,
    subprocess,
)
from contextlib import suppress
from json import dumps, loads
from os import environ
from random import Random
from signal import SIGCONT, SIGHUP, SIGSTOP, SIGTERM

from aiohttp import ClientError, ClientSession

from bench.ports import free_port
from carawaylane.gateway import daemon
from carawaylane.gateway.daemon import EXIT_BAD_SETTINGS
from carawaylane.kernel.kernel import Kernel
from carawaylane.platform.boot import BOOT_FILE_VARIABLE, parse_boot_file
from standins.raw_target import Reply
from tests.gateway.conftest import plan_spec, route_spec, send_request


def boot(store='127.0.0.1:9', **bounds):
    return {
        'node': 'n1',
        'zone': 'z1',
        'listen': {
            'front': f'127.0.0.1:{free_port()}',
            'readiness_address': f'127.0.0.1:{free_port()}',
            'control': f'127.0.0.1:{free_port()}',
        },
        'internal_port_range': [free_port(), 65535],
        'seeds': [],
        'limits': {'cpu_share': 1, 'cores': 1, 'max_fds': 1000},
        'bounds': {'grace_s': 6, **bounds},
        'platform': {'address': store},
    }


async def start(path):
    return await create_subprocess_exec(
        sys.executable,
        '-m',
        'carawaylane.gateway.daemon',
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={**environ, BOOT_FILE_VARIABLE: str(path)},
    )


async def serving(fleet, tmp_path):
    """Return a process that is ready, its settings and their file."""
    row = boot(fleet.store_address)
    path = tmp_path / 'local.json'
    path.write_text(dumps(row))
    proc = await start(path)
    await until_ready(proc, row)
    return proc, row, path


async def until_ready(proc, row):
    ready = f'http://{row["listen"]["readiness_address"]}/ready'
    async with ClientSession() as session:
        status = 0
        while status != 200:
            assert proc.returncode is None
            await sleep(0.05)
            with suppress(ClientError):
                async with session.get(ready) as resp:
                    status = resp.status


async def get(row, path):
    host, _, port = row['listen']['front'].rpartition(':')
    conn = await open_connection(host, int(port))
    try:
        return await send_request(conn, path)
    finally:
        conn[1].close()


async def ended(proc):
    proc.send_signal(SIGTERM)
    out, err = await proc.communicate()
    assert proc.returncode == 0, err
    return [loads(line)['name'] for line in out.splitlines()]


async def test_a_process_that_was_frozen_serves_again(fleet, tmp_path):
    """The request that came in meanwhile is answered, too."""
    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-1')
    proc, row, _ = await serving(fleet, tmp_path)
    proc.send_signal(SIGSTOP)
    meanwhile = create_task(get(row, '/read/x'))
    # Longer than a watch may take, so that it has timed out on waking.
    await sleep(3)
    assert not meanwhile.done()
    proc.send_signal(SIGCONT)
    assert (await meanwhile).status == 200
    fleet.store.put(
        'config', 'main', plan_spec(2, [route_spec('new', '/new/')])
    )
    status = 0
    while status != 200:
        status = (await get(row, '/new/x')).status
        await sleep(0.05)
    await ended(proc)


async def test_sighup_cuts_nothing_that_is_under_way(fleet, tmp_path):
    fleet.store.put('config', 'main', plan_spec())
    target = await fleet.start_target(
        'i-1', lambda n, data: Reply(delay_s=0.6)
    )
    proc, row, path = await serving(fleet, tmp_path)
    under_way = create_task(get(row, '/read/x'))
    while not target.requests:
        await sleep(0.01)
    row['bounds']['grace_s'] = 9
    path.write_text(dumps(row))
    proc.send_signal(SIGHUP)
    assert (await under_way).status == 200
    line = b''
    while b'settings-read' not in line:
        line = await proc.stdout.readline()
        assert line
    assert (await get(row, '/read/y')).status == 200
    await ended(proc)


async def test_a_process_serves_logs_and_stops_as_planned(fleet, tmp_path):
    fleet.store.put('config', 'main', plan_spec())
    proc, _, _ = await serving(fleet, tmp_path)
    members = fleet.store.objects.setdefault('members', {})
    await fleet.wait_until(lambda: 'n1' in members)
    names = await ended(proc)
    for name in ('node-started', 'config-in-force', 'node-draining'):
        assert name in names
    assert names[-1] == 'node-stopped'
    assert not fleet.store.objects['members']


async def test_settings_that_are_wrong_end_in_one_plain_line(tmp_path):
    path = tmp_path / 'local.json'
    path.write_text('{"node": "n1"}')
    proc = await start(path)
    _, err = await proc.communicate()
    assert proc.returncode == EXIT_BAD_SETTINGS
    assert b'is missing' in err
    assert b'Traceback' not in err


async def test_a_changed_file_is_taken_in_and_a_wrong_one_is_not(
    tmp_path, fleet, monkeypatch
):
    monkeypatch.setattr(daemon, 'RELOAD_PERIOD_S', 0.01)
    path = tmp_path / 'local.json'
    row = boot()
    text = dumps(row)
    path.write_text(text)
    kernel = Kernel(cfg=parse_boot_file(text), rng=Random(1))
    task = create_task(daemon._reload_loop(kernel, path, text))
    row['bounds']['grace_s'] = 9
    path.write_text(dumps(row))
    await fleet.wait_until(lambda: kernel.cfg.bounds.grace_s == 9)
    path.write_text('{')
    await fleet.wait_until(lambda: path.read_text() == '{')
    assert kernel.cfg.bounds.grace_s == 9
    assert not task.done()
    task.cancel()
