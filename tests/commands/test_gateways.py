"""Operators see the state of nodes on the users' machines."""

from asyncio import to_thread
from json import loads

import pytest
from typer.testing import CliRunner

from bench.ports import free_port
from carawaylane.commands.cli import EXIT_UNAVAILABLE, app
from carawaylane.commands.gateways import gateway_row
from standins.raw_target import Reply
from tests.gateway.conftest import ask, fleet, plan

__all__ = ['fleet']


async def status(*args):
    return await to_thread(
        CliRunner().invoke, app, ['status', 'gateways', *args]
    )


async def test_a_node_tells_what_it_holds_and_did(fleet):
    fleet.store.put('config', 'main', plan(version=7))
    await fleet.target('i-1', lambda n, data: Reply())
    node = await fleet.node('n1')
    assert (await ask(node, '/read/x')).status == 200
    assert (await ask(node, '/none/x')).status == 404
    address = f'127.0.0.1:{node.cfg.metrics_port}'
    done = await status(address, '-o', 'json')
    assert done.exit_code == 0, done.output
    [row] = loads(done.stdout)
    assert row['node'] == address
    assert row['ready'] is True
    assert (row['version'], row['targets'], row['members']) == (7, 1, 1)
    assert row['requests'] == {'200': 1, '404': 1}
    assert row['exchanges'] == {'ANSWERED': 1}
    assert row['queue'] == 0


async def test_a_node_that_is_down_hides_no_other(fleet):
    fleet.store.put('config', 'main', plan())
    node = await fleet.node('n1')
    live, down = f'127.0.0.1:{node.cfg.metrics_port}', free_port()
    done = await status(f'127.0.0.1:{down}', live)
    assert done.exit_code == EXIT_UNAVAILABLE
    assert live in done.stdout
    assert f'127.0.0.1:{down}: ClientConnectorError' in done.stderr


@pytest.mark.parametrize('page', ['', 'not a page {', 'other_gauge 1.0\n'])
def test_a_page_of_something_else_is_refused(page):
    with pytest.raises(ValueError, match='.'):
        gateway_row('n:1', page)
