"""One request and its answer on one connection, over http.client."""

import http.client
import re
import socket
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Literal

from laburnumreel.transport._metrics import SILENT_CONNECTIONS
from laburnumreel.transport._sockets import (
    BackEndSocket,
    TimeoutHandler,
    await_readable,
    is_readable,
    set_timeout,
)

READ_BYTES = 64 * 1024
# What may come before the body of an answer: its head, interim answers, and an answer to an earlier
# request. http.client takes heads of up to 100 lines of 64 KiB; servers send a few KiB.
MAX_HEAD_BYTES = 256 * 1024
# What one read of a body may receive: its bytes, and the line of a chunk or the trailers.
MAX_READ_BYTES = 2 * READ_BYTES
# Status codes of interim answers, which the answer proper follows on the same connection. 101 is
# none: the connection is another protocol's from there on.
INTERIM_STATUSES = range(100, 200)
SWITCHING_PROTOCOLS = 101
# A connection is used for this share of the time for which the back end says it keeps it.
IDLE_LIMIT_SHARE = 0.7

# The line of a chunk, with its extensions.
MAX_CHUNK_LINE_BYTES = 64 * 1024

_SECONDS_PATTERN = re.compile(r"[0-9]{1,9}")
_CHUNK_LENGTH_PATTERN = re.compile(rb"[0-9A-Fa-f]{1,16}")

Address = tuple[str, int]
FailureReason = Literal["connect_failed", "silent", "lost", "short", "too_long"]


class BackEndFailureError(Exception):
    """An exchange that did not end well.

    `sent` is whether a byte of the request may have left. `silent` means that no byte came in
    time, `short` that the answer ended before its end, `too_long` that it did not end where it had to.
    """

    def __init__(self, reason: FailureReason, detail: str, sent: bool) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.sent = sent


class _Response(http.client.HTTPResponse):
    """Takes only digits for the length of a chunk; http.client takes all that `int` does."""

    def _read_next_chunk_size(self) -> int:
        line = self.fp.readline(MAX_CHUNK_LINE_BYTES)
        length = line.partition(b";")[0].strip(b" \t\r\n")
        if not line.endswith(b"\n") or not _CHUNK_LENGTH_PATTERN.fullmatch(length):
            raise ValueError(f"no length of a chunk: {line[:40]!r}")
        return int(length, 16)

    def can_read_chunk(
        self, read_ahead: Callable[[], bytes], has_unread_bytes: Callable[[], bool]
    ) -> bool:
        """Return whether a read would find bytes of a chunk, or the last chunk, without a wait."""
        if self.chunk_left == 0 and (read_ahead() or has_unread_bytes()):
            # The line end of the last chunk comes with it; the next chunk may come much later.
            try:
                self._safe_read(2)
            except (OSError, http.client.HTTPException):
                return True
            self.chunk_left = None
        if self.chunk_left is None and not self.isclosed():
            return b"\n" in read_ahead() or has_unread_bytes()
        return self.isclosed() or bool(read_ahead()) or has_unread_bytes()


class _Connection(http.client.HTTPConnection):
    """Sends the head and the body of a request in one piece.

    http.client sends two, which costs the gateway a system call and the back end a wake-up.
    """

    response_class = _Response
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
        try:
            self.request(method, target, body, headers)
            request_bytes = b"".join(self._buffered)
        finally:
            self._buffered = None
        self.send(request_bytes)


