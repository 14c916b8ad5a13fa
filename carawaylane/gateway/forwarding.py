"""Forwards a caller's request to targets until it has one outcome.

A request that a target did not run goes to another one. An idempotent request
is also retried after a failure, and hedged if its answer is late.
"""

from __future__ import annotations

from asyncio import FIRST_COMPLETED, create_task, wait
from typing import TYPE_CHECKING

from carawaylane.decisions.admission.refusals import refuse_quarantined
from carawaylane.decisions.placement.failure_estimate import Result
from carawaylane.decisions.placement.path_shapes import PathShapes
from carawaylane.gateway.attempts import (
    MAX_FAILED_CONNECTIONS,
    MIN_TIME_LEFT_S,
    STREAM_RESULTS,
    Attempt,
    ForwardState,
    RoutedRequest,
    answer_bytes_of,
    discard_answer,
    log_failure,
    notice_of,
    result_of,
)
from carawaylane.gateway.backpressure import (
    MIN_SERVER_ERROR_STATUS,
)
from carawaylane.gateway.dispatch import GrantedSlot
from carawaylane.gateway.slot_checks import SlotChecks
from carawaylane.kernel.service import Service, service
from carawaylane.messages.dispatch import (
    AttemptKind,
    BackpressureNotice,
    Refusal,
    SlotRequest,
)
from carawaylane.messages.outcomes import Answered, Outcome
from carawaylane.services.targets import (
    BrokenExchange,
    CompleteAnswer,
    NeverSent,
    RefusedByTarget,
)

if TYPE_CHECKING:
    from carawaylane.messages.quotas import QuotaAdmission

# If no slot is granted for a hedge, one is requested again after this time.
HEDGE_RETRY_S = 0.25
# Minimum interval between reports to a home that an attempt has no answer yet.
MIN_REPORT_INTERVAL_S = 0.05
# An attempt that was withdrawn is not reported again; no request takes longer.
NO_REPORT_S = 600.0


