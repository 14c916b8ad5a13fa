"""Detectors of gray failures: targets that run but fail or slow requests.

A detector keeps a score for one target, updated with the outcome of each
request. A score of 1 or more says that the target is failing. Detectors are
registered under the names that a service's configuration may choose.
"""

from __future__ import annotations

from math import log
from typing import TYPE_CHECKING, Protocol

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Callable

# The two hypotheses that CUSUM compares: the shares of bad outcomes of a
# failing and of a healthy target. The healthy share follows the peers within
# limits.
MIN_FAILING_RATE = 0.5
MIN_HEALTHY_RATE = 0.02
MAX_HEALTHY_RATE = 0.3
# Log-likelihood ratio, in nats, at which a target counts as failing when late
# detection and false ejection have equal weights. Other weights move it within
# the limits.
BASE_THRESHOLD = 7.0
MIN_THRESHOLD = 3.0
MAX_THRESHOLD = 12.0
# Bad outcomes in a row at which the baseline detector counts a target as
# failing.
CONSECUTIVE_LIMIT = 5


class Detector(Protocol):
    """Scores one target by the outcomes of its requests.

    An outcome is bad if the request failed or was slow.
    """

    def record_outcome(self, bad: bool, peer_bad_rate: float) -> None:
        """Update the score with one outcome.

        `peer_bad_rate` is the typical share of bad outcomes at the shard's
        other targets.
        """

    def score(self) -> float:
        """Return the score; 1 or more means that the target is failing."""

    def reset(self) -> None:
        """Set the score to 0."""


_DETECTORS: dict[str, Callable[[float], Detector]] = {}


def detector(name: str) -> Callable[[type], type]:
    """Register a detector class under a name for the configuration."""

    def register(cls: type) -> type:
        _DETECTORS[name] = lambda weight: cls(weight=weight)
        return cls

    return register


def detector_names() -> list[str]:
    """Return the names of all registered detectors."""
    return sorted(_DETECTORS)


def make_detector(name: str, weight: float) -> Detector:
    """Return a new detector of the named class.

    `weight` is the cost of one false ejection divided by that of a second of
    late detection.
    """
    return _DETECTORS[name](weight)


@detector('cusum')
@define(kw_only=True)
class CusumDetector:
    """Cumulative sum (CUSUM) of the log-likelihood ratios of outcomes.

    The rate expected of a healthy target follows its peers: if all targets
    fail or slow down together, the cause is load, and no target is at fault.
    """

    weight: float = 1.0
    total: float = 0.0

    @property
    def threshold(self) -> float:
        """Sum at which the target counts as failing."""
        weighted = BASE_THRESHOLD + log(self.weight)
        return min(MAX_THRESHOLD, max(MIN_THRESHOLD, weighted))

    def record_outcome(self, bad: bool, peer_bad_rate: float) -> None:
        """Add the log-likelihood ratio of one outcome to the sum."""
        healthy_rate = min(
            MAX_HEALTHY_RATE, max(MIN_HEALTHY_RATE, peer_bad_rate)
        )
        # A failing target has at least twice as many bad outcomes.
        failing_rate = max(MIN_FAILING_RATE, min(0.95, 2 * healthy_rate))
        log_ratio = (
            log(failing_rate / healthy_rate)
            if bad
            else log((1 - failing_rate) / (1 - healthy_rate))
        )
        max_total = 2 * self.threshold
        self.total = min(max_total, max(0.0, self.total + log_ratio))

    def score(self) -> float:
        """Return the sum as a fraction of the threshold."""
        return self.total / self.threshold

    def reset(self) -> None:
        """Set the score to 0."""
        self.total = 0.0


@detector('consecutive')
@define(kw_only=True)
class ConsecutiveDetector:
    """Counts bad outcomes in a row: the baseline that CUSUM is compared to."""

    weight: float = 1.0
    run_length: int = 0

    def record_outcome(self, bad: bool, peer_bad_rate: float) -> None:
        """Extend or end the run of bad outcomes; ignore the peers."""
        self.run_length = self.run_length + 1 if bad else 0

    def score(self) -> float:
        """Return the run's length as a fraction of the limit."""
        return self.run_length / CONSECUTIVE_LIMIT

    def reset(self) -> None:
        """Set the score to 0."""
        self.run_length = 0
