"""Decoding of the platform's objects into the fleet's types, and back."""

from __future__ import annotations

from json import dumps, loads
from typing import TYPE_CHECKING, Any

from carawaylane.messages.platform_objects import (
    MS_PER_S,
    CallerLimits,
    InvalidObject,
    Member,
    Plan,
    Route,
    TargetSpec,
    WeightedService,
)
from carawaylane.messages.stored_objects import ObjectKind

if TYPE_CHECKING:
    from collections.abc import Callable

# Collections on the platform; the last one is the fleet's own.
COLLECTIONS = {
    ObjectKind.PLAN: 'config',
    ObjectKind.TARGETS: 'servers',
    ObjectKind.MEMBERS: 'members',
}
STATES = ('ready', 'draining')
# Values that a route may leave out.
DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_PRIORITY = 1


def encode(value: Any) -> bytes:
    """Return a value as compact JSON."""
    return dumps(value, separators=(',', ':')).encode()


def read_plan(name: str, data: bytes) -> Plan | InvalidObject:
    """Return a version of the configuration."""
    return _read(name, data, _plan)


def read_target(name: str, data: bytes) -> TargetSpec | InvalidObject:
    """Return a target's entry."""
    return _read(name, data, lambda row: _target(name, row))


def read_member(name: str, data: bytes) -> Member | InvalidObject:
    """Return a node's entry."""
    return _read(name, data, lambda row: _member(name, row))


def write_member(member: Member) -> dict[str, Any]:
    """Return a node's entry as it lies on the platform."""
    return {
        'address': member.address,
        'zone': member.data_centre,
        'cores': member.cores,
    }


def _read(name: str, data: bytes, decode: Callable[[Any], Any]) -> Any:
    try:
        return decode(loads(data))
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        return InvalidObject(name=name, reason=f'{type(exc).__name__}: {exc}')


def _plan(row: dict[str, Any]) -> Plan:
    return Plan(
        version=_whole(row['version']),
        routes=tuple(_route(each) for each in row['routes']),
        limits=_limits(row.get('limits') or {}),
    )


def _route(row: dict[str, Any]) -> Route:
    timeout_ms = row.get('timeout_ms') or DEFAULT_TIMEOUT_MS
    return Route(
        name=row['name'],
        host=row['host'].lower(),
        prefix=row['path_prefix'],
        idempotent=row['route_type'] == 'safe',
        timeout_s=timeout_ms / MS_PER_S,
        objective_s=(row.get('target_latency_ms') or timeout_ms) / MS_PER_S,
        priority=row.get('priority', DEFAULT_PRIORITY),
        max_targets=row.get('max_attempts') or 1,
        traffic_split=_parts(row),
    )


def _parts(row: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = row.get('traffic_split')
    if not split:
        return (WeightedService(service=row['service'], weight=1.0),)
    return tuple(
        WeightedService(service=each['service'], weight=float(each['weight']))
        for each in split
    )


def _limits(row: dict[str, Any]) -> CallerLimits:
    base = CallerLimits()
    return CallerLimits(
        header_bytes=row.get('max_header_bytes') or base.header_bytes,
        body_bytes=row.get('max_body_bytes') or base.body_bytes,
        header_timeout_s=_seconds(row, 'header_timeout_ms')
        or base.header_timeout_s,
        idle_timeout_s=_seconds(row, 'idle_timeout_ms') or base.idle_timeout_s,
    )


def _target(name: str, row: dict[str, Any]) -> TargetSpec:
    state = row['state']
    if state not in STATES:
        raise ValueError(f'unknown state {state!r}')
    born = row.get('born', 0)
    return TargetSpec(
        name=name,
        service=_text(row['service']),
        address=_address(row['address']),
        data_centre=_text(row['zone']),
        slots=_positive(row['slots']),
        draining=state == 'draining',
        warmup_left_s=_seconds(row, 'warmup_left_ms'),
        started_ms=_whole(born),
    )


def _member(name: str, row: dict[str, Any]) -> Member:
    return Member(
        name=name,
        address=_address(row['address']),
        data_centre=_text(row['zone']),
        cores=float(row['cores']),
    )


def _seconds(row: dict[str, Any], key: str) -> float:
    return float(row.get(key) or 0) / MS_PER_S


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f'{value!r} is not a name')
    return value


def _whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f'{value!r} is not a whole number')
    return value


def _positive(value: Any) -> int:
    if _whole(value) <= 0:
        raise ValueError(f'{value!r} is not positive')
    return value


def _address(value: Any) -> str:
    host, _, port = _text(value).rpartition(':')
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f'{value!r} is not an address')
    return value
