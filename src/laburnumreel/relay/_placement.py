"""The choice of backend servers: one cost in milliseconds for each way, the least wins.

Load patterns that this answers: prompts that share long starts, which cost several times as much
where another engine kept the start; a shift from long answers to long prompts, in which reading at
engines that generate holds up their streams; bursts, in which a kept start is not worth a long
queue; backend servers that turn slow or fail a share of their requests.
"""

import hashlib
from collections.abc import Iterable, Sequence
from functools import lru_cache
from typing import NamedTuple

from laburnumreel.relay._back_ends import ListedBackEnd, Role
from laburnumreel.relay._config import EngineTraits
from laburnumreel.relay._requests import Prompt
from laburnumreel.relay._work import Work

GIGABYTE = 1e9


class PlacementCosts(NamedTuple):
    """What each disadvantage of a backend server costs, in milliseconds.

    A kilobyte of a request that crosses regions costs `region_ms_per_kb`, and a gigabyte of KV
    memory that is copied `copy_ms_per_gb`, both for what the platform charges. `failure_ms` is the
    cost of a request that fails. An engine that generates reads `mixed_read_factor` times as slowly
    as one that only reads, and each of its streams is held up meanwhile by `stall_share` of the
    reading. Every thousand tokens that another engine keeps and this one must read again cost
    `reread_ms_per_k` besides the time. An engine that is not the home of the prompt's start costs
    `home_ms`, so that hosts that know nothing of each other's prompts agree. Where the engines of a
    region can keep all starts, one in another region costs `away_ms`, and reading again only its
    `settled_reread_share`, as the start then serves many prompts of the region. `full_ms` is the cost of an engine whose places are all taken.
    """

    zone_ms: float = 1.0
    region_ms: float = 16.0
    region_ms_per_kb: float = 1.5
    copy_ms_per_gb: float = 10.0
    failure_ms: float = 1500.0
    mixed_read_factor: float = 2.0
    stall_share: float = 1.5
    reread_ms_per_k: float = 20.0
    home_ms: float = 40.0
    away_ms: float = 150.0
    settled_reread_share: float = 0.3
    full_ms: float = 150.0
    memory_ms: float = 400.0


# Copies between zones and between regions take this many times as long as within a zone, and are
# charged up to three times as much.
ZONE_COPY_FACTOR = 2.0
REGION_COPY_FACTOR = 10.0
REGION_COPY_PRICE_FACTOR = 3.0
# Above this share of an engine's memory its newest streams are in danger of being preempted.
SAFE_MEMORY_SHARE = 0.8


# How long the queue of an engine that reads may be, as a share of the time in which a request must
# begin to be on time. What waits beyond that waits at the hosts, where it can still be put in order,
# refused, or sent to another engine.
QUEUE_SHARE = 0.8
# The same for prompts whose start another engine keeps, or the time that the prompt itself needs if
# that is longer: a place that becomes free while many wait goes to a prompt whose start is kept
# there, which needs a fraction of the reading.
REREAD_QUEUE_SHARE = 0.1
# An engine that generates while others read takes a prompt only if its queue is shorter than this
# share of the prompt's own time: its streams and the copies that it takes wait for what it reads.
GENERATOR_QUEUE_SHARE = 0.25


class Place(NamedTuple):
    """Where something stands, for distances."""

    zone: str
    region: str


@lru_cache(maxsize=1024)
def place_of(zone: str, region: str) -> Place:
    """Return the place of an availability zone in a region."""
    return Place(zone, region)


class Candidate(NamedTuple):
    """A backend server that may get a request.

    `kept_tokens` is how much of the prompt's start it is believed to keep, `home` whether all hosts
    prefer it for a start that nobody keeps. `read_ms` is its time for a prompt token, `plain_ms` for
    a plain request.
    """

    back_end: ListedBackEnd
    region: str
    work: Work
    failure_share: float = 0.0
    kept_tokens: int = 0
    read_ms: float = 0.0
    plain_ms: float = 0.0
    home: bool = False

    @property
    def name(self) -> str:
        return self.back_end.name

    @property
    def place(self) -> Place:
        return place_of(self.back_end.zone, self.region)


