"""Tests of the messages between processes, and of the peer server and client on real sockets."""

import socket
import struct
from concurrent.futures import ThreadPoolExecutor
from random import Random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from laburnumreel.coordination import (
    BrokenRequest,
    ClaimState,
    ConfigSync,
    CrashReport,
    DrainMark,
    ExchangeMessage,
    NodeStatus,
    NodeUpdate,
    NullGossipDelegate,
    PeerExchange,
    QuarantineEntry,
)
from laburnumreel.coordination._gossip import MAX_EXCHANGE_BYTES, Gossip
from laburnumreel.coordination._replica import Replica
from laburnumreel.protocol import _wire
from laburnumreel.protocol.gen.node import ttypes
from laburnumreel.state import Configuration
from laburnumreel.transport import PeerClient, PeerServer, _peer_server
from laburnumreel.transport._frames import MAX_CALL_BYTES, make_reader, make_writer
from laburnumreel_standins._memory_platform import MemoryPlatform
from laburnumreel_standins._platform_state import PlatformState
from laburnumreel_standins.processes import fresh_host, wait_until

DIGESTS = st.integers(0, (1 << 256) - 1).map(lambda number: f"{number:064x}")
COUNTS = st.integers(0, (1 << 31) - 1)
SECONDS = st.integers(0, 10**6).map(lambda ms: ms / 1000)
TEXTS = st.text(max_size=20)
PARTS = st.integers(0, (1 << 64) - 1).map(lambda number: f"{number:016x}")
UPDATES = st.builds(
    NodeUpdate,
    st.lists(st.builds(DrainMark, TEXTS, TEXTS, SECONDS), max_size=3).map(tuple),
    st.lists(st.builds(QuarantineEntry, TEXTS, SECONDS), max_size=3).map(tuple),
    st.dictionaries(TEXTS, st.tuples(COUNTS, COUNTS), max_size=3),
    st.dictionaries(TEXTS, st.tuples(COUNTS, COUNTS), max_size=3),
    st.dictionaries(PARTS, SECONDS, max_size=3),
    st.lists(
        st.builds(
            CrashReport,
            TEXTS,
            SECONDS,
            st.lists(
                st.builds(
                    BrokenRequest, PARTS, st.lists(PARTS, max_size=3).map(tuple), st.just("")
                ),
                max_size=3,
            ).map(tuple),
        ),
        max_size=3,
    ).map(tuple),
    st.dictionaries(PARTS, SECONDS, max_size=3),
)
MESSAGES = st.builds(
    ExchangeMessage,
    *(TEXTS,) * 4,
    COUNTS,
    DIGESTS,
    st.lists(DIGESTS, max_size=5).map(tuple),
    COUNTS,
    DIGESTS,
    UPDATES,
    st.booleans(),
    st.booleans(),
    st.binary(max_size=40),
    st.binary(max_size=8),
)


class Node:
    """A process with a configuration task, a peer exchange and a peer server."""

    def __init__(self, number, addresses, platform):
        self.address = addresses[number]
        settings = SimpleNamespace(
            node=SimpleNamespace(name=f"node-{number}", zone="antigua-a", region="antigua"),
            listen=SimpleNamespace(peers=self.address, coordinator_peers=self.address),
            peers=SimpleNamespace(
                gateways=tuple(addresses), coordinators=(), exchange_s=0.1, cut_off_s=3.0
            ),
        )
        self.link = PeerClient()
        self.config = ConfigSync(platform, self.link, poll_interval_s=0.1)
        self.exchange = PeerExchange(settings, self.config, self.link, NullGossipDelegate())
        self.server = PeerServer(self.address, self.exchange, self.config, self)
        self._threads = ThreadPoolExecutor(3)
        for part in (self.config, self.exchange, self.server):
            part.start(self._threads)

    def status(self):
        config = self.config.configuration
        return NodeStatus(
            "n", "gateway", "z", "b", True, False, config.version, config.digest, 0, False
        )

    def claim_state(self, claim_key):
        return ClaimState(self.exchange.boot, claim_key == "running")

    def stop(self):
        for part in (self.server, self.exchange, self.config):
            part.stop()
        self.link.close()
        self._threads.shutdown()


@pytest.fixture
def platform():
    return MemoryPlatform(PlatformState())


@pytest.fixture
def nodes(platform):
    addresses = [(fresh_host(), 7000) for _ in range(3)]
    started = [Node(number, addresses, platform) for number in range(3)]
    yield started
    for node in started:
        node.stop()


