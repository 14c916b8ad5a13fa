"""Expected bytes of the answers of each route.

It is built for routes whose answers are of one kind: all of some hundred
bytes, or all large with the largest at six times the mean.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from carawaylane.messages.dispatch import SlotRequest

# Expected bytes before the first report, of routes with large answers and of
# others.
LARGE_ANSWER_BYTES = 64 << 10
SMALL_ANSWER_BYTES = 1 << 10
# Weight of an answer in the mean; the first answers weigh more.
MIN_GAIN = 0.02
# The prior weighs as much as this number of answers.
PRIOR_WEIGHT = 5
# An answer counts as at most this multiple of the mean, so that a few huge
# ones don't change it much.
MAX_RATIO = 8.0
# Routes that are tracked; beyond that, the route seen first is forgotten.
MAX_ROUTES = 4096


@define(kw_only=True, eq=False, repr=False)
class _Mean:
    value: float
    count: int = 0


@define(kw_only=True, eq=False, repr=False)
class AnswerSizes:
    """Moving average of the answer bytes of each route."""

    _means: dict[str, _Mean] = Factory(dict)

    def expected_bytes(self, request: SlotRequest) -> float:
        """Return the expected bytes of the answer to a request."""
        mean = self._means.get(request.route)
        return _prior_bytes(request) if mean is None else mean.value

    def record(self, request: SlotRequest, answer_bytes: int) -> None:
        """Update the mean of the route with the bytes of an answer.

        0 means that the entry did not report them.
        """
        if not answer_bytes:
            return
        mean = self._means.get(request.route)
        if mean is None:
            if len(self._means) >= MAX_ROUTES:
                del self._means[next(iter(self._means))]
            mean = _Mean(value=_prior_bytes(request))
            self._means[request.route] = mean
        mean.count += 1
        gain = max(MIN_GAIN, 1 / (mean.count + PRIOR_WEIGHT))
        bounded = min(float(answer_bytes), MAX_RATIO * mean.value)
        mean.value += gain * (bounded - mean.value)


def _prior_bytes(request: SlotRequest) -> float:
    return float(
        LARGE_ANSWER_BYTES if request.large_answers else SMALL_ANSWER_BYTES
    )
