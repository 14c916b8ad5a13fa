"""Tests of requests that a node sends for a peer, when either is stopped."""

from asyncio import create_task, sleep
from json import dumps
from signal import SIGTERM

import pytest
from attrs import evolve
from uvloop import EventLoopPolicy

from carawaylane.settings.gateway import Bounds
from standins.raw_target import Reply
from tests.gateway.conftest import connect
from tests.gateway.long_answers import plan, receive, request
from tests.gateway.planned_stops import (
    GRACE_S,
    LATE_S,
    Stop,
    assert_refused,
    hang,
)
from tests.gateway.test_cut_off_nodes import cut_off
from tests.gateway.test_daemon import (
    boot_spec,
    start_daemon,
    wait_until_ready,
)
from tests.gateway.test_pipelining import TARGET_BODY

LARGE_BODY = bytes(range(250)) * 24_000
LARGE = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n'
    b'Content-Length: %d\r\n\r\n' % len(LARGE_BODY)
) + LARGE_BODY
KINDS = ('read', 'write')


@pytest.fixture(scope='module')
def event_loop_policy():
    """Use the event loop of the daemon, whose transports are its own."""
    return EventLoopPolicy()


async def start(fleet, make_reply):
    """Return a node and a target."""
    fleet.store.put('config', 'main', plan())
    target = await fleet.start_target('i-1', make_reply, slots=50)
    node = await fleet.start_node('n1')
    node.cfg = evolve(node.cfg, bounds=Bounds(grace_s=GRACE_S))
    return node, target


async def cut_off_beside_a_peer(fleet, node):
    """Cut a node off from the targets, once it knows its peer."""
    members = node.find('directory').members
    await fleet.wait_until(lambda: len(members) == 2)
    cut_off(node, 'refuse')


async def start_peer(fleet, node, tmp_path, *, grace_s):
    """Return a daemon that sends requests for a node."""
    settings = boot_spec(fleet.store_address, grace_s=grace_s)
    settings['node'] = 'n2'
    path = tmp_path / 'local.json'
    path.write_text(dumps(settings))
    proc = await start_daemon(path)
    await wait_until_ready(proc, settings)
    await cut_off_beside_a_peer(fleet, node)
    return proc


async def send_both(fleet, node, target):
    """Send a request of each kind, which reach the target."""
    conns = [await connect(node) for _ in KINDS]
    for kind, (_, writer) in zip(KINDS, conns, strict=True):
        writer.write(request(f'r-{kind}', f'/{kind}/x'))
    await fleet.wait_until(lambda: len(target.requests) == len(KINDS))
    return conns


async def test_a_large_answer_for_a_peer_is_sent_before_the_exit(
    fleet, tmp_path
):
    """The node left while the answer was on its way to the peer."""
    node, target = await start(
        fleet, lambda *_: Reply(data=LARGE, delay_s=4.0)
    )
    proc = await start_peer(fleet, node, tmp_path, grace_s=20)
    log = create_task(proc.communicate())
    conns = await send_both(fleet, node, target)
    proc.send_signal(SIGTERM)
    await sleep(3.5)
    (channel,) = node.find('relays')._channels._by_address.values()
    transport = channel.channel._protocol.connection._transport
    transport.pause_reading()
    await sleep(2.0)
    transport.resume_reading()
    for reader, _ in conns:
        answer = await receive(reader)
        assert answer.status == 200
        assert answer.is_whole
        assert answer.body == LARGE_BODY
    await log
    assert proc.returncode == 0
    assert len(target.requests) == len(KINDS)


async def test_an_answer_that_outlasts_the_stop_of_a_peer_promises_nothing(
    fleet, tmp_path
):
    node, target = await start(fleet, hang)
    proc = await start_peer(fleet, node, tmp_path, grace_s=GRACE_S)
    log = create_task(proc.communicate())
    conns = await send_both(fleet, node, target)
    proc.send_signal(SIGTERM)
    for reader, _ in conns:
        # Its own time is 20 s.
        answer = await receive(reader, wait_s=10)
        assert answer.is_whole
        assert answer.status in {502, 504}
    await log
    assert proc.returncode == 0
    assert len(target.requests) == len(KINDS)


@pytest.mark.parametrize('delay_s', [2.2, None])
async def test_the_stop_of_a_node_that_sends_through_a_peer_answers_all(
    fleet, delay_s
):
    """The second kind of answers outlasts the stop."""
    reply = Reply(data=TARGET_BODY, delay_s=delay_s or 0, hang=not delay_s)
    node, target = await start(fleet, lambda *_: reply)
    await fleet.start_node('n2')
    await cut_off_beside_a_peer(fleet, node)
    conns = await send_both(fleet, node, target)
    stop = Stop(fleet, node)
    for reader, _ in conns:
        answer = await receive(reader)
        assert answer.is_whole
        assert answer.status == (200 if delay_s else 504)
    assert await stop.end() < GRACE_S
    if not delay_s:
        await fleet.wait_until(lambda: target.aborted_requests == len(KINDS))
    assert len(target.requests) == len(KINDS)


async def test_no_request_is_sent_through_a_peer_late_in_a_stop(fleet):
    """The node finds that it is cut off after it has granted the slot."""
    node, target = await start(fleet, hang)
    await fleet.start_node('n2')
    members = node.find('directory').members
    await fleet.wait_until(lambda: len(members) == 2)
    cut_off(node, 'hang')
    stop = Stop(fleet, node)
    # It can't connect until it refuses requests.
    await stop.reach(LATE_S)
    conns = [await connect(node) for _ in KINDS]
    for kind, (_, writer) in zip(KINDS, conns, strict=True):
        writer.write(request(f'r-{kind}', f'/{kind}/x'))
    for reader, _ in conns:
        answer = await receive(reader)
        assert_refused(answer.status, answer.head.encode())
    assert await stop.end() < GRACE_S
    assert not target.requests
