"""Beliefs about a target move with evidence and drift without it."""

from math import log
from random import Random

import pytest

from carawaylane.decisions.failure_estimate import (
    MAX_TRAIL,
    STATIONARY_RISK,
    TRANSITION_RATE_PER_S,
    Belief,
    LatencyModel,
    Result,
    shifted,
)


def test_the_model_learns_a_routes_latency():
    rng = Random(1)
    model = LatencyModel.for_objective(0.6)
    for _ in range(600):
        model.learn(rng.lognormvariate(log(0.16), 0.5))
    assert model.mean_s() == pytest.approx(0.181, rel=0.15)
    assert model.survival(0.16) == pytest.approx(0.5, abs=0.1)


def test_young_work_says_nothing_and_old_work_much():
    model = LatencyModel.for_objective(0.6)
    young = model.ratio(0.01)
    old = model.ratio(1.0)
    assert young == pytest.approx(1.0, abs=0.01)
    assert old > 10


def test_a_tail_of_slow_answers_keeps_the_odds_finite():
    model = LatencyModel.for_objective(0.6)
    assert model.ratio(60.0) < 50


def test_answers_clear_and_failures_blame():
    belief = Belief()
    belief.learn(Result.ANSWERED, 0.1, belief.sent(0.0))
    assert belief.now(0.1) < 0.07
    belief.learn(Result.BROKEN, 0.2, belief.sent(0.1))
    assert belief.now(0.2) > 0.5


def test_a_hang_tells_of_the_time_of_its_sending():
    belief = Belief()
    hung = belief.sent(0.0)
    hung.ratio = 30.0
    assert belief.now(0.5) > 0.5
    for at_s in (1.0, 1.2, 1.4):
        belief.learn(Result.ANSWERED, at_s + 0.1, belief.sent(at_s))
    assert belief.now(1.5) < 0.1
    # Its timeout brings nothing new.
    belief.learn(Result.OVERDUE, 4.0, hung, waiting=30.0)
    assert belief.now(4.0) < STATIONARY_RISK


def test_evidence_is_bounded_while_work_stays_open():
    belief = Belief()
    for number in range(10 * MAX_TRAIL):
        belief.sent(number / 100)
    assert len(belief.trail) <= MAX_TRAIL


def test_without_evidence_a_belief_drifts_to_the_long_run():
    for chance in (0.01, 0.99):
        belief = Belief(chance=chance)
        assert belief.now(8 / TRANSITION_RATE_PER_S) == pytest.approx(
            STATIONARY_RISK, abs=0.01
        )


def test_chances_stay_inside_their_bounds():
    chance = 0.5
    for _ in range(100):
        chance = shifted(chance, 50.0)
    assert chance < 1
    for _ in range(200):
        chance = shifted(chance, 0.01)
    assert chance > 0
