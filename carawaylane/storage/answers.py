"""Bounds on the answers of the platform's store."""

from __future__ import annotations

from asyncio import get_running_loop
from functools import partial
from typing import TYPE_CHECKING

from aiohttp import ClientPayloadError, TCPConnector

from carawaylane.services.response_handler import BoundedResponseHandler

if TYPE_CHECKING:
    from aiohttp import ClientResponse

# A page of a list has about 1 MB, a large configuration several.
MAX_ANSWER_BYTES = 16 << 20
READ_BYTES = 64 << 10


def bounded_connector(*, keepalive_s: float) -> TCPConnector:
    """Return a connector whose connections bound what is sent on them."""
    connector = TCPConnector(limit=0, keepalive_timeout=keepalive_s)
    # aiohttp has no public option for the protocol of its connections.
    connector._factory = partial(  # type: ignore[assignment]
        BoundedResponseHandler, loop=get_running_loop()
    )
    return connector


async def read_answer(resp: ClientResponse) -> bytes:
    """Return the body of an answer; raise ClientError if it is too large."""
    body = bytearray()
    conn = resp.connection
    protocol = conn.protocol if conn is not None else None
    async for data in resp.content.iter_chunked(READ_BYTES):
        body += data
        # With the framing of its chunks, unless all of it has arrived.
        received = getattr(protocol, 'body_bytes', 0)
        if max(len(body), received) > MAX_ANSWER_BYTES:
            resp.close()
            raise ClientPayloadError('the answer is too large')
    return bytes(body)
