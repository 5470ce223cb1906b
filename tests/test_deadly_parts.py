"""A part of a prompt that crashes every backend server which begins to answer it."""

import itertools
import json
import random
import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from unittest.mock import MagicMock

import pytest
from click.testing import CliRunner
from platform_answers import close_unanswered, engine
from platform_world import wait_until
from relay_caller import Caller
from relay_samples import HERE, listed
from test_relay_peers import make_update

from laburnumreel.coordination import BrokenRequest, CrashReport
from laburnumreel.core import ManualClock
from laburnumreel.relay._assignments import Assignment, PlacementRequest
from laburnumreel.relay._attempt import Attempt
from laburnumreel.relay._crash_evidence import CrashEvidence, HeldReason, LostRequest
from laburnumreel.relay._dispatcher import MAX_WAITING, Dispatcher
from laburnumreel.relay._holds_wait import FIRST_UPDATE_WAIT_S
from laburnumreel.relay._job import Job, RelayFailedError
from laburnumreel.relay._parts_in_flight import PartsInFlight
from laburnumreel.relay._ports import Listing
from laburnumreel.relay._requests import Prompt, PromptPart
from laburnumreel.relay._settings import RetrySettings
from laburnumreel.relay._waiting import WaitingRequest
from laburnumreel.serving import RunningRequest
from laburnumreel.state import ErrorKind, Refusal
from laburnumreel.ui import cli
from laburnumreel.ui._context import Context

DEADLY = "dd:400"
# A server reads a prompt with this part for as long as the connection is open.
LONG = "ll:10"
# A route allows two sends for each request, and four crashes are enough to hold a part.
MAX_DEADLY_REQUESTS = 8
# Requests are further apart than servers that are lost for a common cause.
PAUSE_S = 0.3
MAX_READING_S = 15.0


def crash(worker, handler):
    """End a worker's listener, then the exchange, as at the end of its process."""
    worker.server.socket.shutdown(socket.SHUT_RDWR)
    close_unanswered(handler)
    threading.Thread(target=worker.end, daemon=True).start()


class Engines:
    """Engines that crash when they run a prompt with the deadly part; a new one replaces each."""

    def __init__(self, world, count):
        self._world = world
        self._names = (f"e{number}" for number in itertools.count())
        self._lock = threading.Lock()
        self.closed_by_relay = []
        self.deadly_runs = 0
        self.late_runs = 0
        self.is_held = False
        for _ in range(count):
            self.add()

    def add(self):
        name = next(self._names)
        self._world.worker(name, "quotes", lambda handler: self._answer(name, handler))

    def _answer(self, name, handler):
        is_reading = handler.headers.get("Serving-Stage") == "prefill"
        if LONG in handler.headers.get("Prefix-Hash", ""):
            handler.connection.settimeout(MAX_READING_S)
            self.closed_by_relay.append(handler.connection.recv(1) == b"")
            close_unanswered(handler)
            return
        if DEADLY not in handler.headers.get("Prefix-Hash", ""):
            engine(handler)
            return
        with self._lock:
            self.late_runs += self.is_held
            if is_reading:
                engine(handler)
                return
            self.deadly_runs += 1
            self.add()
        crash(self._world.workers[name], handler)


def prompt(number, *parts):
    """Return the headers of a prompt that shares its first part with all others."""
    named = ["aa:800", *parts, f"doc{number // 2 % 2}:100", f"own{number}:50"]
    return {"Model_Id": "m", "Token_Usage": "1500,50", "Prefix_Hash": ",".join(named)}


def ask(relay, number, *parts):
    """Send a request like no other, and return its status and headers."""
    headers = prompt(number, *parts) | ({"Deadline_Ms": "12000"} if LONG in parts else {})
    return Caller(relay).ask("/ask/q", body=f"{number}".encode(), **headers)[:2]


def held_parts(relay):
    return json.loads(relay.get(relay.admin_port, "/held")[1])["held"]


def is_refused(relay, number):
    time.sleep(PAUSE_S)
    status, headers = ask(relay, number, DEADLY)
    return status == 503 and headers.get("x-error-kind") == "crashes_back_ends"


def crash_until_held(relay, numbers):
    """Send unlike requests that crash servers, each before a sound one, until one is refused."""
    for _ in range(MAX_DEADLY_REQUESTS):
        if is_refused(relay, next(numbers)):
            return
        assert ask(relay, next(numbers))[0] == 200


