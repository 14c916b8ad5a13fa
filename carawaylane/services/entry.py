"""The socket that callers connect to."""

from __future__ import annotations

from asyncio import sleep, timeout
from collections import Counter
from contextlib import aclosing
from math import ceil
from typing import TYPE_CHECKING
from uuid import uuid4

from aiohttp import web
from attrs import evolve, frozen

from carawaylane.decisions.ownership import generate_key
from carawaylane.decisions.quarantine import request_digest
from carawaylane.decisions.routing import request_labels
from carawaylane.kernel.service import Service, service
from carawaylane.messages.exchange import Head, Piece, Request
from carawaylane.messages.outcomes import (
    Answered,
    Failed,
    Moved,
    NotRun,
    Outcome,
    Unknown,
)
from carawaylane.services.targets import HOP_BY_HOP_HEADERS
from carawaylane.telemetry.traces import TRACEPARENT_HEADER, traceparent_of

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from carawaylane.config.schema import TrafficKind
    from carawaylane.kernel.kernel import Kernel

CALLER_HEADER = 'X-Caller'
LABELS_HEADER = 'X-Labels'
TIMEOUT_HEADER = 'X-Timeout-Ms'
KEY_HEADER = 'Idempotency-Key'
OUTCOME_HEADER = 'Carawaylane-Outcome'
OWN_PREFIX = '/.well-known/carawaylane/'
MAX_KEY_CHARS = 200
DRAIN_POLL_S = 0.02
BODY_TIMEOUT_S = 30.0
PROBLEM_TYPE = 'application/problem+json'
# Headers that the fleet sets itself and does not take from callers.
OWN_HEADERS = frozenset(
    {
        'x-request-id',
        'x-deadline',
        'idempotency-key',
        'x-timeout-ms',
        'traceparent',
        'x-caller',
        'expect',
    }
)


@frozen(kw_only=True)
class Refusal:
    """A request that is answered before it is forwarded."""

    status: int
    reason: str
    retry_after_ms: int = 0
    outcome: str = 'not-run'


