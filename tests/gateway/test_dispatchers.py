"""The home's side of dispatching in a running node."""

from asyncio import sleep

import pytest
from attrs import evolve

from carawaylane.decisions.admission.order import ShareOrder
from carawaylane.decisions.placement.failure_estimate import Result
from carawaylane.gateway import dispatchers as dispatchers_module
from carawaylane.gateway.dispatchers import (
    IDLE_PERIOD_S,
    QUEUE_PERIOD_S,
    ReportResult,
    RequestSlot,
)
from carawaylane.messages.dispatch import Grant, SlotRequest
from carawaylane.settings.gateway import Admission, Placement
from standins.raw_target import Reply
from tests.gateway.conftest import fetch, plan_spec, route_spec


def slot_request(ticket):
    return SlotRequest(
        ticket=ticket,
        data_centre='z1',
        route='read',
        priority=1,
        idempotent=True,
        left_s=1.0,
        objective_s=0.6,
    )


async def test_results_that_arrive_together_serve_the_queue_once(fleet):
    """A pass over a long queue takes longer than the next result."""
    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-1', slots=40)
    node = await fleet.start_node('n1')
    assert (await fetch(node, '/read/1')).status == 200
    dispatchers = node.find('dispatchers')
    dispatcher = dispatchers.dispatchers['stock']
    slot_client = node.find('dispatch')
    tickets = [slot_client.new_ticket() for _ in range(20)]
    passes = []
    serve_queue = dispatcher.serve_queue

    def count_and_serve(now_s, **kwargs):
        passes.append(now_s)
        return serve_queue(now_s, **kwargs)

    dispatcher.serve_queue = count_and_serve
    target = next(iter(dispatcher.pool.targets.values()))
    for ticket in tickets:
        dispatcher.pool.add_in_flight(
            target, slot_request(ticket), node.now_s(), 0.5
        )
        dispatchers.post(
            ReportResult(
                service='stock',
                ticket=ticket,
                result=Result.ANSWERED,
                duration_s=0.1,
            )
        )
    await sleep(0)
    await sleep(0)
    assert not dispatcher.pool.in_flight
    assert len(passes) == 1


async def test_a_node_without_queued_requests_does_not_run_its_queues(
    fleet, monkeypatch
):
    """Hundreds of nodes that wake up often cost more than their requests."""
    periods_s = []

    async def count_and_sleep(period_s):
        periods_s.append(period_s)
        await sleep(period_s)

    monkeypatch.setattr(dispatchers_module, 'sleep', count_and_sleep)
    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-1')
    node = await fleet.start_node('n1')
    await sleep(10 * QUEUE_PERIOD_S)
    assert QUEUE_PERIOD_S not in periods_s
    # As a home, it also drops requests whose entry is lost.
    assert (await fetch(node, '/read/1')).status == 200
    periods_s.clear()
    await sleep(2 * IDLE_PERIOD_S)
    assert periods_s.count(QUEUE_PERIOD_S) <= 3


async def test_a_queued_request_is_served_though_nothing_else_happens(fleet):
    """It waits for less risk, not for an event."""
    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-1')
    node = await fleet.start_node('n1')
    assert (await fetch(node, '/read/1')).status == 200
    dispatcher = node.find('dispatchers').dispatchers['stock']
    grant = dispatcher._try_grant
    asked = []

    def grant_later(request, now_s, **kwargs):
        asked.append(now_s)
        if len(asked) < 4:
            return None
        return grant(request, now_s, **kwargs)

    dispatcher._try_grant = lambda request, now_s, waited_s=0.0, **kwargs: (
        grant_later(request, now_s, waited_s=waited_s, **kwargs)
    )
    await sleep(0.1)
    assert (await fetch(node, '/read/2')).status == 200


async def test_a_home_replies_once_it_knows_the_first_targets(fleet):
    """Entries that learned the targets sooner were refused."""
    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-1')
    fleet.store.fault = 'busy'
    node = await fleet.start_node('n1', ready=False)
    replies = []
    node.find('dispatchers').post(
        RequestSlot(
            service='stock',
            request=slot_request(('n2', 1)),
            on_reply=replies.append,
        )
    )
    await sleep(2 * QUEUE_PERIOD_S)
    assert replies == []
    fleet.store.fault = ''
    await fleet.wait_until(lambda: replies)
    assert [type(reply) for reply in replies] == [Grant]


async def test_entries_report_the_bytes_of_answers_to_the_home(fleet):
    """Without them, a home places large answers like small ones."""
    fleet.store.put(
        'config',
        'main',
        plan_spec(routes=[route_spec('read', '/read/', kind='download')]),
    )
    body = b'x' * 200_000
    head = (
        'HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    await fleet.start_target(
        'i-1', lambda *_: Reply(data=head.encode() + body)
    )
    nodes = [await fleet.start_node(f'n{number}') for number in range(2)]
    for node in nodes:
        members = node.find('directory').members
        await fleet.wait_until(lambda m=members: len(m) == 2)
    for node in nodes:
        for number in range(4):
            assert (await fetch(node, f'/read/{number}')).status == 200
    pools = [
        dispatcher.pool
        for node in nodes
        for dispatcher in node.find('dispatchers').dispatchers.values()
    ]
    assert {pool.placement for pool in pools} == {Placement.COST}

    def means():
        return [
            mean
            for pool in pools
            for mean in pool.answer_sizes._means.values()
        ]

    # One home gets the reports of both entries.
    await fleet.wait_until(lambda: [mean.count for mean in means()] == [8])
    assert means()[0].value > 100_000


@pytest.mark.parametrize(
    ('admission', 'has_customers', 'by_shares'),
    [
        (Admission.AUTO, True, True),
        (Admission.AUTO, False, False),
        (Admission.ON, False, True),
        (Admission.OFF, True, False),
    ],
)
async def test_shares_take_effect_where_the_configuration_asks_for_them(
    fleet, admission, has_customers, by_shares
):
    """Guards against new decisions for deployments without customers."""
    plan = plan_spec()
    key = {}
    if has_customers:
        plan['tenants'] = [
            {'name': 'a', 'api_keys': ['a-key'], 'rate_per_s': 7.0}
        ]
        key = {'Authorization': 'Bearer a-key'}
    fleet.store.put('config', 'main', plan)
    await fleet.start_target('i-1')
    node = await fleet.start_node('n1')
    node.cfg = evolve(node.cfg, admission=admission)
    assert (await fetch(node, '/read/1', **key)).status == 200
    dispatchers = node.find('dispatchers')
    order = dispatchers.dispatchers['stock']._order
    assert isinstance(order, ShareOrder) is by_shares
    if by_shares:
        weights = {'a': 7.0} if has_customers else {}
        assert order.shares.weights == weights
