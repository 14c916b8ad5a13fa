"""The attempts to serve a caller's request, and the outcome they lead to."""

from __future__ import annotations

from asyncio import Task
from math import ceil
from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

from carawaylane.decisions.customers.keys import Credential
from carawaylane.decisions.placement.failure_estimate import Result
from carawaylane.gateway.backpressure import (
    MIN_SERVER_ERROR_STATUS,
    answered_without_error,
)
from carawaylane.gateway.dispatch import GrantedSlot
from carawaylane.gateway.exchanges import ExchangeResult
from carawaylane.gateway.stopping import Progress
from carawaylane.messages.dispatch import BackpressureNotice
from carawaylane.messages.exchange import OutgoingRequest
from carawaylane.messages.outcomes import (
    Answered,
    Failed,
    NotRun,
    Outcome,
    Unknown,
)
from carawaylane.messages.platform_objects import Route
from carawaylane.messages.quotas import OVER_QUOTA_REASON, QuotaAdmission
from carawaylane.services.targets import (
    BrokenExchange,
    CompleteAnswer,
    NeverSent,
    RefusedByTarget,
)
from carawaylane.telemetry.events import TARGET_RESULT, emit

if TYPE_CHECKING:
    from carawaylane.decisions.targets.backpressure import HeardBackpressure
    from carawaylane.messages.dispatch import Refusal

# No attempt starts with less time than this, as its answer would be too late.
MIN_TIME_LEFT_S = 0.005
# Delay after which a caller comes back whose request all targets shed.
ALL_SHED_RETRY_AFTER_S = 0.1
# Attempts that could not connect don't count against the route's limit on
# targets, so they have a limit of their own.
MAX_FAILED_CONNECTIONS = 3
# Delay after which a caller comes back that a stopping node refuses.
STOP_RETRY_AFTER_S = 0.02
NODE_STOPS = 'this node stops'
KEY_WITHDRAWN = 'the key was withdrawn'
UNAUTHORIZED_STATUS = 401
TOO_MANY_REQUESTS_STATUS = 429


@frozen(kw_only=True, eq=False, repr=False)
class RoutedRequest:
    """A caller's request, its route and the service chosen for it.

    `deadline_s` is a time of the monotonic clock. `digest` identifies equal
    requests.
    """

    request: OutgoingRequest
    route: Route
    service: str
    deadline_s: float
    digest: int
    # Whose request it is; None if the route needs no key.
    credential: Credential | None = None
    progress: Progress = Factory(Progress)

    @property
    def customer(self) -> str:
        """The name of the customer, empty if there is none."""
        return self.credential.customer.name if self.credential else ''

    @property
    def priority(self) -> int:
        """The priority of the customer or, without one, of the route."""
        if self.credential is None:
            return self.route.priority
        priority = self.credential.customer.priority
        return self.route.priority if priority is None else priority


# By whether a streamed answer was complete; None if it was not wanted.
STREAM_RESULTS = {
    True: Result.ANSWERED,
    False: Result.BROKEN,
    None: Result.CANCELLED,
}


@define(kw_only=True, eq=False, repr=False)
class Attempt:
    """An exchange with a target that is in flight."""

    slot: GrantedSlot
    started_at_s: float
    task: Task[ExchangeResult]
    # When to tell the home next that the attempt has no answer yet.
    next_report_at_s: float


