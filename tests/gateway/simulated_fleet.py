"""Runs the services that spread changes, of many nodes, in virtual time.

The event loop jumps to its next timer, the network and the store are objects
of this process. A run with the same seed is always the same.
"""

from __future__ import annotations

import asyncio
from asyncio import Event, SelectorEventLoop, sleep, wait_for
from importlib import import_module
from random import Random
from selectors import DefaultSelector

from attrs import Factory, define

from bench.large_configurations import make_spec
from carawaylane.gateway.links import CALL_TIMEOUT_S
from carawaylane.gateway.node import SERVICE_MODULES
from carawaylane.kernel.kernel import Kernel
from carawaylane.messages.stored_objects import (
    ObjectDelta,
    ObjectKind,
    StoredObject,
)
from carawaylane.platform.documents import encode_json
from carawaylane.platform.objects import (
    CALL_TIMEOUT_S as STORE_TIMEOUT_S,
)
from carawaylane.platform.objects import (
    OLDER_PAGE,
    WATCH_MARGIN_S,
    HistoryExpired,
)
from carawaylane.rpc.fleet_pb2 import SyncReply, SyncRequest
from carawaylane.settings.gateway import Bounds, GatewaySettings
from carawaylane.storage.driver import Unavailable
from tests.gateway.conftest import plan_spec

LATENCY_S = 0.001
STORE_LATENCY_S = 0.004
# How long a call to a silent node hangs, if its caller does not give up.
HANG_S = 60.0
# Below the resolution of the clock, a wait would never end.
MIN_WAIT_S = 1e-6
SERVICES = (
    'telemetry',
    'links',
    'directory',
    'news',
    'store_watch',
    'registration',
)


