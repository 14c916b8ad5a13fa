"""The home's side of dispatching: serves the slot requests of entries.

A slot of a target is its capacity for one request in flight. Each service has
a dispatcher, which decides who gets a slot. The actor passes it the requests
and results of entries, returns its replies to them, and logs the replies.
"""

from __future__ import annotations

from asyncio import Event, sleep, timeout
from collections import deque
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import TYPE_CHECKING

from attrs import frozen

from carawaylane.decisions.admission.dispatcher import Dispatcher
from carawaylane.decisions.admission.preview import DispatcherView
from carawaylane.decisions.placement.effective_placement import (
    EffectivePlacement,
)
from carawaylane.decisions.placement.failure_estimate import Result
from carawaylane.decisions.placement.learned_digest import apply_digest
from carawaylane.gateway.directory import TargetsChanged
from carawaylane.kernel.service import Actor, handles, service
from carawaylane.messages.dispatch import (
    BackpressureNotice,
    Grant,
    Refusal,
    SlotReply,
    SlotRequest,
    Ticket,
)
from carawaylane.settings.gateway import Admission
from carawaylane.telemetry.events import (
    HOME_STARTED,
    HOME_TOLD,
    RATE_LIMIT_USAGE,
    REQUEST_GRANTED,
    REQUEST_QUEUED,
    REQUEST_REFUSED,
    RETRY_USAGE,
    TARGET_REPORT,
    emit,
)

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.platform_objects import Plan
    from carawaylane.messages.previews import Preview

# Queues are served when an exchange ends or targets change, and also at this
# period: a request accepts more risk the longer it waits, and is refused once
# its answer would be too late.
QUEUE_PERIOD_S = 0.02
# Requests kept until the first targets are known; entries wait only briefly.
MAX_EARLY_REQUESTS = 1000
# Dispatchers with an empty queue are run at this longer period, so that they
# drop requests in flight whose entry will no longer report a result.
IDLE_PERIOD_S = 0.5
# Period at which a home logs its use of the retry budget and of rate limits.
USAGE_LOG_PERIOD_S = 1.0


@frozen(kw_only=True, eq=False, repr=False)
class RequestSlot:
    """Message: an entry requests a slot; `on_reply` gets each reply."""

    service: str
    request: SlotRequest
    on_reply: Callable[[SlotReply], None]


@frozen(kw_only=True, eq=False, repr=False)
class ReportResult:
    """Message: how a granted request ended, or that one is cancelled."""

    service: str
    ticket: Ticket
    result: Result
    duration_s: float
    notices: tuple[BackpressureNotice, ...] = ()
    # Bytes of the answer's body; 0 if not reported.
    answer_bytes: int = 0


@frozen(kw_only=True, eq=False, repr=False)
class ReportStillWaiting:
    """Message: a granted request has no answer yet."""

    service: str
    ticket: Ticket


@frozen(kw_only=True, eq=False, repr=False)
class EntryLost:
    """Message: the stream of an entry ended, so it gets no more replies."""

    entry: str


