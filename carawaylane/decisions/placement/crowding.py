"""How much longer requests take at a target whose slots are in use.

It is built for targets that slow down as they fill, by up to some multiple of
the work, and for services with at least some requests per second.
"""

from __future__ import annotations

from math import exp

from attrs import define

# Weight of an answer. The slope is then known to about 0.1, as the logarithm
# of the work deviates by about 0.6.
GAIN = 0.002
# The slope before any answer, and its weight in units of variance.
PRIOR_SLOPE = 0.1
PRIOR_WEIGHT = 0.01
MAX_SLOPE = 1.5
# Deviations beyond this are outliers.
MAX_DEVIATION = 2.0


@define(kw_only=True, eq=False, repr=False)
class Crowding:
    """Regression of the logarithm of work on the share of slots in use."""

    _occupancy: float = 0.3
    _deviation: float = 0.0
    _variance: float = 0.0
    _covariance: float = 0.0
    # Increase of the logarithm of the work at a full target.
    slope: float = PRIOR_SLOPE

    def record(self, occupancy: float, deviation: float) -> None:
        """Record how far an answer deviates from the model of its work.

        `occupancy` is the share of slots that were in use when it was sent.
        """
        bounded = max(-MAX_DEVIATION, min(MAX_DEVIATION, deviation))
        from_mean = occupancy - self._occupancy
        self._occupancy += GAIN * from_mean
        self._deviation += GAIN * (bounded - self._deviation)
        self._variance += GAIN * (from_mean**2 - self._variance)
        self._covariance += GAIN * (
            from_mean * (bounded - self._deviation) - self._covariance
        )
        slope = (self._covariance + PRIOR_SLOPE * PRIOR_WEIGHT) / (
            self._variance + PRIOR_WEIGHT
        )
        self.slope = max(0.0, min(MAX_SLOPE, slope))

    def factor(self, occupancy: float) -> float:
        """Return by which factor requests take longer."""
        return exp(self.slope * occupancy)
