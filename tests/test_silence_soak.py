"""Seeded runs of the soak with stalling servers, and tests that its checks detect violations."""

import contextlib
import http.client
import signal
import threading
import time

import pytest
from platform_world import wait_until
from silence_history import (
    GRACE_S,
    ConfigVersion,
    History,
    RequestRecord,
    check,
    make_body,
    make_stream,
)
from silence_servers import Server
from silence_soak import SeedParameters, run_seed
from silence_stalls import CPU_IDLE_S, StallDetector

from laburnumreel.relay._settings import RetrySettings

RETRY = RetrySettings(ratio=0.0, slack=1.0, window_s=10.0)
ROUTES = ("safe", "once", "ask", "talk")


def make_history(*records):
    """Return a history of requests sent at 100 s, with a route timeout of 5 s and 2 attempts."""
    recorded = History(RETRY)
    services = {"safe": "orders", "once": "orders", "ask": "quotes", "talk": "quotes"}
    recorded.versions.append(
        ConfigVersion(
            0.0,
            dict.fromkeys(ROUTES, 5.0),
            dict.fromkeys(ROUTES, 2),
            {route: frozenset({service}) for route, service in services.items()},
        )
    )
    for one in (*records, make_request("served")):
        recorded.record_request(one)
    return recorded


def make_request(request_id="q1", route="talk", end="whole", took_s=1.0, status=200, **fields):
    expected_body = make_stream(4) if route in ("ask", "talk") else make_body(request_id, 60)
    record = RequestRecord(
        request_id, f"/{route}/4", route, route, "relay-1", True, 6.0, expected_body
    )
    record.sent_at, record.ended_at, record.end, record.status = 100.0, 100.0 + took_s, end, status
    record.signature = f"s.{request_id}"
    record.body = expected_body if end == "whole" and status == 200 else b""
    for name, value in fields.items():
        setattr(record, name, value)
    return record


def add_send(recorded, server="w1", end="whole", ran=True, ended_at=101.0, is_prefill=False):
    send = recorded.record_arrival("q1", server, "quotes", is_prefill, 100.0)
    send.ran_at, send.end, send.ended_at = 100.0 if ran else None, end, ended_at
    return recorded


def find_kinds(recorded):
    return [finding.kind for finding in check(recorded)]


@pytest.mark.parametrize(
    ("expected", "recorded"),
    [
        # A stream that is cut although its server is healthy and its time has not expired.
        ("cut", add_send(make_history(make_request(end="cut")), end="left")),
        ("closed", add_send(make_history(make_request(end="closed", took_s=0.1)), ran=False)),
        # Not forwarded, but the connection closed too late to have crossed with the request.
        ("closed", make_history(make_request(end="closed", took_s=0.3))),
        ("unanswered", add_send(make_history(make_request(end="unanswered", took_s=4.0)))),
        ("late", add_send(make_history(make_request(took_s=5.6)))),
        ("late", add_send(make_history(make_request(end="cut", took_s=5.6)))),
        ("twice", add_send(add_send(make_history(make_request(route="ask")), end="left"), "w2")),
        ("attempts", add_send(add_send(add_send(make_history(make_request())), "w2"), "w3")),
        ("promise", add_send(make_history(make_request(status=503)))),
        ("promise", add_send(make_history(make_request(route="once", status=429)))),
        ("denied", make_history(make_request(status=404))),
        ("denied", make_history(make_request(status=500))),
        ("body", make_history(make_request(body=make_stream(3)))),
        ("body", make_history(make_request(body=make_stream(3) + make_stream(4)))),
        (
            "body",
            add_send(make_history(make_request(end="cut", took_s=5.0, body=make_stream(4)[21:]))),
        ),
        ("body", make_history(make_request(signature="s.other"))),
        (
            "budget",
            add_send(add_send(add_send(make_history(make_request(route="safe"))), "w2"), "w2"),
        ),
    ],
)
def test_each_planted_fault_is_found(expected, recorded):
    assert expected in find_kinds(recorded)


def test_history_without_a_served_request_is_a_finding():
    recorded = make_history()
    recorded.requests.clear()
    assert find_kinds(recorded) == ["served"]


def set_stop_time(recorded, at):
    recorded.stop_times["relay-1"] = at
    return recorded


def set_kill_time(recorded, at):
    recorded.kill_times["relay-1"] = at
    return recorded


CUT_FIELDS = {"end": "cut", "body": make_stream(2)}
CUT_IN_GRACE = make_request(**CUT_FIELDS, took_s=4.5, sent_at=102.9, ended_at=100.0 + GRACE_S * 0.9)


@pytest.mark.parametrize(
    "recorded",
    [
        add_send(make_history(make_request())),
        add_send(make_history(make_request(**CUT_FIELDS)), end="broke", ended_at=100.9),
        add_send(make_history(make_request(**CUT_FIELDS, took_s=5.0)), end="left"),
        add_send(make_history(make_request(**CUT_FIELDS, took_s=3.0, deadline_s=3.0)), end="left"),
        add_send(set_kill_time(make_history(make_request(**CUT_FIELDS)), 100.98)),
        add_send(set_stop_time(make_history(CUT_IN_GRACE), 100.0)),
        make_history(make_request(end="closed", took_s=0.19)),
        add_send(make_history(make_request(status=503)), ran=False),
        add_send(make_history(make_request(status=504, took_s=5.4))),
        add_send(add_send(make_history(make_request()), end="left"), "w2"),
        # A prefill does not count as an execution.
        add_send(add_send(make_history(make_request(route="ask")), "p1", is_prefill=True), "w1"),
        add_send(make_history(make_request(end="left"))),
    ],
)
def test_allowed_histories_have_no_finding(recorded):
    assert not check(recorded)