class EnginePlan(NamedTuple):
    """The engines of a request: one that reads the prompt, if any, and one that generates.

    `read_tokens` are the prompt tokens that must be read. `first_token_ms` is the expected time to
    the first token, `cost_ms` what the choice was made by.
    """

    reader: Candidate | None
    generator: Candidate
    read_tokens: int
    first_token_ms: float
    cost_ms: float


class _Half(NamedTuple):
    """One of the two engines of a plan, with what it adds to time and cost."""

    candidate: Candidate
    read_tokens: int
    first_ms: float
    cost_ms: float


def _best_of_places(halves: Iterable[_Half]) -> list[_Half]:
    """Return the half with the least cost of each place."""
    best: dict[Place, _Half] = {}
    for half in halves:
        known = best.get(half.candidate.place)
        if known is None or half.cost_ms < known.cost_ms:
            best[half.candidate.place] = half
    return list(best.values())


def distance_ms(here: Place, there: Place, costs: PlacementCosts) -> float:
    """Return the cost of the way between two places, without that of the volume."""
    if here.region != there.region:
        return costs.region_ms
    return 0.0 if here.zone == there.zone else costs.zone_ms


def volume_ms(here: Place, there: Place, size: int, costs: PlacementCosts) -> float:
    """Return the cost of sending `size` bytes between two places."""
    return size / 1000 * costs.region_ms_per_kb if here.region != there.region else 0.0


def copy_time_ms(source: Place, target: Place, size: float, link_bytes_per_s: float) -> float:
    """Return how long engines need to copy `size` bytes of KV memory."""
    factor = 1.0
    if source.region != target.region:
        factor = REGION_COPY_FACTOR
    elif source.zone != target.zone:
        factor = ZONE_COPY_FACTOR
    return 1000 * factor * size / max(1.0, link_bytes_per_s)


def choose_plain(
    candidates: Sequence[Candidate], here: Place, body_bytes: int, costs: PlacementCosts
) -> Candidate | None:
    """Return the backend server of a plain request, or None if all their places are taken.

    >>> listed = ListedBackEnd("b1", "orders", ("10.0.0.1", 80), "z", slots=1)
    >>> free = Candidate(listed, "r", Work(), plain_ms=50.0)
    >>> choose_plain([free], Place("z", "r"), 100, PlacementCosts()).name
    'b1'
    >>> choose_plain([free._replace(work=Work(requests=1))], Place("z", "r"), 100, PlacementCosts())
    """

    def cost(candidate: Candidate) -> float:
        there = candidate.place
        return (
            candidate.plain_ms * (1 + candidate.work.requests / max(1, candidate.back_end.slots))
            + candidate.failure_share * costs.failure_ms
            + distance_ms(here, there, costs)
            + volume_ms(here, there, body_bytes, costs)
        )

    free = [each for each in candidates if each.work.requests < max(1, each.back_end.slots)]
    return min(free, key=cost, default=None)


class Queues:
    """Which engines have room in their queue of prompts for one more.

    Load pattern that this answers: a burst above what the engines can read. Prompts that went to a
    queue wait there behind one another until all of them are late.
    """

    def __init__(
        self,
        prompt: Prompt,
        candidates: Sequence[Candidate],
        objective_ms: float,
        costs: PlacementCosts,
        contended: bool,
    ) -> None:
        self._prompt = prompt
        self._objective_ms = objective_ms
        self._contended = contended
        self._costs = costs
        self._kept = max((each.kept_tokens for each in candidates), default=0)
        self._others_read = any(each.back_end.role is Role.PREFILL for each in candidates)

    def has_room(self, engine: Candidate) -> bool:
        """Return whether an engine's queue of prompts is short enough for this one."""
        reads_only = engine.back_end.role is Role.PREFILL
        token_ms = engine.read_ms * (1.0 if reads_only else self._costs.mixed_read_factor)
        queue_ms = engine.work.reading_tokens * token_ms
        own_ms = max(0, self._prompt.input_tokens - engine.kept_tokens) * token_ms
        if self._others_read and not reads_only:
            return not self._contended or queue_ms <= GENERATOR_QUEUE_SHARE * own_ms
        if not self._contended:
            return queue_ms <= QUEUE_SHARE * self._objective_ms
        if engine.kept_tokens >= self._kept and (self._kept > 0 or engine.home):
            return queue_ms <= QUEUE_SHARE * self._objective_ms
        return queue_ms <= max(REREAD_QUEUE_SHARE * self._objective_ms, own_ms)


