"""Decoding of the platform's objects and settings."""

from json import dumps

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaylane.messages.outcomes import Problem
from carawaylane.messages.platform_objects import (
    InvalidObject,
    Member,
    Plan,
    TargetSpec,
)
from carawaylane.platform.boot import parse_boot_file
from carawaylane.platform.documents import (
    encode,
    read_member,
    read_plan,
    read_target,
    write_member,
)
from carawaylane.platform.headers import (
    read_request_headers,
    read_response_headers,
)

TARGET = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'warmup_left_ms': 1500,
    'seq': 4,
}
BOOT = {
    'node': 'n1',
    'zone': 'z',
    'listen': {
        'front': '10.1.0.1:1',
        'readiness_address': '10.1.0.1:2',
        'control': '10.1.0.1:3',
    },
    'internal_port_range': [7540, 7555],
    'seeds': ['10.1.0.2:3'],
    'limits': {'cpu_share': 0.43, 'cores': 5, 'max_fds': 4100},
    'bounds': {'grace_s': 6, 'retry_budget_ratio': 0.2},
    'platform': {'address': '10.2.0.1:9'},
    'later': {'unknown': True},
}


def test_a_target_says_what_it_is():
    found = read_target('i-1', encode(TARGET | {'born': 1700000000000}))
    assert found == TargetSpec(
        name='i-1',
        service='s',
        address='10.0.0.1:80',
        data_centre='z',
        slots=2,
        draining=False,
        warmup_left_s=1.5,
        started_ms=1700000000000,
    )


@pytest.mark.parametrize(
    'change',
    [
        {'service': 7},
        {'service': ''},
        {'address': 'nowhere'},
        {'address': None},
        {'slots': 0},
        {'slots': True},
        {'slots': '2'},
        {'state': 'resting'},
        {'born': 1.5},
        {'zone': None},
        {'warmup_left_ms': 'x'},
    ],
)
def test_an_entry_of_another_type_names_no_target(change):
    assert isinstance(read_target('i', encode(TARGET | change)), InvalidObject)


@given(st.binary(max_size=200))
def test_no_bytes_break_the_decoders(data):
    for read in (read_plan, read_target, read_member):
        assert isinstance(read('x', data), InvalidObject)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([*TARGET, 'routes', 'version', 'cores']),
            inner,
            max_size=6,
        )
    ),
    max_leaves=8,
)


@given(JSON)
def test_no_json_breaks_the_decoders(value):
    data = dumps(value).encode()
    assert isinstance(read_plan('x', data), InvalidObject | Plan)
    assert isinstance(read_target('x', data), InvalidObject | TargetSpec)
    assert isinstance(read_member('x', data), InvalidObject | Member)


def test_a_plan_has_routes_with_parts_and_limits():
    row = {
        'version': 7,
        'routes': [
            {
                'name': 'r',
                'host': 'A.Example',
                'path_prefix': '/x/',
                'route_type': 'unsafe',
                'timeout_ms': 1200,
                'target_latency_ms': 600,
                'priority': 0,
                'traffic_split': [
                    {'service': 's', 'weight': 90},
                    {'service': 't', 'weight': 10},
                ],
                'max_attempts': 3,
            }
        ],
        'services': [],
        'limits': {'idle_timeout_ms': 15000},
    }
    found = read_plan('main', encode(row))
    [route] = found.routes
    assert (route.host, route.idempotent) == ('a.example', False)
    assert (route.timeout_s, route.objective_s) == (1.2, 0.6)
    assert [(p.service, p.weight) for p in route.traffic_split] == [
        ('s', 90.0),
        ('t', 10.0),
    ]
    assert found.limits.idle_timeout_s == 15.0


def test_a_member_comes_back_as_it_was_written():
    member = Member(
        name='n', address='10.0.0.1:9', data_centre='z', cores=0.86
    )
    assert read_member('n', encode(write_member(member))) == member


def test_settings_are_decoded_and_unknown_fields_ignored():
    found = parse_boot_file(dumps(BOOT))
    assert (found.name, found.data_centre) == ('n1', 'z')
    assert found.cores == pytest.approx(2.15)
    assert found.bounds.grace_s == 6
    assert found.bounds.floor_share == 0.7


@pytest.mark.parametrize('field', ['node', 'listen', 'limits', 'platform'])
def test_a_missing_setting_is_named(field):
    row = {key: value for key, value in BOOT.items() if key != field}
    found = parse_boot_file(dumps(row))
    assert isinstance(found, Problem)
    assert field in found.reason


def test_settings_that_are_no_json_are_a_problem():
    assert isinstance(parse_boot_file('{'), Problem)
    assert isinstance(parse_boot_file('[]'), Problem)


@pytest.mark.parametrize('text', ['x', '-5', 'inf', 'nan', ''])
def test_a_time_left_that_is_no_number_is_told(text):
    assert read_request_headers({'Deadline-Ms': text}) is None


def test_only_a_target_that_says_so_has_not_run():
    assert read_response_headers(503, {'Not-Executed': '1'}).not_run
    assert read_response_headers(421, {}).not_run
    assert not read_response_headers(503, {}).not_run
