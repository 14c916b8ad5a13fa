"""All settings of the daemon, read from flags and the environment."""

from __future__ import annotations

from argparse import ArgumentParser
from typing import TYPE_CHECKING, Any

from attrs import frozen

from carawaylane.messages.outcomes import CheckReport, Problem
from carawaylane.settings.option import (
    Address,
    Addresses,
    Choice,
    Name,
    Number,
    Option,
    OptionError,
    Switch,
    Url,
)
from carawaylane.telemetry.traces import exporter_names

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence


@frozen(kw_only=True)
class Settings:
    """Checked settings; times and sizes carry their unit in the name."""

    name: str
    data_centre: str
    listen: str
    rpc: str
    admin: str
    platform: str
    platform_driver: str
    seeds: tuple[str, ...]
    max_body_bytes: int
    max_in_flight: int
    max_answer_hold_bytes: int
    resend_window_ms: int
    ledger_bytes: int
    journal_records: int
    journal_answer_bytes: int
    max_victims: int
    ping_period_ms: int
    ping_timeout_ms: int
    gather_ms: int
    watchers: int
    drain_limit_ms: int
    drain_grace_ms: int
    log_json: bool
    log_level: str
    trace_exporter: str
    trace_ratio: float
    test_faults: bool


OPTIONS: tuple[Option, ...] = (
    Name(name='name', help='name of this host', required=True),
    Name(name='data_centre', help='its data centre', required=True),
    Address(name='listen', help='where callers connect', required=True),
    Address(name='rpc', help='where other nodes connect', required=True),
    Address(name='admin', help='administration API', required=True),
    Url(name='platform', help='URL of the object API', required=True),
    Choice(
        name='platform_driver',
        help='driver of the object API',
        words=('http',),
        default='http',
    ),
    Addresses(
        name='seeds',
        help='rpc addresses of peers for a start while the API is down',
        default='',
    ),
    Number(
        name='max_body_bytes',
        help='largest request body',
        low=1,
        high=64 << 20,
        default='1048576',
    ),
    Number(
        name='max_in_flight',
        help='requests of callers at once, before shedding',
        low=1,
        default='2000',
    ),
    Number(
        name='max_answer_hold_bytes',
        help='largest answer held whole before it goes on',
        low=0,
        high=16 << 20,
        default='65536',
    ),
    Number(
        name='resend_window_ms',
        help='how long a caller may resend under one key',
        low=1000,
        default='600000',
    ),
    Number(
        name='ledger_bytes',
        help='memory for the record of keys of one shard',
        low=4096,
        default='16777216',
    ),
    Number(
        name='journal_records',
        help='keys that the journal of an entry holds',
        low=16,
        default='50000',
    ),
    Number(
        name='journal_answer_bytes',
        help='largest answer that the journal keeps',
        low=0,
        default='4096',
    ),
    Number(
        name='max_victims',
        help='targets that may die under one request before it is held',
        low=1,
        high=10,
        default='2',
    ),
    Number(
        name='ping_period_ms',
        help='time between pings',
        low=50,
        default='1000',
    ),
    Number(
        name='ping_timeout_ms',
        help='time for an answer to a ping',
        low=10,
        default='300',
    ),
    Number(
        name='gather_ms',
        help='how long a successor waits for promises before it answers',
        low=0,
        default='1000',
    ),
    Number(
        name='watchers',
        help='nodes of a data centre that watch the object API',
        low=1,
        high=10,
        default='2',
    ),
    Number(
        name='drain_limit_ms',
        help='how long a planned stop may take',
        low=0,
        default='30000',
    ),
    Number(
        name='drain_grace_ms',
        help='how long callers still come after readiness went off',
        low=0,
        default='2000',
    ),
    Switch(name='log_json', help='log lines as JSON', default='false'),
    Choice(
        name='log_level',
        help='least level that is logged',
        words=('debug', 'info', 'warning', 'error'),
        default='info',
    ),
    Choice(
        name='trace_exporter',
        help='where spans go',
        words=tuple(exporter_names()),
        default='none',
    ),
    Number(
        name='trace_ratio',
        help='share of requests that are traced',
        low=0,
        high=1,
        whole=False,
        default='0.01',
    ),
    Switch(
        name='test_faults',
        help='let tests cut links over the administration API',
        default='false',
    ),
)


def read_settings(
    argv: Sequence[str], env: Mapping[str, str]
) -> tuple[Settings | None, CheckReport]:
    """Return the settings, or None and every problem with its option."""
    given = vars(_parser().parse_args(argv))
    values: dict[str, Any] = {}
    problems: list[Problem] = []
    for option in OPTIONS:
        text = given.get(option.name)
        if text is None:
            text = env.get(option.env, option.default)
        if text is None:
            problems.append(option.problem('is required'))
            continue
        try:
            values[option.name] = option.check(text)
        except OptionError as exc:
            problems.append(option.problem(str(exc)))
    problems += _check_together(values)
    if problems:
        return None, CheckReport(errors=tuple(problems))
    cfg = Settings(**values)
    return cfg, CheckReport(warnings=tuple(_warnings(cfg)))


def _parser() -> ArgumentParser:
    parser = ArgumentParser(
        prog='carawayd', description='A node of a carawaylane fleet.'
    )
    for option in OPTIONS:
        default = '' if option.default is None else f' [{option.default}]'
        parser.add_argument(
            option.flag, help=f'{option.help} ({option.env}){default}'
        )
    return parser


def _check_together(values: dict[str, Any]) -> list[Problem]:
    problems: list[Problem] = []
    seen: dict[str, str] = {}
    for name in ('listen', 'rpc', 'admin'):
        address = values.get(name)
        if address is None:
            continue
        if address in seen:
            problems.append(
                Problem(place=f'--{name}', reason=f'same as --{seen[address]}')
            )
        seen[address] = name
    return problems


def _warnings(cfg: Settings) -> list[Problem]:
    found: list[Problem] = []
    if cfg.ping_timeout_ms >= cfg.ping_period_ms:
        found.append(
            Problem(
                place='--ping-timeout-ms',
                reason='is not below --ping-period-ms: pings will overlap',
            )
        )
    return found
