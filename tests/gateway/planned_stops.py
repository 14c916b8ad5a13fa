"""Planned stops of a node in the test process, and requests beside them.

A stop of these nodes takes requests for 1.35 s and awaits answers for 2.7 s
at most, while the targets hang and the routes allow 20 s.
"""

from asyncio import create_task, sleep, timeout
from time import monotonic

from attrs import evolve

from carawaylane.settings.gateway import Bounds
from standins.raw_target import Reply
from tests.gateway.conftest import connect, plan_spec, route_spec
from tests.gateway.test_pipelining import request

GRACE_S = 3.0
# When a request is sent that is taken just before the node refuses others.
LATE_S = 1.1
ROUTES = {'safe': '/read/', 'unsafe': '/write/'}
LONG = {'timeout_ms': 20_000, 'target_latency_ms': 600}


def hang(_number, _data):
    return Reply(hang=True)


def routes(**changes):
    return [
        route_spec(kind, path, kind=kind, **LONG | changes)
        for kind, path in ROUTES.items()
    ]


async def start(fleet, make_reply=hang, *, slots=50, **changes):
    fleet.store.put('config', 'main', plan_spec(1, routes(**changes)))
    target = await fleet.start_target('i-1', make_reply, slots=slots)
    node = await fleet.start_node('n1')
    node.cfg = evolve(node.cfg, bounds=Bounds(grace_s=GRACE_S))
    return node, target


class Stop:
    """A stop of a node, as `serve` does it at a signal."""

    def __init__(self, fleet, node):
        self.started_at_s = monotonic()
        self._fleet = fleet
        self._node = node
        self.task = create_task(self._run())

    async def _run(self):
        await self._node.drain()
        await self._node.stop()
        self._fleet.nodes.remove(self._node)

    async def reach(self, time_s):
        await sleep(self.started_at_s + time_s - monotonic())

    async def end(self):
        """Return how long the stop took."""
        await self.task
        return monotonic() - self.started_at_s


async def send(node, kind, *lines, body=b''):
    """Send the head of a request, and perhaps a part of its body."""
    conn = await connect(node)
    conn[1].write(head_of(kind, *lines) + body)
    return conn


async def answer_of(conn):
    """Return the status of a response, and its headers in lower case."""
    async with timeout(5):
        head = await conn[0].readuntil(b'\r\n\r\n')
    return int(head.split()[1]), head.lower()


def assert_refused(status, head):
    assert status == 503
    assert b'retry-after: ' in head


def head_of(kind, *lines):
    method = 'GET' if kind == 'safe' else 'POST'
    return request(1, path=f'{ROUTES[kind]}x', method=method, lines=lines)
