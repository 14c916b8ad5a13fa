"""Runs a case with or without its disruption and sets the exit code."""

from __future__ import annotations

import sys
from asyncio import (
    CancelledError,
    current_task,
    get_running_loop,
    run,
    timeout,
)
from collections.abc import Awaitable, Callable
from os import environ
from pathlib import Path
from signal import SIGINT, SIGTERM
from traceback import format_exc

from review.harness.fleet import CannotRunError, Fleet
from review.harness.record import Record

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
# A case ends before the 120 s that it may take.
CASE_TIMEOUT_S = 108.0

Case = Callable[[Fleet, bool], Awaitable[bool]]


def run_case(case: Case, file: str) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held.

    The case gets the fleet, and whether to bring the disruption about; it
    returns whether the rule was broken. The exit code is 2 if it could not
    run.
    """
    record = Record(path=Path(file).resolve().parent / 'record.txt')
    trouble = environ.get('TROUBLE', '1') != '0'
    record.write('case', trouble=int(trouble))
    code = run(_run(case, record, trouble))
    record.write('exit', code=code)
    record.close()
    print({HELD: 'held', BROKEN: 'broken', CANNOT_RUN: 'could not run'}[code])
    sys.exit(code)


async def _run(case: Case, record: Record, trouble: bool) -> int:
    fleet = Fleet(record=record)
    task = current_task()
    assert task is not None
    for number in (SIGTERM, SIGINT):
        # Ends the nodes, too, if the script is ended.
        get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with timeout(CASE_TIMEOUT_S):
            return BROKEN if await case(fleet, trouble) else HELD
    except (CancelledError, CannotRunError, TimeoutError, OSError) as exc:
        record.write('could-not-run', reason=repr(exc))
        return CANNOT_RUN
    except Exception:
        record.write('could-not-run', reason=format_exc())
        return CANNOT_RUN
    finally:
        await fleet.close()
