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
from laburnumreel.relay._requests import Prompt
from laburnumreel.relay._weighing import (
    Candidate,
    EnginePlan,
    Place,
    PlacementCosts,
    Weighing,
    best_of_places,
    distance_ms,
    volume_ms,
)

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

    def any_has_room(self, engines: Iterable[Candidate]) -> bool:
        """Return whether any of some engines has room."""
        return any(self.has_room(each) for each in engines)

    def has_room(self, engine: Candidate) -> bool:
        """Return whether an engine's queue of prompts is short enough for this one."""
        reads_only = engine.back_end.role is Role.PREFILL
        token_ms = engine.read_ms * (1.0 if reads_only else self._costs.mixed_read_factor)
        queue_ms = engine.work.reading_tokens * token_ms
        if not self._contended:
            free_to_read = self._others_read and not reads_only
            return free_to_read or queue_ms <= QUEUE_SHARE * self._objective_ms
        own_ms = max(0, self._prompt.input_tokens - engine.kept_tokens) * token_ms
        if self._others_read and not reads_only:
            return queue_ms <= GENERATOR_QUEUE_SHARE * own_ms
        if engine.kept_tokens >= self._kept and (self._kept > 0 or engine.home):
            return queue_ms <= QUEUE_SHARE * self._objective_ms
        return queue_ms <= max(REREAD_QUEUE_SHARE * self._objective_ms, own_ms)


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
        generators = [each for each in candidates if each.can_generate]
        readers = [each for each in candidates if each.back_end.role is Role.PREFILL]
        if not generators:
            return None
        # One of these would read the prompt, whatever each costs.
        reading = generators + readers if read_apart else generators
        if copied_in is None and queues is not None and not queues.any_has_room(reading):
            return None
        weighing = Weighing(self._here, self._costs, prompt, body_bytes, traits, settled)
        running = [weighing.running(each) for each in generators]
        if copied_in is not None:
            plans = [weighing.taking(copied_in, each) for each in best_of_places(running)]
            return min(plans, key=lambda plan: plan.cost_ms, default=None)
        plans = [weighing.alone(each.candidate, each) for each in running]
        if read_apart:
            # What joins two engines depends on their places only, so the best one of each place
            # stands for the others.
            halves = [weighing.reading(each) for each in readers]
            joined = weighing.joined(best_of_places(halves), best_of_places(running))
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
