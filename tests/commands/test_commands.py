"""Tests of configuration changes, concurrent ones too, and of carawayctl."""

from json import loads

from aiohttp.test_utils import TestServer
from typer.testing import CliRunner

from carawaylane.commands.change import (
    apply_files,
    delete_document,
    drain_targets,
    label_targets,
)
from carawaylane.commands.cli import EXIT_INVALID, EXIT_UNAVAILABLE, app
from carawaylane.commands.output import render
from carawaylane.commands.show import describe_rollout, get_documents
from carawaylane.commands.store import (
    Accepted,
    ConfigChange,
    EditConflict,
    change_config,
)
from carawaylane.config.schema import Target
from carawaylane.messages.outcomes import CheckReport
from carawaylane.storage.driver import Unavailable
from carawaylane.storage.http import HttpDriver
from standins.platform import make_app

TWO_TARGETS = """
kind: Target
name: t1
address: 127.0.0.1:1
labels: {app: s}
---
kind: Target
name: t2
address: 127.0.0.1:2
labels: {app: s}
"""


async def run_on_stand_in(scenario):
    """Run a scenario against a stand-in of the platform.

    The scenario gets a driver and the state of the stand-in.
    """
    platform_app = make_app()
    async with TestServer(platform_app) as server:
        driver = HttpDriver(str(server.make_url('')).rstrip('/'))
        try:
            await scenario(driver, platform_app['platform'])
        finally:
            await driver.close()


async def test_apply_label_drain_delete(tmp_path):
    path = tmp_path / 'targets.yaml'
    path.write_text(TWO_TARGETS)

    async def scenario(driver, platform):
        result = await apply_files(driver, 'ann', [path], None)
        assert result == Accepted(seq=1, put=2, deleted=0)
        result = await label_targets(driver, 'ann', 'app=s', {'zone': 'x'})
        assert result.seq == 2
        result = await drain_targets(driver, 'ann', 'zone=x')
        assert result.put == 2
        rows = await get_documents(driver, 'Target', 't1')
        assert rows[0]['labels']['state'] == 'draining'
        assert rows[0]['version'] == 3
        await drain_targets(driver, 'ann', 'zone=x', undo=True)
        result = await delete_document(driver, 'ann', 'Target', 't1')
        assert result.deleted == 1
        remaining = await get_documents(driver, 'Target', '')
        assert [row['name'] for row in remaining] == ['t2']

    await run_on_stand_in(scenario)


async def test_invalid_changes_are_refused_with_a_reason(tmp_path):
    path = tmp_path / 'targets.yaml'
    path.write_text(TWO_TARGETS)

    async def scenario(driver, platform):
        await apply_files(driver, 'ann', [path], None)
        for selector in ('app=other', 'app='):
            result = await label_targets(driver, 'ann', selector, {'a': 'b'})
            assert isinstance(result, CheckReport)
        result = await label_targets(driver, 'ann', 'app=s', {'state': 'x'})
        assert 'state must be one of' in str(result.errors[0])
        result = await delete_document(driver, 'ann', 'Target', 'nobody')
        assert 'does not exist' in str(result.errors[0])

    await run_on_stand_in(scenario)


async def test_the_loser_of_two_racing_changes_learns_who_won():
    """Bob changes the target after Ann read the log and before she writes."""

    def target(labels):
        return Target(name='t', address='127.0.0.1:1', labels=labels)

    async def scenario(driver, platform):
        async def change_by_bob():
            put = (target({'by': 'bob'}),)
            return await change_config(
                driver, 'bob', lambda state: ConfigChange(put=put)
            )

        first = await change_by_bob()
        races = []

        class RacingDriver(HttpDriver):
            async def put(self, key, value, *, if_version):
                if not races:
                    races.append(await change_by_bob())
                return await super().put(key, value, if_version=if_version)

        racing_driver = RacingDriver(driver._url)
        put = (target({'by': 'ann'}),)
        result = await change_config(
            racing_driver, 'ann', lambda state: ConfigChange(put=put)
        )
        await racing_driver.close()
        assert isinstance(result, EditConflict)
        assert (result.author, result.seq) == ('bob', first.seq + 1)
        rows = await get_documents(driver, 'Target', 't')
        assert rows[0]['labels'] == {'by': 'bob'}

    await run_on_stand_in(scenario)


async def test_a_race_on_other_documents_loses_nothing():
    """Bob changes another target between Ann's read and her write."""

    async def scenario(driver, platform):
        def put_target(name, port):
            doc = Target(name=name, address=f'127.0.0.1:{port}')
            return ConfigChange(put=(doc,))

        races = []

        class RacingDriver(HttpDriver):
            async def put(self, key, value, *, if_version):
                if not races:
                    races.append(1)
                    await change_config(
                        driver, 'bob', lambda state: put_target('b', 2)
                    )
                return await super().put(key, value, if_version=if_version)

        racing_driver = RacingDriver(driver._url)
        result = await change_config(
            racing_driver, 'ann', lambda state: put_target('a', 1)
        )
        await racing_driver.close()
        assert isinstance(result, Accepted)
        rows = await get_documents(driver, 'Target', '')
        assert [row['name'] for row in rows] == ['a', 'b']

    await run_on_stand_in(scenario)


async def test_a_change_based_on_an_old_version_is_refused(tmp_path):
    path = tmp_path / 'targets.yaml'
    path.write_text(TWO_TARGETS)

    async def scenario(driver, platform):
        await apply_files(driver, 'ann', [path], None)
        result = await apply_files(driver, 'bob', [path], 0)
        assert isinstance(result, EditConflict)
        platform.faults['down'] = True
        result = await apply_files(driver, 'bob', [path], None)
        assert isinstance(result, Unavailable)

    await run_on_stand_in(scenario)


def test_check_reports_file_line_and_reason(tmp_path):
    path = tmp_path / 'bad.yaml'
    path.write_text('kind: Target\nname: t\naddress: nowhere\n')
    result = CliRunner().invoke(app, ['check', str(path)])
    assert result.exit_code == EXIT_INVALID
    assert f'{path}:1' in result.output
    assert 'HOST:PORT' in result.output
    result = CliRunner().invoke(app, ['check', str(tmp_path / 'none.yaml')])
    assert 'No such file' in result.output


def test_an_unreachable_platform_has_its_own_exit_code():
    argv = ['get', 'Target', '--platform', 'http://127.0.0.1:9']
    result = CliRunner().invoke(app, argv)
    assert result.exit_code == EXIT_UNAVAILABLE


def test_rows_are_rendered_as_table_and_as_json():
    rows = [{'name': 'a', 'labels': {'x': '1'}}]
    assert loads(render(rows, output='json')) == rows
    assert 'x=1' in render(rows, output='table')


def test_rollout_counts_the_nodes_with_the_newest_version():
    replies = [{'config_seq': 3}, {'config_seq': 2}, {'error': 'x'}]
    assert describe_rollout(replies) == 'version 3 in force on 1 of 3 nodes'
