"""The command line carawayctl, a thin layer over the functions beside it."""

from __future__ import annotations

import sys
from asyncio import run as run_async
from collections.abc import Awaitable, Callable
from getpass import getuser
from pathlib import Path
from typing import Annotated, Any, TypeVar

from typer import Argument, Exit, Option, Typer, echo

from carawaylane.commands.change import (
    apply_files,
    check_files,
    delete_document,
    drain_targets,
    label_targets,
)
from carawaylane.commands.explain import check_boot, explain_request
from carawaylane.commands.gateways import Silent, ask_gateways
from carawaylane.commands.output import render
from carawaylane.commands.show import (
    ask_node,
    ask_nodes,
    get_documents,
    in_force,
    node_addresses,
    node_rows,
    service_rows,
    target_rows,
)
from carawaylane.commands.store import Accepted, Applied, LostRace
from carawaylane.config.schema import KINDS
from carawaylane.messages.outcomes import CheckReport, Problem
from carawaylane.storage.driver import PlatformDriver, Unavailable
from carawaylane.storage.http import HttpDriver

T = TypeVar('T')

EXIT_INVALID = 2
EXIT_LOST_RACE = 3
EXIT_UNAVAILABLE = 4

HELP_PLATFORM = 'URL of the object API.'
HELP_AUTHOR = 'Name kept with the change.'
HELP_OUTPUT = 'table or json.'
HELP_NODE = 'Administration address of a node; all members by default.'
HELP_VERSION = 'Refuse if these documents changed after this version.'
HELP_LOGS = 'Logs of all nodes; standard input by default.'
HELP_METRICS = 'HOST:PORT of the metrics of a node.'
HELP_SELECTOR = 'Selector over target labels.'

Platform = Annotated[
    str, Option(envvar='CARAWAY_PLATFORM', help=HELP_PLATFORM)
]
Author = Annotated[str, Option(envvar='CARAWAY_AUTHOR', help=HELP_AUTHOR)]
Output = Annotated[str, Option('--output', '-o', help=HELP_OUTPUT)]
Nodes = Annotated[list[str] | None, Option('--node', help=HELP_NODE)]
DEFAULT_PLATFORM = 'http://127.0.0.1:7100'

app = Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help=__doc__,
)
status = Typer(no_args_is_help=True, help='State of the running fleet.')
app.add_typer(status, name='status')


@app.command()
def check(files: Annotated[list[Path], Argument()]) -> None:
    """Check files without applying them."""
    report = check_files(files)
    _print_problems(report)
    if not report.ok:
        raise Exit(EXIT_INVALID)
    echo('no errors')


@app.command()
def check_settings(file: Annotated[Path, Argument()]) -> None:
    """Check a settings file of the users' platform."""
    found = check_boot(file)
    if isinstance(found, Problem):
        _fail(str(found))
    else:
        echo(f'no errors; node {found.name} in {found.data_centre}')


@app.command()
def why(
    request_id: Annotated[str, Argument()],
    files: Annotated[list[Path] | None, Argument(help=HELP_LOGS)] = None,
    output: Output = 'table',
) -> None:
    """Show what became of a request, and why, from collected logs."""
    lines: list[str] = []
    try:
        for file in files or []:
            lines += file.read_text(errors='replace').splitlines()
    except OSError as exc:
        _fail(str(exc))
    if not files:
        lines = sys.stdin.read().splitlines()
    found = explain_request(request_id, lines)
    if isinstance(found, Problem):
        _fail(str(found))
    elif output == 'json':
        echo(
            render(
                [{'cause': found.cause, 'lines': list(found.rows)}],
                output=output,
            )
        )
    else:
        echo(render(found.table(), output=output))
        echo(f'cause: {found.cause}')


@app.command()
def apply(
    files: Annotated[list[Path], Argument()],
    platform: Platform = DEFAULT_PLATFORM,
    author: Author = '',
    if_version: Annotated[int | None, Option(help=HELP_VERSION)] = None,
) -> None:
    """Write the documents of files as one change, or none of them."""
    _finish(
        _on_platform(
            platform,
            lambda drv: apply_files(drv, _author(author), files, if_version),
        )
    )


@app.command()
def get(
    kind: Annotated[str, Argument(help=', '.join(KINDS))],
    name: Annotated[str, Argument()] = '',
    platform: Platform = DEFAULT_PLATFORM,
    output: Output = 'table',
) -> None:
    """Show documents of a kind."""
    _check_kind(kind)
    rows = _on_platform(platform, lambda drv: get_documents(drv, kind, name))
    echo(render(_available(rows), output=output))
    if name and not rows:
        raise Exit(EXIT_INVALID)


@app.command()
def label(
    selector: Annotated[str, Argument(help=HELP_SELECTOR)],
    labels: Annotated[
        list[str], Argument(help='KEY=VALUE, or KEY- to remove')
    ],
    platform: Platform = DEFAULT_PLATFORM,
    author: Author = '',
) -> None:
    """Set labels on all targets that a selector selects."""
    changes: dict[str, str | None] = {}
    for text in labels:
        key, found, value = text.partition('=')
        if not found and not text.endswith('-'):
            _fail(f'{text!r} is neither KEY=VALUE nor KEY-')
        changes[key.removesuffix('-') if not found else key] = (
            value if found else None
        )
    _finish(
        _on_platform(
            platform,
            lambda drv: label_targets(drv, _author(author), selector, changes),
        )
    )


