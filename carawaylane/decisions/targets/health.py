"""Ejection and readmission of the targets of one shard.

Outcomes of requests and operators' labels decide which targets get new work.
A detector scores each target by its failed and slow requests; a target whose
score reaches 1 is ejected for a time that doubles with each ejection. It
comes back with one slot and earns the others by successful requests. A floor
limits how many slots may be ejected.
"""

from __future__ import annotations

from enum import Enum
from math import ceil
from statistics import median

from attrs import Factory, define, frozen

from carawaylane.config.schema import Weights
from carawaylane.decisions.targets.detector import Detector, make_detector

# The first ejection takes this long, and each further one twice as long as
# the one before, up to the maximum.
BASE_EJECTION_S = 5.0
MAX_EJECTION_S = 600.0
# Ejection of a target that crashed on a request: time for its restart.
CRASH_EJECTION_S = 2.0
# After this long in service the next ejection takes BASE_EJECTION_S again.
EJECTION_BACKOFF_RESET_S = 300.0
# A target below its number of slots may use one more after this many
# consecutive requests that neither failed nor were slow.
SUCCESSES_PER_SLOT = 3
# Slots that a target may use when it is readmitted.
READMITTED_SLOTS = 1
# A request is slow if its latency exceeds this multiple of the peers' median
# and MIN_SLOW_S, below which a difference does not matter.
SLOW_FACTOR = 3.0
MIN_SLOW_S = 0.02
# Weights of the newest sample in the moving averages.
LATENCY_GAIN = 0.2
BAD_RATE_GAIN = 0.1
# Peers with a known latency that are needed to call a request slow.
MIN_PEERS = 1


class Standing(Enum):
    """Whether a target gets new work, and why; shown to operators.

    A target is HELD if its score calls for ejection but the floor keeps it in
    service. OUT and DRAINING follow operators' labels. A LEAVING target is
    about to stop, alone or with its host.
    """

    SERVING = 'serving'
    EJECTED = 'ejected'
    HELD = 'held by the floor'
    DRAINING = 'draining'
    OUT = 'out by label'
    LEAVING = 'leaving'


# Standings of targets that get no new work.
OUT_OF_SERVICE = (
    Standing.EJECTED,
    Standing.DRAINING,
    Standing.OUT,
    Standing.LEAVING,
)


@frozen(kw_only=True)
class TargetOutcome:
    """Result of one request that was sent to a target."""

    target: str
    kind: str
    failed: bool
    latency_s: float


@frozen(kw_only=True)
class StandingChange:
    """A target's new standing and the reason for it."""

    target: str
    standing: Standing
    reason: str


@define(kw_only=True)
class TargetHealth:
    """Standing of one target and the statistics that it depends on.

    `limit` is the number of slots that may be in use, `bad_rate` the moving
    average of the share of failed or slow requests, and `latency_s` that of
    the latency by traffic kind. `ejections` counts the ejections since the
    backoff was last reset; an ejection ends at `return_at_s`.
    """

    name: str
    slots: int
    detector: Detector
    standing: Standing = Standing.SERVING
    label_state: str = 'serving'
    leaving: bool = False
    limit: int = 0
    bad_rate: float = 0.0
    latency_s: dict[str, float] = Factory(dict)
    ejections: int = 0
    return_at_s: float = 0.0
    serving_since_s: float = 0.0
    consecutive_successes: int = 0

    @property
    def in_service(self) -> bool:
        """Whether the target gets new work."""
        return self.standing not in OUT_OF_SERVICE