def has_recent_majority(node):
    return node.exchange.has_recent_majority(node.exchange._clock.now())


@given(
    st.integers(0, 3000),
    st.lists(st.sampled_from(["drain", "quarantine", "work", "received", "crash"]), max_size=5),
    st.integers(1, 250),
)
def test_an_exchange_is_bounded_and_withdrawals_come_first(withdrawn, parts, length):
    """Guards against frames too large for a peer, and withdrawals delayed by other data."""
    replica = Replica()
    replica.withdraw([f"{number:064x}" for number in range(withdrawn)])
    addresses = [("127.0.0.1", 7000), ("127.0.0.1", 7001)]
    gossip = Gossip(
        "n" * 63, "gateway", "b" * 16, addresses[0], addresses, (), 3.0, replica, Random(1), bool
    )
    names = [f"{number:03}" + "x" * length for number in range(500)]
    broken = BrokenRequest("a" * 16, tuple(f"{number:016x}" for number in range(32)))
    gossip.on_local_update(
        NodeUpdate(
            tuple(DrainMark(name, name, 1.0) for name in names if "drain" in parts),
            tuple(QuarantineEntry(name, 1.0) for name in names if "quarantine" in parts),
            {name: (1, 1) for name in names if "work" in parts},
            {name: (1, 1) for name in names if "received" in parts},
            {f"{number:016x}": 9.0 for number in range(900) if "crash" in parts},
            tuple(CrashReport(name, 1.0, (broken,) * 16) for name in names if "crash" in parts),
            {f"{number:016x}": 9.0 for number in range(900) if "crash" in parts},
        ),
        False,
    )
    message = gossip.build_call(addresses[1])
    output = make_writer()
    _wire.exchange_to_wire(message).write(output)
    assert len(output.trans.getvalue()) <= MAX_EXCHANGE_BYTES
    assert len(message.withdrawn) == withdrawn or message.update == NodeUpdate()


@given(MESSAGES)
def test_exchange_is_equal_after_the_wire(message):
    """Guards against a field that is dropped or swapped by the encoding."""
    output = make_writer()
    _wire.exchange_to_wire(message).write(output)
    wire = ttypes.Exchange()
    wire.read(make_reader(output.trans.getvalue()))
    assert _wire.exchange_from_wire(wire) == message


def test_withdrawal_reaches_all_peers_with_the_store_down(nodes, platform):
    """Guards against a withdrawn key that works while the store is down or is not stored later."""
    wait_until(lambda: all(node.config.ready for node in nodes), "the store to be read", 5)
    platform.faults.change({"down": True})
    digest = "ab" * 32
    assert nodes[0].link.withdraw_key(nodes[1].address, digest).ok == 1
    for node in nodes:
        wait_until(lambda node=node: digest in node.config.withdrawn, "the withdrawal", 5)
        wait_until(lambda node=node: has_recent_majority(node), "a majority to be heard", 5)
    assert nodes[2].link.withdraw_key(nodes[1].address, "no digest").is_error()
    platform.faults.change({"down": False})
    wait_until(lambda: platform.read("withdrawn", digest).ok, "the withdrawal to be stored", 5)


def test_a_fresh_node_takes_a_peers_configuration_with_the_store_down(nodes, platform):
    """Guards against a restarted node that cannot serve until the store is back."""
    platform.faults.change({"down": True})
    fresh = Node(0, [(fresh_host(), 7000), nodes[1].address], platform)
    try:
        assert not fresh.config.ready
        change = Configuration().next_change("ana", {"customer/hall-a": {"weight": 2.0}})
        nodes[1].config.replica.adopt_changes([change])
        for node in [fresh, *nodes]:
            wait_until(lambda node=node: node.config.configuration.version == 1, "version 1", 5)
            assert node.config.ready
        assert nodes[1].link.status(nodes[2].address).ok.config_digest == change.digest
        assert nodes[1].link.claim_state(nodes[2].address, "running").ok.running
        # Its majority may have lost withdrawals; only the store or more gateways can confirm them.
        assert not fresh.exchange.keys_verifiable(fresh.exchange._clock.now())
    finally:
        fresh.stop()


