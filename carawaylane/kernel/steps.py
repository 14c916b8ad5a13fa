"""Long computations in steps, between which other tasks run."""

from __future__ import annotations

from asyncio import sleep
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Generator

Result = TypeVar('Result')


def run_at_once(steps: Generator[None, None, Result]) -> Result:
    """Return the result of a generator whose steps are short together."""
    while True:
        try:
            next(steps)
        except StopIteration as exc:
            result: Result = exc.value
            return result


async def run_in_steps(steps: Generator[None, None, Result]) -> Result:
    """Return the result of a generator; let other tasks run at each yield."""
    while True:
        try:
            next(steps)
        except StopIteration as exc:
            result: Result = exc.value
            return result
        await sleep(0)
