"""Bounds of the experiments, from the stated targets."""

from __future__ import annotations

from typing import Any

Rows = list[dict[str, Any]]

# Goodput at overload stays within a tenth of capacity.
MIN_GOODPUT = 0.9


def broken_bounds(name: str, rows: Rows) -> list[str]:
    """Return the bounds that rows of an experiment break."""
    if name == 'overload':
        return _overload(rows)
    if name == 'doubt':
        return _doubt(rows)
    if name == 'detection':
        return _detection(rows)
    return []


def _overload(rows: Rows) -> list[str]:
    return [
        f'overload at {row["offered"]}: {row["goodput of capacity"]}'
        for row in rows
        if row['offered'] in ('120%', '200%')
        and row['goodput of capacity'] < MIN_GOODPUT
    ]


def _doubt(rows: Rows) -> list[str]:
    return [f'doubles under {row["fault"]}' for row in rows if row['doubles']]


def _detection(rows: Rows) -> list[str]:
    # The detector must not be slower than the baseline it replaces.
    return [
        f'{row["fault"]} for {row["user"]}: slower than the baseline'
        for row in rows
        if row['cusum s'] > row['consecutive s']
    ]
