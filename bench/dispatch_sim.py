"""A service under load in virtual time: what callers get of a dispatcher.

The targets fail gray: each hangs most of what it is sent for a few seconds
at a time while it seems well. The same seeds are played against a baseline
that picks any target with a free slot.
"""

from __future__ import annotations

import argparse
from heapq import heappop, heappush
from itertools import count
from math import log
from random import Random
from typing import TYPE_CHECKING, Any

from attrs import Factory, define, evolve, frozen

from carawaylane.decisions.dispatcher import Dispatcher
from carawaylane.decisions.failure_estimate import Result
from carawaylane.messages.dispatch import (
    AttemptKind,
    Grant,
    Queued,
    Refusal,
    SlotRequest,
    Ticket,
)
from carawaylane.messages.platform_objects import TargetSpec
from carawaylane.settings.gateway import Bounds

if TYPE_CHECKING:
    from collections.abc import Callable

TICK_S = 0.02
# As in forwarding: a hedge that found no slot asks again after this.
HEDGE_AGAIN_S = 0.25
MAX_TRIES = 2
REPORT_S = 0.002
# The users' rule on the floor: in 2 s, while more than a tenth and under
# half of the requests are lost, this share of the targets that have been
# well for 2 s must get some.
FLOOR_WINDOW_S, FLOOR_STEP_S, FLOOR_SOUND_S = 2.0, 0.25, 2.0
FLOOR_LOST_LEAST, FLOOR_LOST_MOST, FLOOR_SHARE = 0.1, 0.5, 0.7


@frozen(kw_only=True)
class Load:
    """A service, its targets' failures and its callers; times in seconds."""

    targets: int = 15
    slots: int = 2
    rate_per_s: float = 60.0
    work_s: float = 0.14
    spread: float = 0.5
    timeout_s: float = 1.2
    objective_s: float = 0.6
    sick_s: float = 2.7
    well_s: float = 6.3
    sick_fails: float = 0.75
    # Share of the requests that hang at a well target, one at a time.
    stray: float = 0.0
    length_s: float = 60.0
    # Share of the requests that may be sent to a second target.
    idempotent: float = 0.0
    # Nodes that take the requests; each has connections of its own.
    entries: int = 1


@define(kw_only=True)
class Tally:
    """How the requests of a run ended."""

    in_time: int = 0
    late: int = 0
    lost: int = 0
    refused: int = 0
    refused_after_s: list[float] = Factory(list)
    by_priority: dict[int, list[int]] = Factory(dict)
    # Windows in which too few sound targets got requests, of how many.
    starved: int = 0
    lossy: int = 0
    # The same of all windows, whatever was lost in them.
    narrow: int = 0
    # Requests that went out on a new connection.
    opened: int = 0

    @property
    def total(self) -> int:
        """All requests that ended."""
        return self.in_time + self.late + self.lost + self.refused

    @property
    def served(self) -> float:
        """Share that got an answer."""
        return (self.in_time + self.late) / max(1, self.total)


class _Target:
    """Alternates between well and sick by exponential spells."""

    def __init__(self, *, load: Load, rng: Random) -> None:
        self._load = load
        self._rng = rng
        self._sick = rng.random() < load.sick_s / (load.sick_s + load.well_s)
        self._until_s = self._spell(0.0)
        self.spells = [(0.0, self._until_s)] if self._sick else []

    def sick(self, now_s: float) -> bool:
        while now_s >= self._until_s:
            self._sick = not self._sick
            start_s, self._until_s = self._until_s, self._spell(self._until_s)
            if self._sick:
                self.spells.append((start_s, self._until_s))
        return self._sick

    def sound(self, start_s: float, end_s: float) -> bool:
        """Return whether it was well all that time; ask in order of time."""
        self.sick(end_s)
        return not any(
            start_s < spell_end_s and spell_start_s < end_s
            for spell_start_s, spell_end_s in self.spells
        )

    def _spell(self, now_s: float) -> float:
        mean_s = self._load.sick_s if self._sick else self._load.well_s
        return now_s + self._rng.expovariate(1 / mean_s)


class Baseline(Dispatcher):
    """Picks any free slot, as a balancer of connections would."""

    rng = Random(0)

    def _choose_target(self, ask: SlotRequest, now_s: float) -> Any:
        free = [
            each
            for each in self.targets.values()
            if each.has_free_slot()
            and each.spec.name not in ask.avoided_targets
        ]
        return (self.rng.choice(free), 0.1) if free else None


@define(kw_only=True, eq=False)
class _Job:
    ask: SlotRequest
    at_s: float
    end_s: float
    running: list[_Send] = Factory(list)
    tried: frozenset[str] = frozenset()
    # The ask for a hedge that waits at the home.
    waits: Ticket | None = None


@define(kw_only=True, eq=False)
class _Send:
    job: _Job
    ticket: Ticket
    at_s: float
    done: bool = False


