"""Change log on the platform: write conflicts, lost answers, snapshots."""

from aiohttp.test_utils import TestServer

from carawaylane.config.state import ConfigState
from carawaylane.decisions.ownership.changelog import LogReplica
from carawaylane.storage.driver import Unavailable
from carawaylane.storage.http import HttpDriver
from carawaylane.storage.log import AppendConflict, Appended, LogStore
from standins.platform import make_app


async def with_log_store(scenario):
    app = make_app()
    async with TestServer(app) as server:
        driver = HttpDriver(str(server.make_url('')).rstrip('/'))
        try:
            await scenario(
                LogStore(driver=driver, name='config'), app['platform']
            )
        finally:
            await driver.close()


async def test_one_of_two_writers_wins_and_the_other_gets_its_change():
    async def scenario(store, platform):
        first = await store.append(seq=1, body={'author': 'ann'}, nonce='1')
        second = await store.append(seq=1, body={'author': 'bob'}, nonce='2')
        assert isinstance(first, Appended)
        assert isinstance(second, AppendConflict)
        assert second.winner.body['author'] == 'ann'

    await with_log_store(scenario)


async def test_a_write_with_a_lost_answer_is_recognised_as_applied():
    async def scenario(store, platform):
        platform.faults['lose_answers'] = 1
        outcome = await store.append(seq=1, body={}, nonce='mine')
        assert isinstance(outcome, Appended)
        assert len(platform.objects) == 1

    await with_log_store(scenario)


async def test_an_outage_is_reported_and_nothing_is_written():
    async def scenario(store, platform):
        platform.faults['down'] = True
        outcome = await store.append(seq=1, body={}, nonce='mine')
        assert isinstance(outcome, Unavailable)
        assert platform.objects == {}

    await with_log_store(scenario)


async def test_a_snapshot_replaces_old_changes():
    async def scenario(store, platform):
        replica = LogReplica(name='config', state=ConfigState())
        for seq in range(1, 21):
            row = {
                'kind': 'Target',
                'name': f't{seq}',
                'address': f'127.0.0.1:{seq}',
            }
            await store.append(seq=seq, body={'put': [row]}, nonce=str(seq))
        replica.apply_batch(await store.load(0))
        state = replica.state.dump()
        assert await store.compact(seq=20, state=state, keep_changes=5)
        assert not await store.compact(seq=19, state=state, keep_changes=5)
        restored = LogReplica(name='config', state=ConfigState())
        restored.apply_batch(await store.load(0))
        assert restored.seq == 20
        assert restored.state.docs == replica.state.docs
        remaining_changes = [
            key for key in platform.objects if '/changes/' in key
        ]
        assert len(remaining_changes) == 5

    await with_log_store(scenario)


async def test_objects_of_another_writer_end_no_reader():
    """Keys without a number, values and snapshots of another form."""

    async def scenario(store, platform):
        await store.append(seq=1, body={'author': 'ann'}, nonce='1')
        driver = store.driver
        for key in ('x', '7', '00000000001x', '0' * 40):
            await driver.put(f'config/changes/{key}', 'odd', if_version=0)
        await driver.put('config/changes/000000000002', 'odd', if_version=0)
        batch = await store.load(0)
        assert [change.seq for change in batch.changes] == [1, 2]
        conflict = await store.append(seq=2, body={}, nonce='3')
        assert isinstance(conflict, AppendConflict)
        for number, head in enumerate(
            [7, {}, {'seq': '9'}, {'seq': 9}, {'seq': 9, 'parts': 'x'}]
        ):
            await driver.put('config/snapshot', head, if_version=number)
            batch = await store.load(0)
            assert isinstance(batch, Unavailable) or (
                [change.seq for change in batch.changes] == [1, 2]
            )
        assert not await store.compact(seq=1, state={}, keep_changes=1)
        # A snapshot without a number is replaced.
        await driver.put('config/snapshot', {}, if_version=5)
        assert await store.compact(seq=1, state={'docs': []}, keep_changes=1)
        assert (await store.load(0)).snapshot == {'docs': []}

    await with_log_store(scenario)
