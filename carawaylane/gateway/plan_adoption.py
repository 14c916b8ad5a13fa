"""Puts large configurations in force without blocking the event loop."""

from __future__ import annotations

import gc
from asyncio import Event
from contextlib import contextmanager
from typing import TYPE_CHECKING

from attrs import frozen

from carawaylane.decisions.propagation.segments import SegmentedText
from carawaylane.kernel.steps import run_in_steps
from carawaylane.messages.platform_objects import InvalidObject
from carawaylane.messages.stored_objects import StoredObject
from carawaylane.platform.plan_compiler import FirstElements, compile_plan
from carawaylane.platform.segmenting import split_object

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from carawaylane.kernel.service import Service
    from carawaylane.platform.plan_compiler import CompiledPlan

# Objects above this size travel as patches and are decoded in steps.
LARGE_OBJECT_BYTES = 32 << 10
HUGE_OBJECT_BYTES = 1 << 20


def is_large(item: StoredObject) -> bool:
    """Return whether an object travels and is decoded in parts."""
    return item.data is not None and len(item.data) > LARGE_OBJECT_BYTES


@frozen(kw_only=True, eq=False, repr=False)
class _Version:
    """A version to adopt.

    `text` is the version as made from the text `parent` by a patch, if it
    was.
    """

    item: StoredObject
    source: str
    text: SegmentedText | None
    parent: SegmentedText | None


@contextmanager
def _without_collections(item: StoredObject) -> Iterator[None]:
    """Keep the garbage collector from visiting the parts of a huge version.

    A collection of the decoded parts of 30,000 segments takes 19 ms and frees
    nothing, as they refer to each other in no circle.
    """
    if len(item.data or b'') < HUGE_OBJECT_BYTES:
        yield
        return
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()


class PlanAdoption:
    """Splits and compiles the versions of a large configuration.

    One version at a time; of those that arrive meanwhile, the last one is
    next. A version that can't be decoded is skipped.
    """

    def __init__(
        self,
        *,
        svc: Service,
        on_compiled: Callable[[CompiledPlan, StoredObject, str], None],
        on_invalid: Callable[[InvalidObject, StoredObject], None],
    ) -> None:
        # The newest text that has been split, if the version is a large one.
        self.text: SegmentedText | None = None
        self._svc = svc
        self._on_compiled = on_compiled
        self._on_invalid = on_invalid
        self._compiled: CompiledPlan | None = None
        self._next: _Version | None = None
        self._is_running = False
        self._resets = 0
        # Set, and replaced, when there is another text.
        self._text_changed = Event()

    def adopt(
        self, item: StoredObject, source: str, text: SegmentedText | None
    ) -> None:
        """Put a version in force soon.

        `text` is the version as made from `self.text` by a patch, if it was.
        """
        self._next = _Version(
            item=item, source=source, text=text, parent=self.text
        )
        if not self._is_running:
            self._is_running = True
            self._take_patched_text(self._next)
            self._svc.spawn(self._adopt_all())

    def _take_patched_text(self, version: _Version) -> None:
        if version.text is not None and self.text is version.parent:
            self._set_text(version.text)

    def reset(self) -> None:
        """Forget the texts, as the configuration is a small one now."""
        self.text = self._compiled = self._next = None
        self._resets += 1
        self._notify()

    async def wait_for_text(self, revision: int) -> None:
        """Wait until the text of a version or of a later one is split."""
        while self._is_running and (
            self.text is None or self.text.revision < revision
        ):
            await self._text_changed.wait()

    async def _adopt_all(self) -> None:
        while self._next is not None:
            version = self._next
            self._next = None
            self._take_patched_text(version)
            with _without_collections(version.item):
                await self._adopt_version(version)
        self._is_running = False
        self._notify()

    async def _adopt_version(self, version: _Version) -> None:
        first = None if self._compiled is not None else FirstElements()
        text = await self._split(version.item, first)
        if text is None:
            return
        self._set_text(text)
        compiled = await run_in_steps(
            compile_plan(version.item.name, text, self._compiled, first)
        )
        if self.text is text:
            self._finish(compiled, version.item, version.source)

    async def _split(
        self, item: StoredObject, first: FirstElements | None
    ) -> SegmentedText | None:
        """Return the text of a version with the revisions of its segments.

        `first` gets its elements if there is no version in force yet.
        """
        before, resets = self.text, self._resets
        if before is not None and before.revision == item.revision:
            return before
        data = item.data
        if data is None:
            return None
        on_element = first.add if first is not None else None
        split = await run_in_steps(
            split_object(
                data,
                on_element=on_element,
                before=before.split if before is not None else None,
            )
        )
        if before is None:
            text = SegmentedText.first(split, item.revision)
        else:
            text = await run_in_steps(before.advance(split, item.revision))
        return text if self._resets == resets else None

    def _finish(
        self,
        compiled: CompiledPlan | InvalidObject,
        item: StoredObject,
        source: str,
    ) -> None:
        if isinstance(compiled, InvalidObject):
            self._on_invalid(compiled, item)
            return
        self._compiled = compiled
        self._on_compiled(compiled, item, source)

    def _set_text(self, text: SegmentedText) -> None:
        self.text = text
        self._notify()

    def _notify(self) -> None:
        self._text_changed.set()
        self._text_changed = Event()
