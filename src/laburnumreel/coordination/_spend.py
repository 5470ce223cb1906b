"""Wanted dedicated and cheap back ends for each zone of a service."""

import math
from collections import deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from laburnumreel.state import Service

# A dedicated back end arrives after about this time; demand is forecast that far ahead.
LEAD_S = 180.0
# Peaks of this window stay provided for, so that short dips do not give back what arrives late.
PEAK_WINDOW_S = 300.0
TREND_S = 120.0
# Workers are ordered for this share of load, which leaves room for bursts within the forecast. A
# spare zone is such room already: the promise after its loss is counted at full load.
TARGET_LOAD = 0.85
# A reclaimed zone or a refused order is tried again after this time, twice as long each time.
FIRST_HOLD_S, MAX_HOLD_S = 60.0, 1800.0


class Wanted(NamedTuple):
    """The wanted total of one kind, `dedicated` or `cheap`, in a zone."""

    zone: str
    kind: str
    count: int


class _Hold(NamedTuple):
    until: float
    time_s: float


class SpendPlanner:
    """Plans what to order for one service.

    Dedicated back ends carry the promised service, even without any one zone. Cheap ones are only
    ordered for interruptible work that idle dedicated ones do not take, and never count for the
    promise: all of a zone's may go at once.

    >>> planner = SpendPlanner(4, 0.5, ("a", "b", "c"), spare_zone=True)
    >>> [wanted.count for wanted in planner.plan(0.0) if wanted.kind == "dedicated"]
    [2, 2, 2]
    """

    def __init__(
        self,
        workers: int,
        cheap_share: float,
        zones: Sequence[str],
        spare_zone: bool,
        lead_s: float = LEAD_S,
    ) -> None:
        self._workers = workers
        self._cheap_share = cheap_share
        self._zones = tuple(zones)
        self._spare_zone = spare_zone
        self._lead_s = lead_s
        self._firm = self._interruptible = self._slope = 0.0
        self._observed_at: float | None = None
        self._peaks: deque[tuple[float, float]] = deque()
        self._holds: dict[tuple[str, str], _Hold] = {}

    @classmethod
    def from_service(cls, service: Service) -> "SpendPlanner":
        return cls(service.workers, service.cheap_share, service.zones, service.spare_zone)

    @property
    def promised(self) -> int:
        """The workers that must be left after the loss of any one zone."""
        peak = max((need for _, need in self._peaks), default=0.0)
        return max(self._workers, math.ceil(peak))

    def observe(self, firm: float, interruptible: float, now: float) -> None:
        """Take the load in workers: what must be served now, and what may be interrupted."""
        if self._observed_at is not None and now > self._observed_at:
            passed = now - self._observed_at
            part = 1 - math.exp(-passed / TREND_S)
            self._slope += part * ((firm - self._firm) / passed - self._slope)
        self._observed_at = now
        self._firm, self._interruptible = firm, interruptible
        ahead = firm + max(0.0, self._slope) * self._lead_s
        need = ahead if self._spare_zone else ahead / TARGET_LOAD
        # Only falling peaks are kept: a smaller earlier one can never be the largest again.
        while self._peaks and self._peaks[-1][1] <= need:
            self._peaks.pop()
        self._peaks.append((now, need))
        while self._peaks[0][0] < now - PEAK_WINDOW_S:
            self._peaks.popleft()

    def unavailable(self, zone: str, kind: str, now: float) -> None:
        """Note that a zone reclaimed its back ends of a kind, or refused to give any."""
        known = self._holds.get((zone, kind))
        if known is not None and now < known.until:
            return
        again = known is not None and now < known.until + 2 * known.time_s
        time_s = min(MAX_HOLD_S, 2 * known.time_s) if known and again else FIRST_HOLD_S
        self._holds[zone, kind] = _Hold(now + time_s, time_s)

    def plan(self, now: float) -> list[Wanted]:
        """Return the wanted totals of all zones."""
        usable = {
            kind: [zone for zone in self._zones if not self._held(zone, kind, now)]
            for kind in ("dedicated", "cheap")
        }
        # Where no zone is usable the orders stay, so that the first to recover fulfils them.
        dedicated = _spread(self._dedicated(len(usable["dedicated"])), usable["dedicated"])
        cheap = _spread(self._cheap(sum(dedicated.values())), usable["cheap"])
        return [
            Wanted(zone, kind, counts.get(zone, 0))
            for kind, counts in (("dedicated", dedicated), ("cheap", cheap))
            for zone in self._zones
            if kind == "cheap" or zone in counts
        ]

    def _dedicated(self, zones: int) -> int:
        if not self._spare_zone or zones < 2:
            return self.promised
        return self.promised + math.ceil(self.promised / (zones - 1))

    def _cheap(self, dedicated: int) -> int:
        idle = max(0.0, dedicated * TARGET_LOAD - self._firm)
        wanted = math.ceil(max(0.0, self._interruptible - idle))
        if self._cheap_share >= 1:
            return wanted
        # The share is of all workers: cheap <= share * (cheap + dedicated).
        most = dedicated * self._cheap_share / (1 - self._cheap_share)
        return min(wanted, math.floor(most + 1e-9))

    def _held(self, zone: str, kind: str, now: float) -> bool:
        hold = self._holds.get((zone, kind))
        return hold is not None and now < hold.until


def _spread(count: int, zones: Iterable[str]) -> dict[str, int]:
    """Spread a number evenly; the earlier zones get the rest."""
    names = list(zones)
    if not names:
        return {}
    each, rest = divmod(count, len(names))
    return {name: each + (number < rest) for number, name in enumerate(names)}
