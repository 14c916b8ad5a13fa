"""Commands about the gateway nodes, which run on the users' hosts."""

from __future__ import annotations

import sys
from asyncio import run as run_async
from json import dumps
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

from multidict import CIMultiDict
from typer import Argument, Exit, Option, echo

from carawaylane.commands.explain import check_settings_file, explain_request
from carawaylane.commands.gateways import (
    NoMetrics,
    fetch_gateways,
    fetch_rejected,
)
from carawaylane.commands.output import (
    EXIT_UNAVAILABLE,
    OutputOption,
    exit_with_error,
    render,
)
from carawaylane.commands.where import (
    Unanswered,
    find_placement,
    make_query,
    read_request_file,
)
from carawaylane.messages.outcomes import Problem
from carawaylane.rpc.fleet_pb2 import LocateRequest

if TYPE_CHECKING:
    from collections.abc import Sequence

# Of a body, on the wire.
MAX_SIZE = (1 << 32) - 1
HELP_LOGS = 'Log files of all nodes; standard input by default.'
HELP_METRICS = 'HOST:PORT on which a node serves its metrics.'
HELP_PATH = 'Path of the request, with --host; or a URL.'
HELP_ROUTE = 'Name of the route, instead of host and path.'
HELP_FILE = 'File with an HTTP/1.1 request; its key is not used.'
HELP_CUSTOMER = 'Name of the customer, never its key.'
HELP_SIZE = 'Bytes of the body.'
HELP_SERVICE = 'Service of the route, if it leads to several.'
HELP_PEER = (
    'HOST:PORT on which a node serves its peers, can be repeated; the first '
    'that answers is taken as the entry.'
)


def check_settings(file: Annotated[Path, Argument()]) -> None:
    """Check a settings file of a gateway node."""
    settings = check_settings_file(file)
    if isinstance(settings, Problem):
        exit_with_error(str(settings))
    else:
        echo(f'no errors; node {settings.name} in {settings.data_centre}')


def why(
    request_id: Annotated[str, Argument()],
    files: Annotated[list[Path] | None, Argument(help=HELP_LOGS)] = None,
    output: OutputOption = 'table',
) -> None:
    """Show from collected logs how a request ended, and why."""
    lines: list[str] = []
    try:
        for file in files or []:
            lines += file.read_text(errors='replace').splitlines()
    except OSError as exc:
        exit_with_error(str(exc))
    if not files:
        lines = sys.stdin.read().splitlines()
    explanation = explain_request(request_id, lines)
    if isinstance(explanation, Problem):
        exit_with_error(str(explanation))
    elif output == 'json':
        echo(
            render(
                [
                    {
                        'cause': explanation.cause,
                        'lines': list(explanation.rows),
                    }
                ],
                output=output,
            )
        )
    else:
        echo(render(explanation.table(), output=output))
        echo(f'cause: {explanation.cause}')


def gateways(
    addresses: Annotated[list[str], Argument(help=HELP_METRICS)],
    output: OutputOption = 'table',
) -> None:
    """Show the state of gateway nodes from their metrics."""
    results = run_async(fetch_gateways(addresses))
    rows = [row for row in results if not isinstance(row, NoMetrics)]
    if rows:
        echo(render(rows, output=output))
    _exit_if_unavailable(results)


def entries(
    addresses: Annotated[list[str], Argument(help=HELP_METRICS)],
    output: OutputOption = 'table',
) -> None:
    """Show which entries of the store nodes reject, and why."""
    results = run_async(fetch_rejected(addresses))
    rows = [
        row
        for result in results
        if not isinstance(result, NoMetrics)
        for row in result
    ]
    if rows or output == 'json':
        echo(render(rows, output=output))
    _exit_if_unavailable(results)


def _exit_if_unavailable(results: Sequence[object]) -> None:
    failures = [result for result in results if isinstance(result, NoMetrics)]
    for failure in failures:
        echo(f'carawayctl: {failure.address}: {failure.reason}', err=True)
    if failures:
        raise Exit(EXIT_UNAVAILABLE)


def where(
    node: Annotated[list[str], Option('--node', help=HELP_PEER)],
    path: Annotated[str, Argument(help=HELP_PATH)] = '',
    host: str = '',
    route: Annotated[str, Option(help=HELP_ROUTE)] = '',
    file: Annotated[Path | None, Option(help=HELP_FILE)] = None,
    method: str = 'GET',
    size: Annotated[int, Option(help=HELP_SIZE, min=0, max=MAX_SIZE)] = 0,
    customer: Annotated[str, Option(help=HELP_CUSTOMER)] = '',
    service: Annotated[str, Option(help=HELP_SERVICE)] = '',
    as_json: Annotated[bool, Option('--json')] = False,
) -> None:
    """Show in which order a request would go to targets, and why.

    Asks the home of the service; nothing is sent, queued or counted.
    """
    if sum(map(bool, (path, route, file))) != 1:
        exit_with_error('name one of a path, --route and --file')
    try:
        query = _query(path, host, route, file, method, size)
        if isinstance(query, Problem):
            exit_with_error(str(query))
        query.customer, query.service = customer, service
    except UnicodeEncodeError:
        exit_with_error('an argument is no text in UTF-8')
    placement = find_placement(node, query)
    if isinstance(placement, Problem):
        exit_with_error(str(placement))
    if isinstance(placement, Unanswered):
        exit_with_error(str(placement), EXIT_UNAVAILABLE)
    rows = placement.target_rows()
    if as_json:
        echo(dumps(placement.as_row() | {'targets': rows}, indent=2))
        return
    for silent in placement.silent:
        echo(f'carawayctl: home {silent}', err=True)
    echo(placement.headline() + '\n')
    echo(render(rows, output='table'))


def _query(
    path: str,
    host: str,
    route: str,
    file: Path | None,
    method: str,
    size: int,
) -> LocateRequest | Problem:
    if file is not None:
        return read_request_file(file)
    if route:
        return LocateRequest(route=route, method=method, request_bytes=size)
    headers = CIMultiDict({'Host': host})
    return make_query(path, headers, method=method, size=size)
