"""Shard homes of this node, and the transfer of shards between owners.

A shard without a live owner is claimed in the fleet log or, if that can't be
written, taken over by its standby. The new owner then gathers promises of all
members to forward nothing to older owners. A node that stops hands its shards
over to successors.
"""

from __future__ import annotations

from asyncio import Semaphore, gather, sleep, timeout
from typing import TYPE_CHECKING

from carawaylane.decisions.ownership.fleet import EPOCH_STEP, Holding, ShardId
from carawaylane.decisions.ownership.journal import Fence, Promise
from carawaylane.decisions.ownership.ledger import KeyState
from carawaylane.decisions.ownership.placement import (
    choose_claimant,
    choose_successor,
    unowned_shards,
)
from carawaylane.decisions.ownership.succession import merge_promises
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

REVIEW_PERIOD_S = 0.2
# Shards are reviewed this often even if no change was noticed.
FULL_REVIEW_PERIOD_S = 2.0
CLAIM_TIMEOUT_S = 2.0
FENCE_TIMEOUT_S = 0.5
FENCE_RETRY_DELAY_S = 0.5
MAX_PARALLEL_FENCES = 64
HANDOVER_TIMEOUT_S = 5.0
HANDOVER_ATTEMPTS = 3
DRAIN_POLL_S = 0.02


