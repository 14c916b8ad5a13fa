"""Which targets of a shard take work: evidence, ejection, floor, return."""

from __future__ import annotations

from enum import Enum
from math import ceil
from statistics import median

from attrs import Factory, define, frozen

from carawaylane.config.schema import Weights
from carawaylane.decisions.detector import Detector, make_detector

BASE_EJECTION_S = 5.0
MAX_STAY_S = 600.0
# Stay of a target that died under a request, for its restart.
RESTART_STAY_S = 2.0
# A target healthy this long has its relapses forgiven.
FORGIVE_AFTER_S = 300.0
# Good outcomes in a row that raise a returning target by one slot.
STEP_UP_OUTCOMES = 3
# A stay outside ends with this many slots.
RETURN_SLOTS = 1
# An answer is slow at this multiple of its peers' median, and above the
# least time that matters.
SLOW_FACTOR = 3.0
MIN_SLOW_S = 0.02
LATENCY_GAIN = 0.2
RATE_GAIN = 0.1
MIN_PEERS = 1


class Standing(Enum):
    """Why a target takes work or not."""

    SERVING = 'serving'
    EJECTED = 'ejected'
    HELD = 'held by the floor'
    DRAINING = 'draining'
    OUT = 'out by label'
    LEAVING = 'leaving'


# Standings that give no new work.
OUTSIDE = (Standing.EJECTED, Standing.DRAINING, Standing.OUT, Standing.LEAVING)


@frozen(kw_only=True)
class TargetOutcome:
    """One finished exchange with a target."""

    target: str
    kind: str
    failed: bool
    latency_s: float


@frozen(kw_only=True)
class StandingChange:
    """A target changed its standing."""

    target: str
    standing: Standing
    reason: str


@define(kw_only=True)
class TargetHealth:
    """Evidence about one target and its standing."""

    name: str
    slots: int
    detector: Detector
    standing: Standing = Standing.SERVING
    label_state: str = 'serving'
    leaving: bool = False
    limit: int = 0
    bad_rate: float = 0.0
    latency_s: dict[str, float] = Factory(dict)
    relapses: int = 0
    return_at_s: float = 0.0
    healthy_since_s: float = 0.0
    good_run: int = 0

    @property
    def in_service(self) -> bool:
        """Whether new work goes to the target."""
        return self.standing not in OUTSIDE


