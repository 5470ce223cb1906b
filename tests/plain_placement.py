"""The relay's placement in the plain way, which the product's is compared with.

It weighs all engines for each try and makes all figures anew. Kept as it was; the choices of the
product must be the same.
"""

from typing import NamedTuple

from relay_fleet import Host

from laburnumreel.relay._assigner import Assigner
from laburnumreel.relay._back_ends import Role
from laburnumreel.relay._beliefs import FleetBeliefs
from laburnumreel.relay._placement import (
    GENERATOR_QUEUE_SHARE,
    QUEUE_SHARE,
    REREAD_QUEUE_SHARE,
)
from laburnumreel.relay._refusals import Refusals
from laburnumreel.relay._standings import KEPT_S, Standings
from laburnumreel.relay._weighing import (
    SAFE_MEMORY_SHARE,
    Candidate,
    EnginePlan,
    PlacementCosts,
    Weighing,
    _distance,
)
from laburnumreel.relay._work import (
    LONGEST_NEWS_S,
    NEWS_TIMES,
    NO_WORK,
    PEER_NEWS_S,
    WorkLedger,
    _change,
    _Told,
)


class Half(NamedTuple):
    candidate: Candidate
    read_tokens: int
    first_ms: float
    cost_ms: float


def best_of_places(halves):
    best = {}
    for half in halves:
        known = best.get(half.candidate.place)
        if known is None or half.cost_ms < known.cost_ms:
            best[half.candidate.place] = half
    return list(best.values())


class PlainWeighing(Weighing):
    def alone(self, generator, running):
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

    def reading(self, reader):
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
        return Half(reader, unread, way.ms + read_ms, cost)

    def running(self, generator):
        way = self._way(generator.place)
        cost = way.cost_ms + way.away_ms + self._generating(generator)
        return Half(generator, 0, way.ms, cost)

    def joined(self, readers, generators):
        best = None
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

    def taking(self, source, generator):
        copy = self._copies[_distance(source, generator.candidate.place)]
        first_ms = generator.first_ms + copy.ms
        cost_ms = generator.cost_ms + copy.ms + copy.price_ms
        return EnginePlan(None, generator.candidate, 0, first_ms, cost_ms)

    def _rereading(self, unread, reader):
        again = max(0, unread - self._own_tokens) / 1000 * self._costs.reread_ms_per_k
        if not self._settled:
            return again
        away_ms = self._way(reader.place).away_ms
        return again + away_ms if away_ms else again * self._costs.settled_reread_share

    def _generating(self, generator):
        costs, work = self._costs, generator.work
        memory = (work.kv_tokens + self._tokens) / self._kv_tokens
        return (
            costs.full_ms * (work.streams + 1) / max(1, generator.back_end.slots)
            + costs.memory_ms * max(0.0, memory - SAFE_MEMORY_SHARE)
            + generator.failure_share * costs.failure_ms
        )


class PlainQueues:
    def __init__(
        self,
        prompt,
        candidates,
        objective_ms,
        costs,
        contended,
    ):
        self._prompt = prompt
        self._objective_ms = objective_ms
        self._contended = contended
        self._costs = costs
        self._kept = max((each.kept_tokens for each in candidates), default=0)
        self._others_read = any(each.back_end.role is Role.PREFILL for each in candidates)

    def has_room(self, engine):
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


class PlainPlacement:
    def __init__(self, here, costs=None):
        self._here = here
        self._costs = costs or PlacementCosts()

    def choose(
        self,
        prompt,
        body_bytes,
        traits,
        candidates,
        read_apart=True,
        copied_in=None,
        settled=False,
        queues=None,
    ):
        weighing = PlainWeighing(self._here, self._costs, prompt, body_bytes, traits, settled)
        running = [
            weighing.running(each)
            for each in candidates
            if each.back_end.role is not Role.PREFILL
            and each.work.streams < max(1, each.back_end.slots)
        ]
        if copied_in is not None:
            plans = [weighing.taking(copied_in, each) for each in best_of_places(running)]
            return min(plans, key=lambda plan: plan.cost_ms, default=None)
        plans = [weighing.alone(each.candidate, each) for each in running]
        if read_apart:
            # What joins two engines depends on their places only, so the best one of each place
            # stands for the others.
            reading = [
                weighing.reading(each) for each in candidates if each.back_end.role is Role.PREFILL
            ]
            joined = weighing.joined(best_of_places(reading), best_of_places(running))
            plans += [joined] if joined is not None else []
        plan = min(plans, key=lambda plan: plan.cost_ms, default=None)
        if plan is None or queues is None or queues.has_room(plan.reader or plan.generator):
            return plan
        # Any other way costs more than to wait for this one.
        return None