@service('forwarding')
class Forwarding(Service):
    """Makes the attempts to serve a request and returns its outcome."""

    async def start(self) -> None:
        """Look up the other services."""
        self._slot_client = self.kernel.find('dispatch')
        self._target_paths = self.kernel.find('target_paths')
        self._heard = self.kernel.find('backpressure').heard
        self._metrics = self.kernel.find('telemetry').metrics
        self.path_shapes = PathShapes()
        self._slot_checks = SlotChecks(kernel=self.kernel)
        self._crashes = self.kernel.find('crashes')

    async def forward(
        self, routed: RoutedRequest, admission: QuotaAdmission | None = None
    ) -> Outcome:
        """Forward a request and return its outcome.

        Cancelling this cancels the exchanges in flight.
        """
        state = ForwardState(routed=routed, admission=admission)
        try:
            return await self._run_attempts(state)
        finally:
            for attempt in state.in_flight:
                attempt.task.cancel()
                discard_answer(attempt.task)
                self._report_result(attempt, Result.CANCELLED)

    async def _run_attempts(self, state: ForwardState) -> Outcome:
        attempt_kind = AttemptKind.FIRST
        while True:
            state.routed.progress.may_have_run = state.may_have_run
            if state.in_flight:
                slot = await self._acquire_extra_slot(state, attempt_kind)
            else:
                with self._slot_checks.wait(state):
                    slot = await self._acquire_slot(state, attempt_kind)
            if isinstance(slot, GrantedSlot):
                slot = await self._slot_checks.check(state, slot)
            if isinstance(slot, GrantedSlot):
                self._start_attempt(state, slot)
            elif not state.in_flight:
                return state.refused_outcome(slot)
            else:
                # Wait for the attempt in flight, and try to hedge again later.
                state.hedge_at_s = self.kernel.now_s() + HEDGE_RETRY_S
            decision = await self._await_attempts(state)
            if not isinstance(decision, AttemptKind):
                return decision
            attempt_kind = decision

    async def _acquire_extra_slot(
        self, state: ForwardState, attempt_kind: AttemptKind
    ) -> GrantedSlot | Refusal:
        """Return a slot, or a refusal if an attempt in flight ends first.

        The answer of an attempt in flight must not wait for a home that does
        not reply, or for a place in a queue.
        """
        tasks_in_flight = [attempt.task for attempt in state.in_flight]
        slot_task = create_task(self._acquire_slot(state, attempt_kind))
        try:
            while not (
                slot_task.done()
                or any(task.done() for task in tasks_in_flight)
            ):
                next_report_at_s = min(
                    attempt.next_report_at_s for attempt in state.in_flight
                )
                await wait(
                    [slot_task, *tasks_in_flight],
                    timeout=max(0.0, next_report_at_s - self.kernel.now_s()),
                    return_when=FIRST_COMPLETED,
                )
                self._report_still_waiting(state)
        finally:
            if not slot_task.done():
                slot_task.cancel()
        await wait([slot_task])
        slot: GrantedSlot | Refusal | None = None
        if not slot_task.cancelled():
            slot = slot_task.result()
        if any(task.done() for task in tasks_in_flight) and isinstance(
            slot, GrantedSlot
        ):
            slot.home.report_result(
                slot.service, slot.grant.ticket, Result.UNUSED, 0.0
            )
            slot = None
        if slot is not None:
            return slot
        return Refusal(
            ticket=self._slot_client.new_ticket(),
            retry_after_s=0.0,
            reason='the first target ended before',
        )

    async def _acquire_slot(
        self, state: ForwardState, attempt_kind: AttemptKind
    ) -> GrantedSlot | Refusal:
        routed = state.routed
        time_left_s = routed.deadline_s - self.kernel.now_s()
        ticket = self._slot_client.new_ticket()
        if time_left_s < MIN_TIME_LEFT_S:
            return Refusal(
                ticket=ticket, retry_after_s=0.1, reason='no time is left'
            )
        if self._crashes.is_quarantined(routed):
            return refuse_quarantined(ticket)
        late = self._slot_checks.refuse_late(state, ticket)
        if late is not None:
            return late
        slot_request = SlotRequest(
            ticket=ticket,
            data_centre=self.kernel.cfg.data_centre,
            route=routed.route.name,
            priority=routed.priority,
            customer=routed.customer,
            idempotent=routed.route.idempotent,
            left_s=time_left_s,
            objective_s=routed.route.objective_s,
            attempt=attempt_kind,
            avoided_targets=frozenset(state.tried_targets),
            digest=routed.digest,
            request_id=routed.request.request_id,
            request_bytes=routed.request.body_bytes,
            method=routed.request.method,
            path_shape=self.path_shapes.shape_of(
                routed.route.name, routed.request.path
            ),
            large_answers=routed.route.large_answers,
        )
        return await self._slot_client.acquire_slot(
            routed.service, slot_request
        )

    def _start_attempt(self, state: ForwardState, slot: GrantedSlot) -> None:
        routed = state.routed
        now_s = self.kernel.now_s()
        grant = slot.grant
        task = create_task(
            self._target_paths.exchange(
                grant.target,
                grant.address,
                routed.request,
                routed.deadline_s - now_s,
                self._slot_checks.may_send(state),
            )
        )
        state.in_flight.append(
            Attempt(
                slot=slot,
                started_at_s=now_s,
                task=task,
                next_report_at_s=now_s
                + max(grant.hedge_after_s, MIN_REPORT_INTERVAL_S),
            )
        )
        routed.progress.may_have_run = True
        state.tried_targets.add(grant.target)
        self._slot_client.record_sent(slot, routed.request.request_id)
        state.targets_reached += 1
        state.hedge_at_s = float('inf')
        if state.may_hedge:
            state.hedge_at_s = now_s + grant.hedge_after_s

    async def _await_attempts(
        self, state: ForwardState
    ) -> AttemptKind | Outcome:
        """Wait for the attempts in flight.

        Returns an outcome, or the kind of the next attempt if one is due.
        """
        while state.in_flight:
            next_report_at_s = min(
                attempt.next_report_at_s for attempt in state.in_flight
            )
            wait_s = (
                min(next_report_at_s, state.hedge_at_s) - self.kernel.now_s()
            )
            done, _ = await wait(
                [attempt.task for attempt in state.in_flight],
                timeout=max(0.0, wait_s),
                return_when=FIRST_COMPLETED,
            )
            if not done:
                self._report_still_waiting(state)
                if self.kernel.now_s() >= state.hedge_at_s:
                    state.hedge_at_s = float('inf')
                    return AttemptKind.HEDGE
            decision: AttemptKind | Outcome | None = None
            for attempt in [
                attempt for attempt in state.in_flight if attempt.task in done
            ]:
                state.in_flight.remove(attempt)
                decision = self._end_attempt(state, attempt) or decision
                if isinstance(decision, Answered):
                    return decision
            if decision is not None:
                return decision
        return state.failed_outcome()

    def _report_still_waiting(self, state: ForwardState) -> None:
        """Tell homes which attempts have no answer yet, if a report is due."""
        now_s = self.kernel.now_s()
        for attempt in state.in_flight:
            if now_s >= attempt.next_report_at_s:
                self._target_paths.check_if_silent(attempt.started_at_s)
                if self._lost_its_path(attempt):
                    self._withdraw(state, attempt)
                    continue
                slot = attempt.slot
                slot.home.report_still_waiting(slot.service, slot.grant.ticket)
                attempt.next_report_at_s = now_s + max(
                    slot.grant.hedge_after_s, MIN_REPORT_INTERVAL_S
                )

    def _lost_its_path(self, attempt: Attempt) -> bool:
        """Return whether the node was cut off after it sent an attempt."""
        cut_off_at_s = self._target_paths.paths.cut_off_at_s
        return cut_off_at_s is not None and attempt.started_at_s < cut_off_at_s

    def _withdraw(self, state: ForwardState, attempt: Attempt) -> None:
        """Tell the home that an attempt says nothing of its target.

        The answer may still come. An idempotent request is hedged at once.
        """
        attempt.next_report_at_s = self.kernel.now_s() + NO_REPORT_S
        attempt.slot.home.report_result(
            attempt.slot.service, attempt.slot.grant.ticket, Result.UNUSED, 0.0
        )
        if state.may_hedge:
            state.hedge_at_s = self.kernel.now_s()

    def _end_attempt(
        self, state: ForwardState, attempt: Attempt
    ) -> AttemptKind | Outcome | None:
        """Record the result of an attempt.

        Returns an outcome, the kind of the attempt that should follow, or
        None if the request fails unless another attempt is in flight.
        """
        exchange_result = attempt.task.result()
        result = result_of(exchange_result)
        notice = notice_of(
            attempt, exchange_result, self._heard, self.kernel.now_s()
        )
        answer_bytes = answer_bytes_of(exchange_result)
        stream = getattr(exchange_result, 'stream', None)
        if stream is None:
            self._report_result(attempt, result, notice, answer_bytes)
        else:
            # The slot is in use until the target has sent everything.
            stream.when_done(
                lambda complete: self._report_result(
                    attempt, STREAM_RESULTS[complete], notice, answer_bytes
                )
            )
        self._crashes.observe(
            state.routed, attempt.slot.grant, exchange_result
        )
        log_failure(
            state, attempt, exchange_result, result, self.kernel.now_s()
        )
        match exchange_result:
            case CompleteAnswer():
                return self._handle_answer(state, exchange_result, attempt)
            case NeverSent():
                state.targets_reached -= 1
                state.failed_connections += 1
                if state.failed_connections <= MAX_FAILED_CONNECTIONS:
                    return AttemptKind.RESEND
            case RefusedByTarget():
                if state.may_retry(self.kernel.now_s()):
                    return AttemptKind.REPEAT
            case BrokenExchange():
                state.broken_reason = exchange_result.reason
                state.timed_out = exchange_result.timed_out
                if state.routed.route.idempotent and state.may_retry(
                    self.kernel.now_s()
                ):
                    return AttemptKind.REPEAT
        return None

    def _handle_answer(
        self,
        state: ForwardState,
        exchange_result: CompleteAnswer,
        attempt: Attempt,
    ) -> AttemptKind | Outcome | None:
        answer = Answered(
            status=exchange_result.status,
            headers=exchange_result.headers,
            body=exchange_result.body,
            target=attempt.slot.grant.target,
            stream=exchange_result.stream,
        )
        if (
            exchange_result.status < MIN_SERVER_ERROR_STATUS
            or not state.routed.route.idempotent
        ):
            return answer
        state.error_answer = answer
        return (
            AttemptKind.REPEAT
            if state.may_retry(self.kernel.now_s())
            else None
        )

    def _report_result(
        self,
        attempt: Attempt,
        result: Result,
        notice: BackpressureNotice | None = None,
        answer_bytes: int = 0,
    ) -> None:
        grant = attempt.slot.grant
        duration_s = self.kernel.now_s() - attempt.started_at_s
        attempt.slot.home.report_result(
            attempt.slot.service,
            grant.ticket,
            result,
            duration_s,
            notice,
            answer_bytes,
        )
        self._slot_client.record_ended(attempt.slot, result, duration_s)
        self._metrics.count('exchanges', result=result.name)
        if result is Result.ANSWERED:
            self._metrics.observe_duration('target', duration_s)
            self._slot_client.observe_answer(attempt.slot, duration_s)
