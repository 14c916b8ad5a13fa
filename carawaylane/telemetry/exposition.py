"""The metrics of a node in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector

from carawaylane.telemetry.metrics import PREFIX, CounterValues, GaugeValue

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from prometheus_client.core import Metric


class _Sources(Collector):
    """Collects counters, gauges and the metrics of other collectors."""

    def __init__(
        self,
        sources: Sequence[
            CounterValues | GaugeValue | Callable[[], Collector]
        ],
    ) -> None:
        self._sources = sources

    def collect(self) -> Iterable[Metric]:
        """Return the metrics in the order in which they were added."""
        for source in self._sources:
            match source:
                case CounterValues():
                    yield _counter_family(source)
                case GaugeValue():
                    yield GaugeMetricFamily(
                        f'{PREFIX}{source.name}',
                        source.name,
                        value=source.value,
                    )
                case _:
                    yield from source().collect()


def render(
    sources: Sequence[CounterValues | GaugeValue | Callable[[], Collector]],
) -> bytes:
    """Return the metrics of all sources as text."""
    return generate_latest(_Sources(sources))  # type: ignore[arg-type]


def _counter_family(counter: CounterValues) -> CounterMetricFamily:
    family = CounterMetricFamily(
        f'{PREFIX}{counter.name}', counter.name, labels=counter.label_names
    )
    for key, value in counter.values.items():
        family.add_metric(key, value, created=counter.created_s[key])
    return family
