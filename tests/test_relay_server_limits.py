"""Tests that relay processes together respect the limit of a backend server, and use it."""

import threading
import time
from functools import partial

import pytest
from limit_count import CONTACT_S, LimitCount
from platform_answers import echo
from platform_world import wait_until
from relay_caller import PROMPT_HEADERS, Caller


def signed(handler):
    signature = ("Response-Signature", f"s.{handler.headers.get('Request-Id')}")
    handler.respond(200, b"done", [*echo(handler), signature])


def slow(handler):
    time.sleep(0.1)
    signed(handler)


# How long callers may run until the condition that a test waits for holds.
CALLS_S = 40.0
GAP_S = 0.05
# Length of the period in which the use of a server's limit is measured.
USED_S = 5.0
# Minimum rate of served requests at which callers can use up a server's limit. Three callers send
# about twenty requests a second.
SERVED_PER_S = 10.0


class Callers:
    """A caller for each relay, which sends one request after another until the block ends."""

    def __init__(self, relays, path, **headers):
        self._path, self._headers = path, headers
        self._end = threading.Event()
        self.served_at, self._begun = [], time.monotonic()
        self._callers = [threading.Thread(target=self._call, args=(relay,)) for relay in relays]

    def __enter__(self):
        for caller in self._callers:
            caller.start()
        return self

    def __exit__(self, *error):
        self._end.set()
        for caller in self._callers:
            caller.join()

    def _call(self, relay):
        caller = Caller(relay)
        while not self._end.is_set():
            if caller.ask(self._path, **self._headers)[0] == 200:
                self.served_at.append(time.monotonic())
            time.sleep(GAP_S)

    def until(self, condition, what):
        return wait_until(condition, what, CALLS_S)

    def busy_from(self, begin, seconds):
        """Return the start of the first period from `begin` with enough served requests."""
        while True:
            ended = partial(lambda end: time.monotonic() >= end, begin + seconds)
            self.until(ended, "the period has passed")
            served = sum(1 for at in list(self.served_at) if begin <= at < begin + seconds)
            if served >= seconds * SERVED_PER_S:
                return begin
            assert begin < self._begun + CALLS_S, "the callers are delayed all the time"
            begin += seconds


def all_logged(relays, name):
    return all(relay.find_log_lines(name) for relay in relays)


@pytest.mark.processes
class TestRelays:
    def relays(self, world, number=3):
        relays = [world.start_relay(f"relay-{each}") for each in range(number)]
        for relay in relays:
            wait_until(
                lambda r=relay: len(r.find_log_lines("relay_peer_heard")) >= number - 1, "peers"
            )
        return relays

    def test_relays_together_respect_a_reported_limit(self, world):
        """Three hosts each sent an overloaded server as much as they would without its limit."""
        count = LimitCount(1.0)
        world.worker("w1", default_answer=signed, Slots=40).limit = count
        # The other one is slower, so without limits every request would go to the limited server.
        world.worker("w2", default_answer=slow, Slots=40)
        relays = self.relays(world)
        with Callers(relays, "/safe/x") as callers:
            named_at = callers.until(lambda: count.named_at, "the server reports its limit")
            begin = callers.busy_from(named_at + CONTACT_S, USED_S)
        assert count.worst_excess() <= 0
        assert count.share_used(begin, begin + USED_S) >= 0.6
        assert all_logged(relays, "back_end_limited")

    def test_limits_of_engines_hold_for_all_kinds_of_calls(self, world):
        """Reading prompts, runs and releasing copies all count against the limit."""
        reads, runs = LimitCount(1.5), LimitCount(1.5)
        world.worker("p1", "quotes", Stage="prefill", Slots=40).limit = reads
        world.worker("d1", "quotes", Stage="decode", Slots=40).limit = runs
        world.worker("d2", "quotes", Stage="decode", Slots=40)
        relays = self.relays(world)
        with Callers(relays, "/talk/x", **PROMPT_HEADERS) as callers:
            for count in (reads, runs):
                callers.until(lambda count=count: count.named_at, "both report their limits")
            end = max(reads.named_at, runs.named_at) + 8.0
            callers.until(lambda: time.monotonic() >= end, "the window has passed twice")
        for count in (reads, runs):
            assert count.worst_excess() <= 0

    def test_limit_that_is_no_longer_reported_ends_on_all_hosts(self, world):
        count = LimitCount(2.0)
        worker = world.worker("w1", default_answer=signed, Slots=40)
        worker.limit = count
        relays = self.relays(world)
        with Callers(relays, "/safe/x") as callers:
            callers.until(lambda: all_logged(relays, "back_end_limited"), "all know the limit")
            worker.limit = None
            callers.until(lambda: all_logged(relays, "back_end_limit_ended"), "it has ended")
        # While the limit was in force, most of these would have been refused.
        for relay in relays:
            caller = Caller(relay)
            assert [caller.ask("/safe/x")[0] for _ in range(12)] == [200] * 12

    def test_unknown_header_is_logged_once(self, world):
        def strange(handler):
            signature = ("Response-Signature", f"s.{handler.headers.get('Request-Id')}")
            handler.respond(200, b"done", [*echo(handler), signature, ("Server-Mood", "low")])

        world.worker("w1", default_answer=strange)
        relay = world.start_relay()
        assert all(Caller(relay).ask("/safe/x")[0] == 200 for _ in range(3))
        noted = wait_until(lambda: relay.find_log_lines("header_unknown"), "the header is logged")
        assert [line["header"] for line in noted] == ["server-mood"]
