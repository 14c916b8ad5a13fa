"""Exchanges with targets, byte for byte what callers sent.

aiohttp parses the answers; its client session is not used, since it sends
some requests twice when a kept connection breaks, and sets headers of its
own.
"""

from __future__ import annotations

from asyncio import get_running_loop, timeout
from collections import defaultdict
from re import compile as re_compile
from socket import IPPROTO_TCP, TCP_USER_TIMEOUT
from typing import TYPE_CHECKING, Any

from aiohttp import ClientError
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError
from attrs import define, frozen

from carawaylane.kernel.service import Service, service
from carawaylane.messages.outcomes import Headers
from carawaylane.platform.headers import (
    read_response_headers,
    target_request_headers,
)
from carawaylane.services.targets import (
    HOP_BY_HOP_HEADERS,
    BrokenExchange,
    CompleteAnswer,
    NeverSent,
    RefusedByTarget,
)

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop

    from carawaylane.kernel.kernel import Kernel

CONNECT_TIMEOUT_S = 0.3
# Kept connections are used again only well within the time for which the
# target says that it keeps them, and within this without its word.
KEEP_S = 8.0
KEEP_SHARE = 0.7
# An unsafe request that is lost on a stale connection can't be sent again.
KEEP_UNSAFE_S = 5.0
MAX_KEPT = 8
# Bytes unacknowledged for this long mean that the path is dead.
USER_TIMEOUT_MS = 5000
LINE_BYTES = 65536
_KEEP_ALIVE = re_compile(r'timeout=(\d+)')
READ_ERRORS = (ClientError, HttpProcessingError, OSError, ValueError)

Exchange = CompleteAnswer | NeverSent | RefusedByTarget | BrokenExchange


@frozen(kw_only=True)
class Outgoing:
    """A request for a target."""

    method: str
    path: str
    headers: Headers
    body: bytes
    request_id: str
    idempotent: bool


class _Handler(ResponseHandler):
    """An answer that ends by a reset is not taken for a whole one."""

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(exc)
        super().connection_lost(exc)


@define(kw_only=True, eq=False)
class _Conn:
    proto: _Handler
    transport: Any
    idle_s: float = 0.0
    keep_s: float = KEEP_S

    def usable(self, now_s: float, idempotent: bool) -> bool:
        """Return whether one more request may be sent here."""
        if self.proto.should_close or not self.proto.is_connected():
            return False
        keep_s = self.keep_s if idempotent else min(self.keep_s, KEEP_UNSAFE_S)
        return now_s - self.idle_s < keep_s


@service('exchanges')
class Exchanges(Service):
    """Owns the connections to targets."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._kept: dict[str, list[_Conn]] = defaultdict(list)
        self.connections_opened = 0

    async def stop(self) -> None:
        """Close the connections."""
        await super().stop()
        for conns in self._kept.values():
            for conn in conns:
                conn.transport.abort()

    async def exchange(
        self, target: str, address: str, out: Outgoing, left_s: float
    ) -> Exchange:
        """Send a request to a target and return what came of it.

        Cancelling it closes the connection, so that the target stops.
        """
        now_s = self.kernel.now_s()
        conn = self._take(address, now_s, out.idempotent)
        if conn is None:
            try:
                async with timeout(min(CONNECT_TIMEOUT_S, left_s)):
                    conn = await self._open(address)
            except (TimeoutError, OSError) as exc:
                return NeverSent(reason=type(exc).__name__)
        left_s -= self.kernel.now_s() - now_s
        done = False
        try:
            async with timeout(left_s):
                found = await self._run(conn, target, out, left_s)
            done = not isinstance(found, BrokenExchange)
            return found
        except TimeoutError:
            return BrokenExchange(reason='no answer in time', timed_out=True)
        finally:
            if done and not conn.proto.should_close:
                self._keep(address, conn)
            else:
                conn.transport.abort()

    async def _open(self, address: str) -> _Conn:
        loop: AbstractEventLoop = get_running_loop()
        host, _, port = address.rpartition(':')
        self.connections_opened += 1
        transport, proto = await loop.create_connection(
            lambda: _Handler(loop), host, int(port)
        )
        sock = transport.get_extra_info('socket')
        sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        return _Conn(proto=proto, transport=transport)

    def _take(
        self, address: str, now_s: float, idempotent: bool
    ) -> _Conn | None:
        conns = self._kept[address]
        while conns:
            conn = conns.pop()
            if conn.usable(now_s, idempotent):
                return conn
            conn.transport.abort()
        return None

    def _keep(self, address: str, conn: _Conn) -> None:
        conn.idle_s = self.kernel.now_s()
        conns = self._kept[address]
        conns.append(conn)
        if len(conns) > MAX_KEPT:
            conns.pop(0).transport.abort()

    async def _run(
        self, conn: _Conn, target: str, out: Outgoing, left_s: float
    ) -> Exchange:
        conn.proto.set_response_params(
            skip_payload=out.method == 'HEAD',
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=LINE_BYTES,
            max_field_size=LINE_BYTES,
        )
        conn.transport.write(_head(out, target, left_s) + out.body)
        try:
            message, payload = await conn.proto.read()
            while 100 <= message.code < 200:
                message, payload = await conn.proto.read()
            body = await payload.read()
        except READ_ERRORS as exc:
            return BrokenExchange(reason=type(exc).__name__)
        if message.should_close:
            conn.proto.force_close()
        _limit_keep(conn, message.headers.get('Keep-Alive', ''))
        return _judge(message, body, out)


def _judge(message: Any, body: bytes, out: Outgoing) -> Exchange:
    says = read_response_headers(message.code, message.headers)
    if says.request_id and says.request_id != out.request_id:
        return BrokenExchange(
            reason='an answer to another request', mismatched=True
        )
    if says.not_run:
        return RefusedByTarget(
            leaving=False, deadline_passed=False, misdirected=says.misdirected
        )
    if not says.request_id or 'Content-Encoding' in message.headers:
        return BrokenExchange(
            reason='not an answer of the target', mismatched=True
        )
    return CompleteAnswer(
        status=message.code, headers=_kept_headers(message), body=body
    )


def _head(out: Outgoing, target: str, left_s: float) -> bytes:
    """Return the head of the request; the path is sent as it came."""
    lines = [f'{out.method} {out.path} HTTP/1.1']
    lines += [
        f'{name}: {value}'
        for name, value in out.headers
        if name.lower() == 'host' or name.lower() not in HOP_BY_HOP_HEADERS
    ]
    lines += [
        f'{name}: {value}'
        for name, value in target_request_headers(left_s, target)
    ]
    if out.body or out.method not in ('GET', 'HEAD', 'OPTIONS', 'DELETE'):
        lines.append(f'Content-Length: {len(out.body)}')
    text = '\r\n'.join(lines) + '\r\n\r\n'
    return text.encode('utf-8', 'surrogateescape')


def _kept_headers(message: Any) -> Headers:
    named = message.headers.get('Connection', '').lower()
    dropped = {each.strip() for each in named.split(',')}
    return tuple(
        (name, value)
        for name, value in message.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in dropped
    )


def _limit_keep(conn: _Conn, text: str) -> None:
    found = _KEEP_ALIVE.search(text)
    if found is not None:
        conn.keep_s = min(KEEP_S, KEEP_SHARE * int(found.group(1)))
