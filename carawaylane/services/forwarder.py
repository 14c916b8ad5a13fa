"""Forwards a request from its entry to the home of its shard."""

from __future__ import annotations

from asyncio import sleep
from contextlib import aclosing
from typing import TYPE_CHECKING

from attrs import evolve

from carawaylane.decisions.ownership.ledger import may_report_refusal
from carawaylane.decisions.ownership.placement import (
    ShardLoad,
    choose_shard,
    home_node,
    shard_of_key,
)
from carawaylane.kernel.service import Service, service
from carawaylane.messages.exchange import AnswerChunk, Request
from carawaylane.messages.outcomes import (
    Answered,
    Failed,
    Moved,
    NotRun,
    Outcome,
    Unknown,
)
from carawaylane.rpc.node_pb2 import ForwardRequest
from carawaylane.services.journal import RecordAttempt, RecordAttemptOutcome
from carawaylane.services.peers import NODE_LOST, NeverSentError

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from carawaylane.config.schema import Service as ServiceSpec
    from carawaylane.decisions.ownership.fleet import Holding, ShardId
    from carawaylane.kernel.kernel import Kernel

# A request without a key is sent to at most this many homes.
MAX_UNKEYED_ATTEMPTS = 3
# The owner of a key may be changing, so a request with a key is tried again
# after a pause, at most this many times in all.
MAX_KEYED_ATTEMPTS = 6
KEYED_RETRY_PAUSE_S = 0.1
RETRY_AFTER_MS = 1000
OWNER_UNREACHABLE = Unknown(
    reason='the owner of the key cannot be reached; this attempt did not run',
    retry_after_ms=RETRY_AFTER_MS,
)


