"""A home as an entry sees it: this node, or another one over a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from carawaylane.gateway.dispatchers import (
    ReportResult,
    ReportStillWaiting,
    RequestSlot,
)
from carawaylane.messages.dispatch import Refusal
from carawaylane.rpc.fleet_codec import (
    pack_result,
    pack_slot_request,
    pack_still_waiting,
)
from carawaylane.rpc.fleet_pb2 import Call

if TYPE_CHECKING:
    from carawaylane.decisions.placement.failure_estimate import Result
    from carawaylane.gateway.dispatch import SlotClient
    from carawaylane.gateway.dispatchers import Dispatchers
    from carawaylane.gateway.links import HomeStream
    from carawaylane.messages.dispatch import (
        BackpressureNotice,
        SlotReply,
        SlotRequest,
        Ticket,
    )


class Home(Protocol):
    """Interface to a home, which is this node or another one."""

    member: str

    def request_slot(self, service_name: str, request: SlotRequest) -> None:
        """Request a slot on a target of a service."""

    def report_result(
        self,
        service_name: str,
        ticket: Ticket,
        result: Result,
        duration_s: float,
        notice: BackpressureNotice | None = None,
        answer_bytes: int = 0,
    ) -> None:
        """Report how a granted request ended, or cancel a request."""

    def report_still_waiting(self, service_name: str, ticket: Ticket) -> None:
        """Report that a granted request has no answer yet."""


class LocalHome:
    """This node as a home, called through the mailbox of `Dispatchers`."""

    def __init__(
        self, *, dispatchers: Dispatchers, slot_client: SlotClient
    ) -> None:
        self.member = slot_client.kernel.cfg.name
        self._dispatchers = dispatchers
        self._slot_client = slot_client

    def request_slot(self, service_name: str, request: SlotRequest) -> None:
        self._dispatchers.post(
            RequestSlot(
                service=service_name,
                request=request,
                on_reply=lambda reply: self._slot_client.handle_reply(
                    self, service_name, reply
                ),
            )
        )

    def report_result(
        self,
        service_name: str,
        ticket: Ticket,
        result: Result,
        duration_s: float,
        notice: BackpressureNotice | None = None,
        answer_bytes: int = 0,
    ) -> None:
        self._dispatchers.post(
            ReportResult(
                service=service_name,
                ticket=ticket,
                result=result,
                duration_s=duration_s,
                notices=(notice,) if notice else (),
                answer_bytes=answer_bytes,
            )
        )

    def report_still_waiting(self, service_name: str, ticket: Ticket) -> None:
        self._dispatchers.post(
            ReportStillWaiting(service=service_name, ticket=ticket)
        )


class RemoteHome:
    """Another node as a home, reached over a stream that opens on demand."""

    def __init__(self, *, member: str, slot_client: SlotClient) -> None:
        self.member = member
        self.stream: HomeStream | None = None
        self._slot_client = slot_client
        self._service_by_ticket: dict[Ticket, str] = {}

    @property
    def is_connected(self) -> bool:
        """Whether there is an open stream to the home."""
        return self.stream is not None and self.stream.is_open

    def request_slot(self, service_name: str, request: SlotRequest) -> None:
        self._service_by_ticket[request.ticket] = service_name
        self._send(Call(ask=pack_slot_request(request, service_name)))

    def report_result(
        self,
        service_name: str,
        ticket: Ticket,
        result: Result,
        duration_s: float,
        notice: BackpressureNotice | None = None,
        answer_bytes: int = 0,
    ) -> None:
        self._service_by_ticket.pop(ticket, None)
        if self.stream is not None and self.stream.is_open:
            msg = pack_result(
                ticket, service_name, result, duration_s, notice, answer_bytes
            )
            self.stream.send(Call(done=msg))

    def report_still_waiting(self, service_name: str, ticket: Ticket) -> None:
        if self.stream is not None and self.stream.is_open:
            self.stream.send(
                Call(done=pack_still_waiting(ticket, service_name))
            )

    def on_reply(self, reply: SlotReply) -> None:
        """Pass a reply on to the request that waits for it."""
        service_name = self._service_by_ticket.get(reply.ticket)
        if isinstance(reply, Refusal):
            # No result follows.
            self._service_by_ticket.pop(reply.ticket, None)
        if service_name is not None:
            self._slot_client.handle_reply(self, service_name, reply)

    def drop_requests(self) -> list[Ticket]:
        """Drop the pending slot requests and return their tickets."""
        tickets = list(self._service_by_ticket)
        self._service_by_ticket.clear()
        return tickets

    def _send(self, call: Call) -> None:
        if self.stream is None or not self.stream.is_open:
            self.stream = self._slot_client.open_stream(self)
        self.stream.send(call)
