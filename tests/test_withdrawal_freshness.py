"""Simulation of how gateways learn through one another, with the store down, how fresh keys are."""

import random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from laburnumreel.coordination import _gossip
from laburnumreel.coordination._gossip import Gossip
from laburnumreel.coordination._replica import Replica
from laburnumreel.coordination._withdrawal_freshness import WithdrawalFreshness

CUT_OFF_S = 3.0
STEP_S = 0.1
ROUND_STEPS = 5
DELAY_STEPS = (0, 0, 0, 1, 3, 12)
DIGEST_BYTES = 64 + _gossip.LIST_ELEMENT_BYTES


class GossipSimulation:
    """Simulated gateways whose answers may be delayed.

    Records which withdrawals each gateway acknowledged and when.
    """

    def __init__(self, count, seed, delays=DELAY_STEPS):
        self.random, self.delays, self.now, self.step = random.Random(seed), delays, 100.0, 0
        self.addresses = [
            (f"127.0.{number // 200}.{number % 200 + 1}", 7) for number in range(count)
        ]
        self.index_by_address = {address: index for index, address in enumerate(self.addresses)}
        self.round_offsets = [self.random.randrange(ROUND_STEPS) for _ in range(count)]
        self.boots, self.gossips = 0, []
        for index in range(count):
            self.start(index, True)
        self.partitioned, self.calls_in_flight, self.answers_by_step = set(), set(), {}
        self.acknowledged, self.majority_at = {}, {}

    def start(self, index, complete):
        self.boots += 1
        address, source = self.addresses[index], random.Random(self.random.random())
        self.gossips[index : index + 1] = [
            Gossip(
                f"node-{index}",
                "gateway",
                str(self.boots),
                address,
                self.addresses,
                (),
                CUT_OFF_S,
                Replica(),
                source,
                lambda: complete,
            )
        ]

    def withdraw(self, key, indexes):
        for index in indexes:
            self.gossips[index]._replica.withdraw([key])
            self.acknowledged.setdefault(key, {})[index] = self.now
        if 2 * len(indexes) > len(self.gossips):
            self.majority_at[key] = self.now

    def restart(self, index):
        """Restart a gateway. With the store down, the withdrawals that it acknowledged are lost."""
        self.start(index, False)
        self.calls_in_flight = {pair for pair in self.calls_in_flight if pair[0] != index}
        for times in self.acknowledged.values():
            times.pop(index, None)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step += 1
            self.now = 100.0 + self.step * STEP_S
            for caller, gossip, address, ours, answer, sent_at in self.answers_by_step.pop(
                self.step, ()
            ):
                if self.gossips[caller] is gossip:
                    self.calls_in_flight.discard((caller, address))
                    gossip.on_answer(address, ours, answer, sent_at)
            for caller, round_offset in enumerate(self.round_offsets):
                if self.step % ROUND_STEPS == round_offset and caller not in self.partitioned:
                    self.call_peers(caller)

    def call_peers(self, caller):
        gossip = self.gossips[caller]
        for address in gossip.choose_peers():
            other = self.index_by_address[address]
            if other in self.partitioned or (caller, address) in self.calls_in_flight:
                continue
            ours = gossip.build_call(address)
            answer, _ = self.gossips[other].on_call(ours, self.now)
            delay = self.random.choice(self.delays)
            if not delay:
                gossip.on_answer(address, ours, answer, self.now)
                continue
            self.calls_in_flight.add((caller, address))
            arrival = (caller, gossip, address, ours, answer, self.now)
            self.answers_by_step.setdefault(self.step + delay, []).append(arrival)

    def indexes_with_majority(self):
        return [
            index for index, one in enumerate(self.gossips) if one.has_recent_majority(self.now)
        ]

    def check(self):
        for index, gossip in enumerate(self.gossips):
            times = [gossip._freshness.complete_until(address) for address in self.addresses]
            for key, acknowledged in self.acknowledged.items():
                if key not in gossip._replica.withdrawn:
                    for other, at in acknowledged.items():
                        assert (
                            other == index or times[other] <= at
                        ), "counted as fresh without the key"
        for index in self.indexes_with_majority():
            for key, at in self.majority_at.items():
                held = key in self.gossips[index]._replica.withdrawn
                assert held or self.now - at <= CUT_OFF_S, "a withdrawn key is admitted"