@pytest.mark.parametrize(
    "recorded",
    [
        add_send(set_stop_time(make_history(make_request(**CUT_FIELDS)), 100.0)),
        add_send(set_stop_time(make_history(CUT_IN_GRACE), 99.8)),
        add_send(set_kill_time(make_history(make_request(**CUT_FIELDS)), 102.0)),
        # The server broke off only after the caller had lost its stream.
        add_send(make_history(make_request(**CUT_FIELDS)), end="broke", ended_at=101.2),
    ],
)
def test_near_excuses_are_findings(recorded):
    assert find_kinds(recorded) == ["cut"]


def send_request(server, request_id, path):
    host, _, port = server.worker.address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=3.0)
    connection.request("POST", path, b"{}", {"Request-Id": request_id})
    try:
        return connection.getresponse().read()
    finally:
        connection.close()


def test_servers_stall_in_each_place_and_resume(world):
    recorded = make_history()
    server = Server(world, recorded, "w1", "quotes", seed=1)
    server.stall(0.4)
    bodies = {}

    def run(number):
        # The server breaks off a few of its responses.
        with contextlib.suppress(OSError, http.client.HTTPException):
            bodies[number] = send_request(server, f"q{number}", "/talk/4-20")

    callers = [threading.Thread(target=run, args=(number,)) for number in range(60)]
    for caller in callers:
        caller.start()
        time.sleep(0.005)
    for caller in callers:
        caller.join()
    sends = [send for sends in recorded.sends.values() for send in sends]
    complete_ids = {send.request_id for send in sends if send.end == "whole" and send.ran_at}
    assert len(complete_ids) > 40
    assert all(bodies[int(request_id[1:])] == make_stream(4) for request_id in complete_ids)
    places = {place.partition(" (")[0] for send in sends for place, _, _ in send.silences}
    assert places == {"unread", "before a piece", "in a chunk line", "in a piece"}


def test_server_records_departed_caller_and_own_death(world):
    recorded = make_history()
    server = Server(world, recorded, "w1", "orders", seed=1)
    server.stall(2.0)
    for how in ("left", "broke"):
        host, _, port = server.worker.address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=0.2)
        connection.request("POST", "/safe/60", b"{}", {"Request-Id": how})
        with pytest.raises(TimeoutError):
            connection.getresponse()
        connection.close()
        (send,) = recorded.sends[how]
        wait_until(lambda send=send: send.ended_at, "the server recorded the end of the request")
        assert send.end == how
        server.kill("dark")
    server.kill("refused")
    with pytest.raises(OSError):
        send_request(server, "q9", "/safe/60")


class FakeProcesses:
    """Processes and a clock driven by a test; `late_s` is how late the next sleep ends."""

    def __init__(self):
        self.now, self.late_s, self.cpu_ticks = 100.0, 0.0, {7: 0}
        self.stall_detector = StallDetector(lambda: self.now, self._sleep, self.cpu_ticks.get)
        self.stall_detector.watch("relay-1", 7)

    def _sleep(self, seconds):
        self.now += seconds + self.late_s
        self.late_s = 0.0

    def run(self, seconds, relay_runs=True):
        end = self.now + seconds
        while self.now < end:
            self.cpu_ticks[7] += relay_runs
            self.stall_detector.poll()

    def detected(self):
        return [
            (stall.process_name, round(stall.end - stall.begin, 1))
            for stall in self.stall_detector.detected
        ]


def test_detector_records_stall_of_own_process():
    fake_processes = FakeProcesses()
    fake_processes.run(2.0)
    fake_processes.late_s = 2.5
    fake_processes.run(2.0)
    assert (
        fake_processes.detected() == [("this process", 2.5)]
        and round(fake_processes.stall_detector.max_lag_s, 2) == 2.5
    )
    assert fake_processes.stall_detector.find_overlapping(
        104.4, 110.0
    ) and not fake_processes.stall_detector.find_overlapping(104.6, 110.0)


def test_detector_records_stall_of_relay():
    fake_processes = FakeProcesses()
    fake_processes.run(2.0)
    fake_processes.run(2.5, relay_runs=False)
    fake_processes.run(1.0)
    assert fake_processes.detected() == [("relay-1", 2.5)]
    del fake_processes.cpu_ticks[7]
    fake_processes.stall_detector.poll()
    assert len(fake_processes.detected()) == 1


@pytest.mark.processes
def test_paused_relay_is_seen_by_its_processor_time(world):
    relay, stall_detector = world.start_relay(), StallDetector()
    stall_detector.watch(relay.name, relay.process.pid)
    stall_detector.start()
    relay.process.send_signal(signal.SIGSTOP)
    time.sleep(2 * CPU_IDLE_S)
    relay.process.send_signal(signal.SIGCONT)
    wait_until(
        lambda: [each for each in stall_detector.detected if each.process_name == relay.name],
        "stall recorded",
    )
    stall_detector.end()


def parameters(**changed):
    drawn = SeedParameters(3, 2, RetrySettings(0.0, 0.0, 10.0), 18, has_prefill=False, attempts=3)
    return drawn._replace(**changed)


@pytest.mark.processes
def test_streams_are_not_cut_while_sound_servers_are_silent():
    soak, findings = run_seed(1, seconds=8.0, parameters=parameters())
    assert not findings, soak.evidence
    assert soak.faults["stand_still"] and soak.history.requests


@pytest.mark.processes
def test_seeded_run_without_a_second_attempt_has_no_finding():
    soak, findings = run_seed(
        2, seconds=6.0, parameters=parameters(relays=2, attempts=1, has_prefill=True)
    )
    assert not findings, soak.evidence
    assert soak.faults["stand_still"] and soak.history.requests
