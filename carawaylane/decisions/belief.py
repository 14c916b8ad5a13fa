"""Belief that a target is failing, from the outcomes of its work.

A target changes between well and failing like a two-state Markov chain.
Each outcome moves the odds by its likelihood ratio; without evidence they
drift back to the chain's long-run share. Work that is in flight counts by
its age: the older it is against the latency of its route, the likelier the
target hangs, long before any timeout.
"""

from __future__ import annotations

from enum import Enum
from math import erf, exp, log, sqrt

from attrs import define

# Mean time until a well target fails, and until a failing one recovers.
# Both are priors, in line with failures of a few seconds each that come
# some times a minute (protocol page: "for several seconds").
WELL_S = 7.0
FAILING_S = 3.0
LONG_RUN = FAILING_S / (WELL_S + FAILING_S)
RATE_PER_S = 1 / WELL_S + 1 / FAILING_S
# Share of its requests that a failing target fails, a well one fails.
FAILS_FAILING = 0.7
FAILS_WELL = 0.015
LEAST, MOST = 0.002, 0.995
# Latencies below this are not told apart.
LEAST_S = 0.0005
# A target that is new, or back, is probably well.
FRESH = 0.1


class Result(Enum):
    """How an exchange with a target went, as evidence of its health."""

    ANSWERED = 0
    ERRORED = 1
    SHED = 2
    MISDIRECTED = 3
    UNREACHED = 4
    BROKEN = 5
    OVERDUE = 6
    CANCELLED = 7
    UNUSED = 8


# Likelihood of each outcome from a failing target over that from a well
# one. An answer is as likely as the complement of the shares above; errors
# come from well targets too, in a per cent of requests.
RATIOS = {
    Result.ANSWERED: (1 - FAILS_FAILING) / (1 - FAILS_WELL),
    Result.ERRORED: 12.0,
    Result.UNREACHED: 20.0,
    Result.BROKEN: 20.0,
    Result.OVERDUE: 50.0,
}


@define(kw_only=True)
class LatencyModel:
    """Log-normal latency of a route's answers, learned as they come."""

    log_mean: float
    log_sd: float = 0.6
    count: int = 0

    # Weight of one more answer once the model has warmed up.
    STEP = 0.02
    # Answers that a slow tail has beyond the log-normal one.
    TAIL = 0.01
    MIN_SD = 0.25

    @classmethod
    def for_objective(cls, objective_s: float) -> LatencyModel:
        """Return a first guess: a third of the latency aimed at."""
        return cls(log_mean=log(max(0.001, objective_s) / 3))

    def learn(self, took_s: float) -> None:
        """Take in the latency of an answer."""
        self.count += 1
        step = max(self.STEP, 1 / (self.count + 5))
        off = log(max(LEAST_S, took_s)) - self.log_mean
        # One answer of a slow target must not stretch the model.
        off = max(-3 * self.log_sd, min(3 * self.log_sd, off))
        self.log_mean += step * off
        var = self.log_sd**2 + step * (off * off - self.log_sd**2)
        self.log_sd = max(self.MIN_SD, sqrt(max(0.0, var)))

    def survival(self, age_s: float) -> float:
        """Return the share of answers that take longer than an age."""
        if age_s <= 0:
            return 1.0
        z = (log(age_s) - self.log_mean) / self.log_sd
        body = 0.5 * (1 - erf(z / sqrt(2)))
        return self.TAIL + (1 - self.TAIL) * body

    def mean_s(self) -> float:
        """Return the mean latency."""
        return exp(self.log_mean + self.log_sd**2 / 2)

    def quantile_s(self, z: float) -> float:
        """Return the latency that lies `z` deviations above the median."""
        return exp(self.log_mean + z * self.log_sd)


def hang_ratio(survival: float) -> float:
    """Return the likelihood ratio of work without an answer yet."""
    failing = FAILS_FAILING + (1 - FAILS_FAILING) * survival
    well = FAILS_WELL + (1 - FAILS_WELL) * survival
    return failing / well


def shifted(chance: float, ratio: float) -> float:
    """Return a chance whose odds are multiplied by a ratio."""
    odds = chance / (1 - chance) * ratio
    return max(LEAST, min(MOST, odds / (1 + odds)))


@define(kw_only=True)
class Belief:
    """Chance that a target is failing, as of a time."""

    chance: float = FRESH
    at_s: float = 0.0
    # Mean of the log of latency over the route's model, of recent answers.
    slowness: float = 0.0
    answered_s: float = float('-inf')
    tried_s: float = float('-inf')
    failed_s: float = float('-inf')
    # Share of recent requests that the target shed.
    shedding: float = 0.0

    # Weight of one answer in the slowness, and how fast that is forgotten.
    SLOW_STEP = 0.3
    SLOW_FORGET_S = 6.0
    SHED_STEP = 0.2

    def now(self, now_s: float) -> float:
        """Return the chance now, without what is in flight."""
        drift = exp(-RATE_PER_S * max(0.0, now_s - self.at_s))
        return LONG_RUN + (self.chance - LONG_RUN) * drift

    def learn(self, result: Result, now_s: float, weight: float = 1) -> None:
        """Take in an outcome; a `weight` below 1 makes it count less."""
        if result in (Result.ANSWERED, Result.SHED):
            shed = result is Result.SHED
            self.shedding += self.SHED_STEP * (shed - self.shedding)
        ratio = RATIOS.get(result)
        if ratio is None:
            return
        self.chance = shifted(self.now(now_s), ratio**weight)
        self.at_s = now_s
        if result is Result.ANSWERED:
            self.answered_s = now_s
        else:
            self.failed_s = now_s

    def learn_latency(self, took_s: float, model: LatencyModel) -> None:
        """Take in how long an answer took against its route's model."""
        off = log(max(LEAST_S, took_s)) - model.log_mean
        # Between a third of the usual time and twenty times as long.
        off = max(-1.0, min(3.0, off))
        self.slowness += self.SLOW_STEP * (off - self.slowness)

    def learn_waiting(self, survival: float, now_s: float) -> None:
        """Take in work that ended without telling more than its age."""
        self.chance = shifted(self.now(now_s), hang_ratio(survival))
        self.at_s = now_s

    def slow_now(self, now_s: float) -> float:
        """Return the slowness, as far as it is not yet forgotten."""
        idle_s = now_s - self.answered_s
        if idle_s <= 0 or self.slowness <= 0:
            return self.slowness
        return self.slowness * exp(-idle_s / self.SLOW_FORGET_S)
