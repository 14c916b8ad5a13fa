"""Memory for the answers that a node reads at the same time."""

from __future__ import annotations

from attrs import define

# An answer above this size is cut off, and so is one above SMALL_ANSWER_BYTES
# while all large ones take LARGE_ANSWERS_BYTES: small answers are read whole
# whatever the large ones take.
MAX_ANSWER_BYTES = 8 << 20
SMALL_ANSWER_BYTES = 64 << 10
LARGE_ANSWERS_BYTES = 32 << 20


@define(kw_only=True, repr=False)
class AnswerMemory:
    """Counts the memory of the large answers that are being read."""

    max_answer_bytes: int = MAX_ANSWER_BYTES
    large_bytes: int = LARGE_ANSWERS_BYTES
    used_bytes: int = 0

    def new_answer(self) -> AnswerSize:
        """Return the size of an answer that is about to be read."""
        return AnswerSize(memory=self)


@define(kw_only=True, eq=False, repr=False)
class AnswerSize:
    """Size of an answer so far, and what it takes of the memory."""

    memory: AnswerMemory
    size: int = 0
    _used_bytes: int = 0

    def grow_to(self, size: int) -> bool:
        """Set the size; return False if there is no memory for it."""
        self.size = size
        if self.size > self.memory.max_answer_bytes:
            return False
        if self.size <= SMALL_ANSWER_BYTES:
            return True
        used_bytes = self.size - self._used_bytes
        if self.memory.used_bytes + used_bytes > self.memory.large_bytes:
            return False
        self.memory.used_bytes += used_bytes
        self._used_bytes = self.size
        return True

    def release(self) -> None:
        """Give back the memory of the answer."""
        self.memory.used_bytes -= self._used_bytes
        self._used_bytes = 0
