"""Tests of callers' connections: idle limits, and requests without a free thread."""

import http.client
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from platform_answers import send_whole
from platform_config import config
from platform_world import WAIT_S, wait_until
from relay_caller import Caller

from laburnumreel.transport import HttpServer
from laburnumreel_standins.processes import free_port, fresh_host

HEADER_BYTES, BODY_BYTES = 16384, 65536
# Timeout of requests that a test blocks on purpose.
LONG_TIMEOUT_MS = 30_000


# More than a connection can buffer while its caller does not read.
LARGE_BYTES = 16 * 1024 * 1024


@pytest.fixture
def server():
    def application(environ, start_response):
        body = b"x" * LARGE_BYTES if environ["PATH_INFO"] == "/large" else b"ok"
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    executor = ThreadPoolExecutor(1)
    host = fresh_host()
    running = HttpServer(application, (host, free_port(host)), 2)
    running.start(executor)
    yield running
    running.stop()
    executor.shutdown()


def connect(server):
    """Return a connection on which one request has been answered."""
    connection = http.client.HTTPConnection(*server.address, timeout=5)
    ask(connection)
    return connection


def ask(connection):
    connection.request("GET", "/")
    answer = connection.getresponse()
    return answer.status, answer.read()


class TestIdleConnections:
    def test_shorter_idle_limit_spares_already_idle_connections(self, server):
        """Callers of connections that are already idle still rely on the longer limit."""
        server.set_limits(HEADER_BYTES, BODY_BYTES, 30.0)
        connection = connect(server)
        time.sleep(1.5)
        server.set_limits(HEADER_BYTES, BODY_BYTES, 1.0)
        time.sleep(2.5)
        assert ask(connection) == (200, b"ok")

    def test_shorter_idle_limit_spares_connection_that_just_became_idle(self, server):
        """The limit changes between an answer and the next check for idle connections."""
        server.set_limits(HEADER_BYTES, BODY_BYTES, 30.0)
        for _ in range(3):
            connection = connect(server)
            server.set_limits(HEADER_BYTES, BODY_BYTES, 1.0)
            time.sleep(2.6)
            assert ask(connection) == (200, b"ok")
            server.set_limits(HEADER_BYTES, BODY_BYTES, 30.0)

    def test_shorter_idle_limit_applies_from_the_next_request(self, server):
        server.set_limits(HEADER_BYTES, BODY_BYTES, 30.0)
        connection = connect(server)
        server.set_limits(HEADER_BYTES, BODY_BYTES, 1.0)
        assert ask(connection) == (200, b"ok")
        connection.sock.settimeout(5)
        assert connection.sock.recv(1) == b""

    def test_unread_answer_does_not_count_as_idle_time(self, server):
        server.set_limits(HEADER_BYTES, BODY_BYTES, 1.0)
        connection = http.client.HTTPConnection(*server.address, timeout=10)
        connection.request("GET", "/large")
        time.sleep(3.5)
        assert len(connection.getresponse().read()) == LARGE_BYTES

    def test_clock_jump_closes_no_connection(self, server, monkeypatch):
        connection = connect(server)
        jumped = time.time() + 3600
        monkeypatch.setattr(time, "time", lambda: jumped)
        time.sleep(2.5)
        assert ask(connection) == (200, b"ok")

    def test_closing_idle_connections_closes_no_new_one(self, server, monkeypatch):
        """A new connection may get the descriptor of one that is closed in the same iteration."""
        server.set_limits(HEADER_BYTES, BODY_BYTES, 1.0)
        idle = [connect(server) for _ in range(20)]
        run_maintenance, new_connections = server._server.maintenance, []

        def connect_before_maintenance(now):
            new_connections.append(socket.create_connection(server.address, 5))
            run_maintenance(now)

        monkeypatch.setattr(server._server, "maintenance", connect_before_maintenance)
        while server.connection_count > len(new_connections):
            time.sleep(0.05)
        assert all(connection.sock.recv(1) == b"" for connection in idle)
        new_connections[-1].sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert new_connections[-1].recv(100).startswith(b"HTTP/1.1 200 ")


@pytest.mark.processes
class TestRequestThreads:
    def test_requests_without_a_thread_are_refused_at_once(self, world):
        world.extra_settings = "[threads]\ncallers = 2\n"
        changed = config()
        changed["Routes"][0]["TimeoutMs"] = LONG_TIMEOUT_MS
        world.store.put("op", "config", changed)
        may_end = threading.Event()
        worker = world.worker(
            "w1",
            default_answer=lambda handler: (may_end.wait(WAIT_S), send_whole(handler)),
            Slots=50,
        )
        relay = world.start_relay()
        answers = []

        def send_long_request():
            caller = Caller(relay, timeout_s=LONG_TIMEOUT_MS / 1000)
            answers.append(caller.ask("/safe/x", "GET", Deadline_Ms=str(LONG_TIMEOUT_MS))[:2])

        threads = [threading.Thread(target=send_long_request) for _ in range(14)]
        for thread in threads:
            thread.start()
        # The two requests that have a thread are still running.
        wait_until(lambda: len(answers) == 12, "twelve refusals")
        refused = [headers for status, headers in answers if status == 503]
        may_end.set()
        for thread in threads:
            thread.join()
        assert [status for status, _ in answers[12:]] == [200] * 2
        assert len(worker.requests()) == 2 and len(refused) == 12
        assert all(headers["x-error-kind"] == "threads_exhausted" for headers in refused)
        assert all(float(headers["retry-after"]) > 0 for headers in refused)

    def test_queue_time_counts_towards_the_deadline(self, world):
        """A request's deadline, also the one sent to its worker, counts from when it was read."""
        world.extra_settings = "[threads]\ncallers = 1\n"
        worker = world.worker(
            "w1", default_answer=lambda handler: (time.sleep(0.3), send_whole(handler))
        )
        relay = world.start_relay()
        callers = [Caller(relay) for _ in range(8)]
        for caller in callers:
            caller.send("/safe/x", "GET", Deadline_Ms="2000")
        for caller in callers:
            caller.connection.getresponse().read()
        wait_until(lambda: relay.find_log_lines("request_served"), "served requests to be logged")
        assert all(int(headers["Deadline-Ms"]) <= 2000 for _, _, headers, _ in worker.seen)
        refused = relay.find_log_lines("request_refused")
        assert all(line["queued_ms"] is not None for line in refused)
