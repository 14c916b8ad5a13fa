"""Detection of gray targets from the outcomes of their work.

Each detector is registered by name and keeps a score for one target. A
score at or above 1 says that the target is sick.
"""

from __future__ import annotations

from math import log
from typing import TYPE_CHECKING, Protocol

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Callable

# Failure rates between which the cumulative sum decides.
SICK_RATE = 0.5
HEALTHY_RATE = 0.02
MAX_HEALTHY_RATE = 0.3
# Log-likelihood ratio at which equal weights say sick.
BASE_THRESHOLD = 7.0
MIN_THRESHOLD = 3.0
MAX_THRESHOLD = 12.0
CONSECUTIVE_LIMIT = 5


class Detector(Protocol):
    """Score of one target."""

    def observe(self, bad: bool, peer_rate: float) -> None:
        """Count one outcome, given the failure rate of the peers."""

    def score(self) -> float:
        """Return the evidence; 1 or more means sick."""

    def reset(self) -> None:
        """Forget all evidence."""


_DETECTORS: dict[str, Callable[[float], Detector]] = {}


def detector(name: str) -> Callable[[type], type]:
    """Register a detector class under a name for the configuration."""

    def register(cls: type) -> type:
        _DETECTORS[name] = lambda weight: cls(weight=weight)
        return cls

    return register


def detector_names() -> list[str]:
    """Return the names that a service may choose."""
    return sorted(_DETECTORS)


def make_detector(name: str, weight: float) -> Detector:
    """Return a new detector.

    `weight` is the cost of a false ejection over that of late detection.
    """
    return _DETECTORS[name](weight)


@detector('cusum')
@define(kw_only=True)
class CusumDetector:
    """Cumulative sum of log-likelihood ratios of bad outcomes.

    The healthy rate follows the peers: when all are bad, it is load.
    """

    weight: float = 1.0
    total: float = 0.0

    @property
    def threshold(self) -> float:
        """Return the evidence that makes a target sick."""
        wanted = BASE_THRESHOLD + log(self.weight)
        return min(MAX_THRESHOLD, max(MIN_THRESHOLD, wanted))

    def observe(self, bad: bool, peer_rate: float) -> None:
        """Count one outcome, given the failure rate of the peers."""
        healthy = min(MAX_HEALTHY_RATE, max(HEALTHY_RATE, peer_rate))
        sick = max(SICK_RATE, min(0.95, 2 * healthy))
        step = log(sick / healthy) if bad else log((1 - sick) / (1 - healthy))
        ceiling = 2 * self.threshold
        self.total = min(ceiling, max(0.0, self.total + step))

    def score(self) -> float:
        """Return the evidence; 1 or more means sick."""
        return self.total / self.threshold

    def reset(self) -> None:
        """Forget all evidence."""
        self.total = 0.0


@detector('consecutive')
@define(kw_only=True)
class ConsecutiveDetector:
    """The baseline: a fixed number of bad outcomes in a row."""

    weight: float = 1.0
    run: int = 0

    def observe(self, bad: bool, peer_rate: float) -> None:
        """Count one outcome; the peers' rate is not used."""
        self.run = self.run + 1 if bad else 0

    def score(self) -> float:
        """Return the evidence; 1 or more means sick."""
        return self.run / CONSECUTIVE_LIMIT

    def reset(self) -> None:
        """Forget all evidence."""
        self.run = 0
