"""Chooses listening ports below the ephemeral range.

The system assigns ephemeral ports to outgoing connections, so an ephemeral
port that was free when it was chosen may be in use before a process binds it.
"""

from __future__ import annotations

from itertools import count
from os import getpid
from pathlib import Path
from socket import AF_INET, SOCK_STREAM, socket

PORT_RANGE_FILE = Path('/proc/sys/net/ipv4/ip_local_port_range')
# The default on Linux, used where the file can't be read.
DEFAULT_FIRST_EPHEMERAL_PORT = 32768
FIRST_PORT = 10000
# Distance between the first ports that processes with successive ids try, so
# that processes that run at the same time rarely try the same ports.
PORTS_PER_PROCESS = 997

_attempts = count()


def first_ephemeral_port() -> int:
    """Return the lowest port that the system gives outgoing connections."""
    try:
        return int(PORT_RANGE_FILE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        return DEFAULT_FIRST_EPHEMERAL_PORT


def free_port() -> int:
    """Return a free loopback port below the ephemeral range.

    No port is returned twice in a process. Raises RuntimeError if none is
    free.
    """
    port_count = first_ephemeral_port() - FIRST_PORT
    first_offset = getpid() * PORTS_PER_PROCESS
    for _ in range(port_count):
        port = FIRST_PORT + (first_offset + next(_attempts)) % port_count
        with socket(AF_INET, SOCK_STREAM) as sock:
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                continue
        return port
    raise RuntimeError('no loopback port below the ephemeral range is free')
