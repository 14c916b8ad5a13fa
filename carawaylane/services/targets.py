"""HTTP client for targets, and the results of an exchange with one."""

from __future__ import annotations

from asyncio import open_connection, timeout
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import suppress
from typing import TYPE_CHECKING

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)
from attrs import define, frozen

from carawaylane.gateway.small_reads import READ_BYTES
from carawaylane.gateway.streamed_answers import AnswerStream
from carawaylane.kernel.addresses import (
    InvalidAddressError,
    split_host_port,
)
from carawaylane.kernel.timeouts import ReplyTimeout
from carawaylane.messages.outcomes import (
    NO_BACKPRESSURE,
    Backpressure,
    Headers,
)
from carawaylane.services.target_headers import (
    REQUEST_ID_HEADER,
    answer_headers,
    target_headers,
)
from carawaylane.services.target_sessions import new_session

if TYPE_CHECKING:
    from carawaylane.messages.exchange import Request

CONNECT_TIMEOUT_S = 0.5
LIVENESS_CONNECT_TIMEOUT_S = 0.3
# A target that keeps a new connection open for this long counts as alive.
LIVENESS_OPEN_S = 0.1
# Ids of refused requests that are kept for a pool, which bounds their memory.
MAX_REFUSED_IDS = 500
MIN_ERROR_STATUS = 400
LEAVING_HEADER = 'X-Leaving'


@frozen(kw_only=True, repr=False)
class CompleteAnswer:
    """A complete answer, read into memory."""

    status: int
    headers: Headers
    body: bytes
    backpressure: Backpressure = NO_BACKPRESSURE
    # The body of a large answer of which only a part is read so far.
    stream: AnswerStream | None = None


@define(kw_only=True, repr=False)
class StreamedAnswer:
    """An answer too large to buffer.

    `body` is what has been read of it, `rest` yields what follows.
    """

    status: int
    headers: Headers
    body: bytes
    rest: AsyncIterator[bytes]


@frozen(kw_only=True, repr=False)
class NeverSent:
    """No byte of the request was sent, so it did not run.

    `own_path` is set if the way to the target failed, not the target,
    `withheld` if the target asked for no requests.
    """

    reason: str
    own_path: bool = False
    withheld: bool = False


@frozen(kw_only=True, repr=False)
class RefusedByTarget:
    """The target refused the request without running it.

    This does not count as a failure of the target. `leaving` is set if the
    target announced that it is shutting down, `deadline_passed` if the
    request came after its deadline, `misdirected` if another target now has
    the address.
    """

    leaving: bool
    deadline_passed: bool
    misdirected: bool = False
    backpressure: Backpressure = NO_BACKPRESSURE


@frozen(kw_only=True, repr=False)
class BrokenExchange:
    """The exchange failed after sending began: the request may have run.

    `mismatched` is set if an answer came that can't be taken for that of the
    request, `own_path` if the way to the target failed, not the target.
    """

    reason: str
    mismatched: bool = False
    timed_out: bool = False
    own_path: bool = False
    backpressure: Backpressure = NO_BACKPRESSURE


ExchangeResult = (
    CompleteAnswer
    | StreamedAnswer
    | NeverSent
    | RefusedByTarget
    | BrokenExchange
)


class TruncatedError(Exception):
    """The connection failed before the answer was complete."""


@frozen(kw_only=True, repr=False)
class ExchangeOptions:
    """Timeouts of an exchange and how its answer is read.

    `head_timeout_s` limits the time until the answer is complete or begins to
    be streamed, `read_timeout_s` each wait for data. A body larger than
    `max_buffered_bytes` is streamed. If `echoes_request_id` is set, an answer
    must carry the id of the request. A target sets `not_run_header` in its
    answer if it has not run the request, and `seal_header`, unless it is
    empty, in each success.
    """

    head_timeout_s: float
    read_timeout_s: float
    echoes_request_id: bool
    not_run_header: str
    max_buffered_bytes: int
    seal_header: str = ''


