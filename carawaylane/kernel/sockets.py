"""Listening sockets that are opened early, and states of connections."""

from __future__ import annotations

from fcntl import ioctl
from socket import (
    AI_PASSIVE,
    IPPROTO_TCP,
    SO_LINGER,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_INFO,
    getaddrinfo,
    socket,
)
from socket import create_server as create_socket
from struct import pack
from termios import TIOCOUTQ
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import Transport

# Maximum number of connections that wait to be accepted.
LISTEN_BACKLOG = 1024
# An integer of the kernel.
NO_BYTES = bytes(4)
# States in tcp_info after the other host has closed or reset the connection:
# CLOSE, CLOSE-WAIT, LAST-ACK and CLOSING.
TCP_CLOSED_STATES = frozenset({7, 8, 9, 11})


def open_listener(address: str) -> socket:
    """Return a socket that listens on an address of the form host:port.

    Connections wait in its queue until a service accepts them.
    """
    host, _, port = address.rpartition(':')
    family, _, _, _, bound = getaddrinfo(
        host or None, int(port), type=SOCK_STREAM, flags=AI_PASSIVE
    )[0]
    return create_socket(bound[:2], family=family, backlog=LISTEN_BACKLOG)


def reset_connection(transport: Transport | None) -> None:
    """Reset a connection: after a regular close, a body may look complete."""
    if transport is None:
        return
    sock = transport.get_extra_info('socket')
    # With a linger time of 0, a close sends RST instead of FIN.
    sock.setsockopt(SOL_SOCKET, SO_LINGER, pack('ii', 1, 0))
    transport.abort()


def is_sending(transport: Transport) -> bool:
    """Return whether the other host has not acknowledged all that was sent.

    False if the kernel does not tell. What is not acknowledged is lost if the
    connection is reset, as it is when it closes with unread data.
    """
    if transport.get_write_buffer_size():
        return True
    if transport.is_closing():
        return False
    sock = transport.get_extra_info('socket')
    try:
        return ioctl(sock.fileno(), TIOCOUTQ, NO_BYTES) != NO_BYTES
    except OSError:
        return False


def has_left(transport: Transport) -> bool:
    """Return whether the other host has closed or reset the connection."""
    if transport.is_closing():
        return True
    sock = transport.get_extra_info('socket')
    try:
        state: int = sock.getsockopt(IPPROTO_TCP, TCP_INFO, 1)[0]
    except OSError:
        # Not all kernels tell; asyncio notices it once reading goes on.
        return False
    return state in TCP_CLOSED_STATES
