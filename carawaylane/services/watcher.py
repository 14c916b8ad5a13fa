"""The node's dealings with the platform: start, watching, appending."""

from __future__ import annotations

from asyncio import sleep
from typing import TYPE_CHECKING, Any
from uuid import uuid4

from carawaylane.decisions.placement import rank_nodes
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
RETRY_S = 0.5
ROLE_CHECK_S = 1.0
HOSTS_PERIOD_S = 1.0
APPEND_TRIES = 40
APPEND_PAUSE_S = 0.02
COMPACT_EVERY = 500
KEEP_CHANGES = 200
SEED_TIMEOUT_S = 2.0
# Times in a row that the list of hosts must lack a member's host.
GONE_READINGS = 3


@service('watcher')
class Watcher(Service):
    """Owns the connection to the object API.

    Only a few nodes of a data centre watch; which ones follows from the
    members, so that none is set aside and a lost one is replaced.
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
        self._missing: dict[str, int] = {}
        self._compacted = {CONFIG_LOG: 0, FLEET_LOG: 0}

    async def start(self) -> None:
        """Load both logs, join the fleet, then watch if it falls to us."""
        self._relay = self.kernel.find('relay')
        self.spawn(self._begin())

    async def drain(self) -> None:
        """Leave the fleet, unless the platform can't be reached."""
        if not self.joined:
            return
        oper = {'op': 'leave', 'member': self.kernel.member}
        await self.append(FLEET_LOG, [oper], tries=3)

    async def stop(self) -> None:
        """Close the connection."""
        await super().stop()
        await self._driver.close()

    @property
    def joined(self) -> bool:
        """Whether the fleet log shows this node as a member."""
        return self.kernel.member in self._relay.fleet.members

    async def append(
        self, log: str, ops: list[dict[str, Any]], *, tries: int = APPEND_TRIES
    ) -> bool:
        """Append operations to a log; False if the platform is away."""
        body = {'ops': ops, 'author': self.kernel.member}
        nonce = uuid4().hex
        for _ in range(tries):
            seq = self._relay.seq(log) + 1
            done = await self._stores[log].append(
                seq=seq, body=body, nonce=nonce
            )
            if isinstance(done, Appended):
                await self._catch_up(log)
                return True
            if isinstance(done, AppendConflict):
                await self._catch_up(log)
                await sleep(self.kernel.rng.uniform(0, APPEND_PAUSE_S))
                continue
            self._set_reachable(False)
            if tries < APPEND_TRIES:
                continue
            return False
        return False

    async def _begin(self) -> None:
        while not await self._load():
            await sleep(RETRY_S)
        self.logs_loaded = True
        self.spawn(self._watch_loop(CONFIG_LOG))
        self.spawn(self._watch_loop(FLEET_LOG))
        self.spawn(self._hosts_loop())
        while not await self._join():
            await sleep(RETRY_S)
        emit(JOINED, member=self.kernel.member)

    async def _load(self) -> bool:
        done = [await self._catch_up(log) for log in (CONFIG_LOG, FLEET_LOG)]
        if all(done):
            return True
        return await self._load_from_seeds()

    async def _load_from_seeds(self) -> bool:
        peers = self.kernel.find('peers')
        seeds = list(self.kernel.cfg.seeds)
        self.kernel.rng.shuffle(seeds)
        for seed in seeds:
            found = False
            for log in (FLEET_LOG, CONFIG_LOG):
                msg = PullRequest(log=log, after=self._relay.seq(log))
                reply = await peers.call(seed, 'Pull', msg, SEED_TIMEOUT_S)
                if reply is not None:
                    await self._relay.ask(
                        ApplyBatch(batch=unpack_batch(reply))
                    )
                    found = True
            if found and self._relay.seq(FLEET_LOG):
                return True
        return False

    async def _join(self) -> bool:
        cfg = self.kernel.cfg
        if self.joined:
            return True
        oper = {
            'op': 'join',
            'member': self.kernel.member,
            'host': cfg.name,
            'data_centre': cfg.data_centre,
            'rpc': cfg.rpc,
            'admin': cfg.admin,
            'at_ms': self.kernel.now_ms(),
        }
        return await self.append(FLEET_LOG, [oper])

    async def _catch_up(self, log: str) -> bool:
        batch = await self._stores[log].load(self._relay.seq(log))
        if isinstance(batch, Unavailable):
            self._set_reachable(False)
            return False
        self._set_reachable(True)
        await self._relay.ask(ApplyBatch(batch=batch))
        return True

    def _rank(self) -> int:
        """Return this node's place among the live ones of its centre."""
        cfg = self.kernel.cfg
        alive = self.kernel.find('membership').live_peers()
        near = [x.name for x in alive if x.data_centre == cfg.data_centre]
        order = rank_nodes([*near, self.kernel.member], ('', 0))
        return order.index(self.kernel.member)

    def _is_first(self) -> bool:
        alive = [
            each.name for each in self.kernel.find('membership').live_peers()
        ]
        return rank_nodes([*alive, self.kernel.member], ('', 0))[0] == (
            self.kernel.member
        )

    async def _watch_loop(self, log: str) -> None:
        while True:
            if self._rank() >= self.kernel.cfg.watchers:
                await sleep(ROLE_CHECK_S)
                continue
            seq = self._relay.seq(log)
            batch = await self._stores[log].watch(seq, WATCH_TIMEOUT_S)
            if isinstance(batch, Unavailable):
                self._set_reachable(False)
                await sleep(RETRY_S)
                continue
            self._set_reachable(True)
            await self._relay.ask(ApplyBatch(batch=batch))
            if batch.changes and self._relay.seq(log) == seq:
                await self._catch_up(log)
            await self._compact(log)

    async def _compact(self, log: str) -> None:
        seq = self._relay.seq(log)
        if seq - self._compacted[log] < COMPACT_EVERY or not self._is_first():
            return
        dumped = self._relay.replicas[log].state.dump()
        done = await self._stores[log].compact(
            seq=seq, state=dumped, keep_changes=KEEP_CHANGES
        )
        self._compacted[log] = seq
        if done:
            emit(SNAPSHOT_WRITTEN, log=log, seq=seq)

    async def _hosts_loop(self) -> None:
        while True:
            await sleep(HOSTS_PERIOD_S)
            if not self.joined or self._rank() or not self._is_first():
                continue
            found = await self._driver.hosts()
            if isinstance(found, Unavailable) or not found:
                continue
            shown = {each.name: each.leaving for each in found}
            await self._evict_gone(set(shown))
            await self._note_leaving(shown)

    async def _evict_gone(self, shown: set[str]) -> None:
        down = self.kernel.find('membership').down_members()
        for member in list(self._relay.fleet.members.values()):
            if member.host in shown or member.name not in down:
                self._missing.pop(member.name, None)
                continue
            count = self._missing.get(member.name, 0) + 1
            self._missing[member.name] = count
            if count < GONE_READINGS:
                continue
            oper = {
                'op': 'evict',
                'member': member.name,
                'at_ms': self.kernel.now_ms(),
                'window_ms': self.kernel.cfg.resend_window_ms,
            }
            if await self.append(FLEET_LOG, [oper]):
                emit(MEMBER_EVICTED, member=member.name)

    async def _note_leaving(self, shown: dict[str, bool]) -> None:
        known = self._relay.fleet.leaving_hosts
        ops = [
            {'op': 'host', 'host': name, 'leaving': leaving}
            for name, leaving in shown.items()
            if leaving != (name in known)
        ]
        if ops:
            await self.append(FLEET_LOG, ops)

    def _set_reachable(self, reachable: bool) -> None:
        if reachable != self.platform_reachable:
            emit(PLATFORM_UP if reachable else PLATFORM_DOWN)
        self.platform_reachable = reachable
