"""HTTP exchanges with targets over pooled connections.

An exchange is a request and its answer. The path, end-to-end headers and body
of a request are sent unchanged. aiohttp parses the answers, but its client
session is not used: it resends some requests when a pooled connection breaks,
and adds headers of its own.
"""

from __future__ import annotations

from asyncio import get_running_loop, sleep, timeout
from functools import partial
from typing import TYPE_CHECKING, Any

from attrs import evolve

from carawaylane.decisions.admission.answer_memory import AnswerMemory
from carawaylane.gateway.answer_bodies import (
    PartialBody,
    buffer_limit,
    read_answer_body,
)
from carawaylane.gateway.streamed_answers import (
    ANSWER_ERRORS,
    AnswerStream,
)
from carawaylane.gateway.target_connections import ConnectionPool
from carawaylane.gateway.target_messages import (
    FOREIGN_ANSWER,
    check_answer,
    names_another,
)
from carawaylane.gateway.uploads import writing
from carawaylane.kernel.service import Service, service
from carawaylane.kernel.timeouts import ReplyTimeout
from carawaylane.platform.headers import answered_ids, is_refusal
from carawaylane.services.response_handler import content_length
from carawaylane.services.targets import (
    LIVENESS_OPEN_S,
    BrokenExchange,
    CompleteAnswer,
    NeverSent,
    RefusedByTarget,
)
from carawaylane.telemetry.events import ANSWER_DOUBTFUL, emit

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawaylane.gateway.target_connections import Connection
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.exchange import OutgoingRequest

CONNECT_TIMEOUT_S = 0.3
MAX_HEADER_LINE_BYTES = 65536
# What aiohttp keeps of a body before it is read: up to twice READ_BYTES, or a
# sixteenth of this many chunks.
READ_BUFFER_BYTES = 16 << 10
MIN_SERVER_ERROR_STATUS = 500
# These say nothing of the target.
BROKEN_UPLOAD = BrokenExchange(
    reason='the body broke off', mismatched=True, own_path=True
)
SLOW_UPLOAD = BrokenExchange(
    reason='the body was too slow', mismatched=True, own_path=True
)
ExchangeResult = CompleteAnswer | NeverSent | RefusedByTarget | BrokenExchange


def always() -> bool:
    """Return True: a request may be sent at any time."""
    return True


