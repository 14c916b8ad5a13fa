"""From the id of a failed request to its cause, by program."""

from json import dumps, loads

import pytest
from typer.testing import CliRunner

from carawaylane.commands.cli import app
from carawaylane.commands.explain import Explanation, explain_request
from carawaylane.messages.outcomes import Problem
from carawaylane.telemetry.events import (
    REQUEST_ENDED,
    REQUEST_QUEUED,
    REQUEST_REFUSED,
    TARGET_RESULT,
)
from standins.raw_target import Reply
from tests.gateway.conftest import Fleet, ask, plan, route

SHED = (
    b'HTTP/1.1 503 Service Unavailable\r\nRequest-Id: @ID@\r\n'
    b'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)


@pytest.fixture
async def fleet():
    made = Fleet()
    await made.open()
    yield made
    await made.close()


@pytest.fixture
def lines(monkeypatch):
    """Collect the lines that the nodes in this process would write."""
    found = []

    def emit(event, *, failed=False, **fields):
        row = {'event': event.number, 'name': event.name, **fields}
        found.append(dumps({'time': len(found), **row}, default=str))

    for name in ('callers', 'forwarding', 'dispatchers', 'dispatch'):
        monkeypatch.setattr(f'carawaylane.gateway.{name}.emit', emit)
    return found


async def cause_of(fleet, lines, answers, **kwargs):
    routes = [
        route('read', '/read/', timeout_ms=400),
        route('write', '/write/', kind='unsafe', timeout_ms=400),
    ]
    fleet.store.put('config', 'main', plan(1, routes))
    if answers is not None:
        await fleet.target('i-1', answers)
    node = await fleet.node('n1')
    await ask(node, ident='lost', **kwargs)
    found = explain_request('lost', ['noise', *lines, '{broken'])
    assert isinstance(found, Explanation)
    return found.cause


async def test_an_unsafe_request_that_hung(fleet, lines):
    cause = await cause_of(
        fleet,
        lines,
        lambda n, data: Reply(hang=True),
        path='/write/x',
        method='POST',
        body=b'1',
    )
    assert 'target i-1 gave no answer within' in cause
    assert 'may have run' in cause


async def test_a_request_that_was_refused(fleet, lines):
    cause = await cause_of(
        fleet, lines, None, path='/write/x', method='POST', body=b'1'
    )
    assert 'did not run' in cause
    assert 'no target is known' in cause


async def test_a_request_that_targets_shed(fleet, lines):
    cause = await cause_of(
        fleet, lines, lambda n, data: Reply(data=SHED), path='/read/x'
    )
    assert 'did not run' in cause
    assert 'shed by i-1' in cause


async def test_a_request_without_a_route(fleet, lines):
    routes = [route('read', '/read/')]
    fleet.store.put('config', 'main', plan(3, routes))
    node = await fleet.node('n1')
    await ask(node, '/none/x', ident='lost')
    found = explain_request('lost', lines)
    assert 'version 3' in found.cause


async def test_a_served_request(fleet, lines):
    cause = await cause_of(fleet, lines, lambda n, d: Reply(), path='/read/x')
    assert cause == 'target i-1 answered 200'


def explain_hang(hedge):
    """Explain a request that hung, with the line of its hedge."""
    rows = [
        hedge,
        {
            'event': TARGET_RESULT.number,
            'target': 'i-1',
            'result': 'OVERDUE',
            'took_ms': 1745,
            'risk': 0.56,
            'reason': 'no answer in time',
        },
        {'event': REQUEST_ENDED.number, 'status': 504, 'reason': 'late'},
    ]
    lines = [dumps({'request': 'lost', **row}) for row in rows]
    return explain_request('lost', lines)


def test_hedges_that_found_no_slot_are_told():
    """Found on a full day: the cause named the hung target only."""
    hedge = {
        'event': REQUEST_REFUSED.number,
        'turn': 'HEDGE',
        'reason': 'no free slot for a hedge',
        'waiting': 31,
    }
    found = explain_hang(hedge)
    assert 'i-1 gave no answer within 1745 ms' in found.cause
    assert 'no free slot for a hedge (31 waiting)' in found.cause


def test_a_hedge_that_still_waited_is_told():
    hedge = {
        'event': REQUEST_QUEUED.number,
        'turn': 'HEDGE',
        'expect_ms': 420,
        'waiting': 7,
    }
    found = explain_hang(hedge)
    assert 'still queued when it ended (7 waiting' in found.cause


def test_an_unknown_id_says_what_to_look_for():
    found = explain_request('x', ['{"request": "y"}'])
    assert isinstance(found, Problem)
    assert 'left_out' in found.reason


def test_the_command_reads_files_and_exits_plainly(tmp_path):
    log = tmp_path / 'node.log'
    row = {
        'time': 1,
        'event': 605,
        'name': 'request-ended',
        'request': 'abc',
        'status': 504,
        'reason': 'no answer in time',
        'took_ms': 5,
    }
    log.write_text('1.0 front-1 ' + dumps(row) + '\n')
    runner = CliRunner()
    done = runner.invoke(app, ['why', 'abc', str(log), '-o', 'json'])
    assert done.exit_code == 0
    assert 'without a target' in loads(done.stdout)[0]['cause']
    missing = runner.invoke(app, ['why', 'zzz', str(log)])
    assert missing.exit_code == 2
    assert 'Traceback' not in missing.output


def test_a_settings_file_is_checked_without_a_node(tmp_path):
    file = tmp_path / 'local.json'
    file.write_text('{"node": "n"}')
    done = CliRunner().invoke(app, ['check-settings', str(file)])
    assert done.exit_code == 2
    assert 'is missing' in done.output
