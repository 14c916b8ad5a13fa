"""The entry's side of dispatching: asks homes for targets."""

from __future__ import annotations

from asyncio import Queue, timeout
from typing import TYPE_CHECKING, Protocol

from attrs import Factory, define, frozen

from carawaylane.decisions.failure_estimate import Result
from carawaylane.gateway.dispatchers import (
    ReportResult,
    ReportStillWaiting,
    RequestSlot,
)
from carawaylane.gateway.links import HomeStream
from carawaylane.kernel.service import Service, service
from carawaylane.messages.dispatch import (
    Grant,
    Queued,
    Refusal,
    SlotReply,
    SlotRequest,
)
from carawaylane.rpc.fleet_codec import (
    pack_result,
    pack_slot_request,
    pack_still_waiting,
)
from carawaylane.rpc.fleet_pb2 import Call
from carawaylane.telemetry.events import HOME_SILENT, emit

if TYPE_CHECKING:
    from carawaylane.gateway.dispatchers import Dispatchers
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.dispatch import Ticket

# A home replies to an ask at once; a round trip takes a few milliseconds,
# a busy node some tens.
ACK_TIMEOUT_S = 0.25
# Beyond what a home said that a queued ask would take.
WAIT_SLACK_S = 0.5
WAIT_FACTOR = 3.0
# Homes by rank that are tried before this node decides alone.
HOMES_TRIED = 2
SUSPECT_S = 1.0
SUSPECT_MAX_S = 16.0


class Home(Protocol):
    """A home, here or on another node."""

    def ask(self, name: str, ask: SlotRequest) -> None:
        """Ask for a target of a service."""

    def done(
        self, name: str, ticket: Ticket, result: Result, took_s: float
    ) -> None:
        """Report on a granted request, or cancel an ask."""

    def still_open(self, name: str, ticket: Ticket) -> None:
        """Say that this entry still waits for the target."""


class _LocalHome:
    def __init__(self, *, homes: Dispatchers, dispatch: Dispatch) -> None:
        self._homes = homes
        self._dispatch = dispatch

    def ask(self, name: str, ask: SlotRequest) -> None:
        self._homes.post(
            RequestSlot(
                service=name,
                request=ask,
                on_reply=lambda found: self._dispatch.took(self, name, found),
            )
        )

    def done(
        self, name: str, ticket: Ticket, result: Result, took_s: float
    ) -> None:
        self._homes.post(
            ReportResult(
                service=name, ticket=ticket, result=result, took_s=took_s
            )
        )

    def still_open(self, name: str, ticket: Ticket) -> None:
        self._homes.post(ReportStillWaiting(service=name, ticket=ticket))


class _RemoteHome:
    def __init__(self, *, member: str, dispatch: Dispatch) -> None:
        self.member = member
        self.stream: HomeStream | None = None
        self._dispatch = dispatch
        self._names: dict[Ticket, str] = {}

    def ask(self, name: str, ask: SlotRequest) -> None:
        self._names[ask.ticket] = name
        self._send(Call(ask=pack_slot_request(ask, name)))

    def done(
        self, name: str, ticket: Ticket, result: Result, took_s: float
    ) -> None:
        self._names.pop(ticket, None)
        if self.stream is not None and self.stream.is_open:
            msg = pack_result(ticket, name, result, took_s)
            self.stream.send(Call(done=msg))

    def still_open(self, name: str, ticket: Ticket) -> None:
        if self.stream is not None and self.stream.is_open:
            self.stream.send(Call(done=pack_still_waiting(ticket, name)))

    def took(self, verdict: SlotReply) -> None:
        name = self._names.get(verdict.ticket)
        if name is not None:
            self._dispatch.took(self, name, verdict)

    def lost(self) -> list[Ticket]:
        """Forget what was asked; return the tickets that were open."""
        tickets = list(self._names)
        self._names.clear()
        return tickets

    def _send(self, call: Call) -> None:
        if self.stream is None or not self.stream.is_open:
            self.stream = self._dispatch.connect(self)
        self.stream.send(call)


@frozen(kw_only=True)
class Placed:
    """A grant and the home that gave it."""

    grant: Grant
    home: Home
    service: str


@define(kw_only=True)
class _Suspicion:
    until_s: float
    length_s: float


@define(kw_only=True, eq=False)
class _Waiter:
    home: Home
    verdicts: Queue[SlotReply | None] = Factory(Queue)


