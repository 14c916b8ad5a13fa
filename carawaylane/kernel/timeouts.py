"""Timeouts for replies that allow for a blocked event loop."""

from __future__ import annotations

from asyncio import get_running_loop, timeout
from contextlib import asynccontextmanager
from time import monotonic
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import TimerHandle
    from collections.abc import AsyncIterator

# A timer that fires later than this shows that the event loop was blocked.
LATE_TIMER_S = 0.05
# How long a reply is then awaited further, and how often at most.
EXTENSION_S = 0.1
MAX_EXTENSIONS = 3


@asynccontextmanager
async def reply_timeout(delay_s: float) -> AsyncIterator[None]:
    """Raise TimeoutError if the block takes longer than `delay_s`.

    After the event loop was blocked, timers run before the replies that
    arrived meanwhile are read. Unlike with `asyncio.timeout`, a timer that
    fires late extends the wait, so that these replies are not lost.
    """
    loop = get_running_loop()
    timer: TimerHandle | None = None

    def start_timer(wait_s: float, extensions_left: int) -> None:
        nonlocal timer
        timer = loop.call_later(
            wait_s, expire, monotonic() + wait_s, extensions_left
        )

    def expire(due_s: float, extensions_left: int) -> None:
        if monotonic() - due_s > LATE_TIMER_S and extensions_left:
            start_timer(EXTENSION_S, extensions_left - 1)
        else:
            scope.reschedule(loop.time())

    async with timeout(None) as scope:
        start_timer(delay_s, MAX_EXTENSIONS)
        try:
            yield
        finally:
            if timer is not None:
                timer.cancel()
