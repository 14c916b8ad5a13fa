"""Large texts in named segments, so that changes travel as changes.

For configurations of more than 32 KB that change a few entries at a time. The
segments of a text are contiguous and cover it, so that the receiver of a
patch has the same bytes as its sender, which a digest proves.
"""

from __future__ import annotations

from array import array
from itertools import pairwise
from typing import TYPE_CHECKING

from attrs import Factory, frozen
from xxhash import xxh3_128_digest

from carawaylane.decisions.propagation.split_text import (
    STEP_COPIES,
    STEP_SEGMENTS,
    SegmentPut,
    SplitText,
    TextBuilder,
)
from carawaylane.messages.stored_objects import era_of

if TYPE_CHECKING:
    from collections.abc import Generator, Iterable

# Removals that a text remembers, beside one for every fourth segment.
MIN_REMOVALS = 64
# A pushed patch starts from the version this many before the present one, so
# that it also suits receivers that missed a version.
HISTORY = 4


def text_digest(text: bytes) -> bytes:
    """Return the digest that identifies the content of a text."""
    return xxh3_128_digest(text)


@frozen(kw_only=True, repr=False)
class Patch:
    """Changes that lead from `base`, or a later revision, to `revision`."""

    base: int
    revision: int
    digest: bytes
    puts: tuple[SegmentPut, ...]
    removed: tuple[str, ...]


