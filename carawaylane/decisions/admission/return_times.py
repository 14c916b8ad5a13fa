"""When refused callers may come back, by a forecast of free capacity.

It handles seconds in which a service refuses many requests. Told the same
short delay, their callers come back together and are refused again. Here each
refusal books a part of the capacity that new requests leave.
"""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

from attrs import Factory, define

from carawaylane.decisions.admission.caller_age import CallerAges
from carawaylane.messages.dispatch import AttemptKind

if TYPE_CHECKING:
    from carawaylane.messages.dispatch import SlotRequest

# Time constant of the rate of new requests.
RATE_MEMORY_S = 1.0
# A caller whose time left is this much below that of new ones has come back.
RETURNED_AGE_S = 0.03
# Callers give up if they are to wait for a third of the time that they have
# left. Told a little less, the last ones find room if others give up.
RETRY_DELAY_SHARE = 0.3
# Share of the capacity that callers who come back get at least, since some
# new requests are refused in their favour, or give up.
MIN_SPARE_SHARE = 0.1


@define(kw_only=True, eq=False, repr=False)
class ReturnTimes:
    """Gives each refused caller a time of its own, urgent ones first."""

    ages: CallerAges
    # By priority: the rate of new requests, and when it was updated.
    _rates: dict[int, tuple[float, float]] = Factory(dict)
    # By priority: until when capacity is booked.
    _booked_until_s: dict[int, float] = Factory(dict)

    def record_request(self, request: SlotRequest, now_s: float) -> None:
        """Count a new request in the rate of its priority."""
        is_new = self.ages.age_s(request, now_s) < RETURNED_AGE_S
        if request.attempt is AttemptKind.FIRST and is_new:
            rate = self._rate_at(request.priority, now_s)
            self._rates[request.priority] = (rate + 1 / RATE_MEMORY_S, now_s)

    def retry_after_s(
        self,
        request: SlotRequest,
        wait_s: float,
        capacity_per_s: float,
        now_s: float,
    ) -> float:
        """Return after which delay capacity is expected for a caller.

        It is at least the expected wait of a request that comes now.
        """
        priority = request.priority
        new_per_s = sum(
            self._rate_at(other, now_s)
            for other in self._rates
            if other <= priority
        )
        spare_per_s = max(
            MIN_SPARE_SHARE * capacity_per_s, capacity_per_s - new_per_s
        )
        booked_s = max(
            (
                until_s
                for other, until_s in self._booked_until_s.items()
                if other <= priority
            ),
            default=now_s,
        )
        at_s = max(now_s + wait_s, booked_s) + 1 / spare_per_s
        longest_s = RETRY_DELAY_SHARE * request.left_s
        if at_s - now_s <= longest_s:
            self._booked_until_s[priority] = at_s
        return max(wait_s, min(longest_s, at_s - now_s))

    def _rate_at(self, priority: int, now_s: float) -> float:
        rate, at_s = self._rates.get(priority, (0.0, now_s))
        return rate * exp((at_s - now_s) / RATE_MEMORY_S)
