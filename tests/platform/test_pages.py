"""Tests of pages of the store with objects that can't be read."""

from json import dumps

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carawaylane.kernel.steps import run_at_once
from carawaylane.messages.platform_objects import InvalidObject, TargetSpec
from carawaylane.messages.stored_objects import ObjectKind, era_of
from carawaylane.platform.documents import decode_target, encode_json
from carawaylane.platform.eras import combine
from carawaylane.platform.objects import ObjectStoreClient
from carawaylane.platform.pages import decode_page
from carawaylane.storage.driver import Unavailable

SPEC = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'slots': 2,
    'state': 'ready',
    'seq': 4,
}
# Texts of specifications that no target has.
UNREADABLE = {
    'not UTF-8': b'{"address":"\xff\xfe\xff","slots":1}',
    '5,000 digits': b'{"slots":' + b'9' * 5000 + b'}',
    'nested': b'[' * 100_000 + b']' * 100_000,
    'nested objects': b'{"a":' * 100_000 + b'1' + b'}' * 100_000,
    'nested a little': b'[' * 985 + b']' * 985,
    'not JSON': b'{nothing: [of] the kind}',
    'a line break in a string': b'{"service":"a\nb"}',
    'brackets in a string': b'{"service":"]}\\"{[\xff"}',
    'NaN': b'{"slots":NaN,"warmup_left_ms":NaN}',
    '1e400': b'{"slots":1e400}',
    'null': b'null',
    'a number': b'-1',
    'digits': b'9' * 10_000,
    'a string': b'"\xff"',
    'empty': b'{}',
    'too large a port': dumps(SPEC | {'address': 'h:65536'}).encode(),
    'a surrogate': dumps(SPEC | {'zone': '\udcff'}).encode(),
}


class PagesClient(ObjectStoreClient):
    """Gets its answers from a list."""

    def __init__(self, bodies):
        self.rejected = []
        self.params = []
        super().__init__(
            address='127.0.0.1:1',
            on_rejected=lambda *args: self.rejected.append(args),
        )
        self._bodies = bodies

    async def _call(self, _method, _path, *, params, **_kwargs):
        self.params.append(params)
        return 200, self._bodies.pop(0), 1


def entry(name, revision, spec):
    """Return the text of an object; the name is text or JSON."""
    if isinstance(name, str):
        name = dumps(name).encode()
    return (
        b'{"metadata":{"name":%b,"revision":%d,"finalizers":[]},'
        b'"spec":%b,"status":{}}' % (name, revision, spec)
    )


def page(entries, *, more=False, key=b'items'):
    return b'{"%b":[%b],"more":%b,"current_rev":99}' % (
        key,
        b', '.join(entries),
        b'true' if more else b'false',
    )


def events(entries, *, deleted=b'false'):
    return page(
        [b'{"object":%b,"deleted":%b}' % (text, deleted) for text in entries],
        key=b'events',
    )


def known(delta):
    """Return the names of the targets in a delta."""
    decoded = [decode_target(item.name, item.data) for item in delta.items]
    return {item.name for item in decoded if isinstance(item, TargetSpec)}


SOUND = encode_json(SPEC)


@pytest.mark.parametrize('text', UNREADABLE.values(), ids=UNREADABLE)
@pytest.mark.parametrize('kind', ObjectKind)
async def test_one_unreadable_value_hides_no_other_object(text, kind):
    entries = [
        entry('a', 1, SOUND),
        entry('bad', 2, text),
        entry('c', 3, SOUND),
    ]
    client = PagesClient([page(entries), events(entries)])
    for delta in (
        await client.list_all(kind),
        await client.watch(kind, revision=combine(1, 1), wait_s=0),
    ):
        assert known(delta) == {'a', 'c'}
        # It replaces what was known of the object.
        (bad,) = [item for item in delta.items if item.name == 'bad']
        assert bad.revision == combine(1, 2)
        rejection = decode_target(bad.name, bad.data)
        assert isinstance(rejection, InvalidObject)
        assert rejection.name == 'bad'
        assert 0 < len(rejection.reason) <= 200
    assert client.rejected == []


