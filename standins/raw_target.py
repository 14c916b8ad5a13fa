"""Stand-in of a target whose answers are written byte by byte."""

from __future__ import annotations

from asyncio import IncompleteReadError, StreamReader, StreamWriter, sleep
from collections.abc import Callable
from socket import SO_LINGER, SOL_SOCKET
from struct import pack

from attrs import Factory, define

# In an answer, stands for the id of the request.
ID = b'@ID@'
OK = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n'
    b'Content-Length: 2\r\n\r\nok'
)


@define(kw_only=True)
class Reply:
    """Bytes of an answer, and what happens around them."""

    data: bytes = OK
    delay_s: float = 0.0
    # What happens to the connection then: '', 'close' or 'reset'.
    connection_end: str = ''
    hang: bool = False


@define(kw_only=True)
class RawTarget:
    """Answers each request by a plan; keeps what it was sent."""

    plan: Callable[[int, bytes], Reply] = lambda _number, _data: Reply()
    requests: list[bytes] = Factory(list)
    connections: int = 0
    aborted_requests: int = 0
    close: Callable[[], None] = lambda: None

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Serve one connection."""
        self.connections += 1
        try:
            while True:
                data = await _read_request(reader)
                self.requests.append(data)
                reply = self.plan(len(self.requests), data)
                if not await self._answer(reply, data, reader, writer):
                    return
        except (IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

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
        await sleep(reply.delay_s)
        writer.write(reply.data.replace(ID, _id_of(data)))
        if reply.connection_end == 'reset':
            await sleep(0.05)
            # Without this, closing sends an orderly end.
            sock = writer.get_extra_info('socket')
            sock.setsockopt(SOL_SOCKET, SO_LINGER, pack('ii', 1, 0))
            writer.transport.abort()
        return not reply.connection_end


async def _read_request(reader: StreamReader) -> bytes:
    head = await reader.readuntil(b'\r\n\r\n')
    length = 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.partition(b':')[2])
    return head + await reader.readexactly(length)


def _id_of(data: bytes) -> bytes:
    for line in data.split(b'\r\n'):
        if line.lower().startswith(b'request-id:'):
            return line.partition(b':')[2].strip()
    return b''
