"""Removals count as lapses only after an outage, and only for a while."""

from hypothesis import given
from hypothesis import strategies as st

from carawaylane.decisions.propagation.store_outages import (
    LAPSE_GRACE_S,
    OUTAGE_S,
    StoreOutages,
)

LONG_S = OUTAGE_S + 1.0
# A removal is acknowledged by a stable store this long after an outage, and a
# target may not be used for longer than that after its removal.
STABLE_S = 3.0
DRAIN_S = 2.0


def make_outages():
    return StoreOutages(name='own', answered_at_s=0.0)


def test_silence_without_a_failed_call_is_no_outage():
    """Guards against a change of watchers that passes for an outage."""
    outages = make_outages()
    assert not outages.record_answer(LONG_S)
    assert not outages.may_be_lapses(LONG_S)


def test_one_peer_without_answers_is_no_outage():
    """Guards against a watcher that is cut off from the store."""
    outages = make_outages()
    outages.record_failure('peer', 3.0)
    assert not outages.record_answer(LONG_S)
    assert not outages.may_be_lapses(LONG_S)


def test_peers_without_answers_show_an_outage():
    outages = make_outages()
    outages.record_failure('peer', 3.0)
    outages.record_failure('other', 3.1)
    assert outages.record_answer(LONG_S)
    assert outages.may_be_lapses(LONG_S)


def test_failed_calls_of_this_node_beside_answers_to_peers_are_no_outage():
    """Guards against a node that was cut off and tells all others of it."""
    outages = make_outages()
    for step in range(10):
        outages.record_failure('own', step + 0.5)
        outages.record_answer(step + 0.9)
    assert not outages.record_answer(10.0)
    assert not outages.may_be_lapses(10.0)
    assert outages.grace_left_s(10.0) == 0.0


def test_the_grace_begins_with_the_first_answer():
    outages = make_outages()
    outages.record_failure('own', 1.0)
    assert outages.record_answer(LONG_S)
    assert outages.grace_left_s(LONG_S) == LAPSE_GRACE_S
    outages.record_answer(LONG_S + 1.0)
    assert outages.grace_left_s(LONG_S + 1.0) == LAPSE_GRACE_S - 1.0
    assert not outages.may_be_lapses(LONG_S + LAPSE_GRACE_S)


def test_a_restored_store_gives_the_grace_once():
    outages = make_outages()
    outages.record_restore(2, 1.0)
    outages.record_restore(2, 2.0)
    assert outages.grace_left_s(2.0) == LAPSE_GRACE_S - 1.0
    # What it removes later was removed by somebody.
    assert not outages.may_be_lapses(2.0)


@st.composite
def contacts(draw):
    """Return calls in order of time: when, by whom, and if answered."""
    times = draw(st.lists(st.floats(0.0, 60.0), max_size=60, unique=True))
    nodes = st.sampled_from(('own', 'peer', 'other'))
    return [(at_s, draw(nodes), draw(st.booleans())) for at_s in sorted(times)]


@given(calls=contacts(), asked_after_s=st.floats(0.0, 10.0))
def test_lapses_follow_an_outage_and_end_before_a_stable_store_removes(
    calls, asked_after_s
):
    outages = make_outages()
    answered_at_s = [0.0]
    failed_at_s = []
    for at_s, node, answered in calls:
        if answered:
            outages.record_answer(at_s)
            answered_at_s.append(at_s)
        else:
            outages.record_failure(node, at_s)
            failed_at_s.append(at_s)
    now_s = answered_at_s[-1] + asked_after_s
    back_at_s = max(
        (
            end_s
            for start_s, end_s in zip(
                answered_at_s, answered_at_s[1:], strict=False
            )
            if end_s - start_s > OUTAGE_S
            and any(start_s <= at_s < end_s for at_s in failed_at_s)
        ),
        default=float('-inf'),
    )
    if outages.may_be_lapses(now_s):
        assert now_s < back_at_s + LAPSE_GRACE_S
        assert outages.grace_left_s(now_s) > 0
    if now_s >= back_at_s + STABLE_S + DRAIN_S:
        assert not outages.may_be_lapses(now_s)