class _Copy(NamedTuple):
    """What a copy of the prompt's memory takes, and what it is charged as."""

    ms: float
    price_ms: float


# Places that stand for each distance of a copy.
_DISTANCES = (
    ("none", Place("a", "x"), Place("a", "x")),
    ("zone", Place("a", "x"), Place("b", "x")),
    ("region", Place("a", "x"), Place("b", "y")),
)


def _distance(source: Place, target: Place) -> str:
    if source == target:
        return "none"
    return "zone" if source.region == target.region else "region"


class _Way(NamedTuple):
    """What the way from the host to a place adds: time, cost, and the cost of leaving the region."""

    ms: float
    cost_ms: float
    away_ms: float


class Weighing:
    """The costs of one prompt at each engine; what depends on places only is worked out once."""

    def __init__(
        self,
        here: Place,
        costs: PlacementCosts,
        prompt: Prompt,
        body_bytes: int,
        traits: EngineTraits,
        settled: bool,
    ) -> None:
        self._here = here
        self._costs = costs
        self._tokens = prompt.input_tokens
        self._own_tokens = prompt.input_tokens - sum(part.tokens for part in prompt.shared)
        self._body_bytes = body_bytes
        self._kv_tokens = max(1, traits.kv_tokens)
        size = prompt.input_tokens * traits.kv_token_bytes
        price_ms = size / GIGABYTE * costs.copy_ms_per_gb
        self._copies = {
            distance: _Copy(
                copy_time_ms(source, target, size, traits.link_bytes_per_s),
                price_ms * (REGION_COPY_PRICE_FACTOR if distance == "region" else 1.0),
            )
            for distance, source, target in _DISTANCES
        }
        self._settled = settled
        self._ways: dict[Place, _Way] = {}

    def alone(self, generator: Candidate, running: _Half) -> EnginePlan:
        """Return the plan of an engine that reads the prompt and generates."""
        costs, work = self._costs, generator.work
        unread = max(0, self._tokens - generator.kept_tokens)
        token_ms = generator.read_ms * costs.mixed_read_factor
        reading_ms = unread * token_ms
        queue_ms = work.reading_tokens * token_ms
        # Reading again has its own cost of being away.
        cost = (
            running.cost_ms
            - self._way(generator.place).away_ms
            + queue_ms
            + reading_ms * (1 + work.streams * costs.stall_share)
            + self._rereading(unread, generator)
        )
        return EnginePlan(None, generator, unread, running.first_ms + queue_ms + reading_ms, cost)

    def reading(self, reader: Candidate) -> _Half:
        """Return the cost of reading the prompt at an engine, without the way on from there."""
        costs, way = self._costs, self._way(reader.place)
        unread = max(0, self._tokens - reader.kept_tokens)
        read_ms = (reader.work.reading_tokens + unread) * reader.read_ms
        cost = (
            way.cost_ms
            + read_ms
            + reader.failure_share * costs.failure_ms
            + self._rereading(unread, reader)
            + (0.0 if reader.home or unread < self._tokens else costs.home_ms)
        )
        return _Half(reader, unread, way.ms + read_ms, cost)

    def running(self, generator: Candidate) -> _Half:
        """Return the cost of generating at an engine that need not read the prompt."""
        way = self._way(generator.place)
        cost = way.cost_ms + way.away_ms + self._generating(generator)
        return _Half(generator, 0, way.ms, cost)

    def joined(self, readers: Iterable[_Half], generators: Sequence[_Half]) -> EnginePlan | None:
        """Return the best plan of two engines, with the copy from one to the other, or None."""
        best: tuple[float, _Half, _Half] | None = None
        for reader in readers:
            place = reader.candidate.place
            for generator in generators:
                copy = self._copies[_distance(place, generator.candidate.place)]
                cost = reader.cost_ms + generator.cost_ms + copy.ms + copy.price_ms
                if best is None or cost < best[0]:
                    best = (cost, reader, generator)
        if best is None:
            return None
        cost, reader, generator = best
        taking = self.taking(reader.candidate.place, generator)
        first_ms = reader.first_ms + taking.first_token_ms
        return EnginePlan(reader.candidate, taking.generator, reader.read_tokens, first_ms, cost)

    def taking(self, source: Place, generator: _Half) -> EnginePlan:
        """Return the plan of an engine that takes a copy of the prompt from another place."""
        copy = self._copies[_distance(source, generator.candidate.place)]
        first_ms = generator.first_ms + copy.ms
        cost_ms = generator.cost_ms + copy.ms + copy.price_ms
        return EnginePlan(None, generator.candidate, 0, first_ms, cost_ms)

    def _way(self, place: Place) -> _Way:
        way = self._ways.get(place)
        if way is None:
            ms = distance_ms(self._here, place, self._costs)
            cost_ms = ms + volume_ms(self._here, place, self._body_bytes, self._costs)
            is_away = self._settled and place.region != self._here.region
            way = self._ways[place] = _Way(ms, cost_ms, self._costs.away_ms if is_away else 0.0)
        return way

    def _rereading(self, unread: int, reader: Candidate) -> float:
        """Return the cost of reading shared parts that another engine keeps, and of going away."""
        again = max(0, unread - self._own_tokens) / 1000 * self._costs.reread_ms_per_k
        if not self._settled:
            return again
        away_ms = self._way(reader.place).away_ms
        return again + away_ms if away_ms else again * self._costs.settled_reread_share

    def _generating(self, generator: Candidate) -> float:
        costs, work = self._costs, generator.work
        memory = (work.kv_tokens + self._tokens) / self._kv_tokens
        return (
            costs.full_ms * (work.streams + 1) / max(1, generator.back_end.slots)
            + costs.memory_ms * max(0.0, memory - SAFE_MEMORY_SHARE)
            + generator.failure_share * costs.failure_ms
        )


