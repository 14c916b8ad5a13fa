"""A change is in force in time however watchers stop to learn of changes.

All in virtual time, so that the bound is checked exactly.
"""

from asyncio import sleep

import pytest

from carawaylane.messages.stored_objects import ObjectKind
from carawaylane.settings.gateway import Bounds
from tests.gateway.simulated_fleet import SimulatedFleet, run_in_virtual_time

DATA_CENTRES = ('z0', 'z1', 'z2')
# How much slower the platform may make the store's answers of 4 ms.
SLOWER = 50
SILENT_SHARE = 0.35
TARGET = {
    'service': 'stock',
    'address': '10.2.0.1:1',
    'zone': 'z0',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'seq': 1,
}

WAYS = {}
CHOICES = {}


def way(func):
    WAYS[func.__name__] = func
    return func


def choice(func):
    CHOICES[func.__name__] = func
    return func


@way
async def dead(fleet, nodes):
    await fleet.kill(nodes)


@way
async def ended(fleet, nodes):
    await fleet.kill(nodes, closed=True)


@way
async def silent(fleet, nodes):
    fleet.store.silent = names_of(nodes)


@way
async def slow(fleet, nodes):
    fleet.store.delays_s = dict.fromkeys(names_of(nodes), 0.004 * SLOWER)


@way
async def too_slow(fleet, nodes):
    fleet.store.delays_s = dict.fromkeys(names_of(nodes), 1.2)


@way
async def rejecting(fleet, nodes):
    fleet.store.refused = names_of(nodes)


@way
async def cut_and_rejecting(fleet, nodes):
    fleet.store.refused = names_of(nodes)
    fleet.store.cut_watches()


@way
async def history_lost_and_silent(fleet, nodes):
    """The watch ends with 410, and the list that follows is not answered."""
    fleet.store.drop_history()
    await sleep(0.01)
    fleet.store.silent = names_of(nodes)


@way
async def old_pages(fleet, nodes):
    """Others know of a newer revision, as the first of a data centre does."""
    fleet.store.lagging = dict.fromkeys(
        names_of(nodes), fleet.store.revision - 3
    )


def names_of(nodes):
    return {node.name for node in nodes}


@choice
def first(fleet):
    return [fleet.ranked_nodes(name)[0] for name in DATA_CENTRES]


@choice
def first_three(fleet):
    return [
        node for name in DATA_CENTRES for node in fleet.ranked_nodes(name)[:3]
    ]


@choice
def first_and_a_third(fleet):
    count = int(fleet.size * SILENT_SHARE)
    chosen = first(fleet)
    others = [node for node in fleet.nodes if node not in chosen]
    return chosen + fleet.rng.sample(others, count - len(chosen))


def run_scenario(scenario, *, seed, bound_s=2.0, size=36):
    async def run():
        fleet = SimulatedFleet(
            seed=seed,
            size=size,
            bounds=Bounds(config_propagation_s=bound_s, drain_s=bound_s),
        )
        await fleet.start()
        await scenario(fleet)
        await fleet.stop()

    run_in_virtual_time(run())


@pytest.mark.parametrize('chosen', CHOICES)
@pytest.mark.parametrize('how', WAYS)
def test_a_change_is_in_force_in_time_if_watchers_stop(how, chosen):
    """A silent store was noticed after 2.7 s, as its watch timed out."""

    async def scenario(fleet):
        # All watches begin with an answer to the same change.
        fleet.change()
        await sleep(fleet.rng.choice([0.05, 0.2, fleet.rng.uniform(0, 3)]))
        await WAYS[how](fleet, CHOICES[chosen](fleet))
        await sleep(fleet.rng.choice([0.0, 0.15, 0.6]))
        fleet.change()
        # And each change that follows.
        for _ in range(3):
            await fleet.time_in_force_s(fleet.bounds.config_propagation_s)
            assert fleet.late_nodes() == []
            await sleep(fleet.rng.uniform(0, 2))
            fleet.change()

    for seed, bound_s in enumerate([2.0, 2.0, 3.0]):
        run_scenario(scenario, seed=seed, bound_s=bound_s)


@pytest.mark.parametrize('how', ['dead', 'silent', 'too_slow', 'rejecting'])
def test_a_removed_target_is_known_in_time_if_watchers_stop(how):
    """Targets are watched by the same nodes, and have the same bound."""

    async def scenario(fleet):
        for number in range(3):
            fleet.store.put(ObjectKind.TARGETS, f'i-{number}', TARGET)
        await sleep(fleet.rng.choice([0.2, fleet.rng.uniform(0, 3)]))
        await WAYS[how](fleet, first(fleet))
        await sleep(0.05)
        fleet.store.put(ObjectKind.TARGETS, 'i-0', None)
        await sleep(fleet.bounds.drain_s)
        for node in fleet.live_nodes():
            targets = node.kernel.find('directory').targets
            assert set(targets) == {'i-1', 'i-2'}, node.name

    for seed in range(3):
        run_scenario(scenario, seed=seed)


@pytest.mark.parametrize('bound_s', [2.0, 3.0])
def test_watches_cost_few_calls_whatever_the_number_of_nodes(bound_s):
    """Each call is priced; one node of a data centre watches for all."""
    calls = {}

    def scenario_of(size):
        async def scenario(fleet):
            await sleep(10)
            before, took_s = fleet.store.calls, 30.0
            await sleep(took_s)
            calls[size] = (fleet.store.calls - before) / took_s

        return scenario

    for size in (12, 132):
        run_scenario(scenario_of(size), seed=1, size=size, bound_s=bound_s)
    most = {2.0: 2.3, 3.0: 1.3}[bound_s] * len(DATA_CENTRES)
    assert max(calls.values()) <= most, calls