class Exchange:
    """One request and its answer on one connection.

    It belongs to one thread, but for `abort`, which any thread may call.
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
        # How long the back end keeps the connection when it is idle, by its own word.
        self.idle_limit_s = float("inf")
        self._release = release
        self._socket = connection.sock
        self._response: http.client.HTTPResponse | None = None
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
        """Whether what comes on the connection can only answer this exchange's request.

        After an earlier request, or an answer to one, it may be another answer to that.
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
        """The headers by name, in any case."""
        return self._response.headers

    def header(self, name: str) -> str | None:
        return self._response.getheader(name)

    @property
    def timeout_s(self) -> float:
        """The longest wait for the next byte, in seconds."""
        return self._timeout_s

    @property
    def on_timeout(self) -> TimeoutHandler | None:
        """What is asked when no byte has come in time; None where the wait ends then."""
        return self._socket.on_timeout

    @on_timeout.setter
    def on_timeout(self, on_timeout: TimeoutHandler | None) -> None:
        self._socket.on_timeout = on_timeout

    @property
    def has_unread(self) -> bool:
        """Whether bytes have come, or the end of the connection, that are not read yet."""
        return is_readable(self._socket)

    @property
    def can_read_now(self) -> bool:
        """Whether a read would return at once: with bytes, also such as were read ahead, or an end."""
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
        """Whether the whole answer was read."""
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
        """Send the request and read the answer's head, all of it within `timeout_s`.

        An answer for which `answers_request` is false belongs to an earlier request on the connection. It
        is read and dropped, and the connection is not used again.
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
        """Send the request."""
        self.set_timeout(timeout_s)
        self._socket.timed_out = False
        try:
            self.connection.request_in_one_send(method, target, body, headers)
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise self._make_failure("lost", error) from error
        finally:
            if self._socket.end_wait():
                set_timeout(self._socket, timeout_s)

    def read_head(
        self,
        method: str,
        timeout_s: float,
        answers_request: Callable[[int, Mapping[str, str]], bool] | None = None,
        one_head: bool = False,
    ) -> bool:
        """Read the head of the answer to a request with a method.

        With `one_head`, return False after a head that the answer's own has to follow; the next call
        reads on.
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
        """Return whether the head is the answer's own; an answer to another request is dropped.

        http.client passes over interim answers with status 100 only.
        """
        if self.status in INTERIM_STATUSES and self.status != SWITCHING_PROTOCOLS:
            return False
        if answers_request is None or answers_request(self.status, self._response.headers):
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
        """Set the longest wait for the next byte."""
        if timeout_s != self._timeout_s:
            self._timeout_s = timeout_s
            set_timeout(self._socket, timeout_s)

    def read(self) -> bytes:
        """Return the next bytes of the answer as soon as there are some; none at its end.

        The timeout holds for all of it, also where trailers or the line of a chunk come bit by bit.
        """
        response, timeout_s = self._response, self._timeout_s
        self._socket.begin_wait(timeout_s, MAX_READ_BYTES)
        try:
            data = response.read1(READ_BYTES)
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise self._make_failure("short", error) from error
        finally:
            if self._socket.end_wait():
                set_timeout(self._socket, timeout_s)
        if not data:
            # http.client takes a read that timed out for the end of an answer without a length.
            if self._socket.timed_out:
                raise self._make_failure("silent", "no byte came")
            if not response.chunked and response.length:
                missing = f"{response.length} bytes are missing"
                raise self._make_failure("short", missing)
            self._is_complete = not self._is_aborted
        return data

    def read_whole(self, max_bytes: int, limit_s: float) -> bytes:
        """Return the rest of the answer, which must end within the bounds."""
        # Pieces may be as short as a byte, so that a list of them would be many times as large.
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
        """Shut the connection down, which ends a read on another thread."""
        self._is_aborted = True
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # Already closed by the back end.
            return

    def return_unused(self) -> None:
        """Give the connection of an exchange back on which nothing was sent.

        One that was used before is closed: how long it was idle is not known any more.
        """
        if self.is_only_request:
            self._release(self)
        else:
            self.discard()

    def close(self) -> None:
        """End the exchange. Only a connection whose whole answer was read is used again."""
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
        """Close the connection, whatever state it is in."""
        self.connection.close()
        self._socket.close_with_reader()

    def _make_failure(self, reason: FailureReason, error: object) -> BackEndFailureError:
        # http.client reports a wait that ended without a byte in several ways.
        if self._socket.timed_out and not self._is_aborted:
            SILENT_CONNECTIONS.inc()
            reason = "silent"
        return BackEndFailureError(reason, repr(error), sent=True)


def await_bytes(exchanges: Iterable[Exchange], timeout_s: float) -> None:
    """Wait until bytes, or the end, have come on the connection of some exchange, at most so long."""
    # http.client forgets the socket of a connection that ends with its answer.
    await_readable((exchange._socket for exchange in exchanges), timeout_s)


def dial(
    address: Address,
    timeout_s: float,
    release: Callable[[Exchange], None],
    options: Iterable[tuple[int, int, int | bytes]] = (),
) -> Exchange:
    """Return an exchange on a new connection, which goes to `release` when it can be used again.

    `options` are set on its socket first, each a level, a name and a value.
    """
    connection = _Connection(*address)
    opened_at = time.monotonic()
    sock = BackEndSocket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    try:
        set_timeout(sock, timeout_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for option in options:
            sock.setsockopt(*option)
        sock.connect(address)
    except OSError as error:
        sock.close()
        raise BackEndFailureError("connect_failed", repr(error), sent=False) from error
    connection.sock = sock
    return Exchange(address, connection, opened_at, release)


def _idle_limit_s(keep_alive: str | None) -> float:
    """Return how long a connection may be idle by a `Keep-Alive` header, with a margin.

    >>> _idle_limit_s("timeout=5"), _idle_limit_s(None)
    (3.5, inf)
    """
    for part in (keep_alive or "").split(","):
        name, _, value = part.partition("=")
        if name.strip().lower() == "timeout" and _SECONDS_PATTERN.fullmatch(value.strip()):
            return int(value) * IDLE_LIMIT_SHARE
    return float("inf")
