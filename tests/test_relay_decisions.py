"""Tests of the relay's decisions, without sockets."""

import random
from types import SimpleNamespace

import pytest
from expression import Ok
from hypothesis import given
from hypothesis import strategies as st

from laburnumreel.coordination import Answer
from laburnumreel.core import ManualClock
from laburnumreel.relay._back_ends import BackEndList, ListedBackEnd, Role
from laburnumreel.relay._capacity import CapacityPlanner, Group, wanted_counts
from laburnumreel.relay._conduct import Conduct
from laburnumreel.relay._config import (
    EngineTraits,
    RelayConfig,
    RelayCustomer,
    RelayService,
    Route,
    RouteKind,
    RouteTable,
    Scaling,
    Share,
    pick_share,
)
from laburnumreel.relay._event_stream import EventSplitter
from laburnumreel.relay._news import News, decode_news, encode_news
from laburnumreel.relay._placement import (
    Candidate,
    EnginePlacement,
    Place,
    PlacementCosts,
    choose_plain,
    home_of,
)
from laburnumreel.relay._ports import DutyCall
from laburnumreel.relay._prompts import REMEMBER_S, PromptMemory
from laburnumreel.relay._requests import Part, Prompt
from laburnumreel.relay._roles import LEAST_GENERATING, RolePlanner, wanted_change
from laburnumreel.relay._true_time import TrueTime
from laburnumreel.relay._usage import UsageBook
from laburnumreel.relay._waiting import (
    LEAST_RETRY_S,
    LONGEST_RETRY_S,
    PRIORITY_STEP_S,
    FreedRate,
    Waiting,
    order_waiting,
    retry_after_s,
)
from laburnumreel.relay._work import PEER_NEWS_S, Work, WorkLedger
from laburnumreel.state import Authority, Row

HERE = Place("zone-a", "region-a")
TRAITS = EngineTraits(48, 444_000, 131_072, 2e11, 5.0, 3.0)


def route(prefix, service="orders", **fields):
    values = {
        "name": prefix,
        "host": "shop.example",
        "prefix": prefix,
        "kind": RouteKind.IDEMPOTENT,
        "shares": (Share(service, 1),),
        "timeout_s": 3.0,
        "objective_s": 0.3,
        "gap_s": 0.0,
        "priority": 1,
        "attempts": 2,
        "public": False,
        "resumable": False,
    }
    return Route(**{**values, **fields})


def listed(name, zone="zone-a", role=None, slots=6, **fields):
    return ListedBackEnd(name, "orders", ("10.0.0.1", 80), zone, slots, role=role, **fields)


def candidate(name, zone="zone-a", role=None, region="region-a", work=None, **fields):
    slots = fields.pop("slots", 48)
    return Candidate(listed(name, zone, role, slots), region, work or Work(), **fields)


def prompt(*shared, own=100):
    parts = tuple(Part(name, tokens) for name, tokens in shared)
    return Prompt("m", (*parts, Part("own", own)), own + sum(part.tokens for part in parts), 50)


