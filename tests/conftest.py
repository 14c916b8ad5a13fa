"""Tests that are known to be red run, and do not fail the suite."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parents[1] / 'KNOWN-RED.txt'
PREFIX = 'test: '


def known_red():
    """Return the ids of tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return set()
    return {
        line.removeprefix(PREFIX).strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(PREFIX)
    }


def pytest_collection_modifyitems(items):
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            reason = 'listed in KNOWN-RED.txt'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))
