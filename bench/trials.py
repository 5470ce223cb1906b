"""Compare alternatives to the current routing: zone precedence, weighted random, failure cost."""

import random
from collections.abc import Sequence
from typing import Any

from bench._fake import (
    GATEWAYS,
    AdmitAll,
    Cluster,
    FakeGateway,
    RoutingPolicy,
    cost_router_factory,
    run_requests,
)
from bench._report import Report, Table, average_rows
from bench._traffic import QUETZAL, SEITKALI, Deployment
from bench.routing import RUN_S, generate_requests, summarize_run
from laburnumreel.coordination import BackEnd, Fleet, Router, RoutingChoice, RoutingRequest

FAILURE_COST_MS, MAX_COUNTED_FAILURES, FAILURE_HALF_LIFE_S = 200.0, 10.0, 10.0


class Precedence(RoutingPolicy):
    """Uses the back ends of the own zone until all of them are full, then any zone."""

    def __init__(self, gateway: FakeGateway, router: Router) -> None:
        self._zone, self._router = gateway.zone, router

    def choose(self, work: RoutingRequest, candidates: Sequence[BackEnd]) -> RoutingChoice | None:
        own_zone = [
            each
            for each in candidates
            if each.zone == self._zone
            and each.decode_streams + each.unreported_requests < each.max_streams
        ]
        return self._router.choose(work, own_zone or candidates)


class WeightedRandom(RoutingPolicy):
    """Chooses at random with weights of `1 / (1 + cost) ** 2`."""

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


class FailureCost(RoutingPolicy):
    """Adds to the cost of a back end at each failure; successes and time reduce it.

    Without the decay over time, a back end that recovered would never be tried again.
    """

    def __init__(self, gateway: FakeGateway, router: Router) -> None:
        self._simulator, self._router = gateway.simulator, router
        self._failures: dict[str, tuple[float, float]] = {}
        gateway.on_outcome = self.on_outcome

    def failures(self, name: str) -> float:
        count, at = self._failures.get(name, (0.0, 0.0))
        return count * 0.5 ** ((self._simulator.now - at) / FAILURE_HALF_LIFE_S)

    def on_outcome(self, name: str, complete: bool) -> None:
        current = self.failures(name)
        count = current / 2 if complete else min(MAX_COUNTED_FAILURES, current + 1)
        self._failures[name] = (count, self._simulator.now)

    def choose(self, work: RoutingRequest, candidates: Sequence[BackEnd]) -> RoutingChoice | None:
        if not candidates:
            return None

        def cost(each: BackEnd) -> float:
            return self._router.cost(work, each) + FAILURE_COST_MS * self.failures(each.name)

        return self._router.choose(work, [min(candidates, key=cost)])


def router_factory(variant: str, seed: int) -> Any:
    """Return a factory that creates the router of a variant for a gateway."""

    def make(gateway: FakeGateway) -> Any:
        # The variants not named here use the router as it is.
        if variant == "late reports":
            # A gateway with updates from fewer peers than it expects relies on the load reports.
            gateway.fleet = Fleet(gateways=1000)
        router = cost_router_factory(seed)(gateway)
        if variant == "precedence":
            return Precedence(gateway, router)
        if variant == "weighted random":
            return WeightedRandom(gateway, router, seed)
        if variant in ("failure cost", "pause and failure cost"):
            return FailureCost(gateway, router)
        return router

    return make


def run_scenario(
    deployment: Deployment, scenario: str, variant: str, seed: int
) -> tuple[float, ...]:
    """Run one variant in one scenario and return its figures."""
    cluster = Cluster(deployment)
    for _ in range(GATEWAYS):
        gateway = cluster.add_gateway(router_factory(variant, seed), AdmitAll())
        # The variants without a pause after a failure.
        if variant in ("failure cost", "neither"):
            gateway.fleet.on_failed = lambda name, now: None
    requests = generate_requests(deployment, seed, scenario == "swing", deployment.requests_per_s)
    engine, rng = cluster.engines["e1"], random.Random(f"flaky {seed}")
    if scenario == "crash":
        cluster.simulator.schedule_at(20.0, engine.crash)
    if scenario == "flaky":
        engine.refuses_connection = lambda: 15 < cluster.simulator.now < 45 and rng.random() < 0.3
    skew = 0.6 if scenario == "skew" else 0.0
    run_requests(cluster, requests, RUN_S + 30, seed, skew)
    retried = sum(request.attempts - 1 for request in requests)
    return (*summarize_run(requests, cluster), float(retried))


def run(seeds: Sequence[int]) -> Report:
    """Run each variant in its scenarios with each seed."""
    choice_variants = ("one cost", "late reports", "precedence", "weighted random")
    failure_variants = ("pause", "failure cost", "pause and failure cost", "neither")
    cases = [
        *(
            (deployment, scenario, variant)
            for deployment in (QUETZAL, SEITKALI)
            for scenario in ("swing", "crash", "skew")
            for variant in choice_variants
        ),
        *(
            (SEITKALI, scenario, variant)
            for scenario in ("flaky", "crash")
            for variant in failure_variants
        ),
    ]
    rows = [
        (
            f"{deployment.name} {scenario}",
            variant,
            seed,
            *run_scenario(deployment, scenario, variant, seed),
        )
        for deployment, scenario, variant in cases
        for seed in seeds
    ]
    headers = ("good share", "first p50 ms", "first p95 ms", "lost", "cross-region MB", "retries")
    return Report(
        "The scenarios of the routing benchmark. In `skew` 60% of the requests enter in the first"
        " zone besides its share of the rest. In `flaky` one back end refuses 30% of the"
        " connections for 30 s. `late reports` is one cost without the request counts that"
        " gateways exchange. In `pause` a back end that failed gets no requests"
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
