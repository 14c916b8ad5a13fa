"""Exchanges with targets over HTTP."""

from __future__ import annotations

from asyncio import open_connection, timeout
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    DummyCookieJar,
    TCPConnector,
)
from attrs import frozen
from multidict import CIMultiDict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from carawaylane.messages.exchange import Request
    from carawaylane.messages.outcomes import Headers

CONNECT_TIMEOUT_S = 0.5
ALIVE_TIMEOUT_S = 0.3
# A target that keeps an idle connection this long is alive.
KEPT_FOR_S = 0.1
KEEPALIVE_S = 15.0
READ_BYTES = 65536
REQUEST_ID_HEADER = 'X-Request-Id'
DEADLINE_HEADER = 'X-Deadline'
LEAVING_HEADER = 'X-Leaving'
HOP_BY_HOP_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'content-encoding',
        'host',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


@dataclass(frozen=True, kw_only=True, slots=True)
class CompleteAnswer:
    """A whole answer that was held."""

    status: int
    headers: Headers
    body: bytes


@dataclass(kw_only=True, slots=True)
class StreamedAnswer:
    """The start of an answer that is too large to hold."""

    status: int
    headers: Headers
    body: bytes
    rest: AsyncIterator[bytes]


@dataclass(frozen=True, kw_only=True, slots=True)
class NeverSent:
    """No byte of the request left: it did not run."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusedByTarget:
    """It did not run, and that says nothing bad about the target."""

    leaving: bool
    deadline_passed: bool
    # Another target has the address now.
    misdirected: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class BrokenExchange:
    """The exchange broke off: the request may have run."""

    reason: str
    mismatched: bool = False
    timed_out: bool = False


Exchange = (
    CompleteAnswer
    | StreamedAnswer
    | NeverSent
    | RefusedByTarget
    | BrokenExchange
)


class TruncatedError(Exception):
    """An answer ended before its end."""


@frozen(kw_only=True)
class ExchangeRules:
    """What an exchange must keep to.

    The timeout is for the head of the answer; after it, the body may not
    pause longer than `idle_s`.
    """

    timeout_s: float
    idle_s: float
    echoes_request_id: bool
    not_run_header: str
    hold_bytes: int


class TargetClient:
    """Connections to one target.

    Idempotent requests reuse connections. An unsafe one gets its own, so
    that neither a silent connection nor a library's resend can touch it.
    """

    def __init__(self, *, address: str) -> None:
        self.address = address
        self._pooled: ClientSession | None = None
        self._single: ClientSession | None = None
        self._retired: list[ClientSession] = []
        self._busy: Counter[ClientSession] = Counter()

    async def close(self) -> None:
        """Close the connections."""
        for session in (self._pooled, self._single, *self._retired):
            if session is not None:
                await session.close()

    async def drop_pool(self) -> None:
        """Give up idle connections, which may have gone silent."""
        if self._pooled is not None:
            self._retired.append(self._pooled)
            self._pooled = None
        idle = [each for each in self._retired if not self._busy[each]]
        for session in idle:
            self._retired.remove(session)
            await session.close()

    async def alive(self) -> bool:
        """Return whether the target takes connections and keeps them.

        A dying process may still take one that nobody will serve: it is
        reset once the process is gone.
        """
        host, _, port = self.address.rpartition(':')
        try:
            async with timeout(ALIVE_TIMEOUT_S):
                reader, writer = await open_connection(host, int(port))
        except OSError:
            return False
        try:
            async with timeout(KEPT_FOR_S):
                return bool(await reader.read(1))
        except TimeoutError:
            return True
        except OSError:
            return False
        finally:
            writer.close()

    async def exchange(
        self, req: Request, rules: ExchangeRules, *, unsafe: bool
    ) -> Exchange:
        """Send a request once and return how it went."""
        session = self._session(unsafe)
        self._busy[session] += 1
        try:
            return await self._exchange(session, req, rules)
        finally:
            self._busy[session] -= 1

    async def _exchange(
        self, session: ClientSession, req: Request, rules: ExchangeRules
    ) -> Exchange:
        limit = ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=rules.idle_s,
        )
        try:
            async with timeout(rules.timeout_s):
                resp = await session.request(
                    req.method,
                    f'http://{self.address}{req.path}',
                    headers=_outgoing(req),
                    data=req.body or None,
                    timeout=limit,
                    allow_redirects=False,
                )
        except (ClientConnectorError, ConnectionTimeoutError) as exc:
            return NeverSent(reason=type(exc).__name__)
        except TimeoutError:
            return BrokenExchange(reason='timed out', timed_out=True)
        except (ClientError, OSError, ValueError) as exc:
            return BrokenExchange(reason=type(exc).__name__)
        return await self._receive(req, resp, rules)

    async def probe(self, path: str, timeout_s: float) -> bool:
        """Return whether the target's health page says it is well."""
        session = self._session(unsafe=False)
        limit = ClientTimeout(total=timeout_s)
        try:
            async with session.get(
                f'http://{self.address}{path}', timeout=limit
            ) as resp:
                return resp.status < 400
        except (TimeoutError, ClientError, OSError):
            return False

    def _session(self, unsafe: bool) -> ClientSession:
        if unsafe:
            if self._single is None:
                self._single = _new_session(single=True)
            return self._single
        if self._pooled is None:
            self._pooled = _new_session(single=False)
        return self._pooled

    async def _receive(
        self, req: Request, resp: ClientResponse, rules: ExchangeRules
    ) -> Exchange:
        if rules.not_run_header in resp.headers:
            resp.release()
            return RefusedByTarget(
                leaving=LEAVING_HEADER in resp.headers,
                deadline_passed=resp.status == 504,
            )
        echoed = resp.headers.get(REQUEST_ID_HEADER)
        if rules.echoes_request_id and echoed != req.request_id:
            resp.close()
            if resp.status >= 500 and echoed is None:
                return CompleteAnswer(status=resp.status, headers=(), body=b'')
            return BrokenExchange(
                reason='an answer to another request', mismatched=True
            )
        return await self._read(resp, rules)

    async def _read(
        self, resp: ClientResponse, rules: ExchangeRules
    ) -> Exchange:
        rest = _chunks(resp)
        held = bytearray()
        try:
            async for data in rest:
                held += data
                if len(held) > rules.hold_bytes:
                    return StreamedAnswer(
                        status=resp.status,
                        headers=_incoming(resp),
                        body=bytes(held),
                        rest=rest,
                    )
        except TruncatedError as exc:
            return BrokenExchange(reason=f'truncated: {exc}')
        return CompleteAnswer(
            status=resp.status, headers=_incoming(resp), body=bytes(held)
        )


