"""Conversion between the platform's objects and the fleet's types."""

from __future__ import annotations

from functools import lru_cache
from json import JSONEncoder, loads
from typing import TYPE_CHECKING, Any

from carawaylane.decisions.customers.keys import key_digest
from carawaylane.kernel.addresses import is_address
from carawaylane.messages.platform_objects import (
    DEFAULT_LINK_MBPS,
    MS_PER_S,
    CallerLimits,
    Customer,
    InvalidObject,
    Member,
    Plan,
    Route,
    TargetSpec,
    WeightedService,
)
from carawaylane.messages.stored_objects import ObjectKind
from carawaylane.platform.headers import is_header_value

if TYPE_CHECKING:
    from collections.abc import Callable

# Collections of the platform's store. Targets are the platform's `servers`;
# `members` belongs to the fleet, whose nodes register in it.
COLLECTIONS = {
    ObjectKind.PLAN: 'config',
    ObjectKind.TARGETS: 'servers',
    ObjectKind.MEMBERS: 'members',
}
# Sections of the configuration.
ROUTES = 'routes'
CUSTOMERS = 'tenants'
TARGET_STATES = ('ready', 'draining')
# The platform calls routes safe whose requests are idempotent; downloads are
# such routes with large answers.
DOWNLOAD_ROUTE_TYPE = 'download'
IDEMPOTENT_ROUTE_TYPES = ('safe', DOWNLOAD_ROUTE_TYPE)
# Used if a route does not set them.
DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_PRIORITY = 1
# Nodes pass some integers on as fields of 64 bits.
MAX_INTEGER = 2**63 - 1
MAX_UINT32 = 2**32 - 1
# Raised for JSON that has another form, is nested too deeply, or has numbers
# that are too large.
DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)


MAX_REASON_CHARS = 200
_encode = JSONEncoder(separators=(',', ':')).encode


def encode_json(value: Any) -> bytes:
    """Return a value as compact JSON."""
    return _encode(value).encode()


def decode_plan(name: str, data: bytes) -> Plan | InvalidObject:
    """Decode a version of the routing configuration."""
    return _decode(name, data, _parse_plan)


def decode_target(name: str, data: bytes) -> TargetSpec | InvalidObject:
    """Decode a target, which is an object that the target registered."""
    return _decode(name, data, lambda spec: _parse_target(name, spec))


def decode_member(name: str, data: bytes) -> Member | InvalidObject:
    """Decode a member, which is an object that the node registered."""
    return _decode(name, data, lambda spec: _parse_member(name, spec))


def member_spec(member: Member) -> dict[str, Any]:
    """Return the object that a node registers, before encoding as JSON."""
    return {
        'address': member.address,
        'zone': member.data_centre,
        'cores': member.cores,
        'link_mbps': member.link_mbps,
    }


def _decode(name: str, data: bytes, parse: Callable[[Any], Any]) -> Any:
    try:
        return parse(_loads(data))
    except DECODE_ERRORS as exc:
        return InvalidObject(name=name, reason=reason_of(exc))


def reason_of(exc: Exception) -> str:
    """Return why an object is rejected, in few words."""
    return f'{type(exc).__name__}: {exc}'[:MAX_REASON_CHARS]


def _loads(data: bytes) -> Any:
    """Return JSON; that of ASCII text needs no guess of its encoding."""
    if data.isascii() and 0 not in data[:4]:
        return loads(data.decode('ascii'))
    return loads(data)


def _parse_plan(spec: dict[str, Any]) -> Plan:
    return make_plan(
        spec,
        routes=tuple(parse_route(route) for route in spec[ROUTES]),
        customers=parse_customers(spec.get(CUSTOMERS) or []),
    )


def make_plan(
    spec: dict[str, Any],
    *,
    routes: tuple[Route, ...],
    customers: tuple[Customer, ...],
) -> Plan:
    """Return the version of the configuration that has these parts."""
    return Plan(
        version=_require_integer(spec['version']),
        routes=routes,
        limits=_parse_limits(spec.get('limits') or {}),
        customers=customers,
    )


