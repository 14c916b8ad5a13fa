"""Sessions of the HTTP client for targets."""

from __future__ import annotations

from asyncio import get_running_loop
from functools import partial
from typing import TYPE_CHECKING

from aiohttp import ClientSession, DummyCookieJar, TCPConnector

from carawaylane.gateway.small_reads import READ_BYTES, SmallReads
from carawaylane.services.response_handler import BoundedResponseHandler

if TYPE_CHECKING:
    from asyncio import BaseTransport

KEEPALIVE_S = 15.0


class _SmallReadHandler(BoundedResponseHandler):
    """Keeps little of an answer while its reader rests."""

    def connection_made(self, transport: BaseTransport) -> None:
        """Let the transport read in small parts."""
        super().connection_made(transport)
        transport.set_protocol(SmallReads(handler=self))


def new_session(*, force_close: bool) -> ClientSession:
    """Return a session, with a connection of its own for each request or not.

    Nothing of a session is kept but its connections.
    """
    if force_close:
        connector = TCPConnector(limit=0, force_close=True)
    else:
        connector = TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S)
    # aiohttp has no public option for the protocol of its connections.
    connector._factory = partial(  # type: ignore[assignment]
        _SmallReadHandler, loop=get_running_loop()
    )
    return ClientSession(
        connector=connector,
        cookie_jar=DummyCookieJar(),
        auto_decompress=False,
        read_bufsize=READ_BYTES,
    )