class TestRoutes:
    def test_longest_prefix_of_the_host_wins(self):
        config = RelayConfig(1, (route("/a/"), route("/a/b/"), route("/a/", host="other.example")))
        table = RouteTable(config)
        assert table.route("shop.example", "/a/b/c").prefix == "/a/b/"
        assert table.route("SHOP.example:80", "/a/x").name == "/a/"
        assert table.route("shop.example", "/a") is None
        assert table.route("nobody.example", "/a/b/") is None

    def test_keys_name_their_customer_only(self):
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
    def test_entry_that_lapsed_with_the_store_counts_until_it_had_time_to_return(self):
        back_ends = BackEndList(return_grace_s=2.0)
        back_ends.replace([listed("b1"), listed("b2")], now=0.0)
        back_ends.directory_lost(now=1.0)
        back_ends.directory_back(now=6.0)
        back_ends.replace([], now=6.0)
        assert len(back_ends.usable("orders", 6.1)) == 2
        back_ends.put(listed("b1"))
        assert [each.name for each in back_ends.usable("orders", 8.1)] == ["b1"]

    def test_entry_removed_while_the_store_answers_is_gone_at_once(self):
        back_ends = BackEndList(return_grace_s=2.0)
        back_ends.replace([listed("b1")], now=0.0)
        back_ends.drop("b1", now=5.0)
        assert not back_ends.usable("orders", 5.0)

    def test_leaving_back_end_gets_nothing_even_if_it_lapses(self):
        back_ends = BackEndList(return_grace_s=2.0)
        back_ends.replace([listed("b1", draining=True)], now=0.0)
        back_ends.directory_lost(now=1.0)
        back_ends.directory_back(now=2.0)
        back_ends.drop("b1", now=2.0)
        assert not back_ends.usable("orders", 2.1) and back_ends.get("b1") is None

    def test_late_writing_of_an_entry_does_not_undo_a_newer_one(self):
        back_ends = BackEndList(return_grace_s=2.0)
        back_ends.put(listed("b1", draining=True, started_at_ms=50, beat=7))
        back_ends.put(listed("b1", started_at_ms=50, beat=6))
        assert not back_ends.usable("orders", 0.0)
        back_ends.put(listed("b1", started_at_ms=90, beat=1))
        assert len(back_ends.usable("orders", 0.0)) == 1


class TestWork:
    def test_old_news_of_a_peer_does_not_count(self):
        ledger = WorkLedger()
        ledger.peer("p", {"b1": Work(requests=5)}, now=0.0)
        assert ledger.total("b1", PEER_NEWS_S).requests == 5
        assert ledger.total("b1", PEER_NEWS_S + 0.1).requests == 0

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
    def test_sums_over_peers_are_those_of_their_last_news(self, heard):
        """The sums are kept as news comes; they must not drift from what was said last."""
        ledger, now, last = WorkLedger(), 0.0, {}
        for peer, work, pause in heard:
            now += pause
            ledger.peer(peer, {name: Work(1, n, 1, n) for name, n in work.items()}, now)
            last[peer] = (now, work)
            for name in "ab":
                tokens = sum(
                    said.get(name, 0) for at, said in last.values() if now - at <= PEER_NEWS_S
                )
                assert ledger.total(name, now).reading_tokens == tokens

    @given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(1, 9)), max_size=20))
    def test_work_that_ended_leaves_nothing(self, sent):
        ledger = WorkLedger()
        for name, tokens in sent:
            ledger.add(name, Work(1, tokens, 1, tokens))
        for name, tokens in reversed(sent):
            ledger.remove(name, Work(1, tokens, 1, tokens))
        assert ledger.own == {}


class TestConduct:
    def test_rests_grow_while_connections_fail_and_end_with_a_success(self):
        conduct = Conduct()
        conduct.unreachable("b1", 0.0)
        first = conduct.rests(0.0)["b1"]
        conduct.unreachable("b1", 10.0)
        assert conduct.rests(10.0)["b1"] > first
        conduct.ended("b1", False, 10.1)
        assert not conduct.resting("b1", 10.1)

    def test_grey_back_end_shows_within_some_requests_and_is_forgiven(self):
        conduct = Conduct()
        for step in range(20):
            conduct.ended("grey", step % 2 == 0, step * 0.1)
            conduct.ended("sound", False, step * 0.1)
        assert conduct.failure_share("grey", 2.0) > 0.3 > conduct.failure_share("sound", 2.0)
        assert conduct.failure_share("grey", 40.0) < 0.02

    def test_slow_back_end_is_told_from_its_peers_and_forgiven(self):
        conduct = Conduct()
        for step in range(20):
            conduct.ended("slow", False, step * 0.1)
            conduct.worked("slow", 400.0, step * 0.1)
            conduct.ended("sound", False, step * 0.1)
            conduct.worked("sound", 60.0, step * 0.1)
        assert conduct.plain_ms("slow", 2.0) > 3 * conduct.plain_ms("sound", 2.0)
        assert conduct.plain_ms("slow", 60.0) < 2.5 * conduct.plain_ms("sound", 60.0)

    def test_word_of_a_peer_ends_by_itself(self):
        conduct = Conduct()
        conduct.told("b1", until=3.0)
        assert conduct.resting("b1", 2.9) and not conduct.resting("b1", 3.1)