def parse_customers(specs: list[Any]) -> tuple[Customer, ...]:
    """Return the customers, which the platform calls tenants.

    Raises `ValueError` if a name or a key occurs twice; messages name no key.
    """
    customers = tuple(
        parse_customer(f'tenants[{position}]', spec)
        for position, spec in enumerate(specs)
    )
    holder_by_name: dict[str, str] = {}
    holder_by_digest: dict[bytes, str] = {}
    for position, customer in enumerate(customers):
        place = f'tenants[{position}]'
        other = holder_by_name.setdefault(customer.name, place)
        if other != place:
            raise ValueError(f'{place} has the same name as {other}')
        for digest in customer.key_digests:
            other = holder_by_digest.setdefault(digest, place)
            if other != place:
                raise ValueError(f'{place} has a key that {other} holds')
    return customers


def parse_customer(place: str, spec: Any) -> Customer:
    """Return the customer at a place of the configuration."""
    if not isinstance(spec, dict):
        raise ValueError(f'{place} is not an object')
    name = spec.get('name')
    if not isinstance(name, str) or not is_header_value(name):
        raise ValueError(f'{place}.name can not be sent in a header')
    keys = spec.get('api_keys') or []
    if not isinstance(keys, list) or '' in keys:
        raise ValueError(f'{place}.api_keys is not a list of strings')
    for key in keys:
        if not isinstance(key, str):
            raise ValueError(f'{place}.api_keys is not a list of strings')
    priority = spec.get('priority')
    if priority is not None:
        priority = _require_uint32(priority)
    return Customer(
        name=name,
        key_digests=tuple(map(key_digest, keys)),
        priority=priority,
        rate_per_s=_parse_quota(place, 'rate_per_s', spec),
        burst=_parse_quota(place, 'burst', spec),
    )


def _parse_quota(place: str, field: str, spec: dict[str, Any]) -> float:
    """Return a rate or burst; 0 or missing means that there is no limit."""
    value = spec.get(field)
    if value is None:
        return 0.0
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f'{place}.{field} is not a number')
    if not 0 <= value <= MAX_INTEGER:
        raise ValueError(f'{place}.{field} is negative or too large')
    return float(value)


def parse_route(spec: dict[str, Any]) -> Route:
    """Return a route of the configuration."""
    timeout_ms = _require_duration_ms(
        spec.get('timeout_ms') or DEFAULT_TIMEOUT_MS
    )
    objective_ms = _require_duration_ms(
        spec.get('target_latency_ms') or timeout_ms
    )
    priority = spec.get('priority')
    return Route(
        name=_require_string(spec['name']),
        host=_require_string(spec['host']).lower(),
        prefix=_require_string(spec['path_prefix']),
        idempotent=spec['route_type'] in IDEMPOTENT_ROUTE_TYPES,
        timeout_s=timeout_ms / MS_PER_S,
        objective_s=objective_ms / MS_PER_S,
        priority=DEFAULT_PRIORITY
        if priority is None
        else _require_uint32(priority),
        # An attempt that fails to connect to its target does not count.
        max_targets=_require_uint32(spec.get('max_attempts') or 1),
        traffic_split=_parse_traffic_split(spec),
        auth_exempt=bool(spec.get('auth_exempt')),
        large_answers=spec['route_type'] == DOWNLOAD_ROUTE_TYPE,
    )


def _parse_traffic_split(spec: dict[str, Any]) -> tuple[WeightedService, ...]:
    """Return the services of a route; one without a split has just one."""
    split = spec.get('traffic_split')
    if not split:
        return _whole_service(_require_string(spec['service']))
    return tuple(
        WeightedService(
            service=_require_string(part['service']),
            weight=_require_number(float(part['weight'])),
        )
        for part in split
    )


@lru_cache(maxsize=1024)
def _whole_service(service: str) -> tuple[WeightedService, ...]:
    """Return the split of routes that have one service; they share it."""
    return (WeightedService(service=service, weight=1.0),)


