"""Changes by operators, alone and racing, and the command line."""

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
from carawaylane.commands.show import get_documents, in_force
from carawaylane.commands.store import Accepted, Draft, LostRace, change_config
from carawaylane.config.schema import Target
from carawaylane.messages.outcomes import CheckReport
from carawaylane.storage.driver import Unavailable
from carawaylane.storage.http import HttpDriver
from standins.platform import make_app

TEXT = """
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


async def on_platform(check):
    stand_in = make_app()
    async with TestServer(stand_in) as server:
        driver = HttpDriver(str(server.make_url('')).rstrip('/'))
        try:
            await check(driver, stand_in['platform'])
        finally:
            await driver.close()


async def test_apply_label_drain_delete(tmp_path):
    path = tmp_path / 'f.yaml'
    path.write_text(TEXT)

    async def check(driver, plat):
        done = await apply_files(driver, 'ann', [path], None)
        assert done == Accepted(seq=1, put=2, deleted=0)
        done = await label_targets(driver, 'ann', 'app=s', {'zone': 'x'})
        assert done.seq == 2
        done = await drain_targets(driver, 'ann', 'zone=x')
        assert done.put == 2
        rows = await get_documents(driver, 'Target', 't1')
        assert rows[0]['labels']['state'] == 'draining'
        assert rows[0]['version'] == 3
        await drain_targets(driver, 'ann', 'zone=x', undo=True)
        done = await delete_document(driver, 'ann', 'Target', 't1')
        assert done.deleted == 1
        left = await get_documents(driver, 'Target', '')
        assert [row['name'] for row in left] == ['t2']

    await on_platform(check)


async def test_a_change_that_selects_nothing_or_is_wrong_is_told(tmp_path):
    path = tmp_path / 'f.yaml'
    path.write_text(TEXT)

    async def check(driver, plat):
        await apply_files(driver, 'ann', [path], None)
        for selector in ('app=other', 'app='):
            done = await label_targets(driver, 'ann', selector, {'a': 'b'})
            assert isinstance(done, CheckReport)
        done = await label_targets(driver, 'ann', 'app=s', {'state': 'x'})
        assert 'state must be one of' in str(done.errors[0])
        done = await delete_document(driver, 'ann', 'Target', 'nobody')
        assert 'does not exist' in str(done.errors[0])

    await on_platform(check)


async def test_of_two_racing_operators_one_is_told_who_won():
    def target(labels):
        return Target(name='t', address='127.0.0.1:1', labels=labels)

    async def check(driver, plat):
        async def interfere():
            put = (target({'by': 'bob'}),)
            return await change_config(driver, 'bob', lambda s: Draft(put=put))

        first = await interfere()
        raced = []

        class Racing(HttpDriver):
            async def put(self, key, value, *, if_version):
                if not raced:
                    raced.append(await interfere())
                return await super().put(key, value, if_version=if_version)

        racing = Racing(driver._url)
        put = (target({'by': 'ann'}),)
        done = await change_config(racing, 'ann', lambda s: Draft(put=put))
        await racing.close()
        assert isinstance(done, LostRace)
        assert (done.author, done.seq) == ('bob', first.seq + 1)
        rows = await get_documents(driver, 'Target', 't')
        assert rows[0]['labels'] == {'by': 'bob'}

    await on_platform(check)


async def test_a_race_on_other_documents_loses_nothing():
    async def check(driver, plat):
        def put(name, port):
            doc = Target(name=name, address=f'127.0.0.1:{port}')
            return Draft(put=(doc,))

        raced = []

        class Racing(HttpDriver):
            async def put(self, key, value, *, if_version):
                if not raced:
                    raced.append(1)
                    await change_config(driver, 'bob', lambda s: put('b', 2))
                return await super().put(key, value, if_version=if_version)

        racing = Racing(driver._url)
        done = await change_config(racing, 'ann', lambda s: put('a', 1))
        await racing.close()
        assert isinstance(done, Accepted)
        rows = await get_documents(driver, 'Target', '')
        assert [row['name'] for row in rows] == ['a', 'b']

    await on_platform(check)


async def test_an_old_version_is_refused(tmp_path):
    path = tmp_path / 'f.yaml'
    path.write_text(TEXT)

    async def check(driver, plat):
        await apply_files(driver, 'ann', [path], None)
        done = await apply_files(driver, 'bob', [path], 0)
        assert isinstance(done, LostRace)
        plat.faults['down'] = True
        done = await apply_files(driver, 'bob', [path], None)
        assert isinstance(done, Unavailable)

    await on_platform(check)


def test_the_command_line_names_file_place_and_reason(tmp_path):
    path = tmp_path / 'bad.yaml'
    path.write_text('kind: Target\nname: t\naddress: nowhere\n')
    done = CliRunner().invoke(app, ['check', str(path)])
    assert done.exit_code == EXIT_INVALID
    assert f'{path}:1' in done.output
    assert 'HOST:PORT' in done.output
    done = CliRunner().invoke(app, ['check', str(tmp_path / 'none.yaml')])
    assert 'No such file' in done.output


def test_without_the_platform_the_command_line_says_so_in_one_line():
    argv = ['get', 'Target', '--platform', 'http://127.0.0.1:9']
    done = CliRunner().invoke(app, argv)
    assert done.exit_code == EXIT_UNAVAILABLE


def test_rows_are_tables_for_people_and_json_for_programs():
    rows = [{'name': 'a', 'labels': {'x': '1'}}]
    assert loads(render(rows, output='json')) == rows
    assert 'x=1' in render(rows, output='table')


def test_how_many_nodes_have_the_newest_configuration():
    replies = [{'config_seq': 3}, {'config_seq': 2}, {'error': 'x'}]
    assert in_force(replies) == 'version 3 in force on 1 of 3 nodes'