@service('homes')
class Homes(Actor):
    """Owns the shard homes of this node and the connections to their targets.

    `owner_hints` are owners that the fleet log does not show yet, or did not
    when they were recorded.
    """

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.by_shard: dict[ShardId, ShardHome] = {}
        self.owner_hints: dict[ShardId, Holding] = {}
        self._clients: dict[str, TargetClient] = {}
        self._review_needed = True

    async def start(self) -> None:
        """Subscribe to the fleet and the configuration, and start reviews."""
        await super().start()
        self._relay = self.kernel.find('relay')
        self._peers = self.kernel.find('peers')
        self._membership = self.kernel.find('membership')
        self._catalogue = self.kernel.find('catalogue')
        self._relay.subscribe_fleet(self)
        self._catalogue.subscribe(self)
        self.spawn(self._review_loop())

    async def drain(self) -> None:
        """Hand all owned shards over, then finish the open requests."""
        owned_shards = [
            shard
            for shard, home in self.by_shard.items()
            if home.ownership.is_owner()
        ]
        await gather(*(self._hand_over_shard(shard) for shard in owned_shards))
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
        """Return the newest known owner of a shard, from the log or a hint."""
        recorded = self._relay.fleet.holdings.get(shard)
        hint = self.owner_hints.get(shard)
        if recorded is None or (
            hint is not None and hint.epoch > recorded.epoch
        ):
            return hint
        return recorded

    def record_owner_hint(
        self, shard: ShardId, owner: str, epoch: int
    ) -> None:
        """Record an owner that the fleet log does not show yet.

        Hints no newer than the newest known owner are ignored.
        """
        newest = self.newest_holding(shard)
        if owner and (newest is None or epoch > newest.epoch):
            self.owner_hints[shard] = Holding(owner=owner, epoch=epoch)

    def target_client(self, address: str) -> TargetClient:
        """Return the client for the target at an address."""
        if address not in self._clients:
            self._clients[address] = TargetClient(address=address)
        return self._clients[address]

    async def get_or_create_home(self, shard: ShardId) -> ShardHome | None:
        """Return the home of a shard, created on first use.

        Return None if the configuration has no such shard.
        """
        existing = self.by_shard.get(shard)
        if existing is not None:
            return existing
        spec = self._catalogue.config.services.get(shard[0])
        if spec is None or shard[1] >= spec.shards:
            return None
        home = ShardHome(kernel=self.kernel, shard=shard)
        fence = self.kernel.find('journal').state.fences.get(shard)
        if fence is not None and fence.successor != self.kernel.member:
            home.ownership.retire(owner=fence.successor, epoch=fence.epoch)
        self.by_shard[shard] = home
        await home.start()
        self._configure_home(home)
        return home

    async def make_promise(self, shard: ShardId, fence: Fence) -> Promise:
        """Return this node's promise to a new owner, as entry and past owner.

        The journal promises first: a home that is created later starts from
        its fences, and one that exists by then is asked to promise, too.
        """
        journal = self.kernel.find('journal')
        as_entry = await journal.ask(MakePromise(shard=shard, fence=fence))
        home = self.by_shard.get(shard)
        is_successor = fence.successor == self.kernel.member
        if home is None or is_successor or not as_entry.promised:
            return as_entry
        as_owner = await home.ask(
            FenceOwner(epoch=fence.epoch, successor=fence.successor)
        )
        return merge_promises(as_entry, as_owner)

    async def accept_handover(
        self, shard: ShardId, source: str, epoch: int, state: HandoverState
    ) -> bool:
        """Take a shard over from an owner that is stopping."""
        journal = self.kernel.find('journal')
        if not journal.state.may_forward(shard, epoch, self.kernel.member):
            return False
        home = await self.get_or_create_home(shard)
        if home is None or self.kernel.draining:
            return False
        accepted = await home.ask(AcceptHandover(epoch=epoch, state=state))
        if accepted:
            self.record_owner_hint(shard, self.kernel.member, epoch)
            self.spawn(self._record_handover(shard, epoch))
        return accepted

    @handles(ServicesChanged)
    def _apply_service_changes(self, msg: ServicesChanged) -> None:
        self._review_needed = True
        for shard, home in self.by_shard.items():
            if shard[0] in msg.names:
                self._configure_home(home)

    @handles(FleetChanged)
    def _apply_fleet_change(self, msg: FleetChanged) -> None:
        self._review_needed = True
        for shard, holding in self._relay.fleet.holdings.items():
            if holding.owner == self.kernel.member or shard in self.by_shard:
                self.spawn(self._update_ownership(shard))
        for home in self.by_shard.values():
            self._configure_home(home)

    def _configure_home(self, home: ShardHome) -> None:
        spec = self._catalogue.config.services.get(home.shard[0])
        if spec is None:
            return
        targets = self._catalogue.config.shard_targets(*home.shard)
        leaving = frozenset(self._relay.fleet.leaving_hosts)
        home.post(
            Configure(service=spec, targets=targets, leaving_hosts=leaving)
        )

    async def _update_ownership(self, shard: ShardId) -> None:
        home = await self.get_or_create_home(shard)
        if home is None:
            return
        if await home.ask(ApplyFleetState(fleet=self._relay.fleet)):
            await self._gather_promises(home)

    async def _gather_promises(self, home: ShardHome) -> None:
        """Ask members for promises until all that are needed have come."""
        ownership = home.ownership
        epoch = ownership.epoch
        fence = Fence(epoch=epoch, successor=self.kernel.member)
        semaphore = Semaphore(MAX_PARALLEL_FENCES)
        # The previous owner's promise isn't needed, but if it is live, its
        # ledger holds the answers that it gave.
        previous_owner = {ownership.previous_owner}
        while ownership.epoch == epoch and ownership.awaited_members:
            members = set(self._relay.fleet.members)
            members_to_ask = members & (
                ownership.awaited_members | previous_owner
            )
            if ownership.awaited_members - members:
                # Any member may have taken over the journal of one that left,
                # and its promise then covers the missing one.
                members_to_ask = members
            await gather(
                *(
                    self._ask_promise(home, name, fence, semaphore)
                    for name in members_to_ask
                )
            )
            if ownership.awaited_members:
                await sleep(FENCE_RETRY_DELAY_S)

    async def _ask_promise(
        self, home: ShardHome, member: str, fence: Fence, semaphore: Semaphore
    ) -> None:
        promise = await self._fetch_promise(
            home.shard, member, fence, semaphore
        )
        if promise is not None:
            await home.ask(
                PromiseReceived(
                    member=member, epoch=fence.epoch, promise=promise
                )
            )

    async def _fetch_promise(
        self, shard: ShardId, member: str, fence: Fence, semaphore: Semaphore
    ) -> Promise | None:
        if member == self.kernel.member:
            return await self.make_promise(shard, fence)
        msg = FenceRequest(
            service=shard[0],
            shard=shard[1],
            epoch=fence.epoch,
            successor=fence.successor,
        )
        async with semaphore:
            reply = await self._peers.call(
                member, 'Fence', msg, FENCE_TIMEOUT_S
            )
        return unpack_promise(reply) if reply is not None else None

    async def _review_loop(self) -> None:
        reviewed_down: set[str] = set()
        last_reviewed_at_s = 0.0
        while True:
            await sleep(REVIEW_PERIOD_S)
            down = set(self._membership.down_members())
            full_review_due = (
                self.kernel.now_s() - last_reviewed_at_s
                >= FULL_REVIEW_PERIOD_S
            )
            if self.kernel.draining or not (
                self._review_needed or full_review_due or down != reviewed_down
            ):
                continue
            self._review_needed = False
            reviewed_down = down
            last_reviewed_at_s = self.kernel.now_s()
            await self._review_shards(down)

    async def _review_shards(self, down: set[str]) -> None:
        if not self.kernel.find('watcher').joined:
            return
        await self._maintain_standbys(down)
        fleet = self._relay.fleet
        specs = list(self._catalogue.config.services.values())
        for shard in unowned_shards(fleet, specs, down):
            if self._has_hinted_live_owner(shard, down):
                continue
            this_member = self.kernel.member
            holding = fleet.holdings.get(shard)
            is_standby = holding is not None and holding.standby == this_member
            if (
                not is_standby
                and choose_claimant(fleet, shard, down) != this_member
            ):
                continue
            if not await self._claim_with_timeout(shard) and is_standby:
                await self._take_over_as_standby(shard)

    async def _claim_with_timeout(self, shard: ShardId) -> bool:
        """Claim a shard; return False if that failed or timed out.

        A claim that took effect all the same shows up in the fleet log.
        """
        try:
            async with timeout(CLAIM_TIMEOUT_S):
                return await self._append_claim(shard)
        except TimeoutError:
            return False

    async def _take_over_as_standby(self, shard: ShardId) -> None:
        """Take a shard over as its standby, without the fleet log."""
        home = await self.get_or_create_home(shard)
        if home is None:
            return
        if await home.ask(TakeOverAsStandby(fleet=self._relay.fleet)):
            self.spawn(self._complete_takeover(home))

    async def _complete_takeover(self, home: ShardHome) -> None:
        epoch = home.ownership.epoch
        await self._gather_promises(home)
        if home.ownership.epoch == epoch and home.ownership.is_owner():
            self.record_owner_hint(home.shard, self.kernel.member, epoch)
            await self._record_handover(home.shard, epoch)

    async def _maintain_standbys(self, down: set[str]) -> None:
        """Choose standbys of owned shards and track their log positions."""
        own_seq = self._relay.seq('fleet')
        # A standby that takes over asks all members for promises, so it must
        # have read that each of them joined. It is behind only if one joined
        # after the last log position that it reported.
        members = self._relay.fleet.members.values()
        newest_join = max((member.join_seq for member in members), default=0)
        for shard, home in list(self.by_shard.items()):
            ownership = home.ownership
            holding = self._relay.fleet.holdings.get(shard)
            if holding is None or holding.owner != self.kernel.member:
                continue
            if not ownership.is_owner() or ownership.epoch != holding.epoch:
                continue
            if not ownership.standby:
                await self._choose_standby(home, down, own_seq)
            elif not holding.standby:
                await self._record_standby(home)
            elif (
                ownership.standby_seq < newest_join
                and ownership.standby not in down
            ):
                seq = await self._membership.fetch_fleet_seq(ownership.standby)
                home.post(StandbyProgress(member=ownership.standby, seq=seq))

    async def _choose_standby(
        self, home: ShardHome, down: set[str], own_seq: int
    ) -> None:
        fleet = self._relay.fleet
        this_member = self.kernel.member
        standby = choose_successor(fleet, home.shard, this_member, down)
        if standby is None:
            return
        seq = await self._membership.fetch_fleet_seq(standby)
        accepted = await home.ask(
            ProposeStandby(member=standby, seq=seq, own_seq=own_seq)
        )
        if not accepted:
            self._review_needed = True
            return
        await self._record_standby(home)

    async def _record_standby(self, home: ShardHome) -> None:
        operation = {
            'op': 'standby',
            'service': home.shard[0],
            'shard': home.shard[1],
            'standby': home.ownership.standby,
            'expect_epoch': home.ownership.epoch,
        }
        await self.kernel.find('watcher').append('fleet', [operation])

    def _has_hinted_live_owner(self, shard: ShardId, down: set[str]) -> bool:
        recorded = self._relay.fleet.holdings.get(shard)
        newest = self.newest_holding(shard)
        if newest is None or newest is recorded:
            return False
        live_peers = {peer.name for peer in self._membership.live_peers()}
        return newest.owner in live_peers and newest.owner not in down

    async def _append_claim(self, shard: ShardId) -> bool:
        holding = self._relay.fleet.holdings.get(shard)
        operation = {
            'op': 'claim',
            'service': shard[0],
            'shard': shard[1],
            'owner': self.kernel.member,
            'expect_epoch': holding.epoch if holding else 0,
        }
        return await self.kernel.find('watcher').append('fleet', [operation])

    async def _record_handover(self, shard: ShardId, epoch: int) -> None:
        """Claim a shard that this node took over without the fleet log.

        If that fails, announce the new owner to the live members.
        """
        # The log shows the epoch of the last claim, a multiple of EPOCH_STEP.
        claimed_epoch = epoch - epoch % EPOCH_STEP
        holding = self._relay.fleet.holdings.get(shard)
        claimed = False
        if holding is not None and holding.epoch == claimed_epoch:
            claimed = await self._append_claim(shard)
        if claimed:
            return
        msg = Announcement(
            service=shard[0],
            shard=shard[1],
            epoch=epoch,
            owner=self.kernel.member,
        )
        await gather(
            *(
                self._peers.call(peer.name, 'Announce', msg, FENCE_TIMEOUT_S)
                for peer in self._membership.live_peers()
            )
        )

    async def _hand_over_shard(self, shard: ShardId) -> None:
        home = self.by_shard[shard]
        down = self._membership.down_members()
        ownership = home.ownership
        # The standby may take over without the log. It asks the successor for
        # a promise only if it has read that the successor joined.
        max_join_seq = ownership.standby_seq if ownership.standby else None
        successor = choose_successor(
            self._relay.fleet, shard, self.kernel.member, down, max_join_seq
        )
        if successor is None:
            return
        epoch = home.ownership.epoch + 1
        state = await home.ask(HandOverShard(successor=successor, epoch=epoch))
        if state is None:
            return
        await self._send_handover(shard, successor, epoch, state)
        running_keys = {
            record.key
            for record in state.records
            if record.state is KeyState.RUNNING
        }
        # Keys that ran during the handover are sent again with their outcomes.
        while running_keys & _running_keys(home):
            await sleep(DRAIN_POLL_S)
        if running_keys:
            records = home.ownership.ledger.records
            final_records = tuple(
                records[key] for key in running_keys if key in records
            )
            state = HandoverState(
                records=final_records,
                unproven_until_ms=state.unproven_until_ms,
            )
            await self._send_handover(shard, successor, epoch, state)

    async def _send_handover(
        self, shard: ShardId, successor: str, epoch: int, state: HandoverState
    ) -> bool:
        msg = HandoverRequest(
            service=shard[0],
            shard=shard[1],
            epoch=epoch,
            source=self.kernel.member,
            records=[pack_record(shard, record) for record in state.records],
            unproven_until_ms=state.unproven_until_ms,
        )
        for _ in range(HANDOVER_ATTEMPTS):
            reply = await self._peers.call(
                successor, 'Handover', msg, HANDOVER_TIMEOUT_S
            )
            if reply is not None:
                return reply.accepted
        return False


def _running_keys(home: ShardHome) -> set[str]:
    records = home.ownership.ledger.records.values()
    return {
        record.key for record in records if record.state is KeyState.RUNNING
    }
