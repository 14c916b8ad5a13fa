"""Follows the platform's store for this data centre, and registers here."""

from __future__ import annotations

from asyncio import sleep
from typing import TYPE_CHECKING

from attrs import evolve

from carawaylane.decisions.dissemination import WATCH_SEED, should_watch
from carawaylane.kernel.service import Service, service
from carawaylane.messages.platform_objects import Member
from carawaylane.messages.stored_objects import ObjectDelta, ObjectKind
from carawaylane.platform.documents import member_spec
from carawaylane.platform.objects import HistoryExpired, ObjectStoreClient
from carawaylane.storage.driver import Unavailable
from carawaylane.telemetry.events import (
    HISTORY_EXPIRED,
    JOINED,
    PLATFORM_DOWN,
    PLATFORM_UP,
    WATCH_DUTY,
    emit,
)

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel

# How long a watch waits at the store: each return is a call that is paid
# for, and a lost connection goes unnoticed as long.
WAIT_S = {
    ObjectKind.PLAN: 2.0,
    ObjectKind.TARGETS: 2.0,
    ObjectKind.MEMBERS: 10.0,
}
DUTY_PERIOD_S = 0.2
RETRY_S = 0.4
# A cold start: all nodes register at once, then read who is there.
SETTLE_S = 0.3
# A store that was silent this long to every node was out.
OUTAGE_S = 3.2


@service('store_watch')
class StoreWatch(Service):
    """One task for each kind of object, active while this node is on duty."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        cfg = kernel.cfg
        self._store = ObjectStoreClient(address=cfg.store_address)
        self._listed: set[ObjectKind] = set()
        self._up = True
        self._on_duty = False
        self._lapsing_until_s = 0.0

    async def start(self) -> None:
        """Begin to join and to follow."""
        self._directory = self.kernel.find('directory')
        self._object_sync = self.kernel.find('news')
        self.spawn(self._join())
        for kind in ObjectKind:
            self.spawn(self._follow(kind))
        self.spawn(self._heartbeats())

    async def drain(self) -> None:
        """Take this node off the list while it still serves.

        A store that is down must not hold up the stop.
        """
        self.spawn(self._leave())

    async def _leave(self) -> None:
        name = self.kernel.cfg.name
        while True:
            done = await self._store.delete(ObjectKind.MEMBERS, name)
            self._note(done)
            if not isinstance(done, Unavailable):
                return
            await self._pause()

    async def stop(self) -> None:
        """Close the connections to the store."""
        await super().stop()
        await self._store.close()

    async def _join(self) -> None:
        """Register, then learn of the others from seeds or the store."""
        cfg = self.kernel.cfg
        own = Member(
            name=cfg.name,
            address=cfg.peer_listen,
            data_centre=cfg.data_centre,
            cores=cfg.cores,
        )
        self._directory.add_member(own)
        self.spawn(self._register(own))
        await sleep(SETTLE_S * (0.5 + self.kernel.rng.random()))
        while not self.kernel.draining:
            await self._object_sync.sync_with_seeds()
            if self._directory.plan is not None:
                break
            await self._list(ObjectKind.MEMBERS)
            if self._directory.replicas[ObjectKind.MEMBERS].revision:
                break
            await sleep(RETRY_S)
        emit(JOINED, member=cfg.name, members=len(self._directory.members))

    async def _register(self, own: Member) -> None:
        value = member_spec(own)
        while not self.kernel.draining:
            done = await self._store.create(
                ObjectKind.MEMBERS, own.name, value
            )
            if done is False:
                known = self._directory.members.get(own.name)
                if known == own:
                    return
                done = await self._store.replace(
                    ObjectKind.MEMBERS, own.name, value
                )
            if done is True:
                return
            await self._pause()

    async def _follow(self, kind: ObjectKind) -> None:
        while True:
            if self.kernel.draining or not self._duty(kind):
                await sleep(DUTY_PERIOD_S)
                continue
            if self._directory.replicas[kind].revision == 0:
                await self._list(kind)
            else:
                await self._watch(kind)

    async def _pause(self) -> None:
        """Wait before the store is asked again; not all nodes at once."""
        await sleep(RETRY_S * (1 + self.kernel.rng.random()))

    def _duty(self, kind: ObjectKind) -> bool:
        cfg = self.kernel.cfg
        replica = self._directory.replicas[kind]
        names = self._directory.ranked_members(WATCH_SEED, cfg.data_centre)
        rank = names.index(cfg.name) if cfg.name in names else len(names)
        beat_s = WAIT_S[kind]
        age_s = replica.age_s(self.kernel.now_s()) - beat_s
        on_duty = should_watch(rank, age_s)
        if kind is ObjectKind.PLAN and on_duty != self._on_duty:
            self._on_duty = on_duty
            emit(
                WATCH_DUTY,
                on=on_duty,
                rank=rank,
                age_s=round(min(age_s, 3600.0), 2),
            )
        return on_duty

    async def _list(self, kind: ObjectKind) -> None:
        found = await self._store.list_all(kind)
        self._note(found)
        if isinstance(found, Unavailable):
            await self._pause()
            return
        self._learn(kind, found)

    async def _watch(self, kind: ObjectKind) -> None:
        revision = self._directory.replicas[kind].revision
        found = await self._store.watch(
            kind, revision=revision, wait_s=WAIT_S[kind]
        )
        self._note(found)
        match found:
            case ObjectDelta():
                self._learn(kind, found)
            case HistoryExpired():
                emit(HISTORY_EXPIRED, kind=kind.name, revision=revision)
                await self._list(kind)
            case Unavailable():
                await self._pause()

    def _learn(self, kind: ObjectKind, found: ObjectDelta) -> None:
        if kind is ObjectKind.TARGETS:
            found = self._mark_lapses(found)
        before = self._directory.replicas[kind].revision
        self._directory.apply_delta(kind, found, 0.0)
        if self._directory.replicas[kind].revision > before and found.items:
            self._object_sync.broadcast(kind, found)

    def _mark_lapses(self, found: ObjectDelta) -> ObjectDelta:
        """Mark removals that follow an outage, which may be undone soon."""
        now_s = self.kernel.now_s()
        replica = self._directory.replicas[ObjectKind.TARGETS]
        if replica.revision and replica.age_s(now_s) > OUTAGE_S:
            self._lapsing_until_s = now_s + OUTAGE_S
        if now_s >= self._lapsing_until_s:
            return found
        items = tuple(
            evolve(each, lapsed=each.data is None) for each in found.items
        )
        return evolve(found, items=items)

    def _note(self, found: object) -> None:
        """Log when the store is lost or regained."""
        up = not isinstance(found, Unavailable)
        if up == self._up:
            return
        self._up = up
        if isinstance(found, Unavailable):
            emit(PLATFORM_DOWN, reason=found.reason)
        else:
            emit(PLATFORM_UP)

    async def _heartbeats(self) -> None:
        while True:
            await sleep(1.0)
            if self._on_duty and not self.kernel.draining:
                self._object_sync.broadcast_heartbeat()
