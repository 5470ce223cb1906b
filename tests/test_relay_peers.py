"""Tests of the exchange of updates between hosts, over loopback datagrams."""

import contextlib
import socket
import threading

import pytest

from laburnumreel.core import ManualClock, SystemClock
from laburnumreel.relay import _peer_gossip
from laburnumreel.relay._peer_gossip import (
    BATCH_WAIT_S,
    HANDOFF_PEERS,
    HISTORY_RESEND_S,
    PeerGossip,
)
from laburnumreel.relay._peer_update import PeerUpdate, decode_update, encode_update
from laburnumreel.relay._usage_counters import EndedCounts, Process, UsageUpdate
from laburnumreel_standins.processes import fresh_host, wait_until


def make_update(sender, sequence, **fields):
    values = {
        "sender": sender,
        "boot": "boot",
        "zone": "zone-a",
        "sequence": sequence,
        "config_version": 1,
        "stopping": False,
        "work": {},
        "avoided": {},
        "held_back": {},
        "crashes": {},
        "leaving": {},
        "usage": {},
        "kept": {},
        "duty_fence": 0,
        "listing_version": 0,
        **fields,
    }
    return PeerUpdate(**values)


ENDED_COUNTS = EndedCounts(Process("h99", "boot"), 6, {"b": 5})


class SteppedGossip:
    """A `PeerGossip` that the test steps, with the batches of updates that it passed on."""

    def __init__(self, clock, interval_s=0.05, far_zone=""):
        self.batches, self.silent = [], []
        self.address = (fresh_host(), 8004)
        self.peers = PeerGossip(
            self.address,
            clock,
            interval_s,
            lambda cross_region: make_update("me", 0),
            lambda: 0,
            lambda with_history: (
                UsageUpdate(7, {4: {"a": 1}, 7: {"a": 2}}, (ENDED_COUNTS,))
                if with_history
                else UsageUpdate(7, {7: {"a": 2}})
            ),
            lambda zone: zone == far_zone,
            lambda batch: self.batches.append(list(batch)),
            self.silent.append,
        )

    def received(self):
        return [each for batch in list(self.batches) for each in batch]

    def stop(self):
        self.peers.close()


class RunningGossip(SteppedGossip):
    """A `PeerGossip` that runs on a thread of its own."""

    def __init__(self, interval_s=600.0):
        super().__init__(SystemClock(), interval_s)
        self._end = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        while not self._end.is_set():
            self.peers.tick()

    def stop(self):
        self._end.set()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as last:
            last.sendto(b"end", self.address)
        self._thread.join(5)
        super().stop()


def receive(sock):
    """Return the next update that a socket receives."""
    return decode_update(sock.recvfrom(65536)[0]).ok


def receive_all(sock):
    """Return all updates that a non-blocking socket has received."""
    received = []
    with contextlib.suppress(BlockingIOError):
        while True:
            received.append(receive(sock))
    return received


@pytest.fixture
def running_gossip():
    running = RunningGossip()
    yield running
    running.stop()


class FakeSleep:
    """Replaces `time.sleep` in the peers' task: records each wait and calls `on_sleep` in it."""

    def __init__(self, monkeypatch):
        self.on_sleep = lambda: None
        self.waits_s = []
        monkeypatch.setattr(_peer_gossip.time, "sleep", self._sleep)

    def _sleep(self, seconds):
        self.waits_s.append(seconds)
        self.on_sleep()


@pytest.fixture
def stepped_gossip():
    """A host that has sent its first update; the next one is due in ten seconds."""
    running = SteppedGossip(ManualClock(), interval_s=10.0)
    running.peers.tick()
    yield running
    running.stop()


def test_updates_are_processed_in_batches(stepped_gossip, monkeypatch):
    """Sixty hosts send some hundred datagrams a second; a wake-up costs more than one of them."""
    first, *others = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(20)]
    fake_sleep = FakeSleep(monkeypatch)

    def send_others():
        for number, sender in enumerate(others):
            sender.sendto(encode_update(make_update(f"h{number}", 1)), stepped_gossip.address)

    fake_sleep.on_sleep = send_others
    first.sendto(encode_update(make_update("first", 1)), stepped_gossip.address)
    stepped_gossip.peers.tick()
    for sender in (first, *others):
        sender.close()
    assert len(stepped_gossip.batches) == 1
    assert {each.sender for each in stepped_gossip.received()} == {
        "first",
        *(f"h{n}" for n in range(19)),
    }


