"""Tests of the HTTP server for callers and of the connections to back ends."""

import contextlib
import http.client
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from laburnumreel.transport import BackEndFailureError, BackEndPool, HttpServer, create_admin_server
from laburnumreel.transport._exchange import _idle_limit_s
from laburnumreel_standins.processes import free_port, fresh_host, wait_until


@pytest.fixture
def serve():
    """Return a function that starts an HTTP server, which is stopped after the test."""
    servers, executor = [], ThreadPoolExecutor(8)

    def start(application, **options):
        host = fresh_host()
        address = (host, free_port(host))
        server = HttpServer(application, address, 4, **options)
        server.start(executor)
        servers.append(server)
        return address

    yield start
    for server in servers:
        server.stop()
    executor.shutdown()


def echo(environ, start_response):
    body = environ["wsgi.input"].read()
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


def send_raw(address, request):
    """Send raw bytes and return everything that is received until the connection ends."""
    with socket.create_connection(address, 10) as sock:
        sock.sendall(request)
        answer = b""
        while part := sock.recv(65536):
            answer += part
        return answer


@pytest.mark.parametrize(
    ("request_bytes", "kind"),
    [
        (b"GET / HTTP/1.1\r\nA: " + b"x" * 40_000 + b"\r\n\r\n", b"header_too_large"),
        (b"POST / HTTP/1.1\r\nContent-Length: 2001\r\n\r\n" + b"x" * 2001, b"body_too_large"),
        (b"POST / HTTP/1.1\r\nContent-Length: 900000\r\n\r\n" + b"x" * 900_000, b"body_too_large"),
        (b"POST / HTTP/1.1\r\nContent-Length: -4\r\n\r\n", b"bad_request"),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", b"bad_request"),
        (b"GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", b"bad_request"),
        (b"GET / HTTP/1.1\r\n : odd\r\n\r\n", b"bad_request"),
    ],
)
def test_malformed_requests_get_a_documented_error_kind(serve, request_bytes, kind):
    """Guards against a refusal without an error kind, and a reset while the caller is sending."""
    address = serve(echo, max_body_bytes=2000)
    answer = send_raw(address, request_bytes)
    assert b"x-error-kind: " + kind in answer.lower()
    assert b"x-run-state: not-run" in answer.lower()
    ok = send_raw(address, b"POST / HTTP/1.0\r\nContent-Length: 5\r\n\r\nhello")
    assert ok.endswith(b"hello")


def test_stalled_reader_is_disconnected(serve):
    """Guards against a caller that reads nothing and occupies a thread and buffers forever."""
    ended = threading.Event()

    def endless(environ, start_response):
        start_response("200 OK", [])
        try:
            while True:
                yield b"x" * 65536
        finally:
            ended.set()

    address = serve(endless, stall_limit_s=1.0)
    with socket.create_connection(address, 10) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
        assert ended.wait(15)


def test_slow_reader_that_takes_bytes_is_kept(serve):
    """Guards against disconnecting a caller that reads slowly."""

    def some(environ, start_response):
        start_response("200 OK", [("Content-Length", str(40 * 65536))])
        for _ in range(40):
            yield b"x" * 65536

    address = serve(some, stall_limit_s=1.5)
    with socket.create_connection(address, 10) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.sendall(b"GET / HTTP/1.0\r\n\r\n")
        read = 0
        for _ in range(8):
            time.sleep(0.5)
            read += len(sock.recv(200_000))
        while part := sock.recv(1 << 20):
            read += len(part)
    assert read > 40 * 65536


def test_admin_answers_health_readiness_and_metrics():
    """Guards against a load balancer that can't detect that a node is not ready."""
    host = fresh_host()
    state = {"ready": False}
    with ThreadPoolExecutor(1) as executor:
        server = create_admin_server((host, free_port(host)), lambda: (state["ready"], {}))
        server.start(executor)
        answers = []
        for path in ("/healthz", "/readyz", "/metrics", "/other"):
            connection = http.client.HTTPConnection(*server.address, timeout=5)
            connection.request("GET", path)
            answers.append(connection.getresponse().status)
            connection.close()
        server.stop()
    assert answers == [200, 503, 200, 404]


class ScriptedServer:
    """A server that sends given bytes on each connection, then keeps it open or closes it."""

    def __init__(self, *answers, keep_open=True):
        self.address = (host := fresh_host(), free_port(host))
        self._listener = socket.create_server(self.address)
        self._answers = answers
        self._keep_open = keep_open
        self.connections = 0
        self._open = []
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        try:
            while True:
                sock, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()
        except OSError:
            return

    def _serve(self, sock):
        self._open.append(sock)
        for answer in self._answers:
            # The test may have ended and closed the connection.
            with contextlib.suppress(OSError):
                if not sock.recv(65536):
                    return
                sock.sendall(answer)
        if not self._keep_open:
            sock.close()

    def end(self):
        # `close` alone would leave the listener open while `accept` is waiting.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in self._open:
            sock.close()


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def exchange_once(pool, address, timeout_s=5.0, fresh=False):
    exchange = pool.open(address, fresh)
    try:
        exchange.send("GET", "/", {}, None, timeout_s)
        body = b""
        while part := exchange.read():
            body += part
        return body
    finally:
        exchange.close()


def test_connection_is_reused_only_after_a_whole_answer():
    """Guards against reading a late or broken answer as the answer to the next request."""
    server, pool = ScriptedServer(OK, OK, OK), BackEndPool()
    assert exchange_once(pool, server.address) == exchange_once(pool, server.address) == b"ok"
    assert server.connections == 1
    assert exchange_once(pool, server.address, fresh=True) == b"ok"
    assert server.connections == 2
    server.end()


