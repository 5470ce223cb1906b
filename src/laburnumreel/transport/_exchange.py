"""HTTP exchanges (a request and its answer) on connections to back ends, over http.client."""

import http.client
import re
import socket
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Literal

from laburnumreel.core import Log, StrictResponse
from laburnumreel.transport._answer_work import AnswerWork, CostlyAnswerError
from laburnumreel.transport._events import ANSWER_TOO_COSTLY
from laburnumreel.transport._metrics import COSTLY_ANSWERS, SILENT_CONNECTIONS
from laburnumreel.transport._sockets import (
    BackEndSocket,
    TimeoutHandler,
    await_readable,
    has_peer_shut_down,
    is_readable,
    set_timeout,
)

READ_BYTES = 64 * 1024
# Larger requests are sent with two system calls, because joining head and body copies the body.
MAX_JOINED_BYTES = 64 * 1024
# The last part of a larger request, before which it is checked whether the answer has ended already.
LAST_PART_BYTES = 16 * 1024
# Limit of what may precede the body of an answer: its head, interim answers, and an answer to an
# earlier request. http.client accepts heads of up to 100 lines of 64 KiB; servers send a few KiB.
MAX_HEAD_BYTES = 256 * 1024
# Limit of one read of a body: its bytes, and the chunk size line or the trailers.
MAX_READ_BYTES = 2 * READ_BYTES
# All 1xx status codes. Except 101, they are of interim answers, after which the final answer
# follows on the same connection. 101 is a final one: the connection switches to another protocol.
INTERIM_STATUSES = range(100, 200)
SWITCHING_PROTOCOLS = 101
# Idle connections are reused within this share of the timeout in the `Keep-Alive` header.
IDLE_LIMIT_SHARE = 0.7

# The line end after the data of a chunk, and the size line of the next one.
_NEXT_CHUNK_PATTERN = re.compile(rb"\r\n([0-9A-Fa-f]{1,16})\r\n")
_SECONDS_PATTERN = re.compile(r"[0-9]{1,9}")

Address = tuple[str, int]
FailureReason = Literal["connect_failed", "silent", "lost", "short", "too_long", "too_costly"]

_log = Log("transport.exchange")


class BackEndFailureError(Exception):
    """A failed exchange.

    `sent` is whether a byte of the request may have been sent. The reason `silent` means that no
    byte was received in time, `short` that the answer was truncated, `too_long` that it exceeded its
    limit in bytes or time, and `too_costly` that it had too many parts, such as heads or chunks.
    """

    def __init__(self, reason: FailureReason, detail: str, sent: bool) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.sent = sent


class _Response(StrictResponse):
    """A response whose work is counted.

    It tells whether a part of its chunked body can be read without blocking.
    """

    def __init__(self, sock: BackEndSocket, *arguments: Any, **options: Any) -> None:
        super().__init__(sock, *arguments, **options)
        self._work = sock.answer_work

    def _read_status(self) -> tuple[str, int, str]:
        # http.client reads the heads of answers with status 100 in a loop of its own.
        self._work.count_head()
        return super()._read_status()

    def _read_next_chunk_size(self) -> int:
        size = super()._read_next_chunk_size()
        self._work.count_chunks(1, size, self.chunk_line_bytes)
        return size

    def take_buffered_chunks(self, buffered: bytes) -> bytes:
        """Return the data of all chunks that are whole in the reader's buffered bytes.

        Small chunks that were received together then cost little more than one of their size.
        Other forms of size lines, and the last chunk, are left to the next read.
        """
        parts, at = [], 0
        while found := _NEXT_CHUNK_PATTERN.match(buffered, at):
            begin, size = found.end(), int(found[1], 16)
            if not size or begin + size > len(buffered):
                break
            at = begin + size
            parts.append(buffered[begin:at])
        data = b"".join(parts)
        if at:
            self._work.count_chunks(len(parts), len(data))
            self.fp.read(at)
        return data

    def can_read_chunk(
        self, read_ahead: Callable[[], bytes], has_unread_bytes: Callable[[], bool]
    ) -> bool:
        """Return whether a read would return bytes of a chunk, or the end, without blocking.

        `read_ahead` returns the bytes that the reader has buffered; `has_unread_bytes` is whether
        the socket has more, or the connection has ended. Consumes the line end after a finished
        chunk if bytes are there.
        """
        if self.chunk_left == 0 and (read_ahead() or has_unread_bytes()):
            # The line end after a chunk's data arrives with it; the next chunk may arrive much
            # later.
            try:
                self.read_chunk_end()
            except (OSError, http.client.HTTPException):
                return True
        if self.chunk_left is None and not self.isclosed():
            # Unread bytes may be only a part of the size line; the read then waits for the rest.
            return b"\n" in read_ahead() or has_unread_bytes()
        return self.isclosed() or bool(read_ahead()) or has_unread_bytes()


