"""Slopes of memory, time and bytes, each measured at three sizes."""

from __future__ import annotations

import asyncio
import gc
import tracemalloc
from contextlib import suppress
from json import dumps
from random import Random
from time import perf_counter
from typing import TYPE_CHECKING, Any

from attrs import frozen
from grpclib.client import Channel
from grpclib.server import Server

from carawaylane.config.schema import Service, Target, TrafficKind, kind_of
from carawaylane.config.state import ConfigState
from carawaylane.decisions.changelog import Change
from carawaylane.decisions.compiled_config import CompiledConfig
from carawaylane.decisions.fleet import FleetState, Holding
from carawaylane.decisions.journal import JournalState
from carawaylane.decisions.ledger import Ledger
from carawaylane.decisions.membership import MembershipView
from carawaylane.decisions.placement import unowned_shards
from carawaylane.decisions.traffic_kinds import (
    TrafficKindTable,
    request_labels,
)
from carawaylane.messages.outcomes import Answered
from carawaylane.rpc.node_grpc import NodeBase, NodeStub
from carawaylane.rpc.node_pb2 import (
    Change as ChangePb,
)
from carawaylane.rpc.node_pb2 import (
    Empty,
    LogBatch,
    PingReply,
    PingRequest,
    Rumour,
)

if TYPE_CHECKING:
    from collections.abc import Callable

ANSWER_BYTES = 200
LOOKUPS = 2000
CALLS = 200


@frozen(kw_only=True)
class Slope:
    """A cost measured at several sizes, and its growth per piece."""

    name: str
    unit: str
    sizes: tuple[int, ...]
    costs: tuple[float, ...]

    @property
    def per_piece(self) -> float:
        """Growth from the smallest to the largest size, per piece."""
        span = self.sizes[-1] - self.sizes[0]
        return (self.costs[-1] - self.costs[0]) / span