class VirtualSelector(DefaultSelector):
    """Advances the clock of the loop instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('all tasks wait for each other')
        self.now_s += max(timeout, 0.0)
        return super().select(0)


class VirtualLoop(SelectorEventLoop):
    def __init__(self):
        self.clock = VirtualSelector()
        super().__init__(self.clock)

    def time(self):
        return self.clock.now_s


def run_in_virtual_time(coro):
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coro)
    finally:
        asyncio.set_event_loop(None)
        loop.close()


class SimulatedKernel(Kernel):
    def now_s(self):
        return asyncio.get_running_loop().time()


class SimulatedStore:
    """The store; `refused` nodes and all while it is `down` get no answer.

    It is silent to the `silent` nodes, also on watches that wait, and answers
    others `delays_s` later. `lagging` nodes get pages of the past.
    """

    def __init__(self):
        self.revision = 1
        self.objects = {kind: {} for kind in ObjectKind}
        self.history = []
        self.expired_revision = 0
        self.refused = set()
        self.silent = set()
        self.delays_s = {}
        # The last revision that is shown to a node.
        self.lagging = {}
        self.is_down = False
        self.calls = 0
        # How often the configuration was sent.
        self.plans_sent = 0
        self.changed = Event()
        self.cut = Event()
        self.silenced_at_s = float('-inf')

    def silence_watches(self):
        """Let the watches that wait get no answer."""
        self.silenced_at_s = asyncio.get_running_loop().time()

    def put(self, kind, name, spec):
        self.revision += 1
        item = StoredObject(
            name=name,
            revision=self.revision,
            data=None if spec is None else encode_json(spec),
        )
        if spec is None:
            self.objects[kind].pop(name, None)
        else:
            self.objects[kind][name] = item
        self.history.append((kind, item))
        self.changed.set()
        self.changed = Event()

    def drop_history(self):
        """Cut the watches; later ones from older revisions fail."""
        self.history.clear()
        self.expired_revision = self.revision
        self.cut_watches()

    def cut_watches(self):
        """Let the watches that wait fail."""
        self.cut.set()
        self.cut = Event()
        self.changed.set()
        self.changed = Event()


@define(kw_only=True)
class StoreClient:
    """The interface of ObjectStoreClient for one node."""

    name: str
    store: SimulatedStore
    fleet: object
    node: object

    async def _receive(self, items):
        """Wait until objects have passed the link of the node."""
        size = sum(len(item.data or b'') for item in items)
        self.store.plans_sent += any(item.name == 'main' for item in items)
        if self.fleet.links:
            await sleep(link_time_s(self.node, size))

    async def _call(self, timeout_s=STORE_TIMEOUT_S):
        self.store.calls += 1
        if self._is_silent():
            return await self._time_out(timeout_s)
        delay_s = STORE_LATENCY_S + self.store.delays_s.get(self.name, 0.0)
        if delay_s > timeout_s:
            return await self._time_out(timeout_s)
        await sleep(delay_s)
        if self._is_silent():
            return await self._time_out(timeout_s - delay_s)
        if self.store.is_down or self.name in self.store.refused:
            return Unavailable(reason='status 503')
        return None

    def _is_silent(self):
        return self.name in self.store.silent

    async def _time_out(self, timeout_s):
        await sleep(max(timeout_s, 0.0))
        return Unavailable(reason='TimeoutError')

    def _shown_revision(self):
        return self.store.lagging.get(self.name, self.store.revision)

    def forget_unnamed(self):
        """Do nothing: all objects of this store have names."""

    async def list_all(self, kind):
        failure = await self._call()
        items = tuple(self.store.objects[kind].values())
        delta = ObjectDelta(items=items, revision=self.store.revision)
        if failure is None:
            await self._receive(items)
        return failure or delta

    async def watch(self, kind, *, revision, wait_s):
        started_at_s = asyncio.get_running_loop().time()
        due_s = started_at_s + wait_s
        failure = await self._call(wait_s + WATCH_MARGIN_S)
        if failure is not None:
            return failure
        if revision < self.store.expired_revision:
            return HistoryExpired()
        cut = self.store.cut
        while True:
            left_s = due_s - asyncio.get_running_loop().time()
            if started_at_s < self.store.silenced_at_s or self._is_silent():
                return await self._time_out(left_s + WATCH_MARGIN_S)
            if cut.is_set():
                return Unavailable(reason='ServerDisconnectedError')
            items = {
                item.name: item
                for changed_kind, item in self.store.history
                if changed_kind is kind
                and revision < item.revision <= self._shown_revision()
            }
            if items or left_s <= MIN_WAIT_S:
                delta = ObjectDelta(
                    items=tuple(items.values()),
                    revision=self._shown_revision(),
                    base=revision,
                )
                if delta.revision < revision:
                    return Unavailable(reason=OLDER_PAGE)
                await self._receive(delta.items)
                return delta
            try:
                await wait_for(self.store.changed.wait(), left_s)
            except TimeoutError:
                continue

    async def create(self, kind, name, spec):
        failure = await self._call()
        if failure is None:
            if name in self.store.objects[kind]:
                return False
            self.store.put(kind, name, spec)
        return failure or True

    async def replace(self, kind, name, spec):
        failure = await self._call()
        if failure is None:
            self.store.put(kind, name, spec)
        return failure or True

    async def delete(self, kind, name):
        failure = await self._call()
        if failure is None:
            self.store.put(kind, name, None)
        return failure or True

    async def close(self):
        pass


class SimulatedChannels:
    """The interface of PeerChannels for one node, over the fleet's network."""

    name = 'links'

    def __init__(self, *, fleet, node):
        self._fleet = fleet
        self._node = node
        # Peers to which there is an open connection, and when it was opened.
        self._opened_at_s = {}

    async def start(self):
        pass

    async def drain(self):
        pass

    async def stop(self):
        pass

    async def call(self, address, method, msg, connect_timeout_s=0.5):
        assert method == 'Sync'
        loop = asyncio.get_running_loop()
        opened_at_s = self._opened_at_s.setdefault(address, loop.time())
        try:
            if opened_at_s < self._fleet.silenced_at_s:
                await wait_for(sleep(HANG_S), CALL_TIMEOUT_S)
            return await wait_for(
                self._exchange(address, msg), connect_timeout_s
            )
        except (OSError, TimeoutError):
            self._opened_at_s.pop(address, None)
            return None

    async def _exchange(self, address, msg):
        self._fleet.messages += 1
        await sleep(LATENCY_S)
        request = SyncRequest.FromString(msg.SerializeToString())
        peer = self._fleet.nodes_by_address.get(address)
        self._fleet.leave_out_unknown_fields(request, self._node, peer)
        if peer is None or peer.is_dead:
            if address in self._fleet.closed:
                raise ConnectionRefusedError
            await sleep(HANG_S)
        self._fleet.bytes_sent += request.ByteSize()
        await self._fleet.transmit(self._node, peer, request.ByteSize())
        reply = peer.kernel.find('news').handle_sync(request)
        self._fleet.bytes_sent += reply.ByteSize()
        await self._fleet.transmit(peer, self._node, reply.ByteSize())
        await sleep(LATENCY_S)
        if peer.is_dead:
            await sleep(HANG_S)
        return SyncReply.FromString(reply.SerializeToString())


@define(kw_only=True, eq=False)
class SimulatedNode:
    kernel: SimulatedKernel
    is_dead: bool = False
    # Until when the link is busy, by direction, and the bytes sent over it.
    out_busy_until_s: float = 0.0
    in_busy_until_s: float = 0.0
    bytes_sent: int = 0

    @property
    def name(self):
        return self.kernel.cfg.name

    @property
    def address(self):
        return self.kernel.cfg.peer_listen

    @property
    def version(self):
        plan = self.kernel.find('directory').plan
        return plan.version if plan is not None else 0


def link_time_s(node, size):
    return size * 8 / (node.kernel.cfg.link_mbps * 1e6)


