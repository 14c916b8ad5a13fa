"""Nodes beside objects of another writer that can't be read."""

from asyncio import sleep

import pytest
from aiohttp import ClientSession
from hypothesis import given, settings
from hypothesis import strategies as st

from carawaylane.messages.stored_objects import (
    ObjectDelta,
    ObjectKind,
    StoredObject,
)
from carawaylane.platform.documents import encode_json
from carawaylane.rpc.delta_codec import pack_delta
from carawaylane.rpc.fleet_pb2 import (
    Fetch,
    Held,
    Known,
    Object,
    Packed,
    SyncRequest,
)
from tests.gateway.conftest import connect, plan_spec, send_request
from tests.gateway.simulated_fleet import SimulatedFleet, run_in_virtual_time
from tests.kernel.test_addresses import NO_IP_ADDRESSES

SURROGATE = '\udcff'
MARK = '@unreadable@'
TARGET = {
    'service': 'stock',
    'address': '127.0.0.1:1',
    'zone': 'z1',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'warmup_left_ms': 0,
}
MEMBER = {'address': '127.0.0.1:1', 'zone': 'z1', 'cores': 1.0}
ODD_FIELDS = [
    {'address': f'127.0.0.{SURROGATE}:80'},
    {'address': '127.0.0.\ufffd:80'},
    {'address': '127.0.0.1:65536'},
    {'address': '127.0.0.1:0'},
    {'address': '127.0.0.1:-1'},
    {'address': '127.0.0.1'},
    {'address': ':80'},
    {'address': 'a..b:80\r\nX: y'},
    {'address': '127.0.0.1:8_0'},
    {'address': '127.0.0.1:' + '9' * 5000},
    {'address': 'x' * 100_000 + ':80'},
    {'address': ['127.0.0.1', 80]},
    *({'address': address} for address in NO_IP_ADDRESSES),
    {'zone': SURROGATE},
    {'zone': {}},
    {'service': SURROGATE},
    {'slots': 2**40},
    {'slots': -1},
    {'slots': 1e300},
    {'state': ['ready']},
    {'state': SURROGATE},
    {'warmup_left_ms': float('nan')},
    {'warmup_left_ms': float('inf')},
    {'warmup_left_ms': -5},
    {'born': 10**400},
]
ODD_CORES = [float('nan'), float('inf'), 1e300, -1, '1', None, 10**400]
ODD_NAMES = [SURROGATE, f'i-{SURROGATE}', 'a\r\nX: y', '\0', ' ', 'x' * 5000]


def ended(node):
    """Return why a node has ended, None if it has not."""
    return node.failure


async def start_node(fleet):
    fleet.store.put('config', 'main', plan_spec())
    await fleet.start_target('i-sound')
    return await fleet.start_node('n1')


async def test_an_unreadable_name_does_not_end_nodes(fleet):
    """`StoreWatch` raised UnicodeEncodeError as it broadcast the change."""
    node = await start_node(fleet)
    targets = node.find('directory').targets
    for number, name in enumerate(ODD_NAMES):
        fleet.store.put('servers', f'i-{name}', TARGET)
        fleet.store.put('members', name, MEMBER)
        fleet.register_target(f'after-{number}', number + 1)
        await fleet.wait_until(lambda n=number: f'after-{n}' in targets)
    assert ended(node) is None
    assert set(targets) == {
        'i-sound',
        *(f'after-{number}' for number in range(len(ODD_NAMES))),
    }
    assert list(node.find('directory').members) == ['n1']
    late = await fleet.start_node('n2')
    late_targets = late.find('directory').targets
    await fleet.wait_until(lambda: set(late_targets) == set(targets))
    assert ended(late) is None


async def test_an_unreadable_field_does_not_end_nodes(fleet):
    node = await start_node(fleet)
    directory = node.find('directory')
    for number, fields in enumerate(ODD_FIELDS):
        fleet.store.put('servers', f'odd-{number}', TARGET | fields)
    for cores in ODD_CORES:
        fleet.store.put(
            'members', f'odd-{cores!r:.9}', MEMBER | {'cores': cores}
        )
    fleet.store.put('members', 'last', MEMBER)
    fleet.register_target('last', 1)
    await fleet.wait_until(lambda: 'last' in directory.targets)
    await fleet.wait_until(lambda: 'last' in directory.members)
    assert set(directory.targets) == {'i-sound', 'last'}
    assert set(directory.members) == {'n1', 'last'}
    rejected = directory.rejected.current()
    assert len(rejected) == len(ODD_FIELDS) + len(ODD_CORES)
    assert all(item.reason for item in rejected)
    fleet.store.remove('servers', 'last')
    await fleet.wait_until(lambda: 'last' not in directory.targets)
    conn = await connect(node)
    for _ in range(5):
        assert (await send_request(conn, '/read/1')).status == 200
    assert ended(node) is None


