"""Errors of gRPC connections that are closed during a call."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from grpclib.protocol import Connection

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextmanager
def closed_connection_is_reset() -> Iterator[None]:
    """Raise ConnectionResetError if the connection of a call was closed.

    A call that waits to write or has unread data goes on after the connection
    was closed. It then fails with an AttributeError of grpclib's connection,
    or with a RuntimeError of the event loop.
    """
    try:
        yield
    except AttributeError as exc:
        if not isinstance(exc.obj, Connection):
            raise
        raise ConnectionResetError(str(exc)) from exc
    except RuntimeError as exc:
        raise ConnectionResetError(str(exc)) from exc
