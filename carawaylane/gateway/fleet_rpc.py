"""gRPC server for the other nodes of the fleet."""

from __future__ import annotations

from asyncio import CancelledError, Queue, sleep, timeout
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from grpclib.server import Server

from carawaylane.decisions.placement.failure_estimate import Result
from carawaylane.gateway.dispatchers import (
    EntryLost,
    ReportResult,
    ReportStillWaiting,
    RequestSlot,
)
from carawaylane.gateway.links import (
    RPC_ERRORS,
    receive_message,
    send_message,
)
from carawaylane.gateway.previews import Previews
from carawaylane.kernel.service import Service, service
from carawaylane.kernel.sockets import is_sending
from carawaylane.rpc.connections import closed_connection_is_reset
from carawaylane.rpc.fleet_codec import (
    pack_slot_reply,
    unpack_result_notices,
    unpack_slot_request,
)
from carawaylane.rpc.fleet_grpc import FleetBase
from carawaylane.rpc.fleet_pb2 import Done, RelayReply
from carawaylane.rpc.quota_codec import (
    pack_quota_reply,
    unpack_quota_ask,
    unpack_quota_return,
)

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.rpc.fleet_pb2 import Call, RelayRequest, Reply

# A reply that is ready as the time of its request ends may still be sent this
# long. A peer that waits no more has cancelled the call by then.
MIN_REPLY_SEND_S = 1.0
# How often it is checked whether a reply has been sent.
FLUSH_POLL_S = 0.01


