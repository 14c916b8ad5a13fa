"""What targets asked of this node, for all parts of the node that send."""

from __future__ import annotations

from asyncio import sleep
from typing import TYPE_CHECKING

from attrs import evolve

from carawaylane.decisions.targets.backpressure import (
    HeardBackpressure,
    TargetIdentity,
)
from carawaylane.kernel.service import Service, service
from carawaylane.messages.outcomes import NO_BACKPRESSURE, InvalidNumber
from carawaylane.services.targets import (
    BrokenExchange,
    CompleteAnswer,
    NeverSent,
)
from carawaylane.telemetry.events import (
    PAUSE_INVALID,
    RATE_LIMIT,
    RATE_LIMIT_INVALID,
    SEND_WITHHELD,
    TARGET_LEAVING,
    TARGET_PAUSED,
    emit,
)

if TYPE_CHECKING:
    from carawaylane.gateway.exchanges import ExchangeResult
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.dispatch import BackpressureNotice
    from carawaylane.messages.outcomes import Backpressure

MIN_SERVER_ERROR_STATUS = 500
FORGET_PERIOD_S = 30.0


@service('backpressure')
class BackpressureService(Service):
    """Keeps what the answers to this node say of their targets.

    Every request to a target is checked here before it leaves the node.
    """

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.heard = HeardBackpressure()

    async def start(self) -> None:
        """Look up the other services."""
        self._directory = self.kernel.find('directory')
        self._metrics = self.kernel.find('telemetry').metrics
        self.spawn(self._forget_loop())

    def withheld(self, target: str, request_id: str) -> str | None:
        """Return why a request may not be sent to a target, or None."""
        spec = self._directory.targets.get(target)
        reason = self.heard.withheld(
            target, spec.started_ms if spec else 0, self.kernel.now_s()
        )
        if reason is not None:
            self._metrics.count('sends_withheld')
            emit(
                SEND_WITHHELD,
                request=request_id,
                target=target,
                reason=reason,
            )
        return reason

    def identify(self, target: str, address: str) -> TargetIdentity:
        """Return which incarnation a request is about to be sent to."""
        spec = self._directory.targets.get(target)
        if spec is None:
            return TargetIdentity(name=target, started_ms=None)
        return TargetIdentity(
            name=target,
            service=spec.service,
            # Homes may know another incarnation than this node.
            started_ms=spec.started_ms if spec.address == address else None,
        )

    def record_result(
        self,
        identity: TargetIdentity,
        result: ExchangeResult,
        request_id: str,
        sent_at_s: float,
    ) -> None:
        """Record what the answer to a request says, if there is one.

        One that names no limit lifts it only if the target ran the request
        without an error: a target in need may refuse requests otherwise.
        """
        if isinstance(result, NeverSent) or (
            isinstance(result, BrokenExchange)
            and result.backpressure == NO_BACKPRESSURE
        ):
            return
        target = identity.name
        if result.backpressure != NO_BACKPRESSURE:
            identity = self._at_answer(identity)
        limit_before = self.heard.rate_of(target)
        notice = self.heard.record_answer(
            identity,
            result.backpressure,
            sent_at_s,
            self.kernel.now_s(),
            may_lift=answered_without_error(result),
        )
        self._log_answer(target, result.backpressure, notice, request_id)
        limit = self.heard.rate_of(target)
        if limit != limit_before:
            emit(RATE_LIMIT, target=target, per_s=limit, before=limit_before)

    def _at_answer(self, identity: TargetIdentity) -> TargetIdentity:
        """Return which incarnations may have answered.

        One of which this node has learned since the request was sent, did not.
        """
        spec = self._directory.targets.get(identity.name)
        if (
            identity.started_ms is not None
            and spec is not None
            and spec.started_ms != identity.started_ms
        ):
            return identity
        return evolve(identity, now_ms=self.kernel.now_ms())

    def _log_answer(
        self,
        target: str,
        backpressure: Backpressure,
        notice: BackpressureNotice | None,
        request_id: str,
    ) -> None:
        if isinstance(backpressure.rate_limit, InvalidNumber):
            emit(
                RATE_LIMIT_INVALID,
                target=target,
                limit=backpressure.rate_limit.text,
            )
        if isinstance(backpressure.pause_s, InvalidNumber):
            emit(
                PAUSE_INVALID,
                request=request_id,
                target=target,
                pause=backpressure.pause_s.text,
            )
        if notice is not None and notice.leaving:
            emit(TARGET_LEAVING, request=request_id, target=target)
        if notice is not None and notice.pause_left_s > 0:
            emit(
                TARGET_PAUSED,
                request=request_id,
                target=target,
                pause_s=notice.pause_left_s,
            )

    async def _forget_loop(self) -> None:
        while True:
            await sleep(FORGET_PERIOD_S)
            self.heard.forget_old(self._directory.targets, self.kernel.now_s())


def answered_without_error(result: ExchangeResult) -> bool:
    """Return whether the target ran the request and reported no error."""
    return (
        isinstance(result, CompleteAnswer)
        and result.status < MIN_SERVER_ERROR_STATUS
    )