async def test_a_page_with_an_unreadable_object_is_read(fleet, monkeypatch):
    """Nodes learned no change as long as the entry was in the history."""
    answer = fleet.store._answer

    async def spoil(req):
        response = await answer(req)
        if MARK in (response.text or ''):
            response.body = response.text.encode().replace(
                MARK.encode(), b'\xff\xfe'
            )
            response.content_type = 'application/json'
        return response

    monkeypatch.setattr(fleet.store, '_answer', spoil)
    node = await start_node(fleet)
    directory = node.find('directory')
    fleet.store.put('servers', 'bytes', TARGET | {'zone': MARK})
    fleet.store.put('members', 'bytes', MEMBER | {'zone': MARK})
    fleet.register_target('i-2', 1)
    await fleet.wait_until(lambda: 'i-2' in directory.targets)
    # A node that starts lists the objects.
    late = await fleet.start_node('n2')
    await fleet.wait_until(
        lambda: set(late.find('directory').targets) == {'i-sound', 'i-2'}
    )
    assert {item.name for item in directory.rejected.current()} == {'bytes'}
    assert ended(node) is None
    assert ended(late) is None


async def test_a_known_target_that_becomes_unreadable_is_gone(fleet):
    node = await start_node(fleet)
    directory = node.find('directory')
    fleet.store.put('servers', 'i-2', TARGET)
    await fleet.wait_until(lambda: 'i-2' in directory.targets)
    fleet.store.put('servers', 'i-2', TARGET | {'zone': SURROGATE})
    await fleet.wait_until(lambda: 'i-2' not in directory.targets)
    fleet.store.put('servers', 'i-2', TARGET)
    await fleet.wait_until(lambda: 'i-2' in directory.targets)
    assert directory.rejected.current() == []


async def test_each_unreadable_revision_is_reported_once(fleet, monkeypatch):
    node = await start_node(fleet)
    directory = node.find('directory')
    events = []
    monkeypatch.setattr(
        'carawaylane.gateway.rejected_objects.emit',
        lambda _event, **fields: events.append(fields),
    )
    fleet.store.put('servers', 'odd', {})
    fleet.store.put('servers', SURROGATE, {})
    await fleet.wait_until(lambda: len(events) == 2)
    # As the store numbers them, like those that commands show.
    assert sorted(event['revision'] for event in events) == [
        fleet.store.revision - 1,
        fleet.store.revision,
    ]
    for _ in range(2):
        fleet.store.expire_history()
        fleet.register_target('i-2', 1)
        await sleep(0.3)
    reasons = {event['entry']: event['reason'] for event in events}
    assert reasons == {
        'odd': "KeyError: 'state'",
        "'\\udcff'": 'ValueError: the name is no text',
    }
    fleet.store.put('servers', 'odd', {'state': 'ready'})
    await fleet.wait_until(lambda: len(events) == 3)
    async with ClientSession() as session:
        url = f'http://127.0.0.1:{node.cfg.metrics_port}/metrics'
        async with session.get(url) as resp:
            page = await resp.text()
    assert 'carawaylane_entries_unreadable_total{kind="targets"} 3.0' in page
    assert 'carawaylane_entries_rejected 2.0' in page
    fleet.store.remove('servers', 'odd')
    await fleet.wait_until(lambda: len(directory.rejected.current()) == 1)
    fleet.store.remove('servers', SURROGATE)
    await fleet.wait_until(lambda: not directory.rejected.current())


SPECS = {
    ObjectKind.TARGETS: encode_json(TARGET),
    ObjectKind.MEMBERS: encode_json(MEMBER),
}
KINDS = st.sampled_from(list(SPECS))
NAMES = st.text('abc', min_size=1, max_size=3)
REVISIONS = st.integers(2, 1000)
TEXTS = st.text(st.characters(exclude_categories=['Cs']), max_size=6)
NUMBERS = st.integers(0, 2**31)
ODD_PACKED = st.builds(
    Packed,
    name=TEXTS,
    revision=REVISIONS,
    base=st.integers(0, 1000),
    digest=st.binary(max_size=16),
    body=st.binary(max_size=30),
    body_size=st.integers(0, 40),
    packed_size=st.integers(0, 40),
)
ODD_KNOWN = st.builds(
    Known,
    kind=st.integers(0, 9),
    revision=st.integers(-5, 900),
    base=st.integers(-5, 1000),
    items=st.lists(
        st.builds(
            Object,
            name=TEXTS,
            revision=st.integers(-5, 1000),
            data=st.binary(max_size=30),
        ),
        max_size=3,
    ),
    age_ms=NUMBERS,
    packed=st.lists(ODD_PACKED, max_size=2),
)
ODD_REQUESTS = st.builds(
    SyncRequest,
    source=TEXTS,
    known=st.lists(ODD_KNOWN, max_size=3),
    root=TEXTS,
    forward_to=st.lists(TEXTS, max_size=3),
    delegated=st.booleans(),
    takes_packed=st.booleans(),
    held=st.lists(
        st.builds(
            Held, kind=st.integers(0, 9), name=TEXTS, revision=REVISIONS
        ),
        max_size=2,
    ),
)
FETCHES = st.builds(
    Fetch, kind=st.integers(0, 9), name=TEXTS, offset=NUMBERS
).map(lambda fetch: SyncRequest(fetch=fetch))