@define(kw_only=True)
class ShardHealth:
    """Standings of the targets of one shard.

    The floor counts slots. A target is ejected for its health only if the
    slots that remain in service reach the floor. Targets that are leaving or
    taken out by a label count as out of service and may bring a shard below
    its floor.
    """

    floor_percent: int
    weights: Weights
    detector_name: str = 'cusum'
    targets: dict[str, TargetHealth] = Factory(dict)

    def configure(self, slots: dict[str, int]) -> None:
        """Set the targets and how many slots each has."""
        for name, count in slots.items():
            if name not in self.targets:
                self.targets[name] = self._new_target(name, count)
            elif self.targets[name].slots != count:
                self.targets[name].slots = count
                self.targets[name].limit = count
        for name in set(self.targets) - set(slots):
            del self.targets[name]

    def floor_slots(self) -> int:
        """Return how many slots ejections must leave in service."""
        total = sum(target.slots for target in self.targets.values())
        return ceil(total * self.floor_percent / 100)

    def set_operator_state(
        self, target: str, state: str, leaving: bool, now_s: float
    ) -> list[StandingChange]:
        """Set the state label of a target and whether it is leaving.

        Return the changed standings.
        """
        health = self.targets.get(target)
        if health is None:
            return []
        health.label_state = state
        health.leaving = leaving
        return self.update_standings(now_s)

    def record_outcome(
        self, outcome: TargetOutcome, now_s: float
    ) -> list[StandingChange]:
        """Update a target's statistics; return the changed standings."""
        target = self.targets.get(outcome.target)
        if target is None:
            return []
        bad = outcome.failed or self._is_slow(target, outcome)
        target.detector.record_outcome(bad, self._peer_bad_rate(target))
        target.bad_rate += BAD_RATE_GAIN * (bad - target.bad_rate)
        if not outcome.failed:
            self._update_latency(target, outcome)
        self._raise_limit(target, bad)
        return self.update_standings(now_s)

    def record_crash(self, target: str, now_s: float) -> list[StandingChange]:
        """Eject a target that crashed on a request, if the floor permits.

        A crash counts neither towards the detector's score nor towards the
        backoff of ejections: the request may be at fault.
        """
        health = self.targets.get(target)
        if health is None or health.standing is not Standing.SERVING:
            return []
        remaining_slots = self.in_service_slots() - health.slots
        if remaining_slots < self.floor_slots():
            return []
        health.standing = Standing.EJECTED
        health.return_at_s = now_s + CRASH_EJECTION_S
        return [
            StandingChange(
                target=target, standing=health.standing, reason='died'
            )
        ]

    def is_overdue(self, target: str, kind: str, age_s: float) -> bool:
        """Return whether a request still in flight already counts as slow."""
        health = self.targets.get(target)
        if health is None:
            return False
        limit_s = self._slow_limit_s(health, kind)
        return limit_s is not None and age_s > limit_s

    def update_standings(self, now_s: float) -> list[StandingChange]:
        """Bring every standing up to date and return the changes."""
        before = {
            name: target.standing for name, target in self.targets.items()
        }
        for target in self.targets.values():
            self._apply_operator_state(target, now_s)
            self._reset_backoff_if_healthy(target, now_s)
            if target.standing is Standing.EJECTED:
                self._readmit_if_due(target, now_s)
        self._readmit_for_floor()
        self._eject_by_score(now_s)
        return [
            StandingChange(
                target=name, standing=target.standing, reason=_reason(target)
            )
            for name, target in self.targets.items()
            if target.standing is not before[name]
        ]

    def in_service_slots(self) -> int:
        """Return the number of slots of targets that get new work."""
        return sum(
            target.slots
            for target in self.targets.values()
            if target.in_service
        )

    def _new_target(self, name: str, slots: int) -> TargetHealth:
        weight = self.weights.false_ejection / self.weights.detection
        return TargetHealth(
            name=name,
            slots=slots,
            limit=slots,
            detector=make_detector(self.detector_name, weight),
        )

    def _peers(self, target: TargetHealth) -> list[TargetHealth]:
        return [
            peer
            for peer in self.targets.values()
            if peer is not target and peer.in_service
        ]

    def _peer_bad_rate(self, target: TargetHealth) -> float:
        rates = [peer.bad_rate for peer in self._peers(target)]
        return median(rates) if rates else 0.0

    def _slow_limit_s(self, target: TargetHealth, kind: str) -> float | None:
        latencies_s = [
            peer.latency_s[kind]
            for peer in self._peers(target)
            if kind in peer.latency_s
        ]
        if len(latencies_s) < MIN_PEERS:
            return None
        return max(MIN_SLOW_S, SLOW_FACTOR * median(latencies_s))

    def _is_slow(self, target: TargetHealth, outcome: TargetOutcome) -> bool:
        limit_s = self._slow_limit_s(target, outcome.kind)
        return limit_s is not None and outcome.latency_s > limit_s

    def _update_latency(
        self, target: TargetHealth, outcome: TargetOutcome
    ) -> None:
        average_s = target.latency_s.get(outcome.kind, outcome.latency_s)
        error_s = outcome.latency_s - average_s
        target.latency_s[outcome.kind] = average_s + LATENCY_GAIN * error_s

    def _raise_limit(self, target: TargetHealth, bad: bool) -> None:
        """Raise the limit by one after SUCCESSES_PER_SLOT good requests."""
        target.consecutive_successes = (
            0 if bad else target.consecutive_successes + 1
        )
        if (
            target.limit < target.slots
            and target.consecutive_successes >= SUCCESSES_PER_SLOT
        ):
            target.limit += 1
            target.consecutive_successes = 0

    def _apply_operator_state(
        self, target: TargetHealth, now_s: float
    ) -> None:
        standing = _operator_standing(target)
        if standing is not None:
            target.standing = standing
            return
        if target.standing in (
            Standing.OUT,
            Standing.DRAINING,
            Standing.LEAVING,
        ):
            self._readmit(target, now_s)

    def _reset_backoff_if_healthy(
        self, target: TargetHealth, now_s: float
    ) -> None:
        if target.standing is not Standing.SERVING:
            target.serving_since_s = now_s
        elif now_s - target.serving_since_s > EJECTION_BACKOFF_RESET_S:
            target.ejections = 0

    def _readmit_if_due(self, target: TargetHealth, now_s: float) -> None:
        if now_s >= target.return_at_s:
            self._readmit(target, now_s)

    def _readmit(self, target: TargetHealth, now_s: float) -> None:
        target.standing = Standing.SERVING
        target.limit = min(READMITTED_SLOTS, target.slots)
        target.consecutive_successes = 0
        target.serving_since_s = now_s
        target.detector.reset()

    def _readmit_for_floor(self) -> None:
        # Labels or leaving targets may take the shard below its floor. Then
        # the ejected targets with the lowest scores return to service.
        ejected = [
            target
            for target in self.targets.values()
            if target.standing is Standing.EJECTED
        ]
        ejected.sort(key=lambda target: target.detector.score())
        for target in ejected:
            if self.in_service_slots() >= self.floor_slots():
                return
            target.standing = Standing.HELD

    def _eject_by_score(self, now_s: float) -> None:
        candidates = [
            target
            for target in self.targets.values()
            if target.standing in (Standing.SERVING, Standing.HELD)
            and target.detector.score() >= 1
        ]
        candidates.sort(key=lambda target: -target.detector.score())
        for target in candidates:
            remaining_slots = self.in_service_slots() - target.slots
            if remaining_slots < self.floor_slots():
                target.standing = Standing.HELD
                continue
            self._eject(target, now_s)
        for target in self.targets.values():
            if (
                target.standing is Standing.HELD
                and target.detector.score() < 1
            ):
                target.standing = Standing.SERVING

    def _eject(self, target: TargetHealth, now_s: float) -> None:
        ejection_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**target.ejections)
        target.ejections += 1
        target.return_at_s = now_s + ejection_s
        target.standing = Standing.EJECTED


def _operator_standing(target: TargetHealth) -> Standing | None:
    if target.leaving:
        return Standing.LEAVING
    if target.label_state == 'draining':
        return Standing.DRAINING
    if target.label_state == 'out':
        return Standing.OUT
    return None


def _reason(target: TargetHealth) -> str:
    if target.standing in (Standing.EJECTED, Standing.HELD):
        return f'evidence {target.detector.score():.2f} of 1'
    return target.standing.value
