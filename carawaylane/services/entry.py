"""HTTP server that takes callers' requests and answers them."""

from __future__ import annotations

from asyncio import Timeout, get_running_loop, sleep, timeout
from collections import Counter
from contextlib import aclosing
from typing import TYPE_CHECKING
from uuid import uuid4

from aiohttp import web
from attrs import evolve

from carawaylane.decisions.admission.quarantine import request_digest
from carawaylane.decisions.ownership.ownership import generate_key
from carawaylane.decisions.routing.traffic_kinds import request_labels
from carawaylane.kernel.service import Service, service
from carawaylane.kernel.sockets import reset_connection
from carawaylane.messages.exchange import AnswerChunk, Head, Request
from carawaylane.messages.outcomes import (
    Answered,
    Failed,
    Outcome,
)
from carawaylane.services.caller_requests import (
    KEY_HEADER,
    MAX_KEY_CHARS,
    TIMEOUT_HEADER,
    forwarded_headers,
    is_valid_key,
    outcome_of_refusal,
    timeout_ms,
)
from carawaylane.services.caller_responses import (
    ProblemAnswer,
    problem_of,
    problem_response,
    response_headers,
)
from carawaylane.telemetry.traces import TRACEPARENT_HEADER, traceparent_of

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from carawaylane.config.schema import TrafficKind
    from carawaylane.kernel.kernel import Kernel

CALLER_HEADER = 'X-Caller'
LABELS_HEADER = 'X-Labels'
# Path prefix of the resources that the entry serves itself.
ENTRY_PATH_PREFIX = '/.well-known/carawaylane/'
DRAIN_POLL_S = 0.02
BODY_TIMEOUT_S = 30.0
NODE_STOPS = ProblemAnswer(
    status=503,
    reason='this node stops; this attempt did not run',
    retry_after_ms=200,
)


