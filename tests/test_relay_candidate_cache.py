"""Tests of the cache of placement candidates."""

import random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from relay_samples import HERE, listed, prompt

from laburnumreel.relay._assignments import PlacementRequest
from laburnumreel.relay._back_ends import Role
from laburnumreel.relay._candidate_cache import MAX_AGE_S
from laburnumreel.relay._dispatcher import MAX_FAILED_TRIES, Dispatcher
from laburnumreel.relay._fleet_state import FleetState
from laburnumreel.relay._ports import Listing
from laburnumreel.relay._requests import SelfReport
from laburnumreel.relay._waiting import WaitingRequest
from laburnumreel.relay._work import Work, WorkLedger

NAMES = [f"e{index}" for index in range(6)]
ENGINES = {
    name: listed(name, f"zone-{index % 3}", Role.PREFILL if index % 2 else Role.DECODE)
    for index, name in enumerate(NAMES)
}
ORDER = PlacementRequest(
    WaitingRequest("r1", 1, 0.0, 1.0, 3.0), "orders", prompt(("a", 900)), 100, frozenset()
)

CHANGES = {
    "add": lambda fleet_state, name, now: fleet_state.ledger.add(name, Work(1, 500, 1, 900)),
    "remove": lambda fleet_state, name, now: fleet_state.ledger.remove(name, Work(1, 500, 1, 900)),
    "peer": lambda fleet_state, name, now: fleet_state.ledger.set_peer_work(
        "h2", {name: Work(2)}, now
    ),
    "silent": lambda fleet_state, name, now: fleet_state.ledger.forget_peer("h2"),
    "failed": lambda fleet_state, name, now: fleet_state.record_outcome(name, True, None, now),
    "unreachable": lambda fleet_state, name, now: fleet_state.record_unreachable(name, now),
    "avoid": lambda fleet_state, name, now: fleet_state.avoid(name, 0.3, now),
    "leaving": lambda fleet_state, name, now: fleet_state.on_self_report(
        ENGINES[name], SelfReport(leaving=True), random.Random(1), now
    ),
    "full": lambda fleet_state, name, now: fleet_state.on_self_report(
        ENGINES[name], SelfReport(full_s=0.4), random.Random(1), now
    ),
    "gone": lambda fleet_state, name, now: fleet_state.on_listing(
        Listing({name: None}, 2, 0.0, False), now
    ),
    "back": lambda fleet_state, name, now: fleet_state.on_listing(
        Listing({name: ENGINES[name]._replace(beat=9)}, 3, 0.0, False), now
    ),
    "restarted": lambda fleet_state, name, now: fleet_state.on_listing(
        Listing({name: ENGINES[name]._replace(started_at_ms=round(now))}, 4, 0.0, False), now
    ),
    "moved": lambda fleet_state, name, now: fleet_state.on_address_reused(name, now),
    "used": lambda fleet_state, name, now: fleet_state.record_prompt(name, ORDER.prompt, now),
}


@given(
    st.lists(
        st.tuples(st.sampled_from(sorted(CHANGES)), st.sampled_from(NAMES), st.booleans()),
        max_size=12,
    )
)
def test_candidates_match_rebuilt_ones_after_any_change(changes):
    """Placement must see each change at once, although candidates are cached."""
    fleet_state, now = FleetState(HERE, {}, 2.2), 10.0
    fleet_state.on_listing(Listing(ENGINES, 1, 0.0, True), now)
    for kind, name, later in changes:
        fleet_state.candidates(ORDER, now)
        now += 2 * MAX_AGE_S if later else 0.0
        CHANGES[kind](fleet_state, name, now)
        cached = {each.name: each for each in fleet_state.candidates(ORDER, now)}
        rebuilt = fleet_state._build_candidates("orders", now)
        assert cached.keys() == rebuilt.keys()
        for each in rebuilt.values():
            assert cached[each.name].work == each.work
            assert cached[each.name].failure_share == pytest.approx(each.failure_share, abs=0.01)


class CountingDispatcher(Dispatcher):
    """A dispatcher that counts attempts to place a request, none of which succeeds."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.tries = 0
        self._assigner.assign = self._count_try

    def tell(self, message):
        self.handle(message)

    def _count_try(self, order, candidates, contended, now):
        self.tries += 1


def test_waiting_requests_are_not_evaluated_for_each_message():
    """Simulates two seconds of a burst, with 42 engines and 120 peer updates per second."""
    clock = SimpleNamespace(at=0.0)
    clock.now = lambda: clock.at
    retry = SimpleNamespace(ratio=0.2, slack=50, window_s=10.0)
    host = CountingDispatcher(clock, HERE, {}, retry, 2.2, random.Random(1))
    engines = {f"e{index}": listed(f"e{index}", role=Role.DECODE) for index in range(42)}
    host.on_listing(Listing(engines, 1, 0.0, True))
    for step in range(240):
        clock.at = step / 120
        if step % 12 == 0 and step < 120:
            waiting = WaitingRequest(f"r{step}", 1, clock.at, clock.at + 0.3, clock.at + 9.0)
            host.place(ORDER._replace(waiting=waiting))
        host.on_work_ended("e1", Work(), "orders")
        host.on_peer_updates(())
    # One pass every 21 ms with the maximum of attempts, plus one attempt for each new request.
    assert 10 <= host.tries <= 2.0 / 0.021 * MAX_FAILED_TRIES + 10 + MAX_FAILED_TRIES


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["h1", "h2", "h3"]),
            st.dictionaries(st.sampled_from(NAMES), st.integers(1, 5), max_size=4),
            st.booleans(),
        ),
        max_size=12,
    )
)
def test_peer_totals_match_the_last_update_of_each(updates):
    ledger, last = WorkLedger(), {}
    for sender, counts, stops in updates:
        ledger.take_changed(1.0)
        before = {name: ledger.total(name, 1.0) for name in NAMES}
        if stops:
            ledger.forget_peer(sender)
            last.pop(sender, None)
        else:
            work = {name: Work(count, 10 * count) for name, count in counts.items()}
            ledger.set_peer_work(sender, work, now=1.0)
            last[sender] = work
        changed = ledger.take_changed(1.0)
        for name in NAMES:
            said = [work[name] for work in last.values() if name in work]
            requests = sum(each.requests for each in said)
            assert ledger.total(name, 1.0) == Work(requests, 10 * requests)
            assert name in changed or ledger.total(name, 1.0) == before[name]
