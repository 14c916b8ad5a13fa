"""Tests of how much of an answer is kept while its reader rests."""

import gc
from asyncio import gather, sleep, start_server

import pytest
from attrs import evolve
from uvloop import EventLoopPolicy

from carawaylane.services.response_handler import BoundedResponseHandler
from carawaylane.services.targets import StreamedAnswer, TargetClient
from standins.raw_target import RawTarget, Reply
from tests.services.test_targets import CHUNKED, HEAD, OPTIONS, REQUEST

READERS = 20
ENDLESS = {
    'chunks': Reply(data=CHUNKED, endless=b'3e8\r\n' + b'x' * 1000 + b'\r\n'),
    'no length': Reply(data=HEAD + b'\r\n', endless=b'x' * 1000),
}


@pytest.fixture(scope='module')
def event_loop_policy():
    """Use the event loop of the daemon, which reads 256 KB at once."""
    return EventLoopPolicy()


def open_connections():
    return {
        handler
        for handler in gc.get_objects()
        if isinstance(handler, BoundedResponseHandler)
        and handler.is_connected()
    }


@pytest.mark.parametrize('name', ENDLESS)
async def test_no_more_is_read_of_an_answer_than_may_be_held(name):
    """Twice the limit: what is held, and what is read before it is needed."""
    options = evolve(OPTIONS, head_timeout_s=20.0, read_timeout_s=20.0)
    target = RawTarget(plan=lambda *_: ENDLESS[name])
    others = open_connections()
    async with await start_server(target.serve, '127.0.0.1', 0) as server:
        port = server.sockets[0].getsockname()[1]
        client = TargetClient(address=f'127.0.0.1:{port}')
        answers = await gather(
            *(
                client.exchange(
                    evolve(REQUEST, request_id=f'r{number}'),
                    options,
                    new_connection=True,
                )
                for number in range(READERS)
            )
        )
        assert {type(answer) for answer in answers} == {StreamedAnswer}
        conns = open_connections() - others
        received = [conn.body_bytes for conn in conns]
        while True:
            await sleep(0.1)
            earlier, received = received, [conn.body_bytes for conn in conns]
            if received == earlier:
                break
        await client.close()
    assert len(received) == READERS
    assert max(received) <= 2 * options.max_buffered_bytes
