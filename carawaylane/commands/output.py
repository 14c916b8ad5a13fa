"""Output of the commands: rows for people or programs, and errors."""

from __future__ import annotations

import sys
from json import dumps
from typing import Annotated, Any, NoReturn

from rich.console import Console
from rich.table import Table
from typer import Exit, Option

EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4

HELP_OUTPUT = 'Format of the output: table or json.'
OutputOption = Annotated[str, Option('--output', '-o', help=HELP_OUTPUT)]
Rows = list[dict[str, Any]]


def render(rows: Rows, *, output: str) -> str:
    """Return rows as JSON if `output` is `json`, else as a table."""
    if output == 'json':
        return dumps(rows, indent=2, default=str)
    if not rows:
        return 'nothing found'
    columns = list(dict.fromkeys(key for row in rows for key in row))
    table = Table(box=None, pad_edge=False)
    for name in columns:
        table.add_column(name, overflow='fold')
    for row in rows:
        table.add_row(*(_cell_text(row.get(name, '')) for name in columns))
    console = Console(width=max(100, 18 * len(columns)), no_color=True)
    with console.capture() as captured:
        console.print(table)
    return captured.get().rstrip()


def _cell_text(value: Any) -> str:
    if isinstance(value, dict):
        return ','.join(f'{key}={item}' for key, item in value.items())
    if isinstance(value, list):
        return ','.join(str(item) for item in value)
    return str(value)


def exit_with_error(text: str, code: int = EXIT_INVALID) -> NoReturn:
    """Print an error as one line and end the command."""
    print(f'carawayctl: {text}', file=sys.stderr)
    raise Exit(code)
