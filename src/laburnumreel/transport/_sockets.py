"""Sockets to back ends, with one reader for all answers and with limited waits.

A wait is limited in time and in bytes, because a faulty server may send bytes that never form an
answer until the connection is closed.
"""

import io
import select
import socket
import struct
import time
from collections.abc import Callable, Iterable
from typing import Any

from laburnumreel.transport._answer_work import AnswerWork

# Called when a wait has timed out. Returns for how many more seconds to wait, or None to give up.
# The argument is whether any bytes were received during the wait.
TimeoutHandler = Callable[[bool], float | None]

MIN_TIMEOUT_S = 0.001
# Limit of one receive in the kernel; a longer wait consists of several. A stop of the process starts
# a receive again.
MAX_RECEIVE_S = 0.5
# Linger for 0 seconds: closing resets the connection and discards unsent data.
LINGER_RESET = struct.pack("ii", 1, 0)
# No linger: unsent data is still sent after closing.
LINGER_DEFAULT = struct.pack("ii", 0, 0)


class TooManyBytesError(OSError):
    """More bytes were received than the awaited part of an answer may have."""


class TruncatedLineError(ConnectionError):
    """The connection ended or timed out in the middle of a line."""


class _PersistentReader:
    """The buffered reader of a connection, which stays open from one answer to the next.

    http.client closes its reader after each answer. That would lose the bytes that were read
    ahead, for example when an answer to an earlier request was received first.
    """

    def __init__(self, reader: io.BufferedReader) -> None:
        self._reader = reader

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reader, name)

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line with its line end, or as many bytes of it as the limit allows.

        Raises `TruncatedLineError` for a truncated line: http.client would treat it as a complete one,
        and the end of the connection as the end of the head.
        """
        line = self._reader.readline(limit)
        if not line.endswith(b"\n") and len(line) != limit:
            raise TruncatedLineError(f"the connection ended in a line, after {line[-40:]!r}")
        return line

    def close(self) -> None:
        """Do nothing, which keeps the reader open for the next answer."""

    def close_reader(self) -> None:
        self._reader.close()


class _BoundedIO(socket.SocketIO):
    """The raw reader of a socket whose waits end in time, however many bytes are received."""

    def readinto(self, buffer: Any) -> int | None:
        if self._sock.buffered_only:
            return None
        self._sock.limit_next_receive()
        received = super().readinto(buffer)
        while received is None and self._sock.continue_wait():
            received = super().readinto(buffer)
        self._sock.count_received(received)
        if received is None:
            # http.client would treat None as the end of a head, or continue to read.
            raise TimeoutError("no byte came in time")
        return received


class BackEndSocket(socket.socket):
    """A socket whose answers share one reader.

    `on_timeout`, if set, is called whenever a wait has timed out. While it extends the wait, the part
    of an answer that was already read stays valid. `timed_out` is whether the last wait ended
    without an expected byte. `answer_work` counts the work of the answer to the last request.
    """

    answer_work: AnswerWork
    on_timeout: TimeoutHandler | None = None
    timed_out = False
    # While set, the reader returns only bytes that it has read ahead and receives nothing.
    buffered_only = False
    # Limit of a receive outside a wait.
    receive_limit_s = 0.0
    _shared_reader: _PersistentReader | None = None
    _receive_deadline = 0.0
    _wait_deadline: float | None = None
    _remaining_bytes = 0
    _has_received = False
    _is_timeout_changed = False
    _has_given_up = False

    def connect_within(self, address: tuple[str, int], timeout_s: float) -> None:
        """Connect, or raise TimeoutError after `timeout_s` seconds.

        The kernel's timeout (`set_timeout`) does not suffice: if the process is stopped and
        continued, Python goes on to wait for a blocking socket without a limit.
        """
        self.settimeout(max(MIN_TIMEOUT_S, timeout_s))
        self.connect(address)
        self.settimeout(None)

    def makefile(self, *arguments: Any, **options: Any) -> Any:
        if self._shared_reader is None:
            self._io_refs += 1
            self._shared_reader = _PersistentReader(io.BufferedReader(_BoundedIO(self, "r")))
        return self._shared_reader

    def begin_wait(self, timeout_s: float, max_bytes: int) -> None:
        """Limit the total time and bytes of all receives until `end_wait`."""
        self._wait_deadline = time.monotonic() + timeout_s
        self._remaining_bytes = max_bytes
        self._has_received = self._is_timeout_changed = self._has_given_up = self.timed_out = False

    def end_wait(self) -> bool:
        """Limit only single receives again. Return whether the socket's timeout was changed."""
        self._wait_deadline = None
        return self._is_timeout_changed

    def limit_next_receive(self) -> None:
        """Limit the next receive to the time and bytes that remain of the wait."""
        if self._wait_deadline is None:
            self._receive_deadline = time.monotonic() + self.receive_limit_s
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
        self._receive_deadline = self._wait_deadline

    def continue_wait(self) -> bool:
        """Return whether to receive again, after a receive has ended without a byte."""
        remaining_s = self._receive_deadline - time.monotonic()
        if remaining_s <= 0:
            return self.extend_wait(received_any=False)
        _set_receive_timeout(self, remaining_s)
        self._is_timeout_changed = True
        return True

    def extend_wait(self, received_any: bool) -> bool:
        """Extend a wait that has timed out if `on_timeout` allows it, and return whether it does.

        Once given up, a wait is not extended any more: http.client may treat a truncated line as
        complete and would start another wait for what follows.
        """
        if self._has_given_up:
            return False
        extra_s = self.on_timeout(received_any) if self.on_timeout is not None else None
        if extra_s is None:
            self._has_given_up = True
            return False
        self._receive_deadline = time.monotonic() + extra_s
        if self._wait_deadline is not None:
            self._wait_deadline = max(self._wait_deadline, self._receive_deadline)
        set_timeout(self, extra_s)
        self._is_timeout_changed = True
        return True

    def sendall(self, data: bytes, flags: int = 0) -> None:
        """Send all of the data. A peer that accepts no byte of it in time counts as silent."""
        remaining = memoryview(data)
        while remaining:
            try:
                remaining = remaining[self.send(remaining, flags) :]
            except BlockingIOError:
                if not self.extend_wait(received_any=False):
                    self.timed_out = True
                    raise

    def count_received(self, received: int | None) -> None:
        """Count received bytes against the limit of the wait; None means a timeout."""
        self._remaining_bytes -= received or 0
        self.timed_out = received is None

    def has_read_ahead(self) -> bool:
        """Return whether the reader has buffered bytes that follow the last answer."""
        return bool(self.read_ahead())

    def read_ahead(self) -> bytes:
        """Return the bytes that the reader has buffered."""
        if self._shared_reader is None:
            return b""
        self.buffered_only = True
        try:
            return self._shared_reader.peek(1)
        finally:
            self.buffered_only = False

    def close_with_reader(self) -> None:
        """Close the socket and its reader. `close` alone leaves the reader open."""
        if self._shared_reader is not None:
            self._shared_reader.close_reader()
        self.close()


