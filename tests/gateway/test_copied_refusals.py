"""Tests of targets that repeat an earlier refusal.

The copy bears the id of the refused request. A caller is told that a request
did not run only if no target runs it, and an unsafe one runs once at most.
"""

from asyncio import IncompleteReadError, sleep, start_server

import pytest

from standins.raw_target import OK, Reply, read_request, request_id_of
from tests.gateway.conftest import fetch, plan_spec
from tests.gateway.test_cut_off_nodes import cut_off

RUN_S = 0.2
RETRY_S = 0.02
REQUEST_ID = 'r1'
REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\nRequest-Id: @ID@\r\n'
    b'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)
MISDIRECTED = (
    b'HTTP/1.1 421 Misdirected Request\r\nRequest-Id: @ID@\r\n'
    b'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)
# What a target does with a request that it has refused once.
COPIES = {
    'at once': [Reply(data=REFUSAL + REFUSAL), Reply(delay_s=RUN_S)],
    'while idle': [
        Reply(data=REFUSAL, after=REFUSAL),
        Reply(delay_s=RUN_S),
    ],
    'before it runs': [
        Reply(data=REFUSAL),
        Reply(before=REFUSAL, delay_s=RUN_S),
    ],
    'twice before it runs': [
        Reply(data=REFUSAL),
        Reply(before=REFUSAL + REFUSAL, delay_s=RUN_S),
    ],
}
REQUESTS = {'safe': ('GET', '/read/x'), 'unsafe': ('POST', '/write/x')}


NOT_EXECUTED = b'Not-Executed: 1\r\n'
# Answers on a kept connection that are no refusals of the request that runs.
UNTRUE_REFUSALS = {
    'no id': REFUSAL.replace(b'Request-Id: @ID@\r\n', b''),
    'misdirected without an id': MISDIRECTED.replace(
        b'Request-Id: @ID@\r\n', b''
    ),
    'two ids': REFUSAL.replace(
        b'Not-Executed', b'Request-Id: r0\r\nNot-Executed'
    ),
    'two ids, the other first': REFUSAL.replace(
        b'Request-Id', b'Request-Id: r0\r\nRequest-Id'
    ),
    'another id': REFUSAL.replace(b'@ID@', b'r0'),
    'an empty id': REFUSAL.replace(b'@ID@', b''),
    'a success': REFUSAL.replace(b'503 Service Unavailable', b'200 OK'),
    'an error': REFUSAL.replace(b'503 Service Unavailable', b'500 Error'),
    'no promise, 503': REFUSAL.replace(NOT_EXECUTED, b''),
    'no promise, 429': REFUSAL.replace(NOT_EXECUTED, b'').replace(
        b'503 Service Unavailable', b'429 Too Many Requests'
    ),
    'no promise, 408': REFUSAL.replace(NOT_EXECUTED, b'').replace(
        b'503 Service Unavailable', b'408 Request Timeout'
    ),
}


class RefusingTarget:
    """Target that refuses its first request, and copies the refusal later.

    A copy comes on the connection of the refusal only.
    """

    def __init__(self, replies):
        self._replies = replies
        self.target = None
        self.runs = 0

    async def start(self, fleet, name):
        self.target = await fleet.start_target(name, self._reply)
        return self

    def _reply(self, number, _data):
        reply = self._replies[min(number, len(self._replies)) - 1]
        self.runs += b'Not-Executed' not in reply.data
        if number > 1 and self.target.connections > 1:
            return Reply(data=reply.data, delay_s=reply.delay_s)
        return reply


async def come_back(node, method, path, until):
    """Send a request again and again under its id; return the statuses."""
    statuses = []
    while not until():
        response = await fetch(
            node, path, method=method, request_id=REQUEST_ID
        )
        statuses.append(response.status)
        await sleep(RETRY_S)
    return statuses


@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'by a peer'])
@pytest.mark.parametrize('kind', REQUESTS)
@pytest.mark.parametrize('moment', COPIES)
async def test_a_copied_refusal_does_not_refuse_the_request_when_it_is_back(
    fleet, moment, kind, relayed
):
    fleet.store.put('config', 'main', plan_spec())
    target = await RefusingTarget(COPIES[moment]).start(fleet, 'i-1')
    node = await fleet.start_node('n1')
    if relayed:
        peer = await fleet.start_node('n2')
        members = node.find('directory').members
        await fleet.wait_until(lambda: len(members) == 2)
        await fleet.wait_until(peer.find('callers').ready)
        cut_off(node, 'refuse')
    statuses = await come_back(node, *REQUESTS[kind], lambda: target.runs)
    assert target.runs == 1
    assert statuses[-1] == 200
    assert set(statuses[:-1]) == {503}


