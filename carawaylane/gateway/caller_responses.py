"""Renders the outcomes of requests as responses to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp.payload import Payload
from aiohttp.web_response import Response
from multidict import CIMultiDict

from carawaylane.gateway.caller_requests import ErrorResponse
from carawaylane.gateway.streamed_answers import BrokenAnswerError
from carawaylane.kernel.sockets import reset_connection
from carawaylane.messages.outcomes import Answered, NotRun, Outcome, Unknown
from carawaylane.platform.headers import retry_after_headers

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from carawaylane.decisions.admission.memory_budget import Holding
    from carawaylane.gateway.streamed_answers import AnswerStream

# A held body is written in pieces of this size, each when the one before has
# left the process, so that the memory budget knows how fast the caller reads
# and the transport holds no copy of the body.
PIECE_BYTES = 32 << 10


class CallerResponse(Response):
    """A response that counts in the memory budget until it is sent."""

    def __init__(
        self,
        *,
        holding: Holding | None,
        stream: AnswerStream | None = None,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._holding = holding
        self._stream = stream

    def start_sending(self, now_s: float) -> None:
        """Record that the response is sent to the caller from now on."""
        if self._holding is not None:
            self._holding.start_sending(now_s)

    def discard(self) -> None:
        """Give back the memory, as the response is sent or not wanted."""
        if self._stream is not None:
            self._stream.discard()
        if self._holding is not None:
            self._holding.release()
        # aiohttp keeps the last response of an idle connection.
        self._body = None


class HeldBody(Payload):
    """A large body that is written as fast as the caller reads."""

    def __init__(
        self,
        *,
        body: bytes,
        stream: AnswerStream | None,
        holding: Holding,
    ) -> None:
        super().__init__(body)
        self._size = stream.length if stream is not None else len(body)
        self._stream = stream
        self._holding = holding

    def decode(self, encoding: str = 'utf-8', errors: str = 'strict') -> str:
        raise TypeError('a body that is streamed can not be decoded')

    async def write(self, writer: Any) -> None:
        """Write the body; one that breaks off breaks the connection."""
        try:
            async for chunk in self._chunks():
                for start in range(0, len(chunk), PIECE_BYTES):
                    piece = chunk[start : start + PIECE_BYTES]
                    await writer.write(piece, drain=False)
                    await writer.drain()
                    self._holding.record_sent(len(piece))
        except BrokenAnswerError:
            reset_connection(writer.transport)
            raise ConnectionResetError('the answer broke off') from None

    async def _chunks(self) -> AsyncIterator[bytes]:
        if self._stream is None:
            yield self._value
            return
        async for chunk in self._stream.chunks():
            yield chunk


def render_outcome(
    outcome: Outcome, holding: Holding | None = None
) -> CallerResponse:
    """Return the response for the outcome of a request."""
    match outcome:
        case Answered():
            return _render_answer(outcome, holding)
        case NotRun():
            error = ErrorResponse(
                status=outcome.status,
                reason=outcome.reason,
                retry_after_s=outcome.retry_after_ms / 1000,
            )
        case Unknown():
            error = ErrorResponse(status=504, reason=outcome.reason)
        case _:
            error = ErrorResponse(
                status=502, reason=getattr(outcome, 'reason', '')
            )
    return render_error(error, holding)


def _render_answer(
    outcome: Answered, holding: Holding | None
) -> CallerResponse:
    body: bytes | HeldBody = outcome.body
    if holding is not None and (
        outcome.stream is not None or len(outcome.body) > PIECE_BYTES
    ):
        body = HeldBody(
            body=outcome.body, stream=outcome.stream, holding=holding
        )
    response = CallerResponse(
        holding=holding,
        stream=outcome.stream,
        status=outcome.status,
        headers=CIMultiDict(outcome.headers),
        body=body,
    )
    if outcome.stream is not None and outcome.stream.length is None:
        response.enable_chunked_encoding()
    return response


def render_error(
    error: ErrorResponse, holding: Holding | None = None
) -> CallerResponse:
    """Return the response for an error of the node itself."""
    headers: dict[str, str] = {}
    if error.retry_after_s > 0:
        headers = retry_after_headers(error.retry_after_s)
    return CallerResponse(
        holding=holding,
        status=error.status,
        text=error.reason,
        headers=headers,
    )
