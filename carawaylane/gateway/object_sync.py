"""Spreads changes of the platform's objects from node to node.

Only a few nodes watch the platform's store; the others get its routes, targets
and members from peers.
"""

from __future__ import annotations

from asyncio import get_running_loop, sleep, wait
from typing import TYPE_CHECKING

from carawaylane.decisions.propagation.dissemination import (
    FANOUT,
    LARGE_MESSAGE_BYTES,
    TAKEOVER_DELAY_S,
    WATCH_SEED,
    broadcast_children,
    broadcast_shares,
    large_fanout,
    takeover_delay_s,
)
from carawaylane.decisions.propagation.silent_peers import SilentPeers
from carawaylane.decisions.propagation.watch_duty import WatchDuty
from carawaylane.gateway.copies import CopyExchange
from carawaylane.gateway.large_objects import LargeObjects
from carawaylane.gateway.links import CALL_TIMEOUT_S, CONNECT_TIMEOUT_S
from carawaylane.gateway.plan_adoption import is_large
from carawaylane.kernel.service import Service, service
from carawaylane.messages.stored_objects import ObjectDelta, ObjectKind
from carawaylane.rpc.fleet_pb2 import Known, SyncReply, SyncRequest
from carawaylane.telemetry.events import BROADCAST_TAKEN_OVER, emit

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaylane.kernel.kernel import Kernel

# A node syncs with a random peer if its copies are older than this plus the
# time that a heartbeat may take. The mean time between two checks is
# CHECK_PERIOD_S.
STALE_COPY_S = 1.5
HEARTBEAT_DELAY_S = 1.0
CHECK_PERIOD_S = 0.7
# A node with fresh copies syncs at this period all the same, which repairs
# what was lost when a node of the broadcast tree failed.
FRESH_SYNC_PERIOD_S = 4.0
# A change is sent at once to this many nodes of each other data centre, since
# one of them may be dead or unreachable.
REMOTE_RECIPIENTS = 2