class TestPlainPlacement:
    def test_full_back_ends_get_nothing(self):
        full = candidate("b1", slots=2, work=Work(requests=2), plain_ms=50.0)
        assert choose_plain([full], HERE, 0, PlacementCosts()) is None

    def test_failing_back_end_gets_work_only_before_a_queue(self):
        costs = PlacementCosts()
        grey = candidate("grey", plain_ms=50.0, failure_share=0.4)
        sound = candidate("sound", plain_ms=50.0, work=Work(requests=40))
        assert choose_plain([grey, sound], HERE, 0, costs).name == "sound"

    def test_back_end_nearby_is_preferred(self):
        far = candidate("far", "zone-b", region="region-b", plain_ms=50.0)
        near = candidate("near", plain_ms=50.0)
        assert choose_plain([far, near], HERE, 800, PlacementCosts()).name == "near"


class TestEnginePlacement:
    def choose(self, candidates, wanted=None, **fields):
        wanted = wanted or prompt(("start", 12_000), own=2000)
        return EnginePlacement(HERE).choose(wanted, 17_000, TRAITS, candidates, **fields)

    def test_prompt_is_read_where_its_start_is_kept(self):
        plan = self.choose(
            [
                candidate("p1", role=Role.PREFILL, read_ms=0.013),
                candidate("p2", role=Role.PREFILL, read_ms=0.013, kept_tokens=12_000),
                candidate("d1", role=Role.DECODE, read_ms=0.013),
            ]
        )
        assert plan.reader.name == "p2" and plan.read_tokens == 2000

    def test_kept_start_is_not_worth_a_long_queue(self):
        plan = self.choose(
            [
                candidate("p1", role=Role.PREFILL, read_ms=0.013),
                candidate(
                    "p2",
                    role=Role.PREFILL,
                    read_ms=0.013,
                    kept_tokens=12_000,
                    work=Work(reading_tokens=90_000),
                ),
                candidate("d1", role=Role.DECODE, read_ms=0.013),
            ]
        )
        assert plan.reader.name == "p1"

    def test_streams_are_not_held_up_while_a_reader_is_there(self):
        plan = self.choose(
            [
                candidate("p1", role=Role.PREFILL, read_ms=0.013),
                candidate("d1", role=Role.DECODE, read_ms=0.013, work=Work(streams=6)),
            ]
        )
        assert plan.reader.name == "p1"

    def test_without_readers_or_sends_the_generator_reads(self):
        engines = [
            candidate("p1", role=Role.PREFILL, read_ms=0.013),
            candidate("d1", role=Role.DECODE, read_ms=0.013),
        ]
        assert self.choose(engines[1:]).reader is None
        assert self.choose(engines, read_apart=False).reader is None

    def test_copy_that_was_read_already_costs_no_reading(self):
        plan = self.choose([candidate("d1", role=Role.DECODE, read_ms=0.013)], copied=True)
        assert plan.read_tokens == 0

    def test_no_plan_while_all_places_to_generate_are_taken(self):
        full = candidate("d1", role=Role.DECODE, slots=4, work=Work(streams=4))
        assert self.choose([candidate("p1", role=Role.PREFILL), full]) is None

    def test_copies_stay_in_their_region(self):
        plan = self.choose(
            [
                candidate("p1", role=Role.PREFILL, read_ms=0.013),
                candidate("near", role=Role.DECODE, read_ms=0.013, work=Work(streams=2)),
                candidate("far", "zone-b", role=Role.DECODE, region="region-b", read_ms=0.013),
            ]
        )
        assert plan.generator.name == "near"

    @given(st.integers(0, 10_000), st.booleans())
    def test_best_of_each_place_is_the_best_of_all_pairs(self, seed, settled):
        """Guards against a short cut that misses a pair of engines."""
        rng = random.Random(seed)
        candidates = [
            candidate(
                f"e{index}",
                zone := f"zone-{rng.randrange(4)}",
                rng.choice([Role.PREFILL, Role.DECODE]),
                f"region-{ord(zone[-1]) % 2}",
                Work(1, rng.randrange(40_000), rng.randrange(50), rng.randrange(400_000)),
                read_ms=0.013,
                kept_tokens=rng.choice([0, 12_000]),
                failure_share=rng.random() * 0.3,
            )
            for index in range(12)
        ]
        wanted, placement = prompt(("start", 12_000), own=2000), EnginePlacement(HERE)
        plan = placement.choose(wanted, 17_000, TRAITS, candidates, settled=settled)
        readers = [each for each in candidates if each.back_end.role is Role.PREFILL]
        free = [
            each
            for each in candidates
            if each.back_end.role is Role.DECODE and each.work.streams < 48
        ]
        costs = [placement._alone(wanted, 17_000, TRAITS, each, settled).cost_ms for each in free]
        costs += [
            placement._joined(
                wanted,
                TRAITS,
                placement._reading(wanted, 17_000, reader, settled),
                placement._running(wanted, 17_000, TRAITS, generator, settled),
            ).cost_ms
            for reader in readers
            for generator in free
        ]
        assert (plan is None) == (not costs)
        assert plan is None or plan.cost_ms == pytest.approx(min(costs))

    def test_hosts_agree_on_a_home_and_few_starts_move(self):
        engines = [f"e{index}" for index in range(6)]
        parts = [f"part-{index}" for index in range(600)]
        before = {part: home_of(part, engines) for part in parts}
        after = {part: home_of(part, engines[1:]) for part in parts}
        moved = [part for part in parts if before[part] != after[part]]
        assert all(before[part] == "e0" for part in moved)
        assert 60 <= len(moved) <= 140