@define(kw_only=True, eq=False, repr=False)
class ForwardState:
    """The attempts of a request so far."""

    routed: RoutedRequest
    # The token of the request's customer; None without a quota.
    admission: QuotaAdmission | None = None
    in_flight: list[Attempt] = Factory(list)
    # Targets of all attempts; further attempts avoid them.
    tried_targets: set[str] = Factory(set)
    # How many targets have received the request.
    targets_reached: int = 0
    failed_connections: int = 0
    # When to hedge the request; infinite if it is not to be hedged.
    hedge_at_s: float = float('inf')
    # A server error of a target, returned if no attempt does better.
    error_answer: Answered | None = None
    # Why the last broken exchange failed, None if none did. Its target may
    # have run the request. `timed_out`: it had no answer in time.
    broken_reason: str | None = None
    timed_out: bool = False

    def may_retry(self, now_s: float) -> bool:
        """Return whether the request may go to a further target."""
        time_left_s = self.routed.deadline_s - now_s
        limit = self.routed.route.max_targets
        return (
            self.targets_reached < limit
            and time_left_s > MIN_TIME_LEFT_S
            and not self.routed.request.is_spent
        )

    @property
    def may_hedge(self) -> bool:
        """Whether a further target may run the request beside others."""
        return (
            self.routed.route.idempotent
            and self.targets_reached < self.routed.route.max_targets
            and self.routed.request.upload is None
        )

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have begun to run the request."""
        return bool(
            self.in_flight
            or self.broken_reason is not None
            or self.error_answer is not None
        )

    def refused_outcome(self, refusal: Refusal) -> Outcome:
        """Return the outcome if no slot was granted for a next attempt."""
        if self.error_answer is not None or self.broken_reason is not None:
            return self.failed_outcome()
        # No target has run the request: each refused it or was unreachable.
        if refusal.reason == OVER_QUOTA_REASON:
            return NotRun(
                reason=refusal.reason,
                retry_after_ms=ceil(refusal.retry_after_s * 1000),
                status=TOO_MANY_REQUESTS_STATUS,
            )
        if refusal.reason == KEY_WITHDRAWN:
            return NotRun(
                reason=refusal.reason,
                retry_after_ms=0,
                status=UNAUTHORIZED_STATUS,
            )
        return NotRun(
            reason=refusal.reason,
            retry_after_ms=int(refusal.retry_after_s * 1000),
        )

    def failed_outcome(self) -> Outcome:
        """Return the outcome if no further attempt follows."""
        if self.error_answer is not None:
            return self.error_answer
        if self.broken_reason is not None:
            if self.routed.route.idempotent and not self.timed_out:
                return Failed(reason=self.broken_reason, retry_after_ms=0)
            return Unknown(reason=self.broken_reason)
        reason = 'targets refused it'
        if self.failed_connections > MAX_FAILED_CONNECTIONS:
            reason = 'no target could be reached'
        return NotRun(
            reason=reason,
            retry_after_ms=int(ALL_SHED_RETRY_AFTER_S * 1000),
        )


def answer_bytes_of(exchange_result: ExchangeResult) -> int:
    """Return the bytes of an answer's body; 0 is not reported."""
    if not isinstance(exchange_result, CompleteAnswer):
        return 0
    if exchange_result.stream is not None:
        return exchange_result.stream.length or 0
    return max(1, len(exchange_result.body))


def notice_of(
    attempt: Attempt,
    exchange_result: ExchangeResult,
    heard: HeardBackpressure,
    now_s: float,
) -> BackpressureNotice | None:
    """Return what the home should hear of the target's wishes."""
    target = attempt.slot.grant.target
    known = heard.notice_of(target, now_s)
    if known is not None or not answered_without_error(exchange_result):
        return known
    # The answer names no limit, and lifts one that the home may know.
    return BackpressureNotice(
        target=target, sent_age_s=now_s - attempt.started_at_s
    )


def result_of(exchange_result: ExchangeResult) -> Result:
    """Return the result of an exchange, as evidence about its target."""
    match exchange_result:
        case CompleteAnswer(status=status):
            return (
                Result.ERRORED
                if status >= MIN_SERVER_ERROR_STATUS
                else Result.ANSWERED
            )
        case (
            NeverSent(own_path=True)
            | NeverSent(withheld=True)
            | BrokenExchange(own_path=True)
        ):
            return Result.UNUSED
        case NeverSent():
            return Result.UNREACHED
        case RefusedByTarget(misdirected=True):
            return Result.MISDIRECTED
        case RefusedByTarget():
            return Result.SHED
        case BrokenExchange(timed_out=True):
            return Result.OVERDUE
    return Result.BROKEN


def log_failure(
    state: ForwardState,
    attempt: Attempt,
    exchange_result: ExchangeResult,
    result: Result,
    now_s: float,
) -> None:
    """Log how an attempt failed."""
    if result is Result.ANSWERED:
        return
    emit(
        TARGET_RESULT,
        request=state.routed.request.request_id,
        target=attempt.slot.grant.target,
        result=result.name,
        reason=getattr(exchange_result, 'reason', ''),
        took_ms=round((now_s - attempt.started_at_s) * 1000),
        risk=round(attempt.slot.grant.risk, 2),
    )


def discard_answer(task: Task[ExchangeResult]) -> None:
    """Stop reading an answer that came at the same time as another one."""
    if task.done() and not task.cancelled() and task.exception() is None:
        stream = getattr(task.result(), 'stream', None)
        if stream is not None:
            stream.discard()
