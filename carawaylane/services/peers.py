"""Connections to the other nodes."""

from __future__ import annotations

from asyncio import TimeoutError as AsyncTimeoutError
from asyncio import get_running_loop, sleep, timeout
from contextlib import aclosing
from typing import TYPE_CHECKING, Any

from attrs import define
from grpclib.client import Channel
from grpclib.exceptions import (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)
from h2.exceptions import H2Error

from carawaylane.kernel.service import Service, service
from carawaylane.messages.exchange import Piece, Request
from carawaylane.messages.outcomes import Failed, Unknown
from carawaylane.rpc.codec import pack_request, unpack_piece
from carawaylane.rpc.node_grpc import NodeStub
from carawaylane.rpc.node_pb2 import ForwardRequest, PingRequest
from carawaylane.telemetry.events import RPC_FAILED, emit

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from google.protobuf.message import Message

    from carawaylane.kernel.kernel import Kernel

SOURCE_KEY = 'source'
NODE_LOST = 'a node was lost'
CONNECT_TIMEOUT_S = 0.5
# A connection on which a ping takes this long has gone silent.
SILENT_AFTER_S = 1.0
# Time beyond the deadline that a home gets to say how a request ended.
GRACE_S = 0.25
RPC_ERRORS = (
    OSError,
    GRPCError,
    H2Error,
    ProtocolError,
    StreamTerminatedError,
    AsyncTimeoutError,
    ValueError,
)


class NeverSentError(Exception):
    """The call did not leave this node."""


@define(kw_only=True, eq=False)
class _Link:
    """A connection to a peer and the forwards that are open on it."""

    channel: Channel
    stub: NodeStub
    open: int = 0


@service('peers')
class Peers(Service):
    """Owns one connection to each peer that it talks to."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._links: dict[str, _Link] = {}
        self.cut_to: set[str] = set()
        self.cut_from: set[str] = set()

    async def stop(self) -> None:
        """Close the connections."""
        await super().stop()
        for link in self._links.values():
            link.channel.close()
        self._links.clear()

    def address_of(self, member: str) -> str:
        """Return the rpc address of a member, or an address as it is."""
        fleet = self.kernel.find('relay').fleet
        known = fleet.members.get(member)
        if known is not None:
            return known.rpc
        return member if ':' in member else ''

    def is_cut_to(self, member: str) -> bool:
        """Return whether a test cut the way to a member."""
        return _host(member) in self.cut_to

    def is_cut_from(self, member: str) -> bool:
        """Return whether a test cut the way from a member."""
        return _host(member) in self.cut_from

    def replace_connection(self, member: str) -> None:
        """Use a new connection from now on, as this one may be silent.

        Work on the old one goes on, unless it turns out to be silent.
        """
        link = self._links.pop(self.address_of(member), None)
        if link is not None:
            self.spawn(self._watch_retired(member, link))

    async def _watch_retired(self, member: str, link: _Link) -> None:
        ping = PingRequest(source=self.kernel.member, target=member)
        while link.open:
            try:
                async with timeout(SILENT_AFTER_S):
                    await self._pass_cut(member)
                    await link.stub.Ping(ping, metadata=self._metadata())
            except RPC_ERRORS:
                break
            await sleep(SILENT_AFTER_S)
        link.channel.close()

    async def call(
        self, member: str, method: str, msg: Message, timeout_s: float
    ) -> Any:
        """Return the reply of a member, or None if there is none."""
        try:
            async with timeout(timeout_s):
                await self._pass_cut(member)
                link = await self._link(member)
                return await getattr(link.stub, method)(
                    msg, timeout=timeout_s, metadata=self._metadata()
                )
        except (*RPC_ERRORS, NeverSentError) as exc:
            emit(
                RPC_FAILED,
                member=member,
                method=method,
                error=type(exc).__name__,
            )
            return None

    async def forward(
        self, member: str, req: Request, hop: ForwardRequest.Hop
    ) -> AsyncGenerator[Piece, None]:
        """Yield the pieces of an answer from a member.

        Raises NeverSentError if the request did not leave this node.
        """
        link = await self._open(member)
        left_s = (req.deadline_ms - self.kernel.now_ms()) / 1000 + GRACE_S
        left_s = max(0.01, left_s)
        ended = False
        try:
            async with (
                timeout(left_s) as limit,
                aclosing(self._pieces(link, member, req, hop)) as pieces,
            ):
                async for piece in pieces:
                    ended = piece.end is not None
                    # The deadline is for the head; after it, each piece
                    # has as long, and a slow reader does not count.
                    limit.reschedule(None)
                    yield piece
                    limit.reschedule(get_running_loop().time() + left_s)
        except RPC_ERRORS as exc:
            emit(
                RPC_FAILED,
                member=member,
                method='Forward',
                error=type(exc).__name__,
            )
        if not ended:
            yield Piece(end=_lost(req))

    async def _pieces(
        self,
        link: _Link,
        member: str,
        req: Request,
        hop: ForwardRequest.Hop,
    ) -> AsyncGenerator[Piece, None]:
        await self._pass_cut(member)
        link.open += 1
        last: Piece | None = None
        try:
            async with link.stub.Forward.open(
                metadata=self._metadata()
            ) as stream:
                await stream.send_message(pack_request(req, hop), end=True)
                async for chunk in stream:
                    piece = unpack_piece(chunk)
                    if piece.end is None:
                        yield piece
                    else:
                        last = piece
        except RPC_ERRORS:
            if last is None:
                raise
        finally:
            link.open -= 1
        # Given on after the stream is closed in order, not reset.
        if last is not None:
            yield last

    async def _open(self, member: str) -> _Link:
        try:
            async with timeout(CONNECT_TIMEOUT_S):
                return await self._link(member)
        except (TimeoutError, OSError) as exc:
            self.kernel.find('membership').schedule_check(member)
            raise NeverSentError(member) from exc

    async def _link(self, member: str) -> _Link:
        address = self.address_of(member)
        if not address:
            raise NeverSentError(member)
        link = self._links.get(address)
        if link is None:
            host, _, port = address.rpartition(':')
            channel = Channel(host, int(port))
            link = _Link(channel=channel, stub=NodeStub(channel))
            self._links[address] = link
        await link.channel.__connect__()
        return link

    async def _pass_cut(self, member: str) -> None:
        if self.is_cut_to(member):
            await sleep(3600)

    def _metadata(self) -> dict[str, str]:
        return {SOURCE_KEY: self.kernel.member}


def _lost(req: Request) -> Unknown | Failed:
    if req.key:
        return Unknown(reason=NODE_LOST, retry_after_ms=1000)
    return Failed(reason=NODE_LOST)


def _host(member: str) -> str:
    return member.partition('@')[0]
