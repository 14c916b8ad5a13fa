"""Home of one shard: grants slots, judges targets and admits keys.

A node creates a home for a shard when it first needs one, whether it owns the
shard or not. Only the owner of the shard admits keys.
"""

from __future__ import annotations

from asyncio import Event, Future, get_running_loop, sleep
from typing import TYPE_CHECKING, Any

from carawaylane.decisions.admission.slots import Granted, Queued, SlotPool
from carawaylane.decisions.ownership.ledger import KeyState, Ledger
from carawaylane.decisions.ownership.ownership import (
    PromisesPending,
    ShardOwnership,
)
from carawaylane.decisions.ownership.succession import (
    SuccessionWindows,
    apply_fleet_state,
    take_over_as_standby,
)
from carawaylane.decisions.targets.health import (
    ShardHealth,
    Standing,
    StandingChange,
    TargetOutcome,
)
from carawaylane.kernel.service import Actor, handles
from carawaylane.messages.home import (
    AcceptHandover,
    AcquireSlot,
    AdmitKey,
    ApplyFleetState,
    AwaitKey,
    CancelSlotRequest,
    Configure,
    Describe,
    FenceOwner,
    HandOverShard,
    HandoverState,
    LateOutcome,
    PromiseReceived,
    ProposeStandby,
    RecordKeyOutcome,
    ReleaseSlot,
    ShardRow,
    StandbyProgress,
    TakeOverAsStandby,
    TargetCrashed,
    TargetLeaving,
    TargetRow,
    Tick,
)
from carawaylane.messages.outcomes import Answered, NotRun, Unknown
from carawaylane.telemetry.events import (
    SHARD_CLAIMED,
    SHARD_LOST,
    SHARD_PROVEN,
    SHARD_RELEASED,
    TARGET_STANDING,
    emit,
)

if TYPE_CHECKING:
    from carawaylane.config.schema import Service, Target
    from carawaylane.decisions.ownership.fleet import ShardId
    from carawaylane.decisions.ownership.journal import Promise
    from carawaylane.decisions.ownership.ledger import Verdict
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.outcomes import Moved, Outcome

TICK_PERIOD_S = 0.05


class _InFlightRequest:
    """A request that holds a slot of a target.

    `overdue` means that its latency so far has been recorded as an outcome.
    """

    def __init__(self, *, target: str, kind: str, started_at_s: float) -> None:
        self.target = target
        self.kind = kind
        self.started_at_s = started_at_s
        self.overdue = False


