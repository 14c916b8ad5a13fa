"""Eras of the platform's store.

The store may be restored from a copy that is some seconds old. Its revisions
then go back and are given out again, and its era rises by one. Outside this
folder, a revision is one number that holds both, so that every state of the
store has a greater number than those before it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from carawaylane.messages.stored_objects import REVISION_BITS
from carawaylane.telemetry.events import ERA_UNREADABLE, emit

if TYPE_CHECKING:
    from collections.abc import Mapping

ERA_HEADER = 'Store-Era'
MAX_ERA = 2 ** (63 - REVISION_BITS) - 1
MAX_DIGITS = len(str(MAX_ERA))


def combine(era: int, revision: int) -> int:
    """Return the number of a revision that the store gave out in an era."""
    return (era << REVISION_BITS) | revision


@define(kw_only=True, eq=False, repr=False)
class EraReader:
    """Reads the era from the answers of the store.

    An answer without a valid era counts as one of the era before it.
    """

    era: int = 0
    _reported: str | None = None

    def read(self, headers: Mapping[str, str]) -> int:
        """Return the era of an answer; log it once if it can't be read."""
        text = headers.get(ERA_HEADER, '')
        # More digits than `int` takes would make the whole answer invalid.
        digits = text.lstrip('0')[: MAX_DIGITS + 1] or '0'
        if text.isascii() and text.isdigit() and int(digits) <= MAX_ERA:
            self.era = int(digits)
            return self.era
        if text != self._reported:
            self._reported = text
            emit(ERA_UNREADABLE, value=text, assumed=self.era)
        return self.era
