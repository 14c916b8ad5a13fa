"""Tests of the daemon process: boot file, log, signals and reload."""

import gc
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
from subprocess import run

from aiohttp import ClientError, ClientSession

from bench.ports import free_port
from carawaylane.gateway import node as node_process
from carawaylane.gateway.node import EXIT_BAD_SETTINGS, import_services
from carawaylane.kernel.kernel import Kernel
from carawaylane.platform.boot import BOOT_FILE_VARIABLE, parse_boot_file
from standins.raw_target import Reply
from tests.gateway.conftest import HOST, plan_spec, route_spec, send_request


def boot_spec(store_address='127.0.0.1:9', **bounds):
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
        'platform': {'address': store_address},
    }


async def start_daemon(path):
    return await create_subprocess_exec(
        sys.executable,
        '-m',
        'carawaylane.gateway.daemon',
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={**environ, BOOT_FILE_VARIABLE: str(path)},
    )


async def start_ready_daemon(fleet, tmp_path):
    """Return a daemon that is ready, its settings and its boot file."""
    settings = boot_spec(fleet.store_address)
    path = tmp_path / 'local.json'
    path.write_text(dumps(settings))
    proc = await start_daemon(path)
    await wait_until_ready(proc, settings)
    return proc, settings, path


async def wait_until_ready(proc, settings):
    url = f'http://{settings["listen"]["readiness_address"]}/ready'
    async with ClientSession() as session:
        status = 0
        while status != 200:
            assert proc.returncode is None
            await sleep(0.05)
            with suppress(ClientError):
                async with session.get(url) as resp:
                    status = resp.status


async def fetch_from(settings, path):
    host, _, port = settings['listen']['front'].rpartition(':')
    conn = await open_connection(host, int(port))
    try:
        return await send_request(conn, path)
    finally:
        conn[1].close()


async def stop_daemon(proc):
    """Stop the daemon, and return the names of the events in its log."""
    proc.send_signal(SIGTERM)
    out, err = await proc.communicate()
    assert proc.returncode == 0, err
    return [loads(line)['name'] for line in out.splitlines()]


async def test_a_daemon_that_was_suspended_serves_again(fleet, tmp_path):
    """It answers a request that was sent meanwhile, and gets later changes.

    Its watch of the store times out while the process is suspended.
    """
    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-1')
    proc, settings, _ = await start_ready_daemon(fleet, tmp_path)
    proc.send_signal(SIGSTOP)
    response_task = create_task(fetch_from(settings, '/read/x'))
    # Longer than a watch of the store may take.
    await sleep(3)
    assert not response_task.done()
    proc.send_signal(SIGCONT)
    assert (await response_task).status == 200
    fleet.store.put(
        'config', 'main', plan_spec(2, [route_spec('new', '/new/')])
    )
    status = 0
    while status != 200:
        status = (await fetch_from(settings, '/new/x')).status
        await sleep(0.05)
    await stop_daemon(proc)


async def test_a_request_that_comes_while_the_services_are_imported_is_served(
    fleet, tmp_path
):
    """The socket listens before that, so that the caller is not refused."""
    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-1')
    settings = boot_spec(fleet.store_address)
    path = tmp_path / 'local.json'
    path.write_text(dumps(settings))
    proc = await start_daemon(path)
    response = None
    refused = 0
    while response is None:
        try:
            response = await fetch_from(settings, '/read/x')
        except ConnectionRefusedError:
            refused += 1
            await sleep(0.001)
    assert refused
    assert response.status == 200
    events = await stop_daemon(proc)
    # The request was sent before the node was ready.
    assert events.index('node-started') < events.index('request-ended')


def test_a_node_ends_if_a_service_can_not_be_imported(tmp_path):
    """A node that listens and can serve only in part must not stay up."""
    path = tmp_path / 'local.json'
    path.write_text(dumps(boot_spec()))
    code = (
        'import sys\n'
        'from carawaylane.gateway import node\n'
        "node.SERVICE_MODULES['other'] = 'carawaylane.none'\n"
        'sys.exit(node.run_node())'
    )
    done = run(
        [sys.executable, '-c', code],
        env={**environ, BOOT_FILE_VARIABLE: str(path)},
        capture_output=True,
        timeout=20,
    )
    assert done.returncode != 0
    assert b'carawaylane.none' in done.stderr
    assert b'node-started' not in done.stdout


async def test_a_request_whose_caller_left_before_it_was_read_is_not_run(
    fleet, tmp_path
):
    """A caller that gave up a node that did not read tries another one."""
    fleet.store.put('config', 'main', plan_spec())
    target = await fleet.start_target('i-1')
    proc, settings, _ = await start_ready_daemon(fleet, tmp_path)
    proc.send_signal(SIGSTOP)
    host, _, port = settings['listen']['front'].rpartition(':')
    for number in range(20):
        _, writer = await open_connection(host, int(port))
        writer.write(
            f'POST /write/{number} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Request-Id: {number:016x}\r\nContent-Length: 0\r\n\r\n'.encode()
        )
        await writer.drain()
        writer.close()
        await writer.wait_closed()
    proc.send_signal(SIGCONT)
    assert (await fetch_from(settings, '/read/x')).status == 200
    await sleep(0.3)
    assert len(target.requests) == 1
    await stop_daemon(proc)


