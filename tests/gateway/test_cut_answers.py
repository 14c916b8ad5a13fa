"""Random load beside targets that cut their answers at any byte.

A success is a target's whole answer to the request, in the order of the
requests. An unsafe request runs once at most, and not at all if it is refused.
"""

from asyncio import IncompleteReadError, gather, sleep, start_server, timeout
from collections import Counter
from itertools import count
from os import environ
from random import Random

import pytest
from attrs import Factory, define
from uvloop import EventLoopPolicy

from standins.raw_target import read_request, request_id_of, reset
from tests.gateway.conftest import HOST, connect, plan_spec, route_spec
from tests.gateway.test_cut_off_nodes import cut_off

# By hand: CUT_ANSWERS_SEEDS=50.
SEEDS = range(int(environ.get('CUT_ANSWERS_SEEDS', '1')))
NODES, TARGETS, CALLERS, ROUNDS, DEPTH = 3, 8, 8, 4, 4
CUT_SHARE, REPEATED_SHARE = 0.4, 0.2
MAX_DELAY_S, SILENCE_S = 0.02, 2.0
STEPS = (1, 7, 100_000)
PROMISES = {408, 421, 429, 503}
HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s-%s\r\n'
# Over the limit of the small memory below, so that nodes stream it.
LARGE_BYTES = 100_000


