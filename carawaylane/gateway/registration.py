"""Registers this node in the platform's store, and removes it at a stop."""

from __future__ import annotations

from asyncio import sleep
from typing import TYPE_CHECKING

from carawaylane.kernel.service import Service, service
from carawaylane.messages.platform_objects import Member
from carawaylane.messages.stored_objects import ObjectKind
from carawaylane.platform.documents import member_spec
from carawaylane.storage.driver import Unavailable
from carawaylane.telemetry.events import WRITE_REPEATED, emit

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel

# Period at which a node checks whether the store still lists it.
CHECK_PERIOD_S = 0.2
# A node whose object the copy of the members lacks for this long registers
# again. A copy usually lags by less.
UNLISTED_S = 1.0
# After a restore of the store, all nodes together register at this rate.
REGISTRATIONS_PER_S = 400.0


@service('registration')
class Registration(Service):
    """Keeps the object of this node among the members in the store."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        # Whether this node's object was in the store.
        self._registered = False

    async def start(self) -> None:
        """Start registering this node."""
        self._directory = self.kernel.find('directory')
        self._store_watch = self.kernel.find('store_watch')
        self._store = self._store_watch.store
        self._metrics = self.kernel.find('telemetry').metrics
        own_member = self._own_member()
        self._directory.add_member(own_member)
        self.spawn(self._register(own_member))
        self.spawn(self._registration_loop())

    async def drain(self) -> None:
        """Start removing this node from the list of members.

        It still serves meanwhile. The drain does not wait for the store,
        which may be down.
        """
        for callback in self.kernel.before_leaving:
            callback()
        self.spawn(self._deregister())

    async def _deregister(self) -> None:
        name = self.kernel.cfg.name
        while True:
            result = await self._store.delete(ObjectKind.MEMBERS, name)
            self._store_watch.contact.log_state(result)
            if not isinstance(result, Unavailable):
                return
            await self._store_watch.delay_retry()

    def _own_member(self) -> Member:
        cfg = self.kernel.cfg
        return Member(
            name=cfg.name,
            address=cfg.peer_listen,
            data_centre=cfg.data_centre,
            cores=cfg.cores,
            link_mbps=cfg.link_mbps,
        )

    async def _register(self, own_member: Member) -> None:
        spec = member_spec(own_member)
        # An earlier run of this node may have left its object in the store.
        while not self.kernel.draining:
            result = await self._store.create(
                ObjectKind.MEMBERS, own_member.name, spec
            )
            if result is False:
                listed = self._directory.members.get(own_member.name)
                if listed == own_member:
                    self._registered = True
                    return
                result = await self._store.replace(
                    ObjectKind.MEMBERS, own_member.name, spec
                )
            if result is True:
                self._registered = True
                return
            await self._store_watch.delay_retry()

    async def _registration_loop(self) -> None:
        """Register again if the store no longer lists this node.

        A store that was restored from an older copy has lost the object, and
        another writer may have spoiled it.
        """
        due_at_s: float | None = None
        while True:
            await sleep(CHECK_PERIOD_S)
            if self.kernel.draining or not self._is_unlisted():
                due_at_s = None
                continue
            now_s = self.kernel.now_s()
            if due_at_s is None:
                # Spreads the writes of all nodes.
                spread_s = len(self._directory.members) / REGISTRATIONS_PER_S
                due_at_s = (
                    now_s + UNLISTED_S + spread_s * self.kernel.rng.random()
                )
            if now_s >= due_at_s:
                due_at_s = None
                await self._register(self._own_member())
                self._metrics.count('writes_repeated')
                emit(WRITE_REPEATED, member=self.kernel.cfg.name)

    def _is_unlisted(self) -> bool:
        """Return whether the copy lacks this node, which has registered.

        An entry that can't be read, of another writer, counts as none.
        """
        replica = self._directory.replicas[ObjectKind.MEMBERS]
        listed = replica.items.get(self.kernel.cfg.name)
        return (
            self._registered
            and replica.revision > 0
            and (
                listed is None
                or listed.data is None
                or self.kernel.cfg.name not in self._directory.members
            )
        )
