"""Compare weighted fair queueing with first come, first served under a flooding customer."""

import random
from collections import OrderedDict
from collections.abc import Sequence
from functools import partial
from statistics import quantiles
from typing import Any

from bench._fake import GATEWAYS, SERVICE, Cluster, FakeGateway, cost_router_factory, run_requests
from bench._report import Report, Table, average_rows
from bench._traffic import QUETZAL, SEITKALI, Deployment, Request, Traffic, draw_size
from laburnumreel.coordination import Admission, Admitted, Offer, Queued, Refused
from laburnumreel.state import ErrorKind, Refusal

RUN_S, DEADLINE_S, FIRST_TOKEN_S, TOKEN_GAP_S = 40.0, 10.0, 2.0, 0.032
# Time after the last arrival in which retries and running requests can end.
TAIL_S, FLOOD_AT_S = 30.0, 10.0
CUSTOMERS, FLOODER = 8, "flood"
QUEUE_PER_CUSTOMER = 64


class FirstComeFirstServed:
    """The baseline: one FIFO queue with the same capacity and total queue length."""

    def __init__(self) -> None:
        self._capacity = 0
        self._running: set[str] = set()
        self._waiting: OrderedDict[str, Offer] = OrderedDict()

    def configure(self, profiles: Any, customers: Any, services: Any, capacity: Any) -> None:
        self._capacity = sum(capacity.values())

    def offer(self, offer: Offer, now: float) -> Any:
        if len(self._running) < self._capacity and not self._waiting:
            self._running.add(offer.request_id)
            return Admitted()
        if len(self._waiting) >= QUEUE_PER_CUSTOMER * CUSTOMERS:
            return Refused(Refusal(ErrorKind.QUEUE_FULL, "", 1.0))
        self._waiting[offer.request_id] = offer
        return Queued(0.0)

    def finish(self, request_id: str, tokens: int, now: float) -> list[str]:
        self._running.discard(request_id)
        admitted = []
        while self._waiting and len(self._running) < self._capacity:
            name, _ = self._waiting.popitem(last=False)
            self._running.add(name)
            admitted.append(name)
        return admitted

    def expire(self, now: float) -> tuple[list[str], list[tuple[str, Refusal]]]:
        expired = [name for name, offer in self._waiting.items() if offer.deadline <= now]
        for name in expired:
            del self._waiting[name]
        refusal = Refusal(ErrorKind.DEADLINE_UNMEETABLE, "", 1.0)
        return [], [(name, refusal) for name in expired]

    def pop_received(self) -> dict[str, tuple[int, int]]:
        return {}

    def on_peer_received(self, peer: str, received: Any, now: float) -> None:
        return


def generate_requests(deployment: Deployment, seed: int, flood: float) -> list[Request]:
    """Return requests of 7 customers below their fair share, and a flood that starts at 10 s."""

    def draw_sizes(now: float, rng: random.Random) -> tuple[int, int]:
        return (
            draw_size(deployment.prompt_tokens, rng),
            draw_size(deployment.output_tokens, rng),
        )

    requests: list[Request] = []
    for number in range(CUSTOMERS - 1):
        # Customers send 0.3 to 0.8 of their fair share of the fleet's capacity.
        fair_share = deployment.requests_per_s * 1.1 / CUSTOMERS
        rate = fair_share * (0.3 + 0.5 * number / (CUSTOMERS - 2))
        customer_traffic = Traffic(f"c{number}", lambda _, rate=rate: rate, draw_sizes, DEADLINE_S)
        requests += customer_traffic.requests(RUN_S, random.Random(f"c{number} {seed}"))
    rate = flood * deployment.requests_per_s
    customer_traffic = Traffic(
        FLOODER, lambda now: rate if now >= FLOOD_AT_S else 0.0, draw_sizes, DEADLINE_S
    )
    requests += customer_traffic.requests(RUN_S, random.Random(f"flood {seed}"))
    return sorted(requests, key=lambda request: request.arrival)


def simulate(
    deployment: Deployment, policy: str, requests: Sequence[Request], seed: int, retry_factor: float
) -> Cluster:
    """Run the requests.

    Refused requests are retried after `retry_factor` times Retry-After; 0 turns retries off.
    """
    cluster = Cluster(deployment)
    for number in range(GATEWAYS):
        admission: Any = FirstComeFirstServed()
        if policy == "fair":
            admission = Admission(random.Random(f"admission {number} {seed}"))
        gateway = cluster.add_gateway(cost_router_factory(seed), admission)

        def configure(gateway: FakeGateway = gateway, admission: Any = admission) -> None:
            capacity = gateway.fleet.capacity(SERVICE, cluster.simulator.now, False, GATEWAYS)
            admission.configure({}, {}, {}, {SERVICE: capacity})

        cluster.simulator.schedule_every(0.5, configure)
        configure()

        def schedule_retry(
            request: Request, after_s: float, gateway: FakeGateway = gateway
        ) -> None:
            if retry_factor and request.submissions < 8:
                resubmit = partial(gateway.submit, request)
                request.deadline = cluster.simulator.now + after_s * retry_factor + DEADLINE_S
                cluster.simulator.schedule_at(
                    cluster.simulator.now + after_s * retry_factor, resubmit
                )

        gateway.on_refused = schedule_retry
    run_requests(cluster, requests, RUN_S + TAIL_S, seed)
    return cluster


