"""Settings of the daemon, read from flags and the environment."""

from __future__ import annotations

from argparse import ArgumentParser
from typing import TYPE_CHECKING, Any

from attrs import frozen

from carawaylane.messages.outcomes import CheckReport, Problem
from carawaylane.settings.option import (
    Address,
    Addresses,
    Boolean,
    Choice,
    Name,
    Number,
    Option,
    OptionError,
    Url,
)
from carawaylane.telemetry.traces import exporter_names

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence


@frozen(kw_only=True)
class Settings:
    """Validated settings; names of times and sizes end in their unit."""

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
    Name(name='data_centre', help='data centre of this host', required=True),
    Address(
        name='listen', help='address on which callers connect', required=True
    ),
    Address(
        name='rpc', help='address on which other nodes connect', required=True
    ),
    Address(
        name='admin', help='address of the administration API', required=True
    ),
    Url(
        name='platform', help="URL of the platform's object API", required=True
    ),
    Choice(
        name='platform_driver',
        help='driver of the object API',
        choices=('http',),
        default='http',
    ),
    Addresses(
        name='seeds',
        help='RPC addresses of nodes to start from if the object API is down',
        default='',
    ),
    Number(
        name='max_body_bytes',
        help='largest request body',
        minimum=1,
        maximum=64 << 20,
        default='1048576',
    ),
    Number(
        name='max_in_flight',
        help='requests of callers in flight before the node sheds load',
        minimum=1,
        default='2000',
    ),
    Number(
        name='max_answer_hold_bytes',
        help='largest answer buffered whole instead of streamed',
        minimum=0,
        maximum=16 << 20,
        default='65536',
    ),
    Number(
        name='resend_window_ms',
        help='how long a caller may resend a request under its key',
        minimum=1000,
        default='600000',
    ),
    Number(
        name='ledger_bytes',
        help='memory for the records of idempotency keys of one shard',
        minimum=4096,
        default='16777216',
    ),
    Number(
        name='journal_records',
        help='idempotency keys that the journal of an entry holds',
        minimum=16,
        default='50000',
    ),
    Number(
        name='journal_answer_bytes',
        help='largest answer that the journal stores',
        minimum=0,
        default='4096',
    ),
    Number(
        name='max_victims',
        help='targets that may die under a request before it is refused',
        minimum=1,
        maximum=10,
        default='2',
    ),
    Number(
        name='ping_period_ms',
        help='time between pings',
        minimum=50,
        default='1000',
    ),
    Number(
        name='ping_timeout_ms',
        help='how long to wait for the answer to a ping',
        minimum=10,
        default='300',
    ),
    Number(
        name='gather_ms',
        help='how long the new owner of a shard waits for promises',
        minimum=0,
        default='1000',
    ),
    Number(
        name='watchers',
        help='nodes of a data centre that watch the object API',
        minimum=1,
        maximum=10,
        default='2',
    ),
    Number(
        name='drain_limit_ms',
        help='how long the drain before a stop may take',
        minimum=0,
        default='30000',
    ),
    Number(
        name='drain_grace_ms',
        help='how long the node accepts callers after readiness is off',
        minimum=0,
        default='2000',
    ),
    Boolean(name='log_json', help='write log lines as JSON', default='false'),
    Choice(
        name='log_level',
        help='lowest level that is logged',
        choices=('debug', 'info', 'warning', 'error'),
        default='info',
    ),
    Choice(
        name='trace_exporter',
        help='exporter of trace spans',
        choices=tuple(exporter_names()),
        default='none',
    ),
    Number(
        name='trace_ratio',
        help='share of requests that are traced',
        minimum=0,
        maximum=1,
        integer=False,
        default='0.01',
    ),
    Boolean(
        name='test_faults',
        help='let tests cut links through the administration API',
        default='false',
    ),
)


def read_settings(
    argv: Sequence[str], env: Mapping[str, str]
) -> tuple[Settings | None, CheckReport]:
    """Return the settings, or None and a report of every invalid option.

    A flag takes precedence over the environment variable.
    """
    flags = vars(_parser().parse_args(argv))
    values: dict[str, Any] = {}
    problems: list[Problem] = []
    for option in OPTIONS:
        text = flags.get(option.name)
        if text is None:
            text = env.get(option.env, option.default)
        if text is None:
            problems.append(option.problem('is required'))
            continue
        try:
            values[option.name] = option.check(text)
        except OptionError as exc:
            problems.append(option.problem(str(exc)))
    problems += _duplicate_addresses(values)
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


def _duplicate_addresses(values: dict[str, Any]) -> list[Problem]:
    """Return a problem for each listening address that is used twice."""
    problems: list[Problem] = []
    used_by: dict[str, str] = {}
    for name in ('listen', 'rpc', 'admin'):
        address = values.get(name)
        if address is None:
            continue
        if address in used_by:
            problems.append(
                Problem(
                    place=f'--{name}',
                    reason=f'is the same address as --{used_by[address]}',
                )
            )
        used_by[address] = name
    return problems


def _warnings(cfg: Settings) -> list[Problem]:
    warnings: list[Problem] = []
    if cfg.ping_timeout_ms >= cfg.ping_period_ms:
        warnings.append(
            Problem(
                place='--ping-timeout-ms',
                reason='is not below --ping-period-ms; pings will overlap',
            )
        )
    return warnings