class TargetClient:
    """HTTP connections to one target.

    Idempotent requests share a pool of connections. An unsafe request gets a
    new connection: a stale one might lose the request after it was sent, and
    aiohttp might then send it again. So does a retry, since an answer to the
    first attempt that comes again bears the id of the retry, too, and a
    request that was refused here when it ran at another home.
    """

    def __init__(self, *, address: str) -> None:
        self.address = address
        self._pooled: ClientSession | None = None
        self._unpooled: ClientSession | None = None
        # Former pools, each closed when no exchange uses it any more.
        self._retired: list[ClientSession] = []
        self._open_exchanges: Counter[ClientSession] = Counter()
        # Requests that were refused on a connection of the pool.
        self._refused_ids: set[str] = set()

    async def close(self) -> None:
        """Close the connections."""
        for session in (self._pooled, self._unpooled, *self._retired):
            if session is not None:
                await session.close()

    async def drop_pool(self) -> None:
        """Stop reusing the connections made so far, as they may be stale.

        Exchanges that are using them continue.
        """
        if self._pooled is not None:
            self._retired.append(self._pooled)
            self._pooled = None
            self._refused_ids.clear()
        idle = [
            session
            for session in self._retired
            if not self._open_exchanges[session]
        ]
        for session in idle:
            self._retired.remove(session)
            await session.close()

    async def is_alive(self) -> bool:
        """Return whether the target accepts a connection and keeps it open.

        The host may still accept a connection for a process that is dying;
        it resets the connection once the process is gone.
        """
        try:
            host, port = split_host_port(self.address)
            async with ReplyTimeout(LIVENESS_CONNECT_TIMEOUT_S):
                reader, writer = await open_connection(host, port)
        except OSError:
            return False
        try:
            async with timeout(LIVENESS_OPEN_S):
                return bool(await reader.read(1))
        except TimeoutError:
            return True
        except OSError:
            return False
        finally:
            writer.close()

    async def exchange(
        self, req: Request, options: ExchangeOptions, *, new_connection: bool
    ) -> ExchangeResult:
        """Send a request once; return its answer or why there is none."""
        session = self._session(
            new_connection or req.request_id in self._refused_ids
        )
        self._open_exchanges[session] += 1
        try:
            result = await self._exchange(session, req, options)
        finally:
            self._open_exchanges[session] -= 1
        if isinstance(result, RefusedByTarget) and session is self._pooled:
            self._refused_ids.add(req.request_id)
            if len(self._refused_ids) > MAX_REFUSED_IDS:
                await self.drop_pool()
        return result

    async def _exchange(
        self, session: ClientSession, req: Request, options: ExchangeOptions
    ) -> ExchangeResult:
        timeouts = ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=options.read_timeout_s,
        )
        try:
            split_host_port(self.address)
        except InvalidAddressError as exc:
            return NeverSent(reason=type(exc).__name__)
        try:
            async with ReplyTimeout(options.head_timeout_s):
                resp = await session.request(
                    req.method,
                    f'http://{self.address}{req.path}',
                    headers=target_headers(req),
                    data=req.body or None,
                    timeout=timeouts,
                    allow_redirects=False,
                )
                return await self._read_response(req, resp, options)
        except (ClientConnectorError, ConnectionTimeoutError) as exc:
            return NeverSent(reason=type(exc).__name__)
        except TimeoutError:
            return BrokenExchange(reason='timed out', timed_out=True)
        except (ClientError, OSError, ValueError) as exc:
            return BrokenExchange(reason=type(exc).__name__)

    async def probe(self, path: str, timeout_s: float) -> bool:
        """Return whether the health page answers with a status below 400.

        Answers to probes bear no id, so one that came again could be taken
        for another answer on a shared connection, or another one for it.
        """
        session = self._session(new_connection=True)
        timeouts = ClientTimeout(total=timeout_s)
        try:
            split_host_port(self.address)
            async with session.get(
                f'http://{self.address}{path}', timeout=timeouts
            ) as resp:
                return resp.status < MIN_ERROR_STATUS
        except (TimeoutError, ClientError, OSError):
            return False

    def _session(self, new_connection: bool) -> ClientSession:
        if new_connection:
            if self._unpooled is None:
                self._unpooled = new_session(force_close=True)
                # aiohttp has no public option against its own resending of
                # PUT and DELETE.
                self._unpooled._retry_connection = False
            return self._unpooled
        if self._pooled is None:
            self._pooled = new_session(force_close=False)
        return self._pooled

    async def _read_response(
        self, req: Request, resp: ClientResponse, options: ExchangeOptions
    ) -> ExchangeResult:
        answered_ids = resp.headers.getall(REQUEST_ID_HEADER, [])
        names_request = set(answered_ids) == {req.request_id}
        if options.not_run_header in resp.headers:
            resp.release()
            if resp.status < MIN_ERROR_STATUS or (
                options.echoes_request_id and not names_request
            ):
                return BrokenExchange(
                    reason='a refusal of another request', mismatched=True
                )
            return RefusedByTarget(
                leaving=LEAVING_HEADER in resp.headers,
                deadline_passed=resp.status == 504,
            )
        if options.echoes_request_id and not names_request:
            resp.close()
            # A server error without an id is passed on without its content,
            # which may belong to another request.
            if resp.status >= 500 and not answered_ids:
                return CompleteAnswer(status=resp.status, headers=(), body=b'')
            return BrokenExchange(
                reason='an answer to another request', mismatched=True
            )
        if _lacks_seal(resp, options.seal_header):
            resp.close()
            return BrokenExchange(
                reason='a success without a seal', mismatched=True
            )
        return await self._read_body(resp, options)

    async def _read_body(
        self, resp: ClientResponse, options: ExchangeOptions
    ) -> ExchangeResult:
        rest = _body_chunks(resp)
        buffered = bytearray()
        try:
            async for data in rest:
                buffered += data
                if len(buffered) > options.max_buffered_bytes:
                    return StreamedAnswer(
                        status=resp.status,
                        headers=answer_headers(resp),
                        body=bytes(buffered),
                        rest=rest,
                    )
        except TruncatedError as exc:
            return BrokenExchange(reason=f'truncated: {exc}')
        return CompleteAnswer(
            status=resp.status,
            headers=answer_headers(resp),
            body=bytes(buffered),
        )


def _lacks_seal(resp: ClientResponse, seal_header: str) -> bool:
    """Return whether an answer is a success that its target did not seal."""
    return (
        bool(seal_header)
        and 200 <= resp.status < 300
        and not any(resp.headers.getall(seal_header, ()))
    )


async def _body_chunks(resp: ClientResponse) -> AsyncIterator[bytes]:
    complete = False
    try:
        async for data in resp.content.iter_chunked(READ_BYTES):
            yield data
        complete = True
    except (TimeoutError, ClientError, OSError) as exc:
        raise TruncatedError(type(exc).__name__) from exc
    finally:
        # If the answer is incomplete, the connection must not be reused.
        if complete:
            with suppress(ClientError):
                resp.release()
        else:
            resp.close()
