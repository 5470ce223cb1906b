"""Compare cost-based routing with random, round-robin and least-outstanding routing."""

import itertools
import random
from collections.abc import Callable, Sequence
from statistics import quantiles

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
from bench._traffic import QUETZAL, SEITKALI, Deployment, Request, Traffic, draw_size
from laburnumreel.coordination import BackEnd, RoutingChoice, RoutingRequest

RUN_S = 60.0
FIRST_TOKEN_S, TOKEN_GAP_S = 0.31, 0.032


class RandomChoice(RoutingPolicy):
    """The baseline that picks a random back end."""

    def __init__(self, seed: str) -> None:
        self._random = random.Random(seed)

    def choose(self, work: RoutingRequest, candidates: Sequence[BackEnd]) -> RoutingChoice | None:
        if not candidates:
            return None
        return RoutingChoice(self._random.choice(candidates), 0.0, work.prompt_tokens)


class RoundRobin(RoutingPolicy):
    """The baseline that picks the back ends in turn."""

    def __init__(self, start: int) -> None:
        self._counter = itertools.count(start)

    def choose(self, work: RoutingRequest, candidates: Sequence[BackEnd]) -> RoutingChoice | None:
        if not candidates:
            return None
        index = next(self._counter) % len(candidates)
        return RoutingChoice(candidates[index], 0.0, work.prompt_tokens)


class LeastOutstanding(RoutingPolicy):
    """The baseline that picks the back end with the fewest requests of this gateway in flight."""

    def __init__(self, gateway: FakeGateway, seed: str) -> None:
        self._gateway = gateway
        self._random = random.Random(seed)

    def choose(self, work: RoutingRequest, candidates: Sequence[BackEnd]) -> RoutingChoice | None:
        if not candidates:
            return None
        outstanding = self._gateway.outstanding
        best = min(
            candidates, key=lambda each: (outstanding.get(each.name, 0), self._random.random())
        )
        return RoutingChoice(best, 0.0, work.prompt_tokens)


def router_factories(seed: int) -> dict[str, Callable[[FakeGateway], object]]:
    """Return a router factory for each compared policy."""
    return {
        "cost": cost_router_factory(seed),
        "random": lambda gateway: RandomChoice(f"{gateway.name} {seed}"),
        "round robin": lambda gateway: RoundRobin(int(gateway.name[1:])),
        "least outstanding": lambda gateway: LeastOutstanding(gateway, f"{gateway.name} {seed}"),
    }


def generate_requests(deployment: Deployment, seed: int, swing: bool, rate: float) -> list[Request]:
    """Return one customer's requests; with `swing`, prompts triple within 30 s."""

    def draw_sizes(now: float, rng: random.Random) -> tuple[int, int]:
        prompt, output = float(deployment.prompt_tokens), float(deployment.output_tokens)
        if swing:
            progress = min(1.0, max(0.0, (now - 15) / 30))
            prompt, output = prompt * (1 + 2 * progress), output * (1 - 0.5 * progress)
        return draw_size(prompt, rng), draw_size(output, rng)

    rng = random.Random(f"traffic {seed}")
    return list(
        Traffic("hall-a", lambda _: rate, draw_sizes, prefix_groups=60).requests(RUN_S, rng)
    )


def summarize_run(requests: Sequence[Request], cluster: Cluster) -> tuple[float, ...]:
    """Return the figures of a run.

    These are the share of good requests, the time to first token (p50 and p95 in ms), the number
    of lost requests and the cross-region traffic in MB.
    """
    first_token_ms = [1000 * min(30.0, request.first_at - request.arrival) for request in requests]
    percentiles = quantiles(first_token_ms, n=100)
    good = sum(request.met_goals(FIRST_TOKEN_S, TOKEN_GAP_S) for request in requests)
    lost = sum(request.outcome == "lost" for request in requests)
    return (
        good / len(requests),
        percentiles[49],
        percentiles[94],
        float(lost),
        cluster.cross_region_bytes / 1e6,
    )


SCENARIOS = ("steady", "swing", "crash", "slow")


def run_scenario(
    deployment: Deployment,
    scenario: str,
    router_factory: Callable[[FakeGateway], object],
    seed: int,
) -> tuple[float, ...]:
    """Run one policy in one scenario and return its figures."""
    cluster = Cluster(deployment)
    for _ in range(GATEWAYS):
        cluster.add_gateway(router_factory, AdmitAll())
    requests = generate_requests(deployment, seed, scenario == "swing", deployment.requests_per_s)
    if scenario == "crash":
        cluster.simulator.schedule_at(20.0, cluster.engines["e1"].crash)
    if scenario == "slow":
        # The role change takes 5 s and then halves the prefill speed of this engine.
        cluster.simulator.schedule_at(
            20.0, lambda: cluster.engines["e1"].change_role("decode", 5.0)
        )
    run_requests(cluster, requests, RUN_S + 30, seed)
    return summarize_run(requests, cluster)


def run(seeds: Sequence[int]) -> Report:
    """Run each policy in each scenario with each seed."""
    rows = [
        (
            f"{deployment.name} {scenario}",
            name,
            seed,
            *run_scenario(deployment, scenario, router_factory, seed),
        )
        for deployment in (QUETZAL, SEITKALI)
        for scenario in SCENARIOS
        for seed in seeds
        for name, router_factory in router_factories(seed).items()
    ]
    headers = ("good share", "first p50 ms", "first p95 ms", "lost", "cross-region MB")
    means = average_rows([(*row[:2], *row[3:]) for row in rows], 2)
    return Report(
        "Each policy gets the same candidates from 6 gateways' real Fleet; load reports and cache"
        f" events are {QUETZAL.report_lag_s:.0f} s late. A request is good when its first token comes"
        f" within {FIRST_TOKEN_S} s and its tokens within {1000 * TOKEN_GAP_S:.0f} ms of each"
        " other. In `crash` a back end crashes at 20 s; in `slow` one changes to the decode role.",
        [
            Table("means", ("scenario", "policy", *headers), means, "good share"),
            Table("runs", ("scenario", "policy", "seed", *headers), rows),
        ],
    )
