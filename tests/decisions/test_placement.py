"""Keys, targets and homes find their shards."""

from random import Random

from carawaylane.config.schema import Service, Target
from carawaylane.decisions.changelog import Change
from carawaylane.decisions.fleet import EPOCH_STEP, FleetState
from carawaylane.decisions.ownership import generate_key
from carawaylane.decisions.placement import (
    ShardLoad,
    choose_claimant,
    choose_shard,
    choose_successor,
    home_node,
    select_targets,
    shard_of_key,
    targets_in_shard,
)

SPEC = Service(name='s', selector='app=s', shards=3)


def fleet(*ops):
    state = FleetState()
    joins = [
        {
            'op': 'join',
            'member': name,
            'host': name,
            'data_centre': dc,
            'rpc': name,
            'at_ms': 0,
        }
        for name, dc in (('a', '1'), ('b', '1'), ('c', '2'))
    ]
    state.apply(Change(seq=1, body={'ops': [*joins, *ops]}))
    return state


def claim(owner, expect):
    return {
        'op': 'claim',
        'service': 's',
        'shard': 0,
        'owner': owner,
        'expect_epoch': expect,
    }


def test_of_two_racing_claims_the_first_in_the_log_wins():
    state = fleet(claim('a', 0), claim('b', 0))
    held = state.holdings[('s', 0)]
    assert (held.owner, held.epoch) == ('a', EPOCH_STEP)


def test_a_minted_key_goes_to_its_own_shard_only():
    assert shard_of_key(SPEC, generate_key(('s', 2), 5, 'x')) == 2
    assert shard_of_key(SPEC, generate_key(('other', 2), 5, 'x')) is None


def test_shards_of_targets_differ_by_one_at_most():
    docs = [
        Target(name=f't{n}', address=f'h:{n}', labels={'app': 's'})
        for n in range(7)
    ]
    docs.append(Target(name='x', address='h:9', labels={}))
    found = select_targets(SPEC, docs)
    parts = [targets_in_shard(SPEC, found, n) for n in range(3)]
    assert sorted(len(part) for part in parts) == [2, 2, 3]


def test_the_home_is_the_owner_or_a_live_stand_in():
    state = fleet(claim('a', 0))
    assert home_node(state, ('s', 0), set()) == 'a'
    assert home_node(state, ('s', 0), {'a'}) in ('b', 'c')
    assert choose_claimant(state, ('s', 0), set()) is None
    assert choose_claimant(state, ('s', 0), {'a'}) in ('b', 'c')


def test_a_leaving_owner_prefers_another_data_centre():
    state = fleet(claim('a', 0))
    assert choose_successor(state, ('s', 0), 'a', set()) == 'c'
    assert choose_successor(state, ('s', 0), 'a', {'c'}) == 'b'


def test_of_two_shards_the_emptier_is_picked():
    two = Service(name='s', selector='app=s', shards=2)
    loads = {('s', 1): ShardLoad(free_slots=4, stamp_ms=0)}
    assert choose_shard(two, loads, {('s', 0): 1}, Random(1)) == 1
