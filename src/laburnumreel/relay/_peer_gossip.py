"""The task that exchanges updates with the peers over UDP."""

import contextlib
import hashlib
import random
import selectors
import socket
import time
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from functools import lru_cache
from typing import Any, NamedTuple

from laburnumreel.core import Clock, Log, Task
from laburnumreel.relay._back_ends import Address
from laburnumreel.relay._events import NEWS_UNREADABLE, PEER_HEARD, PEER_SILENT
from laburnumreel.relay._forwarding import ForwardTarget
from laburnumreel.relay._holds_query import MAX_ASKED_FAR_PEERS, MAX_ASKED_PEERS, HoldsQuery
from laburnumreel.relay._metrics import RELAY_PEERS
from laburnumreel.relay._peer_update import MAX_BYTES, PeerUpdate, decode_update, encode_update
from laburnumreel.relay._usage_counters import UsageUpdate

# Upper bounds on the datagrams that a host sends per second to peers of its own region and to peers
# of other regions. With many peers, the interval between updates grows to stay below them. Traffic
# between regions costs money, and large deployments seldom use engines of other regions.
MAX_NEAR_PER_S = 50.0
MAX_FAR_PER_S = 40.0
# A peer counts as gone after this long without a datagram, or after `PEER_TIMEOUT_INTERVALS`
# send intervals where these are longer, so that two lost datagrams do not count as a loss.
PEER_TIMEOUT_S = 3.0
PEER_TIMEOUT_INTERVALS = 3.0
# Addresses that do not answer are retried this often, in case the network path is back.
SILENT_PEER_RETRY_S = 1.5
# An address without any datagram for this long is removed; the list of hosts adds it again.
FORGET_PEER_S = 30.0
MAX_PORT = 65535
# Minimum time between two log lines about unreadable datagrams.
UNREADABLE_LOG_INTERVAL_S = 5.0
# In deployments of up to this many hosts, each host sends its usage counts to all others, so that
# the loss of a host loses no counts. In larger ones, counts go only to the host that reports usage.
USAGE_TO_ALL_MAX_HOSTS = 12
# In larger deployments, a host that stops also sends its counts to this many peers, in case the
# host that reports usage is lost.
HANDOFF_PEERS = 3
# How long to wait for further datagrams after the first one of a batch. The send interval of the
# peers already makes updates older than this delay.
BATCH_WAIT_S = 0.02
# Minimum time between two updates about crashes only, and the interval of regular updates from which
# peers get them: more frequent ones are soon enough.
CRASH_INTERVAL_S = 0.2
MIN_INTERVAL_FOR_CRASHES_S = 0.3
# Minimum time between two updates with usage counts to the same peer.
USAGE_INTERVAL_S = 0.6
# A host that has just become the reporter of usage, as a successor or after a network partition,
# has missed the counts that were sent to its predecessor. For this long after the first update with
# usage to it, it gets all windows that may still be reported, in case datagrams are lost.
HISTORY_RESEND_S = 3.0

_log = Log("relay.peers")


class _Peer(NamedTuple):
    """An address that updates are sent to, and when datagrams last came from and went to it."""

    added_at: float
    last_heard_at: float | None = None
    last_sent_at: float = float("-inf")
    usage_sent_at: float = float("-inf")
    name: str = ""
    boot: str = ""
    cross_region: bool = False
    sequence: int = 0
    duty_fence: int = 0
    # When it was first sent usage counts while it held that fencing number.
    fence_usage_at: float | None = None
    listing_away: bool = False
    forward_port: int = 0