def set_timeout(sock: BackEndSocket, seconds: float) -> None:
    """Set the timeout of each send and receive on a blocking socket, in the kernel.

    A receive that may take longer than `MAX_RECEIVE_S` is repeated until its time is over.

    The timeouts of Python's sockets need a `poll` before each call. With many streams, the
    additional thread switch for each token costs more than everything else.
    """
    sock.receive_limit_s = seconds
    _set_receive_timeout(sock, seconds)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, _kernel_timeout(seconds))


def _set_receive_timeout(sock: BackEndSocket, seconds: float) -> None:
    limit = _kernel_timeout(min(seconds, MAX_RECEIVE_S))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, limit)


def _kernel_timeout(seconds: float) -> bytes:
    # Zero would mean no timeout.
    seconds = max(MIN_TIMEOUT_S, seconds)
    return struct.pack("ll", int(seconds), int(seconds % 1 * 1_000_000))


def is_readable(sock: socket.socket | None) -> bool:
    """Return whether a connection has unread bytes or has ended. An idle one is then unusable."""
    return await_readable([sock], 0.0)


def await_readable(socks: Iterable[socket.socket | None], timeout_s: float) -> bool:
    """Wait until one of the connections has unread bytes or has ended; return False on timeout."""
    poll = select.poll()
    for sock in socks:
        if sock is None:
            return True
        poll.register(sock, select.POLLIN)
    return bool(poll.poll(1000 * timeout_s))


def has_peer_shut_down(sock: socket.socket | None) -> bool:
    """Return whether the peer has shut down its sending side, even if bytes are still unread."""
    if sock is None:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))
