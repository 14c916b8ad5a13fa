"""A text in named segments, and how another is built from parts of it."""

from __future__ import annotations

from array import array
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Generator, Iterator

# Segments that are handled between two points where others may run.
STEP_SEGMENTS = 256
# The same for segments that are only counted, compared or copied.
STEP_COPIES = 16 * STEP_SEGMENTS


@frozen(kw_only=True, repr=False)
class SegmentPut:
    """A segment that is new or changed, and the one before it, '' if none."""

    key: str
    after: str
    text: bytes


@frozen(kw_only=True, repr=False)
class SplitText:
    """A text and its segments: their keys and where each starts."""

    text: bytes
    keys: tuple[str, ...]
    starts: array[int]

    def run(self, start: int, end: int) -> bytes:
        """Return the text of the segments from one number up to another."""
        last = self.starts[end] if end < len(self.starts) else len(self.text)
        return self.text[self.starts[start] : last]

    def segments(self) -> Iterator[tuple[str, bytes]]:
        """Yield the key and the text of each segment in order."""
        start = 0
        for number, key in enumerate(self.keys, start=1):
            end = (
                self.starts[number]
                if number < len(self.starts)
                else len(self.text)
            )
            yield key, self.text[start:end]
            start = end


class TextBuilder:
    """Builds a text from runs of segments of a text and from puts."""

    def __init__(self, source: SplitText, revisions: array[int]) -> None:
        self.revisions = array('q')
        self._source = source
        self._source_revisions = revisions
        self._keys: list[str] = []
        self._starts = array('Q')
        self._pieces: list[bytes] = []
        self._size = 0

    def copy(self, start: int, end: int) -> Generator[None, None, None]:
        """Add the segments of the source from one number up to another."""
        split = self._source
        text = split.run(start, end)
        shift = self._size - split.starts[start]
        self._keys += split.keys[start:end]
        self.revisions += self._source_revisions[start:end]
        self._pieces.append(text)
        self._size += len(text)
        if not shift:
            self._starts += split.starts[start:end]
            return
        for position in range(start, end, STEP_COPIES):
            some = split.starts[position : min(end, position + STEP_COPIES)]
            self._starts += array('Q', [begin + shift for begin in some])
            if len(some) == STEP_COPIES:
                yield

    def put_chain(
        self,
        followers: dict[str, SegmentPut],
        after: str,
        revision: int,
        numbers: dict[str, int],
    ) -> None:
        """Add the put that follows a segment, and those that follow it."""
        put = followers.pop(after, None)
        while put is not None:
            number = numbers.get(put.key)
            if number is not None and (
                self._source.run(number, number + 1) == put.text
            ):
                self.revisions.append(self._source_revisions[number])
            else:
                self.revisions.append(revision)
            self._keys.append(put.key)
            self._starts.append(self._size)
            self._pieces.append(put.text)
            self._size += len(put.text)
            put = followers.pop(put.key, None)

    def split(self) -> SplitText:
        """Return the text that was built."""
        return SplitText(
            text=b''.join(self._pieces),
            keys=tuple(self._keys),
            starts=self._starts,
        )
