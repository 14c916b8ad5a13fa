"""Checks the results of experiments against the requirements.

The experiments are in `bench/experiments.py`.
"""

from __future__ import annotations

from typing import Any

# Rows of a table: values by the name of their column.
Rows = list[dict[str, Any]]

# Lowest allowed goodput under overload, as a share of the capacity.
MIN_GOODPUT = 0.9


def broken_bounds(name: str, rows: Rows) -> list[str]:
    """Return a line for each bound that the rows of an experiment break."""
    if name == 'overload':
        return _overload(rows)
    if name == 'doubt':
        return _doubt(rows)
    if name == 'detection':
        return _detection(rows)
    return []


def _overload(rows: Rows) -> list[str]:
    return [
        f'goodput at an offered load of {row["offered"]}, as a share of '
        f'capacity: {row["goodput of capacity"]}'
        for row in rows
        if row['offered'] in ('120%', '200%')
        and row['goodput of capacity'] < MIN_GOODPUT
    ]


def _doubt(rows: Rows) -> list[str]:
    return [
        f'keys ran more than once; fault: {row["fault"]}'
        for row in rows
        if row['doubles']
    ]


def _detection(rows: Rows) -> list[str]:
    # The cusum detector must not be slower than the consecutive-failures
    # detector that it replaces.
    return [
        f'{row["fault"]} for {row["user"]}: cusum is slower than consecutive'
        for row in rows
        if row['cusum s'] > row['consecutive s']
    ]
