"""Pings between members and the view that follows from them."""

from __future__ import annotations

from asyncio import gather, sleep
from typing import TYPE_CHECKING

from carawaylane.decisions.membership import (
    MembershipView,
    MemberState,
    Rumour,
)
from carawaylane.kernel.service import Actor, handles, service
from carawaylane.messages.logs import FleetChanged
from carawaylane.rpc.node_pb2 import PingReply, PingRequest
from carawaylane.rpc.node_pb2 import Rumour as RumourPb
from carawaylane.telemetry.events import MEMBER_DOWN, emit

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaylane.decisions.fleet import Member
    from carawaylane.kernel.kernel import Kernel

HELPERS = 2


@service('membership')
class Membership(Actor):
    """Owns the view of which members are reachable."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.view = MembershipView(own=kernel.member, rng=kernel.rng)
        self._checking: set[str] = set()

    async def start(self) -> None:
        """Start pinging."""
        await super().start()
        self._relay = self.kernel.find('relay')
        self._peers = self.kernel.find('peers')
        self._relay.subscribe_fleet(self)
        self.spawn(self._ping_loop())

    def live_peers(self) -> list[Member]:
        """Return other members that are not believed down."""
        down = self.view.down_members()
        return [
            each
            for each in self._relay.fleet.members.values()
            if each.name != self.kernel.member and each.name not in down
        ]

    def down_members(self) -> set[str]:
        """Return members that are believed down."""
        return self.view.down_members()

    def pinged(self, msg: PingRequest) -> None:
        """Take in what a peer tells with its ping."""
        self._take(msg.source, msg.rumours, msg.config_seq, msg.fleet_seq)

    def reply(self, alive: bool) -> PingReply:
        """Return this node's reply to a ping."""
        return PingReply(
            alive=alive,
            rumours=self._rumours(),
            config_seq=self._relay.seq('config'),
            fleet_seq=self._relay.seq('fleet'),
        )

    def check_soon(self, member: str) -> None:
        """Ping a member out of turn, since a call to it failed."""
        if member in self._checking or member not in self.view.views:
            return
        self._checking.add(member)
        self.spawn(self._check(member))

    async def fleet_seq_of(self, member: str) -> int:
        """Return how far a member has read the fleet log, 0 if unknown."""
        reply = await self._ping(member, member)
        return reply.fleet_seq if reply is not None else 0

    async def ping(self, member: str, *, target: str = '') -> bool:
        """Return whether a member answers, or reaches `target`."""
        reply = await self._ping(member, target or member)
        return reply is not None and reply.alive

    async def _ping(self, member: str, target: str) -> PingReply | None:
        indirect = target != member
        msg = PingRequest(
            source=self.kernel.member,
            target=target,
            rumours=self._rumours(),
            config_seq=self._relay.seq('config'),
            fleet_seq=self._relay.seq('fleet'),
            indirect=indirect,
        )
        timeout_s = self.kernel.cfg.ping_timeout_ms / 1000
        factor = 2 if indirect else 1
        reply = await self._peers.call(member, 'Ping', msg, timeout_s * factor)
        if reply is not None:
            self._take(
                member, reply.rumours, reply.config_seq, reply.fleet_seq
            )
        return reply

    @handles(FleetChanged)
    def _fleet_moved(self, msg: FleetChanged) -> None:
        self.view.set_members(self._relay.fleet.members)

    async def _ping_loop(self) -> None:
        period_s = self.kernel.cfg.ping_period_ms / 1000
        while True:
            member = self.view.next_ping()
            if member is not None:
                self.spawn(self._check(member))
            for name in self.view.expire_suspects(self.kernel.now_s()):
                emit(MEMBER_DOWN, member=name)
            await sleep(period_s)

    async def _check(self, member: str) -> None:
        try:
            await self._check_once(member)
        finally:
            self._checking.discard(member)

    async def _check_once(self, member: str) -> None:
        if await self.ping(member):
            self.view.record_reply(member, self.kernel.now_s())
            return
        self._peers.retire(member)
        helpers = self.view.choose_helpers(member, HELPERS)
        found = await gather(
            self.ping(member),
            *(self.ping(name, target=member) for name in helpers),
        )
        if any(found):
            self.view.record_reply(member, self.kernel.now_s())
        else:
            self.view.record_missed_ping(member, self.kernel.now_s())

    def _take(
        self,
        member: str,
        rumours: Iterable[RumourPb],
        config_seq: int,
        fleet_seq: int,
    ) -> None:
        told = [
            Rumour(
                member=each.member,
                state=MemberState(each.state),
                incarnation=each.round,
            )
            for each in rumours
        ]
        self.view.apply_rumours(told, self.kernel.now_s())
        self._relay.pull_if_behind(member, 'config', config_seq)
        self._relay.pull_if_behind(member, 'fleet', fleet_seq)

    def _rumours(self) -> list[RumourPb]:
        return [
            RumourPb(
                member=each.member,
                state=int(each.state),
                round=each.incarnation,
            )
            for each in self.view.take_rumours()
        ]