@define(kw_only=True)
class ShardHealth:
    """Ejection and return for the targets of one shard.

    The floor counts slots. A target leaves service for its health only if
    the slots that remain in service reach the floor; operators' labels and
    leaving targets are counted as gone already.
    """

    floor_percent: int
    weights: Weights
    detector_name: str = 'cusum'
    targets: dict[str, TargetHealth] = Factory(dict)

    def configure(self, slots: dict[str, int]) -> None:
        """Set the targets and their slots."""
        for name, count in slots.items():
            if name not in self.targets:
                self.targets[name] = self._new(name, count)
            elif self.targets[name].slots != count:
                self.targets[name].slots = count
                self.targets[name].limit = count
        for name in set(self.targets) - set(slots):
            del self.targets[name]

    def floor_slots(self) -> int:
        """Return how many slots must stay in service."""
        total = sum(each.slots for each in self.targets.values())
        return ceil(total * self.floor_percent / 100)

    def set_operator_state(
        self, target: str, state: str, leaving: bool, now_s: float
    ) -> list[StandingChange]:
        """Follow an operator's label and the list of hosts."""
        known = self.targets.get(target)
        if known is None:
            return []
        known.label_state = state
        known.leaving = leaving
        return self.update_standings(now_s)

    def record_outcome(
        self, outcome: TargetOutcome, now_s: float
    ) -> list[StandingChange]:
        """Count an outcome and return what changed by it."""
        known = self.targets.get(outcome.target)
        if known is None:
            return []
        bad = outcome.failed or self._slow(known, outcome)
        known.detector.observe(bad, self._peer_rate(known))
        known.bad_rate += RATE_GAIN * (bad - known.bad_rate)
        if not outcome.failed:
            self._learn_latency(known, outcome)
        self._step_up(known, bad)
        return self.update_standings(now_s)

    def record_crash(self, target: str, now_s: float) -> list[StandingChange]:
        """Take a target that died under a request out, without blame."""
        known = self.targets.get(target)
        if known is None or known.standing is not Standing.SERVING:
            return []
        left = self.in_service_slots() - known.slots
        if left < self.floor_slots():
            return []
        known.standing = Standing.EJECTED
        known.return_at_s = now_s + RESTART_STAY_S
        return [
            StandingChange(
                target=target, standing=known.standing, reason='died'
            )
        ]

    def is_overdue(self, target: str, kind: str, age_s: float) -> bool:
        """Return whether work that still runs counts as slow already."""
        known = self.targets.get(target)
        if known is None:
            return False
        limit = self._slow_limit_s(known, kind)
        return limit is not None and age_s > limit

    def update_standings(self, now_s: float) -> list[StandingChange]:
        """Bring every standing up to date and return the changes."""
        before = {name: each.standing for name, each in self.targets.items()}
        for each in self.targets.values():
            self._follow_label(each, now_s)
            self._forgive(each, now_s)
            if each.standing is Standing.EJECTED:
                self._maybe_return(each, now_s)
        self._readmit_for_floor()
        self._eject_sickest(now_s)
        return [
            StandingChange(
                target=name, standing=each.standing, reason=_reason(each)
            )
            for name, each in self.targets.items()
            if each.standing is not before[name]
        ]

    def in_service_slots(self) -> int:
        """Return the slots of targets that take work."""
        return sum(
            each.slots for each in self.targets.values() if each.in_service
        )

    def _new(self, name: str, slots: int) -> TargetHealth:
        weight = self.weights.false_ejection / self.weights.detection
        return TargetHealth(
            name=name,
            slots=slots,
            limit=slots,
            detector=make_detector(self.detector_name, weight),
        )

    def _peers(self, known: TargetHealth) -> list[TargetHealth]:
        return [
            each
            for each in self.targets.values()
            if each is not known and each.in_service
        ]

    def _peer_rate(self, known: TargetHealth) -> float:
        rates = [each.bad_rate for each in self._peers(known)]
        return median(rates) if rates else 0.0

    def _slow_limit_s(self, known: TargetHealth, kind: str) -> float | None:
        times = [
            each.latency_s[kind]
            for each in self._peers(known)
            if kind in each.latency_s
        ]
        if len(times) < MIN_PEERS:
            return None
        return max(MIN_SLOW_S, SLOW_FACTOR * median(times))

    def _slow(self, known: TargetHealth, outcome: TargetOutcome) -> bool:
        limit = self._slow_limit_s(known, outcome.kind)
        return limit is not None and outcome.latency_s > limit

    def _learn_latency(
        self, known: TargetHealth, outcome: TargetOutcome
    ) -> None:
        old = known.latency_s.get(outcome.kind, outcome.latency_s)
        gap = outcome.latency_s - old
        known.latency_s[outcome.kind] = old + LATENCY_GAIN * gap

    def _step_up(self, known: TargetHealth, bad: bool) -> None:
        known.good_run = 0 if bad else known.good_run + 1
        if known.limit < known.slots and known.good_run >= STEP_UP_OUTCOMES:
            known.limit += 1
            known.good_run = 0

    def _follow_label(self, each: TargetHealth, now_s: float) -> None:
        wanted = _wanted_standing(each)
        if wanted is not None:
            each.standing = wanted
            return
        if each.standing in (
            Standing.OUT,
            Standing.DRAINING,
            Standing.LEAVING,
        ):
            self._readmit(each, now_s)

    def _forgive(self, each: TargetHealth, now_s: float) -> None:
        if each.standing is not Standing.SERVING:
            each.healthy_since_s = now_s
        elif now_s - each.healthy_since_s > FORGIVE_AFTER_S:
            each.relapses = 0

    def _maybe_return(self, each: TargetHealth, now_s: float) -> None:
        if now_s >= each.return_at_s:
            self._readmit(each, now_s)

    def _readmit(self, each: TargetHealth, now_s: float) -> None:
        each.standing = Standing.SERVING
        each.limit = min(RETURN_SLOTS, each.slots)
        each.good_run = 0
        each.healthy_since_s = now_s
        each.detector.reset()

    def _readmit_for_floor(self) -> None:
        # Labels or leaving targets may take the service below its floor;
        # the least sick of the ejected make up for them.
        ejected = [
            each
            for each in self.targets.values()
            if each.standing is Standing.EJECTED
        ]
        ejected.sort(key=lambda each: each.detector.score())
        for each in ejected:
            if self.in_service_slots() >= self.floor_slots():
                return
            each.standing = Standing.HELD

    def _eject_sickest(self, now_s: float) -> None:
        candidates = [
            each
            for each in self.targets.values()
            if each.standing in (Standing.SERVING, Standing.HELD)
            and each.detector.score() >= 1
        ]
        candidates.sort(key=lambda each: -each.detector.score())
        for each in candidates:
            left = self.in_service_slots() - each.slots
            if left < self.floor_slots():
                each.standing = Standing.HELD
                continue
            self._eject(each, now_s)
        for each in self.targets.values():
            if each.standing is Standing.HELD and each.detector.score() < 1:
                each.standing = Standing.SERVING

    def _eject(self, each: TargetHealth, now_s: float) -> None:
        stay_s = min(MAX_STAY_S, BASE_EJECTION_S * 2**each.relapses)
        each.relapses += 1
        each.return_at_s = now_s + stay_s
        each.standing = Standing.EJECTED


def _wanted_standing(each: TargetHealth) -> Standing | None:
    if each.leaving:
        return Standing.LEAVING
    if each.label_state == 'draining':
        return Standing.DRAINING
    if each.label_state == 'out':
        return Standing.OUT
    return None


def _reason(each: TargetHealth) -> str:
    if each.standing in (Standing.EJECTED, Standing.HELD):
        return f'evidence {each.detector.score():.2f} of 1'
    return each.standing.value
