"""Failure detection: pings between members, as in the SWIM protocol.

A member that misses its ping is pinged again, directly and through helpers,
before it is suspected. Pings carry rumours about other members and the
sequence numbers up to which the sender has read the logs.
"""

from __future__ import annotations

from asyncio import gather, sleep
from typing import TYPE_CHECKING

from carawaylane.decisions.ownership.membership import (
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

    from carawaylane.decisions.ownership.fleet import Member
    from carawaylane.kernel.kernel import Kernel

INDIRECT_PING_HELPERS = 2
KNOWN_STATES = frozenset(state.value for state in MemberState)


@service('membership')
class Membership(Actor):
    """Owns this node's view of which members are reachable."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.view = MembershipView(own=kernel.member, rng=kernel.rng)
        self._scheduled_checks: set[str] = set()

    async def start(self) -> None:
        """Subscribe to the fleet log and start pinging."""
        await super().start()
        self._relay = self.kernel.find('relay')
        self._peers = self.kernel.find('peers')
        self._relay.subscribe_fleet(self)
        self.spawn(self._ping_loop())

    def live_peers(self) -> list[Member]:
        """Return the other members, without those that are believed down."""
        down = self.view.down_members()
        return [
            member
            for member in self._relay.fleet.members.values()
            if member.name != self.kernel.member and member.name not in down
        ]

    def down_members(self) -> set[str]:
        """Return the names of the members that are believed down."""
        return self.view.down_members()

    def apply_ping(self, msg: PingRequest) -> None:
        """Apply the rumours and log positions that a peer sent with a ping."""
        self._apply_peer_state(
            msg.source, msg.rumours, msg.config_seq, msg.fleet_seq
        )

    def make_ping_reply(self, alive: bool) -> PingReply:
        """Return the reply to a ping.

        `alive` says whether the pinged member answered.
        """
        return PingReply(
            alive=alive,
            rumours=self._pack_rumours(),
            config_seq=self._relay.seq('config'),
            fleet_seq=self._relay.seq('fleet'),
        )

    def schedule_check(self, member: str) -> None:
        """Ping a member now instead of in its turn, as a call to it failed."""
        if member in self._scheduled_checks or member not in self.view.views:
            return
        self._scheduled_checks.add(member)
        self.spawn(self._check_member(member))

    async def fetch_fleet_seq(self, member: str) -> int:
        """Ask a member how far it has read the fleet log, 0 if unknown."""
        reply = await self._send_ping(member, member)
        return reply.fleet_seq if reply is not None else 0

    async def ping(self, member: str, *, destination: str = '') -> bool:
        """Return whether a member answers a ping.

        With `destination`, the member pings that one on behalf of this node.
        """
        reply = await self._send_ping(member, destination or member)
        return reply is not None and reply.alive

    async def _send_ping(
        self, member: str, destination: str
    ) -> PingReply | None:
        indirect = destination != member
        msg = PingRequest(
            source=self.kernel.member,
            target=destination,
            rumours=self._pack_rumours(),
            config_seq=self._relay.seq('config'),
            fleet_seq=self._relay.seq('fleet'),
            indirect=indirect,
        )
        timeout_s = self.kernel.cfg.ping_timeout_ms / 1000
        hops = 2 if indirect else 1
        reply = await self._peers.call(member, 'Ping', msg, timeout_s * hops)
        if reply is not None:
            self._apply_peer_state(
                member, reply.rumours, reply.config_seq, reply.fleet_seq
            )
        return reply

    @handles(FleetChanged)
    def _update_members(self, msg: FleetChanged) -> None:
        self.view.set_members(self._relay.fleet.members)

    async def _ping_loop(self) -> None:
        period_s = self.kernel.cfg.ping_period_ms / 1000
        while True:
            member = self.view.next_ping()
            if member is not None:
                self.spawn(self._check_member(member))
            for name in self.view.expire_suspects(self.kernel.now_s()):
                emit(MEMBER_DOWN, member=name)
            await sleep(period_s)

    async def _check_member(self, member: str) -> None:
        try:
            await self._ping_with_helpers(member)
        finally:
            self._scheduled_checks.discard(member)

    async def _ping_with_helpers(self, member: str) -> None:
        if await self.ping(member):
            self.view.record_reply(member, self.kernel.now_s())
            return
        self._peers.replace_connection(member)
        helpers = self.view.choose_helpers(member, INDIRECT_PING_HELPERS)
        ping_results = await gather(
            self.ping(member),
            *(self.ping(name, destination=member) for name in helpers),
        )
        if any(ping_results):
            self.view.record_reply(member, self.kernel.now_s())
        else:
            self.view.record_missed_ping(member, self.kernel.now_s())

    def _apply_peer_state(
        self,
        member: str,
        rumours: Iterable[RumourPb],
        config_seq: int,
        fleet_seq: int,
    ) -> None:
        unpacked_rumours = [
            Rumour(
                member=rumour.member,
                state=MemberState(rumour.state),
                incarnation=rumour.round,
            )
            for rumour in rumours
            # Newer builds may know other states.
            if rumour.state in KNOWN_STATES
        ]
        self.view.apply_rumours(unpacked_rumours, self.kernel.now_s())
        self._relay.pull_if_behind(member, 'config', config_seq)
        self._relay.pull_if_behind(member, 'fleet', fleet_seq)

    def _pack_rumours(self) -> list[RumourPb]:
        return [
            RumourPb(
                member=rumour.member,
                state=int(rumour.state),
                round=rumour.incarnation,
            )
            for rumour in self.view.take_rumours()
        ]
