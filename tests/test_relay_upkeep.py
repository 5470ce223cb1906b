"""Tests of what a relay keeps in order: its calls to the store, its rows, its connections."""

import random
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest
from expression import Error, Ok
from platform_world import Store, wait_until
from relay_samples import listed

from laburnumreel.core import ManualClock, SystemClock
from laburnumreel.relay._back_ends import BackEndList
from laburnumreel.relay._cleaning import CLEAN_EVERY_S, HOST_GONE_S, KEEP_WINDOWS_S, RowCleaner
from laburnumreel.relay._feeds import (
    MAX_FOLLOW_S,
    TIMES_LONGER,
    FeedFollower,
)
from laburnumreel.relay._looks import DOUBT_S, READERS
from laburnumreel.relay._members import MEMBER_TABLE, Member, Members
from laburnumreel.relay._membership import LIST_EVERY_S, Membership
from laburnumreel.relay._node import RETURN_GRACE_S
from laburnumreel.relay._ports import Listing
from laburnumreel.relay._usage import SEAL_TABLE, UsageBook, seal_key
from laburnumreel.state import Authority, Page, PlatformError, Row
from laburnumreel.transport import BackEndPool, CallPace, JsonCalls
from laburnumreel.transport._call_pace import BURST_S, MAX_WAIT_S, PLANNED_SHARE

AUTHORITY = Authority("relay_duties", 3, 9, 100.0)


class Rows:
    """The rows of a store, with the checks of its transactions."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.calls = 0
        self.down = False

    def put(self, table, key, value):
        self.version += 1
        self.rows[table, key] = Row(key, value, self.version)

    def read(self, table, key):
        self.calls += 1
        return Error(PlatformError("unreachable")) if self.down else Ok(self.rows.get((table, key)))

    def scan(self, table, prefix="", after="", limit=500):
        self.calls += 1
        if self.down:
            return Error(PlatformError("unreachable"))
        found = [row for (name, _), row in sorted(self.rows.items()) if name == table]
        return Ok(Page(found[:limit], len(found) > limit))

    def transact(self, checks, writes):
        self.calls += 1
        assert len(checks) + len(writes) <= 100
        for check in checks:
            row = self.rows.get((check.table, check.key))
            if (row.version if row else 0) != check.version:
                return Error(PlatformError("conflict"))
        for write in writes:
            if write.value is None:
                self.rows.pop((write.table, write.key), None)
            else:
                self.put(write.table, write.key, write.value)
        return Ok(self.version)

    def keys(self, table):
        return [key for name, key in sorted(self.rows) if name == table]


class FakeTime:
    def __init__(self):
        self.at = 100.0

    def __call__(self):
        return self.at

    def sleep(self, seconds):
        self.at += seconds


class TestCallPace:
    """Many hosts that share the store's published rates, and one that falls into a loop of calls."""

    @pytest.mark.parametrize("hosts", [1, 12, 58, 300])
    def test_hosts_together_stay_below_the_published_rate(self, hosts):
        time = FakeTime()
        pace = CallPace(6000.0, 1200.0, time, time.sleep)
        pace.set_hosts(hosts)
        began, made = time.at, 0
        while time.at < began + 10.0:
            if pace.take("write"):
                made += 1
            else:
                time.sleep(0.05)
        assert hosts * made <= 1200.0 * PLANNED_SHARE * (10.0 + BURST_S + 1.0)
        assert hosts * made >= 0.5 * 1200.0 * PLANNED_SHARE * 10.0

    def test_calls_of_a_start_go_out_together(self):
        time = FakeTime()
        pace = CallPace(2000.0, 400.0, time, time.sleep)
        pace.set_hosts(12)
        assert all(pace.take("read") for _ in range(20)) and time.at == 100.0

    def test_urgent_calls_never_wait_and_others_wait_for_them(self):
        time = FakeTime()
        pace = CallPace(100.0, 10.0, time, time.sleep)
        for _ in range(20):
            pace.took("write")
        assert time.at == 100.0
        assert not pace.take("write")
        time.sleep(20 / (10.0 * PLANNED_SHARE))
        assert pace.take("write")

    def test_call_beyond_the_share_is_known_to_have_had_no_effect(self):
        store = Store()
        try:
            host, _, port = store.address.rpartition(":")
            pace = CallPace(1.0, 1.0, lambda: 0.0, lambda seconds: None)
            pace.set_hosts(1000)
            calls = JsonCalls((host, int(port)), 1.0, pace)
            answers = [calls.change("/v1/rows-tx", {}) for _ in range(2)]
            reads = [calls.read("/v1/rows-get?Table=op&part=") for _ in range(2)]
            assert [each.is_ok() for each in reads] == [True, False]
            assert answers[1].error.kind == reads[1].error.kind == "not_sent"
            assert MAX_WAIT_S < 1000
        finally:
            store.end()


