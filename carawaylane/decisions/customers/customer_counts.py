"""Requests of customers by outcome: of the busiest ones, and of the rest."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from heapq import nlargest
from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from collections.abc import Iterable

# Customers that are counted one by one before the less busy half of them is
# added to the rest.
MAX_COUNTED = 400
MAX_REPORTED = 20


class CustomerOutcome(Enum):
    """What became of a customer's request."""

    ADMITTED = 'admitted'
    OVER_QUOTA = 'over_quota'
    NO_CAPACITY = 'no_capacity'


@define(kw_only=True, eq=False, repr=False)
class CustomerCounts:
    """Counts requests by customer and outcome in bounded memory.

    Load: each request of a customer at this entry, of up to 20,000 customers.
    """

    _counts: dict[str, Counter[CustomerOutcome]] = Factory(dict)
    _rest: Counter[CustomerOutcome] = Factory(Counter)

    def count(self, customer: str, outcome: CustomerOutcome) -> None:
        """Count a request."""
        counter = self._counts.get(customer)
        if counter is None:
            if len(self._counts) == MAX_COUNTED:
                self._keep_busiest(MAX_COUNTED // 2)
            counter = self._counts[customer] = Counter()
        counter[outcome] += 1

    def busiest(self) -> Iterable[tuple[str, Counter[CustomerOutcome]]]:
        """Return the busiest customers with their counts."""
        return nlargest(
            MAX_REPORTED,
            self._counts.items(),
            key=lambda item: item[1].total(),
        )

    def rest(self) -> Counter[CustomerOutcome]:
        """Return the counts of all other customers together."""
        rest = Counter(self._rest)
        reported = {name for name, _ in self.busiest()}
        for name, counter in self._counts.items():
            if name not in reported:
                rest.update(counter)
        return rest

    def _keep_busiest(self, kept: int) -> None:
        by_total = sorted(
            self._counts.items(),
            key=lambda item: item[1].total(),
            reverse=True,
        )
        self._counts = dict(by_total[:kept])
        for _, counter in by_total[kept:]:
            self._rest.update(counter)