@service('exchanges')
class Exchanges(Service):
    """Sends requests to targets, and pools the connections to them."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.pool = ConnectionPool()
        # Of answers that are read, and of replies to peers that wait.
        self.answer_memory = AnswerMemory()

    async def start(self) -> None:
        """Look up the other services."""
        self._backpressure = self.kernel.find('backpressure')
        self._metrics = self.kernel.find('telemetry').metrics

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
        may_send: Callable[[], bool] = always,
    ) -> ExchangeResult:
        """Send a request to a target and return the result.

        It is not sent if `may_send` returns False once there is a connection.
        Cancelling the exchange closes the connection, so that the target
        stops working on the request.
        """
        started_at_s = self.kernel.now_s()
        withheld = self._withheld(target, request)
        if withheld is not None:
            return withheld
        conn = self.pool.take(address, request, started_at_s)
        if conn is None:
            try:
                async with ReplyTimeout(min(CONNECT_TIMEOUT_S, time_left_s)):
                    conn = await self.pool.open(address)
            except (TimeoutError, OSError) as exc:
                return NeverSent(reason=type(exc).__name__)
            # The target may have answered others since.
            withheld = self._withheld(target, request)
            if withheld is None and not may_send():
                withheld = NeverSent(reason='too late', withheld=True)
            if withheld is not None:
                self.pool.put(address, conn, self.kernel.now_s())
                return withheld
        time_left_s -= self.kernel.now_s() - started_at_s
        identity = self._backpressure.identify(target, address)
        completed = False
        result: ExchangeResult | None = None
        try:
            async with timeout(time_left_s):
                result = await self._send_and_receive(
                    conn, target, request, time_left_s
                )
            completed = not isinstance(result, BrokenExchange)
            self._backpressure.record_result(
                identity, result, request.request_id, started_at_s
            )
            return result
        except TimeoutError:
            if request.upload is not None and not request.upload.is_sent:
                return SLOW_UPLOAD
            return BrokenExchange(reason='no answer in time', timed_out=True)
        finally:
            end = partial(self._end_exchange, address, conn)
            if isinstance(result, CompleteAnswer) and result.stream:
                result.stream.start(end)
            else:
                end(completed)

    def _end_exchange(
        self, address: str, conn: Connection, completed: bool | None
    ) -> None:
        if completed and not conn.protocol.should_close:
            self.pool.put(address, conn, self.kernel.now_s())
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
                conn = await self.pool.open(address)
        except (TimeoutError, OSError):
            return False
        self.pool.put(address, conn, self.kernel.now_s())
        return True

    async def has_ended(self, address: str) -> bool:
        """Return whether nothing listens at an address any more.

        The host may still accept a connection for a process that is dying.
        """
        for _ in range(2):
            try:
                async with ReplyTimeout(CONNECT_TIMEOUT_S):
                    conn = await self.pool.open(address)
            except ConnectionRefusedError:
                return True
            except (TimeoutError, OSError):
                return False
            await sleep(LIVENESS_OPEN_S)
            if conn.protocol.is_connected():
                self.pool.put(address, conn, self.kernel.now_s())
                return False
        return False

    def close_idle(self) -> None:
        """Close the idle connections."""
        self.pool.close()

    async def _send_and_receive(
        self,
        conn: Connection,
        target: str,
        request: OutgoingRequest,
        time_left_s: float,
    ) -> ExchangeResult:
        if conn.protocol.should_close:
            return NeverSent(reason='an answer came before the request')
        conn.protocol.set_response_params(
            skip_payload=request.method == 'HEAD',
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
        )
        conn.protocol.skip_answers(
            partial(self._is_foreign, conn, target, request.request_id)
        )
        conn.add_request(request)
        sent_at_s = get_running_loop().time()
        try:
            with writing(conn, request, target, time_left_s):
                message, payload = await conn.protocol.read()
                while 100 <= message.code < 200:
                    message, payload = await conn.protocol.read()
                if names_another(message, request):
                    return FOREIGN_ANSWER
                body = await read_answer_body(
                    conn.protocol,
                    payload,
                    request.holding,
                    buffer_limit(message, request),
                    self.answer_memory.new_answer(),
                )
        except ANSWER_ERRORS as exc:
            return _broken(request, exc)
        finally:
            # It refers to the connection, which may be kept for long.
            conn.protocol.skip_answers(None)
        if body is None:
            return BrokenExchange(reason='the answer is too large')
        if _must_close(message, request):
            conn.protocol.force_close()
        conn.limit_idle_time(message.headers.get('Keep-Alive', ''))
        if isinstance(body, bytes):
            result = check_answer(message, body, request)
            if (
                isinstance(result, RefusedByTarget)
                and conn.protocol.skipped_bytes
            ):
                return BrokenExchange(
                    reason='a refusal behind another answer', mismatched=True
                )
            return result
        result = check_answer(message, b'', request)
        if isinstance(result, CompleteAnswer):
            deadline_s = sent_at_s + time_left_s
            stream = self._stream(message, body, request, deadline_s)
            return evolve(result, stream=stream)
        conn.protocol.force_close()
        return result

    def _is_foreign(
        self, conn: Connection, target: str, request_id: str, message: Any
    ) -> bool:
        """Return whether an answer is one to an earlier request again.

        The length of an answer to a HEAD request is not that of its body.
        """
        answer_ids = answered_ids(message.headers)
        if answer_ids == [request_id]:
            return False
        refused = is_refusal(message.code, message.headers)
        self._metrics.count('doubtful_answers', refused=str(refused))
        emit(
            ANSWER_DOUBTFUL,
            request=request_id,
            target=target,
            connection=conn.number,
            requests_before=conn.requests_sent - 1,
            answer_ids=answer_ids,
            status=message.code,
            refused=refused,
        )
        return (
            len(answer_ids) == 1
            and conn.has_carried(answer_ids[0])
            and not conn.carried_head
        )

    def _stream(
        self,
        message: Any,
        body: PartialBody,
        request: OutgoingRequest,
        deadline_s: float,
    ) -> AnswerStream:
        assert request.holding is not None
        return AnswerStream(
            payload=body.payload,
            chunks=body.chunks,
            pending=body.pending,
            length=content_length(message),
            holding=request.holding,
            deadline_s=deadline_s,
        )


def _broken(request: OutgoingRequest, exc: Exception) -> BrokenExchange:
    """Return the result of an exchange whose connection has broken."""
    if request.upload is not None and request.upload.is_broken:
        return BROKEN_UPLOAD
    return BrokenExchange(reason=type(exc).__name__)


def _must_close(message: Any, request: OutgoingRequest) -> bool:
    """Return whether a connection can't be used again after an answer.

    A target that answered before it had the whole body would take the next
    request for the rest.
    """
    return (
        message.should_close
        or not answered_ids(message.headers)
        or (request.upload is not None and not request.upload.is_sent)
    )
