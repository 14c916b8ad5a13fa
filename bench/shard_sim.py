"""One service in virtual time: arrivals, the decision classes, targets."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

from attrs import Factory, define

from carawaylane.config.schema import Weights
from carawaylane.decisions.health import (
    ShardHealth,
    Standing,
    StandingChange,
    TargetOutcome,
)
from carawaylane.decisions.slots import Granted, Queued, SlotPool, SlotRequest

TICK_S = 0.05
TIMEOUT_S = 2.0
# Mean work of a well target and the share of its answers that fail.
MEDIAN_SERVICE_S = 0.05
BASE_FAILURES = 0.002

Behaviour = Callable[[float, str, Random], tuple[float, bool]]


def healthy(now_s: float, kind: str, rng: Random) -> tuple[float, bool]:
    """A well target: log-normal times, few failures."""
    failed = rng.random() < BASE_FAILURES
    return MEDIAN_SERVICE_S * rng.lognormvariate(0, 0.4), failed


@define(kw_only=True)
class Work:
    """A request on a target."""

    target: str
    kind: str
    ticket: int
    since_s: float
    end_s: float
    failed: bool
    arrived_s: float
    seen: bool = False
    done: bool = False


@define(kw_only=True)
class SimStats:
    """What came out of a run; times are of the virtual clock."""

    arrived: int = 0
    succeeded: int = 0
    failed: int = 0
    shed: int = 0
    expired_in_queue: int = 0
    latency_s: list[float] = Factory(list)
    ejections: list[tuple[float, str]] = Factory(list)
    start_times_s: dict[str, list[float]] = Factory(dict)


class ShardSim:
    """One home with its targets."""

    def __init__(
        self,
        *,
        targets: dict[str, Behaviour],
        slots: int,
        rng: Random,
        weights: Weights | None = None,
        detector: str = 'cusum',
        floor_percent: int = 50,
        kinds: tuple[str, ...] = ('a', 'b'),
    ) -> None:
        self.behaviours = targets
        self.rng = rng
        self.kinds = kinds
        self.pool = SlotPool()
        self.pool.configure(dict.fromkeys(targets, slots))
        self.health = ShardHealth(
            floor_percent=floor_percent,
            weights=weights or Weights(),
            detector_name=detector,
        )
        self.health.configure(dict.fromkeys(targets, slots))
        self.stats = SimStats()
        self.now_s = 0.0
        self.capacity = len(targets) * slots
        self._events: list[tuple[float, int, object]] = []
        self._order = count()
        self._waiting: dict[int, float] = {}
        self._work: list[Work] = []

    def run(self, *, rate: float, seconds: float) -> SimStats:
        """Run arrivals at a rate for a while; return the stats."""
        end_s = self.now_s + seconds
        self._push(self.now_s, 'arrive')
        self._push(self.now_s, 'tick')
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, event = heappop(self._events)
            if event == 'arrive':
                self._arrive()
                self._push(self.now_s + self.rng.expovariate(rate), 'arrive')
            elif event == 'tick':
                self._tick()
                self._push(self.now_s + TICK_S, 'tick')
            else:
                self._finish(event)
        self._events = [x for x in self._events if isinstance(x[2], Work)]
        self.now_s = end_s
        return self.stats

    def _push(self, at_s: float, event: object) -> None:
        heappush(self._events, (at_s, next(self._order), event))

    def _arrive(self) -> None:
        self.stats.arrived += 1
        demand = SlotRequest(
            ticket=self.pool.new_ticket(),
            kind=self.rng.choice(self.kinds),
            caller=f'c{self.rng.randrange(20)}',
            share=1,
            max_queue=64,
            deadline_s=self.now_s + TIMEOUT_S,
        )
        grant = self.pool.acquire(demand, self.now_s)
        if isinstance(grant, Granted):
            self._start(demand, grant.target, self.now_s)
        elif isinstance(grant, Queued):
            self._waiting[demand.ticket] = self.now_s
        else:
            self.stats.shed += 1

    def _start(
        self, demand: SlotRequest, target: str, arrived_s: float
    ) -> None:
        took_s, failed = self.behaviours[target](
            self.now_s, demand.kind, self.rng
        )
        left_s = max(0.0, arrived_s + TIMEOUT_S - self.now_s)
        if took_s > left_s:
            took_s, failed = left_s, True
        work = Work(
            target=target,
            kind=demand.kind,
            ticket=demand.ticket,
            since_s=self.now_s,
            end_s=self.now_s + took_s,
            failed=failed,
            arrived_s=arrived_s,
        )
        self._work.append(work)
        self.stats.start_times_s.setdefault(target, []).append(self.now_s)
        self._push(work.end_s, work)

    def _finish(self, work: Work) -> None:
        work.done = True
        self._work.remove(work)
        took_s = self.now_s - work.since_s
        self.pool.release(work.target, None if work.failed else took_s)
        if work.failed:
            self.stats.failed += 1
        else:
            self.stats.succeeded += 1
            self.stats.latency_s.append(self.now_s - work.arrived_s)
        if not work.seen:
            self._observe(work, took_s, work.failed)
        self._serve()

    def _tick(self) -> None:
        for work in self._work:
            age_s = self.now_s - work.since_s
            if work.seen:
                continue
            if self.health.is_overdue(work.target, work.kind, age_s):
                work.seen = True
                self._observe(work, age_s, False)
        self._follow(self.health.update_standings(self.now_s))
        self._serve()

    def _observe(self, work: Work, took_s: float, failed: bool) -> None:
        outcome = TargetOutcome(
            target=work.target,
            kind=work.kind,
            failed=failed,
            latency_s=took_s,
        )
        self._follow(self.health.record_outcome(outcome, self.now_s))

    def _follow(self, moved: list[StandingChange]) -> None:
        for each in moved:
            if each.standing is Standing.EJECTED:
                self.stats.ejections.append((self.now_s, each.target))
        for name, known in self.health.targets.items():
            self.pool.set_limit(name, known.limit, known.in_service)

    def _serve(self) -> None:
        for demand, grant in self.pool.serve_queue(self.now_s):
            arrived_s = self._waiting.pop(demand.ticket)
            if isinstance(grant, Granted):
                self._start(demand, grant.target, arrived_s)
            else:
                self.stats.expired_in_queue += 1
