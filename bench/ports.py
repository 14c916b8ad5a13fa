"""Ports for the processes of a test, which nothing else takes meanwhile.

The system gives ports of its ephemeral range to outgoing connections, too;
one that was free when it was chosen may be taken before its process binds it.
"""

from __future__ import annotations

from itertools import count
from os import getpid
from pathlib import Path
from socket import AF_INET, SOCK_STREAM, socket

EPHEMERAL = Path('/proc/sys/net/ipv4/ip_local_port_range')
# Linux's default, where the system doesn't say.
EPHEMERAL_LEAST = 32768
LEAST = 10000
# Ports between the starting points of processes with neighbouring ids.
STRIDE = 997

_steps = count()


def ephemeral_least() -> int:
    """Return the first port that outgoing connections may get."""
    try:
        return int(EPHEMERAL.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        return EPHEMERAL_LEAST


def free_port() -> int:
    """Return a port of the loopback address that is free, never one twice.

    It lies below the ephemeral range. A `RuntimeError` tells that all were
    tried.
    """
    size = ephemeral_least() - LEAST
    start = getpid() * STRIDE
    for _ in range(size):
        port = LEAST + (start + next(_steps)) % size
        with socket(AF_INET, SOCK_STREAM) as sock:
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                continue
        return port
    raise RuntimeError('no port is free')
