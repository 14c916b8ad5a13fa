"""Eras of the store: valid, missing and malformed headers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaylane.messages.stored_objects import era_of, revision_in_era
from carawaylane.platform.eras import (
    ERA_HEADER,
    MAX_ERA,
    EraReader,
    combine,
)


@given(st.integers(0, MAX_ERA), st.integers(0, 2**40))
def test_a_combined_revision_holds_era_and_revision(era, revision):
    number = combine(era, revision)
    assert (era_of(number), revision_in_era(number)) == (era, revision)
    assert number < 2**63


def test_a_greater_era_comes_after_all_revisions_of_a_smaller_one():
    assert combine(2, 1) > combine(1, 2**40)


@pytest.mark.parametrize(
    'text', ['', 'two', '-1', '1.5', '\u0662', str(MAX_ERA + 1)]
)
def test_an_unreadable_era_is_logged_once_and_the_last_one_assumed(
    text, caplog
):
    reader = EraReader()
    assert reader.read({ERA_HEADER: '3'}) == 3
    assert reader.read({ERA_HEADER: text}) == 3
    assert reader.read({ERA_HEADER: text}) == 3
    lines = [row for row in caplog.records if row.event == 216]
    assert len(lines) == 1
