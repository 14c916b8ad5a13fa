"""Nodes that get unreadable large objects and patches from their peers."""

from asyncio import sleep

import pytest

from carawaylane.messages.stored_objects import ObjectKind
from tests.gateway.simulated_fleet import SimulatedFleet, run_in_virtual_time
from tests.gateway.test_rejected_objects import SURROGATE, TARGET


def test_a_large_unreadable_target_hides_no_other_from_peers():
    """It counted as a configuration that the nodes did not have."""

    async def run():
        fleet = SimulatedFleet(seed=1, size=6)
        await fleet.start()
        fleet.store.put(ObjectKind.TARGETS, 'odd', {'x': 'y' * 100_000})
        fleet.store.put(ObjectKind.TARGETS, 'i-1', TARGET)
        await sleep(8.0)
        outdated = [
            node.name
            for node in fleet.nodes
            if node.kernel.find('directory').is_outdated()
        ]
        assert outdated == []
        fleet.store.put(ObjectKind.TARGETS, 'i-2', TARGET)
        fleet.change()
        await sleep(8.0)
        for node in fleet.nodes:
            directory = node.kernel.find('directory')
            assert set(directory.targets) == {'i-1', 'i-2'}
            assert not directory.is_outdated()
            assert node.version == 2
            assert node.kernel.failure is None
            names = [item.name for item in directory.rejected.current()]
            assert names == ['odd']
        await fleet.stop()

    run_in_virtual_time(run())


@pytest.mark.parametrize(
    'odd',
    [
        {'name': SURROGATE},
        {'host': SURROGATE},
        {'timeout_ms': float('nan')},
        {'priority': 10**400},
        {'service': None},
    ],
    ids=repr,
)
def test_patches_with_an_unreadable_route_end_no_node(odd):
    async def run():
        fleet = SimulatedFleet(seed=2, size=6, routes=400)
        await fleet.start()
        spec = fleet.plan_spec()
        spec['version'] = fleet.version + 1
        spec['routes'][7] = spec['routes'][7] | odd
        fleet.store.put(ObjectKind.PLAN, 'main', spec)
        fleet.store.put(ObjectKind.TARGETS, 'i-1', TARGET)
        await sleep(8.0)
        for node in fleet.nodes:
            directory = node.kernel.find('directory')
            assert node.version == fleet.version
            assert set(directory.targets) == {'i-1'}
            assert len(directory.rejected.current()) == 1
        fleet.version += 1
        fleet.change()
        await sleep(8.0)
        for node in fleet.nodes:
            assert node.version == fleet.version
            assert node.kernel.failure is None
            directory = node.kernel.find('directory')
            assert directory.rejected.current() == []
        await fleet.stop()

    run_in_virtual_time(run())
