"""The task that exchanges news with the peers by datagrams."""

import selectors
import socket
import time
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from laburnumreel.core import Clock, Log, Task
from laburnumreel.relay._back_ends import Address
from laburnumreel.relay._events import NEWS_UNREADABLE, PEER_HEARD, PEER_SILENT
from laburnumreel.relay._metrics import RELAY_PEERS
from laburnumreel.relay._news import MOST_BYTES, News, decode_news, encode_news

# A peer that is not heard for this long is taken as gone; it sends several times a second.
SILENT_S = 2.0
# Addresses that nobody answers from are tried again this often, in case a path came back.
RETRY_SILENT_S = 1.0
# An address of which nothing was heard for this long is dropped; the list of hosts brings it back.
FORGET_S = 30.0
# Bounds the log lines on datagrams that do not come from a peer.
UNREADABLE_LOG_S = 5.0

_log = Log("relay.peers")


class _Peer(NamedTuple):
    """An address that news is sent to, and when something was last heard from and sent there."""

    known_at: float
    heard_at: float | None = None
    sent_at: float = float("-inf")
    name: str = ""
    boot: str = ""
    sequence: int = 0


class PeerNews(Task):
    """Sends this host's news to all peers, and hands theirs on.

    `own_news` gives what to send, given whether the slow part, usage, is due. `on_news` and
    `on_silent` take what is heard; all run on this task's thread.
    """

    def __init__(
        self,
        listen: Address,
        clock: Clock,
        interval_s: float,
        own_news: Callable[[int], News],
        on_news: Callable[[News], None],
        on_silent: Callable[[str], None],
    ) -> None:
        super().__init__("peer-news", tick_s=0.0)
        self._clock = clock
        self._interval_s = interval_s
        self._own_news = own_news
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
        self._unreadable_at = float("-inf")

    @property
    def heard(self) -> Mapping[str, Address]:
        """The peers heard from lately, by name."""
        now = self._clock.now()
        return {
            peer.name: address
            for address, peer in list(self._peers.items())
            if peer.heard_at is not None and now - peer.heard_at < SILENT_S
        }

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
            self._receive()
        now = self._clock.now()
        if now >= self._next_send:
            self._next_send = now + self._interval_s
            self._send(now)

    def close(self) -> None:
        self._send(self._clock.now())
        self._selector.close()
        self._socket.close()

    def _meet(self, address: Address) -> None:
        if address != self._address and address not in self._peers:
            self._peers[address] = _Peer(known_at=self._clock.now())

    def _receive(self) -> None:
        while True:
            try:
                datagram, address = self._socket.recvfrom(MOST_BYTES)
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
            self._heard(address, news.ok)

    def _heard(self, address: Address, news: News) -> None:
        self._meet(address)
        known = self._peers.get(address)
        if known is None:
            return
        if known.boot == news.boot and news.sequence <= known.sequence:
            return
        now = self._clock.now()
        if known.heard_at is None or known.boot != news.boot:
            _log.info(PEER_HEARD, peer=news.sender, boot=news.boot)
        self._peers[address] = known._replace(
            heard_at=now, name=news.sender, boot=news.boot, sequence=news.sequence
        )
        self._on_news(news)

    def _send(self, now: float) -> None:
        self._drop_silent(now)
        due = [
            address
            for address, peer in self._peers.items()
            if (peer.heard_at is not None and now - peer.heard_at < SILENT_S)
            or now - peer.sent_at >= RETRY_SILENT_S
        ]
        RELAY_PEERS.set(len(self.heard))
        if not due:
            return
        self._sequence += 1
        datagram = encode_news(self._own_news(self._sequence))
        for address in due:
            self._peers[address] = self._peers[address]._replace(sent_at=now)
            try:
                self._socket.sendto(datagram, address)
            except OSError as error:
                self._unreadable(f"sending to {address[0]}: {error}")

    def _drop_silent(self, now: float) -> None:
        for address, peer in list(self._peers.items()):
            last = peer.known_at if peer.heard_at is None else peer.heard_at
            if peer.name and now - last >= SILENT_S:
                _log.warning(PEER_SILENT, peer=peer.name, silent_s=round(now - last, 2))
                self._on_silent(peer.name)
                self._peers[address] = peer._replace(name="", heard_at=None, known_at=now)
            elif not peer.name and now - last >= FORGET_S:
                del self._peers[address]

    def _unreadable(self, detail: str) -> None:
        now = self._clock.now()
        if now - self._unreadable_at >= UNREADABLE_LOG_S:
            self._unreadable_at = now
            _log.warning(NEWS_UNREADABLE, detail=detail)
