"""Tests of requests on callers' connections: each gets an answer or a refusal."""

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from laburnumreel.transport import HttpServer, _wsgi
from laburnumreel_standins.processes import free_port, fresh_host, wait_until

HEADER_BYTES, BODY_BYTES = 16384, 65536
SLOW_S = 0.4
# Longer than every wait of these tests, so that a silent connection makes them fail.
SILENT_S = 3.0


class Application:
    """A WSGI application that answers with the path and the length of the body.

    `/slow` sleeps first, `/stream` streams with a pause, `/cut` fails in the middle of its answer,
    `/failing` fails before its answer starts, and `/until-left` runs until the caller's disconnect
    is detected.
    """

    def __init__(self):
        self.started_paths = []
        self.disconnected_after_s = None

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        self.started_paths.append(path)
        size = len(environ["wsgi.input"].read())
        if path == "/cut":
            start_response("200 OK", [])
            return self.broken_stream()
        if path == "/stream":
            start_response("200 OK", [])
            return self.stream()
        if path == "/failing":
            raise ValueError("before the answer starts")
        if path == "/slow":
            time.sleep(SLOW_S)
        status = "200 OK"
        if path == "/until-left":
            status = self.wait_for_disconnect(environ["waitress.client_disconnected"])
        body = f"{path}:{size}\n".encode()
        start_response(status, [("Content-Length", str(len(body)))])
        return [body]

    def wait_for_disconnect(self, is_disconnected):
        started_at = time.monotonic()
        while not is_disconnected():
            if time.monotonic() - started_at > SILENT_S:
                return "200 OK"
            time.sleep(0.01)
        self.disconnected_after_s = time.monotonic() - started_at
        return "499 Left"

    def broken_stream(self):
        yield b"a part"
        time.sleep(SLOW_S)
        raise OSError("in the middle of the answer")

    def stream(self):
        yield b"one "
        time.sleep(SLOW_S)
        yield b"two\n"


@pytest.fixture
def application():
    return Application()


@pytest.fixture
def server(application, log_lines):
    executor = ThreadPoolExecutor(1)
    host = fresh_host()
    running = HttpServer(application, (host, free_port(host)), 4)
    running.set_limits(HEADER_BYTES, BODY_BYTES, 30.0)
    running.start(executor)
    yield running
    running.stop()
    executor.shutdown()


def get(path, *headers):
    lines = "".join(f"{header}\r\n" for header in headers)
    return f"GET {path} HTTP/1.1\r\nHost: x\r\n{lines}\r\n".encode()


def post(path, body, *headers):
    lines = "".join(f"{header}\r\n" for header in headers)
    length = f"Content-Length: {len(body)}\r\n"
    return f"POST {path} HTTP/1.1\r\nHost: x\r\n{length}{lines}\r\n".encode() + body


def connect(server):
    connection = socket.create_connection(server.address)
    connection.settimeout(SILENT_S)
    return connection


def read_answers(connection, count):
    """Read `count` answers; return their statuses and all received bytes."""
    received = b""
    while received.count(b"HTTP/1.1 ") < count or not received.endswith((b"\n", b"}")):
        data = connection.recv(65536)
        if not data:
            break
        received += data
    statuses = [part[:3].decode() for part in received.split(b"HTTP/1.1 ")[1:]]
    return statuses, received


def has_ended(connection):
    """Return whether the connection ends within its timeout."""
    try:
        return connection.recv(65536) == b""
    except ConnectionError:
        return True
    except TimeoutError:
        return False