@service('news')
class ObjectSync(Service):
    """Spreads changes of the platform's objects among the nodes.

    The node that receives a change from the store broadcasts it along a tree
    of the nodes of its data centre. A node that does not reply is left out of
    the tree: its parent sends to the nodes below it. Nodes that miss a
    broadcast get the change from a random peer. In either case, both sides of
    the call send what the other lacks.
    """

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._last_sync_at_s = 0.0
        # Addresses of peers with a call in progress.
        self._syncing: set[str] = set()
        self._silent_peers = SilentPeers()
        self.watch_duty = WatchDuty(
            name=kernel.cfg.name, started_at_s=kernel.now_s()
        )

    async def start(self) -> None:
        """Start syncing with random peers."""
        self._directory = self.kernel.find('directory')
        self._peer_channels = self.kernel.find('links')
        self._large_objects = LargeObjects(
            directory=self._directory,
            call=self._call,
            call_later=get_running_loop().call_later,
            kernel=self.kernel,
        )
        self._copies = CopyExchange(
            svc=self,
            directory=self._directory,
            large_objects=self._large_objects,
            ask_again=self.sync_with,
        )
        self.spawn(self._sync_loop())

    def broadcast(self, kind: ObjectKind, delta: ObjectDelta) -> None:
        """Send changes from the store to the nodes of all data centres."""
        if any(is_large(item) for item in delta.items):
            self.spawn(self._broadcast_large(kind, delta))
        else:
            self._broadcast_deltas([self._copies.pack(kind, delta)])

    async def _broadcast_large(
        self, kind: ObjectKind, delta: ObjectDelta
    ) -> None:
        """Broadcast changes once the patches of large objects are known."""
        revision = max(item.revision for item in delta.items)
        await self._directory.adoption.wait_for_text(revision)
        self._broadcast_deltas([self._copies.pack_push(kind, delta)])

    def _broadcast_deltas(self, deltas: list[Known]) -> None:
        self._broadcast_in_data_centre(SyncRequest(known=deltas))
        own_data_centre = self.kernel.cfg.data_centre
        members = self._directory.members.values()
        data_centres = {member.data_centre for member in members}
        for data_centre in sorted(data_centres - {own_data_centre}):
            self.spawn(self._send_to_data_centre(data_centre, deltas))

    def broadcast_heartbeat(self, store_answers: bool) -> None:
        """Tell the nodes of this data centre how fresh the copies are.

        `store_answers` says whether this node gets answers from the store.
        """
        self._record_heartbeat(self.kernel.cfg.name, store_answers)
        self._broadcast_in_data_centre(
            SyncRequest(
                known=self._copies.copy_states(), unanswered=not store_answers
            )
        )

    async def sync_with(
        self, address: str, connect_timeout_s: float = CALL_TIMEOUT_S
    ) -> bool:
        """Get the changes that a peer has; return whether it replied.

        Does nothing if a call to the peer is already in progress.
        """
        if address in self._syncing:
            return False
        self._syncing.add(address)
        try:
            msg = SyncRequest(known=self._copies.copy_states())
            return await self._exchange(address, msg, connect_timeout_s)
        finally:
            self._syncing.discard(address)

    async def _exchange(
        self,
        address: str,
        msg: SyncRequest,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> bool:
        """Send changes to a peer and apply its own; return if it replied."""
        msg.source = self._own_address()
        msg.takes_packed = True
        del msg.held[:]
        msg.held.extend(self._large_objects.held())
        reply = await self._call(address, msg, connect_timeout_s)
        if reply is None:
            return False
        _, has_gap = self._copies.apply(
            reply.known, f'reply of {address}', address
        )
        if has_gap:
            self.spawn(self.sync_with(address))
        return True

    async def _call(
        self,
        address: str,
        msg: SyncRequest,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> SyncReply | None:
        """Return the reply of a peer, None if it sends none."""
        reply: SyncReply | None = await self._peer_channels.call(
            address, 'Sync', msg, connect_timeout_s
        )
        if reply is None:
            self._silent_peers.record_failure(address, self.kernel.now_s())
        else:
            self._silent_peers.record_message(address)
        return reply

    def handle_sync(self, msg: SyncRequest) -> SyncReply:
        """Apply the changes of a peer; reply with those that it lacks."""
        if msg.HasField('fetch'):
            return self._large_objects.reply_with_part(msg.fetch)
        self._silent_peers.record_message(msg.source)
        way = 'broadcast' if msg.root else 'sync'
        advanced, has_gap = self._copies.apply(
            msg.known,
            f'{way} of {msg.source}',
            msg.source,
            self._broadcast_fetched
            if msg.root and not msg.delegated
            else None,
        )
        if has_gap and msg.source:
            self.spawn(self.sync_with(msg.source))
        if msg.root:
            if not _has_changes(msg):
                self._record_heartbeat(msg.root, not msg.unanswered)
            self._forward_broadcast(msg, advanced)
        return SyncReply(known=[*self._copies.deltas_for_peer(msg)])

    def _record_heartbeat(self, watcher: str, store_answers: bool) -> None:
        now_s = self.kernel.now_s()
        self.watch_duty.record_heartbeat(watcher, store_answers, now_s)
        if not store_answers:
            self._directory.outages.record_failure(watcher, now_s)

    def _forward_broadcast(self, msg: SyncRequest, advanced: bool) -> None:
        """Forward a broadcast to the nodes that are left to this one.

        A broadcast from another data centre starts anew from this node, but
        only if it brought a change.
        """
        root = self._directory.members.get(msg.root)
        if msg.delegated:
            self._spread(msg, msg.forward_to)
        elif (
            root is not None
            and root.data_centre == self.kernel.cfg.data_centre
        ):
            self._forward_from_older_build(msg)
        elif advanced:
            self._broadcast_in_data_centre(SyncRequest(known=msg.known))

    def _forward_from_older_build(self, msg: SyncRequest) -> None:
        cfg = self.kernel.cfg
        members = {
            member.name: member
            for member in self._directory.members_of(cfg.data_centre)
        }
        forwarded = SyncRequest(known=msg.known, root=msg.root)
        for name in broadcast_children(list(members), msg.root, cfg.name):
            if name in members:
                self.spawn(self._exchange(members[name].address, forwarded))

    def _broadcast_fetched(self, kind: ObjectKind, delta: ObjectDelta) -> None:
        """Broadcast a large object from another data centre in this one."""
        push = self._copies.pack_push(kind, delta)
        self._broadcast_in_data_centre(SyncRequest(known=[push]))

    def _broadcast_in_data_centre(self, msg: SyncRequest) -> None:
        cfg = self.kernel.cfg
        members = sorted(
            (member.name, member.address)
            for member in self._directory.members_of(cfg.data_centre)
            if member.name != cfg.name
        )
        addresses = [address for _, address in members]
        msg.root = cfg.name
        self._spread(msg, addresses)

    def _spread(self, msg: SyncRequest, addresses: Iterable[str]) -> None:
        """Send a broadcast to all addresses, some of which forward it."""
        fanout = FANOUT
        if _is_large(msg):
            fanout = large_fanout(self.kernel.cfg.link_mbps)
            addresses = self._directory.order_by_link(addresses)
        recipients = self._silent_peers.put_last(addresses)
        if not _has_changes(msg):
            recipients = self._silent_peers.due_for_heartbeat(
                recipients, self.kernel.now_s()
            )
        shares = broadcast_shares(recipients, fanout)
        delay_s = takeover_delay_s(
            len(shares) * msg.ByteSize(), self.kernel.cfg.link_mbps
        )
        for share in shares:
            self.spawn(self._deliver(msg, share, delay_s))

    async def _deliver(
        self, msg: SyncRequest, share: list[str], delay_s: float
    ) -> None:
        """Send a broadcast to the first of a share, which forwards it.

        If it does not reply soon, this node sends to the others itself.
        """
        first, *others = share
        forwarded = SyncRequest(
            known=msg.known,
            root=msg.root,
            forward_to=others,
            delegated=True,
            unanswered=msg.unanswered,
        )
        call = self.spawn(self._exchange(first, forwarded))
        await wait((call,), timeout=delay_s)
        if others and not (call.done() and call.result()):
            emit(BROADCAST_TAKEN_OVER, member=first, nodes=len(others))
            self._spread(msg, others)

    async def _send_to_data_centre(
        self, data_centre: str, deltas: Iterable[Known]
    ) -> None:
        """Send deltas to nodes of another data centre until some reply.

        The first are those that rank first for watching the store there. Each
        further step asks twice as many.
        """
        members = self._directory.members
        ranked_names = self._directory.ranked_members(WATCH_SEED, data_centre)
        addresses = [members[name].address for name in ranked_names]
        msg = SyncRequest(known=deltas, root=self.kernel.cfg.name)
        replied, count = 0, REMOTE_RECIPIENTS
        if _is_large(msg):
            # Each would fetch a copy. One is enough, as each data centre has
            # a watcher that gets the version from the store.
            count = 1
            addresses = self._directory.order_by_link(addresses)
        needed = count
        addresses = self._silent_peers.put_last(addresses)
        while addresses and replied < needed:
            calls = [
                self.spawn(self._exchange(address, msg))
                for address in addresses[:count]
            ]
            done, _ = await wait(calls, timeout=TAKEOVER_DELAY_S)
            replied += sum(call.result() for call in done)
            addresses, count = addresses[count:], 2 * count

    async def _sync_loop(self) -> None:
        while True:
            await sleep(CHECK_PERIOD_S * (0.5 + self.kernel.rng.random()))
            if self.kernel.draining or not self._sync_is_due():
                continue
            self._last_sync_at_s = self.kernel.now_s()
            address = self._random_peer()
            if address is not None:
                await self.sync_with(address)

    def has_stale_copies(self) -> bool:
        """Return whether the routes or the targets may be out of date."""
        return bool(self.stale_kinds())

    def stale_kinds(self) -> list[ObjectKind]:
        """Return which of routes and targets may be out of date."""
        now_s = self.kernel.now_s()
        return [
            kind
            for kind in (ObjectKind.PLAN, ObjectKind.TARGETS)
            if self._directory.replicas[kind].age_s(now_s)
            > STALE_COPY_S + HEARTBEAT_DELAY_S
        ]

    def _sync_is_due(self) -> bool:
        synced_ago_s = self.kernel.now_s() - self._last_sync_at_s
        return self.has_stale_copies() or synced_ago_s > FRESH_SYNC_PERIOD_S

    def _random_peer(self) -> str | None:
        """Return the address of a random peer, or of a seed if none is known.

        The peer is usually in this data centre. It may be in any one if the
        copies are stale, as the other nodes of this data centre may have stale
        copies, too, and in one call out of ten.
        """
        now_s = self.kernel.now_s()
        age_s = self._directory.replicas[ObjectKind.PLAN].age_s(now_s)
        data_centre: str | None = self.kernel.cfg.data_centre
        if age_s > STALE_COPY_S or self.kernel.rng.random() < 0.1:
            data_centre = None
        addresses = [
            member.address
            for member in self._directory.members_of(data_centre)
            if member.name != self.kernel.cfg.name
        ]
        addresses = addresses or self.other_seeds()
        return self.kernel.rng.choice(addresses) if addresses else None

    def is_fetching(self) -> bool:
        """Return whether a large object is on its way to this node."""
        return self._large_objects.fetch.is_running

    def other_seeds(self) -> list[str]:
        """Return the addresses of the seeds, without this node."""
        own_address = self._own_address()
        return [seed for seed in self.kernel.cfg.seeds if seed != own_address]

    def _own_address(self) -> str:
        return self.kernel.cfg.peer_listen


def _has_changes(msg: SyncRequest) -> bool:
    """Return whether a message is more than a heartbeat."""
    return any(known.items or known.packed for known in msg.known)


def _is_large(msg: SyncRequest) -> bool:
    """Return whether a message has much to send, or is about much."""
    return (
        any(known.packed for known in msg.known)
        or msg.ByteSize() > LARGE_MESSAGE_BYTES
    )
