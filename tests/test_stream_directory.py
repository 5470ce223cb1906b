"""Tests of what hosts tell each other of the software that began streams, over loopback sockets."""

import contextlib
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st
from relay_samples import route

from laburnumreel.core import ManualClock, SystemClock
from laburnumreel.relay._application import MAX_LOOKUP_S
from laburnumreel.relay._config import RelayConfig
from laburnumreel.relay._list_read import ListRead
from laburnumreel.relay._software_history import (
    MIN_STREAM_LIFE_S,
    SoftwareHistory,
    stream_life_s,
)
from laburnumreel.relay._stream_directory import (
    ASK_TIMES_S,
    LIST_READ_WAIT_S,
    StreamDirectory,
    choose_keepers,
)
from laburnumreel.relay._stream_messages import (
    BegunStream,
    StreamMessage,
    StreamQuery,
    decode_message,
    encode_message,
)
from laburnumreel.relay._stream_records import StreamRecord, StreamRecords, stream_key
from laburnumreel_standins.processes import fresh_host

SERVICE = "quotes"
ONE, MIXED = {SERVICE: frozenset({"v1"})}, {SERVICE: frozenset({"v1", "v2"})}
PORT, PEER_PORT = 8005, 8004
LIFE_S = 30.0


class _Pause(NamedTuple):
    """A message whose handling takes until an event is set: the task stands still."""

    release: threading.Event

    def __eq__(self, other):
        self.release.wait(5)
        return False


class Directories:
    """Directories of several hosts on loopback, each of which hears all others that are `heard`.

    Those that are in `can_read` can read the table of backend servers, where they find `in_table`,
    or nothing new if that is None.
    """

    def __init__(self, executor, count):
        self.addresses = {f"host-{number}": (fresh_host(), PEER_PORT) for number in range(count)}
        self.heard = set(self.addresses)
        self.can_read = set(self.addresses)
        self.in_table = None
        self.sent = []
        self.tasks = {name: self.start(executor, name) for name in self.addresses}

    def start(self, executor, name):
        directory = StreamDirectory(
            name,
            (self.addresses[name][0], PORT),
            SystemClock(),
            lambda: {each: self.addresses[each] for each in self.heard - {name}},
            lambda: LIFE_S,
            request_list_read=lambda: self._read_list(name),
        )
        send = directory._send
        directory._send = lambda message, address: (
            self.sent.append(message),
            send(message, address),
        )
        directory.start(executor)
        return directory

    def _read_list(self, name):
        if name not in self.can_read:
            return False
        if self.in_table is not None:
            self.tasks[name].on_listed(self.in_table)
        self.tasks[name].on_list_read(ListRead(SystemClock().now(), True))
        return True

    def list(self, listed, *names):
        """Let hosts read a list of servers, and wait until they have."""
        for name in names or self.tasks:
            self.tasks[name].on_listed(listed)
            self.tasks[name].versions().result(5)

    def store(self, stored):
        for task in self.tasks.values():
            task.on_stored(stored)
            task.versions().result(5)

    def find(self, name, stream):
        return self.tasks[name].find(stream, SERVICE).result(5)

    def wait_known(self, stream, software, names):
        """Wait until some hosts know a stream: datagrams take a moment."""
        deadline = time.monotonic() + 5
        while time.monotonic() < deadline:
            if all(self.find(name, stream).software == software for name in names):
                return
            time.sleep(0.01)
        raise AssertionError("the stream is not known")


@pytest.fixture
def start_directories():
    with ThreadPoolExecutor(16) as executor, contextlib.ExitStack() as stack:

        def start(count):
            directories = Directories(executor, count)
            for task in directories.tasks.values():
                stack.callback(task.stop)
            return directories

        yield start