class _HeaderMap(Mapping[str, str]):
    """Headers by case-insensitive name, with the values of a repeated header joined by commas.

    A head that is joined from those of two answers thus names neither of their requests.
    """

    def __init__(self, headers: Iterable[tuple[str, str]]) -> None:
        self._values: dict[str, str] = {}
        for name, value in headers:
            key = name.lower()
            self._values[key] = f"{self._values[key]}, {value}" if key in self._values else value

    def __getitem__(self, name: str) -> str:
        return self._values[name.lower()]

    def __iter__(self) -> Iterator[str]:
        return iter(self._values)

    def __len__(self) -> int:
        return len(self._values)


class _Connection(http.client.HTTPConnection):
    """A connection that sends the head and the body of a request with one system call.

    http.client uses two, which costs the gateway a system call and the back end a wake-up.
    """

    response_class = _Response
    # Whether the peer had ended its sending before the last request was sent whole.
    has_peer_ended_early = False
    _buffered: list[bytes] | None = None

    def send(self, data: bytes) -> None:
        if self._buffered is None:
            super().send(data)
        else:
            self._buffered.append(data)

    def request_in_one_send(
        self, method: str, target: str, body: bytes | None, headers: dict[str, str]
    ) -> None:
        self._buffered = []
        self.has_peer_ended_early = False
        try:
            self.request(method, target, body, headers)
            pieces = self._buffered
        finally:
            self._buffered = None
        if sum(map(len, pieces)) <= MAX_JOINED_BYTES:
            self.send(b"".join(pieces))
            return
        *first, last = pieces
        rest = memoryview(last)
        for piece in (*first, rest[:-LAST_PART_BYTES]):
            self.send(piece)
        self.has_peer_ended_early = has_peer_shut_down(self.sock)
        self.send(rest[-LAST_PART_BYTES:])


