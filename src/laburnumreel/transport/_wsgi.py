"""The HTTP server: waitress with bounded buffers, a limit for stalled readers and documented
errors."""

import errno
import logging
import socket
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable
from concurrent.futures import Executor, Future
from typing import Any

from waitress import wasyncore
from waitress.adjustments import Adjustments
from waitress.server import TcpWSGIServer
from waitress.task import ThreadedTaskDispatcher

from laburnumreel.core import Log, RequestMemory
from laburnumreel.transport._channel import KEPT_BYTES, RECEIVE_BUFFER_BYTES, Channel
from laburnumreel.transport._closing_order import (
    STALLED_ANSWER_S,
    choose_connection,
    is_any_closable,
)
from laburnumreel.transport._events import CONNECTIONS_FULL, HTTP_SERVER_PROBLEM, READER_STALLED
from laburnumreel.transport._metrics import HTTP_REQUESTS, STALLED_READERS
from laburnumreel.transport._sockets import is_readable

STALL_LIMIT_S = 30.0
MAX_HEADER_BYTES = 32 * 1024
DEFAULT_MAX_BODY_BYTES = 1 << 20
# Output that may be pending for one caller before its request's thread blocks.
OUTPUT_HIGH_WATERMARK_BYTES = 64 * 1024
# More than waitress ever buffers, so that it never opens a temporary file.
NO_OVERFLOW_BYTES = 1 << 40
SEND_BUFFER_BYTES = 128 * 1024
IDLE_LIMIT_S = 120
# How long a stop waits for requests that were just received if its caller sets no time, and how
# often it checks for them.
FINAL_REQUESTS_TIMEOUT_S = 0.2
# How long a stop waits for the rest of requests that have been received in part.
PARTIAL_REQUESTS_TIMEOUT_S = 0.2
POLL_INTERVAL_S = 0.02
# Time limit for the thread of the sockets to end.
LOOP_STOP_TIMEOUT_S = 10
# How long the thread of the sockets waits if nothing happens, before it looks for stalled callers.
LOOP_TIMEOUT_S = 1
CONNECTIONS_PER_THREAD = 4
MIN_CONNECTIONS = 100
# New connections that wait to be accepted.
BACKLOG = 256
# New connections that are accepted in one turn of the event loop.
ACCEPTS_PER_TURN = 16
# The work of one turn of the event loop, in parts of chunked bodies. What is left waits its turn.
PARTS_PER_TURN = 2048
# Minimum time between two log lines on connections that were closed for new ones.
FULL_LOG_INTERVAL_S = 1.0
# Errors of a process or host that has no more descriptors or memory for a new connection.
SHORTAGES = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}

Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]

_log = Log("transport.wsgi")


class _LogHandler(logging.Handler):
    """Logs the records of waitress as a catalogued event."""

    def emit(self, record: logging.LogRecord) -> None:
        _log.warning(HTTP_SERVER_PROBLEM, detail=record.getMessage()[:500])


def _route_waitress_logs() -> None:
    logger = logging.getLogger("waitress")
    if not any(isinstance(handler, _LogHandler) for handler in logger.handlers):
        logger.addHandler(_LogHandler(level=logging.WARNING))
        logger.propagate = False
    # Queued requests are normal here: the application refuses what exceeds its capacity.
    logging.getLogger("waitress.queue").disabled = True