@service('entry')
class Entry(Service):
    """Accepts callers' requests, one task for each."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._in_flight = 0
        self._by_caller: Counter[tuple[str, str]] = Counter()

    async def start(self) -> None:
        """Open the socket."""
        self._forwarder = self.kernel.find('forwarder')
        self._catalogue = self.kernel.find('catalogue')
        self._metrics = self.kernel.find('telemetry').metrics
        self._tracer = self.kernel.find('telemetry').tracer
        app = web.Application(
            client_max_size=self.kernel.cfg.max_body_bytes + 1
        )
        app.router.add_get(OWN_PREFIX + 'ready', self._ready_page)
        app.router.add_post(OWN_PREFIX + 'keys', self._mint_page)
        app.router.add_route('*', '/{tail:.*}', self._handle)
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True
        )
        await self._runner.setup()
        host, _, port = self.kernel.cfg.listen.rpartition(':')
        self._site = web.TCPSite(self._runner, host, int(port))
        await self._site.start()

    async def drain(self) -> None:
        """Let the balancer notice, then finish what is in flight."""
        await sleep(self.kernel.cfg.drain_grace_ms / 1000)
        if self._site is not None:
            await self._site.stop()
        while self._in_flight:
            await sleep(DRAIN_POLL_S)

    async def stop(self) -> None:
        """Close the socket."""
        await super().stop()
        if self._runner is not None:
            await self._runner.cleanup()

    def ready(self) -> bool:
        """Return whether the balancer should send callers here."""
        return (
            not self.kernel.draining
            and self.kernel.find('watcher').logs_loaded
            and bool(self.kernel.find('relay').fleet.members)
        )

    async def _ready_page(self, req: web.Request) -> web.Response:
        ready = self.ready()
        return web.json_response(
            {'ready': ready}, status=200 if ready else 503
        )

    async def _mint_page(self, req: web.Request) -> web.Response:
        name = req.query.get('service', '')
        spec = self._catalogue.config.services.get(name)
        if spec is None:
            reason = f'no service is named {name!r}'
            return self._refuse(Refusal(status=404, reason=reason))
        homes = self.kernel.find('homes')
        down = self.kernel.find('membership').down_members()
        owned = [
            (number, held)
            for number in range(spec.shards)
            if (held := homes.newest_holding((name, number))) is not None
            and held.owner not in down
        ]
        if not owned:
            reason = 'no shard of the service has a live owner'
            return self._refuse(
                Refusal(status=503, reason=reason, retry_after_ms=1000)
            )
        number, held = self.kernel.rng.choice(owned)
        key = generate_key((name, number), held.epoch, uuid4().hex)
        return web.json_response({'key': key}, status=201)

    async def _handle(self, req: web.Request) -> web.StreamResponse:
        began_s = self.kernel.now_s()
        caller = req.headers.get(CALLER_HEADER) or req.remote or ''
        kind = self._kind(req, caller)
        if kind is None:
            reason = 'no traffic kind matches the request'
            return self._refuse(Refusal(status=404, reason=reason))
        refusal = self._over_limits(kind, caller, req)
        if refusal is not None:
            return self._refuse(refusal, kind)
        place = (kind.name, caller)
        self._in_flight += 1
        self._by_caller[place] += 1
        try:
            return await self._serve(req, kind, caller)
        finally:
            self._in_flight -= 1
            self._by_caller[place] -= 1
            if not self._by_caller[place]:
                del self._by_caller[place]
            self._metrics.observe_duration(
                'request', self.kernel.now_s() - began_s
            )

    def _kind(self, req: web.Request, caller: str) -> TrafficKind | None:
        labels = request_labels(
            method=req.method,
            path=req.path,
            host=req.host,
            caller=caller,
            labels_header=req.headers.get(LABELS_HEADER, ''),
        )
        return self._catalogue.config.traffic_kinds.find(labels)

    def _over_limits(
        self, kind: TrafficKind, caller: str, req: web.Request
    ) -> Refusal | None:
        outcome = _outcome_of_refusal(kind, req)
        if self._in_flight >= self.kernel.cfg.max_in_flight:
            return Refusal(
                status=503,
                reason='this entry is full; this attempt did not run',
                retry_after_ms=200,
                outcome=outcome,
            )
        open_now = self._by_caller[(kind.name, caller)]
        if kind.per_caller and open_now >= kind.per_caller:
            return Refusal(
                status=429,
                reason='too many requests at once of this caller; '
                'this attempt did not run',
                retry_after_ms=200,
                outcome=outcome,
            )
        return None

    async def _serve(
        self, http: web.Request, kind: TrafficKind, caller: str
    ) -> web.StreamResponse:
        made = await self._request(http, kind, caller)
        if isinstance(made, Refusal):
            outcome = _outcome_of_refusal(kind, http)
            return self._refuse(evolve(made, outcome=outcome), kind)
        span = self._tracer.start_span(
            'entry', http.headers.get(TRACEPARENT_HEADER, '')
        )
        try:
            with_span = evolve(made, trace_parent=traceparent_of(span))
            pieces = self._forwarder.forward(with_span, unsafe=kind.unsafe)
            async with aclosing(pieces) as open_pieces:
                return await self._answer(http, kind, made, open_pieces)
        finally:
            span.end()

    async def _request(
        self, http: web.Request, kind: TrafficKind, caller: str
    ) -> Request | Refusal:
        timeout_ms = _timeout_ms(http, kind)
        if timeout_ms is None:
            reason = f'{TIMEOUT_HEADER} is not a positive whole number'
            return Refusal(status=400, reason=reason)
        key = http.headers.get(KEY_HEADER, '') if kind.unsafe else ''
        if not _usable(key):
            reason = f'{KEY_HEADER} is longer than {MAX_KEY_CHARS} characters'
            return Refusal(status=400, reason=reason)
        body = await self._body(http)
        if isinstance(body, Refusal):
            return body
        now_ms = self.kernel.now_ms()
        return Request(
            request_id=uuid4().hex,
            service=kind.service,
            kind=kind.name,
            caller=caller,
            method=http.method,
            path=http.raw_path,
            headers=_headers(http),
            body=body,
            key=key,
            deadline_ms=now_ms + timeout_ms,
            accepted_ms=now_ms,
            digest=request_digest(
                kind.service, http.method, http.raw_path, body
            ),
        )

    async def _body(self, http: web.Request) -> bytes | Refusal:
        if not http.can_read_body:
            return b''
        limit = self.kernel.cfg.max_body_bytes
        too_large = Refusal(
            status=413, reason=f'the body is larger than {limit} bytes'
        )
        if (http.content_length or 0) > limit:
            return too_large
        try:
            async with timeout(BODY_TIMEOUT_S):
                body = await http.read()
        except web.HTTPRequestEntityTooLarge:
            return too_large
        except TimeoutError:
            return Refusal(status=408, reason='the body did not come in time')
        return too_large if len(body) > limit else body

    async def _answer(
        self,
        http: web.Request,
        kind: TrafficKind,
        req: Request,
        pieces: AsyncGenerator[Piece, None],
    ) -> web.StreamResponse:
        """Hold a small answer until it is whole; stream a large one."""
        held = bytearray()
        head = None
        async for piece in pieces:
            head = head or piece.head
            held += piece.data
            if piece.end is not None:
                return self._finish(kind, req, head, bytes(held), piece.end)
            if len(held) > self.kernel.cfg.max_answer_hold_bytes:
                break
        if head is None:
            lost = Failed(reason='the answer broke off')
            return self._finish(kind, req, None, b'', lost)
        resp = web.StreamResponse(
            status=head.status, headers=_response_headers(head.headers, req)
        )
        await resp.prepare(http)
        await resp.write(bytes(held))
        async for piece in pieces:
            if piece.data:
                await resp.write(piece.data)
            if isinstance(piece.end, Answered):
                self._count(kind, piece.end)
                await resp.write_eof()
                return resp
            if piece.end is not None:
                self._count(kind, piece.end)
        # The caller must see that the answer is not whole.
        if http.transport is not None:
            http.transport.abort()
        return resp

    def _finish(
        self,
        kind: TrafficKind,
        req: Request,
        head: Head | None,
        body: bytes,
        end: Outcome,
    ) -> web.Response:
        self._count(kind, end)
        if isinstance(end, Answered) and head is not None:
            headers = _response_headers(head.headers, req)
            if head.replayed:
                headers['Carawaylane-Replayed'] = 'true'
            return web.Response(status=head.status, headers=headers, body=body)
        return self._problem(_refusal_of(end), req.request_id)

    def _count(self, kind: TrafficKind, end: Outcome) -> None:
        outcome = type(end).__name__
        self._metrics.count('requests', kind=kind.name, outcome=outcome)

    def _refuse(
        self, refusal: Refusal, kind: TrafficKind | None = None
    ) -> web.Response:
        name = kind.name if kind else ''
        self._metrics.count('requests', kind=name, outcome='Refused')
        return self._problem(refusal, uuid4().hex)

    def _problem(self, refusal: Refusal, request_id: str) -> web.Response:
        row = {
            'type': f'urn:carawaylane:{refusal.outcome}',
            'title': refusal.outcome,
            'status': refusal.status,
            'detail': refusal.reason,
            'outcome': refusal.outcome,
            'request_id': request_id,
        }
        headers = {
            OUTCOME_HEADER: refusal.outcome,
            'X-Request-Id': request_id,
        }
        if refusal.retry_after_ms > 0:
            row['retry_after_ms'] = refusal.retry_after_ms
            headers['Retry-After'] = str(ceil(refusal.retry_after_ms / 1000))
        return web.json_response(
            row,
            status=refusal.status,
            headers=headers,
            content_type=PROBLEM_TYPE,
        )


def _usable(key: str) -> bool:
    return len(key) <= MAX_KEY_CHARS and key.isprintable()


def _outcome_of_refusal(kind: TrafficKind, http: web.Request) -> str:
    """Return what a refusal by the entry says of the caller's request.

    An earlier attempt under the same key may have run.
    """
    key = http.headers.get(KEY_HEADER, '')
    keyed = kind.unsafe and key != '' and _usable(key)
    return 'unknown' if keyed else 'not-run'


def _refusal_of(end: Outcome) -> Refusal:
    match end:
        case NotRun():
            return Refusal(
                status=end.status,
                reason=end.reason,
                retry_after_ms=end.retry_after_ms,
            )
        case Unknown():
            return Refusal(
                status=504,
                reason=end.reason,
                retry_after_ms=end.retry_after_ms,
                outcome='unknown',
            )
        case Failed():
            return Refusal(
                status=502,
                reason=end.reason,
                retry_after_ms=end.retry_after_ms,
                outcome='failed',
            )
        case Moved() | _:
            return Refusal(
                status=504,
                reason='the owner of the key moved; this attempt did not run',
                retry_after_ms=1000,
                outcome='unknown',
            )


def _timeout_ms(http: web.Request, kind: TrafficKind) -> int | None:
    text = http.headers.get(TIMEOUT_HEADER)
    if text is None:
        return kind.timeout_ms
    if not text.isdecimal() or int(text) <= 0:
        return None
    return min(int(text), kind.timeout_ms)


def _headers(http: web.Request) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in http.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in OWN_HEADERS
    )


def _response_headers(
    headers: tuple[tuple[str, str], ...], req: Request
) -> dict[str, str]:
    kept = {
        name: value
        for name, value in headers
        if name.lower() not in ('x-request-id', 'date', 'server')
    }
    kept['X-Request-Id'] = req.request_id
    return kept
