"""Tests of where a relay sends requests, without sockets."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from relay_samples import HERE, TRAITS, candidate, prompt

from laburnumreel.relay._back_ends import Role
from laburnumreel.relay._placement import EnginePlacement, choose_plain, home_of
from laburnumreel.relay._prompts import MOST_PARTS, REMEMBER_S, PromptMemory
from laburnumreel.relay._weighing import PlacementCosts, Weighing
from laburnumreel.relay._work import Work


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
        plan = self.choose([candidate("d1", role=Role.DECODE, read_ms=0.013)], copied_in=HERE)
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
        weighing = Weighing(HERE, PlacementCosts(), wanted, 17_000, TRAITS, settled)
        costs = [weighing.alone(each, weighing.running(each)).cost_ms for each in free]
        costs += [
            weighing.joined([weighing.reading(reader)], [weighing.running(generator)]).cost_ms
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

    def test_what_nobody_asks_for_is_bounded(self):
        """A deployment in one region has no far peers to tell, and one of a single host none."""
        memory = PromptMemory()
        for number in range(MOST_PARTS + 500):
            memory.used("e1", prompt((f"p{number}", 10)), now=0.0)
        memory.used("gone", prompt(("a", 10)), now=0.0)
        memory.keep_only(lambda engine: engine == "e1")
        told = memory.take_news(far=True)
        assert set(told) == {"e1"} and len(told["e1"]) == MOST_PARTS
        assert told["e1"][-1] == f"p{MOST_PARTS + 499}"

    def test_peers_nearby_and_far_are_each_told_once(self):
        memory = PromptMemory()
        memory.used("e1", prompt(("a", 10)), now=0.0)
        assert memory.take_news(far=False) == memory.take_news(far=True) == {"e1": ("a",)}
        assert memory.take_news(far=False) == memory.take_news(far=True) == {}
