"""Configure and inspect a fleet of carawaylane nodes."""

from __future__ import annotations

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
from carawaylane.commands.gateway_commands import (
    check_settings,
    entries,
    gateways,
    where,
    why,
)
from carawaylane.commands.output import (
    EXIT_CONFLICT,
    EXIT_INVALID,
    EXIT_UNAVAILABLE,
    OutputOption,
    exit_with_error,
    render,
)
from carawaylane.commands.show import (
    describe_rollout,
    fetch_from_node,
    fetch_from_nodes,
    get_documents,
    node_addresses,
    node_rows,
    service_rows,
    target_rows,
)
from carawaylane.commands.store import Accepted, ChangeResult, EditConflict
from carawaylane.config.schema import KINDS
from carawaylane.messages.outcomes import CheckReport, Problem
from carawaylane.storage.driver import PlatformDriver, Unavailable
from carawaylane.storage.http import HttpDriver

T = TypeVar('T')

HELP_PLATFORM = 'URL of the object API.'
HELP_AUTHOR = 'Author stored with the change; your user name by default.'
HELP_NODE = (
    'Administration address of a node, can be repeated; default: all members.'
)
HELP_VERSION = (
    'Refuse the change if these documents changed after this version.'
)
HELP_SELECTOR = 'Selector over target labels.'

PlatformOption = Annotated[
    str, Option(envvar='CARAWAY_PLATFORM', help=HELP_PLATFORM)
]
AuthorOption = Annotated[
    str, Option(envvar='CARAWAY_AUTHOR', help=HELP_AUTHOR)
]
NodeOption = Annotated[list[str] | None, Option('--node', help=HELP_NODE)]
DEFAULT_PLATFORM = 'http://127.0.0.1:7100'

app = Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help=__doc__,
)
status_app = Typer(no_args_is_help=True, help='State of the running fleet.')
app.add_typer(status_app, name='status')


@app.command()
def check(files: Annotated[list[Path], Argument()]) -> None:
    """Check configuration files without applying them."""
    report = check_files(files)
    _print_problems(report)
    if not report.ok:
        raise Exit(EXIT_INVALID)
    echo('no errors')


app.command()(check_settings)
app.command()(why)
app.command()(where)


@app.command()
def apply(
    files: Annotated[list[Path], Argument()],
    platform: PlatformOption = DEFAULT_PLATFORM,
    author: AuthorOption = '',
    if_version: Annotated[int | None, Option(help=HELP_VERSION)] = None,
) -> None:
    """Apply the documents of all files as one change, or none of them."""
    _print_result(
        _run_with_driver(
            platform,
            lambda driver: apply_files(
                driver, _author_or_user(author), files, if_version
            ),
        )
    )


@app.command()
def get(
    kind: Annotated[str, Argument(help=', '.join(KINDS))],
    name: Annotated[str, Argument()] = '',
    platform: PlatformOption = DEFAULT_PLATFORM,
    output: OutputOption = 'table',
) -> None:
    """Show the documents of a kind, or the one with a name."""
    _require_known_kind(kind)
    rows = _run_with_driver(
        platform, lambda driver: get_documents(driver, kind, name)
    )
    echo(render(_result_or_exit(rows), output=output))
    if name and not rows:
        raise Exit(EXIT_INVALID)


@app.command()
def label(
    selector: Annotated[str, Argument(help=HELP_SELECTOR)],
    labels: Annotated[
        list[str], Argument(help='KEY=VALUE to set, KEY- to remove')
    ],
    platform: PlatformOption = DEFAULT_PLATFORM,
    author: AuthorOption = '',
) -> None:
    """Set labels on all targets that a selector selects."""
    label_changes: dict[str, str | None] = {}
    for text in labels:
        key, separator, value = text.partition('=')
        if not separator and not text.endswith('-'):
            exit_with_error(f'{text!r} is neither KEY=VALUE nor KEY-')
        label_changes[key.removesuffix('-') if not separator else key] = (
            value if separator else None
        )
    _print_result(
        _run_with_driver(
            platform,
            lambda driver: label_targets(
                driver, _author_or_user(author), selector, label_changes
            ),
        )
    )


@app.command()
def drain(
    selector: Annotated[str, Argument(help=HELP_SELECTOR)],
    platform: PlatformOption = DEFAULT_PLATFORM,
    author: AuthorOption = '',
    undo: Annotated[
        bool, Option(help='Return the targets to service.')
    ] = False,
) -> None:
    """Drain targets: they finish their requests and get no new ones."""
    _print_result(
        _run_with_driver(
            platform,
            lambda driver: drain_targets(
                driver, _author_or_user(author), selector, undo=undo
            ),
        )
    )


