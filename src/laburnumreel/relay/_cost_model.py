"""Costs in milliseconds of reading a prompt at one engine and generating at another."""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from typing import NamedTuple

from laburnumreel.relay._back_ends import ListedBackEnd, Role
from laburnumreel.relay._config import EngineTraits
from laburnumreel.relay._requests import Prompt
from laburnumreel.relay._work import Work

BYTES_PER_GB = 1e9


class PlacementCosts(NamedTuple):
    """The cost in milliseconds of each disadvantage of a backend server.

    - `zone_ms`, `region_ms`: sending a request to another availability zone or region.
    - `region_ms_per_kb`, `copy_ms_per_gb`: a kilobyte of a request that crosses regions and a
      gigabyte of copied KV memory, as the platform charges for both.
    - `failure_ms`: a request that fails.
    - `mixed_read_factor`: how much slower an engine that generates reads, compared with one that
      only reads. Meanwhile each of its streams stalls for `stall_share` of the reading time.
    - `reread_ms_per_k`: every thousand tokens that another engine has cached and this one must read
      again, in addition to the time.
    - `not_preferred_ms`: an engine that is not the preferred one of the prompt's prefix. It makes
      hosts agree that know nothing of each other's prompts.
    - `other_region_ms`: an engine in another region, if the engines of the host's region can
      cache all prefixes. Reading again then costs only `fitting_reread_share` of the usual cost,
      because the prefix will serve many prompts of the region.
    - `full_ms`: an engine whose slots are all taken.
    - `memory_ms`: an engine whose memory is full beyond `SAFE_MEMORY_SHARE`.
    """

    zone_ms: float = 1.0
    region_ms: float = 16.0
    region_ms_per_kb: float = 1.5
    copy_ms_per_gb: float = 10.0
    failure_ms: float = 1500.0
    mixed_read_factor: float = 2.0
    stall_share: float = 1.5
    reread_ms_per_k: float = 20.0
    not_preferred_ms: float = 40.0
    other_region_ms: float = 150.0
    fitting_reread_share: float = 0.3
    full_ms: float = 150.0
    memory_ms: float = 400.0


# Copies between zones and between regions take this many times as long as within a zone. Those
# between regions are charged three times as much.
ZONE_COPY_FACTOR = 2.0
REGION_COPY_FACTOR = 10.0
REGION_COPY_PRICE_FACTOR = 3.0
# Above this share of an engine's memory, its newest streams may be preempted.
SAFE_MEMORY_SHARE = 0.8


class Location(NamedTuple):
    """An availability zone and its region, used for distances."""

    zone: str
    region: str


@lru_cache(maxsize=1024)
def location_of(zone: str, region: str) -> Location:
    """Return the location for an availability zone and its region."""
    return Location(zone, region)


class Candidate(NamedTuple):
    """A backend server that may get a request.

    `cached_tokens` is the length of the prompt's prefix that is expected to be cached
    there. `is_preferred` tells whether all hosts prefer it for a prefix that no engine has
    cached. `read_ms` is its time per prompt token, `plain_ms` per plain request.
    """

    back_end: ListedBackEnd
    region: str
    work: Work
    failure_share: float = 0.0
    cached_tokens: int = 0
    read_ms: float = 0.0
    plain_ms: float = 0.0
    is_preferred: bool = False

    @property
    def name(self) -> str:
        return self.back_end.name

    @property
    def location(self) -> Location:
        return location_of(self.back_end.zone, self.region)

    def with_work(self, work: Work) -> "Candidate":
        """Return a copy with other work. This takes a third of the time of `_replace`."""
        return Candidate(*self[:2], work, *self[3:])

    @property
    def can_generate(self) -> bool:
        """Whether it has a slot for one more generating request."""
        back_end = self.back_end
        return back_end.role is not Role.PREFILL and self.work.streams < max(1, back_end.slots)


class EnginePlan(NamedTuple):
    """The engines of a request: one that reads the prompt, if any, and one that generates.

    `read_tokens` is the number of prompt tokens that must be read. `first_token_ms` is the expected
    time to the first token, `cost_ms` the cost by which plans are compared.
    """

    reader: Candidate | None
    generator: Candidate
    read_tokens: int
    first_token_ms: float
    cost_ms: float


