"""Lets the tests listed in KNOWN-RED.txt run without failing the suite."""

from pathlib import Path

import pytest

KNOWN_FAILURES_FILE = Path(__file__).parents[1] / 'KNOWN-RED.txt'
TEST_LINE_PREFIX = 'test: '


def read_known_failures():
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    return {
        line.removeprefix(TEST_LINE_PREFIX).strip()
        for line in KNOWN_FAILURES_FILE.read_text().splitlines()
        if line.startswith(TEST_LINE_PREFIX)
    }


def pytest_collection_modifyitems(items):
    known_failure_ids = read_known_failures()
    for item in items:
        if item.nodeid in known_failure_ids:
            reason = 'listed in KNOWN-RED.txt'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))
