"""A copy of the platform's objects never goes back and knows its gaps."""

from hypothesis import given
from hypothesis import strategies as st

from carawaylane.decisions.replica import TOMBSTONE_TTL_S, Replica
from carawaylane.messages.stored_objects import ObjectDelta, StoredObject


def item(name, revision, data=b'1', lapsed=False):
    return StoredObject(name=name, revision=revision, data=data, lapsed=lapsed)


def test_a_gap_is_not_taken():
    copy = Replica()
    copy.apply(ObjectDelta(items=(item('a', 3),), revision=5), 0.0)
    late = ObjectDelta(items=(item('b', 9),), revision=9, base=7)
    assert copy.apply(late, 1.0) is None
    assert copy.revision == 5


def test_older_news_changes_nothing():
    copy = Replica()
    copy.apply(ObjectDelta(items=(item('a', 5, b'new'),), revision=5), 0.0)
    old = ObjectDelta(items=(item('a', 3, b'old'),), revision=3)
    assert copy.apply(old, 1.0) == []
    assert copy.items['a'].data == b'new'


def test_a_list_removes_what_it_lacks_and_peers_hear_of_it():
    copy = Replica()
    copy.apply(
        ObjectDelta(items=(item('a', 1), item('b', 2)), revision=2), 0.0
    )
    copy.apply(ObjectDelta(items=(item('a', 1),), revision=7), 1.0)
    assert [each.name for each in copy.existing()] == ['a']
    news = copy.changes_since(2)
    assert [(each.name, each.data) for each in news.items] == [('b', None)]


def test_a_peer_behind_forgotten_removals_gets_everything():
    copy = Replica()
    copy.apply(
        ObjectDelta(items=(item('a', 1), item('b', 2)), revision=2), 0.0
    )
    gone = ObjectDelta(items=(item('b', 5, None),), revision=5, base=2)
    copy.apply(gone, 1.0)
    later = ObjectDelta(items=(item('c', 6),), revision=6, base=5)
    copy.apply(later, 2.0 + TOMBSTONE_TTL_S)
    news = copy.changes_since(3)
    assert news.base == 0
    assert {each.name for each in news.items} == {'a', 'c'}


def test_an_object_that_comes_back_is_present_again():
    copy = Replica()
    copy.apply(ObjectDelta(items=(item('a', 1),), revision=1), 0.0)
    copy.apply(
        ObjectDelta(items=(item('a', 3, None),), revision=3, base=1), 0.0
    )
    copy.apply(ObjectDelta(items=(item('a', 4),), revision=4, base=3), 0.0)
    assert [each.name for each in copy.existing()] == ['a']


def test_the_age_counts_from_what_a_peer_confirmed():
    copy = Replica()
    copy.mark_confirmed(10.0, age_s=2.0)
    copy.mark_confirmed(10.5, age_s=5.0)
    assert copy.age_s(11.0) == 3.0


CHANGE = st.tuples(st.sampled_from('abc'), st.booleans())


@given(st.lists(CHANGE, max_size=25), st.data())
def test_a_lagging_copy_catches_up_from_any_point(changes, data):
    """Whatever a peer has missed, one exchange makes the copies alike."""
    full, peer = Replica(), Replica()
    full.apply(ObjectDelta(items=(), revision=1), 0.0)
    peer.apply(ObjectDelta(items=(), revision=1), 0.0)
    for number, (name, gone) in enumerate(changes, start=2):
        body = None if gone else str(number).encode()
        news = ObjectDelta(
            items=(item(name, number, body),),
            revision=number,
            base=number - 1,
        )
        full.apply(news, float(number))
        if data.draw(st.booleans()):
            before = peer.revision
            if peer.apply(news, float(number)) is None:
                assert peer.revision == before
    peer.apply(full.changes_since(peer.revision), 100.0)
    assert peer.revision == full.revision
    assert {(e.name, e.data) for e in peer.existing()} == {
        (e.name, e.data) for e in full.existing()
    }
