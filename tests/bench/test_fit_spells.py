"""The fit finds the spells that made the log."""

from json import dumps
from random import Random

import pytest

from bench.fit_spells import Spells, fit, log_likelihood, read_ends
from carawaylane.telemetry.events import TARGET_REPORT

TRUE = Spells(well_s=25.0, failing_s=8.0, fails_failing=0.9, fails_well=0.005)
LONG_RUN = TRUE.failing_s / (TRUE.failing_s + TRUE.well_s)
# Reports come this long after their request was sent.
TOOK_MS = 500


def mean_of(spells, failing):
    return spells.failing_s if failing else spells.well_s


def log_of(spells, *, targets, length_s, rng):
    """Yield lines of a log as targets would make them."""
    for number in range(targets):
        failing = rng.random() < LONG_RUN
        until_s, now_s = rng.expovariate(1 / mean_of(spells, failing)), 0.0
        while now_s < length_s:
            now_s += rng.expovariate(4.0)
            while now_s > until_s:
                failing = not failing
                until_s += rng.expovariate(1 / mean_of(spells, failing))
            share = spells.fails_failing if failing else spells.fails_well
            row = {
                'time': now_s + TOOK_MS / 1000,
                'event': TARGET_REPORT.number,
                'target': f'i-{number}',
                'result': 'OVERDUE' if rng.random() < share else 'ANSWERED',
                'took_ms': TOOK_MS,
            }
            yield f'  {now_s} node-1 {dumps(row)}'


def test_the_fit_finds_the_spells_that_made_the_log():
    lines = log_of(TRUE, targets=60, length_s=120, rng=Random(1))
    ends = list(read_ends(lines).values())
    found = fit(ends)
    assert found.well_s == pytest.approx(TRUE.well_s, rel=0.25)
    assert found.failing_s == pytest.approx(TRUE.failing_s, rel=0.25)
    assert found.fails_failing == pytest.approx(0.9, abs=0.03)
    assert found.fails_well == pytest.approx(0.005, abs=0.005)
    assert log_likelihood(found, ends) >= log_likelihood(TRUE, ends)


def test_lines_of_other_kinds_are_passed_over():
    report = {
        'time': 3.0,
        'event': TARGET_REPORT.number,
        'target': 'i-1',
        'result': 'CANCELLED',
        'took_ms': 100,
    }
    lines = ['no log', '{broken', '{"event": 1}', '[1]', dumps(report)]
    assert read_ends(lines) == {}
    late = dumps({**report, 'took_ms': 2000})
    assert read_ends([late]) == {'i-1': [(1.0, True)]}