@pytest.mark.parametrize(
    ("answer", "keep_open", "reason"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", False, "short"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", False, "short"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", True, "silent"),
        (b"", False, "lost"),
        (b"nonsense\r\n\r\n", True, "lost"),
    ],
)
def test_broken_answers_are_distinguished_and_never_reused(answer, keep_open, reason):
    """Guards against treating a truncated answer as complete."""
    server, pool = ScriptedServer(answer, keep_open=keep_open), BackEndPool()
    # Only the silent case waits for the timeout. The others allow a busy server more time.
    timeout_s = 0.3 if reason == "silent" else 5.0
    for expected in (1, 2):
        with pytest.raises(BackEndFailureError) as caught:
            exchange_once(pool, server.address, timeout_s)
        assert (caught.value.reason, server.connections) == (reason, expected)
    server.end()


def test_head_that_ends_with_the_connection_is_no_answer():
    """A head that was truncated, even before its Content-Length, was treated as complete: the
    caller received an empty successful answer."""
    head = b"HTTP/1.1 200 OK\r\nMark: genuine\r\nContent-Length: 2\r\n\r\n"
    for end in range(len(head)):
        server, pool = ScriptedServer(head[:end], keep_open=False), BackEndPool()
        with pytest.raises(BackEndFailureError) as caught:
            exchange_once(pool, server.address)
            pytest.fail(f"accepted the truncated head {head[:end]}")
        assert caught.value.reason == "lost", head[:end]
        server.end()


def test_interim_head_that_ends_with_the_connection_is_no_answer():
    server = ScriptedServer(
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + OK[:30], keep_open=False
    )
    with pytest.raises(BackEndFailureError) as caught:
        exchange_once(BackEndPool(), server.address)
    assert caught.value.reason == "lost"
    server.end()


def test_silence_drops_the_older_idle_connections():
    """Guards against requests that time out one after another on dead pooled connections."""
    server, pool = ScriptedServer(OK, OK, OK), BackEndPool()
    idle = [pool.open(server.address, fresh=True) for _ in range(3)]
    for exchange in idle:
        exchange.send("GET", "/", {}, None, 5)
        while exchange.read():
            continue
    for exchange in idle:
        exchange.close()
    assert pool.probe_and_wait(server.address)
    assert exchange_once(pool, server.address) == b"ok"
    wait_until(lambda: server.connections == 5, "the probe and the new connection")
    server.end()
    with pytest.raises(BackEndFailureError) as caught:
        pool.open(server.address, fresh=True)
    assert caught.value.reason == "connect_failed" and not caught.value.sent


CHUNKED = b"HTTP/1.1 200 OK\r\nMark: genuine\r\nTransfer-Encoding: chunked\r\n\r\n1a\r\n" + b"x" * 9


@pytest.mark.parametrize("end", range(1, len(CHUNKED)))
def test_timed_out_wait_is_not_restarted(end):
    """A truncated line was treated as complete, and the wait for the next line called `on_timeout`
    again: the reservation at another server was lost, and the silent server kept the request."""
    server, timeouts = ScriptedServer(CHUNKED[:end]), []
    exchange = BackEndPool().open(server.address)
    exchange.on_timeout = lambda bytes_came: timeouts.append(bytes_came)
    with pytest.raises(BackEndFailureError) as caught:
        exchange.send("GET", "/", {}, None, 0.02)
        while exchange.read():
            exchange.set_timeout(0.02)
    assert caught.value.reason == "silent" and len(timeouts) == 1
    exchange.close()
    server.end()


@pytest.mark.parametrize("framing", [b"Content-Length: 9\r\n", b""], ids=["length", "close"])
def test_abort_from_another_thread_ends_a_read(framing):
    """Guards against an exchange of a withdrawn key that runs until the back end answers.

    An aborted answer that ends with its connection was treated as complete.
    """
    server = ScriptedServer(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n", keep_open=True)
    exchange = BackEndPool().open(server.address)
    exchange.send("GET", "/", {}, None, 30)
    threading.Timer(0.2, exchange.abort).start()
    with pytest.raises(BackEndFailureError):
        exchange.read()
    exchange.close()
    server.end()


class TricklingServer:
    """A server that answers one connection in pieces, with a pause before each."""

    def __init__(self, *pieces, pause_s):
        self.address = (host := fresh_host(), free_port(host))
        self._listener = socket.create_server(self.address)
        self._pieces, self._pause_s = pieces, pause_s
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        sock, _ = self._listener.accept()
        sock.recv(65536)
        # The client closes the connection when its wait has timed out.
        with contextlib.suppress(OSError), sock:
            for piece in self._pieces:
                time.sleep(self._pause_s)
                sock.sendall(piece)
        self._listener.close()


def test_slow_head_times_out_as_a_whole():
    """The timeout applied per byte: a head of a byte every 0.3 s took 23.9 s instead of 0.8 s."""
    server = TricklingServer(*(bytes([byte]) for byte in OK), pause_s=0.1)
    started = time.monotonic()
    with pytest.raises(BackEndFailureError) as caught:
        exchange_once(BackEndPool(), server.address, 0.5)
    assert caught.value.reason == "silent"
    assert time.monotonic() - started < 1.5


def test_slow_head_leaves_the_body_its_own_timeout():
    pieces = (OK[:9], OK[9:20], OK[20:-2], OK[-2:-1], OK[-1:])
    server = TricklingServer(*pieces, pause_s=0.25)
    assert exchange_once(BackEndPool(), server.address, 1.5) == b"ok"


@pytest.mark.parametrize(
    "value", ["timeout=\xb2", "timeout=" + "9" * 5000, "timeout=", "timeout=-1"]
)
def test_malformed_keep_alive_sets_no_limit(value):
    assert _idle_limit_s(value) == float("inf")
