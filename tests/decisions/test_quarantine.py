"""Requests that crash their targets are held."""

from carawaylane.decisions.quarantine import (
    QUARANTINE_MS,
    Quarantine,
    digest_of,
)


def test_two_different_victims_hold_a_request_for_a_while():
    held = Quarantine()
    assert not held.crashed('d', 't1', 0)
    assert not held.crashed('d', 't1', 1)
    assert held.crashed('d', 't2', 2)
    assert held.holds('d', 3)
    assert not held.holds('d', 2 + QUARANTINE_MS)


def test_the_digest_knows_a_request_under_any_key():
    one = digest_of('s', 'POST', '/a', b'x')
    assert one == digest_of('s', 'POST', '/a', b'x')
    assert one != digest_of('s', 'POST', '/a', b'y')
