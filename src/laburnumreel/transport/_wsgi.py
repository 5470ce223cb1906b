"""The HTTP server: waitress with bounded buffers, a stalled-reader limit and documented errors."""

import contextlib
import logging
import socket
import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import Executor, Future
from typing import Any

from waitress import wasyncore
from waitress.adjustments import Adjustments
from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.server import TcpWSGIServer
from waitress.task import ErrorTask, ThreadedTaskDispatcher, WSGITask
from waitress.utilities import RequestEntityTooLarge, RequestHeaderFieldsTooLarge

from laburnumreel.core import Log, SystemClock
from laburnumreel.protocol import new_request_id, refusal_answer
from laburnumreel.state import ErrorKind, Refusal
from laburnumreel.transport._events import CALLER_CUT, HTTP_SERVER_PROBLEM, READER_STALLED
from laburnumreel.transport._metrics import STALLED_READERS
from laburnumreel.transport._sockets import LINGER_DEFAULT, LINGER_NONE, readable

STALL_LIMIT_S = 30.0
MAX_HEADER_BYTES = 32 * 1024
DEFAULT_MAX_BODY_BYTES = 1 << 20
# Output that may wait for one caller before its request's thread is blocked.
OUTPUT_HIGH_WATERMARK_BYTES = 256 * 1024
# Above every amount that waitress may buffer, so that it never opens a temporary file.
NO_OVERFLOW_BYTES = 1 << 40
SEND_BUFFER_BYTES = 128 * 1024
# How much of a request that is refused for its size is read before the connection is closed. A
# caller that is still sending would otherwise see a reset instead of the answer.
DISCARD_LIMIT_BYTES = 16 * 1024 * 1024
IDLE_LIMIT_S = 120
CONNECTIONS_PER_THREAD = 4
# The key of a request's environment under which stands when it was read whole, by `SystemClock`.
READ_AT = "laburnumreel.read_at"

Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]

_log = Log("transport.wsgi")
_clock = SystemClock()


class _LogHandler(logging.Handler):
    """Passes waitress' own log records on as a catalogued event."""

    def emit(self, record: logging.LogRecord) -> None:
        _log.warning(HTTP_SERVER_PROBLEM, detail=record.getMessage()[:500])


def _route_waitress_logs() -> None:
    logger = logging.getLogger("waitress")
    if not any(isinstance(handler, _LogHandler) for handler in logger.handlers):
        logger.addHandler(_LogHandler(level=logging.WARNING))
        logger.propagate = False
    # A queue is normal here: the application refuses what it cannot take.
    logging.getLogger("waitress.queue").disabled = True


class _Parser(HTTPRequestParser):
    """Reads on, within a limit, after a size error has decided the answer.

    `read_at` is when the request was read whole, in seconds of `SystemClock`.
    """

    def __init__(self, adj: Adjustments) -> None:
        super().__init__(adj)
        self.read_at: float | None = None
        self._discard_bytes = 0
        self._discard_to_blank_line = False
        self._tail = b""

    def received(self, data: bytes) -> int:
        if self._discard_bytes or self._discard_to_blank_line:
            return self._discard(data)
        consumed = super().received(data)
        if self.completed:
            self.read_at = _clock.now()
        if not self.completed or self.error is None:
            return consumed
        if isinstance(self.error, RequestHeaderFieldsTooLarge):
            if b"\r\n\r\n" not in self.header_plus + data:
                self._discard_to_blank_line = True
                self._discard_bytes = DISCARD_LIMIT_BYTES
                self._tail = data[-3:]
                self.completed = False
        elif isinstance(self.error, RequestEntityTooLarge) and self.content_length:
            rest = self.content_length - self.body_bytes_received - (len(data) - consumed)
            if 0 < rest <= DISCARD_LIMIT_BYTES:
                self._discard_bytes = rest
                self.completed = False
            return len(data)
        return consumed

    def _discard(self, data: bytes) -> int:
        self._discard_bytes = max(0, self._discard_bytes - len(data))
        if self._discard_to_blank_line:
            ended = b"\r\n\r\n" in self._tail + data
            self._tail = (self._tail + data)[-3:]
            self.completed = ended or not self._discard_bytes
        else:
            self.completed = not self._discard_bytes
        return len(data)


