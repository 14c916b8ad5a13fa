"""Timeouts for replies that allow for a blocked event loop."""

from __future__ import annotations

from asyncio import get_running_loop, timeout
from time import monotonic
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import TimerHandle
    from types import TracebackType

# A timer that fires later than this shows that the event loop was blocked.
LATE_TIMER_S = 0.05
# How long a reply is then awaited further, and how often at most.
EXTENSION_S = 0.1
MAX_EXTENSIONS = 3


class ReplyTimeout:
    """Raises TimeoutError if the block takes longer than a time.

    After the event loop was blocked, timers run before the replies that
    arrived meanwhile are read. Unlike with `asyncio.timeout`, a timer that
    fires late extends the wait, so that these replies are not lost.
    """

    __slots__ = ('_delay_s', '_loop', '_scope', '_timer')

    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s

    async def __aenter__(self) -> None:
        self._loop = get_running_loop()
        self._scope = timeout(None)
        await self._scope.__aenter__()
        self._start_timer(self._delay_s, MAX_EXTENSIONS)

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._timer.cancel()
        await self._scope.__aexit__(exc_type, exc, traceback)

    def _start_timer(self, wait_s: float, extensions_left: int) -> None:
        self._timer: TimerHandle = self._loop.call_later(
            wait_s, self._expire, monotonic() + wait_s, extensions_left
        )

    def _expire(self, due_s: float, extensions_left: int) -> None:
        if monotonic() - due_s > LATE_TIMER_S and extensions_left:
            self._start_timer(EXTENSION_S, extensions_left - 1)
        else:
            self._scope.reschedule(self._loop.time())
