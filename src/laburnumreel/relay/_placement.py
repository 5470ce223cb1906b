"""The choice of backend servers: one cost in milliseconds for each way, the least wins.

Load patterns that this answers: prompts that share long starts, which cost several times as much
where another engine kept the start; a shift from long answers to long prompts, in which reading at
engines that generate holds up their streams; bursts, in which a kept start is not worth a long
queue; backend servers that turn slow or fail a share of their requests.
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


def choose_plain(
    candidates: Sequence[Candidate], own_location: Location, body_bytes: int, costs: PlacementCosts
) -> Candidate | None:
    """Return the backend server of a plain request, or None if all their places are taken.

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
        is_contended: bool,
    ) -> None:
        self._prompt = prompt
        self._objective_ms = objective_ms
        self._is_contended = is_contended
        self._costs = costs
        self._max_cached_tokens = max((each.cached_tokens for each in candidates), default=0)
        self._has_readers = any(each.back_end.role is Role.PREFILL for each in candidates)

    def any_has_room(self, engines: Iterable[Candidate]) -> bool:
        """Return whether any of some engines has room."""
        return any(self.has_room(each) for each in engines)

    def has_room(self, engine: Candidate) -> bool:
        """Return whether an engine's queue of prompts is short enough for this one."""
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
    """Chooses the engines of a request to a model service."""

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
        """Return the plan with the least cost, or None while no engine has room for it.

        `can_use_reader` is False for a request whose prompt can't be read by an engine of its own any
        more, because that would send it to one backend server too many. A prompt with a copy at an
        engine, `copy_location` its place, was read already. `prefixes_fit` tells that the engines of this
        region can keep all starts of prompts. `queue_limits`, where given, tells which engines have room
        for the prompt.
        """
        generators = [each for each in candidates if each.can_generate]
        readers = [each for each in candidates if each.back_end.role is Role.PREFILL]
        if not generators:
            return None
        # One of these would read the prompt, whatever each costs.
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
            # What joins two engines depends on their places only, so the best one of each place
            # stands for the others.
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
        # Any other way costs more than to wait for this one.
        return None


def preferred_engine(part: str, back_ends: Iterable[str]) -> str | None:
    """Return the backend server that keeps a prompt part, the same one on every host.

    It is the one with the highest hash of the pair, so that a backend server that comes or goes
    only moves the parts that it gets or had.
    """
    return max(back_ends, key=lambda name: _rendezvous_hash(part, name), default=None)


@lru_cache(maxsize=65536)
def _rendezvous_hash(part: str, back_end: str) -> bytes:
    return hashlib.blake2b(f"{part} {back_end}".encode(), digest_size=8).digest()