@pytest.mark.processes
def test_unlike_requests_with_a_deadly_part_stop_reaching_servers_on_all_hosts(world):
    """Requests that were no two alike crashed servers without end (BUDGET)."""
    engines = Engines(world, 6)
    relays = [world.start_relay(f"relay-{number}") for number in range(1, 3)]
    numbers = itertools.count()
    for attempt in range(MAX_DEADLY_REQUESTS):
        relay = relays[attempt % len(relays)]
        if is_refused(relay, next(numbers)):
            break
        for each in relays:
            assert ask(each, next(numbers))[0] == 200
    else:
        pytest.fail(f"{engines.deadly_runs} servers crashed, and the part is not held")
    for relay in relays:
        wait_until(lambda relay=relay: is_refused(relay, next(numbers)), "all hosts hold the part")
    engines.is_held = True
    for relay in relays * 4:
        assert is_refused(relay, next(numbers))
        assert ask(relay, next(numbers))[0] == 200
    assert engines.late_runs == 0
    admin = [f"{relay.host}:{relay.admin_port}" for relay in relays]
    shown = CliRunner().invoke(cli, ["relay", "held", *admin, "--json"], obj=Context())
    assert {row["part"] for row in json.loads(shown.output)["held"]} == {"m/dd"}
    assert (
        CliRunner().invoke(cli, ["relay", "release", "m/dd", admin[0]], obj=Context()).exit_code
        == 0
    )
    for relay in relays:
        wait_until(lambda relay=relay: not held_parts(relay), "all hosts let the part go")


@pytest.mark.processes
def test_host_that_starts_learns_which_part_is_held_before_it_sends(world):
    engines = Engines(world, 6)
    first = world.start_relay("relay-1")
    numbers = itertools.count()
    crash_until_held(first, numbers)
    assert is_refused(first, next(numbers))
    engines.is_held = True
    second = world.start_relay("relay-2")
    assert is_refused(second, next(numbers))
    assert engines.late_runs == 0


@pytest.mark.processes
def test_host_that_wakes_learns_which_part_is_held_before_it_sends(world):
    """Requests that had come during a pause crashed servers under a part that was held by then."""
    engines = Engines(world, 6)
    first, second = (world.start_relay(f"relay-{number}") for number in (1, 2))
    numbers = itertools.count()
    assert ask(second, next(numbers))[0] == 200
    second.process.send_signal(signal.SIGSTOP)
    try:
        crash_until_held(first, numbers)
        assert is_refused(first, next(numbers))
        engines.is_held = True
        with ThreadPoolExecutor() as executor:
            deadly = [executor.submit(ask, second, next(numbers), DEADLY) for _ in range(6)]
            sound = [executor.submit(ask, second, next(numbers)) for _ in range(2)]
            time.sleep(PAUSE_S)
            second.process.send_signal(signal.SIGCONT)
            kinds = [each.result()[1].get("x-error-kind") for each in deadly]
            assert kinds == ["crashes_back_ends"] * len(deadly)
            assert [each.result()[0] for each in sound] == [200, 200]
    finally:
        second.process.send_signal(signal.SIGCONT)
    assert engines.late_runs == 0
    wait_until(lambda: second.find_log_lines("relay_holds_heard"), "the wait is logged")
    assert second.find_log_lines("relay_holds_heard")[-1]["peer"] == "relay-1"


@pytest.mark.processes
def test_request_that_a_server_has_is_ended_when_its_part_is_held(world):
    """Requests that were sent before the hold crashed their servers after it."""
    engines = Engines(world, 6)
    relay = world.start_relay("relay-1")
    numbers = itertools.count()
    with ThreadPoolExecutor() as executor:
        deadly, sound = (
            executor.submit(ask, relay, next(numbers), *parts, LONG) for parts in ([DEADLY], [])
        )
        crash_until_held(relay, numbers)
        held_at = time.monotonic()
        status, headers = deadly.result()
        assert time.monotonic() - held_at < 1.0
        assert (status, headers["x-error-kind"]) == (502, "crashes_back_ends")
        assert headers["x-run-state"] == "unknown"
        assert not sound.done()
    assert all(engines.closed_by_relay)


@pytest.mark.processes
def test_servers_that_crash_on_everything_hold_no_part(world):
    for number in range(6):
        name = f"x{number}"
        world.worker(name, "quotes", lambda handler, name=name: crash(world.workers[name], handler))
    relay = world.start_relay("relay-1")
    for number in range(6):
        assert ask(relay, number)[0] != 200
        time.sleep(PAUSE_S)
    assert len({line["back_end"] for line in relay.find_log_lines("server_crashed")}) == 6
    assert not relay.find_log_lines("relay_part_held")
    Engines(world, 1)
    wait_until(lambda: ask(relay, 99)[0] == 200, "the new engine serves")


