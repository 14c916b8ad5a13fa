"""Tests of the relay: changes and messages of others that can't be read."""

from asyncio import sleep

import pytest

from carawaylane.decisions.ownership.changelog import Batch, Change
from carawaylane.messages.logs import ApplyBatch
from carawaylane.rpc.node_pb2 import Change as ChangePb
from carawaylane.rpc.node_pb2 import LogBatch
from carawaylane.services.relay import unpack_batch

SERVICE = {'kind': 'Service', 'name': 'last', 'selector': 'app=last'}


@pytest.mark.parametrize('log', ['config', 'fleet'])
async def test_an_unreadable_change_does_not_end_the_node(kernel, log):
    """A name of no operation raised KeyError in the task of the relay."""
    relay = kernel.find('relay')
    odd = [None, {'put': [{}]}, {'put': 7}, {'ops': [{'op': 'dance'}]}, 'x']
    for body in odd:
        change = Change(seq=relay.seq(log) + 1, body=body)
        assert await relay.ask(
            ApplyBatch(batch=Batch(log=log, changes=(change,)))
        )
    assert relay.seq(log) == len(odd)
    change = Change(seq=relay.seq('config') + 1, body={'put': [SERVICE]})
    await relay.ask(ApplyBatch(batch=Batch(log='config', changes=(change,))))
    await sleep(0.05)
    assert 'last' in kernel.find('catalogue').config.services
    assert kernel.failure is None


@pytest.mark.parametrize(
    'msg',
    [
        LogBatch(log='nothing'),
        LogBatch(log='config', snapshot=b'{'),
        LogBatch(log='config', changes=[ChangePb(seq=1, body=b'{')]),
        LogBatch(log='config', changes=[ChangePb(seq=1, body=b'\xff')]),
        LogBatch(log='fleet', changes=[ChangePb(seq=1, body=b'[' * 100_000)]),
    ],
    ids=['log', 'snapshot', 'cut off', 'bytes', 'nested'],
)
def test_a_malformed_batch_of_a_peer_is_none(msg):
    """Decoding it raised in a task whose failure stops the node."""
    assert unpack_batch(msg) is None
