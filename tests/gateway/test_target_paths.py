"""Tests of the ways that a request takes to a target.

A request reaches one target at most, whatever fails on its way.
"""

from asyncio import gather, run, sleep
from random import Random
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carawaylane.decisions.targets.backpressure import TargetIdentity
from carawaylane.gateway.relays import NotRelayed
from carawaylane.gateway.target_paths import TargetPathsService
from carawaylane.kernel.kernel import Kernel
from carawaylane.messages.exchange import OutgoingRequest
from carawaylane.rpc.relay_codec import pack_relay_reply
from carawaylane.services.targets import (
    BrokenExchange,
    CompleteAnswer,
    NeverSent,
    RefusedByTarget,
)
from carawaylane.telemetry.metrics import Metrics
from tests.gateway.conftest import fetch
from tests.gateway.test_cut_off_nodes import (
    assert_unsafe_requests_arrived_once,
    cut_off,
    start_service,
)

REQUEST = OutgoingRequest(
    method='POST',
    path='/x',
    headers=(),
    body=b'',
    request_id='r1',
    idempotent=False,
)
MEMBERS = [f'n{number}' for number in range(5)]
# Results of an exchange, and whether the target has got the request.
RESULTS = [
    (
        CompleteAnswer(
            status=200, headers=(('Response-Seal', 's'),), body=b''
        ),
        True,
    ),
    (RefusedByTarget(leaving=False, deadline_passed=False), True),
    (BrokenExchange(reason='lost'), True),
    (BrokenExchange(reason='late', timed_out=True), True),
    (NeverSent(reason='refused'), False),
    (NeverSent(reason='no path', own_path=True), False),
]


class FakeWorld:
    """Other services, whose calls fail as they are told to."""

    def __init__(
        self, *, direct, relays, reached, reached_by_peer, members=MEMBERS
    ):
        self._direct = direct
        self._relays = list(relays)
        self._reached = reached
        self._reached_by_peer = reached_by_peer
        self.sent = 0
        self.relayed_to = []
        # The only peer that reaches targets if most do not.
        self.reaching_address = ''
        self.metrics = Metrics()
        self.members = {
            name: SimpleNamespace(name=name, address=f'{name}:1')
            for name in members
        }
        self.targets = {
            f't{number}': SimpleNamespace(address=f't{number}:1')
            for number in range(3)
        }

    async def exchange(self, *_args):
        result, sent = self._direct
        self.sent += sent
        return result

    async def reaches(self, _address):
        return self._reached

    def close_idle(self):
        pass

    def withheld(self, _target, _request_id):
        return None

    def identify(self, target, _address):
        return TargetIdentity(name=target)

    def record_result(self, *_args):
        pass

    async def call(self, address, _method, msg):
        await sleep(0)
        reached = self._reached_by_peer or address == self.reaching_address
        return msg if reached else None

    async def relay(self, address, *_args):
        self.relayed_to.append(address)
        if self.reaching_address not in ('', address):
            return pack_relay_reply(RESULTS[-1][0])
        way, (result, sent) = self._relays.pop()
        if way == 'not relayed':
            return NotRelayed(reason='refused')
        if way == 'lost before':
            return None
        self.sent += sent
        return None if way == 'lost after' else pack_relay_reply(result)


async def exchange_in(world, *, cut_off_before, seed=1):
    cfg = SimpleNamespace(name='n0')
    kernel = Kernel(cfg=cfg, rng=Random(seed))
    kernel.find = lambda _name: world
    paths = TargetPathsService(kernel=kernel)
    await paths.start()
    if cut_off_before:
        paths.paths.record_check(
            reached=False, reached_by_peer=True, now_s=0.0
        )
    result = await paths.exchange('t0', 't0:1', REQUEST, 1.0)
    await paths.stop()
    return result


@settings(max_examples=300, deadline=None)
@given(
    direct=st.sampled_from(RESULTS[:-1]),
    relays=st.lists(
        st.tuples(
            st.sampled_from(
                ['reply', 'not relayed', 'lost before', 'lost after']
            ),
            st.sampled_from(RESULTS),
        ),
        min_size=3,
        max_size=3,
    ),
    reached=st.booleans(),
    reached_by_peer=st.booleans(),
    cut_off_before=st.booleans(),
)
def test_a_request_reaches_one_target_at_most_whichever_way_it_takes(
    direct, relays, reached, reached_by_peer, cut_off_before
):
    world = FakeWorld(
        direct=direct,
        relays=relays,
        reached=reached,
        reached_by_peer=reached_by_peer,
    )
    result = run(exchange_in(world, cut_off_before=cut_off_before))
    assert world.sent <= 1
    if isinstance(result, NeverSent):
        assert world.sent == 0


async def test_a_stopping_peer_sends_no_more_requests_of_others(fleet):
    nodes, targets = await start_service(fleet)
    cut_off(nodes[0], 'refuse')
    nodes[1].draining = nodes[2].draining = True
    responses = await gather(
        *(
            fetch(nodes[0], '/write/x', method='POST', request_id=f'r{number}')
            for number in range(10)
        )
    )
    assert {response.status for response in responses} == {200}
    assert_unsafe_requests_arrived_once(targets)
    for node, relayed in zip(nodes[1:], (0, 0, 10), strict=True):
        metrics = node.find('telemetry').metrics
        assert metrics.total('relayed_requests') == relayed


async def test_a_cut_off_node_reaches_targets_again_by_itself(fleet):
    nodes, _ = await start_service(fleet)
    exchanges = nodes[0].find('exchanges')
    open_connection = exchanges.pool.open
    cut_off(nodes[0], 'refuse')
    assert (await fetch(nodes[0], '/read/x')).status == 200
    paths = nodes[0].find('target_paths').paths
    assert paths.cut_off
    exchanges.pool.open = open_connection
    await fleet.wait_until(lambda: not paths.cut_off)
    relayed = nodes[0].find('telemetry').metrics.total('relayed_requests')
    assert (await fetch(nodes[0], '/read/x')).status == 200
    metrics = nodes[0].find('telemetry').metrics
    assert metrics.total('relayed_requests') == relayed


async def test_a_node_is_not_cut_off_if_all_targets_are_down(fleet):
    nodes, targets = await start_service(fleet)
    for target in targets:
        target.close()
    for node in nodes:
        assert (await fetch(node, '/write/x', method='POST')).status == 503
        assert not node.find('target_paths').paths.cut_off


@pytest.mark.parametrize('seed', range(5))
def test_the_only_peer_that_reaches_targets_is_found(seed):
    """More nodes are cut off than are asked at first."""
    world = FakeWorld(
        direct=(NeverSent(reason='refused'), False),
        relays=[('reply', RESULTS[0])],
        reached=False,
        reached_by_peer=False,
        members=[f'n{number}' for number in range(25)],
    )
    world.reaching_address = 'n24:1'
    result = run(exchange_in(world, cut_off_before=False, seed=seed))
    assert isinstance(result, CompleteAnswer)
    assert world.relayed_to[-1] == 'n24:1'
