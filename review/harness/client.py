"""Client of a front address that sends requests one after the other."""

from __future__ import annotations

from asyncio import (
    IncompleteReadError,
    LimitOverrunError,
    StreamReader,
    StreamWriter,
    open_connection,
    timeout,
)
from contextlib import suppress
from itertools import count
from time import monotonic

from attrs import define, frozen

from review.harness.record import Record
from review.harness.upstream import answer_body, seal_of

CONNECT_TIMEOUT_S = 1.0
# A client waits this much longer than the deadline that it states.
DEADLINE_SLACK_S = 1.0
_numbers = count(1)


@frozen(kw_only=True)
class Answer:
    """How a request of a client ended.

    `status` is 0 if the connection ended without a complete answer, -1 if
    there was none in time, and -2 if no connection could be opened.
    """

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    sent_at_s: float
    ended_at_s: float

    @property
    def is_sealed(self) -> bool:
        """Whether it has the body that the upstream sealed."""
        return self.headers.get('response-seal') == seal_of(self.body)

    @property
    def is_own(self) -> bool:
        """Whether the body belongs to the request."""
        return self.body.startswith(
            answer_body(self.request_id, len(self.body))
        )


def new_request_id() -> str:
    """Return the id of a new client attempt."""
    return f'{next(_numbers):016x}'


@define(kw_only=True, eq=False)
class Client:
    """A client with one kept connection to the front address of a node."""

    address: str
    host: str
    record: Record
    local_host: str = '127.0.0.1'
    _conn: tuple[StreamReader, StreamWriter] | None = None

    async def send(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b'',
        deadline_s: float = 2.5,
        request_id: str = '',
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send a request and return how it ended."""
        request_id = request_id or new_request_id()
        sent_at_s = monotonic()
        status, answer_headers, answer = await self._exchange(
            method, path, body, deadline_s, request_id, headers or {}
        )
        self.record.write(
            'client',
            request=request_id,
            node=self.address,
            method=method,
            path=path,
            status=status,
            took_ms=round((monotonic() - sent_at_s) * 1000),
        )
        return Answer(
            request_id=request_id,
            status=status,
            headers=answer_headers,
            body=answer,
            sent_at_s=sent_at_s,
            ended_at_s=monotonic(),
        )

    async def _exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        deadline_s: float,
        request_id: str,
        headers: dict[str, str],
    ) -> tuple[int, dict[str, str], bytes]:
        try:
            async with timeout(CONNECT_TIMEOUT_S):
                reader, writer = await self._connection()
        except (OSError, TimeoutError):
            return -2, {}, b''
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {self.host}',
            f'Request-Id: {request_id}',
            f'Deadline-Ms: {int(deadline_s * 1000)}',
            *(f'{name}: {value}' for name, value in headers.items()),
        ]
        if body or method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        try:
            async with timeout(deadline_s + DEADLINE_SLACK_S):
                writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
                await writer.drain()
                status, answer_headers, answer = await read_answer(reader)
        except TimeoutError:
            self.close()
            return -1, {}, b''
        except (OSError, IncompleteReadError, LimitOverrunError, ValueError):
            self.close()
            return 0, {}, b''
        if answer_headers.get('connection', '').lower() == 'close':
            self.close()
        return status, answer_headers, answer

    async def _connection(self) -> tuple[StreamReader, StreamWriter]:
        if self._conn is None or self._conn[0].at_eof():
            self.close()
            host, _, port = self.address.rpartition(':')
            self._conn = await open_connection(
                host, int(port), local_addr=(self.local_host, 0)
            )
        return self._conn

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            with suppress(OSError):
                self._conn[1].close()
            self._conn = None


async def read_answer(
    reader: StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Read an answer with a length or in chunks."""
    while True:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        line, *fields = head.rstrip('\r\n').split('\r\n')
        status = int(line.split(' ')[1])
        if status >= 200:
            break
    headers = {}
    for field in fields:
        name, _, value = field.partition(':')
        headers[name.strip().lower()] = value.strip()
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        length = int(headers.get('content-length', 0))
        return status, headers, await reader.readexactly(length)
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            return status, headers, body
