"""How long targets fail, and how often, by likelihood from the nodes' logs.

Reads lines of logs (of nodes, or of the users' bench with `--log all`) and
fits the chain of `decisions/failure_estimate.py`: a target is well or failing,
changes at fixed rates, and fails a share of its requests in either state.
"""

from __future__ import annotations

import argparse
from math import exp, log
from pathlib import Path
from typing import TYPE_CHECKING

from attrs import astuple, frozen
from scipy.optimize import minimize

from carawaylane.commands.explain import parse_log_line
from carawaylane.decisions import failure_estimate
from carawaylane.decisions.failure_estimate import Result
from carawaylane.telemetry.events import TARGET_REPORT

if TYPE_CHECKING:
    from collections.abc import Iterable

# Cancelled work younger than this may have been slow only.
HUNG_S = 1.2
# When each request was sent, and whether it hung; in order of time.
Ends = list[tuple[float, bool]]


@frozen(kw_only=True)
class Spells:
    """Mean spells in seconds and the share of requests that fail in them."""

    well_s: float
    failing_s: float
    fails_failing: float
    fails_well: float


PRIORS = Spells(
    well_s=failure_estimate.MEAN_HEALTHY_S,
    failing_s=failure_estimate.MEAN_FAILING_S,
    fails_failing=failure_estimate.FAILING_LOSS_SHARE,
    fails_well=failure_estimate.HEALTHY_LOSS_SHARE,
)


def read_ends(lines: Iterable[str]) -> dict[str, Ends]:
    """Return how requests ended, by target; other lines are passed over."""
    found: dict[str, Ends] = {}
    for line in lines:
        row = parse_log_line(line)
        if row is None or row.get('event') != TARGET_REPORT.number:
            continue
        took_s = row['took_ms'] / 1000
        hung = row['result'] == Result.OVERDUE.name or (
            row['result'] == Result.CANCELLED.name and took_s > HUNG_S
        )
        if hung or row['result'] == Result.ANSWERED.name:
            ends = found.setdefault(row['target'], [])
            ends.append((row['time'] - took_s, hung))
    for ends in found.values():
        ends.sort()
    return found


def log_likelihood(spells: Spells, ends: Iterable[Ends]) -> float:
    """Return the log of the chance of what was seen."""
    return sum(_likelihood(spells, each) for each in ends if each)


def fit(ends: Iterable[Ends], start: Spells = PRIORS) -> Spells:
    """Return the spells that make what was seen most likely."""
    rows = list(ends)

    def cost(point: Iterable[float]) -> float:
        return -log_likelihood(_spells(point), rows)

    found = minimize(cost, _point(start), method='Nelder-Mead')
    return _spells(found.x)


def _likelihood(spells: Spells, ends: Ends) -> float:
    rate = 1 / spells.well_s + 1 / spells.failing_s
    long_run = spells.failing_s / (spells.well_s + spells.failing_s)
    chance, at_s, total = long_run, ends[0][0], 0.0
    for sent_s, hung in ends:
        drift = exp(-rate * (sent_s - at_s))
        chance = long_run + (chance - long_run) * drift
        at_s = sent_s
        failing, well = spells.fails_failing, spells.fails_well
        if not hung:
            failing, well = 1 - failing, 1 - well
        seen = chance * failing + (1 - chance) * well
        total += log(seen)
        chance *= failing / seen
    return total


def _point(spells: Spells) -> list[float]:
    """Return the spells without bounds: logs of times, log odds of shares."""
    well_s, failing_s, *shares = astuple(spells)
    odds = [log(share / (1 - share)) for share in shares]
    return [log(well_s), log(failing_s), *odds]


def _spells(point: Iterable[float]) -> Spells:
    # Beyond these the logs say no more, and their powers overflow.
    well, failing, *odds = (max(-20.0, min(20.0, each)) for each in point)
    shares = [1 / (1 + exp(-each)) for each in odds]
    return Spells(
        well_s=exp(well),
        failing_s=exp(failing),
        fails_failing=shares[0],
        fails_well=shares[1],
    )


def main() -> None:
    """Print the fit for each file of logs, beside the priors in force."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('logs', nargs='+', type=Path)
    for path in parser.parse_args().logs:
        with path.open() as lines:
            ends = list(read_ends(lines).values())
        count = sum(len(each) for each in ends)
        print(f'{path.name}: {count} requests to {len(ends)} targets')
        for name, spells in (('priors', PRIORS), ('fit', fit(ends))):
            value = log_likelihood(spells, ends)
            print(
                f'  {name:6} well {spells.well_s:.1f} s, failing '
                f'{spells.failing_s:.1f} s, fails {spells.fails_failing:.2f} '
                f'and {spells.fails_well:.4f}: {value:.0f}'
            )


if __name__ == '__main__':
    main()