class EngineCost(NamedTuple):
    """The contribution of one engine of a plan to time and cost."""

    candidate: Candidate
    location: Location
    read_tokens: int
    first_token_ms: float
    cost_ms: float


def cheapest_per_location(engine_costs: Iterable[EngineCost]) -> list[EngineCost]:
    """Return the cheapest engine of each location."""
    best: dict[Location, EngineCost] = {}
    for engine_cost in engine_costs:
        known = best.get(engine_cost.location)
        if known is None or engine_cost.cost_ms < known.cost_ms:
            best[engine_cost.location] = engine_cost
    return list(best.values())


def distance_ms(source: Location, target: Location, costs: PlacementCosts) -> float:
    """Return the cost of the distance between two locations, without that of the volume."""
    if source.region != target.region:
        return costs.region_ms
    return 0.0 if source.zone == target.zone else costs.zone_ms


def volume_ms(source: Location, target: Location, size: int, costs: PlacementCosts) -> float:
    """Return the cost of sending `size` bytes between two locations."""
    return size / 1000 * costs.region_ms_per_kb if source.region != target.region else 0.0


def copy_time_ms(source: Location, target: Location, size: float, link_bytes_per_s: float) -> float:
    """Return the milliseconds that engines need to copy `size` bytes of KV memory."""
    factor = 1.0
    if source.region != target.region:
        factor = REGION_COPY_FACTOR
    elif source.zone != target.zone:
        factor = ZONE_COPY_FACTOR
    return 1000 * factor * size / max(1.0, link_bytes_per_s)


class _CopyCost(NamedTuple):
    """The time to copy the KV memory of a prompt, and the charge for it as a cost."""

    ms: float
    charge_ms: float


# Example locations for each distance of a copy.
_DISTANCES = (
    ("none", Location("a", "x"), Location("a", "x")),
    ("zone", Location("a", "x"), Location("b", "x")),
    ("region", Location("a", "x"), Location("b", "y")),
)


def _distance(source: Location, target: Location) -> str:
    if source == target:
        return "none"
    return "zone" if source.region == target.region else "region"


class _NetworkCost(NamedTuple):
    """The time and cost to reach a location from the host, and the cost of leaving the region."""

    ms: float
    cost_ms: float
    other_region_ms: float