UNREADABLE_NAMES = {
    'a surrogate': b'"i-\\udcff"',
    'not UTF-8': b'"i-\xff"',
    'a number': b'7',
    'digits': b'9' * 5000,
    'a list': b'["x"]',
    'null': b'null',
    'empty': b'""',
    'nested': b'[' * 100_000 + b']' * 100_000,
}


@pytest.mark.parametrize(
    'name', UNREADABLE_NAMES.values(), ids=UNREADABLE_NAMES
)
async def test_an_object_without_a_readable_name_hides_no_other(name):
    entries = [
        entry('a', 1, SOUND),
        entry(name, 2, SOUND),
        entry('z', 3, SOUND),
    ]
    client = PagesClient([page(entries), events(entries)])
    kind = ObjectKind.TARGETS
    for delta in (
        await client.list_all(kind),
        await client.watch(kind, revision=combine(1, 1), wait_s=0),
    ):
        assert [item.name for item in delta.items] == ['a', 'z']
        assert known(delta) == {'a', 'z'}
    assert len(client.rejected) == 2
    for rejected_kind, invalid, revision in client.rejected:
        assert (rejected_kind, revision) == (kind, 2)
        assert invalid.reason
        assert invalid.name.isascii()
        assert invalid.name.isprintable()


@pytest.mark.parametrize(
    'text',
    [
        b'null',
        b'7',
        b'[]',
        b'"x"',
        b'{}',
        b'{"metadata":null}',
        b'{"metadata":[]}',
        b'{"metadata":{}}',
        b'9' * 5000,
        b'[' * 100_000 + b']' * 100_000,
    ],
    ids=lambda text: repr(text[:20]),
)
async def test_what_is_no_object_hides_no_other(text):
    entries = [entry('a', 1, SOUND), text, entry('z', 3, SOUND)]
    client = PagesClient(
        [page(entries), events(entries), page(entries, key=b'events')]
    )
    kind = ObjectKind.TARGETS
    listed = await client.list_all(kind)
    assert known(listed) == {'a', 'z'}
    watched = await client.watch(kind, revision=combine(1, 1), wait_s=0)
    assert known(watched) == {'a', 'z'}
    watched = await client.watch(kind, revision=combine(1, 1), wait_s=0)
    assert watched.items == ()
    assert watched.revision == combine(1, 99)


@pytest.mark.parametrize(
    'revision',
    [b'null', b'"3"', b'-1', b'1.5', b'true', b'1' + b'0' * 400, b'9' * 5000],
    ids=lambda text: text[:8].decode(),
)
async def test_an_object_without_a_readable_revision_is_unreadable(revision):
    text = b'{"metadata":{"name":"b","revision":%b},"spec":%b}' % (
        revision,
        SOUND,
    )
    entries = [entry('a', 1, SOUND), text]
    client = PagesClient([page(entries), events(entries)])
    kind = ObjectKind.TARGETS
    for delta in (
        await client.list_all(kind),
        await client.watch(kind, revision=combine(1, 1), wait_s=0),
    ):
        assert known(delta) == {'a'}
        assert delta.items[1].name == 'b'
        assert delta.items[1].revision == combine(1, 99)


async def test_the_removal_of_an_unreadable_object_is_learned():
    body = events([entry('bad', 2, UNREADABLE['not UTF-8'])], deleted=b'true')
    client = PagesClient([body])
    delta = await client.watch(
        ObjectKind.TARGETS, revision=combine(1, 1), wait_s=0
    )
    assert [(item.name, item.data) for item in delta.items] == [('bad', None)]


async def test_pages_that_end_with_unreadable_objects_are_followed():
    nameless = entry(b'"k\\udcff"', 2, SOUND)
    client = PagesClient(
        [
            page([entry('a', 1, SOUND), nameless], more=True),
            page([nameless], more=True),
            page([b'null', entry('m', 2, b'7')], more=True),
            page([entry('z', 3, SOUND)]),
        ]
    )
    delta = await client.list_all(ObjectKind.TARGETS)
    assert known(delta) == {'a', 'z'}
    assert [params.get('after') for params in client.params] == [
        None,
        'a',
        'k\ue000',
        'm',
    ]


