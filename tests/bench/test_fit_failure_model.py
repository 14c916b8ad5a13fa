"""Tests of the fit of the failure model to the logs of nodes."""

from json import dumps
from random import Random

import pytest

from bench.fit_failure_model import (
    FailureModel,
    fit,
    log_likelihood,
    read_observations,
)
from carawaylane.telemetry.events import TARGET_REPORT

TRUE_MODEL = FailureModel(
    mean_healthy_s=25.0,
    mean_failing_s=8.0,
    failing_loss_share=0.9,
    healthy_loss_share=0.005,
)
# Share of time for which a target fails.
FAILING_SHARE = TRUE_MODEL.mean_failing_s / (
    TRUE_MODEL.mean_failing_s + TRUE_MODEL.mean_healthy_s
)
# Time from sending a request to its report.
LATENCY_MS = 500


def mean_time_s(model, failing):
    return model.mean_failing_s if failing else model.mean_healthy_s


def simulate_log(model, *, targets, length_s, rng):
    """Yield the log lines of a node whose targets fail as the model says."""
    for number in range(targets):
        failing = rng.random() < FAILING_SHARE
        state_end_s, now_s = (
            rng.expovariate(1 / mean_time_s(model, failing)),
            0.0,
        )
        while now_s < length_s:
            # Four requests a second, on average, to each target.
            now_s += rng.expovariate(4.0)
            while now_s > state_end_s:
                failing = not failing
                state_end_s += rng.expovariate(1 / mean_time_s(model, failing))
            loss_share = (
                model.failing_loss_share
                if failing
                else model.healthy_loss_share
            )
            row = {
                'time': now_s + LATENCY_MS / 1000,
                'event': TARGET_REPORT.number,
                'target': f'i-{number}',
                'result': 'OVERDUE'
                if rng.random() < loss_share
                else 'ANSWERED',
                'took_ms': LATENCY_MS,
            }
            yield f'  {now_s} node-1 {dumps(row)}'


def test_the_fit_recovers_the_model_behind_a_log():
    lines = simulate_log(TRUE_MODEL, targets=60, length_s=120, rng=Random(1))
    observations = list(read_observations(lines).values())
    fitted = fit(observations)
    assert fitted.mean_healthy_s == pytest.approx(
        TRUE_MODEL.mean_healthy_s, rel=0.25
    )
    assert fitted.mean_failing_s == pytest.approx(
        TRUE_MODEL.mean_failing_s, rel=0.25
    )
    assert fitted.failing_loss_share == pytest.approx(0.9, abs=0.03)
    assert fitted.healthy_loss_share == pytest.approx(0.005, abs=0.005)
    assert log_likelihood(fitted, observations) >= log_likelihood(
        TRUE_MODEL, observations
    )


def test_lines_that_report_no_answer_and_no_hang_are_skipped():
    report = {
        'time': 3.0,
        'event': TARGET_REPORT.number,
        'target': 'i-1',
        'result': 'CANCELLED',
        'took_ms': 100,
    }
    lines = ['no log', '{broken', '{"event": 1}', '[1]', dumps(report)]
    assert read_observations(lines) == {}
    hung_line = dumps({**report, 'took_ms': 2000})
    assert read_observations([hung_line]) == {'i-1': [(1.0, True)]}
