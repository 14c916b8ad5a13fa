"""Watches the platform's store."""

from __future__ import annotations

from asyncio import Event, sleep
from itertools import cycle
from typing import TYPE_CHECKING

from attrs import evolve

from carawaylane.decisions.propagation.dissemination import WATCH_SEED
from carawaylane.decisions.propagation.watch_duty import (
    HEARTBEAT_PERIOD_S,
    OUTAGE_HEARTBEAT_PERIOD_S,
    OUTAGE_WATCHERS,
    watch_wait_s,
)
from carawaylane.gateway.store_contact import StoreContact
from carawaylane.kernel.service import Service, service
from carawaylane.messages.stored_objects import (
    ObjectDelta,
    ObjectKind,
    revision_in_era,
)
from carawaylane.platform.objects import HistoryExpired, ObjectStoreClient
from carawaylane.storage.driver import Unavailable
from carawaylane.telemetry.events import (
    HISTORY_EXPIRED,
    JOINED,
    WATCH_DUTY,
    emit,
)

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel

# The store answers a watch after this time even if nothing has changed. A
# shorter time costs more calls; a longer one delays the detection of a lost
# connection. That of the routes follows from the operators' bound, as their
# watch tells whether the store answers this node.
WATCH_WAIT_S = {
    ObjectKind.TARGETS: 2.0,
    ObjectKind.MEMBERS: 10.0,
}
# Time from an answer with changes until the next watch. A change that comes
# alone is not delayed. Changes in quick succession, such as the registrations
# when a fleet starts, share a call and a broadcast to all nodes.
WATCH_PAUSE_S = {
    ObjectKind.PLAN: 0.0,
    ObjectKind.TARGETS: 0.1,
    ObjectKind.MEMBERS: 0.5,
}
# Period at which a node that does not watch checks whether it should.
WATCH_CHECK_PERIOD_S = 0.1
RETRY_DELAY_S = 0.4
# The same for a watcher that the store turns away, if others get answers or
# OUTAGE_WATCHERS rank better.
SPARE_RETRY_DELAY_S = 2.0
# A starting node asks one seed after the other at this period until one has
# sent copies, and asks the store after SEED_WAIT_S. At a cold start, the seeds
# get their copies meanwhile.
SEED_PERIOD_S = 0.08
SEED_WAIT_S = 0.35
SEED_POLL_S = 0.02
# Packets to a seed that does not listen yet may get no reply, not even an
# error, so that the next try needs a connection of its own.
SEED_CONNECT_TIMEOUT_S = 0.12
# A node that gets no copies from peers within this time after it has joined
# lists the objects itself, whatever its rank.
COPY_WAIT_S = 0.3
# The same while a peer sends a large configuration: all nodes that start
# together would overload the store with it.
LARGE_COPY_WAIT_S = 3.0
# A node that got fresh copies from a seed does not watch until it is listed
# itself, or for this time: before, the members that start with it may not be
# listed either, so its rank is not known.
RANK_WAIT_S = 1.0


