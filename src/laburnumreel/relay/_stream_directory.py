"""The task that knows which software began a stream, or asks the hosts that may know.

A caller whose stream broke off takes it up at any host. While one version of the software has
served for longer than a stream lives, any host can tell the version and no host is asked. Otherwise
the host that passes on a stream's first event tells a few others, its keepers, which are chosen by
the stream's key, so that hosts agree on them without asking.

A host that stood still or was cut off may not know yet that a second version has come. That there is
one only is therefore shown by a read of the table that was sent after the question, or by all
peers, who have answered after it.
"""

import contextlib
import hashlib
import heapq
import selectors
import socket
from collections.abc import Callable, Iterable, Iterator, Mapping
from concurrent.futures import Future
from typing import Literal, NamedTuple

from laburnumreel.core import Clock, Log, Task
from laburnumreel.relay._back_ends import Address
from laburnumreel.relay._events import SOFTWARE_CHANGED, STREAM_MESSAGE_UNREADABLE
from laburnumreel.relay._list_read import ListRead
from laburnumreel.relay._metrics import RELAY_STREAMS_TOLD
from laburnumreel.relay._software_history import SoftwareHistory
from laburnumreel.relay._stream_messages import (
    BegunStream,
    StreamMessage,
    StreamQuery,
    decode_message,
    encode_message,
)
from laburnumreel.relay._stream_records import StreamRecord, StreamRecords

# Hosts that are told of a stream, beside the one that began it.
KEEPERS = 3
# When hosts are asked for a stream that this one does not know, in seconds after the first question:
# the keepers, then all, then those that have not answered. The search ends at the last of them.
ASK_TIMES_S = (0.0, 0.04, 0.12, 0.25)
# How long a read of the table is awaited before other hosts are asked.
LIST_READ_WAIT_S = 0.25
# The longest wait for datagrams, after which expired streams are forgotten.
MAX_WAIT_S = 0.5
FORGET_INTERVAL_S = 2.0
# Streams in one datagram.
MAX_STREAMS_PER_MESSAGE = 200
MAX_DATAGRAM_BYTES = 65507
# Minimum time between two log lines about unreadable datagrams.
UNREADABLE_LOG_INTERVAL_S = 5.0

_log = Log("relay.streams")


class StreamFinding(NamedTuple):
    """Which software began a stream, None if it is not known, and how that was found.

    `sole` means that only one version can have begun it, `unknown` that all hosts have said that they
    don't know it, `silent` that some did not answer. `asked` is the number of hosts that were asked.
    """

    software: str | None
    source: Literal["sole", "known", "told", "unknown", "silent"]
    asked: int = 0


class _Search:
    """A stream whose software is looked for, and the futures that wait for the finding.

    `asks_at` is when other hosts are asked first. `claims` has the versions that hosts which don't
    know the stream take for the only one of its service.
    """

    def __init__(self, query: StreamQuery, now: float, asks_at: float) -> None:
        self.query = query
        self.began_at = now
        self.asks_at = asks_at
        self.rounds = 0
        self.futures: list[Future] = []
        self.asked: set[Address] = set()
        self.ignorant: set[Address] = set()
        self.claims: dict[Address, str] = {}
        # Whether the table was read since the search began, None while a read is awaited.
        self.is_list_read: bool | None = None

    @property
    def due_at(self) -> float:
        return self.asks_at + ASK_TIMES_S[self.rounds]

    @property
    def answered(self) -> set[Address]:
        return self.ignorant | self.claims.keys()


class _StreamBegun(NamedTuple):
    stream: bytes
    record: StreamRecord


class _FindStream(NamedTuple):
    query: StreamQuery
    future: Future


class _QueriesReceived(NamedTuple):
    queries: tuple[StreamQuery, ...]
    address: Address


class _SoftwareListed(NamedTuple):
    listed: Mapping[str, frozenset[str]]
    is_gap: bool


class _SoftwareStored(NamedTuple):
    """Versions from the store; `is_complete` is False if they are of an older copy of it."""

    stored: Mapping[str, frozenset[str]]
    is_complete: bool = True