class TestDirectory:
    def test_stream_is_known_after_the_host_that_began_it_is_lost(self, start_directories):
        hosts = start_directories(6)
        hosts.list(MIXED)
        hosts.tasks["host-0"].record(b"stream", SERVICE, "v2")
        hosts.wait_known(b"stream", "v2", ["host-1"])
        hosts.tasks["host-0"].stop()
        hosts.heard.discard("host-0")
        finding = hosts.find("host-5", b"stream")
        assert finding.software == "v2"

    def test_stream_that_began_before_the_second_version_is_known(self, start_directories):
        hosts = start_directories(6)
        hosts.list(ONE)
        hosts.store(ONE)
        hosts.tasks["host-0"].record(b"stream", SERVICE, "v1")
        hosts.list(MIXED)
        hosts.wait_known(b"stream", "v1", ["host-1"])
        hosts.tasks["host-0"].stop()
        hosts.heard.discard("host-0")
        assert hosts.find("host-4", b"stream").software == "v1"

    def test_host_that_keeps_it_alone_is_asked_as_well(self, start_directories):
        """A host that was not told may still have begun the stream: the datagrams were lost."""
        hosts = start_directories(6)
        hosts.list(MIXED)
        outsider = next(
            name for name in hosts.tasks if name not in choose_keepers(b"stream", hosts.tasks)
        )
        hosts.heard -= set(hosts.tasks) - {outsider}
        hosts.tasks[outsider].record(b"stream", SERVICE, "v2")
        hosts.tasks[outsider].versions().result(5)
        hosts.heard = set(hosts.tasks)
        asker = next(name for name in hosts.tasks if name != outsider)
        assert hosts.find(asker, b"stream").software == "v2"

    def test_stream_is_known_for_as_long_as_its_caller_may_return(self, start_directories):
        """A caller's next try may begin when its route's timeout has ended the last one."""
        hosts = start_directories(2)
        hosts.list(MIXED)
        hosts.tasks["host-0"].record(b"stream", SERVICE, "v2")
        hosts.wait_known(b"stream", "v2", ["host-1"])
        for task in hosts.tasks.values():
            remaining_s = task._records.remaining_s(b"stream", SystemClock().now())
            assert LIFE_S - 5 < remaining_s <= LIFE_S

    def test_stream_that_nobody_knows_is_refused_without_a_wait(self, start_directories):
        hosts = start_directories(5)
        hosts.list(MIXED)
        finding = hosts.find("host-0", b"stream")
        assert (finding.software, finding.source, finding.asked) == (None, "unknown", 4)

    def test_silent_host_is_awaited_for_a_bounded_time(self, start_directories):
        hosts = start_directories(4)
        hosts.list(MIXED)
        hosts.tasks["host-3"].stop()
        began_at = time.monotonic()
        finding = hosts.find("host-0", b"stream")
        assert (finding.software, finding.source) == (None, "silent")
        assert time.monotonic() - began_at >= ASK_TIMES_S[-1] - 0.05

    def test_host_that_started_alone_learns_the_only_version_from_its_peers(
        self, start_directories
    ):
        hosts = start_directories(3)
        hosts.list(ONE)
        for name in ("host-1", "host-2"):
            hosts.tasks[name].on_stored(ONE)
            hosts.tasks[name].versions().result(5)
        finding = hosts.find("host-0", b"stream")
        assert (finding.software, finding.source) == ("v1", "told")

    def test_host_with_an_old_list_does_not_take_its_version_for_the_only_one(
        self, start_directories
    ):
        """A host that was cut off from the store knew no second version, and named the first."""
        hosts = start_directories(4)
        hosts.list(ONE)
        hosts.store(ONE)
        hosts.list(MIXED, "host-1", "host-2", "host-3")
        hosts.tasks["host-1"].record(b"stream", SERVICE, "v2")
        hosts.wait_known(b"stream", "v2", ["host-2"])
        hosts.can_read.discard("host-0")
        finding = hosts.find("host-0", b"stream")
        assert (finding.software, finding.source) == ("v2", "told")
        assert hosts.find("host-0", b"other").software is None

    def test_host_that_stood_still_reads_the_list_before_it_names_the_only_version(
        self, start_directories
    ):
        """Guards against a stream of two versions at a host that stood still as the second came.

        It named the version that was the only one before (issue 61, ORDER at a host out of step).
        """
        hosts = start_directories(4)
        hosts.list(ONE)
        hosts.store(ONE)
        hosts.list(MIXED, "host-1", "host-2", "host-3")
        hosts.tasks["host-1"].record(b"stream", SERVICE, "v2")
        hosts.wait_known(b"stream", "v2", ["host-2"])
        hosts.in_table = MIXED
        assert hosts.find("host-0", b"stream").software == "v2"

    def test_what_peers_told_a_host_that_stood_still_counts(self, start_directories):
        """The host that began the stream is lost, and its message waits in the socket."""
        hosts = start_directories(2)
        hosts.list(ONE)
        hosts.store(ONE)
        hosts.tasks["host-1"].stop()
        release = threading.Event()
        stopped = hosts.tasks["host-0"]
        stopped._wake = lambda: None
        stopped.tell(_Pause(release))
        future = stopped.find(b"stream", SERVICE)
        told = StreamMessage(begun=(BegunStream(b"stream", "v2", LIFE_S),))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(encode_message(told), (hosts.addresses["host-0"][0], PORT))
        release.set()
        assert future.result(5).software == "v2"

    def test_read_that_was_sent_before_the_question_proves_nothing(self, start_directories):
        hosts = start_directories(1)
        hosts.list(ONE)
        hosts.store(ONE)
        task = hosts.tasks["host-0"]
        read = ListRead(SystemClock().now(), True)
        task._request_list_read = lambda: (task.on_list_read(read), True)[1]
        assert hosts.find("host-0", b"stream").software is None

    @pytest.mark.parametrize("has_peers", [True, False])
    def test_host_that_is_cut_off_names_no_version(self, start_directories, has_peers):
        hosts = start_directories(3)
        hosts.list(ONE)
        hosts.store(ONE)
        hosts.can_read.clear()
        for name in ("host-1", "host-2"):
            hosts.tasks[name].stop()
        if not has_peers:
            hosts.heard = {"host-0"}
        assert hosts.find("host-0", b"stream").software is None

    @pytest.mark.parametrize("is_failing", [True, False])
    def test_hosts_that_all_know_one_version_agree_while_the_store_is_away(
        self, start_directories, is_failing
    ):
        hosts = start_directories(4)
        hosts.list(ONE)
        hosts.store(ONE)
        hosts.can_read.clear()
        if is_failing:
            task = hosts.tasks["host-0"]
            task._request_list_read = lambda: (
                task.on_list_read(ListRead(SystemClock().now(), False)),
                True,
            )[1]
        assert hosts.find("host-0", b"stream").software == "v1"
        hosts.list(MIXED, "host-3")
        assert hosts.find("host-0", b"other").software is None

    def test_list_that_is_not_read_in_time_is_not_awaited(self, start_directories):
        hosts = start_directories(4)
        hosts.list(ONE)
        hosts.store(ONE)
        hosts.tasks["host-0"]._request_list_read = lambda: True
        assert hosts.find("host-0", b"stream") == ("v1", "told", 3)
        assert LIST_READ_WAIT_S + ASK_TIMES_S[-1] < MAX_LOOKUP_S

    def test_one_peer_that_names_a_version_is_not_enough(self, start_directories):
        """It may have stood still itself."""
        hosts = start_directories(3)
        hosts.list(ONE)
        hosts.tasks["host-1"].on_stored(ONE)
        hosts.tasks["host-1"].versions().result(5)
        hosts.can_read.clear()
        assert hosts.find("host-0", b"stream").software is None
        hosts.can_read.add("host-0")
        assert hosts.find("host-0", b"stream").software == "v1"

    def test_servers_that_came_and_went_unseen_take_the_proof_away(self, start_directories):
        hosts = start_directories(1)
        hosts.list(ONE)
        hosts.store(ONE)
        assert hosts.find("host-0", b"stream").software == "v1"
        hosts.tasks["host-0"].on_listed(ONE, is_gap=True)
        assert hosts.find("host-0", b"stream").software is None
        hosts.store(ONE)
        assert hosts.find("host-0", b"stream").software == "v1"

    def test_one_version_costs_no_message(self, start_directories):
        hosts = start_directories(4)
        hosts.list(ONE)
        hosts.store(ONE)
        for number in range(50):
            hosts.tasks["host-0"].record(b"%d" % number, SERVICE, "v1")
            assert hosts.find("host-1", b"%d" % number).source == "sole"
        hosts.tasks["host-0"].versions().result(5)
        assert not hosts.sent

    def test_streams_of_two_versions_under_one_id_are_not_told_apart(self, start_directories):
        hosts = start_directories(4)
        hosts.list(MIXED)
        for name, software in (("host-0", "v1"), ("host-1", "v2")):
            hosts.tasks[name].record(b"stream", SERVICE, software)
        keeper = next(
            name
            for name in choose_keepers(b"stream", hosts.tasks)
            if name not in ("host-0", "host-1")
        )
        hosts.wait_known(b"stream", "", [keeper])

    def test_garbage_does_not_end_the_task(self, start_directories):
        hosts = start_directories(2)
        hosts.list(MIXED)
        for datagram in (b"", b"\0", b"x" * 3000, b"\x18\xff\xff\xff\xff\x0f"):
            hosts.tasks["host-1"]._socket.sendto(datagram, (hosts.addresses["host-0"][0], PORT))
        hosts.tasks["host-0"].record(b"stream", SERVICE, "v2")
        assert hosts.find("host-1", b"stream").software == "v2"


