"""Dispatchers of the services that this node is asked for."""

from __future__ import annotations

from asyncio import sleep
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import frozen

from carawaylane.decisions.dispatcher import Dispatcher
from carawaylane.decisions.failure_estimate import Result
from carawaylane.gateway.directory import TargetsChanged
from carawaylane.kernel.service import Actor, handles, service
from carawaylane.messages.dispatch import (
    Grant,
    Refusal,
    SlotReply,
    SlotRequest,
    Ticket,
)
from carawaylane.telemetry.events import (
    REQUEST_GRANTED,
    REQUEST_QUEUED,
    REQUEST_REFUSED,
    TARGET_REPORT,
    emit,
)

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel

# Period at which those who wait are looked at, beside each end of work.
TICK_S = 0.02
# Period at which flights of lost entries are dropped.
IDLE_TICK_S = 0.5


@frozen(kw_only=True)
class RequestSlot:
    """An entry asks for a target; replies go to a function."""

    service: str
    request: SlotRequest
    on_reply: Callable[[SlotReply], None]


@frozen(kw_only=True)
class ReportResult:
    """An entry reports on a granted request."""

    service: str
    ticket: Ticket
    result: Result
    took_s: float


@frozen(kw_only=True)
class ReportStillWaiting:
    """An entry still waits for the target that it was granted."""

    service: str
    ticket: Ticket


@frozen(kw_only=True)
class EntryLost:
    """The stream of an entry ended: nobody waits for its asks."""

    entry: str


@service('dispatchers')
class Dispatchers(Actor):
    """Owns the dispatchers; any node serves whoever asks it."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.dispatchers: dict[str, Dispatcher] = {}
        self._replies: dict[Ticket, Callable[[SlotReply], None]] = {}

    async def start(self) -> None:
        """Begin to serve asks."""
        self._directory = self.kernel.find('directory')
        self._metrics = self.kernel.find('telemetry').metrics
        self._directory.subscribe(self)
        await super().start()
        self.spawn(self._tick_loop())

    def dispatcher(self, name: str) -> Dispatcher:
        """Return the dispatcher of a service, made on first use."""
        found = self.dispatchers.get(name)
        if found is None:
            found = Dispatcher(service=name, bounds=self.kernel.cfg.bounds)
            now_s = self.kernel.now_s()
            found.update_targets(self._directory.targets_of(name), now_s)
            self.dispatchers[name] = found
        return found

    @handles(TargetsChanged)
    def _changed(self, msg: TargetsChanged) -> None:
        now_s = self.kernel.now_s()
        for name in msg.services & set(self.dispatchers):
            found = self.dispatchers[name]
            found.update_targets(self._directory.targets_of(name), now_s)
            self._tick(found)

    @handles(RequestSlot)
    def _ask(self, msg: RequestSlot) -> None:
        found = self.dispatcher(msg.service)
        verdict = found.request_slot(msg.request, self.kernel.now_s())
        self._log(msg.service, msg.request, verdict)
        if not isinstance(verdict, Grant | Refusal):
            self._replies[msg.request.ticket] = msg.on_reply
        msg.on_reply(verdict)

    @handles(ReportResult)
    def _done(self, msg: ReportResult) -> None:
        found = self.dispatcher(msg.service)
        flight = found.in_flight.get(msg.ticket)
        if flight is None:
            found.cancel_queued(msg.ticket)
            self._replies.pop(msg.ticket, None)
            return
        found.record_result(
            msg.ticket, msg.result, msg.took_s, self.kernel.now_s()
        )
        known = found.targets.get(flight.target)
        emit(
            TARGET_REPORT,
            request=flight.request.request_id,
            target=flight.target,
            result=msg.result.name,
            took_ms=round(msg.took_s * 1000),
            sick=round(found.failure_risk(known, self.kernel.now_s()), 3)
            if known
            else None,
        )
        self._tick(found)

    @handles(ReportStillWaiting)
    def _still_open(self, msg: ReportStillWaiting) -> None:
        found = self.dispatcher(msg.service)
        found.confirm_in_flight(msg.ticket, self.kernel.now_s())

    @handles(EntryLost)
    def _entry_lost(self, msg: EntryLost) -> None:
        for found in self.dispatchers.values():
            found.drop_entry(msg.entry)
        self._replies = {
            ticket: reply
            for ticket, reply in self._replies.items()
            if ticket[0] != msg.entry
        }

    def _tick(self, found: Dispatcher) -> None:
        for ask, verdict in found.serve_queue(self.kernel.now_s()):
            self._log(found.service, ask, verdict)
            reply = self._replies.pop(verdict.ticket, None)
            if reply is not None:
                reply(verdict)

    async def _tick_loop(self) -> None:
        idle_s = 0.0
        while True:
            await sleep(TICK_S)
            idle_s += TICK_S
            for found in self.dispatchers.values():
                if found.queue_length() or idle_s >= IDLE_TICK_S:
                    self._tick(found)
            if idle_s >= IDLE_TICK_S:
                idle_s = 0.0

    def _log(self, name: str, ask: SlotRequest, verdict: SlotReply) -> None:
        match verdict:
            case Grant():
                emit(
                    REQUEST_GRANTED,
                    request=ask.request_id,
                    service=name,
                    target=verdict.target,
                    risk=round(verdict.risk, 3),
                    turn=ask.attempt.name,
                    entry=ask.entry,
                )
            case Refusal():
                self._metrics.count('refusals', service=name)
                emit(
                    REQUEST_REFUSED,
                    request=ask.request_id,
                    service=name,
                    reason=verdict.reason,
                    turn=ask.attempt.name,
                    retry_after_ms=round(verdict.retry_after_s * 1000),
                    left_ms=round(ask.left_s * 1000),
                    waiting=self.dispatchers[name].queue_length(),
                )
            case _:
                emit(
                    REQUEST_QUEUED,
                    request=ask.request_id,
                    service=name,
                    turn=ask.attempt.name,
                    expect_ms=round(verdict.expected_wait_s * 1000),
                    waiting=self.dispatchers[name].queue_length(),
                )
