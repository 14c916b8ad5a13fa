"""Shards that this node is home of: claims, fences and handovers."""

from __future__ import annotations

from asyncio import Semaphore, gather, sleep, timeout
from typing import TYPE_CHECKING

from carawaylane.decisions.fleet import EPOCH_STEP, Holding, ShardId
from carawaylane.decisions.journal import Fence, Promise
from carawaylane.decisions.ledger import KeyState
from carawaylane.decisions.placement import (
    choose_claimant,
    choose_successor,
    unowned_shards,
)
from carawaylane.decisions.succession import merge_promises
from carawaylane.kernel.service import Actor, handles, service
from carawaylane.messages.home import (
    AcceptHandover,
    ApplyFleetState,
    Configure,
    FenceOwner,
    HandOverShard,
    HandoverState,
    PromiseReceived,
    ProposeStandby,
    StandbyProgress,
    TakeOverAsStandby,
)
from carawaylane.messages.logs import FleetChanged
from carawaylane.rpc.codec import (
    pack_record,
    unpack_promise,
)
from carawaylane.rpc.node_pb2 import (
    Announcement,
    FenceRequest,
    HandoverRequest,
)
from carawaylane.services.catalogue import ServicesChanged
from carawaylane.services.journal import MakePromise
from carawaylane.services.shard import ShardHome
from carawaylane.services.targets import TargetClient

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel

REVIEW_S = 0.2
# A review of all shards although nothing seems to have moved.
REVIEW_ALL_S = 2.0
CLAIM_TIMEOUT_S = 2.0
FENCE_TIMEOUT_S = 0.5
FENCE_AGAIN_S = 0.5
FENCE_PARALLEL = 64
HAND_OVER_TIMEOUT_S = 5.0
HAND_OVER_TRIES = 3
DRAIN_POLL_S = 0.02


