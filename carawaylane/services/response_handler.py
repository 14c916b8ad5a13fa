"""Protocol of a connection to a target that bounds what the target sends.

aiohttp bounds a header line and what is buffered of a body, but neither the
interim answers before an answer nor what follows it. It also takes a body
without a length for complete if the connection is reset.
"""

from __future__ import annotations

from re import compile as re_compile
from typing import TYPE_CHECKING, Any

from aiohttp import ClientError, ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import EMPTY_BODY_STATUS_CODES

from carawaylane.messages.outcomes import FINAL_STATUSES

if TYPE_CHECKING:
    from collections.abc import Callable

# Bytes until the end of the head of an answer, with the interim answers before
# it. Servers and proxies limit a head to 8 to 64 KB.
MAX_HEAD_BYTES = 128 << 10
MAX_INTERIM_ANSWERS = 16
# aiohttp takes some longer bodies for empty.
MAX_BODY_BYTES = (1 << 63) - 1
# Answers to other requests before an answer, and the bytes of their bodies.
MAX_SKIPPED_ANSWERS = 16
MAX_SKIPPED_BYTES = 128 << 10
# A value of a header holds none of these; a tab is allowed (RFC 9110, 5.5).
_CONTROL_CHARACTER = re_compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
SWITCHING_PROTOCOLS = 101
# Bytes of a chunked body without data in between: chunk sizes with their
# extensions, and trailers.
MAX_FRAMING_BYTES = 32 << 10
# Lines of heads, each of which takes a call of the parser.
MAX_LINES = 8192
# Received data is parsed in parts of this size, since a part may hold hundreds
# of messages, and the bounds are checked after each one.
PART_BYTES = 8192


