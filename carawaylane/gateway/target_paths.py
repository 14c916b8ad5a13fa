"""Sends requests to targets, through a peer while this node is cut off.

A request is sent through a peer only if this node has sent no byte of it, and
through another peer only if the first one says the same. So it reaches one
target at most, whichever way it takes.
"""

from __future__ import annotations

from asyncio import FIRST_COMPLETED, Task, create_task, gather, sleep
from asyncio import wait as wait_for_any
from typing import TYPE_CHECKING

from carawaylane.decisions.targets.target_paths import RelayPeers, TargetPaths
from carawaylane.gateway.exchanges import always
from carawaylane.gateway.relays import NotRelayed
from carawaylane.kernel.service import Service, service
from carawaylane.messages.outcomes import FINAL_STATUSES
from carawaylane.platform.headers import PROMISE_STATUSES, lacks_seal
from carawaylane.rpc.fleet_pb2 import ReachReply, ReachRequest, RelayReply
from carawaylane.rpc.relay_codec import (
    pack_relay_reply,
    pack_relay_request,
    unpack_relay_reply,
    unpack_relayed_request,
)
from carawaylane.services.targets import (
    BrokenExchange,
    CompleteAnswer,
    NeverSent,
    RefusedByTarget,
)
from carawaylane.telemetry.events import (
    PATHS_BACK,
    PATHS_LOST,
    REQUEST_RELAYED,
    emit,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from carawaylane.gateway.exchanges import ExchangeResult
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.exchange import OutgoingRequest
    from carawaylane.messages.platform_objects import Member
    from carawaylane.rpc.fleet_pb2 import RelayRequest

# How many targets a check connects to, and how many peers it asks if none of
# these accepts: a few, and more of them if none of the few reaches a target,
# as most nodes may be cut off.
CHECKED_TARGETS = 2
CHECKING_PEERS = (5, 25)
# An answer that is this late starts a check, if no target has answered since
# the request was sent. Most answers come sooner, and a check costs a
# connection.
SILENCE_S = 0.6
# Interval at which a node that is cut off tries to reach targets again.
RECOVERY_PERIOD_S = 0.5
# Number of peers that are asked to send a request.
MAX_RELAYS = 3
# The peer ends an exchange this long before the entry gives up.
RELAY_MARGIN_S = 0.02


@service('target_paths')
class TargetPathsService(Service):
    """Knows whether this node reaches the targets, and sends requests.

    It also sends requests for peers that are cut off.
    """

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.paths = TargetPaths()
        self._peers = RelayPeers(rng=kernel.rng)
        self._check: Task[None] | None = None
        # Requests of peers whose replies have not reached them yet.
        self.relayed_requests = 0

    async def start(self) -> None:
        """Look up the other services."""
        self._directory = self.kernel.find('directory')
        self._exchanges = self.kernel.find('exchanges')
        self._backpressure = self.kernel.find('backpressure')
        self._links = self.kernel.find('links')
        self._relays = self.kernel.find('relays')
        self._metrics = self.kernel.find('telemetry').metrics

    # Requests of this node

    async def exchange(
        self,
        target: str,
        address: str,
        request: OutgoingRequest,
        time_left_s: float,
        may_send: Callable[[], bool] = always,
    ) -> ExchangeResult:
        """Send a request to a target and return the result.

        It is not sent once `may_send` returns False. Cancelling this closes
        the connection, also that of a peer.
        """
        deadline_s = self.kernel.now_s() + time_left_s
        if not self.paths.cut_off:
            result = await self._exchange_directly(
                target, address, request, time_left_s, may_send
            )
            if not (isinstance(result, NeverSent) and self.paths.cut_off):
                return result
        return await self._exchange_through_peers(
            target, address, request, deadline_s, may_send
        )

    async def _exchange_directly(
        self,
        target: str,
        address: str,
        request: OutgoingRequest,
        time_left_s: float,
        may_send: Callable[[], bool] = always,
    ) -> ExchangeResult:
        deadline_s = self.kernel.now_s() + time_left_s
        result = await self._exchanges.exchange(
            target, address, request, time_left_s, may_send
        )
        match result:
            case CompleteAnswer() | RefusedByTarget():
                self.paths.record_reached(self.kernel.now_s())
            case NeverSent(withheld=True):
                return result
            case NeverSent(reason=reason):
                await self._run_check(address, deadline_s)
                return NeverSent(reason=reason, own_path=self.paths.cut_off)
            case BrokenExchange(
                reason=reason, mismatched=False, timed_out=False
            ):
                await self._run_check(address, deadline_s)
                return BrokenExchange(
                    reason=reason, own_path=self.paths.cut_off
                )
        return result

    async def _exchange_through_peers(
        self,
        target: str,
        address: str,
        request: OutgoingRequest,
        deadline_s: float,
        may_send: Callable[[], bool],
    ) -> ExchangeResult:
        withheld = self._backpressure.withheld(target, request.request_id)
        if withheld is not None:
            return NeverSent(reason=withheld, withheld=True)
        if request.upload is not None:
            # A peer gets requests whole, and this one is not held whole.
            return NeverSent(reason='too large for a peer', own_path=True)
        own_name = self.kernel.cfg.name
        tried: set[str] = set()
        for _ in range(MAX_RELAYS):
            # A peer may have left while another one was asked.
            peers = [
                name for name in self._directory.members if name != own_name
            ]
            left_s = deadline_s - self.kernel.now_s() - RELAY_MARGIN_S
            member = self._peers.choose(peers, tried, self.kernel.now_s())
            if member is None or left_s <= 0 or not may_send():
                break
            tried.add(member)
            sent_at_s = self.kernel.now_s()
            identity = self._backpressure.identify(target, address)
            reply = await self._relays.relay(
                self._directory.members[member].address,
                pack_relay_request(target, address, request, left_s),
                left_s + RELAY_MARGIN_S,
            )
            result = _relay_result(reply)
            self._backpressure.record_result(
                identity, result, request.request_id, sent_at_s
            )
            emit(
                REQUEST_RELAYED,
                request=request.request_id,
                target=target,
                member=member,
                result=type(result).__name__,
                reason=getattr(result, 'reason', ''),
            )
            self._metrics.count('relayed_requests', way='out')
            sent = not getattr(result, 'own_path', False)
            self._peers.record_result(member, self.kernel.now_s(), sent=sent)
            if sent or not isinstance(result, NeverSent):
                return result
        return NeverSent(reason='no path to the target', own_path=True)

    async def has_ended(self, address: str) -> bool:
        """Return whether nothing listens at the address of a target.

        A peer that reaches another target says so if this node is cut off.
        """
        if not self.paths.cut_off:
            return (
                await self._exchanges.has_ended(address)
                and not self.paths.cut_off
            )
        msg = ReachRequest(
            addresses=[address, *self._some_addresses(address)[:1]]
        )
        members = list(self._directory.members.values())
        for member in self.kernel.rng.sample(
            members, min(MAX_RELAYS, len(members))
        ):
            reply = await self._links.call(member.address, 'Reach', msg)
            if reply is not None and reply.addresses:
                return address not in reply.addresses
        return False

    # Requests of peers

    async def relay(self, msg: RelayRequest) -> RelayReply:
        """Send a request for a peer that is cut off from the targets."""
        if self.paths.cut_off or self.kernel.draining:
            return pack_relay_reply(
                NeverSent(reason='no path to the target', own_path=True)
            )
        self._metrics.count('relayed_requests', way='in')
        return pack_relay_reply(
            await self._exchange_directly(
                msg.target,
                msg.address,
                unpack_relayed_request(msg),
                msg.left_ms / 1000,
            )
        )

    async def reach(self, msg: ReachRequest) -> ReachReply:
        """Return which of some targets this node can connect to."""
        if self.paths.cut_off:
            return ReachReply()
        addresses = list(msg.addresses)[:CHECKED_TARGETS]
        reached = await gather(
            *(self._exchanges.reaches(address) for address in addresses)
        )
        return ReachReply(
            addresses=[
                address
                for address, is_reached in zip(addresses, reached, strict=True)
                if is_reached
            ]
        )

    # Checks

    def check_if_silent(self, since_s: float) -> None:
        """Check the paths if no target has answered for some time."""
        if (
            self.kernel.now_s() - since_s >= SILENCE_S
            and self.paths.silent_since(since_s)
            and not self.paths.cut_off
        ):
            self._start_check(None)

    async def _run_check(self, failed_address: str, deadline_s: float) -> None:
        """Check the paths after a failure, or wait for a check under way."""
        left_s = deadline_s - self.kernel.now_s()
        if not self.paths.cut_off and left_s > 0:
            check = self._start_check(failed_address)
            await wait_for_any([check], timeout=left_s)

    def _start_check(self, failed_address: str | None) -> Task[None]:
        if self._check is None or self._check.done():
            self._check = self.spawn(self._check_paths(failed_address))
        return self._check

    async def _check_paths(self, failed_address: str | None) -> None:
        """Find out whether this node, or a peer, reaches targets.

        A failed connection is tried elsewhere at once; after a late answer one
        connection mostly shows that nothing is wrong.
        """
        addresses = self._some_addresses(failed_address)
        reached = False
        if failed_address is None:
            reached = await self._reaches_any(addresses[:1])
        reached = reached or await self._reaches_any(addresses)
        reached_by_peer = False
        if not reached and addresses:
            reached_by_peer = await self._peer_reaches_any(addresses)
        if self.paths.record_check(
            reached=reached,
            reached_by_peer=reached_by_peer,
            now_s=self.kernel.now_s(),
        ):
            self._exchanges.close_idle()
            emit(PATHS_LOST, targets=addresses)
            self.spawn(self._await_recovery())

    async def _await_recovery(self) -> None:
        while self.paths.cut_off:
            await sleep(RECOVERY_PERIOD_S)
            reached = await self._reaches_any(self._some_addresses(None))
            if self.paths.record_check(
                reached=reached,
                reached_by_peer=False,
                now_s=self.kernel.now_s(),
            ):
                emit(PATHS_BACK)

    def _some_addresses(self, failed_address: str | None) -> list[str]:
        """Return addresses of some targets, rather not of a failed one."""
        addresses = [
            target.address
            for target in self._directory.targets.values()
            if target.address != failed_address
        ]
        if not addresses and failed_address is not None:
            return [failed_address]
        return self.kernel.rng.sample(
            addresses, min(CHECKED_TARGETS, len(addresses))
        )

    async def _reaches_any(self, addresses: Collection[str]) -> bool:
        """Return whether one of some targets accepts a connection."""
        pending = {
            create_task(self._exchanges.reaches(address))
            for address in addresses
        }
        try:
            while pending:
                done, pending = await wait_for_any(
                    pending, return_when=FIRST_COMPLETED
                )
                if any(task.result() for task in done):
                    return True
            return False
        finally:
            for task in pending:
                task.cancel()

    async def _peer_reaches_any(self, addresses: list[str]) -> bool:
        """Return whether a peer can connect to one of some targets."""
        members = [
            member
            for name, member in self._directory.members.items()
            if name != self.kernel.cfg.name
        ]
        self.kernel.rng.shuffle(members)
        msg = ReachRequest(addresses=addresses)
        for count in CHECKING_PEERS:
            asked, members = members[:count], members[count:]
            reached = await gather(
                *(self._peer_reaches(member, msg) for member in asked)
            )
            if any(reached):
                return True
        return False

    async def _peer_reaches(self, member: Member, msg: ReachRequest) -> bool:
        reply = await self._links.call(member.address, 'Reach', msg)
        reached = reply is not None and bool(reply.addresses)
        self._peers.record_result(
            member.name, self.kernel.now_s(), sent=reached
        )
        return reached


def _relay_result(reply: RelayReply | NotRelayed | None) -> ExchangeResult:
    """Return what a peer's reply to a relayed request says of it."""
    if reply is None:
        return BrokenExchange(reason='a peer was lost', own_path=True)
    if isinstance(reply, NotRelayed):
        return NeverSent(reason=reply.reason, own_path=True)
    result = unpack_relay_reply(reply)
    # A node with an older build checks neither what the status promises nor
    # whether a success is sealed.
    if isinstance(result, CompleteAnswer) and (
        result.status not in FINAL_STATUSES
        or result.status in PROMISE_STATUSES
        or lacks_seal(result.status, result.headers)
    ):
        return BrokenExchange(
            reason=f'status {result.status} from a peer is no answer',
            mismatched=True,
        )
    return result
