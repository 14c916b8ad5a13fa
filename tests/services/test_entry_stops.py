"""Tests of an entry that stops, on the level of bytes."""

from asyncio import create_task, open_connection, sleep, timeout
from time import monotonic

import pytest
from attrs import evolve

from bench.ports import free_port
from carawaylane.config.schema import TrafficKind
from carawaylane.messages.exchange import AnswerChunk, Head
from carawaylane.messages.outcomes import Answered
from carawaylane.services.entry import BODY_TIMEOUT_S

GRACE_S = 0.5
KINDS = {'idempotent': 'GET', 'unsafe': 'POST'}


class SlowForwarder:
    """Answers each request after some time, and records it."""

    def __init__(self):
        self.bodies = []

    async def forward(self, req, *, unsafe):
        self.bodies.append(req.body)
        await sleep(1.0)
        yield AnswerChunk(
            head=Head(status=200), data=b'ok', outcome=Answered(status=200)
        )


@pytest.fixture(params=KINDS)
async def entry(kernel, request):
    kernel.cfg = evolve(
        kernel.cfg,
        listen=f'127.0.0.1:{free_port()}',
        drain_grace_ms=int(GRACE_S * 1000),
    )
    state = kernel.find('relay').config
    state.docs[('TrafficKind', 'k')] = TrafficKind(
        name='k', selector='', service='s', safety=request.param
    )
    kernel.find('catalogue').config.rebuild(state)
    kernel._services['forwarder'] = SlowForwarder()
    entry = kernel.find('entry')
    entry.method = KINDS[request.param]
    await entry.start()
    yield entry
    await entry.stop()


async def connect(entry):
    host, _, port = entry.kernel.cfg.listen.rpartition(':')
    return await open_connection(host, int(port))


def send(conn, entry, *lines, body=b''):
    lines = [f'{entry.method} /x HTTP/1.1', 'Host: h', *lines]
    conn[1].write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)


async def answer_of(conn):
    async with timeout(5):
        head = (await conn[0].readuntil(b'\r\n\r\n')).lower()
        length = int(head.partition(b'content-length: ')[2].split()[0])
        await conn[0].readexactly(length)
    return int(head.split()[1]), head


def assert_refused(status, head):
    assert status == 503
    assert b'retry-after: ' in head
    assert b'carawaylane-outcome: not-run' in head


def start_drain(entry):
    entry.kernel.draining = True
    return create_task(entry.drain())


async def test_a_stopping_entry_refuses_requests_on_open_connections(entry):
    """They were passed on, and the drain went on until its limit."""
    idle, busy = await connect(entry), await connect(entry)
    drain_task = start_drain(entry)
    await sleep(GRACE_S / 2)
    send(busy, entry)
    await sleep(GRACE_S)
    send(idle, entry)
    assert_refused(*await answer_of(idle))
    assert await idle[0].read() == b''
    assert (await answer_of(busy))[0] == 200
    await drain_task
    assert len(entry.kernel.find('forwarder').bodies) == 1


async def test_a_stopping_entry_refuses_requests_whose_body_is_late(entry):
    """They kept the drain waiting for 30 s, and could be passed on then."""
    conn = await connect(entry)
    drain_task = start_drain(entry)
    started_at_s = monotonic()
    send(conn, entry, 'Content-Length: 4', body=b'ab')
    assert_refused(*await answer_of(conn))
    await drain_task
    assert monotonic() - started_at_s < BODY_TIMEOUT_S / 2
    assert not entry.kernel.find('forwarder').bodies
