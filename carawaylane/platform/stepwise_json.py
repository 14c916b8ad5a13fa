"""Decodes and encodes large JSON texts in steps between which others run."""

from __future__ import annotations

from json import JSONDecoder
from re import compile as compile_pattern
from typing import TYPE_CHECKING, Any

from carawaylane.platform.documents import encode_json

if TYPE_CHECKING:
    from collections.abc import Generator

# Containers at this depth, and those in them, are decoded at once. The
# elements of a list in the specification of an object of an event are there.
AT_ONCE_DEPTH = 6
# Values that are decoded or encoded in one step.
STEP_VALUES = 256
_SPACE = compile_pattern(r'[ \t\r\n]*')
_DECODER = JSONDecoder()


def decode_in_steps(body: bytes) -> Generator[None, None, Any]:
    """Return the value of a text; raise `ValueError` if it is invalid."""
    return (yield from _Reader(body.decode()).read())


def encode_in_steps(value: Any) -> Generator[None, None, bytes]:
    """Return what `encode_json` returns for a value."""
    if not isinstance(value, dict) or not value:
        return encode_json(value)
    pieces = []
    for key, member in value.items():
        if isinstance(member, list):
            encoded = yield from _encode_list(member)
        else:
            encoded = encode_json(member)
        # An object with one member, without its braces and its null.
        name = encode_json({key: None})[1:-5]
        pieces.append(name + encoded)
    return b'{' + b','.join(pieces) + b'}'


def _encode_list(values: list[Any]) -> Generator[None, None, bytes]:
    pieces = []
    for start in range(0, len(values), STEP_VALUES):
        pieces.append(encode_json(values[start : start + STEP_VALUES])[1:-1])
        yield
    return b'[' + b','.join(pieces) + b']'


class _Reader:
    """Reads a text container by container."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._count = 0

    def read(self) -> Generator[None, None, Any]:
        """Return the value of the text."""
        value, position = yield from self._read_value(self._skip(0), 0)
        if self._skip(position) != len(self._text):
            raise ValueError(f'text after the value at {position}')
        return value

    def _read_value(
        self, start: int, depth: int
    ) -> Generator[None, None, tuple[Any, int]]:
        char = self._text[start : start + 1]
        if depth < AT_ONCE_DEPTH and char in ('{', '['):
            return (yield from self._read_container(start, depth))
        self._count += 1
        if self._count % STEP_VALUES == 0:
            yield
        return _DECODER.raw_decode(self._text, start)

    def _read_container(
        self, start: int, depth: int
    ) -> Generator[None, None, tuple[Any, int]]:
        is_object = self._text[start] == '{'
        closing = '}' if is_object else ']'
        items: list[Any] = []
        position = self._skip(start + 1)
        is_last = self._text[position : position + 1] == closing
        while not is_last:
            key = None
            if is_object:
                key, position = _DECODER.raw_decode(self._text, position)
                position = self._skip(self._expect(':', self._skip(position)))
            value, position = yield from self._read_value(position, depth + 1)
            items.append((key, value) if is_object else value)
            position = self._skip(position)
            is_last = self._text[position : position + 1] == closing
            if not is_last:
                position = self._skip(self._expect(',', position))
        if is_object and not all(isinstance(key, str) for key, _ in items):
            raise ValueError(f'a key that is no string after {start}')
        return (dict(items) if is_object else items), position + 1

    def _expect(self, char: str, position: int) -> int:
        if self._text[position : position + 1] != char:
            raise ValueError(f'no {char!r} at {position}')
        return position + 1

    def _skip(self, position: int) -> int:
        match = _SPACE.match(self._text, position)
        return match.end() if match is not None else position
