"""gRPC calls that let another node send a request to a target."""

from __future__ import annotations

from asyncio import timeout
from typing import TYPE_CHECKING

from attrs import define, frozen
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from carawaylane.gateway.links import CONNECT_TIMEOUT_S, RPC_ERRORS
from carawaylane.kernel.service import Service, service
from carawaylane.rpc.connections import closed_connection_is_reset
from carawaylane.rpc.fleet_grpc import FleetStub
from carawaylane.telemetry.events import LINK_LOST, emit

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.rpc.fleet_pb2 import RelayReply, RelayRequest


@frozen(kw_only=True)
class NotRelayed:
    """The peer did not get the request, so it did not send it."""

    reason: str


@define(kw_only=True, eq=False)
class _RelayChannel:
    """A channel to a peer, and when the last reply came over it."""

    channel: Channel
    replied_at_s: float = float('-inf')


@service('relays')
class Relays(Service):
    """Keeps a gRPC channel to each peer for relayed requests.

    They wait for targets, so they do not share a channel with calls that a
    peer answers at once.
    """

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._channels: dict[str, _RelayChannel] = {}

    async def stop(self) -> None:
        """Close the channels."""
        await super().stop()
        for relay_channel in self._channels.values():
            relay_channel.channel.close()

    async def relay(
        self, address: str, msg: RelayRequest, timeout_s: float
    ) -> RelayReply | NotRelayed | None:
        """Let a peer send a request; None if it may or may not have.

        Cancelling this cancels the call, and the peer its exchange.
        """
        called_at_s = self.kernel.now_s()
        relay_channel = self._channels.get(address)
        if relay_channel is None:
            host, _, port = address.rpartition(':')
            relay_channel = _RelayChannel(channel=Channel(host, int(port)))
            self._channels[address] = relay_channel
        channel = relay_channel.channel
        try:
            async with timeout(min(CONNECT_TIMEOUT_S, timeout_s)):
                await channel.__connect__()
        except RPC_ERRORS as exc:
            self._drop(address, relay_channel, exc)
            return NotRelayed(reason=repr(exc))
        try:
            async with timeout(timeout_s):
                with closed_connection_is_reset():
                    reply = await FleetStub(channel).Relay(msg)
        except GRPCError as exc:
            if exc.status is Status.UNIMPLEMENTED:
                return NotRelayed(reason=repr(exc))
            self._drop(address, relay_channel, exc)
            return None
        except RPC_ERRORS as exc:
            # Other calls on the channel may be waiting for a slow target.
            if relay_channel.replied_at_s < called_at_s:
                self._drop(address, relay_channel, exc)
            return None
        relay_channel.replied_at_s = self.kernel.now_s()
        return reply

    def _drop(
        self, address: str, relay_channel: _RelayChannel, exc: BaseException
    ) -> None:
        """Close a channel, so that the next call opens a new one."""
        if self._channels.get(address) is relay_channel:
            del self._channels[address]
        relay_channel.channel.close()
        emit(LINK_LOST, member=address, method='Relay', error=repr(exc))