@service('entry')
class Entry(Service):
    """Accepts callers' requests, forwards them and sends the answers."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._in_flight = 0
        # Set in a drain, once the load balancer has noticed it.
        self._refuses_requests = False
        # Of the bodies that are being read.
        self._body_timeouts: set[Timeout] = set()
        # Requests in flight by traffic kind and caller.
        self._in_flight_by_caller: Counter[tuple[str, str]] = Counter()

    async def start(self) -> None:
        """Start listening."""
        self._forwarder = self.kernel.find('forwarder')
        self._catalogue = self.kernel.find('catalogue')
        self._metrics = self.kernel.find('telemetry').metrics
        self._tracer = self.kernel.find('telemetry').tracer
        app = web.Application(
            client_max_size=self.kernel.cfg.max_body_bytes + 1
        )
        app.router.add_get(ENTRY_PATH_PREFIX + 'ready', self._handle_ready)
        app.router.add_post(ENTRY_PATH_PREFIX + 'keys', self._handle_new_key)
        app.router.add_route('*', '/{tail:.*}', self._handle_request)
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True
        )
        await self._runner.setup()
        host, _, port = self.kernel.cfg.listen.rpartition(':')
        self._site = web.TCPSite(self._runner, host, int(port))
        await self._site.start()

    async def drain(self) -> None:
        """Finish the requests in flight and accept no more.

        First gives the load balancer time to see that the node isn't ready.
        Then requests on open connections are refused, also those whose body
        has not arrived.
        """
        await sleep(self.kernel.cfg.drain_grace_ms / 1000)
        self._refuses_requests = True
        now_s = get_running_loop().time()
        for body_timeout in self._body_timeouts:
            if not body_timeout.expired():
                body_timeout.reschedule(now_s)
        if self._site is not None:
            await self._site.stop()
        while self._in_flight:
            await sleep(DRAIN_POLL_S)

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        await super().stop()
        if self._runner is not None:
            await self._runner.cleanup()

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return (
            not self.kernel.draining
            and self.kernel.find('watcher').logs_loaded
            and bool(self.kernel.find('relay').fleet.members)
        )

    async def _handle_ready(self, http_req: web.Request) -> web.Response:
        ready = self.is_ready()
        return web.json_response(
            {'ready': ready}, status=200 if ready else 503
        )

    async def _handle_new_key(self, http_req: web.Request) -> web.Response:
        """Generate an idempotency key for a shard that has a live owner."""
        service_name = http_req.query.get('service', '')
        spec = self._catalogue.config.services.get(service_name)
        if spec is None:
            reason = f'no service is named {service_name!r}'
            return self._refuse(ProblemAnswer(status=404, reason=reason))
        homes = self.kernel.find('homes')
        down = self.kernel.find('membership').down_members()
        owned_shards = [
            (number, holding)
            for number in range(spec.shards)
            if (holding := homes.newest_holding((service_name, number)))
            is not None
            and holding.owner not in down
        ]
        if not owned_shards:
            reason = 'no shard of the service has a live owner'
            return self._refuse(
                ProblemAnswer(status=503, reason=reason, retry_after_ms=1000)
            )
        number, holding = self.kernel.rng.choice(owned_shards)
        key = generate_key((service_name, number), holding.epoch, uuid4().hex)
        return web.json_response({'key': key}, status=201)

    async def _handle_request(
        self, http_req: web.Request
    ) -> web.StreamResponse:
        started_at_s = self.kernel.now_s()
        caller = http_req.headers.get(CALLER_HEADER) or http_req.remote or ''
        kind = self._match_traffic_kind(http_req, caller)
        if kind is None:
            reason = 'no traffic kind matches the request'
            return self._refuse(ProblemAnswer(status=404, reason=reason))
        refusal = self._check_limits(kind, caller, http_req)
        if refusal is not None:
            return self._refuse(refusal, kind)
        kind_and_caller = (kind.name, caller)
        self._in_flight += 1
        self._in_flight_by_caller[kind_and_caller] += 1
        try:
            return await self._serve(http_req, kind, caller)
        finally:
            self._in_flight -= 1
            self._in_flight_by_caller[kind_and_caller] -= 1
            if not self._in_flight_by_caller[kind_and_caller]:
                del self._in_flight_by_caller[kind_and_caller]
            self._metrics.observe_duration(
                'request', self.kernel.now_s() - started_at_s
            )

    def _match_traffic_kind(
        self, http_req: web.Request, caller: str
    ) -> TrafficKind | None:
        labels = request_labels(
            method=http_req.method,
            path=http_req.path,
            host=http_req.host,
            caller=caller,
            labels_header=http_req.headers.get(LABELS_HEADER, ''),
        )
        return self._catalogue.config.traffic_kinds.find(labels)

    def _check_limits(
        self, kind: TrafficKind, caller: str, http_req: web.Request
    ) -> ProblemAnswer | None:
        outcome = outcome_of_refusal(kind, http_req)
        if self._refuses_requests:
            return evolve(NODE_STOPS, outcome=outcome)
        if self._in_flight >= self.kernel.cfg.max_in_flight:
            return ProblemAnswer(
                status=503,
                reason='this entry is full; this attempt did not run',
                retry_after_ms=200,
                outcome=outcome,
            )
        in_flight = self._in_flight_by_caller[(kind.name, caller)]
        if kind.per_caller and in_flight >= kind.per_caller:
            return ProblemAnswer(
                status=429,
                reason='too many requests at once of this caller; '
                'this attempt did not run',
                retry_after_ms=200,
                outcome=outcome,
            )
        return None

    async def _serve(
        self, http_req: web.Request, kind: TrafficKind, caller: str
    ) -> web.StreamResponse:
        req = await self._read_request(http_req, kind, caller)
        if isinstance(req, ProblemAnswer):
            outcome = outcome_of_refusal(kind, http_req)
            return self._refuse(evolve(req, outcome=outcome), kind)
        span = self._tracer.start_span(
            'entry', http_req.headers.get(TRACEPARENT_HEADER, '')
        )
        try:
            traced_req = evolve(req, trace_parent=traceparent_of(span))
            chunks = self._forwarder.forward(traced_req, unsafe=kind.unsafe)
            async with aclosing(chunks) as open_chunks:
                return await self._send_answer(
                    http_req, kind, req, open_chunks
                )
        finally:
            span.end()

    async def _read_request(
        self, http_req: web.Request, kind: TrafficKind, caller: str
    ) -> Request | ProblemAnswer:
        time_ms = timeout_ms(http_req, kind)
        if time_ms is None:
            reason = f'{TIMEOUT_HEADER} is not a positive whole number'
            return ProblemAnswer(status=400, reason=reason)
        key = http_req.headers.get(KEY_HEADER, '') if kind.unsafe else ''
        if not is_valid_key(key):
            reason = f'{KEY_HEADER} is longer than {MAX_KEY_CHARS} characters'
            return ProblemAnswer(status=400, reason=reason)
        body = await self._read_body(http_req)
        if isinstance(body, ProblemAnswer):
            return body
        now_ms = self.kernel.now_ms()
        return Request(
            request_id=uuid4().hex,
            service=kind.service,
            kind=kind.name,
            caller=caller,
            method=http_req.method,
            path=http_req.raw_path,
            headers=forwarded_headers(http_req),
            body=body,
            key=key,
            deadline_ms=now_ms + time_ms,
            accepted_ms=now_ms,
            digest=request_digest(
                kind.service, http_req.method, http_req.raw_path, body
            ),
        )

    async def _read_body(self, http_req: web.Request) -> bytes | ProblemAnswer:
        if not http_req.can_read_body:
            return b''
        max_bytes = self.kernel.cfg.max_body_bytes
        too_large = ProblemAnswer(
            status=413, reason=f'the body is larger than {max_bytes} bytes'
        )
        if (http_req.content_length or 0) > max_bytes:
            return too_large
        try:
            async with timeout(BODY_TIMEOUT_S) as body_timeout:
                self._body_timeouts.add(body_timeout)
                body = await http_req.read()
        except web.HTTPRequestEntityTooLarge:
            return too_large
        except TimeoutError:
            if self._refuses_requests:
                return NODE_STOPS
            return ProblemAnswer(
                status=408, reason='the body did not come in time'
            )
        finally:
            self._body_timeouts.discard(body_timeout)
        return too_large if len(body) > max_bytes else body

    async def _send_answer(
        self,
        http_req: web.Request,
        kind: TrafficKind,
        req: Request,
        chunks: AsyncGenerator[AnswerChunk, None],
    ) -> web.StreamResponse:
        """Send an answer to the caller.

        A small answer is buffered until it is complete, so that a failure
        can still be reported; a large one is streamed.
        """
        buffered = bytearray()
        head = None
        async for chunk in chunks:
            head = head or chunk.head
            buffered += chunk.data
            if chunk.outcome is not None:
                return self._complete_response(
                    kind, req, head, bytes(buffered), chunk.outcome
                )
            if len(buffered) > self.kernel.cfg.max_answer_hold_bytes:
                break
        if head is None:
            failure = Failed(reason='the answer broke off')
            return self._complete_response(kind, req, None, b'', failure)
        resp = web.StreamResponse(
            status=head.status,
            headers=response_headers(head.headers, req.request_id),
        )
        is_whole = False
        try:
            await resp.prepare(http_req)
            await resp.write(bytes(buffered))
            async for chunk in chunks:
                if chunk.data:
                    await resp.write(chunk.data)
                if chunk.outcome is not None:
                    self._count_outcome(kind, chunk.outcome)
                if isinstance(chunk.outcome, Answered):
                    await resp.write_eof()
                    is_whole = True
                    break
        finally:
            if not is_whole:
                reset_connection(http_req.transport)
        return resp

    def _complete_response(
        self,
        kind: TrafficKind,
        req: Request,
        head: Head | None,
        body: bytes,
        outcome: Outcome,
    ) -> web.Response:
        self._count_outcome(kind, outcome)
        if isinstance(outcome, Answered) and head is not None:
            headers = response_headers(head.headers, req.request_id)
            if head.replayed:
                headers['Carawaylane-Replayed'] = 'true'
            return web.Response(status=head.status, headers=headers, body=body)
        return problem_response(problem_of(outcome), req.request_id)

    def _count_outcome(self, kind: TrafficKind, outcome: Outcome) -> None:
        outcome_name = type(outcome).__name__
        self._metrics.count('requests', kind=kind.name, outcome=outcome_name)

    def _refuse(
        self, refusal: ProblemAnswer, kind: TrafficKind | None = None
    ) -> web.Response:
        kind_name = kind.name if kind else ''
        self._metrics.count('requests', kind=kind_name, outcome='Refused')
        resp = problem_response(refusal, uuid4().hex)
        if self._refuses_requests:
            resp.force_close()
        return resp
