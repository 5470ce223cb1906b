"""Parsing of callers' requests, and the answers to malformed ones."""

import re
from collections.abc import Callable
from typing import Any

from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.task import ErrorTask
from waitress.utilities import (
    InternalServerError,
    RequestEntityTooLarge,
    RequestHeaderFieldsTooLarge,
)

from laburnumreel.core import RequestMemory, SystemClock
from laburnumreel.protocol import new_request_id, refusal_answer
from laburnumreel.state import ErrorKind, Refusal
from laburnumreel.transport._chunked_body import ChunkedBody
from laburnumreel.transport._request_body import RequestBody

# How much of a request that is too large is read and discarded before the connection is closed.
# Otherwise, a caller that is still sending would see a reset instead of the answer.
DISCARD_LIMIT_BYTES = 16 * 1024 * 1024

_BLANK_LINE = b"\r\n\r\n"
_FOLD = re.compile(rb"\r\n[ \t]+")
_BLANKS_BEFORE_VALUE = re.compile(rb"(\r\n[^:\r\n]*:)[ \t]{2,}")

_clock = SystemClock()


class _RequestLimits:
    """The limits of one request: those at its start, or larger ones that were set since."""

    def __init__(self, adj: Adjustments) -> None:
        self._adj = adj
        self._header_bytes = adj.max_request_header_size
        self._body_bytes = adj.max_request_body_size

    def __getattr__(self, name: str) -> Any:
        return getattr(self._adj, name)

    @property
    def max_request_header_size(self) -> int:
        return max(self._header_bytes, self._adj.max_request_header_size)

    @property
    def max_request_body_size(self) -> int:
        return max(self._body_bytes, self._adj.max_request_body_size)


