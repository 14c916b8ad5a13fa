"""HTTP server for callers.

It reads their requests, chooses route and service, has the requests forwarded
to targets, and sends the answers.
"""

from __future__ import annotations

from asyncio import (
    AbstractServer,
    CancelledError,
    get_running_loop,
    sleep,
)
from math import ceil
from typing import TYPE_CHECKING, Any, cast

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from carawaylane.decisions.customers.customer_counts import (
    CustomerOutcome,
)
from carawaylane.gateway.attempts import (
    NODE_STOPS,
    TOO_MANY_REQUESTS_STATUS,
)
from carawaylane.gateway.caller_connection import CallerConnection
from carawaylane.gateway.caller_requests import (
    NO_MEMORY,
    STOPS_RESPONSE,
    ErrorResponse,
    RequestReader,
)
from carawaylane.gateway.caller_responses import (
    CallerResponse,
    render_error,
    render_outcome,
)
from carawaylane.kernel.service import Service, service
from carawaylane.kernel.sockets import LISTEN_BACKLOG, open_listener
from carawaylane.messages.outcomes import NotRun, Outcome
from carawaylane.messages.platform_objects import CallerLimits
from carawaylane.messages.quotas import QuotaRefusal
from carawaylane.platform.headers import request_id_of
from carawaylane.telemetry.events import REQUEST_ENDED, emit

if TYPE_CHECKING:
    from aiohttp.http import RawRequestMessage
    from aiohttp.web_protocol import RequestHandler

    from carawaylane.gateway.forwarding import RoutedRequest
    from carawaylane.kernel.kernel import Kernel

DRAIN_POLL_S = 0.02
CUT_RESPONSE = ErrorResponse(status=504, reason=NODE_STOPS)
# Requests that end with another status are logged as warnings.
NORMAL_STATUSES = (200, 201, 202, 204, 404)


class _HttpServer(Server):
    """Creates each connection with the limits in force at that time."""

    def __init__(self, *, callers: CallerServer) -> None:
        super().__init__(
            callers.handle_request,
            request_factory=callers.make_request,
            handler_cancellation=True,
        )
        self._callers = callers

    def __call__(self) -> RequestHandler:
        return CallerConnection(
            self,
            runner=self._callers,
            memory=self._callers.kernel.find('memory'),
            depth=self._callers.kernel.cfg.pipeline_depth,
            limits=self._callers.limits(),
        )