@frozen(kw_only=True, repr=False)
class SegmentedText:
    """A version of a text, with the revision of each segment's last change.

    All changes after `known_from` are known, removals included.
    """

    split: SplitText
    revision: int
    digest: bytes
    revisions: array[int]
    known_from: int
    removed: dict[str, int] = Factory(dict)
    # Revisions of the last versions before this one, oldest first.
    history: tuple[int, ...] = ()

    @classmethod
    def first(cls, split: SplitText, revision: int) -> SegmentedText:
        """Return a text whose earlier versions are not known."""
        return cls(
            split=split,
            revision=revision,
            digest=text_digest(split.text),
            revisions=array('q', [revision]) * len(split.keys),
            known_from=revision,
        )

    def advance(
        self, split: SplitText, revision: int
    ) -> Generator[None, None, SegmentedText]:
        """Return the next version, whose text is known as a whole."""
        if split.keys == self.split.keys:
            return (yield from self._advance_in_place(split, revision))
        old = {}
        for number, (key, text) in enumerate(self.split.segments()):
            old[key] = (text, self.revisions[number])
            if number % STEP_SEGMENTS == 0:
                yield
        revisions = array('q')
        unchanged = []
        for number, (key, text) in enumerate(split.segments()):
            old_text, old_revision = old.pop(key, (None, 0))
            is_unchanged = text == old_text
            revisions.append(old_revision if is_unchanged else revision)
            if is_unchanged:
                unchanged.append(key)
            if number % STEP_SEGMENTS == 0:
                yield
        known_from = self.known_from
        if era_of(revision) != era_of(self.revision) or not _is_in_order(
            unchanged, self.split.keys
        ):
            known_from = revision
        removed = {
            **self.removed,
            **dict.fromkeys(old, revision),
        }
        return self._next(
            split=split,
            revision=revision,
            digest=text_digest(split.text),
            revisions=revisions,
            known_from=known_from,
            removed=removed,
        )

    def _advance_in_place(
        self, split: SplitText, revision: int
    ) -> Generator[None, None, SegmentedText]:
        """Return the next version, which has the same segments in order."""
        revisions = array('q', self.revisions)
        count = len(revisions)
        for start in range(0, count, STEP_SEGMENTS):
            end = min(start + STEP_SEGMENTS, count)
            if self.split.run(start, end) != split.run(start, end):
                for number in range(start, end):
                    old = self.split.run(number, number + 1)
                    if old != split.run(number, number + 1):
                        revisions[number] = revision
                yield
        same_era = era_of(revision) == era_of(self.revision)
        return self._next(
            split=split,
            revision=revision,
            digest=text_digest(split.text),
            revisions=revisions,
            known_from=self.known_from if same_era else revision,
            removed=dict(self.removed),
        )

    def can_patch(self, base: int) -> bool:
        """Return whether the changes since a revision are known."""
        return self.known_from <= base <= self.revision and era_of(
            base
        ) == era_of(self.revision)

    def changed_since(self, base: int) -> list[str]:
        """Return the keys of the segments that changed after a revision."""
        return [
            key
            for key, revision in zip(
                self.split.keys, self.revisions, strict=True
            )
            if revision > base
        ]

    def patch_since(self, base: int) -> Patch:
        """Return the changes after a revision for which `can_patch` holds.

        It applies to texts of later revisions, too, as it sets segments to
        their present text.
        """
        keys = self.split.keys
        return Patch(
            base=base,
            revision=self.revision,
            digest=self.digest,
            puts=tuple(
                SegmentPut(
                    key=keys[number],
                    after=keys[number - 1] if number else '',
                    text=self.segment(number),
                )
                for number, revision in enumerate(self.revisions)
                if revision > base
            ),
            removed=tuple(
                key
                for key, revision in self.removed.items()
                if revision > base
            ),
        )

    def segment(self, number: int) -> bytes:
        """Return the text of a segment by its position."""
        return self.split.run(number, number + 1)

    def fits(self, patch: Patch) -> bool:
        """Return whether a patch continues this text."""
        return patch.base <= self.revision < patch.revision and era_of(
            patch.base
        ) == era_of(self.revision)

    def apply(
        self, patch: Patch
    ) -> Generator[None, None, SegmentedText | None]:
        """Return the patched text in steps, None if its digest is another."""
        text = yield from self.patched(patch)
        yield
        return text if text_digest(text.split.text) == patch.digest else None

    def patched(self, patch: Patch) -> Generator[None, None, SegmentedText]:
        """Return the patched text without a check of its digest."""
        followers = {put.after: put for put in patch.puts}
        put_keys = {put.key for put in patch.puts}
        numbers = yield from self._numbers_of(
            {*followers, *put_keys, *patch.removed}
        )
        builder = TextBuilder(self.split, self.revisions)
        replaced = {
            numbers[key]
            for key in (*put_keys, *patch.removed)
            if key in numbers
        }
        anchors = {numbers[key] for key in followers if key in numbers}
        cuts = sorted(
            {0, len(self.split.keys)}
            | {
                number
                for last in anchors | replaced
                for number in (last, last + 1)
            }
        )
        builder.put_chain(followers, '', patch.revision, numbers)
        for start, end in pairwise(cuts):
            if start in replaced:
                continue
            yield from builder.copy(start, end)
            last_key = self.split.keys[end - 1]
            builder.put_chain(followers, last_key, patch.revision, numbers)
        yield
        split = builder.split()
        yield
        return self._next(
            split=split,
            revision=patch.revision,
            digest=patch.digest,
            revisions=builder.revisions,
            known_from=self.known_from,
            removed={
                key: revision
                for key, revision in (
                    *self.removed.items(),
                    *((key, patch.revision) for key in patch.removed),
                )
                if key not in put_keys
            },
        )

    def _numbers_of(
        self, keys: set[str]
    ) -> Generator[None, None, dict[str, int]]:
        """Return the positions of those segments that exist."""
        numbers = {}
        for start in range(0, len(self.split.keys), STEP_COPIES):
            some = self.split.keys[start : start + STEP_COPIES]
            for number, key in enumerate(some, start):
                if key in keys:
                    numbers[key] = number
            yield
        return numbers

    def _next(
        self,
        *,
        split: SplitText,
        revision: int,
        digest: bytes,
        revisions: array[int],
        known_from: int,
        removed: dict[str, int],
    ) -> SegmentedText:
        known_from, removed = _bound_removals(known_from, removed, split.keys)
        return SegmentedText(
            split=split,
            revision=revision,
            digest=digest,
            revisions=revisions,
            known_from=known_from,
            removed=removed,
            history=tuple(
                before
                for before in (*self.history, self.revision)[-HISTORY:]
                if before >= known_from
            ),
        )


def _is_in_order(keys: Iterable[str], before: Iterable[str]) -> bool:
    """Return whether some keys have the order that they had before."""
    remaining = iter(before)
    return all(key in remaining for key in keys)


def _bound_removals(
    known_from: int, removed: dict[str, int], keys: tuple[str, ...]
) -> tuple[int, dict[str, int]]:
    """Return the removals that are remembered, without segments that exist."""
    if not removed:
        return known_from, removed
    existing = set(keys)
    removed = {
        key: revision
        for key, revision in removed.items()
        if key not in existing and revision > known_from
    }
    most = MIN_REMOVALS + len(keys) // 4
    if len(removed) > most:
        by_age = sorted(removed.values())
        known_from = by_age[len(by_age) - most // 2]
        removed = {
            key: revision
            for key, revision in removed.items()
            if revision > known_from
        }
    return known_from, removed
