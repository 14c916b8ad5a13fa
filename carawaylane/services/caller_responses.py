"""Responses to callers: headers, and answers that are of no target."""

from __future__ import annotations

from math import ceil

from aiohttp import web
from attrs import frozen

from carawaylane.messages.outcomes import (
    Failed,
    Headers,
    Moved,
    NotRun,
    Outcome,
    Unknown,
)

OUTCOME_HEADER = 'Carawaylane-Outcome'
PROBLEM_CONTENT_TYPE = 'application/problem+json'


@frozen(kw_only=True)
class ProblemAnswer:
    """An answer that the entry gives itself, as there is none of a target.

    It is sent as problem details (RFC 9457). `outcome` tells the caller
    whether the request may have run: not-run, unknown or failed.
    """

    status: int
    reason: str
    retry_after_ms: int = 0
    outcome: str = 'not-run'


def problem_response(problem: ProblemAnswer, request_id: str) -> web.Response:
    """Return the HTTP response for a problem."""
    details = {
        'type': f'urn:carawaylane:{problem.outcome}',
        'title': problem.outcome,
        'status': problem.status,
        'detail': problem.reason,
        'outcome': problem.outcome,
        'request_id': request_id,
    }
    headers = {
        OUTCOME_HEADER: problem.outcome,
        'X-Request-Id': request_id,
    }
    if problem.retry_after_ms > 0:
        details['retry_after_ms'] = problem.retry_after_ms
        headers['Retry-After'] = str(ceil(problem.retry_after_ms / 1000))
    return web.json_response(
        details,
        status=problem.status,
        headers=headers,
        content_type=PROBLEM_CONTENT_TYPE,
    )


def problem_of(outcome: Outcome) -> ProblemAnswer:
    """Return the answer for an outcome without an answer of a target."""
    match outcome:
        case NotRun():
            return ProblemAnswer(
                status=outcome.status,
                reason=outcome.reason,
                retry_after_ms=outcome.retry_after_ms,
            )
        case Unknown():
            return ProblemAnswer(
                status=504,
                reason=outcome.reason,
                retry_after_ms=outcome.retry_after_ms,
                outcome='unknown',
            )
        case Failed():
            return ProblemAnswer(
                status=502,
                reason=outcome.reason,
                retry_after_ms=outcome.retry_after_ms,
                outcome='failed',
            )
        case Moved() | _:
            return ProblemAnswer(
                status=504,
                reason='the owner of the key moved; this attempt did not run',
                retry_after_ms=1000,
                outcome='unknown',
            )


def response_headers(headers: Headers, request_id: str) -> dict[str, str]:
    """Return the headers of a target's answer for the caller."""
    kept = {
        name: value
        for name, value in headers
        if name.lower() not in ('x-request-id', 'date', 'server')
    }
    kept['X-Request-Id'] = request_id
    return kept