async def test_a_list_that_does_not_go_on_ends():
    client = PagesClient([page([b'null'], more=True)] * 3)
    result = await client.list_all(ObjectKind.TARGETS)
    assert isinstance(result, Unavailable)


@pytest.mark.parametrize(
    'body',
    [
        b'{"items":[],"current_rev":1e400}',
        b'{"items":[],"current_rev":%b}' % (b'9' * 5000),
        b'{"items":[],"current_rev":-1}',
        b'{"items":{"a":1},"current_rev":1}',
        b'{"items":"ab","current_rev":1}',
        b'{"items":[{"}],"current_rev":1}',
        b'{"items":[}],"current_rev":1}',
        b'"' + b'\\"' * 100_000,
        b'{"items":["' + b'\\"' * 100_000,
    ],
    ids=lambda body: repr(body[:24]),
)
async def test_a_page_that_is_none_is_unavailable(body):
    client = PagesClient([body])
    result = await client.list_all(ObjectKind.TARGETS)
    assert isinstance(result, Unavailable)


def test_the_parts_of_a_page_are_those_of_its_whole():
    whole = page([entry('a', 1, SOUND), b'[[1, "]"], {"x": {}}]', b'"{"'])
    body = whole[:-1] + b',"other":%b}' % (b'9' * 5000)
    value = run_at_once(decode_page(body, may_be_large=False))
    value.pop('other')
    assert value == run_at_once(decode_page(whole, may_be_large=False))


def test_a_large_page_is_taken_apart_in_steps():
    spec = b'{"a":[%b],"b":"\xff"}' % b','.join([SOUND] * 20_000)
    steps = sum(
        1 for _ in decode_page(page([entry('a', 1, spec)]), may_be_large=True)
    )
    assert steps > 100


NAMES = st.text(
    st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=5
)
# Bytes that the store may have taken as a string of JSON.
STRING_BYTES = st.binary(max_size=20).map(
    lambda data: data.replace(b'"', b'').replace(b'\\', b'')
)
ODD_VALUES = st.one_of(
    STRING_BYTES.map(lambda data: b'"%b"' % data),
    STRING_BYTES.map(lambda data: b'{"address":"%b"}' % data),
    st.sampled_from(
        [text for text in UNREADABLE.values() if len(text) < 6000]
    ),
    st.integers(1, 10_000).map(lambda digits: b'1' + b'0' * digits),
    st.integers(1, 3000).map(lambda depth: b'[' * depth + b']' * depth),
)


@settings(deadline=None)
@given(
    sound=st.sets(NAMES, max_size=4),
    odd=st.dictionaries(NAMES, ODD_VALUES, max_size=3),
    nameless=st.lists(
        st.one_of(
            ODD_VALUES,
            ODD_VALUES.map(lambda value: b'{"metadata":%b}' % value),
            STRING_BYTES.map(lambda data: entry(b'"\xff%b"' % data, 1, SOUND)),
            ODD_VALUES.map(
                lambda value: b'{"metadata":{"name":%b,"revision":1}}' % value
            ),
        ),
        max_size=3,
    ),
    data=st.data(),
)
async def test_exactly_the_sound_objects_of_any_page_are_known(
    sound, odd, nameless, data
):
    texts = [entry(name, 1, SOUND) for name in sound]
    texts += [
        entry(name, 1, value)
        for name, value in odd.items()
        if name not in sound
    ]
    texts = data.draw(st.permutations([*texts, *nameless]))
    client = PagesClient([page(texts), events(texts)])
    listed = await client.list_all(ObjectKind.TARGETS)
    assert known(listed) == sound
    watched = await client.watch(
        ObjectKind.TARGETS, revision=combine(1, 1), wait_s=0
    )
    assert known(watched) == sound
    for item in (*listed.items, *watched.items):
        item.name.encode()
        assert era_of(item.revision) == 1
