"""Splits the JSON text of a large object into named segments.

The members of the object are segments; those that are lists of objects with
names have a further segment for each of these.
"""

from __future__ import annotations

from array import array
from itertools import pairwise
from json import JSONDecoder
from typing import TYPE_CHECKING, Any

from carawaylane.decisions.propagation.split_text import (
    STEP_COPIES,
    STEP_SEGMENTS,
    SplitText,
)
from carawaylane.platform.documents import is_text

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

# Between the section and the name in the key of a segment.
KEY_SEPARATOR = '/'
# Finding an element again takes a fourth of the time of decoding it.
STEP_FOUND = 4 * STEP_SEGMENTS
_DECODER = JSONDecoder()
_SPLIT_ERRORS = (ValueError, IndexError, RecursionError)


def split_object(
    text: bytes,
    *,
    on_element: Callable[[str, str, int, Any], None] | None = None,
    before: SplitText | None = None,
) -> Generator[None, None, SplitText]:
    """Return the segments of a compact JSON object.

    `on_element` gets each element that has a segment: its section, the key of
    the segment, its position and its value. A text of another form is one
    segment, whatever elements it was called for. Without `on_element`,
    elements that are the same in the text `before` are not decoded again.
    """
    unsplit = SplitText(text=text, keys=('',), starts=array('Q', [0]))
    if not text.isascii():
        return unsplit
    try:
        return (yield from _Splitter(text, on_element, before).split())
    except _SPLIT_ERRORS:
        return unsplit


class _KnownSegments:
    """Finds the elements of a text again in the next version of it.

    The last element of a section is left out, as its segment has the end of
    the section.
    """

    def __init__(self, before: SplitText | None) -> None:
        self._before = before
        # The first and the last element of each section.
        self._sections: dict[str, tuple[int, int]] = {}
        # The next element that may follow, and the last one of the section.
        self._next = self._last = 0
        # The elements of the section by key, once one has been looked up.
        self._numbers: dict[str, int] | None = None

    def find_sections(self) -> Generator[None, None, None]:
        """Find where the sections are."""
        keys = self._before.keys if self._before is not None else ()
        members = []
        for start in range(0, len(keys), STEP_COPIES):
            some = keys[start : start + STEP_COPIES]
            for number, key in enumerate(some, start):
                if KEY_SEPARATOR not in key:
                    members.append(number)
            yield
        members.append(len(keys))
        self._sections = {
            keys[start]: (start + 1, end - 1)
            for start, end in pairwise(members)
        }

    def enter(self, section: str) -> None:
        """Go to the first element of a section."""
        self._next, self._last = self._sections.get(section, (0, 0))
        self._numbers = None

    def match(self, text: bytes, start: int) -> tuple[str, int]:
        """Return the key and the size of the element that starts there.

        The key is empty if it is not the one that is expected.
        """
        if self._before is None or self._next >= self._last:
            return '', 0
        starts = self._before.starts
        segment = self._before.text[
            starts[self._next] : starts[self._next + 1]
        ]
        if not text.startswith(segment, start):
            return '', 0
        key = self._before.keys[self._next]
        self._next += 1
        return key, len(segment)

    def skip(self, key: str) -> None:
        """Expect the element after the one with this key, if it is known."""
        if self._before is None:
            return
        if self._numbers is None:
            keys = self._before.keys[self._next : self._last]
            self._numbers = {
                other: number for number, other in enumerate(keys, self._next)
            }
        number = self._numbers.get(key)
        if number is not None:
            self._next = number + 1


class _Splitter:
    """Reads a text member by member; raises one of _SPLIT_ERRORS."""

    def __init__(
        self,
        text: bytes,
        on_element: Callable[[str, str, int, Any], None] | None,
        before: SplitText | None,
    ) -> None:
        self._bytes = text
        self._on_element = on_element
        self._known = _KnownSegments(before if on_element is None else None)
        self._text = text.decode('ascii')
        self._keys: list[str] = []
        self._starts = array('Q')
        self._seen: set[str] = set()

    def split(self) -> Generator[None, None, SplitText]:
        """Return the segments of the text."""
        position = 0
        yield
        yield from self._known.find_sections()
        self._expect('{', position)
        while True:
            start = position
            section, position = _DECODER.raw_decode(self._text, position + 1)
            if not isinstance(section, str) or KEY_SEPARATOR in section:
                raise ValueError('a key that segments can not have')
            self._expect(':', position)
            # The comma belongs to the segment before, the brace to the first.
            self._add(section, start if start == 0 else start + 1)
            position = yield from self._read_value(section, position + 1)
            if self._text[position] != ',':
                break
        self._expect('}', position)
        if position + 1 != len(self._text):
            raise ValueError('text after the object')
        return SplitText(
            text=self._bytes, keys=tuple(self._keys), starts=self._starts
        )

    def _read_value(
        self, section: str, start: int
    ) -> Generator[None, None, int]:
        """Add the segments inside a value; return where it ends."""
        if self._text[start : start + 2] != '[{':
            return _DECODER.raw_decode(self._text, start)[1]
        count = len(self._keys)
        position = start
        self._known.enter(section)
        while self._text[position] != ']':
            element_start = position + 1
            known_key, size = self._known.match(self._bytes, element_start)
            if known_key:
                self._add(known_key, element_start)
                position += size
                if len(self._keys) % STEP_FOUND == 0:
                    yield
                continue
            element, position = _DECODER.raw_decode(self._text, element_start)
            name = _name_of(element)
            if name is None:
                # The list is a part of the segment of its section.
                self._seen.difference_update(self._keys[count:])
                del self._keys[count:], self._starts[count:]
                return _DECODER.raw_decode(self._text, start)[1]
            key = f'{section}{KEY_SEPARATOR}{name}'
            self._add(key, element_start)
            self._known.skip(key)
            if self._on_element is not None:
                number = len(self._keys) - count - 1
                self._on_element(section, key, number, element)
            if len(self._keys) % STEP_SEGMENTS == 0:
                yield
            if self._text[position] not in ',]':
                raise ValueError('a list without a comma')
        return position + 1

    def _add(self, key: str, start: int) -> None:
        # Messages carry the keys.
        if not is_text(key):
            raise ValueError('a key with a surrogate')
        if key in self._seen:
            raise ValueError('a name occurs twice')
        self._seen.add(key)
        self._keys.append(key)
        self._starts.append(start)

    def _expect(self, char: str, position: int) -> None:
        if self._text[position] != char:
            raise ValueError(f'no {char!r} at {position}')


def _name_of(element: Any) -> str | None:
    name = element.get('name') if isinstance(element, dict) else None
    return name if isinstance(name, str) else None
