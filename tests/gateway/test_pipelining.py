"""Tests of pipelined requests of a caller, on the level of bytes."""

from asyncio import IncompleteReadError, create_task, gather, sleep, timeout
from random import Random
from time import monotonic

import pytest
from uvloop import EventLoopPolicy

from standins.raw_target import Reply
from tests.gateway.conftest import HOST, connect, plan_spec, route_spec

TARGET_BODY = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n'
    b'Content-Length: 4\r\n\r\n@ID@'
)
DELAYS_S = (0.4, 0.1, 0.3, 0.05, 0.4, 0.2)
DEPTH = 16
CLOSED = (b'', 0)


@pytest.fixture(scope='module')
def event_loop_policy():
    """Use the event loop of the daemon, whose transports are its own."""
    return EventLoopPolicy()


def request(number, *, path='/read/x', method='GET', lines=(), body=b''):
    """Return a request whose id, of four characters, is its body's too."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: r{number:03}',
        *lines,
    ]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def delayed(delay_s, number, **kwargs):
    return request(number, path=f'/read/{delay_s}', **kwargs)


def reply_after_delay(_number, data):
    """Answer after the time in the path, with the id as the body."""
    path = data.split()[1].decode()
    text = path.rpartition('/')[2]
    data = TARGET_BODY
    return Reply(data=data, delay_s=float(text) if text[:1] == '0' else 0.0)


async def read_response(reader, *, has_body=True):
    """Return the body and status of a response, CLOSED if there is none."""
    try:
        async with timeout(5):
            head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
            length = 0
            for line in head.split('\r\n'):
                if line.startswith('content-length:'):
                    length = int(line.partition(':')[2])
            body = await reader.readexactly(length if has_body else 0)
    except (IncompleteReadError, ConnectionError) as exc:
        assert not getattr(exc, 'partial', b''), exc
        return CLOSED
    return body, int(head.split()[1])


async def read_responses(reader, count):
    return [await read_response(reader) for _ in range(count)]


def ids(*numbers):
    return [(f'r{number:03}'.encode(), 200) for number in numbers]


def paths_of(target):
    return [data.split()[1].decode() for data in target.requests]


@pytest.fixture
async def pipeline(fleet):
    """A node and a target with room for all requests of a pipeline."""
    # Long enough that a busy machine doesn't make the target look failing.
    times = {'timeout_ms': 10_000, 'target_latency_ms': 5_000}
    routes = [
        route_spec('read', '/read/', **times),
        route_spec('write', '/write/', kind='unsafe', **times),
    ]
    fleet.store.put('config', 'main', plan_spec(1, routes))
    target = await fleet.start_target('i-1', reply_after_delay, slots=64)
    node = await fleet.start_node('n1')
    return fleet, node, target


async def test_pipelined_requests_take_as_long_as_the_longest(pipeline):
    """One after the other, these six took 1.46 s."""
    _, node, _ = pipeline
    reader, writer = await connect(node)
    started_at_s = monotonic()
    writer.write(b''.join(map(delayed, DELAYS_S, range(6))))
    assert await read_responses(reader, 6) == ids(*range(6))
    assert monotonic() - started_at_s < max(DELAYS_S) + 0.15
    writer.close()


@pytest.mark.parametrize('seed', range(10))
async def test_responses_come_in_the_order_of_the_requests(pipeline, seed):
    _, node, _ = pipeline
    rng = Random(seed)
    reader, writer = await connect(node)
    count = 12
    data = b''.join(
        delayed(rng.choice((0.0, 0.01, 0.05, 0.2)), number)
        for number in range(count)
    )
    while data:
        size = rng.randint(1, 200)
        writer.write(data[:size])
        data = data[size:]
        await sleep(rng.choice((0, 0, 0.01)))
    assert await read_responses(reader, count) == ids(*range(count))
    writer.close()


def mixed_pipeline():
    """Return a pipeline of all kinds of bodies, and its responses."""
    fake = request(9, path='/read/fake')
    chunked = b'%x\r\n%s\r\n0\r\n\r\n' % (len(fake), fake)
    data = (
        request(0)
        + request(1, method='POST', body=fake)
        + request(2, method='POST', lines=('Transfer-Encoding: chunked',))
        + chunked
        + request(3, method='POST', path='/write/x', body=fake)
        + request(4, path='/other/x', method='POST', body=fake)
        + request(5)
    )
    answers = ids(0, 1, 2, 3) + [(b'no route matches', 404)] + ids(5)
    return data, answers


async def test_a_pipeline_may_be_split_at_each_byte(pipeline):
    _, node, target = pipeline
    data, answers = mixed_pipeline()

    async def send_split(position):
        reader, writer = await connect(node)
        writer.write(data[:position])
        await sleep(0.002)
        writer.write(data[position:])
        result = await read_responses(reader, len(answers))
        writer.close()
        return result

    # More at a time would make the only target look slow and failing.
    for start in range(0, len(data), 3):
        positions = range(start, min(start + 3, len(data)))
        results = await gather(*map(send_split, positions))
        for position, result in zip(positions, results, strict=True):
            assert result == answers, position
    assert '/read/fake' not in paths_of(target)


async def test_a_bad_request_does_not_cost_those_before_it(pipeline):
    """aiohttp dropped the requests that it parsed along with a bad one."""
    _, node, target = pipeline
    bad = b'GET /read/bad HTTP/1.1\r\nHost: h\r\nBad Name: 1\r\n\r\n'
    data = request(0) + delayed(0.1, 1) + bad + request(2)
    reader, writer = await connect(node)
    writer.write(data)
    assert await read_responses(reader, 2) == ids(0, 1)
    assert (await read_response(reader))[1] == 400
    assert await read_response(reader) == CLOSED
    assert len(target.requests) == 2
    writer.close()


async def test_many_blank_lines_in_a_body_are_no_requests(pipeline):
    _, node, target = pipeline
    body = b'\r\n\r\n' * 60_000
    reader, writer = await connect(node)
    writer.write(
        request(0)
        + request(1, method='POST', body=body)
        + request(2, method='POST', body=body)
        + request(3)
    )
    assert await read_responses(reader, 4) == ids(0, 1, 2, 3)
    assert sum(data.endswith(body) for data in target.requests) == 2
    writer.close()


async def test_a_response_to_head_has_no_body(pipeline):
    _, node, _ = pipeline
    reader, writer = await connect(node)
    data = delayed(0.1, 0) + request(1, method='HEAD') + request(2)
    writer.write(data)
    assert await read_response(reader) == ids(0)[0]
    status = (await read_response(reader, has_body=False))[1]
    # The target of this test sends a body, so the connection to it breaks.
    assert status in (200, 502)
    assert await read_response(reader) == ids(2)[0]
    writer.close()


async def test_a_body_is_asked_for_when_its_turn_has_come(pipeline):
    """A 100 before its turn would be taken for another request's."""
    _, node, _ = pipeline
    reader, writer = await connect(node)
    writer.write(
        delayed(0.2, 0)
        + request(
            1,
            method='POST',
            path='/write/x',
            lines=('Expect: 100-continue', 'Content-Length: 3'),
        )
    )
    assert await read_response(reader) == ids(0)[0]
    assert (await read_response(reader))[1] == 100
    writer.write(b'abc' + request(2))
    assert await read_responses(reader, 2) == ids(1, 2)
    writer.close()


