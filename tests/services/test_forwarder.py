"""Tests of requests that are sent to one home after another."""

from asyncio import start_server

from attrs import evolve

from carawaylane.config.schema import Target
from carawaylane.decisions.ownership.fleet import Member
from carawaylane.messages.home import Configure
from carawaylane.messages.outcomes import Answered
from standins.raw_target import RawTarget, Reply
from tests.services.test_attempts import KIND, OK, REFUSAL, make_request


async def start_forwarder(kernel, **changes):
    """Return the homes of a service with two shards, both at this node."""
    for name in ('runner', 'forwarder'):
        await kernel.find(name).start()
    relay = kernel.find('relay')
    relay.config.docs['TrafficKind', 'k'] = KIND
    relay.fleet.members[kernel.member] = Member(
        name=kernel.member, host='h', data_centre='dc', rpc='127.0.0.1:2'
    )
    services = kernel.find('catalogue').config.services
    services['s'] = evolve(services['s'], shards=2, **changes)
    return [
        await kernel.find('homes').get_or_create_home(('s', number))
        for number in range(2)
    ]


def configure(kernel, home, targets):
    spec = kernel.find('catalogue').config.services['s']
    home.post(
        Configure(service=spec, targets=targets, leaving_hosts=frozenset())
    )


async def test_a_copy_of_a_refusal_refuses_no_run_at_another_home(kernel):
    """The target has moved to the other shard, and is full as it runs."""

    def make_reply(number, _data):
        if number == 1:
            for home, targets in zip(homes, ([], [spec]), strict=True):
                configure(kernel, home, targets)
            return Reply(data=REFUSAL)
        if number > 2:
            return Reply(data=REFUSAL)
        copy = REFUSAL if target.connections == 1 else b''
        return Reply(data=OK, before=copy)

    target = RawTarget(plan=make_reply)
    async with await start_server(target.serve, '127.0.0.1', 0) as server:
        port = server.sockets[0].getsockname()[1]
        spec = Target(name='t', address=f'127.0.0.1:{port}')
        homes = await start_forwarder(kernel, echoes_request_id=True)
        configure(kernel, homes[0], [spec])
        configure(kernel, homes[1], [])
        req = make_request(kernel, left_ms=5000)
        chunks = [
            chunk
            async for chunk in kernel.find('forwarder').forward(
                req, unsafe=False
            )
        ]
    assert len(target.requests) == 2
    assert isinstance(chunks[-1].outcome, Answered)
