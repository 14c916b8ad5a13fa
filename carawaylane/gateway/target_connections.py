"""Connections to targets, and the pool of those that are idle."""

from __future__ import annotations

from asyncio import get_running_loop
from collections import defaultdict
from re import compile as re_compile
from socket import IPPROTO_TCP, TCP_USER_TIMEOUT
from typing import TYPE_CHECKING, Any

from attrs import define, field

from carawaylane.gateway.small_reads import SmallReads
from carawaylane.kernel.addresses import split_address
from carawaylane.services.response_handler import BoundedResponseHandler

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop

    from carawaylane.messages.exchange import OutgoingRequest

# An idle connection is reused for at most this long, and for at most this
# share of the timeout that the target states in its Keep-Alive header: later,
# the target may close the connection as the request is sent.
MAX_IDLE_S = 8.0
IDLE_TIMEOUT_SHARE = 0.7
# A request that is not idempotent can't be sent again if it is lost on a stale
# connection, so it needs a connection that was used more recently.
MAX_IDLE_NON_IDEMPOTENT_S = 5.0
MAX_IDLE_PER_ADDRESS = 8
# Bounds the memory for the ids of the requests that a connection has carried.
MAX_REQUESTS_PER_CONNECTION = 500
# The operating system closes a connection if sent data stays unacknowledged
# for this long, which means that the network path is dead.
UNACKNOWLEDGED_TIMEOUT_MS = 5000
_KEEP_ALIVE_TIMEOUT_PATTERN = re_compile(r'timeout=0*(\d{1,6})')


@define(kw_only=True, eq=False, repr=False)
class Connection:
    """A connection to a target, which carries each request at most once.

    A target may repeat an answer at any time, so the id of an answer tells
    which attempt it belongs to only if the connection carried no other one
    of that request. `number` identifies the connection in the logs.
    """

    number: int
    protocol: BoundedResponseHandler
    transport: Any
    # When the last exchange on the connection ended.
    idle_since_s: float = 0.0
    max_idle_s: float = MAX_IDLE_S
    # Hashes of the ids of the requests that were sent on the connection.
    _sent_ids: set[int] = field(init=False, factory=set)
    # Whether one of them has no id, or asked for a head only.
    _carried_nameless: bool = field(init=False, default=False)
    carried_head: bool = field(init=False, default=False)

    @property
    def requests_sent(self) -> int:
        """How many requests were sent on the connection."""
        return len(self._sent_ids)

    def add_request(self, request: OutgoingRequest) -> None:
        """Record that a request is sent on the connection."""
        self._sent_ids.add(hash(request.request_id))
        if not request.request_id:
            self._carried_nameless = True
        if request.method == 'HEAD':
            self.carried_head = True

    def has_carried(self, request_id: str) -> bool:
        """Return whether the request was sent on the connection before."""
        return hash(request_id) in self._sent_ids

    def is_reusable(self, now_s: float, idempotent: bool) -> bool:
        """Return whether another request may be sent on the connection."""
        if self.protocol.should_close or not self.protocol.is_connected():
            return False
        if self._carried_nameless or (
            self.requests_sent >= MAX_REQUESTS_PER_CONNECTION
        ):
            return False
        limit_s = (
            self.max_idle_s
            if idempotent
            else min(self.max_idle_s, MAX_IDLE_NON_IDEMPOTENT_S)
        )
        return now_s - self.idle_since_s < limit_s

    def limit_idle_time(self, keep_alive: str) -> None:
        """Apply the timeout in the Keep-Alive header of an answer, if any."""
        match = _KEEP_ALIVE_TIMEOUT_PATTERN.search(keep_alive)
        if match is not None:
            self.max_idle_s = min(
                MAX_IDLE_S, IDLE_TIMEOUT_SHARE * int(match.group(1))
            )


class ConnectionPool:
    """Opens connections to targets and keeps the idle ones."""

    def __init__(self) -> None:
        self._idle: dict[str, list[Connection]] = defaultdict(list)
        self._cleaned_at_s = float('-inf')
        self.opened = 0

    async def open(self, address: str) -> Connection:
        """Return a new connection to an address, or raise OSError."""
        loop: AbstractEventLoop = get_running_loop()
        host, port = split_address(address)
        self.opened += 1
        number = self.opened
        transport, reads = await loop.create_connection(
            lambda: SmallReads(handler=BoundedResponseHandler(loop)),
            host,
            port,
        )
        sock = transport.get_extra_info('socket')
        sock.setsockopt(
            IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
        )
        return Connection(
            number=number, protocol=reads.handler, transport=transport
        )

    def take(
        self, address: str, request: OutgoingRequest, now_s: float
    ) -> Connection | None:
        """Return the last used idle connection, and close those too old.

        None if each one has carried the request, or if it has no id.
        """
        if not request.request_id:
            return None
        conns = self._idle.get(address, [])
        for conn in reversed(conns.copy()):
            if not conn.is_reusable(now_s, request.idempotent):
                conns.remove(conn)
                conn.transport.abort()
            elif not conn.has_carried(request.request_id):
                conns.remove(conn)
                return conn
        return None

    def put(self, address: str, conn: Connection, now_s: float) -> None:
        """Keep a connection whose exchange has ended."""
        conn.idle_since_s = now_s
        self._close_old(now_s)
        conns = self._idle[address]
        conns.append(conn)
        if len(conns) > MAX_IDLE_PER_ADDRESS:
            conns.pop(0).transport.abort()

    def _close_old(self, now_s: float) -> None:
        """Close connections that nobody may use, also of unused addresses."""
        if now_s - self._cleaned_at_s < MAX_IDLE_S:
            return
        self._cleaned_at_s = now_s
        for address, conns in list(self._idle.items()):
            kept = []
            for conn in conns:
                if conn.is_reusable(now_s, idempotent=True):
                    kept.append(conn)
                else:
                    conn.transport.abort()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close the idle connections."""
        for conns in self._idle.values():
            while conns:
                conns.pop().transport.abort()
