"""Estimate of whether a target is failing, from the results of its requests.

A target is modelled as a two-state Markov chain, healthy or failing. Each
result multiplies the odds of failing by a likelihood ratio; without results
the probability drifts back to the stationary one of the chain.

Requests in flight count by their age: the older a request is, compared to the
latency of its route, the more likely the target hangs. This shows long before
a timeout. Whether a request hangs is decided when the target receives it, so
an answer or a hang is evidence about the time of sending, and later evidence
outweighs it however late the request ends.
"""

from __future__ import annotations

from enum import Enum
from math import erf, exp, log, sqrt

from attrs import Factory, define, field

# Mean time that a target spends in each state, and below the share of requests
# that it loses in each state. With shorter times, failing targets would get
# requests again too soon.
MEAN_HEALTHY_S = 30.0
MEAN_FAILING_S = 9.5
# Probability of failing without any evidence, and the rate at which an
# estimate returns to it.
STATIONARY_RISK = MEAN_FAILING_S / (MEAN_HEALTHY_S + MEAN_FAILING_S)
TRANSITION_RATE_PER_S = 1 / MEAN_HEALTHY_S + 1 / MEAN_FAILING_S
FAILING_LOSS_SHARE = 0.85
HEALTHY_LOSS_SHARE = 0.01
MIN_PROBABILITY, MAX_PROBABILITY = 0.002, 0.995
# A request is stuck if it is older than this quantile of its route's latency,
# in standard deviations.
STUCK_Z = 2.5
# Shorter latencies count as this one.
MIN_LATENCY_S = 0.0005
# A target that is new or has restarted is probably healthy.
NEW_TARGET_RISK = 0.1


class Result(Enum):
    """Result of an exchange with a target, as evidence of its health."""

    ANSWERED = 0
    # The target answered with a server error.
    ERRORED = 1
    # The target answered that it did not run the request.
    SHED = 2
    # Another target now has the address.
    MISDIRECTED = 3
    # No connection could be opened.
    UNREACHED = 4
    # The connection broke during the exchange.
    BROKEN = 5
    # There was no answer before the deadline.
    OVERDUE = 6
    # The caller left, or another target answered first.
    CANCELLED = 7
    # The entry did not use the slot, or its way to the target failed.
    UNUSED = 8


# Number of observations of a target that are kept, in order of the time that
# they are evidence about. Older ones are folded into one probability. Once the
# observation of a request in flight is folded, it no longer changes.
MAX_OBSERVATIONS = 48

# Likelihood of each result at a failing target over that at a healthy one. For
# an answer these are the complements of the loss shares. Errors also come from
# healthy targets, in one per cent of the requests. OVERDUE and CANCELLED count
# by the age of the request; the other results are no evidence.
LIKELIHOOD_RATIOS = {
    Result.ANSWERED: (1 - FAILING_LOSS_SHARE) / (1 - HEALTHY_LOSS_SHARE),
    Result.ERRORED: 12.0,
    Result.UNREACHED: FAILING_LOSS_SHARE / HEALTHY_LOSS_SHARE,
    Result.BROKEN: FAILING_LOSS_SHARE / HEALTHY_LOSS_SHARE,
}


