"""Experiments on failure detection, ejection and overload, by name.

An experiment is a function of a seed. It simulates shards in virtual time and
returns the rows of a table. `run.py` writes the tables to
docs/measurements/policy.md, with the docstrings as captions.
"""

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

# Time that a run simulates before the fault begins, and from then on.
WARM_UP_S = 10.0
FAULT_S = 20.0
# Duration of the runs that count false ejections.
FALSE_EJECTION_RUN_S = 120.0
# Number of targets, slots of each target, and weights of the detector, by
# user of the fleet.
USERS = {
    'association': (6, 2, Weights(detection=3, false_ejection=1)),
    'sarelo': (10, 4, Weights(detection=1, false_ejection=3)),
}
# Arrival rate as a share of the capacity.
LOAD_SHARE = 0.3
# Runs over which the detection time is averaged.
DETECTION_RUNS = 2


def experiment(name: str) -> Callable[..., Any]:
    """Return a decorator that registers an experiment under a name."""

    def register(func: Callable[[int], Rows]) -> Callable[[int], Rows]:
        EXPERIMENTS[name] = func
        return func

    return register


def _faulty_after(start_s: float, fault: Behaviour) -> Behaviour:
    def behave(now_s: float, kind: str, rng: Random) -> tuple[float, bool]:
        behaviour = fault if now_s >= start_s else healthy
        return behaviour(now_s, kind, rng)

    return behave


def _slowed_by(factor: float) -> Behaviour:
    def behave(now_s: float, kind: str, rng: Random) -> tuple[float, bool]:
        service_s, failed = healthy(now_s, kind, rng)
        return service_s * factor, failed

    return behave


def _failing(share: float) -> Behaviour:
    def behave(now_s: float, kind: str, rng: Random) -> tuple[float, bool]:
        service_s, failed = healthy(now_s, kind, rng)
        return service_s, failed or rng.random() < share

    return behave


def _failing_kind_a(
    now_s: float, kind: str, rng: Random
) -> tuple[float, bool]:
    service_s, failed = healthy(now_s, kind, rng)
    return service_s, failed or kind == 'a'


def _hanging(now_s: float, kind: str, rng: Random) -> tuple[float, bool]:
    # The service time is longer than any timeout.
    return 3600.0, True


def _flapping(now_s: float, kind: str, rng: Random) -> tuple[float, bool]:
    service_s, failed = healthy(now_s, kind, rng)
    return service_s, failed or int(now_s / 3) % 2 == 0


FAULTS: dict[str, Behaviour] = {
    'fails all work': _failing(1.0),
    'fails half': _failing(0.5),
    'fails one kind': _failing_kind_a,
    'hangs': _hanging,
    'slow x2': _slowed_by(2),
    'slow x5': _slowed_by(5),
    'slow x20': _slowed_by(20),
    'flaps each 3 s': _flapping,
}


def _make_sim(
    user: str, detector: str, seed: int, fault: Behaviour
) -> ShardSim:
    """Return a simulation in which target t0 fails after WARM_UP_S."""
    target_count, slots, weights = USERS[user]
    targets: dict[str, Behaviour] = {
        f't{n}': healthy for n in range(target_count)
    }
    targets['t0'] = _faulty_after(WARM_UP_S, fault)
    return ShardSim(
        targets=targets,
        slots=slots,
        rng=Random(seed),
        weights=weights,
        detector=detector,
    )


def _arrival_rate(sim: ShardSim, load_share: float = LOAD_SHARE) -> float:
    # Requests per second. The mean of the log-normal service time is 1.08
    # times its median.
    return sim.capacity / MEDIAN_SERVICE_S * load_share / 1.08


def _detection_s(sim: ShardSim) -> float:
    """Return how long target t0 still got requests after its fault began.

    Counts up to its first ejection; returns FAULT_S if it was not ejected.
    """
    ejection_times_s = [
        at_s for at_s, name in sim.stats.ejections if name == 't0'
    ]
    ejection_times_s = [at_s for at_s in ejection_times_s if at_s >= WARM_UP_S]
    if not ejection_times_s:
        return FAULT_S
    start_times_s = [
        at_s
        for at_s in sim.stats.start_times_s['t0']
        if WARM_UP_S <= at_s <= ejection_times_s[0]
    ]
    return start_times_s[-1] - WARM_UP_S if start_times_s else 0.0


def _failing_target_share(sim: ShardSim) -> float:
    """Return the share of the requests during the fault that t0 got."""
    total_requests = sum(
        at_s >= WARM_UP_S
        for start_times_s in sim.stats.start_times_s.values()
        for at_s in start_times_s
    )
    t0_requests = sum(
        at_s >= WARM_UP_S for at_s in sim.stats.start_times_s['t0']
    )
    return t0_requests / total_requests if total_requests else 0.0


@experiment('detection')
def detection(seed: int) -> Rows:
    """Detection time per fault, user and detector; mean of two runs."""
    rows: Rows = []
    for fault_name, fault in FAULTS.items():
        for user in USERS:
            row: dict[str, Any] = {'fault': fault_name, 'user': user}
            for detector in ('consecutive', 'cusum'):
                sims = [
                    _make_sim(user, detector, seed * 100 + n, fault)
                    for n in range(DETECTION_RUNS)
                ]
                for sim in sims:
                    sim.run(
                        rate=_arrival_rate(sim), seconds=WARM_UP_S + FAULT_S
                    )
                row[f'{detector} s'] = round(mean(map(_detection_s, sims)), 2)
                row[f'{detector} work'] = round(
                    mean(map(_failing_target_share, sims)), 3
                )
            rows.append(row)
    return rows


