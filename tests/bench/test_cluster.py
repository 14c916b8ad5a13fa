"""Processes of a test get ports of their own, and tell why they ended."""

import pytest

from bench.cluster import Cluster, NotServingError
from bench.ports import ephemeral_least, free_port


def test_ports_lie_below_those_of_outgoing_connections():
    """A node that found its port taken looked like one that is slow."""
    ports = [free_port() for _ in range(200)]
    assert len(set(ports)) == len(ports)
    assert max(ports) < ephemeral_least()


async def test_a_process_that_ends_while_starting_tells_why():
    async with Cluster() as cluster:
        with pytest.raises(NotServingError, match=r'exit code [1-9]'):
            await cluster.add_node('n', 'a', '--no-such-flag', '1')