class _RefusalTask(ErrorTask):
    """Answers a request that waitress cannot parse with a documented error kind."""

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
        self.set_close_on_finish()
        self.content_length = len(answer.body)
        self.write(answer.body)


class _Pieces:
    """Stands for a channel while a task writes, and keeps what it wrote."""

    def __init__(self, channel: HTTPChannel) -> None:
        self.server = channel.server
        self.written: list[bytes] = []

    def write_soon(self, data: bytes) -> int:
        self.written.append(data)
        return len(data)


class _RequestTask(WSGITask):
    """Sends an answer's head with its first piece, and closes connections while stopping."""

    @property
    def _ends_with_connection(self) -> bool:
        return self.has_body and not self.chunked_response and self.content_length is None

    def write(self, data: bytes) -> None:
        if self.wrote_header or not data:
            super().write(data)
            return
        channel, self.channel = self.channel, _Pieces(self.channel)
        try:
            super().write(data)
            written = self.channel.written
        finally:
            self.channel = channel
        if self._ends_with_connection:
            # Until it is whole, the end of the connection must not look like the answer's.
            channel.set_linger(LINGER_NONE)
        channel.write_soon(b"".join(written))

    def get_environment(self) -> dict[str, Any]:
        environ = super().get_environment()
        environ[READ_AT] = self.request.read_at
        return environ

    def finish(self) -> None:
        super().finish()
        if self._ends_with_connection:
            self.channel.set_linger(LINGER_DEFAULT)

    def build_response_header(self) -> bytes:
        if self.channel.server.stopping:
            self.set_close_on_finish()
        return super().build_response_header()


class _Channel(HTTPChannel):
    """A caller's connection that knows how many bytes its reader has taken."""

    task_class = _RequestTask
    error_task_class = _RefusalTask
    parser_class = _Parser

    def __init__(self, *arguments: Any, **options: Any) -> None:
        self.sent_bytes = 0
        # The last activity that was seen, when that was, and how long it might be idle then.
        self._seen_activity = 0.0
        self._idle_since = time.monotonic()
        self._idle_limit_s = 0.0
        self._checked_bytes = -1
        self._progress_at = time.monotonic()
        super().__init__(*arguments, **options)

    def send(self, data: bytes, do_close: bool = True) -> int:
        sent = super().send(data, do_close)
        if sent:
            self.sent_bytes += sent
        return sent

    def write_soon(self, data: bytes) -> int:
        """Send at once what the socket takes; waitress' buffers get only the rest."""
        sent = 0
        if isinstance(data, bytes) and data and not self.total_outbufs_len:
            with self.outbuf_lock:
                if self.connected and not self.total_outbufs_len:
                    # A failure is found again, and handled, by the write of the rest.
                    with contextlib.suppress(OSError):
                        sent = self.send(data, do_close=False)
            if sent == len(data):
                self.last_activity = time.time()
                return sent
        return sent + super().write_soon(data[sent:] if sent else data)

    def end(self, reason: str) -> None:
        """Close the connection for a reason of the host's own, and say so if a request is on it."""
        if self.requests or self.request is not None:
            _log.warning(
                CALLER_CUT,
                caller=str(self.addr),
                reason=reason,
                requests=len(self.requests),
                reading=self.request is not None,
            )
        self.handle_close()

    def idle_too_long(self, now: float, limit_s: float) -> bool:
        """Return whether the connection has been idle beyond its limit.

        A shorter limit does not hold for the time in which its caller counted on a longer one: the
        caller may be about to use the connection. The time of day, which may jump, does not count.
        """
        busy = self.requests or self.total_outbufs_len or readable(self.socket)
        if busy or self.last_activity != self._seen_activity:
            self._seen_activity, self._idle_since = self.last_activity, now
            self._idle_limit_s = limit_s
        return now - self._idle_since > max(limit_s, self._idle_limit_s)

    def set_linger(self, linger: bytes) -> None:
        """Set how the connection ends, for the end of this process as well."""
        # The caller may have closed it already.
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def stalled(self, now: float) -> bool:
        """Return whether output has waited for the whole limit without one byte taken."""
        if not self.total_outbufs_len or self.sent_bytes != self._checked_bytes:
            self._checked_bytes = self.sent_bytes
            self._progress_at = now
        return now - self._progress_at > self.server.stall_limit_s


