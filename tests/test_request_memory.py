"""Tests of the memory that all requests of a process hold together."""

import socket
import threading
import time
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_answers import send_whole
from platform_config import config
from platform_world import wait_until
from relay_caller import BackgroundRequest, Caller

from laburnumreel.core import AnswerMemory, ManualClock, RequestMemory
from laburnumreel.core._request_memory import (
    CONNECTION_SHARE,
    MAX_RETRY_S,
    MIN_PROGRESS_BYTES,
    MIN_RETRY_S,
    PROCESS_BYTES,
    SLOW_READ_S,
    SMALL_REQUEST_BYTES,
)
from laburnumreel.relay._node import FORWARDED_SHARE, READINESS_THREADS, REFUSAL_THREADS
from laburnumreel.transport import HttpServer
from laburnumreel.transport._admin import ADMIN_THREADS, INTERNAL_CONNECTIONS
from laburnumreel.transport._request_body import RequestBody
from laburnumreel_standins.processes import free_port, fresh_host

MB = 1024 * 1024
BODY = bytes(4 * MB)
HOST_MB = 64
# The default of the setting.
RELAY_THREADS = 48
ROOM_BYTES = RequestMemory.from_host(HOST_MB, ManualClock()).max_bytes
CALLERS = 24
# The memory beside that of requests that a burst may add: threads, buffers of sockets.
OTHER_BYTES = 24 * MB

steps = st.lists(
    st.tuples(
        st.integers(0, 5),
        st.sampled_from(["hold", "finish", "release", "wait"]),
        st.integers(SMALL_REQUEST_BYTES + 1, 90_000),
    ),
    max_size=60,
)


class TestRequestMemory:
    @given(steps)
    def test_limit_holds_and_no_read_request_is_given_up(self, steps):
        """Guards against a burst of long requests that ends the process (issue 48, review/1)."""
        clock = ManualClock()
        memory, given_up = RequestMemory(150_000, clock), []
        accounts = [memory.open(lambda number=n: given_up.append(number)) for n in range(6)]
        for number, step, size in steps:
            account = accounts[number]
            was_read = [n for n, each in enumerate(accounts) if each.is_read and each.size]
            if step == "wait":
                clock.advance(SLOW_READ_S)
            elif step == "hold":
                if not account.is_read:
                    account.hold(size)
            else:
                getattr(account, step)()
            assert memory.held_bytes == sum(each.size for each in accounts) <= 150_000
            assert not set(given_up) & set(was_read)
            given_up.clear()

    def test_small_request_is_always_admitted(self):
        memory = RequestMemory(100_000, ManualClock())
        assert memory.open().hold(100_000)
        assert memory.open().hold(SMALL_REQUEST_BYTES)
        assert not memory.open().hold(SMALL_REQUEST_BYTES + 1)

    def test_single_request_over_the_limit_is_admitted(self):
        """A host with little memory must not refuse what the operator's limit allows for ever."""
        memory = RequestMemory(100_000, ManualClock())
        assert memory.open().hold(400_000)
        assert not memory.open().hold(50_000)

    def test_slow_arrivals_make_room_only_as_far_as_needed(self):
        clock = ManualClock()
        memory, dropped = RequestMemory(100_000, clock), []
        slow = [memory.open(lambda n=n: dropped.append(n)) for n in range(2)]
        assert all(each.hold(40_000) for each in slow)
        assert not memory.open().hold(50_000)
        clock.advance(SLOW_READ_S)
        assert memory.open().hold(50_000)
        assert dropped == [0]
        assert memory.held_bytes == 90_000

    def test_retry_time_follows_the_rate_at_which_memory_becomes_free(self):
        clock = ManualClock()
        memory = RequestMemory(400_000, clock)
        accounts = [memory.open() for _ in range(4)]
        assert all(each.hold(100_000) for each in accounts)
        accounts[0].release()
        assert memory.retry_after_s(50_000) == MIN_RETRY_S
        assert accounts[0].hold(100_000)
        assert memory.retry_after_s(100_000) == pytest.approx(3.0)
        assert memory.retry_after_s(10**9) == MAX_RETRY_S

    def test_small_requests_are_limited_by_the_reserve(self):
        """Requests of 32 KiB were admitted without a limit but that of connections."""
        clock = ManualClock()
        memory, dropped = RequestMemory(100_000, clock, reserved_bytes=300_000), []
        accounts = [memory.open(lambda n=n: dropped.append(n)) for n in range(20)]
        held = [each.hold(SMALL_REQUEST_BYTES) for each in accounts]
        assert held.count(True) == 400_000 // SMALL_REQUEST_BYTES
        assert memory.held_bytes <= 400_000
        # The one that made least progress goes first, and none that is read.
        accounts[1].finish()
        clock.advance(SLOW_READ_S)
        for number in (0, 3):
            accounts[number].record_progress(MIN_PROGRESS_BYTES)
        assert memory.open().hold(SMALL_REQUEST_BYTES)
        assert dropped == [2]

    def test_connection_may_use_the_reserve_and_is_kept_while_it_runs(self):
        clock = ManualClock()
        memory, closed = RequestMemory(100_000, clock, reserved_bytes=200_000), []
        body, connection = memory.open(), memory.open(lambda: closed.append(1), True)
        assert body.hold(100_000) and connection.hold(150_000, may_give_up=False)
        clock.advance(SLOW_READ_S)
        assert not memory.open(uses_reserve=True).hold(250_000)
        assert not closed
        assert connection.hold(150_000) and memory.open(uses_reserve=True).hold(200_000)
        assert closed
        connection.close()
        assert not connection.hold(1)

    def test_slow_but_steady_body_is_not_given_up(self):
        """A body that took longer than two seconds made room for others, however fast it came."""
        clock = ManualClock()
        memory, dropped = RequestMemory(100_000, clock), []
        steady = memory.open(lambda: dropped.append("steady"))
        assert steady.hold(64 * MIN_PROGRESS_BYTES)
        for _ in range(4):
            clock.advance(SLOW_READ_S / 2)
            steady.record_progress(MIN_PROGRESS_BYTES)
        assert not memory.open().hold(60_000)
        clock.advance(SLOW_READ_S)
        assert memory.open().hold(60_000) and dropped == ["steady"]

    @pytest.mark.parametrize("host_mb", [160, 200, 300, 512, 552])
    def test_all_that_callers_hold_fits_into_the_host(self, host_mb):
        """The parts of the memory were bounded each for itself, and never added up."""
        memory = RequestMemory.from_host(host_mb, ManualClock())
        threads = RELAY_THREADS
        servers = [
            make_server(threads + REFUSAL_THREADS),
            make_server(round(FORWARDED_SHARE * threads) + REFUSAL_THREADS),
            make_server(READINESS_THREADS, INTERNAL_CONNECTIONS),
            make_server(ADMIN_THREADS, INTERNAL_CONNECTIONS),
        ]
        connection_bytes = sum(each.max_connection_bytes for each in servers)
        for server in servers:
            server.stop()
        host_bytes = host_mb * MB
        assert connection_bytes <= CONNECTION_SHARE * host_bytes
        answer_bytes = AnswerMemory.from_host(host_mb, threads).max_bytes
        request_bytes = memory.max_bytes + memory.reserved_bytes
        total = PROCESS_BYTES + answer_bytes + request_bytes + connection_bytes
        assert total <= host_bytes
        assert PROCESS_BYTES + answer_bytes + request_bytes + CONNECTION_SHARE * host_bytes <= (
            host_bytes + 1
        )


