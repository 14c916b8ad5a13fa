"""Stand-in for an upstream, as the platform's protocol describes it.

It serves one request at a time on a connection, answers with its id, a seal
and a body that it derives from the request, and rejects requests for another
id with 421.
"""

from __future__ import annotations

from asyncio import (
    CancelledError,
    IncompleteReadError,
    Server,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    sleep,
    start_server,
)
from collections.abc import Awaitable, Callable
from contextlib import suppress
from hashlib import sha256
from time import monotonic

from attrs import Factory, define, frozen

from review.harness.record import Record


@frozen(kw_only=True)
class Request:
    """A request as it arrived at an upstream."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    arrived_at_s: float

    @property
    def request_id(self) -> str:
        """The id that the client gave it."""
        return self.headers.get('request-id', '')


@define(kw_only=True, eq=False)
class Upstream:
    """An upstream that works for some time on each request.

    `runs` holds the requests on which it began to work. `respond`, if set,
    writes the answer to a request in its own way.
    """

    name: str
    address: str
    record: Record
    # Returns the work of the next request.
    draw_work_s: Callable[[], float] = lambda: 0.1
    runs: list[Request] = Factory(list)
    # Requests whose answer was written whole.
    answered: set[str] = Factory(set)
    respond: Callable[[Request, StreamWriter], Awaitable[None]] | None = None
    # Sent with every answer.
    extra_headers: dict[str, str] = Factory(dict)
    _server: Server | None = None
    _tasks: set[Task[None]] = Factory(set)

    async def start(self) -> None:
        """Accept connections."""
        host, _, port = self.address.rpartition(':')
        self._server = await start_server(self._accept, host, int(port))
        self.record.write('upstream-start', id=self.name, at=self.address)

    async def exit(self) -> None:
        """End as a process that exits: all connections close at once."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        self.record.write('upstream-exit', id=self.name)
        await sleep(0)

    def _accept(self, reader: StreamReader, writer: StreamWriter) -> None:
        task = create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            while True:
                request = await read_request(reader)
                await self._handle(request, writer)
        except (IncompleteReadError, ConnectionError, CancelledError):
            pass
        finally:
            writer.close()
            with suppress(ConnectionError, CancelledError):
                await writer.wait_closed()

    async def _handle(self, request: Request, writer: StreamWriter) -> None:
        wanted = request.headers.get('target-instance', self.name)
        if wanted != self.name:
            self.record.write(
                'misdirected', id=self.name, request=request.request_id
            )
            writer.write(
                response_head(
                    421, {'Request-Id': request.request_id}, length=0
                )
            )
            return
        self.runs.append(request)
        self.record.write(
            'run',
            request=request.request_id,
            upstream=self.name,
            method=request.method,
            path=request.path,
            bytes=len(request.body),
        )
        if self.respond is not None:
            await self.respond(request, writer)
        else:
            await sleep(self.draw_work_s())
            body = answer_body(request.request_id)
            headers = {
                'Request-Id': request.request_id,
                'Response-Seal': seal_of(body),
                **self.extra_headers,
            }
            writer.write(response_head(200, headers, length=len(body)) + body)
            await writer.drain()
        self.answered.add(request.request_id)
        self.record.write(
            'run-ended', request=request.request_id, upstream=self.name
        )


def answer_body(request_id: str, size: int = 400) -> bytes:
    """Return the body of the answer to a request."""
    unit = f'answer to {request_id};'.encode()
    return (unit * (size // len(unit) + 1))[:size]


def seal_of(body: bytes) -> str:
    """Return the seal of a body."""
    return sha256(body).hexdigest()[:32]


def response_head(
    status: int, headers: dict[str, str], length: int | None
) -> bytes:
    """Return the status line and the headers of an answer."""
    reason = {200: 'OK', 421: 'Misdirected Request', 503: 'Unavailable'}
    lines = [f'HTTP/1.1 {status} {reason.get(status, "Status")}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if length is not None:
        lines.append(f'Content-Length: {length}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


async def read_request(reader: StreamReader) -> Request:
    """Read a request; one of unknown length must be chunked."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    arrived_at_s = monotonic()
    line, *fields = head.rstrip('\r\n').split('\r\n')
    method, path, _ = line.split(' ', 2)
    headers = {}
    for field in fields:
        name, _, value = field.partition(':')
        headers[name.strip().lower()] = value.strip()
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Request(
        method=method,
        path=path,
        headers=headers,
        body=body,
        arrived_at_s=arrived_at_s,
    )


async def _read_chunks(reader: StreamReader) -> bytes:
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            return body
