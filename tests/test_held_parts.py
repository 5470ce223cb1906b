"""Tests of how the gateway's dispatcher holds the parts of prompts that crash back ends."""

import random
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from laburnumreel.coordination import BrokenRequest, LoadReport, Offer, Quarantine, RoutingRequest
from laburnumreel.core import ManualClock
from laburnumreel.serving._crashes import CrashTracker, RunningWork
from laburnumreel.serving._dispatcher import BackEndSelection, Dispatcher
from laburnumreel.serving._held_parts import HeldParts
from laburnumreel.serving._silence_tracker import HedgeDenial
from laburnumreel.state import ErrorKind, Host, Refusal

FIRST, DEADLY = "f" * 16, "d" * 16
REPORT = LoadReport(0.0, "both", ("m",), 0, 0, 8, 8000, 1000, 10**6, False)


class Gateway:
    """A dispatcher, and what its request threads tell it."""

    def __init__(self, clock, gateways=1):
        self.clock = clock
        self.dispatcher = Dispatcher(clock, "a", "xela", random.Random(1), gateways)
        self.dispatcher.set_update_listener(lambda: None)

    def start(self, executor, back_ends=12):
        self.dispatcher.start(executor)
        self.dispatcher.hosts(
            [
                Host(f"w{n}", f"127.0.0.1:{9000 + n}", "a", "xela", "chat", "engine", False, "live")
                for n in range(back_ends)
            ]
        )
        for number in range(back_ends):
            self.dispatcher.on_load(f"w{number}", REPORT)

    def send(self, name, *parts, exclude=()):
        """Send a request, and return its work and its back end or refusal."""
        work = make_work(name, *parts)
        return work, self.dispatcher.choose(work, False, exclude, name)

    def send_to(self, back_end, name, *parts):
        others = [f"w{n}" for n in range(12) if f"w{n}" != back_end]
        work, chosen = self.send(name, *parts, exclude=others)
        assert chosen.name == back_end
        return work

    def crash(self, back_end, *requests):
        """Crash a back end: each request that runs there sees it."""
        for request in requests:
            self.dispatcher.on_crash(back_end, request, False)
            self.dispatcher.on_attempt_ended(back_end, request, True, True)

    def tick(self):
        self.dispatcher._call(self.dispatcher.tick)


def make_work(name, *parts):
    return RoutingRequest(name, "chat", "hall-a", "m", 100, 100, 50, (), 0, parts)


@pytest.fixture
def gateways():
    clock = ManualClock()
    pair = [Gateway(clock, gateways=2) for _ in range(2)]
    with ThreadPoolExecutor(2) as executor:
        for gateway in pair:
            gateway.start(executor)
        yield pair
        for gateway in pair:
            gateway.dispatcher.stop()


def exchange(gateways):
    updates = [gateway.dispatcher.local_update().result() for gateway in gateways]
    for number, gateway in enumerate(gateways):
        gateway.dispatcher.on_peer_update("gateway/other", updates[1 - number])
        gateway.tick()


def crash_four(gateways):
    """Crash four back ends with unlike requests, each beside a neighbour from the other gateway."""
    for number in range(4):
        bad, other = gateways if number % 2 else gateways[::-1]
        bad.send_to(f"w{number}", f"{number}d" * 8, FIRST, DEADLY)
        other.send_to(f"w{number}", "e" * 16, FIRST)
        bad.crash(f"w{number}", f"{number}d" * 8)
        other.crash(f"w{number}", "e" * 16)
        bad.clock.advance(0.1)
        sound, back_end = bad.send(f"{number}c" * 8, FIRST)
        assert not isinstance(back_end, Refusal)
        bad.dispatcher.on_first_token(back_end.name, sound.request_id)
        bad.dispatcher.on_attempt_ended(back_end.name, sound.request_id, False)
        exchange(gateways)
        bad.clock.advance(0.5)
        exchange(gateways)


def test_held_part_ends_requests_in_the_queue_and_further_sends(gateways):
    """A request that had waited, or was tried again, crashed another back end."""
    second = gateways[1]
    selection = BackEndSelection(make_work("1" * 16, FIRST, DEADLY), False, "1" * 16)
    offer = Offer("1" * 16, "chat", "hall-a", 100, 1000.0)
    waiting: Future = Future()
    second.dispatcher._queued["1" * 16] = (selection, waiting)
    crash_four(gateways)
    assert waiting.result(1).kind == ErrorKind.QUARANTINED
    for gateway in gateways:
        _, outcome = gateway.send("9" * 16, FIRST, DEADLY)
        assert outcome.kind == ErrorKind.QUARANTINED and outcome.retry_after_s > 500
        reserved = gateway.dispatcher.reserve_hedge(selection, (), 1.0)
        assert reserved is HedgeDenial.HELD
        assert gateway.dispatcher.offer(offer, selection).result(1).kind == ErrorKind.QUARANTINED
        assert not isinstance(gateway.send("8" * 16, FIRST)[1], Refusal)


def test_neighbours_of_a_held_part_are_not_quarantined(gateways):
    """Sound requests that died beside a bad one twice were refused for ten minutes."""
    crash_four(gateways)
    for gateway in gateways:
        assert gateway.dispatcher.remaining_quarantine_s("e" * 16) is None


def test_neighbour_of_a_crash_that_a_peer_saw_three_seconds_before_is_not_quarantined():
    """It kept its strikes, though the crash counted as the one that the held part explains."""
    held_parts = HeldParts()
    tracker = CrashTracker(Quarantine(), held_parts, sees_all_requests=False)
    neighbour = RunningWork("e" * 16, make_work("e" * 16, FIRST))
    tracker.record_crash("other", "e" * 16, False, {"e" * 16: neighbour}, 0.0)
    for number in range(4):
        broken = BrokenRequest(f"{number}d" * 8, (FIRST, DEADLY))
        held_parts.record_crash(f"w{number}", [broken], 1.0 + number)
        held_parts.record_answer((FIRST,), 1.5 + number)
    assert [held.part for held in held_parts.hold_guilty(5.0)] == [DEADLY]
    assert tracker.record_crash("w3", "e" * 16, False, {"e" * 16: neighbour}, 7.0) == set()


@pytest.mark.parametrize("wait_s", [1.0, 20.0])
def test_answer_lets_a_held_part_go_at_every_gateway(gateways, wait_s):
    """A part that back ends can answer again was refused until its time was over."""
    first = gateways[0]
    running = first.send_to("w9", "7" * 16, FIRST, DEADLY)
    crash_four(gateways)
    assert first.dispatcher.find_held_part((DEADLY,)) is not None
    first.clock.advance(wait_s)
    first.dispatcher.on_first_token("w9", running.request_id)
    exchange(gateways)
    for gateway in gateways:
        assert gateway.dispatcher.find_held_part((DEADLY,)) is None