@service('dispatch')
class Dispatch(Service):
    """Finds the home of a service, and decides alone if none answers."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._waiters: dict[Ticket, _Waiter] = {}
        self._remote_homes: dict[str, _RemoteHome] = {}
        self._avoided_homes: dict[str, _Suspicion] = {}
        self._number = 0

    async def start(self) -> None:
        """Find the services that dispatching needs."""
        self._directory = self.kernel.find('directory')
        self._local = _LocalHome(
            homes=self.kernel.find('dispatchers'), dispatch=self
        )

    def ticket(self) -> Ticket:
        """Return a ticket for one more ask."""
        self._number += 1
        return (self.kernel.member, self._number)

    async def place(self, name: str, ask: SlotRequest) -> Placed | Refusal:
        """Return a grant for a request to a service, or a refusal."""
        end_s = self.kernel.now_s() + ask.left_s
        for member in self._candidates(name):
            home = self._home(member)
            verdict = await self._ask(home, name, ask, end_s)
            if isinstance(verdict, Grant):
                return Placed(grant=verdict, home=home, service=name)
            if isinstance(verdict, Refusal):
                return verdict
            self._suspect(member, ask)
        return Refusal(
            ticket=ask.ticket, retry_after_s=0.1, reason='no home in time'
        )

    def took(self, home: Home, name: str, verdict: SlotReply) -> None:
        """Take in a verdict; a grant that nobody waits for goes back."""
        waiter = self._waiters.get(verdict.ticket)
        if waiter is not None and waiter.home is home:
            waiter.verdicts.put_nowait(verdict)
        elif isinstance(verdict, Grant):
            home.done(name, verdict.ticket, Result.UNUSED, 0.0)

    def connect(self, home: _RemoteHome) -> HomeStream:
        """Return a new stream to a home."""
        member = self._directory.members[home.member]
        stream = HomeStream(
            member=home.member, address=member.address, on_reply=home.took
        )
        self.spawn(self._run(home, stream))
        return stream

    async def _run(self, home: _RemoteHome, stream: HomeStream) -> None:
        hello = Call(
            entry=self.kernel.member, data_centre=self.kernel.cfg.data_centre
        )
        await stream.run(self, hello)
        if home.stream is not stream:
            return
        for ticket in home.lost():
            waiter = self._waiters.get(ticket)
            if waiter is not None and waiter.home is home:
                waiter.verdicts.put_nowait(None)

    async def _ask(
        self, home: Home, name: str, ask: SlotRequest, end_s: float
    ) -> SlotReply | None:
        """Return a grant or a refusal; None if the home is silent."""
        waiter = _Waiter(home=home)
        self._waiters[ask.ticket] = waiter
        verdict: SlotReply | None = None
        try:
            home.ask(name, ask)
            verdict = await self._next(waiter, ACK_TIMEOUT_S)
            if isinstance(verdict, Queued):
                limit_s = WAIT_FACTOR * verdict.expected_wait_s + WAIT_SLACK_S
                left_s = end_s - self.kernel.now_s()
                verdict = await self._next(waiter, max(limit_s, left_s))
            return verdict
        finally:
            del self._waiters[ask.ticket]
            if verdict is None or isinstance(verdict, Queued):
                home.done(name, ask.ticket, Result.UNUSED, 0.0)

    async def _next(self, waiter: _Waiter, limit_s: float) -> SlotReply | None:
        try:
            async with timeout(limit_s):
                return await waiter.verdicts.get()
        except TimeoutError:
            return None

    def _candidates(self, name: str) -> list[str]:
        now_s = self.kernel.now_s()
        own = self.kernel.cfg.name
        found: list[str] = []
        for each in self._directory.ranked_members(name):
            held = self._avoided_homes.get(each)
            if held is None or held.until_s <= now_s:
                found.append(each)
            if len(found) == HOMES_TRIED:
                break
        if own in found:
            return found[: found.index(own) + 1]
        return [*found, own]

    def _home(self, member: str) -> Home:
        if member == self.kernel.cfg.name:
            return self._local
        home = self._remote_homes.get(member)
        if home is None:
            home = _RemoteHome(member=member, dispatch=self)
            self._remote_homes[member] = home
        return home

    def _suspect(self, member: str, ask: SlotRequest) -> None:
        """Avoid a home for a while, longer each time it is silent again."""
        home = self._remote_homes.get(member)
        if home is None:
            return
        if home.stream is not None:
            # It may be only this connection that has gone silent.
            home.stream.close()
        now_s = self.kernel.now_s()
        known = self._avoided_homes.get(member)
        length_s = SUSPECT_S
        if known is not None and now_s - known.until_s < known.length_s:
            length_s = min(SUSPECT_MAX_S, 2 * known.length_s)
        self._avoided_homes[member] = _Suspicion(
            until_s=now_s + length_s, length_s=length_s
        )
        emit(
            HOME_SILENT,
            member=member,
            request=ask.request_id,
            avoided_s=length_s,
        )
