"""Weighted fair shares of customers in one queue.

It handles services that are short of slots for seconds while some customers
ask for many times their usual rate. Start-time fair queueing: each request
gets a start tag, the virtual time at which its customer's share covers it,
and the lowest tag of a priority is served first. A customer that asks for
less than its share finds its tag at the front of the queue.
"""

from __future__ import annotations

from collections.abc import Mapping

from attrs import Factory, define

# Weight of a customer that the configuration does not know or limit.
DEFAULT_WEIGHT = 1.0
# Number of customers of a priority at which past tags are first dropped.
MAX_CUSTOMERS = 1024


@define(kw_only=True, eq=False, repr=False)
class _Level:
    """Virtual time of a priority, and the finish tags of its customers."""

    virtual_s: float = 0.0
    finish_s: dict[str, float] = Factory(dict)
    # Number of customers at which past tags are dropped next.
    cleanup_at: int = MAX_CUSTOMERS

    def drop_past(self) -> None:
        """Drop tags that are past, at a cost per charge that is constant."""
        if len(self.finish_s) > self.cleanup_at:
            self.finish_s = {
                name: finish_s
                for name, finish_s in self.finish_s.items()
                if finish_s > self.virtual_s
            }
            self.cleanup_at = max(MAX_CUSTOMERS, 2 * len(self.finish_s))


@define(kw_only=True, eq=False, repr=False)
class FairShares:
    """Start tags of the requests of customers, by priority."""

    weights: Mapping[str, float]
    _levels: dict[int, _Level] = Factory(dict)

    def virtual_s(self, priority: int) -> float:
        """Return the virtual time, the highest tag of a granted request."""
        return self._level(priority).virtual_s

    def start_tag(self, priority: int, customer: str) -> float:
        """Return the start tag that the next request would get."""
        level = self._level(priority)
        return max(level.virtual_s, level.finish_s.get(customer, 0.0))

    def charge(self, priority: int, customer: str, work_s: float) -> None:
        """Count the work of a request that is queued or granted."""
        level = self._level(priority)
        tag = self.start_tag(priority, customer)
        level.finish_s[customer] = tag + work_s / self._weight(customer)
        level.drop_past()

    def give_back(self, priority: int, customer: str, work_s: float) -> None:
        """Undo the charge of a queued request that is not granted."""
        level = self._level(priority)
        if customer in level.finish_s:
            level.finish_s[customer] -= work_s / self._weight(customer)

    def advance(self, priority: int, tag: float) -> None:
        """Record that the request with a start tag is granted."""
        level = self._level(priority)
        level.virtual_s = max(level.virtual_s, tag)

    def _level(self, priority: int) -> _Level:
        return self._levels.setdefault(priority, _Level())

    def _weight(self, customer: str) -> float:
        return self.weights.get(customer) or DEFAULT_WEIGHT
