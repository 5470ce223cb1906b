"""Reference implementation of the relay's placement.

It evaluates all engines and recomputes all figures for each attempt. The optimized implementation
must make the same choices, so this one is not to be changed.
"""

from typing import NamedTuple

from relay_fleet import Host

from laburnumreel.relay._assigner import Assigner
from laburnumreel.relay._back_ends import Role
from laburnumreel.relay._candidate_cache import MAX_AGE_S, CandidateCache
from laburnumreel.relay._cost_model import (
    SAFE_MEMORY_SHARE,
    Candidate,
    CostModel,
    EnginePlan,
    PlacementCosts,
    _distance,
)
from laburnumreel.relay._fleet_state import FleetState
from laburnumreel.relay._placement import (
    GENERATOR_QUEUE_SHARE,
    QUEUE_SHARE,
    REREAD_QUEUE_SHARE,
)
from laburnumreel.relay._refusals import RefusalFactory
from laburnumreel.relay._work import (
    MAX_PEER_WORK_S,
    MIN_PEER_WORK_S,
    NO_WORK,
    PEER_WORK_INTERVALS,
    WorkLedger,
    _add_times,
    _PeerWork,
)


class EngineCost(NamedTuple):
    candidate: Candidate
    read_tokens: int
    first_token_ms: float
    cost_ms: float


def cheapest_per_location(engine_costs):
    best = {}
    for engine_cost in engine_costs:
        known = best.get(engine_cost.candidate.location)
        if known is None or engine_cost.cost_ms < known.cost_ms:
            best[engine_cost.candidate.location] = engine_cost
    return list(best.values())


class ReferenceCostModel(CostModel):
    def single_engine_plan(self, generator, generator_cost):
        costs, work = self._costs, generator.work
        unread_tokens = max(0, self._input_tokens - generator.cached_tokens)
        token_ms = generator.read_ms * costs.mixed_read_factor
        reading_ms = unread_tokens * token_ms
        queue_ms = work.reading_tokens * token_ms
        # `_reread_cost_ms` already contains the cost of another region.
        cost = (
            generator_cost.cost_ms
            - self._network_cost(generator.location).other_region_ms
            + queue_ms
            + reading_ms * (1 + work.streams * costs.stall_share)
            + self._reread_cost_ms(unread_tokens, generator)
        )
        return EnginePlan(
            None,
            generator,
            unread_tokens,
            generator_cost.first_token_ms + queue_ms + reading_ms,
            cost,
        )

    def reader_cost(self, reader):
        costs, network_cost = self._costs, self._network_cost(reader.location)
        unread_tokens = max(0, self._input_tokens - reader.cached_tokens)
        read_ms = (reader.work.reading_tokens + unread_tokens) * reader.read_ms
        cost = (
            network_cost.cost_ms
            + read_ms
            + reader.failure_share * costs.failure_ms
            + self._reread_cost_ms(unread_tokens, reader)
            + (
                0.0
                if reader.is_preferred or unread_tokens < self._input_tokens
                else costs.not_preferred_ms
            )
        )
        return EngineCost(reader, unread_tokens, network_cost.ms + read_ms, cost)

    def generator_cost(self, generator):
        network_cost = self._network_cost(generator.location)
        cost = (
            network_cost.cost_ms
            + network_cost.other_region_ms
            + self._generation_cost_ms(generator)
        )
        return EngineCost(generator, 0, network_cost.ms, cost)

    def best_pair_plan(self, readers, generators):
        best = None
        for reader in readers:
            location = reader.candidate.location
            for generator in generators:
                copy_cost = self._copy_costs[_distance(location, generator.candidate.location)]
                cost = reader.cost_ms + generator.cost_ms + copy_cost.ms + copy_cost.charge_ms
                if best is None or cost < best[0]:
                    best = (cost, reader, generator)
        if best is None:
            return None
        cost, reader, generator = best
        copy_plan = self.copy_plan(reader.candidate.location, generator)
        first_token_ms = reader.first_token_ms + copy_plan.first_token_ms
        return EnginePlan(
            reader.candidate, copy_plan.generator, reader.read_tokens, first_token_ms, cost
        )

    def copy_plan(self, source, generator):
        copy_cost = self._copy_costs[_distance(source, generator.candidate.location)]
        first_token_ms = generator.first_token_ms + copy_cost.ms
        cost_ms = generator.cost_ms + copy_cost.ms + copy_cost.charge_ms
        return EnginePlan(None, generator.candidate, 0, first_token_ms, cost_ms)

    def _reread_cost_ms(self, unread_tokens, reader):
        reread_ms = (
            max(0, unread_tokens - self._unshared_tokens) / 1000 * self._costs.reread_ms_per_k
        )
        if not self._prefixes_fit:
            return reread_ms
        other_region_ms = self._network_cost(reader.location).other_region_ms
        return (
            reread_ms + other_region_ms
            if other_region_ms
            else reread_ms * self._costs.fitting_reread_share
        )

    def _generation_cost_ms(self, generator):
        costs, work = self._costs, generator.work
        memory = (work.kv_tokens + self._input_tokens) / self._kv_tokens
        return (
            costs.full_ms * (work.streams + 1) / max(1, generator.back_end.slots)
            + costs.memory_ms * max(0.0, memory - SAFE_MEMORY_SHARE)
            + generator.failure_share * costs.failure_ms
        )


