"""Tests of how long callers' connections are kept."""

import http.client
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from laburnumreel.transport import HttpServer
from laburnumreel_standins.processes import free_port, fresh_host

HEADER_BYTES, BODY_BYTES = 16384, 65536


@pytest.fixture
def server():
    def application(environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    executor = ThreadPoolExecutor(1)
    host = fresh_host()
    running = HttpServer(application, (host, free_port(host)), 2)
    running.start(executor)
    yield running
    running.stop()
    executor.shutdown()


def connect(server):
    """Return a connection on which one request was answered."""
    connection = http.client.HTTPConnection(*server.address, timeout=5)
    ask(connection)
    return connection


def ask(connection):
    connection.request("GET", "/")
    answer = connection.getresponse()
    return answer.status, answer.read()


class TestIdleConnections:
    def test_shorter_idle_time_does_not_end_connections_that_are_idle_already(self, server):
        """Callers that were idle under the longer time still count on it."""
        server.set_limits(HEADER_BYTES, BODY_BYTES, 30.0)
        connection = connect(server)
        time.sleep(1.5)
        server.set_limits(HEADER_BYTES, BODY_BYTES, 1.0)
        time.sleep(2.5)
        assert ask(connection) == (200, b"ok")

    def test_shorter_idle_time_holds_from_the_next_request_on(self, server):
        server.set_limits(HEADER_BYTES, BODY_BYTES, 30.0)
        connection = connect(server)
        server.set_limits(HEADER_BYTES, BODY_BYTES, 1.0)
        assert ask(connection) == (200, b"ok")
        connection.sock.settimeout(5)
        assert connection.sock.recv(1) == b""

    def test_jump_of_the_time_of_day_ends_no_connection(self, server, monkeypatch):
        connection = connect(server)
        jumped = time.time() + 3600
        monkeypatch.setattr(time, "time", lambda: jumped)
        time.sleep(2.5)
        assert ask(connection) == (200, b"ok")
