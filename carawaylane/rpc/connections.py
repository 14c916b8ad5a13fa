"""Errors of gRPC connections that are closed during a call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from grpclib.protocol import Connection

if TYPE_CHECKING:
    from types import TracebackType


class ClosedConnectionIsReset:
    """Raises ConnectionResetError if the connection of a call was closed.

    A call that waits to write or has unread data goes on after the connection
    was closed. It then fails with an AttributeError of grpclib's connection,
    or with a RuntimeError of the event loop.
    """

    __slots__ = ()

    def __enter__(self) -> None:
        pass

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if isinstance(exc, RuntimeError) or (
            isinstance(exc, AttributeError) and isinstance(exc.obj, Connection)
        ):
            raise ConnectionResetError(str(exc)) from exc


closed_connection_is_reset = ClosedConnectionIsReset