class TestRows:
    """A deployment that runs for months, with hosts that come at new names and go for good."""

    def cleaner(self, rows, heard, time):
        book = UsageBook(window_s=5.0)
        cleaner = RowCleaner(rows, Members(rows), book, time, lambda: {"me", *heard})
        cleaner.step(AUTHORITY, 0.0)
        return cleaner

    def test_old_windows_go_and_young_ones_stay(self):
        rows, time = Rows(), FakeTime()
        time.at = 1_000_000.0
        newest = int(time.at // 5)
        for window in range(newest - 300, newest):
            rows.put(SEAL_TABLE, seal_key(window), {"counts": {"a": 1}})
        cleaner = self.cleaner(rows, (), time)
        for look in range(1, 9):
            cleaner.step(AUTHORITY, look * CLEAN_EVERY_S)
        kept = int(KEEP_WINDOWS_S // 5)
        assert rows.keys(SEAL_TABLE) == [seal_key(newest - back) for back in range(kept, 0, -1)]

    def test_host_that_is_gone_loses_its_row_and_one_that_is_heard_keeps_it(self):
        rows, time = Rows(), FakeTime()
        members = Members(rows)
        for name in ("me", "there", "gone"):
            members.join(Member(name, ("10.0.0.1", 7000), "boot"))
        cleaner = self.cleaner(rows, ["there"], time)
        looks = int(HOST_GONE_S // CLEAN_EVERY_S) + 1
        for look in range(1, looks + 1):
            cleaner.step(AUTHORITY, look * CLEAN_EVERY_S)
            assert ("gone" in rows.keys(MEMBER_TABLE)) == (look < looks)
        assert rows.keys(MEMBER_TABLE) == ["me", "there"]

    def test_host_that_came_again_under_its_name_keeps_its_row(self):
        rows, time = Rows(), FakeTime()
        members = Members(rows)
        members.join(Member("late", ("10.0.0.1", 7000), "boot-1"))
        cleaner = self.cleaner(rows, (), time)
        cleaner.step(AUTHORITY, 1 * CLEAN_EVERY_S)
        cleaner.step(AUTHORITY, 2 * CLEAN_EVERY_S)
        members.join(Member("late", ("10.0.0.2", 7000), "boot-2"))
        cleaner.step(AUTHORITY, 3 * CLEAN_EVERY_S)
        assert rows.keys(MEMBER_TABLE) == ["late"]

    def test_store_that_is_away_costs_two_calls_a_look(self):
        rows, time = Rows(), FakeTime()
        rows.down = True
        cleaner = self.cleaner(rows, (), time)
        for quarter in range(int(4 * 5 * CLEAN_EVERY_S)):
            cleaner.step(AUTHORITY, quarter / 4)
        assert 4 <= rows.calls <= 10

    def test_host_whose_row_was_removed_writes_it_again(self):
        rows, time = Rows(), FakeTime()
        me = Member("me", ("10.0.0.1", 7000), "boot")
        peers = SimpleNamespace(
            heard={"there": None}, readers=["there"], meet=lambda addresses: None
        )
        true_time = SimpleNamespace(proposal=lambda: None)
        clock = SimpleNamespace(now=time)
        membership = Membership(
            me, Members(rows), peers, true_time, clock, lambda hosts, readers: None
        )
        membership.tick()
        assert rows.keys(MEMBER_TABLE) == ["me"]
        del rows.rows[MEMBER_TABLE, "me"]
        time.sleep(LIST_EVERY_S)
        membership.tick()
        membership.tick()
        assert rows.keys(MEMBER_TABLE) == ["me"]

    def test_hosts_that_begin_together_do_not_each_take_themselves_for_the_only_one(self):
        """Both had looked at the list before the other's row was in it, and for two seconds each took
        what all hosts share for itself (soak with limits, seed 1: 0.1 to 0.2 beyond the retry budget).
        """
        rows, time, told = Rows(), FakeTime(), {"first": [], "second": []}

        def membership(name, members):
            return Membership(
                Member(name, ("10.0.0.1", 7000), "boot"),
                members,
                SimpleNamespace(heard={}, readers=[], meet=lambda addresses: None),
                SimpleNamespace(proposal=lambda: None),
                SimpleNamespace(now=time),
                lambda hosts, readers: told[name].append((hosts, begun[name].has_listed)),
            )

        class ListsWhileTheOtherBegins(Members):
            def list(self):
                listed = super().list()
                if not told["first"]:
                    begun["first"].tick()
                return listed

        begun = {"first": membership("first", Members(rows))}
        begun["second"] = membership("second", ListsWhileTheOtherBegins(rows))
        begun["second"].tick()
        # The news of the second tells the first, which had to find itself alone.
        assert told == {"first": [(1, True)], "second": [(2, True)]}

    def test_host_that_is_cut_off_counts_those_that_it_does_not_hear(self):
        """A host that heard nobody took what all hosts share for itself alone."""
        rows, time, told = Rows(), FakeTime(), []
        for number in range(24):
            Members(rows).join(Member(f"host-{number}", ("10.0.0.1", 7000 + number), "boot"))
        heard = {f"host-{number}": None for number in range(1, 24)}
        peers = SimpleNamespace(heard=heard, readers=[], meet=lambda addresses: None)
        membership = Membership(
            Member("host-0", ("10.0.0.1", 7000), "boot"),
            Members(rows),
            peers,
            SimpleNamespace(proposal=lambda: None),
            SimpleNamespace(now=time),
            lambda hosts, readers: told.append(hosts),
        )
        assert not membership.has_begun
        membership.tick()
        assert membership.has_begun
        heard.clear()
        rows.down = True
        for _ in range(20):
            time.sleep(LIST_EVERY_S / 10)
            membership.tick()
        assert set(told) == {24} and membership.has_listed


class Table:
    """A table that always has changes; the calls that were made, and how long each would wait."""

    def __init__(self, entries=True):
        self.waits = []
        self.entries = {"a": 1} if entries else {}
        self.interrupted = 0

    def read(self):
        return Ok(Listing(self.entries, 5, 0.0, True))

    def follow(self, version, wait_s):
        self.waits.append(wait_s)
        return Ok(Listing(self.entries, version + 1, 0.0, False))

    def interrupt(self):
        self.interrupted += 1


def follower(table, on_link=None, waits=True):
    return FeedFollower(
        "t", table, SystemClock(), random.Random(1), lambda *taken: None, on_link, waits=waits
    )


class TestFeeds:
    """Many hosts whose workers renew their entries all the time, which made each host call twice a
    second."""

    def test_configuration_is_waited_for_longer_with_more_hosts_and_the_list_is_not(self):
        table = Table(entries=False)
        feed = follower(table)
        table_of_servers = Table(entries=False)
        list_feed = follower(table_of_servers, on_link=lambda link: None, waits=False)
        for each in (feed, list_feed):
            each.share(20, 58)
            for _ in range(20):
                each.tick()
        assert max(table.waits) > 2 * MAX_FOLLOW_S
        assert max(table.waits) <= TIMES_LONGER * MAX_FOLLOW_S < 30
        assert max(table_of_servers.waits, default=0.0) <= MAX_FOLLOW_S

    def test_changes_in_a_row_of_a_table_that_is_waited_for_delay_the_next_call_by_a_moment(self):
        """A host that looks seldom waited three seconds after each change of the configuration."""
        table = Table()
        feed = follower(table)
        feed.share(20, 58)
        ends_at = time.monotonic() + 1.6
        while time.monotonic() < ends_at:
            feed.tick()
        assert len(table.waits) >= 2

    def test_some_hosts_of_a_region_find_a_silent_connection_soon(self):
        table = Table(entries=False)
        feed = follower(table)
        feed.share(READERS - 1, 300)
        for _ in range(20):
            feed.tick()
        assert max(table.waits) <= MAX_FOLLOW_S

    def test_peers_that_say_again_and_again_that_the_table_is_away_keep_no_entry_that_is_missing(
        self,
    ):
        """A host sent to a server 4.2 s after its entry had gone, as each such word gave it more time."""
        clock, back_ends = ManualClock(), BackEndList(RETURN_GRACE_S)
        answers = [{"b1": listed("b1")}, {"b1": None}]

        class Answers(Table):
            def follow(self, version, wait_s):
                entries = answers.pop(0) if answers else {}
                return Ok(Listing(entries, version + 1, 0.0, False))

        def take(listing, sent_at, answered_at):
            for name, entry in listing.entries.items():
                if entry is None:
                    back_ends.drop(name, clock.now())
                else:
                    back_ends.put(entry)

        feed = FeedFollower(
            "t",
            Answers(entries=False),
            clock,
            random.Random(1),
            take,
            lambda link: getattr(back_ends, f"directory_{link}")(clock.now()),
            waits=False,
        )
        feed.tick()
        while answers:
            clock.advance(2 * DOUBT_S)
            feed.heard(0, 0, away=True)
            feed.tick()
        missing_since = clock.now()
        while clock.now() < missing_since + RETURN_GRACE_S:
            assert len(back_ends.usable("orders", clock.now())) == 1
            clock.advance(1.1 * DOUBT_S)
            feed.heard(0, 0, away=True)
            feed.tick()
        assert not back_ends.usable("orders", clock.now())

    def test_stop_and_nudge_end_the_wait_between_calls(self):
        table = Table()
        feed = follower(table)
        feed.share(0, 300)
        with ThreadPoolExecutor(1) as executor:
            feed.start(executor)
            wait_until(lambda: len(table.waits) == 1, "the first call")
            started = time.monotonic()
            feed.nudge()
            wait_until(lambda: len(table.waits) == 2, "the call after the nudge")
            feed.stop()
            assert time.monotonic() - started < 1.0


def test_idle_connections_follow_the_hosts_that_share_a_back_end():
    """Three hundred hosts at a backend server that takes some hundred connections from all."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=32)
    pool = BackEndPool(max_idle=6)
    pool.set_max_idle(2)
    try:
        exchanges = [pool.open(listener.getsockname()) for _ in range(5)]
        for exchange in exchanges:
            pool._give_back(exchange)
        assert sum(len(idle) for idle in pool._idle.values()) == 2
    finally:
        pool.close()
        listener.close()


def test_idle_connections_to_back_ends_that_are_gone_are_closed():
    """Workers come back at new addresses all day; nothing is sent to the old ones any more."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        pool = BackEndPool(max_idle_s=0.05)
        exchange = pool.open(listener.getsockname())
        pool._give_back(exchange)
        time.sleep(0.1)
        pool.prune()
        assert not pool._idle and exchange.connection.sock is None
