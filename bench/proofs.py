"""Writes docs/proofs.md with the fault matrix, run anew."""

from __future__ import annotations

from pathlib import Path
from string import Template

from tests.decisions.fault_matrix import FAULTS, STEPS, Cell, run_cell

ROOT = Path(__file__).parent.parent
PAGE = ROOT / 'docs' / 'proofs.md'
TEMPLATE = Path(__file__).parent / 'proofs_page.md'
FUZZ = ROOT / 'docs' / 'measurements' / 'fuzz.txt'
WORDS = {
    'Answered': 'run',
    'Replay': 'run',
    'InDoubt': 'unknown',
    'Unknown': 'unknown',
    'Refuse': 'not run',
    'nothing yet': 'pending',
}


def word(cell: Cell) -> str:
    """Return the cell as the page shows it."""
    return WORDS[cell.resend]


def matrix() -> str:
    """Run every cell and return the table."""
    lines = [
        '| Fault | ' + ' | '.join(STEPS) + ' |',
        '| --- |' + ' --- |' * len(STEPS),
    ]
    for fault in FAULTS:
        cells = [word(run_cell(fault, step)) for step in STEPS.values()]
        lines.append(f'| {fault} | ' + ' | '.join(cells) + ' |')
    return '\n'.join(lines)


def main() -> None:
    """Write the page."""
    fuzz = FUZZ.read_text(encoding='utf-8') if FUZZ.exists() else 'not run'
    page = Template(TEMPLATE.read_text(encoding='utf-8'))
    text = page.substitute(matrix=matrix(), fuzz=f'```\n{fuzz}```')
    PAGE.write_text(text, encoding='utf-8')
    print(matrix())


if __name__ == '__main__':
    main()
