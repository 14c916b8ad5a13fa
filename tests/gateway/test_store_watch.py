"""Tests of the calls that watch the platform's store."""

from asyncio import sleep

import pytest

from carawaylane.gateway.store_watch import WATCH_PAUSE_S, WATCH_WAIT_S
from carawaylane.messages.stored_objects import ObjectKind
from tests.gateway.conftest import plan_spec

CHANGE_COUNT, CHANGE_INTERVAL_S = 60, 0.01


def register_member(fleet, number):
    address = f'127.0.0.1:{number + 1}'
    spec = {'address': address, 'zone': 'z2', 'cores': 0.1}
    fleet.store.put('members', f'x{number}', spec)


def register_target(fleet, number):
    fleet.register_target(f'x{number}', number + 1)


@pytest.mark.parametrize(
    ('kind', 'register'),
    [
        (ObjectKind.MEMBERS, register_member),
        (ObjectKind.TARGETS, register_target),
    ],
)
async def test_changes_in_quick_succession_share_a_call_and_a_broadcast(
    fleet, monkeypatch, kind, register
):
    """The nodes of a fleet that starts register one after the other."""
    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-1')
    node = await fleet.start_node('n1')
    await fleet.wait_until(lambda: len(node.find('directory').members) == 1)
    await sleep(max(WATCH_PAUSE_S.values()))
    broadcasts = []
    monkeypatch.setattr(
        node.find('news'), 'broadcast', lambda *args: broadcasts.append(args)
    )
    calls_before, started_at_s = fleet.store.calls['GET'], node.now_s()
    for number in range(CHANGE_COUNT):
        register(fleet, number)
        await sleep(CHANGE_INTERVAL_S)
    items = node.find('directory').replicas[kind].items
    await fleet.wait_until(lambda: f'x{CHANGE_COUNT - 1}' in items)
    assert {f'x{number}' for number in range(CHANGE_COUNT)} <= set(items)
    took_s = node.now_s() - started_at_s
    most_broadcasts = 2 + took_s / WATCH_PAUSE_S[kind]
    # Watches without a change end after a while, too.
    idle_calls = sum(1 + took_s / wait_s for wait_s in WATCH_WAIT_S.values())
    assert len(broadcasts) <= most_broadcasts
    assert (
        fleet.store.calls['GET'] - calls_before <= most_broadcasts + idle_calls
    )
