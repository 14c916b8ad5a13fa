"""Replicas of a log move forward only, whoever relays it."""

from hypothesis import given, settings
from hypothesis import strategies as st

from carawaylane.config.state import ConfigState
from carawaylane.decisions.changelog import Batch, Change, LogReplica

COUNT = 12


def change(seq):
    row = {
        'kind': 'Target',
        'name': 't',
        'address': f'127.0.0.1:{seq}',
        'labels': {},
    }
    return Change(seq=seq, body={'put': [row], 'author': f'a{seq}'})


def replica():
    return LogReplica(name='config', state=ConfigState(), recent_limit=4)


def address(rep):
    doc = rep.state.docs.get(('Target', 't'))
    return int(doc.address.rpartition(':')[2]) if doc else 0


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(1, COUNT), st.integers(1, COUNT), st.booleans()),
        max_size=30,
    )
)
def test_a_replica_never_reverts_in_any_order_of_batches(batches):
    source = replica()
    source.apply_batch(
        Batch(log='config', changes=tuple(map(change, range(1, COUNT + 1))))
    )
    mine = replica()
    seen = 0
    for first, last, with_snapshot in batches:
        changes = tuple(change(seq) for seq in range(first, last + 1))
        batch = Batch(log='config', changes=changes)
        if with_snapshot:
            older = replica()
            older.apply_batch(
                Batch(
                    log='config',
                    changes=tuple(change(n) for n in range(1, first + 1)),
                )
            )
            batch = Batch(
                log='config',
                snapshot=older.state.dump(),
                snapshot_seq=older.seq,
            )
        mine.apply_batch(batch)
        assert mine.seq >= seen
        assert address(mine) == mine.seq
        seen = mine.seq


def test_a_peer_far_behind_gets_a_snapshot():
    source = replica()
    source.apply_batch(
        Batch(log='config', changes=tuple(map(change, range(1, COUNT + 1))))
    )
    assert source.batch_after(COUNT).changes == ()
    assert [each.seq for each in source.batch_after(COUNT - 2).changes] == [
        11,
        12,
    ]
    assert source.batch_after(1).snapshot_seq == COUNT
    mine = replica()
    mine.apply_batch(source.batch_after(0))
    assert (mine.seq, address(mine)) == (COUNT, COUNT)
