"""Stand-in for a target that answers with given bytes.

Tests use it for answers that a web framework would not send.
"""

from __future__ import annotations

from asyncio import IncompleteReadError, StreamReader, StreamWriter, sleep
from collections.abc import Callable
from socket import SO_LINGER, SOL_SOCKET
from struct import pack
from time import monotonic

from attrs import Factory, define, evolve

# An endless answer is written in blocks, and cut off after the cap.
ENDLESS_BLOCK_BYTES = 65536
ENDLESS_CAP_BYTES = 256 << 20
# Time between an answer and the bytes after it.
AFTER_DELAY_S = 0.05
# Placeholder in an answer for the id of the request.
REQUEST_ID_PLACEHOLDER = b'@ID@'
OK = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n'
    b'Content-Length: 2\r\n\r\nok'
)
LEAVING_LINE = b'\r\nServer-Leaving: 1\r\n'
# With the pause that the target asks for, in seconds.
PAUSED = (
    b'HTTP/1.1 503 Service Unavailable\r\nRequest-Id: @ID@\r\n'
    b'Not-Executed: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n'
)


@define(kw_only=True)
class Reply:
    """An answer of a raw target, and when and how it is sent.

    `before` is sent as soon as the request has arrived, `after` some time
    after the answer, before the next request if there is one.
    With `hang`, the target sends nothing until the client closes the
    connection. `endless` is sent after the answer again and again, until the
    client closes the connection or ENDLESS_CAP_BYTES are sent, once in each
    `period_s` if that is set.
    """

    data: bytes = OK
    delay_s: float = 0.0
    before: bytes = b''
    after: bytes = b''
    # What happens after the answer: '' (nothing), 'close' or 'reset'.
    connection_end: str = ''
    hang: bool = False
    endless: bytes = b''
    period_s: float = 0.0


@define(kw_only=True)
class RawTarget:
    """Target that answers the nth request with `plan(n, request)`.

    It records the bytes of each request. `aborted_requests` counts requests
    that hung until the client closed the connection; `close` stops
    listening; whoever starts the server sets it. Each answer names
    `rate_limit_per_s`, if it is set. While `leaving` is set, the share
    `told_share` of the answers says that the target leaves; while `pause_s` is
    set, the same share of requests is refused for a pause of this time.
    """

    plan: Callable[[int, bytes], Reply] = lambda _number, _data: Reply()
    requests: list[bytes] = Factory(list)
    arrival_times_s: list[float] = Factory(list)
    connections: int = 0
    aborted_requests: int = 0
    # Bytes of each endless answer that the client has taken.
    endless_bytes: list[int] = Factory(list)
    rate_limit_per_s: float | None = None
    leaving: bool = False
    pause_s: float | None = None
    told_share: float = 1.0
    close: Callable[[], None] = lambda: None
    _writers: set[StreamWriter] = Factory(set)

    def crash(self) -> Reply:
        """End as a process that crashes while it works on a request."""
        self.close()
        for writer in self._writers:
            writer.close()
        return Reply(data=b'', connection_end='close')

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Serve one connection."""
        self.connections += 1
        self._writers.add(writer)
        try:
            while True:
                data = await read_request(reader)
                self.requests.append(data)
                self.arrival_times_s.append(monotonic())
                reply = self._next_reply(data)
                if not await self._answer(reply, data, reader, writer):
                    return
        except (IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def _next_reply(self, data: bytes) -> Reply:
        number = len(self.requests)
        reply = self.plan(number, data)
        told_before = int((number - 1) * self.told_share)
        if int(number * self.told_share) == told_before:
            return reply
        if self.pause_s is not None:
            return Reply(data=PAUSED % str(self.pause_s).encode())
        if self.leaving:
            told = reply.data.replace(b'\r\n', LEAVING_LINE, 1)
            return evolve(reply, data=told)
        return reply

    async def _answer(
        self,
        reply: Reply,
        data: bytes,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> bool:
        if reply.hang:
            await reader.read()
            self.aborted_requests += 1
            return False
        request_id = request_id_of(data)
        if reply.before:
            writer.write(
                reply.before.replace(REQUEST_ID_PLACEHOLDER, request_id)
            )
        await sleep(reply.delay_s)
        answer = reply.data.replace(REQUEST_ID_PLACEHOLDER, request_id)
        if self.rate_limit_per_s is not None:
            header = f'\r\nServer-Limit: {self.rate_limit_per_s}\r\n'
            answer = answer.replace(b'\r\n', header.encode(), 1)
        writer.write(answer)
        if reply.after:
            await sleep(AFTER_DELAY_S)
            writer.write(
                reply.after.replace(REQUEST_ID_PLACEHOLDER, request_id)
            )
        if reply.endless:
            await self._send_endless(reply, writer)
            return False
        if reply.connection_end == 'reset':
            # Lets the client read the answer; a reset discards what it has not
            # read yet.
            await sleep(0.05)
            reset(writer)
        return not reply.connection_end

    async def _send_endless(self, reply: Reply, writer: StreamWriter) -> None:
        block = reply.endless
        if not reply.period_s:
            block *= max(1, ENDLESS_BLOCK_BYTES // len(block))
        number = len(self.endless_bytes)
        self.endless_bytes.append(0)
        while self.endless_bytes[number] < ENDLESS_CAP_BYTES:
            writer.write(block)
            await writer.drain()
            self.endless_bytes[number] += len(block)
            await sleep(reply.period_s)


async def read_request(reader: StreamReader) -> bytes:
    """Return the bytes of the next request on a connection."""
    head = await reader.readuntil(b'\r\n\r\n')
    length = 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.partition(b':')[2])
    return head + await reader.readexactly(length)


def request_id_of(data: bytes) -> bytes:
    """Return the id of a request, empty if it has none."""
    for line in data.split(b'\r\n'):
        if line.lower().startswith(b'request-id:'):
            return line.partition(b':')[2].strip()
    return b''


def reset(writer: StreamWriter) -> None:
    """Reset a connection."""
    # With a linger time of 0, closing sends RST instead of FIN.
    sock = writer.get_extra_info('socket')
    sock.setsockopt(SOL_SOCKET, SO_LINGER, pack('ii', 1, 0))
    writer.transport.abort()
