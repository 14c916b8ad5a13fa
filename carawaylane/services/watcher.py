"""The node's use of the platform: loading, watching and appending to logs.

The best ranked node of the fleet also evicts members whose hosts the platform
no longer lists, and records in the fleet log which hosts are leaving.
"""

from __future__ import annotations

from asyncio import sleep
from typing import TYPE_CHECKING, Any
from uuid import uuid4

from carawaylane.decisions.ownership.placement import rank_nodes
from carawaylane.kernel.service import Service, service
from carawaylane.messages.logs import ApplyBatch
from carawaylane.rpc.node_pb2 import PullRequest
from carawaylane.services.relay import CONFIG_LOG, FLEET_LOG, unpack_batch
from carawaylane.storage.driver import Unavailable, make_driver
from carawaylane.storage.log import AppendConflict, Appended, LogStore
from carawaylane.telemetry.events import (
    JOINED,
    MEMBER_EVICTED,
    PLATFORM_DOWN,
    PLATFORM_UP,
    SNAPSHOT_WRITTEN,
    emit,
)

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel

WATCH_TIMEOUT_S = 30.0
RETRY_DELAY_S = 0.5
RANK_CHECK_PERIOD_S = 1.0
HOST_LIST_PERIOD_S = 1.0
APPEND_ATTEMPTS = 40
# Upper bound of the random delay after a conflict with another writer.
MAX_CONFLICT_DELAY_S = 0.02
# Changes of a log between two snapshots, and those kept after a snapshot.
COMPACTION_INTERVAL_CHANGES = 500
RETAINED_CHANGES = 200
SEED_TIMEOUT_S = 2.0
# A member is evicted when this many readings of the host list in a row lack
# its host.
READINGS_BEFORE_EVICTION = 3


