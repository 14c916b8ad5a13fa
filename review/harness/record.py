"""The record of a case: what was sent, answered and run, line by line."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """Writes lines with the time since the start of the case.

    Every line goes to the file at once, so that a case that is ended early
    leaves what it has seen.
    """

    def __init__(self, *, path: Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._started_at_s = monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Write one line: seconds, what happened, and the values."""
        elapsed_s = monotonic() - self._started_at_s
        values = ' '.join(f'{key}={value}' for key, value in fields.items())
        print(f'{elapsed_s:9.3f} {event} {values}'.rstrip(), file=self._file)
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
