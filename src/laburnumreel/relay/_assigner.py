"""Assignment of backend servers to one request, and accounting of the work it causes."""

from collections.abc import Sequence

from laburnumreel.relay._assignments import Assignment, PlacementRequest
from laburnumreel.relay._config import EngineTraits
from laburnumreel.relay._cost_model import Candidate, EnginePlan, Location, PlacementCosts
from laburnumreel.relay._fleet_state import FleetState
from laburnumreel.relay._placement import EnginePlacement, QueueLimits, choose_plain
from laburnumreel.relay._refusals import RefusalFactory
from laburnumreel.relay._work import Work
from laburnumreel.state import Refusal


class Assigner:
    """Assigns backend servers to requests, based on the state of the fleet that this host knows.

    Not thread-safe; owned by the dispatcher.
    """

    def __init__(
        self,
        own_location: Location,
        fleet_state: FleetState,
        refusals: RefusalFactory,
        costs: PlacementCosts,
    ) -> None:
        self._own_location = own_location
        self._fleet_state = fleet_state
        self._refusals = refusals
        self._costs = costs
        self._engine_placement = EnginePlacement(own_location, costs)

    def assign(
        self,
        request: PlacementRequest,
        candidates: Sequence[Candidate],
        is_contended: bool,
        now: float,
    ) -> Assignment | Refusal | None:
        """Return the assignment of a request, its refusal, or None if it should wait.

        `is_contended` tells whether other requests wait for the same engines.
        """
        if not candidates and self._fleet_state.has_usable(request, now):
            return self._refusals.over_limits(request, 0, now)
        had_started = request.waiting.is_started and request.copy_zone is None
        if not candidates and had_started and self._fleet_state.has_listed(request, now):
            # The listed backend servers are only full or in backoff, so the request can wait.
            return None
        if not candidates:
            return self._refusals.no_back_end(request, now)
        update_age_s = self._fleet_state.ledger.oldest_update_s(now)
        if request.prompt is None or request.engine is None:
            chosen = choose_plain(candidates, self._own_location, request.body_bytes, self._costs)
            if chosen is None:
                return None
            work = Work(requests=1)
            self._fleet_state.ledger.add(chosen.name, work)
            return Assignment(
                chosen.back_end,
                work,
                candidates=len(candidates),
                update_age_s=update_age_s,
                is_limited=self._fleet_state.limits.record_send(
                    chosen.back_end, request.waiting.request_id, now
                ),
            )
        plan = self._engine_plan(request, request.engine, candidates, is_contended, now)
        if plan is None:
            return self._refusals.over_limits(request, 0, now)
        lateness_s = now + plan.first_token_ms / 1000 - request.waiting.deadline
        if lateness_s > 0:
            return self._refusals.deadline_missed(plan.first_token_ms, lateness_s)
        return self._assignment(request, plan, len(candidates), update_age_s, now)

    def _engine_plan(
        self,
        request: PlacementRequest,
        traits: EngineTraits,
        candidates: Sequence[Candidate],
        is_contended: bool,
        now: float,
    ) -> EnginePlan | None:
        """Return the engines of a request, or None if it should wait.

        While other requests wait for the same engines, a free slot goes to a prompt whose prefix
        is cached there.
        """
        prefixes_fit = self._fleet_state.prefixes_fit(traits, candidates, now)
        copy_location = self._fleet_state.location(request.copy_zone) if request.copy_zone else None
        queue_limits = QueueLimits(
            request.prompt,
            candidates,
            1000 * request.waiting.objective_s,
            self._costs,
            is_contended,
        )
        return self._engine_placement.choose(
            request.prompt,
            request.body_bytes,
            traits,
            candidates,
            request.can_use_reader,
            copy_location,
            prefixes_fit,
            queue_limits,
        )

    def _assignment(
        self,
        request: PlacementRequest,
        plan: EnginePlan,
        candidates: int,
        update_age_s: float,
        now: float,
    ) -> Assignment:
        prompt = request.prompt
        tokens = prompt.input_tokens + prompt.max_output_tokens
        ledger = self._fleet_state.ledger
        if plan.reader is not None:
            run_work = Work()
            read_work = Work(requests=1, reading_tokens=plan.read_tokens)
            prefill_engine = plan.reader
        else:
            run_work = Work(requests=1, streams=1, kv_tokens=tokens)
            read_work = Work(reading_tokens=plan.read_tokens)
            prefill_engine = plan.generator
            ledger.add(plan.generator.name, run_work)
        ledger.add(prefill_engine.name, read_work)
        self._fleet_state.record_prompt(prefill_engine.name, prompt, now)
        is_limited = self._fleet_state.limits.record_send(
            prefill_engine.back_end, request.waiting.request_id, now
        )
        return Assignment(
            plan.generator.back_end,
            run_work,
            plan.reader.back_end if plan.reader else None,
            read_work,
            plan,
            prefill_engine.work.reading_tokens,
            candidates,
            update_age_s,
            is_limited,
        )
