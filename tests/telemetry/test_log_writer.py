"""Log volume is limited, and a reader that stalls does not block a node."""

import logging as std_logging
from json import loads
from os import pipe, read

from carawaylane.telemetry.events import JsonFormatter
from carawaylane.telemetry.log_writer import (
    BURST_LINES,
    LINES_PER_S,
    QUEUE_LINES,
    LineRateLimiter,
    StdoutHandler,
)


def log_record(event, level=std_logging.INFO, text='x'):
    record = std_logging.LogRecord('absl', level, '', 0, text, (), None)
    record.event = event
    record.event_name = 'some'
    record.fields = {'text': text}
    return record


def test_lines_beyond_the_rate_limit_are_left_out_and_counted():
    limiter = LineRateLimiter()
    results = [limiter.admit(1, 20, number / 1000) for number in range(10_000)]
    results.append(limiter.admit(1, 20, 20.0))
    admitted = [left_out for left_out in results if left_out is not None]
    assert len(admitted) <= BURST_LINES + 10 * LINES_PER_S + 2
    # Each line was either admitted or counted by a later one.
    assert len(admitted) + sum(admitted) == len(results)


def test_successes_never_use_up_the_limit_of_failures():
    limiter = LineRateLimiter()
    for number in range(1000):
        limiter.admit(605, std_logging.INFO, number / 1000)
    assert limiter.admit(605, std_logging.WARNING, 1.0) == 0


def test_a_stalled_reader_does_not_block_and_dropped_lines_are_counted():
    _, write_fd = pipe()
    handler = StdoutHandler(fd=write_fd)
    handler.setFormatter(JsonFormatter())
    for number in range(2 * QUEUE_LINES):
        handler.emit(log_record(number, text='y' * 200))
    assert handler.dropped > 0


def test_a_line_is_written_as_json():
    read_fd, write_fd = pipe()
    handler = StdoutHandler(fd=write_fd)
    handler.setFormatter(JsonFormatter())
    handler.emit(log_record(600))
    handler.flush_queue()
    row = loads(read(read_fd, 4096).splitlines()[0])
    assert (row['event'], row['text']) == (600, 'x')
    assert 'message' not in row
