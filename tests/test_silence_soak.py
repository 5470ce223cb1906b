"""Seeded runs of the soak with silent servers, and tests that its checks find planted faults."""

import contextlib
import http.client
import signal
import threading
import time

import pytest
from platform_world import wait_until
from silence_history import GRACE_S, Asked, History, Version, check, wanted_body, wanted_stream
from silence_servers import Server
from silence_soak import Traits, run_seed
from silence_stalls import IDLE_S, Stalls

from laburnumreel.relay._settings import RetrySettings

RETRY = RetrySettings(ratio=0.0, slack=1.0, window_s=10.0)
ROUTES = ("safe", "once", "ask", "talk")


def history(*asked):
    """Return a history of requests that came at second 100, under a configuration with 5 s and 2 attempts."""
    made = History(RETRY)
    services = {"safe": "orders", "once": "orders", "ask": "quotes", "talk": "quotes"}
    made.versions.append(
        Version(
            0.0,
            dict.fromkeys(ROUTES, 5.0),
            dict.fromkeys(ROUTES, 2),
            {route: frozenset({service}) for route, service in services.items()},
        )
    )
    for one in (*asked, request("served")):
        made.asks(one)
    return made


def request(request_id="q1", route="talk", end="whole", took_s=1.0, status=200, **fields):
    wanted = wanted_stream(4) if route in ("ask", "talk") else wanted_body(request_id, 60)
    asked = Asked(request_id, f"/{route}/4", route, route, "relay-1", True, 6.0, wanted)
    asked.sent_at, asked.ended_at, asked.end, asked.status = 100.0, 100.0 + took_s, end, status
    asked.signature = f"s.{request_id}"
    asked.body = wanted if end == "whole" and status == 200 else b""
    for name, value in fields.items():
        setattr(asked, name, value)
    return asked


def held(made, server="w1", end="whole", ran=True, ended_at=101.0, only_read=False):
    send = made.arrived("q1", server, "quotes", only_read, 100.0)
    send.ran_at, send.end, send.ended_at = 100.0 if ran else None, end, ended_at
    return made


def kinds(made):
    return [finding.kind for finding in check(made)]


@pytest.mark.parametrize(
    ("expected", "made"),
    [
        # A stream that is cut while its server is sound and its time is long.
        ("cut", held(history(request(end="cut")), end="left")),
        ("closed", held(history(request(end="closed", took_s=0.1)), ran=False)),
        # It was not passed on, but the connection ended too late for a request that crosses.
        ("closed", history(request(end="closed", took_s=0.3))),
        ("unanswered", held(history(request(end="unanswered", took_s=4.0)))),
        ("late", held(history(request(took_s=5.6)))),
        ("late", held(history(request(end="cut", took_s=5.6)))),
        ("twice", held(held(history(request(route="ask")), end="left"), "w2")),
        ("attempts", held(held(held(history(request())), "w2"), "w3")),
        ("promise", held(history(request(status=503)))),
        ("promise", held(history(request(route="once", status=429)))),
        ("denied", history(request(status=404))),
        ("denied", history(request(status=500))),
        ("body", history(request(body=wanted_stream(3)))),
        ("body", history(request(body=wanted_stream(3) + wanted_stream(4)))),
        ("body", held(history(request(end="cut", took_s=5.0, body=wanted_stream(4)[21:])))),
        ("body", history(request(signature="s.other"))),
        ("budget", held(held(held(history(request(route="safe"))), "w2"), "w2")),
    ],
)
def test_each_planted_fault_is_found(expected, made):
    assert expected in kinds(made)


def test_history_without_a_served_request_is_a_finding():
    made = history()
    made.asked.clear()
    assert kinds(made) == ["served"]


def stopped_at(made, at):
    made.stops["relay-1"] = at
    return made


def killed_at(made, at):
    made.kills["relay-1"] = at
    return made


CUT = {"end": "cut", "body": wanted_stream(2)}
CUT_IN_GRACE = request(**CUT, took_s=4.5, sent_at=102.9, ended_at=100.0 + GRACE_S * 0.9)


@pytest.mark.parametrize(
    "made",
    [
        held(history(request())),
        held(history(request(**CUT)), end="broke", ended_at=100.9),
        held(history(request(**CUT, took_s=5.0)), end="left"),
        held(history(request(**CUT, took_s=3.0, deadline_s=3.0)), end="left"),
        held(killed_at(history(request(**CUT)), 100.98)),
        held(stopped_at(history(CUT_IN_GRACE), 100.0)),
        history(request(end="closed", took_s=0.19)),
        held(history(request(status=503)), ran=False),
        held(history(request(status=504, took_s=5.4))),
        held(held(history(request()), end="left"), "w2"),
        # A prompt that is read is no run.
        held(held(history(request(route="ask")), "p1", only_read=True), "w1"),
        held(history(request(end="left"))),
    ],
)
def test_what_the_rules_allow_is_no_finding(made):
    assert not check(made)