class TestSoftwareHistory:
    def test_version_that_left_counts_for_the_life_of_a_stream(self):
        history = SoftwareHistory(lambda: LIFE_S)
        history.on_listed(ONE, 0.0)
        history.on_stored(ONE, 0.0)
        assert history.sole(SERVICE, 0.0) == "v1"
        history.on_listed(MIXED, 10.0)
        assert history.sole(SERVICE, 10.0) is None
        history.on_listed({SERVICE: frozenset({"v2"})}, 11.0)
        assert history.sole(SERVICE, 11.0 + LIFE_S - 1) is None
        assert history.sole(SERVICE, 11.0 + LIFE_S) == "v2"

    def test_start_amid_two_versions_is_known_from_the_store(self):
        history = SoftwareHistory(lambda: LIFE_S)
        history.on_listed({SERVICE: frozenset({"v2"})}, 0.0)
        history.on_stored(MIXED, 0.0)
        assert history.sole(SERVICE, 0.0) is None
        assert history.versions(SERVICE, 0.0) == {"v1", "v2"}
        assert history.sole(SERVICE, LIFE_S) == "v2"

    def test_unknown_version_is_never_sole(self):
        history = SoftwareHistory(lambda: LIFE_S)
        history.on_listed({SERVICE: frozenset({""})}, 0.0)
        assert history.sole(SERVICE, 2 * LIFE_S) is None

    def test_service_without_servers_has_none(self):
        history = SoftwareHistory(lambda: LIFE_S)
        assert history.sole(SERVICE, 2 * LIFE_S) is None
        history.on_listed({}, 0.0)
        assert history.sole(SERVICE, 2 * LIFE_S) is None

    def test_life_covers_several_tries_of_the_slowest_route(self):
        routes = (route("/a/", timeout_s=3.0), route("/b/", timeout_s=600.0))
        assert stream_life_s(RelayConfig(1, routes)) >= 1200.0
        assert stream_life_s(RelayConfig(1)) == MIN_STREAM_LIFE_S


