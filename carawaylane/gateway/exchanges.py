"""HTTP exchanges with targets over pooled connections.

An exchange is a request and its answer. The path, end-to-end headers and body
of a request are sent unchanged. aiohttp parses the answers, but its client
session is not used: it resends some requests when a pooled connection breaks,
and adds headers of its own.
"""

from __future__ import annotations

from asyncio import get_running_loop, sleep, timeout
from collections import defaultdict
from functools import partial
from re import compile as re_compile
from socket import IPPROTO_TCP, TCP_USER_TIMEOUT
from typing import TYPE_CHECKING, Any

from aiohttp import StreamReader
from attrs import define, evolve

from carawaylane.decisions.admission.answer_memory import AnswerMemory
from carawaylane.gateway.streamed_answers import (
    ANSWER_ERRORS,
    READ_BYTES,
    AnswerStream,
)
from carawaylane.gateway.target_messages import check_answer, request_head
from carawaylane.kernel.service import Service, service
from carawaylane.kernel.timeouts import ReplyTimeout
from carawaylane.services.response_handler import BoundedResponseHandler
from carawaylane.services.targets import (
    LIVENESS_OPEN_S,
    BrokenExchange,
    CompleteAnswer,
    NeverSent,
    RefusedByTarget,
)

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop

    from carawaylane.decisions.admission.memory_budget import Holding
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.exchange import OutgoingRequest

CONNECT_TIMEOUT_S = 0.3
# An idle connection is reused for at most this long, and for at most this
# share of the timeout that the target states in its Keep-Alive header: later,
# the target may close the connection as the request is sent.
MAX_IDLE_S = 8.0
IDLE_TIMEOUT_SHARE = 0.7
# A request that is not idempotent can't be sent again if it is lost on a stale
# connection, so it needs a connection that was used more recently.
MAX_IDLE_NON_IDEMPOTENT_S = 5.0
MAX_IDLE_PER_ADDRESS = 8
# The operating system closes a connection if sent data stays unacknowledged
# for this long, which means that the network path is dead.
UNACKNOWLEDGED_TIMEOUT_MS = 5000
MAX_HEADER_LINE_BYTES = 65536
MIN_SERVER_ERROR_STATUS = 500
_KEEP_ALIVE_TIMEOUT_PATTERN = re_compile(r'timeout=(\d+)')
ExchangeResult = CompleteAnswer | NeverSent | RefusedByTarget | BrokenExchange