def test_single_update_is_processed_after_batch_wait(stepped_gossip, monkeypatch):
    """It is processed when the task wakes up, after only the wait for further datagrams."""
    fake_sleep = FakeSleep(monkeypatch)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(encode_update(make_update("h1", 1)), stepped_gossip.address)
    stepped_gossip.peers.tick()
    assert len(stepped_gossip.received()) == 1
    assert fake_sleep.waits_s == [BATCH_WAIT_S]


def test_update_wakes_a_waiting_task(running_gossip):
    """The next send is due in ten minutes."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(encode_update(make_update("h1", 1)), running_gossip.address)
        wait_until(running_gossip.received, "the update to be processed")


def test_old_and_duplicate_updates_are_dropped(running_gossip):
    """Datagrams may be reordered and duplicated."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for sequence in (5, 5, 4, 6):
            sender.sendto(encode_update(make_update("h1", sequence)), running_gossip.address)
        wait_until(
            lambda: [each.sequence for each in running_gossip.received()] == [5, 6], "two of four"
        )
        sender.sendto(encode_update(make_update("h1", 1, boot="later")), running_gossip.address)
        wait_until(lambda: len(running_gossip.received()) == 3, "the update of a new process")


class ManyPeers:
    """A host on a manual clock, with sockets for more peers than each host sends its usage to."""

    def __init__(self):
        self.clock = ManualClock()
        self.gossip = SteppedGossip(self.clock)
        self.peers = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(15)]
        for number, peer in enumerate(self.peers):
            peer.bind(("127.0.0.1", 0))
            peer.setblocking(False)
            peer.sendto(encode_update(make_update(f"h{number}", 1)), self.gossip.address)

    def updates_after(self, seconds):
        """Advance the clock, run a step of the host, and return the updates that each peer got."""
        self.clock.advance(seconds)
        self.gossip.peers.tick()
        return [receive_all(peer) for peer in self.peers]

    def stop(self):
        self.gossip.stop()
        for peer in self.peers:
            peer.close()


@pytest.fixture
def many_peers():
    running = ManyPeers()
    yield running
    running.stop()


@pytest.mark.parametrize("delay_s", [0.3, HISTORY_RESEND_S + 0.1])
def test_new_holder_gets_windows_left_by_its_predecessor(many_peers, delay_s):
    """Guards against missing counts after a change of the holder.

    With more than a dozen hosts, only the host that reports usage gets the counts. After a holder
    was partitioned for some seconds, its successor reported a window with 231 of 1,534 requests
    missing. A host may be delayed between learning of the successor and sending to it.
    """
    for (told,) in many_peers.updates_after(0.0):
        assert told.usage_window == 0
    many_peers.peers[3].sendto(
        encode_update(make_update("h3", 2, duty_fence=4)), many_peers.gossip.address
    )
    many_peers.gossip.peers.tick()
    assert [each.duty_fence for each in many_peers.gossip.received()][15:] == [4]
    others = many_peers.updates_after(delay_s)
    (told,) = others.pop(3)
    assert told.usage_window == 7 and told.usage == {4: {"a": 1}, 7: {"a": 2}}
    assert told.ended == (ENDED_COUNTS,)
    assert all(not each.usage_window for updates in others for each in updates)


def test_new_holder_gets_older_windows_repeatedly(many_peers):
    many_peers.updates_after(0.0)
    holder = many_peers.peers[3]
    with_history = []
    for sequence in range(2, 22):
        holder.sendto(
            encode_update(make_update("h3", sequence, duty_fence=4)), many_peers.gossip.address
        )
        many_peers.gossip.peers.tick()
        at = many_peers.clock.now()
        with_history += [
            (at, 4 in told.usage) for told in many_peers.updates_after(0.3)[3] if told.usage_window
        ]
    first = with_history[0][0]
    assert [each for _, each in with_history] == [
        at - first < HISTORY_RESEND_S for at, _ in with_history
    ]
    assert sum(each for _, each in with_history) >= 4 and not with_history[-1][1]


def test_stopping_host_hands_its_counts_to_peers():
    """With more than a dozen hosts, only the reporter of usage gets the counts, and may be lost."""
    stopping = RunningGossip(interval_s=30.0)
    others = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(15)]
    try:
        for number, other in enumerate(others):
            other.bind(("127.0.0.1", 0))
            other.settimeout(5.0)
            other.sendto(encode_update(make_update(f"h{number}", 1)), stopping.address)
        wait_until(lambda: len(stopping.received()) == 15, "updates of all peers")
    finally:
        stopping.stop()
    receivers = 0
    for other in others:
        # The first update may have been sent before the stop.
        told = [receive(other)]
        other.setblocking(False)
        told += receive_all(other)
        receivers += any(each.usage == {4: {"a": 1}, 7: {"a": 2}} for each in told)
        other.close()
    assert receivers == HANDOFF_PEERS
