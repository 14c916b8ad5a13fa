"""Belief that a target is failing, from the outcomes of its work.

A target changes between well and failing like a two-state Markov chain.
Each outcome moves the odds by its likelihood ratio; without evidence they
drift back to the chain's long-run share. Work that is in flight counts by
its age: the older it is against the latency of its route, the likelier the
target hangs, long before any timeout. Whether a request hangs is decided when
the target gets it, so an answer or a hang tells of the time of its sending,
and later evidence outweighs it, however late it ends.
"""

from __future__ import annotations

from enum import Enum
from math import erf, exp, log, sqrt

from attrs import Factory, define

# Mean time until a well target fails, and until a failing one recovers, and
# the share of its requests that a failing target fails, a well one fails.
# Fitted by likelihood to how 12,300 requests to 123 targets ended on three
# days of the users' bench (bench/fit_spells, docs/design/queueing.md).
MEAN_HEALTHY_S = 30.0
MEAN_FAILING_S = 9.5
STATIONARY_RISK = MEAN_FAILING_S / (MEAN_HEALTHY_S + MEAN_FAILING_S)
TRANSITION_RATE_PER_S = 1 / MEAN_HEALTHY_S + 1 / MEAN_FAILING_S
FAILING_LOSS_SHARE = 0.85
HEALTHY_LOSS_SHARE = 0.01
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


# Evidence kept apart, in order of the time it tells of. Older evidence is
# folded into one chance; that of long-open work then stays as it is.
MAX_TRAIL = 48

# Likelihood of each outcome from a failing target over that from a well
# one. An answer is as likely as the complement of the shares above; errors
# come from well targets too, in a per cent of requests.
RATIOS = {
    Result.ANSWERED: (1 - FAILING_LOSS_SHARE) / (1 - HEALTHY_LOSS_SHARE),
    Result.ERRORED: 12.0,
    Result.UNREACHED: FAILING_LOSS_SHARE / HEALTHY_LOSS_SHARE,
    Result.BROKEN: FAILING_LOSS_SHARE / HEALTHY_LOSS_SHARE,
}


@define(kw_only=True)
class LatencyModel:
    """Log-normal latency of a route's answers, learned as they come."""

    log_mean: float
    log_sd: float = 0.6
    count: int = 0
    # Share of requests that hang at well targets, one at a time.
    hangs: float = HEALTHY_LOSS_SHARE

    # Weight of one more answer once the model has warmed up.
    STEP = 0.02
    # Answers that a slow tail has beyond the log-normal one.
    TAIL = 0.01
    MIN_SD = 0.25
    # Weight of one more end in the share of hangs, about the last hundred,
    # and its bounds, so that a hang always tells something of its target.
    HANGS_STEP = 0.01
    HANGS_LEAST, HANGS_MOST = 0.003, 0.1

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

    def learn_hang(self, chance: float) -> None:
        """Take in the chance that a request hung at a well target."""
        hangs = self.hangs + self.HANGS_STEP * (chance - self.hangs)
        self.hangs = max(self.HANGS_LEAST, min(self.HANGS_MOST, hangs))

    def hung(self, age_s: float) -> float:
        """Return the chance that work of an age hangs, at a well target."""
        slow = (1 - self.hangs) * self.survival(age_s)
        return self.hangs / (self.hangs + slow)

    def ratio(self, age_s: float) -> float:
        """Return the likelihood ratio of work without an answer yet."""
        survival = self.survival(age_s)
        failing = FAILING_LOSS_SHARE + (1 - FAILING_LOSS_SHARE) * survival
        return failing / (self.hangs + (1 - self.hangs) * survival)

    def mean_s(self) -> float:
        """Return the mean latency."""
        return exp(self.log_mean + self.log_sd**2 / 2)

    def quantile_s(self, z: float) -> float:
        """Return the latency that lies `z` deviations above the median."""
        return exp(self.log_mean + z * self.log_sd)


