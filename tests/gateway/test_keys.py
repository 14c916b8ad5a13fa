"""Tests of customers' keys on running nodes."""

import logging
from asyncio import create_task, sleep

from aiohttp import ClientSession

from carawaylane.telemetry.events import CONFIG_IN_FORCE, ENTRY_UNREADABLE
from carawaylane.telemetry.json_formatter import JsonFormatter
from standins.raw_target import Reply
from tests.gateway.conftest import (
    connect,
    fetch,
    plan_spec,
    route_spec,
    send_request,
)

KEY = 'k-5f1dd0c2'
OTHER_KEY = 'k-93ab7718'
BEARER = f'Bearer {KEY}'


def tenants(*customers):
    return [
        {'name': name, 'api_keys': list(keys)} for name, *keys in customers
    ]


def plan(*customers, version=1, routes=None):
    return plan_spec(version, routes) | {'tenants': tenants(*customers)}


async def start(fleet, spec=None, make_reply=None, **kwargs):
    fleet.store.put('config', 'main', spec or plan(('acme', KEY)))
    target = await fleet.start_target('i-1', make_reply, **kwargs)
    node = await fleet.start_node('n1')
    await fleet.wait_until(lambda: node.find('directory').targets)
    return node, target


async def send_raw(node, *header_lines):
    """Send a request with exactly these header lines; return the status."""
    reader, writer = await connect(node)
    lines = (
        'GET /read/x HTTP/1.1',
        'Host: shop.example',
        'Request-Id: r1',
        *header_lines,
    )
    writer.write('\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n')
    status_line = await reader.readline()
    writer.close()
    return int(status_line.split()[1])


def forwarded_lines(target, number=-1):
    head = target.requests[number].partition(b'\r\n\r\n')[0]
    return [line.lower() for line in head.decode('latin-1').split('\r\n')]


async def test_the_target_gets_the_customer_but_not_the_key(fleet):
    node, target = await start(fleet)
    response = await fetch(
        node, '/read/x', Authorization=BEARER, Tenant='someone-else'
    )
    assert response.status == 200
    lines = forwarded_lines(target)
    assert [line for line in lines if line.startswith('tenant:')] == [
        'tenant: acme'
    ]
    assert KEY.encode() not in target.requests[-1]
    assert not any(line.startswith('authorization') for line in lines)


async def test_a_missing_unknown_or_ambiguous_key_gets_401(fleet):
    node, target = await start(fleet)
    for lines in (
        (),
        ('Authorization: Bearer unknown',),
        (f'Authorization: {KEY}',),
        (f'Authorization: Basic {KEY}',),
        ('Authorization: Bearer',),
        (f'Authorization: Bearer {KEY} {KEY}',),
        (f'Authorization: Bearer {KEY}, Bearer {KEY}',),
        (f'Authorization: Bearer {KEY.upper()}',),
        (f'Authorization: {BEARER}', f'Authorization: {BEARER}'),
        (f'Authorization: {BEARER}', 'authorization: Bearer unknown'),
        ('Authorization: Bearer \xff\xfe',),
    ):
        assert await send_raw(node, *lines) == 401, lines
    assert not target.requests


async def test_other_spellings_of_the_header_are_accepted(fleet):
    node, target = await start(fleet)
    for line in (
        f'authorization: bearer {KEY}',
        f'AUTHORIZATION: BEARER {KEY}',
        f'Authorization:   Bearer   {KEY}  ',
    ):
        assert await send_raw(node, line) == 200, line
    assert len(target.requests) == 3


async def test_headers_named_in_connection_do_not_hide_the_customer(fleet):
    """Guards against a caller who has `Tenant` removed on the way."""
    node, target = await start(fleet)
    status = await send_raw(
        node,
        f'Authorization: {BEARER}',
        'Connection: Tenant, Authorization',
    )
    assert status == 200
    assert 'tenant: acme' in forwarded_lines(target)
    assert KEY.encode() not in target.requests[-1]


async def test_an_exempt_route_needs_no_key_and_passes_no_customer(fleet):
    routes = [
        route_spec('open', '/open/', auth_exempt=True),
        route_spec('read', '/read/'),
    ]
    node, target = await start(fleet, plan(('acme', KEY), routes=routes))
    response = await fetch(node, '/open/x', Tenant='forged')
    assert response.status == 200
    assert not any(
        line.startswith('tenant:') for line in forwarded_lines(target)
    )
    response = await fetch(node, '/open/x', Authorization='Bearer unknown')
    assert response.status == 200
    assert b'unknown' not in target.requests[-1]
    assert (await fetch(node, '/read/x')).status == 401


async def test_keys_may_change_on_one_connection(fleet):
    """Guards against a customer that is remembered for a connection."""
    node, target = await start(fleet, plan(('acme', KEY), ('bolt', OTHER_KEY)))
    conn = await connect(node)
    statuses = [
        (await send_request(conn, '/read/x', **headers)).status
        for headers in (
            {'Authorization': BEARER},
            {},
            {'Authorization': f'Bearer {OTHER_KEY}'},
            {'Authorization': 'Bearer unknown'},
            {'Authorization': BEARER},
        )
    ]
    conn[1].close()
    assert statuses == [200, 401, 200, 401, 200]
    assert [
        line
        for number in range(3)
        for line in forwarded_lines(target, number)
        if line.startswith('tenant:')
    ] == ['tenant: acme', 'tenant: bolt', 'tenant: acme']