def make_server(threads, max_connections=None):
    """Return a server with the limits of one of a relay's."""
    host = fresh_host()
    return HttpServer(
        lambda environ, start_response: [],
        (host, free_port(host)),
        threads,
        max_connections=max_connections,
    )


class TestRequestBody:
    def test_whole_body_is_read_without_a_copy_left_behind(self):
        body = RequestBody(None, 0)
        for _ in range(4):
            body.append(b"x" * MB)
        assert body.getfile().read() == b"x" * 4 * MB
        assert body.getfile().read() == b""

    def test_body_without_room_is_dropped_and_counts_nothing(self):
        memory = RequestMemory(MB, ManualClock())
        first = RequestBody(memory, MB)
        second = RequestBody(memory, 0)
        for _ in range(8):
            second.append(bytes(SMALL_REQUEST_BYTES))
        assert second.is_dropped and second.getfile().read() == b""
        # What arrived before there was no more room, in a body of unknown length.
        assert memory.held_bytes == MB
        assert len(second) == 8 * SMALL_REQUEST_BYTES
        first.close()
        second.close()
        assert memory.held_bytes == 0


def peak_bytes(relay):
    for line in Path(f"/proc/{relay.process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return 1024 * int(line.split()[1])
    raise AssertionError("no peak memory")


def start_long(relay, number, answers):
    """Send a long request on a thread, and record the status and Retry-After of its answer."""

    def send():
        caller = Caller(relay, timeout_s=60.0)
        status, headers, _ = caller.ask(f"/once/{number}", body=BODY, Deadline_Ms="50000")
        answers[number] = status, headers.get("retry-after")

    thread = threading.Thread(target=send)
    thread.start()
    return thread


def start_slow(relay, number):
    """Send the head of a long request and a part of its body, and return the connection."""
    connection = socket.create_connection((relay.host, relay.port), 60.0)
    head = (
        f"POST /once/slow{number} HTTP/1.1\r\nHost: shop.example\r\nKey: key-a\r\n"
        f"Request-Id: slow{number}\r\nDeadline-Ms: 50000\r\nContent-Length: {len(BODY)}\r\n\r\n"
    )
    connection.sendall(head.encode() + BODY[:1000])
    return connection


@pytest.mark.processes
class TestRelay:
    @pytest.fixture
    def relay(self, world):
        world.extra_settings = f"[memory]\nhost_mb = {HOST_MB}\n"
        changed = config()
        changed["Limits"]["MaxBodyBytes"] = len(BODY)
        for route in changed["Routes"]:
            route["TimeoutMs"] = 60000
        world.store.put("op", "config", changed)
        return world.start_relay()

    def test_burst_of_long_requests_stays_within_the_memory(self, world, relay):
        """A burst of requests of the largest size made the platform kill the process."""
        ended = threading.Event()

        def answer_at_the_end(handler):
            ended.wait(60.0)
            send_whole(handler)

        worker = world.worker("w1", default_answer=answer_at_the_end, Slots=2 * CALLERS)
        wait_until(lambda: relay.find_log_lines("back_end_listed"), "the worker is listed")
        before, answers = peak_bytes(relay), {}
        threads = [start_long(relay, number, answers) for number in range(CALLERS)]
        room = ROOM_BYTES // len(BODY)
        wait_until(lambda: len(worker.requests("POST")) >= room, "as many run as there is room")
        wait_until(lambda: len(answers) == CALLERS - room, "the others are refused")
        small = BackgroundRequest(relay, "/once/small")
        wait_until(lambda: len(worker.requests("POST")) == room + 1, "the small request runs")
        assert {status for status, _ in answers.values()} == {503}
        assert all(float(wait_s) > 0 for _, wait_s in answers.values())
        ended.set()
        for thread in threads:
            thread.join()
        assert [status for status, _ in answers.values()].count(200) == room
        assert small.result() == 200
        assert peak_bytes(relay) - before <= ROOM_BYTES + OTHER_BYTES
        assert peak_bytes(relay) <= HOST_MB * MB
        # A request ends behind its answer.
        metrics = "laburnumreel_request_bytes 0"
        wait_until(
            lambda: metrics in relay.get(relay.admin_port, "/metrics")[1].decode(),
            "ended requests hold nothing",
        )

    def test_slow_senders_do_not_keep_others_out(self, world, relay):
        worker = world.worker("w1", Slots=8)
        wait_until(lambda: relay.find_log_lines("back_end_listed"), "the worker is listed")
        room = ROOM_BYTES // len(BODY)
        slow = [start_slow(relay, number) for number in range(room)]
        try:
            time.sleep(SLOW_READ_S)
            answers = {}
            wait_until(lambda: self._is_served(relay, answers), "a long request is served")
            # The one that made room gets its answer once it has sent its body.
            slow[0].sendall(BODY[1000:])
            assert slow[0].recv(65536).startswith(b"HTTP/1.1 503 ")
            slow[-1].sendall(BODY[1000:])
            assert slow[-1].recv(65536).startswith(b"HTTP/1.1 200 ")
            assert len(worker.requests("POST")) == 2
        finally:
            for connection in slow:
                connection.close()
        metrics = "laburnumreel_request_bytes 0"
        wait_until(
            lambda: metrics in relay.get(relay.admin_port, "/metrics")[1].decode(),
            "closed connections hold nothing",
        )

    def _is_served(self, relay, answers):
        start_long(relay, 0, answers).join()
        return answers[0][0] == 200

    def test_caller_that_waits_to_send_its_body_is_refused_before(self, world, relay):
        world.worker("w1", Slots=8)
        room = ROOM_BYTES // len(BODY)
        slow = [start_slow(relay, number) for number in range(room)]
        try:
            held = f"laburnumreel_request_bytes {room * len(BODY)}"
            wait_until(
                lambda: held in relay.get(relay.admin_port, "/metrics")[1].decode(),
                "the memory is full",
            )
            with socket.create_connection((relay.host, relay.port), 60.0) as connection:
                head = (
                    "POST /once/x HTTP/1.1\r\nHost: shop.example\r\nKey: key-a\r\nRequest-Id: x\r\n"
                    f"Expect: 100-continue\r\nContent-Length: {len(BODY)}\r\n\r\n"
                )
                connection.sendall(head.encode())
                assert connection.recv(65536).startswith(b"HTTP/1.1 503 ")
        finally:
            for connection in slow:
                connection.close()
