"""Sockets to back ends, whose reader serves all answers and whose waits have an end.

A wait is bounded in time and in bytes: a server in trouble may send bytes that are no answer until
its caller closes.
"""

import io
import select
import socket
import struct
import time
from collections.abc import Callable, Iterable
from typing import Any

# Decides, when what is awaited has not come in time, for how many more seconds to wait, or that the
# wait ends. The argument is whether bytes came meanwhile.
TimeoutHandler = Callable[[bool], float | None]

MIN_TIMEOUT_S = 0.001
# On, for 0 seconds: closing resets the connection and drops what was not sent yet.
LINGER_RESET = struct.pack("ii", 1, 0)
# Off: what was not sent yet is sent after closing.
LINGER_DEFAULT = struct.pack("ii", 0, 0)


class TooManyBytesError(OSError):
    """More bytes came than the awaited part of an answer may have."""


class TruncatedLineError(ConnectionError):
    """The connection ended, or its time, in the middle of a line."""


class _PersistentReader:
    """The buffered reader of a connection, which outlives each answer.

    http.client closes its reader with an answer and would lose the bytes read ahead: those of an
    answer to another request that came first.
    """

    def __init__(self, reader: io.BufferedReader) -> None:
        self._reader = reader

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reader, name)

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line with its end, or as many bytes of it as the limit allows.

        http.client takes the end of a connection for the end of a head, and a beginning of a line
        for the whole.
        """
        line = self._reader.readline(limit)
        if not line.endswith(b"\n") and len(line) != limit:
            raise TruncatedLineError(f"the connection ended in a line, after {line[-40:]!r}")
        return line

    def close(self) -> None:
        """Keep the reader open for the next answer."""

    def close_reader(self) -> None:
        self._reader.close()


class _BoundedIO(socket.SocketIO):
    """The raw reader of a socket whose waits have an end, however many bytes come meanwhile."""

    def readinto(self, buffer: Any) -> int | None:
        if self._sock.buffered_only:
            return None
        self._sock.limit_next_receive()
        received = super().readinto(buffer)
        while received is None and self._sock.extend_wait(received_any=False):
            received = super().readinto(buffer)
        self._sock.count_received(received)
        if received is None:
            # http.client would take it for the end of a head, or read on.
            raise TimeoutError("no byte came in time")
        return received


class BackEndSocket(socket.socket):
    """A socket whose reader is shared by all answers on it.

    `on_timeout`, where it is set, is asked whenever no byte has come in time; what was read so far of
    an answer stays valid while it prolongs the wait. `timed_out` is whether the last wait ended
    without a byte that had to come.
    """

    on_timeout: TimeoutHandler | None = None
    timed_out = False
    # While set, the reader gives what it has read ahead and receives nothing.
    buffered_only = False
    _shared_reader: _PersistentReader | None = None
    _wait_deadline: float | None = None
    _remaining_bytes = 0
    _has_received = False
    _is_timeout_changed = False
    _has_given_up = False

    def makefile(self, *arguments: Any, **options: Any) -> Any:
        if self._shared_reader is None:
            self._io_refs += 1
            self._shared_reader = _PersistentReader(io.BufferedReader(_BoundedIO(self, "r")))
        return self._shared_reader

    def begin_wait(self, timeout_s: float, max_bytes: int) -> None:
        """Bound all that is received from now on, not only the time between two pieces."""
        self._wait_deadline = time.monotonic() + timeout_s
        self._remaining_bytes = max_bytes
        self._has_received = self._is_timeout_changed = self._has_given_up = self.timed_out = False

    def end_wait(self) -> bool:
        """Bound only single receptions again; return whether their timeout was changed."""
        self._wait_deadline = None
        return self._is_timeout_changed

    def limit_next_receive(self) -> None:
        """Leave the next reception what the earlier ones of the same wait have left."""
        if self._wait_deadline is None:
            return
        if self._remaining_bytes <= 0:
            raise TooManyBytesError("more bytes came than an answer may have here")
        if self._has_received:
            remaining_s = self._wait_deadline - time.monotonic()
            if remaining_s > 0:
                set_timeout(self, remaining_s)
                self._is_timeout_changed = True
            elif not self.extend_wait(received_any=True):
                self.timed_out = True
                raise TimeoutError("bytes come, but too slowly")
        self._has_received = True

    def extend_wait(self, received_any: bool) -> bool:
        """Prolong a wait whose time is over, and return whether it goes on.

        One that was given up stays so: http.client takes a part of a line for the line, and would
        begin to wait for what follows.
        """
        if self._has_given_up:
            return False
        extra_s = self.on_timeout(received_any) if self.on_timeout is not None else None
        if extra_s is None:
            self._has_given_up = True
            return False
        if self._wait_deadline is not None:
            self._wait_deadline = max(self._wait_deadline, time.monotonic() + extra_s)
        set_timeout(self, extra_s)
        self._is_timeout_changed = True
        return True

    def sendall(self, data: bytes, flags: int = 0) -> None:
        """Send all of the data. A peer that takes none of it in time is silent."""
        remaining = memoryview(data)
        while remaining:
            try:
                remaining = remaining[self.send(remaining, flags) :]
            except BlockingIOError:
                if not self.extend_wait(received_any=False):
                    self.timed_out = True
                    raise

    def count_received(self, received: int | None) -> None:
        """Count received bytes against the bound of the wait; None for a wait without a byte."""
        self._remaining_bytes -= received or 0
        self.timed_out = received is None

    def has_read_ahead(self) -> bool:
        """Return whether the reader holds bytes that came after the last answer."""
        return bool(self.read_ahead())

    def read_ahead(self) -> bytes:
        """Return the bytes that the reader holds."""
        if self._shared_reader is None:
            return b""
        self.buffered_only = True
        try:
            return self._shared_reader.peek(1)
        finally:
            self.buffered_only = False

    def close_with_reader(self) -> None:
        """Close the socket and its reader. `close` alone leaves the reader to the last answer."""
        if self._shared_reader is not None:
            self._shared_reader.close_reader()
        self.close()


def set_timeout(sock: socket.socket, seconds: float) -> None:
    """Bound each wait on a blocking socket.

    The timeouts of Python's sockets take a `poll` before each call; with many streams, the
    additional switch between threads for each token costs more than all else.
    """
    # Zero would be no bound at all.
    seconds = max(MIN_TIMEOUT_S, seconds)
    limit = struct.pack("ll", int(seconds), int(seconds % 1 * 1_000_000))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, limit)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, limit)


def is_readable(sock: socket.socket | None) -> bool:
    """Return whether a connection has bytes or an end to read; an idle one is then of no use."""
    return await_readable([sock], 0.0)


def await_readable(socks: Iterable[socket.socket | None], timeout_s: float) -> bool:
    """Return whether one of some connections has bytes or an end to read within a time."""
    poll = select.poll()
    for sock in socks:
        if sock is None:
            return True
        poll.register(sock, select.POLLIN)
    return bool(poll.poll(1000 * timeout_s))


def has_peer_shut_down(sock: socket.socket | None) -> bool:
    """Return whether the peer has ended its sending, also where bytes before that are unread."""
    if sock is None:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))
