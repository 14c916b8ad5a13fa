"""Log events with stable numbers, which docs/user/events.md lists."""

from __future__ import annotations

from logging import ERROR as _ERROR
from logging import INFO as _INFO
from logging import WARNING as _WARN
from logging import getLogger
from typing import TYPE_CHECKING, Any

from carawaylane.telemetry.event_types import declare_event as _declare_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawaylane.telemetry.event_types import Event

_LOGGER = getLogger('carawaylane')
_write_event: Callable[[int, str, int, dict[str, Any]], None] | None = None

NODE_STARTED = _declare_event(100, 'node-started', _INFO, 'The node is ready.')
NODE_DRAINING = _declare_event(
    101,
    'node-draining',
    _INFO,
    'The node finishes requests in flight before it stops.',
)
NODE_STOPPED = _declare_event(
    102, 'node-stopped', _INFO, 'The node has stopped.'
)
TASK_FAILED = _declare_event(
    103,
    'task-failed',
    _ERROR,
    'A task failed on a broken invariant; the node stops.',
)
JOINED = _declare_event(110, 'joined', _INFO, 'The node joined the fleet.')
MEMBER_DOWN = _declare_event(
    111,
    'member-down',
    _WARN,
    'A member does not answer pings; requests avoid it.',
)
MEMBER_EVICTED = _declare_event(
    112,
    'member-evicted',
    _WARN,
    'A member was removed: its host left the list of hosts.',
)
CONFIG_IN_FORCE = _declare_event(
    200,
    'config-in-force',
    _INFO,
    'A new version of the configuration is in force.',
)
PLATFORM_DOWN = _declare_event(
    210, 'platform-down', _WARN, 'The object API does not answer.'
)
PLATFORM_UP = _declare_event(
    211, 'platform-up', _INFO, 'The object API answers again.'
)
SNAPSHOT_WRITTEN = _declare_event(
    212,
    'snapshot-written',
    _INFO,
    'A change log on the platform was compacted.',
)
SHARD_CLAIMED = _declare_event(
    300, 'shard-claimed', _INFO, 'The node owns a shard under a new epoch.'
)
SHARD_PROVEN = _declare_event(
    301,
    'shard-proven',
    _INFO,
    'All entries made their promises; requests with new keys run again.',
)
SHARD_RELEASED = _declare_event(
    302, 'shard-released', _INFO, 'A shard was handed over to another node.'
)
SHARD_LOST = _declare_event(
    303, 'shard-lost', _WARN, 'Another node owns a shard under a newer epoch.'
)
TARGET_STANDING = _declare_event(
    400, 'target-standing', _WARN, 'A target was taken into or out of service.'
)
REQUEST_POISONOUS = _declare_event(
    401,
    'request-poisonous',
    _WARN,
    'A request that crashes targets was quarantined.',
)
TARGET_CRASHED = _declare_event(
    403,
    'target-crashed',
    _WARN,
    'An exchange broke, and nothing listens at the target any more.',
)
ANSWER_REJECTED = _declare_event(
    402,
    'answer-rejected',
    _WARN,
    'A truncated answer, or one to another request, was rejected.',
)
RPC_FAILED = _declare_event(
    500, 'rpc-failed', _INFO, 'A call to another node failed.'
)
LINK_OPEN = _declare_event(
    501, 'link-open', _INFO, 'A stream to a home was opened.'
)
LINK_LOST = _declare_event(
    502, 'link-lost', _WARN, 'A stream or a call to another node failed.'
)
HOME_SILENT = _declare_event(
    503,
    'home-silent',
    _WARN,
    'A home did not reply in time; requests avoid it for a while.',
)
SETTINGS_READ = _declare_event(
    104, 'settings-read', _INFO, 'The settings file was reloaded.'
)
SETTINGS_BAD = _declare_event(
    105,
    'settings-bad',
    _ERROR,
    'The settings file is invalid; the node keeps its old settings.',
)
MEMBERS_MOVED = _declare_event(
    113, 'members-moved', _INFO, 'The list of nodes changed.'
)
TARGETS_MOVED = _declare_event(
    201, 'targets-moved', _INFO, 'The list of targets changed.'
)
ENTRY_UNREADABLE = _declare_event(
    202,
    'entry-unreadable',
    _WARN,
    'An object of the store is invalid and is ignored.',
)
OUTAGE_ENDED = _declare_event(
    220,
    'outage-ended',
    _WARN,
    'The store was down; what it removed may have expired meanwhile.',
)
CHANGE_UNREADABLE = _declare_event(
    221,
    'change-unreadable',
    _WARN,
    'A change of a log, or a snapshot, is invalid and is passed over.',
)
WATCH_DUTY = _declare_event(
    213, 'watch-duty', _INFO, 'The node starts or stops watching the store.'
)
HISTORY_EXPIRED = _declare_event(
    214,
    'history-expired',
    _WARN,
    'The store dropped the history of a watch; the node lists again.',
)
STORE_RESTORED = _declare_event(
    215,
    'store-restored',
    _WARN,
    'The store came back from an older copy; objects are listed again.',
)
ERA_UNREADABLE = _declare_event(
    216,
    'era-unreadable',
    _WARN,
    'An answer of the store lacks a valid era; the last one is assumed.',
)
WRITE_REPEATED = _declare_event(
    217,
    'write-repeated',
    _INFO,
    'An own object that a restored store had lost was written again.',
)
BROADCAST_TAKEN_OVER = _declare_event(
    218,
    'broadcast-taken-over',
    _WARN,
    'A node did not reply to a broadcast; its part is sent by another one.',
)
PATCH_REFUSED = _declare_event(
    219,
    'patch-refused',
    _WARN,
    'A patch of a large object gave another text; the whole is fetched.',
)
REQUEST_GRANTED = _declare_event(
    600, 'request-granted', _INFO, 'A home chose a target for a request.'
)
REQUEST_QUEUED = _declare_event(
    601,
    'request-queued',
    _INFO,
    'A home queued a request until a slot is free.',
)
REQUEST_REFUSED = _declare_event(
    602,
    'request-refused',
    _WARN,
    'A home refused to choose a target for a request.',
)
TARGET_REPORT = _declare_event(
    603,
    'target-report',
    _INFO,
    'A home received the result of a request to a target.',
)
TARGET_RESULT = _declare_event(
    604, 'target-result', _WARN, 'An entry got no usable answer from a target.'
)
REQUEST_ENDED = _declare_event(
    605, 'request-ended', _INFO, 'An entry answered a caller.'
)
HOME_STARTED = _declare_event(
    606,
    'home-started',
    _INFO,
    'The node acts as a home of a service for the first time.',
)
HOME_TOLD = _declare_event(
    640,
    'home-told',
    _INFO,
    'An entry told a home what it learned of the targets of a service, and '
    'how many requests it has in flight there.',
)
RETRY_USAGE = _declare_event(
    607,
    'retry-usage',
    _INFO,
    'How many retries a home has granted in the window of the budget.',
)
RATE_LIMIT = _declare_event(
    608,
    'rate-limit',
    _WARN,
    'A target named, changed or lifted a limit on its requests.',
)
RATE_LIMIT_INVALID = _declare_event(
    609,
    'rate-limit-invalid',
    _WARN,
    'A limit that a target named is no number; the last one stays.',
)
LIMITED_SEND = _declare_event(
    610,
    'limited-send',
    _INFO,
    'An entry sends a request to a target that has named a limit to it.',
)
RATE_LIMIT_USAGE = _declare_event(
    611,
    'rate-limit-usage',
    _INFO,
    'How many requests a home has granted within the limit of a target.',
)
TARGET_LEAVING = _declare_event(
    612,
    'target-leaving',
    _WARN,
    'A target said in an answer that it is about to stop.',
)
TARGET_PAUSED = _declare_event(
    613,
    'target-paused',
    _WARN,
    'A target refused a request and asked this node for a pause.',
)
PAUSE_INVALID = _declare_event(
    614,
    'pause-invalid',
    _WARN,
    'A pause that a target asked for is no number; it is not kept.',
)
SEND_WITHHELD = _declare_event(
    615,
    'send-withheld',
    _WARN,
    'A request was not sent, as its target asked for no requests.',
)
ANSWER_DOUBTFUL = _declare_event(
    616,
    'answer-doubtful',
    _WARN,
    'The id of an answer does not tell which request it belongs to.',
)
QUOTA_EXCEEDED = _declare_event(
    620,
    'quota-exceeded',
    _WARN,
    'A customer exceeded its quota, so its request was not run.',
)
QUOTA_RIGHT_LENT = _declare_event(
    621,
    'quota-right-lent',
    _INFO,
    'The node lends its share of the quotas to another home.',
)
QUOTA_HOME_SILENT = _declare_event(
    622,
    'quota-home-silent',
    _WARN,
    'A home of quotas did not reply in time; it is avoided for a while.',
)
QUOTA_USAGE = _declare_event(
    623,
    'quota-usage',
    _INFO,
    'Requests of a customer that a home has admitted in a window.',
)
READER_CLOSED = _declare_event(
    641,
    'reader-closed',
    _WARN,
    'A caller that reads slowly was disconnected, as memory is short.',
)
PATHS_LOST = _declare_event(
    504,
    'paths-lost',
    _WARN,
    'The node reaches no target, but peers do; they send its requests.',
)
PATHS_BACK = _declare_event(
    505, 'paths-back', _INFO, 'The node reaches targets again.'
)
REQUEST_RELAYED = _declare_event(
    506,
    'request-relayed',
    _INFO,
    'A node that is cut off let a peer send a request.',
)


class _LazyFields:
    """Fields of an event, formatted only if the line is written as text."""

    def __init__(self, fields: dict[str, Any]) -> None:
        self._fields = fields

    def __str__(self) -> str:
        return ' '.join(
            f'{key}={value}' for key, value in self._fields.items()
        )


def write_events_with(
    write_event: Callable[[int, str, int, dict[str, Any]], None] | None,
) -> None:
    """Pass events to a function instead of the standard library's loggers."""
    global _write_event
    _write_event = write_event


def emit(event: Event, *, failed: bool = False, **fields: Any) -> None:
    """Log an event with its fields, as a warning if `failed`.

    A line of text names the file that calls this function.
    """
    level = _WARN if failed else event.level
    if _write_event is not None:
        _write_event(event.number, event.name, level, fields)
        return
    _LOGGER.log(
        level,
        'CL%d %s %s',
        event.number,
        event.name,
        _LazyFields(fields),
        extra={
            'event': event.number,
            'event_name': event.name,
            'fields': fields,
        },
        stacklevel=2,
    )
