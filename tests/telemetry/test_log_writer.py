"""Log volume is limited, and a reader that stalls does not block a node."""

import logging as std_logging
from json import loads
from os import pipe, read
from pathlib import Path
from socket import AF_UNIX, SOCK_DGRAM, socketpair
from time import monotonic, sleep

from carawaylane.telemetry.json_formatter import JsonFormatter
from carawaylane.telemetry.log_writer import (
    BATCH_S,
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


def test_lines_in_quick_succession_share_a_write():
    """Each write is one message of the socket."""
    reader, writer = socketpair(AF_UNIX, SOCK_DGRAM)
    reader.settimeout(5.0)
    handler = StdoutHandler(fd=writer.fileno())
    handler.setFormatter(JsonFormatter())
    started_at_s = monotonic()
    for number in range(100):
        handler.emit(log_record(number))
        sleep(0.001)
    handler.flush_queue()
    took_s = monotonic() - started_at_s
    lines, writes = [], 0
    while len(lines) < 100:
        lines += reader.recv(1 << 20).splitlines()
        writes += 1
    assert [loads(line)['event'] for line in lines] == list(range(100))
    # The first write and the flush do not wait for a whole batch.
    assert writes <= took_s / BATCH_S + 2


def test_a_flush_returns_after_the_last_line_was_written():
    read_fd, write_fd = pipe()
    handler = StdoutHandler(fd=write_fd)
    handler.setFormatter(JsonFormatter())
    for number in range(500):
        handler.emit(log_record(number))
    handler.flush_queue()
    written = b''
    while written.count(b'\n') < 500:
        written += read(read_fd, 1 << 16)
    assert loads(written.splitlines()[-1])['event'] == 499


def test_the_line_of_an_event_is_that_of_a_log_record():
    """Guards against lines that readers of the log no longer understand."""
    read_fd, write_fd = pipe()
    handler = StdoutHandler(fd=write_fd)
    handler.setFormatter(JsonFormatter())
    fields = {'text': 'x', 'number': 2, 'path': Path('/a')}
    for level in (std_logging.INFO, std_logging.WARNING):
        handler.dropped = 3
        record = log_record(600, level)
        record.fields = fields
        handler.emit(record)
        handler.write_event(600, 'some', level, fields)
    handler.flush_queue()
    rows = [loads(line) for line in read(read_fd, 4096).splitlines()]
    assert abs(rows[0].pop('time') - rows[1].pop('time')) < 1
    assert list(rows[0].items()) == list(rows[1].items())
    assert rows[2]['level'] == rows[3]['level'] == 'WARNING'
    assert rows[3]['path'] == '/a'


def test_events_share_the_limit_of_log_records_and_count_those_left_out():
    read_fd, write_fd = pipe()
    handler = StdoutHandler(fd=write_fd)
    handler.setFormatter(JsonFormatter())
    for _ in range(round(BURST_LINES) + 5):
        handler.write_event(600, 'some', std_logging.INFO, {})
    sleep(2 / LINES_PER_S)
    handler.emit(log_record(600))
    handler.flush_queue()
    rows = [loads(line) for line in read(read_fd, 1 << 16).splitlines()]
    assert len(rows) <= BURST_LINES + 3
    assert sum(row.get('left_out', 0) for row in rows) >= 3
    assert len(rows) + sum(row.get('left_out', 0) for row in rows) == (
        BURST_LINES + 6
    )