@pytest.mark.parametrize(
    "frame",
    [
        struct.pack("!i", MAX_CALL_BYTES + 1),
        struct.pack("!i", -1),
        struct.pack("!i", 9) + b"\xff" * 9,
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
def test_server_closes_a_connection_with_a_bad_frame_and_serves_on(nodes, frame):
    """Guards against memory or threads that a malformed or oversized call occupies."""
    with socket.create_connection(nodes[0].address, timeout=5) as connection:
        connection.sendall(frame)
        connection.settimeout(5)
        while connection.recv(4096):
            continue
    assert nodes[1].link.status(nodes[0].address).is_ok()


def test_silent_connections_hold_no_call_thread(nodes):
    """Guards against idle or incomplete calls that block the answers to others."""
    connections = [socket.create_connection(nodes[0].address, timeout=5) for _ in range(40)]
    for connection in connections:
        connection.sendall(b"\0\0")
    assert nodes[1].link.status(nodes[0].address).is_ok()
    for connection in connections:
        connection.close()


class Crowd:
    """Connections to a peer server that send a part of a call, and then a byte now and then."""

    def __init__(self, address, count, part):
        self.open = []
        for _ in range(count):
            self.open.append(socket.create_connection(address, timeout=5))
            self.open[-1].sendall(part)

    def drip(self):
        """Send a byte on each connection; forget those that the server has closed."""
        for connection in list(self.open):
            try:
                connection.sendall(b"\0")
            except OSError:
                self.open.remove(connection)
                connection.close()

    def end(self):
        for connection in self.open:
            connection.close()


@pytest.fixture
def join():
    crowds = []

    def start(*arguments):
        crowds.append(Crowd(*arguments))
        return crowds[-1]

    yield start
    for crowd in crowds:
        crowd.end()


UNFINISHED = struct.pack("!i", MAX_CALL_BYTES) + 1000 * b"x"


def test_call_that_comes_byte_by_byte_is_ended(nodes, join, monkeypatch):
    """Each byte renewed the time of an unfinished call."""
    monkeypatch.setattr(_peer_server, "PARTIAL_CALL_TIMEOUT_S", 0.5)
    crowd = join(nodes[0].address, 5, UNFINISHED)

    def is_ended():
        crowd.drip()
        return not crowd.open

    wait_until(is_ended, "the connections to be closed")
    assert nodes[1].link.status(nodes[0].address).is_ok()


def test_unfinished_calls_leave_connections_to_others(nodes, join, monkeypatch):
    """All new peers were refused while others held the connections."""
    monkeypatch.setattr(_peer_server, "MAX_CONNECTIONS", 20)
    join(nodes[0].address, 30, UNFINISHED)
    fresh = PeerClient()
    try:
        for _ in range(3):
            assert fresh.status(nodes[0].address).is_ok()
    finally:
        fresh.close()


def test_unfinished_calls_hold_a_bounded_memory_together(nodes, join, monkeypatch):
    monkeypatch.setattr(_peer_server, "MAX_UNFINISHED_BYTES", 400_000)
    server = nodes[0].server
    join(nodes[0].address, 30, struct.pack("!i", MAX_CALL_BYTES) + (MAX_CALL_BYTES - 1) * b"x")
    wait_until(lambda: any(each.buffer for each in list(server._connections)), "calls to arrive")
    for _ in range(20):
        assert nodes[1].link.status(nodes[0].address).is_ok()
        held = sum(len(each.buffer) for each in list(server._connections))
        # What one read brings may be beyond it until the next connection is looked at.
        assert held <= 400_000 + (1 << 16)


class RecordingDelegate(NullGossipDelegate):
    """A delegate with work in flight that records the updates of peers."""

    def __init__(self):
        self.updates = []

    def local_update(self, now):
        return NodeUpdate(in_flight={"w0": (1, 5)})

    def on_peer_update(self, peer, update, now):
        self.updates.append((peer, update.in_flight))

    def updates_since_first_work(self):
        """Return the work in each peer's updates since the first one that had any."""
        updates = {}
        for peer, in_flight in list(self.updates):
            if in_flight or peer in updates:
                updates.setdefault(peer, []).append(in_flight)
        return updates


def test_answers_do_not_hide_a_peers_work(nodes):
    """Guards against in-flight work that counts as ended because an answer has no update."""
    delegates = [RecordingDelegate() for _ in nodes]
    for node, delegate in zip(nodes, delegates, strict=True):
        node.exchange._delegate = delegate
    wait_until(
        lambda: all(
            sum(
                len(in_flight_updates) > 4
                for in_flight_updates in delegate.updates_since_first_work().values()
            )
            == len(nodes) - 1
            for delegate in delegates
        ),
        "updates from the peers",
    )
    for delegate in delegates:
        assert all(
            work == {"w0": (1, 5)}
            for in_flight_updates in delegate.updates_since_first_work().values()
            for work in in_flight_updates
        )
