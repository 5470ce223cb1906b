"""Gateways with the real policies on fake engines, whose reports arrive late."""

import random
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any, Protocol

from bench._engine import FakeEngine, Simulator
from bench._traffic import Deployment, Request
from laburnumreel.coordination import (
    Admitted,
    BackEnd,
    Fleet,
    LoadReport,
    Queued,
    Router,
    RoutingChoice,
    RoutingRequest,
)
from laburnumreel.coordination import Offer as AdmissionOffer
from laburnumreel.state import Host

SERVICE = "model"
EXCHANGE_INTERVAL_S = 0.5
GATEWAYS = 6


class RoutingPolicy(Protocol):
    """A routing policy: the router or a baseline."""

    def choose(
        self, work: RoutingRequest, candidates: Sequence[BackEnd]
    ) -> RoutingChoice | None: ...


class AdmitAll:
    """An admission policy that admits everything, for benchmarks of routing alone."""

    def offer(self, offer: AdmissionOffer, now: float) -> Any:
        return Admitted()

    def finish(self, request_id: str, tokens: int, now: float) -> list[str]:
        return []

    cancel = finish

    def expire(self, now: float) -> tuple[list[str], list[Any]]:
        return [], []

    def pop_received(self) -> dict[str, tuple[int, int]]:
        return {}

    def on_peer_received(self, peer: str, received: Mapping[str, Any], now: float) -> None:
        return


class FakeGateway:
    """A gateway with the real `Fleet`, a routing policy and an admission policy."""

    def __init__(
        self, cluster: "Cluster", name: str, zone: str, router: Any, admission: Any
    ) -> None:
        self.cluster, self.simulator, self.name, self.zone = cluster, cluster.simulator, name, zone
        self.fleet = Fleet(gateways=GATEWAYS)
        self.router, self.admission = router, admission
        self.outstanding: dict[str, int] = {}
        self.waiting: dict[str, Request] = {}
        self.on_outcome: Callable[[str, bool], None] = lambda name, complete: None
        self.on_refused: Callable[[Request, float], None] = lambda request, retry_after_s: None

    def submit(self, request: Request) -> None:
        # A retried request is a new offer with its own id.
        request.submissions += 1
        key = f"{request.request_id}.{request.submissions}"
        offer = AdmissionOffer(key, SERVICE, request.customer, request.tokens, request.deadline)
        decision = self.admission.offer(offer, self.simulator.now)
        if isinstance(decision, Admitted):
            self._dispatch(request)
        elif isinstance(decision, Queued):
            self.waiting[key] = request
        else:
            self._refuse(request, decision.refusal.retry_after_s)

    def tick(self) -> None:
        admitted, expired = self.admission.expire(self.simulator.now)
        for key, refusal in expired:
            self._refuse(self.waiting.pop(key), refusal.retry_after_s)
        self._dispatch_admitted(admitted)

    def on_first_token(self, request_id: str, name: str) -> None:
        self.fleet.on_first_token(name, request_id, self.simulator.now)

    def on_ended(self, request: Request, complete: bool) -> None:
        engine = request.engine
        assert engine is not None
        name = engine.host.name
        self.outstanding[name] -= 1
        self.on_outcome(name, complete)
        self.fleet.on_finished(name, request.request_id, self.simulator.now)
        if not complete:
            self.fleet.on_failed(name, self.simulator.now)
            self._dispatch(request)
            return
        request.outcome = "done"
        self._finish(request, request.tokens)

    def _dispatch(self, request: Request) -> None:
        work = RoutingRequest(
            request.request_id,
            SERVICE,
            request.customer,
            "m",
            request.prompt_tokens,
            request.prompt_tokens * 4,
            request.output_tokens,
            request.prefixes,
            0,
        )
        request.attempts += 1
        candidates = self.fleet.candidates(SERVICE, "m", self.simulator.now, cheap=request.cheap)
        choice = self.router.choose(work, candidates) if request.attempts <= 4 else None
        if choice is None:
            request.outcome = "lost"
            self._finish(request, 0)
            return
        name = choice.back_end.name
        engine = self.cluster.engines[name]
        request.engine = engine
        self.outstanding[name] = self.outstanding.get(name, 0) + 1
        self.fleet.on_sent(
            name, request.request_id, choice.prefill_tokens, self.simulator.now, work.prefixes
        )
        delay_s = self.cluster.network_delay_s(self.zone, engine.host.zone)

        def arrive() -> None:
            if not engine.receive(request):
                self.on_ended(request, False)

        self.cluster.gateway_by_request[request.request_id] = self
        self.simulator.schedule_at(self.simulator.now + delay_s, arrive)

    def _finish(self, request: Request, tokens: int) -> None:
        key = f"{request.request_id}.{request.submissions}"
        self._dispatch_admitted(self.admission.finish(key, tokens, self.simulator.now))

    def _dispatch_admitted(self, keys: Sequence[str]) -> None:
        for key in keys:
            self._dispatch(self.waiting.pop(key))

    def _refuse(self, request: Request, retry_after_s: float | None) -> None:
        request.outcome = "refused"
        self.on_refused(request, retry_after_s or 1.0)


