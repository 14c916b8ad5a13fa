"""Targets whose object is removed, beside stops of nodes and outages."""

from asyncio import gather, sleep

from carawaylane.messages.stored_objects import ObjectKind
from tests.gateway.conftest import plan_spec

# A target serves for this long after its removal, by the platform's protocol.
DRAIN_S = 2.0
# The store counts as stable this long after an outage.
STABLE_S = 3.0


async def start_fleet(fleet, *, nodes):
    """Return nodes that know two targets, the one that watches first."""
    fleet.store.put('config', 'main', plan_spec())
    fleet.register_target('i-1', 9)
    fleet.register_target('i-2', 9)
    started = await gather(
        *(fleet.start_node(f'n{number}') for number in range(nodes))
    )
    for node in started:
        directory = node.find('directory')
        await fleet.wait_until(lambda d=directory: len(d.targets) == 2)
        await fleet.wait_until(lambda d=directory: len(d.members) == nodes)
    # Starting nodes watch until they hear of the one that ranks first.
    await sleep(2.0)
    return sorted(started, key=lambda node: not watches(node))


def watches(node):
    return node.find('store_watch')._on_duty


def names_of_targets(node):
    return set(node.find('directory').targets)


async def test_a_removal_after_a_watcher_has_stopped_is_no_lapse(fleet):
    """Guards against requests to a target that has exited."""
    watcher, *others = await start_fleet(fleet, nodes=4)
    replica = watcher.find('directory').replicas[ObjectKind.TARGETS]
    # The others last hear of a copy of this age.
    await fleet.wait_until(lambda: 1.5 < replica.age_s(watcher.now_s()) < 1.9)
    fleet.nodes.remove(watcher)
    await watcher.stop()
    # The watch of the next watcher brings the removal as its first answer.
    await sleep(2.5)
    fleet.store.remove('servers', 'i-1')
    await sleep(DRAIN_S)
    assert [names_of_targets(node) for node in others] == 3 * [{'i-2'}]


async def test_a_removal_once_the_store_is_stable_again_is_no_lapse(fleet):
    """Guards against a grace that begins anew with each removal."""
    nodes = await start_fleet(fleet, nodes=2)
    fleet.store.fault = 'busy'
    fleet.store.wake_watches()
    await sleep(5.5)
    fleet.store.fault = ''
    await sleep(STABLE_S)
    fleet.store.remove('servers', 'i-1')
    await sleep(DRAIN_S)
    assert [names_of_targets(node) for node in nodes] == 2 * [{'i-2'}]


async def test_lapsed_targets_are_dropped_together_after_the_outage(fleet):
    """Guards against targets that stay for longer than the protocol asks."""
    (node,) = await start_fleet(fleet, nodes=1)
    replica = node.find('directory').replicas[ObjectKind.TARGETS]
    fleet.store.fault = 'busy'
    fleet.store.wake_watches()
    await sleep(5.5)
    fleet.store.remove('servers', 'i-1')
    fleet.store.fault = ''
    await fleet.wait_until(lambda: replica.items['i-1'].data is None)
    assert names_of_targets(node) == {'i-1', 'i-2'}
    await sleep(1.0)
    fleet.store.remove('servers', 'i-2')
    await sleep(2.3 - 1.0 + 0.1)
    assert names_of_targets(node) == set()
