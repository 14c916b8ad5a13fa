"""HTTP headers that callers and targets of the platform use."""

from __future__ import annotations

from math import isfinite
from typing import TYPE_CHECKING

from attrs import frozen

from carawaylane.messages.outcomes import InvalidRateLimit, RateLimit

if TYPE_CHECKING:
    from collections.abc import Mapping

READY_PATH = '/ready'
REQUEST_ID_HEADER = 'Request-Id'
# The time in ms that is left, although the name suggests a point in time.
TIME_LEFT_HEADER = 'Deadline-Ms'
TARGET_HEADER = 'Target-Instance'
NOT_RUN_HEADER = 'Not-Executed'
RETRY_AFTER_HEADER = 'Retry-After'
# Requests per second that the target takes from all nodes together.
RATE_LIMIT_HEADER = 'Server-Limit'
# Misdirected Request: another target now has the address.
MISDIRECTED_STATUS = 421


@frozen(kw_only=True)
class RequestHeaders:
    """Values of the platform's headers in a caller's request."""

    request_id: str
    # Time until the caller gives up, None if the header is missing.
    time_left_s: float | None


@frozen(kw_only=True)
class ResponseHeaders:
    """Values of the platform's headers in a target's answer.

    `not_run` means that the target did not run the request. If it is
    `misdirected`, another target now has the address. `rate_limit` is
    what the answer says of the requests that the target takes.
    """

    request_id: str
    not_run: bool
    misdirected: bool
    rate_limit: RateLimit


def request_id_of(headers: Mapping[str, str]) -> str:
    """Return the id that the caller gave its request, or an empty string."""
    return headers.get(REQUEST_ID_HEADER, '')


def read_request_headers(headers: Mapping[str, str]) -> RequestHeaders | None:
    """Parse a caller's headers; None if the time left is not valid."""
    text = headers.get(TIME_LEFT_HEADER)
    if text is None:
        return RequestHeaders(
            request_id=headers.get(REQUEST_ID_HEADER, ''), time_left_s=None
        )
    try:
        time_left_s = float(text) / 1000
    except ValueError:
        return None
    if not 0 <= time_left_s < float('inf'):
        return None
    return RequestHeaders(
        request_id=headers.get(REQUEST_ID_HEADER, ''), time_left_s=time_left_s
    )


def read_response_headers(
    status: int, headers: Mapping[str, str]
) -> ResponseHeaders:
    """Parse the status and headers of a target's answer."""
    return ResponseHeaders(
        request_id=headers.get(REQUEST_ID_HEADER, ''),
        not_run=NOT_RUN_HEADER in headers or status == MISDIRECTED_STATUS,
        misdirected=status == MISDIRECTED_STATUS,
        rate_limit=_read_rate_limit(headers.get(RATE_LIMIT_HEADER)),
    )


def _read_rate_limit(text: str | None) -> RateLimit:
    if text is None:
        return None
    try:
        rate_limit_per_s = float(text)
    except ValueError:
        return InvalidRateLimit(text=text)
    if not isfinite(rate_limit_per_s) or rate_limit_per_s < 0:
        return InvalidRateLimit(text=text)
    return rate_limit_per_s


def target_request_headers(
    time_left_s: float, target: str
) -> list[tuple[str, str]]:
    """Return the headers that the fleet sets on a request to a target."""
    return [
        (TIME_LEFT_HEADER, str(max(1, int(time_left_s * 1000)))),
        (TARGET_HEADER, target),
    ]


def retry_after_headers(retry_after_s: float) -> dict[str, str]:
    """Return the header with the delay before a retry, at least 0.01 s."""
    return {RETRY_AFTER_HEADER: f'{max(0.01, retry_after_s):.2f}'}


# Set by the fleet, so that those of a caller are never passed on; lower case.
FLEET_HEADERS = frozenset({TIME_LEFT_HEADER.lower(), TARGET_HEADER.lower()})