@pytest.mark.parametrize('kind', REQUESTS)
async def test_a_copied_refusal_does_not_send_a_running_request_elsewhere(
    fleet, kind
):
    fleet.store.put('config', 'main', plan_spec())
    targets = [
        await RefusingTarget(COPIES['before it runs']).start(fleet, name)
        for name in ('i-1', 'i-2')
    ]
    node = await fleet.start_node('n1')
    statuses = await come_back(
        node, *REQUESTS[kind], lambda: any(t.runs for t in targets)
    )
    assert sum(target.runs for target in targets) == 1
    assert statuses[-1] == 200


async def test_a_copied_misdirection_does_not_stop_the_next_target_there(
    fleet,
):
    fleet.store.put('config', 'main', plan_spec())
    target = await RefusingTarget(
        [Reply(data=MISDIRECTED), Reply(before=MISDIRECTED, delay_s=RUN_S)]
    ).start(fleet, 'i-1')
    address = fleet.store.objects['servers']['i-1']['spec']['address']
    fleet.register_target('i-2', int(address.rpartition(':')[2]))
    node = await fleet.start_node('n1')
    directory = node.find('directory')
    await fleet.wait_until(lambda: len(directory.targets) == 2)
    response = await fetch(node, '/write/x', method='POST')
    assert response.status == 200
    assert target.runs == 1


@pytest.mark.parametrize('name', UNTRUE_REFUSALS)
async def test_only_a_refusal_that_names_the_request_refuses_it(fleet, name):
    runs = []

    def make_reply(number, data):
        runs.append(data)
        before = UNTRUE_REFUSALS[name] if number > 1 else b''
        return Reply(before=before, delay_s=RUN_S if number > 1 else 0)

    fleet.store.put('config', 'main', plan_spec())
    for target in ('i-1', 'i-2'):
        await fleet.start_target(target, make_reply)
    node = await fleet.start_node('n1')
    for number in range(1, 5):
        response = await fetch(
            node, '/write/x', method='POST', request_id=f'r{number}'
        )
        assert response.status in (200, 502, 504)
        assert (response.status == 200) == (
            'response-seal' in response.headers
        )
    assert len(runs) == 4


@pytest.mark.parametrize(
    'name',
    [
        'no promise, 503',
        'no promise, 429',
        'no id',
        'misdirected without an id',
    ],
)
async def test_a_first_answer_that_promises_nothing_is_no_refusal(fleet, name):
    fleet.store.put('config', 'main', plan_spec())
    target = await fleet.start_target(
        'i-1', lambda *_: Reply(data=UNTRUE_REFUSALS[name])
    )
    node = await fleet.start_node('n1')
    response = await fetch(node, '/write/x', method='POST')
    assert response.status in (502, 504)
    assert len(target.requests) == 1


async def test_a_copy_on_the_former_connection_does_not_refuse_the_request(
    fleet,
):
    """The copy comes on the connection of the refusal, as the request runs."""
    writers = []

    async def serve(reader, writer):
        writers.append(writer)
        try:
            while True:
                data = await read_request(reader)
                request_id = request_id_of(data)
                copy = REFUSAL.replace(b'@ID@', request_id)
                if len(writers) == 1:
                    writer.write(copy)
                    continue
                await sleep(RUN_S / 2)
                writers[0].write(copy)
                await sleep(RUN_S / 2)
                writer.write(OK.replace(b'@ID@', request_id))
        except (IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    fleet.store.put('config', 'main', plan_spec())
    server = await start_server(serve, '127.0.0.1', 0)
    fleet.register_target('i-1', server.sockets[0].getsockname()[1])
    node = await fleet.start_node('n1')
    statuses = await come_back(
        node, 'POST', '/write/x', lambda: len(writers) > 1
    )
    server.close()
    assert set(statuses[:-1]) == {503}
    assert statuses[-1] == 200
