"""Headers that callers and targets of the platform use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Mapping

READY_PATH = '/ready'
REQUEST_ID = 'Request-Id'
# Milliseconds that are left, although the name suggests a point in time.
TIME_LEFT = 'Deadline-Ms'
TARGET = 'Target-Instance'
NOT_RUN = 'Not-Executed'
RETRY_AFTER = 'Retry-After'
MISDIRECTED = 421


@frozen(kw_only=True)
class RequestHeaders:
    """What a caller's headers say of its request."""

    request_id: str
    time_left_s: float | None


@frozen(kw_only=True)
class ResponseHeaders:
    """What a target's headers say of its answer."""

    request_id: str
    not_run: bool
    misdirected: bool


def request_id_of(headers: Mapping[str, str]) -> str:
    """Return the id that a caller gave its request, or nothing."""
    return headers.get(REQUEST_ID, '')


def read_request_headers(headers: Mapping[str, str]) -> RequestHeaders | None:
    """Return what the headers say; None if the time left is no number."""
    text = headers.get(TIME_LEFT)
    if text is None:
        return RequestHeaders(
            request_id=headers.get(REQUEST_ID, ''), time_left_s=None
        )
    try:
        left_s = float(text) / 1000
    except ValueError:
        return None
    if not 0 <= left_s < float('inf'):
        return None
    return RequestHeaders(
        request_id=headers.get(REQUEST_ID, ''), time_left_s=left_s
    )


def read_response_headers(
    status: int, headers: Mapping[str, str]
) -> ResponseHeaders:
    """Return what the headers of an answer say."""
    return ResponseHeaders(
        request_id=headers.get(REQUEST_ID, ''),
        not_run=NOT_RUN in headers or status == MISDIRECTED,
        misdirected=status == MISDIRECTED,
    )


def target_request_headers(
    left_s: float, target: str
) -> list[tuple[str, str]]:
    """Return the headers that the fleet sets on a request to a target."""
    return [
        (TIME_LEFT, str(max(1, int(left_s * 1000)))),
        (TARGET, target),
    ]


def retry_after_headers(retry_after_s: float) -> dict[str, str]:
    """Return the headers that tell a caller when to come back."""
    return {RETRY_AFTER: f'{max(0.01, retry_after_s):.2f}'}


# Set by the fleet, so never passed on as a caller sent them.
FLEET_HEADERS = frozenset({TIME_LEFT.lower(), TARGET.lower()})
