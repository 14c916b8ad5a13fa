"""gRPC connections to the other nodes."""

from __future__ import annotations

from asyncio import TimeoutError as AsyncTimeoutError
from asyncio import get_running_loop, sleep, timeout
from contextlib import aclosing
from typing import TYPE_CHECKING, Any

from attrs import define
from google.protobuf.message import DecodeError
from grpclib.client import Channel
from grpclib.exceptions import (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)
from h2.exceptions import H2Error

from carawaylane.kernel.addresses import split_host_port
from carawaylane.kernel.service import Service, service
from carawaylane.kernel.timeouts import ReplyTimeout
from carawaylane.messages.exchange import AnswerChunk, Request
from carawaylane.messages.outcomes import Failed, Unknown
from carawaylane.rpc.codec import pack_request, unpack_chunk
from carawaylane.rpc.connections import closed_connection_is_reset
from carawaylane.rpc.node_grpc import NodeStub
from carawaylane.rpc.node_pb2 import ForwardRequest, PingRequest
from carawaylane.telemetry.events import RPC_FAILED, emit

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from google.protobuf.message import Message

    from carawaylane.kernel.kernel import Kernel

SOURCE_METADATA_KEY = 'source'
NODE_LOST = 'a node was lost'
CONNECT_TIMEOUT_S = 0.5
# Timeout and interval of the pings on a replaced connection that still has
# open requests. It is closed when a ping fails.
REPLACED_PING_S = 1.0
# Time after the deadline of a request for its home to report the outcome.
DEADLINE_GRACE_S = 0.25
RPC_ERRORS = (
    OSError,
    GRPCError,
    H2Error,
    ProtocolError,
    StreamTerminatedError,
    # A reply that is no message.
    DecodeError,
    AsyncTimeoutError,
    ValueError,
)


class NeverSentError(Exception):
    """The request was not sent, so it has not run."""


@define(kw_only=True, eq=False)
class _Connection:
    """A connection to a peer, with the number of forwards open on it."""

    channel: Channel
    stub: NodeStub
    open_forwards: int = 0