class StreamDirectory(Task):
    """Remembers which software began the streams of this host's callers, and finds others.

    It listens on a UDP socket at `listen`, whose port is the same on all hosts. `peers` returns the
    addresses of the live peers' other sockets by name. `life_s` returns the longest time in seconds
    for which a stream lives, over all tries of its caller. `is_list_current` returns whether this
    host's list of backend servers is as new as its peers': only then it tells them that a service
    has one version. `request_list_read` requests a read of the table, after which `on_list_read` is
    called, and returns False if that isn't possible.
    """

    def __init__(
        self,
        host: str,
        listen: Address,
        clock: Clock,
        peers: Callable[[], Mapping[str, Address]],
        life_s: Callable[[], float],
        is_list_current: Callable[[], bool] = lambda: True,
        request_list_read: Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__("relay-streams", tick_s=0.0)
        self._host = host
        self._clock = clock
        self._peers = peers
        self._life_s = life_s
        self._is_list_current = is_list_current
        self._request_list_read = request_list_read
        self._port = listen[1]
        self._history = SoftwareHistory(life_s)
        self._records = StreamRecords()
        self._searches: dict[bytes, _Search] = {}
        self._soles: Mapping[str, str] = {}
        self._next_forget_at = 0.0
        self._unreadable_logged_at = float("-inf")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(listen)
        self._socket.setblocking(False)
        # Ends the wait for datagrams when another thread has a message.
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._selector = selectors.DefaultSelector()
        for each in (self._wake_reader, self._wake_writer):
            each.setblocking(False)
        for each in (self._socket, self._wake_reader):
            self._selector.register(each, selectors.EVENT_READ)

    # Calls from other threads.

    def record(self, stream: bytes, service: str, software: str) -> None:
        """Record that a stream's caller is about to get its first event from this host."""
        until = self._clock.now() + self._life_s()
        self.tell(_StreamBegun(stream, StreamRecord(service, software, until, True)))
        if service not in self._soles:
            self._wake()

    def find(self, stream: bytes, service: str) -> Future:
        """Return a future of the `StreamFinding` of a stream."""
        future: Future = Future()
        self.tell(_FindStream(StreamQuery(stream, service), future))
        self._wake()
        return future

    def on_listed(self, listed: Mapping[str, frozenset[str]], is_gap: bool = False) -> None:
        """Record the versions of all listed backend servers by service.

        `is_gap` is whether servers may have come and gone that this host has never listed.
        """
        self.tell(_SoftwareListed(listed, is_gap))
        self._wake()

    def on_list_read(self, read: ListRead) -> None:
        """Record a read of the table, after what it returned has been passed to `on_listed`."""
        self.tell(read)
        self._wake()

    def on_stored(self, stored: Mapping[str, frozenset[str]]) -> None:
        """Record the versions that hosts have written to the store before this host started."""
        self.tell(_SoftwareStored(stored))
        self._wake()

    def on_restored(self, stored: Mapping[str, frozenset[str]]) -> None:
        """Record versions from a copy of the store, which may lack those of before its restore."""
        self.tell(_SoftwareStored(stored, is_complete=False))
        self._wake()

    def versions(self) -> Future:
        """Return a future of the versions that may have begun live streams, by service.

        Services of which this host does not know all versions are left out.
        """
        future = self.ask("versions")
        self._wake()
        return future

    # The task's own thread.

    def handle(self, message: object) -> object:
        now = self._clock.now()
        match message:
            case _StreamBegun(stream, record):
                self._records.add_own(stream, record)
                if record.service not in self._soles:
                    self._tell_keepers([(stream, record)], now)
            case _FindStream(query, future):
                self._find(query, future, now)
            case _QueriesReceived(queries, address):
                self._send(self._answer(queries, now), address)
            case _SoftwareListed(listed, is_gap):
                if is_gap:
                    self._history.on_gap(now)
                self._history.on_listed(listed, now)
                self._update_soles(now)
            case ListRead():
                self._on_list_read(message, now)
            case _SoftwareStored(stored, is_complete):
                self._history.on_stored(stored, now, is_complete)
                self._update_soles(now)
            case "versions":
                return {
                    service: self._history.versions(service, now)
                    for service in self._history.services
                    if self._history.is_known(service, now)
                }
            case _:
                return super().handle(message)
        return None

    def tick(self) -> None:
        now = self._clock.now()
        due_at = min((search.due_at for search in self._searches.values()), default=float("inf"))
        wait_s = 0.0 if self.has_messages else max(0.0, min(MAX_WAIT_S, due_at - now))
        ready = [key.fileobj for key, _ in self._selector.select(wait_s)]
        if self._wake_reader in ready:
            self._wake_reader.recv(MAX_DATAGRAM_BYTES)
        if self._socket in ready:
            for address, message in self._receive():
                self._on_message(address, message)
        now = self._clock.now()
        for search in [each for each in self._searches.values() if now >= each.due_at]:
            self._ask(search, now)
        if now >= self._next_forget_at:
            self._next_forget_at = now + FORGET_INTERVAL_S
            self._records.forget_old(now)
            self._history.forget_old(now)
            self._update_soles(now)

    def close(self) -> None:
        for search in list(self._searches.values()):
            self._end_search(search, StreamFinding(None, "silent", len(search.asked)))
        self._selector.close()
        for each in (self._socket, self._wake_reader, self._wake_writer):
            each.close()

    def _wake(self) -> None:
        # A full buffer means that the task is about to wake up anyway, a closed one that it has ended.
        with contextlib.suppress(OSError):
            self._wake_writer.send(b"\0")

    def _update_soles(self, now: float) -> None:
        """Recompute which services have a sole version, and tell keepers of services that had one."""
        found = {
            service: sole
            for service in self._history.services
            if (sole := self._history.sole(service, now)) is not None
        }
        if found == self._soles:
            return
        before, self._soles = self._soles, found
        for service in sorted(before.keys() | found.keys()):
            if before.get(service) != found.get(service):
                versions = sorted(self._history.versions(service, now))
                _log.info(
                    SOFTWARE_CHANGED, service=service, versions=versions, sole=found.get(service)
                )
        for service in before.keys() - found.keys():
            self._tell_keepers(self._records.own(service, now), now)

    def _tell_keepers(self, streams: Iterable[tuple[bytes, StreamRecord]], now: float) -> None:
        peers = self._peers()
        begun: dict[str, list[BegunStream]] = {}
        for stream, record in streams:
            told = BegunStream(stream, record.software, record.until - now)
            for keeper in choose_keepers(stream, [self._host, *peers]):
                begun.setdefault(keeper, []).append(told)
        begun.pop(self._host, None)
        for keeper, told in begun.items():
            for start in range(0, len(told), MAX_STREAMS_PER_MESSAGE):
                part = tuple(told[start : start + MAX_STREAMS_PER_MESSAGE])
                self._send(StreamMessage(begun=part), self._address_of(peers[keeper]))
            RELAY_STREAMS_TOLD.inc(len(told))

    def _find(self, query: StreamQuery, future: Future, now: float) -> None:
        # What peers told while this host stood still waits in the socket.
        for address, message in self._receive():
            self._on_message(address, message)
        software = self._records.software(query.stream, now)
        if software is not None:
            future.set_result(StreamFinding(software, "known"))
            return
        search = self._searches.get(query.stream)
        if search is None:
            search = self._searches[query.stream] = self._begin_search(query, now)
        search.futures.append(future)
        if now >= search.asks_at and not search.rounds:
            self._ask(search, now)

    def _begin_search(self, query: StreamQuery, now: float) -> _Search:
        """Return a new search, which asks other hosts at once unless a read may make that needless."""
        may_be_sole = self._only_version(query.service, now) is not None
        is_reading = may_be_sole and self._request_list_read()
        has_sole = query.service in self._soles
        search = _Search(query, now, now + LIST_READ_WAIT_S if is_reading and has_sole else now)
        search.is_list_read = None if is_reading else False
        return search

    def _on_list_read(self, read: ListRead, now: float) -> None:
        for search in list(self._searches.values()):
            if search.is_list_read is None and search.began_at <= read.sent_at:
                search.is_list_read = read.is_applied
                search.asks_at = min(search.asks_at, now)
                self._end_if_settled(search, now)

    def _end_if_settled(self, search: _Search, now: float) -> None:
        """End a search if one version alone can have begun the stream, or if no host knows it."""
        service = search.query.service
        only, asked = self._only_version(service, now), len(search.asked)
        everyone = {self._address_of(each) for each in self._peers().values()}
        has_all_answers = bool(everyone) and everyone <= search.answered
        if only is not None and search.is_list_read and self._soles.get(service) == only:
            self._end_search(search, StreamFinding(only, "sole", asked))
        elif (
            only is not None
            and set(search.claims.values()) == {only}
            and (search.is_list_read or (has_all_answers and not search.ignorant))
        ):
            self._end_search(search, StreamFinding(only, "told", asked))
        elif has_all_answers and search.is_list_read is not None:
            self._end_search(search, StreamFinding(None, "unknown", asked))

    def _only_version(self, service: str, now: float) -> str | None:
        """Return the version of a service that this host knows, None if there are several or none."""
        versions = self._history.versions(service, now)
        return next(iter(versions)) or None if len(versions) == 1 else None

    def _lookup(self, query: StreamQuery, now: float) -> StreamFinding | None:
        """Return what this host tells a peer of a stream, or None if it knows nothing."""
        software = self._records.software(query.stream, now)
        if software is not None:
            return StreamFinding(software, "known")
        sole = self._soles.get(query.service) if self._is_list_current() else None
        return StreamFinding(sole, "sole") if sole is not None else None

    def _ask(self, search: _Search, now: float) -> None:
        """Ask the next hosts for a stream, or end the search if all time is used."""
        if search.rounds == len(ASK_TIMES_S) - 1:
            self._end_search(search, StreamFinding(None, "silent", len(search.asked)))
            return
        peers = self._peers()
        names = choose_keepers(search.query.stream, peers) if not search.rounds else list(peers)
        search.rounds += 1
        addresses = {self._address_of(peers[name]) for name in names} - search.answered
        search.asked |= addresses
        for address in addresses:
            self._send(StreamMessage(queries=(search.query,)), address)

    def _on_message(self, address: Address, message: StreamMessage) -> None:
        now = self._clock.now()
        for begun in message.begun:
            self._on_begun(begun, address, now)
        for stream in message.unknown:
            self._on_unknown(stream, address, now)
        if message.queries:
            # Behind the streams of this host that are not recorded yet.
            self.tell(_QueriesReceived(message.queries, address))

    def _answer(self, queries: Iterable[StreamQuery], now: float) -> StreamMessage:
        begun, unknown = [], []
        for query in queries:
            found = self._lookup(query, now)
            if found is None:
                unknown.append(query.stream)
                continue
            is_known = found.source == "known"
            remaining_s = self._records.remaining_s(query.stream, now) if is_known else 0.0
            begun.append(BegunStream(query.stream, found.software, remaining_s))
        return StreamMessage(begun=tuple(begun), unknown=tuple(unknown))

    def _on_begun(self, begun: BegunStream, address: Address, now: float) -> None:
        search = self._searches.get(begun.stream)
        if begun.remaining_s <= 0:
            # The sender doesn't know the stream, and takes the version for the only one.
            if search is not None:
                search.claims[address] = begun.software
                self._end_if_settled(search, now)
            return
        service = search.query.service if search is not None else ""
        until = now + min(begun.remaining_s, self._life_s())
        record = StreamRecord(service, begun.software, until, False)
        self._records.add_from_peer(begun.stream, record, now)
        if search is not None:
            software = self._records.software(begun.stream, now)
            found = begun.software if software is None else software
            self._end_search(search, StreamFinding(found, "told", len(search.asked)))

    def _on_unknown(self, stream: bytes, address: Address, now: float) -> None:
        search = self._searches.get(stream)
        if search is not None:
            search.ignorant.add(address)
            self._end_if_settled(search, now)

    def _end_search(self, search: _Search, finding: StreamFinding) -> None:
        del self._searches[search.query.stream]
        for future in search.futures:
            future.set_result(finding)

    def _address_of(self, peer: Address) -> Address:
        return peer[0], self._port

    def _receive(self) -> Iterator[tuple[Address, StreamMessage]]:
        while True:
            try:
                datagram, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # Linux reports a peer's closed port here, at a later call.
                self._log_unreadable(str(error))
                return
            message = decode_message(datagram)
            if message.is_error():
                self._log_unreadable(message.error)
                continue
            yield address, message.ok

    def _send(self, message: StreamMessage, address: Address) -> None:
        try:
            self._socket.sendto(encode_message(message), address)
        except OSError as error:
            self._log_unreadable(f"sending to {address[0]}: {error}")

    def _log_unreadable(self, detail: str) -> None:
        now = self._clock.now()
        if now - self._unreadable_logged_at >= UNREADABLE_LOG_INTERVAL_S:
            self._unreadable_logged_at = now
            _log.warning(STREAM_MESSAGE_UNREADABLE, detail=detail)


def choose_keepers(stream: bytes, hosts: Iterable[str]) -> list[str]:
    """Return the hosts that keep the software of a stream, the same ones on every host.

    Uses rendezvous hashing: a host that comes or goes changes few streams' keepers.

    >>> hosts = [f"host-{number}" for number in range(9)]
    >>> choose_keepers(b"key", hosts) == choose_keepers(b"key", reversed(hosts))
    True
    """

    def rank(host: str) -> bytes:
        return hashlib.blake2b(stream + host.encode(), digest_size=8).digest()

    return heapq.nlargest(KEEPERS, hosts, key=rank)