class ShardHome(Actor):
    """Owns the slots, target health and key records of one shard."""

    def __init__(self, *, kernel: Kernel, shard: ShardId) -> None:
        super().__init__(kernel=kernel)
        cfg = kernel.cfg
        self.shard = shard
        self.name = f'shard {shard[0]}/{shard[1]}'
        self.service: Service | None = None
        self.targets: dict[str, Target] = {}
        self.pool = SlotPool()
        self.health: ShardHealth | None = None
        self.ownership = ShardOwnership(
            node=kernel.member,
            shard=shard,
            ledger=Ledger(
                window_ms=cfg.resend_window_ms, max_bytes=cfg.ledger_bytes
            ),
        )
        # Targets that announced in an answer that they are shutting down.
        self._announced_leaving: set[str] = set()
        # Both by the ticket of the slot request.
        self._slot_waiters: dict[int, Future[Any]] = {}
        self._in_flight: dict[int, _InFlightRequest] = {}
        self._pending_admissions: list[tuple[AdmitKey, Future[Any]]] = []
        self._key_waiters: dict[str, list[Future[Outcome]]] = {}
        # Whether it was certain at the last check that a key without a record
        # has not run.
        self._was_proven = True
        # Set while the state can change by the passing of time alone. An idle
        # shard needs no ticks.
        self._ticks_needed = Event()

    async def start(self) -> None:
        """Start handling messages and ticks."""
        await super().start()
        self.spawn(self._tick_loop())

    def free_slots(self) -> int:
        """Return the number of slots that new requests can take."""
        return self.pool.free_slots()

    def open_request_count(self) -> int:
        """Return how many requests hold a slot or wait for one."""
        return len(self._in_flight) + len(self._slot_waiters)

    async def _tick_loop(self) -> None:
        while True:
            await self._ticks_needed.wait()
            await sleep(TICK_PERIOD_S)
            self.post(Tick())

    def _needs_ticks(self) -> bool:
        """Return whether the state can change by the passing of time alone."""
        if self._in_flight or self._slot_waiters or self._pending_admissions:
            return True
        if not self._was_proven:
            return True
        targets = self.health.targets.values() if self.health else ()
        return any(
            target.standing in (Standing.EJECTED, Standing.HELD)
            for target in targets
        )

    @handles(Configure)
    def _configure(self, msg: Configure) -> None:
        spec = msg.service
        slots = {
            target.name: target.slots or spec.slots for target in msg.targets
        }
        if self.health is None or self.health.detector_name != spec.detector:
            self.health = ShardHealth(
                floor_percent=spec.floor_percent,
                weights=spec.weights,
                detector_name=spec.detector,
            )
        self.health.floor_percent = spec.floor_percent
        self.health.weights = spec.weights
        self.service = spec
        self.targets = {target.name: target for target in msg.targets}
        self.pool.configure(slots)
        self.health.configure(slots)
        self._announced_leaving &= set(slots)
        now_s = self.kernel.now_s()
        changes: list[StandingChange] = []
        for target in msg.targets:
            leaving = target.host in msg.leaving_hosts
            leaving = leaving or target.name in self._announced_leaving
            changes += self.health.set_operator_state(
                target.name, target.state, leaving, now_s
            )
        self._apply_standing_changes(changes)

    @handles(AcquireSlot)
    def _acquire_slot(self, msg: AcquireSlot) -> Any:
        acquire_result = self.pool.acquire(
            msg.slot_request, self.kernel.now_s()
        )
        if isinstance(acquire_result, Granted):
            self._start_request(
                msg.slot_request.ticket,
                acquire_result.target,
                msg.slot_request.kind,
            )
            return acquire_result
        if not isinstance(acquire_result, Queued):
            return acquire_result
        future: Future[Any] = get_running_loop().create_future()
        self._slot_waiters[msg.slot_request.ticket] = future
        self._ticks_needed.set()
        return future

    @handles(CancelSlotRequest)
    def _cancel_slot_request(self, msg: CancelSlotRequest) -> None:
        self._slot_waiters.pop(msg.ticket, None)
        if self.pool.cancel(msg.ticket):
            return
        request = self._in_flight.pop(msg.ticket, None)
        if request is not None:
            self.pool.release(request.target, None)
            self._serve_queue()

    @handles(ReleaseSlot)
    def _release_slot(self, msg: ReleaseSlot) -> None:
        request = self._in_flight.pop(msg.ticket, None)
        if request is None:
            return
        self.pool.release(msg.target, msg.busy_s)
        if msg.outcome is not None and not request.overdue:
            self._record_target_outcome(msg.outcome)
        self._serve_queue()

    @handles(TargetCrashed)
    def _record_crash(self, msg: TargetCrashed) -> None:
        if self.health is not None:
            changes = self.health.record_crash(msg.target, self.kernel.now_s())
            self._apply_standing_changes(changes)

    @handles(LateOutcome)
    def _record_late_outcome(self, msg: LateOutcome) -> None:
        self._record_target_outcome(msg.outcome)

    @handles(TargetLeaving)
    def _mark_leaving(self, msg: TargetLeaving) -> None:
        target = self.targets.get(msg.target)
        if target is None or self.health is None:
            return
        self._announced_leaving.add(msg.target)
        now_s = self.kernel.now_s()
        self._apply_standing_changes(
            self.health.set_operator_state(
                msg.target, target.state, True, now_s
            )
        )

    @handles(Tick)
    def _tick(self, msg: Tick) -> None:
        if not self._needs_ticks():
            self._ticks_needed.clear()
        now_s = self.kernel.now_s()
        if self.health is None:
            return
        for request in self._in_flight.values():
            age_s = now_s - request.started_at_s
            if request.overdue or not self.health.is_overdue(
                request.target, request.kind, age_s
            ):
                continue
            request.overdue = True
            self._record_target_outcome(
                TargetOutcome(
                    target=request.target,
                    kind=request.kind,
                    failed=False,
                    latency_s=age_s,
                )
            )
        self._apply_standing_changes(self.health.update_standings(now_s))
        self._serve_queue()
        self._retry_admissions()

    @handles(AdmitKey)
    def _admit_key(self, msg: AdmitKey) -> Any:
        verdict = self._admit_attempt(msg)
        if not isinstance(verdict, PromisesPending):
            return verdict
        future: Future[Any] = get_running_loop().create_future()
        self._pending_admissions.append((msg, future))
        self._ticks_needed.set()
        return future

    @handles(AwaitKey)
    def _await_key(self, msg: AwaitKey) -> Future[Outcome]:
        future: Future[Outcome] = get_running_loop().create_future()
        record = self.ownership.ledger.records.get(msg.key)
        if record is None or record.state is not KeyState.RUNNING:
            future.set_result(_recorded_outcome(record))
        else:
            self._key_waiters.setdefault(msg.key, []).append(future)
        return future

    @handles(RecordKeyOutcome)
    def _record_key_outcome(self, msg: RecordKeyOutcome) -> None:
        ledger = self.ownership.ledger
        now_ms = self.kernel.now_ms()
        match msg.outcome:
            case Answered():
                answer = msg.outcome if msg.kept else None
                ledger.record_answer(msg.key, answer, now_ms)
            case NotRun():
                ledger.record_refusal(msg.key, now_ms)
            case _:
                ledger.mark_in_doubt(msg.key, now_ms)
        self._wake_key_waiters(msg.key, msg.outcome)

    @handles(ApplyFleetState)
    def _apply_fleet_state(self, msg: ApplyFleetState) -> bool:
        ownership = self.ownership
        was_owner, epoch = ownership.is_owner(), ownership.epoch
        cfg = self.kernel.cfg
        apply_fleet_state(
            ownership,
            msg.fleet,
            self.kernel.now_ms(),
            SuccessionWindows(
                resend_ms=cfg.resend_window_ms, gather_ms=cfg.gather_ms
            ),
        )
        epoch_began = ownership.is_owner() and ownership.epoch != epoch
        if epoch_began:
            emit(SHARD_CLAIMED, shard=self.name, epoch=ownership.epoch)
            self._was_proven = False
            self._ticks_needed.set()
        elif was_owner and not ownership.is_owner():
            emit(SHARD_LOST, shard=self.name, owner=ownership.successor)
        self._retry_admissions()
        return epoch_began

    @handles(TakeOverAsStandby)
    def _take_over_as_standby(self, msg: TakeOverAsStandby) -> bool:
        cfg = self.kernel.cfg
        epoch_began = take_over_as_standby(
            self.ownership,
            msg.fleet,
            self.kernel.now_ms(),
            SuccessionWindows(
                resend_ms=cfg.resend_window_ms, gather_ms=cfg.gather_ms
            ),
        )
        if epoch_began:
            emit(SHARD_CLAIMED, shard=self.name, epoch=self.ownership.epoch)
            self._was_proven = False
            self._ticks_needed.set()
        return epoch_began

    @handles(ProposeStandby)
    def _propose_standby(self, msg: ProposeStandby) -> bool:
        return self.ownership.set_standby(msg.member, msg.seq, msg.own_seq)

    @handles(StandbyProgress)
    def _update_standby_progress(self, msg: StandbyProgress) -> None:
        self.ownership.update_standby_seq(msg.member, msg.seq)

    @handles(PromiseReceived)
    def _record_promise(self, msg: PromiseReceived) -> None:
        # A promise made for an older epoch doesn't count for this one.
        if msg.epoch == self.ownership.epoch:
            self.ownership.record_promise(msg.member, msg.promise)
        self._retry_admissions()

    @handles(FenceOwner)
    def _fence_owner(self, msg: FenceOwner) -> Promise:
        was_owner = self.ownership.is_owner()
        promise = self.ownership.accept_fence(
            successor=msg.successor, epoch=msg.epoch
        )
        if was_owner and not self.ownership.is_owner():
            emit(SHARD_LOST, shard=self.name, owner=msg.successor)
        return promise

    @handles(HandOverShard)
    def _hand_over_shard(self, msg: HandOverShard) -> HandoverState | None:
        ownership = self.ownership
        if not ownership.is_owner() or ownership.awaited_members:
            return None
        ownership.hand_over(successor=msg.successor, epoch=msg.epoch)
        emit(SHARD_RELEASED, shard=self.name, heir=msg.successor)
        self._retry_admissions()
        return self._handover_state()

    @handles(AcceptHandover)
    def _accept_handover(self, msg: AcceptHandover) -> bool:
        ownership = self.ownership
        if ownership.is_owner() and msg.epoch == ownership.handover_epoch:
            self._merge_final_records(msg)
            return True
        return ownership.accept_handover(
            epoch=msg.epoch,
            records=list(msg.state.records),
            unproven_until_ms=msg.state.unproven_until_ms,
        )

    @handles(Describe)
    def _describe(self, msg: Describe) -> ShardRow:
        ownership = self.ownership
        health = self.health
        return ShardRow(
            shard=self.shard,
            epoch=ownership.epoch,
            owned=ownership.is_owner(),
            proven=ownership.is_proven(self.kernel.now_ms()),
            keys=len(ownership.ledger.records),
            free_slots=self.pool.free_slots(),
            waiting=self.pool.queue_length(),
            floor_slots=health.floor_slots() if health else 0,
            targets=self._target_rows(),
        )

    def _handover_state(self) -> HandoverState:
        return HandoverState(
            records=tuple(self.ownership.ledger.records.values()),
            unproven_until_ms=self.ownership.unproven_until_ms,
        )

    def _merge_final_records(self, msg: AcceptHandover) -> None:
        """Merge the outcomes of keys that still ran at the first handover."""
        self.ownership.ledger.merge_records(
            msg.state.records, keep_running=True
        )
        for record in msg.state.records:
            if record.state is not KeyState.RUNNING:
                self._wake_key_waiters(record.key, _recorded_outcome(record))

    def _target_rows(self) -> list[TargetRow]:
        rows: list[TargetRow] = []
        for name in self.targets:
            slots = self.pool.targets.get(name)
            health = self.health.targets.get(name) if self.health else None
            if slots is None or health is None:
                continue
            rows.append(
                TargetRow(
                    target=name,
                    service=self.shard[0],
                    shard=self.shard[1],
                    standing=health.standing.value,
                    reason=f'evidence {health.detector.score():.2f} of 1',
                    slots=health.slots,
                    limit=health.limit if health.in_service else 0,
                    busy=slots.busy,
                )
            )
        return rows

    def _admit_attempt(
        self, msg: AdmitKey
    ) -> Verdict | Moved | PromisesPending:
        req = msg.req
        return self.ownership.admit_attempt(
            key=req.key,
            epoch=req.epoch,
            entry=req.entry,
            join_seq=msg.join_seq,
            accepted_ms=req.accepted_ms,
            now_ms=self.kernel.now_ms(),
        )

    def _retry_admissions(self) -> None:
        pending, self._pending_admissions = self._pending_admissions, []
        for msg, future in pending:
            verdict = self._admit_attempt(msg)
            if isinstance(verdict, PromisesPending):
                self._pending_admissions.append((msg, future))
            elif not future.done():
                future.set_result(verdict)
        proven = self.ownership.is_proven(self.kernel.now_ms())
        if proven and not self._was_proven and self.ownership.is_owner():
            emit(SHARD_PROVEN, shard=self.name, epoch=self.ownership.epoch)
        self._was_proven = proven

    def _wake_key_waiters(self, key: str, outcome: Outcome) -> None:
        for future in self._key_waiters.pop(key, ()):
            if not future.done():
                future.set_result(outcome)

    def _start_request(self, ticket: int, target: str, kind: str) -> None:
        self._ticks_needed.set()
        self._in_flight[ticket] = _InFlightRequest(
            target=target, kind=kind, started_at_s=self.kernel.now_s()
        )

    def _record_target_outcome(self, outcome: TargetOutcome) -> None:
        if self.health is not None:
            self._apply_standing_changes(
                self.health.record_outcome(outcome, self.kernel.now_s())
            )

    def _apply_standing_changes(self, changes: list[StandingChange]) -> None:
        for change in changes:
            emit(
                TARGET_STANDING,
                target=change.target,
                standing=change.standing.value,
                reason=change.reason,
            )
        if self.health is None:
            return
        if changes:
            self._ticks_needed.set()
        for name, target_health in self.health.targets.items():
            self.pool.set_limit(
                name, target_health.limit, target_health.in_service
            )

    def _serve_queue(self) -> None:
        for slot_request, acquire_result in self.pool.serve_queue(
            self.kernel.now_s()
        ):
            future = self._slot_waiters.pop(slot_request.ticket, None)
            if future is None or future.done():
                if isinstance(acquire_result, Granted):
                    self.pool.release(acquire_result.target, None)
                continue
            if isinstance(acquire_result, Granted):
                self._start_request(
                    slot_request.ticket,
                    acquire_result.target,
                    slot_request.kind,
                )
            future.set_result(acquire_result)


def _recorded_outcome(record: Any) -> Outcome:
    if record is not None and record.answer is not None:
        return record.answer
    if record is not None and record.state is KeyState.REFUSED:
        return NotRun(reason='the attempt under way was refused')
    return Unknown(reason='it may have run')
