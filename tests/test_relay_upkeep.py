"""Tests of a relay's store calls, its rows in the store, its feeds and its idle connections."""

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
from laburnumreel.relay import _feed_follower
from laburnumreel.relay._assignments import Assignment
from laburnumreel.relay._back_ends import BackEndList
from laburnumreel.relay._cleaning import (
    CLEAN_INTERVAL_S,
    HOST_GONE_S,
    WINDOW_RETENTION_S,
    RowCleaner,
)
from laburnumreel.relay._feed_follower import (
    MAX_FOLLOW_S,
    NON_READER_WAIT_FACTOR,
    FeedFollower,
)
from laburnumreel.relay._members import MEMBER_TABLE, Member, Members
from laburnumreel.relay._membership import LIST_INTERVAL_S, Membership
from laburnumreel.relay._node import RETURN_GRACE_S
from laburnumreel.relay._placement_log import log_placement
from laburnumreel.relay._poll_schedule import OUTAGE_CONFIRM_S, READERS_PER_REGION
from laburnumreel.relay._ports import Listing
from laburnumreel.relay._usage_counters import SEAL_TABLE, UsageCounters, seal_key
from laburnumreel.relay._work import Work
from laburnumreel.state import Authority, Page, PlatformError, Row
from laburnumreel.transport import BackEndPool, CallRateLimiter, JsonCalls
from laburnumreel.transport._call_rate import BURST_S, MAX_WAIT_S, PLANNED_SHARE

AUTHORITY = Authority("relay_duties", 3, 9, 100.0)


