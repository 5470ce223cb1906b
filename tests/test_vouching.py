"""Withdrawals that gateways vouch for through one another, with the store down."""

import random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from laburnumreel.coordination import _gossip
from laburnumreel.coordination._gossip import Gossip
from laburnumreel.coordination._replica import Replica
from laburnumreel.coordination._vouching import Vouching

CUT_OFF_S = 3.0
STEP_S = 0.1
ROUND_STEPS = 5
DELAY_STEPS = (0, 0, 0, 1, 3, 12)
DIGEST_BYTES = 64 + _gossip.ELEMENT_BYTES


class Gateways:
    """Simulated gateways whose answers arrive late, and what each acknowledged and when."""

    def __init__(self, count, seed, delays=DELAY_STEPS):
        self.random, self.delays, self.now, self.step = random.Random(seed), delays, 100.0, 0
        self.addresses = [
            (f"127.0.{number // 200}.{number % 200 + 1}", 7) for number in range(count)
        ]
        self.place = {address: place for place, address in enumerate(self.addresses)}
        self.phases = [self.random.randrange(ROUND_STEPS) for _ in range(count)]
        self.boots, self.gossips = 0, []
        for place in range(count):
            self.start(place, True)
        self.cut, self.under_way, self.arriving = set(), set(), {}
        self.acknowledged, self.applied = {}, {}

    def start(self, place, complete):
        self.boots += 1
        address, source = self.addresses[place], random.Random(self.random.random())
        self.gossips[place : place + 1] = [
            Gossip(
                f"node-{place}",
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

    def withdraw(self, key, places):
        for place in places:
            self.gossips[place]._replica.withdraw([key])
            self.acknowledged.setdefault(key, {})[place] = self.now
        if 2 * len(places) > len(self.gossips):
            self.applied[key] = self.now

    def restart(self, place):
        """The store is down: what the process acknowledged is lost with it."""
        self.start(place, False)
        self.under_way = {pair for pair in self.under_way if pair[0] != place}
        for times in self.acknowledged.values():
            times.pop(place, None)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step += 1
            self.now = 100.0 + self.step * STEP_S
            for caller, gossip, address, ours, answer, sent_at in self.arriving.pop(self.step, ()):
                if self.gossips[caller] is gossip:
                    self.under_way.discard((caller, address))
                    gossip.on_answer(address, ours, answer, sent_at)
            for caller, phase in enumerate(self.phases):
                if self.step % ROUND_STEPS == phase and caller not in self.cut:
                    self.call_peers(caller)

    def call_peers(self, caller):
        gossip = self.gossips[caller]
        for address in gossip.round():
            other = self.place[address]
            if other in self.cut or (caller, address) in self.under_way:
                continue
            ours = gossip.call(address)
            answer, _ = self.gossips[other].on_call(ours, self.now)
            delay = self.random.choice(self.delays)
            if not delay:
                gossip.on_answer(address, ours, answer, self.now)
                continue
            self.under_way.add((caller, address))
            arrival = (caller, gossip, address, ours, answer, self.now)
            self.arriving.setdefault(self.step + delay, []).append(arrival)

    def hearing(self):
        return [place for place, one in enumerate(self.gossips) if one.hears_majority(self.now)]

    def check(self):
        for place, gossip in enumerate(self.gossips):
            times = [gossip._vouching.vouched_at(address) for address in self.addresses]
            for key, acknowledged in self.acknowledged.items():
                if key not in gossip._replica.withdrawn:
                    for other, at in acknowledged.items():
                        assert other == place or times[other] <= at, "vouched without the key"
        for place in self.hearing():
            for key, at in self.applied.items():
                held = key in self.gossips[place]._replica.withdrawn
                assert held or self.now - at <= CUT_OFF_S, "a withdrawn key is admitted"


def withdrawals_under_way(seed, count=40):
    """Withdrawals arrive faster than a message holds, a gateway is cut off and one restarts."""
    gateways = Gateways(count, seed)
    gateways.run(2)
    for burst in range(12):
        for number in range(6):
            places = gateways.random.sample(
                range(count), gateways.random.choice((1, count // 2 + 1))
            )
            gateways.withdraw(f"{burst * 6 + number:064x}", places)
        if burst == 3:
            gateways.cut.add(0)
        if burst == 5:
            gateways.restart(1)
        for _ in range(5):
            gateways.run(0.2)
            gateways.check()
    assert 0 not in gateways.hearing(), "a gateway that is cut off admits"
    gateways.cut.clear()
    gateways.run(30)
    gateways.check()
    assert len(gateways.hearing()) == count
    return gateways


@pytest.fixture
def short_messages():
    """Messages that hold three withdrawals, so that answers are often not in sync."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(_gossip, "EXCHANGE_BYTES", _gossip.FIXED_BYTES + 80 + 3 * DIGEST_BYTES)
        yield


@settings(max_examples=3, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.integers(0, 1 << 32))
def test_a_gateway_holds_what_it_is_vouched_for(short_messages, seed):
    """Guards against ages that vouch for withdrawals which the receiver lacks."""
    withdrawals_under_way(seed)


@pytest.mark.parametrize("count", [40, 380])
def test_all_gateways_hear_a_majority_and_one_cut_off_does_not(count):
    """Guards against a fleet that stops admitting with the store down, or never notices a cut."""
    gateways = Gateways(count, count, delays=(0,))
    gateways.run(CUT_OFF_S)
    for _ in range(2):
        assert len(gateways.hearing()) == count
        gateways.run(1)
    gateways.cut.add(5)
    gateways.withdraw("a" * 64, range(10, 11 + count // 2))
    gateways.run(CUT_OFF_S + STEP_S)
    assert gateways.hearing() == [place for place in range(count) if place != 5]
    gateways.check()


ORIGINAL_ON_ANSWER = Gossip.on_answer
ORIGINAL_VOUCH = Vouching.on_answer


def take_ages_out_of_sync(self, address, ours, theirs, sent_at):
    learned = ORIGINAL_ON_ANSWER(self, address, ours, theirs, sent_at)
    self._vouching.on_answer("", sent_at, theirs.ages, theirs.gateways_digest)
    return learned


def test_ages_out_of_sync_are_caught(monkeypatch, short_messages):
    """Guards against an oracle that passes when ages are taken without being in sync."""
    monkeypatch.setattr(Gossip, "on_answer", take_ages_out_of_sync)
    with pytest.raises(AssertionError, match="vouched without|key is admitted"):
        withdrawals_under_way(1)


def test_ages_from_the_answers_arrival_are_caught(monkeypatch):
    """Guards against an oracle that passes when ages count from the answer's arrival."""
    gateways = []

    def from_arrival(self, address, sent_at, ages, gateways_digest):
        ORIGINAL_VOUCH(self, address, gateways[-1].now, ages, gateways_digest)

    original = Gateways.__init__

    def remember(self, *arguments):
        gateways.append(self)
        original(self, *arguments)

    monkeypatch.setattr(Gateways, "__init__", remember)
    monkeypatch.setattr(Vouching, "on_answer", from_arrival)
    with pytest.raises(AssertionError, match="vouched without|key is admitted"):
        withdrawals_under_way(1)