async def test_an_unsafe_request_waits_until_those_before_are_answered(
    pipeline,
):
    _, node, target = pipeline
    reader, writer = await connect(node)
    writer.write(
        delayed(0.2, 0)
        + delayed(0.1, 1)
        + request(2, path='/write/0.1', method='POST')
        + delayed(0.0, 3)
    )
    await sleep(0.1)
    assert len(target.requests) == 2
    assert await read_responses(reader, 4) == ids(0, 1, 2, 3)
    paths = paths_of(target)
    # The first two run side by side and arrive in any order.
    assert sorted(paths[:2]) == ['/read/0.1', '/read/0.2']
    assert paths[2:] == ['/write/0.1', '/read/0.0']
    # Each of the last two started after the one before was answered.
    assert target.arrival_times_s[2] - target.arrival_times_s[0] >= 0.2
    assert target.arrival_times_s[3] - target.arrival_times_s[2] >= 0.1
    writer.close()


async def test_nothing_runs_behind_a_request_that_closes(pipeline):
    """The caller sends requests behind a closing response again."""
    _, node, target = pipeline
    reader, writer = await connect(node)
    writer.write(
        delayed(0.1, 0)
        + delayed(0.1, 1, lines=('Connection: close',))
        + request(2, path='/read/behind')
        + request(3, path='/write/behind', method='POST')
    )
    assert await read_responses(reader, 2) == ids(0, 1)
    assert await read_response(reader) == CLOSED
    assert len(target.requests) == 2
    writer.close()


