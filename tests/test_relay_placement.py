"""Tests of the choice of backend servers, without sockets."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from relay_samples import HERE, TRAITS, candidate, prompt

from laburnumreel.relay._back_ends import Role
from laburnumreel.relay._cost_model import CostModel, PlacementCosts
from laburnumreel.relay._placement import EnginePlacement, choose_plain, preferred_engine
from laburnumreel.relay._prefix_cache import MAX_PARTS, PREFIX_TTL_S, PrefixCacheIndex
from laburnumreel.relay._work import Work


class TestPlainPlacement:
    def test_full_back_ends_get_nothing(self):
        full = candidate("b1", slots=2, work=Work(requests=2), plain_ms=50.0)
        assert choose_plain([full], HERE, 0, PlacementCosts()) is None

    def test_failing_back_end_is_chosen_only_over_a_long_queue(self):
        costs = PlacementCosts()
        failing = candidate("grey", plain_ms=50.0, failure_share=0.4)
        healthy = candidate("sound", plain_ms=50.0, work=Work(requests=40))
        assert choose_plain([failing, healthy], HERE, 0, costs).name == "sound"

    def test_nearby_back_end_is_preferred(self):
        far = candidate("far", "zone-b", region="region-b", plain_ms=50.0)
        near = candidate("near", plain_ms=50.0)
        assert choose_plain([far, near], HERE, 800, PlacementCosts()).name == "near"


class TestEnginePlacement:
    def choose(self, candidates, wanted=None, **fields):
        wanted = wanted or prompt(("start", 12_000), own=2000)
        return EnginePlacement(HERE).choose(wanted, 17_000, TRAITS, candidates, **fields)

    def test_prompt_is_read_where_its_prefix_is_cached(self):
        plan = self.choose(
            [
                candidate("p1", role=Role.PREFILL, read_ms=0.013),
                candidate("p2", role=Role.PREFILL, read_ms=0.013, cached_tokens=12_000),
                candidate("d1", role=Role.DECODE, read_ms=0.013),
            ]
        )
        assert plan.reader.name == "p2" and plan.read_tokens == 2000

    def test_cached_prefix_is_not_worth_a_long_queue(self):
        plan = self.choose(
            [
                candidate("p1", role=Role.PREFILL, read_ms=0.013),
                candidate(
                    "p2",
                    role=Role.PREFILL,
                    read_ms=0.013,
                    cached_tokens=12_000,
                    work=Work(reading_tokens=90_000),
                ),
                candidate("d1", role=Role.DECODE, read_ms=0.013),
            ]
        )
        assert plan.reader.name == "p1"

    def test_reader_is_preferred_over_stalling_streams(self):
        plan = self.choose(
            [
                candidate("p1", role=Role.PREFILL, read_ms=0.013),
                candidate("d1", role=Role.DECODE, read_ms=0.013, work=Work(streams=6)),
            ]
        )
        assert plan.reader.name == "p1"

    def test_generator_reads_without_readers_or_further_sends(self):
        engines = [
            candidate("p1", role=Role.PREFILL, read_ms=0.013),
            candidate("d1", role=Role.DECODE, read_ms=0.013),
        ]
        assert self.choose(engines[1:]).reader is None
        assert self.choose(engines, can_use_reader=False).reader is None

    def test_copied_prompt_is_not_read_again(self):
        plan = self.choose([candidate("d1", role=Role.DECODE, read_ms=0.013)], copy_location=HERE)
        assert plan.read_tokens == 0

    def test_no_plan_while_all_generator_slots_are_taken(self):
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
    def test_cheapest_per_location_is_the_cheapest_of_all_pairs(self, seed, prefixes_fit):
        """Comparing only the cheapest engine of each location must not miss a cheaper pair."""
        rng = random.Random(seed)
        candidates = [
            candidate(
                f"e{index}",
                zone := f"zone-{rng.randrange(4)}",
                rng.choice([Role.PREFILL, Role.DECODE]),
                f"region-{ord(zone[-1]) % 2}",
                Work(1, rng.randrange(40_000), rng.randrange(50), rng.randrange(400_000)),
                read_ms=0.013,
                cached_tokens=rng.choice([0, 12_000]),
                failure_share=rng.random() * 0.3,
            )
            for index in range(12)
        ]
        wanted, placement = prompt(("start", 12_000), own=2000), EnginePlacement(HERE)
        plan = placement.choose(wanted, 17_000, TRAITS, candidates, prefixes_fit=prefixes_fit)
        readers = [each for each in candidates if each.back_end.role is Role.PREFILL]
        free = [
            each
            for each in candidates
            if each.back_end.role is Role.DECODE and each.work.streams < 48
        ]
        cost_model = CostModel(HERE, PlacementCosts(), wanted, 17_000, TRAITS, prefixes_fit)
        costs = [
            cost_model.single_engine_plan(each, cost_model.generator_cost(each)).cost_ms
            for each in free
        ]
        costs += [
            cost_model.best_pair_plan(
                [cost_model.reader_cost(reader)], [cost_model.generator_cost(generator)]
            ).cost_ms
            for reader in readers
            for generator in free
        ]
        assert (plan is None) == (not costs)
        assert plan is None or plan.cost_ms == pytest.approx(min(costs))

    def test_preferred_engine_is_stable_when_an_engine_leaves(self):
        engines = [f"e{index}" for index in range(6)]
        parts = [f"part-{index}" for index in range(600)]
        before = {part: preferred_engine(part, engines) for part in parts}
        after = {part: preferred_engine(part, engines[1:]) for part in parts}
        moved = [part for part in parts if before[part] != after[part]]
        assert all(before[part] == "e0" for part in moved)
        assert 60 <= len(moved) <= 140


class TestPrefixCacheIndex:
    def test_prefix_counts_up_to_the_first_missing_part(self):
        memory = PrefixCacheIndex()
        memory.record_prompt("e1", prompt(("a", 100)), now=0.0)
        assert memory.cached_tokens("e1", prompt(("a", 100), ("b", 50)), now=1.0) == 100
        assert memory.cached_tokens("e1", prompt(("b", 50), ("a", 100)), now=1.0) == 0

    def test_parts_expire_and_are_forgotten_after_a_restart(self):
        memory = PrefixCacheIndex()
        memory.record_prompt("e1", prompt(("a", 100)), now=0.0)
        assert memory.cached_tokens("e1", prompt(("a", 100)), now=PREFIX_TTL_S + 0.1) == 0
        memory.record_prompt("e1", prompt(("a", 100)), now=20.0)
        memory.on_restart("e1")
        assert memory.cached_tokens("e1", prompt(("a", 100)), now=20.0) == 0

    def test_peers_learn_cached_prefixes(self):
        mine, theirs = PrefixCacheIndex(), PrefixCacheIndex()
        mine.record_prompt("e1", prompt(("a", 100)), now=0.0)
        theirs.add_peer_prefixes(mine.take_unsent(), now=5.0)
        assert theirs.cached_tokens("e1", prompt(("a", 100)), now=6.0) == 100
        assert mine.take_unsent() == {}

    def test_unsent_prefixes_are_bounded(self):
        """Without peers in other regions, or any peers, unsent prefixes are never fetched."""
        memory = PrefixCacheIndex()
        for number in range(MAX_PARTS + 500):
            memory.record_prompt("e1", prompt((f"p{number}", 10)), now=0.0)
        memory.record_prompt("gone", prompt(("a", 10)), now=0.0)
        memory.keep_only(lambda engine: engine == "e1")
        prefixes = memory.take_unsent(cross_region=True)
        assert set(prefixes) == {"e1"} and len(prefixes["e1"]) == MAX_PARTS
        assert prefixes["e1"][-1] == f"p{MAX_PARTS + 499}"

    def test_prefixes_are_sent_once_to_near_and_far_peers(self):
        memory = PrefixCacheIndex()
        memory.record_prompt("e1", prompt(("a", 10)), now=0.0)
        assert (
            memory.take_unsent(cross_region=False)
            == memory.take_unsent(cross_region=True)
            == {"e1": ("a",)}
        )
        assert memory.take_unsent(cross_region=False) == memory.take_unsent(cross_region=True) == {}
