"""Tests that costs of a fleet of the planned size stay in their bounds.

The costs are calculated from simulations and from the sizes of messages.
"""

import pytest

from bench.bounds import broken_bounds
from bench.capacity import (
    CHANGES_PER_DAY,
    DATA_CENTRES,
    DAY_S,
    HOST_FAILURES_PER_DAY,
    MAX_CONTROL_BYTES_PER_S,
    MAX_PLATFORM_READS_PER_S,
    MAX_PLATFORM_WRITES_PER_S,
    MAX_PROPAGATION_S,
    NODES,
    RESTARTS_PER_DAY,
    SHARDS,
    WATCHERS,
    gossip_runs,
)
from bench.experiments import EXPERIMENTS
from bench.slopes import ping_bytes, push_bytes

# Changes of the fleet log: two for a restart, two more for each shard that the
# restarted node owned, and two for the failure of a host.
FLEET_CHANGES_PER_DAY = (
    2 * RESTARTS_PER_DAY
    + 2 * RESTARTS_PER_DAY * SHARDS / NODES
    + 2 * HOST_FAILURES_PER_DAY
)
CHANGES_PER_S = (CHANGES_PER_DAY + FLEET_CHANGES_PER_DAY) / DAY_S


def test_control_bytes_of_a_node_stay_in_bounds():
    """Every message counts twice, at its sender and at its receiver."""
    messages_per_node = max(
        run.messages_per_node for run in gossip_runs(NODES)
    )
    change_bytes_per_s = 2 * messages_per_node * push_bytes(1) * CHANGES_PER_S
    standby_pings_per_s = RESTARTS_PER_DAY / DAY_S * SHARDS / NODES
    ping_bytes_per_s = 2 * ping_bytes(6) * (1 + standby_pings_per_s)
    assert change_bytes_per_s + ping_bytes_per_s <= MAX_CONTROL_BYTES_PER_S


def test_a_change_reaches_all_nodes_in_time():
    assert max(run.seconds for run in gossip_runs(NODES)) <= MAX_PROPAGATION_S


@pytest.mark.parametrize('nodes', [140, 470, NODES])
def test_messages_per_node_do_not_grow_with_the_fleet(nodes):
    """A node pushes a change to four peers and pulls it at most once."""
    assert max(run.messages_per_node for run in gossip_runs(nodes)) <= 5


def test_calls_to_the_platform_stay_in_bounds():
    """Watchers read each change and renew a watch at most once a second."""
    watchers = WATCHERS * DATA_CENTRES
    assert CHANGES_PER_S <= MAX_PLATFORM_WRITES_PER_S
    assert CHANGES_PER_S * watchers + watchers <= MAX_PLATFORM_READS_PER_S


def test_no_fault_of_nodes_makes_a_key_run_twice():
    assert broken_bounds('doubt', EXPERIMENTS['doubt'](1)) == []
