"""Simulated load tests that compare placement with random choice and least outstanding."""

import heapq
import random
from collections import OrderedDict
from statistics import median

import pytest

from laburnumreel.relay._back_ends import ListedBackEnd, Role
from laburnumreel.relay._config import EngineTraits
from laburnumreel.relay._cost_model import Candidate, Location
from laburnumreel.relay._placement import EnginePlacement, preferred_engine
from laburnumreel.relay._prefix_cache import PrefixCacheIndex
from laburnumreel.relay._requests import Prompt, PromptPart
from laburnumreel.relay._work import NO_WORK, Work, WorkLedger

READ_MS, KV_TOKENS = 0.013, 444_000
TRAITS = EngineTraits(48, KV_TOKENS, 131_072, 2e11, 5.0, 3.0)
HERE = Location("z", "r")
UPDATE_INTERVAL_S = 0.15


class Engine:
    """Reads prompts one after the other and caches the most recently used parts."""

    def __init__(self, name, role, read_ms=READ_MS):
        self.listed = ListedBackEnd(name, "quotes", ("10.0.0.1", 80), "z", 48, role=role)
        self.read_ms = read_ms
        self.free_at = 0.0
        self.kept = OrderedDict()

    def read(self, prompt, now):
        """Queue a prompt; return when it is read and how many shared tokens are read for it."""
        unread, shared, known = prompt.input_tokens, 0, True
        for part in prompt.parts:
            known = known and part.name in self.kept
            if known:
                unread -= part.tokens
            elif part in prompt.shared:
                shared += part.tokens
            self.kept[part.name] = part.tokens
            self.kept.move_to_end(part.name)
        while sum(self.kept.values()) > KV_TOKENS:
            self.kept.popitem(last=False)
        self.free_at = max(self.free_at, now) + unread * self.read_ms / 1000
        return self.free_at, shared


class PlacementPolicy:
    """The product's placement, on hosts that exchange updates every `UPDATE_INTERVAL_S` seconds."""

    def __init__(self, hosts=3):
        self.hosts = [(WorkLedger(), PrefixCacheIndex()) for _ in range(hosts)]
        self.exchanged_at = 0.0
        self.placement = EnginePlacement(HERE)

    def choose(self, prompt, readers, generator, now, rng):
        if now - self.exchanged_at >= UPDATE_INTERVAL_S:
            self.exchange(now)
        self.ledger, memory = rng.choice(self.hosts)
        preferred = preferred_engine(prompt.shared[-1].name, [each.listed.name for each in readers])
        candidates = [
            Candidate(
                each.listed,
                "r",
                self.ledger.total(each.listed.name, now),
                cached_tokens=memory.cached_tokens(each.listed.name, prompt, now),
                read_ms=each.read_ms,
                is_preferred=each.listed.name == preferred,
            )
            for each in readers
        ]
        candidates.append(Candidate(generator, "r", Work(streams=12), read_ms=READ_MS))
        plan = self.placement.choose(prompt, 17_000, TRAITS, candidates)
        memory.record_prompt(plan.reader.name, prompt, now)
        work = Work(1, plan.read_tokens)
        self.ledger.add(plan.reader.name, work)
        return plan.reader.name, (self.ledger, plan.reader.name, work)

    def exchange(self, now):
        self.exchanged_at = now
        updates = [(dict(ledger.own), memory.take_unsent()) for ledger, memory in self.hosts]
        for index, (ledger, memory) in enumerate(self.hosts):
            for other, (work, kept) in enumerate(updates):
                if other != index:
                    ledger.set_peer_work(str(other), work, now)
                    memory.add_peer_prefixes(kept, now)

    def ended(self, handle):
        ledger, name, work = handle
        ledger.remove(name, work)


class LeastOutstanding:
    def __init__(self):
        self.running = {}

    def choose(self, prompt, readers, generator, now, rng):
        names = [each.listed.name for each in readers]
        rng.shuffle(names)
        name = min(names, key=lambda each: self.running.get(each, 0))
        self.running[name] = self.running.get(name, 0) + 1
        return name, name

    def ended(self, name):
        self.running[name] -= 1


class RandomChoice(LeastOutstanding):
    def choose(self, prompt, readers, generator, now, rng):
        return rng.choice(readers).listed.name, None

    def ended(self, handle):
        """Do nothing, as no count is kept."""


def replay(policy, seed, rate, lose_at=None, slow=None, seconds=30.0):
    """Simulate a load with a placement policy.

    Return the median and the 90th percentile of the time to read in milliseconds, and the number
    of shared tokens that were read.
    """
    rng = random.Random(seed)
    readers = [
        Engine(f"p{index}", Role.PREFILL, READ_MS * (5 if index == slow else 1))
        for index in range(4)
    ]
    generator = ListedBackEnd("d0", "quotes", ("10.0.0.1", 80), "z", 48, role=Role.DECODE)
    prefixes = [PromptPart(f"start{index}", rng.randrange(8_000, 18_000)) for index in range(59)]
    now, waits, shared_read, running = 0.0, [], 0, []
    while now < seconds:
        now += rng.expovariate(rate(now))
        while running and running[0][0] <= now:
            policy.ended(heapq.heappop(running)[2])
        usable = readers if lose_at is None or now < lose_at else readers[1:]
        unshared = PromptPart(f"own{now}", int(rng.expovariate(1 / 3000)) + 100)
        prefix = rng.choice(prefixes)
        prompt = Prompt("m", (prefix, unshared), prefix.tokens + unshared.tokens, 100)
        name, handle = policy.choose(prompt, usable, generator, now, rng)
        engine = next(each for each in usable if each.listed.name == name)
        ready_at, shared = engine.read(prompt, now)
        heapq.heappush(running, (ready_at, len(waits), handle))
        waits.append(1000 * (ready_at - now))
        shared_read += shared
    ordered = sorted(waits)
    return median(ordered), ordered[int(0.9 * len(ordered))], shared_read


def steady(now):
    return 12.0


def burst(now):
    return 24.0 if 10 < now < 16 else 10.0


LOADS = {
    "steady": {"rate": steady},
    "burst": {"rate": burst},
    "engine lost": {"rate": steady, "lose_at": 12.0},
    "engine slow": {"rate": steady, "slow": 2},
}


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", LOADS)
def test_placement_by_cached_prefixes_beats_least_outstanding_and_random(load, seed):
    """Prefixes are read again at every engine unless prompts go where theirs is cached."""
    ours, least, random_choice = (
        replay(policy(), seed, **LOADS[load])
        for policy in (PlacementPolicy, LeastOutstanding, RandomChoice)
    )
    print(f"{load} seed {seed}: ours {ours}, least outstanding {least}, random {random_choice}")
    assert ours[2] < 0.7 * min(least[2], random_choice[2])
    assert ours[0] < min(least[0], random_choice[0])
    assert ours[1] < min(least[1], random_choice[1])


def test_unknown_back_end_has_no_work():
    assert WorkLedger().total("p0", 0.0) == NO_WORK