@experiment('false ejections')
def false_ejections(seed: int) -> Rows:
    """Ejections of healthy targets in two minutes, and when all are slow."""
    rows: Rows = []
    for user, (target_count, slots, weights) in USERS.items():
        for detector in ('consecutive', 'cusum'):
            for case, behaviour in (
                ('calm', healthy),
                ('all slow x5', _slowed_by(5)),
            ):
                sim = ShardSim(
                    targets={
                        f't{n}': _faulty_after(WARM_UP_S, behaviour)
                        for n in range(target_count)
                    },
                    slots=slots,
                    rng=Random(seed),
                    weights=weights,
                    detector=detector,
                )
                # Each request takes a slot five times as long if all are slow.
                load_share = LOAD_SHARE if case == 'calm' else LOAD_SHARE / 5
                sim.run(
                    rate=_arrival_rate(sim, load_share),
                    seconds=FALSE_EJECTION_RUN_S,
                )
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
    """Detection time and false ejections for several weights."""
    rows: Rows = []
    for ratio in (1 / 9, 1, 9, 81):
        for user, (target_count, slots, _) in USERS.items():
            weights = Weights(detection=1, false_ejection=ratio)
            faulty_sim = ShardSim(
                targets={
                    f't{n}': _faulty_after(WARM_UP_S, _failing(0.5))
                    if n == 0
                    else healthy
                    for n in range(target_count)
                },
                slots=slots,
                rng=Random(seed),
                weights=weights,
            )
            faulty_sim.run(
                rate=_arrival_rate(faulty_sim), seconds=WARM_UP_S + FAULT_S
            )
            healthy_sim = ShardSim(
                targets={f't{n}': healthy for n in range(target_count)},
                slots=slots,
                rng=Random(seed),
                weights=weights,
            )
            healthy_sim.run(
                rate=_arrival_rate(healthy_sim), seconds=FALSE_EJECTION_RUN_S
            )
            rows.append(
                {
                    'false ejection : detection': f'{ratio:.3g}',
                    'user': user,
                    'detection s': round(_detection_s(faulty_sim), 2),
                    'false ejections': len(healthy_sim.stats.ejections),
                }
            )
    return rows


@experiment('overload')
def overload(seed: int) -> Rows:
    """Goodput below, at and above capacity, and when refusals come."""
    rows: Rows = []
    for load_share in (0.5, 0.8, 1.0, 1.2, 2.0):
        sim = ShardSim(
            targets={f't{n}': healthy for n in range(6)},
            slots=2,
            rng=Random(seed),
        )
        duration_s = 60.0
        sim.run(rate=_arrival_rate(sim, load_share), seconds=duration_s)
        stats = sim.stats
        # Requests per second that all slots together can serve.
        max_goodput = sim.capacity / MEDIAN_SERVICE_S / 1.08
        rows.append(
            {
                'offered': f'{load_share:.0%}',
                'goodput of capacity': round(
                    stats.succeeded / duration_s / max_goodput, 3
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
    """Choice of targets by one home or by several nodes independently."""
    # Six targets with two slots each get requests at 80 % of their capacity
    # for 60 s. A node knows only its own requests in flight and chooses the
    # target with the fewest. A single node is the home and skips requests for
    # which no slot is free. From 30 s on, all requests to target 0 fail. The
    # fault is detected when some node has sent two requests there since.
    rows: Rows = []
    for nodes in (1, 8, 32, 44):
        rng = Random(seed)
        in_flight = [0] * 6
        # Time at which each request ends, and its target * 1000 + node.
        ends: list[tuple[float, int]] = []
        in_flight_by_node = [[0] * 6 for _ in range(nodes)]
        failures_seen = [0] * nodes
        starts = starts_beyond_slots = 0
        now_s = 0.0
        detection_s = None
        rate = 12 / MEDIAN_SERVICE_S * 0.8
        while now_s < 60:
            now_s += rng.expovariate(rate)
            _end_until(now_s, ends, in_flight, in_flight_by_node)
            node = rng.randrange(nodes)
            target = min(
                range(6),
                key=lambda n: (in_flight_by_node[node][n], rng.random()),
            )
            if nodes == 1 and in_flight[target] >= 2:
                continue
            starts += 1
            starts_beyond_slots += in_flight[target] >= 2
            in_flight[target] += 1
            in_flight_by_node[node][target] += 1
            service_s, _ = healthy(now_s, 'a', rng)
            ends.append((now_s + service_s, target * 1000 + node))
            if now_s > 30 and target == 0 and detection_s is None:
                failures_seen[node] += 1
                if failures_seen[node] >= 2:
                    detection_s = now_s - 30
        rows.append(
            {
                'nodes that pick': nodes,
                'starts beyond slots': f'{starts_beyond_slots / starts:.1%}',
                'two failures at one node after s': round(
                    detection_s or 30, 2
                ),
            }
        )
    return rows


def _end_until(
    now_s: float,
    ends: list[tuple[float, int]],
    in_flight: list[int],
    in_flight_by_node: list[list[int]],
) -> None:
    """Remove the requests that have ended by `now_s`."""
    for end in [end for end in ends if end[0] <= now_s]:
        ends.remove(end)
        target, node = divmod(end[1], 1000)
        in_flight[target] -= 1
        in_flight_by_node[node][target] -= 1


@experiment('doubt')
def fault_outcomes(seed: int) -> Rows:
    """Shares of the outcomes that callers get under faults of nodes."""
    return fault_outcome_rows(seed)
