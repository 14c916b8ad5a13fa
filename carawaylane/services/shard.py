"""The home of one shard: its slots, its targets' health, its keys."""

from __future__ import annotations

from asyncio import Event, Future, get_running_loop, sleep
from typing import TYPE_CHECKING, Any

from carawaylane.decisions.health import (
    ShardHealth,
    Standing,
    StandingChange,
    TargetOutcome,
)
from carawaylane.decisions.ledger import KeyState, Ledger
from carawaylane.decisions.ownership import PromisesPending, ShardOwnership
from carawaylane.decisions.slots import Granted, Queued, SlotPool
from carawaylane.decisions.succession import (
    SuccessionWindows,
    apply_fleet_state,
    take_over_as_standby,
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
    from carawaylane.decisions.fleet import ShardId
    from carawaylane.decisions.journal import Promise
    from carawaylane.decisions.ledger import Verdict
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.outcomes import Moved, Outcome

TICK_S = 0.05


class _Work:
    """A slot that is taken."""

    def __init__(self, *, target: str, kind: str, since_s: float) -> None:
        self.target = target
        self.kind = kind
        self.since_s = since_s
        self.overdue = False


class ShardHome(Actor):
    """Task that owns everything about one shard on its home."""

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
        self._said_leaving: set[str] = set()
        self._grants: dict[int, Future[Any]] = {}
        self._work_now: dict[int, _Work] = {}
        self._admissions: list[tuple[AdmitKey, Future[Any]]] = []
        self._key_waiters: dict[str, list[Future[Outcome]]] = {}
        self._was_proven = True
        # Set while time matters: an idle shard costs nothing.
        self._stirred = Event()

    async def start(self) -> None:
        """Start working and ticking."""
        await super().start()
        self.spawn(self._tick_loop())

    def free_slots(self) -> int:
        """Return the slots that a new request could take."""
        return self.pool.free_slots()

    def busy(self) -> int:
        """Return how many slots are taken and demands wait."""
        return len(self._work_now) + len(self._grants)

    async def _tick_loop(self) -> None:
        while True:
            await self._stirred.wait()
            await sleep(TICK_S)
            self.post(Tick())

    def _wants_ticks(self) -> bool:
        """Return whether the passing of time can change anything here."""
        if self._work_now or self._grants or self._admissions:
            return True
        if not self._was_proven:
            return True
        standings = self.health.targets.values() if self.health else ()
        return any(
            each.standing in (Standing.EJECTED, Standing.HELD)
            for each in standings
        )

    @handles(Configure)
    def _configure(self, msg: Configure) -> None:
        spec = msg.service
        slots = {each.name: each.slots or spec.slots for each in msg.targets}
        if self.health is None or self.health.detector_name != spec.detector:
            self.health = ShardHealth(
                floor_percent=spec.floor_percent,
                weights=spec.weights,
                detector_name=spec.detector,
            )
        self.health.floor_percent = spec.floor_percent
        self.health.weights = spec.weights
        self.service = spec
        self.targets = {each.name: each for each in msg.targets}
        self.pool.configure(slots)
        self.health.configure(slots)
        self._said_leaving &= set(slots)
        now_s = self.kernel.now_s()
        moved: list[StandingChange] = []
        for each in msg.targets:
            leaving = each.host in msg.leaving_hosts
            leaving = leaving or each.name in self._said_leaving
            moved += self.health.set_operator_state(
                each.name, each.state, leaving, now_s
            )
        self._follow(moved)

    @handles(AcquireSlot)
    def _acquire(self, msg: AcquireSlot) -> Any:
        grant = self.pool.acquire(msg.slot_request, self.kernel.now_s())
        if isinstance(grant, Granted):
            self._took(
                msg.slot_request.ticket, grant.target, msg.slot_request.kind
            )
            return grant
        if not isinstance(grant, Queued):
            return grant
        fut: Future[Any] = get_running_loop().create_future()
        self._grants[msg.slot_request.ticket] = fut
        self._stirred.set()
        return fut

    @handles(CancelSlotRequest)
    def _cancel_slot_request(self, msg: CancelSlotRequest) -> None:
        self._grants.pop(msg.ticket, None)
        if self.pool.cancel(msg.ticket):
            return
        work = self._work_now.pop(msg.ticket, None)
        if work is not None:
            self.pool.release(work.target, None)
            self._serve_queue()

    @handles(ReleaseSlot)
    def _release(self, msg: ReleaseSlot) -> None:
        work = self._work_now.pop(msg.ticket, None)
        if work is None:
            return
        self.pool.release(msg.target, msg.busy_s)
        if msg.outcome is not None and not work.overdue:
            self._observe(msg.outcome)
        self._serve_queue()

    @handles(TargetCrashed)
    def _crashed(self, msg: TargetCrashed) -> None:
        if self.health is not None:
            moved = self.health.record_crash(msg.target, self.kernel.now_s())
            self._follow(moved)

    @handles(LateOutcome)
    def _observed(self, msg: LateOutcome) -> None:
        self._observe(msg.outcome)

    @handles(TargetLeaving)
    def _leaving(self, msg: TargetLeaving) -> None:
        known = self.targets.get(msg.target)
        if known is None or self.health is None:
            return
        self._said_leaving.add(msg.target)
        now_s = self.kernel.now_s()
        self._follow(
            self.health.set_operator_state(
                msg.target, known.state, True, now_s
            )
        )

    @handles(Tick)
    def _tick(self, msg: Tick) -> None:
        if not self._wants_ticks():
            self._stirred.clear()
        now_s = self.kernel.now_s()
        if self.health is None:
            return
        for work in self._work_now.values():
            age_s = now_s - work.since_s
            if work.overdue or not self.health.is_overdue(
                work.target, work.kind, age_s
            ):
                continue
            work.overdue = True
            self._observe(
                TargetOutcome(
                    target=work.target,
                    kind=work.kind,
                    failed=False,
                    latency_s=age_s,
                )
            )
        self._follow(self.health.update_standings(now_s))
        self._serve_queue()
        self._retry_admissions()

    @handles(AdmitKey)
    def _admit(self, msg: AdmitKey) -> Any:
        verdict = self._decide(msg)
        if not isinstance(verdict, PromisesPending):
            return verdict
        fut: Future[Any] = get_running_loop().create_future()
        self._admissions.append((msg, fut))
        self._stirred.set()
        return fut

    @handles(AwaitKey)
    def _await_key(self, msg: AwaitKey) -> Future[Outcome]:
        fut: Future[Outcome] = get_running_loop().create_future()
        record = self.ownership.ledger.records.get(msg.key)
        if record is None or record.state is not KeyState.RUNNING:
            fut.set_result(_outcome_of(record))
        else:
            self._key_waiters.setdefault(msg.key, []).append(fut)
        return fut

    @handles(RecordKeyOutcome)
    def _settle(self, msg: RecordKeyOutcome) -> None:
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
        self._wake_key(msg.key, msg.outcome)

    @handles(ApplyFleetState)
    def _follow_fleet(self, msg: ApplyFleetState) -> bool:
        ownership = self.ownership
        held, epoch = ownership.is_owner(), ownership.epoch
        cfg = self.kernel.cfg
        apply_fleet_state(
            ownership,
            msg.fleet,
            self.kernel.now_ms(),
            SuccessionWindows(
                resend_ms=cfg.resend_window_ms, gather_ms=cfg.gather_ms
            ),
        )
        began = ownership.is_owner() and ownership.epoch != epoch
        if began:
            emit(SHARD_CLAIMED, shard=self.name, epoch=ownership.epoch)
            self._was_proven = False
            self._stirred.set()
        elif held and not ownership.is_owner():
            emit(SHARD_LOST, shard=self.name, owner=ownership.successor)
        self._retry_admissions()
        return began

    @handles(TakeOverAsStandby)
    def _stand_in(self, msg: TakeOverAsStandby) -> bool:
        cfg = self.kernel.cfg
        began = take_over_as_standby(
            self.ownership,
            msg.fleet,
            self.kernel.now_ms(),
            SuccessionWindows(
                resend_ms=cfg.resend_window_ms, gather_ms=cfg.gather_ms
            ),
        )
        if began:
            emit(SHARD_CLAIMED, shard=self.name, epoch=self.ownership.epoch)
            self._was_proven = False
            self._stirred.set()
        return began

    @handles(ProposeStandby)
    def _name_standby(self, msg: ProposeStandby) -> bool:
        return self.ownership.set_standby(msg.member, msg.seq, msg.own_seq)

    @handles(StandbyProgress)
    def _standby_knows(self, msg: StandbyProgress) -> None:
        self.ownership.update_standby_seq(msg.member, msg.seq)

    @handles(PromiseReceived)
    def _promised(self, msg: PromiseReceived) -> None:
        # A promise for an epoch that is over says nothing about this one.
        if msg.epoch == self.ownership.epoch:
            self.ownership.record_promise(msg.member, msg.promise)
        self._retry_admissions()

    @handles(FenceOwner)
    def _fence(self, msg: FenceOwner) -> Promise:
        held = self.ownership.is_owner()
        promise = self.ownership.accept_fence(
            successor=msg.successor, epoch=msg.epoch
        )
        if held and not self.ownership.is_owner():
            emit(SHARD_LOST, shard=self.name, owner=msg.successor)
        return promise

    @handles(HandOverShard)
    def _release_tenure(self, msg: HandOverShard) -> HandoverState | None:
        ownership = self.ownership
        if not ownership.is_owner() or ownership.awaited_members:
            return None
        ownership.hand_over(successor=msg.successor, epoch=msg.epoch)
        emit(SHARD_RELEASED, shard=self.name, heir=msg.successor)
        self._retry_admissions()
        return self._inheritance()

    @handles(AcceptHandover)
    def _inherit(self, msg: AcceptHandover) -> bool:
        ownership = self.ownership
        if ownership.is_owner() and msg.epoch == ownership.handover_epoch:
            self._settle_inherited(msg)
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

    def _inheritance(self) -> HandoverState:
        return HandoverState(
            records=tuple(self.ownership.ledger.records.values()),
            unproven_until_ms=self.ownership.unproven_until_ms,
        )

    def _settle_inherited(self, msg: AcceptHandover) -> None:
        self.ownership.ledger.merge_records(
            msg.state.records, keep_running=True
        )
        for record in msg.state.records:
            if record.state is not KeyState.RUNNING:
                self._wake_key(record.key, _outcome_of(record))

    def _target_rows(self) -> list[TargetRow]:
        rows: list[TargetRow] = []
        for name in self.targets:
            slots = self.pool.targets.get(name)
            known = self.health.targets.get(name) if self.health else None
            if slots is None or known is None:
                continue
            rows.append(
                TargetRow(
                    target=name,
                    service=self.shard[0],
                    shard=self.shard[1],
                    standing=known.standing.value,
                    reason=f'evidence {known.detector.score():.2f} of 1',
                    slots=known.slots,
                    limit=known.limit if known.in_service else 0,
                    busy=slots.busy,
                )
            )
        return rows

    def _decide(self, msg: AdmitKey) -> Verdict | Moved | PromisesPending:
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
        waiting, self._admissions = self._admissions, []
        for msg, fut in waiting:
            verdict = self._decide(msg)
            if isinstance(verdict, PromisesPending):
                self._admissions.append((msg, fut))
            elif not fut.done():
                fut.set_result(verdict)
        proven = self.ownership.is_proven(self.kernel.now_ms())
        if proven and not self._was_proven and self.ownership.is_owner():
            emit(SHARD_PROVEN, shard=self.name, epoch=self.ownership.epoch)
        self._was_proven = proven

    def _wake_key(self, key: str, outcome: Outcome) -> None:
        for fut in self._key_waiters.pop(key, ()):
            if not fut.done():
                fut.set_result(outcome)

    def _took(self, ticket: int, target: str, kind: str) -> None:
        self._stirred.set()
        self._work_now[ticket] = _Work(
            target=target, kind=kind, since_s=self.kernel.now_s()
        )

    def _observe(self, outcome: TargetOutcome) -> None:
        if self.health is not None:
            self._follow(
                self.health.record_outcome(outcome, self.kernel.now_s())
            )

    def _follow(self, moved: list[StandingChange]) -> None:
        for each in moved:
            emit(
                TARGET_STANDING,
                target=each.target,
                standing=each.standing.value,
                reason=each.reason,
            )
        if self.health is None:
            return
        if moved:
            self._stirred.set()
        for name, known in self.health.targets.items():
            self.pool.set_limit(name, known.limit, known.in_service)

    def _serve_queue(self) -> None:
        for demand, grant in self.pool.serve_queue(self.kernel.now_s()):
            fut = self._grants.pop(demand.ticket, None)
            if fut is None or fut.done():
                if isinstance(grant, Granted):
                    self.pool.release(grant.target, None)
                continue
            if isinstance(grant, Granted):
                self._took(demand.ticket, grant.target, demand.kind)
            fut.set_result(grant)


def _outcome_of(record: Any) -> Outcome:
    if record is not None and record.answer is not None:
        return record.answer
    if record is not None and record.state is KeyState.REFUSED:
        return NotRun(reason='the attempt under way was refused')
    return Unknown(reason='it may have run')
