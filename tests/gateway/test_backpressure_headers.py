"""Tests of what a node takes from an answer as a wish of its target."""

import pytest

from standins.raw_target import Reply
from tests.gateway.conftest import fetch
from tests.gateway.test_backpressure import paused_for
from tests.gateway.test_rate_limits import start_nodes

NAMED = 'Server-Leaving: 1\r\nRetry-After: 60\r\n'


ANSWERS = [
    'without the id',
    'of another request',
    'of another target',
    'interim',
    'in the trailer',
    'broken off',
    'after the answer',
]


@pytest.mark.parametrize(
    ('data', 'end'),
    [
        (
            'HTTP/1.1 503 No\r\nNot-Executed: 1\r\n@NAMED@'
            'Content-Length: 0\r\n\r\n',
            '',
        ),
        (
            'HTTP/1.1 503 No\r\nRequest-Id: other\r\nNot-Executed: 1\r\n'
            '@NAMED@Content-Length: 0\r\n\r\n',
            '',
        ),
        (
            'HTTP/1.1 421 No\r\nRequest-Id: @ID@\r\n@NAMED@'
            'Content-Length: 0\r\n\r\n',
            '',
        ),
        (
            'HTTP/1.1 103 Hints\r\nRequest-Id: @ID@\r\n@NAMED@\r\n'
            'HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n'
            'Content-Length: 2\r\n\r\nok',
            '',
        ),
        (
            'HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n'
            'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n@NAMED@\r\n',
            '',
        ),
        (
            'HTTP/1.1 503 No\r\nRequest-Id: @ID@\r\nNot-Executed: 1\r\n'
            '@NAMED@Content-Length: 99\r\n\r\n',
            'close',
        ),
        (
            'HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n'
            'Content-Length: 2\r\n\r\nokHTTP/1.1 503 No\r\n'
            'Request-Id: @ID@\r\n@NAMED@Content-Length: 0\r\n\r\n',
            '',
        ),
    ],
    ids=ANSWERS,
)
async def test_only_an_answer_of_the_target_itself_is_believed(
    fleet, data, end
):
    text = data.replace('@NAMED@', NAMED).encode()
    nodes = await start_nodes(fleet, count=1)
    await fleet.start_target(
        't1', lambda *_: Reply(data=text, connection_end=end), slots=4
    )
    targets = nodes[0].find('directory').targets
    await fleet.wait_until(lambda: len(targets) == 1)
    await fetch(nodes[0], '/write/x', method='POST')
    heard = nodes[0].find('backpressure').heard
    assert heard.withheld('t1', 0, nodes[0].now_s()) is None


@pytest.mark.parametrize(
    ('text', 'pauses'),
    [
        ('1.5', True),
        ('60', True),
        ('soon', False),
        ('', False),
        ('-3', False),
        ('nan', False),
        ('inf', False),
        ('Fri, 04 Dec 2026 14:00:00 GMT', False),
        ('0', False),
        ('2\r\nRetry-After: 5', True),
        ('2\r\nRetry-After: soon', True),
    ],
)
async def test_a_pause_that_cannot_be_read_is_none(fleet, text, pauses):
    nodes = await start_nodes(fleet, count=1)
    await fleet.start_target(
        't1', lambda *_: Reply(data=paused_for(text)), slots=4
    )
    targets = nodes[0].find('directory').targets
    await fleet.wait_until(lambda: len(targets) == 1)
    await fetch(nodes[0], '/write/x', method='POST')
    withheld = (
        nodes[0].find('backpressure').heard.withheld('t1', 0, nodes[0].now_s())
    )
    assert (withheld is not None) == pauses
