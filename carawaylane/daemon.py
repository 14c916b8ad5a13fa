"""The daemon carawayd: one node of the fleet."""

from __future__ import annotations

import sys
from asyncio import Timeout, get_running_loop, timeout
from os import environ
from random import Random
from signal import SIGINT, SIGTERM

from absl import logging
from uvloop import run

from carawaylane.kernel.kernel import Kernel
from carawaylane.services import SERVICE_MODULES, load_services
from carawaylane.settings.settings import Settings, read_settings
from carawaylane.telemetry.events import (
    NODE_DRAINING,
    NODE_STARTED,
    NODE_STOPPED,
    emit,
    setup_logging,
)

EXIT_SETTINGS = 2
EXIT_BROKEN = 70


def main() -> None:
    """Run a node until it is told to stop."""
    cfg, report = read_settings(sys.argv[1:], environ)
    for problem in (*report.errors, *report.warnings):
        print(f'carawayd: {problem}', file=sys.stderr)
    if cfg is None:
        sys.exit(EXIT_SETTINGS)
    setup_logging(as_json=cfg.log_json, verbosity=cfg.log_level)
    sys.exit(run(serve(cfg)))


async def serve(cfg: Settings) -> int:
    """Serve until a signal; return the exit code of the process."""
    load_services()
    kernel = Kernel(cfg=cfg, rng=Random())
    stops = _Stops(kernel=kernel)
    loop = get_running_loop()
    for sig in (SIGTERM, SIGINT):
        loop.add_signal_handler(sig, stops.asked)
    kernel.create_services(SERVICE_MODULES)
    try:
        await kernel.start()
    except OSError as exc:
        print(f'carawayd: {exc}', file=sys.stderr)
        return EXIT_SETTINGS
    emit(NODE_STARTED, member=kernel.member, listen=cfg.listen)
    await kernel.stop_requested.wait()
    if kernel.failure is None:
        await _drain(kernel, stops)
    await kernel.stop()
    emit(NODE_STOPPED, member=kernel.member)
    logging.flush()
    return EXIT_BROKEN if kernel.failure is not None else 0


class _Stops:
    """Counts the signals to stop: the second one hastens the drain."""

    def __init__(self, *, kernel: Kernel) -> None:
        self._kernel = kernel
        self._limit: Timeout | None = None
        self._count = 0

    def asked(self) -> None:
        """Take in a signal."""
        self._count += 1
        self._kernel.stop_requested.set()
        if self._count > 1 and self._limit is not None:
            now_s = get_running_loop().time()
            self._limit.reschedule(now_s)

    def limit(self, limit_s: float) -> Timeout:
        """Return the limit of the drain."""
        self._limit = timeout(limit_s)
        return self._limit


async def _drain(kernel: Kernel, stops: _Stops) -> None:
    emit(NODE_DRAINING, member=kernel.member)
    try:
        async with stops.limit(kernel.cfg.drain_limit_ms / 1000):
            await kernel.drain()
    except TimeoutError:
        return


if __name__ == '__main__':
    main()