@pytest.mark.parametrize(
    "made",
    [
        held(stopped_at(history(request(**CUT)), 100.0)),
        held(stopped_at(history(CUT_IN_GRACE), 99.8)),
        held(killed_at(history(request(**CUT)), 102.0)),
        # The server broke off after the caller had lost its stream.
        held(history(request(**CUT)), end="broke", ended_at=101.2),
    ],
)
def test_what_is_near_but_no_excuse_is_a_finding(made):
    assert kinds(made) == ["cut"]


def ask(server, request_id, path):
    host, _, port = server.worker.address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=3.0)
    connection.request("POST", path, b"{}", {"Request-Id": request_id})
    try:
        return connection.getresponse().read()
    finally:
        connection.close()


def test_servers_stand_still_in_each_place_and_go_on(world):
    made = history()
    server = Server(world, made, "w1", "quotes", seed=1)
    server.stand_still(0.4)
    bodies = {}

    def run(number):
        # The server breaks a few of its answers off.
        with contextlib.suppress(OSError, http.client.HTTPException):
            bodies[number] = ask(server, f"q{number}", "/talk/4-20")

    callers = [threading.Thread(target=run, args=(number,)) for number in range(60)]
    for caller in callers:
        caller.start()
        time.sleep(0.005)
    for caller in callers:
        caller.join()
    sends = [send for sends in made.held.values() for send in sends]
    whole = {send.request_id for send in sends if send.end == "whole" and send.ran_at}
    assert len(whole) > 40
    assert all(bodies[int(request_id[1:])] == wanted_stream(4) for request_id in whole)
    places = {place.partition(" (")[0] for send in sends for place, _, _ in send.silences}
    assert places == {"unread", "before a piece", "in a chunk line", "in a piece"}


def test_server_notes_that_it_was_left_and_that_it_is_gone(world):
    made = history()
    server = Server(world, made, "w1", "orders", seed=1)
    server.stand_still(2.0)
    for how in ("left", "broke"):
        host, _, port = server.worker.address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=0.2)
        connection.request("POST", "/safe/60", b"{}", {"Request-Id": how})
        with pytest.raises(TimeoutError):
            connection.getresponse()
        connection.close()
        (send,) = made.held[how]
        wait_until(lambda send=send: send.ended_at, "the server noticed")
        assert send.end == how
        server.die("dark")
    server.die("refused")
    with pytest.raises(OSError):
        ask(server, "q9", "/safe/60")


class Hand:
    """Processes and a clock that a test moves: `late_s` is how late the next sleep ends."""

    def __init__(self):
        self.now, self.late_s, self.used = 100.0, 0.0, {7: 0}
        self.stalls = Stalls(lambda: self.now, self._sleep, self.used.get)
        self.stalls.watch("relay-1", 7)

    def _sleep(self, seconds):
        self.now += seconds + self.late_s
        self.late_s = 0.0

    def run(self, seconds, relay_runs=True):
        end = self.now + seconds
        while self.now < end:
            self.used[7] += relay_runs
            self.stalls.look()

    def found(self):
        return [(stall.who, round(stall.end - stall.begin, 1)) for stall in self.stalls.found]


def test_soak_notes_that_it_was_held_up_itself():
    hand = Hand()
    hand.run(2.0)
    hand.late_s = 2.5
    hand.run(2.0)
    assert hand.found() == [("this process", 2.5)] and round(hand.stalls.lag_s, 2) == 2.5
    assert hand.stalls.within(104.4, 110.0) and not hand.stalls.within(104.6, 110.0)


def test_soak_notes_that_a_relay_was_held_up():
    hand = Hand()
    hand.run(2.0)
    hand.run(2.5, relay_runs=False)
    hand.run(1.0)
    assert hand.found() == [("relay-1", 2.5)]
    del hand.used[7]
    hand.stalls.look()
    assert len(hand.found()) == 1


@pytest.mark.processes
def test_paused_relay_is_seen_by_its_processor_time(world):
    relay, stalls = world.start_relay(), Stalls()
    stalls.watch(relay.name, relay.process.pid)
    stalls.start()
    relay.process.send_signal(signal.SIGSTOP)
    time.sleep(2 * IDLE_S)
    relay.process.send_signal(signal.SIGCONT)
    wait_until(lambda: [each for each in stalls.found if each.who == relay.name], "it is seen")
    stalls.end()


def traits(**changed):
    drawn = Traits(3, 2, RetrySettings(0.0, 0.0, 10.0), 18, split=False, attempts=3)
    return drawn._replace(**changed)


@pytest.mark.processes
def test_streams_are_not_cut_while_sound_servers_are_silent():
    soak, found = run_seed(1, seconds=8.0, traits=traits())
    assert not found, soak.evidence
    assert soak.faults["stand_still"] and soak.history.asked


@pytest.mark.processes
def test_seeded_run_without_a_second_attempt_has_no_finding():
    soak, found = run_seed(2, seconds=6.0, traits=traits(relays=2, attempts=1, split=True))
    assert not found, soak.evidence
    assert soak.faults["stand_still"] and soak.history.asked
