"""A caller's connection, on which requests may be pipelined.

aiohttp parses the requests of a connection, handles them one at a time and
sends each response before it handles the next request. This connection starts
requests that wait behind another one, so that their responses are ready when
aiohttp comes to them. The order of the responses stays aiohttp's.
"""

from __future__ import annotations

from asyncio import Task, create_task, get_running_loop, sleep
from itertools import islice
from socket import SO_SNDBUF, SOL_SOCKET
from typing import TYPE_CHECKING, Any, Protocol

from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_response import Response, StreamResponse
from attrs import define

from carawaylane.decisions.admission.memory_budget import Holding
from carawaylane.gateway.caller_responses import CallerResponse
from carawaylane.kernel.sockets import has_left, is_sending

if TYPE_CHECKING:
    from asyncio import BaseTransport, TimerHandle

    from aiohttp.web_request import BaseRequest
    from aiohttp.web_server import Server

    from carawaylane.gateway.memory import Memory
    from carawaylane.messages.platform_objects import CallerLimits

HEAD_END = b'\r\n\r\n'
# Received data is parsed in parts that end with a head. From this part on,
# parts are longer, so that data which holds little else than blank lines does
# not take much time.
MAX_SHORT_PARTS = 64
MIN_LONG_PART_BYTES = 1024
# asyncio does not notice that a caller has left while reading is paused, so
# the state of the socket is read at this interval then.
LEFT_POLL_S = 0.1
FLUSH_POLL_S = 0.01
# What aiohttp keeps of a body before it is read is up to twice as much, and
# what the event loop reads at once.
READ_BUFFER_BYTES = 32 << 10
# Linux doubles it, and would let it grow to megabytes for each slow caller
# otherwise. A caller 8 ms away still takes 4 MB/s.
SEND_BUFFER_BYTES = 32 << 10
# After the last response, the connection stays open for reading this long:
# data that arrives at a closed socket resets the connection, and a reset
# discards responses that the caller has not read yet.
LINGER_S = 0.5


class RequestRunner(Protocol):
    """What a connection asks of the server."""

    def is_safe(self, message: RawRequestMessage) -> bool:
        """Return whether a request may run beside others."""

    async def answer_early(self, req: BaseRequest) -> Response | None:
        """Run a request before its turn and return its response.

        None if it has to wait for its turn after all.
        """

    def make_request(self, *args: Any) -> BaseRequest:
        """Return the request object of a parsed request."""


@define(kw_only=True, eq=False, repr=False)
class _StartedRequest:
    """A request that runs before its turn on the connection.

    It holds the message, so that no other message has the same address.
    """

    message: RawRequestMessage
    task: Task[Response | None]
    # None until the task has begun to run.
    holding: Holding | None = None


