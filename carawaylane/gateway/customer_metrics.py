"""Metrics of customers, for the busiest ones and the rest together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from carawaylane.decisions.customers.customer_counts import (
    CustomerOutcome,
)
from carawaylane.telemetry.metrics import PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from carawaylane.decisions.customers.customer_counts import (
        CustomerCounts,
    )
    from carawaylane.decisions.customers.quota_home import QuotaUsage

# Label of the customers that are not named; no customer has an empty name.
REST_LABEL = ''


class CustomerMetrics(Collector):
    """Makes the metrics of customers when the metrics page is read.

    They are gauges, since a customer may move between the named ones and the
    rest. `usage` returns the busiest customers of this node as a quota home.
    """

    def __init__(
        self,
        *,
        counts: CustomerCounts,
        usage: Callable[[], Iterable[QuotaUsage]],
    ) -> None:
        self._counts = counts
        self._usage = usage

    def collect(self) -> Iterable[Metric]:
        """Return the metrics; there are none without customers."""
        requests = GaugeMetricFamily(
            f'{PREFIX}customer_requests',
            'Requests of customers at this entry',
            labels=('customer', 'outcome'),
        )
        for name, counter in self._counts.busiest():
            for outcome in CustomerOutcome:
                requests.add_metric((name, outcome.value), counter[outcome])
        for outcome, number in self._counts.rest().items():
            requests.add_metric((REST_LABEL, outcome.value), number)
        if requests.samples:
            yield requests
        admitted = GaugeMetricFamily(
            f'{PREFIX}quota_window_admitted',
            'Requests that this quota home admitted in the last window',
            labels=('customer',),
        )
        limit = GaugeMetricFamily(
            f'{PREFIX}quota_window_limit',
            'Requests that the quota allows in a window',
            labels=('customer',),
        )
        for usage in self._usage():
            admitted.add_metric((usage.customer,), usage.admitted)
            limit.add_metric((usage.customer,), usage.limit)
        if admitted.samples:
            yield admitted
            yield limit