class RequestParser(HTTPRequestParser):
    """A request parser that discards the rest of a request that is too large, within a limit.

    `read_at` is the time when the request was fully read, in seconds of `SystemClock`. `is_last`
    is whether no further request can follow on the connection: because the caller asked to close
    it, or because the end of this request is not known. `on_read` is called when the request was
    fully read. `memory` is that of all requests: a body that does not fit is read and dropped, and
    its request has a `refusal`.
    """

    def __init__(
        self,
        adj: Adjustments,
        on_read: Callable[[], None] = lambda: None,
        memory: RequestMemory | None = None,
    ) -> None:
        super().__init__(_RequestLimits(adj))
        self._on_read = on_read
        self._memory = memory
        self._body: RequestBody | None = None
        self.refusal: Refusal | None = None
        self.read_at: float | None = None
        # The part of the head that has been received, until the blank line.
        self._head = bytearray()
        self._head_bytes = 0
        self._discard_bytes = 0
        self._discard_to_blank_line = False
        self._last_bytes = b""
        self._is_end_known = False
        # Whether the blank line after the head was received.
        self._is_end_seen = False

    @property
    def is_last(self) -> bool:
        # An internal error occurs only after the request was fully read.
        was_parsed = self.error is None or isinstance(self.error, InternalServerError)
        return self.connection_close or not (was_parsed or self._is_end_known)

    @property
    def kept_bytes(self) -> int:
        """The bytes of the head, as far as it was received, and of unfinished framing."""
        is_chunked = isinstance(self.body_rcv, ChunkedBody)
        framing_bytes = self.body_rcv.kept_bytes if is_chunked else 0
        return self._head_bytes + len(self._head) + framing_bytes

    @property
    def body_parts(self) -> int:
        """The number of parts of a chunked body that were decoded."""
        return self.body_rcv.parts if isinstance(self.body_rcv, ChunkedBody) else 0

    @property
    def awaited_bytes(self) -> int:
        """The size of the body that is being received, as far as memory is held for it."""
        return self._body.held_bytes if self._body is not None else 0

    def parse_header(self, header_plus: bytes) -> None:
        # waitress' patterns take the square of a run of blanks before a malformed value.
        header_plus = _BLANKS_BEFORE_VALUE.sub(rb"\1 ", _FOLD.sub(b" ", header_plus))
        try:
            super().parse_header(header_plus)
        except ValueError as error:
            # Such as a bracket that is not closed, on which waitress drops the connection.
            raise ParsingError("Bad URI") from error
        if self.body_rcv is None:
            return
        self._body = RequestBody(self._memory, self._declared_size)
        if self.chunked:
            self.body_rcv = ChunkedBody(self._body)
        else:
            self.body_rcv.buf = self._body

    @property
    def _declared_size(self) -> int:
        """The length of the body by the head, or 0 if it is unknown or over the limit."""
        return self.content_length if self.content_length < self.adj.max_request_body_size else 0

    def __del__(self) -> None:
        # The connection may end before the request is fully read, or without an answer.
        if self._body is not None:
            self._body.close()

    def received(self, data: bytes) -> int:
        consumed = self._receive(data)
        if self.completed and not self.empty:
            self._on_read()
        return consumed

    def _receive(self, data: bytes) -> int:
        if self._discard_bytes or self._discard_to_blank_line:
            return self._discard(data)
        consumed = super().received(data) if self.headers_finished else self._receive_head(data)
        if self.expect_continue and self._body is not None and self._body.is_dropped:
            # The caller sends no body before it is told to.
            self.completed = self.connection_close = True
        if not self.completed:
            return consumed
        self.read_at = _clock.now()
        if self._body is not None:
            self._body.finish()
            if self._body.is_dropped and self.error is None:
                size = max(len(self._body), self._declared_size)
                retry_after_s = self._memory.retry_after_s(size)
                self.refusal = Refusal(ErrorKind.MEMORY_FULL, retry_after_s=retry_after_s)
        # The request is complete, so that no `100 Continue` must be sent any more.
        expects_continue, self.expect_continue = self.expect_continue, False
        if isinstance(self.error, RequestHeaderFieldsTooLarge):
            # A head is too long before its blank line was found, or else the trailers are.
            if self.headers_finished or not self._is_end_seen:
                self._discard_to_blank_line = True
                self._discard_bytes = DISCARD_LIMIT_BYTES
                # The blank line may be split: these may be the first three of its four bytes.
                self._last_bytes = data[max(0, consumed - 3) : consumed]
                self.completed = False
                return consumed + self._discard(data[consumed:])
        elif isinstance(self.error, RequestEntityTooLarge) and self.content_length:
            # `consumed` ends at the header. A caller that waits for `100 Continue` and has sent
            # nothing of the body may never send it.
            received_size = len(data) - consumed
            remaining = self.content_length - received_size
            if remaining <= 0:
                self._is_end_known = True
                consumed += self.content_length
            elif remaining <= DISCARD_LIMIT_BYTES and (received_size or not expects_continue):
                self._discard_bytes = remaining
                self.completed = False
                return len(data)
        return len(data) if self.is_last else consumed

    def _receive_head(self, data: bytes) -> int:
        """Collect the head, and have waitress parse it when it is complete or too long.

        waitress would search all of what it has again with each part that arrives.
        """
        skipped = 0
        if not self._head:
            # Blank lines before a request are ignored.
            skipped = len(data) - len(data.lstrip(b"\r\n"))
            if skipped == len(data):
                self.empty = self.completed = True
                return skipped
        searched = max(0, len(self._head) - len(_BLANK_LINE) + 1)
        size = len(self._head)
        self._head += data[skipped:]
        found = self._head.find(_BLANK_LINE, searched)
        self._is_end_seen = found >= 0
        if self._is_end_seen:
            del self._head[found + len(_BLANK_LINE) :]
        elif len(self._head) < self.adj.max_request_header_size:
            return len(data)
        head, self._head = bytes(self._head), bytearray()
        self._head_bytes = len(head)
        super().received(head)
        return skipped + len(head) - size

    def _discard(self, data: bytes) -> int:
        if self._discard_to_blank_line:
            self._discard_bytes = max(0, self._discard_bytes - len(data))
            has_blank_line = _BLANK_LINE in self._last_bytes + data
            self._last_bytes = (self._last_bytes + data)[-3:]
            self.completed = has_blank_line or not self._discard_bytes
            return len(data)
        consumed = min(len(data), self._discard_bytes)
        self._discard_bytes -= consumed
        self.completed = self._is_end_known = not self._discard_bytes
        return len(data) if self.completed and self.is_last else consumed


class RefusalTask(ErrorTask):
    """Answers a request that waitress can't parse, with a documented error kind."""

    def execute(self) -> None:
        error = self.request.error
        detail = getattr(error, "body", "")
        if isinstance(error, RequestEntityTooLarge):
            refusal = Refusal(ErrorKind.BODY_TOO_LARGE)
        elif isinstance(error, RequestHeaderFieldsTooLarge):
            refusal = Refusal(ErrorKind.HEADER_TOO_LARGE)
        elif getattr(error, "code", 500) == 500:
            refusal = Refusal(ErrorKind.INTERNAL)
        else:
            refusal = Refusal(ErrorKind.BAD_REQUEST, detail)
        answer = refusal_answer(refusal, new_request_id())
        self.status = answer.status
        self.response_headers.extend(answer.headers)
        if self.request.is_last or not self.channel.has_next_request:
            self.set_close_on_finish()
        self.content_length = len(answer.body)
        self.write(answer.body)
