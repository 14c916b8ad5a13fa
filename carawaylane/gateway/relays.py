"""gRPC calls that let another node send a request to a target."""

from __future__ import annotations

from asyncio import timeout
from typing import TYPE_CHECKING

from attrs import frozen
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from carawaylane.gateway.channels import ChannelPool
from carawaylane.gateway.links import CONNECT_TIMEOUT_S, RPC_ERRORS
from carawaylane.kernel.service import Service, service
from carawaylane.kernel.timeouts import ReplyTimeout
from carawaylane.rpc.connections import closed_connection_is_reset
from carawaylane.rpc.fleet_grpc import FleetStub
from carawaylane.telemetry.events import LINK_LOST, emit

if TYPE_CHECKING:
    from carawaylane.gateway.channels import SharedChannel
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.rpc.fleet_pb2 import RelayReply, RelayRequest


@frozen(kw_only=True, eq=False, repr=False)
class NotRelayed:
    """The peer did not get the request, so it did not send it."""

    reason: str


@service('relays')
class Relays(Service):
    """Keeps a gRPC channel to each peer for relayed requests.

    They wait for targets, so they do not share a channel with calls that a
    peer answers at once.
    """

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._channels = ChannelPool()

    async def stop(self) -> None:
        """Close the channels."""
        await super().stop()
        self._channels.close()

    async def relay(
        self, address: str, msg: RelayRequest, timeout_s: float
    ) -> RelayReply | NotRelayed | None:
        """Let a peer send a request; None if it may or may not have.

        Cancelling this cancels the call, and the peer its exchange.
        """
        with self._channels.use(address) as shared:
            try:
                async with ReplyTimeout(min(CONNECT_TIMEOUT_S, timeout_s)):
                    await shared.channel.__connect__()
            except RPC_ERRORS as exc:
                self._retire(shared, exc)
                return NotRelayed(reason=repr(exc))
            return await self._call(shared, msg, timeout_s)

    async def _call(
        self, shared: SharedChannel, msg: RelayRequest, timeout_s: float
    ) -> RelayReply | NotRelayed | None:
        called_at_s = self.kernel.now_s()
        try:
            async with timeout(timeout_s):
                with closed_connection_is_reset():
                    reply = await FleetStub(shared.channel).Relay(msg)
        except GRPCError as exc:
            if exc.status is Status.UNIMPLEMENTED:
                return NotRelayed(reason=repr(exc))
            self._retire(shared, exc)
            return None
        except RPC_ERRORS as exc:
            # With later replies only the target is slow, not the channel.
            if shared.replied_at_s < called_at_s:
                self._retire(shared, exc)
            return None
        shared.replied_at_s = self.kernel.now_s()
        return reply

    def _retire(self, shared: SharedChannel, exc: BaseException) -> None:
        self._channels.retire(shared)
        emit(LINK_LOST, member=shared.address, method='Relay', error=repr(exc))
