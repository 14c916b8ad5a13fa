"""Tests of the ports that a cluster chooses and of its start errors."""

import pytest

from bench.cluster import Cluster, StartError
from bench.ports import first_ephemeral_port, free_port


def test_ports_are_distinct_and_below_the_ephemeral_range():
    """An ephemeral port may be in use by an outgoing connection.

    A node that fails to bind its port looks like one that starts slowly, until
    its start times out.
    """
    ports = [free_port() for _ in range(200)]
    assert len(set(ports)) == len(ports)
    assert max(ports) < first_ephemeral_port()


async def test_a_failed_start_reports_the_exit_code():
    async with Cluster() as cluster:
        with pytest.raises(StartError, match=r'exit code [1-9]'):
            await cluster.add_node('n', 'a', '--no-such-flag', '1')
