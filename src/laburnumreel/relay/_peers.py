"""The task that exchanges news with the peers by datagrams."""

import hashlib
import selectors
import socket
import time
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from functools import lru_cache
from typing import NamedTuple

from laburnumreel.core import Clock, Log, Task
from laburnumreel.relay._back_ends import Address
from laburnumreel.relay._events import NEWS_UNREADABLE, PEER_HEARD, PEER_SILENT
from laburnumreel.relay._metrics import RELAY_PEERS
from laburnumreel.relay._news import MAX_BYTES, News, decode_news, encode_news
from laburnumreel.relay._usage import UsageNews

# With many peers, news goes out more seldom, so that a host sends at most this many datagrams a
# second: to peers nearby, and to those in other regions, whose datagrams are paid for and whose
# engines are seldom used where there are many.
MAX_NEAR_PER_S = 50.0
MAX_FAR_PER_S = 40.0
# A peer that is not heard for this long is taken as gone, and where news goes out more seldom, after
# this many times the time between them: two lost datagrams are no sign.
SILENT_S = 3.0
SILENT_TIMES = 3.0
# Addresses that nobody answers from are tried again this often, in case a path came back.
RETRY_SILENT_S = 1.5
# An address of which nothing was heard for this long is dropped; the list of hosts brings it back.
FORGET_S = 30.0
# Bounds the log lines on datagrams that do not come from a peer.
UNREADABLE_LOG_S = 5.0
# Up to this many hosts each tells all others of its usage, so that no loss of a host takes its
# counts along; more only tell the one that reports it.
USAGE_TO_ALL_HOSTS = 12
# Where there are more, a host that stops leaves its counts with this many peers too, in case the one
# that reports them is lost.
HEIRS = 3
# How long the first datagram of a batch waits for others. News is older than that by the time
# between two of a peer's.
GATHER_S = 0.02
# Usage goes along this often.
USAGE_INTERVAL_S = 0.6
# One that reports it anew, as a successor or after it was cut off, has missed what the hosts told the
# one before it. From the first time on it is told of all windows that may still be reported for this
# long, in case datagrams are lost.
NEW_HOLDER_S = 3.0

_log = Log("relay.peers")


class _Peer(NamedTuple):
    """An address that news is sent to, and when something was last heard from and sent there."""

    known_at: float
    heard_at: float | None = None
    sent_at: float = float("-inf")
    usage_at: float = float("-inf")
    name: str = ""
    boot: str = ""
    far: bool = False
    sequence: int = 0
    duty_fence: int = 0
    # When it was first told usage under that fencing number.
    fence_told_at: float | None = None
    listing_away: bool = False


