"""Data classes of the operators' documents: services, traffic kinds, targets.

The `kind` of a document is the name of its class here, and the other keys are
the names of the fields.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Literal

from attrs import Factory, frozen

from carawaylane.decisions.routing.selector import (
    SelectorError,
    parse_selector,
)
from carawaylane.decisions.targets.detector import detector_names
from carawaylane.kernel.addresses import (
    InvalidAddressError,
    split_host_port,
)

MAX_SHARDS = 64
MAX_SLOTS = 1024
MAX_TIMEOUT_MS = 120_000
# Label that sets the state of a target. A target that is draining or out gets
# no new requests; without the label it is serving.
STATE_LABEL = 'state'
STATES = ('serving', 'draining', 'out')


@frozen(kw_only=True)
class Weights:
    """Relative cost of a second of late detection and of a false ejection."""

    detection: float = 1.0
    false_ejection: float = 1.0

    def problems(self) -> list[str]:
        """Return a message for each invalid value."""
        if self.detection <= 0 or self.false_ejection <= 0:
            return ['weights must be positive']
        return []


@frozen(kw_only=True)
class Service:
    """A service, provided by the targets that its selector matches.

    `slots` is the number of requests that a target may run at a time.
    `floor_percent` is the share of a shard's slots that ejections leave in
    service. `health_path` is probed while a target is ejected; if it is
    empty, no probes are sent. If `echoes_request_id` is set, an answer without
    the request's id is rejected as belonging to another request. A target
    sets `not_run_header` in its answer if it refused a request unrun, and
    `seal_header` in each success; if that is empty, successes need no seal.
    """

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
    seal_header: str = ''

    def problems(self) -> list[str]:
        """Return a message for each invalid value."""
        problems = _selector_problems('selector', self.selector)
        problems += _range_problems('shards', self.shards, 1, MAX_SHARDS)
        problems += _range_problems('slots', self.slots, 1, MAX_SLOTS)
        problems += _range_problems(
            'floor_percent', self.floor_percent, 0, 100
        )
        problems += _range_problems(
            'probe_interval_ms', self.probe_interval_ms, 100, 600_000
        )
        if self.detector not in detector_names():
            names = ', '.join(detector_names())
            problems.append(f'detector {self.detector!r} is none of {names}')
        if '.' in self.name:
            problems.append('name must not contain a dot')
        return problems + self.weights.problems()


@frozen(kw_only=True)
class Retries:
    """Limits on retries of idempotent requests.

    `max` limits the retries of one request, `budget_percent` those of a whole
    traffic kind, as a share of its first attempts.
    """

    max: int = 2
    budget_percent: int = 20

    def problems(self) -> list[str]:
        """Return a message for each invalid value."""
        problems = _range_problems('retries.max', self.max, 0, 10)
        return problems + _range_problems(
            'retries.budget_percent', self.budget_percent, 0, 100
        )


@frozen(kw_only=True)
class TrafficKind:
    """Policy for the requests whose labels its selector matches.

    `share` is the weight of the kind when slots are scarce, `max_queue` the
    number of its requests that may wait for slots of a shard, and
    `per_caller` the number of requests that a caller may have open at one
    entry (0: no limit). Of the kinds that match a request, the one with the
    highest `priority` applies.
    """

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
        """Whether a request of this kind must run at most once."""
        return self.safety == 'unsafe'

    def problems(self) -> list[str]:
        """Return a message for each invalid value."""
        problems = _selector_problems('selector', self.selector)
        problems += _range_problems(
            'timeout_ms', self.timeout_ms, 1, MAX_TIMEOUT_MS
        )
        problems += _range_problems('share', self.share, 1, 1000)
        problems += _range_problems('max_queue', self.max_queue, 0, 100_000)
        problems += _range_problems(
            'per_caller', self.per_caller, 0, 1_000_000
        )
        return problems + self.retries.problems()


@frozen(kw_only=True)
class Target:
    """A back end that serves requests.

    If `slots` is 0, the target has as many slots as its service says.
    """

    name: str
    address: str
    labels: Mapping[str, str] = Factory(dict)
    host: str = ''
    slots: int = 0

    @property
    def state(self) -> str:
        """State set by the operators' label: serving, draining or out."""
        return self.labels.get(STATE_LABEL, STATES[0])

    def problems(self) -> list[str]:
        """Return a message for each invalid value."""
        problems = self.stored_problems()
        try:
            split_host_port(self.address)
        except InvalidAddressError:
            problems.append(f'address {self.address[:64]!r} is not HOST:PORT')
        return problems

    def stored_problems(self) -> list[str]:
        """Return a message for each invalid value of a stored document.

        Its address is not checked: the rules have become stricter, and what
        is stored stays known.
        """
        problems = _range_problems('slots', self.slots, 0, MAX_SLOTS)
        if self.state not in STATES:
            states = ', '.join(STATES)
            problems.append(f'label {STATE_LABEL} must be one of {states}')
        return problems


Document = Service | TrafficKind | Target
KINDS: dict[str, type[Any]] = {
    'Service': Service,
    'TrafficKind': TrafficKind,
    'Target': Target,
}


def kind_of(doc: Document) -> str:
    """Return the kind of a document, the name of its class."""
    return type(doc).__name__


def _range_problems(name: str, value: int, low: int, high: int) -> list[str]:
    if low <= value <= high:
        return []
    return [f'{name} must be from {low} to {high}, not {value}']


def _selector_problems(name: str, text: str) -> list[str]:
    try:
        parse_selector(text)
    except SelectorError as exc:
        return [f'{name}: {exc}']
    return []
