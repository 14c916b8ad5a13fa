"""Requests as they are sent to targets, and checks of their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from carawaylane.messages.outcomes import NO_BACKPRESSURE
from carawaylane.platform.headers import (
    read_response_headers,
    target_request_headers,
)
from carawaylane.services.targets import (
    HOP_BY_HOP_HEADERS,
    BrokenExchange,
    CompleteAnswer,
    RefusedByTarget,
)

if TYPE_CHECKING:
    from carawaylane.messages.exchange import OutgoingRequest
    from carawaylane.messages.outcomes import Headers


def check_answer(
    message: Any, body: bytes, request: OutgoingRequest, *, first: bool
) -> CompleteAnswer | RefusedByTarget | BrokenExchange:
    """Return the result of an exchange that ended with a complete answer.

    `first` says that the connection carried no other request. Its answer is
    then the request's own, even if it is a refusal without an id.
    """
    headers = read_response_headers(message.code, message.headers)
    names_request = set(headers.request_ids) == {request.request_id}
    if headers.contradiction:
        return BrokenExchange(reason=headers.contradiction, mismatched=True)
    if headers.not_run and (
        names_request or (first and not headers.request_ids)
    ):
        return RefusedByTarget(
            leaving=False,
            deadline_passed=False,
            misdirected=headers.misdirected,
            backpressure=headers.backpressure
            if names_request and not headers.misdirected
            else NO_BACKPRESSURE,
        )
    # Targets echo the request id and don't encode their answers, so another
    # answer was not sent by the target.
    if not names_request or 'Content-Encoding' in message.headers:
        return BrokenExchange(
            reason='not an answer to the request', mismatched=True
        )
    return CompleteAnswer(
        status=message.code,
        headers=_forwarded_headers(message),
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
    if request.body or request.method not in (
        'GET',
        'HEAD',
        'OPTIONS',
        'DELETE',
    ):
        lines.append(f'Content-Length: {len(request.body)}')
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