@settings(deadline=None, max_examples=40)
@given(
    kind=KINDS,
    sound=st.sets(NAMES, max_size=4),
    odd=st.dictionaries(NAMES, st.binary(max_size=30), max_size=4),
    requests=st.lists(ODD_REQUESTS | FETCHES, max_size=5),
)
def test_exactly_the_sound_objects_of_messages_are_known(
    kind, sound, odd, requests
):
    async def run():
        fleet = SimulatedFleet(seed=1, size=2)
        for number in range(2):
            await fleet.start_node(number)
        await sleep(2.0)
        kernels = [node.kernel for node in fleet.nodes]
        fleet.store.is_down = True
        revision = 1000
        for request in requests:
            for known in request.known:
                # Those of the same kind would be changes of its objects.
                if known.kind == kind.value:
                    known.kind = 0
            kernels[0].find('news').handle_sync(
                SyncRequest.FromString(request.SerializeToString())
            )
            await sleep(0.1)
        items = [
            *((name, data) for name, data in odd.items() if name not in sound),
            *((name, SPECS[kind]) for name in sound),
        ]
        delta = ObjectDelta(
            items=tuple(
                StoredObject(name=name, revision=revision, data=data)
                for name, data in items
            ),
            revision=revision,
            base=kernels[0].find('directory').replicas[kind].revision,
        )
        request = SyncRequest(known=[pack_delta(kind.value, delta, 0.0)])
        kernels[0].find('news').handle_sync(request)
        # The other node gets them from the first one.
        await sleep(20.0)
        for kernel in kernels:
            directory = kernel.find('directory')
            values = {
                ObjectKind.TARGETS: directory.targets,
                ObjectKind.MEMBERS: directory.members,
            }[kind]
            assert set(values) - {'n0', 'n1'} == sound
            assert kernel.failure is None
        await fleet.stop()

    run_in_virtual_time(run())


@pytest.mark.parametrize('field', ['name', 'host', 'path_prefix', 'service'])
async def test_a_surrogate_in_a_configuration_rejects_just_this(fleet, field):
    node = await start_node(fleet)
    directory = node.find('directory')
    routes = plan_spec(2)['routes']
    routes[0] = routes[0] | {field: SURROGATE}
    fleet.store.put('config', 'main', plan_spec(2, routes))
    await fleet.wait_until(lambda: directory.rejected.current())
    assert directory.plan.version == 1
    fleet.store.put('config', 'main', plan_spec(3))
    await fleet.wait_until(lambda: directory.plan.version == 3)
    assert directory.rejected.current() == []
    assert ended(node) is None


async def test_a_node_whose_own_entry_is_spoiled_writes_it_again(fleet):
    """Other nodes left it out of all duties for good."""
    node = await start_node(fleet)
    entries = fleet.store.objects['members']
    await fleet.wait_until(lambda: 'n1' in entries)
    sound = entries['n1']['spec']
    fleet.store.put('members', 'n1', sound | {'zone': SURROGATE})
    await fleet.wait_until(lambda: entries['n1']['spec'] == sound)
    await fleet.wait_until(lambda: 'n1' in node.find('directory').members)
    assert ended(node) is None


async def start_beside_unnamed(fleet):
    """Start a node beside two entries without a readable name."""
    fleet.store.put('config', 'main', plan_spec())
    for number in range(2):
        fleet.store.put('servers', f'{SURROGATE}{number}', TARGET)
    node = await fleet.start_node('n0', ready=False)
    shown = node.find('directory').rejected.current
    await fleet.wait_until(lambda: len(shown()) == 2)
    return node, shown


@pytest.mark.parametrize('is_sound', [True, False], ids=['whole', 'cut off'])
async def test_an_unnamed_entry_that_vanishes_unseen_is_not_shown(
    fleet, is_sound
):
    """The store may drop the history that has the deletion."""
    _, shown = await start_beside_unnamed(fleet)
    names = [f'{SURROGATE}{number}' for number in range(2)]
    del fleet.store.objects['servers'][names[0]]
    if not is_sound:
        fleet.store.fault = 'busy'
        fleet.store.wake_watches()
        await sleep(0.5)
        assert len(shown()) == 2
        fleet.store.fault = ''
    fleet.store.revision += 1
    fleet.store.expire_history()
    await fleet.wait_until(lambda: len(shown()) == 1)
    assert shown()[0].name == f'{names[1]!a}'
    # It is known still, so that its deletion is followed.
    fleet.store.remove('servers', names[1])
    await fleet.wait_until(lambda: not shown())


async def test_a_node_that_watches_no_more_shows_no_unnamed_entries(fleet):
    """It would not learn of their end."""
    node, shown = await start_beside_unnamed(fleet)
    fleet.store.put('servers', 'named', {'state': 'odd'})
    await fleet.wait_until(lambda: len(shown()) == 3)
    node.draining = True
    await fleet.wait_until(lambda: len(shown()) == 1)
    assert shown()[0].name == 'named'
