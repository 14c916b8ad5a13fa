"""Counters, gauges and latency histograms of one node."""

from __future__ import annotations

from collections import defaultdict
from time import process_time
from typing import Any

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge
from prometheus_client.exposition import generate_latest

PREFIX = 'carawaylane_'
MIN_DURATION_US = 1
MAX_DURATION_US = 120_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """The metrics of one node by name; each is created on first use."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, HdrHistogram] = defaultdict(
            lambda: HdrHistogram(
                MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS
            )
        )
        self._totals: dict[tuple[str, ...], float] = defaultdict(float)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter with the given labels."""
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(
                f'{PREFIX}{name}',
                name,
                sorted(labels),
                registry=self.registry,
            )
            self._counters[name] = counter
        if labels:
            counter.labels(**labels).inc(amount)
        else:
            counter.inc(amount)
        self._totals[(name, *sorted(labels.values()))] += amount

    def total(self, name: str) -> float:
        """Return the value of a counter, summed over its labels."""
        return sum(
            value for key, value in self._totals.items() if key[0] == name
        )

    def gauge(self, name: str, value: float) -> None:
        """Set the value of a gauge."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(f'{PREFIX}{name}', name, registry=self.registry)
            self._gauges[name] = gauge
        gauge.set(value)

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
        self.gauge('process_cpu_seconds', process_time())
        for name in list(self._histograms):
            for key, value in self.percentiles_ms(name).items():
                label = key.replace('.', '_')
                self.gauge(f'{name}_{label}_ms', value)
        return generate_latest(self.registry)

    def as_json(self) -> dict[str, Any]:
        """Return the counters and percentiles as a JSON object."""
        return {
            'counters': {
                '.'.join(key): value for key, value in self._totals.items()
            },
            'latency_ms': {
                name: self.percentiles_ms(name) for name in self._histograms
            },
        }
