"""Operators' documents as checked data: services, traffic kinds, targets."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Literal

from attrs import Factory, frozen

from carawaylane.decisions.detector import detector_names
from carawaylane.decisions.selector import SelectorError, parse_selector

MAX_SHARDS = 64
MAX_SLOTS = 1024
MAX_TIMEOUT_MS = 120_000
# Reserved label of a target: serving (default), draining or out.
STATE_LABEL = 'state'
STATES = ('serving', 'draining', 'out')


@frozen(kw_only=True)
class Weights:
    """What a second of late detection and one false ejection cost."""

    detection: float = 1.0
    false_ejection: float = 1.0

    def problems(self) -> list[str]:
        """Return what is wrong with the values."""
        if self.detection <= 0 or self.false_ejection <= 0:
            return ['weights must be positive']
        return []


@frozen(kw_only=True)
class Service:
    """Targets that give one service, chosen by their labels."""

    name: str
    selector: str
    shards: int = 1
    slots: int = 2
    floor_percent: int = 50
    weights: Weights = Factory(Weights)
    detector: str = 'cusum'
    health_path: str = ''
    probe_interval_ms: int = 5000
    echoes_request_id: bool = False
    not_run_header: str = 'X-Not-Run'

    def problems(self) -> list[str]:
        """Return what is wrong with the values."""
        found = _selector_problems('selector', self.selector)
        found += _range('shards', self.shards, 1, MAX_SHARDS)
        found += _range('slots', self.slots, 1, MAX_SLOTS)
        found += _range('floor_percent', self.floor_percent, 0, 100)
        found += _range(
            'probe_interval_ms', self.probe_interval_ms, 100, 600_000
        )
        if self.detector not in detector_names():
            known = ', '.join(detector_names())
            found.append(f'detector {self.detector!r} is none of {known}')
        if '.' in self.name:
            found.append('name must not contain a dot')
        return found + self.weights.problems()


@frozen(kw_only=True)
class Retries:
    """How often an idempotent request may be sent again."""

    max: int = 2
    budget_percent: int = 20

    def problems(self) -> list[str]:
        """Return what is wrong with the values."""
        found = _range('retries.max', self.max, 0, 10)
        return found + _range(
            'retries.budget_percent', self.budget_percent, 0, 100
        )


@frozen(kw_only=True)
class TrafficKind:
    """Requests that are treated alike, chosen by their labels."""

    name: str
    selector: str
    service: str
    safety: Literal['idempotent', 'unsafe']
    timeout_ms: int = 5000
    share: int = 1
    max_queue: int = 64
    per_caller: int = 0
    priority: int = 0
    retries: Retries = Factory(Retries)

    @property
    def unsafe(self) -> bool:
        """Whether a request of this kind runs at most once."""
        return self.safety == 'unsafe'

    def problems(self) -> list[str]:
        """Return what is wrong with the values."""
        found = _selector_problems('selector', self.selector)
        found += _range('timeout_ms', self.timeout_ms, 1, MAX_TIMEOUT_MS)
        found += _range('share', self.share, 1, 1000)
        found += _range('max_queue', self.max_queue, 0, 100_000)
        found += _range('per_caller', self.per_caller, 0, 1_000_000)
        return found + self.retries.problems()


@frozen(kw_only=True)
class Target:
    """One back end that runs requests."""

    name: str
    address: str
    labels: Mapping[str, str] = Factory(dict)
    host: str = ''
    slots: int = 0

    @property
    def state(self) -> str:
        """What the operators' label says: serving, draining or out."""
        return self.labels.get(STATE_LABEL, STATES[0])

    def problems(self) -> list[str]:
        """Return what is wrong with the values."""
        found = _range('slots', self.slots, 0, MAX_SLOTS)
        host, _, port = self.address.rpartition(':')
        if not host or not port.isdecimal() or int(port) > 65535:
            found.append(f'address {self.address!r} is not HOST:PORT')
        if self.state not in STATES:
            known = ', '.join(STATES)
            found.append(f'label {STATE_LABEL} must be one of {known}')
        return found


Document = Service | TrafficKind | Target
KINDS: dict[str, type[Any]] = {
    'Service': Service,
    'TrafficKind': TrafficKind,
    'Target': Target,
}


def kind_of(doc: Document) -> str:
    """Return the kind under which a document is kept."""
    return type(doc).__name__


def _range(name: str, value: int, low: int, high: int) -> list[str]:
    if low <= value <= high:
        return []
    return [f'{name} must be from {low} to {high}, not {value}']


def _selector_problems(name: str, text: str) -> list[str]:
    try:
        parse_selector(text)
    except SelectorError as exc:
        return [f'{name}: {exc}']
    return []
