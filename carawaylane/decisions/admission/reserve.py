"""Slots that are kept free for requests that are about to come.

It handles bursts of an urgent class, and the second after a loss of power, in
which all callers come at once: some of them too late for their objective. By
the time that others come, their slots would be taken.
"""

from __future__ import annotations

from math import exp

from attrs import Factory, define

# Time constant of the rate of requests, and the time for which it is expected
# to last. Callers come back within 0.3 s after nodes have restarted.
RATE_MEMORY_S = 0.1
HORIZON_S = 0.2

# Whether an answer will be late, and the priority. Lower ones go first.
Rank = tuple[bool, int]


@define(kw_only=True, eq=False, repr=False)
class Reserve:
    """Forecasts how many slots requests of each rank need, from their rate."""

    # By rank: the rate of requests, and when it was updated.
    _rates: dict[Rank, tuple[float, float]] = Factory(dict)

    def record_request(self, rank: Rank, now_s: float) -> None:
        """Count a request that has come."""
        rate_per_s = self._rate_at(rank, now_s) + 1 / RATE_MEMORY_S
        self._rates[rank] = (rate_per_s, now_s)

    def slots_ahead_of(
        self, rank: Rank, capacity_per_s: float, now_s: float
    ) -> float:
        """Return the slots that requests of lower ranks will need.

        Those that become free until then are not reserved.
        """
        rate_per_s = sum(
            self._rate_at(other, now_s)
            for other in self._rates
            if other < rank
        )
        return HORIZON_S * max(0.0, rate_per_s - capacity_per_s)

    def _rate_at(self, rank: Rank, now_s: float) -> float:
        rate_per_s, at_s = self._rates.get(rank, (0.0, now_s))
        return rate_per_s * exp((at_s - now_s) / RATE_MEMORY_S)
