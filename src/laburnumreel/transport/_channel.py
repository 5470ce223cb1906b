"""Callers' connections: reading requests, writing answers, and closing."""

import contextlib
import socket
import time
from typing import Any

from waitress.adjustments import Adjustments
from waitress.buffers import ReadOnlyFileBasedBuffer
from waitress.channel import HTTPChannel
from waitress.task import WSGITask

from laburnumreel.core import SMALL_REQUEST_BYTES, Log, SystemClock
from laburnumreel.transport._events import CALLER_CUT
from laburnumreel.transport._parsing import RefusalTask, RequestParser
from laburnumreel.transport._sockets import (
    LINGER_DEFAULT,
    LINGER_RESET,
    has_peer_shut_down,
    is_readable,
)

# Key in a request's WSGI environment of the time, by `SystemClock`, when it was fully read.
READ_AT_KEY = "laburnumreel.read_at"

# Key of the refusal of a request whose body was dropped. Such a request must not be served.
REFUSAL_KEY = "laburnumreel.refusal"

# Receive buffers of the kernel: of a connection, and at most of one for whose body memory is held.
RECEIVE_BUFFER_BYTES = 16 * 1024
BODY_RECEIVE_BUFFER_BYTES = 64 * 1024
# What a connection may keep beside bodies before it needs room in the memory of all requests.
KEPT_BYTES = 8 * 1024
# The work for one read of a head or body, in parts of a chunked body.
READ_PARTS = 16
# A connection that receives or sends this many bytes makes progress.
PROGRESS_BYTES = 1024

_log = Log("transport.wsgi")


class _WriteBuffer:
    """A stand-in for a channel that collects what a task writes."""

    def __init__(self, channel: "Channel") -> None:
        self.server = channel.server
        self.has_next_request = channel.has_next_request
        self.written: list[bytes] = []

    def write_soon(self, data: bytes) -> int:
        self.written.append(data)
        return len(data)


class _RequestTask(WSGITask):
    """A request's task, which sends the head of an answer together with the first part of its body.

    While the server is stopping, the connection is closed after the answer.
    """

    @property
    def _ends_with_connection(self) -> bool:
        return self.has_body and not self.chunked_response and self.content_length is None

    def write(self, data: bytes) -> None:
        if self.wrote_header or not data:
            super().write(data)
            return
        channel, self.channel = self.channel, _WriteBuffer(self.channel)
        try:
            super().write(data)
            written = self.channel.written
        finally:
            self.channel = channel
        if self._ends_with_connection:
            # The end of the connection marks the end of this answer. Until it is complete, closing
            # must reset the connection: a truncated answer would look complete otherwise.
            channel.set_linger(LINGER_RESET)
        channel.write_soon(b"".join(written))

    def get_environment(self) -> dict[str, Any]:
        environ = super().get_environment()
        environ[READ_AT_KEY] = self.request.read_at
        if self.request.refusal is not None:
            environ[REFUSAL_KEY] = self.request.refusal
        return environ

    def finish(self) -> None:
        super().finish()
        if self._ends_with_connection:
            self.channel.set_linger(LINGER_DEFAULT)

    def build_response_header(self) -> bytes:
        if self.channel.server.is_stopping:
            self.set_close_on_finish()
        return super().build_response_header()

    def set_close_on_finish(self) -> None:
        """Close the connection after this answer unless a pipelined request can be answered too."""
        if self.version == "1.0" or self.request.is_last or not self.channel.has_next_request:
            super().set_close_on_finish()