class CallerConnection(RequestHandler):
    """Runs the requests of a connection side by side as far as it may.

    A request starts before its turn if it and all unanswered ones before it
    are safe to run again, and its body has arrived. Others wait until all
    before them are answered. `depth` bounds how many requests run at a time,
    and how many are parsed behind the one whose turn it is.
    """

    def __init__(
        self,
        manager: Server,
        *,
        runner: RequestRunner,
        memory: Memory,
        depth: int,
        limits: CallerLimits,
    ) -> None:
        super().__init__(
            manager,
            loop=get_running_loop(),
            keepalive_timeout=limits.idle_timeout_s,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            access_log=None,  # type: ignore[arg-type]
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
        )
        self._runner = runner
        self._budget = memory.budget
        # By which the memory budget knows the connection.
        self.number = memory.add_connection(self)
        self._depth = depth
        # A single request must not pause the reading of its own body.
        self._max_msg_queue_size = max(2, depth)
        self._msg_queue_resume_size = self._max_msg_queue_size // 2
        # Received data that is not parsed yet, since reading is paused.
        self._unparsed = b''
        self._started: dict[int, _StartedRequest] = {}
        # The request whose turn it is, None between requests.
        self._current: BaseRequest | None = None
        # Its task, if it has started before its turn.
        self._current_task: Task[Response | None] | None = None
        # None if not looked up yet.
        self._current_is_safe: bool | None = None
        # Whether aiohttp has taken a request that is not answered yet.
        self._has_taken = False
        self._is_pipelined = False
        # The request whose response is being sent.
        self._responding_to: BaseRequest | None = None
        # Set when no further request is to be read.
        self._reads_no_more = False
        self._left_poll: TimerHandle | None = None

    def connection_made(self, transport: BaseTransport) -> None:
        """Let a response count as sent when it has left the process."""
        super().connection_made(transport)
        if self.transport is not None:
            self.transport.set_write_buffer_limits(high=0)
            sock = self.transport.get_extra_info('socket')
            sock.setsockopt(SOL_SOCKET, SO_SNDBUF, SEND_BUFFER_BYTES)

    @property
    def is_busy(self) -> bool:
        """Whether a request that was read is not answered yet."""
        return self._has_taken or bool(self._messages)

    @property
    def is_sending(self) -> bool:
        """Whether responses have not reached the caller's host yet."""
        return self.transport is not None and is_sending(self.transport)

    def take(self) -> None:
        """Record that aiohttp takes a request, and starts it soon."""
        self._has_taken = True

    def data_received(self, data: bytes) -> None:
        """Parse received data, and start the requests that may start.

        Data is parsed in parts with at most one head each, since aiohttp
        loses the requests before an invalid one that it parses with it.
        """
        if self._reads_no_more:
            return
        if self._unparsed:
            data, self._unparsed = self._unparsed + data, b''
        end = data.find(HEAD_END)
        if end < 0 or end + len(HEAD_END) == len(data):
            super().data_received(data)
        else:
            self._parse_in_parts(data)
        if len(self._messages) > 1 or (self._messages and self._current):
            self._is_pipelined = True
            self._start_requests()

    def _parse_in_parts(self, data: bytes) -> None:
        start = 0
        parts = 0
        while start < len(data):
            if parts and self._is_full():
                self._unparsed = data[start:]
                return
            parts += 1
            min_bytes = 0 if parts < MAX_SHORT_PARTS else MIN_LONG_PART_BYTES
            end = data.find(HEAD_END, start + min_bytes)
            end = end + len(HEAD_END) if end >= 0 else len(data)
            super().data_received(data[start:end])
            start = end

    def _is_full(self) -> bool:
        return (
            self._reading_paused
            or len(self._messages) >= self._max_msg_queue_size
        )

    def begin(self, req: BaseRequest) -> Task[Response | None] | None:
        """Take the turn of a request; return its task if it has started."""
        self._current = req
        started = self._started.pop(id(req._message), None)
        self._current_is_safe = None if started is None else True
        if self._messages:
            self._start_requests()
        if started is not None and started.holding is not None:
            started.holding.in_turn = True
        self._current_task = None if started is None else started.task
        return self._current_task

    def add_holding(self, req: BaseRequest, holding: Holding) -> None:
        """Let what a request holds be in turn from its turn on."""
        started = self._started.get(id(req._message))
        holding.in_turn = started is None
        if started is not None:
            started.holding = holding

    def end(self) -> None:
        """End the turn of a request."""
        self._current = None
        self._current_task = None

    def has_requests_behind(self) -> bool:
        """Return whether requests were read behind the one in turn."""
        return bool(self._messages)

    def stop_reading(self, req: BaseRequest) -> bool:
        """Read no further requests, as the node drains.

        What was read is answered. What was not stays in the socket: a caller
        may repeat a request that its node has not read. Returns whether `req`
        is the last one that was read, so that its response may close the
        connection.
        """
        if self._has_read_whole_requests(req):
            self._reads_no_more = True
            self._pause_reading_for_buffer()
        return not self._messages and not self._unparsed

    def hold_reading(self) -> None:
        """Read no further requests until the response in turn is sent."""
        req = self._responding_to
        if req is not None and self._has_read_whole_requests(req):
            self._pause_reading_for_buffer()

    def _has_read_whole_requests(self, req: BaseRequest) -> bool:
        """Return whether all requests that were read are parsed and whole."""
        payload = self._messages[-1][1] if self._messages else req._payload
        return not self._unparsed and bool(payload.is_eof())

    def _start_requests(self) -> None:
        """Start the requests behind the one in turn that may run now."""
        if not self._may_start_any():
            return
        for message, payload in islice(self._messages, self._depth - 1):
            if id(message) in self._started:
                continue
            if (
                not isinstance(message, RawRequestMessage)
                or not payload.is_eof()
                or not self._runner.is_safe(message)
                or not self._budget.admits_behind(len(self._started))
            ):
                return
            req = self._runner.make_request(
                message, payload, self, None, self._task_handler
            )
            self._started[id(message)] = _StartedRequest(
                message=message,
                task=create_task(self._runner.answer_early(req)),
            )
            if message.should_close:
                return

    def _may_start_any(self) -> bool:
        """Return whether responses of further requests can be delivered."""
        current = self._current
        if current is None or self.writing_paused:
            return False
        if self._current_is_safe is None:
            self._current_is_safe = self._runner.is_safe(current._message)
        return self._current_is_safe and not current._message.should_close

    def caller_has_left(self) -> bool:
        """Return whether the caller has left; its data may be unread."""
        return self.transport is None or has_left(self.transport)

    async def wait_until_deliverable(self) -> None:
        """Wait until the responses before are sent, if there are any.

        A request that may run only once starts after this, so that nothing
        before its response can keep it from the caller.
        """
        if not self._is_pipelined:
            return
        while self.transport and self.transport.get_write_buffer_size():
            await sleep(FLUSH_POLL_S)
        if self.caller_has_left():
            raise ConnectionResetError('the caller has left')

    def pause_reading(self) -> None:
        """Pause while a body waits to be passed on."""
        super().pause_reading()
        self._start_left_poll()

    def _pause_reading_for_buffer(self) -> None:
        super()._pause_reading_for_buffer()
        self._start_left_poll()

    def _start_left_poll(self) -> None:
        if self._left_poll is None:
            self._left_poll = self._loop.call_later(
                LEFT_POLL_S, self._poll_if_left
            )

    def _resume_reading_for_buffer(self) -> None:
        if not self._reads_no_more:
            super()._resume_reading_for_buffer()

    def _poll_if_left(self) -> None:
        self._left_poll = None
        if self.transport is None or not (
            self._buffer_paused or self._reading_paused
        ):
            return
        if self.caller_has_left():
            self.transport.abort()
            return
        self._start_left_poll()

    async def finish_response(
        self,
        request: BaseRequest,
        resp: StreamResponse,
        start_time: float | None,
    ) -> tuple[StreamResponse, bool]:
        """Send a response; the last one of a pipeline stays readable."""
        sent = resp
        self._responding_to = request
        if isinstance(sent, CallerResponse):
            sent.start_sending(self._loop.time())
        try:
            resp, reset = await super().finish_response(
                request, resp, start_time
            )
        finally:
            self._responding_to = None
            if isinstance(sent, CallerResponse):
                sent.discard()
        if reset or resp.keep_alive:
            if self._buffer_paused and not self._messages:
                self._resume_reading_if_drained()
        elif self._is_pipelined or self._reads_no_more:
            await self._linger()
        self._has_taken = False
        return resp, reset

    async def _linger(self) -> None:
        """Let the caller read the last response before the socket closes."""
        transport = self.transport
        if transport is None or not transport.can_write_eof():
            return
        transport.write_eof()
        if not self._reads_no_more:
            self._reads_no_more = True
            self._unparsed = b''
            self._resume_transport_reading()
            await sleep(LINGER_S)
            return
        end_s = self._loop.time() + LINGER_S * self._is_pipelined
        while not self.caller_has_left() and (
            self.is_sending or self._loop.time() < end_s
        ):
            await sleep(FLUSH_POLL_S)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the requests of a caller that has left."""
        tasks = [started.task for started in self._started.values()]
        if self._current_task is not None:
            tasks.append(self._current_task)
        for task in tasks:
            task.cancel()
            task.add_done_callback(_discard_response)
        self._started.clear()
        self._unparsed = b''
        if self._left_poll is not None:
            self._left_poll.cancel()
            self._left_poll = None
        super().connection_lost(exc)


def _discard_response(task: Task[Response | None]) -> None:
    """Give back what the response of a request that has ended holds."""
    if task.cancelled() or task.exception() is not None:
        return
    response = task.result()
    if isinstance(response, CallerResponse):
        response.discard()