@service('watcher')
class Watcher(Service):
    """Owns the connection to the object API of the platform.

    Only the best ranked nodes of each data centre watch the logs. Ranks follow
    from the live members, so that no node has to be appointed and a lost
    watcher is replaced.
    """

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        cfg = kernel.cfg
        self._driver = make_driver(cfg.platform_driver, cfg.platform)
        self._stores = {
            name: LogStore(driver=self._driver, name=name)
            for name in (CONFIG_LOG, FLEET_LOG)
        }
        self.platform_reachable = True
        self.logs_loaded = False
        self._missing_readings: dict[str, int] = {}
        self._compacted_seqs = {CONFIG_LOG: 0, FLEET_LOG: 0}

    async def start(self) -> None:
        """Start loading both logs, joining the fleet and watching."""
        self._relay = self.kernel.find('relay')
        self.spawn(self._load_and_join())

    async def drain(self) -> None:
        """Leave the fleet, if the platform can be reached."""
        if not self.joined:
            return
        operation = {'op': 'leave', 'member': self.kernel.member}
        await self.append(FLEET_LOG, [operation], max_attempts=3)

    async def stop(self) -> None:
        """Close the connection to the platform."""
        await super().stop()
        await self._driver.close()

    @property
    def joined(self) -> bool:
        """Whether the fleet log shows this node as a member."""
        return self.kernel.member in self._relay.fleet.members

    async def append(
        self,
        log: str,
        ops: list[dict[str, Any]],
        *,
        max_attempts: int = APPEND_ATTEMPTS,
    ) -> bool:
        """Append operations to a log; return whether that succeeded.

        After a conflict with another writer it loads the missing changes and
        appends again. An unavailable platform ends the attempts, unless
        `max_attempts` is smaller than the default.
        """
        body = {'ops': ops, 'author': self.kernel.member}
        nonce = uuid4().hex
        for _ in range(max_attempts):
            seq = self._relay.seq(log) + 1
            outcome = await self._stores[log].append(
                seq=seq, body=body, nonce=nonce
            )
            if isinstance(outcome, Appended):
                await self._load_missing_changes(log)
                return True
            if isinstance(outcome, AppendConflict):
                await self._load_missing_changes(log)
                await sleep(self.kernel.rng.uniform(0, MAX_CONFLICT_DELAY_S))
                continue
            self._set_reachable(False)
            if max_attempts < APPEND_ATTEMPTS:
                continue
            return False
        return False

    async def _load_and_join(self) -> None:
        while not await self._load_logs():
            await sleep(RETRY_DELAY_S)
        self.logs_loaded = True
        self.spawn(self._watch_loop(CONFIG_LOG))
        self.spawn(self._watch_loop(FLEET_LOG))
        self.spawn(self._host_list_loop())
        while not await self._join():
            await sleep(RETRY_DELAY_S)
        emit(JOINED, member=self.kernel.member)

    async def _load_logs(self) -> bool:
        loaded = [
            await self._load_missing_changes(log)
            for log in (CONFIG_LOG, FLEET_LOG)
        ]
        if all(loaded):
            return True
        return await self._load_from_seeds()

    async def _load_from_seeds(self) -> bool:
        peers = self.kernel.find('peers')
        seeds = list(self.kernel.cfg.seeds)
        self.kernel.rng.shuffle(seeds)
        for seed in seeds:
            answered = False
            for log in (FLEET_LOG, CONFIG_LOG):
                msg = PullRequest(log=log, after=self._relay.seq(log))
                reply = await peers.call(seed, 'Pull', msg, SEED_TIMEOUT_S)
                batch = None if reply is None else unpack_batch(reply)
                if batch is not None:
                    await self._relay.ask(ApplyBatch(batch=batch))
                    answered = True
            if answered and self._relay.seq(FLEET_LOG):
                return True
        return False

    async def _join(self) -> bool:
        cfg = self.kernel.cfg
        if self.joined:
            return True
        operation = {
            'op': 'join',
            'member': self.kernel.member,
            'host': cfg.name,
            'data_centre': cfg.data_centre,
            'rpc': cfg.rpc,
            'admin': cfg.admin,
            'at_ms': self.kernel.now_ms(),
        }
        return await self.append(FLEET_LOG, [operation])

    async def _load_missing_changes(self, log: str) -> bool:
        batch = await self._stores[log].load(self._relay.seq(log))
        if isinstance(batch, Unavailable):
            self._set_reachable(False)
            return False
        self._set_reachable(True)
        await self._relay.ask(ApplyBatch(batch=batch))
        return True

    def _data_centre_rank(self) -> int:
        """Return this node's rank in its data centre, 0 for the best."""
        cfg = self.kernel.cfg
        live_peers = self.kernel.find('membership').live_peers()
        same_data_centre = [
            peer.name
            for peer in live_peers
            if peer.data_centre == cfg.data_centre
        ]
        # Nodes are ranked for a shard; this one belongs to no service.
        ranked = rank_nodes([*same_data_centre, self.kernel.member], ('', 0))
        return ranked.index(self.kernel.member)

    def _ranks_first_in_fleet(self) -> bool:
        live_nodes = [
            peer.name for peer in self.kernel.find('membership').live_peers()
        ]
        return rank_nodes([*live_nodes, self.kernel.member], ('', 0))[0] == (
            self.kernel.member
        )

    async def _watch_loop(self, log: str) -> None:
        while True:
            if self._data_centre_rank() >= self.kernel.cfg.watchers:
                await sleep(RANK_CHECK_PERIOD_S)
                continue
            seq = self._relay.seq(log)
            asked_at_s = self.kernel.now_s()
            batch = await self._stores[log].watch(seq, WATCH_TIMEOUT_S)
            if isinstance(batch, Unavailable):
                self._set_reachable(False)
                await sleep(RETRY_DELAY_S)
                continue
            self._set_reachable(True)
            await self._relay.ask(ApplyBatch(batch=batch))
            # If the replica hasn't advanced, changes before these are missing.
            if batch.changes and self._relay.seq(log) == seq:
                await self._load_missing_changes(log)
            await self._compact(log)
            answered_in_s = self.kernel.now_s() - asked_at_s
            if self._relay.seq(log) == seq and answered_in_s < RETRY_DELAY_S:
                # Objects of another writer end each watch at once.
                await sleep(RETRY_DELAY_S)

    async def _compact(self, log: str) -> None:
        seq = self._relay.seq(log)
        if (
            seq - self._compacted_seqs[log] < COMPACTION_INTERVAL_CHANGES
            or not self._ranks_first_in_fleet()
        ):
            return
        state = self._relay.replicas[log].state.dump()
        written = await self._stores[log].compact(
            seq=seq, state=state, keep_changes=RETAINED_CHANGES
        )
        self._compacted_seqs[log] = seq
        if written:
            emit(SNAPSHOT_WRITTEN, log=log, seq=seq)

    async def _host_list_loop(self) -> None:
        while True:
            await sleep(HOST_LIST_PERIOD_S)
            if (
                not self.joined
                or self._data_centre_rank()
                or not self._ranks_first_in_fleet()
            ):
                continue
            hosts = await self._driver.hosts()
            if isinstance(hosts, Unavailable) or not hosts:
                continue
            leaving_by_host = {host.name: host.leaving for host in hosts}
            await self._evict_lost_members(set(leaving_by_host))
            await self._record_leaving_hosts(leaving_by_host)

    async def _evict_lost_members(self, listed_hosts: set[str]) -> None:
        down = self.kernel.find('membership').down_members()
        for member in list(self._relay.fleet.members.values()):
            if member.host in listed_hosts or member.name not in down:
                self._missing_readings.pop(member.name, None)
                continue
            missing_count = self._missing_readings.get(member.name, 0) + 1
            self._missing_readings[member.name] = missing_count
            if missing_count < READINGS_BEFORE_EVICTION:
                continue
            operation = {
                'op': 'evict',
                'member': member.name,
                'at_ms': self.kernel.now_ms(),
                'window_ms': self.kernel.cfg.resend_window_ms,
            }
            if await self.append(FLEET_LOG, [operation]):
                emit(MEMBER_EVICTED, member=member.name)

    async def _record_leaving_hosts(
        self, leaving_by_host: dict[str, bool]
    ) -> None:
        recorded = self._relay.fleet.leaving_hosts
        ops = [
            {'op': 'host', 'host': name, 'leaving': leaving}
            for name, leaving in leaving_by_host.items()
            if leaving != (name in recorded)
        ]
        if ops:
            await self.append(FLEET_LOG, ops)

    def _set_reachable(self, reachable: bool) -> None:
        if reachable != self.platform_reachable:
            emit(PLATFORM_UP if reachable else PLATFORM_DOWN)
        self.platform_reachable = reachable
