"""Asks of this entry that wait for the reply of a quota home."""

from __future__ import annotations

from asyncio import TimerHandle, get_running_loop
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import define

from carawaylane.gateway.links import HomeStream
from carawaylane.kernel.timeouts import (
    EXTENSION_S,
    LATE_TIMER_S,
    MAX_EXTENSIONS,
)
from carawaylane.messages.quotas import QuotaReply
from carawaylane.rpc.fleet_pb2 import Call
from carawaylane.rpc.quota_codec import pack_quota_ask

if TYPE_CHECKING:
    from carawaylane.gateway.dispatch import SlotClient
    from carawaylane.gateway.quota_rights import QuotaRights
    from carawaylane.messages.quotas import QuotaAsk

MAX_TICKET = 1 << 32


@define(kw_only=True, eq=False, repr=False)
class _PendingAsk:
    """An ask without a reply; `on_reply` gets None if there is none."""

    home: str
    stream: HomeStream
    # Replies of the stream when the ask was sent.
    replies_before: int
    on_reply: Callable[[QuotaReply | None], None]
    timer: TimerHandle | None = None


class QuotaAsks:
    """Sends asks to other nodes and passes their replies on.

    Each ask has a timer instead of a task, since there are some for each
    request. As in `ReplyTimeout`, a timer that fires late is extended.
    """

    def __init__(
        self, *, slot_client: SlotClient, rights: QuotaRights
    ) -> None:
        self.last_ticket = 0
        self._slot_client = slot_client
        self._rights = rights
        self._pending: dict[int, _PendingAsk] = {}

    def new_ticket(self) -> int:
        """Return a ticket for an ask."""
        self.last_ticket = (self.last_ticket + 1) % MAX_TICKET
        return self.last_ticket

    def send(
        self,
        home: str,
        ask: QuotaAsk,
        timeout_s: float,
        on_reply: Callable[[QuotaReply | None], None],
    ) -> None:
        """Send an ask; `on_reply` is called once, with None if none comes."""
        stream = self._slot_client.stream_to(home)
        pending = _PendingAsk(
            home=home,
            stream=stream,
            replies_before=stream.replies,
            on_reply=on_reply,
        )
        self._pending[ask.ticket] = pending
        stream.send(Call(quota_ask=pack_quota_ask(ask)))
        self._start_timer(ask.ticket, pending, timeout_s, MAX_EXTENSIONS)

    def send_one_way(self, home: str, ask: QuotaAsk) -> None:
        """Send an ask that gets no reply, or whose reply is not awaited."""
        stream = self._slot_client.stream_to(home)
        stream.send(Call(quota_ask=pack_quota_ask(ask)))

    def handle_reply(self, ticket: int, reply: QuotaReply | None) -> None:
        """Pass the reply of another node on, None if the home stops."""
        pending = self._pop(ticket)
        if pending is not None:
            pending.on_reply(reply)

    def forget(self, ticket: int) -> None:
        """Ignore the reply to an ask."""
        self._pop(ticket)

    def stream_ended(self, home: str) -> None:
        """End the asks that wait for a home whose stream has ended."""
        tickets = [
            ticket
            for ticket, pending in self._pending.items()
            if pending.home == home
        ]
        if tickets:
            self._rights.avoid(home)
        for ticket in tickets:
            self.handle_reply(ticket, None)

    def _pop(self, ticket: int) -> _PendingAsk | None:
        pending = self._pending.pop(ticket, None)
        if pending is not None and pending.timer is not None:
            pending.timer.cancel()
        return pending

    def _start_timer(
        self,
        ticket: int,
        pending: _PendingAsk,
        delay_s: float,
        extensions_left: int,
    ) -> None:
        loop = get_running_loop()
        pending.timer = loop.call_later(
            delay_s,
            self._expire,
            ticket,
            loop.time() + delay_s,
            extensions_left,
        )

    def _expire(self, ticket: int, due_s: float, extensions_left: int) -> None:
        pending = self._pending.get(ticket)
        if pending is None:
            return
        late_s = get_running_loop().time() - due_s
        if late_s > LATE_TIMER_S and extensions_left:
            self._start_timer(
                ticket, pending, EXTENSION_S, extensions_left - 1
            )
            return
        if pending.stream.replies == pending.replies_before:
            # Perhaps only the connection is dead.
            pending.stream.close()
        self._rights.avoid(pending.home)
        self.handle_reply(ticket, None)
