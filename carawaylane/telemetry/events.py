"""Numbered log events; docs/user/events.md is their catalogue."""

from __future__ import annotations

import logging as std_logging
from json import dumps
from typing import Any

from absl import logging
from absl.flags import FLAGS
from absl.logging import converter
from attrs import frozen

from carawaylane.telemetry.log_writer import StdoutHandler


@frozen(kw_only=True)
class Event:
    """A kind of log line: its number, name and level."""

    number: int
    name: str
    level: int
    meaning: str


EVENTS: dict[int, Event] = {}


def _event(number: int, name: str, level: int, meaning: str) -> Event:
    if number in EVENTS:
        raise ValueError(f'event {number} is declared twice')
    found = Event(number=number, name=name, level=level, meaning=meaning)
    EVENTS[number] = found
    return found


_INFO = logging.INFO
_WARN = logging.WARNING
_ERROR = logging.ERROR

NODE_STARTED = _event(100, 'node-started', _INFO, 'The node is ready.')
NODE_DRAINING = _event(
    101, 'node-draining', _INFO, 'The node finishes its work before a stop.'
)
NODE_STOPPED = _event(102, 'node-stopped', _INFO, 'The node has stopped.')
TASK_FAILED = _event(
    103, 'task-failed', _ERROR, 'An invariant broke; the node stops.'
)
JOINED = _event(110, 'joined', _INFO, 'The node is a member of the fleet.')
MEMBER_DOWN = _event(
    111, 'member-down', _WARN, 'A member answers nobody; traffic avoids it.'
)
MEMBER_EVICTED = _event(
    112, 'member-evicted', _WARN, 'The list of hosts shows a member gone.'
)
CONFIG_IN_FORCE = _event(
    200, 'config-in-force', _INFO, 'A version of the configuration took over.'
)
PLATFORM_DOWN = _event(
    210, 'platform-down', _WARN, 'The object API does not answer.'
)
PLATFORM_UP = _event(211, 'platform-up', _INFO, 'The object API is back.')
SNAPSHOT_WRITTEN = _event(
    212, 'snapshot-written', _INFO, 'A log was compacted on the platform.'
)
SHARD_CLAIMED = _event(
    300, 'shard-claimed', _INFO, 'The node owns a shard under a new epoch.'
)
SHARD_PROVEN = _event(
    301, 'shard-proven', _INFO, 'Every entry promised: fresh keys run again.'
)
SHARD_RELEASED = _event(
    302, 'shard-released', _INFO, 'A shard was handed over to another node.'
)
SHARD_LOST = _event(
    303, 'shard-lost', _WARN, 'Another node owns a shard by a newer epoch.'
)
TARGET_STANDING = _event(
    400, 'target-standing', _WARN, 'A target entered or left service.'
)
REQUEST_POISONOUS = _event(
    401, 'request-poisonous', _WARN, 'A request that crashes targets is held.'
)
ANSWER_REJECTED = _event(
    402, 'answer-rejected', _WARN, 'A truncated or crossed answer was refused.'
)
RPC_FAILED = _event(500, 'rpc-failed', _INFO, 'A call to another node failed.')
LINK_OPEN = _event(501, 'link-open', _INFO, 'A stream to a home opened.')
LINK_LOST = _event(
    502, 'link-lost', _WARN, 'A stream or a call to another node broke.'
)
HOME_SILENT = _event(
    503, 'home-silent', _WARN, 'A home did not reply; it is avoided a while.'
)
SETTINGS_READ = _event(
    104, 'settings-read', _INFO, 'The settings file was read again.'
)
SETTINGS_BAD = _event(
    105, 'settings-bad', _ERROR, 'The settings file is wrong; it is not used.'
)
MEMBERS_MOVED = _event(
    113, 'members-moved', _INFO, 'The list of nodes changed.'
)
TARGETS_MOVED = _event(
    201, 'targets-moved', _INFO, 'The list of targets changed.'
)
ENTRY_UNREADABLE = _event(
    202, 'entry-unreadable', _WARN, 'An object could not be read; not used.'
)
WATCH_DUTY = _event(
    213, 'watch-duty', _INFO, 'The node begins or ends to watch the store.'
)
HISTORY_EXPIRED = _event(
    214, 'history-expired', _WARN, 'The store dropped history; lists again.'
)
REQUEST_GRANTED = _event(
    600, 'request-granted', _INFO, 'A home chose a target for a request.'
)
REQUEST_QUEUED = _event(
    601, 'request-queued', _INFO, 'A home lets a request wait for a slot.'
)
REQUEST_REFUSED = _event(
    602, 'request-refused', _WARN, 'A home granted an ask no target.'
)
TARGET_REPORT = _event(
    603, 'target-report', _INFO, 'A home learned how a request went.'
)
TARGET_RESULT = _event(
    604, 'target-result', _WARN, 'An entry got no answer from a target.'
)
REQUEST_ENDED = _event(
    605, 'request-ended', _INFO, 'An entry answered a caller.'
)


class JsonFormatter(std_logging.Formatter):
    """One JSON object a line."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the line of a record."""
        row = {
            'time': round(record.created, 4),
            'level': record.levelname,
            'event': getattr(record, 'event', 0),
            'name': getattr(record, 'event_name', ''),
            **getattr(record, 'fields', {}),
        }
        if not row['event']:
            row['message'] = record.getMessage()
        for name in ('left_out', 'dropped'):
            if getattr(record, name, 0):
                row[name] = getattr(record, name)
        return dumps(row, default=str)


def setup_logging(*, as_json: bool, verbosity: str) -> None:
    """Send log lines to standard error, as text or as JSON."""
    # No flags of the log library are used; ours are read elsewhere.
    FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)
    logging.set_stderrthreshold(verbosity)
    if as_json:
        logging.get_absl_handler().setFormatter(JsonFormatter())


def log_to_stdout() -> StdoutHandler:
    """Send log lines to standard output as JSON; return their writer."""
    FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity('info')
    handler = StdoutHandler()
    handler.setFormatter(JsonFormatter())
    std_logging.getLogger().handlers = [handler]
    return handler


def dropped_lines() -> int:
    """Return how many lines a slow reader of standard output has cost."""
    return sum(
        each.dropped
        for each in std_logging.getLogger().handlers
        if isinstance(each, StdoutHandler)
    )


class _Fields:
    """Fields as text, made only if a line shows them."""

    def __init__(self, fields: dict[str, Any]) -> None:
        self._fields = fields

    def __str__(self) -> str:
        return ' '.join(f'{key}={val}' for key, val in self._fields.items())


@logging.skip_log_prefix
def emit(event: Event, *, failed: bool = False, **fields: Any) -> None:
    """Log an event with its fields; as a warning if something failed."""
    level = logging.WARNING if failed else event.level
    logging.get_absl_logger().log(
        converter.absl_to_standard(level),
        'CL%d %s %s',
        event.number,
        event.name,
        _Fields(fields),
        extra={
            'event': event.number,
            'event_name': event.name,
            'fields': fields,
        },
    )