async def test_sighup_does_not_interrupt_requests_in_flight(fleet, tmp_path):
    fleet.store.put('config', 'main', plan_spec())
    target = await fleet.start_target(
        'i-1', lambda n, data: Reply(delay_s=0.6)
    )
    proc, settings, path = await start_ready_daemon(fleet, tmp_path)
    response_task = create_task(fetch_from(settings, '/read/x'))
    while not target.requests:
        await sleep(0.01)
    settings['bounds']['grace_s'] = 9
    path.write_text(dumps(settings))
    proc.send_signal(SIGHUP)
    assert (await response_task).status == 200
    line = b''
    while b'settings-read' not in line:
        line = await proc.stdout.readline()
        assert line
    assert (await fetch_from(settings, '/read/y')).status == 200
    await stop_daemon(proc)


async def test_a_second_sigterm_cuts_no_request(fleet, tmp_path):
    fleet.store.put('config', 'main', plan_spec())
    target = await fleet.start_target(
        'i-1', lambda n, data: Reply(delay_s=0.6)
    )
    proc, settings, _ = await start_ready_daemon(fleet, tmp_path)
    response_task = create_task(fetch_from(settings, '/read/x'))
    while not target.requests:
        await sleep(0.01)
    proc.send_signal(SIGTERM)
    await sleep(0.2)
    proc.send_signal(SIGTERM)
    assert (await response_task).status == 200
    assert (await fetch_from(settings, '/read/y')).status == 200
    await stop_daemon(proc)


async def test_a_daemon_logs_its_events_and_removes_its_member_when_stopped(
    fleet, tmp_path
):
    fleet.store.put('config', 'main', plan_spec())
    proc, _, _ = await start_ready_daemon(fleet, tmp_path)
    members = fleet.store.objects.setdefault('members', {})
    await fleet.wait_until(lambda: 'n1' in members)
    events = await stop_daemon(proc)
    for name in ('node-started', 'config-in-force', 'node-draining'):
        assert name in events
    assert events[-1] == 'node-stopped'
    assert not fleet.store.objects['members']


async def test_invalid_settings_end_the_daemon_with_a_message(tmp_path):
    path = tmp_path / 'local.json'
    path.write_text('{"node": "n1"}')
    proc = await start_daemon(path)
    _, err = await proc.communicate()
    assert proc.returncode == EXIT_BAD_SETTINGS
    assert b'is missing' in err
    assert b'Traceback' not in err


async def test_a_changed_boot_file_is_reloaded_unless_it_is_invalid(
    tmp_path, fleet, monkeypatch
):
    monkeypatch.setattr(node_process, 'RELOAD_PERIOD_S', 0.01)
    path = tmp_path / 'local.json'
    settings = boot_spec()
    text = dumps(settings)
    path.write_text(text)
    kernel = Kernel(cfg=parse_boot_file(text), rng=Random(1))
    task = create_task(node_process._reload_loop(kernel, path, text))
    settings['bounds']['grace_s'] = 9
    path.write_text(dumps(settings))
    await fleet.wait_until(lambda: kernel.cfg.bounds.grace_s == 9)
    path.write_text('{')
    await fleet.wait_until(lambda: path.read_text() == '{')
    assert kernel.cfg.bounds.grace_s == 9
    assert not task.done()
    task.cancel()


def test_garbage_collections_do_not_visit_the_modules():
    """A collection of all objects after a start took 30 to 50 ms."""
    gc.unfreeze()
    try:
        import_services()
        assert gc.isenabled()
        frozen = gc.get_freeze_count()
        assert frozen > 0
        assert len(gc.get_objects()) < frozen / 10
    finally:
        gc.unfreeze()


START_SCRIPT = """
import sys
from attrs import has
from carawaylane.gateway.node import import_services
import_services()
{report}
"""
REPORT_CLASSES = """
for name, module in list(sys.modules.items()):
    for cls in vars(module).values():
        if isinstance(cls, type) and has(cls) and cls.__module__ == name:
            code = getattr(cls.__repr__, '__code__', None)
            if name.startswith('carawaylane.') and code is not None:
                if code.co_filename.startswith('<attrs generated'):
                    print(name, cls.__qualname__)
"""


def report_start(report):
    """Run a script in a process that has imported what a node imports."""
    done = run(
        [sys.executable, '-c', START_SCRIPT.format(report=report)],
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout


def test_a_start_imports_nothing_that_serving_does_not_need():
    """Each of these took 2 to 30 ms of processor time of each start."""
    modules = set(report_start('print(*sys.modules)').split())
    assert 'carawaylane.gateway.callers' in modules
    assert not modules & {
        'absl',
        'aiohttp.web',
        'http.server',
        'opentelemetry',
        'prometheus_client',
        'yaml',
    }


def test_a_node_keeps_no_source_of_generated_methods():
    """attrs keeps it for tracebacks, 0.3 MB in each node."""
    assert report_start('import linecache\nprint(len(linecache.cache))') == (
        '0\n'
    )


def test_data_classes_of_a_node_generate_no_text():
    """To generate it takes a quarter of what the classes cost a start.

    Only the text of replies to slot requests is used: tests record it.
    """
    assert report_start(REPORT_CLASSES).split() == [
        'carawaylane.messages.dispatch',
        'Grant',
        'carawaylane.messages.dispatch',
        'Queued',
        'carawaylane.messages.dispatch',
        'Refusal',
    ]
