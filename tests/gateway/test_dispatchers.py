"""The home's side of dispatching in a running node."""

from asyncio import sleep

from carawaylane.decisions.failure_estimate import Result
from carawaylane.gateway.dispatchers import ReportResult
from carawaylane.messages.dispatch import SlotRequest
from tests.gateway.conftest import fetch, plan_spec


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

    def count_and_serve(now_s):
        passes.append(now_s)
        return serve_queue(now_s)

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