@define(kw_only=True, eq=False, repr=False)
class LatencyModel:
    """Log-normal model of a route's latency, updated with each answer."""

    log_mean: float
    log_sd: float = 0.6
    answer_count: int = 0
    # Age at which a request without an answer counts as stuck.
    stuck_after_s: float = field(init=False)
    # Share of requests that hang although their target is healthy.
    hang_share: float = HEALTHY_LOSS_SHARE

    # Weight of an answer in the averages; the first answers weigh more.
    MIN_GAIN = 0.02
    # Share of answers in a slow tail that the log-normal model lacks.
    TAIL_SHARE = 0.01
    MIN_LOG_SD = 0.25
    # Weight of a result in the share of hangs, which averages about the last
    # hundred results. Within the bounds a hang always counts as evidence
    # against its target.
    HANG_GAIN = 0.01
    MIN_HANG_SHARE, MAX_HANG_SHARE = 0.003, 0.1

    def __attrs_post_init__(self) -> None:
        """Derive the age of stuck requests from the model."""
        self.stuck_after_s = self.quantile_s(STUCK_Z)

    @classmethod
    def for_objective(cls, objective_s: float) -> LatencyModel:
        """Return an initial model: the median is a third of the objective."""
        return cls(log_mean=log(max(0.001, objective_s) / 3))

    def record_latency(self, latency_s: float) -> None:
        """Update the model with the latency of an answer."""
        self.answer_count += 1
        gain = max(self.MIN_GAIN, 1 / (self.answer_count + 5))
        deviation = log(max(MIN_LATENCY_S, latency_s)) - self.log_mean
        # Limits the effect of a single outlier, such as from a slow target.
        deviation = max(-3 * self.log_sd, min(3 * self.log_sd, deviation))
        self.log_mean += gain * deviation
        var = self.log_sd**2 + gain * (deviation * deviation - self.log_sd**2)
        self.log_sd = max(self.MIN_LOG_SD, sqrt(max(0.0, var)))
        self.stuck_after_s = self.quantile_s(STUCK_Z)

    def add_learned(
        self, log_mean: float, log_sd: float, answers: int
    ) -> None:
        """Add answers of which another node tells by their model."""
        gain = answers / (self.answer_count + answers + 1)
        self.answer_count += answers
        self.log_mean += gain * (log_mean - self.log_mean)
        log_sd = max(self.MIN_LOG_SD, log_sd)
        self.log_sd += gain * (log_sd - self.log_sd)
        self.stuck_after_s = self.quantile_s(STUCK_Z)

    def survival(self, age_s: float) -> float:
        """Return the share of answers that take longer than `age_s`."""
        if age_s <= 0:
            return 1.0
        z = (log(age_s) - self.log_mean) / self.log_sd
        log_normal = 0.5 * (1 - erf(z / sqrt(2)))
        return self.TAIL_SHARE + (1 - self.TAIL_SHARE) * log_normal

    def record_hang(self, probability: float) -> None:
        """Update the share of hangs with the result of a request.

        `probability` is the probability that the request hung although its
        target was healthy.
        """
        share = self.hang_share + self.HANG_GAIN * (
            probability - self.hang_share
        )
        self.hang_share = max(
            self.MIN_HANG_SHARE, min(self.MAX_HANG_SHARE, share)
        )

    def hang_probability(self, age_s: float) -> float:
        """Return the probability that a request of this age hangs.

        The target is assumed to be healthy.
        """
        slow = (1 - self.hang_share) * self.survival(age_s)
        return self.hang_share / (self.hang_share + slow)

    def likelihood_ratio(self, age_s: float) -> float:
        """Return the likelihood ratio of no answer at this age.

        It is the likelihood at a failing target over that at a healthy one.
        """
        survival = self.survival(age_s)
        failing = FAILING_LOSS_SHARE + (1 - FAILING_LOSS_SHARE) * survival
        return failing / (self.hang_share + (1 - self.hang_share) * survival)

    def remaining_s(self, age_s: float) -> float:
        """Return the expected time until the answer to a request of an age.

        In the tail it grows with the age, as few short requests are left.
        """
        if age_s <= 0:
            return self.mean_s()
        z = (log(age_s) - self.log_mean) / self.log_sd
        if z > STUCK_Z:
            # Beyond the model; such requests are in the slow tail.
            return age_s / 2
        longer = 1 - erf(z / sqrt(2))
        excess = 1 + erf((self.log_sd - z) / sqrt(2))
        return max(0.0, self.mean_s() * excess / longer - age_s)

    def mean_s(self) -> float:
        """Return the mean latency."""
        return exp(self.log_mean + self.log_sd**2 / 2)

    def quantile_s(self, z: float) -> float:
        """Return the latency `z` standard deviations above the median."""
        return exp(self.log_mean + z * self.log_sd)


def update_odds(probability: float, ratio: float) -> float:
    """Return a probability after its odds are multiplied by a ratio."""
    odds = probability / (1 - probability) * ratio
    return max(MIN_PROBABILITY, min(MAX_PROBABILITY, odds / (1 + odds)))


def drift(probability: float, idle_s: float) -> float:
    """Return the probability of failing after a time without evidence."""
    remaining = exp(-TRANSITION_RATE_PER_S * max(0.0, idle_s))
    return STATIONARY_RISK + (probability - STATIONARY_RISK) * remaining


@define(kw_only=True, eq=False, repr=False)
class Observation:
    """Evidence from one request about a target at a point in time."""

    at_s: float
    # Likelihood ratio of failing over healthy; 1 is no evidence.
    ratio: float = 1.0
    # The request is still in flight, so the ratio may change.
    in_flight: bool = False