class ReferenceQueueLimits:
    def __init__(
        self,
        prompt,
        candidates,
        objective_ms,
        costs,
        is_contended,
    ):
        self._prompt = prompt
        self._objective_ms = objective_ms
        self._is_contended = is_contended
        self._costs = costs
        self._max_cached_tokens = max((each.cached_tokens for each in candidates), default=0)
        self._has_readers = any(each.back_end.role is Role.PREFILL for each in candidates)

    def has_room(self, engine):
        reads_only = engine.back_end.role is Role.PREFILL
        token_ms = engine.read_ms * (1.0 if reads_only else self._costs.mixed_read_factor)
        queue_ms = engine.work.reading_tokens * token_ms
        own_ms = max(0, self._prompt.input_tokens - engine.cached_tokens) * token_ms
        if self._has_readers and not reads_only:
            return not self._is_contended or queue_ms <= GENERATOR_QUEUE_SHARE * own_ms
        if not self._is_contended:
            return queue_ms <= QUEUE_SHARE * self._objective_ms
        if engine.cached_tokens >= self._max_cached_tokens and (
            self._max_cached_tokens > 0 or engine.is_preferred
        ):
            return queue_ms <= QUEUE_SHARE * self._objective_ms
        return queue_ms <= max(REREAD_QUEUE_SHARE * self._objective_ms, own_ms)


class ReferencePlacement:
    def __init__(self, own_location, costs=None):
        self._own_location = own_location
        self._costs = costs or PlacementCosts()

    def choose(
        self,
        prompt,
        body_bytes,
        traits,
        candidates,
        can_use_reader=True,
        copy_location=None,
        prefixes_fit=False,
        queue_limits=None,
    ):
        cost_model = ReferenceCostModel(
            self._own_location, self._costs, prompt, body_bytes, traits, prefixes_fit
        )
        generator_costs = [
            cost_model.generator_cost(each)
            for each in candidates
            if each.back_end.role is not Role.PREFILL
            and each.work.streams < max(1, each.back_end.slots)
        ]
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
            reader_costs = [
                cost_model.reader_cost(each)
                for each in candidates
                if each.back_end.role is Role.PREFILL
            ]
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


class ReferenceLedger(WorkLedger):
    def set_peer_work(self, sender, work, now):
        interval_s = now - self._received_at.get(sender, now)
        lifetime_s = min(MAX_PEER_WORK_S, max(MIN_PEER_WORK_S, PEER_WORK_INTERVALS * interval_s))
        peer_work = self._peers.get(sender)
        previous = peer_work.work if peer_work is not None else {}
        self._received_at[sender] = now
        self._peers[sender] = _PeerWork(now, now + lifetime_s, work)
        self._next_expiry = min(self._next_expiry, now + lifetime_s)
        # Most of the reported work has not changed since the previous update.
        for back_end in {**previous, **work}:
            old_work, new_work = previous.get(back_end, NO_WORK), work.get(back_end, NO_WORK)
            if old_work != new_work:
                _add_times(self._peer_totals, back_end, new_work.plus_times(old_work, -1), 1)
                self._changed.add(back_end)

    def oldest_update_s(self, now):
        self._forget_old(now)
        return now - min((peer_work.received_at for peer_work in self._peers.values()), default=now)


