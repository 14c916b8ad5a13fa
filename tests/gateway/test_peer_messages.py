"""Messages of peers that no build sends end no node.

A peer may run another build, or its memory or link may be faulty.
"""

from asyncio import gather, sleep, timeout
from contextlib import suppress
from os import environ
from random import Random

import pytest
from grpclib.client import Channel
from grpclib.encoding.base import CodecBase
from grpclib.server import Server

from bench.ports import free_port
from carawaylane.decisions.propagation.dissemination import rank_members
from carawaylane.gateway.links import RPC_ERRORS
from carawaylane.rpc.fleet_grpc import FleetBase, FleetStub
from carawaylane.rpc.fleet_pb2 import (
    Call,
    CrashReport,
    LocateRequest,
    PreviewRequest,
    ReachRequest,
    RelayRequest,
    Reply,
    SyncRequest,
)
from tests.gateway.conftest import connect, plan_spec, send_request

# By hand: PEER_MESSAGES_SEEDS=50.
SEEDS = range(int(environ.get('PEER_MESSAGES_SEEDS', '2')))
MESSAGES = 150
CALL_S = 0.3
REQUESTS = {
    'Sync': SyncRequest,
    'Relay': RelayRequest,
    'Reach': ReachRequest,
    'Crashes': CrashReport,
    'Locate': LocateRequest,
    'Preview': PreviewRequest,
}
TEXTS = ['', 'n1', 'stock', 'read', 'i-1', '127.0.0.1:1', 'h..x:1', '\0', '/']
NUMBERS = [0, 1, 2, 7, 2**31 - 1]
FLOATS = [0.0, -1.0, 1e300, float('inf'), float('nan')]


def random_value(field, rng, depth):
    kinds = type(field)
    if field.message_type is not None:
        return random_message(field.message_type._concrete_class, rng, depth)
    if field.enum_type is not None:
        return rng.choice([*field.enum_type.values_by_number, 99])
    if field.type == kinds.TYPE_STRING:
        return rng.choice(TEXTS)
    if field.type == kinds.TYPE_BYTES:
        return rng.choice([b'', b'\xff', b'x' * 16, rng.randbytes(30)])
    if field.type == kinds.TYPE_BOOL:
        return rng.random() < 0.5
    if field.type in (kinds.TYPE_DOUBLE, kinds.TYPE_FLOAT):
        return rng.choice(FLOATS)
    signed = field.type in (kinds.TYPE_INT32, kinds.TYPE_INT64)
    return rng.choice(NUMBERS + [-1] * signed)


def random_message(cls, rng, depth=4):
    """Return a message with some of its fields set to odd values."""
    msg = cls()
    for field in cls.DESCRIPTOR.fields:
        if rng.random() < 0.3 or (field.message_type and not depth):
            continue
        if field.is_repeated:
            values = [
                random_value(field, rng, depth - 1)
                for _ in range(rng.randint(0, 3))
            ]
            getattr(msg, field.name).extend(values)
        elif field.message_type is not None:
            getattr(msg, field.name).CopyFrom(
                random_value(field, rng, depth - 1)
            )
        else:
            with suppress(ValueError):
                setattr(msg, field.name, random_value(field, rng, depth))
    return msg


class GarbageCodec(CodecBase):
    """Sends bytes that no message has."""

    __content_subtype__ = 'proto'

    def encode(self, message, message_type):
        return b'\xff' * 9

    def decode(self, data, message_type):
        return data


class OddPeer(FleetBase):
    """Answers calls with messages that `make_reply` returns for a type."""

    def __init__(self, make_reply):
        self._make_reply = make_reply
        self.calls = 0

    async def _answer(self, stream):
        self.calls += 1
        await stream.recv_message()
        await stream.send_message(self._make_reply(stream._send_type))

    Sync = Relay = Reach = Crashes = Locate = Preview = _answer

    async def Dispatch(self, stream):  # noqa: N802
        while await stream.recv_message() is not None:
            self.calls += 1
            for _ in range(3):
                await stream.send_message(self._make_reply(Reply))


def assert_alive(node):
    if node.failure is not None:
        raise node.failure


async def start_node(fleet):
    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-1')
    return await fleet.start_node('n1')


async def send(node, count):
    """Send requests to a node, which may not be served."""
    conn = await connect(node)
    for number in range(count):
        with suppress(TimeoutError):
            async with timeout(3):
                await send_request(conn, '/read/1', request_id=f'r{number}')
                continue
        conn[1].close()
        conn = await connect(node)
    conn[1].close()


@pytest.mark.parametrize('seed', SEEDS)
async def test_odd_calls_of_a_peer_do_not_end_a_node(fleet, seed):
    node = await start_node(fleet)
    rng = Random(seed)
    host, _, port = node.cfg.peer_listen.rpartition(':')

    async def call(stub, method, msg):
        with suppress(*RPC_ERRORS):
            async with timeout(CALL_S):
                await getattr(stub, method)(msg)

    async def dispatch(stub):
        with suppress(*RPC_ERRORS):
            async with timeout(CALL_S), stub.Dispatch.open() as stream:
                for _ in range(10):
                    await stream.send_message(random_message(Call, rng))
                await stream.end()
                await sleep(0.02)

    channel = Channel(host, int(port))
    stub = FleetStub(channel)
    for _ in range(MESSAGES // 10):
        await gather(
            *(
                call(stub, method, random_message(cls, rng))
                for method, cls in REQUESTS.items()
            ),
            dispatch(stub),
        )
        assert_alive(node)
    channel.close()
    await send(node, 3)
    assert_alive(node)


@pytest.mark.parametrize('garbage', [False, True])
@pytest.mark.parametrize('seed', SEEDS)
async def test_odd_replies_of_a_peer_do_not_end_a_node(fleet, seed, garbage):
    """`DecodeError` is none of the errors of a call that were expected."""
    rng = Random(seed)
    peer = OddPeer(lambda cls: random_message(cls, rng))
    server = Server([peer], codec=GarbageCodec() if garbage else None)
    port = free_port()
    await server.start('127.0.0.1', port)
    node = await start_node(fleet)
    spec = {'address': f'127.0.0.1:{port}', 'zone': 'z1', 'cores': 9.0}
    fleet.store.put('members', 'odd', spec)
    members = node.find('directory').members
    await fleet.wait_until(lambda: 'odd' in members)
    # It is home of the service, as it ranks first.
    assert rank_members(members.values(), 'stock')[0] == 'odd'
    fleet.store.put('config', 'main', plan_spec(2))
    await send(node, 8)
    await sleep(1.0)
    assert peer.calls
    assert_alive(node)
    server.close()
