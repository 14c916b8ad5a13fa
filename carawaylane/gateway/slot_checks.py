"""Checks a request again when it gets a slot, as it may have waited for it.

Its customer may have lost the key, and the node may stop. Its quota bounds the
requests that run in a window, so a request that waited counts when it runs.
"""

from __future__ import annotations

from asyncio import get_running_loop
from contextlib import contextmanager
from functools import partial
from typing import TYPE_CHECKING

from carawaylane.decisions.placement.failure_estimate import Result
from carawaylane.gateway.attempts import (
    KEY_WITHDRAWN,
    NODE_STOPS,
    STOP_RETRY_AFTER_S,
)
from carawaylane.messages.dispatch import Refusal

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from carawaylane.gateway.attempts import ForwardState
    from carawaylane.gateway.dispatch import GrantedSlot
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.dispatch import Ticket

# A request that waits for this long is reported to the quota home, so that it
# doesn't count until it runs. Most requests get a slot within milliseconds.
WAIT_REPORT_S = 0.1


class SlotChecks:
    """Decides whether a request may use the slot that was granted to it."""

    def __init__(self, *, kernel: Kernel) -> None:
        self._directory = kernel.find('directory')
        self._quotas = kernel.find('quotas')
        self._stopping = kernel.find('stopping')

    @contextmanager
    def wait(self, state: ForwardState) -> Iterator[None]:
        """Report a long wait for a slot to the quota home."""
        admission = state.admission
        if admission is None or state.may_have_run:
            yield
            return
        timer = get_running_loop().call_later(
            WAIT_REPORT_S, self._quotas.report_waiting, admission
        )
        try:
            yield
        finally:
            timer.cancel()

    async def check(
        self, state: ForwardState, slot: GrantedSlot
    ) -> GrantedSlot | Refusal:
        """Return the slot, or give it back and return a refusal."""
        withdrawn = Refusal(
            ticket=slot.grant.ticket, retry_after_s=0.0, reason=KEY_WITHDRAWN
        )
        refusal: Refusal | None = withdrawn
        try:
            if not self._is_key_withdrawn(state):
                refusal = await self._refusal_by_quota(state, slot)
            if refusal is None and self._is_key_withdrawn(state):
                # It may have waited for its quota.
                refusal = withdrawn
            if refusal is None:
                refusal = self.refuse_late(state, slot.grant.ticket)
        finally:
            # Also if the caller leaves while the quota home is asked.
            if refusal is not None:
                slot.home.report_result(
                    slot.service, slot.grant.ticket, Result.UNUSED, 0.0
                )
        return slot if refusal is None else refusal

    def refuse_late(
        self, state: ForwardState, ticket: Ticket
    ) -> Refusal | None:
        """Return a refusal if the node stops before an answer can come."""
        if self.may_send(state)():
            return None
        return Refusal(
            ticket=ticket,
            retry_after_s=STOP_RETRY_AFTER_S,
            reason=NODE_STOPS,
        )

    def may_send(self, state: ForwardState) -> Callable[[], bool]:
        """Return whether the next attempt may be sent, as a function.

        It is asked again after each wait, such as that for a connection.
        """
        routed = state.routed
        return partial(
            self._stopping.may_send,
            routed.deadline_s,
            routed.route.objective_s,
            again=state.may_have_run,
        )

    def _is_key_withdrawn(self, state: ForwardState) -> bool:
        """Return whether the customer lost its key since the request came."""
        credential = state.routed.credential
        return (
            credential is not None
            and not self._directory.key_ring.still_holds(credential)
        )

    async def _refusal_by_quota(
        self, state: ForwardState, slot: GrantedSlot
    ) -> Refusal | None:
        routed = state.routed
        if (
            state.admission is None
            or routed.credential is None
            or state.may_have_run
        ):
            return None
        refused = await self._quotas.confirm(
            state.admission,
            routed.credential.customer,
            routed.request.request_id,
            routed.route.objective_s,
            routed.deadline_s,
        )
        if refused is None:
            return None
        return Refusal(
            ticket=slot.grant.ticket,
            retry_after_s=refused.retry_after_s,
            reason=refused.reason,
        )
