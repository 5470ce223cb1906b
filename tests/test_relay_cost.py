"""Tests that what a request costs stays bounded, and that the choices stay those of the plain way."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from plain_placement import PlainHost, PlainLedger, PlainPlacement, PlainQueues
from relay_fleet import Host, Replay
from relay_samples import HERE, TRAITS, candidate, prompt

from laburnumreel.relay._back_ends import Role
from laburnumreel.relay._placement import EnginePlacement, Queues
from laburnumreel.relay._requests import Word
from laburnumreel.relay._weighing import Place, PlacementCosts
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
        kept_tokens=st.sampled_from([0, 900, 2900]),
        read_ms=st.sampled_from([0.013, 0.05]),
        home=st.booleans(),
    ),
    max_size=8,
)


@settings(max_examples=400)
@given(
    engines=ENGINES,
    read_apart=st.booleans(),
    copied_in=st.sampled_from([None, HERE, Place("zone-c", "region-c")]),
    settled=st.booleans(),
    contended=st.booleans(),
    objective_ms=st.sampled_from([5.0, 100.0, 1000.0]),
    bounded=st.booleans(),
)
def test_the_choice_is_that_of_weighing_all_engines(
    engines, read_apart, copied_in, settled, contended, objective_ms, bounded
):
    candidates = [
        candidate(f"e{number}", zone, role, ZONES[zone], work, **fields)
        for number, (zone, role, work, fields) in enumerate(engines)
    ]
    costs = PlacementCosts()
    queued = (PROMPT, candidates, objective_ms, costs, contended)
    given_all = (PROMPT, 17_000, TRAITS, candidates, read_apart, copied_in, settled)
    expected = PlainPlacement(HERE, costs).choose(
        *given_all, PlainQueues(*queued) if bounded else None
    )
    chosen = EnginePlacement(HERE, costs).choose(*given_all, Queues(*queued) if bounded else None)
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
def test_the_sums_of_peers_work_are_those_of_the_plain_way(told):
    ledger, plain, now = WorkLedger(), PlainLedger(), 10.0
    for sender, work, later_s, stops in told:
        now += later_s
        for each in (ledger, plain):
            each.peer(sender, work, now)
            if stops:
                each.forget_peer(sender)
        assert ledger.take_changed(now) == plain.take_changed(now)
        assert ledger.oldest_news_s(now) == plain.oldest_news_s(now)
        for name in ("e1", "e2", "e3"):
            assert ledger.total(name, now) == plain.total(name, now)


class Troubled(Replay):
    """A replay with seeded trouble at engines, and each choice written down."""

    def __init__(self, seed, host_type, **fields):
        self.choices = []
        self._trouble = random.Random(seed)
        super().__init__(seed, host_type, **fields)

    def _tick(self, step):
        super()._tick(step)
        host, draw = self._trouble.choice(self.hosts), self._trouble.random()
        name = self._trouble.choice(sorted(self.engines))
        if draw < 0.1:
            host.judged(name, True)
        elif draw < 0.12:
            host.unreachable(name)
        elif draw < 0.14:
            host.heed(self.engines[name].listed, Word(full_s=0.5))
        elif draw < 0.145:
            host.heed(self.engines[name].listed, Word(leaving=True))
        elif draw < 0.16:
            host.peer_silent(f"h{self._trouble.randrange(len(self.hosts))}")

    def _placed(self, request, outcome):
        now, request_id = self.clock.now(), request[1].request_id
        if isinstance(outcome, Refusal):
            self.choices.append((now, request_id, repr(outcome)))
        else:
            # What a candidate was believed to keep is not looked up where nothing depends on it.
            plan = outcome.plan._replace(reader=None, generator=outcome.plan.generator.name)
            self.choices.append((now, request_id, outcome._replace(plan=plan)))
        super()._placed(request, outcome)


@pytest.mark.parametrize("seed", range(1, 7))
@pytest.mark.parametrize(
    ("hosts", "readers", "generators", "rate"), [(4, 3, 2, 30), (8, 6, 3, 260), (3, 0, 4, 120)]
)
def test_hosts_choose_as_in_the_plain_way(seed, hosts, readers, generators, rate):
    """The last two loads are more than the engines take, so that requests wait and are refused."""
    choices = []
    for host_type in (Host, PlainHost):
        replay = Troubled(
            seed, host_type, hosts=hosts, readers=readers, generators=generators, slow="d0"
        )
        replay.run(lambda now: rate, 4.0, lose=("d1", 2.0))
        choices.append(replay.choices)
    assert choices[0] == choices[1]
    assert len(choices[0]) > 50
