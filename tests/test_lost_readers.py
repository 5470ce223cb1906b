"""Tests of hosts whose peers read the table of backend servers for them, and are lost."""

import itertools
import signal
import threading
import time

import pytest
from platform_world import wait_until
from relay_caller import Caller

from laburnumreel.relay._poll_schedule import READERS_PER_REGION

pytestmark = pytest.mark.processes

RELAYS = 4
HEARTBEAT_S = 1.2
# The platform's `DrainMs`, which is also the default of the setting.
DRAIN_S = 2.5


class Heartbeats:
    """Renews the entries of the workers in the store, as workers do."""

    def __init__(self, world):
        self._world = world
        self._states = dict.fromkeys(world.workers, "ready")
        self._sequence = itertools.count(2)
        self._lock = threading.Lock()
        self._ended = threading.Event()
        self.beat_at = 0.0
        threading.Thread(target=self._run, daemon=True).start()

    def drain(self, name):
        """Have a worker report that it drains; return when the store acknowledged it."""
        with self._lock:
            self._states[name] = "draining"
            self._write(name)
            return time.monotonic()

    def end(self):
        self._ended.set()

    def _write(self, name):
        fields = {"State": self._states[name], "Sequence": next(self._sequence)}
        self._world.store.put("servers", name, self._world.workers[name].entry("orders", **fields))

    def _run(self):
        while not self._ended.wait(HEARTBEAT_S):
            with self._lock:
                for name in self._states:
                    self._write(name)
                self.beat_at = time.monotonic()


def order_by_rank(relays):
    """Return the relays in the order of their ranks, or None before each knows its own."""
    by_rank = {}
    for relay in relays:
        lines = relay.find_log_lines("directory_ranked")
        if lines and lines[-1]["hosts"] == RELAYS:
            by_rank[lines[-1]["rank"]] = relay
    return [by_rank[rank] for rank in sorted(by_rank)] if len(by_rank) == RELAYS else None


def has_seen_draining(relay, name):
    return any(
        line["back_end"] == name and line["draining"]
        for line in relay.find_log_lines("back_end_listed")
    )


@pytest.mark.parametrize("lost_by", [signal.SIGKILL, signal.SIGSTOP])
def test_draining_server_gets_no_requests_after_all_readers_are_lost(world, lost_by):
    """Guards against hosts that wait for readers which are killed or paused.

    They read the table up to 3.75 s later, and sent requests to a worker that had reported more
    than 2.5 s before that it drains (issue 47, case 2).
    """
    for name in ("w1", "w2", "w3"):
        world.worker(name)
    relays = [world.launch_relay(f"relay-{number}") for number in range(RELAYS)]
    for relay in relays:
        wait_until(relay.is_ready, "the relay is ready", 60.0)
    heartbeats = Heartbeats(world)
    try:
        ranked = wait_until(lambda: order_by_rank(relays), "all relays know their ranks", 20.0)
        readers, others = ranked[:READERS_PER_REGION], ranked[READERS_PER_REGION:]
        beat_at = heartbeats.beat_at
        wait_until(lambda: heartbeats.beat_at > beat_at, "a heartbeat")
        # The readers report their poll of this heartbeat before they are lost.
        time.sleep(HEARTBEAT_S / 6)
        for relay in readers:
            relay.process.send_signal(lost_by)
        told_at = heartbeats.drain("w1")
        time.sleep(max(0.0, told_at + DRAIN_S - time.monotonic()))
        behind = [relay.name for relay in others if not has_seen_draining(relay, "w1")]
        requests_before = len(world.workers["w1"].requests("POST"))
        callers = [Caller(relay) for relay in others for _ in range(4)]
        for caller in callers:
            caller.send("/once/x")
        for caller in callers:
            assert caller.connection.getresponse().read() == b"done"
        assert len(world.workers["w1"].requests("POST")) == requests_before
        assert not behind
    finally:
        heartbeats.end()
        for relay in relays:
            relay.process.send_signal(signal.SIGCONT)
