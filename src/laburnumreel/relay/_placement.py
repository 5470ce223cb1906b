"""The choice of backend servers: each plan has a cost in milliseconds, and the cheapest wins.

The costs account for these loads:

- Prompts share long prefixes. Reading a prompt costs several times as much at an engine that does
  not have its prefix cached.
- When the load shifts from long answers to long prompts, reading at engines that generate stalls
  their streams.
- In a burst, a cached prefix is not worth a long queue.
- Backend servers become slow or fail a share of their requests.
"""

import hashlib
from collections.abc import Iterable, Sequence
from functools import lru_cache

from laburnumreel.relay._back_ends import Role
from laburnumreel.relay._config import EngineTraits
from laburnumreel.relay._cost_model import (
    Candidate,
    CostModel,
    EnginePlan,
    Location,
    PlacementCosts,
    cheapest_per_location,
    distance_ms,
    volume_ms,
)
from laburnumreel.relay._requests import Prompt

# Maximum prompt queue of a prefill engine, as a share of the objective for the first byte.
# Further requests wait at the hosts, where they can still be ordered, refused, or sent to another
# engine.
QUEUE_SHARE = 0.8
# The same for prompts whose prefix is cached at another engine, or the time to read the prompt
# itself if that is longer. A slot that becomes free while many requests wait goes to a prompt whose
# prefix is cached there, as it needs only a fraction of the reading.
REREAD_QUEUE_SHARE = 0.1
# If there are prefill engines, a decode engine gets a prompt only if its queue is shorter than this
# share of the time to read the prompt, because its streams and incoming copies wait meanwhile.
GENERATOR_QUEUE_SHARE = 0.25


def choose_plain(
    candidates: Sequence[Candidate], own_location: Location, body_bytes: int, costs: PlacementCosts
) -> Candidate | None:
    """Return the backend server of a plain request, or None if all slots are taken.

    >>> from laburnumreel.relay._back_ends import ListedBackEnd
    >>> from laburnumreel.relay._work import Work
    >>> listed = ListedBackEnd("b1", "orders", ("10.0.0.1", 80), "z", slots=1)
    >>> free = Candidate(listed, "r", Work(), plain_ms=50.0)
    >>> choose_plain([free], Location("z", "r"), 100, PlacementCosts()).name
    'b1'
    >>> choose_plain([free._replace(work=Work(requests=1))], Location("z", "r"), 100, PlacementCosts())
    """

    def cost(candidate: Candidate) -> float:
        back_end_location = candidate.location
        return (
            candidate.plain_ms * (1 + candidate.work.requests / max(1, candidate.back_end.slots))
            + candidate.failure_share * costs.failure_ms
            + distance_ms(own_location, back_end_location, costs)
            + volume_ms(own_location, back_end_location, body_bytes, costs)
        )

    free = [each for each in candidates if each.work.requests < max(1, each.back_end.slots)]
    return min(free, key=cost, default=None)


class QueueLimits:
    """Decides which engines have room in their prompt queue for one more prompt.

    In a burst above the capacity of the engines, unlimited queues would make all queued prompts
    late.
    """

    def __init__(
        self,
        prompt: Prompt,
        candidates: Sequence[Candidate],
        objective_ms: float,
        costs: PlacementCosts,
        is_contended: bool,
    ) -> None:
        self._prompt = prompt
        self._objective_ms = objective_ms
        self._is_contended = is_contended
        self._costs = costs
        self._max_cached_tokens = max((each.cached_tokens for each in candidates), default=0)
        self._has_readers = any(each.back_end.role is Role.PREFILL for each in candidates)

    def any_has_room(self, engines: Iterable[Candidate]) -> bool:
        """Return whether any of the engines has room."""
        return any(self.has_room(each) for each in engines)

    def has_room(self, engine: Candidate) -> bool:
        """Return whether an engine's prompt queue is short enough for this prompt."""
        reads_only = engine.back_end.role is Role.PREFILL
        token_ms = engine.read_ms * (1.0 if reads_only else self._costs.mixed_read_factor)
        queue_ms = engine.work.reading_tokens * token_ms
        if not self._is_contended:
            can_leave_to_reader = self._has_readers and not reads_only
            return can_leave_to_reader or queue_ms <= QUEUE_SHARE * self._objective_ms
        own_ms = max(0, self._prompt.input_tokens - engine.cached_tokens) * token_ms
        if self._has_readers and not reads_only:
            return queue_ms <= GENERATOR_QUEUE_SHARE * own_ms
        if engine.cached_tokens >= self._max_cached_tokens and (
            self._max_cached_tokens > 0 or engine.is_preferred
        ):
            return queue_ms <= QUEUE_SHARE * self._objective_ms
        return queue_ms <= max(REREAD_QUEUE_SHARE * self._objective_ms, own_ms)