class FakeStore:
    """An in-memory store with tables and checked transactions."""

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
    """Many hosts share the store's published rates, and one of them may call in a loop."""

    @pytest.mark.parametrize("hosts", [1, 12, 58, 300])
    def test_hosts_together_stay_below_the_published_rate_limit(self, hosts):
        time = FakeTime()
        pace = CallRateLimiter(6000.0, 1200.0, time, time.sleep)
        pace.set_hosts(hosts)
        began, made = time.at, 0
        while time.at < began + 10.0:
            if pace.acquire("write"):
                made += 1
            else:
                time.sleep(0.05)
        assert hosts * made <= 1200.0 * PLANNED_SHARE * (10.0 + BURST_S + 1.0)
        assert hosts * made >= 0.5 * 1200.0 * PLANNED_SHARE * 10.0

    def test_calls_at_start_are_not_delayed(self):
        time = FakeTime()
        pace = CallRateLimiter(2000.0, 400.0, time, time.sleep)
        pace.set_hosts(12)
        assert all(pace.acquire("read") for _ in range(20)) and time.at == 100.0

    def test_urgent_calls_never_wait_and_others_wait_for_them(self):
        time = FakeTime()
        pace = CallRateLimiter(100.0, 10.0, time, time.sleep)
        for _ in range(20):
            pace.record_unlimited("write")
        assert time.at == 100.0
        assert not pace.acquire("write")
        time.sleep(20 / (10.0 * PLANNED_SHARE))
        assert pace.acquire("write")

    def test_call_beyond_the_share_is_reported_as_not_sent(self):
        store = Store()
        try:
            host, _, port = store.address.rpartition(":")
            pace = CallRateLimiter(1.0, 1.0, lambda: 0.0, lambda seconds: None)
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
    """A deployment runs for months, with hosts that come under new names and never come back."""

    def cleaner(self, rows, heard, time):
        counters = UsageCounters(window_s=5.0)
        cleaner = RowCleaner(rows, Members(rows), counters, time, lambda: {"me", *heard})
        cleaner.step(AUTHORITY, 0.0)
        return cleaner

    def test_old_windows_are_removed_and_recent_ones_kept(self):
        rows, time = FakeStore(), FakeTime()
        time.at = 1_000_000.0
        newest = int(time.at // 5)
        for window in range(newest - 300, newest):
            rows.put(SEAL_TABLE, seal_key(window), {"counts": {"a": 1}})
        cleaner = self.cleaner(rows, (), time)
        for look in range(1, 9):
            cleaner.step(AUTHORITY, look * CLEAN_INTERVAL_S)
        kept = int(WINDOW_RETENTION_S // 5)
        assert rows.keys(SEAL_TABLE) == [seal_key(newest - back) for back in range(kept, 0, -1)]

    def test_row_of_a_gone_host_is_removed_and_of_a_live_one_kept(self):
        rows, time = FakeStore(), FakeTime()
        members = Members(rows)
        for name in ("me", "there", "gone"):
            members.join(Member(name, ("10.0.0.1", 7000), "boot"))
        cleaner = self.cleaner(rows, ["there"], time)
        looks = int(HOST_GONE_S // CLEAN_INTERVAL_S) + 1
        for look in range(1, looks + 1):
            cleaner.step(AUTHORITY, look * CLEAN_INTERVAL_S)
            assert ("gone" in rows.keys(MEMBER_TABLE)) == (look < looks)
        assert rows.keys(MEMBER_TABLE) == ["me", "there"]

    def test_restarted_host_keeps_its_row(self):
        rows, time = FakeStore(), FakeTime()
        members = Members(rows)
        members.join(Member("late", ("10.0.0.1", 7000), "boot-1"))
        cleaner = self.cleaner(rows, (), time)
        cleaner.step(AUTHORITY, 1 * CLEAN_INTERVAL_S)
        cleaner.step(AUTHORITY, 2 * CLEAN_INTERVAL_S)
        members.join(Member("late", ("10.0.0.2", 7000), "boot-2"))
        cleaner.step(AUTHORITY, 3 * CLEAN_INTERVAL_S)
        assert rows.keys(MEMBER_TABLE) == ["late"]

    def test_unavailable_store_costs_two_calls_per_scan(self):
        rows, time = FakeStore(), FakeTime()
        rows.down = True
        cleaner = self.cleaner(rows, (), time)
        for quarter in range(int(4 * 5 * CLEAN_INTERVAL_S)):
            cleaner.step(AUTHORITY, quarter / 4)
        assert 4 <= rows.calls <= 10

    def test_removed_host_row_is_written_again(self):
        rows, time = FakeStore(), FakeTime()
        me = Member("me", ("10.0.0.1", 7000), "boot")
        peers = SimpleNamespace(
            live_peers={"there": None}, table_readers=["there"], add_peers=lambda addresses: None
        )
        true_time = SimpleNamespace(proposed_store_zero=lambda: None)
        clock = SimpleNamespace(now=time)
        membership = Membership(
            me, Members(rows), peers, true_time, clock, lambda hosts, readers: None
        )
        membership.tick()
        assert rows.keys(MEMBER_TABLE) == ["me"]
        del rows.rows[MEMBER_TABLE, "me"]
        time.sleep(LIST_INTERVAL_S)
        membership.tick()
        membership.tick()
        assert rows.keys(MEMBER_TABLE) == ["me"]

    def test_hosts_that_start_together_count_each_other(self):
        """Two hosts that start together must not both count as the only host.

        Both had read the list before the other's row was in it, so for two seconds each used the
        shared budgets alone (soak with limits, seed 1: 0.1 to 0.2 above the retry budget).
        """
        rows, time, told = FakeStore(), FakeTime(), {"first": [], "second": []}

        def membership(name, members):
            return Membership(
                Member(name, ("10.0.0.1", 7000), "boot"),
                members,
                SimpleNamespace(live_peers={}, table_readers=[], add_peers=lambda addresses: None),
                SimpleNamespace(proposed_store_zero=lambda: None),
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
        # The first host saw only itself; the updates of the second inform it.
        assert told == {"first": [(1, True)], "second": [(2, True)]}

    def test_partitioned_host_still_counts_unreachable_hosts(self):
        """A host that got no updates used the budgets of all hosts alone."""
        rows, time, told = FakeStore(), FakeTime(), []
        for number in range(24):
            Members(rows).join(Member(f"host-{number}", ("10.0.0.1", 7000 + number), "boot"))
        heard = {f"host-{number}": None for number in range(1, 24)}
        peers = SimpleNamespace(
            live_peers=heard, table_readers=[], add_peers=lambda addresses: None
        )
        membership = Membership(
            Member("host-0", ("10.0.0.1", 7000), "boot"),
            Members(rows),
            peers,
            SimpleNamespace(proposed_store_zero=lambda: None),
            SimpleNamespace(now=time),
            lambda hosts, readers: told.append(hosts),
        )
        assert not membership.has_tried_listing
        membership.tick()
        assert membership.has_tried_listing
        heard.clear()
        rows.down = True
        for _ in range(20):
            time.sleep(LIST_INTERVAL_S / 10)
            membership.tick()
        assert set(told) == {24} and membership.has_listed


class FakeFeed:
    """A feed that always has changes; records how long each call would wait for one."""

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


def make_follower(table, on_link_change=None, effect_s=None):
    return FeedFollower(
        "t",
        table,
        SystemClock(),
        random.Random(1),
        lambda *taken: None,
        on_link_change,
        effect_s=effect_s,
    )


class TestFeeds:
    """Workers renew their entries all the time, so each of many hosts polled twice a second."""

    def test_only_long_polls_grow_with_the_number_of_hosts(self):
        table = FakeFeed(entries=False)
        feed = make_follower(table)
        table_of_servers = FakeFeed(entries=False)
        list_feed = make_follower(table_of_servers, on_link_change=lambda link: None, effect_s=2.5)
        for each in (feed, list_feed):
            each.set_rank(20, 58)
            for _ in range(20):
                each.tick()
        assert max(table.waits) > 2 * MAX_FOLLOW_S
        assert max(table.waits) <= NON_READER_WAIT_FACTOR * MAX_FOLLOW_S < 30
        assert max(table_of_servers.waits, default=0.0) <= MAX_FOLLOW_S

    def test_consecutive_changes_delay_the_next_long_poll_briefly(self):
        """A host that polls rarely waited three seconds after each change of the configuration."""
        table = FakeFeed()
        feed = make_follower(table)
        feed.set_rank(20, 58)
        ends_at = time.monotonic() + 1.6
        while time.monotonic() < ends_at:
            feed.tick()
        assert len(table.waits) >= 2

    def test_readers_detect_a_broken_connection_soon(self):
        table = FakeFeed(entries=False)
        feed = make_follower(table)
        feed.set_rank(READERS_PER_REGION - 1, 300)
        for _ in range(20):
            feed.tick()
        assert max(table.waits) <= MAX_FOLLOW_S

    def test_first_read_counts_as_a_change_up_to_its_end(self):
        """Guards against a host that starts and does not know of an entry that was just removed.

        Peers that had not read the removal either took its read for a proof that their list was
        complete.
        """

        class Table(FakeFeed):
            def read(self):
                return Ok(Listing({"b1": listed("b1")}, 9, 0.0, True, {"b1": 5}))

        feed = make_follower(Table(entries=False), effect_s=2.5)
        feed.tick()
        assert feed.schedule.changed_version == 9

    def test_repeated_outage_reports_do_not_keep_a_removed_entry(
        self,
    ):
        """A host sent to a server 4.2 s after its entry was gone, as each report gave it time."""
        clock, back_ends = ManualClock(), BackEndList(RETURN_GRACE_S)
        answers = [{"b1": listed("b1")}, {"b1": None}]

        class Answers(FakeFeed):
            def follow(self, version, wait_s):
                entries = answers.pop(0) if answers else {}
                return Ok(Listing(entries, version + 1, 0.0, False))

        def take(listing, sent_at, answered_at):
            for name, entry in listing.entries.items():
                if entry is None:
                    back_ends.drop(name, clock.now())
                else:
                    back_ends.put(entry, clock.now())

        feed = FeedFollower(
            "t",
            Answers(entries=False),
            clock,
            random.Random(1),
            take,
            lambda link: getattr(back_ends, f"on_directory_{link}")(clock.now()),
            effect_s=2.5,
        )
        feed.tick()
        while answers:
            clock.advance(2 * OUTAGE_CONFIRM_S)
            feed.on_peer_progress(0, 0, unavailable=True, read_store_time_s=0.0)
            feed.tick()
        missing_since = clock.now()
        while clock.now() < missing_since + RETURN_GRACE_S:
            assert len(back_ends.usable("orders", clock.now())) == 1
            clock.advance(1.1 * OUTAGE_CONFIRM_S)
            feed.on_peer_progress(0, 0, unavailable=True, read_store_time_s=0.0)
            feed.tick()
        assert not back_ends.usable("orders", clock.now())

    def test_stop_and_reread_request_end_the_wait(self, monkeypatch):
        """No poll is ever due, so that only an interrupted wait ends."""
        monkeypatch.setattr(_feed_follower, "MAX_SLEEP_S", 30.0)
        table = FakeFeed()
        feed = make_follower(table)
        monkeypatch.setattr(feed.schedule, "next_poll_at", lambda long_poll: float("inf"))
        feed.set_rank(0, 300)
        with ThreadPoolExecutor(1) as executor:
            feed.start(executor)
            wait_until(lambda: len(table.waits) == 1, "the first call")
            feed.request_reread()
            wait_until(lambda: len(table.waits) == 2, "the call after the request")
            wait_until(lambda: not feed._wake.is_set(), "the next wait")
            feed.stop()


def test_idle_connections_are_limited_per_host():
    """Three hundred hosts share a backend server that accepts some hundred connections in total."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=32)
    pool = BackEndPool(max_idle=6)
    pool.set_max_idle(2)
    try:
        exchanges = [pool.open(listener.getsockname()) for _ in range(5)]
        for exchange in exchanges:
            pool._release(exchange)
        assert sum(len(idle) for idle in pool._idle.values()) == 2
    finally:
        pool.close()
        listener.close()


def test_expired_idle_connections_are_closed():
    """Workers restart at new addresses all day; connections to the old ones are no longer used."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        pool = BackEndPool(max_idle_s=0.05)
        exchange = pool.open(listener.getsockname())
        pool._release(exchange)
        time.sleep(0.1)
        pool.prune()
        assert not pool._idle and exchange.connection.sock is None


def test_placement_before_the_end_of_the_first_read_is_logged():
    """A request may be placed while the first listing is applied, when the list has no age yet.

    The log line raised an error, with which the request would have ended.
    """
    feed = make_follower(FakeFeed(entries=False), effect_s=2.5)
    job = SimpleNamespace(
        request=SimpleNamespace(request_id="r1", prompt=None),
        service=SimpleNamespace(name="orders", engine=None),
        route=SimpleNamespace(name="safe"),
        deps=SimpleNamespace(list_age_s=lambda: feed.view_age_s),
        config_version=1,
        elapsed_s=0.0,
        sends=0,
    )
    log_placement(job, Assignment(listed("b1"), Work()))