def _parse_limits(spec: dict[str, Any]) -> CallerLimits:
    """Return the limits; a limit that is 0 or missing has its default."""
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=_require_integer(
            spec.get('max_header_bytes') or defaults.header_bytes
        ),
        body_bytes=_require_integer(
            spec.get('max_body_bytes') or defaults.body_bytes
        ),
        header_timeout_s=_ms_field_to_s(spec, 'header_timeout_ms')
        or defaults.header_timeout_s,
        idle_timeout_s=_ms_field_to_s(spec, 'idle_timeout_ms')
        or defaults.idle_timeout_s,
    )


def _parse_target(name: str, spec: dict[str, Any]) -> TargetSpec:
    state = spec['state']
    if state not in TARGET_STATES:
        raise ValueError(f'unknown state {state!r}')
    # `born` is the Unix time in ms of the target's start, if it is known.
    started_ms = spec.get('born', 0)
    return TargetSpec(
        name=_require_name(name),
        service=_require_nonempty_string(spec['service']),
        address=_require_address(spec['address']),
        data_centre=_require_nonempty_string(spec['zone']),
        slots=_require_slots(spec['slots']),
        draining=state == 'draining',
        warmup_left_s=_ms_field_to_s(spec, 'warmup_left_ms'),
        started_ms=_require_integer(started_ms),
    )


def _parse_member(name: str, spec: dict[str, Any]) -> Member:
    return Member(
        name=_require_name(name),
        address=_require_address(spec['address']),
        data_centre=_require_nonempty_string(spec['zone']),
        cores=_require_number(spec['cores']),
        link_mbps=_parse_link(spec.get('link_mbps')),
    )


def _parse_link(value: Any) -> float:
    """Return the speed of a link; older builds do not register it."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return DEFAULT_LINK_MBPS
    return float(value) if 0 < value < MAX_INTEGER else DEFAULT_LINK_MBPS


def _ms_field_to_s(spec: dict[str, Any], key: str) -> float:
    """Return a field in ms as seconds, 0 if it is missing."""
    return _require_number(spec.get(key) or 0) / MS_PER_S


def _require_name(name: str) -> str:
    """Return a name that messages, log lines and headers can carry."""
    if not is_header_value(name):
        raise ValueError('the name can not be sent in a header')
    return name


def is_text(value: Any) -> bool:
    """Return whether a value is a string that messages can carry."""
    if not isinstance(value, str):
        return False
    try:
        return value.isascii() or bool(value.encode())
    except UnicodeEncodeError:
        return False


def _require_nonempty_string(value: Any) -> str:
    if not value or not is_text(value):
        raise ValueError(f'{value!r} is not a non-empty string')
    return str(value)


def _require_number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f'{value!r} is not a number')
    if not 0 <= value <= MAX_UINT32:
        raise ValueError('a number is negative or too large')
    return float(value)


def _require_integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f'{value!r} is not an integer')
    if not 0 <= value <= MAX_INTEGER:
        raise ValueError('an integer is negative or too large')
    return value


def _require_uint32(value: Any) -> int:
    """Return an integer that slot requests can carry."""
    if type(value) is int and 0 <= value <= MAX_UINT32:
        return value
    if _require_integer(value) > MAX_UINT32:
        raise ValueError(f'{value!r} is too large')
    return int(value)


def _require_duration_ms(value: Any) -> float:
    """Return a time in ms that slot requests can carry."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f'{value!r} is not a number')
    if not 0 < value <= MAX_UINT32:
        raise ValueError(f'{value!r} is negative or too large')
    return float(value)


def _require_string(value: Any) -> str:
    if not is_text(value):
        raise ValueError(f'{value!r} is not a string')
    return str(value)


def _require_slots(value: Any) -> int:
    if _require_uint32(value) <= 0:
        raise ValueError(f'{value!r} is not positive')
    return int(value)


def _require_address(value: Any) -> str:
    if not isinstance(value, str) or not is_address(value):
        raise ValueError(f'{value!r} is not an address of the form host:port')
    return value
