"""Tests of the exchange of news between hosts, over loopback datagrams."""

import contextlib
import socket
import threading

import pytest

from laburnumreel.core import ManualClock, SystemClock
from laburnumreel.relay import _peers
from laburnumreel.relay._news import News, decode_news, encode_news
from laburnumreel.relay._peers import GATHER_S, HEIRS, NEW_HOLDER_S, PeerNews
from laburnumreel.relay._usage import EndedCounts, Process, UsageNews
from laburnumreel_standins.processes import fresh_host, wait_until


def news(sender, sequence, **fields):
    told = {
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
    return News(**told)


ENDED = EndedCounts(Process("h99", "boot"), 6, {"b": 5})


class Stepped:
    """A `PeerNews` whose steps the test takes, with the batches that it handed on."""

    def __init__(self, clock, interval_s=0.05):
        self.batches, self.silent = [], []
        self.address = (fresh_host(), 8004)
        self.peers = PeerNews(
            self.address,
            clock,
            interval_s,
            lambda far: news("me", 0),
            lambda: 0,
            lambda older: (
                UsageNews(7, {4: {"a": 1}, 7: {"a": 2}}, (ENDED,))
                if older
                else UsageNews(7, {7: {"a": 2}})
            ),
            lambda zone: False,
            lambda batch: self.batches.append(list(batch)),
            self.silent.append,
        )

    def heard(self):
        return [each for batch in list(self.batches) for each in batch]

    def end(self):
        self.peers.close()


class Listener(Stepped):
    """A `PeerNews` that runs."""

    def __init__(self, interval_s=600.0):
        super().__init__(SystemClock(), interval_s)
        self._end = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        while not self._end.is_set():
            self.peers.tick()

    def end(self):
        self._end.set()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as last:
            last.sendto(b"end", self.address)
        self._thread.join(5)
        super().end()


def receive(holder):
    """Return the next news that a host gets, and put its address among those heard."""
    return decode_news(holder.recvfrom(65536)[0]).ok


def receive_all(holder):
    """Return the news that a host has got; its socket doesn't block."""
    got = []
    with contextlib.suppress(BlockingIOError):
        while True:
            got.append(receive(holder))
    return got


@pytest.fixture
def listener():
    running = Listener()
    yield running
    running.end()


class Waits:
    """Stands for `time.sleep` in the peers' task: notes each wait, in which `meanwhile` happens."""

    def __init__(self, monkeypatch):
        self.meanwhile = lambda: None
        self.waited_s = []
        monkeypatch.setattr(_peers.time, "sleep", self._sleep)

    def _sleep(self, seconds):
        self.waited_s.append(seconds)
        self.meanwhile()


@pytest.fixture
def stepped():
    """A host whose first news has gone out, and the next one is due in ten seconds."""
    running = Stepped(ManualClock(), interval_s=10.0)
    running.peers.tick()
    yield running
    running.end()


def test_news_that_comes_together_is_taken_together(stepped, monkeypatch):
    """Sixty hosts send some hundred datagrams a second; each wake-up costs more than one says."""
    first, *others = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(20)]
    waits = Waits(monkeypatch)

    def send_others():
        for number, sender in enumerate(others):
            sender.sendto(encode_news(news(f"h{number}", 1)), stepped.address)

    waits.meanwhile = send_others
    first.sendto(encode_news(news("first", 1)), stepped.address)
    stepped.peers.tick()
    for sender in (first, *others):
        sender.close()
    assert len(stepped.batches) == 1
    assert {each.sender for each in stepped.heard()} == {"first", *(f"h{n}" for n in range(19))}


def test_lone_news_is_taken_soon(stepped, monkeypatch):
    """It is taken as the task wakes, after no other wait than the one for others to come."""
    waits = Waits(monkeypatch)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(encode_news(news("h1", 1)), stepped.address)
    stepped.peers.tick()
    assert len(stepped.heard()) == 1
    assert waits.waited_s == [GATHER_S]


