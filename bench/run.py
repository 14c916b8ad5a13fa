"""Runs the experiments, prints their tables and checks their bounds.

A run of all experiments writes docs/measurements/policy.md.

Usage: python -m bench.run [--seed N] [--only NAME]
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import matplotlib as mpl

mpl.use('Agg')

from matplotlib.pyplot import close, subplots  # noqa: E402

from bench.bounds import broken_bounds  # noqa: E402
from bench.experiments import EXPERIMENTS  # noqa: E402
from carawaylane.commands.output import render  # noqa: E402

ROOT = Path(__file__).parent.parent
RESULTS = ROOT / 'docs' / 'measurements' / 'policy.md'
PLOTS = ROOT / 'docs' / 'plots'
# Rows of a table: values by the name of their column.
Rows = list[dict[str, Any]]


def markdown_table(rows: Rows) -> str:
    """Format rows as a Markdown table."""
    names = list(rows[0])
    lines = [' | '.join(names), ' | '.join('---' for _ in names)]
    lines += [' | '.join(str(row[name]) for name in names) for row in rows]
    return '\n'.join(f'| {line} |' for line in lines)


def plot_weights(rows: Rows) -> None:
    """Plot false ejections over detection time, a line for each user."""
    PLOTS.mkdir(exist_ok=True)
    fig, axis = subplots(figsize=(6, 4))
    for user in dict.fromkeys(row['user'] for row in rows):
        user_rows = [row for row in rows if row['user'] == user]
        axis.plot(
            [row['detection s'] for row in user_rows],
            [row['false ejections'] for row in user_rows],
            marker='o',
            label=user,
        )
    axis.set_xlabel('detection time of a target that fails half, s')
    axis.set_ylabel('false ejections in two calm minutes')
    axis.legend()
    fig.tight_layout()
    fig.savefig(PLOTS / 'weights.png', dpi=80)
    close(fig)


def _run_experiment(name: str, seed: int) -> Rows:
    return EXPERIMENTS[name](seed)


def main() -> int:
    """Run the chosen experiments; return 1 if a bound is broken."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--only', default='')
    args = parser.parse_args()
    page_lines = [
        '# Policy under load and faults',
        '',
        f'Written by `make bench`, seed {args.seed}. Virtual time: the '
        'figures repeat exactly.',
    ]
    violations: list[str] = []
    names = [name for name in EXPERIMENTS if args.only in ('', name)]
    with ProcessPoolExecutor(max_workers=4) as pool:
        results = list(
            pool.map(_run_experiment, names, [args.seed] * len(names))
        )
    for name, rows in zip(names, results, strict=True):
        experiment = EXPERIMENTS[name]
        print(f'\n{name}: {experiment.__doc__}')
        print(render(rows, output='table'))
        page_lines += ['', f'## {name}', '', experiment.__doc__ or '', '']
        page_lines.append(markdown_table(rows))
        if name == 'weights':
            plot_weights(rows)
            page_lines += ['', '![weights](../plots/weights.png)']
        violations += broken_bounds(name, rows)
    if not args.only:
        RESULTS.parent.mkdir(exist_ok=True)
        RESULTS.write_text('\n'.join(page_lines) + '\n', encoding='utf-8')
    for violation in violations:
        print('OUT OF BOUNDS:', violation)
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main())
