"""Requests as they are sent to targets, and checks of their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from carawaylane.messages.outcomes import NO_BACKPRESSURE
from carawaylane.platform.headers import (
    answered_ids,
    lacks_seal,
    read_response_headers,
    target_request_headers,
)
from carawaylane.services.target_headers import HOP_BY_HOP_HEADERS
from carawaylane.services.targets import (
    BrokenExchange,
    CompleteAnswer,
    RefusedByTarget,
)

if TYPE_CHECKING:
    from carawaylane.messages.exchange import OutgoingRequest
    from carawaylane.messages.outcomes import Headers


FOREIGN_ANSWER = BrokenExchange(
    reason='an answer to another request', mismatched=True
)


def names_another(message: Any, request: OutgoingRequest) -> bool:
    """Return whether the head of an answer names another request."""
    return any(
        answer_id != request.request_id
        for answer_id in answered_ids(message.headers)
    )


def check_answer(
    message: Any, body: bytes, request: OutgoingRequest
) -> CompleteAnswer | RefusedByTarget | BrokenExchange:
    """Return the result of an exchange that ended with a complete answer."""
    headers = read_response_headers(message.code, message.headers)
    expected_ids = {request.request_id} if request.request_id else set()
    names_request = set(headers.request_ids) == expected_ids
    if headers.contradiction:
        return BrokenExchange(
            reason=headers.contradiction,
            mismatched=True,
            backpressure=headers.backpressure
            if names_request
            else NO_BACKPRESSURE,
        )
    if headers.not_run and names_request:
        return RefusedByTarget(
            leaving=False,
            deadline_passed=False,
            misdirected=headers.misdirected,
            backpressure=NO_BACKPRESSURE
            if headers.misdirected
            else headers.backpressure,
        )
    # Targets echo the request id and don't encode their answers, so another
    # answer was not sent by the target.
    if (
        not names_request
        or not headers.request_ids
        or 'Content-Encoding' in message.headers
    ):
        return BrokenExchange(
            reason='not an answer to the request', mismatched=True
        )
    forwarded_headers = _forwarded_headers(message)
    if lacks_seal(message.code, forwarded_headers):
        return BrokenExchange(
            reason='a success without a seal',
            mismatched=True,
            backpressure=headers.backpressure,
        )
    return CompleteAnswer(
        status=message.code,
        headers=forwarded_headers,
        body=body,
        backpressure=headers.backpressure,
    )


def request_head(
    request: OutgoingRequest, target: str, time_left_s: float
) -> bytes:
    """Return the request line and headers; the path is not normalized."""
    lines = [f'{request.method} {request.path} HTTP/1.1']
    lines += [
        f'{name}: {value}'
        for name, value in request.headers
        if name.lower() in ('host', 'content-encoding')
        or name.lower() not in HOP_BY_HOP_HEADERS
    ]
    lines += [
        f'{name}: {value}'
        for name, value in target_request_headers(time_left_s, target)
    ]
    if request.body_bytes or request.method not in (
        'GET',
        'HEAD',
        'OPTIONS',
        'DELETE',
    ):
        lines.append(f'Content-Length: {request.body_bytes}')
    text = '\r\n'.join(lines) + '\r\n\r\n'
    return text.encode('utf-8', 'surrogateescape')


def _forwarded_headers(message: Any) -> Headers:
    connection = message.headers.get('Connection', '').lower()
    hop_headers = {name.strip() for name in connection.split(',')}
    # A target may put a space behind a name, which a proxy removes.
    return tuple(
        (name, value)
        for spaced_name, value in message.headers.items()
        if (name := spaced_name.rstrip()).lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in hop_headers
    )
