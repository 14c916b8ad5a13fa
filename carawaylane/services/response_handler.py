"""Protocol of a connection to a target that bounds what the target sends.

aiohttp bounds a header line and what is buffered of a body, but neither the
interim answers before an answer nor what follows it.
"""

from __future__ import annotations

from typing import Any

from aiohttp import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import EMPTY_BODY_STATUS_CODES

# Bytes until the end of the head of an answer, with the interim answers before
# it. Servers and proxies limit a head to 8 to 64 KB.
MAX_HEAD_BYTES = 128 << 10
MAX_INTERIM_ANSWERS = 16
# Received data is parsed in parts of this size, since a part may hold hundreds
# of messages, and the bounds are checked after each one.
PART_BYTES = 8192


class BoundedResponseHandler(ResponseHandler):
    """Closes a connection on which a target sends more than one answer.

    Bytes after an answer belong to no request, so they are not parsed.
    `body_bytes` are those received of a body, with the framing of its chunks.
    """

    def __init__(self, loop: Any) -> None:
        super().__init__(loop)
        self.body_bytes = 0
        self._head_bytes = 0
        self._interim_answers = 0
        self._head_complete = False
        # Bytes that are left of a body with a length.
        self._body_bytes_left: int | None = None

    def set_response_params(self, **params: Any) -> None:
        """Expect the answer to a request."""
        self.body_bytes = 0
        self._head_bytes = 0
        self._interim_answers = 0
        self._head_complete = False
        self._body_bytes_left = None
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take a parsed head, with the reader of its body."""
        message, _ = data
        if 100 <= message.code < 200 and message.code != 101:
            self._interim_answers += 1
        else:
            self._head_complete = True
            self._body_bytes_left = self._body_length(message)
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received data as far as it belongs to an answer."""
        if not data or self._upgraded:
            super().data_received(data)
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
            if not self._head_complete and self._head_too_long():
                self.set_exception(ClientPayloadError('the head is too long'))
                self._close()

    def _next_part(self, data: bytes, start: int) -> bytes:
        """Return the data to parse next: a line of a head, part of a body."""
        end = start + PART_BYTES
        if not self._head_complete:
            line_end = data.find(b'\n', start, end)
            part = data[start : line_end + 1 if line_end >= 0 else end]
            self._head_bytes += len(part)
            return part
        part = data[start:end]
        if self._body_bytes_left is not None:
            part = part[: self._body_bytes_left]
            self._body_bytes_left -= len(part)
        self.body_bytes += len(part)
        return part

    def _head_too_long(self) -> bool:
        return (
            self._head_bytes > MAX_HEAD_BYTES
            or self._interim_answers > MAX_INTERIM_ANSWERS
        )

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
        text = message.headers.get('Content-Length', '')
        return int(text) if text.isdecimal() else None

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