class TestPipelinedRequests:
    """Requests that are sent before the previous one has been answered."""

    def test_after_an_answer_during_shutdown(self, server):
        """A request that was read before the connection is announced to close is answered."""
        connection = connect(server)
        connection.sendall(get("/slow") + get("/second"))
        time.sleep(SLOW_S / 4)
        server.close_after_answers()
        statuses, received = read_answers(connection, 2)
        assert statuses == ["200", "200"] and b"/second:0" in received
        assert has_ended(connection)

    def test_after_a_stream(self, server):
        connection = connect(server)
        connection.sendall(get("/stream") + get("/second"))
        statuses, received = read_answers(connection, 2)
        assert statuses == ["200", "200"]
        assert b"/second:0" in received

    def test_after_a_body_that_is_too_large(self, server):
        connection = connect(server)
        connection.sendall(post("/large", b"x" * (BODY_BYTES + 1)) + get("/second"))
        statuses, received = read_answers(connection, 2)
        assert statuses == ["413", "200"]
        assert b"/second:0" in received

    def test_after_a_body_that_is_too_large_and_sent_in_pieces(self, server):
        connection = connect(server)
        request_bytes = post("/large", b"x" * (BODY_BYTES + 1)) + get("/second")
        for start in range(0, len(request_bytes), 20_000):
            connection.sendall(request_bytes[start : start + 20_000])
            time.sleep(0.02)
        statuses, received = read_answers(connection, 2)
        assert statuses == ["413", "200"]
        assert b"/second:0" in received

    def test_after_an_answer_that_failed_before_its_start(self, server):
        connection = connect(server)
        connection.sendall(get("/failing") + get("/second"))
        statuses, received = read_answers(connection, 2)
        assert statuses == ["500", "200"] and b"/second:0" in received

    def test_request_after_a_truncated_answer_is_logged(self, server, log_lines):
        """The connection must be closed so that the truncated answer does not look complete."""
        connection = connect(server)
        connection.sendall(get("/cut") + get("/second"))
        while not has_ended(connection):
            pass
        cut = wait_until(
            lambda: [line for line in log_lines if line["number"] == 203], "the log line"
        )
        assert [(line["reason"], line["requests"]) for line in cut] == [("answer_closes", 1)]

    def test_request_after_connection_close_is_not_answered(self, server):
        connection = connect(server)
        connection.sendall(get("/slow", "Connection: close") + get("/second"))
        statuses, _ = read_answers(connection, 1)
        assert statuses == ["200"] and has_ended(connection)


class TestUnhandledRequests:
    """The count of requests that were read and not handled."""

    def test_handled_requests_are_not_counted(self, server):
        connection = connect(server)
        connection.sendall(get("/first") + post("/second", b"x" * (BODY_BYTES + 1)))
        statuses, _ = read_answers(connection, 2)
        assert statuses == ["200", "413"]
        wait_until(lambda: server.unhandled_requests == 0, "both requests to be handled")

    def test_running_and_waiting_requests_are_counted(self, server):
        connection = connect(server)
        connection.sendall(get("/slow") + get("/second"))
        wait_until(lambda: server.unhandled_requests == 2, "both requests to be counted")
        read_answers(connection, 2)
        wait_until(lambda: server.unhandled_requests == 0, "both requests to be handled")

    def test_requests_that_were_dropped_with_their_connection_stay_counted(self, server):
        connection = connect(server)
        connection.sendall(get("/cut") + get("/second"))
        while not has_ended(connection):
            pass
        # The first request is counted as handled behind the end of its connection.
        wait_until(
            lambda: server.is_idle() and server.unhandled_requests <= 1,
            "the first request to be handled",
        )
        assert server.unhandled_requests == 1


class TestDisconnects:
    """A disconnect looks like the end of the caller's data, which cancels its work at once."""

    def test_half_closed_caller_gets_its_answer(self, server, application):
        connection = connect(server)
        connection.sendall(get("/until-left"))
        wait_until(lambda: application.started_paths, "the request to start")
        connection.shutdown(socket.SHUT_WR)
        statuses, _ = read_answers(connection, 1)
        assert statuses == ["499"] and application.disconnected_after_s < 0.5
        assert has_ended(connection)

    def test_half_closed_caller_gets_all_its_answers(self, server):
        connection = connect(server)
        connection.sendall(get("/slow") + get("/second"))
        connection.shutdown(socket.SHUT_WR)
        statuses, _ = read_answers(connection, 2)
        assert statuses == ["200", "200"] and has_ended(connection)

    def test_disconnect_with_pipelined_requests_is_detected(self, server, application):
        connection = connect(server)
        connection.sendall(get("/until-left") + get("/b") + get("/c"))
        wait_until(lambda: application.started_paths, "the request to start")
        connection.close()
        wait_until(
            lambda: application.disconnected_after_s is not None,
            "the disconnect to be detected",
            SILENT_S * 2,
        )
        assert application.disconnected_after_s < 0.5

    def test_connection_of_a_disconnected_caller_is_closed(self, server, application):
        connection = connect(server)
        connection.sendall(get("/until-left"))
        wait_until(lambda: application.started_paths, "the request to start")
        connection.close()
        wait_until(lambda: not server.connection_count, "the connection to be closed", SILENT_S)


