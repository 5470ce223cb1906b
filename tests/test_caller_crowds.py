"""Tests of crowds of callers that don't behave, at the processes that serve callers.

Each test checks that the process lives, that its memory and descriptors stay under a bound, that an
ordinary request is answered while the crowd is still connected, and that what was refused has not
run. The memory of the machine is the bound, which the settings of the tests make small.
"""

import http.client
import json
import signal
import socket
import time

import pytest
from caller_crowds import (
    CHUNKED,
    LOADS,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    MB,
    REFUSALS,
    STALLS,
    TINY_REQUEST,
    Crowd,
    ProcessWatch,
    head,
)
from platform_answers import send_whole
from platform_config import config
from platform_world import wait_until
from relay_caller import Caller

from laburnumreel_standins.caller import bearer_headers

pytestmark = [pytest.mark.processes, pytest.mark.crowd, pytest.mark.timeout(180)]

# The memory of the machine.
HOST_MB = 64
LOAD_CALLERS = 80
# More callers than connections, of which these settings allow 132 for a port.
THREADS = 4
STALL_CALLERS = 160
# Below the connections of a process's ports, its own ones and its files together.
MAX_DESCRIPTORS = 300
# How long an ordinary caller waits.
PATIENCE_S = 30.0
LARGE_ANSWER = 2 * MB * b"a"
# Time for a planned stop beside a crowd, and the limit of the test for it.
GRACE_S = 8
MAX_STOP_S = 30.0


def answer_by_size(handler):
    send_whole(handler, body=LARGE_ANSWER if handler.path.endswith("/large") else b"done")


def start_relay(world, settings=""):
    """Start a relay with a small machine, and a worker that counts its requests."""
    world.extra_settings = f"[memory]\nhost_mb = {HOST_MB}\n[stop]\ngrace_s = {GRACE_S}\n{settings}"
    changed = config()
    changed["Limits"] |= {
        "MaxBodyBytes": MAX_BODY_BYTES,
        "MaxHeaderBytes": MAX_HEADER_BYTES,
        # Longer than the test, so that the idle limit doesn't end what stalls.
        "HeaderTimeoutMs": 600_000,
        "IdleTimeoutMs": 600_000,
    }
    for route in changed["Routes"]:
        route["TimeoutMs"] = 60_000
    world.store.put("op", "config", changed)
    world.worker("w1", "orders", answer_by_size, Slots=16)
    relay = world.start_relay()
    wait_until(lambda: relay.find_log_lines("back_end_listed"), "the worker is listed")
    assert ask(relay) == 200
    return relay


def ask(relay):
    """Return the status of an ordinary request, which is sent again after a refusal as it says."""
    deadline = time.monotonic() + PATIENCE_S
    deadline_ms = str(int(1000 * PATIENCE_S))
    while True:
        status, headers, _ = Caller(relay, PATIENCE_S).ask(
            "/once/ordinary", Deadline_Ms=deadline_ms
        )
        if status != 503 or time.monotonic() > deadline:
            return status
        time.sleep(float(headers["retry-after"]))


def few_threads():
    return f"[threads]\ncallers = {THREADS}\n"


def check_relay(world, relay, port, count, *forms):
    """Let a crowd come to a port of the relay, and check what must hold."""
    with ProcessWatch(relay.process.pid, relay.host) as watch:
        with Crowd((relay.host, port), count, *forms) as crowd:
            crowd.wait_until_at_rest()
            assert relay.process.poll() is None
            assert ask(relay) == 200
            statuses = crowd.statuses
        assert ask(relay) == 200
        assert relay.process.poll() is None
    check_bounds(watch)
    return statuses


def check_bounds(watch):
    """Check the bounds of the machine on a process that was watched."""
    assert 0 < watch.peak_bytes <= HOST_MB * MB, f"{watch.peak_bytes / MB:.0f} MB"
    assert 0 < watch.peak_descriptors <= MAX_DESCRIPTORS


