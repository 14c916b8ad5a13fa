"""Connections to other nodes: single calls and streams to homes."""

from __future__ import annotations

from asyncio import Queue, timeout
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from grpclib.client import Channel
from grpclib.exceptions import (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)
from h2.exceptions import H2Error

from carawaylane.kernel.service import Service, service
from carawaylane.rpc.fleet_codec import unpack_slot_reply
from carawaylane.rpc.fleet_grpc import FleetStub
from carawaylane.telemetry.events import LINK_LOST, LINK_OPEN, emit

if TYPE_CHECKING:
    from collections.abc import Callable

    from google.protobuf.message import Message

    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.dispatch import SlotReply
    from carawaylane.rpc.fleet_pb2 import Call

# A node of another data centre answers in a few milliseconds.
CONNECT_TIMEOUT_S = 0.25
CALL_TIMEOUT_S = 0.5
RPC_ERRORS = (
    OSError,
    GRPCError,
    H2Error,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
)


async def send_message(stream: Any, msg: Message) -> None:
    """Send a message; raise one of RPC_ERRORS if the stream is lost."""
    try:
        await stream.send_message(msg)
    except RuntimeError as exc:
        # How the loop answers a write to a transport that has closed.
        raise ConnectionResetError(str(exc)) from exc


class HomeStream:
    """A stream to the home of services; one task writes, one reads."""

    def __init__(
        self,
        *,
        member: str,
        address: str,
        on_verdict: Callable[[SlotReply], None],
    ) -> None:
        self.member = member
        self.open = True
        self._address = address
        self._on_verdict = on_verdict
        self._calls: Queue[Call] = Queue()
        self._channel: Channel | None = None

    def send(self, call: Call) -> None:
        """Leave a message for the home."""
        self._calls.put_nowait(call)

    def close(self) -> None:
        """Give the stream up."""
        self.open = False
        if self._channel is not None:
            self._channel.close()

    async def run(self, svc: Service, hello: Call) -> None:
        """Carry messages until the stream breaks or is given up."""
        host, _, port = self._address.rpartition(':')
        self._channel = Channel(host, int(port))
        try:
            async with timeout(CONNECT_TIMEOUT_S):
                await self._channel.__connect__()
            emit(LINK_OPEN, member=self.member)
            stub = FleetStub(self._channel)
            async with stub.Dispatch.open() as stream:
                await send_message(stream, hello)
                writer = svc.spawn(self._write(stream))
                try:
                    await self._read(stream, hello.entry)
                finally:
                    writer.cancel()
        except RPC_ERRORS as exc:
            emit(LINK_LOST, member=self.member, error=repr(exc))
        finally:
            self.close()

    async def _write(self, stream: Any) -> None:
        with suppress(*RPC_ERRORS):
            while True:
                await send_message(stream, await self._calls.get())

    async def _read(self, stream: Any, entry: str) -> None:
        while True:
            reply = await stream.recv_message()
            if reply is None:
                return
            self._on_verdict(unpack_slot_reply(reply, entry))


@service('links')
class Links(Service):
    """Owns the connections for single calls."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._channels: dict[str, Channel] = {}

    async def stop(self) -> None:
        """Close the connections."""
        await super().stop()
        for channel in self._channels.values():
            channel.close()

    async def call(self, address: str, method: str, msg: Message) -> Any:
        """Return the reply of a node, or None if there is none in time."""
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(':')
            channel = Channel(host, int(port))
            self._channels[address] = channel
        try:
            async with timeout(CALL_TIMEOUT_S):
                return await getattr(FleetStub(channel), method)(msg)
        except RPC_ERRORS as exc:
            # The connection may have gone silent: the next call opens one.
            if self._channels.get(address) is channel:
                del self._channels[address]
            channel.close()
            emit(LINK_LOST, member=address, method=method, error=repr(exc))
            return None
