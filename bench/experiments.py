"""Experiments on the policy, each a function with a seed, by name."""

from __future__ import annotations

from random import Random
from statistics import mean, median
from typing import TYPE_CHECKING, Any

from bench.fault_outcomes import fault_outcome_rows
from bench.shard_sim import MEDIAN_SERVICE_S, Behaviour, ShardSim, healthy
from carawaylane.config.schema import Weights

if TYPE_CHECKING:
    from collections.abc import Callable

Rows = list[dict[str, Any]]
EXPERIMENTS: dict[str, Callable[[int], Rows]] = {}

WARM_S = 10.0
FAULT_S = 20.0
CALM_S = 120.0
USERS = {
    # name: targets, slots, weights
    'association': (6, 2, Weights(detection=3, false_ejection=1)),
    'sarelo': (10, 4, Weights(detection=1, false_ejection=3)),
}
LOAD = 0.3
RUNS = 2


def experiment(name: str) -> Callable[..., Any]:
    """Register an experiment under a name."""

    def register(func: Callable[[int], Rows]) -> Callable[[int], Rows]:
        EXPERIMENTS[name] = func
        return func

    return register


def _from(at_s: float, then: Behaviour) -> Behaviour:
    def behave(now_s: float, kind: str, rng: Random) -> tuple[float, bool]:
        chosen = then if now_s >= at_s else healthy
        return chosen(now_s, kind, rng)

    return behave


def _slow(factor: float) -> Behaviour:
    def behave(now_s: float, kind: str, rng: Random) -> tuple[float, bool]:
        took_s, failed = healthy(now_s, kind, rng)
        return took_s * factor, failed

    return behave


def _failing(share: float) -> Behaviour:
    def behave(now_s: float, kind: str, rng: Random) -> tuple[float, bool]:
        took_s, failed = healthy(now_s, kind, rng)
        return took_s, failed or rng.random() < share

    return behave


def _one_kind(now_s: float, kind: str, rng: Random) -> tuple[float, bool]:
    took_s, failed = healthy(now_s, kind, rng)
    return took_s, failed or kind == 'a'


def _hang(now_s: float, kind: str, rng: Random) -> tuple[float, bool]:
    return 3600.0, True


def _flap(now_s: float, kind: str, rng: Random) -> tuple[float, bool]:
    took_s, failed = healthy(now_s, kind, rng)
    return took_s, failed or int(now_s / 3) % 2 == 0


FAULTS: dict[str, Behaviour] = {
    'fails all work': _failing(1.0),
    'fails half': _failing(0.5),
    'fails one kind': _one_kind,
    'hangs': _hang,
    'slow x2': _slow(2),
    'slow x5': _slow(5),
    'slow x20': _slow(20),
    'flaps each 3 s': _flap,
}


def _sim(user: str, detector: str, seed: int, sick: Behaviour) -> ShardSim:
    count, slots, weights = USERS[user]
    targets: dict[str, Behaviour] = {f't{n}': healthy for n in range(count)}
    targets['t0'] = _from(WARM_S, sick)
    return ShardSim(
        targets=targets,
        slots=slots,
        rng=Random(seed),
        weights=weights,
        detector=detector,
    )


def _rate(sim: ShardSim, share: float = LOAD) -> float:
    return sim.capacity / MEDIAN_SERVICE_S * share / 1.08


def _detection_s(sim: ShardSim) -> float:
    """Return from the fault's start to the last work before ejection."""
    ejected = [at for at, name in sim.stats.ejections if name == 't0']
    ejected = [at for at in ejected if at >= WARM_S]
    if not ejected:
        return FAULT_S
    before = [
        at
        for at in sim.stats.start_times_s['t0']
        if WARM_S <= at <= ejected[0]
    ]
    return before[-1] - WARM_S if before else 0.0


def _share_of_work(sim: ShardSim) -> float:
    """Return the sick target's share of the work during the fault."""
    total = sum(
        at >= WARM_S for row in sim.stats.start_times_s.values() for at in row
    )
    sick = sum(at >= WARM_S for at in sim.stats.start_times_s['t0'])
    return sick / total if total else 0.0


@experiment('detection')
def detection(seed: int) -> Rows:
    """Detection time per fault, user and detector; mean of two runs."""
    rows: Rows = []
    for fault, sick in FAULTS.items():
        for user in USERS:
            row: dict[str, Any] = {'fault': fault, 'user': user}
            for detector in ('consecutive', 'cusum'):
                sims = [
                    _sim(user, detector, seed * 100 + n, sick)
                    for n in range(RUNS)
                ]
                for sim in sims:
                    sim.run(rate=_rate(sim), seconds=WARM_S + FAULT_S)
                row[f'{detector} s'] = round(mean(map(_detection_s, sims)), 2)
                row[f'{detector} work'] = round(
                    mean(map(_share_of_work, sims)), 3
                )
            rows.append(row)
    return rows