class Run:
    """One run of a load against a dispatcher."""

    def __init__(
        self, *, load: Load, seed: int, make: Callable[..., Dispatcher]
    ) -> None:
        self.load = load
        self.tally = Tally()
        self._rng = Random(seed)
        # Of its own, so that all dispatchers see the same requests.
        self._arrivals = Random(seed)
        self._events: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self._order = count()
        self._jobs: dict[Ticket, _Job] = {}
        self._hedges = count(10**9)
        self._sends: list[tuple[float, str]] = []
        self._ends: list[tuple[float, bool]] = []
        self.dispatcher = make(service='s', bounds=Bounds())
        names = [f't{number}' for number in range(load.targets)]
        self._targets = {
            name: _Target(load=load, rng=Random(self._rng.random()))
            for name in names
        }
        self.dispatcher.update_targets(
            [
                TargetSpec(
                    name=name,
                    service='s',
                    address='127.0.0.1:1',
                    data_centre='dc',
                    slots=load.slots,
                    draining=False,
                )
                for name in names
            ],
            0.0,
        )

    def play(self) -> Tally:
        """Return how the requests ended."""
        self._at(0.0, self._arrive, 1)
        self._at(0.0, self._tick)
        while self._events:
            now_s, _, func, args = heappop(self._events)
            func(now_s, *args)
        self._judge_floor()
        return self.tally

    def _judge_floor(self) -> None:
        steps = int((self.load.length_s - FLOOR_WINDOW_S) / FLOOR_STEP_S)
        for step in range(steps):
            start_s = step * FLOOR_STEP_S
            end_s = start_s + FLOOR_WINDOW_S
            ends = [
                lost for at_s, lost in self._ends if start_s <= at_s < end_s
            ]
            used = {
                name for at_s, name in self._sends if start_s <= at_s < end_s
            }
            sound = {
                name
                for name, target in self._targets.items()
                if target.sound(start_s - FLOOR_SOUND_S, end_s)
            }
            starved = len(used & sound) < FLOOR_SHARE * len(sound)
            self.tally.narrow += starved
            if (
                FLOOR_LOST_LEAST * len(ends)
                < sum(ends)
                < FLOOR_LOST_MOST * len(ends)
            ):
                self.tally.lossy += 1
                self.tally.starved += starved

    def _at(self, at_s: float, func: Any, *args: Any) -> None:
        heappush(self._events, (at_s, next(self._order), func, args))

    def _arrive(self, now_s: float, number: int) -> None:
        load = self.load
        if now_s < load.length_s:
            next_s = now_s + self._arrivals.expovariate(load.rate_per_s)
            self._at(next_s, self._arrive, number + 1)
        ask = SlotRequest(
            ticket=(f'e{number % load.entries}', number),
            data_centre='dc',
            route='r',
            priority=number % 2,
            idempotent=self._arrivals.random() < load.idempotent,
            left_s=load.timeout_s,
            objective_s=load.objective_s,
        )
        self._jobs[ask.ticket] = _Job(
            ask=ask, at_s=now_s, end_s=now_s + load.timeout_s
        )
        self._take(self.dispatcher.request_slot(ask, now_s), now_s)

    def _tick(self, now_s: float) -> None:
        for _, verdict in self.dispatcher.serve_queue(now_s):
            self._take(verdict, now_s)
        if now_s < self.load.length_s + 2:
            self._at(now_s + TICK_S, self._tick)

    def _take(self, verdict: Any, now_s: float) -> None:
        job = self._jobs[verdict.ticket]
        first = verdict.ticket == job.ask.ticket
        if not first:
            job.waits = verdict.ticket if isinstance(verdict, Queued) else None
        if isinstance(verdict, Grant):
            self._run(job, verdict, now_s)
        elif isinstance(verdict, Refusal) and first:
            self.tally.refused += 1
            self.tally.refused_after_s.append(now_s - job.at_s)
            self._end(job, served=False)
        elif isinstance(verdict, Refusal):
            self._at(now_s + HEDGE_AGAIN_S, self._hedge, job)

    def _run(self, job: _Job, grant: Grant, now_s: float) -> None:
        load = self.load
        target = self._targets[grant.target]
        self._sends.append((now_s, grant.target))
        known = self.dispatcher.targets[grant.target]
        self.tally.opened += not known.has_connection(job.ask.entry, now_s)
        send = _Send(job=job, ticket=grant.ticket, at_s=now_s)
        job.running.append(send)
        job.tried |= {grant.target}
        took_s = self._rng.lognormvariate(log(load.work_s), load.spread)
        self._at(
            now_s + grant.hedge_after_s, self._tell, send, grant.hedge_after_s
        )
        if job.ask.idempotent:
            self._at(now_s + grant.hedge_after_s, self._hedge, job)
        hangs = target.sick(now_s) and self._rng.random() < load.sick_fails
        hangs = hangs or self._rng.random() < load.stray
        if hangs or now_s + took_s > job.end_s:
            self._at(job.end_s, self._done, send, Result.OVERDUE)
        else:
            self._at(now_s + took_s, self._done, send, Result.ANSWERED)

    def _hedge(self, now_s: float, job: _Job) -> None:
        if not job.running or len(job.tried) >= MAX_TRIES or job.waits:
            return
        ask = evolve(
            job.ask,
            ticket=(job.ask.entry, next(self._hedges)),
            attempt=AttemptKind.HEDGE,
            left_s=job.end_s - now_s,
            avoided_targets=job.tried,
        )
        self._jobs[ask.ticket] = job
        self._take(self.dispatcher.request_slot(ask, now_s), now_s)

    def _tell(self, now_s: float, send: _Send, every_s: float) -> None:
        if not send.done:
            self.dispatcher.confirm_in_flight(send.ticket, now_s)
            self._at(now_s + max(0.05, every_s), self._tell, send, every_s)

    def _done(self, now_s: float, send: _Send, result: Result) -> None:
        job = send.job
        if send.done:
            return
        self._stop(now_s, send, result)
        if result is Result.ANSWERED:
            in_time = now_s - job.at_s <= self.load.objective_s
            self.tally.in_time += in_time
            self.tally.late += not in_time
        elif job.running:
            return
        else:
            self.tally.lost += 1
        self._end(job, served=result is Result.ANSWERED)
        for other in list(job.running):
            self._stop(now_s, other, Result.CANCELLED)
        if job.waits is not None:
            self.dispatcher.cancel_queued(job.waits)
            job.waits = None

    def _stop(self, now_s: float, send: _Send, result: Result) -> None:
        send.done = True
        send.job.running.remove(send)
        took_s = now_s - send.at_s
        self._at(now_s + REPORT_S, self._report, send.ticket, result, took_s)

    def _report(
        self, now_s: float, ticket: Ticket, result: Result, took_s: float
    ) -> None:
        self.dispatcher.record_result(ticket, result, took_s, now_s)
        for _, verdict in self.dispatcher.serve_queue(now_s):
            self._take(verdict, now_s)

    def _end(self, job: _Job, served: bool) -> None:
        self._ends.append((job.at_s, not served))
        row = self.tally.by_priority.setdefault(job.ask.priority, [0, 0])
        row[0] += served
        row[1] += 1