def record_crashes(evidence):
    for now in (1.0, 2.0, 3.0, 4.0):
        beside = LostRequest("r0", "t0", "sound", ("m/first", "m/own"))
        bad = LostRequest(f"r{now}", f"t{now}", f"bad-{now}", ("m/first", "m/deadly"))
        for lost in (beside, bad):
            evidence.record_crash(f"s{now}", lost, now)
        evidence.record_answer(("m/first",), now + 0.1)


def test_request_that_died_beside_a_deadly_part_is_not_held_back():
    """Sound requests were held back for ten minutes after they had died beside a bad one twice."""
    evidence = CrashEvidence("host-a")
    record_crashes(evidence)
    assert evidence.held("sound", ("m/first", "m/own"), "t0", 4.2) is not None
    assert evidence.hold_guilty(4.5)
    assert evidence.held("sound", ("m/first", "m/own"), "t0", 4.6) is None
    assert "sound" not in evidence.update(4.6).crashes
    assert evidence.held("other", ("m/first", "m/deadly"), "t9", 4.6) is not None


class FakeRequest:
    def __init__(self, name, part):
        self.parts, self.token, self.digest = ("m/first", part), name, f"digest-{name}"
        self.back_ends = frozenset()
        self.running = RunningRequest(name, None, 99.0, lambda: False)
        self.is_answered = name == "answered"
        self.end_unanswered = self.running.abort


def test_hold_ends_neither_trials_nor_answers_nor_requests_with_suspects():
    evidence, in_flight = CrashEvidence("host-a"), PartsInFlight()
    requests = {
        name: FakeRequest(name, part)
        for name, part in [
            ("sent", "m/deadly"),
            ("answered", "m/deadly"),
            ("trial", "m/deadly"),
            ("suspect", "m/own"),
        ]
    }
    for request in requests.values():
        in_flight.add(request)
    record_crashes(evidence)

    def find_ended(now):
        in_flight.end_held(lambda each: evidence.held_in_flight(each.parts, each.token, now))
        reasons = {name: each.running.abort_reason for name, each in requests.items()}
        return {name: reason.kind for name, reason in reasons.items() if reason is not None}

    assert not find_ended(4.2)
    assert evidence.hold_guilty(4.5)
    evidence.start_trial(("m/deadly",), "trial", "trial", 40.0)
    assert find_ended(40.0) == {"sent": ErrorKind.CRASHES_BACK_ENDS}


class SteppedDispatcher(Dispatcher):
    """A dispatcher on a manual clock, whose service has no slot before the hold of `m/own`."""

    def __init__(self):
        self.clock = ManualClock()
        super().__init__(
            self.clock, HERE, {}, RetrySettings(0.1, 3, 10.0), 2.2, random.Random(1), host="me"
        )
        self.on_listing(Listing({"e9": listed("e9", slots=1)}, 1, 0.0, True))
        self._first = self.place(self.order("first"))
        evidence, parts = self._fleet_state.crash_evidence, ("m/first", "m/own")
        for number in range(5):
            self.clock.advance(0.08)
            now = self.clock.now()
            lost = LostRequest(f"r{number}", f"t{number}", f"d{number}", parts)
            evidence.record_crash(f"e{number}", lost, now)
            evidence.record_answer(("m/first",), now + 0.01)

    def tell(self, message):
        self.handle(message)

    def order(self, token, *parts):
        now = self.clock.now()
        waiting = WaitingRequest(token, 1, now, now + 5, now + 30)
        return PlacementRequest(waiting, "orders", None, 100, parts=parts, token=token)

    def hold(self, frees_slot):
        self.clock.advance(0.4)
        if frees_slot:
            self.on_work_ended("e9", self._first.result().run_work, "orders")
        self.tick()


@pytest.mark.parametrize("waits", [True, False])
def test_hold_leaves_one_request_as_the_trial_that_is_due_at_once(waits):
    """All requests with a held part were ended, the trial too, so that a wrong hold lasted 30 s."""
    dispatcher = SteppedDispatcher()
    requests = [FakeRequest(f"w{number}", "m/own") for number in range(3)]
    futures = []
    for request in requests:
        dispatcher.watch_parts(request)
        if waits:
            futures.append(dispatcher.place(dispatcher.order(request.token, *request.parts)))
    dispatcher.hold(frees_slot=False)
    dispatcher.hold(frees_slot=True)
    reasons = [request.running.abort_reason for request in requests]
    placed = [isinstance(future.result(0), Assignment) for future in futures]
    if waits:
        assert (placed, reasons) == ([True, False, False], [None] * 3)
    else:
        assert [reason is None for reason in reasons] == [True, False, False]
        late = dispatcher.place(dispatcher.order("w1", "m/first", "m/sound"))
        assert late.result(0).kind is ErrorKind.CRASHES_BACK_ENDS