class BoundedResponseHandler(ResponseHandler):
    """Closes a connection on which a target sends more than one answer.

    Bytes after an answer belong to no request, so they are not parsed.
    `body_bytes` are those received of a body, with the framing of its chunks.
    `skipped_answers` are those to other requests that came before the answer,
    `skipped_bytes` those of their bodies.
    """

    def __init__(self, loop: Any) -> None:
        super().__init__(loop)
        self.body_bytes = 0
        self._head_bytes = 0
        self._interim_answers = 0
        self._head_complete = False
        # Bytes that are left of a body with a length.
        self._body_bytes_left: int | None = None
        # What has been parsed of a body without one, and the bytes received
        # until then.
        self._parsed_bytes = 0
        self._received_bytes = 0
        self._is_foreign: Callable[[Any], bool] | None = None
        self.skipped_answers = 0
        self.skipped_bytes = 0
        # Lines that were parsed one by one since the request.
        self._lines = 0
        # Whether the answer that is being received is skipped.
        self._is_skipping = False

    def set_response_params(self, **params: Any) -> None:
        """Expect the answer to a request."""
        self._expect_head()
        self._is_foreign = None
        self.skipped_answers = 0
        self.skipped_bytes = 0
        self._lines = 0
        super().set_response_params(**params)

    def _expect_head(self) -> None:
        self.body_bytes = 0
        self._head_bytes = 0
        self._interim_answers = 0
        self._head_complete = False
        self._body_bytes_left = None
        self._parsed_bytes = 0
        self._received_bytes = 0
        self._is_skipping = False

    def skip_answers(self, is_foreign: Callable[[Any], bool] | None) -> None:
        """Skip answers that belong to other requests, by their heads.

        A target may send an answer again, where the next one is due. It is
        skipped only if it tells its length and ends with the received data.
        Otherwise, behind a copy that breaks off, a part of an answer could
        be read as an answer.
        """
        self._is_foreign = is_foreign

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take a parsed head, with the reader of its body."""
        message, _ = data
        if message.code == SWITCHING_PROTOCOLS:
            # No request asks for another protocol.
            self._fail('a switch of protocols')
            return
        if 100 <= message.code < 200:
            self._interim_answers += 1
            super().feed_data(data, size)
            return
        self._head_complete = True
        self._body_bytes_left = self._body_length(message)
        if not _can_be_sent_on(message):
            self._fail('a malformed head')
            return
        if not self._has_clear_end(message):
            self._fail('an answer without a clear end')
            return
        if (
            self._is_foreign is None
            or not self._is_foreign(message)
            or self._skip_payload
            or self._body_bytes_left is None
        ):
            super().feed_data(data, size)
            return
        self.skipped_answers += 1
        self.skipped_bytes += self._body_bytes_left
        self._is_skipping = True

    async def drain(self) -> None:
        """Wait until most of what was written has left; OSError if cut."""
        await self._drain_helper()

    def data_received(self, data: bytes) -> None:
        """Parse received data as far as it belongs to an answer."""
        if not data:
            super().data_received(data)
            return
        if self._parser is None:
            # Nothing has been asked yet.
            self.force_close()
            self._close()
            return
        start = 0
        while start < len(data) and self.is_connected():
            if self._answer_complete():
                self.force_close()
                self._close()
                return
            part = self._next_part(data, start)
            start += len(part)
            super().data_received(part)
            if self._lines > MAX_LINES:
                self._fail('too many lines')
            elif not self._head_complete:
                if self._head_too_long():
                    self._fail('the head is too long')
            elif self._body_bytes_left is None and self._framing_too_long():
                self._fail('the framing of a body is too long')
            if self._is_skipping:
                self._skip(is_last=start == len(data))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body that is cut off by a reset, with or without a length."""
        if exc is not None:
            self._fail_body(exc)
        else:
            self._parse_rest()
        super().connection_lost(exc)

    def _parse_rest(self) -> None:
        """Parse what has arrived of a body, as nothing will resume it.

        The parser of aiohttp rests once many chunks are unread, and may do so
        again after they have been read.
        """
        payload = self._payload
        if payload is None or payload.is_eof() or self._parser is None:
            return
        # It is in memory already, and is parsed at once.
        payload._high_water = payload._high_water_chunks = MAX_BODY_BYTES
        parsed_bytes = -1
        while (
            payload.total_bytes > parsed_bytes
            and not payload.is_eof()
            and not payload.exception()
        ):
            parsed_bytes = payload.total_bytes
            super().data_received(b'')

    def set_exception(self, exc: BaseException, *args: Any) -> None:
        """Fail the body that is being received, too.

        aiohttp wakes nobody who reads a body that can't be parsed further.
        """
        super().set_exception(exc, *args)
        self._fail_body(exc)

    def _fail_body(self, exc: BaseException) -> None:
        payload = self._payload
        if payload is None or payload.is_eof() or payload.exception():
            return
        if not isinstance(exc, (ClientError, OSError)):
            exc = ClientPayloadError(repr(exc))
        payload.set_exception(exc)

    def _next_part(self, data: bytes, start: int) -> bytes:
        """Return the data to parse next: a line of a head, part of a body."""
        end = start + PART_BYTES
        if not self._head_complete:
            part = self._first_line(data, start, end)
            self._head_bytes += len(part)
            return part
        part = data[start:end]
        if self._body_bytes_left is not None:
            part = part[: self._body_bytes_left]
            self._body_bytes_left -= len(part)
        self.body_bytes += len(part)
        return part

    def _first_line(self, data: bytes, start: int, end: int) -> bytes:
        """Return a part of some data as far as its first line end."""
        line_end = data.find(b'\n', start, end)
        if line_end < 0:
            return data[start:end]
        self._lines += 1
        return data[start : line_end + 1]

    def _skip(self, *, is_last: bool) -> None:
        """Drop what has arrived of an answer to another request."""
        if not self.is_connected():
            return
        if (
            self.skipped_answers > MAX_SKIPPED_ANSWERS
            or self.skipped_bytes > MAX_SKIPPED_BYTES
        ):
            self._fail('too many answers to other requests')
            return
        if self._payload is not None:
            self._payload.read_nowait()
        if not self._answer_complete():
            return
        if not is_last:
            self._fail('an answer to another request has no clear end')
            return
        self._payload = None
        self._expect_head()

    def _head_too_long(self) -> bool:
        return (
            self._head_bytes > MAX_HEAD_BYTES
            or self._interim_answers > MAX_INTERIM_ANSWERS
        )

    def _framing_too_long(self) -> bool:
        payload = self._payload
        if payload is None or self._reading_paused:
            # While the reader rests, what arrives is not parsed.
            return False
        if payload.total_bytes != self._parsed_bytes:
            self._parsed_bytes = payload.total_bytes
            self._received_bytes = self.body_bytes
        return self.body_bytes - self._received_bytes > MAX_FRAMING_BYTES

    def _answer_complete(self) -> bool:
        if not self._head_complete:
            return False
        return self._body_bytes_left == 0 or (
            self._payload is not None and self._payload.is_eof()
        )

    def _body_length(self, message: Any) -> int | None:
        """Return the length of a body, None if it is not known before."""
        if self._skip_payload or message.code in EMPTY_BODY_STATUS_CODES:
            return 0
        if message.chunked:
            return None
        return content_length(message)

    def _has_clear_end(self, message: Any) -> bool:
        """Return whether the framing of an answer is one that is understood.

        With another coding than chunks, the body is not what was received.
        """
        if self._body_bytes_left is not None:
            return self._body_bytes_left <= MAX_BODY_BYTES
        codings = message.headers.getall('Transfer-Encoding', None)
        return codings is None or (
            len(codings) == 1 and codings[0].lower() == 'chunked'
        )

    def _fail(self, reason: str) -> None:
        self.set_exception(ClientPayloadError(reason))
        self._close()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


def _can_be_sent_on(message: Any) -> bool:
    """Return whether the status and the headers are ones of HTTP."""
    return message.code in FINAL_STATUSES and not any(
        _CONTROL_CHARACTER.search(value) for _, value in message.raw_headers
    )


def content_length(message: Any) -> int | None:
    """Return the length that an answer states for its body, if any."""
    text = message.headers.get('Content-Length', '')
    # The parser lets thousands of zeros pass, which `int` does not convert.
    return int(text.lstrip('0') or '0') if text.isdecimal() else None
