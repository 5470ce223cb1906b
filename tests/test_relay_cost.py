"""Tests that the optimized placement makes the same choices as the reference implementation."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from reference_placement import (
    ReferenceHost,
    ReferenceLedger,
    ReferencePlacement,
    ReferenceQueueLimits,
)
from relay_fleet import Host, Replay
from relay_samples import HERE, TRAITS, candidate, prompt

from laburnumreel.relay._back_ends import Role
from laburnumreel.relay._cost_model import Location, PlacementCosts
from laburnumreel.relay._placement import EnginePlacement, QueueLimits
from laburnumreel.relay._requests import SelfReport
from laburnumreel.relay._work import Work, WorkLedger
from laburnumreel.state import Refusal

PROMPT = prompt(("a", 900), ("b", 2000), own=300)
ZONES = {"zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-c"}

WORK = st.builds(
    Work,
    st.integers(0, 20),
    st.sampled_from([0, 500, 4000, 30_000]),
    st.sampled_from([0, 1, 40, 47, 48, 60]),
    st.sampled_from([0, 9000, 400_000, 500_000]),
)
ENGINES = st.lists(
    st.builds(
        lambda zone, role, work, **fields: (zone, role, work, fields),
        st.sampled_from(sorted(ZONES)),
        st.sampled_from([Role.PREFILL, Role.DECODE, None]),
        WORK,
        failure_share=st.sampled_from([0.0, 0.1, 1.0]),
        cached_tokens=st.sampled_from([0, 900, 2900]),
        read_ms=st.sampled_from([0.013, 0.05]),
        is_preferred=st.booleans(),
    ),
    max_size=8,
)


@settings(max_examples=400)
@given(
    engines=ENGINES,
    can_use_reader=st.booleans(),
    copy_location=st.sampled_from([None, HERE, Location("zone-c", "region-c")]),
    prefixes_fit=st.booleans(),
    is_contended=st.booleans(),
    objective_ms=st.sampled_from([5.0, 100.0, 1000.0]),
    is_bounded=st.booleans(),
)
def test_choice_matches_the_reference_placement(
    engines, can_use_reader, copy_location, prefixes_fit, is_contended, objective_ms, is_bounded
):
    candidates = [
        candidate(f"e{number}", zone, role, ZONES[zone], work, **fields)
        for number, (zone, role, work, fields) in enumerate(engines)
    ]
    costs = PlacementCosts()
    queue_arguments = (PROMPT, candidates, objective_ms, costs, is_contended)
    arguments = (PROMPT, 17_000, TRAITS, candidates, can_use_reader, copy_location, prefixes_fit)
    expected = ReferencePlacement(HERE, costs).choose(
        *arguments, ReferenceQueueLimits(*queue_arguments) if is_bounded else None
    )
    chosen = EnginePlacement(HERE, costs).choose(
        *arguments, QueueLimits(*queue_arguments) if is_bounded else None
    )
    assert chosen == expected


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["h1", "h2", "h3"]),
            st.dictionaries(st.sampled_from(["e1", "e2", "e3"]), WORK | st.just(Work())),
            st.sampled_from([0.0, 0.4, 2.0, 6.0]),
            st.booleans(),
        ),
        max_size=12,
    )
)
def test_peer_totals_match_the_reference_ledger(updates):
    ledger, reference, now = WorkLedger(), ReferenceLedger(), 10.0
    for sender, work, later_s, stops in updates:
        now += later_s
        for each in (ledger, reference):
            each.set_peer_work(sender, work, now)
            if stops:
                each.forget_peer(sender)
        assert ledger.take_changed(now) == reference.take_changed(now)
        assert ledger.oldest_update_s(now) == reference.oldest_update_s(now)
        for name in ("e1", "e2", "e3"):
            assert ledger.total(name, now) == reference.total(name, now)


class DisturbedReplay(Replay):
    """A simulation with seeded disturbances of the engines that records each choice."""

    def __init__(self, seed, host_type, **fields):
        self.choices = []
        self._disturbance_rng = random.Random(seed)
        super().__init__(seed, host_type, **fields)

    def _tick(self, step):
        super()._tick(step)
        host, draw = self._disturbance_rng.choice(self.hosts), self._disturbance_rng.random()
        name = self._disturbance_rng.choice(sorted(self.engines))
        if draw < 0.1:
            host.record_outcome(name, True)
        elif draw < 0.12:
            host.record_unreachable(name)
        elif draw < 0.14:
            host.on_self_report(self.engines[name].listed, SelfReport(full_s=0.5))
        elif draw < 0.145:
            host.on_self_report(self.engines[name].listed, SelfReport(leaving=True))
        elif draw < 0.16:
            host.on_peer_silent(f"h{self._disturbance_rng.randrange(len(self.hosts))}")

    def _on_placed(self, request, outcome):
        now, request_id = self.clock.now(), request[1].request_id
        if isinstance(outcome, Refusal):
            self.choices.append((now, request_id, repr(outcome)))
        else:
            # Cached prefixes are not looked up if nothing depends on them, so they may differ.
            plan = outcome.plan._replace(reader=None, generator=outcome.plan.generator.name)
            self.choices.append((now, request_id, outcome._replace(plan=plan)))
        super()._on_placed(request, outcome)


@pytest.mark.parametrize("seed", range(1, 7))
@pytest.mark.parametrize(
    ("hosts", "readers", "generators", "rate"), [(4, 3, 2, 30), (8, 6, 3, 260), (3, 0, 4, 120)]
)
def test_hosts_choose_as_reference_hosts_do(seed, hosts, readers, generators, rate):
    """The last two loads exceed the capacity, so that requests wait and are refused."""
    choices = []
    for host_type in (Host, ReferenceHost):
        replay = DisturbedReplay(
            seed, host_type, hosts=hosts, readers=readers, generators=generators, slow="d0"
        )
        replay.run(lambda now: rate, 4.0, lose=("d1", 2.0))
        choices.append(replay.choices)
    assert choices[0] == choices[1]
    assert len(choices[0]) > 50
