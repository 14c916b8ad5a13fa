"""Reading of settings from flags, environment and defaults."""

import pytest

from carawaylane.settings.settings import OPTIONS, read_settings

REQUIRED_FLAGS = [
    '--name', 'n1',
    '--data-centre', 'dc',
    '--listen', '127.0.0.1:1',
    '--rpc', '127.0.0.1:2',
    '--admin', '127.0.0.1:3',
    '--platform', 'http://p:1/',
]  # fmt: skip


def test_flags_override_the_environment_and_defaults():
    env = {'CARAWAY_NAME': 'other', 'CARAWAY_WATCHERS': '3'}
    cfg, report = read_settings(REQUIRED_FLAGS, env)
    assert report.ok
    assert (cfg.name, cfg.watchers, cfg.gather_ms) == ('n1', 3, 1000)
    assert cfg.platform == 'http://p:1'


def test_every_invalid_option_is_reported_by_name():
    env = {'CARAWAY_LISTEN': 'nonsense', 'CARAWAY_TRACE_RATIO': '2'}
    cfg, report = read_settings(['--name', 'a b'], env)
    assert cfg is None
    text = '\n'.join(map(str, report.errors))
    for option in ('--name', '--data-centre', '--listen', '--trace-ratio'):
        assert option in text


def test_a_listening_address_may_be_used_only_once():
    argv = [*REQUIRED_FLAGS, '--admin', '127.0.0.1:1']
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
def test_an_invalid_value_is_rejected(flag, value):
    cfg, report = read_settings([*REQUIRED_FLAGS, flag, value], {})
    assert cfg is None
    assert flag in str(report.errors[0])


def test_every_option_has_a_field_and_a_help_text():
    cfg, _ = read_settings(REQUIRED_FLAGS, {})
    assert {option.name for option in OPTIONS} == set(cfg.__slots__) - {
        '__weakref__'
    }
    assert all(option.help for option in OPTIONS)
