"""Tests of `await_bytes`, the wait for bytes on the connections of several exchanges."""

import socket
import threading
import time

import pytest

from laburnumreel.transport import BackEndPool, await_bytes


@pytest.fixture
def server_silent_after_head():
    """Return the address of a server that sends only a head with `Connection: close`."""
    listener = socket.create_server(("127.0.0.1", 0))
    done = threading.Event()

    def serve():
        connection, _ = listener.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
            done.wait(10.0)

    thread = threading.Thread(target=serve)
    thread.start()
    yield listener.getsockname()
    done.set()
    thread.join()
    listener.close()


def test_wait_blocks_when_the_answer_closes_its_connection(server_silent_after_head):
    """http.client drops the socket of such a connection; the wait must not become a busy loop."""
    pool = BackEndPool()
    exchange = pool.open(server_silent_after_head)
    exchange.send("GET", "/", {}, None, 5.0)
    began = time.monotonic()
    await_bytes([exchange], 0.2)
    assert time.monotonic() - began >= 0.19
    exchange.discard()
    pool.close()