class Channel(HTTPChannel):
    """A caller's connection, which counts the bytes that the caller has received.

    A caller that shuts down its sending side counts as disconnected, because a closed connection
    looks the same. Its requests are then cancelled, and their outcome is still sent as the
    answer: the caller may be reading.
    """

    task_class = _RequestTask
    error_task_class = RefusalTask

    def __init__(self, *arguments: Any, **options: Any) -> None:
        self.sent_bytes = 0
        # Whether the end of the caller's data was read, and whether it is known to come later.
        self._has_caller_left = False
        self._is_end_seen = False
        # The last activity that was seen, the time of that check, and the idle limit when the
        # connection was accepted or when bytes were last received or sent.
        self._last_seen_activity = 0.0
        self._idle_since = time.monotonic()
        self._idle_limit_s = 0.0
        self._last_sent_bytes = -1
        self._output_moved_at = time.monotonic()
        # What was received and not parsed yet, at most one read.
        self._unparsed = b""
        self._receive_buffer_bytes = RECEIVE_BUFFER_BYTES
        # When the connection last made progress, and the bytes moved since.
        self._progressed_at = time.monotonic()
        self._moved_bytes = 0
        # When the request that is being received began to arrive, and its bytes so far.
        self._began_at = time.monotonic()
        self._received_bytes = 0
        super().__init__(*arguments, **options)
        self._idle_limit_s = self.adj.channel_timeout
        memory = self.server.request_memory
        self._account = memory.open(self._give_up, True) if memory is not None else None

    @property
    def has_next_request(self) -> bool:
        """Whether a request that was received is queued behind the running one."""
        with self.requests_lock:
            return len(self.requests) > 1 or bool(self._unparsed)

    @property
    def is_busy(self) -> bool:
        """Whether a request is running or waits, or an answer is pending."""
        return bool(self.requests or self.total_outbufs_len or self._unparsed)

    @property
    def is_running(self) -> bool:
        """Whether a request is running or waits to run."""
        return bool(self.requests)

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a request was received."""
        return self.request is not None or bool(self._unparsed)

    @property
    def has_unparsed(self) -> bool:
        """Whether bytes were received that wait to be parsed."""
        return bool(self._unparsed)

    @property
    def progressed_at(self) -> float:
        """When the connection last made progress, in seconds of the monotonic clock."""
        return self._progressed_at

    @property
    def began_at(self) -> float:
        """When the request that is being received began to arrive."""
        return self._began_at

    @property
    def received_bytes(self) -> int:
        """The bytes of the request that is being received, so far."""
        return self._received_bytes

    @property
    def kept_bytes(self) -> int:
        """What the connection keeps of requests beside their bodies."""
        with self.requests_lock:
            parsers = [*self.requests, self.request] if self.request else list(self.requests)
            return len(self._unparsed) + sum(parser.kept_bytes for parser in parsers)

    @property
    def is_idle(self) -> bool:
        """Whether no part of a request was received and no part of an answer is pending."""
        is_busy = self.is_busy or self.request is not None
        return not is_busy and not is_readable(self.socket)

    def check_client_disconnected(self) -> bool:
        """Return whether the caller has disconnected, also if unread requests precede the end."""
        is_full = len(self.requests) > self.adj.channel_request_lookahead
        if (is_full or self._unparsed) and not self._is_end_seen:
            self._is_end_seen = has_peer_shut_down(self.socket)
        return self._has_caller_left or self._is_end_seen or not self.connected

    def parser_class(self, adj: Adjustments) -> RequestParser:
        """Return the parser of the next request, in place of waitress' class attribute."""
        return RequestParser(adj, self.server.record_read, self.server.request_memory)

    def readable(self) -> bool:
        return not (self._has_caller_left or self._unparsed) and super().readable()

    def handle_read(self) -> None:
        try:
            data = self.socket.recv(self.adj.recv_bytes)
        except BlockingIOError:
            return
        except OSError:
            self.handle_close()
            return
        if data:
            self.last_activity = time.time()
            self._idle_limit_s = self.adj.channel_timeout
            if not self.is_receiving:
                self._restart_progress()
                self._began_at, self._received_bytes = self._progressed_at, 0
            self._received_bytes += len(data)
            self._record_progress(len(data))
            self.received(data)
            return
        with self.requests_lock:
            self._has_caller_left = bool(self.requests)
        if not self._has_caller_left:
            self.handle_close()

    def received(self, data: bytes) -> bool:
        """Parse what was received, as far as one turn of the event loop allows."""
        with self.requests_lock:
            self._unparsed += data
        return self.parse()

    def parse(self) -> bool:
        """Parse what was received, until enough requests are queued or this turn's work is done.

        Returns whether there is more that could be parsed in another turn.
        """
        with self.requests_lock:
            if self._must_not_parse():
                self._unparsed = b""
            elif HTTPChannel.readable(self) and self.server.may_parse:
                self._unparsed = self._parse(self._unparsed)
            can_continue = bool(self._unparsed) and HTTPChannel.readable(self)
        self._hold_memory()
        self.server.record_unparsed(self)
        return can_continue

    def _must_not_parse(self) -> bool:
        is_closing = self.will_close or self.close_when_flushed
        return is_closing or bool(self.requests and self.requests[-1].is_last)

    def _parse(self, data: bytes) -> bytes:
        """Parse at most as many requests as may be queued, and return the rest of the data."""
        while data and len(self.requests) <= self.adj.channel_request_lookahead:
            if self.requests and self.requests[-1].is_last:
                return b""
            if self.request is None:
                self.request = self.parser_class(self.adj)
            request = self.request
            was_in_body, known_parts = request.headers_finished, request.body_parts
            consumed = request.received(data)
            data = data[consumed:]
            self.server.record_work(READ_PARTS + request.body_parts - known_parts)
            # Answers are sent in order, so that the caller is told to continue only then.
            is_continue_due = request.expect_continue and request.headers_finished
            if is_continue_due and not self.requests and not self.sent_continue:
                self.send_continue()
            if not request.completed:
                if was_in_body:
                    # The rest is for another turn: this one's work is done.
                    return data
                continue
            self.request, self.sent_continue = None, False
            if not request.empty:
                self._restart_progress()
                self.requests.append(request)
                if len(self.requests) == 1:
                    self.server.add_task(self)
        return data

    def _record_progress(self, count: int) -> None:
        if self._account is not None and self._account.size:
            self._account.record_progress(count)
        self._moved_bytes += count
        if self._moved_bytes >= PROGRESS_BYTES:
            self._restart_progress()

    def _restart_progress(self) -> None:
        self._moved_bytes, self._progressed_at = 0, time.monotonic()

    def _hold_memory(self) -> None:
        """Hold the memory that the connection needs beside bodies.

        Without room, the connection is closed, but not while a request is running.
        """
        if self._account is None:
            return
        kept_bytes = self.kept_bytes + self._pending_bytes
        size = kept_bytes if kept_bytes > KEPT_BYTES else 0
        request = self.request
        awaited_bytes = request.awaited_bytes if request is not None else 0
        if awaited_bytes > SMALL_REQUEST_BYTES:
            self._enlarge_receive_buffer(min(BODY_RECEIVE_BUFFER_BYTES, awaited_bytes // 2))
        elif self._receive_buffer_bytes > RECEIVE_BUFFER_BYTES:
            # No body is held any more whose bytes the kernel may receive.
            size += self._receive_buffer_bytes
        may_close = not self.requests
        has_room = not (size or self._account.size) or self._account.hold(size, may_close)
        # An answer that its caller reads is not cut; one that nobody reads makes room for others.
        if not has_room and may_close and not self.total_outbufs_len:
            self._give_up()

    @property
    def _pending_bytes(self) -> int:
        """The output that is pending, without files, which are held in the memory for answers."""
        if not self.total_outbufs_len:
            return 0
        with self.outbuf_lock:
            return sum(
                len(buffer)
                for buffer in self.outbufs
                if not isinstance(buffer, ReadOnlyFileBasedBuffer)
            )

    def _enlarge_receive_buffer(self, size: int) -> None:
        """Enlarge the kernel's receive buffer. Making it smaller would slow down the connection."""
        if size > self._receive_buffer_bytes:
            self._receive_buffer_bytes = size
            # The caller may have closed the connection already.
            with contextlib.suppress(OSError):
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def _give_up(self) -> None:
        """Have the event loop close the connection, for whose request there is no memory."""
        self.server.give_up(self, "no_memory")

    def service(self) -> None:
        queued, request, was_connected = self.requests, self.requests[0], self.connected
        super().service()
        if was_connected:
            self.server.record_handled()
        if self._account is not None and self._account.size:
            self._hold_memory()
        with self.requests_lock:
            # waitress removes the answered request from the list unless the connection ends with
            # its answer; the requests after it are then dropped.
            dropped = len(queued) - 1 if queued and queued[0] is request else 0
            if self._has_caller_left and not self.requests:
                self.close_when_flushed = True
        if dropped and was_connected:
            _log.warning(
                CALLER_CUT,
                caller=str(self.addr),
                reason="answer_closes",
                requests=dropped,
                reading=self.request is not None,
            )
        if self._has_caller_left and self.connected:
            self.server.pull_trigger()

    def handle_write(self) -> None:
        super().handle_write()
        if self._account is not None and self._account.size and not self.total_outbufs_len:
            self._hold_memory()

    def send(self, data: bytes, do_close: bool = True) -> int:
        idle_limit_s = self.adj.channel_timeout
        sent = super().send(data, do_close)
        if sent:
            self.sent_bytes += sent
            self._record_progress(sent)
            self._idle_limit_s = idle_limit_s
        return sent

    def write_soon(self, data: bytes) -> int:
        """Send what the socket accepts immediately; only the rest goes to waitress' buffers."""
        sent = 0
        if isinstance(data, bytes) and data and not self.total_outbufs_len:
            with self.outbuf_lock:
                if self.connected and not self.total_outbufs_len:
                    # Writing the rest fails in the same way, and that failure is handled.
                    with contextlib.suppress(OSError):
                        sent = self.send(data, do_close=False)
            if sent == len(data):
                self.last_activity = time.time()
                return sent
        written = sent + super().write_soon(data[sent:] if sent else data)
        self._hold_memory()
        return written

    def handle_close(self) -> None:
        self._unparsed = b""
        self.server.record_unparsed(self)
        if self._account is not None:
            self._account.close()
        super().handle_close()

    def log_and_close(self, reason: str, **details: float) -> None:
        """Close the connection, and log the reason if it still has a request."""
        if self.requests or self.request is not None:
            with self.requests_lock:
                read_at = [request.read_at for request in self.requests]
            if read_at and read_at[0] is not None:
                details["read_s_ago"] = round(SystemClock().now() - read_at[0], 2)
            _log.warning(
                CALLER_CUT,
                caller=str(self.addr),
                reason=reason,
                requests=len(self.requests),
                reading=self.request is not None,
                **details,
            )
        self.handle_close()

    def is_idle_too_long(self, now: float, limit_s: float) -> bool:
        """Return whether the connection has been idle for longer than its limit.

        A limit that became shorter since the last bytes does not apply: the caller may be about
        to use the connection and relies on the longer limit. `now` is a monotonic time, because
        the wall clock may jump.
        """
        is_busy = self.is_busy or is_readable(self.socket)
        if is_busy or self.last_activity != self._last_seen_activity:
            self._last_seen_activity, self._idle_since = self.last_activity, now
        return now - self._idle_since > max(limit_s, self._idle_limit_s)

    def set_linger(self, linger: bytes) -> None:
        """Set the linger option of the socket, which also applies if this process ends."""
        # The caller may have closed the connection already.
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def is_stalled(self, now: float, limit_s: float) -> bool:
        """Return whether output has been pending for `limit_s` without one byte sent."""
        if not self.total_outbufs_len or self.sent_bytes != self._last_sent_bytes:
            self._last_sent_bytes = self.sent_bytes
            self._output_moved_at = now
        return now - self._output_moved_at > limit_s
