"""Counters, gauges and latency histograms of one node."""

from __future__ import annotations

from collections import defaultdict
from time import process_time, time
from typing import TYPE_CHECKING, Any

from attrs import Factory, define
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Callable

    from prometheus_client.registry import Collector

PREFIX = 'carawaylane_'
MIN_DURATION_US = 1
MAX_DURATION_US = 120_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@define(kw_only=True, eq=False, repr=False)
class CounterValues:
    """The values of a counter, and the Unix time at which each was created.

    The keys are the values of the labels, in the order of `label_names`.
    """

    name: str
    label_names: tuple[str, ...]
    values: dict[tuple[str, ...], float] = Factory(dict)
    created_s: dict[tuple[str, ...], float] = Factory(dict)


@define(kw_only=True, eq=False, repr=False)
class GaugeValue:
    """The value of a gauge."""

    name: str
    value: float


class Metrics:
    """The metrics of one node by name; each is created on first use.

    prometheus_client renders them. It is imported when the metrics are read
    for the first time, as its import takes long.
    """

    def __init__(self) -> None:
        self._counters: dict[str, CounterValues] = {}
        self._gauges: dict[str, GaugeValue] = {}
        self._histograms: dict[str, HdrHistogram] = defaultdict(
            lambda: HdrHistogram(
                MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS
            )
        )
        # In the order in which they are listed.
        self._sources: list[
            CounterValues | GaugeValue | Callable[[], Collector]
        ] = []

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter with the given labels."""
        counter = self._counters.get(name)
        if counter is None:
            counter = CounterValues(
                name=name, label_names=tuple(sorted(labels))
            )
            self._counters[name] = counter
            self._sources.append(counter)
        if len(labels) != len(counter.label_names):
            raise ValueError(f'labels of {name} are {counter.label_names}')
        key = tuple([labels[label] for label in counter.label_names])
        if key in counter.values:
            counter.values[key] += amount
        else:
            counter.values[key] = amount
            counter.created_s[key] = time()

    def total(self, name: str) -> float:
        """Return the value of a counter, summed over its labels."""
        counter = self._counters.get(name)
        return sum(counter.values.values()) if counter is not None else 0

    def gauge(self, name: str, value: float) -> None:
        """Set the value of a gauge."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = GaugeValue(name=name, value=value)
            self._gauges[name] = gauge
            self._sources.append(gauge)
        gauge.value = value

    def add_collector(self, load: Callable[[], Collector]) -> None:
        """Add a collector that `load` returns when the metrics are read."""
        self._sources.append(load)

    def observe_duration(self, name: str, seconds: float) -> None:
        """Record a duration in a latency histogram."""
        value_us = min(
            MAX_DURATION_US, max(MIN_DURATION_US, int(seconds * 1e6))
        )
        self._histograms[name].record_value(value_us)

    def percentiles_ms(self, name: str) -> dict[str, float]:
        """Return percentiles of a latency histogram in milliseconds."""
        histogram = self._histograms[name]
        return {
            f'p{percentile:g}': histogram.get_value_at_percentile(percentile)
            / 1000
            for percentile in PERCENTILES
        }

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from carawaylane.telemetry.exposition import render

        self.gauge('process_cpu_seconds', process_time())
        for name in list(self._histograms):
            for key, value in self.percentiles_ms(name).items():
                label = key.replace('.', '_')
                self.gauge(f'{name}_{label}_ms', value)
        return render(self._sources)

    def as_json(self) -> dict[str, Any]:
        """Return the counters and percentiles as a JSON object."""
        counters: dict[str, float] = defaultdict(float)
        for name, counter in self._counters.items():
            for key, value in counter.values.items():
                counters['.'.join((name, *sorted(key)))] += value
        return {
            'counters': dict(counters),
            'latency_ms': {
                name: self.percentiles_ms(name) for name in self._histograms
            },
        }
