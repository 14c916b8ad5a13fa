"""gRPC server for calls from other nodes."""

from __future__ import annotations

from asyncio import sleep, timeout
from typing import TYPE_CHECKING, Any

from grpclib.server import Server

from carawaylane.decisions.ownership.changelog import Batch
from carawaylane.decisions.ownership.journal import Fence
from carawaylane.kernel.service import Service, service
from carawaylane.messages.home import HandoverState
from carawaylane.messages.logs import ApplyBatch, ReadBatch
from carawaylane.rpc.codec import (
    pack_chunk,
    pack_promise,
    unpack_record,
    unpack_request,
)
from carawaylane.rpc.node_grpc import NodeBase
from carawaylane.rpc.node_pb2 import Accepted, Empty, ForwardRequest
from carawaylane.services.journal import TakeOverJournal
from carawaylane.services.peers import SOURCE_METADATA_KEY
from carawaylane.services.relay import pack_batch, unpack_batch

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.exchange import AnswerChunk

STOP_TIMEOUT_S = 1.0


class Endpoint(NodeBase):
    """Passes incoming calls on to the services of this node."""

    def __init__(self, *, kernel: Kernel) -> None:
        self._kernel = kernel
        self._peers = kernel.find('peers')
        self.open_forwards = 0

    async def Forward(self, stream: Any) -> None:  # noqa: N802
        """Run a request as home of its shard, or journal and forward it."""
        source, msg = await self._receive(stream)
        self.open_forwards += 1
        try:
            async for chunk in self._run_request(msg):
                await self._block_if_cut(source)
                await stream.send_message(
                    pack_chunk(chunk, self._free_slots(msg))
                )
        finally:
            self.open_forwards -= 1

    async def Ping(self, stream: Any) -> None:  # noqa: N802
        """Answer a ping, or ping a third member on behalf of the sender."""
        _, msg = await self._receive(stream)
        membership = self._kernel.find('membership')
        membership.apply_ping(msg)
        alive = True
        if msg.indirect:
            alive = await membership.ping(msg.target)
        await self._send(stream, membership.make_ping_reply(alive))

    async def Pull(self, stream: Any) -> None:  # noqa: N802
        """Return the changes of a log that the sender lacks."""
        _, msg = await self._receive(stream)
        relay = self._kernel.find('relay')
        batch = Batch(log=msg.log)
        if msg.log in relay.replicas:
            batch = await relay.ask(ReadBatch(log=msg.log, after=msg.after))
        await self._send(stream, pack_batch(batch))

    async def Push(self, stream: Any) -> None:  # noqa: N802
        """Apply changes of a log; pull from the sender if there is a gap."""
        source, msg = await self._receive(stream)
        relay = self._kernel.find('relay')
        batch = unpack_batch(msg)
        if batch is not None:
            await relay.ask(ApplyBatch(batch=batch))
            newest_seq = max(
                (change.seq for change in batch.changes), default=0
            )
            relay.pull_if_behind(source, msg.log, newest_seq)
        await self._send(stream, Empty())

    async def Fence(self, stream: Any) -> None:  # noqa: N802
        """Promise a new owner to forward nothing under older epochs."""
        _, msg = await self._receive(stream)
        shard = (msg.service, msg.shard)
        fence = Fence(epoch=msg.epoch, successor=msg.successor)
        promise = await self._kernel.find('homes').make_promise(shard, fence)
        await self._send(stream, pack_promise(shard, promise))

    async def Handover(self, stream: Any) -> None:  # noqa: N802
        """Take a shard over from an owner that is stopping."""
        _, msg = await self._receive(stream)
        handover_state = HandoverState(
            records=tuple(unpack_record(record)[1] for record in msg.records),
            unproven_until_ms=msg.unproven_until_ms,
        )
        shard = (msg.service, msg.shard)
        homes = self._kernel.find('homes')
        accepted = await homes.accept_handover(
            shard, msg.source, msg.epoch, handover_state
        )
        await self._send(stream, Accepted(accepted=accepted))

    async def KeepJournal(self, stream: Any) -> None:  # noqa: N802
        """Take over the journal of a member that is stopping."""
        _, msg = await self._receive(stream)
        take_over = TakeOverJournal(
            source=msg.source,
            records=tuple(unpack_record(record) for record in msg.records),
            covered_members=tuple(msg.vouched),
        )
        accepted = await self._kernel.find('journal').ask(take_over)
        await self._send(stream, Accepted(accepted=accepted))

    async def Announce(self, stream: Any) -> None:  # noqa: N802
        """Record an owner that the fleet log does not show yet."""
        _, msg = await self._receive(stream)
        homes = self._kernel.find('homes')
        homes.record_owner_hint((msg.service, msg.shard), msg.owner, msg.epoch)
        await self._send(stream, Empty())

    async def Suspect(self, stream: Any) -> None:  # noqa: N802
        """Record that a target crashed while it ran a request."""
        _, msg = await self._receive(stream)
        suspects = self._kernel.find('suspects')
        suspects.record_crash(msg.digest, msg.target, msg.unsafe)
        await self._send(stream, Empty())

    async def _receive(self, stream: Any) -> tuple[str, Any]:
        source = stream.metadata.get(SOURCE_METADATA_KEY, '')
        if self._peers.is_cut_from(source):
            # Outlasts the timeouts of calls: the sender sees a lost message.
            await sleep(3600)
        return source, await stream.recv_message()

    async def _send(self, stream: Any, msg: Any) -> None:
        await self._block_if_cut(stream.metadata.get(SOURCE_METADATA_KEY, ''))
        await stream.send_message(msg)

    async def _block_if_cut(self, source: str) -> None:
        if self._peers.is_cut_to(source):
            # Outlasts the timeouts of calls: the sender sees a lost reply.
            await sleep(3600)

    def _run_request(
        self, msg: ForwardRequest
    ) -> AsyncGenerator[AnswerChunk, None]:
        req = unpack_request(msg)
        if msg.hop == ForwardRequest.VIA_WITNESS:
            return self._kernel.find('forwarder').forward_keyed(req)
        if msg.hop == ForwardRequest.TO_SLOT:
            return self._kernel.find('runner').run_on_lent_slot(req)
        return self._kernel.find('runner').run_request(req)

    def _free_slots(self, msg: ForwardRequest) -> int:
        homes = self._kernel.find('homes')
        home = homes.by_shard.get((msg.service, msg.shard))
        return home.free_slots() if home is not None else 0


@service('node_rpc')
class NodeRpc(Service):
    """Owns the listening socket for calls from other nodes."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._server: Server | None = None
        self._endpoint: Endpoint | None = None

    async def start(self) -> None:
        """Start to listen on the RPC address."""
        self._endpoint = Endpoint(kernel=self.kernel)
        self._server = Server([self._endpoint])
        host, _, port = self.kernel.cfg.rpc.rpartition(':')
        await self._server.start(host, int(port))

    async def drain(self) -> None:
        """Wait until the requests forwarded to this node have ended."""
        while self._endpoint is not None and self._endpoint.open_forwards:
            await sleep(0.02)

    async def stop(self) -> None:
        """Close the socket and wait briefly for open connections to end."""
        await super().stop()
        if self._server is None:
            return
        self._server.close()
        try:
            async with timeout(STOP_TIMEOUT_S):
                await self._server.wait_closed()
        except TimeoutError:
            return