class _Server(TcpWSGIServer):
    channel_class = _Channel
    stopping = False
    closed = False
    stall_limit_s = STALL_LIMIT_S

    def pull_trigger(self) -> None:
        # A request's thread may end after the sockets were closed, and then has nobody to wake.
        try:
            super().pull_trigger()
        except OSError:
            if not self.closed:
                raise

    def maintenance(self, now: float) -> None:
        # Instead of waitress' own, which goes by the time of day.
        steady = time.monotonic()
        # A copy, because closing a channel removes it from the mapping.
        for channel in list(self.active_channels.values()):
            if channel.stalled(steady):
                STALLED_READERS.inc()
                _log.warning(READER_STALLED, caller=str(channel.addr))
                # `will_close` alone would wait until the socket is writable, which it never is.
                channel.end("stalled")
            elif channel.idle_too_long(steady, self.adj.channel_timeout):
                channel.end("idle")


class HttpServer:
    """A WSGI application on an address.

    Requests run on `threads` threads of their own; one more thread, from the executor given to
    `start`, owns the sockets.
    """

    def __init__(
        self,
        application: Application,
        address: tuple[str, int],
        threads: int,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        stall_limit_s: float = STALL_LIMIT_S,
    ) -> None:
        _route_waitress_logs()
        self._adjustments = Adjustments(
            host=address[0],
            port=address[1],
            ident=None,
            threads=threads,
            connection_limit=threads * CONNECTIONS_PER_THREAD + 100,
            cleanup_interval=1,
            channel_timeout=IDLE_LIMIT_S,
            log_socket_errors=False,
            max_request_header_size=MAX_HEADER_BYTES,
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
        self._server.stall_limit_s = stall_limit_s
        dispatcher.set_thread_count(threads)
        self._stopped = threading.Event()
        self._loop: Future | None = None

    @property
    def address(self) -> tuple[str, int]:
        return self._server.socket.getsockname()

    def start(self, executor: Executor) -> None:
        """Serve until `stop`."""
        self._loop = executor.submit(self._run)

    def set_max_body_bytes(self, max_body_bytes: int) -> None:
        """Change the largest request body for the requests that come from now on."""
        self._adjustments.max_request_body_size = max_body_bytes + 1

    def set_limits(self, header_bytes: int, body_bytes: int, idle_s: float) -> None:
        """Change the largest head and body of requests, and how long a connection may be idle.

        They hold for the requests that come from now on; a connection that is idle already has at
        least the time that it had.
        """
        self._adjustments.max_request_header_size = header_bytes
        self.set_max_body_bytes(body_bytes)
        self._adjustments.channel_timeout = idle_s

    def close_after_answers(self) -> None:
        """Close each connection after its next answer, because the server is stopping."""
        self._server.stopping = True

    def flushed(self) -> bool:
        """Return whether no request runs and no output waits for a caller."""
        return not any(
            channel.requests or channel.total_outbufs_len
            for channel in list(self._server.active_channels.values())
        )

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self._stopped.set()
        if self._loop is not None:
            self._server.pull_trigger()
            self._loop.result(timeout=10)
        self._server.task_dispatcher.shutdown(timeout=1)

    def _run(self) -> None:
        while not self._stopped.is_set():
            wasyncore.loop(timeout=1, use_poll=True, map=self._map, count=1)
        self._server.closed = True
        for channel in list(self._server.active_channels.values()):
            channel.end("stop")
        wasyncore.close_all(self._map, ignore_all=True)
