"""The daemon `carawayd`, which runs one node of the fleet."""

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
)
from carawaylane.telemetry.log_setup import setup_logging

EXIT_BAD_SETTINGS = 2
EXIT_INTERNAL_ERROR = 70


def main() -> None:
    """Read the settings, run a node until it stops, and exit."""
    cfg, report = read_settings(sys.argv[1:], environ)
    for problem in (*report.errors, *report.warnings):
        print(f'carawayd: {problem}', file=sys.stderr)
    if cfg is None:
        sys.exit(EXIT_BAD_SETTINGS)
    setup_logging(as_json=cfg.log_json, verbosity=cfg.log_level)
    sys.exit(run(serve(cfg)))


async def serve(cfg: Settings) -> int:
    """Run the node until a signal or a failed task; return the exit code."""
    load_services()
    kernel = Kernel(cfg=cfg, rng=Random())
    stop_signals = _StopSignals(kernel=kernel)
    loop = get_running_loop()
    for sig in (SIGTERM, SIGINT):
        loop.add_signal_handler(sig, stop_signals.on_signal)
    kernel.create_services(SERVICE_MODULES)
    try:
        await kernel.start()
    except OSError as exc:
        print(f'carawayd: cannot start: {exc}', file=sys.stderr)
        return EXIT_BAD_SETTINGS
    emit(NODE_STARTED, member=kernel.member, listen=cfg.listen)
    await kernel.stop_requested.wait()
    if kernel.failure is None:
        await _drain(kernel, stop_signals)
    await kernel.stop()
    emit(NODE_STOPPED, member=kernel.member)
    logging.flush()
    return EXIT_INTERNAL_ERROR if kernel.failure is not None else 0


class _StopSignals:
    """Handler of stop signals: the first drains, the second cuts it short."""

    def __init__(self, *, kernel: Kernel) -> None:
        self._kernel = kernel
        self._drain_timeout: Timeout | None = None
        self._signal_count = 0

    def on_signal(self) -> None:
        """Request a stop; on a repeated signal, end the drain at once."""
        self._signal_count += 1
        self._kernel.stop_requested.set()
        if self._signal_count > 1 and self._drain_timeout is not None:
            now_s = get_running_loop().time()
            self._drain_timeout.reschedule(now_s)

    def drain_timeout(self, limit_s: float) -> Timeout:
        """Return a timeout for the drain that a second signal expires."""
        self._drain_timeout = timeout(limit_s)
        return self._drain_timeout


async def _drain(kernel: Kernel, stop_signals: _StopSignals) -> None:
    emit(NODE_DRAINING, member=kernel.member)
    try:
        async with stop_signals.drain_timeout(
            kernel.cfg.drain_limit_ms / 1000
        ):
            await kernel.drain()
    except TimeoutError:
        # The drain limit passed or a second stop signal came: the node stops
        # with requests still in flight.
        return


if __name__ == '__main__':
    main()