class TestPromptMemory:
    def test_start_counts_as_far_as_all_parts_before_it_are_kept(self):
        memory = PromptMemory()
        memory.used("e1", prompt(("a", 100)), now=0.0)
        assert memory.kept_tokens("e1", prompt(("a", 100), ("b", 50)), now=1.0) == 100
        assert memory.kept_tokens("e1", prompt(("b", 50), ("a", 100)), now=1.0) == 0

    def test_parts_are_forgotten_with_time_and_with_a_restart(self):
        memory = PromptMemory()
        memory.used("e1", prompt(("a", 100)), now=0.0)
        assert memory.kept_tokens("e1", prompt(("a", 100)), now=REMEMBER_S + 0.1) == 0
        memory.used("e1", prompt(("a", 100)), now=20.0)
        memory.restarted("e1")
        assert memory.kept_tokens("e1", prompt(("a", 100)), now=20.0) == 0

    def test_peers_learn_what_was_read(self):
        mine, theirs = PromptMemory(), PromptMemory()
        mine.used("e1", prompt(("a", 100)), now=0.0)
        theirs.peer(mine.take_news(), now=5.0)
        assert theirs.kept_tokens("e1", prompt(("a", 100)), now=6.0) == 100
        assert mine.take_news() == {}


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
            Waiting(str(index), priority, arrived, arrived + aim, arrived + 6)
            for index, (priority, arrived, aim) in enumerate(drawn)
        ]
        ordered = order_waiting(waiting, now)
        assert sorted(ordered) == sorted(waiting)
        late = [item.due <= now for item in ordered]
        assert late == sorted(late)

    def test_flood_of_urgent_requests_passes_a_waiting_one_by_a_bounded_time(self):
        """A burst of urgent requests each 10 ms: the less urgent one still gets its turn."""
        plain = Waiting("plain", 3, 0.0, 1.0, 6.0)
        passed = 0
        for step in range(200):
            now = step * 0.01
            urgent = Waiting(f"u{step}", 0, now, now + 1.0, now + 6.0)
            if order_waiting([plain, urgent], now)[0] is plain:
                break
            passed += 1
        assert passed * 0.01 <= 3 * PRIORITY_STEP_S + 0.02

    def test_retry_storm_is_spread_over_the_time_in_which_places_become_free(self):
        rng = random.Random(3)
        waits = [retry_after_s(ahead, 20.0, rng) for ahead in range(40)]
        assert all(LEAST_RETRY_S <= wait <= LONGEST_RETRY_S for wait in waits)
        assert waits[30] >= 31 / 20.0
        assert len({round(wait, 3) for wait in waits}) > 30

    def test_rate_of_freed_places_follows_the_load(self):
        rate = FreedRate()
        for step in range(300):
            rate.freed(step / 50)
        assert rate.per_s(6.0) == pytest.approx(50, rel=0.35)
        assert rate.per_s(20.0) == 0.0