@experiment('false ejections')
def false_ejections(seed: int) -> Rows:
    """Ejections of well targets in two calm minutes, and when all slow."""
    rows: Rows = []
    for user, (count, slots, weights) in USERS.items():
        for detector in ('consecutive', 'cusum'):
            for case, then in (('calm', healthy), ('all slow x5', _slow(5))):
                sim = ShardSim(
                    targets={
                        f't{n}': _from(WARM_S, then) for n in range(count)
                    },
                    slots=slots,
                    rng=Random(seed),
                    weights=weights,
                    detector=detector,
                )
                share = LOAD if case == 'calm' else LOAD / 5
                sim.run(rate=_rate(sim, share), seconds=CALM_S)
                rows.append(
                    {
                        'user': user,
                        'detector': detector,
                        'case': case,
                        'requests': sim.stats.arrived,
                        'false ejections': len(sim.stats.ejections),
                    }
                )
    return rows


@experiment('weights')
def weights_curve(seed: int) -> Rows:
    """Detection time against false ejections as the weights move."""
    rows: Rows = []
    for ratio in (1 / 9, 1, 9, 81):
        for user, (count, slots, _) in USERS.items():
            chosen = Weights(detection=1, false_ejection=ratio)
            sick = ShardSim(
                targets={
                    f't{n}': _from(WARM_S, _failing(0.5))
                    if n == 0
                    else healthy
                    for n in range(count)
                },
                slots=slots,
                rng=Random(seed),
                weights=chosen,
            )
            sick.run(rate=_rate(sick), seconds=WARM_S + FAULT_S)
            calm = ShardSim(
                targets={f't{n}': healthy for n in range(count)},
                slots=slots,
                rng=Random(seed),
                weights=chosen,
            )
            calm.run(rate=_rate(calm), seconds=CALM_S)
            rows.append(
                {
                    'false ejection : detection': f'{ratio:.3g}',
                    'user': user,
                    'detection s': round(_detection_s(sick), 2),
                    'false ejections': len(calm.stats.ejections),
                }
            )
    return rows


@experiment('overload')
def overload(seed: int) -> Rows:
    """Goodput around capacity; refusals come at once."""
    rows: Rows = []
    for share in (0.5, 0.8, 1.0, 1.2, 2.0):
        sim = ShardSim(
            targets={f't{n}': healthy for n in range(6)},
            slots=2,
            rng=Random(seed),
        )
        seconds = 60.0
        sim.run(rate=_rate(sim, share), seconds=seconds)
        stats = sim.stats
        best = sim.capacity / MEDIAN_SERVICE_S / 1.08
        rows.append(
            {
                'offered': f'{share:.0%}',
                'goodput of capacity': round(
                    stats.succeeded / seconds / best, 3
                ),
                'refused at once': stats.shed,
                'refused late': stats.expired_in_queue,
                'failed': stats.failed,
                'p50 ms': round(median(stats.latencies_s) * 1000),
                'false ejections': len(stats.ejections),
            }
        )
    return rows


@experiment('placement')
def placement(seed: int) -> Rows:
    """A home per shard against each of 44 nodes picking alone."""
    rows: Rows = []
    for nodes in (1, 8, 32, 44):
        rng = Random(seed)
        busy = [0] * 6
        ends: list[tuple[float, int]] = []
        views = [[0] * 6 for _ in range(nodes)]
        seen_bad = [0] * nodes
        starts = over = 0
        now_s = 0.0
        detected = None
        rate = 12 / MEDIAN_SERVICE_S * 0.8
        while now_s < 60:
            now_s += rng.expovariate(rate)
            _end_until(now_s, ends, busy, views)
            node = rng.randrange(nodes)
            pick = min(range(6), key=lambda n: (views[node][n], rng.random()))
            if nodes == 1 and busy[pick] >= 2:
                continue
            starts += 1
            over += busy[pick] >= 2
            busy[pick] += 1
            views[node][pick] += 1
            took_s, _ = healthy(now_s, 'a', rng)
            ends.append((now_s + took_s, pick * 1000 + node))
            if now_s > 30 and pick == 0 and detected is None:
                seen_bad[node] += 1
                if seen_bad[node] >= 2:
                    detected = now_s - 30
        rows.append(
            {
                'nodes that pick': nodes,
                'starts beyond slots': f'{over / starts:.1%}',
                'two failures at one node after s': round(detected or 30, 2),
            }
        )
    return rows


def _end_until(
    now_s: float,
    ends: list[tuple[float, int]],
    busy: list[int],
    views: list[list[int]],
) -> None:
    for end in [each for each in ends if each[0] <= now_s]:
        ends.remove(end)
        pick, node = divmod(end[1], 1000)
        busy[pick] -= 1
        views[node][pick] -= 1


@experiment('doubt')
def doubt(seed: int) -> Rows:
    """Shares of what callers are told under faults of nodes."""
    return fault_outcome_rows(seed)