class PlainLedger(WorkLedger):
    def peer(self, sender, work, now):
        gap_s = now - self._heard_at.get(sender, now)
        lasts_s = min(LONGEST_NEWS_S, max(PEER_NEWS_S, NEWS_TIMES * gap_s))
        told = self._peers.get(sender)
        before = told.work if told is not None else {}
        self._heard_at[sender] = now
        self._peers[sender] = _Told(now, now + lasts_s, work)
        self._next_end = min(self._next_end, now + lasts_s)
        # Most of what a peer tells is what it told before.
        for back_end in {**before, **work}:
            was, is_now = before.get(back_end, NO_WORK), work.get(back_end, NO_WORK)
            if was != is_now:
                _change(self._of_peers, back_end, is_now.times_added(was, -1), 1)
                self._changed.add(back_end)

    def oldest_news_s(self, now):
        self._forget_old(now)
        return now - min((told.heard_at for told in self._peers.values()), default=now)


class PlainStandings(Standings):
    def of(self, service, now):
        worked = self._ledger.take_changed(now)
        for _, candidates in self._kept.values():
            for name in worked & candidates.keys():
                work = self._ledger.total(name, now)
                candidates[name] = candidates[name]._replace(work=work)
        kept = self._kept.get(service)
        if kept is None or not kept[0] <= now < kept[0] + KEPT_S:
            kept = self._kept[service] = (now, self._build(service, now))
            self._name(service, kept[1])
        return kept[1]


class PlainBeliefs(FleetBeliefs):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.ledger = PlainLedger()
        self._standings = PlainStandings(self._standing, self.ledger)

    def candidates(self, order, now):
        standing = self._standings.of(order.service, now)
        excluded = order.excluded | self.limits.closed(order.service, now)
        if order.prompt is None:
            return [each for name, each in standing.items() if name not in excluded]
        usable = {name: each for name, each in standing.items() if name not in excluded}
        for name, tokens in self._prompts.kept(usable, order.prompt, now):
            usable[name] = usable[name]._replace(kept_tokens=tokens)
        if order.prompt.shared:
            start = order.prompt.shared[-1].name
            for home in self._standings.homes(order.service, start, excluded):
                usable[home] = usable[home]._replace(home=True)
        return list(usable.values())

    def _standing(self, service, now):
        return {
            back_end.name: Candidate(
                back_end,
                self.place(back_end.zone).region,
                self.ledger.total(back_end.name, now),
                self._conduct.failure_share(back_end.name, now),
                read_ms=self._conduct.read_ms(back_end.name, now),
                plain_ms=self._conduct.plain_ms(back_end.name, now),
            )
            for back_end in self._back_ends.usable(service, now)
            if self._self_reports.takes_work(back_end, now)
            and back_end.name not in self._gone_heard
            and not self._conduct.resting(back_end.name, now)
        }


class PlainAssigner(Assigner):
    def __init__(self, here, beliefs, refusals, costs):
        super().__init__(here, beliefs, refusals, costs)
        self._engines = PlainPlacement(here, costs)

    def _engine_plan(self, order, traits, candidates, contended, now):
        settled = self._beliefs.settled(traits, candidates, now)
        return self._engines.choose(
            order.prompt,
            order.body_bytes,
            traits,
            candidates,
            order.read_apart,
            self._beliefs.place(order.copied_in) if order.copied_in else None,
            settled,
            PlainQueues(
                order.prompt,
                candidates,
                1000 * order.waiting.objective_s,
                self._costs,
                contended,
            ),
        )


class PlainHost(Host):
    """A host of a replay that decides in the plain way."""

    def __init__(self, clock, here, regions, retry, return_grace_s, rng, costs=None, host=""):
        super().__init__(clock, here, regions, retry, return_grace_s, rng, costs, host)
        self._beliefs = PlainBeliefs(
            here, regions, return_grace_s, host, self._repeats.requests_per_s
        )
        self._refusals = Refusals(self._beliefs, rng)
        self._assigner = PlainAssigner(
            here, self._beliefs, self._refusals, costs or PlacementCosts()
        )
