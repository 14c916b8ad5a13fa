"""Addresses of the form host:port, from text that others have written."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address, IPv6Address
from re import ASCII, IGNORECASE
from re import compile as compile_pattern

MAX_PORT = 65535
# An IPv6 address has brackets, since its end looks like a port.
_PARTS = compile_pattern(
    r'(?:\[([0-9a-f:.]{2,45})\]|([^\[\]]{1,253})):([0-9]{1,5})',
    flags=ASCII | IGNORECASE,
)
_HOST_NAME = compile_pattern(
    r'(?:[a-z0-9_](?:[a-z0-9_-]{0,61}[a-z0-9_])?\.)*'
    # Resolvers take a name whose last label is a number for an IPv4 address,
    # also in its short, octal and hexadecimal forms.
    r'(?!(?:[0-9]+|0x[0-9a-f]*)\Z)[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?',
    flags=ASCII | IGNORECASE,
)


class InvalidAddressError(OSError):
    """No connection can be opened to an address, as it is malformed."""


def is_address(text: str) -> bool:
    """Return whether a text is the address of a process of the platform."""
    try:
        split_address(text)
    except InvalidAddressError:
        return False
    return True


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port, or raise `InvalidAddressError`.

    A host name is no such address: the platform has IP addresses only, and a
    lookup may fail in ways that a connection does not.
    """
    host, port, is_name = _split(address)
    if is_name:
        raise _invalid(address)
    return host, port


def split_host_port(address: str) -> tuple[str, int]:
    """Return the host and the port, or raise `InvalidAddressError`.

    The host is an IP address or a name that can be looked up.
    """
    host, port, _ = _split(address)
    return host, port


def _split(address: str) -> tuple[str, int, bool]:
    """Return the host, the port and whether the host is a name."""
    match = _PARTS.fullmatch(address)
    if match is None or not 0 < int(match[3]) <= MAX_PORT:
        raise _invalid(address)
    port = int(match[3])
    try:
        if match[1] is not None:
            return str(IPv6Address(match[1])), port, False
        return str(IPv4Address(match[2])), port, False
    except AddressValueError:
        if match[2] is not None and _HOST_NAME.fullmatch(match[2]):
            return match[2], port, True
        raise _invalid(address) from None


def _invalid(address: str) -> InvalidAddressError:
    return InvalidAddressError(
        f'{address[:64]!a} is not of the form host:port'
    )