def runs_of_the_crowd(world):
    """Return the paths that unfinished requests have run with."""
    return [path for _, path, _, _ in world.workers["w1"].requests() if path == "/once/crowd"]


class TestRelay:
    @pytest.mark.parametrize("form", LOADS)
    def test_memory_and_work_of_a_crowd_are_bounded(self, world, form):
        """Bytes around bodies, and small chunks, used up the memory or the process's time."""
        relay = start_relay(world)
        statuses = check_relay(world, relay, relay.port, LOAD_CALLERS, LOADS[form])
        assert statuses <= REFUSALS | ({200} if form == "requests_in_one_segment" else set())
        assert not runs_of_the_crowd(world)

    @pytest.mark.parametrize("form", STALLS)
    def test_stalled_callers_leave_connections_to_others(self, world, form):
        """Connections with a part of a request kept all new ones out."""
        relay = start_relay(world, few_threads())
        statuses = check_relay(world, relay, relay.port, STALL_CALLERS, STALLS[form])
        assert statuses <= REFUSALS
        assert not runs_of_the_crowd(world)

    @pytest.mark.parametrize("form", ["chunks_of_one_byte", "blank_lines"])
    def test_busy_callers_leave_connections_to_others(self, world, form):
        """Callers that send small parts without pause held all connections and made progress."""
        relay = start_relay(world, few_threads())
        statuses = check_relay(world, relay, relay.port, STALL_CALLERS, LOADS[form])
        assert statuses <= REFUSALS
        assert not runs_of_the_crowd(world)

    def test_two_forms_at_once(self, world):
        relay = start_relay(world, few_threads())
        forms = LOADS["trailers_without_end"], STALLS["half_a_head"]
        assert check_relay(world, relay, relay.port, STALL_CALLERS, *forms) <= REFUSALS
        assert not runs_of_the_crowd(world)

    @pytest.mark.parametrize("form", ["half_a_head", "trailers_without_end", "whole_bodies"])
    def test_relay_stops_within_its_grace_beside_a_crowd(self, world, form):
        relay = start_relay(world, few_threads())
        with (
            ProcessWatch(relay.process.pid, relay.host) as watch,
            Crowd((relay.host, relay.port), STALL_CALLERS, STALLS[form]) as crowd,
        ):
            crowd.wait_until_at_rest()
            assert relay.end(signal.SIGTERM, MAX_STOP_S) == 0
            assert crowd.statuses <= REFUSALS
        check_bounds(watch)
        assert not runs_of_the_crowd(world)


class TestPortOfHosts:
    @pytest.mark.parametrize("form", ["trailers_without_end", "chunks_of_one_byte", "whole_bodies"])
    def test_memory_and_work_of_a_crowd_are_bounded(self, world, form):
        relay = start_relay(world)
        statuses = check_relay(world, relay, relay.stream_port, LOAD_CALLERS, LOADS[form])
        assert statuses <= REFUSALS

    @pytest.mark.parametrize("form", ["half_a_head", "a_byte_now_and_then"])
    def test_stalled_callers_leave_connections_to_hosts(self, world, form):
        relay = start_relay(world, few_threads())
        address = relay.host, relay.stream_port
        with (
            ProcessWatch(relay.process.pid, relay.host) as watch,
            Crowd(address, STALL_CALLERS, STALLS[form]) as crowd,
        ):
            crowd.wait_until_at_rest()
            with socket.create_connection(address, PATIENCE_S) as connection:
                connection.sendall(TINY_REQUEST)
                assert connection.recv(65536).startswith(b"HTTP/1.1 ")
            assert ask(relay) == 200
            assert crowd.statuses <= REFUSALS
        assert relay.process.poll() is None
        check_bounds(watch)


