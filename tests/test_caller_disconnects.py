"""Tests of callers that shut down their sending side, at the relay and at the gateway.

Their requests are cancelled and answered with the outcome.
"""

import contextlib
import socket
import threading
import time

import pytest
from platform_answers import send_whole
from platform_world import wait_until

from laburnumreel_standins.caller import KEY

pytestmark = pytest.mark.processes

# Longer than every wait here, and shorter than the work that must be cancelled.
SILENT_S = 4.0
# Documented time limit after which the work of a disconnected caller must have ended.
DISCONNECT_LIMIT_S = 0.5


def receive_all(connection):
    """Return everything that is received until the connection ends."""
    connection.settimeout(SILENT_S)
    found = b""
    with contextlib.suppress(ConnectionError):
        while data := connection.recv(65536):
            found += data
    return found


class UntilDisconnected:
    """A worker's handler that runs until its connection ends, and then sets `ended`."""

    def __init__(self):
        self.ended = threading.Event()

    def __call__(self, handler):
        handler.connection.settimeout(SILENT_S)
        with contextlib.suppress(ConnectionError):
            if handler.connection.recv(1):
                return
        handler.close_connection = True
        self.ended.set()


def make_request(path, number=1):
    return (
        f"POST {path} HTTP/1.1\r\nHost: shop.example\r\nKey: key-a\r\nRequest-Id: left{number}\r\n"
        f"Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\n{{}}"
    ).encode()


class TestRelay:
    def test_half_closed_caller_is_answered_and_its_work_ends(self, world):
        work = UntilDisconnected()
        worker = world.worker("w1", default_answer=work)
        relay = world.start_relay()
        with socket.create_connection((relay.host, relay.port)) as connection:
            connection.sendall(make_request("/safe/x"))
            wait_until(lambda: worker.seen, "the worker to have the request")
            connection.shutdown(socket.SHUT_WR)
            assert work.ended.wait(DISCONNECT_LIMIT_S)
            answer = receive_all(connection)
        assert answer.startswith(b"HTTP/1.1 499 ") and b"caller_gone" in answer
        assert len(worker.seen) == 1

    def test_pipelined_request_of_a_disconnected_caller_reaches_no_worker(self, world):
        work = UntilDisconnected()
        worker = world.worker("w1", default_answer=work)
        relay = world.start_relay()
        with socket.create_connection((relay.host, relay.port)) as connection:
            connection.sendall(
                make_request("/safe/x") + make_request("/safe/y", 2) + make_request("/safe/z", 3)
            )
            wait_until(lambda: worker.seen, "the worker to have the request")
            connection.shutdown(socket.SHUT_WR)
            assert work.ended.wait(DISCONNECT_LIMIT_S)
            answer = receive_all(connection)
        assert answer.count(b"HTTP/1.1 499 ") == 3
        assert [path for _, path, _, _ in worker.seen] == ["/safe/x"]

    def test_pipelined_request_is_served_during_shutdown(self, world):
        world.extra_settings = "[stop]\ngrace_s = 6\n"
        worker = world.worker(
            "w1", default_answer=lambda handler: (time.sleep(0.5), send_whole(handler))
        )
        relay = world.start_relay()
        with socket.create_connection((relay.host, relay.port)) as connection:
            connection.sendall(make_request("/safe/x") + make_request("/safe/y", 2))
            wait_until(lambda: worker.seen, "the worker to have the first request")
            relay.process.terminate()
            answer = receive_all(connection)
        assert answer.count(b"HTTP/1.1 200 ") == 2 and answer.count(b"Connection: close") == 1


class TestGateway:
    def test_half_closed_caller_is_answered_and_its_work_ends(self, deployment):
        deployment.configure()
        engine = deployment.add_engine("--stream-tokens-per-s", "2")
        gateway = deployment.start_gateway()
        body = b'{"model": "small", "prompt": "x", "max_tokens": 50}'
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        with socket.create_connection(gateway.caller_address) as connection:
            connection.sendall(head.encode() + body)
            wait_until(
                lambda: gateway.metric("laburnumreel_running_requests") == 1, "the request to run"
            )
            connection.shutdown(socket.SHUT_WR)
            answer = receive_all(connection)
        assert answer.startswith(b"HTTP/1.1 499 ") and b"caller_gone" in answer
        wait_until(
            lambda: not gateway.metric("laburnumreel_running_requests"), "the request to end"
        )
        assert engine
