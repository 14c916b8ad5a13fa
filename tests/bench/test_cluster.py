"""Tests of the ports and the start errors of the processes in tests."""

import pytest

from bench.cluster import Cluster, StartError
from bench.ports import first_ephemeral_port, free_port


def test_ports_are_distinct_and_below_the_ephemeral_range():
    """A port taken by an outgoing connection made a node time out.

    The node failed to bind it and looked like one that starts slowly.
    """
    ports = [free_port() for _ in range(200)]
    assert len(set(ports)) == len(ports)
    assert max(ports) < first_ephemeral_port()


async def test_a_failed_start_reports_the_exit_code():
    async with Cluster() as cluster:
        with pytest.raises(StartError, match=r'exit code [1-9]'):
            await cluster.add_node('n', 'a', '--no-such-flag', '1')
