"""gRPC connections to other nodes: unary calls, and streams to homes."""

from __future__ import annotations

from asyncio import Queue
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from google.protobuf.message import DecodeError
from grpclib.client import Channel
from grpclib.exceptions import (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)
from h2.exceptions import H2Error

from carawaylane.gateway.channels import ChannelPool
from carawaylane.kernel.addresses import InvalidAddressError, split_address
from carawaylane.kernel.service import Service, service
from carawaylane.kernel.timeouts import ReplyTimeout
from carawaylane.rpc.connections import closed_connection_is_reset
from carawaylane.rpc.fleet_codec import unpack_slot_reply
from carawaylane.rpc.fleet_grpc import FleetStub
from carawaylane.rpc.quota_codec import unpack_quota_reply
from carawaylane.telemetry.events import LINK_LOST, LINK_OPEN, emit

if TYPE_CHECKING:
    from collections.abc import Callable

    from google.protobuf.message import Message

    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.dispatch import SlotReply
    from carawaylane.messages.quotas import QuotaReply
    from carawaylane.rpc.fleet_pb2 import Call

# Far above the round trip to another data centre, which takes a few
# milliseconds.
CONNECT_TIMEOUT_S = 0.25
CALL_TIMEOUT_S = 0.5
RPC_ERRORS = (
    OSError,
    GRPCError,
    H2Error,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
    # A reply that is no message.
    DecodeError,
)


async def send_message(stream: Any, msg: Message) -> None:
    """Send a message; raise one of RPC_ERRORS if the stream is lost."""
    with closed_connection_is_reset():
        await stream.send_message(msg)


async def receive_message(stream: Any) -> Any:
    """Return the next message, or None at the end of the stream.

    Raises one of RPC_ERRORS if the stream is lost.
    """
    with closed_connection_is_reset():
        return await stream.recv_message()


class HomeStream:
    """A bidirectional stream to a home, for the requests of this entry.

    One task sends the queued messages while another receives replies.
    """

    def __init__(
        self,
        *,
        member: str,
        address: str,
        on_reply: Callable[[SlotReply], None],
        on_quota_reply: Callable[[QuotaReply], None] | None = None,
    ) -> None:
        self.member = member
        self.is_open = True
        # Whether the other node ended the stream, or its process did.
        self.ended_by_home = False
        self._address = address
        self._on_reply = on_reply
        self._on_quota_reply = on_quota_reply
        # Replies received so far, which tell a connection that is dead.
        self.replies = 0
        self._outbox: Queue[Call] = Queue()
        self._channel: Channel | None = None

    def send(self, call: Call) -> None:
        """Queue a message to the home without waiting."""
        self._outbox.put_nowait(call)

    def close(self) -> None:
        """Close the connection; `run` then ends."""
        self.is_open = False
        if self._channel is not None:
            self._channel.close()

    async def run(self, svc: Service, hello: Call) -> None:
        """Send and receive messages until the stream fails or is closed.

        `hello` is the first message; it identifies the entry. `svc` owns the
        task that sends.
        """
        try:
            host, port = split_address(self._address)
            self._channel = Channel(host, port)
            async with ReplyTimeout(CONNECT_TIMEOUT_S):
                await self._channel.__connect__()
            emit(LINK_OPEN, member=self.member)
            stub = FleetStub(self._channel)
            async with stub.Dispatch.open() as stream:
                await send_message(stream, hello)
                sender = svc.spawn(self._send_outbox(stream))
                try:
                    await self._receive_replies(stream, hello.entry)
                    self.ended_by_home = self.is_open
                except (GRPCError, StreamTerminatedError, ConnectionError):
                    self.ended_by_home = self.is_open
                    raise
                finally:
                    sender.cancel()
        except RPC_ERRORS as exc:
            emit(LINK_LOST, member=self.member, error=repr(exc))
        finally:
            self.close()

    async def _send_outbox(self, stream: Any) -> None:
        with suppress(*RPC_ERRORS):
            while True:
                await send_message(stream, await self._outbox.get())

    async def _receive_replies(self, stream: Any, entry: str) -> None:
        while True:
            reply = await receive_message(stream)
            if reply is None:
                return
            self.replies += 1
            if not reply.HasField('quota'):
                self._on_reply(unpack_slot_reply(reply, entry))
            elif self._on_quota_reply is not None:
                self._on_quota_reply(unpack_quota_reply(reply))


@service('links')
class PeerChannels(Service):
    """Keeps a gRPC channel to each peer for unary calls."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._channels = ChannelPool()

    async def stop(self) -> None:
        """Close the channels."""
        await super().stop()
        self._channels.close()

    async def call(
        self,
        address: str,
        method: str,
        msg: Message,
        connect_timeout_s: float = CALL_TIMEOUT_S,
    ) -> Any:
        """Call a method of a peer; return None if it fails or times out."""
        try:
            return await self._call(address, method, msg, connect_timeout_s)
        except InvalidAddressError as exc:
            emit(LINK_LOST, member=address, method=method, error=repr(exc))
            return None

    async def _call(
        self,
        address: str,
        method: str,
        msg: Message,
        connect_timeout_s: float,
    ) -> Any:
        with self._channels.use(address) as shared:
            try:
                async with ReplyTimeout(connect_timeout_s):
                    await shared.channel.__connect__()
                async with ReplyTimeout(CALL_TIMEOUT_S):
                    with closed_connection_is_reset():
                        stub = FleetStub(shared.channel)
                        return await getattr(stub, method)(msg)
            except RPC_ERRORS as exc:
                # The connection may be half-open.
                self._channels.retire(shared)
                emit(LINK_LOST, member=address, method=method, error=repr(exc))
                return None
