"""Until when a stopping node passes requests on, and which ones wait.

The platform kills a stopping process at the end of its grace. What is passed
on must be answered before, so a request that can't be is refused instead, and
its caller comes back at another node.
"""

from __future__ import annotations

from asyncio import Task, current_task
from math import inf
from typing import TYPE_CHECKING, Any

from attrs import define

from carawaylane.kernel.service import Service, service

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel

# A stopping node takes requests until the load balancer has noticed, which
# takes two failed readiness checks, a second apart. Then it refuses requests
# until it exits, for at least REFUSE_S.
SERVE_S = 2.6
REFUSE_S = 0.4
# Share of the time until its end in which a node takes requests at most; the
# rest is for their answers.
MAX_SERVE_SHARE = 0.5
# The stop ends this long before the platform kills the process, but at most
# this share of the grace.
EXIT_MARGIN_S = 0.6
MAX_EXIT_MARGIN_SHARE = 0.1
# Share of the margin for sending the last responses.
FLUSH_SHARE = 0.5


@define(kw_only=True, eq=False, repr=False)
class Progress:
    """How far a caller's request has come.

    `deadline_s` is infinite until it is known.
    """

    task: Task[Any] | None = None
    deadline_s: float = inf
    # Whether a target may have begun to run it.
    may_have_run: bool = False
    # Whether the node has ended it, as it stops.
    is_cut: bool = False

    def cut(self) -> None:
        """Cancel the task that serves the request."""
        if self.task is not None and not self.is_cut:
            self.is_cut = True
            self.task.cancel()


@service('stopping')
class Stopping(Service):
    """Knows the times of a stop and the requests that are not answered.

    The times are of the monotonic clock, and infinite until a stop begins.
    """

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        # New requests are refused from `refuse_at_s` on, at least until
        # `unseen_at_s`. Answers are awaited until `end_s`, and sent until
        # `exit_s`.
        self.refuse_at_s = inf
        self.unseen_at_s = inf
        self.end_s = inf
        self.exit_s = inf
        self._open: set[Progress] = set()

    def begin(self) -> None:
        """Set the times of the stop that begins now."""
        now_s = self.kernel.now_s()
        grace_s = self.kernel.cfg.bounds.grace_s
        margin_s = min(EXIT_MARGIN_S, MAX_EXIT_MARGIN_SHARE * grace_s)
        stop_s = grace_s - margin_s
        self.refuse_at_s = now_s + min(SERVE_S, MAX_SERVE_SHARE * stop_s)
        self.unseen_at_s = now_s + min(SERVE_S + REFUSE_S, stop_s)
        self.end_s = now_s + stop_s
        self.exit_s = self.end_s + FLUSH_SHARE * margin_s

    def open(self) -> Progress:
        """Return the progress of a request that the current task serves."""
        progress = Progress(task=current_task())
        self._open.add(progress)
        return progress

    def close(self, progress: Progress) -> None:
        """Record that a request is answered, or its caller has left."""
        self._open.discard(progress)

    def may_send(
        self, deadline_s: float, objective_s: float, *, again: bool = False
    ) -> bool:
        """Return whether the answer of a request can be awaited.

        A request whose deadline lies beyond the stop is sent only while new
        requests are taken, and if its objective ends before the stop does.
        Sent `again`, as it may have run, it can't be refused any more, so only
        its objective counts.
        """
        if deadline_s <= self.end_s:
            return True
        last_s = self.end_s - objective_s
        if not again:
            last_s = min(last_s, self.refuse_at_s)
        return self.kernel.now_s() <= last_s

    def answers(self, progress: Progress) -> bool:
        """Return whether a cancelled request still gets a response.

        If so, its task goes on.
        """
        return (
            progress.is_cut
            and progress.task is not None
            and progress.task.uncancel() == 0
        )

    def refuse_waiting(self) -> None:
        """End the requests that no target has and whose time is too long."""
        for progress in list(self._open):
            if not progress.may_have_run and progress.deadline_s > self.end_s:
                progress.cut()

    def cut_all(self) -> None:
        """End all requests that are not answered."""
        for progress in list(self._open):
            progress.cut()