class ReferenceCandidateCache(CandidateCache):
    def candidates(self, service, now):
        changed_work = self._ledger.take_changed(now)
        for _, candidates in self._cached.values():
            for name in changed_work & candidates.keys():
                work = self._ledger.total(name, now)
                candidates[name] = candidates[name]._replace(work=work)
        cached = self._cached.get(service)
        if cached is None or not cached[0] <= now < cached[0] + MAX_AGE_S:
            cached = self._cached[service] = (now, self._build(service, now))
            self._update_names(service, cached[1])
        return cached[1]


class ReferenceFleetState(FleetState):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.ledger = ReferenceLedger()
        self._candidate_cache = ReferenceCandidateCache(self._build_candidates, self.ledger)

    def candidates(self, request, now):
        available = self._candidate_cache.candidates(request.service, now)
        excluded = request.excluded | self.limits.servers_without_headroom(request.service, now)
        if request.prompt is None:
            return [each for name, each in available.items() if name not in excluded]
        usable = {name: each for name, each in available.items() if name not in excluded}
        for name, tokens in self._prefix_cache.cached_prefixes(usable, request.prompt, now):
            usable[name] = usable[name]._replace(cached_tokens=tokens)
        if request.prompt.shared:
            prefix = request.prompt.shared[-1].name
            for engine_name in self._candidate_cache.preferred_engines(
                request.service, prefix, excluded
            ):
                usable[engine_name] = usable[engine_name]._replace(is_preferred=True)
        return list(usable.values())

    def _build_candidates(self, service, now):
        return {
            back_end.name: Candidate(
                back_end,
                self.location(back_end.zone).region,
                self.ledger.total(back_end.name, now),
                self._health.failure_share(back_end.name, now),
                read_ms=self._health.read_ms(back_end.name, now),
                plain_ms=self._health.plain_ms(back_end.name, now),
            )
            for back_end in self._back_ends.usable(service, now)
            if self._self_reports.accepts_work(back_end, now)
            and back_end.name not in self._peer_removed_until
            and not self._health.is_in_backoff(back_end.name, now)
        }


class ReferenceAssigner(Assigner):
    def __init__(self, own_location, fleet_state, refusals, costs):
        super().__init__(own_location, fleet_state, refusals, costs)
        self._engine_placement = ReferencePlacement(own_location, costs)

    def _engine_plan(self, request, traits, candidates, is_contended, now):
        prefixes_fit = self._fleet_state.prefixes_fit(traits, candidates, now)
        return self._engine_placement.choose(
            request.prompt,
            request.body_bytes,
            traits,
            candidates,
            request.can_use_reader,
            self._fleet_state.location(request.copy_zone) if request.copy_zone else None,
            prefixes_fit,
            ReferenceQueueLimits(
                request.prompt,
                candidates,
                1000 * request.waiting.objective_s,
                self._costs,
                is_contended,
            ),
        )


class ReferenceHost(Host):
    """A simulated host that uses the reference implementation."""

    def __init__(
        self, clock, own_location, regions, retry, return_grace_s, rng, costs=None, host=""
    ):
        super().__init__(clock, own_location, regions, retry, return_grace_s, rng, costs, host)
        self._fleet_state = ReferenceFleetState(
            own_location, regions, return_grace_s, host, self._retry_budget.requests_per_s
        )
        self._refusals = RefusalFactory(self._fleet_state, rng)
        self._assigner = ReferenceAssigner(
            own_location, self._fleet_state, self._refusals, costs or PlacementCosts()
        )