class TestGateway:
    """The product's own gateway, which has the same server."""

    # How the gateway's callers differ from those of a relay.
    REWRITTEN = {
        b"POST /once/crowd ": b"POST /orders/crowd ",
        b"Key: key-a": f"Authorization: {bearer_headers()['Authorization']}".encode(),
    }

    @pytest.fixture
    def gateway(self, deployment):
        deployment.add_plain_server()
        deployment.configure(**{"profile__orders": {"max_body_bytes": MAX_BODY_BYTES}})

        def start(**sections):
            running = deployment.start_gateway(memory=f"host_mb = {HOST_MB}\n", **sections)
            wait_until(lambda: self._ask(running) == 201, "the gateway serves")
            return running

        return start

    def _ask(self, gateway):
        connection = http.client.HTTPConnection(*gateway.caller_address, timeout=PATIENCE_S)
        body = json.dumps({"hall": "a"}).encode()
        connection.request("POST", "/orders/ordinary", body, bearer_headers())
        try:
            return connection.getresponse().status
        finally:
            connection.close()

    def _form(self, form):
        wire = form.wire
        for before, after in self.REWRITTEN.items():
            wire = wire.replace(before, after, 1)
        return form._replace(wire=wire)

    def _check(self, gateway, count, form):
        with ProcessWatch(gateway.process.pid, gateway.caller_address[0]) as watch:
            with Crowd(gateway.caller_address, count, self._form(form)) as crowd:
                crowd.wait_until_at_rest()
                assert gateway.process.exit_code is None
                assert self._ask(gateway) == 201
                assert crowd.statuses <= REFUSALS
            assert self._ask(gateway) == 201
            assert gateway.process.exit_code is None
        check_bounds(watch)

    @pytest.mark.parametrize(
        "form",
        ["whole_bodies", "chunks_of_one_byte", "size_line_without_end", "trailers_without_end"],
    )
    def test_memory_and_work_of_a_crowd_are_bounded(self, gateway, form):
        self._check(gateway(threads="callers = 16\n"), LOAD_CALLERS, LOADS[form])

    @pytest.mark.parametrize("form", ["half_a_head", "bodies_of_32_KiB", "a_byte_now_and_then"])
    def test_stalled_callers_leave_connections_to_others(self, gateway, form):
        running = gateway(threads=f"callers = {THREADS}\nreserve = 4\n")
        self._check(running, STALL_CALLERS, STALLS[form])


# Single requests within the limits, as pieces that are sent with a pause between them.
UNUSUAL = {
    "a_body_of_the_largest_size": [
        head(f"Content-Length: {MAX_BODY_BYTES}") + MAX_BODY_BYTES * b"x",
    ],
    "a_large_chunk": [CHUNKED + b"3f0000\r\n" + 0x3F0000 * b"x" + b"\r\n0\r\n\r\n"],
    "single_bytes_in_chunks": [CHUNKED + 20_000 * b"1\r\nx\r\n" + b"0\r\n\r\n"],
    "extensions_and_trailers": [
        CHUNKED
        + b"1;name=value;other="
        + 200 * b"y"
        + b"\r\nx\r\n0\r\nX-Sum: 1\r\nX-Two: 2\r\n\r\n"
    ],
    "a_slow_body": [head("Content-Length: 20"), *(20 * [b"x"])],
    "slow_chunks": [*(bytes([byte]) for byte in CHUNKED + b"3\r\nabc\r\n0\r\n\r\n")],
    "a_head_of_the_largest_size": [
        CHUNKED[:-2] + b"X-Long: " + (MAX_HEADER_BYTES - 400) * b"x" + b"\r\n\r\n0\r\n\r\n"
    ],
    "blank_lines_before_it": [3 * b"\r\n" + CHUNKED + b"0\r\n\r\n"],
}
PAUSE_S = 0.05


@pytest.mark.parametrize("name", UNUSUAL)
def test_single_request_within_the_limits_is_served_in_calm(world, name):
    relay = start_relay(world)
    with socket.create_connection((relay.host, relay.port), PATIENCE_S) as connection:
        for piece in UNUSUAL[name]:
            connection.sendall(piece)
            if len(UNUSUAL[name]) > 1:
                time.sleep(PAUSE_S)
        assert connection.recv(65536).startswith(b"HTTP/1.1 200 ")
    assert len(runs_of_the_crowd(world)) == 1