def group_by_customer(requests: Sequence[Request]) -> dict[str, list[Request]]:
    """Group the requests that arrived during the flood by customer."""
    groups: dict[str, list[Request]] = {}
    for request in requests:
        if request.arrival >= FLOOD_AT_S:
            groups.setdefault(request.customer, []).append(request)
    return groups


def goodput(requests: Sequence[Request]) -> float:
    """Return the total tokens of good requests."""
    return float(
        sum(request.tokens for request in requests if request.met_goals(FIRST_TOKEN_S, TOKEN_GAP_S))
    )


def p95_first_token_ms(requests: Sequence[Request]) -> float:
    """Return the 95th percentile of the time to first token in ms; no answer counts as 30 s."""
    times = [1000 * min(30.0, request.first_at - request.arrival) for request in requests]
    return quantiles(times, n=20)[18]


def run(seeds: Sequence[int]) -> Report:
    """Run each policy under each flood, and the flooder's retries, with each seed."""
    rows, retry_rows = [], []
    for deployment in (QUETZAL, SEITKALI):
        # The reference is a customer alone on one of the six engines. That is more than its fair
        # share of one eighth, so the measured ratio understates the policy.
        one_worker = deployment._replace(workers=1)
        for seed in seeds:
            alone_goodput = {}
            for name, customer_requests in group_by_customer(
                generate_requests(deployment, seed, 0.0)
            ).items():
                simulate(one_worker, "first come", customer_requests, seed, 0.0)
                alone_goodput[name] = goodput(customer_requests)
            for flood in (1.0, 4.0):
                for policy in ("fair", "first come"):
                    requests = generate_requests(deployment, seed, flood)
                    simulate(deployment, policy, requests, seed, 0.0)
                    groups = group_by_customer(requests)
                    flooder = goodput(groups.pop(FLOODER))
                    shares = {
                        name: goodput(customer_requests) / alone_goodput[name]
                        for name, customer_requests in groups.items()
                    }
                    worst = min(shares, key=shares.__getitem__)
                    total = flooder + sum(
                        goodput(customer_requests) for customer_requests in groups.values()
                    )
                    figures = (
                        shares[worst],
                        max(map(p95_first_token_ms, groups.values())),
                        total / (RUN_S - FLOOD_AT_S),
                    )
                    rows.append((f"{deployment.name} flood {flood:g}", policy, seed, *figures))
            for retry_factor in (0.25, 1.0, 2.0):
                requests = generate_requests(deployment, seed, 4.0)
                simulate(deployment, "fair", requests, seed, retry_factor)
                groups = group_by_customer(requests)
                flooder_requests = groups.pop(FLOODER)
                worst_share = min(
                    goodput(customer_requests) / alone_goodput[name]
                    for name, customer_requests in groups.items()
                )
                done = [request for request in flooder_requests if request.outcome == "done"]
                served = sum(request.tokens for request in done) / (RUN_S + TAIL_S)
                offers = sum(request.submissions for request in flooder_requests) / max(
                    1, len(done)
                )
                retry_rows.append(
                    (deployment.name, f"{retry_factor:g}", seed, worst_share, served, offers)
                )
    headers = ("worst share", "worst p95 ms", "goodput tokens/s")
    retry_headers = ("worst share", "flooder served tokens/s", "offers per answer")
    return Report(
        "Seven customers ask for 0.3 to 0.8 of a fair share; an eighth floods from 10 s on with 1"
        " or 4 times the fleet's usual load. `worst share` is the goodput of the worst-served of"
        " the seven over its goodput alone on one engine of the six (goal: 0.9). A request is"
        f" good when its first token comes within {FIRST_TOKEN_S:g} s and its tokens within"
        f" {1000 * TOKEN_GAP_S:.0f} ms. In `returns` the flooder comes back at a multiple of"
        " Retry-After, up to 8 times; each return renews its deadline.",
        [
            Table(
                "flood",
                ("scenario", "policy", *headers),
                average_rows([(*row[:2], *row[3:]) for row in rows], 2),
                "worst share",
            ),
            Table(
                "returns",
                ("deployment", "return factor", *retry_headers),
                average_rows([(*row[:2], *row[3:]) for row in retry_rows], 2),
            ),
            Table("flood-runs", ("scenario", "policy", "seed", *headers), rows),
        ],
    )