class Cluster:
    """Engines across the zones of a deployment, and gateways that get their reports late."""

    def __init__(self, deployment: Deployment, cheap: Sequence[int] = ()) -> None:
        self.simulator = Simulator()
        self.deployment = deployment
        self.engines: dict[str, FakeEngine] = {}
        self.gateways: list[FakeGateway] = []
        self.gateway_by_request: dict[str, FakeGateway] = {}
        self.cross_region_bytes = 0
        for number in range(deployment.workers):
            self.add_engine(f"e{number}", number % len(deployment.zones), number in cheap)
        self.simulator.schedule_every(EXCHANGE_INTERVAL_S, self._exchange_reports)

    def add_engine(self, name: str, zone: int, cheap: bool = False) -> FakeEngine:
        zone_name = self.deployment.zones[zone]
        address = f"127.0.0.1:{9000 + len(self.engines)}"
        host = Host(name, address, zone_name, zone_name, SERVICE, "engine", cheap, "live")
        engine = FakeEngine(self.simulator, host)
        engine.on_end = self._on_ended
        engine.on_first_token = self._on_first_token
        self.engines[name] = engine
        return engine

    def add_gateway(self, router: Callable[[FakeGateway], Any], admission: Any) -> FakeGateway:
        zone = self.deployment.zones[len(self.gateways) % len(self.deployment.zones)]
        gateway = FakeGateway(self, f"g{len(self.gateways)}", zone, None, admission)
        gateway.router = router(gateway)
        self.gateways.append(gateway)
        gateway.fleet.on_hosts(
            [engine.host for engine in self.engines.values()], self.simulator.now
        )
        for name, engine in self.engines.items():
            gateway.fleet.on_load(name, engine.report(), self.simulator.now)
        self.simulator.schedule_every(0.1, gateway.tick, self.simulator.now)
        return gateway

    def network_delay_s(self, from_zone: str, to_zone: str) -> float:
        return 0.0002 if from_zone == to_zone else self.deployment.inter_zone_delay_s

    def _on_first_token(self, request: Request) -> None:
        engine, gateway = request.engine, self.gateway_by_request[request.request_id]
        notify = partial(gateway.on_first_token, request.request_id, engine.host.name)
        self.simulator.schedule_at(
            self.simulator.now + self.network_delay_s(gateway.zone, engine.host.zone), notify
        )

    def _on_ended(self, request: Request, complete: bool) -> None:
        engine = request.engine
        assert engine is not None
        gateway = self.gateway_by_request[request.request_id]
        if engine.host.zone != gateway.zone:
            self.cross_region_bytes += 4 * request.tokens
        delay_s = self.network_delay_s(gateway.zone, engine.host.zone)
        self.simulator.schedule_at(
            self.simulator.now + delay_s, lambda: gateway.on_ended(request, complete)
        )

    def _exchange_reports(self) -> None:
        """Deliver load reports and cache events after the lag, and peer updates immediately."""
        now, report_lag_s = self.simulator.now, self.deployment.report_lag_s
        for name, engine in self.engines.items():
            if engine.alive:
                self.simulator.schedule_at(
                    now + report_lag_s,
                    partial(self._deliver_report, name, engine.report()),
                )
                stored, engine.stored = engine.stored, []
                evicted, engine.evicted = engine.evicted, []
                for gateway in self.gateways:
                    deliver_events = partial(
                        gateway.fleet.on_cache_events, name, stored, evicted, False
                    )
                    self.simulator.schedule_at(now + report_lag_s, deliver_events)
        for gateway in self.gateways:
            work, received = gateway.fleet.local_work(), gateway.admission.pop_received()
            for other in self.gateways:
                if other is not gateway:
                    other.fleet.on_peer_work(gateway.name, work, now)
                    other.admission.on_peer_received(gateway.name, received, now)

    def _deliver_report(self, name: str, report: LoadReport) -> None:
        for gateway in self.gateways:
            gateway.fleet.on_load(name, report, self.simulator.now)


def run_requests(
    cluster: Cluster, requests: Sequence[Request], until: float, seed: int, skew: float = 0.0
) -> None:
    """Submit each request to a random gateway, as the load balancer does, and run.

    A share `skew` of the requests always enters in the first zone.
    """
    rng = random.Random(f"balancer {seed}")
    first_zone_gateways = [
        each for each in cluster.gateways if each.zone == cluster.gateways[0].zone
    ]
    for request in requests:
        gateway = rng.choice(
            first_zone_gateways if skew and rng.random() < skew else cluster.gateways
        )
        cluster.simulator.schedule_at(request.arrival, lambda g=gateway, r=request: g.submit(r))
    cluster.simulator.run(until)


def cost_router_factory(seed: int) -> Callable[[FakeGateway], Router]:
    """Return a factory of the real router, for `Cluster.add_gateway`."""
    return lambda gateway: Router(
        gateway.zone, gateway.zone, random.Random(f"{gateway.name} {seed}")
    )
