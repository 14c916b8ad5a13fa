"""HTTP headers that callers and targets of the platform use."""

from __future__ import annotations

from math import ceil, isfinite
from typing import TYPE_CHECKING

from attrs import frozen

from carawaylane.decisions.targets.rate_limits import MAX_RATE_PER_S
from carawaylane.messages.outcomes import Backpressure, InvalidNumber

if TYPE_CHECKING:
    from collections.abc import Mapping

    from multidict import MultiMapping

    from carawaylane.messages.outcomes import Headers

READY_PATH = '/ready'
REQUEST_ID_HEADER = 'Request-Id'
# The time in ms that is left, although the name suggests a point in time.
TIME_LEFT_HEADER = 'Deadline-Ms'
TARGET_HEADER = 'Target-Instance'
NOT_RUN_HEADER = 'Not-Executed'
# In each success of a target; lower case.
SEAL_NAME = 'response-seal'
KEY_HEADER = 'Authorization'
KEY_SCHEME = 'bearer'
# The name of the customer that sent a request, for the target.
CUSTOMER_HEADER = 'Tenant'
RETRY_AFTER_HEADER = 'Retry-After'
# Requests per second that the target takes from all nodes together.
RATE_LIMIT_HEADER = 'Server-Limit'
# Set in all answers of a target that is about to stop.
LEAVING_HEADER = 'Server-Leaving'
NOT_LEAVING_VALUE = '0'
SERVICE_UNAVAILABLE_STATUS = 503
# Of an answer that says that the target did not run the request.
REFUSAL_STATUSES = frozenset({400, 408, 421, 429, 503})
# Callers take these for the promise that their request did not run.
PROMISE_STATUSES = frozenset({408, 421, 429, 503})
# Misdirected Request: another target now has the address.
MISDIRECTED_STATUS = 421


@frozen(kw_only=True, repr=False)
class RequestHeaders:
    """Values of the platform's headers in a caller's request."""

    request_id: str
    # Time until the caller gives up, None if the header is missing.
    time_left_s: float | None


@frozen(kw_only=True, repr=False)
class ResponseHeaders:
    """Values of the platform's headers in a target's answer.

    `not_run` means that the target did not run the request. If it is
    `misdirected`, another target now has the address. `backpressure` is
    what the answer says of the requests that the target takes.
    `contradiction` says how the answer contradicts itself, if it does.
    """

    request_ids: tuple[str, ...]
    not_run: bool
    misdirected: bool
    contradiction: str
    backpressure: Backpressure


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


def answered_ids(headers: MultiMapping[str]) -> list[str]:
    """Return the ids of requests that a target's answer bears."""
    return headers.getall(REQUEST_ID_HEADER, [])


def is_refusal(status: int, headers: MultiMapping[str]) -> bool:
    """Return whether a target says that it did not run a request."""
    return NOT_RUN_HEADER in headers or status == MISDIRECTED_STATUS


def lacks_seal(status: int, headers: Headers) -> bool:
    """Return whether an answer is a success that its target did not seal."""
    return 200 <= status < 300 and not any(
        name.lower() == SEAL_NAME and value.strip() for name, value in headers
    )


def read_response_headers(
    status: int, headers: MultiMapping[str]
) -> ResponseHeaders:
    """Parse the status and headers of a target's answer."""
    not_run = is_refusal(status, headers)
    contradiction = ''
    if not_run and status not in REFUSAL_STATUSES:
        contradiction = f'a refusal with status {status}'
    elif not not_run and status in PROMISE_STATUSES:
        contradiction = f'status {status} of a request that may have run'
    return ResponseHeaders(
        request_ids=tuple(answered_ids(headers)),
        contradiction=contradiction,
        not_run=not_run,
        misdirected=status == MISDIRECTED_STATUS,
        backpressure=_read_backpressure(status, headers),
    )


def _read_backpressure(
    status: int, headers: MultiMapping[str]
) -> Backpressure:
    rate_limit = headers.get(RATE_LIMIT_HEADER)
    pauses: list[str] = []
    if status == SERVICE_UNAVAILABLE_STATUS:
        pauses = headers.getall(RETRY_AFTER_HEADER, [])
    leaving = headers.get(LEAVING_HEADER, NOT_LEAVING_VALUE)
    return Backpressure(
        rate_limit=None if rate_limit is None else _read_rate(rate_limit),
        pause_s=_longest_pause(pauses),
        leaving=leaving.strip() != NOT_LEAVING_VALUE,
    )


def _read_rate(text: str) -> float | InvalidNumber | None:
    """Return a rate, None if it is so high that it limits nothing."""
    number = _read_number(text)
    if isinstance(number, float) and number > MAX_RATE_PER_S:
        return None
    return number


def _longest_pause(texts: list[str]) -> float | InvalidNumber:
    """Return the longest of the pauses that can be read, if any can."""
    numbers = [_read_number(text) for text in texts]
    pauses_s = [number for number in numbers if isinstance(number, float)]
    if numbers and not pauses_s:
        return numbers[0]
    return max(pauses_s, default=0.0)


def _read_number(text: str) -> float | InvalidNumber:
    try:
        number = float(text)
    except ValueError:
        return InvalidNumber(text=text)
    if not isfinite(number) or number < 0:
        return InvalidNumber(text=text)
    return number


def target_request_headers(
    time_left_s: float, target: str
) -> list[tuple[str, str]]:
    """Return the headers that the fleet sets on a request to a target."""
    return [
        (TIME_LEFT_HEADER, str(max(1, int(time_left_s * 1000)))),
        (TARGET_HEADER, target),
    ]


def retry_after_headers(retry_after_s: float) -> dict[str, str]:
    """Return the header with the delay before a retry, at least 0.01 s.

    It is rounded up, since a caller that comes too early is refused again.
    """
    delay_s = max(1, ceil(retry_after_s * 100)) / 100
    return {RETRY_AFTER_HEADER: f'{delay_s:.2f}'}


# Set by the fleet, so that those of a caller are never passed on; lower case.
FLEET_HEADERS = frozenset({TIME_LEFT_HEADER.lower(), TARGET_HEADER.lower()})
# Not passed on either if there are customers.
CUSTOMER_HEADERS = frozenset({KEY_HEADER.lower(), CUSTOMER_HEADER.lower()})


def read_key(headers: MultiMapping[str]) -> str | None:
    """Return the key in a caller's headers, None if there is not just one."""
    values = headers.getall(KEY_HEADER, [])
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(' ')
    key = key.strip()
    if scheme.lower() != KEY_SCHEME or not key or ' ' in key:
        return None
    return key


def customer_headers(customer: str) -> tuple[tuple[str, str], ...]:
    """Return the header that tells a target whose request it gets."""
    return ((CUSTOMER_HEADER, customer),)


def is_header_value(text: str) -> bool:
    """Return whether a text can be the whole value of a header."""
    return text.isprintable() and text == text.strip() and 0 < len(text) <= 256