def test_part_that_is_not_on_trial_is_the_reason():
    evidence, parts = CrashEvidence("host-a"), ("m/deadly", "m/other")
    record_crashes(evidence)
    evidence.hold_guilty(4.5)
    evidence.start_trial(parts, "trial", "trial", 40.0)
    peer = make_update("peer", 1, held_parts={"m/other": 100.0})
    assert evidence.on_peer_update(peer, 40.0)
    assert "m/other" in evidence.held_in_flight(parts, "trial", 40.1).detail


@pytest.mark.parametrize("seen_by_peer", [False, True])
def test_crash_after_a_request_was_ended_holds_no_neighbour(seen_by_peer):
    """Servers that crashed on ended requests counted against the prompts beside these only."""
    dispatcher, servers = SteppedDispatcher(), [f"q{number}" for number in range(5)]
    dispatcher.watch_parts(FakeRequest("trial", "m/own"))
    for server in servers:
        request = FakeRequest(f"ended-{server}", "m/own")
        request.back_ends = frozenset([server])
        dispatcher.watch_parts(request)
    dispatcher.hold(frees_slot=False)
    evidence = dispatcher._fleet_state.crash_evidence
    for server in servers:
        dispatcher.clock.advance(0.08)
        now, beside = dispatcher.clock.now(), ("m/first", "m/beside")
        if seen_by_peer:
            broken = BrokenRequest(f"beside-{server}", beside, server)
            report = CrashReport(server, 0.0, (broken,))
            evidence.on_peer_update(make_update("peer", 1, crash_reports=(report,)), now)
        else:
            lost = LostRequest("r", f"beside-{server}", server, beside)
            evidence.record_crash(server, lost, now)
        evidence.record_answer(("m/first",), now + 0.01)
    dispatcher.clock.advance(0.4)
    dispatcher.tick()
    assert [view.part for view in evidence.held_parts(dispatcher.clock.now())] == ["m/own"]


def test_requests_that_wait_for_holds_leave_threads_for_others():
    """All request threads of a host that had woken waited with requests that have prompt parts."""
    dispatcher = SteppedDispatcher()
    dispatcher.set_holds_query(lambda number: None)
    dispatcher.hosts(2)
    futures = [
        dispatcher.place(dispatcher.order(f"r{number}", "m/sound"))
        for number in range(MAX_WAITING + 6)
    ]
    refused = [future.result() for future in futures if future.done()]
    assert len(refused) == 6
    assert all(refusal.retry_after_s > FIRST_UPDATE_WAIT_S for refusal in refused)


def test_head_of_a_failed_answer_does_not_count_for_the_next_send():
    """A repeat of a plain request ran on under a held part because its first answer had a head."""
    job, exchange = make_job(), MagicMock()
    job.has_head = True
    exchange.write.side_effect = ConnectionResetError
    with pytest.raises(ConnectionResetError):
        Attempt(job, MagicMock(), MagicMock(), exchange).send(1.0)
    assert not job.has_head


def make_job():
    parts = Prompt("m", (PromptPart("dd", 400),), 500, 50)
    request = MagicMock(method="POST", host="h", target="/", body=b"", prompt=parts)
    running, deps = RunningRequest("r", None, 99.0, lambda: False), MagicMock()
    deps.clock.now.return_value = 1.0
    return Job(deps, request, MagicMock(), MagicMock(), "", 0, running, 1)


def test_stream_is_not_begun_after_its_request_was_ended():
    """The first event of a stream was passed on after its request had been ended, then no more."""
    in_flight, ended, begun = PartsInFlight(), make_job(), make_job()
    begun.on_answer_begun()
    for job in (ended, begun):
        in_flight.add(job)
    in_flight.end_held(lambda job: HeldReason("held", 5.0))
    with pytest.raises(RelayFailedError):
        ended.on_answer_begun()
    assert begun.running.abort_reason is None
    refusal = Refusal(ErrorKind.CRASHES_BACK_ENDS)
    assert not begun.end_unanswered(refusal), "it began after the check"
