"""Nodes beside unreadable addresses of others, and deeply nested entries."""

from asyncio import sleep

import pytest

from carawaylane.messages.exchange import OutgoingRequest
from carawaylane.rpc.fleet_pb2 import (
    ReachRequest,
    RelayReply,
    RelayRequest,
    SyncRequest,
)
from carawaylane.services.targets import NeverSent
from standins.raw_target import Reply
from tests.gateway.conftest import fetch, plan_spec
from tests.gateway.test_rejected_objects import MARK, MEMBER, TARGET, ended
from tests.kernel.test_addresses import NO_IP_ADDRESSES

REQUEST = OutgoingRequest(
    method='GET',
    path='/',
    headers=(),
    body=b'',
    request_id='r1',
    idempotent=True,
)


def reset(*_args):
    return Reply(data=b'', connection_end='reset')


async def start_beside_addresses(fleet):
    """Start two nodes whose target resets all of its connections.

    So they open connections to other targets.
    """
    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-sound', reset)
    nodes = [await fleet.start_node(name) for name in ('n1', 'n2')]
    for node in nodes:
        members = node.find('directory').members
        await fleet.wait_until(lambda m=members: len(m) == 2)
    return nodes


@pytest.mark.parametrize('address', NO_IP_ADDRESSES, ids=ascii)
async def test_an_entry_without_an_ip_address_does_not_end_nodes(
    fleet, address
):
    """A check of the paths raised UnicodeError, and callers got nothing."""
    nodes = await start_beside_addresses(fleet)
    fleet.store.put('servers', 'odd', TARGET | {'address': address})
    fleet.store.put('members', 'odd', MEMBER | {'address': address})
    fleet.register_target('last', 1, service='other')
    for node in nodes:
        targets = node.find('directory').targets
        await fleet.wait_until(lambda t=targets: 'last' in t)
    responses = [await fetch(node, '/read/1') for node in nodes]
    # Both targets of the check refuse connections.
    fleet.store.remove('servers', 'last')
    responses += [await fetch(node, '/read/1') for node in nodes]
    assert [response.status for response in responses] == [502] * 4
    for node in nodes:
        directory = node.find('directory')
        assert set(directory.targets) <= {'i-sound', 'last'}
        assert set(directory.members) == {'n1', 'n2'}
        assert ended(node) is None


@pytest.mark.parametrize('address', NO_IP_ADDRESSES, ids=ascii)
async def test_an_address_in_a_message_of_a_peer_does_not_end_nodes(
    fleet, address
):
    """Peers with older builds know targets and members of such addresses."""
    node, other = await start_beside_addresses(fleet)
    replies = [
        await node.find('target_paths').reach(
            ReachRequest(addresses=[address])
        ),
        await node.find('target_paths').relay(
            RelayRequest(
                target='odd',
                address=address,
                method='GET',
                path=b'/',
                request_id='r1',
                left_ms=500,
            )
        ),
    ]
    request = SyncRequest(
        source=address, root='n2', forward_to=[address], delegated=True
    )
    node.find('news').handle_sync(request)
    assert not await node.find('target_paths').has_ended(address)
    # As a home with an older build grants it.
    result = await node.find('exchanges').exchange(
        'odd', address, REQUEST, 0.5
    )
    assert list(replies[0].addresses) == []
    assert replies[1].result == RelayReply.NEVER_SENT
    assert isinstance(result, NeverSent)
    await sleep(0.3)
    assert ended(node) is None
    assert ended(other) is None


@pytest.mark.parametrize('levels', [1000, 100_000])
async def test_a_deeply_nested_entry_does_not_end_nodes(
    fleet, monkeypatch, levels
):
    answer = fleet.store._answer

    async def nest(req):
        response = await answer(req)
        if MARK in (response.text or ''):
            nested = '[' * levels + ']' * levels
            response.text = response.text.replace(f'"{MARK}"', nested)
        return response

    monkeypatch.setattr(fleet.store, '_answer', nest)
    nodes = await start_beside_addresses(fleet)
    for field in ('address', 'status', 'zone'):
        fleet.store.put('servers', field, TARGET | {field: MARK})
        fleet.store.put('members', field, MEMBER | {field: MARK})
    fleet.register_target('last', 1, service='other')
    for node in nodes:
        targets = node.find('directory').targets
        await fleet.wait_until(lambda t=targets: 'last' in t)
        assert (await fetch(node, '/read/1')).status == 502
        assert ended(node) is None
