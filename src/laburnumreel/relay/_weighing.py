"""What it costs to read a prompt at one engine and to generate at another, in milliseconds."""

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

    def with_work(self, work: Work) -> "Candidate":
        """Return this one with other work; it costs a third of `_replace`."""
        return Candidate(*self[:2], work, *self[3:])

    @property
    def can_generate(self) -> bool:
        """Whether it is an engine with a place for one more request that generates."""
        back_end = self.back_end
        return back_end.role is not Role.PREFILL and self.work.streams < max(1, back_end.slots)


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


class Half(NamedTuple):
    """One of the two engines of a plan, with what it adds to time and cost."""

    candidate: Candidate
    place: Place
    read_tokens: int
    first_ms: float
    cost_ms: float


def best_of_places(halves: Iterable[Half]) -> list[Half]:
    """Return the half with the least cost of each place."""
    best: dict[Place, Half] = {}
    for half in halves:
        known = best.get(half.place)
        if known is None or half.cost_ms < known.cost_ms:
            best[half.place] = half
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

    def alone(self, generator: Candidate, running: Half) -> EnginePlan:
        """Return the plan of an engine that reads the prompt and generates."""
        costs, work = self._costs, generator.work
        away_ms = self._way(running.place).away_ms
        unread = max(0, self._tokens - generator.kept_tokens)
        token_ms = generator.read_ms * costs.mixed_read_factor
        reading_ms = unread * token_ms
        queue_ms = work.reading_tokens * token_ms
        # Reading again has its own cost of being away.
        cost = (
            running.cost_ms
            - away_ms
            + queue_ms
            + reading_ms * (1 + work.streams * costs.stall_share)
            + self._rereading(unread, away_ms)
        )
        return EnginePlan(None, generator, unread, running.first_ms + queue_ms + reading_ms, cost)

    def reading(self, reader: Candidate) -> Half:
        """Return the cost of reading the prompt at an engine, without the way on from there."""
        costs, place = self._costs, reader.place
        way = self._way(place)
        unread = max(0, self._tokens - reader.kept_tokens)
        read_ms = (reader.work.reading_tokens + unread) * reader.read_ms
        cost = (
            way.cost_ms
            + read_ms
            + reader.failure_share * costs.failure_ms
            + self._rereading(unread, way.away_ms)
            + (0.0 if reader.home or unread < self._tokens else costs.home_ms)
        )
        return Half(reader, place, unread, way.ms + read_ms, cost)

    def running(self, generator: Candidate) -> Half:
        """Return the cost of generating at an engine that need not read the prompt."""
        place = generator.place
        way = self._way(place)
        cost = way.cost_ms + way.away_ms + self._generating(generator)
        return Half(generator, place, 0, way.ms, cost)

    def joined(self, readers: Iterable[Half], generators: Sequence[Half]) -> EnginePlan | None:
        """Return the best plan of two engines, with the copy from one to the other, or None."""
        best: tuple[float, Half, Half] | None = None
        for reader in readers:
            for generator in generators:
                copy = self._copies[_distance(reader.place, generator.place)]
                cost = reader.cost_ms + generator.cost_ms + copy.ms + copy.price_ms
                if best is None or cost < best[0]:
                    best = (cost, reader, generator)
        if best is None:
            return None
        cost, reader, generator = best
        taking = self.taking(reader.place, generator)
        first_ms = reader.first_ms + taking.first_token_ms
        return EnginePlan(reader.candidate, taking.generator, reader.read_tokens, first_ms, cost)

    def taking(self, source: Place, generator: Half) -> EnginePlan:
        """Return the plan of an engine that takes a copy of the prompt from another place."""
        copy = self._copies[_distance(source, generator.place)]
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

    def _rereading(self, unread: int, away_ms: float) -> float:
        """Return the cost of reading shared parts that another engine keeps, and of going away."""
        again = max(0, unread - self._own_tokens) / 1000 * self._costs.reread_ms_per_k
        if not self._settled:
            return again
        return again + away_ms if away_ms else again * self._costs.settled_reread_share

    def _generating(self, generator: Candidate) -> float:
        costs, work = self._costs, generator.work
        memory = (work.kv_tokens + self._tokens) / self._kv_tokens
        return (
            costs.full_ms * (work.streams + 1) / max(1, generator.back_end.slots)
            + costs.memory_ms * max(0.0, memory - SAFE_MEMORY_SHARE)
            + generator.failure_share * costs.failure_ms
        )
