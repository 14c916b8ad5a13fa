"""A request crashes each upstream that begins to run it, and comes again.

It may reach a few upstreams until the fleet knows it. Then it must be kept
from them, or it takes one after the other away from everybody else.
"""

from __future__ import annotations

from asyncio import create_task, sleep
from collections import Counter
from random import Random
from time import monotonic
from typing import TYPE_CHECKING

from attrs import Factory, define

from review.harness.client import Client
from review.harness.fleet import BOUNDS, Fleet, free_port, route
from review.harness.load import Load, Traffic
from review.harness.runner import run_case
from review.harness.upstream import (
    Request,
    Upstream,
    answer_body,
    response_head,
    seal_of,
)

if TYPE_CHECKING:
    from asyncio import StreamWriter

HOST = 'hulo84.example'
SERVICE = 'wuno96b'
NODES = 3
# As many as the service of charge postings has in the site file.
UPSTREAMS = 15
SLOTS = 2
CRASHING_PATH = '/xapu221/crashes'
# How often the request comes again, and how long an upstream is down.
COMES_EVERY_S = 2.0
DOWN_S = 4.0
# The entry of an upstream that crashed goes three heartbeats later.
ENTRY_LEFT_S = 4.5
CALM_S = 4.0
PLAY_S = 50.0
STABLE_WINDOW_S = BOUNDS['stable_window_ms'] / 1000
# The rule: more than three retries after it has crashed the third.
VICTIMS = 3
MAX_RETRIES = 3


@define(kw_only=True, eq=False)
class Upstreams:
    """Upstreams, each of which may crash and start again with a new id."""

    fleet: Fleet
    crashes: bool
    rng: Random = Factory(lambda: Random(1))
    started: list[Upstream] = Factory(list)
    # When the request that crashes upstreams reached one, and what crashed.
    reached_at_s: list[float] = Factory(list)
    crashed_at_s: list[float] = Factory(list)

    async def start(self, address: str) -> Upstream:
        """Start an upstream and write its entry."""
        upstream = Upstream(
            name=f'i-{len(self.started) + 1}',
            address=address,
            record=self.fleet.record,
        )

        async def respond(request: Request, writer: StreamWriter) -> None:
            await self._respond(upstream, request, writer)

        upstream.respond = respond
        self.started.append(upstream)
        await upstream.start()
        self.fleet.put_server(
            upstream.name, service=SERVICE, address=address, slots=SLOTS
        )
        return upstream

    async def _respond(
        self, upstream: Upstream, request: Request, writer: StreamWriter
    ) -> None:
        if request.path == CRASHING_PATH:
            self.reached_at_s.append(request.arrived_at_s)
            if self.crashes:
                create_task(self._crash(upstream))
                # The connection closes before there is an answer.
                await sleep(DOWN_S)
        await sleep(self._work_s())
        body = answer_body(request.request_id)
        headers = {
            'Request-Id': request.request_id,
            'Response-Seal': seal_of(body),
        }
        writer.write(response_head(200, headers, length=len(body)) + body)
        await writer.drain()

    def _work_s(self) -> float:
        """Return the work of a request, by the sheet 160 ms in the mean."""
        return min(1.2, 0.16 * self.rng.lognormvariate(-0.125, 0.5))

    async def _crash(self, upstream: Upstream) -> None:
        """Crash an upstream; it starts again with another id."""
        self.crashed_at_s.append(monotonic())
        await upstream.exit()
        await sleep(DOWN_S)
        await self.start(upstream.address)
        await sleep(ENTRY_LEFT_S - DOWN_S)
        self.fleet.remove_server(upstream.name)


async def send_again(fleet: Fleet, rng: Random) -> None:
    """Send the same request again and again, each time to any node."""
    while True:
        client = Client(
            address=rng.choice(fleet.nodes).front,
            host=HOST,
            record=fleet.record,
        )
        await client.send('POST', CRASHING_PATH, body=b'the same each time')
        client.close()
        await sleep(COMES_EVERY_S)


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Send the request beside others; return whether it comes too often."""
    await fleet.start_store()
    upstreams = Upstreams(fleet=fleet, crashes=trouble)
    for number in range(UPSTREAMS):
        host = f'127.0.2.{number + 1}'
        await upstreams.start(f'{host}:{free_port(host)}')
    fleet.put_config(
        1, [route('r-1', HOST, '/xapu221/', SERVICE, 'unsafe')], [SERVICE]
    )
    nodes = fleet.add_nodes(NODES)
    await fleet.start_nodes()
    load = Load(
        nodes=nodes,
        host=HOST,
        record=fleet.record,
        traffic=[Traffic(method='POST', path='/xapu221/a', body_bytes=1200)],
        clients_per_node=10,
        pause_s=0.4,
    )
    load.start()
    await sleep(CALM_S)
    sender = create_task(send_again(fleet, Random(2)))
    await sleep(PLAY_S)
    sender.cancel()
    await load.stop()
    return judge(fleet, upstreams, load)


def judge(fleet: Fleet, upstreams: Upstreams, load: Load) -> bool:
    """Return whether the request came in too many retries."""
    crashed = upstreams.crashed_at_s
    retries = []
    if len(crashed) >= VICTIMS:
        known_at_s = crashed[VICTIMS - 1] + STABLE_WINDOW_S
        retries = [
            at_s for at_s in upstreams.reached_at_s if at_s > known_at_s
        ]
    begun = {
        request.request_id
        for upstream in upstreams.started
        for request in upstream.runs
    }
    lost = [
        answer.request_id
        for answer in load.answers
        if answer.status != 200 and answer.request_id in begun
    ]
    counts = Counter(answer.status for answer in load.answers)
    fleet.record.write('others', **{f's{key}': n for key, n in counts.items()})
    fleet.record.write('others-lost-that-had-begun', count=len(lost))
    fleet.record.write(
        'crashing-request',
        reached=len(upstreams.reached_at_s),
        crashed=len(crashed),
        retries_too_late=len(retries),
    )
    return len(retries) > MAX_RETRIES


if __name__ == '__main__':
    run_case(play, __file__)