class CostModel:
    """The costs of one prompt at each engine.

    Costs that depend on locations only are computed once.
    """

    def __init__(
        self,
        own_location: Location,
        costs: PlacementCosts,
        prompt: Prompt,
        body_bytes: int,
        traits: EngineTraits,
        prefixes_fit: bool,
    ) -> None:
        self._own_location = own_location
        self._costs = costs
        self._input_tokens = prompt.input_tokens
        self._unshared_tokens = prompt.input_tokens - sum(part.tokens for part in prompt.shared)
        self._body_bytes = body_bytes
        self._kv_tokens = max(1, traits.kv_tokens)
        size = prompt.input_tokens * traits.kv_token_bytes
        charge_ms = size / BYTES_PER_GB * costs.copy_ms_per_gb
        self._copy_costs = {
            distance: _CopyCost(
                copy_time_ms(source, target, size, traits.link_bytes_per_s),
                charge_ms * (REGION_COPY_PRICE_FACTOR if distance == "region" else 1.0),
            )
            for distance, source, target in _DISTANCES
        }
        self._prefixes_fit = prefixes_fit
        self._network_costs: dict[Location, _NetworkCost] = {}

    def single_engine_plan(self, generator: Candidate, generator_cost: EngineCost) -> EnginePlan:
        """Return the plan in which one engine reads the prompt and generates."""
        costs, work = self._costs, generator.work
        other_region_ms = self._network_cost(generator_cost.location).other_region_ms
        unread_tokens = max(0, self._input_tokens - generator.cached_tokens)
        token_ms = generator.read_ms * costs.mixed_read_factor
        reading_ms = unread_tokens * token_ms
        queue_ms = work.reading_tokens * token_ms
        # `_reread_cost_ms` already contains the cost of another region.
        cost = (
            generator_cost.cost_ms
            - other_region_ms
            + queue_ms
            + reading_ms * (1 + work.streams * costs.stall_share)
            + self._reread_cost_ms(unread_tokens, other_region_ms)
        )
        return EnginePlan(
            None,
            generator,
            unread_tokens,
            generator_cost.first_token_ms + queue_ms + reading_ms,
            cost,
        )

    def reader_cost(self, reader: Candidate) -> EngineCost:
        """Return the cost of reading the prompt at an engine, without the copy from there."""
        costs, location = self._costs, reader.location
        network_cost = self._network_cost(location)
        unread_tokens = max(0, self._input_tokens - reader.cached_tokens)
        read_ms = (reader.work.reading_tokens + unread_tokens) * reader.read_ms
        cost = (
            network_cost.cost_ms
            + read_ms
            + reader.failure_share * costs.failure_ms
            + self._reread_cost_ms(unread_tokens, network_cost.other_region_ms)
            + (
                0.0
                if reader.is_preferred or unread_tokens < self._input_tokens
                else costs.not_preferred_ms
            )
        )
        return EngineCost(reader, location, unread_tokens, network_cost.ms + read_ms, cost)

    def generator_cost(self, generator: Candidate) -> EngineCost:
        """Return the cost of generating at an engine that does not read the prompt."""
        location = generator.location
        network_cost = self._network_cost(location)
        cost = (
            network_cost.cost_ms
            + network_cost.other_region_ms
            + self._generation_cost_ms(generator)
        )
        return EngineCost(generator, location, 0, network_cost.ms, cost)

    def best_pair_plan(
        self, readers: Iterable[EngineCost], generators: Sequence[EngineCost]
    ) -> EnginePlan | None:
        """Return the cheapest plan of two engines, including the copy between them, or None."""
        best: tuple[float, EngineCost, EngineCost] | None = None
        for reader in readers:
            for generator in generators:
                copy_cost = self._copy_costs[_distance(reader.location, generator.location)]
                cost = reader.cost_ms + generator.cost_ms + copy_cost.ms + copy_cost.charge_ms
                if best is None or cost < best[0]:
                    best = (cost, reader, generator)
        if best is None:
            return None
        cost, reader, generator = best
        copy_plan = self.copy_plan(reader.location, generator)
        first_token_ms = reader.first_token_ms + copy_plan.first_token_ms
        return EnginePlan(
            reader.candidate, copy_plan.generator, reader.read_tokens, first_token_ms, cost
        )

    def copy_plan(self, source: Location, generator: EngineCost) -> EnginePlan:
        """Return the plan of an engine that takes a copy of the prompt from another location."""
        copy_cost = self._copy_costs[_distance(source, generator.location)]
        first_token_ms = generator.first_token_ms + copy_cost.ms
        cost_ms = generator.cost_ms + copy_cost.ms + copy_cost.charge_ms
        return EnginePlan(None, generator.candidate, 0, first_token_ms, cost_ms)

    def _network_cost(self, location: Location) -> _NetworkCost:
        network_cost = self._network_costs.get(location)
        if network_cost is None:
            ms = distance_ms(self._own_location, location, self._costs)
            cost_ms = ms + volume_ms(self._own_location, location, self._body_bytes, self._costs)
            is_other_region = self._prefixes_fit and location.region != self._own_location.region
            network_cost = self._network_costs[location] = _NetworkCost(
                ms, cost_ms, self._costs.other_region_ms if is_other_region else 0.0
            )
        return network_cost

    def _reread_cost_ms(self, unread_tokens: int, other_region_ms: float) -> float:
        """Return the cost of reading shared parts again, including that of another region."""
        reread_ms = (
            max(0, unread_tokens - self._unshared_tokens) / 1000 * self._costs.reread_ms_per_k
        )
        if not self._prefixes_fit:
            return reread_ms
        return (
            reread_ms + other_region_ms
            if other_region_ms
            else reread_ms * self._costs.fitting_reread_share
        )

    def _generation_cost_ms(self, generator: Candidate) -> float:
        costs, work = self._costs, generator.work
        memory = (work.kv_tokens + self._input_tokens) / self._kv_tokens
        return (
            costs.full_ms * (work.streams + 1) / max(1, generator.back_end.slots)
            + costs.memory_ms * max(0.0, memory - SAFE_MEMORY_SHARE)
            + generator.failure_share * costs.failure_ms
        )
