"""Decodes pages of the store, also if some of their objects can't be read.

A page that can't be decoded as a whole is taken apart: each container in it
is decoded on its own.
"""

from __future__ import annotations

from json import JSONDecoder, loads
from re import DOTALL
from re import compile as compile_pattern
from typing import TYPE_CHECKING, Any

from attrs import frozen

from carawaylane.platform.documents import DECODE_ERRORS
from carawaylane.platform.stepwise_json import decode_in_steps

if TYPE_CHECKING:
    from collections.abc import Generator

# Pages above this size are decoded in steps if they may hold a large object.
LARGE_PAGE_BYTES = 32 << 10
# Members of an object that are left as they are if they can't be decoded.
OPAQUE = ('spec', 'status')
# The page, its list, an event, its object and the metadata.
MAX_LEVELS = 5
# Strings and brackets that are passed in one step.
STEP_TOKENS = 4096
_TOKEN = compile_pattern(
    rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?|[\[\]{}]', flags=DOTALL
)
_QUOTE, _OPENING = ord('"'), b'[{'
# More digits than any number that counts has.
_MAX_DIGITS = 20


@frozen(kw_only=True, eq=False, repr=False)
class Undecoded:
    """A JSON value that can't be decoded, as the store sent it."""

    text: bytes
    reason: str


def decode_page(
    body: bytes, *, may_be_large: bool
) -> Generator[None, None, Any]:
    """Return the value of a page; raise one of DECODE_ERRORS if it has none.

    The values in it that can't be decoded are `Undecoded`.
    """
    try:
        if may_be_large and len(body) > LARGE_PAGE_BYTES:
            return (yield from decode_in_steps(body))
        return loads(body)
    except DECODE_ERRORS:
        return (yield from _decode_parts(body, MAX_LEVELS))


def _decode_part(body: bytes, levels: int) -> Generator[None, None, Any]:
    try:
        if len(body) > LARGE_PAGE_BYTES:
            return (yield from decode_in_steps(body))
        return loads(body)
    except DECODE_ERRORS as exc:
        reason = type(exc).__name__
    if levels:
        try:
            return (yield from _decode_parts(body, levels))
        except DECODE_ERRORS:
            pass
    return Undecoded(text=body, reason=reason)


def _decode_parts(body: bytes, levels: int) -> Generator[None, None, Any]:
    """Return a container whose members are decoded one by one."""
    frame, parts = yield from _take_apart(body)
    value = _DECODER.decode(frame.decode('utf-8', 'surrogateescape'))
    if isinstance(value, list):
        for number, item in enumerate(value):
            if isinstance(item, dict):
                value[number] = yield from _decode_part(
                    parts[item['']], levels - 1
                )
    elif isinstance(value, dict):
        for key, item in value.items():
            if isinstance(item, dict):
                value[key] = yield from _decode_part(
                    parts[item['']], 0 if key in OPAQUE else levels - 1
                )
    return value


def _take_apart(
    body: bytes,
) -> Generator[None, None, tuple[bytes, list[bytes]]]:
    """Return a container without the containers in it, and these.

    Each is replaced by an object that holds its number.
    """
    frame: list[bytes] = []
    parts: list[bytes] = []
    depth = kept_from = start = 0
    for count, match in enumerate(_TOKEN.finditer(body), start=1):
        char = body[match.start()]
        if count % STEP_TOKENS == 0:
            yield
        if char == _QUOTE:
            continue
        if char in _OPENING:
            depth += 1
            if depth == 2:
                start = match.start()
            continue
        depth -= 1
        if depth == 1:
            frame += body[kept_from:start], b'{"":%d}' % len(parts)
            kept_from = match.end()
            parts.append(body[start:kept_from])
    if depth:
        raise ValueError('brackets that do not match')
    frame.append(body[kept_from:])
    return b''.join(frame), parts


def _read_integer(text: str) -> int | float:
    return int(text) if len(text) <= _MAX_DIGITS else float(text)


_DECODER = JSONDecoder(parse_int=_read_integer, strict=False)