class Exchange:
    """One request and its answer on one connection.

    Only one thread may use an exchange, except for `abort`, which any thread may call.
    """

    def __init__(
        self,
        address: Address,
        connection: _Connection,
        opened_at: float,
        release: Callable[["Exchange"], None],
        reused: bool = False,
    ) -> None:
        self.address = address
        self.opened_at = opened_at
        self.connection = connection
        self._is_reused = reused
        # How long the connection may be idle, derived from the back end's `Keep-Alive` header.
        self.idle_limit_s = float("inf")
        self._release = release
        self._socket = connection.sock
        self._response: _Response | None = None
        self._has_head = False
        self._is_complete = False
        self._is_aborted = False
        self._has_foreign_answer = False
        self._timeout_s = 0.0

    def next_exchange(self) -> "Exchange":
        """Return an exchange for the next request on the same connection."""
        return Exchange(self.address, self.connection, self.opened_at, self._release, reused=True)

    @property
    def is_only_request(self) -> bool:
        """Whether an answer on the connection can only belong to this exchange's request.

        False if the connection carried an earlier request, or an answer that did not belong to
        this one: what is received may then be another answer to the earlier request.
        """
        return not self._is_reused and not self._has_foreign_answer

    @property
    def status(self) -> int:
        return self._response.status

    @property
    def headers(self) -> list[tuple[str, str]]:
        return self._response.getheaders()

    @property
    def header_map(self) -> Mapping[str, str]:
        """The headers of the answer, by case-insensitive name."""
        return _HeaderMap(self.headers)

    def header(self, name: str) -> str | None:
        return self._response.getheader(name)

    @property
    def timeout_s(self) -> float:
        """The timeout for the next byte, in seconds."""
        return self._timeout_s

    @property
    def on_timeout(self) -> TimeoutHandler | None:
        """The callback that may extend a wait that timed out, or None."""
        return self._socket.on_timeout

    @on_timeout.setter
    def on_timeout(self, on_timeout: TimeoutHandler | None) -> None:
        self._socket.on_timeout = on_timeout

    @property
    def has_unread(self) -> bool:
        """Whether the socket has unread bytes, or the connection has ended."""
        return is_readable(self._socket)

    @property
    def can_read_now(self) -> bool:
        """Whether a read would return without blocking, including bytes that were read ahead."""
        response = self._response
        if not self._has_head:
            return self._socket.has_read_ahead() or self.has_unread
        if response.length == 0:
            return True
        if response.chunked:
            return response.can_read_chunk(self._socket.read_ahead, lambda: self.has_unread)
        return self._socket.has_read_ahead() or self.has_unread

    @property
    def complete(self) -> bool:
        """Whether the answer was read to its end."""
        return self._is_complete

    def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout_s: float,
        answers_request: Callable[[int, Mapping[str, str]], bool] | None = None,
    ) -> None:
        """Send the request and read the head of the answer, each within `timeout_s` seconds.

        An answer for which `answers_request` returns False belongs to an earlier request on the
        connection. It is read and dropped, and the connection is not reused. Raises
        BackEndFailureError.
        """
        self.write(method, target, headers, body, timeout_s)
        self.read_head(method, timeout_s, answers_request)

    def write(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout_s: float,
    ) -> None:
        """Send the request. Raises BackEndFailureError."""
        self.set_timeout(timeout_s)
        self._socket.timed_out = False
        self._socket.answer_work = AnswerWork()
        try:
            self.connection.request_in_one_send(method, target, body, headers)
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise self._make_failure("lost", error) from error
        finally:
            # If the peer accepts no byte in time, the send may be extended with another timeout.
            if self._socket.end_wait():
                set_timeout(self._socket, timeout_s)

    def read_head(
        self,
        method: str,
        timeout_s: float,
        answers_request: Callable[[int, Mapping[str, str]], bool] | None = None,
        one_head: bool = False,
    ) -> bool:
        """Read the head of the answer to a request with this method, and return True.

        With `one_head`, at most one head is read, and the result is False if it was an interim one
        or belongs to another request; the next call then reads the next head.
        """
        self.set_timeout(timeout_s)
        self._socket.begin_wait(timeout_s, MAX_HEAD_BYTES)
        try:
            if self._response is None:
                self._response = self.connection.getresponse()
            else:
                self._read_next_head(method)
            while not self._is_final(answers_request):
                if one_head:
                    return False
                self._read_next_head(method)
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise self._make_failure("lost", error) from error
        finally:
            if self._socket.end_wait():
                set_timeout(self._socket, timeout_s)
        self._has_head = True
        return True

    def _is_final(self, answers_request: Callable[[int, Mapping[str, str]], bool] | None) -> bool:
        """Return whether the head is that of the final answer to this request.

        An answer to another request is read and dropped. Interim answers are checked here because
        http.client skips only those with status 100.
        """
        if self.status in INTERIM_STATUSES and self.status != SWITCHING_PROTOCOLS:
            return False
        if answers_request is None or answers_request(self.status, self.header_map):
            return True
        self._has_foreign_answer = True
        if self._response.will_close:
            raise http.client.RemoteDisconnected("the last answer belongs to another request")
        self._response.read()
        return False

    def _read_next_head(self, method: str) -> None:
        """Read the head of the next answer on the connection."""
        self._response.close()
        self._response = self.connection.response_class(self._socket, method=method)
        self._response.begin()

    def set_timeout(self, timeout_s: float) -> None:
        """Set the timeout for the next byte, in seconds."""
        if timeout_s != self._timeout_s:
            self._timeout_s = timeout_s
            set_timeout(self._socket, timeout_s)

    def read(self) -> bytes:
        """Return the next bytes of the answer as soon as some are received, or b"" at its end.

        The timeout covers the whole call, even if trailers or a chunk size line arrive in small
        pieces. Raises BackEndFailureError, also if the exchange was aborted.
        """
        response, timeout_s = self._response, self._timeout_s
        self._socket.begin_wait(timeout_s, MAX_READ_BYTES)
        try:
            data = response.read1(READ_BYTES)
            if data and response.chunked and response.chunk_left == 0:
                data += response.take_buffered_chunks(self._socket.read_ahead())
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise self._make_failure("short", error) from error
        finally:
            if self._socket.end_wait():
                set_timeout(self._socket, timeout_s)
        if not data:
            # For an answer without a length, http.client treats a read that timed out as the end.
            if self._socket.timed_out:
                raise self._make_failure("silent", "no byte came")
            if not response.chunked and response.length:
                missing = f"{response.length} bytes are missing"
                raise self._make_failure("short", missing)
            if not response.has_visible_end and self.connection.has_peer_ended_early:
                raise self._make_failure("short", "the answer ended before its request")
            if self._is_aborted:
                # `abort` ends the connection, as does the end of an answer without a length.
                raise self._make_failure("short", "the exchange was aborted")
            self._is_complete = True
        return data

    def read_whole(self, max_bytes: int, limit_s: float) -> bytes:
        """Return the rest of the answer, which must end within these limits of size and time.

        Raises BackEndFailureError with the reason `too_long` otherwise.
        """
        # Pieces may be as short as one byte; a list of them would take many times the memory.
        body = bytearray()
        self.set_timeout(min(self._timeout_s, limit_s))
        deadline = time.monotonic() + limit_s
        while chunk := self.read():
            body += chunk
            if len(body) > max_bytes or time.monotonic() >= deadline:
                detail = f"the answer did not end within {max_bytes} bytes and {limit_s:.1f} s"
                raise BackEndFailureError("too_long", detail, sent=True)
        return bytes(body)

    def abort(self) -> None:
        """Shut the connection down, which ends a read that runs on another thread."""
        self._is_aborted = True
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The back end has closed the connection already.
            return

    def return_unused(self) -> None:
        """Return the connection to the pool, for an exchange on which nothing was sent.

        A connection that was used before is closed instead, because the time for which it was idle
        is no longer known.
        """
        if self.is_only_request:
            self._release(self)
        else:
            self.discard()

    def close(self) -> None:
        """End the exchange. The connection is reused only if the answer was read to its end."""
        self.on_timeout = None
        is_reusable = self._is_complete and not self._is_aborted and not self._has_foreign_answer
        if is_reusable and not self._response.will_close and not self._socket.has_read_ahead():
            self.idle_limit_s = _idle_limit_s(self._response.getheader("Keep-Alive"))
            self._response.close()
            self._release(self)
            return
        if self._response is not None:
            self._response.close()
        self.discard()

    def discard(self) -> None:
        """Close the connection, whatever its state."""
        self.connection.close()
        self._socket.close_with_reader()

    def make_costly_failure(self, error: CostlyAnswerError) -> BackEndFailureError:
        """Return the failure of an exchange whose answer is too much work, and record it."""
        COSTLY_ANSWERS.inc(unit=error.unit)
        _log.warning(ANSWER_TOO_COSTLY, address="{}:{}".format(*self.address), trouble=str(error))
        return BackEndFailureError("too_costly", str(error), sent=True)

    def _make_failure(self, reason: FailureReason, error: object) -> BackEndFailureError:
        if isinstance(error, CostlyAnswerError):
            return self.make_costly_failure(error)
        # http.client reports a timeout in several ways.
        if self._socket.timed_out and not self._is_aborted:
            SILENT_CONNECTIONS.inc()
            reason = "silent"
        return BackEndFailureError(reason, repr(error), sent=True)


