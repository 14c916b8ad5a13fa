"""Promises that this node gave bind the homes that it makes later."""

from carawaylane.decisions.changelog import Change
from carawaylane.decisions.fleet import EPOCH_STEP
from carawaylane.decisions.journal import Fence, Promise
from carawaylane.messages.home import PromiseReceived, TakeOverAsStandby

SHARD = ('s', 0)


def with_standby(kernel):
    """Let the log name another owner and this node as its standby."""
    fleet = kernel.find('relay').fleet
    joins = [
        {
            'op': 'join',
            'member': name,
            'host': name,
            'data_centre': 'dc',
            'rpc': '127.0.0.1:9',
            'at_ms': 0,
        }
        for name in ('owner', kernel.member)
    ]
    place = {'service': 's', 'shard': 0}
    claim = {'op': 'claim', **place, 'owner': 'owner', 'expect_epoch': 0}
    standby = {
        'op': 'standby',
        **place,
        'standby': kernel.member,
        'expect_epoch': EPOCH_STEP,
    }
    fleet.apply(Change(seq=1, body={'ops': [*joins, claim, standby]}))
    return fleet


async def test_a_standby_stands_in_for_its_owner(kernel):
    fleet = with_standby(kernel)
    home = await kernel.find('homes').get_or_create_home(SHARD)
    assert await home.ask(TakeOverAsStandby(fleet=fleet)) is True


async def test_a_standby_that_promised_to_another_does_not(kernel):
    fleet = with_standby(kernel)
    homes = kernel.find('homes')
    fence = Fence(epoch=2 * EPOCH_STEP, successor='other')
    promise = await homes.make_promise(SHARD, fence)
    assert promise.promised
    home = await homes.get_or_create_home(SHARD)
    assert await home.ask(TakeOverAsStandby(fleet=fleet)) is False


async def test_a_promise_for_an_epoch_that_is_over_does_not_count(kernel):
    fleet = with_standby(kernel)
    home = await kernel.find('homes').get_or_create_home(SHARD)
    await home.ask(TakeOverAsStandby(fleet=fleet))
    epoch = home.ownership.epoch
    for number, left in ((epoch - 1, {kernel.member}), (epoch, set())):
        promise = Promise(promised=True)
        await home.ask(
            PromiseReceived(
                member=kernel.member, epoch=number, promise=promise
            )
        )
        assert home.ownership.awaited_members == left