@service('dispatchers')
class Dispatchers(Actor):
    """Owns the dispatchers of the services for which entries request slots.

    It serves any service, since the entries choose a home: if the node that
    ranks first for a service does not reply, they ask the next one.
    """

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.dispatchers: dict[str, Dispatcher] = {}
        self._reply_callbacks: dict[Ticket, Callable[[SlotReply], None]] = {}
        # Requests that came before this node knew any target.
        self._early_requests: deque[RequestSlot] = deque(
            maxlen=MAX_EARLY_REQUESTS
        )
        # Set when a request is queued or a dispatcher is created.
        self._wakeup = Event()
        # Weights of the customers of a version of the configuration.
        self._weights_plan: Plan | None = None
        self._weights: Mapping[str, float] = {}
        # Services whose targets have changed since their queue was served.
        self._changed_services: set[str] = set()
        self._placement = EffectivePlacement(setting=kernel.cfg.placement)

    async def start(self) -> None:
        """Subscribe to changes of targets and start serving requests."""
        self._directory = self.kernel.find('directory')
        self._metrics = self.kernel.find('telemetry').metrics
        self._directory.subscribe(self)
        await super().start()
        self.spawn(self._queue_loop())
        self.spawn(self._usage_log_loop())

    def dispatcher(self, service_name: str) -> Dispatcher:
        """Return the dispatcher of a service, created on first use."""
        dispatcher = self.dispatchers.get(service_name)
        if dispatcher is None:
            dispatcher = self._new_dispatcher(service_name)
            self.dispatchers[service_name] = dispatcher
            self._wakeup.set()
            self._log_home_started(service_name)
        return dispatcher

    def _new_dispatcher(self, service_name: str) -> Dispatcher:
        dispatcher = Dispatcher(
            service=service_name,
            bounds=self.kernel.cfg.bounds,
            rng=self.kernel.rng,
            quarantine=self.kernel.find('crashes').quarantine,
        )
        dispatcher.update_targets(
            self._directory.targets_of(service_name), self.kernel.now_s()
        )
        return dispatcher

    def preview(self, service_name: str, request: SlotRequest) -> Preview:
        """Return what a request would get now, without any effect."""
        dispatcher = self.dispatchers.get(
            service_name
        ) or self._new_dispatcher(service_name)
        view = DispatcherView(
            dispatcher=dispatcher,
            placement=self._placement.with_plan(self._directory.plan),
        )
        return view.preview(request, self.kernel.now_s())

    def _customer_weights(self) -> Mapping[str, float] | None:
        """Return the weights of the customers, None if requests have none."""
        admission = self.kernel.cfg.admission
        plan = self._directory.plan
        if plan is not self._weights_plan:
            self._weights_plan = plan
            self._weights = {
                customer.name: customer.rate_per_s
                for customer in (plan.customers if plan else ())
            }
        if admission is Admission.ON or (
            admission is Admission.AUTO and self._weights
        ):
            return self._weights
        return None

    @handles(TargetsChanged)
    def _targets_changed(self, msg: TargetsChanged) -> None:
        now_s = self.kernel.now_s()
        for service_name in msg.services & set(self.dispatchers):
            dispatcher = self.dispatchers[service_name]
            dispatcher.update_targets(
                self._directory.targets_of(service_name), now_s
            )
            self._changed_services.add(service_name)
        while self._early_requests:
            self._request_slot(self._early_requests.popleft())

    @handles(RequestSlot)
    def _request_slot(self, msg: RequestSlot) -> None:
        if not self._directory.has_targets():
            self._early_requests.append(msg)
            return
        dispatcher = self.dispatcher(msg.service)
        dispatcher.retry_budget.members = len(self._directory.members)
        dispatcher.set_weights(self._customer_weights())
        dispatcher.pool.placement = self._placement.with_plan(
            self._directory.plan
        )
        learned = msg.request.learned
        if learned is not None:
            apply_digest(dispatcher.pool, learned, msg.request.objective_s)
        if learned is not None or msg.request.in_flight:
            emit(
                HOME_TOLD,
                service=msg.service,
                entry=msg.request.entry,
                routes=len(learned.routes) if learned else 0,
                targets=len(learned.targets) if learned else 0,
                in_flight=sum(
                    target.requests for target in msg.request.in_flight
                ),
            )
        reply = dispatcher.request_slot(msg.request, self.kernel.now_s())
        if not msg.request.only_reports:
            self._log_reply(msg.service, msg.request, reply)
        if not isinstance(reply, Grant | Refusal):
            self._reply_callbacks[msg.request.ticket] = msg.on_reply
            self._wakeup.set()
        msg.on_reply(reply)

    @handles(ReportResult)
    def _report_result(self, msg: ReportResult) -> None:
        dispatcher = self.dispatcher(msg.service)
        for notice in msg.notices:
            dispatcher.pool.apply_notice(
                notice, msg.ticket[0], self.kernel.now_s()
            )
        granted = dispatcher.pool.in_flight.get(msg.ticket)
        if granted is None:
            dispatcher.cancel_queued(msg.ticket)
            self._reply_callbacks.pop(msg.ticket, None)
            return
        if granted.counted_until_s is None:
            dispatcher.pool.answer_sizes.record(
                granted.request, msg.answer_bytes
            )
        dispatcher.record_result(
            msg.ticket, msg.result, msg.duration_s, self.kernel.now_s()
        )
        target = dispatcher.pool.targets.get(granted.target)
        emit(
            TARGET_REPORT,
            request=granted.request.request_id,
            target=granted.target,
            result=msg.result.name,
            took_ms=round(msg.duration_s * 1000),
            sick=round(
                dispatcher.pool.failure_risk(target, self.kernel.now_s()), 3
            )
            if target
            else None,
        )
        self._changed_services.add(msg.service)

    @handles(ReportStillWaiting)
    def _report_still_waiting(self, msg: ReportStillWaiting) -> None:
        dispatcher = self.dispatcher(msg.service)
        dispatcher.pool.confirm(msg.ticket, self.kernel.now_s())

    @handles(EntryLost)
    def _drop_entry(self, msg: EntryLost) -> None:
        for dispatcher in self.dispatchers.values():
            dispatcher.drop_entry(msg.entry)
        self._reply_callbacks = {
            ticket: on_reply
            for ticket, on_reply in self._reply_callbacks.items()
            if ticket[0] != msg.entry
        }

    def on_mailbox_empty(self) -> None:
        """Serve the queues, once for all results that had arrived."""
        for service_name in self._changed_services:
            self._serve_queue(
                self.dispatchers[service_name], refuses_late=False
            )
        self._changed_services.clear()

    def _serve_queue(
        self, dispatcher: Dispatcher, *, refuses_late: bool = True
    ) -> None:
        for request, reply in dispatcher.serve_queue(
            self.kernel.now_s(), refuses_late=refuses_late
        ):
            self._log_reply(dispatcher.service, request, reply)
            on_reply = self._reply_callbacks.pop(reply.ticket, None)
            if on_reply is not None:
                on_reply(reply)

    async def _queue_loop(self) -> None:
        idle_run_at_s = self.kernel.now_s()
        while True:
            await self._wait_until_queued()
            await sleep(QUEUE_PERIOD_S)
            now_s = self.kernel.now_s()
            is_idle_run = now_s - idle_run_at_s >= IDLE_PERIOD_S
            if is_idle_run:
                idle_run_at_s = now_s
            for dispatcher in self.dispatchers.values():
                if dispatcher.queue_length() or is_idle_run:
                    self._serve_queue(dispatcher)

    async def _wait_until_queued(self) -> None:
        """Wait until a request is queued, or the next idle run is due.

        A node that is home of no service does not wake up.
        """
        if any(
            dispatcher.queue_length()
            for dispatcher in self.dispatchers.values()
        ):
            return
        self._wakeup.clear()
        with suppress(TimeoutError):
            async with timeout(IDLE_PERIOD_S if self.dispatchers else None):
                await self._wakeup.wait()

    async def _usage_log_loop(self) -> None:
        while True:
            await sleep(USAGE_LOG_PERIOD_S)
            for dispatcher in self.dispatchers.values():
                usage = dispatcher.retry_usage(self.kernel.now_s())
                if usage.retries:
                    emit(
                        RETRY_USAGE,
                        service=dispatcher.service,
                        first_attempts=round(usage.first_attempts),
                        retries=usage.retries,
                        limit=round(usage.limit),
                    )
                self._log_rate_limits(dispatcher)

    def _log_rate_limits(self, dispatcher: Dispatcher) -> None:
        for usage in dispatcher.pool.rate_limits.take_usage(
            self.kernel.now_s()
        ):
            emit(
                RATE_LIMIT_USAGE,
                service=dispatcher.service,
                target=usage.target,
                per_s=usage.rate_per_s,
                share=round(usage.share, 3),
                granted=usage.granted,
            )

    def _log_home_started(self, service_name: str) -> None:
        """Log the rank of this node for the service; 0 is its home."""
        names = self._directory.ranked_members(service_name)
        own_name = self.kernel.cfg.name
        rank = names.index(own_name) if own_name in names else len(names)
        emit(HOME_STARTED, service=service_name, rank=rank, members=len(names))

    def _log_reply(
        self, service_name: str, request: SlotRequest, reply: SlotReply
    ) -> None:
        match reply:
            case Grant():
                self._metrics.count(
                    'grants', service=service_name, turn=request.attempt.name
                )
                emit(
                    REQUEST_GRANTED,
                    request=request.request_id,
                    service=service_name,
                    target=reply.target,
                    risk=round(reply.risk, 3),
                    turn=request.attempt.name,
                    entry=request.entry,
                )
            case Refusal():
                self._metrics.count('refusals', service=service_name)
                emit(
                    REQUEST_REFUSED,
                    request=request.request_id,
                    service=service_name,
                    reason=reply.reason,
                    turn=request.attempt.name,
                    retry_after_ms=round(reply.retry_after_s * 1000),
                    left_ms=round(request.left_s * 1000),
                    waiting=self.dispatchers[service_name].queue_length(),
                )
            case _:
                emit(
                    REQUEST_QUEUED,
                    request=request.request_id,
                    service=service_name,
                    turn=request.attempt.name,
                    expect_ms=round(reply.expected_wait_s * 1000),
                    waiting=self.dispatchers[service_name].queue_length(),
                )