@service('homes')
class Homes(Actor):
    """Owns the shard homes of this node and their connections."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.by_shard: dict[ShardId, ShardHome] = {}
        self.owner_hints: dict[ShardId, Holding] = {}
        self._clients: dict[str, TargetClient] = {}
        self._moved = True

    async def start(self) -> None:
        """Follow the fleet and the configuration."""
        await super().start()
        self._relay = self.kernel.find('relay')
        self._peers = self.kernel.find('peers')
        self._membership = self.kernel.find('membership')
        self._catalogue = self.kernel.find('catalogue')
        self._relay.subscribe_fleet(self)
        self._catalogue.subscribe(self)
        self.spawn(self._review_loop())

    async def drain(self) -> None:
        """Hand every shard over, then finish what runs."""
        owned = [
            shard
            for shard, home in self.by_shard.items()
            if home.ownership.is_owner()
        ]
        await gather(*(self._hand_over(shard) for shard in owned))
        while any(
            home.open_request_count() for home in self.by_shard.values()
        ):
            await sleep(DRAIN_POLL_S)

    async def stop(self) -> None:
        """Stop the homes and close connections to targets."""
        await super().stop()
        for home in self.by_shard.values():
            await home.stop()
        for client in self._clients.values():
            await client.close()

    def newest_holding(self, shard: ShardId) -> Holding | None:
        """Return the newest owner known for a shard."""
        held = self._relay.fleet.holdings.get(shard)
        hint = self.owner_hints.get(shard)
        if held is None or (hint is not None and hint.epoch > held.epoch):
            return hint
        return held

    def record_owner_hint(
        self, shard: ShardId, owner: str, epoch: int
    ) -> None:
        """Remember an owner that the log does not show yet."""
        known = self.newest_holding(shard)
        if owner and (known is None or epoch > known.epoch):
            self.owner_hints[shard] = Holding(owner=owner, epoch=epoch)

    def target_client(self, address: str) -> TargetClient:
        """Return the connections to a target."""
        if address not in self._clients:
            self._clients[address] = TargetClient(address=address)
        return self._clients[address]

    async def get_or_create_home(self, shard: ShardId) -> ShardHome | None:
        """Return the home of a shard, made on first use."""
        known = self.by_shard.get(shard)
        if known is not None:
            return known
        spec = self._catalogue.config.services.get(shard[0])
        if spec is None or shard[1] >= spec.shards:
            return None
        made = ShardHome(kernel=self.kernel, shard=shard)
        fence = self.kernel.find('journal').state.fences.get(shard)
        if fence is not None and fence.successor != self.kernel.member:
            made.ownership.retire(owner=fence.successor, epoch=fence.epoch)
        self.by_shard[shard] = made
        await made.start()
        self._configure(made)
        return made

    async def make_promise(self, shard: ShardId, fence: Fence) -> Promise:
        """Return this node's promise to a successor, as entry and owner.

        The journal promises first: a home that is made later begins with
        what was promised, and one that stands by then is asked.
        """
        journal = self.kernel.find('journal')
        mine = await journal.ask(MakePromise(shard=shard, fence=fence))
        home = self.by_shard.get(shard)
        own = fence.successor == self.kernel.member
        if home is None or own or not mine.promised:
            return mine
        owned = await home.ask(
            FenceOwner(epoch=fence.epoch, successor=fence.successor)
        )
        return merge_promises(mine, owned)

    async def accept_handover(
        self, shard: ShardId, source: str, epoch: int, left: HandoverState
    ) -> bool:
        """Take a shard over from an owner that stops."""
        journal = self.kernel.find('journal')
        if not journal.state.may_forward(shard, epoch, self.kernel.member):
            return False
        home = await self.get_or_create_home(shard)
        if home is None or self.kernel.draining:
            return False
        done = await home.ask(AcceptHandover(epoch=epoch, state=left))
        if done:
            self.record_owner_hint(shard, self.kernel.member, epoch)
            self.spawn(self._record_handover(shard, epoch))
        return done

    @handles(ServicesChanged)
    def _apply_service_changes(self, msg: ServicesChanged) -> None:
        self._moved = True
        for shard, home in self.by_shard.items():
            if shard[0] in msg.names:
                self._configure(home)

    @handles(FleetChanged)
    def _fleet_moved(self, msg: FleetChanged) -> None:
        self._moved = True
        for shard, held in self._relay.fleet.holdings.items():
            if held.owner == self.kernel.member or shard in self.by_shard:
                self.spawn(self._follow_fleet(shard))
        for home in self.by_shard.values():
            self._configure(home)

    def _configure(self, home: ShardHome) -> None:
        spec = self._catalogue.config.services.get(home.shard[0])
        if spec is None:
            return
        targets = self._catalogue.config.shard_targets(*home.shard)
        leaving = frozenset(self._relay.fleet.leaving_hosts)
        home.post(
            Configure(service=spec, targets=targets, leaving_hosts=leaving)
        )

    async def _follow_fleet(self, shard: ShardId) -> None:
        home = await self.get_or_create_home(shard)
        if home is None:
            return
        if await home.ask(ApplyFleetState(fleet=self._relay.fleet)):
            await self._gather(home)

    async def _gather(self, home: ShardHome) -> None:
        """Ask for promises until all that are needed are in."""
        ownership = home.ownership
        epoch = ownership.epoch
        fence = Fence(epoch=epoch, successor=self.kernel.member)
        limit = Semaphore(FENCE_PARALLEL)
        # The former owner need not promise, but if it lives it can tell
        # the answers that it gave.
        extra = {ownership.previous_owner}
        while ownership.epoch == epoch and ownership.awaited_members:
            members = set(self._relay.fleet.members)
            asked = members & (ownership.awaited_members | extra)
            if ownership.awaited_members - members:
                # Another member may keep the journal of one that left.
                asked = members
            await gather(
                *(
                    self._ask_promise(home, name, fence, limit)
                    for name in asked
                )
            )
            if ownership.awaited_members:
                await sleep(FENCE_AGAIN_S)

    async def _ask_promise(
        self, home: ShardHome, member: str, fence: Fence, limit: Semaphore
    ) -> None:
        promise = await self._promise_of(home.shard, member, fence, limit)
        if promise is not None:
            await home.ask(
                PromiseReceived(
                    member=member, epoch=fence.epoch, promise=promise
                )
            )

    async def _promise_of(
        self, shard: ShardId, member: str, fence: Fence, limit: Semaphore
    ) -> Promise | None:
        if member == self.kernel.member:
            return await self.make_promise(shard, fence)
        msg = FenceRequest(
            service=shard[0],
            shard=shard[1],
            epoch=fence.epoch,
            successor=fence.successor,
        )
        async with limit:
            reply = await self._peers.call(
                member, 'Fence', msg, FENCE_TIMEOUT_S
            )
        return unpack_promise(reply) if reply is not None else None

    async def _review_loop(self) -> None:
        seen_down: set[str] = set()
        last_s = 0.0
        while True:
            await sleep(REVIEW_S)
            down = set(self._membership.down_members())
            due = self.kernel.now_s() - last_s >= REVIEW_ALL_S
            if self.kernel.draining or not (
                self._moved or due or down != seen_down
            ):
                continue
            self._moved = False
            seen_down = down
            last_s = self.kernel.now_s()
            await self._claim_orphans(down)

    async def _claim_orphans(self, down: set[str]) -> None:
        if not self.kernel.find('watcher').joined:
            return
        await self._keep_standbys(down)
        fleet = self._relay.fleet
        specs = list(self._catalogue.config.services.values())
        for shard in unowned_shards(fleet, specs, down):
            if self._hinted_alive(shard, down):
                continue
            own = self.kernel.member
            held = fleet.holdings.get(shard)
            standby = held is not None and held.standby == own
            if not standby and choose_claimant(fleet, shard, down) != own:
                continue
            if not await self._claim_in_time(shard) and standby:
                await self._stand_in(shard)

    async def _claim_in_time(self, shard: ShardId) -> bool:
        """Claim a shard; False if the platform does not say so in time.

        A claim that took effect all the same is heard of from the log.
        """
        try:
            async with timeout(CLAIM_TIMEOUT_S):
                return await self._claim(shard)
        except TimeoutError:
            return False

    async def _stand_in(self, shard: ShardId) -> None:
        """Take over without the log, which can't be reached."""
        home = await self.get_or_create_home(shard)
        if home is None:
            return
        if await home.ask(TakeOverAsStandby(fleet=self._relay.fleet)):
            self.spawn(self._gather_and_tell(home))

    async def _gather_and_tell(self, home: ShardHome) -> None:
        epoch = home.ownership.epoch
        await self._gather(home)
        if home.ownership.epoch == epoch and home.ownership.is_owner():
            self.record_owner_hint(home.shard, self.kernel.member, epoch)
            await self._record_handover(home.shard, epoch)

    async def _keep_standbys(self, down: set[str]) -> None:
        """See that each owned shard has a standby that keeps up."""
        own_seq = self._relay.seq('fleet')
        # Only joins matter to a standby: it must know all entries.
        members = self._relay.fleet.members.values()
        newest_join = max((each.join_seq for each in members), default=0)
        for shard, home in list(self.by_shard.items()):
            ownership = home.ownership
            held = self._relay.fleet.holdings.get(shard)
            if held is None or held.owner != self.kernel.member:
                continue
            if not ownership.is_owner() or ownership.epoch != held.epoch:
                continue
            if not ownership.standby:
                await self._name_standby(home, down, own_seq)
            elif not held.standby:
                await self._record_standby(home)
            elif (
                ownership.standby_seq < newest_join
                and ownership.standby not in down
            ):
                seq = await self._membership.fetch_fleet_seq(ownership.standby)
                home.post(StandbyProgress(member=ownership.standby, seq=seq))

    async def _name_standby(
        self, home: ShardHome, down: set[str], own_seq: int
    ) -> None:
        fleet = self._relay.fleet
        own = self.kernel.member
        chosen = choose_successor(fleet, home.shard, own, down)
        if chosen is None:
            return
        seq = await self._membership.fetch_fleet_seq(chosen)
        named = await home.ask(
            ProposeStandby(member=chosen, seq=seq, own_seq=own_seq)
        )
        if not named:
            self._moved = True
            return
        await self._record_standby(home)

    async def _record_standby(self, home: ShardHome) -> None:
        oper = {
            'op': 'standby',
            'service': home.shard[0],
            'shard': home.shard[1],
            'standby': home.ownership.standby,
            'expect_epoch': home.ownership.epoch,
        }
        await self.kernel.find('watcher').append('fleet', [oper])

    def _hinted_alive(self, shard: ShardId, down: set[str]) -> bool:
        held = self._relay.fleet.holdings.get(shard)
        known = self.newest_holding(shard)
        if known is None or known is held:
            return False
        alive = {each.name for each in self._membership.live_peers()}
        return known.owner in alive and known.owner not in down

    async def _claim(self, shard: ShardId) -> bool:
        held = self._relay.fleet.holdings.get(shard)
        oper = {
            'op': 'claim',
            'service': shard[0],
            'shard': shard[1],
            'owner': self.kernel.member,
            'expect_epoch': held.epoch if held else 0,
        }
        return await self.kernel.find('watcher').append('fleet', [oper])

    async def _record_handover(self, shard: ShardId, epoch: int) -> None:
        base = epoch - epoch % EPOCH_STEP
        held = self._relay.fleet.holdings.get(shard)
        recorded = False
        if held is not None and held.epoch == base:
            recorded = await self._claim(shard)
        if recorded:
            return
        msg = Announcement(
            service=shard[0],
            shard=shard[1],
            epoch=epoch,
            owner=self.kernel.member,
        )
        await gather(
            *(
                self._peers.call(each.name, 'Announce', msg, FENCE_TIMEOUT_S)
                for each in self._membership.live_peers()
            )
        )

    async def _hand_over(self, shard: ShardId) -> None:
        home = self.by_shard[shard]
        down = self._membership.down_members()
        ownership = home.ownership
        newest = ownership.standby_seq if ownership.standby else None
        heir = choose_successor(
            self._relay.fleet, shard, self.kernel.member, down, newest
        )
        if heir is None:
            return
        epoch = home.ownership.epoch + 1
        left = await home.ask(HandOverShard(successor=heir, epoch=epoch))
        if left is None:
            return
        await self._send_over(shard, heir, epoch, left)
        running = {
            each.key for each in left.records if each.state is KeyState.RUNNING
        }
        while running & _running(home):
            await sleep(DRAIN_POLL_S)
        if running:
            records = home.ownership.ledger.records
            done = tuple(records[key] for key in running if key in records)
            left = HandoverState(
                records=done, unproven_until_ms=left.unproven_until_ms
            )
            await self._send_over(shard, heir, epoch, left)

    async def _send_over(
        self, shard: ShardId, heir: str, epoch: int, left: HandoverState
    ) -> bool:
        msg = HandoverRequest(
            service=shard[0],
            shard=shard[1],
            epoch=epoch,
            source=self.kernel.member,
            records=[pack_record(shard, each) for each in left.records],
            unproven_until_ms=left.unproven_until_ms,
        )
        for _ in range(HAND_OVER_TRIES):
            reply = await self._peers.call(
                heir, 'Handover', msg, HAND_OVER_TIMEOUT_S
            )
            if reply is not None:
                return reply.accepted
        return False


def _running(home: ShardHome) -> set[str]:
    records = home.ownership.ledger.records.values()
    return {each.key for each in records if each.state is KeyState.RUNNING}