class TestUsage:
    def test_counts_of_a_process_are_taken_once_however_often_they_are_told(self):
        book = UsageBook(5.0)
        for count in (1, 3, 2, 3):
            book.peer("h2", "boot", 7, {"hall-a": count})
        book.peer("h2", "other-boot", 7, {"hall-a": 4})
        book.began("hall-a", 36.0)
        assert book.sums(7) == {"hall-a": 8}

    def test_windows_follow_the_time_of_day(self):
        book = UsageBook(5.0)
        assert (book.window(34.999), book.window(35.0), book.ends_at(6)) == (6, 7, 35.0)

    def test_forgotten_windows_are_gone(self):
        book = UsageBook(5.0)
        book.began("a", 1.0)
        book.peer("h", "b", 0, {"a": 1})
        book.forget_before(1)
        assert book.sums(0) == {}


class TestTrueTime:
    def test_host_whose_clock_is_wrong_takes_the_agreed_time(self):
        right, wrong = ManualClock(10.0, wall=5000.0), ManualClock(900.0, wall=5030.0)
        first, second = TrueTime(right), TrueTime(wrong)
        first.store_read(10.0, 10.0, 77.0)
        second.store_read(900.0, 900.0, 77.0)
        agreed = first.proposal()
        for each in (first, second):
            each.agree(agreed)
        assert first.now() == second.now() == 5000.0

    def test_jump_of_the_machines_clock_changes_nothing(self):
        clock = ManualClock(10.0, wall=5000.0)
        time = TrueTime(clock)
        clock._wall += 300
        assert time.now() == 5000.0

    def test_reading_with_the_shortest_round_trip_counts(self):
        time = TrueTime(ManualClock(0.0, wall=1000.0))
        time.store_read(0.0, 0.1, 50.05)
        time.store_read(5.0, 7.0, 57.0)
        assert time.proposal() == pytest.approx(950.0)


class TestNews:
    def test_datagram_brings_the_news_whole(self):
        news = News(
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
            ("b3",),
            {9: {"hall-a": 2}},
            {"e1": ("a", "b")},
            4,
            90,
            9,
        )
        assert decode_news(encode_news(news)).ok == news

    @given(st.binary(max_size=200))
    def test_any_other_datagram_is_an_error_and_no_exception(self, datagram):
        decoded = decode_news(datagram)
        assert decoded.is_error() or isinstance(decoded.ok, News)


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
        assert splitter.rest == b""

    def test_event_that_never_ends_is_an_error(self):
        with pytest.raises(ValueError, match="larger"):
            EventSplitter().feed(b"x" * (2 << 20))