class _ResponseHandler(BoundedResponseHandler):
    """Protocol that fails the body of an answer if the connection is reset.

    An answer without a length ends when the connection closes; aiohttp would
    take one that was cut off by a reset as complete.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(exc)
        super().connection_lost(exc)


@define(kw_only=True, eq=False, repr=False)
class _Connection:
    """A connection to a target."""

    protocol: _ResponseHandler
    transport: Any
    # When the last exchange on the connection ended.
    idle_since_s: float = 0.0
    max_idle_s: float = MAX_IDLE_S

    def is_reusable(self, now_s: float, idempotent: bool) -> bool:
        """Return whether another request may be sent on the connection."""
        if self.protocol.should_close or not self.protocol.is_connected():
            return False
        limit_s = (
            self.max_idle_s
            if idempotent
            else min(self.max_idle_s, MAX_IDLE_NON_IDEMPOTENT_S)
        )
        return now_s - self.idle_since_s < limit_s


@define(kw_only=True, eq=False, repr=False)
class _PartialBody:
    """The part of a large body that is read, and the reader of the rest."""

    payload: StreamReader
    chunks: list[bytes]
    # Read too, but there was no memory for it.
    pending: bytes = b''


@service('exchanges')
class Exchanges(Service):
    """Sends requests to targets, and pools the connections to them."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._idle_connections: dict[str, list[_Connection]] = defaultdict(
            list
        )
        self.connections_opened = 0
        self._answer_memory = AnswerMemory()

    async def start(self) -> None:
        """Look up the other services."""
        self._backpressure = self.kernel.find('backpressure')

    async def stop(self) -> None:
        """Close the idle connections."""
        await super().stop()
        self.close_idle()

    async def exchange(
        self,
        target: str,
        address: str,
        request: OutgoingRequest,
        time_left_s: float,
    ) -> ExchangeResult:
        """Send a request to a target and return the result.

        Cancelling the exchange closes the connection, so that the target
        stops working on the request.
        """
        started_at_s = self.kernel.now_s()
        withheld = self._withheld(target, request)
        if withheld is not None:
            return withheld
        conn = self._take_idle(address, started_at_s, request.idempotent)
        if conn is None:
            try:
                async with ReplyTimeout(min(CONNECT_TIMEOUT_S, time_left_s)):
                    conn = await self._open_connection(address)
            except (TimeoutError, OSError) as exc:
                return NeverSent(reason=type(exc).__name__)
            # The target may have answered others since.
            withheld = self._withheld(target, request)
            if withheld is not None:
                self._return_idle(address, conn)
                return withheld
        time_left_s -= self.kernel.now_s() - started_at_s
        completed = False
        result: ExchangeResult | None = None
        try:
            async with timeout(time_left_s):
                result = await self._send_and_receive(
                    conn, target, request, time_left_s
                )
            completed = not isinstance(result, BrokenExchange)
            self._backpressure.record_result(
                target, result, request.request_id, started_at_s
            )
            return result
        except TimeoutError:
            return BrokenExchange(reason='no answer in time', timed_out=True)
        finally:
            end = partial(self._end_exchange, address, conn)
            if isinstance(result, CompleteAnswer) and result.stream:
                result.stream.start(end)
            else:
                end(completed)

    def _end_exchange(
        self, address: str, conn: _Connection, completed: bool | None
    ) -> None:
        if completed and not conn.protocol.should_close:
            self._return_idle(address, conn)
        else:
            conn.transport.abort()

    def _withheld(
        self, target: str, request: OutgoingRequest
    ) -> NeverSent | None:
        """Return the result if a target asked for no requests."""
        reason = self._backpressure.withheld(target, request.request_id)
        if reason is None:
            return None
        return NeverSent(reason=reason, withheld=True)

    async def reaches(self, address: str) -> bool:
        """Open a connection for the pool; return whether that worked."""
        try:
            async with ReplyTimeout(CONNECT_TIMEOUT_S):
                conn = await self._open_connection(address)
        except (TimeoutError, OSError):
            return False
        self._return_idle(address, conn)
        return True

    async def has_ended(self, address: str) -> bool:
        """Return whether nothing listens at an address any more.

        The host may still accept a connection for a process that is dying.
        """
        for _ in range(2):
            try:
                async with ReplyTimeout(CONNECT_TIMEOUT_S):
                    conn = await self._open_connection(address)
            except ConnectionRefusedError:
                return True
            except (TimeoutError, OSError):
                return False
            await sleep(LIVENESS_OPEN_S)
            if conn.protocol.is_connected():
                self._return_idle(address, conn)
                return False
        return False

    def close_idle(self) -> None:
        """Close the idle connections."""
        for conns in self._idle_connections.values():
            while conns:
                conns.pop().transport.abort()

    async def _open_connection(self, address: str) -> _Connection:
        loop: AbstractEventLoop = get_running_loop()
        host, _, port = address.rpartition(':')
        self.connections_opened += 1
        transport, protocol = await loop.create_connection(
            lambda: _ResponseHandler(loop), host, int(port)
        )
        sock = transport.get_extra_info('socket')
        sock.setsockopt(
            IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
        )
        return _Connection(protocol=protocol, transport=transport)

    def _take_idle(
        self, address: str, now_s: float, idempotent: bool
    ) -> _Connection | None:
        """Return the last used idle connection, and close those too old."""
        conns = self._idle_connections[address]
        while conns:
            conn = conns.pop()
            if conn.is_reusable(now_s, idempotent):
                return conn
            conn.transport.abort()
        return None

    def _return_idle(self, address: str, conn: _Connection) -> None:
        conn.idle_since_s = self.kernel.now_s()
        conns = self._idle_connections[address]
        conns.append(conn)
        if len(conns) > MAX_IDLE_PER_ADDRESS:
            conns.pop(0).transport.abort()

    async def _send_and_receive(
        self,
        conn: _Connection,
        target: str,
        request: OutgoingRequest,
        time_left_s: float,
    ) -> ExchangeResult:
        conn.protocol.set_response_params(
            skip_payload=request.method == 'HEAD',
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
        )
        conn.transport.write(
            request_head(request, target, time_left_s) + request.body
        )
        try:
            message, payload = await conn.protocol.read()
            while 100 <= message.code < 200:
                message, payload = await conn.protocol.read()
            body = await self._read_body(
                conn.protocol,
                payload,
                request.holding,
                self._buffer_limit(message, request),
            )
        except ANSWER_ERRORS as exc:
            return BrokenExchange(reason=type(exc).__name__)
        if body is None:
            return BrokenExchange(reason='the answer is too large')
        if message.should_close:
            conn.protocol.force_close()
        _limit_idle_time(conn, message.headers.get('Keep-Alive', ''))
        if isinstance(body, bytes):
            return check_answer(message, body, request)
        result = check_answer(message, b'', request)
        if isinstance(result, CompleteAnswer):
            return evolve(result, stream=self._stream(message, body, request))
        conn.protocol.force_close()
        return result

    def _buffer_limit(
        self, message: Any, request: OutgoingRequest
    ) -> int | None:
        """Return up to which size an answer is read whole, None if any."""
        length = message.headers.get('Content-Length', '')
        if (
            not request.streams
            or request.holding is None
            or message.code >= MIN_SERVER_ERROR_STATUS
            # Without either, a broken body may look complete.
            or not (message.chunked or length.isdecimal())
        ):
            return None
        return request.holding.budget.buffer_limit()

    def _stream(
        self, message: Any, body: _PartialBody, request: OutgoingRequest
    ) -> AnswerStream:
        assert request.holding is not None
        length = message.headers.get('Content-Length', '')
        return AnswerStream(
            payload=body.payload,
            chunks=body.chunks,
            pending=body.pending,
            length=int(length) if length.isdecimal() else None,
            holding=request.holding,
        )

    async def _read_body(
        self,
        protocol: _ResponseHandler,
        payload: StreamReader,
        holding: Holding | None,
        buffer_limit: int | None,
    ) -> bytes | _PartialBody | None:
        """Return the body of an answer, or None if it is too large.

        If it is larger than the limit, only a part of it is read.
        """
        size = self._answer_memory.new_answer()
        chunks: list[bytes] = []
        held_bytes = 0
        kept = False
        try:
            async for chunk in payload.iter_chunked(READ_BYTES):
                if not size.grow_to(protocol.body_bytes):
                    return None
                if holding is not None:
                    if not holding.grow(len(chunk)):
                        if buffer_limit is None:
                            return None
                        kept = True
                        return _PartialBody(
                            payload=payload, chunks=chunks, pending=chunk
                        )
                    held_bytes += len(chunk)
                chunks.append(chunk)
                if buffer_limit is not None and held_bytes > buffer_limit:
                    kept = True
                    return _PartialBody(payload=payload, chunks=chunks)
            kept = True
        finally:
            size.release()
            if holding is not None and not kept:
                holding.shrink(held_bytes)
        return b''.join(chunks)


def _limit_idle_time(conn: _Connection, keep_alive: str) -> None:
    """Apply the idle timeout in the Keep-Alive header of an answer, if any."""
    match = _KEEP_ALIVE_TIMEOUT_PATTERN.search(keep_alive)
    if match is not None:
        conn.max_idle_s = min(
            MAX_IDLE_S, IDLE_TIMEOUT_SHARE * int(match.group(1))
        )
