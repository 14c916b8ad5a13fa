"""Requests that crash their targets are held."""

from carawaylane.decisions.quarantine import (
    QUARANTINE_MS,
    Quarantine,
    request_digest,
)


def test_two_different_victims_hold_a_request_for_a_while():
    held = Quarantine()
    assert not held.record_crash('d', 't1', 0)
    assert not held.record_crash('d', 't1', 1)
    assert held.record_crash('d', 't2', 2)
    assert held.contains('d', 3)
    assert not held.contains('d', 2 + QUARANTINE_MS)


def test_the_digest_knows_a_request_under_any_key():
    one = request_digest('s', 'POST', '/a', b'x')
    assert one == request_digest('s', 'POST', '/a', b'x')
    assert one != request_digest('s', 'POST', '/a', b'y')
