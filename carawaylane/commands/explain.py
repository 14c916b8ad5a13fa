"""Why a request ended as it did, from the log lines of all nodes."""

from __future__ import annotations

from json import JSONDecodeError, loads
from typing import TYPE_CHECKING, Any

from attrs import frozen

from carawaylane.messages.outcomes import Problem
from carawaylane.platform.boot import read_boot
from carawaylane.telemetry.events import (
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
HIDDEN = ('level', 'event', 'name', 'request', 'time')


@frozen(kw_only=True)
class Explanation:
    """The lines about a request by time, and the cause of its end."""

    rows: tuple[Row, ...]
    cause: str

    def table(self) -> list[Row]:
        """Return the lines for people to read."""
        return [
            {
                'time': row.get('time', ''),
                'event': row.get('name', ''),
                'details': {
                    key: value
                    for key, value in row.items()
                    if key not in HIDDEN and value not in ('', None)
                },
            }
            for row in self.rows
        ]


def explain_request(
    request_id: str, lines: Iterable[str]
) -> Explanation | Problem:
    """Return what log lines say of a request.

    Lines may have something before their JSON object; others are skipped.
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
            reason='no line names this request; were lines left out '
            '(left_out, dropped), or is a log of a node missing?',
        )
    rows.sort(key=lambda row: row.get('time', 0))
    return Explanation(rows=tuple(rows), cause=_cause(rows))


def check_boot(path: Path) -> GatewaySettings | Problem:
    """Return the settings in a file of the platform, or what is wrong."""
    try:
        return read_boot(path.read_text())
    except (OSError, UnicodeDecodeError) as exc:
        return Problem(place=str(path), reason=str(exc))


def parse_log_line(line: str) -> Row | None:
    """Return the event of a line of logs; None if it holds none."""
    start = line.find('{')
    if start < 0:
        return None
    try:
        found = loads(line[start:])
    except JSONDecodeError:
        return None
    return found if isinstance(found, dict) else None


def _cause(rows: list[Row]) -> str:
    ended = _last(rows, REQUEST_ENDED.number)
    if ended is None:
        return 'no entry logged its end: it still runs, or its entry died'
    status = ended['status']
    for fits, sentence in _CAUSES:
        if fits(status):
            return sentence(rows, ended)
    return f'answered with status {status}'


def _last(rows: list[Row], event: int) -> Row | None:
    found = [row for row in rows if row.get('event') == event]
    return found[-1] if found else None


_CAUSES: list[
    tuple[Callable[[int], bool], Callable[[list[Row], Row], str]]
] = []


def _cause_of(*statuses: int) -> Callable[[Any], Any]:
    """Register the sentence for some statuses; none fits every one."""

    def register(func: Callable[[list[Row], Row], str]) -> Any:
        _CAUSES.append(
            (lambda status: not statuses or status in statuses, func)
        )
        return func

    return register


@_cause_of(0)
def _left(rows: list[Row], ended: Row) -> str:
    return f'the caller left after {ended["took_ms"]} ms'


@_cause_of(404)
def _no_route(rows: list[Row], ended: Row) -> str:
    version = ended.get('version')
    return f'no route matched in version {version} of the configuration'


@_cause_of(400, 408, 413)
def _bad_request(rows: list[Row], ended: Row) -> str:
    return f'the entry did not accept it: {ended["reason"]}'


@_cause_of(503, 429)
def _not_run(rows: list[Row], ended: Row) -> str:
    refused = _last(rows, REQUEST_REFUSED.number)
    shed = [row for row in rows if row.get('result') == 'SHED']
    parts = ['it did not run']
    if shed:
        names = ', '.join(str(row['target']) for row in shed)
        parts.append(f'shed by {names}')
    if refused is not None:
        parts.append(
            f'the home refused it ({refused["reason"]}; '
            f'{refused["waiting"]} waiting, {refused["left_ms"]} ms left)'
        )
    elif ended['reason']:
        parts.append(ended['reason'])
    return '; '.join(parts)


@_cause_of(502, 504)
def _unknown(rows: list[Row], ended: Row) -> str:
    sent = _last(rows, TARGET_RESULT.number)
    if sent is None:
        return f'it ended without a target: {ended["reason"]}'
    if sent['result'] == 'ERRORED':
        return f'target {sent["target"]} answered with an error of its own'
    what = {
        'OVERDUE': f'gave no answer within {sent["took_ms"]} ms',
        'UNREACHED': 'could not be reached',
    }.get(sent['result'], f'broke off: {sent["reason"]}')
    return (
        f'target {sent["target"]} {what}; it may have run. When it was '
        f'chosen, the chance that it fails was put at {sent["risk"]}'
        + _hedges(rows)
    )


def _hedges(rows: list[Row]) -> str:
    """Return why no second target was asked, if that is logged."""
    asked = [row for row in rows if row.get('turn') == 'HEDGE']
    if not asked or asked[-1]['event'] == REQUEST_GRANTED.number:
        return ''
    last = asked[-1]
    if last['event'] == REQUEST_QUEUED.number:
        return (
            '. The ask for a second target was still queued when it ended '
            f'({last["waiting"]} waiting, {last["expect_ms"]} ms expected)'
        )
    count = sum(row['event'] == REQUEST_REFUSED.number for row in asked)
    return (
        f'. A second target was asked for {count} times, the last '
        f'time refused: {last["reason"]} ({last["waiting"]} waiting)'
    )


@_cause_of()
def _answered(rows: list[Row], ended: Row) -> str:
    granted = _last(rows, REQUEST_GRANTED.number)
    waited = _last(rows, REQUEST_QUEUED.number) is not None
    target = granted['target'] if granted else 'unknown'
    text = f'target {target} answered {ended["status"]}'
    return text + (' after a wait in the queue' if waited else '')
