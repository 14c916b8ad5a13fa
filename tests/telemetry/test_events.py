"""The catalogue of events in the docs matches the code."""

import re
from json import loads
from logging import INFO, LogRecord
from pathlib import Path

from carawaylane.telemetry.events import EVENTS, JsonFormatter

PAGE = Path(__file__).parents[2] / 'docs' / 'user' / 'events.md'


def test_the_catalogue_lists_every_event_and_no_other():
    rows = re.findall(r'^\| CL(\d+) \| ([\w-]+) \|', PAGE.read_text(), re.M)
    found = {int(number): name for number, name in rows}
    assert found == {n: event.name for n, event in EVENTS.items()}


def test_a_line_of_json_carries_the_number_and_the_fields():
    record = LogRecord('absl', INFO, '', 0, 'text', (), None)
    record.event = 100
    record.event_name = 'node-started'
    record.fields = {'member': 'm'}
    row = loads(JsonFormatter().format(record))
    assert (row['event'], row['member']) == (100, 'm')