async def test_without_customers_the_key_is_passed_on_as_before(fleet):
    node, target = await start(fleet, plan_spec())
    assert (await fetch(node, '/read/x', Authorization=BEARER)).status == 200
    assert KEY.encode() in target.requests[-1]


async def test_a_key_withdrawn_while_its_request_is_queued_is_refused(fleet):
    node, target = await start(
        fleet, make_reply=lambda *_: Reply(delay_s=0.6), slots=1
    )
    first = create_task(fetch(node, '/write/a', Authorization=BEARER))
    await fleet.wait_until(lambda: target.requests)
    queued = create_task(fetch(node, '/write/b', Authorization=BEARER))
    await sleep(0.1)
    fleet.store.put('config', 'main', plan(('acme', OTHER_KEY), version=2))
    assert (await queued).status == 401
    # The target has it already; its answer is delivered.
    assert (await first).status == 200
    assert len(target.requests) == 1


async def test_a_key_withdrawn_before_a_second_attempt_is_refused(fleet):
    """Two targets shed; the key is gone when the second would be asked."""
    shed = Reply(
        data=b'HTTP/1.1 503 Service Unavailable\r\nRequest-Id: @ID@\r\n'
        b'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
        delay_s=0.6,
    )
    node, first = await start(fleet, make_reply=lambda *_: shed)
    second = await fleet.start_target('i-2', lambda *_: shed)
    await fleet.wait_until(lambda: len(node.find('directory').targets) == 2)
    pending = create_task(fetch(node, '/write/a', Authorization=BEARER))
    await fleet.wait_until(lambda: first.requests or second.requests)
    fleet.store.put('config', 'main', plan(('acme', OTHER_KEY), version=2))
    assert (await pending).status == 401
    assert len(first.requests) + len(second.requests) == 1


async def test_a_withdrawn_key_is_refused_at_all_nodes_in_time(fleet):
    """By the platform's contract within 2.5 s of the acknowledgement."""
    node, _ = await start(fleet)
    other = await fleet.start_node('n2', seeds=[node.cfg.peer_listen])
    fleet.store.put('config', 'main', plan(('acme', OTHER_KEY), version=2))
    await sleep(2.5)
    for each in (node, other):
        assert (await fetch(each, '/read/x', Authorization=BEARER)).status == (
            401
        )
        response = await fetch(
            each, '/read/x', Authorization=f'Bearer {OTHER_KEY}'
        )
        assert response.status == 200


async def test_an_invalid_configuration_leaves_the_last_one_in_force(
    fleet, caplog
):
    node, _ = await start(fleet)
    for version, bad_tenants in enumerate(
        (
            [{'api_keys': [OTHER_KEY]}],
            [{'name': '', 'api_keys': [OTHER_KEY]}],
            tenants(('a', OTHER_KEY), ('b', OTHER_KEY)),
            tenants(('a', OTHER_KEY), ('a', 'k-3')),
            [{'name': 'a', 'api_keys': [OTHER_KEY], 'rate_per_s': -1}],
            [{'name': 'a', 'api_keys': [OTHER_KEY], 'burst': 'ten'}],
            [{'name': 'a', 'api_keys': [OTHER_KEY], 'rate_per_s': True}],
            [{'name': 'a', 'api_keys': OTHER_KEY}],
            [{'name': 'a', 'api_keys': [7]}],
            {'a': OTHER_KEY},
            'a',
            [[OTHER_KEY]],
        ),
        start=2,
    ):
        lines_before = caplog.text.count(ENTRY_UNREADABLE.name)
        fleet.store.put(
            'config', 'main', plan_spec(version) | {'tenants': bad_tenants}
        )
        await fleet.wait_until(
            lambda n=lines_before: caplog.text.count(ENTRY_UNREADABLE.name) > n
        )
        assert 'tenants' in caplog.messages[-1], bad_tenants
        assert (
            await fetch(node, '/read/x', Authorization=BEARER)
        ).status == 200
        response = await fetch(
            node, '/read/x', Authorization=f'Bearer {OTHER_KEY}'
        )
        assert response.status == 401
    assert OTHER_KEY not in caplog.text


async def test_no_output_contains_a_key(fleet, caplog):
    """Greps logs as text and as JSON, the metrics page and the answers."""
    caplog.set_level(logging.DEBUG)
    node, target = await start(fleet, plan(('acme', KEY), ('bolt', OTHER_KEY)))
    answers = [
        await fetch(node, '/read/x', Authorization=BEARER),
        await fetch(node, '/read/x', Authorization=f'Basic {KEY}'),
        await fetch(node, '/none/x', Authorization=BEARER),
        await fetch(node, '/read/x', Authorization=f'{BEARER} {OTHER_KEY}'),
    ]
    fleet.store.put('config', 'main', plan(('a', KEY), ('b', KEY), version=2))
    await fleet.wait_until(lambda: ENTRY_UNREADABLE.name in caplog.text)
    async with (
        ClientSession() as session,
        session.get(
            f'http://127.0.0.1:{node.cfg.metrics_port}/metrics'
        ) as rsp,
    ):
        outputs = [await rsp.text()]
    formatter = JsonFormatter()
    outputs += [formatter.format(record) for record in caplog.records]
    outputs += [str(answer) for answer in answers]
    outputs += [str(request) for request in target.requests]
    outputs += [caplog.text, repr(node.find('directory').plan)]
    assert CONFIG_IN_FORCE.name in caplog.text
    for output in outputs:
        assert KEY not in output
        assert OTHER_KEY not in output
