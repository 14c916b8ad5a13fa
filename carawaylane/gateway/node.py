"""The process of a gateway node: settings, services, signals and reload."""

from __future__ import annotations

import gc
import sys
from asyncio import get_running_loop, sleep
from importlib import import_module
from linecache import clearcache
from os import environ
from pathlib import Path
from random import Random
from signal import SIG_IGN, SIGHUP, SIGINT, SIGTERM, signal

from uvloop import run

from carawaylane import PROCESS_STARTED_AT_S
from carawaylane.kernel.kernel import Kernel
from carawaylane.kernel.sockets import open_listener
from carawaylane.messages.outcomes import Problem
from carawaylane.platform.boot import boot_file_path, parse_boot_file
from carawaylane.settings.gateway import GatewaySettings
from carawaylane.telemetry.events import (
    NODE_DRAINING,
    NODE_STARTED,
    NODE_STOPPED,
    SETTINGS_BAD,
    SETTINGS_READ,
    emit,
)
from carawaylane.telemetry.log_setup import log_to_stdout

EXIT_BAD_SETTINGS = 2
EXIT_INTERNAL_ERROR = 70
# Period at which the boot file is checked for changes.
RELOAD_PERIOD_S = 1.0
# Imported before the socket for callers is opened.
LIBRARY_MODULES = ('aiohttp.web_server',)
# Modules of the services in the order in which these start; they drain and
# stop in reverse.
SERVICE_MODULES = {
    'telemetry': 'carawaylane.services.telemetry',
    'links': 'carawaylane.gateway.links',
    'relays': 'carawaylane.gateway.relays',
    'directory': 'carawaylane.gateway.directory',
    'news': 'carawaylane.gateway.object_sync',
    'dispatchers': 'carawaylane.gateway.dispatchers',
    'fleet_rpc': 'carawaylane.gateway.fleet_rpc',
    'dispatch': 'carawaylane.gateway.dispatch',
    'quotas': 'carawaylane.gateway.quotas',
    'backpressure': 'carawaylane.gateway.backpressure',
    'memory': 'carawaylane.gateway.memory',
    'stopping': 'carawaylane.gateway.stopping',
    'exchanges': 'carawaylane.gateway.exchanges',
    'target_paths': 'carawaylane.gateway.target_paths',
    'crashes': 'carawaylane.gateway.crashes',
    'forwarding': 'carawaylane.gateway.forwarding',
    'callers': 'carawaylane.gateway.callers',
    'status': 'carawaylane.gateway.status',
    'store_watch': 'carawaylane.gateway.store_watch',
    'registration': 'carawaylane.gateway.registration',
}


def run_node() -> int:
    """Read the boot file and run a node until it stops.

    Return the exit code of the process.
    """
    path = boot_file_path(environ)
    if path is None:
        print('carawaylane: CARAWAYLANE_BOOT is not set', file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return run(serve(Path(path)))


def read_settings(
    path: Path, old_text: str | None = None
) -> tuple[str, GatewaySettings | Problem | None]:
    """Return the text of the boot file and the settings in it.

    The settings are None if the text has not changed.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        text, problem = '', Problem(place=str(path), reason=str(exc))
        return text, None if text == old_text else problem
    return text, None if text == old_text else parse_boot_file(text, environ)


def import_libraries() -> None:
    """Import the libraries that take most of a start.

    What remains to be imported then takes a third of a second on the smallest
    hosts, during which callers' connections may wait.
    """
    for module in LIBRARY_MODULES:
        import_module(module)


def import_services() -> None:
    """Import the modules of the services.

    Their objects live as long as the process. Garbage collections during the
    imports, and later ones that visit these objects, would free nothing and
    block the event loop.
    """
    gc.disable()
    for module in SERVICE_MODULES.values():
        import_module(module)
    # attrs keeps the source of the methods that it generates, 0.3 MB.
    clearcache()
    gc.enable()
    gc.freeze()


async def serve(path: Path) -> int:
    """Run the node until a signal or a failed task; return the exit code."""
    text, cfg = read_settings(path)
    if not isinstance(cfg, GatewaySettings):
        print(f'carawaylane: {cfg}', file=sys.stderr)
        return EXIT_BAD_SETTINGS
    log_handler = log_to_stdout()
    kernel = Kernel(cfg=cfg, rng=Random(), started_at_s=PROCESS_STARTED_AT_S)
    loop = get_running_loop()
    for sig in (SIGTERM, SIGINT):
        loop.add_signal_handler(sig, kernel.stop_requested.set)
    # SIGHUP would end the process; the reload loop sees changes without it.
    signal(SIGHUP, SIG_IGN)
    import_libraries()
    try:
        kernel.sockets['callers'] = open_listener(cfg.listen)
        import_services()
        kernel.create_services(tuple(SERVICE_MODULES))
        await kernel.start()
    except OSError as exc:
        print(f'carawaylane: cannot start: {exc}', file=sys.stderr)
        return EXIT_BAD_SETTINGS
    emit(NODE_STARTED, member=kernel.member, listen=cfg.listen)
    reload_task = loop.create_task(_reload_loop(kernel, path, text))
    await kernel.stop_requested.wait()
    reload_task.cancel()
    if kernel.failure is None:
        emit(NODE_DRAINING, member=kernel.member)
        await kernel.drain()
    await kernel.stop()
    emit(NODE_STOPPED, member=kernel.member)
    log_handler.flush_queue()
    return EXIT_INTERNAL_ERROR if kernel.failure is not None else 0


async def _reload_loop(kernel: Kernel, path: Path, text: str) -> None:
    """Reload the boot file when it changes.

    Sockets that are open keep their addresses.
    """
    while True:
        await sleep(RELOAD_PERIOD_S)
        text, cfg = read_settings(path, text)
        if cfg is None:
            continue
        if isinstance(cfg, Problem):
            emit(SETTINGS_BAD, reason=str(cfg))
            continue
        kernel.cfg = cfg
        emit(SETTINGS_READ, member=kernel.member)