class EnginePlacement:
    """Chooses the engines of a request to a model service."""

    def __init__(self, here: Place, costs: PlacementCosts | None = None) -> None:
        self._here = here
        self._costs = costs or PlacementCosts()

    def choose(
        self,
        prompt: Prompt,
        body_bytes: int,
        traits: EngineTraits,
        candidates: Sequence[Candidate],
        read_apart: bool = True,
        copied_in: Place | None = None,
        settled: bool = False,
        queues: Queues | None = None,
    ) -> EnginePlan | None:
        """Return the plan with the least cost, or None while no engine has room for it.

        `read_apart` is False for a request whose prompt can't be read by an engine of its own any
        more, because that would send it to one backend server too many. A prompt with a copy at an
        engine, `copied_in` its place, was read already. `settled` tells that the engines of this
        region can keep all starts of prompts. `queues`, where given, tells which engines have room
        for the prompt.
        """
        weighing = Weighing(self._here, self._costs, prompt, body_bytes, traits, settled)
        running = [
            weighing.running(each)
            for each in candidates
            if each.back_end.role is not Role.PREFILL
            and each.work.streams < max(1, each.back_end.slots)
        ]
        if copied_in is not None:
            plans = [weighing.taking(copied_in, each) for each in _best_of_places(running)]
            return min(plans, key=lambda plan: plan.cost_ms, default=None)
        plans = [weighing.alone(each.candidate, each) for each in running]
        if read_apart:
            # What joins two engines depends on their places only, so the best one of each place
            # stands for the others.
            reading = [
                weighing.reading(each) for each in candidates if each.back_end.role is Role.PREFILL
            ]
            joined = weighing.joined(_best_of_places(reading), _best_of_places(running))
            plans += [joined] if joined is not None else []
        plan = min(plans, key=lambda plan: plan.cost_ms, default=None)
        if plan is None or queues is None or queues.has_room(plan.reader or plan.generator):
            return plan
        # Any other way costs more than to wait for this one.
        return None


def home_of(part: str, back_ends: Iterable[str]) -> str | None:
    """Return the backend server that keeps a prompt part, the same one on every host.

    It is the one with the highest hash of the pair, so that a backend server that comes or goes
    only moves the parts that it gets or had.
    """
    return max(back_ends, key=lambda name: _weight(part, name), default=None)


@lru_cache(maxsize=65536)
def _weight(part: str, back_end: str) -> bytes:
    return hashlib.blake2b(f"{part} {back_end}".encode(), digest_size=8).digest()