def run_with_withdrawals(seed, count=40):
    """Send more withdrawals than a message holds, partition one gateway and restart another."""
    simulation = GossipSimulation(count, seed)
    simulation.run(2)
    for burst in range(12):
        for number in range(6):
            indexes = simulation.random.sample(
                range(count), simulation.random.choice((1, count // 2 + 1))
            )
            simulation.withdraw(f"{burst * 6 + number:064x}", indexes)
        if burst == 3:
            simulation.partitioned.add(0)
        if burst == 5:
            simulation.restart(1)
        for _ in range(5):
            simulation.run(0.2)
            simulation.check()
    assert 0 not in simulation.indexes_with_majority(), "a partitioned gateway admits"
    simulation.partitioned.clear()
    simulation.run(30)
    simulation.check()
    assert len(simulation.indexes_with_majority()) == count
    return simulation


@pytest.fixture
def short_messages():
    """Limit messages to three withdrawals, so that answers are often not in sync."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            _gossip, "MAX_EXCHANGE_BYTES", _gossip.FIXED_FIELD_BYTES + 80 + 3 * DIGEST_BYTES
        )
        yield


@settings(max_examples=3, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.integers(0, 1 << 32))
def test_a_gateway_holds_all_withdrawals_it_counts_as_known(short_messages, seed):
    """Guards against ages that count withdrawals as known which the receiver lacks."""
    run_with_withdrawals(seed)


@pytest.mark.parametrize("count", [40, 380])
def test_all_gateways_but_a_partitioned_one_have_a_majority(count):
    """Guards against a fleet that stops admitting with the store down or misses a partition."""
    simulation = GossipSimulation(count, count, delays=(0,))
    simulation.run(CUT_OFF_S)
    for _ in range(2):
        assert len(simulation.indexes_with_majority()) == count
        simulation.run(1)
    simulation.partitioned.add(5)
    simulation.withdraw("a" * 64, range(10, 11 + count // 2))
    simulation.run(CUT_OFF_S + STEP_S)
    assert simulation.indexes_with_majority() == [index for index in range(count) if index != 5]
    simulation.check()


ORIGINAL_ON_ANSWER = Gossip.on_answer
ORIGINAL_RECORD_ANSWER = WithdrawalFreshness.on_answer


def accept_ages_out_of_sync(self, address, ours, theirs, sent_at):
    comparison = ORIGINAL_ON_ANSWER(self, address, ours, theirs, sent_at)
    self._freshness.on_answer("", sent_at, theirs.ages, theirs.gateways_digest)
    return comparison


def test_ages_out_of_sync_are_caught(monkeypatch, short_messages):
    """Guards against an oracle that misses ages accepted from answers that are not in sync."""
    monkeypatch.setattr(Gossip, "on_answer", accept_ages_out_of_sync)
    with pytest.raises(AssertionError, match="counted as fresh without|key is admitted"):
        run_with_withdrawals(1)


def test_ages_from_the_answers_arrival_are_caught(monkeypatch):
    """Guards against an oracle that misses ages counted from the arrival of the answer."""
    simulations = []

    def count_from_arrival(self, address, sent_at, ages, gateways_digest):
        ORIGINAL_RECORD_ANSWER(self, address, simulations[-1].now, ages, gateways_digest)

    original = GossipSimulation.__init__

    def record_simulation(self, *arguments):
        simulations.append(self)
        original(self, *arguments)

    monkeypatch.setattr(GossipSimulation, "__init__", record_simulation)
    monkeypatch.setattr(WithdrawalFreshness, "on_answer", count_from_arrival)
    with pytest.raises(AssertionError, match="counted as fresh without|key is admitted"):
        run_with_withdrawals(1)