class TestExpectation:
    """`Expect: 100-continue`, with and without a body that is still to be sent."""

    @pytest.mark.parametrize(
        ("request_bytes", "status"),
        [
            (get("/a", "Expect: 100-continue"), "200"),
            (post("/a", b"", "Expect: 100-continue"), "200"),
            (b"POST /a HTTP/1.1\r\nContent-Length: x\r\nExpect: 100-continue\r\n\r\n", "400"),
            (b"POST /a HTTP/1.1\r\nContent-Length: 70000\r\nExpect: 100-continue\r\n\r\n", "413"),
            (
                b"POST /a HTTP/1.1\r\nContent-Length: 99999999\r\nExpect: 100-continue\r\n\r\n",
                "413",
            ),
        ],
    )
    def test_request_gets_its_answer(self, server, request_bytes, status):
        connection = connect(server)
        connection.sendall(request_bytes)
        assert read_answers(connection, 1)[0] == [status]

    def test_body_is_asked_for(self, server):
        connection = connect(server)
        connection.sendall(post("/a", b"", "Expect: 100-continue").replace(b": 0", b": 3"))
        assert connection.recv(100).startswith(b"HTTP/1.1 100 ")
        connection.sendall(b"abc")
        statuses, received = read_answers(connection, 1)
        assert statuses == ["200"] and b"/a:3" in received


class TestLimits:
    """Limits that become smaller apply only to requests that start later."""

    def test_body_that_is_being_sent_is_read_to_its_end(self, server):
        connection = connect(server)
        request_bytes = post("/a", b"x" * 60_000)
        connection.sendall(request_bytes[:30_000])
        time.sleep(0.2)
        server.set_limits(HEADER_BYTES, 1000, 30.0)
        connection.sendall(request_bytes[30_000:])
        assert read_answers(connection, 1)[0] == ["200"]
        connection.sendall(request_bytes)
        assert read_answers(connection, 1)[0] == ["413"]

    def test_head_that_is_being_sent_is_read_to_its_end(self, server):
        connection = connect(server)
        request_bytes = get("/a", "A: " + "x" * 8000)
        connection.sendall(request_bytes[:6000])
        time.sleep(0.2)
        server.set_limits(4096, BODY_BYTES, 30.0)
        connection.sendall(request_bytes[6000:])
        assert read_answers(connection, 1)[0] == ["200"]

    def test_larger_limit_holds_for_a_body_that_is_being_sent(self, server):
        server.set_limits(HEADER_BYTES, 1000, 30.0)
        connection = connect(server)
        request_bytes = (
            b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n" + b"x" * 4096
        )
        connection.sendall(request_bytes[:900])
        time.sleep(0.2)
        server.set_limits(HEADER_BYTES, BODY_BYTES, 30.0)
        connection.sendall(request_bytes[900:] + b"\r\n0\r\n\r\n")
        assert read_answers(connection, 1)[0] == ["200"]


class TestStop:
    def test_running_requests_are_answered(self, server):
        """Requests that are running when the server stops are answered."""
        connections = [connect(server) for _ in range(4)]
        for connection in connections:
            connection.sendall(get("/slow"))
        time.sleep(SLOW_S / 2)
        server.stop(final_requests_timeout_s=SILENT_S)
        for connection in connections:
            assert read_answers(connection, 1)[0] == ["200"]

    def test_request_whose_body_has_not_arrived_yet_is_answered(self, server, monkeypatch):
        """A request whose head was read is answered if its body follows at once."""
        monkeypatch.setattr(_wsgi, "PARTIAL_REQUESTS_TIMEOUT_S", SILENT_S, raising=False)
        connection = connect(server)
        connection.sendall(b"POST /a HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
        assert connection.recv(100).startswith(b"HTTP/1.1 100 ")
        stopping = threading.Thread(target=server.stop, args=(SILENT_S,))
        stopping.start()
        time.sleep(0.1)
        connection.sendall(b"ab")
        assert read_answers(connection, 1)[0] == ["200"]
        stopping.join()

    def test_request_that_is_being_received_is_answered(self, server):
        """A request that is still in the kernel's buffer when the server stops is answered."""
        connections = [connect(server) for _ in range(8)]
        for connection in connections:
            connection.sendall(get("/first"))
            read_answers(connection, 1)
        stopping = threading.Thread(target=server.stop, args=(SILENT_S,))
        for connection in connections:
            connection.sendall(get("/slow"))
        stopping.start()
        for connection in connections:
            assert read_answers(connection, 1)[0] == ["200"]
        stopping.join()