@service('peers')
class Peers(Service):
    """Owns one connection to each peer that this node has called.

    `cut_to` and `cut_from` are the hosts whose messages a test drops, to or
    from them.
    """

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._connections: dict[str, _Connection] = {}
        self.cut_to: set[str] = set()
        self.cut_from: set[str] = set()

    async def stop(self) -> None:
        """Close the connections."""
        await super().stop()
        for connection in self._connections.values():
            connection.channel.close()
        self._connections.clear()

    def rpc_address(self, member: str) -> str:
        """Return the RPC address of a member, empty if it is unknown.

        An address is returned as it is.
        """
        fleet = self.kernel.find('relay').fleet
        known_member = fleet.members.get(member)
        if known_member is not None:
            return known_member.rpc
        return member if ':' in member else ''

    def is_cut_to(self, member: str) -> bool:
        """Return whether a test drops messages to a member."""
        return _host_name(member) in self.cut_to

    def is_cut_from(self, member: str) -> bool:
        """Return whether a test drops messages from a member."""
        return _host_name(member) in self.cut_from

    def replace_connection(self, member: str) -> None:
        """Use a new connection to a member, as the present one may be dead.

        Requests on the old one go on until a ping on it fails.
        """
        connection = self._connections.pop(self.rpc_address(member), None)
        if connection is not None:
            self.spawn(self._close_replaced(member, connection))

    async def _close_replaced(
        self, member: str, connection: _Connection
    ) -> None:
        ping = PingRequest(source=self.kernel.member, target=member)
        while connection.open_forwards:
            try:
                async with ReplyTimeout(REPLACED_PING_S):
                    await self._block_if_cut(member)
                    with closed_connection_is_reset():
                        await connection.stub.Ping(
                            ping, metadata=self._metadata()
                        )
            except RPC_ERRORS:
                break
            await sleep(REPLACED_PING_S)
        connection.channel.close()

    async def call(
        self, member: str, method: str, msg: Message, timeout_s: float
    ) -> Any:
        """Call an RPC of a member; return None if it fails or times out."""
        try:
            async with ReplyTimeout(timeout_s):
                await self._block_if_cut(member)
                connection = await self._connect(member)
                with closed_connection_is_reset():
                    return await getattr(connection.stub, method)(
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
    ) -> AsyncGenerator[AnswerChunk, None]:
        """Forward a request to a member and yield the chunks of its answer.

        Raises NeverSentError if the member can't be connected to.
        """
        connection = await self._connect_with_timeout(member)
        chunk_timeout_s = (
            req.deadline_ms - self.kernel.now_ms()
        ) / 1000 + DEADLINE_GRACE_S
        chunk_timeout_s = max(0.01, chunk_timeout_s)
        has_ended = False
        try:
            async with (
                timeout(chunk_timeout_s) as timer,
                aclosing(
                    self._receive_chunks(connection, member, req, hop)
                ) as chunks,
            ):
                async for chunk in chunks:
                    has_ended = chunk.outcome is not None
                    # The first chunk is due at the deadline of the request.
                    # Each later chunk has as long again. The time that the
                    # consumer takes for a chunk doesn't count.
                    timer.reschedule(None)
                    yield chunk
                    timer.reschedule(
                        get_running_loop().time() + chunk_timeout_s
                    )
        except RPC_ERRORS as exc:
            emit(
                RPC_FAILED,
                member=member,
                method='Forward',
                error=type(exc).__name__,
            )
        if not has_ended:
            yield AnswerChunk(outcome=_node_lost_outcome(req))

    async def _receive_chunks(
        self,
        connection: _Connection,
        member: str,
        req: Request,
        hop: ForwardRequest.Hop,
    ) -> AsyncGenerator[AnswerChunk, None]:
        await self._block_if_cut(member)
        connection.open_forwards += 1
        last_chunk: AnswerChunk | None = None
        try:
            with closed_connection_is_reset():
                async with connection.stub.Forward.open(
                    metadata=self._metadata()
                ) as stream:
                    await stream.send_message(pack_request(req, hop), end=True)
                    async for msg in stream:
                        chunk = unpack_chunk(msg)
                        if chunk.outcome is None:
                            yield chunk
                        else:
                            last_chunk = chunk
        except RPC_ERRORS:
            if last_chunk is None:
                raise
        finally:
            connection.open_forwards -= 1
        # The last chunk is yielded only after the stream has closed, since a
        # consumer that stops at it would have the stream reset.
        if last_chunk is not None:
            yield last_chunk

    async def _connect_with_timeout(self, member: str) -> _Connection:
        try:
            async with ReplyTimeout(CONNECT_TIMEOUT_S):
                return await self._connect(member)
        except (TimeoutError, OSError) as exc:
            self.kernel.find('membership').schedule_check(member)
            raise NeverSentError(member) from exc

    async def _connect(self, member: str) -> _Connection:
        address = self.rpc_address(member)
        if not address:
            raise NeverSentError(member)
        connection = self._connections.get(address)
        if connection is None:
            host, port = split_host_port(address)
            channel = Channel(host, port)
            connection = _Connection(channel=channel, stub=NodeStub(channel))
            self._connections[address] = connection
        await connection.channel.__connect__()
        return connection

    async def _block_if_cut(self, member: str) -> None:
        if self.is_cut_to(member):
            # Outlasts the timeouts of calls, so that the call times out.
            await sleep(3600)

    def _metadata(self) -> dict[str, str]:
        return {SOURCE_METADATA_KEY: self.kernel.member}


def _node_lost_outcome(req: Request) -> Unknown | Failed:
    if req.key:
        return Unknown(reason=NODE_LOST, retry_after_ms=1000)
    return Failed(reason=NODE_LOST)


def _host_name(member: str) -> str:
    return member.partition('@')[0]