class PeerGossip(Task):
    """Sends this host's updates to all peers and passes on the updates of the peers.

    `build_update` builds the update for peers in this region or, called with True, for peers in
    other regions. `current_fence` returns the fencing number under which this host does the duties,
    or 0. `build_usage` returns the usage counts, with older windows and ended processes if called
    with True. `is_other_region` returns whether an availability zone is in another region.
    `on_updates` is called with each batch of received updates, `on_peer_silent` with the name of
    a peer that timed out. `build_crash_fields` returns the fields of an update that concern crashes,
    `build_listing_fields` those on how far this host has read the table of backend servers. Peers of
    this region hear of a poll at once where regular updates are more than `listing_interval_s`
    apart. All callbacks run on this task's thread.
    """

    def __init__(
        self,
        listen: Address,
        clock: Clock,
        interval_s: float,
        build_update: Callable[[bool], PeerUpdate],
        current_fence: Callable[[], int],
        build_usage: Callable[[bool], UsageUpdate],
        is_other_region: Callable[[str], bool],
        on_updates: Callable[[Sequence[PeerUpdate]], None],
        on_peer_silent: Callable[[str], None],
        build_crash_fields: Callable[[], Mapping[str, Any]] = dict,
        is_waiting_for_holds: Callable[[], bool] = lambda: False,
        build_listing_fields: Callable[[], Mapping[str, Any]] = dict,
        listing_interval_s: float = float("inf"),
    ) -> None:
        super().__init__("peer-news", tick_s=0.0)
        self._clock = clock
        self._interval_s = interval_s
        self._build_update = build_update
        self._current_fence = current_fence
        self._announced_fence = 0
        self._build_usage = build_usage
        self._is_other_region = is_other_region
        self._on_updates = on_updates
        self._on_peer_silent = on_peer_silent
        self._build_crash_fields = build_crash_fields
        self._is_waiting_for_holds = is_waiting_for_holds
        self._build_listing_fields = build_listing_fields
        self._listing_interval_s = listing_interval_s
        self._is_listing_due = False
        # The last regular updates, for peers of this region (False) and of other regions (True).
        self._last_updates: dict[bool, PeerUpdate] = {}
        # When to send an update about crashes, if one is wanted, and when the next one may be sent.
        self._crashes_due_at = float("inf")
        self._next_crash_send = 0.0
        self._holds_query = HoldsQuery(interval_s, clock.now())
        self._address = listen
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(listen)
        self._socket.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._socket, selectors.EVENT_READ)
        # Ends the wait for datagrams when another thread has something to send.
        self._wake_reader, self._wake_writer = socket.socketpair()
        for end in (self._wake_reader, self._wake_writer):
            end.setblocking(False)
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        self._peers: dict[Address, _Peer] = {}
        # Sequence numbers start at the time of day, so that they do not decrease on a restart.
        self._sequence = time.time_ns() // 1_000_000
        self._next_send = 0.0
        self._next_cross_region_send = 0.0
        self._handoff_peers: frozenset[Address] = frozenset()
        self._unreadable_logged_at = float("-inf")
        self._highest_fence = 0
        # Seconds between two updates: to peers of this region (False), of other regions (True).
        self._send_intervals_s = {False: interval_s, True: interval_s}

    @property
    def live_peers(self) -> Mapping[str, Address]:
        """The addresses of the peers that have not timed out, by name."""
        now = self._clock.now()
        return {
            peer.name: address
            for address, peer in list(self._peers.items())
            if not self._is_silent(peer, now)
        }

    @property
    def table_readers(self) -> list[str]:
        """The live peers of this region that can read the table of backend servers."""
        now = self._clock.now()
        return [
            peer.name
            for peer in list(self._peers.values())
            if not peer.cross_region and not peer.listing_away and not self._is_silent(peer, now)
        ]

    @property
    def forward_targets(self) -> list[ForwardTarget]:
        """The live peers that take requests which other hosts pass on."""
        now = self._clock.now()
        return [
            ForwardTarget(peer.name, (address[0], peer.forward_port), peer.cross_region)
            for address, peer in list(self._peers.items())
            if 0 < peer.forward_port <= MAX_PORT and not self._is_silent(peer, now)
        ]

    @property
    def highest_fence(self) -> int:
        """The highest fencing number under which any peer has claimed the duties."""
        return self._highest_fence

    @property
    def any_listing_unavailable(self) -> bool:
        """Whether any live peer cannot read the table of backend servers."""
        now = self._clock.now()
        return any(
            peer.listing_away and not self._is_silent(peer, now)
            for peer in list(self._peers.values())
        )

    def is_duty_claimed(self, within_s: float) -> bool:
        """Return whether a peer has claimed the duties within the last `within_s` seconds."""
        now = self._clock.now()
        return any(
            peer.duty_fence
            and peer.last_heard_at is not None
            and now - peer.last_heard_at < within_s
            for peer in list(self._peers.values())
        )

    def add_peers(self, addresses: Iterable[Address]) -> None:
        """Add addresses that updates are sent to."""
        self.tell(("meet", tuple(addresses)))

    def send_crashes(self) -> None:
        """Tell the peers of crashes and held parts soon, without waiting for the next update."""
        self._wake("crashes")

    def send_listing(self) -> None:
        """Tell the peers of this region that this host has polled the table of backend servers.

        Only where the regular updates are too seldom for this.
        """
        if self._send_intervals_s[False] > self._listing_interval_s:
            self._wake("listing")

    def ask_holds(self, number: int) -> None:
        """Ask some peers at once for what is held; `number` comes back in their answers."""
        self._wake(("ask", number))

    def _wake(self, message: object) -> None:
        self.tell(message)
        # A full buffer means that the task is about to wake up anyway, a closed one that it has ended.
        with contextlib.suppress(OSError):
            self._wake_writer.send(b"\0")

    def handle(self, message: object) -> None:
        match message:
            case "crashes":
                due_at = max(self._clock.now(), self._next_crash_send)
                self._crashes_due_at = min(self._crashes_due_at, due_at)
            case "listing":
                self._is_listing_due = True
            case ("ask", number):
                self._holds_query.start(number, self._clock.now())
            case ("meet", addresses):
                for address in addresses:
                    self._add_peer(address)
            case _:
                super().handle(message)

    def tick(self) -> None:
        now = self._clock.now()
        due_at = min(self._next_send, self._crashes_due_at, self._holds_query.due_at(now))
        wait_s = 0.0 if self._is_listing_due else max(0.0, due_at - now)
        ready = [key.fileobj for key, _ in self._selector.select(wait_s)]
        if self._wake_reader in ready:
            self._wake_reader.recv(MAX_BYTES)
        if self._socket in ready:
            # Processes datagrams in batches: with many peers, waking up for each datagram costs
            # more than processing it.
            time.sleep(min(BATCH_WAIT_S, max(0.0, self._next_send - self._clock.now())))
            self._receive()
        now = self._clock.now()
        if self._is_listing_due:
            self._is_listing_due = False
            self._send_listing_update(now)
        if now >= self._crashes_due_at:
            self._crashes_due_at, self._next_crash_send = float("inf"), now + CRASH_INTERVAL_S
            self._send_crash_update(now)
        if now >= self._next_send:
            self._adapt_send_intervals()
            self._next_send = now + self._send_intervals_s[False]
            self._send(now)
        elif now >= self._holds_query.due_at(now):
            self._ask(now)

    def close(self) -> None:
        self._next_cross_region_send = 0.0
        known = [(peer.cross_region, address) for address, peer in self._peers.items() if peer.name]
        self._handoff_peers = frozenset(address for _, address in sorted(known)[:HANDOFF_PEERS])
        self._send(self._clock.now())
        self._selector.close()
        for each in (self._socket, self._wake_reader, self._wake_writer):
            each.close()

    def _add_peer(self, address: Address) -> None:
        if address != self._address and address not in self._peers:
            self._peers[address] = _Peer(added_at=self._clock.now())

    def _receive(self) -> None:
        received = [
            (address, update)
            for address, update in self._receive_updates()
            if self._record_update(address, update)
        ]
        if not received:
            return
        updates = [update for _, update in received]
        self._holds_query.on_updates(updates, self._clock.now())
        self._on_updates(updates)
        self._answer_asking([each for each in received if each[1].asks_holds])

    def _ask(self, now: float) -> None:
        """Ask some peers for what is held, most of them in this region."""
        number = self._holds_query.on_asked(self._sequence, now)
        shuffled = random.sample(list(self._peers.items()), len(self._peers))
        far = [each for each in shuffled if each[1].cross_region]
        near = [each for each in shuffled if not each[1].cross_region]
        near = near[: MAX_ASKED_PEERS - min(MAX_ASKED_FAR_PEERS, len(far))]
        asked = near + far[: MAX_ASKED_PEERS - len(near)]
        fields = self._build_crash_fields() if asked else {}
        for address, peer in asked:
            update = self._crash_update(peer.cross_region, fields)._replace(asks_holds=number)
            self._send_datagram(self._encode_datagram(update, None), address)

    def _answer_asking(self, asking: Sequence[tuple[Address, PeerUpdate]]) -> None:
        """Tell peers what is held, as an answer only if this host does not wait for one itself."""
        if not asking:
            return
        is_answer, fields = not self._is_waiting_for_holds(), self._build_crash_fields()
        for address, asked in asking:
            update = self._crash_update(self._is_other_region(asked.zone), fields)
            answer = update._replace(answers_holds=asked.asks_holds if is_answer else 0)
            self._send_datagram(self._encode_datagram(answer, None), address)

    def _receive_updates(self) -> Iterator[tuple[Address, PeerUpdate]]:
        while True:
            try:
                datagram, address = self._socket.recvfrom(MAX_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # Linux reports a peer's closed port here, at a later call.
                self._log_unreadable(str(error))
                return
            update = decode_update(datagram)
            if update.is_error():
                self._log_unreadable(update.error)
                continue
            yield address, update.ok

    def _record_update(self, address: Address, update: PeerUpdate) -> bool:
        """Record the sender of an update, and return whether the update is newer than the last."""
        self._add_peer(address)
        known = self._peers.get(address)
        if known is None:
            return False
        if known.boot == update.boot and update.sequence <= known.sequence:
            return False
        self._highest_fence = max(self._highest_fence, update.duty_fence)
        now = self._clock.now()
        if known.last_heard_at is None or known.boot != update.boot:
            _log.info(PEER_HEARD, peer=update.sender, boot=update.boot, zone=update.zone)
        self._peers[address] = known._replace(
            last_heard_at=now,
            name=update.sender,
            boot=update.boot,
            cross_region=self._is_other_region(update.zone),
            sequence=update.sequence,
            duty_fence=update.duty_fence,
            listing_away=update.listing_away,
            forward_port=update.forward_port,
            fence_usage_at=known.fence_usage_at if update.duty_fence == known.duty_fence else None,
        )
        return True

    def _send(self, now: float) -> None:
        self._drop_silent(now)
        fence = self._current_fence()
        # Peers in other regions learn at once that this host has become the reporter of usage,
        # because it waits for the counts of all hosts.
        cross_region_due = now >= self._next_cross_region_send or fence > self._announced_fence
        self._announced_fence = fence
        if cross_region_due:
            self._next_cross_region_send = now + self._send_intervals_s[True]
        RELAY_PEERS.set(len(self.live_peers))
        updates: dict[bool, PeerUpdate] = {}
        datagrams: dict[tuple[bool, bool | None], bytes] = {}
        for address, peer in list(self._peers.items()):
            silent = self._is_silent(peer, now)
            usage = True if address in self._handoff_peers else self._usage_due(peer, now)
            due = (
                now - peer.last_sent_at >= SILENT_PEER_RETRY_S
                if silent
                else cross_region_due or not peer.cross_region
            )
            # The host that reports usage waits for the counts of all hosts.
            if not due and (silent or usage is None or not peer.duty_fence):
                continue
            if peer.cross_region not in updates:
                updates[peer.cross_region] = self._build_update(peer.cross_region)
                self._last_updates[peer.cross_region] = updates[peer.cross_region]
            if (peer.cross_region, usage) not in datagrams:
                datagrams[peer.cross_region, usage] = self._encode_datagram(
                    updates[peer.cross_region], usage
                )
            sent = peer._replace(last_sent_at=now)
            if usage is not None:
                first_at = self._fence_usage_at(peer, now)
                sent = sent._replace(usage_sent_at=now, fence_usage_at=first_at)
            self._peers[address] = sent
            self._send_datagram(datagrams[peer.cross_region, usage], address)

    def _send_crash_update(self, now: float) -> None:
        """Tell the peers of crashes that get regular updates too seldom for them.

        Everything else is as in the last regular update, for hosts of earlier releases, which take
        this one for another of these.
        """
        fields = self._build_crash_fields()
        for cross_region in self._last_updates:
            if self._send_intervals_s[cross_region] < MIN_INTERVAL_FOR_CRASHES_S:
                continue
            update = self._crash_update(cross_region, fields)
            datagram = self._encode_datagram(update, None)
            for address, peer in self._peers.items():
                if peer.cross_region == cross_region and not self._is_silent(peer, now):
                    self._send_datagram(datagram, address)

    def _send_listing_update(self, now: float) -> None:
        """Tell the peers of this region how far this host has read the table of backend servers.

        Everything else is as in the last regular update, as in `_send_crash_update`.
        """
        fields = self._build_listing_fields()
        update = self._last_update(cross_region=False)._replace(only_listing=True, **fields)
        datagram = self._encode_datagram(update, None)
        for address, peer in self._peers.items():
            if not peer.cross_region and not self._is_silent(peer, now):
                self._send_datagram(datagram, address)

    def _crash_update(self, cross_region: bool, fields: Mapping[str, Any]) -> PeerUpdate:
        return self._last_update(cross_region)._replace(
            only_crashes=True, duty_fence=self._current_fence(), **fields
        )

    def _last_update(self, cross_region: bool) -> PeerUpdate:
        """Return the last regular update, or build the first one."""
        if cross_region not in self._last_updates:
            self._last_updates[cross_region] = self._build_update(cross_region)
        return self._last_updates[cross_region]

    def _send_datagram(self, datagram: bytes, address: Address) -> None:
        try:
            self._socket.sendto(datagram, address)
        except OSError as error:
            self._log_unreadable(f"sending to {address[0]}: {error}")

    def _encode_datagram(self, update: PeerUpdate, usage: bool | None) -> bytes:
        self._sequence += 1
        update = update._replace(sequence=self._sequence)
        if usage is not None:
            window, counts, ended = self._build_usage(usage)
            update = update._replace(usage_window=window, usage=counts, ended=ended)
        return encode_update(update)

    def _usage_due(self, peer: _Peer, now: float) -> bool | None:
        """Return None if a peer needs no usage counts now, True if it needs older windows too."""
        wanted = peer.duty_fence > 0 or len(self._peers) < USAGE_TO_ALL_MAX_HOSTS
        if not wanted or now - peer.usage_sent_at < USAGE_INTERVAL_S:
            return None
        return peer.duty_fence > 0 and now - self._fence_usage_at(peer, now) < HISTORY_RESEND_S

    @staticmethod
    def _fence_usage_at(peer: _Peer, now: float) -> float:
        """Return when a peer was first sent usage under its fencing number; `now` if not yet."""
        return now if peer.fence_usage_at is None else peer.fence_usage_at

    def _drop_silent(self, now: float) -> None:
        for address, peer in list(self._peers.items()):
            last = peer.added_at if peer.last_heard_at is None else peer.last_heard_at
            if peer.name and self._is_silent(peer, now):
                _log.warning(PEER_SILENT, peer=peer.name, silent_s=round(now - last, 2))
                self._on_peer_silent(peer.name)
                self._peers[address] = peer._replace(name="", last_heard_at=None, added_at=now)
            elif not peer.name and now - last >= FORGET_PEER_S:
                del self._peers[address]

    def _adapt_send_intervals(self) -> None:
        cross_region = sum(1 for peer in self._peers.values() if peer.cross_region)
        near = len(self._peers) - cross_region
        self._send_intervals_s = {
            False: send_interval_s(self._interval_s, near, MAX_NEAR_PER_S),
            True: send_interval_s(self._interval_s, cross_region, MAX_FAR_PER_S),
        }

    def _is_silent(self, peer: _Peer, now: float) -> bool:
        if peer.last_heard_at is None:
            return True
        return now - peer.last_heard_at >= peer_timeout_s(self._send_intervals_s[peer.cross_region])

    def _log_unreadable(self, detail: str) -> None:
        now = self._clock.now()
        if now - self._unreadable_logged_at >= UNREADABLE_LOG_INTERVAL_S:
            self._unreadable_logged_at = now
            _log.warning(NEWS_UNREADABLE, detail=detail)


def send_interval_s(interval_s: float, peer_count: int, max_per_s: float) -> float:
    """Return the seconds between two updates to each peer, given the limit per second."""
    return max(interval_s, peer_count / max_per_s)


def peer_timeout_s(interval_s: float) -> float:
    """Return the seconds of silence after which a peer with this send interval counts as gone.

    >>> peer_timeout_s(0.15), peer_timeout_s(3.25)
    (3.0, 9.75)
    """
    return max(PEER_TIMEOUT_S, PEER_TIMEOUT_INTERVALS * interval_s)


def rank_hosts(names: Iterable[str]) -> list[str]:
    """Return hosts in an order that all hosts agree on and that spreads the first places.

    >>> rank_hosts(["a", "b", "c"]) == rank_hosts(["c", "a", "b"])
    True
    """
    return sorted(names, key=_rank_key)


@lru_cache(maxsize=4096)
def _rank_key(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
