"""Tests of the attempts that follow each other for one request."""

import pytest

from standins.raw_target import OK, Reply
from tests.gateway.conftest import fetch, plan_spec, route_spec
from tests.gateway.test_rate_limits import SHED

TARGETS = 4
TIMEOUT_MS = 3000
GARBAGE = b'\x00\x01 no answer\r\n\r\n'
ERROR = OK.replace(b'200 OK', b'500 Internal Server Error')


class Targets:
    """Targets of which the first request hangs and the second one fails."""

    def __init__(self, second):
        self.requests = 0
        self._second = second

    def reply(self, _number, _data):
        self.requests += 1
        if self.requests == 1:
            return Reply(hang=True)
        return (self.requests == 2 and self._second) or Reply()


@pytest.mark.parametrize(
    ('second', 'max_attempts'),
    [
        (None, 2),
        (Reply(data=SHED), 3),
        (Reply(data=ERROR), 3),
        (Reply(data=GARBAGE), 3),
        (Reply(data=OK[:-1], connection_end='close'), 3),
        (Reply(data=b'', connection_end='reset'), 3),
    ],
    ids=['refused', 'shed', 'error', 'garbled', 'broken off', 'reset'],
)
async def test_a_third_target_is_tried_if_the_second_fails_beside_a_hung_one(
    fleet, second, max_attempts
):
    fleet.store.put(
        'config',
        'main',
        plan_spec(
            routes=[
                route_spec(
                    'read',
                    '/read/',
                    timeout_ms=TIMEOUT_MS,
                    max_attempts=max_attempts,
                )
            ]
        ),
    )
    node = await fleet.start_node('n1')
    targets = Targets(second)
    for number in range(TARGETS):
        await fleet.start_target(f't{number}', targets.reply)
    known = node.find('directory').targets
    await fleet.wait_until(lambda: len(known) == TARGETS)
    if second is None:
        refuse_connection(node.find('exchanges'), 2)
    response = await fetch(node, '/read/x')
    assert response.status == 200


def refuse_connection(exchanges, number):
    """Let the nth connection that a node opens for a request be refused."""
    open_connection = exchanges.pool.open
    opened = 0

    async def refuse_one(address):
        nonlocal opened
        opened += 1
        if opened == number:
            raise ConnectionRefusedError
        return await open_connection(address)

    async def reaches(_address):
        return True

    exchanges.pool.open = refuse_one
    exchanges.reaches = reaches
