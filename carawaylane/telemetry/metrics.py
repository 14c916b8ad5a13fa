"""Counters and latency histograms of one node, and their page."""

from __future__ import annotations

from collections import defaultdict
from time import process_time
from typing import Any

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge
from prometheus_client.exposition import generate_latest

PREFIX = 'carawaylane_'
LOWEST_US = 1
HIGHEST_US = 120_000_000
DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Metrics by name, made on first use."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, HdrHistogram] = defaultdict(
            lambda: HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        )
        self._totals: dict[tuple[str, ...], float] = defaultdict(float)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
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
        """Return the sum of a counter over all its labels."""
        return sum(
            value for key, value in self._totals.items() if key[0] == name
        )

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(f'{PREFIX}{name}', name, registry=self.registry)
            self._gauges[name] = gauge
        gauge.set(value)

    def observe_duration(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        value_us = min(HIGHEST_US, max(LOWEST_US, int(seconds * 1e6)))
        self._histograms[name].record_value(value_us)

    def quantiles_ms(self, name: str) -> dict[str, float]:
        """Return the usual quantiles of a histogram in milliseconds."""
        hist = self._histograms[name]
        return {
            f'p{q:g}': hist.get_value_at_percentile(q) / 1000
            for q in QUANTILES
        }

    def exposition(self) -> bytes:
        """Return all metrics in the text exposition format."""
        self.gauge('process_cpu_seconds', process_time())
        for name in list(self._histograms):
            for key, value in self.quantiles_ms(name).items():
                label = key.replace('.', '_')
                self.gauge(f'{name}_{label}_ms', value)
        return generate_latest(self.registry)

    def as_json(self) -> dict[str, Any]:
        """Return counters and quantiles as a JSON object."""
        return {
            'counters': {
                '.'.join(key): value for key, value in self._totals.items()
            },
            'latency_ms': {
                name: self.quantiles_ms(name) for name in self._histograms
            },
        }
