"""Tests of large answers: small pieces, and targets that fall silent."""

import tracemalloc
from asyncio import Event, get_running_loop, sleep, timeout
from contextlib import suppress

import pytest
from attrs import define

from carawaylane.decisions.admission.answer_memory import AnswerMemory
from carawaylane.decisions.admission.memory_budget import MemoryBudget
from carawaylane.gateway import streamed_answers
from carawaylane.gateway.answer_bodies import read_answer_body
from carawaylane.gateway.streamed_answers import (
    AnswerStream,
    BrokenAnswerError,
)

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
        deadline_s=get_running_loop().time() + 20,
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
    size = AnswerMemory().new_answer()
    before = held_bytes()
    body = await read_answer_body(
        FakeProtocol(), SmallPieces(), None, None, size
    )
    assert body == BODY
    assert tracemalloc.get_traced_memory()[1] - before < MAX_HELD_BYTES


class SilentPayload:
    """Body whose target sends nothing for some time, and then the rest."""

    def __init__(self, silence_s):
        self._silence_s = silence_s
        self._rest = [b'rest', b'']

    async def read(self, _size):
        await sleep(self._silence_s)
        self._silence_s = 0
        return self._rest.pop(0)


@pytest.mark.parametrize(
    ('left_s', 'is_whole'), [(5.0, True), (0.0, False), (-1.0, False)]
)
async def test_a_silent_target_ends_no_answer_that_has_time_left(
    monkeypatch, left_s, is_whole
):
    monkeypatch.setattr(streamed_answers, 'LATE_SILENCE_S', 0.1)
    stream = AnswerStream(
        payload=SilentPayload(0.4),
        chunks=[b'start '],
        pending=b'',
        length=10,
        holding=MemoryBudget(limit_bytes=1 << 20).open(1),
        deadline_s=get_running_loop().time() + left_s,
    )
    stream.start(lambda _: None)
    chunks = []
    with suppress(BrokenAnswerError):
        async for chunk in stream.chunks():
            chunks.append(chunk)
    assert chunks == [b'start ', *([b'rest'] if is_whole else [])]