def await_bytes(exchanges: Iterable[Exchange], timeout_s: float) -> None:
    """Wait until one of the connections has bytes or has ended, for at most `timeout_s` seconds."""
    # `_socket` is kept because http.client drops its own reference to the socket of a connection
    # that ends with its answer.
    await_readable((exchange._socket for exchange in exchanges), timeout_s)


def dial(
    address: Address,
    timeout_s: float,
    release: Callable[[Exchange], None],
    options: Iterable[tuple[int, int, int | bytes]] = (),
) -> Exchange:
    """Open a connection and return an exchange on it. Raises BackEndFailureError.

    `release` receives the exchange when its connection can be reused. `options` are set on the
    socket before it connects; each is a level, a name and a value.
    """
    connection = _Connection(*address)
    opened_at = time.monotonic()
    sock = BackEndSocket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    try:
        set_timeout(sock, timeout_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for option in options:
            sock.setsockopt(*option)
        sock.connect_within(address, timeout_s)
    except OSError as error:
        sock.close()
        raise BackEndFailureError("connect_failed", repr(error), sent=False) from error
    connection.sock = sock
    return Exchange(address, connection, opened_at, release)


def _idle_limit_s(keep_alive: str | None) -> float:
    """Return how many seconds a connection may be idle by a `Keep-Alive` header, with a margin.

    >>> _idle_limit_s("timeout=5"), _idle_limit_s(None)
    (3.5, inf)
    """
    for part in (keep_alive or "").split(","):
        name, _, value = part.partition("=")
        if name.strip().lower() == "timeout" and _SECONDS_PATTERN.fullmatch(value.strip()):
            return int(value) * IDLE_LIMIT_SHARE
    return float("inf")