class TestPlans:
    SCALING = Scaling(1, 4, 4.0, 0.18, {"zone-a": 1.0, "zone-b": 0.8})

    def wanted(self, found, cheap_now, scaling=SCALING):
        service = RelayService("quotes", 300, TRAITS, scaling)
        wanted = wanted_counts(service, scaling, {"z": found}, {"z": cheap_now})
        return wanted[Group("quotes", "z", False)], wanted.get(Group("quotes", "z", True), 0)

    def test_small_zone_keeps_its_dedicated_engines(self):
        assert self.wanted(2, 0) == self.wanted(2, 2) == (2, 2)

    def test_cheap_engines_take_over_as_they_come_and_dedicated_ones_return(self):
        """A zone of eight gets cheap ones, then loses them all at once."""
        large = self.SCALING._replace(most=16)
        assert self.wanted(8, 0, large) == (8, 12)
        assert self.wanted(8, 10, large) == (6, 12)
        assert self.wanted(8, 12, large) == (4, 12)
        assert self.wanted(8, 0, large) == (8, 12)

    def test_cheap_engines_that_are_not_cheap_are_not_ordered(self):
        assert self.wanted(3, 0, self.SCALING._replace(cheap_price=0.9)) == (3, 0)
        assert self.wanted(3, 0, self.SCALING._replace(cheap_price=None)) == (3, 0)

    @given(st.integers(0, 30), st.integers(0, 30), st.integers(0, 5), st.integers(1, 30))
    def test_orders_stay_within_the_limits(self, found, cheap_now, least, most):
        scaling = self.SCALING._replace(least=least, most=max(least, most))
        dedicated, cheap = self.wanted(found, cheap_now, scaling)
        assert scaling.least <= dedicated <= scaling.most and cheap >= 0
        assert min(dedicated, scaling.most) + cheap <= scaling.most or cheap_now < cheap

    def test_planner_takes_no_engine_away_while_the_list_fills(self):
        """Engines come one by one, up to 2.5 s apart; a plan from the first ones ended the others."""
        back_ends, orders, rows = [], [], {}

        def transact(checks, writes):
            rows[writes[0].key] = Row(writes[0].key, writes[0].value, 1)
            return Ok(1)

        platform = SimpleNamespace(read=lambda table, key: Ok(rows.get(key)), transact=transact)
        wire = SimpleNamespace(
            capacity=lambda authority, service, zone, count, cheap: DutyCall(
                "/", {}, {"zone": zone, "count": count, "cheap": cheap}
            )
        )

        def post(authority, address, path, body, headers):
            orders.append((body["zone"], body["cheap"], body["count"]))
            return Ok(Answer(200, {}))

        services = {"orders": RelayService("orders", 300, TRAITS, self.SCALING)}
        planner = CapacityPlanner(
            platform,
            SimpleNamespace(post=post),
            wire,
            lambda: ("10.0.0.9", 80),
            lambda: services,
            lambda: (tuple(back_ends), {}),
        )
        authority = Authority("relay_duties", 3, 9, 100.0)
        for step in range(40):
            if step in (2, 12, 16, 26):
                zone = "zone-a" if step < 14 else "zone-b"
                back_ends.append(listed(f"e{step}", zone, Role.DECODE))
            planner.step(authority, step * 0.25)
        assert rows["orders"].value == {"dedicated": {"zone-a": 2, "zone-b": 2}}
        assert [order for order in orders if not order[1]] == []
        assert orders[-1] == ("zone-b", True, 2) and ("zone-a", True, 2) in orders
        assert len(orders) == len(set(orders)) == 4

    def engines(self, readers, generators):
        return [listed(f"p{index}", role=Role.PREFILL) for index in range(readers)] + [
            listed(f"d{index}", role=Role.DECODE) for index in range(generators)
        ]

    def test_idle_engine_changes_first(self):
        work = {f"d{index}": Work(streams=index) for index in range(8)}
        change = wanted_change(self.engines(2, 8), work, 0.5)
        assert (change.back_end.name, change.role) == ("d0", Role.PREFILL)

    def test_engine_that_changes_gets_one_order(self):
        """Guards against an order each step until the list shows the change seconds later."""
        engines, orders = self.engines(1, 39), []
        wire = SimpleNamespace(
            role=lambda authority, engine, role: DutyCall(engine.name, {}, {"role": str(role)})
        )

        def post(authority, address, path, body, headers):
            orders.append(path)
            return Ok(Answer(202, {}))

        services = {"orders": RelayService("orders", 300, TRAITS)}
        planner = RolePlanner(
            SimpleNamespace(post=post),
            wire,
            lambda: services,
            lambda: (engines, {}),
            lambda name, seconds: None,
        )
        authority = Authority("relay_duties", 3, 9, 100.0)
        for step in range(30):
            planner.step(authority, step * 0.1)
        assert len(orders) == len(set(orders)) == 4

    def test_enough_engines_go_on_generating(self):
        assert wanted_change(self.engines(1, LEAST_GENERATING), {}, 0.9) is None

    @pytest.mark.parametrize("total", range(4, 16))
    def test_changes_come_to_rest(self, total):
        readers = 0
        for _ in range(2 * total):
            change = wanted_change(self.engines(readers, total - readers), {}, 0.5)
            if change is None:
                break
            readers += 1 if change.role is Role.PREFILL else -1
        assert change is None
