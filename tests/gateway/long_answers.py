"""Targets that send answers for long, and callers that read them."""

from asyncio import IncompleteReadError, sleep, start_server, timeout
from collections import Counter

from attrs import Factory, define

from standins.raw_target import read_request, request_id_of
from tests.gateway.conftest import HOST, plan_spec, route_spec

PIECES, FIRST_PIECES = 10, 5
PIECE = bytes(range(250)) * 240
BODY = PIECE * PIECES
# A node with this much memory streams answers over 64 KB.
SMALL_MEMORY = {'memory_bytes': 8 << 20}
METHODS = {'get': 'GET', 'read': 'GET', 'write': 'POST'}


def plan(**changes):
    times = {'timeout_ms': 20_000, 'target_latency_ms': 600} | changes
    return plan_spec(
        1,
        [
            route_spec('get', '/get/', kind='download', **times),
            route_spec('read', '/read/', **times),
            route_spec('write', '/write/', kind='unsafe', **times),
        ],
    )


def request(request_id, path, *lines, body=b''):
    """Return a request; the last part of its path is its length in s."""
    method = METHODS[path.split('/')[1]]
    head = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {request_id}',
        *lines,
    ]
    if body:
        head.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(head).encode() + b'\r\n\r\n' + body


@define(kw_only=True)
class LongTarget:
    """Target that sends a large body in pieces, over the time in the path.

    Answers on other routes are small, and come after this time.
    """

    runs: Counter[str] = Factory(Counter)
    # Ids of the answers that were sent whole.
    sent: list[str] = Factory(list)

    async def start(self, fleet, name='i-1', **kwargs):
        server = await start_server(self.serve, '127.0.0.1', 0)
        fleet._cleanup_callbacks.append(self._closer(server))
        port = server.sockets[0].getsockname()[1]
        fleet.register_target(name, port, **{'slots': 64} | kwargs)
        return self

    @staticmethod
    def _closer(server):
        async def close():
            server.close()

        return close

    async def serve(self, reader, writer):
        try:
            while True:
                data = await read_request(reader)
                await self._answer(data, writer)
        except (IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _answer(self, data, writer):
        request_id = request_id_of(data)
        self.runs[request_id.decode()] += 1
        path = data.split()[1]
        parts = path.decode().split('/')
        length_s = float(parts[-1])
        head = (
            b'HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nRequest-Id: %s\r\n'
            % request_id
        )
        if not path.startswith(b'/get/'):
            await sleep(length_s)
            length = b'Content-Length: %d\r\n\r\n' % len(request_id)
            writer.write(head + length + request_id)
            return
        is_chunked = 'chunked' in parts
        writer.write(
            head + b'Transfer-Encoding: chunked\r\n\r\n'
            if is_chunked
            else head + b'Content-Length: %d\r\n\r\n' % len(BODY)
        )
        piece = b'%x\r\n%s\r\n' % (len(PIECE), PIECE) if is_chunked else PIECE
        # So much that the node streams the rest.
        writer.write(FIRST_PIECES * piece)
        for _ in range(PIECES - FIRST_PIECES):
            await sleep(length_s / (PIECES - FIRST_PIECES))
            writer.write(piece)
            await writer.drain()
        if is_chunked:
            writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.sent.append(request_id.decode())


@define(kw_only=True)
class Received:
    """A response; `end` is how the connection ended before its end."""

    status: int = 0
    head: str = ''
    body: bytes = b''
    end: str = ''

    @property
    def is_whole(self):
        return self.status != 0 and not self.end


async def receive(reader, *, pause_s=0.0, wait_s=20.0):
    """Return the next response; the pauses are those for a piece."""
    received = Received()
    try:
        async with timeout(wait_s):
            head = await reader.readuntil(b'\r\n\r\n')
            received.head = head.decode().lower()
            received.status = int(head.split()[1])
            if 'transfer-encoding: chunked' in received.head:
                await _receive_chunks(reader, received)
            else:
                text = received.head.partition('content-length:')[2]
                left = int(text.split()[0])
                while left:
                    data = await reader.read(min(left, len(PIECE)))
                    if not data:
                        received.end = 'closed'
                        break
                    received.body += data
                    left -= len(data)
                    await sleep(pause_s * len(data) / len(PIECE))
    except IncompleteReadError as exc:
        received.end = 'cut' if exc.partial else 'closed'
    except ConnectionError:
        received.end = 'reset'
    return received


async def _receive_chunks(reader, received):
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        received.body += data[:-2]
