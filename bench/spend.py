"""Ordering back ends: spend for delivered service and harm in zone reclaims."""

import math
import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from bench._engine import World
from bench._report import Report, Table, average_rows
from bench._traffic import QUETZAL, SEITKALI, Deployment
from laburnumreel.coordination import ZoneCapacity, ZoneCapacityPlanner

RUN_S, STEP_S = 6 * 3600.0, 5.0
DEDICATED_ARRIVAL_S, CHEAP_ARRIVAL_S = 180.0, 60.0
DEDICATED_PRICE, CHEAP_PRICE = 1.0, 0.35
WORKERS, CHEAP_SHARE = 4, 0.5
# Work that is interrupted on a reclaimed back end loses what it ran since its start.
LOST_WORK_S = 20.0


class Load(NamedTuple):
    """The load in workers: firm work is lost when it waits, interruptible work queues."""

    firm: float
    interruptible: float


def load(deployment: Deployment, now: float, seed: int) -> Load:
    """Return a day squeezed into the run, with swings within minutes and some noise."""
    source = random.Random(f"{deployment.name} {seed} {int(now // 60)}")
    day = 0.5 - 0.5 * math.cos(2 * math.pi * now / RUN_S)
    swing = 1.5 if int(now // 1200) % 3 == 1 else 0.0
    ramp = min(1.0, (now % 1200) / 240)
    firm = 1.5 + 4 * day + swing * ramp + source.uniform(-0.2, 0.2)
    # Paperwork waits more readily than quoting.
    interruptible = 8.0 if deployment is SEITKALI else 5.0
    return Load(firm, interruptible + 3 * (1 - day) + source.uniform(-0.3, 0.3))


class Reactive:
    """The baseline that follows the present load, and fills its cheap share with any work."""

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
        return _even(total - cheap, cheap, self._zones)


class Peak:
    """The baseline of dedicated back ends alone, for the highest load, with one zone to spare."""

    uses_cheap_for_firm = False

    def __init__(self, zones: Sequence[str]) -> None:
        self._zones = zones

    def observe(self, firm: float, interruptible: float, now: float) -> None:
        return

    def mark_unavailable(self, zone: str, kind: str, now: float) -> None:
        return

    def plan(self, now: float) -> list[ZoneCapacity]:
        peak = math.ceil(7.2)
        return _even(peak + math.ceil(peak / (len(self._zones) - 1)), 0, self._zones)


class Planned(ZoneCapacityPlanner):
    """The real planner."""

    uses_cheap_for_firm = False


def _even(dedicated: int, cheap: int, zones: Sequence[str]) -> list[ZoneCapacity]:
    return [
        ZoneCapacity(zone, kind, count // len(zones) + (number < count % len(zones)))
        for kind, count in (("dedicated", dedicated), ("cheap", cheap))
        for number, zone in enumerate(zones)
    ]


class Provider:
    """The platform's side: back ends arrive late, and cheap ones are reclaimed by zone."""

    def __init__(self, world: World, zones: Sequence[str]) -> None:
        self.world = world
        keys = [(zone, kind) for zone in zones for kind in ("dedicated", "cheap")]
        self.live = dict.fromkeys(keys, 0)
        self.coming: dict[tuple[str, str], list[float]] = {key: [] for key in keys}
        self.closed: dict[tuple[str, str], float] = dict.fromkeys(keys, 0.0)

    def order(self, wanted: ZoneCapacity) -> bool:
        """Set a wanted total; False is a refusal for lack of capacity."""
        key = (wanted.zone, wanted.kind)
        now = self.world.now
        missing = wanted.count - self.live[key] - len(self.coming[key])
        if missing > 0 and now < self.closed[key]:
            return False
        arrival = DEDICATED_ARRIVAL_S if wanted.kind == "dedicated" else CHEAP_ARRIVAL_S
        self.coming[key] += [now + arrival] * max(0, missing)
        surplus = max(0, -missing)
        cancelled = min(surplus, len(self.coming[key]))
        if cancelled:
            del self.coming[key][-cancelled:]
        self.live[key] = max(0, self.live[key] - (surplus - cancelled))
        return True

    def step(self) -> None:
        for key, arrivals in self.coming.items():
            self.live[key] += sum(at <= self.world.now for at in arrivals)
            self.coming[key] = [at for at in arrivals if at > self.world.now]

    def take(self, zone: str, kind: str, for_s: float) -> int:
        """Take all of a zone's back ends of a kind away and give none for some time."""
        key = (zone, kind)
        lost, self.live[key], self.coming[key] = self.live[key], 0, []
        self.closed[key] = self.world.now + for_s
        return lost

    def total(self, kind: str) -> int:
        return sum(count for (_, each), count in self.live.items() if each == kind)


def simulate(deployment: Deployment, planner: Any, seed: int) -> tuple[float, ...]:
    """Return spend, shares delivered, firm work interrupted, and spend for delivered work."""
    world = World()
    provider = Provider(world, deployment.zones)
    source = random.Random(f"events {deployment.name} {seed}")
    sums = {"spend": 0.0, "firm": 0.0, "asked": 0.0, "soft": 0.0, "soft asked": 0.0, "harm": 0.0}
    sums |= {"cheap": 0.0, "exposed": 0.0}
    backlog = 0.0

    def reclaim(zone: str, kind: str, for_s: float) -> None:
        lost = provider.take(zone, kind, for_s)
        if kind == "cheap":
            before = provider.total("cheap") + lost
            firm = max(0.0, load(deployment, world.now, seed).firm - provider.total("dedicated"))
            on_cheap = min(firm, before) if planner.uses_cheap_for_firm else 0.0
            sums["harm"] += LOST_WORK_S * on_cheap * lost / max(1, before)
        planner.mark_unavailable(zone, kind, world.now)

    def step() -> None:
        nonlocal backlog
        now = world.now
        provider.step()
        asked = load(deployment, now, seed)
        planner.observe(asked.firm, asked.interruptible, now)
        for wanted in planner.plan(now):
            if not provider.order(wanted):
                planner.mark_unavailable(wanted.zone, wanted.kind, now)
        dedicated, cheap = provider.total("dedicated"), provider.total("cheap")
        sums["spend"] += (dedicated * DEDICATED_PRICE + cheap * CHEAP_PRICE) * STEP_S / 3600
        room = dedicated + (cheap if planner.uses_cheap_for_firm else 0)
        firm = min(asked.firm, room)
        backlog += asked.interruptible * STEP_S
        soft = min(backlog, max(0.0, dedicated + cheap - firm) * STEP_S)
        backlog -= soft
        zones = [provider.live[zone, "dedicated"] for zone in deployment.zones]
        if now >= 600:
            sums["asked"] += asked.firm * STEP_S
            sums["firm"] += firm * STEP_S
            sums["soft asked"] += asked.interruptible * STEP_S
            sums["soft"] += soft
            sums["cheap"] += max(0.0, soft - max(0.0, dedicated - firm) * STEP_S)
            sums["exposed"] += STEP_S * (dedicated - max(zones) < asked.firm)

    world.every(STEP_S, step)
    for start in range(1800, int(RUN_S), 2400):
        zone = source.choice(deployment.zones)
        at = start + source.uniform(0, 600)
        world.at(at, lambda zone=zone: reclaim(zone, "cheap", 900.0))
    lost_zone, at = source.choice(deployment.zones), source.uniform(0.4, 0.6) * RUN_S

    def lose_zone() -> None:
        reclaim(lost_zone, "cheap", 1200.0)
        reclaim(lost_zone, "dedicated", 1200.0)

    world.at(at, lose_zone)
    world.run(RUN_S)
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


def planners(deployment: Deployment) -> dict[str, Callable[[], Any]]:
    """Return the makers of the compared planners."""
    return {
        "planner": lambda: Planned(
            WORKERS, CHEAP_SHARE, deployment.zones, True, lead_s=DEDICATED_ARRIVAL_S
        ),
        "planner without cheap": lambda: Planned(
            WORKERS, 0.0, deployment.zones, True, lead_s=DEDICATED_ARRIVAL_S
        ),
        "reactive": lambda: Reactive(deployment.zones),
        "peak dedicated": lambda: Peak(deployment.zones),
    }


def run(seeds: Sequence[int]) -> Report:
    rows = [
        (deployment.name, name, seed, *simulate(deployment, make(), seed))
        for deployment in (QUETZAL, SEITKALI)
        for seed in seeds
        for name, make in planners(deployment).items()
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
        " 20 minutes. Firm work that finds no worker is missed; interruptible work waits."
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