def memory_of(make: Callable[[], Any]) -> tuple[Any, int]:
    """Return what `make` makes and the bytes that it holds."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return made, held


def measure(
    name: str, unit: str, sizes: tuple[int, ...], cost: Callable[[int], float]
) -> Slope:
    """Return the slope of a cost over sizes."""
    return Slope(
        name=name,
        unit=unit,
        sizes=sizes,
        costs=tuple(cost(size) for size in sizes),
    )


def kinds(count: int) -> list[TrafficKind]:
    """Return as many traffic kinds, each of its own path."""
    return [
        TrafficKind(
            name=f'kind{n}',
            selector=f'method in (GET, POST), host=h{n % 660}, segment0=p{n}',
            service=f's{n % 660}',
            safety='idempotent',
        )
        for n in range(count)
    ]


def services(count: int) -> list[Service]:
    """Return as many services."""
    return [
        Service(name=f's{n}', selector=f'app=s{n}', shards=3)
        for n in range(count)
    ]


def targets(count: int) -> list[Target]:
    """Return as many targets of 660 services."""
    return [
        Target(
            name=f't{n}',
            address=f'10.{n >> 16}.{n >> 8 & 255}.{n & 255}:80',
            labels={'app': f's{n % 660}', 'zone': f'z{n % 12}'},
            host=f'host{n // 4}',
        )
        for n in range(count)
    ]


def config(docs: list[Any]) -> ConfigState:
    """Return a configuration of documents."""
    state = ConfigState()
    state.docs = {(kind_of(doc), doc.name): doc for doc in docs}
    state.last_changed_seq = dict.fromkeys(state.docs, 1)
    return state


def fleet(count: int) -> FleetState:
    """Return a fleet of members with 1.4 shards each."""
    state = FleetState()
    for n in range(count):
        join = {
            'op': 'join',
            'member': f'node{n}@1796000000000',
            'host': f'node{n}',
            'data_centre': f'dc{n % 12}',
            'rpc': f'10.9.{n >> 8}.{n & 255}:7000',
            'admin': f'10.9.{n >> 8}.{n & 255}:7001',
            'at_ms': 0,
        }
        state.apply(Change(seq=n + 1, body={'ops': [join]}))
    for n in range(count * 1980 // 1400):
        claim = {
            'op': 'claim',
            'service': f's{n % 660}',
            'shard': n // 660,
            'owner': f'node{n % count}@1796000000000',
            'expect_epoch': 0,
        }
        state.apply(Change(seq=n, body={'ops': [claim]}))
    return state


def seconds_per(func: Callable[[], object], times: int) -> float:
    """Return the seconds that one call takes, the best of three rounds."""
    best = float('inf')
    for _ in range(3):
        began_s = perf_counter()
        for _ in range(times):
            func()
        best = min(best, (perf_counter() - began_s) / times)
    return best


def lookup_us(count: int) -> float:
    """Return microseconds of a route look-up."""
    table = TrafficKindTable.build(kinds(count))
    rng = Random(1)
    asked = [
        request_labels(
            method='GET',
            path=f'/p{n}/x',
            host=f'h{n % 660}',
            caller='c',
            labels_header='',
        )
        for n in (rng.randrange(count) for _ in range(100))
    ]
    turn = iter(asked * (LOOKUPS * 3 // 100 + 3))
    return seconds_per(lambda: table.find(next(turn)), LOOKUPS) * 1e6


def change_ms(count: int) -> float:
    """Return milliseconds to follow a changed target."""
    docs = [*services(660), *targets(count)]
    state = config(docs)
    catalogue = CompiledConfig()
    catalogue.rebuild(state)
    key = ('Target', f't{count - 1}')
    return seconds_per(lambda: catalogue.update(state, [key]), 200) * 1e3


def review_us(count: int) -> float:
    """Return microseconds of a review of all shards for live owners."""
    specs = services(count // 3)
    state = fleet(1400)
    for number, spec in enumerate(specs):
        for shard in range(spec.shards):
            state.holdings[(spec.name, shard)] = Holding(
                owner=f'node{number}@1796000000000', epoch=1000
            )
    return seconds_per(lambda: unowned_shards(state, specs, set()), 50) * 1e6


def ledger_bytes(count: int) -> float:
    """Return bytes of a ledger with answers of 200 bytes."""

    def make() -> Ledger:
        made = Ledger(window_ms=10**9, max_bytes=1 << 30)
        for n in range(count):
            key = f'{n:036d}'
            made.admit_attempt(key=key, accepted_ms=1, now_ms=1)
            answer = Answered(status=201, body=bytes(ANSWER_BYTES))
            made.record_answer(key, answer, 2)
        return made

    return memory_of(make)[1]


def journal_bytes(count: int) -> float:
    """Return bytes of a journal with answers of 200 bytes."""

    def make() -> JournalState:
        made = JournalState(window_ms=10**9, max_records=10**7)
        for n in range(count):
            key = f'{n:036d}'
            made.record_attempt(('s', 0), key, 1)
            answer = Answered(status=201, body=bytes(ANSWER_BYTES))
            made.record_answer(('s', 0), key, answer, 2)
        return made

    return memory_of(make)[1]


def membership_us(count: int) -> float:
    """Return microseconds of the decisions of one ping."""
    view = MembershipView(own='own', rng=Random(1))
    view.set_members([f'node{n}@1796000000000' for n in range(count)])

    def period() -> None:
        member = view.next_ping()
        view.record_reply(member, 1.0)
        view.apply_rumours(view.take_rumours(), 1.0)
        view.expire_suspects(1.0)

    return seconds_per(period, 200) * 1e6


class _Endpoint(NodeBase):
    async def Ping(self, stream: Any) -> None:  # noqa: N802
        msg = await stream.recv_message()
        await stream.send_message(
            PingReply(
                alive=True,
                rumours=msg.rumours,
                config_seq=msg.config_seq,
                fleet_seq=msg.fleet_seq,
            )
        )

    async def Push(self, stream: Any) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(Empty())

    async def Forward(self, stream: Any) -> None:  # noqa: N802
        raise NotImplementedError

    Pull = Fence = Handover = KeepJournal = Announce = Suspect = Forward


async def _count_bytes(call: Callable[[NodeStub], Any]) -> float:
    """Return the bytes of one call, both ways, as they cross a socket."""
    server = Server([_Endpoint()])
    await server.start('127.0.0.1', 0)
    port = server._server.sockets[0].getsockname()[1]  # noqa: SLF001
    total = 0

    async def pipe(reader: Any, writer: Any) -> None:
        nonlocal total
        while data := await reader.read(65536):
            total += len(data)
            writer.write(data)
        writer.close()

    async def accept(reader: Any, writer: Any) -> None:
        far = await asyncio.open_connection('127.0.0.1', port)
        with suppress(asyncio.CancelledError):
            await asyncio.gather(pipe(reader, far[1]), pipe(far[0], writer))

    middle = await asyncio.start_server(accept, '127.0.0.1', 0)
    channel = Channel('127.0.0.1', middle.sockets[0].getsockname()[1])
    stub = NodeStub(channel)
    await call(stub)
    await asyncio.sleep(0.05)
    before = total
    for _ in range(CALLS):
        await call(stub)
    await asyncio.sleep(0.1)
    channel.close()
    middle.close()
    server.close()
    return (total - before) / CALLS


def ping_bytes(rumours: int) -> float:
    """Return the bytes of one ping and its reply with rumours."""
    name = 'node1234@1796000000000'
    told = [Rumour(member=name, state=1, round=1) for _ in range(rumours)]
    msg = PingRequest(
        source=name,
        target=name,
        rumours=told,
        config_seq=2_600_000,
        fleet_seq=6_000_000,
    )
    meta = {'source': name}
    return asyncio.run(
        _count_bytes(lambda stub: stub.Ping(msg, metadata=meta))
    )


def push_bytes(docs: int) -> float:
    """Return the bytes of one push of a change with documents."""
    rows = [
        {
            'kind': 'Target',
            'name': f'target-{n}',
            'address': '10.20.30.40:8080',
            'labels': {'app': 'room-stock', 'zone': 'z1'},
            'host': 'host1234',
            'slots': 4,
        }
        for n in range(docs)
    ]
    body = {'author': 'operator', 'put': rows, 'delete': [], 'nonce': 'f' * 32}
    msg = LogBatch(
        log='config',
        changes=[ChangePb(seq=2_600_000, body=dumps(body).encode())],
    )
    meta = {'source': 'node1234@1796000000000'}
    return asyncio.run(
        _count_bytes(lambda stub: stub.Push(msg, metadata=meta))
    )