@service('callers')
class CallerServer(Service):
    """Accepts callers' connections and answers their requests."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._listener: AbstractServer | None = None

    async def start(self) -> None:
        """Open the socket and accept connections."""
        self._directory = self.kernel.find('directory')
        self._reader = RequestReader(kernel=self.kernel)
        self._forwarding = self.kernel.find('forwarding')
        self._target_paths = self.kernel.find('target_paths')
        self._quotas = self.kernel.find('quotas')
        self._memory = self.kernel.find('memory')
        self._stopping = self.kernel.find('stopping')
        self._metrics = self.kernel.find('telemetry').metrics
        self._http_server = _HttpServer(callers=self)
        sock = self.kernel.sockets.pop(self.name, None)
        self._listener = await get_running_loop().create_server(
            self._http_server,
            sock=sock or open_listener(self.kernel.cfg.listen),
            backlog=LISTEN_BACKLOG,
        )

    async def drain(self) -> None:
        """Serve until the load balancer has noticed, then finish requests.

        These include the requests that the node sends for peers. All that was
        read is answered before the sockets close.
        """
        stopping = self._stopping
        stopping.begin()
        await self._sleep_until(stopping.refuse_at_s)
        self._reader.refuses_requests = True
        stopping.refuse_waiting()
        self._close_idle_connections()
        for conn in self._connections():
            conn.hold_reading()
        await self._sleep_until(stopping.unseen_at_s)
        while (
            self._has_busy_connections() or self._target_paths.relayed_requests
        ) and self.kernel.now_s() < stopping.end_s:
            await sleep(DRAIN_POLL_S)
        stopping.cut_all()
        if self._listener is not None:
            self._listener.close()
        self._close_idle_connections()
        while (
            self._has_busy_connections()
            and self.kernel.now_s() < stopping.exit_s
        ):
            await sleep(DRAIN_POLL_S)
        self._cut_connections()

    async def _sleep_until(self, time_s: float) -> None:
        await sleep(max(0.0, time_s - self.kernel.now_s()))

    def _cut_connections(self) -> None:
        """Close the connections whose responses are not sent yet."""
        for conn in self._connections():
            if conn.transport is not None and (
                conn.is_busy or conn.is_sending
            ):
                conn.transport.abort()

    def _close_idle_connections(self) -> None:
        """Close the connections without a request.

        aiohttp's own method drops a request that arrives while it closes.
        """
        for conn in self._connections():
            if (
                conn.transport is not None
                and not conn.is_busy
                and not conn.is_sending
            ):
                conn.transport.close()

    def _has_busy_connections(self) -> bool:
        return any(
            conn.is_busy or conn.is_sending for conn in self._connections()
        )

    def _connections(self) -> list[CallerConnection]:
        return cast('list[CallerConnection]', self._http_server.connections)

    async def stop(self) -> None:
        """Close the socket and the connections."""
        await super().stop()
        if self._listener is not None:
            self._listener.close()
        await self._http_server.shutdown(0.1)

    def limits(self) -> CallerLimits:
        """Return the limits of the configuration in force."""
        plan = self._directory.plan
        return plan.limits if plan is not None else CallerLimits()

    def ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return (
            not self.kernel.draining
            and self._directory.has_routes_and_targets()
        )

    def make_request(self, *args: Any) -> Any:
        """Return a request object that applies the body limit in force."""
        message, payload, protocol, writer, task = args
        if writer is not None:
            protocol.take()
        return BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            get_running_loop(),
            client_max_size=self.limits().body_bytes,
        )

    def is_safe(self, message: RawRequestMessage) -> bool:
        """Return whether a request may run beside others."""
        return self._reader.is_safe(message.path, message.headers)

    async def handle_request(self, req: BaseRequest) -> StreamResponse:
        """Return the response to the request whose turn it is."""
        conn = cast('CallerConnection', req.protocol)
        task = conn.begin(req)
        response: Response | None = None
        try:
            if task is not None:
                response = await task
            if response is None:
                response = await self._answer(req)
                assert response is not None
        except ConnectionError:
            raise
        except Exception as exc:
            # aiohttp closes the connection after an error, so that requests
            # which run already would get no response.
            if not conn.has_requests_behind():
                raise
            conn.log_exception('Error handling a request', exc_info=exc)
            response = Response(status=500)
        finally:
            conn.end()
        if self.kernel.draining and conn.stop_reading(req):
            response.force_close()
        return response

    async def answer_early(self, req: BaseRequest) -> Response | None:
        """Run a request before its turn and return its response.

        None if it must wait for its turn, as a new configuration says or
        those before it hold the memory that it needs.
        """
        if not self._reader.is_safe(req.raw_path, req.headers):
            return None
        return await self._answer(req)

    async def _answer(self, req: BaseRequest) -> Response | None:
        """Run one request, log and count it, and return its response.

        None if there is no memory for it before its turn.
        """
        received_at_s = self.kernel.now_s()
        request_id = request_id_of(req.headers)
        # Recorded if this is cancelled because the caller has disconnected.
        status = 0
        reason = 'caller left'
        conn = cast('CallerConnection', req.protocol)
        holding = self._memory.open(conn)
        conn.add_holding(req, holding)
        response: CallerResponse | None = None
        waits_for_turn = False
        progress = self._stopping.open()
        try:
            routed = await self._reader.read(
                req, received_at_s, holding, progress
            )
            if routed is NO_MEMORY and not holding.in_turn:
                waits_for_turn = True
                return None
            if isinstance(routed, ErrorResponse):
                status, reason = routed.status, routed.reason
                response = render_error(routed, holding)
                return response
            if not routed.request.idempotent:
                await conn.wait_until_deliverable()
            outcome = await self._forward_within_quota(routed)
            response = render_outcome(outcome, holding)
            status = response.status
            reason = getattr(outcome, 'reason', '')
            return response
        except CancelledError:
            if not self._stopping.answers(progress):
                raise
            error = CUT_RESPONSE if progress.may_have_run else STOPS_RESPONSE
            status, reason = error.status, error.reason
            response = render_error(error, holding)
            return response
        finally:
            self._stopping.close(progress)
            if response is None:
                holding.release()
            if not waits_for_turn:
                self._record_request(
                    req, request_id, status, reason, received_at_s
                )

    async def _forward_within_quota(self, routed: RoutedRequest) -> Outcome:
        """Forward a request unless its customer exceeds its quota."""
        if routed.credential is None:
            return await self._forwarding.forward(routed)
        customer = routed.credential.customer
        admission = await self._quotas.admit(
            customer,
            routed.request.request_id,
            routed.route.objective_s,
            routed.deadline_s,
        )
        if isinstance(admission, QuotaRefusal):
            self._quotas.counts.count(
                customer.name, CustomerOutcome.OVER_QUOTA
            )
            return NotRun(
                reason=admission.reason,
                retry_after_ms=ceil(admission.retry_after_s * 1000),
                status=TOO_MANY_REQUESTS_STATUS,
            )
        try:
            outcome = await self._forwarding.forward(routed, admission)
        except CancelledError:
            progress = routed.progress
            if admission and progress.is_cut and not progress.may_have_run:
                self._quotas.give_back(admission)
            raise
        if not isinstance(outcome, NotRun):
            self._quotas.counts.count(customer.name, CustomerOutcome.ADMITTED)
            return outcome
        self._quotas.counts.count(
            customer.name,
            CustomerOutcome.OVER_QUOTA
            if outcome.status == TOO_MANY_REQUESTS_STATUS
            else CustomerOutcome.NO_CAPACITY,
        )
        if admission is not None:
            self._quotas.give_back(admission)
        return outcome

    def _record_request(
        self,
        req: BaseRequest,
        request_id: str,
        status: int,
        reason: str,
        received_at_s: float,
    ) -> None:
        duration_s = self.kernel.now_s() - received_at_s
        self._metrics.count('requests', status=str(status))
        self._metrics.observe_duration('request', duration_s)
        plan = self._directory.plan
        emit(
            REQUEST_ENDED,
            failed=status not in NORMAL_STATUSES,
            request=request_id,
            method=req.method,
            status=status,
            took_ms=round(duration_s * 1000),
            reason=reason,
            version=plan.version if plan else None,
        )
