"""Planning of the dedicated and cheap back ends in each zone of a service."""

import math
from collections import deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from laburnumreel.state import Service

# A dedicated back end is available after about this time; demand is forecast that far ahead.
LEAD_TIME_S = 180.0
# Capacity covers the peak in this window, so that a short dip does not release back ends that
# would take long to arrive again.
PEAK_WINDOW_S = 300.0
TREND_TIME_CONSTANT_S = 120.0
# Workers are ordered for this share of load, which leaves room for bursts within the forecast. With
# a spare zone, that zone is the room, and the promise after its loss is counted at full load.
TARGET_LOAD = 0.85
# Backoff after a zone was reclaimed or refused an order; it doubles each time up to the maximum.
MIN_BACKOFF_S, MAX_BACKOFF_S = 60.0, 1800.0


class ZoneCapacity(NamedTuple):
    """The wanted number of back ends of a kind, `dedicated` or `cheap`, in a zone."""

    zone: str
    kind: str
    count: int


class _Backoff(NamedTuple):
    until: float
    duration_s: float


class ZoneCapacityPlanner:
    """Plans how many back ends to order for one service.

    Dedicated back ends provide the promised service, also after the loss of any one zone if
    `spare_zone` is set. Cheap ones are ordered only for interruptible work for which there are no
    idle dedicated ones. They never count for the promise, because all cheap back ends of a zone may
    be reclaimed at once.

    >>> planner = ZoneCapacityPlanner(4, 0.5, ("a", "b", "c"), spare_zone=True)
    >>> [wanted.count for wanted in planner.plan(0.0) if wanted.kind == "dedicated"]
    [2, 2, 2]
    """

    def __init__(
        self,
        workers: int,
        cheap_share: float,
        zones: Sequence[str],
        spare_zone: bool,
        lead_s: float = LEAD_TIME_S,
    ) -> None:
        self._workers = workers
        self._cheap_share = cheap_share
        self._zones = tuple(zones)
        self._spare_zone = spare_zone
        self._lead_s = lead_s
        self._uninterruptible = self._interruptible = self._slope = 0.0
        self._observed_at: float | None = None
        self._peaks: deque[tuple[float, float]] = deque()
        self._backoffs: dict[tuple[str, str], _Backoff] = {}

    @classmethod
    def from_service(cls, service: Service) -> "ZoneCapacityPlanner":
        return cls(service.workers, service.cheap_share, service.zones, service.spare_zone)

    @property
    def promised_workers(self) -> int:
        """The number of workers that must remain after the loss of any one zone."""
        peak = max((required for _, required in self._peaks), default=0.0)
        return max(self._workers, math.ceil(peak))

    def observe(self, uninterruptible: float, interruptible: float, now: float) -> None:
        """Record the load in workers: what must be served now, and what may be interrupted."""
        if self._observed_at is not None and now > self._observed_at:
            elapsed_s = now - self._observed_at
            share = 1 - math.exp(-elapsed_s / TREND_TIME_CONSTANT_S)
            self._slope += share * (
                (uninterruptible - self._uninterruptible) / elapsed_s - self._slope
            )
        self._observed_at = now
        self._uninterruptible, self._interruptible = uninterruptible, interruptible
        forecast = uninterruptible + max(0.0, self._slope) * self._lead_s
        required = forecast if self._spare_zone else forecast / TARGET_LOAD
        # Drop smaller earlier entries, which can never be the maximum again.
        while self._peaks and self._peaks[-1][1] <= required:
            self._peaks.pop()
        self._peaks.append((now, required))
        while self._peaks[0][0] < now - PEAK_WINDOW_S:
            self._peaks.popleft()

    def mark_unavailable(self, zone: str, kind: str, now: float) -> None:
        """Record that a zone reclaimed its back ends of a kind, or refused to provide any."""
        known = self._backoffs.get((zone, kind))
        if known is not None and now < known.until:
            return
        is_repeat = known is not None and now < known.until + 2 * known.duration_s
        duration_s = (
            min(MAX_BACKOFF_S, 2 * known.duration_s) if known and is_repeat else MIN_BACKOFF_S
        )
        self._backoffs[zone, kind] = _Backoff(now + duration_s, duration_s)

    def plan(self, now: float) -> list[ZoneCapacity]:
        """Return the wanted numbers for all zones."""
        usable = {
            kind: [zone for zone in self._zones if not self._is_in_backoff(zone, kind, now)]
            for kind in ("dedicated", "cheap")
        }
        # If no zone is usable, the orders stay, so that the first zone to recover fulfils them.
        dedicated = _distribute(self._dedicated(len(usable["dedicated"])), usable["dedicated"])
        cheap = _distribute(self._cheap(sum(dedicated.values())), usable["cheap"])
        return [
            ZoneCapacity(zone, kind, counts.get(zone, 0))
            for kind, counts in (("dedicated", dedicated), ("cheap", cheap))
            for zone in self._zones
            if kind == "cheap" or zone in counts
        ]

    def _dedicated(self, zones: int) -> int:
        if not self._spare_zone or zones < 2:
            return self.promised_workers
        return self.promised_workers + math.ceil(self.promised_workers / (zones - 1))

    def _cheap(self, dedicated: int) -> int:
        idle = max(0.0, dedicated * TARGET_LOAD - self._uninterruptible)
        wanted = math.ceil(max(0.0, self._interruptible - idle))
        if self._cheap_share >= 1:
            return wanted
        # The share is of all workers: cheap <= share * (cheap + dedicated).
        max_cheap = dedicated * self._cheap_share / (1 - self._cheap_share)
        return min(wanted, math.floor(max_cheap + 1e-9))

    def _is_in_backoff(self, zone: str, kind: str, now: float) -> bool:
        backoff = self._backoffs.get((zone, kind))
        return backoff is not None and now < backoff.until


def _distribute(count: int, zones: Iterable[str]) -> dict[str, int]:
    """Distribute a number evenly over zones; the first zones get the remainder."""
    names = list(zones)
    if not names:
        return {}
    each, remainder = divmod(count, len(names))
    return {name: each + (number < remainder) for number, name in enumerate(names)}