class EnginePlacement:
    """Chooses the engines for a request to a model service."""

    def __init__(self, own_location: Location, costs: PlacementCosts | None = None) -> None:
        self._own_location = own_location
        self._costs = costs or PlacementCosts()

    def choose(
        self,
        prompt: Prompt,
        body_bytes: int,
        traits: EngineTraits,
        candidates: Sequence[Candidate],
        can_use_reader: bool = True,
        copy_location: Location | None = None,
        prefixes_fit: bool = False,
        queue_limits: QueueLimits | None = None,
    ) -> EnginePlan | None:
        """Return the plan with the lowest cost, or None if no engine has room for it.

        `can_use_reader` is False for a request whose prompt may not be read by a separate
        engine, because that would exceed its allowed number of backend servers.
        `copy_location` is the location of the engine that has already read the prompt and
        keeps a copy of it. `prefixes_fit` tells whether the engines of this region can
        cache all prompt prefixes. `queue_limits`, if given, decides which engines have room
        for the prompt.
        """
        generators = [each for each in candidates if each.can_generate]
        readers = [each for each in candidates if each.back_end.role is Role.PREFILL]
        if not generators:
            return None
        # One of these engines would read the prompt. Check for room before the costly comparison.
        reading_engines = generators + readers if can_use_reader else generators
        if (
            copy_location is None
            and queue_limits is not None
            and not queue_limits.any_has_room(reading_engines)
        ):
            return None
        cost_model = CostModel(
            self._own_location, self._costs, prompt, body_bytes, traits, prefixes_fit
        )
        generator_costs = [cost_model.generator_cost(each) for each in generators]
        if copy_location is not None:
            plans = [
                cost_model.copy_plan(copy_location, each)
                for each in cheapest_per_location(generator_costs)
            ]
            return min(plans, key=lambda plan: plan.cost_ms, default=None)
        plans = [cost_model.single_engine_plan(each.candidate, each) for each in generator_costs]
        if can_use_reader:
            # The cost of combining two engines depends on their locations only, so it is enough to
            # compare the cheapest one of each location.
            reader_costs = [cost_model.reader_cost(each) for each in readers]
            pair_plan = cost_model.best_pair_plan(
                cheapest_per_location(reader_costs), cheapest_per_location(generator_costs)
            )
            plans += [pair_plan] if pair_plan is not None else []
        plan = min(plans, key=lambda plan: plan.cost_ms, default=None)
        if (
            plan is None
            or queue_limits is None
            or queue_limits.has_room(plan.reader or plan.generator)
        ):
            return plan
        # Any other plan costs more than waiting for this one.
        return None


def preferred_engine(part: str, back_ends: Iterable[str]) -> str | None:
    """Return the preferred backend server for a prompt part, the same one on every host.

    Uses rendezvous hashing: when a backend server is added or removed, only the parts that it gets
    or had are moved.
    """
    return max(back_ends, key=lambda name: _rendezvous_hash(part, name), default=None)


@lru_cache(maxsize=65536)
def _rendezvous_hash(part: str, back_end: str) -> bytes:
    return hashlib.blake2b(f"{part} {back_end}".encode(), digest_size=8).digest()