@pytest.mark.parametrize('count', [5, DEPTH, 4 * DEPTH])
async def test_a_caller_that_leaves_cancels_all_its_requests(fleet, count):
    """Also while the node does not read on, as the pipeline is full."""
    fleet.store.put('config', 'main', plan_spec())
    target = await fleet.start_target(
        'i-1', lambda n, data: Reply(hang=True), slots=64
    )
    node = await fleet.start_node('n1')
    _, writer = await connect(node)
    writer.write(b''.join(map(request, range(count))))
    sent = min(count, DEPTH)
    await fleet.wait_until(lambda: len(target.requests) >= sent)
    writer.close()
    await sleep(0.5)
    assert len(target.requests) == target.aborted_requests == sent
    await sleep(0.3)
    assert len(target.requests) == sent


async def test_a_pipeline_is_bounded_by_not_reading_on(pipeline, monkeypatch):
    _, node, _ = pipeline
    in_flight = 0
    most_in_flight = 0
    forwarding = node.find('forwarding')
    forward = forwarding.forward

    async def counting_forward(routed):
        nonlocal in_flight, most_in_flight
        in_flight += 1
        most_in_flight = max(most_in_flight, in_flight)
        try:
            return await forward(routed)
        finally:
            in_flight -= 1

    monkeypatch.setattr(forwarding, 'forward', counting_forward)
    reader, writer = await connect(node)
    count = 500
    write_task = create_task(_write_all(writer, count))
    # Another request is answered while the pipeline is full.
    other_reader, other_writer = await connect(node)
    other_writer.write(request(999))
    assert await read_response(other_reader) == ids(999)[0]
    assert await read_responses(reader, count) == ids(*range(count))
    assert DEPTH // 2 < most_in_flight <= DEPTH + 1
    await write_task
    writer.close()
    other_writer.close()


async def _write_all(writer, count):
    for number in range(count):
        writer.write(delayed(0.01, number))
        await writer.drain()


async def test_a_drain_answers_each_request_that_was_read(pipeline):
    """The response that closes is the one to the last request read."""
    _, node, target = pipeline
    reader, writer = await connect(node)
    writer.write(b''.join(map(delayed, DELAYS_S, range(6))))
    await sleep(0.1)
    node.draining = True
    # Not read: it arrives after the node has decided to close.
    await sleep(0.35)
    writer.write(request(6, path='/write/x', method='POST'))
    assert await read_responses(reader, 6) == ids(*range(6))
    assert await read_response(reader) == CLOSED
    assert len(target.requests) == 6
    writer.close()


async def test_a_drain_in_a_stream_of_requests_loses_none(pipeline):
    """Each request is answered, or counts as not read and did not run."""
    _, node, target = pipeline
    for attempt in range(10):
        node.draining = False
        target.requests.clear()
        reader, writer = await connect(node)

        async def send_requests(writer=writer):
            for number in range(100):
                writer.write(delayed(0.02, number))
                await sleep(0.002)

        send_task = create_task(send_requests())
        await sleep(0.02 + attempt * 0.005)
        node.draining = True
        answered = 0
        while (response := await read_response(reader)) != CLOSED:
            assert response == ids(answered)[0]
            answered += 1
        send_task.cancel()
        writer.close()
        assert 0 < answered < 100
        assert len(target.requests) == answered


async def test_a_failure_of_the_node_costs_only_its_own_request(
    pipeline, monkeypatch
):
    _, node, _ = pipeline
    forwarding = node.find('forwarding')
    forward = forwarding.forward

    async def failing_forward(routed):
        if routed.request.request_id == 'r001':
            raise RuntimeError('broken')
        return await forward(routed)

    monkeypatch.setattr(forwarding, 'forward', failing_forward)
    reader, writer = await connect(node)
    writer.write(delayed(0.1, 0) + request(1) + delayed(0.2, 2))
    assert await read_response(reader) == ids(0)[0]
    assert (await read_response(reader))[1] == 500
    assert await read_response(reader) == ids(2)[0]
    writer.close()