def body_of(path, request_id):
    return request_id * (LARGE_BYTES // 4 if b'/get/' in path else 3)


def answers(path, request_id):
    """Return the same answer in several forms."""
    body = body_of(path, request_id)
    head = HEAD % (request_id, request_id)
    length = b'Content-Length: %d\r\n' % len(body)
    half = len(body) // 2
    chunks = b'%x\r\n%s\r\n%x;a=b\r\n%s\r\n0\r\n' % (
        half,
        body[:half],
        len(body) - half,
        body[half:],
    )
    chunked = head + b'Transfer-Encoding: chunked\r\n\r\n' + chunks
    interim = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
    return [
        head + length + b'\r\n' + body,
        head.replace(b'\r\n', b'\n') + length + b'\n' + body,
        head.replace(b': ', b':\r\n ') + length + b'\r\n' + body,
        interim + head + b'Connection: close\r\n' + length + b'\r\n' + body,
        chunked + b'\r\n',
        chunked + b'Digest: 1\r\n\r\n',
    ]


@define(kw_only=True)
class CuttingTarget:
    """Target that cuts answers, and repeats earlier ones before others."""

    rng: Random
    runs: Counter[bytes] = Factory(Counter)
    cuts: int = 0

    async def serve(self, reader, writer):
        earlier = []
        try:
            while True:
                data = await read_request(reader)
                if not await self._answer(data, earlier, writer):
                    return
        except (IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _answer(self, data, earlier, writer):
        request_id, path = request_id_of(data), data.split()[1]
        self.runs[request_id] += 1
        await sleep(self.rng.random() * MAX_DELAY_S)
        if earlier and self.rng.random() < REPEATED_SHARE:
            writer.write(self.rng.choice(earlier))
        # Without a length, an answer may not just be cut by closing.
        no_length = HEAD % (request_id, request_id) + b'\r\n'
        no_length += body_of(path, request_id)
        is_cut = self.rng.random() < CUT_SHARE
        self.cuts += is_cut
        end = self.rng.choice(['close', 'reset', 'silent'] if is_cut else [''])
        answer = self.rng.choice(answers(path, request_id))
        if end == 'reset' or (not is_cut and self.rng.random() < 0.2):
            end, answer = end or 'close', no_length
        whole = answer
        if is_cut:
            answer = answer[: self._cut(answer)]
        step = self.rng.choice(STEPS) if len(answer) < 1000 else 1 << 20
        for start in range(0, len(answer), step):
            writer.write(answer[start : start + step])
            await sleep(0)
        if end:
            await sleep(SILENCE_S if end == 'silent' else MAX_DELAY_S)
        if end == 'reset':
            reset(writer)
        elif len(whole) < 1000:
            earlier.append(whole)
        return not end

    def _cut(self, answer):
        """Return where to cut: in the head as often as in the body."""
        body_start = answer.rfind(b'\n\r\n') if self.rng.random() < 0.5 else 0
        return self.rng.randrange(
            body_start if 0 < body_start < 300 else len(answer)
        )


async def read_response(reader, version):
    """Return status, seal and body of a response, None if it is not whole."""
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
        status = int(head.split()[1])
        fields = dict(
            line.split(': ', 1) for line in head.strip().split('\r\n')[1:]
        )
        assert head.count('content-length') + head.count('chunked') == 1, head
        if 'content-length' in fields:
            body = await reader.readexactly(int(fields['content-length']))
            return status, fields.get('response-seal'), body
        assert version == '1.1'
        body = b''
        while size := int((await reader.readuntil(b'\r\n')), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        assert await reader.readexactly(2) == b'\r\n'
    except (IncompleteReadError, ConnectionError):
        return None
    return status, fields.get('response-seal'), body


async def send_all(node, requests, version):
    """Send requests in a pipeline; return the responses that are whole."""
    reader, writer = await connect(node)
    writer.write(
        b''.join(
            f'{method} {path} HTTP/{version}\r\nHost: {HOST}\r\n'
            f'Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n'.encode()
            for method, path, request_id in requests
        )
    )
    responses = {}
    try:
        async with timeout(30):
            for request in requests:
                response = await read_response(reader, version)
                if response is None:
                    break
                responses[request] = response
    finally:
        writer.close()
    return responses


async def start_nodes(fleet, rng):
    times = {'timeout_ms': 1500, 'target_latency_ms': 1000}
    routes = [
        route_spec('read', '/read/', **times),
        route_spec('get', '/get/', kind='download', **times),
        route_spec('write', '/write/', kind='unsafe', **times),
    ]
    fleet.store.put('config', 'main', plan_spec(routes=routes))
    targets = [CuttingTarget(rng=rng) for _ in range(TARGETS)]
    for number, target in enumerate(targets):
        server = await start_server(target.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        fleet.register_target(f'i-{number}', port, slots=16)
    nodes = await gather(
        *(
            fleet.start_node(f'n{n}', memory_bytes=8 << 20)
            for n in range(NODES)
        )
    )
    return nodes, targets


@pytest.fixture(scope='module')
def event_loop_policy():
    """Use the event loop of the daemon, whose transports are its own."""
    return EventLoopPolicy()


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('way', ['direct', 'through a peer'])
async def test_a_success_is_a_whole_answer_beside_cut_answers(
    fleet, way, seed
):
    rng = Random(seed)
    nodes, targets = await start_nodes(fleet, rng)
    if way != 'direct':
        cut_off(nodes[0], 'refuse')
        nodes = nodes[:1]
    numbers = count(100)
    unsafe_ids = set()
    responses = {}

    def new_request():
        kind, method = rng.choice(
            [('read', 'GET'), ('get', 'GET'), ('write', 'POST')]
        )
        number = next(numbers)
        if method == 'POST':
            unsafe_ids.add(b'r%d' % number)
        return method, f'/{kind}/{number}', f'r{number}'

    async def run_caller():
        for _ in range(ROUNDS):
            requests = [new_request() for _ in range(rng.randint(1, DEPTH))]
            version = '1.1' if len(requests) > 1 else '1.0'
            responses.update(
                await send_all(rng.choice(nodes), requests, version)
            )

    await gather(*(run_caller() for _ in range(CALLERS)))
    runs = sum((target.runs for target in targets), Counter())
    statuses = Counter(status for status, _, _ in responses.values())
    print(way, statuses, 'cut', sum(target.cuts for target in targets))
    for (method, path, request_id), response in responses.items():
        status, seal, body = response
        own_id = request_id.encode()
        if status == 200:
            assert body == body_of(path.encode(), own_id), request_id
            assert seal == f's-{request_id}'
            assert runs[own_id]
        else:
            assert status >= 500
            assert seal is None
        if method == 'POST':
            assert not (runs[own_id] and status in PROMISES), request_id
    assert all(runs[request_id] <= 1 for request_id in unsafe_ids)
    assert sum(target.cuts for target in targets) > CALLERS
    assert statuses[200] > CALLERS
