"""Headers of requests to targets and of their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from multidict import CIMultiDict

if TYPE_CHECKING:
    from aiohttp import ClientResponse

    from carawaylane.messages.exchange import Request
    from carawaylane.messages.outcomes import Headers

REQUEST_ID_HEADER = 'X-Request-Id'
DEADLINE_HEADER = 'X-Deadline'
# Headers that are not copied when a message is forwarded. Most apply to one
# connection only. Content-Encoding does not apply to request bodies, as the
# entry has decompressed them.
HOP_BY_HOP_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'content-encoding',
        'host',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


def target_headers(req: Request) -> CIMultiDict[str]:
    """Return the headers of a request as it is sent to a target."""
    headers = CIMultiDict(
        (name, value)
        for name, value in req.headers
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
    headers[REQUEST_ID_HEADER] = req.request_id
    headers[DEADLINE_HEADER] = str(req.deadline_ms)
    headers['X-Caller'] = req.caller
    if req.key:
        headers['Idempotency-Key'] = req.key
    if req.trace_parent:
        headers['traceparent'] = req.trace_parent
    return headers


def answer_headers(resp: ClientResponse) -> Headers:
    """Return the headers of an answer that are sent on to the caller."""
    # The client session does not decompress answers.
    # A target may put a space behind a name, which a proxy removes.
    return tuple(
        (name, value)
        for spaced_name, value in resp.headers.items()
        if (name := spaced_name.rstrip()).lower() not in HOP_BY_HOP_HEADERS
        or name.lower() == 'content-encoding'
    )