@app.command()
def delete(
    kind: Annotated[str, Argument(help=', '.join(KINDS))],
    name: Annotated[str, Argument()],
    platform: PlatformOption = DEFAULT_PLATFORM,
    author: AuthorOption = '',
) -> None:
    """Delete a document from the configuration."""
    _require_known_kind(kind)
    _print_result(
        _run_with_driver(
            platform,
            lambda driver: delete_document(
                driver, _author_or_user(author), kind, name
            ),
        )
    )


@app.command()
def explain(
    path: Annotated[str, Argument(help='Path of the request.')],
    method: str = 'GET',
    labels: str = '',
    caller: str = '',
    key: str = '',
    platform: PlatformOption = DEFAULT_PLATFORM,
    node: NodeOption = None,
    output: OutputOption = 'table',
) -> None:
    """Show where a request would go and why targets are not in use."""
    params = {
        'path': path,
        'method': method,
        'labels': labels,
        'caller': caller,
        'key': key,
    }
    addresses = _admin_addresses(platform, node)
    row = run_async(_fetch_explanation(addresses, params))
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


@status_app.command()
def nodes(
    platform: PlatformOption = DEFAULT_PLATFORM,
    node: NodeOption = None,
    output: OutputOption = 'table',
) -> None:
    """Show nodes and the configuration version in force on each."""
    replies = _fetch_status(platform, node)
    echo(render(node_rows(replies), output=output))
    if output != 'json':
        echo('\n' + describe_rollout(replies))


@status_app.command()
def targets(
    platform: PlatformOption = DEFAULT_PLATFORM,
    node: NodeOption = None,
    output: OutputOption = 'table',
) -> None:
    """Show targets, whether they are in use, and the reason."""
    echo(render(target_rows(_fetch_status(platform, node)), output=output))


@status_app.command()
def services(
    platform: PlatformOption = DEFAULT_PLATFORM,
    node: NodeOption = None,
    output: OutputOption = 'table',
) -> None:
    """Show the shards of services and the nodes that own them."""
    echo(render(service_rows(_fetch_status(platform, node)), output=output))


status_app.command()(gateways)
status_app.command()(entries)


def main() -> None:
    """Run the command line."""
    app()


async def _fetch_explanation(
    addresses: list[str], params: dict[str, str]
) -> dict[str, Any]:
    row: dict[str, Any] = {'error': 'no node answers'}
    for address in addresses:
        row = await fetch_from_node(address, '/explain', params)
        if 'error' not in row:
            break
    if row.get('service'):
        all_targets = target_rows(await fetch_from_nodes(addresses, '/status'))
        row['targets'] = [
            target
            for target in all_targets
            if target['service'] == row['service']
        ]
    return row


def _run_with_driver(
    url: str, operation: Callable[[PlatformDriver], Awaitable[T]]
) -> T:
    async def run() -> T:
        driver = HttpDriver(url.rstrip('/'))
        try:
            return await operation(driver)
        finally:
            await driver.close()

    return run_async(run())


def _admin_addresses(platform: str, node: list[str] | None) -> list[str]:
    addresses = _run_with_driver(
        platform, lambda driver: node_addresses(driver, list(node or ()))
    )
    return _result_or_exit(addresses)


def _fetch_status(
    platform: str, node: list[str] | None
) -> list[dict[str, Any]]:
    return run_async(
        fetch_from_nodes(_admin_addresses(platform, node), '/status')
    )


def _result_or_exit(result: Any) -> Any:
    if isinstance(result, Unavailable):
        exit_with_error(
            f'the platform does not answer: {result.reason}', EXIT_UNAVAILABLE
        )
    return result


def _print_result(result: ChangeResult) -> None:
    match result:
        case Accepted():
            for problem in result.warnings:
                echo(f'warning: {problem}', err=True)
            echo(
                f'accepted as version {result.seq}: {result.put} written, '
                f'{result.deleted} deleted'
            )
        case EditConflict():
            names = ', '.join(f'{kind} {name}' for kind, name in result.keys)
            exit_with_error(
                f'conflict: version {result.seq} by {result.author or "?"} '
                f'already changed {names}',
                EXIT_CONFLICT,
            )
        case CheckReport():
            _print_problems(result)
            raise Exit(EXIT_INVALID)
        case Unavailable():
            _result_or_exit(result)


def _print_problems(report: CheckReport) -> None:
    problems: list[tuple[str, Problem]] = [
        *(('error', problem) for problem in report.errors),
        *(('warning', problem) for problem in report.warnings),
    ]
    for level, problem in problems:
        echo(f'{level}: {problem}', err=True)


def _require_known_kind(kind: str) -> None:
    if kind not in KINDS:
        exit_with_error(
            f'{kind!r} is not a kind of document; kinds: {", ".join(KINDS)}'
        )


def _author_or_user(author: str) -> str:
    return author or getuser()