def _new_session(*, single: bool) -> ClientSession:
    if single:
        connector = TCPConnector(limit=0, force_close=True)
    else:
        connector = TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S)
    return ClientSession(
        connector=connector,
        cookie_jar=DummyCookieJar(),
        auto_decompress=False,
    )


async def _chunks(resp: ClientResponse) -> AsyncIterator[bytes]:
    whole = False
    try:
        async for data in resp.content.iter_chunked(READ_BYTES):
            yield data
        whole = True
    except (TimeoutError, ClientError, OSError) as exc:
        raise TruncatedError(type(exc).__name__) from exc
    finally:
        # A connection whose exchange was cut short is never reused.
        if whole:
            with suppress(ClientError):
                resp.release()
        else:
            resp.close()


def _outgoing(req: Request) -> CIMultiDict[str]:
    headers = CIMultiDict(
        (name, value)
        for name, value in req.headers
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
    headers[REQUEST_ID_HEADER] = req.request_id
    headers[DEADLINE_HEADER] = str(req.deadline_ms)
    headers['X-Caller'] = req.caller
    if req.key:
        headers['Idempotency-Key'] = req.key
    if req.trace_parent:
        headers['traceparent'] = req.trace_parent
    return headers


def _incoming(resp: ClientResponse) -> Headers:
    kept = [
        (name, value)
        for name, value in resp.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
        or name.lower() == 'content-encoding'
    ]
    return tuple(kept)