def play(
    load: Load,
    seeds: int,
    make: Callable[..., Dispatcher] = Dispatcher,
) -> Tally:
    """Return the sum of some runs."""
    found = Tally()
    for seed in range(seeds):
        tally = Run(load=load, seed=seed, make=make).play()
        found.in_time += tally.in_time
        found.late += tally.late
        found.lost += tally.lost
        found.refused += tally.refused
        found.refused_after_s += tally.refused_after_s
        found.starved += tally.starved
        found.lossy += tally.lossy
        found.narrow += tally.narrow
        found.opened += tally.opened
        for priority, (served, total) in tally.by_priority.items():
            row = found.by_priority.setdefault(priority, [0, 0])
            row[0] += served
            row[1] += total
    return found


def main() -> None:
    """Print what callers get, with and without the dispatcher's choices."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=5)
    args = parser.parse_args()
    for name, load in LOADS.items():
        for make in (Baseline, Dispatcher):
            found = play(load, args.seeds, make)
            print(
                f'{name:10} {make.__name__:10} served {found.served:.4f} '
                f'in time {found.in_time / found.total:.4f} '
                f'lost {found.lost / found.total:.4f} '
                f'refused {found.refused / found.total:.4f} '
                f'starved {found.starved} of {found.lossy} '
                f'opened {found.opened / found.total:.3f}'
            )


# Many targets, few busy slots, and timeouts of many times the work.
ROOMY = Load(
    targets=18,
    slots=4,
    rate_per_s=70.0,
    work_s=0.32,
    timeout_s=4.0,
    objective_s=1.5,
    sick_s=3.6,
    well_s=8.4,
    sick_fails=0.9,
    entries=44,
)
# Work of uneven length that fills the slots of those targets that are well.
TIGHT = Load(
    targets=11,
    slots=4,
    rate_per_s=66.0,
    work_s=0.31,
    spread=0.8,
    timeout_s=3.0,
    objective_s=1.5,
    sick_s=3.6,
    well_s=8.4,
    sick_fails=0.9,
    idempotent=1.0,
    entries=44,
)
# Spells as fitted to the users' bench by fit_spells.
LASTING = evolve(ROOMY, sick_s=9.5, well_s=30.0, sick_fails=0.85)
LOADS = {
    'roomy': ROOMY,
    'lasting': LASTING,
    'tight': TIGHT,
    'stray': evolve(TIGHT, stray=0.03),
    'calm': Load(),
    'peak': Load(rate_per_s=85.0),
    'crowded': Load(targets=6, rate_per_s=40.0),
    'overload': Load(targets=6, rate_per_s=80.0),
}

if __name__ == '__main__':
    main()
