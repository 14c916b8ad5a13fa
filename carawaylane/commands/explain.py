"""Explains from the log lines of all nodes why a request ended as it did."""

from __future__ import annotations

from json import JSONDecodeError, loads
from typing import TYPE_CHECKING, Any

from attrs import frozen

from carawaylane.messages.outcomes import Problem
from carawaylane.platform.boot import parse_boot_file
from carawaylane.telemetry.events import (
    QUOTA_EXCEEDED,
    REQUEST_ENDED,
    REQUEST_GRANTED,
    REQUEST_QUEUED,
    REQUEST_REFUSED,
    TARGET_RESULT,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from pathlib import Path

    from carawaylane.settings.gateway import GatewaySettings

Row = dict[str, Any]
# Fields that the details of a table row leave out.
NON_DETAIL_FIELDS = ('level', 'event', 'name', 'request', 'time')


@frozen(kw_only=True)
class Explanation:
    """The events logged about a request, by time, and the cause of its end."""

    rows: tuple[Row, ...]
    cause: str

    def table(self) -> list[Row]:
        """Return the events as rows of a table."""
        return [
            {
                'time': row.get('time', ''),
                'event': row.get('name', ''),
                'details': {
                    key: value
                    for key, value in row.items()
                    if key not in NON_DETAIL_FIELDS and value not in ('', None)
                },
            }
            for row in self.rows
        ]


def explain_request(
    request_id: str, lines: Iterable[str]
) -> Explanation | Problem:
    """Find the events of a request in log lines and name the cause of its end.

    A line may have a prefix before its JSON object. Lines without such an
    object are skipped.
    """
    rows = [
        row
        for line in lines
        if request_id in line
        and (row := parse_log_line(line)) is not None
        and row.get('request') == request_id
    ]
    if not rows:
        return Problem(
            place=request_id,
            reason='no log line has this request id; either lines were left '
            'out (see left_out and dropped) or the log of a node is missing',
        )
    rows.sort(key=lambda row: row.get('time', 0))
    return Explanation(rows=tuple(rows), cause=_describe_cause(rows))


def check_settings_file(path: Path) -> GatewaySettings | Problem:
    """Read the settings file of a gateway node, as the platform writes it."""
    try:
        return parse_boot_file(path.read_text())
    except (OSError, UnicodeDecodeError) as exc:
        return Problem(place=str(path), reason=str(exc))


def parse_log_line(line: str) -> Row | None:
    """Return the JSON object in a log line; None if the line has none."""
    start = line.find('{')
    if start < 0:
        return None
    try:
        row = loads(line[start:])
    except JSONDecodeError:
        return None
    return row if isinstance(row, dict) else None


def _describe_cause(rows: list[Row]) -> str:
    end_event = _last_event(rows, REQUEST_ENDED.number)
    if end_event is None:
        return (
            'no entry logged the end: the request is still in flight, or '
            'its entry crashed'
        )
    status = end_event['status']
    for matches_status, describe in _DESCRIPTIONS:
        if matches_status(status):
            return describe(rows, end_event)
    return f'answered with status {status}'


def _last_event(rows: list[Row], event: int) -> Row | None:
    events = [row for row in rows if row.get('event') == event]
    return events[-1] if events else None


_DESCRIPTIONS: list[
    tuple[Callable[[int], bool], Callable[[list[Row], Row], str]]
] = []


def _describes(*statuses: int) -> Callable[[Any], Any]:
    """Register a description of requests that ended with given statuses.

    The first registered description that matches is used. Without statuses,
    it matches all.
    """

    def register(func: Callable[[list[Row], Row], str]) -> Any:
        _DESCRIPTIONS.append(
            (lambda status: not statuses or status in statuses, func)
        )
        return func

    return register


@_describes(0)
def _caller_disconnected(rows: list[Row], end_event: Row) -> str:
    return f'the caller closed the connection after {end_event["took_ms"]} ms'


@_describes(404)
def _no_route(rows: list[Row], end_event: Row) -> str:
    version = end_event.get('version')
    return f'no route matched in version {version} of the configuration'


@_describes(400, 408, 413)
def _rejected(rows: list[Row], end_event: Row) -> str:
    return f'the entry rejected the request: {end_event["reason"]}'


@_describes(401)
def _no_customer(rows: list[Row], end_event: Row) -> str:
    version = end_event.get('version')
    return (
        f'the request did not run; {end_event["reason"]} in version {version} '
        'of the configuration'
    )


@_describes(429)
def _over_quota(rows: list[Row], end_event: Row) -> str:
    refusal = _last_event(rows, QUOTA_EXCEEDED.number)
    if refusal is None:
        return _not_run(rows, end_event)
    if not refusal['limit']:
        return (
            'the request did not run; no node could decide on the quota of '
            f'customer {refusal["customer"]}'
        )
    return (
        f'the request did not run; customer {refusal["customer"]} exceeds its '
        f'quota: its home admitted {refusal["admitted"]} requests in the '
        f'present and the last window, and {refusal["limit"]} are allowed in '
        f'each; it may come back after {refusal["retry_after_ms"]} ms'
    )


@_describes(503)
def _not_run(rows: list[Row], end_event: Row) -> str:
    refusal = _last_event(rows, REQUEST_REFUSED.number)
    shed_results = [row for row in rows if row.get('result') == 'SHED']
    parts = ['the request did not run']
    if shed_results:
        names = ', '.join(str(row['target']) for row in shed_results)
        parts.append(f'shed by {names}')
    if refusal is not None:
        parts.append(
            f'the home refused it ({refusal["reason"]}; '
            f'{refusal["waiting"]} waiting, {refusal["left_ms"]} ms left)'
        )
    elif end_event['reason']:
        parts.append(end_event['reason'])
    return '; '.join(parts)


@_describes(502, 504)
def _may_have_run(rows: list[Row], end_event: Row) -> str:
    target_result = _last_event(rows, TARGET_RESULT.number)
    if target_result is None:
        return f'the request ended without a target: {end_event["reason"]}'
    if target_result['result'] == 'ERRORED':
        return (
            f'target {target_result["target"]} itself answered with an error'
        )
    failure = {
        'OVERDUE': f'gave no answer within {target_result["took_ms"]} ms',
        'UNREACHED': 'could not be reached',
    }.get(target_result['result'], f'broke off: {target_result["reason"]}')
    return (
        f'target {target_result["target"]} {failure}; the request may have '
        'run. When the target was chosen, its estimated risk of failure was '
        f'{target_result["risk"]}' + _describe_hedge(rows)
    )


def _describe_hedge(rows: list[Row]) -> str:
    """Explain why a hedge, a parallel second attempt, was not sent.

    Return an empty text if none was asked for, or if it was sent.
    """
    hedge_events = [row for row in rows if row.get('turn') == 'HEDGE']
    if not hedge_events or hedge_events[-1]['event'] == REQUEST_GRANTED.number:
        return ''
    last_hedge = hedge_events[-1]
    if last_hedge['event'] == REQUEST_QUEUED.number:
        return (
            '. A hedge to a second target was still queued when it ended '
            f'({last_hedge["waiting"]} waiting, '
            f'{last_hedge["expect_ms"]} ms expected)'
        )
    refusals = sum(
        row['event'] == REQUEST_REFUSED.number for row in hedge_events
    )
    return (
        f'. A hedge to a second target was refused {refusals} times, '
        f'last because: {last_hedge["reason"]} '
        f'({last_hedge["waiting"]} waiting)'
    )


@_describes()
def _answered(rows: list[Row], end_event: Row) -> str:
    grant = _last_event(rows, REQUEST_GRANTED.number)
    was_queued = _last_event(rows, REQUEST_QUEUED.number) is not None
    target = grant['target'] if grant else 'unknown'
    text = f'target {target} answered {end_event["status"]}'
    return text + (' after a wait in the queue' if was_queued else '')
