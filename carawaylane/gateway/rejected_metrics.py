"""Metrics of the objects of the store that a node can't read."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from carawaylane.messages.stored_objects import revision_in_era
from carawaylane.platform.documents import COLLECTIONS
from carawaylane.telemetry.metrics import PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaylane.gateway.rejected_objects import RejectedObjects

# More objects would make the page long; the gauge of their number has all.
MAX_LISTED = 50


class RejectedMetrics(Collector):
    """Names rejected objects and reasons when the metrics page is read."""

    def __init__(self, *, rejected: RejectedObjects) -> None:
        self._rejected = rejected

    def collect(self) -> Iterable[Metric]:
        """Return a gauge with the revisions of the objects."""
        family = GaugeMetricFamily(
            f'{PREFIX}entry_rejected',
            'Revision of an object that can not be read',
            labels=('kind', 'name', 'reason'),
        )
        for item in islice(self._rejected.current(), MAX_LISTED):
            family.add_metric(
                (COLLECTIONS[item.kind], item.name, item.reason),
                revision_in_era(item.revision),
            )
        if family.samples:
            yield family
