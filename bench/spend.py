"""Compare planners that order back ends: spend per delivered work and loss by zone reclaims."""

import math
import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from bench._engine import Simulator
from bench._report import Report, Table, average_rows
from bench._traffic import QUETZAL, SEITKALI, Deployment
from laburnumreel.coordination import ZoneCapacity, ZoneCapacityPlanner

RUN_S, STEP_S = 6 * 3600.0, 5.0
DEDICATED_ARRIVAL_S, CHEAP_ARRIVAL_S = 180.0, 60.0
DEDICATED_PRICE, CHEAP_PRICE = 1.0, 0.35
WORKERS, CHEAP_SHARE = 4, 0.5
# Work that is interrupted on a reclaimed back end is lost from its start: 20 worker seconds.
LOST_WORK_S = 20.0


class Load(NamedTuple):
    """The load in workers. Firm work is lost when it has to wait; interruptible work queues."""

    firm: float
    interruptible: float


def load_at(deployment: Deployment, now: float, seed: int) -> Load:
    """Return the load at `now`.

    It is a daily curve compressed into the run, with swings within minutes and some noise.
    """
    rng = random.Random(f"{deployment.name} {seed} {int(now // 60)}")
    day = 0.5 - 0.5 * math.cos(2 * math.pi * now / RUN_S)
    swing = 1.5 if int(now // 1200) % 3 == 1 else 0.0
    ramp = min(1.0, (now % 1200) / 240)
    firm = 1.5 + 4 * day + swing * ramp + rng.uniform(-0.2, 0.2)
    # Paperwork (`SEITKALI`) can wait more often than quoting (`QUETZAL`).
    interruptible = 8.0 if deployment is SEITKALI else 5.0
    return Load(firm, interruptible + 3 * (1 - day) + rng.uniform(-0.3, 0.3))


class ReactivePlanner:
    """The baseline that follows the current load and runs any work on its cheap back ends."""

    uses_cheap_for_firm = True

    def __init__(self, zones: Sequence[str]) -> None:
        self._zones, self._load = zones, Load(0.0, 0.0)

    def observe(self, firm: float, interruptible: float, now: float) -> None:
        self._load = Load(firm, interruptible)

    def mark_unavailable(self, zone: str, kind: str, now: float) -> None:
        return

    def plan(self, now: float) -> list[ZoneCapacity]:
        total = max(WORKERS, math.ceil(sum(self._load) / 0.85))
        cheap = int(total * CHEAP_SHARE)
        return _spread_evenly(total - cheap, cheap, self._zones)


class PeakPlanner:
    """The baseline that orders only dedicated back ends, for the highest load plus one spare zone."""

    uses_cheap_for_firm = False

    def __init__(self, zones: Sequence[str]) -> None:
        self._zones = zones

    def observe(self, firm: float, interruptible: float, now: float) -> None:
        return

    def mark_unavailable(self, zone: str, kind: str, now: float) -> None:
        return

    def plan(self, now: float) -> list[ZoneCapacity]:
        peak = math.ceil(7.2)
        return _spread_evenly(peak + math.ceil(peak / (len(self._zones) - 1)), 0, self._zones)


class PlannerUnderTest(ZoneCapacityPlanner):
    """The planner under test."""

    uses_cheap_for_firm = False


def _spread_evenly(dedicated: int, cheap: int, zones: Sequence[str]) -> list[ZoneCapacity]:
    return [
        ZoneCapacity(zone, kind, count // len(zones) + (number < count % len(zones)))
        for kind, count in (("dedicated", dedicated), ("cheap", cheap))
        for number, zone in enumerate(zones)
    ]


class Provider:
    """Simulates the platform: back ends arrive after a delay, cheap ones are reclaimed by zone."""

    def __init__(self, simulator: Simulator, zones: Sequence[str]) -> None:
        self.simulator = simulator
        keys = [(zone, kind) for zone in zones for kind in ("dedicated", "cheap")]
        self.live_counts = dict.fromkeys(keys, 0)
        self.pending_arrivals: dict[tuple[str, str], list[float]] = {key: [] for key in keys}
        self.unavailable_until: dict[tuple[str, str], float] = dict.fromkeys(keys, 0.0)

    def order(self, wanted: ZoneCapacity) -> bool:
        """Set the wanted total; return False when the zone has no capacity."""
        key = (wanted.zone, wanted.kind)
        now = self.simulator.now
        missing = wanted.count - self.live_counts[key] - len(self.pending_arrivals[key])
        if missing > 0 and now < self.unavailable_until[key]:
            return False
        arrival = DEDICATED_ARRIVAL_S if wanted.kind == "dedicated" else CHEAP_ARRIVAL_S
        self.pending_arrivals[key] += [now + arrival] * max(0, missing)
        surplus = max(0, -missing)
        cancelled = min(surplus, len(self.pending_arrivals[key]))
        if cancelled:
            del self.pending_arrivals[key][-cancelled:]
        self.live_counts[key] = max(0, self.live_counts[key] - (surplus - cancelled))
        return True

    def step(self) -> None:
        for key, arrivals in self.pending_arrivals.items():
            self.live_counts[key] += sum(at <= self.simulator.now for at in arrivals)
            self.pending_arrivals[key] = [at for at in arrivals if at > self.simulator.now]

    def reclaim_all(self, zone: str, kind: str, unavailable_s: float) -> int:
        """Reclaim all back ends of a kind in a zone, refuse new ones for `unavailable_s`; return the number."""
        key = (zone, kind)
        reclaimed, self.live_counts[key], self.pending_arrivals[key] = self.live_counts[key], 0, []
        self.unavailable_until[key] = self.simulator.now + unavailable_s
        return reclaimed

    def total(self, kind: str) -> int:
        return sum(count for (_, each), count in self.live_counts.items() if each == kind)


def simulate(deployment: Deployment, planner: Any, seed: int) -> tuple[float, ...]:
    """Run one planner; return the figures in the order of the headers in `run`."""
    simulator = Simulator()
    provider = Provider(simulator, deployment.zones)
    rng = random.Random(f"events {deployment.name} {seed}")
    sums = {"spend": 0.0, "firm": 0.0, "asked": 0.0, "soft": 0.0, "soft asked": 0.0, "harm": 0.0}
    sums |= {"cheap": 0.0, "exposed": 0.0}
    backlog = 0.0

    def reclaim(zone: str, kind: str, unavailable_s: float) -> None:
        reclaimed = provider.reclaim_all(zone, kind, unavailable_s)
        if kind == "cheap":
            cheap_before = provider.total("cheap") + reclaimed
            firm = max(
                0.0, load_at(deployment, simulator.now, seed).firm - provider.total("dedicated")
            )
            firm_on_cheap = min(firm, cheap_before) if planner.uses_cheap_for_firm else 0.0
            sums["harm"] += LOST_WORK_S * firm_on_cheap * reclaimed / max(1, cheap_before)
        planner.mark_unavailable(zone, kind, simulator.now)

    def step() -> None:
        nonlocal backlog
        now = simulator.now
        provider.step()
        demand = load_at(deployment, now, seed)
        planner.observe(demand.firm, demand.interruptible, now)
        for wanted in planner.plan(now):
            if not provider.order(wanted):
                planner.mark_unavailable(wanted.zone, wanted.kind, now)
        dedicated, cheap = provider.total("dedicated"), provider.total("cheap")
        sums["spend"] += (dedicated * DEDICATED_PRICE + cheap * CHEAP_PRICE) * STEP_S / 3600
        firm_capacity = dedicated + (cheap if planner.uses_cheap_for_firm else 0)
        firm = min(demand.firm, firm_capacity)
        backlog += demand.interruptible * STEP_S
        interruptible_done = min(backlog, max(0.0, dedicated + cheap - firm) * STEP_S)
        backlog -= interruptible_done
        zones = [provider.live_counts[zone, "dedicated"] for zone in deployment.zones]
        if now >= 600:
            sums["asked"] += demand.firm * STEP_S
            sums["firm"] += firm * STEP_S
            sums["soft asked"] += demand.interruptible * STEP_S
            sums["soft"] += interruptible_done
            sums["cheap"] += max(0.0, interruptible_done - max(0.0, dedicated - firm) * STEP_S)
            sums["exposed"] += STEP_S * (dedicated - max(zones) < demand.firm)

    simulator.schedule_every(STEP_S, step)
    for start in range(1800, int(RUN_S), 2400):
        zone = rng.choice(deployment.zones)
        at = start + rng.uniform(0, 600)
        simulator.schedule_at(at, lambda zone=zone: reclaim(zone, "cheap", 900.0))
    lost_zone, at = rng.choice(deployment.zones), rng.uniform(0.4, 0.6) * RUN_S

    def lose_zone() -> None:
        reclaim(lost_zone, "cheap", 1200.0)
        reclaim(lost_zone, "dedicated", 1200.0)

    simulator.schedule_at(at, lose_zone)
    simulator.run(RUN_S)
    missed = sums["asked"] - sums["firm"]
    delivered = (sums["firm"] + sums["soft"]) / 3600
    return (
        sums["spend"],
        sums["firm"] / sums["asked"],
        min(1.0, sums["soft"] / sums["soft asked"]),
        missed,
        sums["harm"],
        sums["cheap"] / (sums["firm"] + sums["soft"]),
        sums["exposed"] / (RUN_S - 600),
        sums["spend"] / delivered,
    )


def planner_factories(deployment: Deployment) -> dict[str, Callable[[], Any]]:
    """Return a factory for each compared planner."""
    return {
        "planner": lambda: PlannerUnderTest(
            WORKERS, CHEAP_SHARE, deployment.zones, True, lead_s=DEDICATED_ARRIVAL_S
        ),
        "planner without cheap": lambda: PlannerUnderTest(
            WORKERS, 0.0, deployment.zones, True, lead_s=DEDICATED_ARRIVAL_S
        ),
        "reactive": lambda: ReactivePlanner(deployment.zones),
        "peak dedicated": lambda: PeakPlanner(deployment.zones),
    }


def run(seeds: Sequence[int]) -> Report:
    """Run each planner on each deployment with each seed."""
    rows = [
        (deployment.name, name, seed, *simulate(deployment, create_planner(), seed))
        for deployment in (QUETZAL, SEITKALI)
        for seed in seeds
        for name, create_planner in planner_factories(deployment).items()
    ]
    headers = (
        "spend",
        "firm delivered",
        "interruptible delivered",
        "firm missed worker-s",
        "firm interrupted worker-s",
        "interruptible on cheap",
        "time a zone's loss breaks the promise",
        "spend per worker-hour",
    )
    return Report(
        f"{RUN_S / 3600:g} hours of load in workers; {WORKERS} workers are promised. Dedicated"
        f" back ends cost {DEDICATED_PRICE:g} an hour and arrive after {DEDICATED_ARRIVAL_S:g} s,"
        f" cheap ones {CHEAP_PRICE:g} and {CHEAP_ARRIVAL_S:g} s. A zone's cheap back ends are"
        " reclaimed about every 40 minutes and come back after 15; once a whole zone is lost for"
        " 20 minutes. Firm work without a free worker is missed; interruptible work waits."
        " `peak dedicated` knows the highest load; its spare zone runs interruptible work.",
        [
            Table(
                "means",
                ("deployment", "policy", *headers),
                average_rows([(*row[:2], *row[3:]) for row in rows], 2),
                "spend per worker-hour",
            ),
            Table("runs", ("deployment", "policy", "seed", *headers), rows),
        ],
    )