class PeerNews(Task):
    """Sends this host's news to all peers, and hands theirs on.

    `own_news` gives what to send to the peers in this region or, called with True, in others;
    `own_fence` gives the fencing number under which this host does the duties, or 0, and
    `own_usage` the usage, called with True for the older windows and ended processes too.
    `is_far` tells whether a zone is in another region. `on_news` takes the news that came together,
    `on_silent` the name of a peer; all run on this task's thread.
    """

    def __init__(
        self,
        listen: Address,
        clock: Clock,
        interval_s: float,
        own_news: Callable[[bool], News],
        own_fence: Callable[[], int],
        own_usage: Callable[[bool], UsageNews],
        is_far: Callable[[str], bool],
        on_news: Callable[[Sequence[News]], None],
        on_silent: Callable[[str], None],
    ) -> None:
        super().__init__("peer-news", tick_s=0.0)
        self._clock = clock
        self._interval_s = interval_s
        self._own_news = own_news
        self._own_fence = own_fence
        self._told_fence = 0
        self._own_usage = own_usage
        self._is_far = is_far
        self._on_news = on_news
        self._on_silent = on_silent
        self._address = listen
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(listen)
        self._socket.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._socket, selectors.EVENT_READ)
        self._peers: dict[Address, _Peer] = {}
        # The count of news starts at the time of day: a restart must not begin below it.
        self._sequence = time.time_ns() // 1_000_000
        self._next_send = 0.0
        self._next_far = 0.0
        self._heirs: frozenset[Address] = frozenset()
        self._unreadable_at = float("-inf")
        self._highest_fence = 0
        # The time between two news to peers nearby and in other regions.
        self._between_s = {False: interval_s, True: interval_s}

    @property
    def heard(self) -> Mapping[str, Address]:
        """The peers heard from lately, by name."""
        now = self._clock.now()
        return {
            peer.name: address
            for address, peer in list(self._peers.items())
            if not self._is_silent(peer, now)
        }

    @property
    def readers(self) -> list[str]:
        """The peers of this region that were heard lately and can look at the back ends' table."""
        now = self._clock.now()
        return [
            peer.name
            for peer in list(self._peers.values())
            if not peer.far and not peer.listing_away and not self._is_silent(peer, now)
        ]

    @property
    def highest_fence(self) -> int:
        """The highest fencing number under which any peer said it does the duties."""
        return self._highest_fence

    @property
    def any_away(self) -> bool:
        """Whether a peer that was heard lately can't look at the back ends' table."""
        now = self._clock.now()
        return any(
            peer.listing_away and not self._is_silent(peer, now)
            for peer in list(self._peers.values())
        )

    def duty_claimed(self, within_s: float) -> bool:
        """Return whether a peer said within a time that it does the duties."""
        now = self._clock.now()
        return any(
            peer.duty_fence and peer.heard_at is not None and now - peer.heard_at < within_s
            for peer in list(self._peers.values())
        )

    def meet(self, addresses: Iterable[Address]) -> None:
        """Send news to these addresses too."""
        self.tell(("meet", tuple(addresses)))

    def handle(self, message: object) -> None:
        match message:
            case ("meet", addresses):
                for address in addresses:
                    self._meet(address)
            case _:
                super().handle(message)

    def tick(self) -> None:
        wait_s = max(0.0, self._next_send - self._clock.now())
        if self._selector.select(wait_s):
            # What comes in a moment is taken together: with many peers, waking for each datagram
            # costs more than what it says.
            time.sleep(min(GATHER_S, max(0.0, self._next_send - self._clock.now())))
            self._receive()
        now = self._clock.now()
        if now >= self._next_send:
            self._count_peers()
            self._next_send = now + self._between_s[False]
            self._send(now)

    def close(self) -> None:
        self._next_far = 0.0
        heard = [(peer.far, address) for address, peer in self._peers.items() if peer.name]
        self._heirs = frozenset(address for _, address in sorted(heard)[:HEIRS])
        self._send(self._clock.now())
        self._selector.close()
        self._socket.close()

    def _meet(self, address: Address) -> None:
        if address != self._address and address not in self._peers:
            self._peers[address] = _Peer(known_at=self._clock.now())

    def _receive(self) -> None:
        heard = [news for address, news in self._datagrams() if self._heard(address, news)]
        if heard:
            self._on_news(heard)

    def _datagrams(self) -> Iterator[tuple[Address, News]]:
        while True:
            try:
                datagram, address = self._socket.recvfrom(MAX_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # Linux reports a peer's closed port here, at a later call.
                self._unreadable(str(error))
                return
            news = decode_news(datagram)
            if news.is_error():
                self._unreadable(news.error)
                continue
            yield address, news.ok

    def _heard(self, address: Address, news: News) -> bool:
        """Note who was heard, and return whether the news is newer than what was known."""
        self._meet(address)
        known = self._peers.get(address)
        if known is None:
            return False
        if known.boot == news.boot and news.sequence <= known.sequence:
            return False
        self._highest_fence = max(self._highest_fence, news.duty_fence)
        now = self._clock.now()
        if known.heard_at is None or known.boot != news.boot:
            _log.info(PEER_HEARD, peer=news.sender, boot=news.boot, zone=news.zone)
        self._peers[address] = known._replace(
            heard_at=now,
            name=news.sender,
            boot=news.boot,
            far=self._is_far(news.zone),
            sequence=news.sequence,
            duty_fence=news.duty_fence,
            listing_away=news.listing_away,
            fence_told_at=known.fence_told_at if news.duty_fence == known.duty_fence else None,
        )
        return True

    def _send(self, now: float) -> None:
        self._drop_silent(now)
        fence = self._own_fence()
        # That this host begins to report usage is told at once, as it waits for that of all others.
        far_due = now >= self._next_far or fence > self._told_fence
        self._told_fence = fence
        if far_due:
            self._next_far = now + self._between_s[True]
        RELAY_PEERS.set(len(self.heard))
        news: dict[bool, News] = {}
        datagrams: dict[tuple[bool, bool | None], bytes] = {}
        for address, peer in list(self._peers.items()):
            silent = self._is_silent(peer, now)
            usage = True if address in self._heirs else self._usage_due(peer, now)
            due = now - peer.sent_at >= RETRY_SILENT_S if silent else far_due or not peer.far
            # Whoever reports usage waits for that of all hosts.
            if not due and (silent or usage is None or not peer.duty_fence):
                continue
            if peer.far not in news:
                news[peer.far] = self._own_news(peer.far)
            if (peer.far, usage) not in datagrams:
                datagrams[peer.far, usage] = self._datagram(news[peer.far], usage)
            sent = peer._replace(sent_at=now)
            if usage is not None:
                first_at = self._fence_told_at(peer, now)
                sent = sent._replace(usage_at=now, fence_told_at=first_at)
            self._peers[address] = sent
            try:
                self._socket.sendto(datagrams[peer.far, usage], address)
            except OSError as error:
                self._unreadable(f"sending to {address[0]}: {error}")

    def _datagram(self, news: News, usage: bool | None) -> bytes:
        self._sequence += 1
        news = news._replace(sequence=self._sequence)
        if usage is not None:
            window, counts, ended = self._own_usage(usage)
            news = news._replace(usage_window=window, usage=counts, ended=ended)
        return encode_news(news)

    def _usage_due(self, peer: _Peer, now: float) -> bool | None:
        """Return None where a peer needs no usage now, and True where it needs old windows too."""
        wanted = peer.duty_fence > 0 or len(self._peers) < USAGE_TO_ALL_HOSTS
        if not wanted or now - peer.usage_at < USAGE_INTERVAL_S:
            return None
        return peer.duty_fence > 0 and now - self._fence_told_at(peer, now) < NEW_HOLDER_S

    @staticmethod
    def _fence_told_at(peer: _Peer, now: float) -> float:
        """Return when a peer was first told usage under its fencing number, if it is told some now."""
        return now if peer.fence_told_at is None else peer.fence_told_at

    def _drop_silent(self, now: float) -> None:
        for address, peer in list(self._peers.items()):
            last = peer.known_at if peer.heard_at is None else peer.heard_at
            if peer.name and self._is_silent(peer, now):
                _log.warning(PEER_SILENT, peer=peer.name, silent_s=round(now - last, 2))
                self._on_silent(peer.name)
                self._peers[address] = peer._replace(name="", heard_at=None, known_at=now)
            elif not peer.name and now - last >= FORGET_S:
                del self._peers[address]

    def _count_peers(self) -> None:
        far = sum(1 for peer in self._peers.values() if peer.far)
        near = len(self._peers) - far
        self._between_s = {
            False: news_between_s(self._interval_s, near, MAX_NEAR_PER_S),
            True: news_between_s(self._interval_s, far, MAX_FAR_PER_S),
        }

    def _is_silent(self, peer: _Peer, now: float) -> bool:
        if peer.heard_at is None:
            return True
        return now - peer.heard_at >= silent_after_s(self._between_s[peer.far])

    def _unreadable(self, detail: str) -> None:
        now = self._clock.now()
        if now - self._unreadable_at >= UNREADABLE_LOG_S:
            self._unreadable_at = now
            _log.warning(NEWS_UNREADABLE, detail=detail)


def news_between_s(interval_s: float, peers: int, max_per_s: float) -> float:
    """Return the time between two news to each of some peers, in seconds."""
    return max(interval_s, peers / max_per_s)


def silent_after_s(between_s: float) -> float:
    """Return after how long a peer is taken as gone whose news comes that seldom.

    >>> silent_after_s(0.15), silent_after_s(3.25)
    (3.0, 9.75)
    """
    return max(SILENT_S, SILENT_TIMES * between_s)


def rank_of(name: str, peers: Iterable[str]) -> int:
    """Return how many peers come before a host in an order that all hosts agree on.

    >>> sorted(rank_of(name, {"a", "b", "c"} - {name}) for name in "abc")
    [0, 1, 2]
    """
    return sum(1 for peer in peers if _place_in_order(peer) < _place_in_order(name))


@lru_cache(maxsize=4096)
def _place_in_order(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