@service('store_watch')
class StoreWatch(Service):
    """Watches each kind of object in a task of its own.

    Only a few nodes of a data centre watch the store, see `WatchDuty`. They
    send the changes to the other nodes.
    """

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        cfg = kernel.cfg
        rejected = kernel.find('directory').rejected
        self.store = ObjectStoreClient(
            address=cfg.store_address,
            on_rejected=rejected.add,
            on_gone=rejected.discard,
        )
        self.contact = StoreContact(
            kernel=kernel, on_announcement=self._announce
        )
        bound_s = cfg.bounds.config_propagation_s
        self._watch_wait_s = {
            ObjectKind.PLAN: watch_wait_s(bound_s),
            **WATCH_WAIT_S,
        }
        # Whether this node watches the store for its data centre.
        self._on_duty = False
        # What the last heartbeat said of the store; None if there was none
        # since this node went on duty.
        self._announced: bool | None = None
        self._heartbeat_at_s = 0.0
        # Set, and replaced, when the kinds that this node watches change.
        self._duty_changed = Event()
        self._rank = 0
        # Set once the watch loops may call the store.
        self._joined = Event()
        self._joined_at_s = 0.0

    async def start(self) -> None:
        """Start watching the store."""
        self._directory = self.kernel.find('directory')
        self._object_sync = self.kernel.find('news')
        self.spawn(self._join())
        self.spawn(self._duty_loop())
        for kind in ObjectKind:
            self.spawn(self._watch_loop(kind))
        self.spawn(self._heartbeat_loop())

    async def stop(self) -> None:
        """Close the connections to the store."""
        await super().stop()
        await self.store.close()

    async def _join(self) -> None:
        """Get the list of members from seeds or the store.

        A seed, which others ask, gets all its copies from the store at once.
        """
        cfg = self.kernel.cfg
        if self._is_seed():
            self._set_joined()
        self.spawn(self._ask_seeds())
        asked_at_s = self.kernel.now_s()
        while (
            self._directory.plan is None
            and self.kernel.now_s() - asked_at_s < SEED_WAIT_S
        ):
            await sleep(SEED_POLL_S)
        members = self._directory.replicas[ObjectKind.MEMBERS]
        while not self.kernel.draining and not members.revision:
            await self._list_objects(ObjectKind.MEMBERS)
        if self._directory.plan is not None:
            # The seeds may be cut off from the store.
            for kind in self._object_sync.stale_kinds():
                await self._list_objects(kind)
        self._set_joined()
        emit(JOINED, member=cfg.name, members=len(self._directory.members))

    async def _ask_seeds(self) -> None:
        """Ask one seed after the other, as each sends all objects.

        One that does not reply does not delay the next.
        """
        seeds = self._object_sync.other_seeds()
        self.kernel.rng.shuffle(seeds)
        for seed in cycle(seeds):
            if self._directory.plan is not None or self.kernel.draining:
                return
            if not self._object_sync.is_fetching():
                self.spawn(
                    self._object_sync.sync_with(seed, SEED_CONNECT_TIMEOUT_S)
                )
            await sleep(SEED_PERIOD_S)

    def _set_joined(self) -> None:
        if not self._joined.is_set():
            self._joined_at_s = self.kernel.now_s()
            self._joined.set()

    def _is_seed(self) -> bool:
        seeds = self.kernel.cfg.seeds
        return not seeds or self.kernel.cfg.peer_listen in seeds

    async def _duty_loop(self) -> None:
        """Keep up to date whether this node watches the store."""
        await self._joined.wait()
        while True:
            on_duty = not self.kernel.draining and self._is_duty_due()
            if on_duty != self._on_duty:
                self._set_duty(on_duty)
            if not on_duty and self._is_rank_known():
                # This node would not learn of their end.
                self.store.forget_unnamed()
            await sleep(WATCH_CHECK_PERIOD_S)

    def _set_duty(self, on_duty: bool) -> None:
        replica = self._directory.replicas[ObjectKind.PLAN]
        # A copy that was never confirmed has an infinite age.
        age_s = min(replica.age_s(self.kernel.now_s()), 3600.0)
        emit(WATCH_DUTY, on=on_duty, rank=self._rank, age_s=round(age_s, 2))
        self._on_duty = on_duty
        self.contact.forget_answers()
        self._announced = None
        self._notify_watch_loops()

    async def _watch_loop(self, kind: ObjectKind) -> None:
        await self._joined.wait()
        while True:
            has_copy = self._directory.replicas[kind].revision > 0
            if has_copy and self._is_watching(kind):
                await self._watch_objects(kind)
            elif has_copy:
                await self._duty_changed.wait()
            elif not self.kernel.draining and self._should_list(kind):
                await self._list_objects(kind)
            else:
                await sleep(WATCH_CHECK_PERIOD_S)

    def _notify_watch_loops(self) -> None:
        self._duty_changed.set()
        self._duty_changed = Event()

    def _should_list(self, kind: ObjectKind) -> bool:
        """Return whether this node, which has no copy, gets it itself."""
        waited_s = self.kernel.now_s() - self._joined_at_s
        wait_s = COPY_WAIT_S
        if kind is ObjectKind.PLAN and self._object_sync.is_fetching():
            wait_s = LARGE_COPY_WAIT_S
        return self._is_seed() or waited_s > wait_s or self._on_duty

    def _is_watching(self, kind: ObjectKind) -> bool:
        """Return whether to watch; only the routes until there is an answer.

        So a store that is down gets few calls.
        """
        return self._on_duty and (
            kind is ObjectKind.PLAN or self.contact.is_answered()
        )

    async def delay_retry(self, delay_s: float = RETRY_DELAY_S) -> None:
        """Wait for a random time, so that not all nodes retry at once."""
        await sleep(delay_s * (1 + self.kernel.rng.random()))

    def _is_duty_due(self) -> bool:
        if not self._is_rank_known():
            return False
        cfg = self.kernel.cfg
        names = self._directory.ranked_members(WATCH_SEED, cfg.data_centre)
        self._rank = names.index(cfg.name) if cfg.name in names else len(names)
        return self._object_sync.watch_duty.is_due(names, self.kernel.now_s())

    def _is_rank_known(self) -> bool:
        members = self._directory.replicas[ObjectKind.MEMBERS].items
        listed = members.get(self.kernel.cfg.name)
        joined_for_s = self.kernel.now_s() - self._joined_at_s
        return (
            (listed is not None and listed.data is not None)
            or self._is_seed()
            or joined_for_s > RANK_WAIT_S
        )

    async def _list_objects(self, kind: ObjectKind) -> None:
        result = await self.contact.wait_for(kind, self.store.list_all(kind))
        if isinstance(result, Unavailable):
            await self.delay_retry()
            return
        self._apply_delta(kind, result)

    async def _watch_objects(self, kind: ObjectKind) -> None:
        """Wait for changes, or ask for them if the last call has failed."""
        revision = self._directory.replicas[kind].revision
        has_failed = not self.contact.is_answered(kind)
        wait_s = 0.0 if has_failed else self._watch_wait_s[kind]
        result = await self.contact.wait_for(
            kind,
            self.store.watch(kind, revision=revision, wait_s=wait_s),
            wait_s,
        )
        match result:
            case ObjectDelta():
                self._apply_delta(kind, result)
                if result.items:
                    await sleep(WATCH_PAUSE_S[kind])
            case HistoryExpired():
                emit(
                    HISTORY_EXPIRED,
                    kind=kind.name,
                    revision=revision_in_era(revision),
                )
                await self._list_objects(kind)
            case Unavailable() if has_failed:
                await self.delay_retry(self._watch_retry_delay_s())

    def _announce(self) -> None:
        """Send a heartbeat if it would say something else of the store."""
        if self._on_duty and self.contact.is_answered() != self._announced:
            self._notify_watch_loops()
            # Nodes that rank below need not take over, or have to.
            self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        self._announced = self.contact.is_answered()
        self._heartbeat_at_s = self.kernel.now_s()
        self._object_sync.broadcast_heartbeat(self._announced)

    def _watch_retry_delay_s(self) -> float:
        is_spare = self._object_sync.watch_duty.hears_answered(
            self.kernel.now_s()
        )
        if is_spare or self._rank >= OUTAGE_WATCHERS:
            return SPARE_RETRY_DELAY_S
        return RETRY_DELAY_S

    def _apply_delta(self, kind: ObjectKind, delta: ObjectDelta) -> None:
        """Apply changes from the store, and broadcast them if they are new."""
        if kind is ObjectKind.TARGETS:
            delta = self._mark_lapsed(delta)
        revision_before = self._directory.replicas[kind].revision
        self._directory.apply_delta(kind, delta, 0.0, 'store')
        is_newer = self._directory.replicas[kind].revision > revision_before
        is_first = not revision_before
        if (
            is_newer
            and delta.items
            and not (is_first and self._is_known(kind))
        ):
            self._object_sync.broadcast(kind, delta)

    def _is_known(self, kind: ObjectKind) -> bool:
        """Return whether others know what this node lists as it starts.

        Nodes without the members list these themselves. The watchers of the
        data centre send all other changes.
        """
        return (
            kind is ObjectKind.MEMBERS
            or self._object_sync.watch_duty.hears_answered(self.kernel.now_s())
        )

    def _mark_lapsed(self, delta: ObjectDelta) -> ObjectDelta:
        """Mark the removals after an outage as lapsed.

        The targets may be alive and register again soon.
        """
        if not self._directory.outages.may_be_lapses(self.kernel.now_s()):
            return delta
        items = tuple(
            evolve(item, lapsed=item.data is None) for item in delta.items
        )
        return evolve(delta, items=items)

    async def _heartbeat_loop(self) -> None:
        while True:
            await sleep(HEARTBEAT_PERIOD_S)
            if self._is_heartbeat_due():
                self._send_heartbeat()

    def _is_heartbeat_due(self) -> bool:
        if not self._on_duty or self._announced is None:
            # The first heartbeat follows the first answer, or the lack of it.
            return False
        elapsed_s = self.kernel.now_s() - self._heartbeat_at_s
        return self.contact.is_answered() or (
            elapsed_s > OUTAGE_HEARTBEAT_PERIOD_S - HEARTBEAT_PERIOD_S
        )
