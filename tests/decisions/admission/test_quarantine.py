"""Requests that crash their targets are quarantined."""

from hypothesis import given
from hypothesis import strategies as st

from carawaylane.decisions.admission.quarantine import (
    MAX_SUSPECTS,
    MAX_VICTIMS_KEPT,
    QUARANTINE_MS,
    Quarantine,
    request_digest,
)


def test_two_distinct_crashed_targets_quarantine_a_request_for_a_time():
    quarantine = Quarantine()
    assert not quarantine.record_crash('d', 't1', 0)
    assert not quarantine.record_crash('d', 't1', 1)
    assert quarantine.record_crash('d', 't2', 2)
    assert quarantine.contains('d', 3)
    assert not quarantine.contains('d', 2 + QUARANTINE_MS)


def test_equal_requests_have_equal_digests():
    digest = request_digest('s', 'POST', '/a', b'x')
    assert digest == request_digest('s', 'POST', '/a', b'x')
    assert digest != request_digest('s', 'POST', '/a', b'y')


def test_an_answer_clears_a_request_of_earlier_crashes():
    """Guards against the quarantine of a request of many callers."""
    quarantine = Quarantine()
    quarantine.record_crash('d', 't1', 10)
    assert quarantine.record_answer('d', 11)
    assert not quarantine.record_answer('d', 12)
    assert not quarantine.record_crash('d', 't2', 13)
    assert quarantine.record_crash('d', 't3', 14)


def test_a_late_record_does_not_bring_back_what_an_answer_has_cleared():
    quarantine = Quarantine()
    quarantine.record_crash('d', 't1', 10)
    known_elsewhere = quarantine.record_of('d')
    quarantine.record_answer('d', 11)
    quarantine.merge([known_elsewhere], 12)
    assert quarantine.count_victims('d', 12) == 0


TARGETS = st.sampled_from('abcde')
NODES = 4
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('crash'), st.integers(0, NODES - 1), TARGETS),
        st.tuples(
            st.just('send'),
            st.integers(0, NODES - 1),
            st.integers(0, NODES - 1),
        ),
    ),
    max_size=30,
)


@given(steps=STEPS)
def test_all_nodes_count_each_victim_once_in_whatever_order_they_hear(steps):
    """Guards against a count that depends on which node sees a crash."""
    nodes = [Quarantine(max_victims=3) for _ in range(NODES)]
    victims = set()
    now_ms = 0
    for now_ms, (what, node, other) in enumerate(steps):
        if what == 'crash':
            nodes[node].record_crash('d', other, now_ms)
            victims.add(other)
        else:
            send(nodes[node], nodes[other], now_ms)
        for quarantine in nodes:
            assert quarantine.count_victims('d', now_ms) <= len(victims)
    for _ in range(2):
        for quarantine in nodes:
            for other in nodes:
                send(quarantine, other, now_ms)
    for quarantine in nodes:
        assert quarantine.count_victims('d', now_ms) == len(victims)
        assert quarantine.contains('d', now_ms) == (len(victims) >= 3)
    if victims:
        assert nodes[0].record_answer('d', now_ms + 1)
        for quarantine in nodes:
            send(nodes[0], quarantine, now_ms + 2)
            assert not quarantine.contains('d', now_ms + 2)


def send(source, receiver, now_ms):
    record = source.record_of('d')
    receiver.merge([record] if record is not None else [], now_ms)


def test_the_number_of_suspects_and_victims_is_bounded():
    quarantine = Quarantine()
    for number in range(MAX_SUSPECTS + 10):
        quarantine.record_crash(str(number), 't', number)
    assert len(quarantine.suspects) == MAX_SUSPECTS
    for number in range(100):
        quarantine.record_crash('d', f't{number}', 5000 + number)
    assert quarantine.count_victims('d', 5200) == MAX_VICTIMS_KEPT


def test_requests_with_several_victims_are_told_to_peers():
    quarantine = Quarantine()
    quarantine.record_crash('once', 't1', 1)
    for target in ('t1', 't2'):
        quarantine.record_crash('twice', target, 2)
    quarantine.record_crash('answered', 't1', 3)
    quarantine.record_answer('answered', 4)
    names = [record.digest for record in quarantine.repeated(9)]
    assert names == ['answered', 'twice']
