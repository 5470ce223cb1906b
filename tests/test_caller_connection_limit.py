"""Tests of more connections than the server's connection limit, and of what each may queue."""

import contextlib
import errno
import io
import itertools
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from laburnumreel.transport import HttpServer, _wsgi
from laburnumreel.transport._closing_order import STALLED_REQUEST_S, closing_rank
from laburnumreel.transport._wsgi import CONNECTIONS_PER_THREAD
from laburnumreel_standins.processes import free_port, fresh_host, wait_until

THREADS = 1
# The connection limit of `HttpServer` for `THREADS`, including its own two descriptors.
MAX_CONNECTIONS = THREADS * CONNECTIONS_PER_THREAD + 100
SILENT_S = 60
# More than the buffers of both sockets.
LARGE_ANSWER = 8 * 1024 * 1024 * b"a"
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


@contextlib.contextmanager
def serve(application, **options):
    """Run a server with one thread for requests."""
    executor = ThreadPoolExecutor(1)
    host = fresh_host()
    running = HttpServer(application, (host, free_port(host)), THREADS, **options)
    running.start(executor)
    try:
        yield running
    finally:
        running.stop()
        executor.shutdown()


@pytest.fixture
def server(log_lines):
    def application(environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    with serve(application) as running:
        yield running


@pytest.fixture
def waiting_server(log_lines):
    """A server whose requests wait until `ended` is set, and the paths that have begun."""
    ended, begun = threading.Event(), []

    def application(environ, start_response):
        begun.append(environ["PATH_INFO"])
        ended.wait(SILENT_S)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    with serve(application) as running:
        yield running, ended, begun
        ended.set()


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


@pytest.mark.parametrize(
    "part", [REQUEST[:20], b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n1234"]
)
def test_new_connection_is_accepted_while_others_stall(server, part):
    """Connections with a part of a request kept all new ones out until the idle limit."""
    kept = [connect(server) for _ in range(MAX_CONNECTIONS + 5)]
    for connection in kept:
        connection.sendall(part)
    for _ in range(3):
        new_connection = connect(server)
        new_connection.settimeout(SILENT_S)
        assert ask(new_connection).startswith(b"HTTP/1.1 200 ")


def test_connection_that_progresses_least_is_closed(server):
    kept = [connect(server) for _ in range(MAX_CONNECTIONS - 2)]
    for connection in kept:
        connection.sendall(b"POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\n")
    wait_until(lambda: server.connection_count == len(kept), "all connections to be accepted")
    time.sleep(STALLED_REQUEST_S)
    began = time.monotonic()
    for connection in kept[1:]:
        connection.sendall(2000 * b"x")
    channels = server._server.active_channels
    wait_until(
        lambda: sum(each.progressed_at > began for each in list(channels.values()))
        == len(kept) - 1,
        "the others to be read",
    )
    time.sleep(STALLED_REQUEST_S)
    new_connection = connect(server)
    new_connection.settimeout(SILENT_S)
    assert ask(new_connection).startswith(b"HTTP/1.1 200 ")
    kept[0].settimeout(SILENT_S)
    assert kept[0].recv(1) == b""
    assert server.connection_count == len(kept)


def test_connection_with_a_running_request_is_kept(waiting_server):
    server, ended, begun = waiting_server
    running = connect(server)
    running.sendall(REQUEST)
    wait_until(lambda: begun, "the request to run")
    kept = [connect(server) for _ in range(MAX_CONNECTIONS + 5)]
    for connection in kept:
        connection.sendall(REQUEST[:20])
    new_connection = connect(server)
    new_connection.sendall(REQUEST)
    wait_until(lambda: server.request_count == 2, "the new request to be read")
    ended.set()
    running.settimeout(SILENT_S)
    assert running.recv(65536).startswith(b"HTTP/1.1 200 ")


NOW = 100.0


class _Connection:
    """A connection as far as its rank needs it."""

    def __init__(self, stalled_s, stalled_output_s=0.0, **states):
        self.is_running = self.is_receiving = self.is_idle = False
        self.total_outbufs_len = 0
        self.began_at, self.progressed_at = NOW, NOW - stalled_s
        self.__dict__ |= states
        self._stalled_output_s = stalled_output_s

    def is_stalled(self, now, limit_s):
        return self._stalled_output_s > limit_s


@pytest.mark.parametrize(
    ("connection", "rank"),
    [
        (_Connection(60.0, is_running=True), None),
        # A stream whose caller reads few bytes at a time.
        (_Connection(60.0, 1.0, is_running=True, total_outbufs_len=9), None),
        (_Connection(60.0, 6.0, is_running=True, total_outbufs_len=9), 0),
        (_Connection(60.0, total_outbufs_len=9), 0),
        (_Connection(1.0, total_outbufs_len=9), None),
        (_Connection(20.0, is_receiving=True), 0),
        (_Connection(2.0, is_receiving=True), 2),
        (_Connection(0.1, is_receiving=True), None),
        (_Connection(0.1, is_receiving=True, began_at=NOW - 3.0), 4),
        (_Connection(20.0, is_idle=True), 1),
        (_Connection(0.1, is_idle=True), 3),
    ],
)
def test_order_of_connections_that_are_closed(connection, rank):
    assert closing_rank(connection, NOW) == rank


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


@pytest.mark.parametrize("is_memory_full", [True, False])
def test_unread_answer_goes_sooner_if_answers_find_no_memory(
    log_lines, monkeypatch, is_memory_full
):
    """Answers that nobody read kept the memory from others' answers for the stall limit."""
    monkeypatch.setattr(_wsgi, "STALLED_ANSWER_S", 0.2)
    refused = itertools.count()

    def application(environ, start_response):
        start_response("200 OK", [("Content-Length", str(len(LARGE_ANSWER)))])
        return environ["wsgi.file_wrapper"](io.BytesIO(LARGE_ANSWER))

    count = (lambda: next(refused)) if is_memory_full else (lambda: 0)
    with (
        serve(application, stall_limit_s=600.0, count_refused_answers=count) as running,
        socket.socket() as stalled,
    ):
        stalled.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        stalled.connect(running.address)
        stalled.sendall(REQUEST)
        wait_until(lambda: running.unhandled_requests or not running.is_idle(), "an answer")
        if is_memory_full:
            wait_until(lambda: running.connection_count == 0, "the connection to be closed")
        else:
            time.sleep(2 * running._adjustments.cleanup_interval + 0.5)
            assert running.connection_count == 1
        assert bool([line for line in log_lines if line["number"] == 201]) == is_memory_full


def test_connection_that_was_given_up_is_kept_if_its_request_runs_by_then(waiting_server):
    """Another thread may give a connection up just before the rest of its request is read."""
    server, ended, begun = waiting_server
    connection = connect(server)
    connection.settimeout(SILENT_S)
    connection.sendall(REQUEST)
    wait_until(lambda: begun, "the request to run")
    (channel,) = server._server.active_channels.values()
    server._server.give_up(channel, "no_memory")
    wait_until(lambda: not server._server._given_up, "the event loop to look at it")
    ended.set()
    assert connection.recv(65536).startswith(b"HTTP/1.1 200 ")


def test_new_connection_is_accepted_without_descriptors_for_it(server, monkeypatch):
    """A process without descriptors tried to accept the same connection again and again."""
    idle = connect(server)
    assert ask(idle).startswith(b"HTTP/1.1 200 ")
    accept, failures = server._server.accept, iter([OSError(errno.EMFILE, "no descriptor")])

    def accept_or_fail():
        for error in failures:
            raise error
        return accept()

    monkeypatch.setattr(server._server, "accept", accept_or_fail)
    new_connection = connect(server)
    new_connection.settimeout(SILENT_S)
    assert ask(new_connection).startswith(b"HTTP/1.1 200 ")
    assert idle.recv(1) == b""
