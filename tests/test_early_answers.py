"""Tests of answers that begin before the request was sent whole, and of impossible status lines."""

import http.client
import socket
import struct
import time

import pytest
from endless_server import EndlessServer
from platform_config import config
from platform_world import wait_until
from relay_caller import Caller

from laburnumreel.transport import BackEndFailureError, BackEndPool
from laburnumreel_standins.caller import bearer_headers

# More than the buffers of both sockets, so that the request is still being written.
BODY = 16 * 1024 * 1024 * b"x"
PAUSE_S = 0.3
TIMEOUT_S = 10.0
RESET = struct.pack("ii", 1, 0)
NAMES = b"Request-Id: r1\r\nResponse-Signature: s.r1\r\n"
PART = b"HTTP/1.1 200 OK\r\n" + NAMES + b"\r\npart of a body"


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


def answer_and_reset(sock):
    sock.sendall(PART)
    time.sleep(PAUSE_S)
    reset(sock)


def answer_and_reset_at_once(sock):
    sock.sendall(PART)
    reset(sock)


def end_and_reset(sock):
    sock.sendall(PART)
    sock.shutdown(socket.SHUT_WR)
    time.sleep(PAUSE_S)
    reset(sock)


def end_and_read(sock):
    """End the answer before the request has ended, and read the request all the same."""
    sock.sendall(PART)
    sock.shutdown(socket.SHUT_WR)
    time.sleep(PAUSE_S)
    while sock.recv(1 << 20):
        continue


def reset_in_chunks(sock):
    sock.sendall(PART.replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n"))
    time.sleep(PAUSE_S)
    reset(sock)


EARLY = [answer_and_reset, answer_and_reset_at_once, end_and_reset, end_and_read, reset_in_chunks]


def send_line(line):
    """Return a handler that sends an answer with this status line."""

    def answer(sock):
        sock.sendall(line + b"\r\n" + NAMES + b"Content-Length: 4\r\n\r\nbody")

    return answer


IMPOSSIBLE_LINES = [
    b"HTTP/1.1 000 ",
    b"HTTP/1.1 099 Low",
    b"HTTP/1.1 600 High",
    b"HTTP/1.1 999 High",
    b"HTTP/1.1 1000 Long",
    b"HTTP/1.1 0200 Zero",
    b"HTTP/1.1 +20 Sign",
    b"HTTP/1.1 +200 Sign",
    b"HTTP/1.1 2_00 Underscore",
    b"HTTP/1.1 abc Text",
    b"HTTP/1.1 OK",
    b"HTTP/1.1",
    b"HTTP/0.9 200 OK",
    b"HTTP/1.9 200 OK",
    b"HTTP/1.1x 200 OK",
    b"HTTP/2 200",
    b"HTTP/2.0 200 OK",
    b"200 OK",
    b"body",
]
SOUND_LINES = [b"HTTP/1.1 200 OK", b"HTTP/1.0 200 OK", b"HTTP/1.1 200", b"HTTP/1.1 599 Custom"]


def name_of(value):
    return value.__name__ if callable(value) else value.decode().strip().replace(" ", "_")


@pytest.fixture
def serve():
    """A function that starts a server with one answer."""
    running = []

    def start(answer):
        running.append(EndlessServer(answer))
        return running[-1]

    yield start
    for server in running:
        server.end()


def ask(server, body=b""):
    exchange = BackEndPool().open(server.address)
    try:
        exchange.send("POST", "/", {}, body, TIMEOUT_S)
        return exchange.status, exchange.read_whole(1 << 20, TIMEOUT_S)
    finally:
        exchange.discard()


class TestExchange:
    @pytest.mark.parametrize("answer", EARLY, ids=name_of)
    def test_part_of_an_early_answer_is_never_complete(self, serve, answer):
        with pytest.raises(BackEndFailureError):
            ask(serve(answer), BODY)

    @pytest.mark.parametrize("line", IMPOSSIBLE_LINES, ids=name_of)
    def test_impossible_status_line_is_no_answer(self, serve, line):
        with pytest.raises(BackEndFailureError):
            ask(serve(send_line(line)))

    @pytest.mark.parametrize("line", SOUND_LINES, ids=name_of)
    def test_sound_status_line_is_an_answer(self, serve, line):
        assert ask(serve(send_line(line))) == (int(line.split()[1]), b"body")

    def test_early_answer_with_its_length_is_complete(self, serve):
        def refuse(sock):
            sock.sendall(b"HTTP/1.1 413 Long\r\n" + NAMES + b"Content-Length: 4\r\n\r\nbody")
            while sock.recv(1 << 20):
                continue

        assert ask(serve(refuse), BODY) == (413, b"body")


@pytest.mark.processes
class TestRelay:
    @pytest.fixture
    def relay(self, world, serve):
        def start(answer):
            changed = config()
            changed["Limits"]["MaxBodyBytes"] = len(BODY)
            for route in changed["Routes"]:
                route["TimeoutMs"] = 20_000
            world.store.put("op", "config", changed)
            world.worker("w1", Address="{}:{}".format(*serve(answer).address))
            relay = world.start_relay()
            wait_until(lambda: relay.find_log_lines("back_end_listed"), "the worker is listed")
            return relay

        return start

    @pytest.mark.parametrize("answer", EARLY, ids=name_of)
    @pytest.mark.parametrize("path", ["/once/x", "/safe/x"])
    def test_part_of_an_early_answer_is_never_passed_on(self, relay, answer, path):
        caller = Caller(relay(answer), 30.0)
        status, headers, _ = caller.ask(path, body=BODY, Request_Id="r1", Deadline_Ms="15000")
        assert status == 502 and headers["x-run-state"] == "unknown"

    @pytest.mark.parametrize("line", [b"HTTP/1.1 000 ", b"HTTP/1.1 999 High"], ids=name_of)
    def test_impossible_status_is_never_passed_on(self, relay, line):
        status, headers, _ = Caller(relay(send_line(line))).ask("/once/x", Request_Id="r1")
        assert status == 502 and headers["x-run-state"] == "unknown"


@pytest.mark.processes
class TestGateway:
    @pytest.fixture
    def gateway(self, deployment, serve):
        def start(answer):
            address = serve(answer).address
            deployment.hosts.append(
                {
                    "name": "plain-0",
                    "address": "{}:{}".format(*address),
                    "zone": "zone-a",
                    "region": "region-a",
                    "service": "orders",
                    "kind": "plain",
                }
            )
            deployment.set_hosts()
            deployment.configure(profile__orders={"max_body_bytes": len(BODY)})
            return deployment.start_gateway()

        return start

    def _ask(self, gateway, body):
        connection = http.client.HTTPConnection(*gateway.caller_address, timeout=30.0)
        connection.request("POST", "/orders/x", body, bearer_headers())
        answer = connection.getresponse()
        return answer.status, answer.getheader("X-Run-State"), answer.read()

    @pytest.mark.parametrize("answer", EARLY, ids=name_of)
    def test_part_of_an_early_answer_is_never_passed_on(self, gateway, answer):
        assert self._ask(gateway(answer), BODY)[:2] == (502, "unknown")

    @pytest.mark.parametrize("line", [b"HTTP/1.1 000 ", b"HTTP/1.1 999 High"], ids=name_of)
    def test_impossible_status_is_never_passed_on(self, gateway, line):
        assert self._ask(gateway(send_line(line)), b"{}")[:2] == (502, "unknown")
