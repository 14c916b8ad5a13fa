"""Handler that writes log lines to standard output without blocking."""

from __future__ import annotations

import logging as std_logging
from collections import deque
from json import JSONEncoder
from os import write
from sys import stdout
from threading import Event, Thread
from time import monotonic, time
from typing import Any

from attrs import Factory, define

# Limit for each event and level. At its peak a node serves 65 requests per
# second, each with about three lines; those beyond the limit are left out and
# counted. Failures have another level than successes, so that successes never
# use up their limit.
LINES_PER_S = 40.0
BURST_LINES = 80.0
# Lines queued for a slow reader, about 1 MB.
QUEUE_LINES = 4000
FLUSH_TIMEOUT_S = 0.3
# Lines are collected for this time before they are written: to wake the
# writing thread costs more than a line.
BATCH_S = 0.2
BATCH_BYTES = 65536


# `json.dumps` would create an encoder for each line.
encode_row = JSONEncoder(default=str).encode


@define(kw_only=True, eq=False, repr=False)
class _TokenBucket:
    """Tokens for lines, and the lines left out since the last token."""

    refilled_at_s: float
    tokens: float = BURST_LINES
    left_out: int = 0


@define(kw_only=True, eq=False, repr=False)
class LineRateLimiter:
    """Rate limiter with a token bucket for each event and level."""

    _buckets: dict[tuple[int, int], _TokenBucket] = Factory(dict)

    def admit(self, event: int, level: int, now_s: float) -> int | None:
        """Return how many lines were left out since the last admitted one.

        Return None if this line exceeds the limit and is left out, too.
        """
        key = (event, level)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _TokenBucket(refilled_at_s=now_s)
        bucket.tokens += (now_s - bucket.refilled_at_s) * LINES_PER_S
        bucket.tokens = min(BURST_LINES, bucket.tokens)
        bucket.refilled_at_s = now_s
        if bucket.tokens < 1:
            bucket.left_out += 1
            return None
        bucket.tokens -= 1
        left_out, bucket.left_out = bucket.left_out, 0
        return left_out


class StdoutHandler(std_logging.Handler):
    """Handler that queues lines for a thread, which writes them.

    Lines beyond the rate limit are left out. Lines are dropped while the
    queue is full because the reader of standard output is too slow.
    """

    def __init__(self, *, fd: int | None = None) -> None:
        super().__init__()
        self.dropped = 0
        self._fd = stdout.fileno() if fd is None else fd
        self._limiter = LineRateLimiter()
        self._lines: deque[bytes] = deque()
        self._has_lines = Event()
        self._is_writing = False
        self._is_flushing = Event()
        self._thread = Thread(target=self._write_lines, daemon=True)
        self._thread.start()

    def emit(self, record: std_logging.LogRecord) -> None:
        """Queue the line of a record, unless it exceeds the rate limit."""
        event = getattr(record, 'event', 0)
        left_out = self._limiter.admit(event, record.levelno, monotonic())
        if left_out is None:
            return
        record.left_out = left_out
        record.dropped = self.dropped
        self._queue_line(self.format(record))

    def write_event(
        self, number: int, name: str, level: int, fields: dict[str, Any]
    ) -> None:
        """Queue the line of an event, unless it exceeds the rate limit.

        The line is that of a log record, which would cost as much again.
        """
        left_out = self._limiter.admit(number, level, monotonic())
        if left_out is None:
            return
        row = {
            'time': round(time(), 4),
            'level': std_logging.getLevelName(level),
            'event': number,
            'name': name,
            **fields,
        }
        if left_out:
            row['left_out'] = left_out
        if self.dropped:
            row['dropped'] = self.dropped
        self._queue_line(encode_row(row))

    def _queue_line(self, line: str) -> None:
        if len(self._lines) >= QUEUE_LINES:
            self.dropped += 1
            return
        self._lines.append(line.encode() + b'\n')
        if not self._has_lines.is_set():
            self._has_lines.set()

    def flush_queue(self) -> None:
        """Wait briefly until the queued lines are written."""
        self._is_flushing.set()
        deadline_s = monotonic() + FLUSH_TIMEOUT_S
        while (self._lines or self._is_writing) and monotonic() < deadline_s:
            self._thread.join(0.01)
        self._is_flushing.clear()

    def _write_lines(self) -> None:
        while True:
            self._has_lines.wait()
            self._is_flushing.wait(BATCH_S)
            self._is_writing = True
            # Lines that are queued from here on set it again.
            self._has_lines.clear()
            while self._lines:
                if not self._write_batch():
                    return
            self._is_writing = False

    def _write_batch(self) -> bool:
        """Write queued lines; return whether they can be written."""
        lines = []
        size = 0
        while self._lines and size < BATCH_BYTES:
            lines.append(self._lines.popleft())
            size += len(lines[-1])
        data = b''.join(lines)
        try:
            while data:
                data = data[write(self._fd, data) :]
        except OSError:
            # The reader closed standard output: nothing can be logged.
            return False
        return True
