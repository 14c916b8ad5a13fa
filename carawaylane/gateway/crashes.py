"""Finds out which requests crash targets, together with the other nodes."""

from __future__ import annotations

from asyncio import gather, sleep
from typing import TYPE_CHECKING

from carawaylane.decisions.admission.quarantine import (
    ALLOWED_VICTIMS,
    Quarantine,
)
from carawaylane.decisions.propagation.dissemination import broadcast_shares
from carawaylane.kernel.service import Service, service
from carawaylane.rpc.crash_codec import (
    pack_crash_records,
    unpack_crash_records,
)
from carawaylane.rpc.fleet_pb2 import CrashReport
from carawaylane.services.targets import BrokenExchange, CompleteAnswer
from carawaylane.telemetry.events import (
    REQUEST_POISONOUS,
    TARGET_CRASHED,
    emit,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaylane.decisions.admission.quarantine import CrashRecord
    from carawaylane.gateway.attempts import RoutedRequest
    from carawaylane.gateway.exchanges import ExchangeResult
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.dispatch import Grant

# The first members that reply, by their rank as homes of the service, count
# the victims of its requests. All members learn of those with several.
COLLECTORS = 3
# Mean time between two exchanges of records with a random peer. They reach
# nodes that a broadcast has missed, or that have started since.
SYNC_PERIOD_S = 2.0
# Bounds a message, whose records have some 50 bytes for each victim.
MAX_RECORDS = 64


@service('crashes')
class Crashes(Service):
    """Checks whether a target crashed on a request, and counts its victims.

    A target crashed if an exchange with it broke and nothing listens at its
    address any more.
    """

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.quarantine = Quarantine.for_fleet()

    async def start(self) -> None:
        """Look up the other services and start to sync with peers."""
        self._directory = self.kernel.find('directory')
        self._links = self.kernel.find('links')
        self._target_paths = self.kernel.find('target_paths')
        self._metrics = self.kernel.find('telemetry').metrics
        self.spawn(self._sync_loop())

    def is_quarantined(self, routed: RoutedRequest) -> bool:
        """Return whether a request must not reach a target."""
        return self.quarantine.contains(str(routed.digest), self._now_ms())

    def observe(
        self, routed: RoutedRequest, grant: Grant, result: ExchangeResult
    ) -> None:
        """Record an answer, or find out whether a target crashed instead."""
        stream = getattr(result, 'stream', None)
        if stream is not None:
            stream.when_done(
                lambda complete: self._observe_end(routed, grant, complete)
            )
        elif isinstance(result, CompleteAnswer):
            self._observe_end(routed, grant, True)
        elif isinstance(result, BrokenExchange) and not (
            result.mismatched or result.timed_out or result.own_path
        ):
            self._observe_end(routed, grant, False)

    def _observe_end(
        self, routed: RoutedRequest, grant: Grant, complete: bool | None
    ) -> None:
        """Observe how an answer ended; None if it was not wanted."""
        if complete:
            self._record_answer(routed)
        elif complete is False:
            self._start_check(routed, grant)

    def _start_check(self, routed: RoutedRequest, grant: Grant) -> None:
        target = self._directory.targets.get(grant.target)
        if target is not None and not target.draining:
            victim = f'{grant.target}@{target.started_ms}'
            self.spawn(self._check(routed, grant, victim))

    async def _check(
        self, routed: RoutedRequest, grant: Grant, victim: str
    ) -> None:
        if not await self._target_paths.has_ended(grant.address):
            return
        digest = str(routed.digest)
        self.quarantine.record_crash(digest, victim, self._now_ms())
        self._metrics.count('crashes')
        emit(
            TARGET_CRASHED,
            request=routed.request.request_id,
            target=grant.target,
            digest=digest,
        )
        await self._share(routed.service, digest)

    def _record_answer(self, routed: RoutedRequest) -> None:
        """Record that a target has answered a request, and did not crash."""
        digest = str(routed.digest)
        if self.quarantine.record_answer(digest, self._now_ms()):
            self.spawn(self._share(routed.service, digest))

    async def _share(self, service_name: str, digest: str) -> None:
        """Tell the collectors of a request, and all members if need be."""
        await self._report_to_collectors(service_name, digest)
        victims = self.quarantine.count_victims(digest, self._now_ms())
        record = self.quarantine.record_of(digest)
        if record is None or record not in self.quarantine.repeated(
            MAX_RECORDS
        ):
            return
        if victims >= ALLOWED_VICTIMS:
            emit(REQUEST_POISONOUS, digest=digest, victims=victims)
        members = sorted(
            (member.data_centre, member.address)
            for member in self._directory.members.values()
            if member.name != self.kernel.cfg.name
        )
        await self._spread([record], [address for _, address in members])

    async def _report_to_collectors(
        self, service_name: str, digest: str
    ) -> None:
        own_name = self.kernel.cfg.name
        members = self._directory.members
        names = list(self._directory.ranked_members(service_name))
        missing = COLLECTORS
        while missing and names:
            asked, names = names[:missing], names[missing:]
            record = self.quarantine.record_of(digest)
            replied = await gather(
                *(
                    self._send(members[name].address, [record])
                    for name in asked
                    if name in members and name != own_name and record
                )
            )
            missing -= sum(replied) + (own_name in asked)

    async def _spread(
        self, records: list[CrashRecord], addresses: list[str]
    ) -> None:
        """Send records to all addresses, the first of which forward them."""
        shares = broadcast_shares(addresses)
        replied = await gather(
            *(self._send(first, records, rest) for first, *rest in shares)
        )
        missed = [
            address
            for share, got_it in zip(shares, replied, strict=True)
            if not got_it
            for address in share[1:]
        ]
        if missed:
            await self._spread(records, missed)

    async def _send(
        self,
        address: str,
        records: Iterable[CrashRecord],
        forward_to: Iterable[str] = (),
    ) -> bool:
        """Exchange records with a peer; return whether it replied."""
        msg = CrashReport(
            records=pack_crash_records(records, self._now_ms()),
            forward_to=forward_to,
        )
        reply = await self._links.call(address, 'Crashes', msg)
        if reply is not None:
            self._merge(reply)
        return reply is not None

    def handle_report(self, msg: CrashReport) -> CrashReport:
        """Merge the records of a peer, pass them on and reply with own."""
        self._merge(msg)
        if msg.forward_to:
            records = unpack_crash_records(msg.records, self._now_ms())
            self.spawn(self._spread(records, list(msg.forward_to)))
        if not msg.records:
            known = self.quarantine.repeated(MAX_RECORDS)
        else:
            digests = [str(record.digest) for record in msg.records]
            found = [self.quarantine.record_of(digest) for digest in digests]
            known = [record for record in found if record is not None]
        return CrashReport(records=pack_crash_records(known, self._now_ms()))

    def _merge(self, msg: CrashReport) -> None:
        now_ms = self._now_ms()
        self.quarantine.merge(
            unpack_crash_records(msg.records, now_ms), now_ms
        )

    async def _sync_loop(self) -> None:
        """Get the records of a random peer, and send it those it may lack."""
        is_new = True
        while True:
            await sleep(SYNC_PERIOD_S * (0.5 + self.kernel.rng.random()))
            records = self.quarantine.repeated(MAX_RECORDS)
            addresses = [
                member.address
                for member in self._directory.members.values()
                if member.name != self.kernel.cfg.name
            ]
            if not addresses or not (records or is_new):
                continue
            address = self.kernel.rng.choice(addresses)
            if is_new:
                is_new = not await self._send(address, [])
            if records:
                await self._send(address, records)

    def _now_ms(self) -> int:
        return int(self.kernel.now_s() * 1000)