@app.command()
def drain(
    selector: Annotated[str, Argument(help=HELP_SELECTOR)],
    platform: Platform = DEFAULT_PLATFORM,
    author: Author = '',
    undo: Annotated[bool, Option(help='Take them back into service.')] = False,
) -> None:
    """Give selected targets no new work."""
    _finish(
        _on_platform(
            platform,
            lambda drv: drain_targets(
                drv, _author(author), selector, undo=undo
            ),
        )
    )


@app.command()
def delete(
    kind: Annotated[str, Argument(help=', '.join(KINDS))],
    name: Annotated[str, Argument()],
    platform: Platform = DEFAULT_PLATFORM,
    author: Author = '',
) -> None:
    """Delete a document."""
    _check_kind(kind)
    _finish(
        _on_platform(
            platform,
            lambda drv: delete_document(drv, _author(author), kind, name),
        )
    )


@app.command()
def explain(
    path: Annotated[str, Argument(help='Path of the request.')],
    method: str = 'GET',
    labels: str = '',
    caller: str = '',
    key: str = '',
    platform: Platform = DEFAULT_PLATFORM,
    node: Nodes = None,
    output: Output = 'table',
) -> None:
    """Show where a request would go and why targets are out."""
    params = {
        'path': path,
        'method': method,
        'labels': labels,
        'caller': caller,
        'key': key,
    }
    addresses = _addresses(platform, node)
    row = run_async(_explain(addresses, params))
    if output == 'json':
        echo(render([row], output='json'))
        return
    shards = row.pop('shards', [])
    targets = row.pop('targets', [])
    row.pop('labels', None)
    echo(render([row], output=output))
    if shards:
        echo('\n' + render(shards, output=output))
        echo('\n' + render(targets, output=output))


@status.command()
def nodes(
    platform: Platform = DEFAULT_PLATFORM,
    node: Nodes = None,
    output: Output = 'table',
) -> None:
    """Show nodes and the configuration version in force on each."""
    replies = _replies(platform, node)
    echo(render(node_rows(replies), output=output))
    if output != 'json':
        echo('\n' + in_force(replies))


@status.command()
def targets(
    platform: Platform = DEFAULT_PLATFORM,
    node: Nodes = None,
    output: Output = 'table',
) -> None:
    """Show targets, their standing and the reason for it."""
    echo(render(target_rows(_replies(platform, node)), output=output))


@status.command()
def services(
    platform: Platform = DEFAULT_PLATFORM,
    node: Nodes = None,
    output: Output = 'table',
) -> None:
    """Show the shards of services and their homes."""
    echo(render(service_rows(_replies(platform, node)), output=output))


@status.command()
def gateways(
    addresses: Annotated[list[str], Argument(help=HELP_METRICS)],
    output: Output = 'table',
) -> None:
    """Show nodes on the users' machines, from their metrics."""
    found = run_async(ask_gateways(addresses))
    rows = [each for each in found if not isinstance(each, Silent)]
    if rows:
        echo(render(rows, output=output))
    silent = [each for each in found if isinstance(each, Silent)]
    for each in silent:
        echo(f'carawayctl: {each.address}: {each.reason}', err=True)
    if silent:
        raise Exit(EXIT_UNAVAILABLE)


def main() -> None:
    """Run the command line."""
    app()


async def _explain(
    addresses: list[str], params: dict[str, str]
) -> dict[str, Any]:
    row: dict[str, Any] = {'error': 'no node answers'}
    for address in addresses:
        row = await ask_node(address, '/explain', params)
        if 'error' not in row:
            break
    if row.get('service'):
        found = target_rows(await ask_nodes(addresses, '/status'))
        row['targets'] = [x for x in found if x['service'] == row['service']]
    return row


def _on_platform(
    url: str, func: Callable[[PlatformDriver], Awaitable[T]]
) -> T:
    async def call() -> T:
        driver = HttpDriver(url.rstrip('/'))
        try:
            return await func(driver)
        finally:
            await driver.close()

    return run_async(call())


def _addresses(platform: str, node: list[str] | None) -> list[str]:
    found = _on_platform(
        platform, lambda drv: node_addresses(drv, list(node or ()))
    )
    return _available(found)


def _replies(platform: str, node: list[str] | None) -> list[dict[str, Any]]:
    return run_async(ask_nodes(_addresses(platform, node), '/status'))


def _available(found: Any) -> Any:
    if isinstance(found, Unavailable):
        _fail(
            f'the platform does not answer: {found.reason}', EXIT_UNAVAILABLE
        )
    return found


def _finish(done: Applied) -> None:
    match done:
        case Accepted():
            for problem in done.warnings:
                echo(f'warning: {problem}', err=True)
            echo(
                f'accepted as version {done.seq}: {done.put} written, '
                f'{done.deleted} deleted'
            )
        case LostRace():
            names = ', '.join(f'{kind} {name}' for kind, name in done.keys)
            _fail(
                f'lost a race: version {done.seq} by {done.author or "?"} '
                f'changed {names}',
                EXIT_LOST_RACE,
            )
        case CheckReport():
            _print_problems(done)
            raise Exit(EXIT_INVALID)
        case Unavailable():
            _available(done)


def _print_problems(report: CheckReport) -> None:
    problems: list[tuple[str, Problem]] = [
        *(('error', each) for each in report.errors),
        *(('warning', each) for each in report.warnings),
    ]
    for level, problem in problems:
        echo(f'{level}: {problem}', err=True)


def _check_kind(kind: str) -> None:
    if kind not in KINDS:
        _fail(f'{kind!r} is none of {", ".join(KINDS)}')


def _author(given: str) -> str:
    return given or getuser()


def _fail(text: str, code: int = EXIT_INVALID) -> None:
    print(f'carawayctl: {text}', file=sys.stderr)
    raise Exit(code)
