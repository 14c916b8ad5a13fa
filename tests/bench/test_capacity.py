"""Counts at the size to come, against the users' bounds."""

import pytest

from bench.bounds import broken_bounds
from bench.capacity import (
    CHANGES_PER_DAY,
    CONTROL_BYTES_PER_S,
    DATA_CENTRES,
    DAY_S,
    HOST_FAILURES_PER_DAY,
    IN_FORCE_S,
    NODES,
    PLATFORM_READS_PER_S,
    PLATFORM_WRITES_PER_S,
    RESTARTS_PER_DAY,
    SHARDS,
    WATCHERS,
    spreads,
)
from bench.experiments import EXPERIMENTS
from bench.slopes import ping_bytes, push_bytes

FLEET_CHANGES_PER_DAY = (
    2 * RESTARTS_PER_DAY
    + 2 * RESTARTS_PER_DAY * SHARDS / NODES
    + 2 * HOST_FAILURES_PER_DAY
)
CHANGES_PER_S = (CHANGES_PER_DAY + FLEET_CHANGES_PER_DAY) / DAY_S


def test_control_bytes_of_a_node_stay_in_bounds():
    per_node = max(x.messages_per_node for x in spreads(NODES))
    changes = 2 * per_node * push_bytes(1) * CHANGES_PER_S
    standby_pings = RESTARTS_PER_DAY / DAY_S * SHARDS / NODES
    pings = 2 * ping_bytes(6) * (1 + standby_pings)
    assert changes + pings <= CONTROL_BYTES_PER_S


def test_a_change_is_everywhere_in_time():
    assert max(x.seconds for x in spreads(NODES)) <= IN_FORCE_S


@pytest.mark.parametrize('nodes', [140, 470, NODES])
def test_messages_for_a_change_do_not_grow_per_node(nodes):
    assert max(x.messages_per_node for x in spreads(nodes)) <= 5


def test_calls_on_the_platform_stay_in_bounds():
    watchers = WATCHERS * DATA_CENTRES
    assert CHANGES_PER_S <= PLATFORM_WRITES_PER_S
    assert CHANGES_PER_S * watchers + watchers <= PLATFORM_READS_PER_S


def test_no_fault_of_nodes_doubles_a_key():
    assert broken_bounds('doubt', EXPERIMENTS['doubt'](1)) == []
