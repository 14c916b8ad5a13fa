"""Views of which members are reachable."""

from random import Random

from carawaylane.decisions.membership import (
    DOWN_AFTER_S,
    Membership,
    Reach,
    Rumour,
)


def view(own, names):
    found = Membership(own=own, rng=Random(1))
    found.set_members(names)
    return found


def test_every_member_is_pinged_once_a_round():
    mine = view('a', 'abcd')
    assert {mine.next_ping() for _ in range(3)} == set('bcd')


def test_a_silent_member_is_suspected_then_down():
    mine = view('a', 'ab')
    mine.missed('b', 1.0)
    assert mine.tick(1.0 + DOWN_AFTER_S / 2) == []
    assert mine.tick(1.0 + DOWN_AFTER_S) == ['b']
    assert mine.down() == {'b'}
    mine.heard('b', 9.0)
    assert mine.down() == set()


def test_a_member_refutes_what_is_said_of_it():
    mine = view('a', 'ab')
    theirs = view('b', 'ab')
    mine.missed('b', 1.0)
    theirs.hear_rumours(mine.rumours(), 1.1)
    mine.hear_rumours(theirs.rumours(), 1.2)
    assert mine.tick(99.0) == []


def test_an_older_rumour_does_not_win():
    mine = view('a', 'ab')
    mine.hear_rumours([Rumour(member='b', reach=Reach.ALIVE, round=3)], 1.0)
    mine.hear_rumours([Rumour(member='b', reach=Reach.DOWN, round=2)], 2.0)
    assert mine.down() == set()


def test_rumours_end_after_some_repeats():
    mine = view('a', 'ab')
    mine.missed('b', 1.0)
    count = 0
    while mine.rumours():
        count += 1
    assert 0 < count < 20
