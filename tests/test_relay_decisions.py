"""Unit tests of the relay's decisions, without sockets."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from relay_samples import listed, route

from laburnumreel.core import ManualClock
from laburnumreel.relay._back_ends import BackEndList
from laburnumreel.relay._config import (
    RelayConfig,
    RelayCustomer,
    RouteTable,
    Share,
    pick_share,
)
from laburnumreel.relay._event_stream import EventSplitter
from laburnumreel.relay._health import HealthTracker
from laburnumreel.relay._peer_update import EndedBeat, PeerUpdate, decode_update, encode_update
from laburnumreel.relay._server_limits import LimitReport
from laburnumreel.relay._true_time import TrueTime
from laburnumreel.relay._usage_counters import EndedCounts, Process, UsageCounters
from laburnumreel.relay._waiting import (
    MAX_RETRY_S,
    MIN_RETRY_S,
    ON_TIME_SHARE,
    PRIORITY_STEP_S,
    SlotReleaseRate,
    WaitingRequest,
    order_waiting,
    retry_after_s,
)
from laburnumreel.relay._work import (
    MAX_PEER_WORK_S,
    MIN_PEER_WORK_S,
    PEER_WORK_INTERVALS,
    Work,
    WorkLedger,
)


class TestRoutes:
    def test_longest_prefix_of_the_host_wins(self):
        config = RelayConfig(1, (route("/a/"), route("/a/b/"), route("/a/", host="other.example")))
        table = RouteTable(config)
        assert table.route("shop.example", "/a/b/c").prefix == "/a/b/"
        assert table.route("SHOP.example:80", "/a/x").name == "/a/"
        assert table.route("shop.example", "/a") is None
        assert table.route("nobody.example", "/a/b/") is None

    def test_keys_identify_their_customer_only(self):
        table = RouteTable(RelayConfig(1, customers=(RelayCustomer("hall-a", ("k1", "k2")),)))
        assert table.customer("k2").name == "hall-a"
        assert table.customer("k3") is None
        assert table.customer("\ud800") is None
        assert table.needs_keys and not RouteTable(RelayConfig(2)).needs_keys

    def test_shares_follow_their_weights(self):
        shares = [Share("old", 75), Share("new", 25), Share("none", 0)]
        draws = [pick_share(shares, index / 1000) for index in range(1000)]
        assert (draws.count("old"), draws.count("new"), draws.count("none")) == (750, 250, 0)


class TestBackEndList:
    def test_entry_that_lapsed_with_the_store_is_kept_for_the_grace_period(self):
        back_ends = BackEndList(return_grace_s=2.0)
        back_ends.replace([listed("b1"), listed("b2")], now=0.0)
        back_ends.on_directory_lost(now=1.0)
        back_ends.on_directory_back(now=6.0)
        back_ends.replace([], now=6.0)
        assert len(back_ends.usable("orders", 6.1)) == 2
        back_ends.put(listed("b1"), now=0.0)
        assert [each.name for each in back_ends.usable("orders", 8.1)] == ["b1"]

    def test_entry_removed_while_the_store_answers_is_removed_at_once(self):
        back_ends = BackEndList(return_grace_s=2.0)
        back_ends.replace([listed("b1")], now=0.0)
        back_ends.drop("b1", now=5.0)
        assert not back_ends.usable("orders", 5.0)

    def test_draining_back_end_gets_no_work_even_if_it_lapses(self):
        back_ends = BackEndList(return_grace_s=2.0)
        back_ends.replace([listed("b1", draining=True)], now=0.0)
        back_ends.on_directory_lost(now=1.0)
        back_ends.on_directory_back(now=2.0)
        back_ends.drop("b1", now=2.0)
        assert not back_ends.usable("orders", 2.1) and back_ends.get("b1") is None

    def test_older_version_of_an_entry_does_not_replace_a_newer_one(self):
        back_ends = BackEndList(return_grace_s=2.0)
        back_ends.put(listed("b1", draining=True, started_at_ms=50, beat=7), now=0.0)
        back_ends.put(listed("b1", started_at_ms=50, beat=6), now=0.0)
        assert not back_ends.usable("orders", 0.0)
        back_ends.put(listed("b1", started_at_ms=90, beat=1), now=0.0)
        assert len(back_ends.usable("orders", 0.0)) == 1


class TestWork:
    def test_old_work_of_a_peer_expires(self):
        ledger = WorkLedger()
        ledger.set_peer_work("p", {"b1": Work(requests=5)}, now=0.0)
        assert ledger.total("b1", MIN_PEER_WORK_S).requests == 5
        assert ledger.total("b1", MIN_PEER_WORK_S + 0.1).requests == 0

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["p", "q", "r"]),
                st.dictionaries(st.sampled_from("ab"), st.integers(1, 9)),
                st.floats(0, 2, allow_nan=False),
            ),
            max_size=20,
        )
    )
    def test_peer_totals_match_their_last_updates(self, heard):
        """The incrementally updated totals must not drift from the last update of each peer."""
        ledger, now, last = WorkLedger(), 0.0, {}
        for sender, work, pause in heard:
            now += pause
            ledger.set_peer_work(sender, {name: Work(1, n, 1, n) for name, n in work.items()}, now)
            interval_s = now - last[sender][0] if sender in last else 0.0
            lifetime_s = min(
                MAX_PEER_WORK_S, max(MIN_PEER_WORK_S, PEER_WORK_INTERVALS * interval_s)
            )
            last[sender] = (now, now + lifetime_s, work)
            for name in "ab":
                tokens = sum(
                    said.get(name, 0) for _, ends_at, said in last.values() if now <= ends_at
                )
                assert ledger.total(name, now).reading_tokens == tokens

    def test_infrequent_update_counts_until_the_next_one(self):
        """With 195 hosts, updates of other regions came every 3.25 s but expired after 2.5 s."""
        ledger = WorkLedger()
        for step in range(5):
            ledger.set_peer_work("p", {"b1": Work(requests=5)}, now=3.25 * step)
            if step:
                assert ledger.total("b1", 3.25 * step + 3.2).requests == 5
        assert ledger.total("b1", 13.0 + MAX_PEER_WORK_S + 0.1).requests == 0

    @given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(1, 9)), max_size=20))
    def test_work_that_ended_leaves_nothing(self, sent):
        ledger = WorkLedger()
        for name, tokens in sent:
            ledger.add(name, Work(1, tokens, 1, tokens))
        for name, tokens in reversed(sent):
            ledger.remove(name, Work(1, tokens, 1, tokens))
        assert ledger.own == {}


class TestHealthTracker:
    def test_backoff_grows_while_connections_fail_and_ends_with_a_success(self):
        health = HealthTracker()
        health.record_unreachable("b1", 0.0)
        first = health.backoffs(0.0)["b1"]
        health.record_unreachable("b1", 10.0)
        assert health.backoffs(10.0)["b1"] > first
        health.record_result("b1", False, 10.1)
        assert not health.is_in_backoff("b1", 10.1)

    def test_failure_share_rises_within_some_requests_and_decays(self):
        health = HealthTracker()
        for step in range(20):
            health.record_result("grey", step % 2 == 0, step * 0.1)
            health.record_result("sound", False, step * 0.1)
        assert health.failure_share("grey", 2.0) > 0.3 > health.failure_share("sound", 2.0)
        assert health.failure_share("grey", 40.0) < 0.02

    def test_slow_back_end_is_distinguished_and_recovers(self):
        health = HealthTracker()
        for step in range(20):
            health.record_result("slow", False, step * 0.1)
            health.record_plain_time("slow", 400.0, step * 0.1)
            health.record_result("sound", False, step * 0.1)
            health.record_plain_time("sound", 60.0, step * 0.1)
        assert health.plain_ms("slow", 2.0) > 3 * health.plain_ms("sound", 2.0)
        assert health.plain_ms("slow", 60.0) < 2.5 * health.plain_ms("sound", 60.0)

    def test_backoff_reported_by_a_peer_expires(self):
        health = HealthTracker()
        health.on_peer_backoff("b1", until=3.0)
        assert health.is_in_backoff("b1", 2.9) and not health.is_in_backoff("b1", 3.1)


class TestWaiting:
    @given(
        st.lists(
            st.tuples(st.integers(0, 3), st.floats(0, 5), st.floats(0.1, 2)),
            min_size=2,
            max_size=12,
        ),
        st.floats(0, 8),
    )
    def test_requests_on_time_go_first_and_none_is_dropped(self, drawn, now):
        waiting = [
            WaitingRequest(str(index), priority, arrived, arrived + aim, arrived + 6)
            for index, (priority, arrived, aim) in enumerate(drawn)
        ]
        ordered = order_waiting(waiting, now)
        assert sorted(ordered) == sorted(waiting)
        late = [item.due - ON_TIME_SHARE * item.objective_s <= now for item in ordered]
        assert late == sorted(late)

    def test_urgent_requests_delay_a_waiting_one_by_a_bounded_time(self):
        """An urgent request every 10 ms must not starve a less urgent one."""
        plain = WaitingRequest("plain", 3, 0.0, 1.0, 6.0)
        passed = 0
        for step in range(200):
            now = step * 0.01
            urgent = WaitingRequest(f"u{step}", 0, now, now + 1.0, now + 6.0)
            if order_waiting([plain, urgent], now)[0] is plain:
                break
            passed += 1
        assert passed * 0.01 <= 3 * PRIORITY_STEP_S + 0.02

    def test_retries_are_spread_over_the_time_in_which_slots_become_free(self):
        rng = random.Random(3)
        waits = [retry_after_s(ahead, 20.0, rng) for ahead in range(40)]
        assert all(MIN_RETRY_S <= wait <= MAX_RETRY_S for wait in waits)
        assert waits[30] >= 31 / 20.0
        assert len({round(wait, 3) for wait in waits}) > 30

    def test_slot_release_rate_follows_the_load(self):
        rate = SlotReleaseRate()
        for step in range(300):
            rate.record_release(step / 50)
        assert rate.per_s(6.0) == pytest.approx(50, rel=0.35)
        assert rate.per_s(20.0) == 0.0


class TestUsage:
    def test_counts_of_a_process_are_taken_once_however_often_they_are_told(self):
        counters = UsageCounters(5.0)
        for count in (1, 3, 2, 3):
            counters.record_peer_counts("h2", "boot", 7, {"hall-a": count})
        counters.record_peer_counts("h2", "other-boot", 7, {"hall-a": 4})
        counters.record_request("hall-a", 36.0)
        assert counters.total_counts(7) == {"hall-a": 8}

    def test_windows_follow_the_time_of_day(self):
        counters = UsageCounters(5.0)
        assert (counters.window(34.999), counters.window(35.0), counters.ends_at(6)) == (6, 7, 35.0)

    def test_forgotten_windows_are_gone(self):
        counters = UsageCounters(5.0)
        counters.record_request("a", 1.0)
        counters.record_peer_counts("h", "b", 0, {"a": 1})
        counters.forget_before(1)
        assert counters.total_counts(0) == {}


class TestTrueTime:
    def test_host_whose_clock_is_wrong_takes_the_agreed_time(self):
        right, wrong = ManualClock(10.0, wall=5000.0), ManualClock(900.0, wall=5030.0)
        first, second = TrueTime(right), TrueTime(wrong)
        first.record_store_time(10.0, 10.0, 77.0)
        second.record_store_time(900.0, 900.0, 77.0)
        agreed = first.proposed_store_zero()
        for each in (first, second):
            each.set_store_zero(agreed)
        assert first.now() == second.now() == 5000.0

    def test_jump_of_the_machines_clock_changes_nothing(self):
        clock = ManualClock(10.0, wall=5000.0)
        time = TrueTime(clock)
        clock._wall += 300
        assert time.now() == 5000.0

    def test_reading_with_the_shortest_round_trip_counts(self):
        time = TrueTime(ManualClock(0.0, wall=1000.0))
        time.record_store_time(0.0, 0.1, 50.05)
        time.record_store_time(5.0, 7.0, 57.0)
        assert time.proposed_store_zero() == pytest.approx(950.0)


class TestNews:
    def test_datagram_brings_the_news_whole(self):
        news = PeerUpdate(
            "h1",
            "boot",
            "zone-a",
            5,
            7,
            True,
            {"b1": Work(1, 2, 3, 4)},
            {"b2": 1.5},
            {"d1": 20.0},
            {"d2": 3.25},
            {"b3": 1_700_000_000_000},
            {9: {"hall-a": 2}},
            {"e1": ("a", "b")},
            4,
            90,
            9,
            (EndedCounts(Process("h2", "old"), 8, {"hall-b": 3}),),
            store_era=2,
            fixed=(7, 8),
            limits={"b4": LimitReport(5, 1.5, 0.25), "b5": LimitReport(0, None, 2.0)},
            asked={"quotes": 0.75},
            limited_sends={"b4": 12},
            ended_starts={"b6": EndedBeat(1_700_000_000_000, 8)},
        )
        assert decode_update(encode_update(news)).ok == news

    @given(st.binary(max_size=200))
    def test_any_other_datagram_is_an_error_and_no_exception(self, datagram):
        decoded = decode_update(datagram)
        assert decoded.is_error() or isinstance(decoded.ok, PeerUpdate)


class TestEvents:
    EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

    @given(st.lists(st.integers(1, 20), max_size=12))
    def test_events_are_whole_wherever_the_bytes_are_cut(self, sizes):
        splitter, events, rest = EventSplitter(), [], self.EVENTS
        for size in sizes:
            events += splitter.feed(rest[:size])
            rest = rest[size:]
        events += splitter.feed(rest)
        assert b"".join(event.raw for event in events) == self.EVENTS
        assert [event.id for event in events] == ["1", "2", "3"]
        assert splitter.incomplete_event == b""

    def test_event_that_never_ends_is_an_error(self):
        with pytest.raises(ValueError, match="larger"):
            EventSplitter().feed(b"x" * (2 << 20))
