"""Tests of nodes that reach the store and their peers, but no target."""

from asyncio import gather, sleep
from collections import Counter
from itertools import count
from time import monotonic

import pytest

from standins.raw_target import Reply
from tests.gateway.conftest import fetch, plan_spec

TARGETS = 4
PAUSE_S = 0.05
# The operators' bound: from 3 s after the cut began, callers of the cut nodes
# are served at least two thirds as often as those of the others.
NOTICE_S, LOAD_S, SHARE = 3.0, 3.0, 2 / 3
WORK_S = 0.02
CONNECT_ERRORS = {
    'hang': TimeoutError,
    'reset': ConnectionResetError,
    'refuse': ConnectionRefusedError,
}


class BlackHole:
    """Transport of a connection that has gone silent."""

    def __init__(self, transport):
        self._transport = transport

    def write(self, data):
        pass

    def abort(self):
        self._transport.abort()


def cut_off(node, how):
    """Cut a node off from all targets.

    Connections hang, are reset, or live on while new ones are refused.
    """
    exchanges = node.find('exchanges')
    pools = exchanges.pool._idle.values()
    idle = [conn for conns in pools for conn in conns]

    async def open_connection(_address):
        if how == 'hang':
            await sleep(60)
        raise CONNECT_ERRORS[how]

    exchanges.pool.open = open_connection
    for conn in idle:
        if how == 'hang':
            conn.transport = BlackHole(conn.transport)
        elif how == 'reset':
            conn.transport.abort()


async def start_service(fleet):
    fleet.store.put('config', 'main', plan_spec())
    nodes = await gather(*(fleet.start_node(f'n{n}') for n in range(4)))
    targets = [
        await fleet.start_target(
            f'i-{n}', lambda *_: Reply(delay_s=WORK_S), slots=8
        )
        for n in range(TARGETS)
    ]
    for node in nodes:
        directory = node.find('directory')
        await fleet.wait_until(
            lambda d=directory: (
                len(d.members) == len(nodes) and len(d.targets) == TARGETS
            )
        )
    return nodes, targets


async def send_load(node, load_s, numbers):
    """Send requests of both kinds; return the share that was served."""
    statuses = Counter()

    async def send(kind, method):
        end_s = monotonic() + load_s
        while monotonic() < end_s:
            response = await fetch(
                node,
                f'/{kind}/x',
                method=method,
                request_id=f'{node.cfg.name}-{next(numbers)}',
            )
            statuses[response.status] += 1
            await sleep(PAUSE_S)

    await gather(send('read', 'GET'), send('write', 'POST'))
    return statuses[200] / statuses.total()


def assert_unsafe_requests_arrived_once(targets):
    ids = Counter(
        data.partition(b'Request-Id: ')[2].partition(b'\r\n')[0]
        for target in targets
        for data in target.requests
        if data.startswith(b'POST')
    )
    assert ids
    assert set(ids.values()) == {1}


@pytest.mark.parametrize('how', ['hang', 'reset', 'refuse'])
@pytest.mark.parametrize('cut_count', [1, 3])
async def test_callers_of_nodes_that_reach_no_target_are_served(
    fleet, how, cut_count
):
    nodes, targets = await start_service(fleet)
    numbers = count()
    await gather(*(send_load(node, 1.0, numbers) for node in nodes))
    cut_nodes, others = nodes[:cut_count], nodes[cut_count:]
    for node in cut_nodes:
        cut_off(node, how)
    await gather(*(send_load(node, NOTICE_S, numbers) for node in nodes))
    shares = await gather(*(send_load(n, LOAD_S, numbers) for n in nodes))
    cut_shares, other_shares = shares[:cut_count], shares[cut_count:]
    assert len(other_shares) == len(others)
    assert min(other_shares) >= 0.9
    assert min(cut_shares) >= SHARE * min(other_shares)
    assert_unsafe_requests_arrived_once(targets)
