"""This node's side of calls from other nodes."""

from __future__ import annotations

from asyncio import Queue
from typing import TYPE_CHECKING, Any

from grpclib.server import Server

from carawaylane.decisions.failure_estimate import Result
from carawaylane.gateway.dispatchers import (
    EntryLost,
    ReportResult,
    ReportStillWaiting,
    RequestSlot,
)
from carawaylane.gateway.links import RPC_ERRORS, send_message
from carawaylane.kernel.service import Service, service
from carawaylane.rpc.fleet_codec import pack_slot_reply, unpack_slot_request
from carawaylane.rpc.fleet_grpc import FleetBase
from carawaylane.rpc.fleet_pb2 import Done

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.dispatch import SlotReply
    from carawaylane.rpc.fleet_pb2 import Call


class Endpoint(FleetBase):
    """Maps calls to the services of this node."""

    def __init__(self, *, svc: FleetRpc) -> None:
        self._svc = svc
        self._homes = svc.kernel.find('dispatchers')
        self._object_sync = svc.kernel.find('news')

    async def Dispatch(self, stream: Any) -> None:  # noqa: N802
        """Serve the asks of one entry until its stream ends."""
        hello = await stream.recv_message()
        if hello is None:
            return
        verdicts: Queue[SlotReply] = Queue()
        writer = self._svc.spawn(_write(stream, verdicts))
        try:
            while True:
                call = await stream.recv_message()
                if call is None:
                    return
                self._take(call, hello, verdicts)
        except RPC_ERRORS:
            return
        finally:
            writer.cancel()
            self._homes.post(EntryLost(entry=hello.entry))

    async def Sync(self, stream: Any) -> None:  # noqa: N802
        """Exchange news of the platform's objects."""
        msg = await stream.recv_message()
        await stream.send_message(self._object_sync.handle_sync(msg))

    def _take(
        self, call: Call, hello: Call, verdicts: Queue[SlotReply]
    ) -> None:
        if call.HasField('ask'):
            ask = unpack_slot_request(call.ask, hello.entry, hello.data_centre)
            self._homes.post(
                RequestSlot(
                    service=call.ask.service,
                    request=ask,
                    on_reply=verdicts.put_nowait,
                )
            )
        elif call.HasField('done') and call.done.result == Done.OPEN:
            self._homes.post(
                ReportStillWaiting(
                    service=call.done.service,
                    ticket=(hello.entry, call.done.ticket),
                )
            )
        elif call.HasField('done'):
            self._homes.post(
                ReportResult(
                    service=call.done.service,
                    ticket=(hello.entry, call.done.ticket),
                    result=Result(call.done.result),
                    took_s=call.done.took_ms / 1000,
                )
            )


async def _write(stream: Any, verdicts: Queue[SlotReply]) -> None:
    try:
        while True:
            await send_message(stream, pack_slot_reply(await verdicts.get()))
    except RPC_ERRORS:
        # The reader sees the same end and tells the homes.
        return


@service('fleet_rpc')
class FleetRpc(Service):
    """Owns the socket for other nodes."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._server: Server | None = None

    async def start(self) -> None:
        """Open the socket."""
        self._server = Server([Endpoint(svc=self)])
        host, _, port = self.kernel.cfg.peer_listen.rpartition(':')
        await self._server.start(host, int(port))

    async def stop(self) -> None:
        """Close the socket and what is open on it."""
        if self._server is not None:
            self._server.close()
        await super().stop()
