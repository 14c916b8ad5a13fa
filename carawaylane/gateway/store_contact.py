"""Whether the platform's store answers this node, and how soon."""

from __future__ import annotations

from asyncio import get_running_loop
from typing import TYPE_CHECKING, TypeVar

from carawaylane.decisions.propagation.watch_duty import LATE_ANSWER_S
from carawaylane.messages.stored_objects import ObjectKind
from carawaylane.storage.driver import Unavailable
from carawaylane.telemetry.events import (
    OUTAGE_ENDED,
    PLATFORM_DOWN,
    PLATFORM_UP,
    emit,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawaylane.kernel.kernel import Kernel

Result = TypeVar('Result')


class StoreContact:
    """Records the answers of the store to the calls of a node.

    `on_announcement` is called after each answer, and as soon as an answer is
    late.
    """

    def __init__(
        self, *, kernel: Kernel, on_announcement: Callable[[], object]
    ) -> None:
        self._kernel = kernel
        self._outages = kernel.find('directory').outages
        self._on_announcement = on_announcement
        self._is_up = True
        # Kinds whose last call failed, or whose answer is late.
        self._unanswered: set[ObjectKind] = set()

    def is_answered(self, kind: ObjectKind = ObjectKind.PLAN) -> bool:
        """Return whether the store answers calls of a kind.

        Those for the routes tell whether it answers this node.
        """
        return kind not in self._unanswered

    def forget_answers(self) -> None:
        """Take the store for silent until the next call for the routes."""
        self._unanswered = {ObjectKind.PLAN}

    async def wait_for(
        self, kind: ObjectKind, call: Awaitable[Result], wait_s: float = 0.0
    ) -> Result:
        """Return the result of a call that is answered after `wait_s`.

        A late answer is announced before the call ends, as it may never come.
        """
        timer = get_running_loop().call_later(
            wait_s + LATE_ANSWER_S, self._record, kind, False
        )
        try:
            result = await call
        finally:
            timer.cancel()
        self._record_contact(result)
        self._record(kind, not isinstance(result, Unavailable))
        return result

    def log_state(self, result: object) -> None:
        """Log if the store became unavailable or available again."""
        is_up = not isinstance(result, Unavailable)
        if is_up == self._is_up:
            return
        self._is_up = is_up
        if isinstance(result, Unavailable):
            emit(PLATFORM_DOWN, reason=result.reason)
        else:
            emit(PLATFORM_UP)

    def _record(self, kind: ObjectKind, is_answered: bool) -> None:
        if is_answered:
            self._unanswered.discard(kind)
        else:
            self._unanswered.add(kind)
        self._on_announcement()

    def _record_contact(self, result: object) -> None:
        """Record for the outages of the store whether it has answered."""
        self.log_state(result)
        now_s = self._kernel.now_s()
        silent_s = now_s - self._outages.answered_at_s
        if isinstance(result, Unavailable):
            self._outages.record_failure(self._kernel.cfg.name, now_s)
        elif self._outages.record_answer(now_s):
            emit(OUTAGE_ENDED, silent_s=round(silent_s, 2))