def shifted(chance: float, ratio: float) -> float:
    """Return a chance whose odds are multiplied by a ratio."""
    odds = chance / (1 - chance) * ratio
    return max(LEAST, min(MOST, odds / (1 + odds)))


def drifted(chance: float, idle_s: float) -> float:
    """Return a chance after a time without evidence."""
    drift = exp(-TRANSITION_RATE_PER_S * max(0.0, idle_s))
    return STATIONARY_RISK + (chance - STATIONARY_RISK) * drift


@define(kw_only=True)
class Evidence:
    """What one request tells of a target, as of a time."""

    at_s: float
    # Likelihood ratio of failing over well; 1 tells nothing.
    ratio: float = 1.0
    # The request is still open, so the ratio may change.
    open: bool = False


@define(kw_only=True)
class Belief:
    """Chance that a target is failing, as of a time, and later evidence."""

    chance: float = FRESH
    at_s: float = 0.0
    trail: list[Evidence] = Factory(list)
    # Mean of the log of latency over the route's model, of recent answers.
    slowness: float = 0.0
    answered_s: float = float('-inf')
    tried_s: float = float('-inf')
    # Share of recent requests that the target shed.
    shedding: float = 0.0

    # Weight of one answer in the slowness, and how fast that is forgotten.
    SLOW_STEP = 0.3
    SLOW_FORGET_S = 6.0
    SHED_STEP = 0.2

    def now(self, now_s: float) -> float:
        """Return the chance now, by all evidence."""
        chance, at_s = self.chance, self.at_s
        for each in self.trail:
            chance = shifted(drifted(chance, each.at_s - at_s), each.ratio)
            at_s = each.at_s
        return drifted(chance, now_s - at_s)

    def sent(self, now_s: float) -> Evidence:
        """Return the evidence of a request that is sent now."""
        return self._add(Evidence(at_s=now_s, open=True))

    def learn(
        self,
        result: Result,
        now_s: float,
        evidence: Evidence,
        *,
        waiting: float = 1.0,
        weight: float = 1.0,
    ) -> None:
        """Take in how a request ended.

        `waiting` is the ratio of its age without an answer; a `weight` below
        1 makes the outcome count less.
        """
        evidence.open = False
        evidence.ratio = 1.0
        if result in (Result.ANSWERED, Result.SHED):
            shed = result is Result.SHED
            self.shedding += self.SHED_STEP * (shed - self.shedding)
        if result is Result.ANSWERED:
            self.answered_s = now_s
            evidence.ratio = RATIOS[result] ** weight
        elif result in (Result.OVERDUE, Result.CANCELLED):
            evidence.ratio = waiting
        elif result in RATIOS:
            # A failure that shows itself tells of now.
            self._add(Evidence(at_s=now_s, ratio=RATIOS[result] ** weight))
        self._fold()

    def _add(self, evidence: Evidence) -> Evidence:
        self.trail.append(evidence)
        self._fold()
        return evidence

    def _fold(self) -> None:
        """Fold the oldest evidence into the chance, as far as it is final."""
        done = 0
        for each in self.trail:
            if each.open and len(self.trail) - done <= MAX_TRAIL:
                break
            since_s = each.at_s - self.at_s
            self.chance = shifted(drifted(self.chance, since_s), each.ratio)
            self.at_s = each.at_s
            done += 1
        del self.trail[:done]

    def learn_latency(self, took_s: float, model: LatencyModel) -> None:
        """Take in the latency of an answer against its route's model."""
        off = log(max(LEAST_S, took_s)) - model.log_mean
        # Between a third of the usual time and twenty times as long.
        off = max(-1.0, min(3.0, off))
        self.slowness += self.SLOW_STEP * (off - self.slowness)

    def slow_now(self, now_s: float) -> float:
        """Return the slowness, as far as it is not yet forgotten."""
        idle_s = now_s - self.answered_s
        if idle_s <= 0 or self.slowness <= 0:
            return self.slowness
        return self.slowness * exp(-idle_s / self.SLOW_FORGET_S)
