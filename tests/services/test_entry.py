"""Tests of the answers that the entry sends on to callers."""

from asyncio import open_connection, timeout
from types import SimpleNamespace

import pytest
from aiohttp import web

from bench.ports import free_port
from carawaylane.messages.exchange import AnswerChunk, Head
from carawaylane.messages.outcomes import Answered, Unknown
from carawaylane.services.entry import Entry
from carawaylane.telemetry.metrics import Metrics

HOLD_BYTES = 1000
FIRST = AnswerChunk(
    head=Head(status=200, headers=(('Response-Seal', 's'),)),
    data=b'x' * (HOLD_BYTES + 1),
)


async def whole():
    yield FIRST
    yield AnswerChunk(data=b'y')
    yield AnswerChunk(outcome=Answered(status=200))


async def broken():
    yield FIRST
    yield AnswerChunk(data=b'y')
    yield AnswerChunk(outcome=Unknown(reason='truncated'))


async def ended():
    yield FIRST


async def failing():
    yield FIRST
    raise RuntimeError('a fault of the node')


@pytest.fixture
async def send():
    """Return a function that lets an entry send an answer to a caller."""
    runners = []

    async def send_answer(chunks, version):
        entry = Entry(
            kernel=SimpleNamespace(
                cfg=SimpleNamespace(max_answer_hold_bytes=HOLD_BYTES)
            )
        )
        entry._metrics = Metrics()

        async def handle(http_req):
            return await entry._send_answer(
                http_req,
                SimpleNamespace(name='k'),
                SimpleNamespace(request_id='r'),
                chunks(),
            )

        app = web.Application()
        app.router.add_get('/', handle)
        runner = web.AppRunner(app)
        runners.append(runner)
        await runner.setup()
        port = free_port()
        await web.TCPSite(runner, '127.0.0.1', port).start()
        return await read_all(port, version)

    yield send_answer
    for runner in runners:
        await runner.cleanup()


async def read_all(port, version):
    """Return what a caller receives, and whether it can be whole."""
    reader, writer = await open_connection('127.0.0.1', port)
    writer.write(
        f'GET / HTTP/{version}\r\nHost: a\r\n'
        'Connection: close\r\n\r\n'.encode()
    )
    received = b''
    try:
        async with timeout(5):
            while data := await reader.read(65536):
                received += data
    except ConnectionError:
        return received, False
    finally:
        writer.close()
    is_chunked = b'transfer-encoding: chunked' in received.lower()
    return received, not is_chunked or received.endswith(b'0\r\n\r\n')


@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('chunks', [broken, ended, failing])
async def test_an_answer_that_breaks_off_never_looks_whole(
    send, chunks, version
):
    """Without a length, a connection that just closes ends a body."""
    _, is_whole = await send(chunks, version)
    assert not is_whole


@pytest.mark.parametrize('version', ['1.0', '1.1'])
async def test_a_streamed_answer_arrives_whole(send, version):
    received, is_whole = await send(whole, version)
    assert is_whole
    assert received.count(b'x' * (HOLD_BYTES + 1)) == 1
    assert b'y' in received
