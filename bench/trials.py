"""Alternatives to the present routing: precedence levels, weighted random, cost of failures."""

import random
from collections.abc import Sequence
from typing import Any

from bench._fake import GATEWAYS, Chooser, Cluster, FakeGateway, OpenGate, cost_router, drive
from bench._report import Report, Table, average_rows
from bench._traffic import QUETZAL, SEITKALI, Deployment
from bench.routing import RUN_S, figures, traffic
from laburnumreel.coordination import BackEnd, Fleet, Router, RoutingChoice, RoutingRequest

FAILURE_COST_MS, MAX_FAILURES, FAILURE_HALF_LIFE_S = 200.0, 10.0, 10.0


class Precedence(Chooser):
    """Hard classes: the own zone is used before any other until it is full."""

    def __init__(self, gateway: FakeGateway, router: Router) -> None:
        self._zone, self._router = gateway.zone, router

    def choose(self, work: RoutingRequest, candidates: Sequence[BackEnd]) -> RoutingChoice | None:
        own = [
            each
            for each in candidates
            if each.zone == self._zone
            and each.decode_streams + each.unreported_requests < each.max_streams
        ]
        return self._router.choose(work, own or candidates)


class WeightedRandom(Chooser):
    """A random choice with weights that fall with the square of the cost."""

    def __init__(self, gateway: FakeGateway, router: Router, seed: int) -> None:
        self._router = router
        self._random = random.Random(f"weighted {gateway.name} {seed}")

    def choose(self, work: RoutingRequest, candidates: Sequence[BackEnd]) -> RoutingChoice | None:
        if not candidates:
            return None
        costs = [self._router.cost(work, each) for each in candidates]
        weights = [1 / (1 + cost) ** 2 for cost in costs]
        picked = self._random.choices(candidates, weights)[0]
        return self._router.choose(work, [picked])


class FailureCost(Chooser):
    """Each failure adds to a back end's cost; successes and time take it down.

    Without the time a back end that was dead and is back would never be tried again.
    """

    def __init__(self, gateway: FakeGateway, router: Router) -> None:
        self._world, self._router = gateway.world, router
        self._failures: dict[str, tuple[float, float]] = {}
        gateway.on_outcome = self.on_outcome

    def failures(self, name: str) -> float:
        count, at = self._failures.get(name, (0.0, 0.0))
        return count * 0.5 ** ((self._world.now - at) / FAILURE_HALF_LIFE_S)

    def on_outcome(self, name: str, complete: bool) -> None:
        known = self.failures(name)
        count = known / 2 if complete else min(MAX_FAILURES, known + 1)
        self._failures[name] = (count, self._world.now)

    def choose(self, work: RoutingRequest, candidates: Sequence[BackEnd]) -> RoutingChoice | None:
        if not candidates:
            return None

        def cost(each: BackEnd) -> float:
            return self._router.cost(work, each) + FAILURE_COST_MS * self.failures(each.name)

        return self._router.choose(work, [min(candidates, key=cost)])


def maker(variant: str, seed: int) -> Any:
    """Return the maker of a variant's router for a gateway."""

    def make(gateway: FakeGateway) -> Any:
        if variant == "late reports":
            # A gateway that expects more peers than it hears from falls back to the reports.
            gateway.fleet = Fleet(gateways=1000)
        router = cost_router(seed)(gateway)
        if variant == "precedence":
            return Precedence(gateway, router)
        if variant == "weighted random":
            return WeightedRandom(gateway, router, seed)
        if variant in ("failure cost", "pause and failure cost"):
            return FailureCost(gateway, router)
        return router

    return make


def one(deployment: Deployment, scenario: str, variant: str, seed: int) -> tuple[float, ...]:
    """Run one variant through one scenario."""
    cluster = Cluster(deployment)
    for _ in range(GATEWAYS):
        gateway = cluster.add_gateway(maker(variant, seed), OpenGate())
        if variant in ("failure cost", "neither"):
            gateway.fleet.on_failed = lambda name, now: None
    requests = traffic(deployment, seed, scenario == "swing", deployment.requests_per_s)
    engine, source = cluster.engines["e1"], random.Random(f"flaky {seed}")
    if scenario == "crash":
        cluster.world.at(20.0, engine.crash)
    if scenario == "flaky":
        engine.refuses = lambda: 15 < cluster.world.now < 45 and source.random() < 0.3
    skew = 0.6 if scenario == "skew" else 0.0
    drive(cluster, requests, RUN_S + 30, seed, skew)
    retried = sum(request.attempts - 1 for request in requests)
    return (*figures(requests, cluster), float(retried))


def run(seeds: Sequence[int]) -> Report:
    choices = ("one cost", "late reports", "precedence", "weighted random")
    health = ("pause", "failure cost", "pause and failure cost", "neither")
    cases = [
        *(
            (deployment, scenario, variant)
            for deployment in (QUETZAL, SEITKALI)
            for scenario in ("swing", "crash", "skew")
            for variant in choices
        ),
        *((SEITKALI, scenario, variant) for scenario in ("flaky", "crash") for variant in health),
    ]
    rows = [
        (f"{deployment.name} {scenario}", variant, seed, *one(deployment, scenario, variant, seed))
        for deployment, scenario, variant in cases
        for seed in seeds
    ]
    headers = ("good share", "first p50 ms", "first p95 ms", "lost", "cross-region MB", "retries")
    return Report(
        "The scenarios of the routing benchmark. In `skew` 60% of the requests enter in the first"
        " zone besides its share of the rest. In `flaky` one back end refuses 30% of the"
        " connections for 30 s. `late reports` is one cost without the counts that the gateways"
        " tell each other. In `pause` a back end that failed gets no requests"
        " for a time that doubles, in `failure cost` its cost rises and successes take it down.",
        [
            Table(
                "means",
                ("scenario", "variant", *headers),
                average_rows([(*row[:2], *row[3:]) for row in rows], 2),
                "good share",
            ),
            Table("runs", ("scenario", "variant", "seed", *headers), rows),
        ],
    )
