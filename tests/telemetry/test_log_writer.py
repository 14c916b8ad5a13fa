"""Logs stay bounded under load, and a reader that stops blocks nobody."""

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


def record(event, level=std_logging.INFO, text='x'):
    made = std_logging.LogRecord('absl', level, '', 0, text, (), None)
    made.event = event
    made.event_name = 'some'
    made.fields = {'text': text}
    return made


def test_a_burst_is_cut_to_the_rate_and_counted():
    limiter = LineRateLimiter()
    found = [limiter.admit(1, 20, number / 1000) for number in range(10_000)]
    found.append(limiter.admit(1, 20, 20.0))
    passed = [left_out for left_out in found if left_out is not None]
    assert len(passed) <= BURST_LINES + 10 * LINES_PER_S + 2
    # Every line was either written or counted by a later one.
    assert len(passed) + sum(passed) == len(found)


def test_served_requests_never_push_out_failed_ones():
    limiter = LineRateLimiter()
    for number in range(1000):
        limiter.admit(605, std_logging.INFO, number / 1000)
    assert limiter.admit(605, std_logging.WARNING, 1.0) == 0


def test_a_reader_that_stops_blocks_nobody_and_drops_are_counted():
    _, into = pipe()
    handler = StdoutHandler(fd=into)
    handler.setFormatter(JsonFormatter())
    for number in range(2 * QUEUE_LINES):
        handler.emit(record(number, text='y' * 200))
    assert handler.dropped > 0


def test_a_line_is_json_with_what_was_left_out():
    out, into = pipe()
    handler = StdoutHandler(fd=into)
    handler.setFormatter(JsonFormatter())
    handler.emit(record(600))
    handler.flush_queue()
    row = loads(read(out, 4096).splitlines()[0])
    assert (row['event'], row['text']) == (600, 'x')
    assert 'message' not in row
