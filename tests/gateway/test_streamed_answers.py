"""Tests of what a large answer holds that arrives in small pieces."""

import tracemalloc
from asyncio import Event, timeout

import pytest
from attrs import define

from carawaylane.decisions.admission.memory_budget import MemoryBudget
from carawaylane.gateway.exchanges import Exchanges
from carawaylane.gateway.streamed_answers import AnswerStream

PIECES = 100_000
BODY = b''.join(number.to_bytes(4, 'big')[-2:] for number in range(PIECES))
# Of an answer that nobody has taken.
MAX_HELD_BYTES = 3 * len(BODY)


class SmallPieces:
    """Body of which two bytes arrive at a time."""

    def __init__(self):
        self._position = 0

    async def read(self, _size=0):
        self._position += 2
        return BODY[self._position - 2 : self._position]

    async def iter_chunked(self, _size):
        while piece := await self.read():
            yield piece


@define
class FakeProtocol:
    body_bytes: int = 0


@pytest.fixture
def traced():
    tracemalloc.start()
    yield
    tracemalloc.stop()


def held_bytes():
    return tracemalloc.get_traced_memory()[0]


async def test_small_pieces_of_a_stream_take_little_more_than_they_hold(
    traced,
):
    holding = MemoryBudget(limit_bytes=64 << 20).open(1)
    stream = AnswerStream(
        payload=SmallPieces(),
        chunks=[],
        pending=b'',
        length=None,
        holding=holding,
    )
    before = held_bytes()
    ended = Event()
    stream.start(lambda _: ended.set())
    async with timeout(20):
        await ended.wait()
    assert holding.size == len(BODY)
    assert held_bytes() - before < MAX_HELD_BYTES
    assert b''.join([chunk async for chunk in stream.chunks()]) == BODY
    assert holding.size == 0


async def test_small_pieces_of_a_buffered_answer_take_little_more(traced):
    exchanges = Exchanges(kernel=None)
    before = held_bytes()
    body = await exchanges._read_body(
        FakeProtocol(), SmallPieces(), None, None
    )
    assert body == BODY
    assert tracemalloc.get_traced_memory()[1] - before < MAX_HELD_BYTES
