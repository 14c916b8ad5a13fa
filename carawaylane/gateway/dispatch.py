"""The entry's side of dispatching: requests slots from homes.

An entry is a node that took a caller's request. It asks the home of the
service for a slot on one of the targets. All nodes rank the members alike for
a service; the home is the node that ranks first.
"""

from __future__ import annotations

from asyncio import Queue
from functools import partial
from typing import TYPE_CHECKING

from attrs import Factory, define, evolve, frozen

from carawaylane.decisions.placement.effective_placement import (
    EffectivePlacement,
)
from carawaylane.decisions.placement.failure_estimate import Result
from carawaylane.gateway.home_reports import HomeReports
from carawaylane.gateway.homes import Home, LocalHome, RemoteHome
from carawaylane.gateway.links import HomeStream
from carawaylane.kernel.service import Service, service
from carawaylane.kernel.timeouts import ReplyTimeout
from carawaylane.messages.dispatch import (
    AttemptKind,
    Grant,
    Queued,
    Refusal,
    SlotReply,
    SlotRequest,
)
from carawaylane.rpc.fleet_pb2 import Call
from carawaylane.settings.gateway import Placement
from carawaylane.telemetry.events import (
    HOME_SILENT,
    LIMITED_SEND,
    emit,
)

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.dispatch import Ticket

# A home grants, queues or refuses a request at once. A round trip takes a few
# milliseconds, and some tens of milliseconds if the node is busy.
FIRST_REPLY_TIMEOUT_S = 0.25
# The final reply to a queued request is awaited until the request's deadline,
# and at least for a multiple of the wait that the home expects, plus a slack.
QUEUE_WAIT_SLACK_S = 0.5
QUEUE_WAIT_FACTOR = 3.0
# Number of nodes, in order of rank, that are asked before this node acts as
# the home itself.
MAX_HOMES_TRIED = 2
# A home that does not reply is avoided for this time. The time doubles, up to
# the maximum, if the home soon fails to reply again.
HOME_AVOIDANCE_S = 1.0
MAX_HOME_AVOIDANCE_S = 16.0


@frozen(kw_only=True, eq=False, repr=False)
class GrantedSlot:
    """A granted slot and the home that granted it."""

    grant: Grant
    home: Home
    service: str
    attempt: AttemptKind
    request: SlotRequest


@define(kw_only=True, eq=False, repr=False)
class _Avoidance:
    """How long a home that did not reply is avoided."""

    until_s: float
    duration_s: float


@define(kw_only=True, eq=False, repr=False)
class _PendingRequest:
    """A slot request that waits for the replies of a home.

    A reply of None means that the stream to the home ended.
    """

    home: Home
    replies: Queue[SlotReply | None] = Factory(Queue)


