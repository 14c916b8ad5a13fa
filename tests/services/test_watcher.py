"""Tests of the watcher beside objects of another writer."""

from asyncio import create_task, sleep
from types import SimpleNamespace

from carawaylane.decisions.ownership.changelog import Batch
from carawaylane.services import watcher as watcher_module


async def test_objects_that_are_no_changes_do_not_make_it_ask_at_once(
    kernel, monkeypatch
):
    """Each watch ends with them, so the platform got call upon call."""
    monkeypatch.setattr(watcher_module, 'RETRY_DELAY_S', 0.1)
    watcher = kernel.find('watcher')
    watcher._relay = kernel.find('relay')
    calls = []

    async def watch(seq, timeout_s):
        calls.append(seq)
        await sleep(0)
        return Batch(log='config')

    watcher._stores['config'] = SimpleNamespace(watch=watch)
    task = create_task(watcher._watch_loop('config'))
    await sleep(0.35)
    task.cancel()
    assert 2 <= len(calls) <= 4
