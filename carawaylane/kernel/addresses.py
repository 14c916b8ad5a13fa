"""Addresses of the form host:port."""

from __future__ import annotations

from re import ASCII
from re import compile as compile_pattern

MAX_PORT = 65535
_ADDRESS = compile_pattern(
    r'(?:\[([\w.:%-]{1,253})\]|([\w.:%-]{1,253})):([0-9]{1,5})', ASCII
)


class InvalidAddressError(OSError):
    """No connection can be opened to an address, as it is malformed."""


def is_address(text: str) -> bool:
    """Return whether a connection to an address can be tried."""
    match = _ADDRESS.fullmatch(text)
    return match is not None and 0 < int(match[3]) <= MAX_PORT


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port, or raise `InvalidAddressError`."""
    match = _ADDRESS.fullmatch(address)
    if match is None or not 0 < int(match[3]) <= MAX_PORT:
        raise InvalidAddressError(
            f'{address[:64]!a} is not of the form host:port'
        )
    return match[1] or match[2], int(match[3])
