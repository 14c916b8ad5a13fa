"""Spreading news of the platform's objects from node to node."""

from __future__ import annotations

from asyncio import gather, sleep
from typing import TYPE_CHECKING

from carawaylane.decisions.dissemination import WATCH_SEED, broadcast_children
from carawaylane.kernel.service import Service, service
from carawaylane.messages.stored_objects import ObjectDelta, ObjectKind
from carawaylane.rpc.fleet_codec import pack_delta, unpack_delta
from carawaylane.rpc.fleet_pb2 import Known, SyncReply, SyncRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaylane.kernel.kernel import Kernel

# A node whose copy is older than this asks a peer, at this period.
ASK_AFTER_S = 1.5
ASK_PERIOD_S = 0.7
# A node with a fresh copy asks now and then all the same, which repairs
# what a broken branch of the tree has lost.
ASK_IDLE_S = 4.0
# Period at which a watcher tells its data centre that it still watches.
HEARTBEAT_S = 1.0
# Nodes of each other data centre that get news from here at once: one of
# them may be dead or cut off.
FAR_NODES = 2


@service('news')
class News(Service):
    """Pushes news along trees, and asks random peers for what is missed."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._asked_s = 0.0
        self._pulling: set[str] = set()

    async def start(self) -> None:
        """Begin to ask peers."""
        self._directory = self.kernel.find('directory')
        self._links = self.kernel.find('links')
        self.spawn(self._ask_loop())

    def push(self, kind: ObjectKind, news: ObjectDelta) -> None:
        """Send news that the store gave to this data centre and others."""
        known = [self._pack(kind, news)]
        own = self.kernel.cfg.name
        self._forward(own, known)
        for peer in self._far_peers():
            self.spawn(self._send(peer, own, known))

    def heartbeat(self) -> None:
        """Tell this data centre how fresh the copies here are."""
        self._forward(self.kernel.cfg.name, self._state())

    async def pull(self, address: str) -> bool:
        """Take over what a peer knows more; False if it doesn't answer."""
        if address in self._pulling:
            return False
        self._pulling.add(address)
        try:
            msg = SyncRequest(source=self._own(), known=self._state())
            reply = await self._links.call(address, 'Sync', msg)
        finally:
            self._pulling.discard(address)
        if reply is None:
            return False
        self._take(reply.known)
        return True

    def answer(self, msg: SyncRequest) -> SyncReply:
        """Take in a peer's news and return what it lacks."""
        moved, behind = self._take(msg.known)
        if behind and msg.source:
            self.spawn(self.pull(msg.source))
        if msg.root:
            self._pass_on(msg, moved)
        return SyncReply(known=[*self._lacking(msg.known)])

    def _pass_on(self, msg: SyncRequest, moved: bool) -> None:
        member = self._directory.members.get(msg.root)
        own = self.kernel.cfg
        if member is not None and member.data_centre == own.data_centre:
            self._forward(msg.root, msg.known)
        elif moved:
            self._forward(own.name, msg.known)

    def _take(self, known: Iterable[Known]) -> tuple[bool, bool]:
        """Return whether a copy moved, and whether one lacks changes."""
        moved = behind = False
        for msg in known:
            kind = ObjectKind(msg.kind)
            before = self._directory.replicas[kind].revision
            fits = self._directory.apply_delta(
                kind, unpack_delta(msg), msg.age_ms / 1000
            )
            behind = behind or not fits
            after = self._directory.replicas[kind].revision
            moved = moved or after > before
        return moved, behind

    def _lacking(self, known: Iterable[Known]) -> Iterable[Known]:
        """Return what a peer lacks, or that nothing newer is known here."""
        for msg in known:
            kind = ObjectKind(msg.kind)
            replica = self._directory.replicas[kind]
            if replica.revision >= msg.revision and replica.revision:
                yield self._pack(kind, replica.changes_since(msg.revision))

    def _state(self) -> list[Known]:
        """Return how far the copies here reach, without their content."""
        found = []
        for kind, replica in self._directory.replicas.items():
            news = ObjectDelta(
                items=(), revision=replica.revision, base=replica.revision
            )
            found.append(self._pack(kind, news))
        return found

    def _pack(self, kind: ObjectKind, news: ObjectDelta) -> Known:
        age_s = self._directory.replicas[kind].age_s(self.kernel.now_s())
        return pack_delta(kind.value, news, age_s)

    def _forward(self, root: str, known: Iterable[Known]) -> None:
        cfg = self.kernel.cfg
        peers = {
            each.name: each
            for each in self._directory.members_of(cfg.data_centre)
        }
        for name in broadcast_children(list(peers), root, cfg.name):
            if name in peers:
                self.spawn(self._send(peers[name].address, root, known))

    async def _send(
        self, address: str, root: str, known: Iterable[Known]
    ) -> None:
        msg = SyncRequest(source=self._own(), known=known, root=root)
        reply = await self._links.call(address, 'Sync', msg)
        if reply is not None:
            self._take(reply.known)

    def _far_peers(self) -> list[str]:
        found: list[str] = []
        members = self._directory.members
        own = self.kernel.cfg.data_centre
        centres = {each.data_centre for each in members.values()} - {own}
        for centre in sorted(centres):
            names = self._directory.ranked_members(WATCH_SEED, centre)[
                :FAR_NODES
            ]
            found += [members[name].address for name in names]
        return found

    async def _ask_loop(self) -> None:
        while True:
            await sleep(ASK_PERIOD_S * (0.5 + self.kernel.rng.random()))
            if self.kernel.draining or not self._due():
                continue
            self._asked_s = self.kernel.now_s()
            address = self._random_peer()
            if address is not None:
                await self.pull(address)

    def _due(self) -> bool:
        now_s = self.kernel.now_s()
        ages = [
            self._directory.replicas[kind].age_s(now_s)
            for kind in (ObjectKind.PLAN, ObjectKind.TARGETS)
        ]
        stale = max(ages) > ASK_AFTER_S + HEARTBEAT_S
        return stale or now_s - self._asked_s > ASK_IDLE_S

    def _random_peer(self) -> str | None:
        """Return a peer; one of any data centre if this one has no news."""
        now_s = self.kernel.now_s()
        age_s = self._directory.replicas[ObjectKind.PLAN].age_s(now_s)
        centre: str | None = self.kernel.cfg.data_centre
        if age_s > ASK_AFTER_S or self.kernel.rng.random() < 0.1:
            centre = None
        found = [
            each.address
            for each in self._directory.members_of(centre)
            if each.name != self.kernel.cfg.name
        ]
        found = found or [
            seed for seed in self.kernel.cfg.seeds if seed != self._own()
        ]
        return self.kernel.rng.choice(found) if found else None

    async def ask_seeds(self) -> None:
        """Ask the nodes that the settings name."""
        own = self._own()
        seeds = [each for each in self.kernel.cfg.seeds if each != own]
        await gather(*(self.pull(seed) for seed in seeds))

    def _own(self) -> str:
        return self.kernel.cfg.peer_listen
