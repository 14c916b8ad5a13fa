"""What the entry reads from the headers of callers' requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaylane.services.target_headers import HOP_BY_HOP_HEADERS

if TYPE_CHECKING:
    from aiohttp import web

    from carawaylane.config.schema import TrafficKind

TIMEOUT_HEADER = 'X-Timeout-Ms'
KEY_HEADER = 'Idempotency-Key'
MAX_KEY_CHARS = 200
# Request headers that are meant for the entry or that nodes set themselves.
# They are not forwarded from the caller.
UNFORWARDED_HEADERS = frozenset(
    {
        'x-request-id',
        'x-deadline',
        'idempotency-key',
        'x-timeout-ms',
        'traceparent',
        'x-caller',
        'expect',
    }
)


def is_valid_key(key: str) -> bool:
    """Return whether a key is short and printable."""
    return len(key) <= MAX_KEY_CHARS and key.isprintable()


def outcome_of_refusal(kind: TrafficKind, http_req: web.Request) -> str:
    """Return the outcome to report if the entry refuses a request.

    It is unknown if the request has a key, as an earlier attempt with the
    same key may have run.
    """
    key = http_req.headers.get(KEY_HEADER, '')
    has_key = kind.unsafe and key != '' and is_valid_key(key)
    return 'unknown' if has_key else 'not-run'


def timeout_ms(http_req: web.Request, kind: TrafficKind) -> int | None:
    """Return the timeout of a request, None if its header is invalid.

    A caller can shorten the timeout of the traffic kind, not extend it.
    """
    text = http_req.headers.get(TIMEOUT_HEADER)
    if text is None:
        return kind.timeout_ms
    if not text.isdecimal() or int(text) <= 0:
        return None
    return min(int(text), kind.timeout_ms)


def forwarded_headers(http_req: web.Request) -> tuple[tuple[str, str], ...]:
    """Return the headers for the target."""
    return tuple(
        (name, value)
        for name, value in http_req.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in UNFORWARDED_HEADERS
    )