@service('dispatch')
class SlotClient(Service):
    """Requests slots from homes, in order of their rank for a service.

    If no other node replies, this node acts as the home.
    """

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._pending: dict[Ticket, _PendingRequest] = {}
        self._remote_homes: dict[str, RemoteHome] = {}
        self._avoided_homes: dict[str, _Avoidance] = {}
        self._last_ticket_number = 0
        self._placement = EffectivePlacement(setting=kernel.cfg.placement)

    async def start(self) -> None:
        """Look up the other services."""
        self._directory = self.kernel.find('directory')
        self._metrics = self.kernel.find('telemetry').metrics
        self._reports = HomeReports(
            retry_window_s=self.kernel.cfg.bounds.retry_window_s,
            heard=self.kernel.find('backpressure').heard,
        )
        self._quotas = self.kernel.find('quotas')
        self._local_home = LocalHome(
            dispatchers=self.kernel.find('dispatchers'), slot_client=self
        )

    def new_ticket(self) -> Ticket:
        """Return an unused ticket for a slot request."""
        self._last_ticket_number += 1
        return (self.kernel.member, self._last_ticket_number)

    async def acquire_slot(
        self, service_name: str, request: SlotRequest
    ) -> GrantedSlot | Refusal:
        """Return a slot on a target of a service, or a refusal."""
        deadline_s = self.kernel.now_s() + request.left_s
        window = self._reports.attempt_window(service_name)
        for member in self._candidate_homes(service_name):
            home = self._get_home(member)
            if not self._can_ask(home):
                continue
            request = self._reports.add_to(
                request, service_name, member, self.kernel.now_s()
            )
            reply = await self._request_slot_from(
                home, service_name, request, deadline_s
            )
            if not isinstance(reply, Grant | Refusal):
                self._avoid_home(member, request)
                continue
            now_s = self.kernel.now_s()
            if request.attempt is AttemptKind.FIRST:
                window.record_first_attempt(member, now_s)
            if isinstance(reply, Refusal):
                return reply
            if request.attempt.is_retry:
                window.record_retry(member, now_s)
            return GrantedSlot(
                grant=reply,
                home=home,
                service=service_name,
                attempt=request.attempt,
                request=request,
            )
        return Refusal(
            ticket=request.ticket, retry_after_s=0.1, reason='no home in time'
        )

    def observe_answer(self, slot: GrantedSlot, duration_s: float) -> None:
        """Keep the duration of an answer for later homes of its service."""
        if self._placement.with_plan(self._directory.plan) is Placement.COST:
            self._reports.observations.record(
                slot.service, slot.request, slot.grant.target, duration_s
            )

    def record_sent(self, slot: GrantedSlot, request_id: str) -> None:
        """Record that a request is sent to its target.

        Log it if the target has named a limit.
        """
        target = slot.grant.target
        self._reports.sent.record_sent(
            slot.service,
            slot.request,
            target,
            slot.home.member,
            self.kernel.now_s(),
        )
        limit = self._reports.heard.rate_of(target)
        if limit is not None:
            self._metrics.count('limited_sends', turn=slot.attempt.name)
            emit(
                LIMITED_SEND,
                request=request_id,
                target=target,
                per_s=limit,
                home=slot.home.member,
                turn=slot.attempt.name,
            )

    def record_ended(
        self, slot: GrantedSlot, result: Result, duration_s: float
    ) -> None:
        """Report a result to other homes that know of the request."""
        ticket = slot.grant.ticket
        told = self._reports.sent.record_ended(slot.service, ticket)
        for member in told:
            self._get_home(member).report_result(
                slot.service, ticket, result, duration_s
            )

    def handle_reply(
        self, home: Home, service_name: str, reply: SlotReply
    ) -> None:
        """Pass a reply to its request; give back a grant that is too late."""
        pending = self._pending.get(reply.ticket)
        if pending is not None and pending.home is home:
            pending.replies.put_nowait(reply)
        elif isinstance(reply, Grant):
            home.report_result(service_name, reply.ticket, Result.UNUSED, 0.0)

    def stream_to(self, member: str) -> HomeStream:
        """Return the stream to another node, opened if there is none."""
        home = self._remote_home(member)
        if home.stream is None or not home.stream.is_open:
            home.stream = self.open_stream(home)
        return home.stream

    def open_stream(self, home: RemoteHome) -> HomeStream:
        """Start a stream to a home and return it."""
        member = self._directory.members[home.member]
        stream = HomeStream(
            member=home.member,
            address=member.address,
            on_reply=home.on_reply,
            on_quota_reply=partial(self._quotas.handle_reply, home.member),
        )
        self.spawn(self._run_stream(home, stream))
        return stream

    async def _run_stream(self, home: RemoteHome, stream: HomeStream) -> None:
        hello = Call(
            entry=self.kernel.member, data_centre=self.kernel.cfg.data_centre
        )
        await stream.run(self, hello)
        self._quotas.stream_ended(home.member, by_home=stream.ended_by_home)
        self._report_in_flight(home.member)
        if home.stream is not stream:
            return
        for ticket in home.drop_requests():
            pending = self._pending.get(ticket)
            if pending is not None and pending.home is home:
                pending.replies.put_nowait(None)

    def _report_in_flight(self, lost_member: str) -> None:
        """Tell the next homes of the requests that a lost home granted.

        They must know before they grant slots, and this entry may not have
        another request for them soon.
        """
        last_granted = self._reports.forget_home(lost_member)
        for service_name, request in last_granted.items():
            for member in self._candidate_homes(service_name):
                home = self._get_home(member)
                if member == lost_member or not self._can_ask(home):
                    continue
                report = self._reports.add_to(
                    evolve(
                        request,
                        ticket=self.new_ticket(),
                        attempt=AttemptKind.RESEND,
                        left_s=0.0,
                    ),
                    service_name,
                    member,
                    self.kernel.now_s(),
                )
                if report.only_reports:
                    home.request_slot(service_name, report)
                break

    async def _request_slot_from(
        self,
        home: Home,
        service_name: str,
        request: SlotRequest,
        deadline_s: float,
    ) -> SlotReply | None:
        """Return a home's final reply, or None if there is none in time."""
        pending = _PendingRequest(home=home)
        self._pending[request.ticket] = pending
        reply: SlotReply | None = None
        try:
            home.request_slot(service_name, request)
            reply = await self._next_reply(pending, FIRST_REPLY_TIMEOUT_S)
            if isinstance(reply, Queued):
                queue_timeout_s = (
                    QUEUE_WAIT_FACTOR * reply.expected_wait_s
                    + QUEUE_WAIT_SLACK_S
                )
                time_left_s = deadline_s - self.kernel.now_s()
                reply = await self._next_reply(
                    pending, max(queue_timeout_s, time_left_s)
                )
            return reply
        finally:
            del self._pending[request.ticket]
            if reply is None or isinstance(reply, Queued):
                home.report_result(
                    service_name, request.ticket, Result.UNUSED, 0.0
                )

    async def _next_reply(
        self, pending: _PendingRequest, timeout_s: float
    ) -> SlotReply | None:
        try:
            async with ReplyTimeout(timeout_s):
                return await pending.replies.get()
        except TimeoutError:
            return None

    def _candidate_homes(self, service_name: str) -> list[str]:
        """Return the homes to try in order; the last one is this node."""
        now_s = self.kernel.now_s()
        own_name = self.kernel.cfg.name
        candidates: list[str] = []
        for member in self._directory.ranked_members(service_name):
            avoidance = self._avoided_homes.get(member)
            if avoidance is None or avoidance.until_s <= now_s:
                candidates.append(member)
            if len(candidates) == MAX_HOMES_TRIED:
                break
        if own_name in candidates:
            return candidates[: candidates.index(own_name) + 1]
        return [*candidates, own_name]

    def _can_ask(self, home: Home) -> bool:
        """Return whether there is a way to a home.

        It may have left the list of members while another one was asked.
        """
        return (
            not isinstance(home, RemoteHome)
            or home.is_connected
            or home.member in self._directory.members
        )

    def _get_home(self, member: str) -> Home:
        if member == self.kernel.cfg.name:
            return self._local_home
        return self._remote_home(member)

    def _remote_home(self, member: str) -> RemoteHome:
        home = self._remote_homes.get(member)
        if home is None:
            home = RemoteHome(member=member, slot_client=self)
            self._remote_homes[member] = home
        return home

    def _avoid_home(self, member: str, request: SlotRequest) -> None:
        """Avoid a home that did not reply to a request."""
        home = self._remote_homes.get(member)
        if home is None:
            return
        if home.stream is not None:
            # Perhaps only the connection is dead: the next request opens one.
            home.stream.close()
        now_s = self.kernel.now_s()
        previous = self._avoided_homes.get(member)
        duration_s = HOME_AVOIDANCE_S
        if (
            previous is not None
            and now_s - previous.until_s < previous.duration_s
        ):
            duration_s = min(MAX_HOME_AVOIDANCE_S, 2 * previous.duration_s)
        self._avoided_homes[member] = _Avoidance(
            until_s=now_s + duration_s, duration_s=duration_s
        )
        emit(
            HOME_SILENT,
            member=member,
            request=request.request_id,
            avoided_s=duration_s,
        )
