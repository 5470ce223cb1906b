"""Tests of the exchange of news between hosts, over loopback datagrams."""

import contextlib
import socket
import threading
import time

import pytest

from laburnumreel.core import SystemClock
from laburnumreel.relay._news import News, decode_news, encode_news
from laburnumreel.relay._peers import GATHER_S, HEIRS, PeerNews
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


class Listener:
    """A `PeerNews` that runs, with the batches that it handed on."""

    def __init__(self, interval_s=10.0):
        self.batches, self.silent = [], []
        self.address = (fresh_host(), 8004)
        self.peers = PeerNews(
            self.address,
            SystemClock(),
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
        self._end = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        while not self._end.is_set():
            self.peers.tick()

    def heard(self):
        return [each for batch in list(self.batches) for each in batch]

    def end(self):
        self._end.set()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as last:
            last.sendto(b"end", self.address)
        self._thread.join(5)
        self.peers.close()


def receive(holder):
    """Return the next news that a host gets, and put its address among those heard."""
    return decode_news(holder.recvfrom(65536)[0]).ok


@pytest.fixture
def listener():
    running = Listener()
    yield running
    running.end()


def test_news_that_comes_together_is_taken_together(listener):
    """Sixty hosts send some hundred datagrams a second; each wake-up costs more than one says."""
    senders = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(20)]
    try:
        for number, sender in enumerate(senders):
            sender.sendto(encode_news(news(f"h{number}", 1)), listener.address)
        wait_until(lambda: len(listener.heard()) == 20, "all news to be taken")
    finally:
        for sender in senders:
            sender.close()
    assert sorted(each.sender for each in listener.heard()) == sorted(f"h{n}" for n in range(20))
    # A slow machine may take several batches; one a datagram is what this guards against.
    assert len(listener.batches) <= 10


def test_lone_news_is_taken_soon(listener):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sent_at = time.monotonic()
        sender.sendto(encode_news(news("h1", 1)), listener.address)
        wait_until(listener.heard, "the news to be taken")
        assert time.monotonic() - sent_at < GATHER_S + 0.5


def test_old_and_repeated_news_counts_once(listener):
    """Datagrams overtake one another and come twice."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for sequence in (5, 5, 4, 6):
            sender.sendto(encode_news(news("h1", sequence)), listener.address)
        wait_until(lambda: [each.sequence for each in listener.heard()] == [5, 6], "two of four")
        sender.sendto(encode_news(news("h1", 1, boot="later")), listener.address)
        wait_until(lambda: len(listener.heard()) == 3, "news of a new start")


def test_new_holder_hears_of_the_windows_that_its_predecessor_left():
    """Above a dozen hosts only the one that reports usage is told of it. After a holder was cut off
    for some seconds, its successor reported a window with 231 of 1,534 requests missing."""
    telling = Listener(interval_s=0.05)
    others = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(15)]
    try:
        for number, other in enumerate(others):
            other.bind(("127.0.0.1", 0))
            other.settimeout(5.0)
            other.sendto(encode_news(news(f"h{number}", 1)), telling.address)
        wait_until(lambda: len(telling.heard()) == 15, "all to be heard")
        holder = others[3]
        for other in others:
            assert receive(other).usage_window == 0
        holder.sendto(encode_news(news("h3", 2, duty_fence=4)), telling.address)
        told = wait_until(lambda: [each] if (each := receive(holder)).usage_window else [], "usage")
        assert told[0].usage_window == 7 and told[0].usage == {4: {"a": 1}, 7: {"a": 2}}
        assert told[0].ended == (ENDED,)
    finally:
        for other in others:
            other.close()
        telling.end()


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
        with contextlib.suppress(BlockingIOError):
            while True:
                told.append(receive(other))
        heirs += any(each.usage == {4: {"a": 1}, 7: {"a": 2}} for each in told)
        other.close()
    assert heirs == HEIRS
