"""Tests of the fit of failing spells to the logs of nodes."""

from json import dumps
from random import Random

import pytest

from bench.fit_spells import Spells, fit, log_likelihood, read_ends
from carawaylane.telemetry.events import TARGET_REPORT

TRUE_SPELLS = Spells(
    well_s=25.0, failing_s=8.0, fails_failing=0.9, fails_well=0.005
)
# Share of time in which a target fails.
FAILING_SHARE = TRUE_SPELLS.failing_s / (
    TRUE_SPELLS.failing_s + TRUE_SPELLS.well_s
)
# Time from sending a request to its report.
TOOK_MS = 500


def mean_spell_s(spells, failing):
    return spells.failing_s if failing else spells.well_s


def simulate_log(spells, *, targets, length_s, rng):
    """Yield the log lines of a node that sends to targets with such spells."""
    for number in range(targets):
        failing = rng.random() < FAILING_SHARE
        spell_end_s, now_s = (
            rng.expovariate(1 / mean_spell_s(spells, failing)),
            0.0,
        )
        while now_s < length_s:
            now_s += rng.expovariate(4.0)
            while now_s > spell_end_s:
                failing = not failing
                spell_end_s += rng.expovariate(
                    1 / mean_spell_s(spells, failing)
                )
            loss_share = spells.fails_failing if failing else spells.fails_well
            row = {
                'time': now_s + TOOK_MS / 1000,
                'event': TARGET_REPORT.number,
                'target': f'i-{number}',
                'result': 'OVERDUE'
                if rng.random() < loss_share
                else 'ANSWERED',
                'took_ms': TOOK_MS,
            }
            yield f'  {now_s} node-1 {dumps(row)}'


def test_the_fit_recovers_the_spells_behind_a_log():
    lines = simulate_log(TRUE_SPELLS, targets=60, length_s=120, rng=Random(1))
    ends = list(read_ends(lines).values())
    fitted = fit(ends)
    assert fitted.well_s == pytest.approx(TRUE_SPELLS.well_s, rel=0.25)
    assert fitted.failing_s == pytest.approx(TRUE_SPELLS.failing_s, rel=0.25)
    assert fitted.fails_failing == pytest.approx(0.9, abs=0.03)
    assert fitted.fails_well == pytest.approx(0.005, abs=0.005)
    assert log_likelihood(fitted, ends) >= log_likelihood(TRUE_SPELLS, ends)


def test_lines_that_report_no_end_are_skipped():
    report = {
        'time': 3.0,
        'event': TARGET_REPORT.number,
        'target': 'i-1',
        'result': 'CANCELLED',
        'took_ms': 100,
    }
    lines = ['no log', '{broken', '{"event": 1}', '[1]', dumps(report)]
    assert read_ends(lines) == {}
    hung_line = dumps({**report, 'took_ms': 2000})
    assert read_ends([hung_line]) == {'i-1': [(1.0, True)]}