def test_news_wakes_a_task_that_waits(listener):
    """The next send is ten minutes away."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(encode_news(news("h1", 1)), listener.address)
        wait_until(listener.heard, "the news to be taken")


def test_old_and_repeated_news_counts_once(listener):
    """Datagrams overtake one another and come twice."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for sequence in (5, 5, 4, 6):
            sender.sendto(encode_news(news("h1", sequence)), listener.address)
        wait_until(lambda: [each.sequence for each in listener.heard()] == [5, 6], "two of four")
        sender.sendto(encode_news(news("h1", 1, boot="later")), listener.address)
        wait_until(lambda: len(listener.heard()) == 3, "news of a new start")


class Many:
    """A host, on a clock of the test's, and more peers than each tells its usage to, as sockets."""

    def __init__(self):
        self.clock = ManualClock()
        self.telling = Stepped(self.clock)
        self.peers = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(15)]
        for number, peer in enumerate(self.peers):
            peer.bind(("127.0.0.1", 0))
            peer.setblocking(False)
            peer.sendto(encode_news(news(f"h{number}", 1)), self.telling.address)

    def told_after(self, seconds):
        """Return the news that each peer has got once the host goes on after some seconds."""
        self.clock.advance(seconds)
        self.telling.peers.tick()
        return [receive_all(peer) for peer in self.peers]

    def end(self):
        self.telling.end()
        for peer in self.peers:
            peer.close()


@pytest.fixture
def many():
    running = Many()
    yield running
    running.end()


@pytest.mark.parametrize("held_up_s", [0.3, NEW_HOLDER_S + 0.1])
def test_new_holder_hears_of_the_windows_that_its_predecessor_left(many, held_up_s):
    """Above a dozen hosts only the one that reports usage is told of it. After a holder was cut off
    for some seconds, its successor reported a window with 231 of 1,534 requests missing. A host may
    be held up between hearing of the successor and telling it."""
    for (told,) in many.told_after(0.0):
        assert told.usage_window == 0
    many.peers[3].sendto(encode_news(news("h3", 2, duty_fence=4)), many.telling.address)
    many.telling.peers.tick()
    assert [each.duty_fence for each in many.telling.heard()][15:] == [4]
    others = many.told_after(held_up_s)
    (told,) = others.pop(3)
    assert told.usage_window == 7 and told.usage == {4: {"a": 1}, 7: {"a": 2}}
    assert told.ended == (ENDED,)
    assert all(not each.usage_window for news in others for each in news)


def test_new_holder_hears_of_older_windows_again_in_case_a_datagram_was_lost(many):
    many.told_after(0.0)
    holder = many.peers[3]
    older = []
    for sequence in range(2, 22):
        holder.sendto(encode_news(news("h3", sequence, duty_fence=4)), many.telling.address)
        many.telling.peers.tick()
        at = many.clock.now()
        older += [(at, 4 in told.usage) for told in many.told_after(0.3)[3] if told.usage_window]
    first = older[0][0]
    assert [each for _, each in older] == [at - first < NEW_HOLDER_S for at, _ in older]
    assert sum(each for _, each in older) >= 4 and not older[-1][1]


def test_host_that_stops_leaves_its_counts_with_peers():
    """Above a dozen hosts only the one that reports usage is told of it, and may be lost next."""
    stopping = Listener(interval_s=30.0)
    others = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(15)]
    try:
        for number, other in enumerate(others):
            other.bind(("127.0.0.1", 0))
            other.settimeout(5.0)
            other.sendto(encode_news(news(f"h{number}", 1)), stopping.address)
        wait_until(lambda: len(stopping.heard()) == 15, "all to be heard")
    finally:
        stopping.end()
    heirs = 0
    for other in others:
        # The first news may have gone out before the stop.
        told = [receive(other)]
        other.setblocking(False)
        told += receive_all(other)
        heirs += any(each.usage == {4: {"a": 1}, 7: {"a": 2}} for each in told)
        other.close()
    assert heirs == HEIRS