class TestStreamRecords:
    def test_records_are_bounded_and_the_oldest_go_first(self):
        records = StreamRecords(max_streams=3)
        for number in range(5):
            records.add_own(b"%d" % number, StreamRecord(SERVICE, "v1", 10.0, True))
        assert [records.software(b"%d" % number, 0.0) for number in range(5)] == [
            *[None] * 2,
            *["v1"] * 3,
        ]

    def test_expired_records_are_forgotten(self):
        clock, records = ManualClock(), StreamRecords()
        records.add_own(b"a", StreamRecord(SERVICE, "v1", 10.0, True))
        clock.advance(10.0)
        assert records.software(b"a", clock.now()) is None
        records.forget_old(clock.now())
        assert not len(records)

    @given(*[st.tuples(*[st.text(st.characters(min_codepoint=1), max_size=5)] * 3)] * 2)
    def test_keys_keep_customers_and_services_apart(self, first, second):
        assert (stream_key(*first) == stream_key(*second)) == (first == second)


class TestMessages:
    MESSAGE = StreamMessage(
        (BegunStream(b"k1", "v1", 2.5),), (StreamQuery(b"k2", SERVICE),), (b"k3",)
    )

    def test_message_survives_its_datagram(self):
        assert decode_message(encode_message(self.MESSAGE)).ok == self.MESSAGE

    @given(st.binary(max_size=60), st.integers(0, 40))
    def test_malformed_datagram_is_an_error_or_a_message(self, garbage, cut):
        for datagram in (garbage, encode_message(self.MESSAGE)[:cut] + garbage):
            decoded = decode_message(datagram)
            assert decoded.is_error() or isinstance(decoded.ok, StreamMessage)