@service('forwarder')
class Forwarder(Service):
    """Chooses the homes of requests and forwards the requests to them."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self._loads: dict[ShardId, ShardLoad] = {}

    async def start(self) -> None:
        """Look up the services that forwarding uses."""
        self._homes = self.kernel.find('homes')
        self._peers = self.kernel.find('peers')
        self._runner = self.kernel.find('runner')
        self._journal = self.kernel.find('journal')
        self._relay = self.kernel.find('relay')
        self._membership = self.kernel.find('membership')
        self._watcher = self.kernel.find('watcher')
        self._catalogue = self.kernel.find('catalogue')

    async def forward(
        self, req: Request, *, unsafe: bool
    ) -> AsyncGenerator[AnswerChunk, None]:
        """Forward a request that this entry accepted; yield its answer."""
        spec = self._catalogue.config.services.get(req.service)
        if spec is None:
            yield AnswerChunk(outcome=NotRun(reason='the service was removed'))
            return
        if req.key:
            chunks = self.forward_keyed(req)
        else:
            chunks = self._forward_unkeyed(spec, req, unsafe)
        async for chunk in chunks:
            yield chunk

    def choose_home(self, shard: ShardId, excluded: set[str]) -> str | None:
        """Return the live node that requests without a key are sent to.

        Nodes in `excluded` are not chosen.
        """
        unavailable = self._membership.down_members() | excluded
        holding = self._homes.newest_holding(shard)
        fleet = self._relay.fleet
        if (
            holding
            and holding.owner in fleet.members
            and holding.owner not in unavailable
        ):
            return holding.owner
        return home_node(fleet, shard, unavailable)

    async def _forward_unkeyed(
        self, spec: ServiceSpec, req: Request, unsafe: bool
    ) -> AsyncGenerator[AnswerChunk, None]:
        failed_homes: set[str] = set()
        refusing_shards: set[int] = set()
        last_failure: AnswerChunk = AnswerChunk(
            outcome=NotRun(reason='no node is home of the shard')
        )
        for _ in range(MAX_UNKEYED_ATTEMPTS):
            number = self._choose_shard(spec, refusing_shards)
            home = self.choose_home((spec.name, number), failed_homes)
            if home is None:
                break
            forwarded_req = evolve(req, shard=number)
            retry = False
            try:
                async with aclosing(
                    self._send_to_home(home, forwarded_req)
                ) as chunks:
                    async for chunk in chunks:
                        self._record_load((spec.name, number), chunk)
                        if chunk.head is None and _may_retry(
                            chunk.outcome, unsafe
                        ):
                            last_failure = chunk
                            retry = True
                            break
                        yield chunk
            except NeverSentError:
                last_failure = AnswerChunk(
                    outcome=NotRun(reason='a home cannot be reached')
                )
                failed_homes.add(home)
                continue
            if not retry:
                return
            if isinstance(last_failure.outcome, NotRun):
                refusing_shards.add(number)
                if len(refusing_shards) >= spec.shards:
                    break
            else:
                failed_homes.add(home)
        yield last_failure

    async def _send_to_home(
        self, home: str, req: Request
    ) -> AsyncGenerator[AnswerChunk, None]:
        if home == self.kernel.member:
            chunks = self._runner.run_request(req)
        else:
            chunks = self._peers.forward(home, req, ForwardRequest.TO_HOME)
        async for chunk in chunks:
            yield chunk

    def _choose_shard(
        self, spec: ServiceSpec, refusing_shards: set[int]
    ) -> int:
        local_free_slots = {
            shard: home.free_slots()
            for shard, home in self._homes.by_shard.items()
            if shard[0] == spec.name
        }
        number = choose_shard(
            spec, self._loads, local_free_slots, self.kernel.rng
        )
        if number not in refusing_shards:
            return number
        remaining_shards = [
            number
            for number in range(spec.shards)
            if number not in refusing_shards
        ]
        return self.kernel.rng.choice(remaining_shards)

    def _record_load(self, shard: ShardId, chunk: AnswerChunk) -> None:
        if chunk.free_slots is not None:
            self._loads[shard] = ShardLoad(
                free_slots=chunk.free_slots, reported_ms=self.kernel.now_ms()
            )

    async def forward_keyed(
        self, req: Request
    ) -> AsyncGenerator[AnswerChunk, None]:
        """Forward a request with a key to its owner; yield its answer.

        This node journals the key or, if it can't, lets another member do it.
        """
        spec = self._catalogue.config.services.get(req.service)
        number = shard_of_key(spec, req.key) if spec else None
        if number is None:
            reason = 'the key belongs to another service'
            yield AnswerChunk(
                outcome=NotRun(reason=reason, status=400, retry_after_ms=0)
            )
            return
        shard = (req.service, number)
        needs_witness = False
        for attempt in range(MAX_KEYED_ATTEMPTS):
            if attempt:
                await sleep(KEYED_RETRY_PAUSE_S)
            if self.kernel.now_ms() >= req.deadline_ms:
                break
            moved = False
            async with aclosing(
                self._attempt_keyed(shard, req, needs_witness)
            ) as chunks:
                async for chunk in chunks:
                    if isinstance(chunk.outcome, Moved):
                        outcome = chunk.outcome
                        self._homes.record_owner_hint(
                            shard, outcome.owner, outcome.epoch
                        )
                        # If the same node is still the owner, it does not
                        # accept keys from this entry yet, because its standby
                        # has not read that this entry joined. A member that
                        # joined earlier can forward the key.
                        needs_witness = _is_current_owner(
                            outcome, self._homes.newest_holding(shard)
                        )
                        moved = True
                        break
                    yield self._check_refusal_age(chunk)
            if not moved:
                return
        yield AnswerChunk(outcome=OWNER_UNREACHABLE)

    def _check_refusal_age(self, chunk: AnswerChunk) -> AnswerChunk:
        """Replace NotRun by Unknown if a later attempt may have run the key.

        A recorded refusal rules that out only for a short time after it.
        """
        outcome = chunk.outcome
        if not isinstance(outcome, NotRun) or not outcome.retry_after_ms:
            return chunk
        if may_report_refusal(outcome.refused_ms, self.kernel.now_ms()):
            return chunk
        return AnswerChunk(
            outcome=Unknown(
                reason=f'{outcome.reason}; this attempt did not run',
                retry_after_ms=outcome.retry_after_ms,
            )
        )

    async def _attempt_keyed(
        self, shard: ShardId, req: Request, needs_witness: bool
    ) -> AsyncGenerator[AnswerChunk, None]:
        holding = self._homes.newest_holding(shard)
        if holding is None:
            yield AnswerChunk(outcome=Moved())
            return
        cannot_forward = needs_witness or not self._watcher.joined
        if holding.owner == self.kernel.member or cannot_forward:
            chunks = self._forward_via_witness(holding.owner, req)
        else:
            forwarded_req = evolve(
                req,
                shard=shard[1],
                epoch=holding.epoch,
                entry=self.kernel.member,
            )
            chunks = self._journal_and_forward(
                shard, holding.owner, forwarded_req
            )
        async for chunk in chunks:
            yield chunk

    async def _forward_via_witness(
        self, owner: str, req: Request
    ) -> AsyncGenerator[AnswerChunk, None]:
        """Let another member, the witness, journal a key and forward it.

        This node does not forward the key itself if it owns the shard, as its
        journal would be lost together with the owner, or if the owner does
        not accept keys from it yet.
        """
        if req.entry:
            # This node is the witness itself.
            yield AnswerChunk(outcome=Moved())
            return
        witnesses = [
            member.name
            for member in self._membership.live_peers()
            if member.name != owner
        ]
        if not witnesses:
            yield AnswerChunk(outcome=Moved())
            return
        witness = self.kernel.rng.choice(witnesses)
        forwarded_req = evolve(req, entry=self.kernel.member)
        try:
            async for chunk in self._peers.forward(
                witness, forwarded_req, ForwardRequest.VIA_WITNESS
            ):
                yield chunk
        except NeverSentError:
            yield AnswerChunk(outcome=Moved())

    async def _journal_and_forward(
        self, shard: ShardId, owner: str, req: Request
    ) -> AsyncGenerator[AnswerChunk, None]:
        attempt = RecordAttempt(
            shard=shard, epoch=req.epoch, owner=owner, key=req.key
        )
        if not await self._journal.ask(attempt):
            yield AnswerChunk(outcome=Moved())
            return
        outcome: Outcome = Unknown(reason='the attempt was cut short')
        answer = _AnswerBuffer(max_bytes=self.kernel.cfg.journal_answer_bytes)
        try:
            async for chunk in self._peers.forward(
                owner, req, ForwardRequest.TO_HOME
            ):
                answer.add(chunk)
                if chunk.outcome is not None:
                    outcome = chunk.outcome
                yield chunk
        except NeverSentError:
            outcome = Moved()
            yield AnswerChunk(outcome=Moved())
        finally:
            self._journal_outcome(shard, req.key, outcome, answer)

    def _journal_outcome(
        self,
        shard: ShardId,
        key: str,
        outcome: Outcome,
        answer: _AnswerBuffer,
    ) -> None:
        complete_answer = (
            answer.complete_answer() if isinstance(outcome, Answered) else None
        )
        self._journal.post(
            RecordAttemptOutcome(
                shard=shard,
                key=key,
                outcome=complete_answer or outcome,
                kept=complete_answer is not None,
            )
        )


def _is_current_owner(moved: Moved, holding: Holding | None) -> bool:
    if holding is None or not moved.owner:
        return False
    return (moved.owner, moved.epoch) == (holding.owner, holding.epoch)


def _may_retry(outcome: Outcome | None, unsafe: bool) -> bool:
    # A refusal without a retry time is final, such as that of a quarantined
    # request.
    if isinstance(outcome, NotRun):
        return outcome.retry_after_ms > 0
    if unsafe:
        return False
    return isinstance(outcome, Failed) and outcome.reason == NODE_LOST


class _AnswerBuffer:
    """Copy of a streamed answer, unless it is larger than `max_bytes`."""

    def __init__(self, *, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._data = bytearray()
        self._first_chunk: AnswerChunk | None = None
        self._fits = True

    def add(self, chunk: AnswerChunk) -> None:
        """Append the next chunk of the answer."""
        if chunk.head is not None:
            self._first_chunk = chunk
        if not self._fits:
            return
        self._data += chunk.data
        if len(self._data) > self._max_bytes:
            self._fits = False
            self._data.clear()

    def complete_answer(self) -> Answered | None:
        """Return the answer, or None if it was too large."""
        if (
            self._first_chunk is None
            or self._first_chunk.head is None
            or not self._fits
        ):
            return None
        head = self._first_chunk.head
        return Answered(
            status=head.status,
            headers=head.headers,
            body=bytes(self._data),
            target=head.target,
        )
