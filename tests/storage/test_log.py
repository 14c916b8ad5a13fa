"""A log on the platform: races, lost answers, snapshots."""

from aiohttp.test_utils import TestServer

from carawaylane.config.state import ConfigState
from carawaylane.decisions.changelog import LogReplica
from carawaylane.storage.driver import Unavailable
from carawaylane.storage.http import HttpDriver
from carawaylane.storage.log import AppendConflict, Appended, LogStore
from standins.platform import make_app


async def with_store(check):
    app = make_app()
    async with TestServer(app) as server:
        driver = HttpDriver(str(server.make_url('')).rstrip('/'))
        try:
            await check(
                LogStore(driver=driver, name='config'), app['platform']
            )
        finally:
            await driver.close()


async def test_of_two_writers_one_wins_and_the_other_learns_to_whom():
    async def check(store, plat):
        first = await store.append(seq=1, body={'author': 'ann'}, nonce='1')
        second = await store.append(seq=1, body={'author': 'bob'}, nonce='2')
        assert isinstance(first, Appended)
        assert isinstance(second, AppendConflict)
        assert second.winner.body['author'] == 'ann'

    await with_store(check)


async def test_a_write_whose_answer_was_lost_is_found_to_have_won():
    async def check(store, plat):
        plat.faults['lose_answers'] = 1
        done = await store.append(seq=1, body={}, nonce='mine')
        assert isinstance(done, Appended)
        assert len(plat.objects) == 1

    await with_store(check)


async def test_an_outage_is_told_and_writes_nothing():
    async def check(store, plat):
        plat.faults['down'] = True
        done = await store.append(seq=1, body={}, nonce='mine')
        assert isinstance(done, Unavailable)
        assert plat.objects == {}

    await with_store(check)


async def test_a_snapshot_replaces_old_changes():
    async def check(store, plat):
        replica = LogReplica(name='config', fold=ConfigState())
        for seq in range(1, 21):
            row = {
                'kind': 'Target',
                'name': f't{seq}',
                'address': f'127.0.0.1:{seq}',
            }
            await store.append(seq=seq, body={'put': [row]}, nonce=str(seq))
        replica.learn(await store.load(0))
        dumped = replica.fold.dump()
        assert await store.compact(seq=20, state=dumped, keep_changes=5)
        assert not await store.compact(seq=19, state=dumped, keep_changes=5)
        fresh = LogReplica(name='config', fold=ConfigState())
        fresh.learn(await store.load(0))
        assert fresh.seq == 20
        assert fresh.fold.docs == replica.fold.docs
        left = [key for key in plat.objects if '/changes/' in key]
        assert len(left) == 5

    await with_store(check)