class _Server(TcpWSGIServer):
    channel_class = Channel
    is_stopping = False
    is_closed = False
    stall_limit_s = STALL_LIMIT_S
    request_memory: RequestMemory | None = None
    _known_refusals = 0
    _next_cleanup_at = 0.0
    _closed_when_full = 0
    _full_logged_at = -FULL_LOG_INTERVAL_S
    # Whether the process or host had no descriptor or memory for a new connection.
    _is_short = False
    _requests_read = 0
    _requests_handled = 0

    def __init__(self, *arguments: Any, **options: Any) -> None:
        self._count_lock = threading.Lock()
        # Connections with bytes that wait to be parsed, by turns, and those that must be closed.
        self._unparsed: dict[Channel, None] = {}
        self._parts_left = PARTS_PER_TURN
        # Since when a new connection may have been waiting at the limit.
        self._waiting_since = time.monotonic()
        self._given_up: deque[tuple[Channel, str]] = deque()
        # Returns how often the memory for answers was full.
        self.count_refused_answers: Callable[[], int] = lambda: 0
        super().__init__(*arguments, **options)

    @property
    def unhandled_requests(self) -> int:
        """The number of requests that were fully read and not handled."""
        with self._count_lock:
            return self._requests_read - self._requests_handled

    def record_read(self) -> None:
        """Count a request that was fully read."""
        with self._count_lock:
            self._requests_read += 1
        HTTP_REQUESTS.inc(port=str(self.effective_port), event="read")

    def record_handled(self) -> None:
        """Count a request whose task has ended, whether or not its answer was sent."""
        with self._count_lock:
            self._requests_handled += 1
        HTTP_REQUESTS.inc(port=str(self.effective_port), event="handled")

    def pull_trigger(self) -> None:
        # A request's thread may end after the sockets were closed; no thread must be woken then.
        try:
            super().pull_trigger()
        except OSError:
            if not self.is_closed:
                raise

    @property
    def _is_full(self) -> bool:
        return self._is_short or len(self._map) >= self.adj.connection_limit

    def readable(self) -> bool:
        # At the limit, a new connection must end the wait of the event loop, after which `clean_up`
        # closes another one. Without one to close, the new one would end each wait at once.
        if not self.accepting or not self._is_full:
            return self.accepting
        now = time.monotonic()
        return is_any_closable(self.active_channels.values(), now, now - self._waiting_since)

    def handle_accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN if self._unparsed else 1):
            if self._is_full or not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept a connection if one waits, and return whether it was accepted."""
        try:
            accepted = self.accept()
            if accepted is None:
                return False
            connection, address = accepted
            self.set_socket_options(connection)
        except OSError as error:
            # Otherwise, the caller has left already.
            self._is_short = error.errno in SHORTAGES
            return False
        self.channel_class(self, connection, self.fix_addr(address), self.adj, map=self._map)
        return True

    def record_unparsed(self, channel: Channel) -> None:
        """Remember whether a connection has bytes that were received and not parsed."""
        if channel.has_unparsed:
            self._unparsed.setdefault(channel)
        else:
            self._unparsed.pop(channel, None)

    @property
    def may_parse(self) -> bool:
        """Whether this turn of the event loop has work left."""
        return self._parts_left > 0

    def record_work(self, parts: int) -> None:
        """Count work of this turn, in parts of chunked bodies."""
        self._parts_left -= parts

    def parse_more(self) -> bool:
        """Begin a turn: parse what waits, by turns; return whether more could be parsed."""
        self._parts_left = PARTS_PER_TURN
        can_continue = False
        for channel in list(self._unparsed):
            if not self.may_parse:
                return True
            # The next turn begins with the others.
            self._unparsed.pop(channel, None)
            try:
                can_continue = channel.parse() or can_continue
            except Exception:
                # As for an error while reading: it is logged, and the connection closed.
                channel.handle_error()
        return can_continue

    def give_up(self, channel: Channel, reason: str) -> None:
        """Close a connection before the next iteration of the event loop. Thread-safe."""
        self._given_up.append((channel, reason))
        self.pull_trigger()

    def clean_up(self) -> None:
        """Close connections between two iterations of the event loop.

        Within an iteration, a new connection could get the descriptor of one that was just closed
        and would be mistaken for it.
        """
        while self._given_up:
            channel, reason = self._given_up.popleft()
            # The rest of its request may have been read since.
            if channel.connected and not channel.is_running:
                channel.log_and_close(reason)
        now = time.monotonic()
        if self.accepting and self._is_full:
            self._close_for_new(now)
        else:
            self._waiting_since = now
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = now + self.adj.cleanup_interval
            self.maintenance(now)
            # Others may have closed descriptors since.
            self._is_short = False

    def _close_for_new(self, now: float) -> None:
        """Close the connection that is used least, if a new one waits to be accepted."""
        if not is_readable(self.socket):
            self._waiting_since = now
            return
        channel = choose_connection(self.active_channels.values(), now, now - self._waiting_since)
        if channel is None:
            return
        channel.handle_close()
        self._is_short = False
        self._closed_when_full += 1
        if now - self._full_logged_at >= FULL_LOG_INTERVAL_S:
            _log.warning(CONNECTIONS_FULL, closed=self._closed_when_full)
            self._closed_when_full, self._full_logged_at = 0, now

    def stop_listening(self) -> None:
        """Accept no more connections, but keep the open ones."""
        self.accepting = False
        self.del_channel(self._map)
        self.socket.close()

    def _has_refused_answers(self) -> bool:
        """Return whether an answer got no memory since the last call."""
        known, self._known_refusals = self._known_refusals, self.count_refused_answers()
        return self._known_refusals > known

    def maintenance(self, now: float) -> None:
        # Answers that callers do not read take the memory of others.
        stall_limit_s = self.stall_limit_s
        if self._has_refused_answers():
            stall_limit_s = min(stall_limit_s, STALLED_ANSWER_S)
        # `now` is a monotonic time; waitress' own method uses the wall clock.
        # The list is a copy, because closing a channel removes it from the mapping.
        for channel in list(self.active_channels.values()):
            if channel.is_stalled(now, stall_limit_s):
                STALLED_READERS.inc()
                _log.warning(READER_STALLED, caller=str(channel.addr))
                # `will_close` would wait until the socket is writable, which never happens.
                channel.log_and_close("stalled")
            elif channel.is_idle_too_long(now, self.adj.channel_timeout):
                channel.log_and_close("idle")


class HttpServer:
    """An HTTP server that runs a WSGI application on one address.

    Requests run on `threads` threads of their own. One more thread, from the executor given to
    `start`, owns the sockets. At most `max_connections` are open, which depends on the threads unless
    it is given; at that limit, a stalled or idle one is closed for a new one.

    `stall_limit_s` is the time in seconds after which a caller that reads no byte of its pending
    answer is disconnected. It is shorter while `count_refused_answers`, which returns how often the
    memory for answers was full, grows. With a `request_memory`, the application gets requests whose
    body did not fit with a refusal under `REFUSAL_KEY` of the environment, which it answers with.
    """

    def __init__(
        self,
        application: Application,
        address: tuple[str, int],
        threads: int,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        stall_limit_s: float = STALL_LIMIT_S,
        request_memory: RequestMemory | None = None,
        max_connections: int | None = None,
        count_refused_answers: Callable[[], int] = lambda: 0,
    ) -> None:
        _route_waitress_logs()
        if max_connections is None:
            max_connections = threads * CONNECTIONS_PER_THREAD + MIN_CONNECTIONS
        self._adjustments = Adjustments(
            host=address[0],
            port=address[1],
            ident=None,
            threads=threads,
            connection_limit=max_connections,
            backlog=min(BACKLOG, max_connections),
            cleanup_interval=1,
            channel_timeout=IDLE_LIMIT_S,
            log_socket_errors=False,
            # waitress refuses what reaches its limits.
            max_request_header_size=MAX_HEADER_BYTES + 1,
            max_request_body_size=max_body_bytes + 1,
            inbuf_overflow=NO_OVERFLOW_BYTES,
            outbuf_overflow=NO_OVERFLOW_BYTES,
            outbuf_high_watermark=OUTPUT_HIGH_WATERMARK_BYTES,
            asyncore_use_poll=True,
            channel_request_lookahead=1,
        )
        self._adjustments.socket_options = [
            (socket.SOL_TCP, socket.TCP_NODELAY, 1),
            (socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES),
        ]
        self._map: dict[int, Any] = {}
        dispatcher = ThreadedTaskDispatcher()
        self._server = _Server(
            application, map=self._map, dispatcher=dispatcher, adj=self._adjustments
        )
        # Connections inherit it, also those that wait to be accepted.
        self._server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._server.stall_limit_s = stall_limit_s
        self._server.request_memory = request_memory
        self._server.count_refused_answers = count_refused_answers
        dispatcher.set_thread_count(threads)
        self._stop_event = threading.Event()
        self._final_requests_timeout_s = FINAL_REQUESTS_TIMEOUT_S
        self._loop: Future | None = None

    @property
    def address(self) -> tuple[str, int]:
        return self._server.socket.getsockname()

    def start(self, executor: Executor) -> None:
        """Serve on a thread of `executor` until `stop`."""
        self._loop = executor.submit(self._run)

    def set_max_body_bytes(self, max_body_bytes: int) -> None:
        """Set the maximum size of request bodies, for requests that start from now on."""
        self._adjustments.max_request_body_size = max_body_bytes + 1

    def set_limits(self, header_bytes: int, body_bytes: int, idle_s: float) -> None:
        """Set the maximum sizes of request heads and bodies, and the idle limit of connections.

        Smaller limits apply to requests that start from now on. A connection that is already idle
        keeps its idle limit if that was longer.
        """
        self._adjustments.max_request_header_size = header_bytes + 1
        self.set_max_body_bytes(body_bytes)
        self._adjustments.channel_timeout = idle_s

    def close_after_answers(self) -> None:
        """Mark the server as stopping, which closes each connection after its next answer."""
        self._server.is_stopping = True

    def is_idle(self) -> bool:
        """Return whether no request is running and no output is pending."""
        return not any(channel.is_busy for channel in list(self._server.active_channels.values()))

    def wait_until_idle(self, max_s: float) -> None:
        """Wait until no request is running and no output is pending, at most `max_s` seconds."""
        deadline = time.monotonic() + max_s
        while not self.is_idle() and time.monotonic() < deadline:
            time.sleep(POLL_INTERVAL_S)

    @property
    def request_count(self) -> int:
        """The number of requests that have been read and not answered."""
        return sum(len(channel.requests) for channel in list(self._server.active_channels.values()))

    @property
    def unhandled_requests(self) -> int:
        """The number of requests that were fully read and not handled.

        They wait, are running, or were dropped with their connection.
        """
        return self._server.unhandled_requests

    @property
    def max_connection_bytes(self) -> int:
        """What all connections may hold beside the request memory, with bytes in the kernel."""
        adjustments = self._adjustments
        open_bytes = adjustments.connection_limit * (RECEIVE_BUFFER_BYTES + KEPT_BYTES)
        waiting_bytes = adjustments.backlog * RECEIVE_BUFFER_BYTES
        return open_bytes + waiting_bytes + adjustments.threads * OUTPUT_HIGH_WATERMARK_BYTES

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._server.active_channels)

    def stop(self, final_requests_timeout_s: float = FINAL_REQUESTS_TIMEOUT_S) -> None:
        """Stop listening and close all connections.

        Requests that were received until now are answered first, within `final_requests_timeout_s`
        seconds. It returns as soon as they are.
        """
        self._final_requests_timeout_s = final_requests_timeout_s
        self.close_after_answers()
        self._stop_event.set()
        if self._loop is not None:
            self._server.pull_trigger()
            self._loop.result(timeout=final_requests_timeout_s + LOOP_STOP_TIMEOUT_S)
        self._server.task_dispatcher.shutdown(timeout=1)

    def _run(self) -> None:
        while not self._stop_event.is_set():
            self._server.clean_up()
            timeout_s = 0 if self._server.parse_more() else LOOP_TIMEOUT_S
            wasyncore.loop(timeout=timeout_s, use_poll=True, map=self._map, count=1)
        left_s = round(self._answer_final_requests(), 2)
        self._server.is_closed = True
        for channel in list(self._server.active_channels.values()):
            channel.log_and_close("stop", left_s=left_s)
        wasyncore.close_all(self._map, ignore_all=True)

    def _answer_final_requests(self) -> float:
        """Answer the requests that have been received, before the connections are closed.

        Returns how much of the time for it is left, in seconds.

        No new connection is accepted and each answer closes its connection, so that this ends even
        if callers keep sending requests.
        """
        wasyncore.loop(timeout=0, use_poll=True, map=self._map, count=1)
        self._server.stop_listening()
        began = time.monotonic()
        deadline = began + self._final_requests_timeout_s
        partial_deadline = min(deadline, began + PARTIAL_REQUESTS_TIMEOUT_S)
        while (now := time.monotonic()) < deadline:
            is_receiving = now < partial_deadline and self._has_partial_requests()
            if not is_receiving and self._has_no_requests():
                break
            self._server.parse_more()
            wasyncore.loop(timeout=POLL_INTERVAL_S, use_poll=True, map=self._map, count=1)
        return deadline - time.monotonic()

    def _has_partial_requests(self) -> bool:
        channels = list(self._server.active_channels.values())
        return any(channel.request is not None for channel in channels)

    def _has_no_requests(self) -> bool:
        return self.is_idle() and not any(
            is_readable(channel.socket) for channel in list(self._server.active_channels.values())
        )
