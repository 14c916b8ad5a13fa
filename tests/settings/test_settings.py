"""Settings are checked together and named in what is wrong."""

import pytest

from carawaylane.settings.settings import OPTIONS, read_settings

GIVEN = [
    '--name', 'n1',
    '--data-centre', 'dc',
    '--listen', '127.0.0.1:1',
    '--rpc', '127.0.0.1:2',
    '--admin', '127.0.0.1:3',
    '--platform', 'http://p:1/',
]  # fmt: skip


def test_flags_go_before_the_environment_and_defaults():
    env = {'CARAWAY_NAME': 'other', 'CARAWAY_WATCHERS': '3'}
    cfg, report = read_settings(GIVEN, env)
    assert report.ok
    assert (cfg.name, cfg.watchers, cfg.gather_ms) == ('n1', 3, 1000)
    assert cfg.platform == 'http://p:1'


def test_all_problems_are_told_at_once_each_by_its_name():
    env = {'CARAWAY_LISTEN': 'nonsense', 'CARAWAY_TRACE_RATIO': '2'}
    cfg, report = read_settings(['--name', 'a b'], env)
    assert cfg is None
    text = '\n'.join(map(str, report.errors))
    for option in ('--name', '--data-centre', '--listen', '--trace-ratio'):
        assert option in text


def test_one_address_cannot_serve_two_sockets():
    argv = [*GIVEN, '--admin', '127.0.0.1:1']
    cfg, report = read_settings(argv, {})
    assert cfg is None
    assert '--admin' in str(report.errors[0])


@pytest.mark.parametrize(
    ('flag', 'value'),
    [
        ('--watchers', '0'),
        ('--watchers', 'x'),
        ('--log-level', 'loud'),
        ('--log-json', 'maybe'),
        ('--platform', 'ftp://x'),
        ('--seeds', '127.0.0.1'),
    ],
)
def test_bad_values_are_refused(flag, value):
    cfg, report = read_settings([*GIVEN, flag, value], {})
    assert cfg is None
    assert flag in str(report.errors[0])


def test_every_option_has_a_field_and_a_help_text():
    cfg, _ = read_settings(GIVEN, {})
    assert {each.name for each in OPTIONS} == set(cfg.__slots__) - {
        '__weakref__'
    }
    assert all(each.help for each in OPTIONS)