class FleetHandler(FleetBase):
    """Passes the calls of other nodes to the services of this node."""

    def __init__(self, *, svc: FleetRpc) -> None:
        self._svc = svc
        self._dispatchers = svc.kernel.find('dispatchers')
        self._object_sync = svc.kernel.find('news')
        self._target_paths = svc.kernel.find('target_paths')
        self._exchanges = svc.kernel.find('exchanges')
        self._crashes = svc.kernel.find('crashes')
        self._quotas = svc.kernel.find('quotas')
        self._previews = Previews(kernel=svc.kernel)

    async def Dispatch(self, stream: Any) -> None:  # noqa: N802
        """Handle the messages of one entry until its stream ends.

        The first message identifies the entry.
        """
        hello = await receive_message(stream)
        if hello is None:
            return
        self._quotas.entry_connected(hello.entry)
        is_connected = True
        replies: Queue[Reply] = Queue()
        sender = self._svc.spawn(_send_replies(stream, replies))
        try:
            while True:
                call = await receive_message(stream)
                if call is None:
                    return
                self._handle_call(call, hello, replies)
        except RPC_ERRORS:
            return
        except CancelledError:
            # The node stops, or the connection is lost. grpclib leaves the
            # stream open, and the entry would find out by a time-out.
            self._quotas.entry_lost(hello.entry)
            is_connected = False
            with suppress(*RPC_ERRORS), closed_connection_is_reset():
                await stream.cancel()
            raise
        finally:
            sender.cancel()
            if is_connected:
                self._quotas.entry_lost(hello.entry)
            self._dispatchers.post(EntryLost(entry=hello.entry))

    async def Sync(self, stream: Any) -> None:  # noqa: N802
        """Exchange changes of the platform's objects with a peer."""
        msg = await stream.recv_message()
        await stream.send_message(self._object_sync.handle_sync(msg))

    async def Relay(self, stream: Any) -> None:  # noqa: N802
        """Send a request for a node that is cut off from the targets."""
        msg: RelayRequest = await stream.recv_message()
        deadline_s = self._svc.kernel.now_s() + msg.left_ms / 1000
        self._target_paths.relayed_requests += 1
        try:
            reply = await self._target_paths.relay(msg)
            await self._send_relayed(stream, reply, deadline_s)
        finally:
            self._target_paths.relayed_requests -= 1

    async def Reach(self, stream: Any) -> None:  # noqa: N802
        """Tell a peer which targets this node can connect to."""
        msg = await stream.recv_message()
        reply = await self._target_paths.reach(msg)
        with suppress(*RPC_ERRORS):
            await send_message(stream, reply)

    async def Crashes(self, stream: Any) -> None:  # noqa: N802
        """Exchange with a peer on which requests targets crashed."""
        msg = await stream.recv_message()
        with suppress(*RPC_ERRORS):
            await send_message(stream, self._crashes.handle_report(msg))

    async def Locate(self, stream: Any) -> None:  # noqa: N802
        """Tell an operator what this node would ask which homes."""
        msg = await stream.recv_message()
        with suppress(*RPC_ERRORS):
            await send_message(stream, self._previews.locate(msg))

    async def Preview(self, stream: Any) -> None:  # noqa: N802
        """Tell an operator what this node would reply as a home."""
        msg = await stream.recv_message()
        with suppress(*RPC_ERRORS):
            await send_message(stream, self._previews.preview(msg))

    async def _send_relayed(
        self, stream: Any, reply: RelayReply, deadline_s: float
    ) -> None:
        """Send the reply to a request of a peer while the peer waits."""
        size = self._exchanges.answer_memory.new_answer()
        if not size.grow_to(len(reply.body)):
            reply = RelayReply(
                result=RelayReply.BROKEN, reason='no memory for the reply'
            )
        left_s = deadline_s - self._svc.kernel.now_s()
        try:
            async with timeout(max(left_s, MIN_REPLY_SEND_S)):
                await send_message(stream, reply)
                await self._flush(stream)
        except TimeoutError:
            with suppress(*RPC_ERRORS):
                await stream.cancel()
        except RPC_ERRORS:
            return
        finally:
            size.release()

    async def _flush(self, stream: Any) -> None:
        """Wait until a peer has received a reply, if this node stops.

        At the exit, the process loses what it has not sent, and the socket
        what the peer has not acknowledged.
        """
        transport = stream._stream._transport
        if self._svc.kernel.draining:
            await stream.send_trailing_metadata()
        while self._svc.kernel.draining and is_sending(transport):
            await sleep(FLUSH_POLL_S)

    def _handle_call(
        self, call: Call, hello: Call, replies: Queue[Reply]
    ) -> None:
        if call.HasField('ask'):
            request = unpack_slot_request(
                call.ask, hello.entry, hello.data_centre
            )
            self._dispatchers.post(
                RequestSlot(
                    service=call.ask.service,
                    request=request,
                    on_reply=lambda reply: replies.put_nowait(
                        pack_slot_reply(reply)
                    ),
                )
            )
        elif call.HasField('quota_ask'):
            self._quotas.answer(
                hello.entry,
                unpack_quota_ask(call.quota_ask),
                lambda reply: replies.put_nowait(pack_quota_reply(reply)),
            )
        elif call.HasField('quota_return'):
            self._quotas.take_back(unpack_quota_return(call.quota_return))
        elif call.HasField('done') and call.done.result == Done.OPEN:
            self._dispatchers.post(
                ReportStillWaiting(
                    service=call.done.service,
                    ticket=(hello.entry, call.done.ticket),
                )
            )
        elif call.HasField('done'):
            self._dispatchers.post(
                ReportResult(
                    service=call.done.service,
                    ticket=(hello.entry, call.done.ticket),
                    result=Result(call.done.result),
                    duration_s=call.done.took_ms / 1000,
                    notices=unpack_result_notices(call.done),
                    answer_bytes=call.done.answer_bytes,
                )
            )


async def _send_replies(stream: Any, replies: Queue[Reply]) -> None:
    try:
        while True:
            await send_message(stream, await replies.get())
    except RPC_ERRORS:
        # `Dispatch`, which reads the same stream, fails and posts `EntryLost`.
        return


@service('fleet_rpc')
class FleetRpc(Service):
    """Runs the gRPC server on the address for peers."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._server: Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._server = Server([FleetHandler(svc=self)])
        host, _, port = self.kernel.cfg.peer_listen.rpartition(':')
        await self._server.start(host, int(port))

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        if self._server is not None:
            self._server.close()
        await super().stop()
