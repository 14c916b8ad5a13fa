"""Random load beside targets that refuse requests and repeat refusals.

Callers come back under the id of a refused request, to any node. An unsafe
request runs once at most, and not at all if it is refused in the end.
"""

from asyncio import IncompleteReadError, gather, sleep, start_server
from collections import Counter
from itertools import count
from os import environ
from random import Random

import pytest
from attrs import Factory, define

from standins.raw_target import read_request, request_id_of
from tests.gateway.conftest import fetch, plan_spec, route_spec

# By hand: COPIED_REFUSALS_SEEDS=50.
SEEDS = range(int(environ.get('COPIED_REFUSALS_SEEDS', '2')))
NODES, TARGETS, CALLERS, REQUESTS = 3, 3, 12, 12
MAX_RETURNS = 6
REFUSED_SHARE, COPY_SHARE = 0.5, 0.5
MAX_RUN_S, MAX_PAUSE_S, COPY_DELAY_S = 0.05, 0.02, 0.03
PROMISES = {408, 421, 429, 503}


@define(kw_only=True)
class CopyingTarget:
    """Target that repeats refusals of a connection at random moments."""

    rng: Random
    runs: Counter[bytes] = Factory(Counter)
    copies: int = 0

    async def serve(self, reader, writer):
        refused_ids = []
        try:
            while True:
                data = await read_request(reader)
                await self._answer(request_id_of(data), refused_ids, writer)
        except (IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _answer(self, request_id, refused_ids, writer):
        self._copy_some(request_id, refused_ids, writer)
        if self.rng.random() < REFUSED_SHARE:
            refused_ids.append(request_id)
            writer.write(_refusal(request_id))
        else:
            self.runs[request_id] += 1
            await sleep(self.rng.random() * MAX_RUN_S)
            writer.write(_success(request_id))
        if self.rng.random() < COPY_SHARE:
            await sleep(self.rng.random() * COPY_DELAY_S)
            self._copy_some(request_id, refused_ids, writer)

    def _copy_some(self, request_id, refused_ids, writer):
        """Repeat a refusal, that of the request itself if there is one."""
        if not refused_ids or self.rng.random() > COPY_SHARE:
            return
        if request_id not in refused_ids:
            request_id = self.rng.choice(refused_ids)
        self.copies += 1
        writer.write(_refusal(request_id))


def _refusal(request_id):
    return (
        b'HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\n'
        b'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n' % request_id
    )


def _success(request_id):
    return (
        b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n'
        b'Content-Length: %d\r\n\r\n%s'
        % (request_id, len(request_id), request_id)
    )


async def call(nodes, rng, kind, method, request_id):
    """Send a request until it is no longer refused; return the response."""
    for _ in range(MAX_RETURNS):
        response = await fetch(
            rng.choice(nodes),
            f'/{kind}/x',
            method=method,
            request_id=request_id,
        )
        if response.status not in PROMISES:
            break
        await sleep(rng.random() * MAX_PAUSE_S)
    return response


@pytest.mark.parametrize('seed', SEEDS)
async def test_promises_hold_beside_copied_refusals(fleet, seed):
    routes = [
        route_spec('read', '/read/', max_attempts=3),
        route_spec('write', '/write/', kind='unsafe', max_attempts=3),
    ]
    fleet.store.put('config', 'main', plan_spec(routes=routes))
    targets = [
        CopyingTarget(rng=Random(f'{seed} target {number}'))
        for number in range(TARGETS)
    ]
    servers = [
        await start_server(target.serve, '127.0.0.1', 0) for target in targets
    ]
    for number, server in enumerate(servers):
        port = server.sockets[0].getsockname()[1]
        fleet.register_target(f'i-{number}', port, slots=8)
    nodes = await gather(*(fleet.start_node(f'n{n}') for n in range(NODES)))
    numbers = count()
    responses = {}

    async def run_caller(caller):
        rng = Random(f'{seed} caller {caller}')
        for _ in range(REQUESTS):
            unsafe = rng.random() < 0.7
            request_id = f'{"u" if unsafe else "s"}{next(numbers)}'
            responses[request_id] = await call(
                nodes,
                rng,
                'write' if unsafe else 'read',
                'POST' if unsafe else 'GET',
                request_id,
            )

    await gather(*(run_caller(caller) for caller in range(CALLERS)))
    await sleep(MAX_RUN_S + COPY_DELAY_S)
    for server in servers:
        server.close()
    runs = sum((target.runs for target in targets), Counter())
    assert sum(target.copies for target in targets)
    for request_id, response in responses.items():
        times = runs[request_id.encode()]
        if response.status == 200:
            assert response.body == request_id.encode()
            assert times >= 1
        if request_id.startswith('u'):
            assert times <= 1, request_id
            assert not (times and response.status in PROMISES), request_id
    assert any(response.status == 200 for response in responses.values())