@define(kw_only=True, eq=False, repr=False)
class FailureEstimate:
    """Probability that a target is failing, and the evidence for it.

    `probability` is that at `at_s`, and `observations` are the evidence since.
    """

    probability: float = NEW_TARGET_RISK
    at_s: float = 0.0
    observations: list[Observation] = Factory(list)
    # Moving average of the log of latency over the median of the route.
    slowness: float = 0.0
    # The same over more answers, for the speed of the target's machine.
    lasting_slowness: float = 0.0
    # Answers in `lasting_slowness`, own ones and those of digests.
    slowness_answers: int = 0
    last_answer_s: float = float('-inf')
    last_sent_s: float = float('-inf')
    # Moving average of the share of requests that the target shed.
    shed_share: float = 0.0

    # Weight of an answer in `slowness`, and the time constant of its decay.
    SLOWNESS_GAIN = 0.3
    SLOWNESS_DECAY_S = 6.0
    # Weight of an answer in `lasting_slowness`.
    LASTING_GAIN = 0.06
    # Weight of a result in `shed_share`, and the time constant of its decay
    # while the target gets no requests.
    SHED_GAIN = 0.2
    SHED_DECAY_S = 4.0

    def probability_at(self, now_s: float) -> float:
        """Return the probability that the target is failing now."""
        probability, at_s = self.probability, self.at_s
        for observation in self.observations:
            probability = update_odds(
                drift(probability, observation.at_s - at_s), observation.ratio
            )
            at_s = observation.at_s
        return drift(probability, now_s - at_s)

    def record_sent(self, now_s: float) -> Observation:
        """Return a new observation for a request that is sent now."""
        return self._add_observation(Observation(at_s=now_s, in_flight=True))

    def record_result(
        self,
        result: Result,
        now_s: float,
        observation: Observation,
        *,
        unanswered_ratio: float = 1.0,
        weight: float = 1.0,
    ) -> None:
        """Update the estimate with the result of a request.

        `unanswered_ratio` is the likelihood ratio of a request that has no
        answer at its age. A `weight` below 1 makes the result count less.
        """
        observation.in_flight = False
        observation.ratio = 1.0
        if result in (Result.ANSWERED, Result.SHED):
            shed = result is Result.SHED
            self.shed_share += self.SHED_GAIN * (shed - self.shed_share)
        if result is Result.ANSWERED:
            self.last_answer_s = now_s
            observation.ratio = LIKELIHOOD_RATIOS[result] ** weight
        elif result in (Result.OVERDUE, Result.CANCELLED):
            observation.ratio = unanswered_ratio
        elif result in LIKELIHOOD_RATIOS:
            # An explicit failure is evidence about the present.
            self._add_observation(
                Observation(
                    at_s=now_s, ratio=LIKELIHOOD_RATIOS[result] ** weight
                )
            )
        self._fold_observations()

    def _add_observation(self, observation: Observation) -> Observation:
        self.observations.append(observation)
        self._fold_observations()
        return observation

    def _fold_observations(self) -> None:
        """Fold the oldest observations into the probability.

        It stops at a request in flight, unless there are more observations
        than MAX_OBSERVATIONS.
        """
        folded_count = 0
        for observation in self.observations:
            if (
                observation.in_flight
                and len(self.observations) - folded_count <= MAX_OBSERVATIONS
            ):
                break
            since_s = observation.at_s - self.at_s
            self.probability = update_odds(
                drift(self.probability, since_s), observation.ratio
            )
            self.at_s = observation.at_s
            folded_count += 1
        del self.observations[:folded_count]

    def record_latency(self, latency_s: float, model: LatencyModel) -> None:
        """Update the slowness with the latency of an answer."""
        deviation = log(max(MIN_LATENCY_S, latency_s)) - model.log_mean
        # Limits the latency to between a third and twenty times the median.
        deviation = max(-1.0, min(3.0, deviation))
        self.slowness += self.SLOWNESS_GAIN * (deviation - self.slowness)
        self.slowness_answers += 1
        self.lasting_slowness += self.LASTING_GAIN * (
            deviation - self.lasting_slowness
        )

    def add_learned_slowness(
        self, slowness: float, answers: int, prior_answers: int
    ) -> None:
        """Add answers of which another node tells by their slowness."""
        gain = answers / (self.slowness_answers + answers + prior_answers)
        self.slowness_answers += answers
        self.lasting_slowness += gain * (slowness - self.lasting_slowness)

    def shed_share_at(self, now_s: float) -> float:
        """Return the share of requests shed, which decays when unused."""
        idle_s = max(0.0, now_s - self.last_sent_s)
        return self.shed_share * exp(-idle_s / self.SHED_DECAY_S)

    def slowness_at(self, now_s: float) -> float:
        """Return the slowness, which decays since the last answer."""
        idle_s = now_s - self.last_answer_s
        if idle_s <= 0 or self.slowness <= 0:
            return self.slowness
        return self.slowness * exp(-idle_s / self.SLOWNESS_DECAY_S)