@define(kw_only=True, slots=False)
class SimulatedFleet:
    """Nodes in three data centres, and listed ones that are dead."""

    seed: int
    size: int = 30
    nodes: list[SimulatedNode] = Factory(list)
    nodes_by_address: dict[str, SimulatedNode] = Factory(dict)
    # Addresses of dead nodes that refuse connections; others are silent.
    closed: set[str] = Factory(set)
    store: SimulatedStore = Factory(SimulatedStore)
    version: int = 1
    messages: int = 0
    bytes_sent: int = 0
    silenced_at_s: float = float('-inf')
    # A configuration with this many routes, if not a small one.
    routes: int = 0
    # Mbit/s of the links, of which each node has one; none are instant.
    links: tuple[float, ...] = ()
    # Bytes that entered a data centre from another one.
    remote_bytes: int = 0
    bounds: Bounds = Factory(Bounds)
    # Names of nodes of a build without packed objects.
    older: set[str] = Factory(set)

    def __attrs_post_init__(self):
        self.rng = Random(self.seed)
        for module in SERVICE_MODULES.values():
            import_module(module)

    async def transmit(self, sender, receiver, size):
        """Wait until a message has passed the links of both nodes."""
        sender.bytes_sent += size
        data_centres = {
            node.kernel.cfg.data_centre for node in (sender, receiver)
        }
        if len(data_centres) > 1:
            self.remote_bytes += size
        if not self.links:
            return
        now_s = asyncio.get_running_loop().time()
        sender.out_busy_until_s = max(
            sender.out_busy_until_s, now_s
        ) + link_time_s(sender, size)
        receiver.in_busy_until_s = max(
            receiver.in_busy_until_s, now_s
        ) + link_time_s(receiver, size)
        await sleep(
            max(sender.out_busy_until_s, receiver.in_busy_until_s) - now_s
        )

    async def start(self):
        self.store.put(ObjectKind.PLAN, 'main', self.plan_spec())
        for number in range(self.size):
            await self.start_node(number)
        await sleep(5.0)
        assert self.late_nodes() == []

    async def start_node(self, number):
        cfg = GatewaySettings(
            name=f'n{number}',
            data_centre=f'z{number % 3}',
            listen=f'10.0.0.{number}:1',
            ready_listen=f'10.0.0.{number}:2',
            peer_listen=f'10.0.0.{number}:3',
            metrics_port=4,
            seeds=('10.0.0.0:3', '10.0.0.1:3', '10.0.0.2:3'),
            store_address='10.1.0.1:1',
            cores=self.rng.choice((0.5, 1.0, 2.0)),
            max_fds=1000,
            bounds=self.bounds,
            link_mbps=self.rng.choice(self.links) if self.links else 100.0,
        )
        kernel = SimulatedKernel(cfg=cfg, rng=Random(self.rng.random()))
        node = SimulatedNode(kernel=kernel)
        kernel.create_services(SERVICES)
        kernel._services['links'] = SimulatedChannels(fleet=self, node=node)
        kernel.find('store_watch').store = StoreClient(
            name=cfg.name, store=self.store, fleet=self, node=node
        )
        self.nodes.append(node)
        self.nodes_by_address[cfg.peer_listen] = node
        await kernel.start()

    def live_nodes(self):
        return [node for node in self.nodes if not node.is_dead]

    async def kill(self, nodes, *, closed=False):
        """End nodes without notice; the store still lists them."""
        for node in nodes:
            node.is_dead = True
            if closed:
                self.closed.add(node.address)
        for node in nodes:
            await node.kernel.stop()

    def ranked_nodes(self, data_centre):
        """Return the nodes of a data centre in order of their rank."""
        directory = self.live_nodes()[0].kernel.find('directory')
        names = directory.ranked_members('watch', data_centre)
        nodes = {node.name: node for node in self.nodes}
        return [nodes[name] for name in names]

    def silence_connections(self):
        """Let the open connections between nodes carry nothing any more."""
        self.silenced_at_s = asyncio.get_running_loop().time()

    def change(self):
        self.version += 1
        self.store.put(ObjectKind.PLAN, 'main', self.plan_spec())

    def plan_spec(self):
        """Return the version, which changes one route of a large one."""
        if not self.routes:
            return plan_spec(self.version)
        spec = make_spec(self.routes, 72, self.version)
        route = spec['routes'][self.version * 7 % self.routes]
        route['timeout_ms'] = 1000 + self.version
        return spec

    def leave_out_unknown_fields(self, request, sender, receiver):
        """Leave out what an older build does not send or read."""
        if sender.name in self.older:
            request.takes_packed = False
            del request.held[:]
        if receiver is not None and receiver.name in self.older:
            request.takes_packed = False
            for known in request.known:
                del known.packed[:]

    def late_nodes(self):
        return [
            node.name
            for node in self.live_nodes()
            if node.version < self.version
        ]

    async def time_in_force_s(self, most_s):
        """Return how long it takes until all live nodes have the version."""
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        while self.late_nodes() and loop.time() - started_at_s < most_s:
            await sleep(0.01)
        return loop.time() - started_at_s

    async def stop(self):
        """Stop the nodes; fail if a task of one has failed."""
        assert not any(node.kernel.failure for node in self.nodes)
        for node in self.live_nodes():
            await node.kernel.stop()
