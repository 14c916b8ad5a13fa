"""Asks the home of a service where a request would go, and why.

Nothing is sent to a target, and the nodes queue and count nothing.
"""

from __future__ import annotations

from asyncio import gather, run, timeout
from http.client import HTTPException, parse_headers
from io import BytesIO
from typing import TYPE_CHECKING, Any

from attrs import frozen
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from multidict import CIMultiDict

from carawaylane.gateway.caller_requests import host_and_path
from carawaylane.gateway.links import RPC_ERRORS
from carawaylane.kernel.addresses import (
    InvalidAddressError,
    split_host_port,
)
from carawaylane.messages.outcomes import Problem
from carawaylane.rpc.fleet_grpc import FleetStub
from carawaylane.rpc.fleet_pb2 import (
    LocateReply,
    LocateRequest,
    PreviewReply,
    PreviewRequest,
    Reply,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from pathlib import Path

    from google.protobuf.message import Message

# The nodes that are asked must answer within this time.
TIMEOUT_S = 1.0
OLD_BUILD = 'runs an older build, which does not know this call'
NO_REQUEST = 'is no HTTP/1.1 request'
DECISIONS = {Reply.GRANT: 'grant', Reply.WAIT: 'wait', Reply.REFUSE: 'refuse'}


@frozen(kw_only=True)
class NoReply:
    """A node that gave no reply, and why."""

    address: str
    reason: str
    old_build: bool = False

    def __str__(self) -> str:
        return f'{self.address} {self.reason}'


@frozen(kw_only=True)
class Unanswered:
    """No node or no home could tell; the text names those asked."""

    text: str

    def __str__(self) -> str:
        return self.text


@frozen(kw_only=True)
class Placement:
    """What the entry would ask, and what the home would reply."""

    located: LocateReply
    home: LocateReply.Home
    preview: PreviewReply
    # Homes that come before, which do not answer.
    silent: tuple[NoReply, ...] = ()

    def as_row(self) -> dict[str, Any]:
        """Return everything but the targets, for programs."""
        ask, reply = self.located.ask, self.preview.reply
        return {
            'version': self.located.version,
            'route': ask.route,
            'service': ask.service,
            'entry': _node_name(self.located.entry),
            'data_centre': self.located.data_centre,
            'home': self.home.name,
            'silent_homes': [str(home) for home in self.silent],
            'decision': DECISIONS[reply.verdict],
            'target': reply.target,
            'reason': reply.reason,
            'expect_ms': reply.expect_ms,
            'queued': self.preview.queued,
        }

    def target_rows(self) -> list[dict[str, Any]]:
        """Return the targets in the order of choice."""
        return [
            {
                'target': candidate.target,
                'data_centre': candidate.data_centre,
                'decision': DECISIONS[candidate.verdict],
                'risk': round(candidate.risk, 3),
                'work_ms': round(candidate.work_s * 1000),
                'remaining_ms': round(candidate.remaining_s * 1000),
                'in_flight': candidate.in_flight,
                'slots': candidate.slots,
                'cost': round(candidate.cost, 3),
                'why': candidate.reason,
            }
            for candidate in self.preview.candidates
        ]

    def headline(self) -> str:
        """Return in two lines what would happen."""
        row = self.as_row()
        outcome = {
            'grant': f'target {row["target"]} would get it now',
            'wait': f'it would wait, about {row["expect_ms"]} ms',
            'refuse': f'it would be refused ({row["reason"]}); its caller '
            f'may come back after {row["expect_ms"]} ms',
        }[row['decision']]
        return (
            f'route {row["route"]}, service {row["service"]}, version '
            f'{row["version"]}; entry {row["entry"]} in '
            f'{row["data_centre"]}, home {row["home"]}\n'
            f'{outcome}; {row["queued"]} requests are queued'
        )


def read_request_file(file: Path) -> LocateRequest | Problem:
    """Read a request as a caller sends it; its key is not used."""
    try:
        stream = BytesIO(file.read_bytes())
        method, target, protocol = stream.readline().decode('latin-1').split()
        if not protocol.startswith('HTTP/'):
            return Problem(place=str(file), reason=NO_REQUEST)
        headers = CIMultiDict(parse_headers(stream).items())
        size = int(headers.get('Content-Length', len(stream.read())))
    except OSError as exc:
        return Problem(place=str(file), reason=exc.strerror or 'is unreadable')
    except (HTTPException, ValueError):
        # The exception may quote a header, and so a key.
        return Problem(place=str(file), reason=NO_REQUEST)
    return make_query(target, headers, method=method, size=size)


def make_query(
    path: str, headers: CIMultiDict[str], *, method: str, size: int
) -> LocateRequest | Problem:
    """Return the question for a request with a host and a path."""
    host, path = host_and_path(path, headers)
    if host is None:
        return Problem(place='request', reason='names not one host')
    if not 0 <= size < 1 << 32:
        return Problem(place='request', reason='has an impossible size')
    return LocateRequest(
        host=host, path=path, method=method, request_bytes=size
    )


def find_placement(
    addresses: Sequence[str], query: LocateRequest
) -> Placement | Problem | Unanswered:
    """Return where a request would go if one of the nodes were its entry."""
    return run(_find_placement(addresses, query))


async def _find_placement(
    addresses: Sequence[str], query: LocateRequest
) -> Placement | Problem | Unanswered:
    replies = await _ask_all(addresses, 'Locate', query)
    located = _first_reply(replies)
    if located is None:
        return _unanswered('no node answers', replies)
    if located.problem:
        return Problem(place='', reason=_describe_problem(located, query))
    return await _ask_homes(located)


async def _ask_homes(
    located: LocateReply,
) -> Placement | Problem | Unanswered:
    """Ask the homes, and return the reply of the first that answers.

    The second is a home only while the first is silent, not if that one runs
    an older build.
    """
    request = PreviewRequest(
        ask=located.ask, entry=located.entry, data_centre=located.data_centre
    )
    replies = await _ask_all(
        [home.address for home in located.homes], 'Preview', request
    )
    silent: list[NoReply] = []
    for home, preview in zip(located.homes, replies, strict=True):
        if isinstance(preview, NoReply):
            silent.append(preview)
            if preview.old_build:
                break
            continue
        if not preview.candidates:
            return Problem(
                place='',
                reason=f'no targets: service {located.ask.service} has none '
                f'at home {home.name}',
            )
        return Placement(
            located=located,
            home=home,
            preview=preview,
            silent=tuple(silent),
        )
    return _unanswered(
        f'no home of service {located.ask.service} answers', silent
    )


async def _ask_all(
    addresses: Sequence[str], method: str, msg: Message
) -> list[Any]:
    return await gather(*(_ask(address, method, msg) for address in addresses))


async def _ask(address: str, method: str, msg: Message) -> Any:
    """Call a method of a node; return NoReply if there is no reply."""
    try:
        host, port = split_host_port(address)
    except InvalidAddressError:
        return NoReply(address=address, reason='is not HOST:PORT')
    channel = Channel(host, port)
    try:
        async with timeout(TIMEOUT_S):
            return await getattr(FleetStub(channel), method)(msg)
    except GRPCError as exc:
        if _is_unknown_call(exc):
            return NoReply(address=address, reason=OLD_BUILD, old_build=True)
        return NoReply(address=address, reason=f'fails: {exc.status.name}')
    except TimeoutError:
        return NoReply(
            address=address, reason=f'gives no answer in {TIMEOUT_S:g} s'
        )
    except RPC_ERRORS:
        return NoReply(address=address, reason='cannot be reached')
    finally:
        channel.close()


def _is_unknown_call(exc: GRPCError) -> bool:
    """Return whether a node does not know the method that was called.

    The gRPC library refuses an unknown method without a content type, which
    its client reports as an error of its own.
    """
    return exc.status is Status.UNIMPLEMENTED or (
        exc.status is Status.UNKNOWN
        and exc.message == 'Missing content-type header'
    )


def _first_reply(replies: Iterable[Any]) -> LocateReply | None:
    """Return the first reply, of a node with a configuration if any has."""
    located = [reply for reply in replies if isinstance(reply, LocateReply)]
    located.sort(key=lambda reply: reply.problem == reply.NO_CONFIGURATION)
    return located[0] if located else None


def _unanswered(what: str, replies: Iterable[NoReply]) -> Unanswered:
    asked = ', '.join(map(str, replies)) or 'none is listed'
    return Unanswered(text=f'{what}; asked: {asked}')


def _describe_problem(located: LocateReply, query: LocateRequest) -> str:
    """Return why there is no placement.

    It does not repeat the customer, which might be a key by mistake.
    """
    route = f'has the name {query.route!r}'
    if not query.route:
        path = query.path.partition('?')[0]
        route = f'matches host {query.host!r} and path {path!r}'
    return {
        LocateReply.NO_CONFIGURATION: 'the node has no configuration yet',
        LocateReply.NO_ROUTE: f'no such route: none {route} in version '
        f'{located.version}',
        LocateReply.NO_CUSTOMER: 'no customer has the given name in version '
        f'{located.version}',
        LocateReply.NO_SERVICE: 'the route does not lead to service '
        f'{query.service!r}',
        LocateReply.NO_TARGETS: f'no targets: service {located.ask.service} '
        'has none',
    }[located.problem]


def _node_name(entry: str) -> str:
    """Return the name of the node that an entry is a run of."""
    return entry.rpartition('@')[0]
