"""Tests of the command that shows the state of gateway nodes."""

from asyncio import to_thread
from json import loads
from urllib.parse import quote

import pytest
from aiohttp import ClientSession
from typer.testing import CliRunner
from yarl import URL

from bench.ports import free_port
from carawaylane.commands.cli import EXIT_UNAVAILABLE, app
from carawaylane.commands.gateways import row_from_metrics
from standins.raw_target import Reply
from tests.gateway.conftest import fetch, fleet, plan_spec

__all__ = ['fleet']


async def show_gateways(*args):
    return await to_thread(
        CliRunner().invoke, app, ['status', 'gateways', *args]
    )


async def test_a_row_shows_copies_requests_and_exchanges(fleet):
    fleet.store.put('config', 'main', plan_spec(version=7))
    await fleet.start_target('i-1', lambda number, data: Reply())
    node = await fleet.start_node('n1')
    assert (await fetch(node, '/read/x')).status == 200
    assert (await fetch(node, '/none/x')).status == 404
    address = f'127.0.0.1:{node.cfg.metrics_port}'
    result = await show_gateways(address, '-o', 'json')
    assert result.exit_code == 0, result.output
    [row] = loads(result.stdout)
    assert row['node'] == address
    assert row['ready'] is True
    assert (row['version'], row['targets'], row['members']) == (7, 1, 1)
    assert row['requests'] == {'200': 1, '404': 1}
    assert row['exchanges'] == {'ANSWERED': 1}
    assert row['queue'] == 0


async def test_a_node_that_is_down_does_not_hide_others(fleet):
    fleet.store.put('config', 'main', plan_spec())
    node = await fleet.start_node('n1')
    live_address, unused_port = (
        f'127.0.0.1:{node.cfg.metrics_port}',
        free_port(),
    )
    result = await show_gateways(f'127.0.0.1:{unused_port}', live_address)
    assert result.exit_code == EXIT_UNAVAILABLE
    assert live_address in result.stdout
    assert f'127.0.0.1:{unused_port}: ClientConnectorError' in result.stderr


@pytest.mark.parametrize('page', ['', 'not a page {', 'other_gauge 1.0\n'])
def test_a_page_without_metrics_of_a_node_is_an_error(page):
    with pytest.raises(ValueError, match='.'):
        row_from_metrics('n:1', page)


async def test_rejected_entries_are_shown_with_their_reasons(fleet):
    fleet.store.put('config', 'main', plan_spec())
    node = await fleet.start_node('n1')
    name = 'a "b"\\n'
    fleet.store.put('servers', name, {'state': 'asleep\n'})
    revision = fleet.store.revision
    directory = node.find('directory')
    await fleet.wait_until(lambda: directory.rejected.current())
    address = f'127.0.0.1:{node.cfg.metrics_port}'
    result = await to_thread(
        CliRunner().invoke, app, ['status', 'entries', address, '-o', 'json']
    )
    assert result.exit_code == 0, result.output
    assert loads(result.stdout) == [
        {
            'node': address,
            'kind': 'servers',
            'name': name,
            'reason': "ValueError: unknown state 'asleep\\n'",
            'revision': revision,
        }
    ]


async def run_entries(address, *options):
    return await to_thread(
        CliRunner().invoke, app, ['status', 'entries', address, *options]
    )


async def delete(fleet, name, revision):
    """Send the call of the operations page; return the status."""
    url = (
        f'http://{fleet.store_address}/objects/servers/'
        f'{quote(name, safe="")}?revision={revision}'
    )
    async with (
        ClientSession() as session,
        session.delete(URL(url, encoded=True)) as resp,
    ):
        return resp.status


@pytest.mark.parametrize('name', ['i-7', 'a/b c?', 'a\nb', '\u00e4', '%41'])
async def test_a_rejected_entry_is_removed_as_the_page_says(fleet, name):
    fleet.store.put('config', 'main', plan_spec())
    node = await fleet.start_node('n1')
    fleet.store.put('servers', name, {'state': 'asleep'})
    shown = node.find('directory').rejected.current
    await fleet.wait_until(shown)
    address = f'127.0.0.1:{node.cfg.metrics_port}'
    [row] = loads((await run_entries(address, '-o', 'json')).stdout)
    assert await delete(fleet, name, row['revision'] - 1) == 409
    assert await delete(fleet, name, row['revision']) == 200
    await fleet.wait_until(lambda: not shown())
    result = await run_entries(address)
    assert (result.exit_code, result.stdout) == (0, '')
    assert await delete(fleet, name, row['revision']) == 404
