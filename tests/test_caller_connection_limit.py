"""Tests of more connections than the server's connection limit, and of what each may queue."""

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from laburnumreel.transport import HttpServer, _wsgi
from laburnumreel.transport._wsgi import CONNECTIONS_PER_THREAD
from laburnumreel_standins.processes import free_port, fresh_host, wait_until

THREADS = 1
# The connection limit of `HttpServer` for `THREADS`, including its own two descriptors.
MAX_CONNECTIONS = THREADS * CONNECTIONS_PER_THREAD + 100
SILENT_S = 60
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture
def server(log_lines):
    def application(environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    executor = ThreadPoolExecutor(1)
    host = fresh_host()
    running = HttpServer(application, (host, free_port(host)), THREADS)
    running.start(executor)
    yield running
    running.stop()
    executor.shutdown()


@pytest.fixture
def waiting_server(log_lines):
    """A server whose requests wait until `ended` is set, and the paths that have begun."""
    ended, begun = threading.Event(), []

    def application(environ, start_response):
        begun.append(environ["PATH_INFO"])
        ended.wait(SILENT_S)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    executor = ThreadPoolExecutor(1)
    host = fresh_host()
    running = HttpServer(application, (host, free_port(host)), THREADS)
    running.start(executor)
    yield running, ended, begun
    ended.set()
    running.stop()
    executor.shutdown()


def connect(server):
    return socket.create_connection(server.address, 5)


def ask(connection):
    connection.sendall(REQUEST)
    return connection.recv(65536)


def test_new_connection_is_accepted_while_others_are_idle(server, log_lines):
    """Idle connections blocked all new ones until they reached the idle limit."""
    kept = [connect(server) for _ in range(MAX_CONNECTIONS + 5)]
    new_connection = connect(server)
    assert ask(new_connection).startswith(b"HTTP/1.1 200 ")
    assert [line for line in log_lines if line["number"] == 204]
    # The most recently used connections are kept.
    assert ask(kept[-1]).startswith(b"HTTP/1.1 200 ")


def test_connection_with_a_partial_request_is_kept(server):
    partial = connect(server)
    partial.sendall(REQUEST[:20])
    kept = [connect(server) for _ in range(MAX_CONNECTIONS + 5)]
    assert ask(connect(server)).startswith(b"HTTP/1.1 200 ")
    partial.sendall(REQUEST[20:])
    assert partial.recv(65536).startswith(b"HTTP/1.1 200 ")
    assert kept


def test_new_connection_at_the_limit_does_not_wait_for_the_event_loop(server, monkeypatch):
    """A new connection waited until the event loop woke up by itself, up to a second."""
    monkeypatch.setattr(_wsgi, "LOOP_TIMEOUT_S", 600)
    kept = [connect(server) for _ in range(MAX_CONNECTIONS - 2)]
    wait_until(lambda: server.connection_count == len(kept), "all connections to be accepted")
    for _ in range(3):
        new_connection = connect(server)
        new_connection.settimeout(SILENT_S)
        assert ask(new_connection).startswith(b"HTTP/1.1 200 ")
        kept.append(new_connection)


def test_requests_of_one_segment_are_queued_by_twos(waiting_server):
    """All requests of a segment were parsed at once: a small one takes many times its bytes."""
    server, ended, begun = waiting_server
    requests = [b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % number for number in range(200)]
    connection = connect(server)
    connection.settimeout(SILENT_S)
    connection.sendall(b"".join(requests))
    wait_until(lambda: begun and server.unhandled_requests >= 2, "the first request to run")
    time.sleep(0.2)
    assert server.unhandled_requests == server.request_count == 2
    ended.set()
    received = b""
    while received.count(b"HTTP/1.1 200 ") < len(requests) or not received.endswith(b"ok"):
        data = connection.recv(65536)
        assert data, "the connection ended"
        received += data
    assert begun == [f"/{number}" for number in range(200)]
