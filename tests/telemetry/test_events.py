"""Log events: their list in the docs, and their JSON lines."""

import re
from json import loads
from logging import ERROR, INFO, LogRecord
from pathlib import Path
from sys import exc_info

from carawaylane.telemetry.event_types import EVENTS
from carawaylane.telemetry.events import NODE_STARTED
from carawaylane.telemetry.json_formatter import JsonFormatter

EVENTS_PAGE = Path(__file__).parents[2] / 'docs' / 'user' / 'events.md'


def test_the_docs_list_every_event_and_no_other():
    rows = re.findall(
        r'^\| CL(\d+) \| ([\w-]+) \|', EVENTS_PAGE.read_text(), re.M
    )
    documented = {int(number): name for number, name in rows}
    assert documented == {
        number: event.name for number, event in EVENTS.items()
    }


def test_a_json_line_has_the_event_number_and_the_fields():
    record = LogRecord('absl', INFO, '', 0, 'text', (), None)
    record.event = NODE_STARTED.number
    record.event_name = 'node-started'
    record.fields = {'member': 'm'}
    row = loads(JsonFormatter().format(record))
    assert (row['event'], row['member']) == (100, 'm')


def test_a_json_line_tells_of_an_exception():
    """Guards against a 500 whose cause no log line names."""
    try:
        raise KeyError('missing')
    except KeyError:
        record = LogRecord('absl', ERROR, '', 0, 'text', (), exc_info())
    row = loads(JsonFormatter().format(record))
    assert row['message'] == 'text'
    assert row['exception'].endswith("KeyError: 'missing'")
