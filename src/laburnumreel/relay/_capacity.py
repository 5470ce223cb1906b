"""Capacity planning: backend servers of each kind per service and availability zone.

The mix of prompts and answers can change faster than backend servers start, so spare capacity for
the heavier mix is kept where it is cheap. An availability zone can lose all its cheap backend
servers at once, so every zone keeps dedicated ones and the cheap ones are spread over all zones.
"""

import math
from collections import Counter
from collections.abc import Callable, Mapping
from typing import NamedTuple

from laburnumreel.coordination import AuthorizedSender
from laburnumreel.core import Log
from laburnumreel.relay._back_ends import Address, ListedBackEnd
from laburnumreel.relay._config import RelayService, Scaling
from laburnumreel.relay._events import CAPACITY_ORDERED, CAPACITY_REFUSED
from laburnumreel.relay._fleet_state import FleetView
from laburnumreel.relay._ports import DutyWire
from laburnumreel.state import (
    Authority,
    Check,
    FieldError,
    Fields,
    Platform,
    Row,
    Write,
    own_row_log,
)

# Spare capacity of cheap backend servers is worthwhile up to this share of the price of a dedicated
# one.
WORTHWHILE_PRICE_SHARE = 0.5
# A zone is planned with at most this many times the backend servers of its initial deployment, both
# kinds together. This covers the heavier mix and the loss of a zone's cheap ones. The limit of the
# service is usually lower.
MAX_CAPACITY_FACTOR = 3.0
# Number of zones that may lose all their cheap backend servers at once without the remaining ones
# becoming fewer than those of the initial deployment.
LOST_ZONES = 2
# The cheap backend servers of one zone are less than this share of those of the service. With more,
# callers were served noticeably worse after the loss of a zone despite the savings.
MAX_LOST_SHARE = 0.25
# Share of a service's backend servers that may be replaced in one step, at least one.
STEP_SHARE = 0.1
CAPACITY_TABLE = "relay_capacity"
# Upper bound of the count of backend servers per zone in a stored row.
MAX_ROW_COUNT = 1_000_000
# The backend servers of a deployment appear in the list within some seconds of its start, each with
# its next heartbeat.
DISCOVERY_S = 8.0
# An order whose effect is not visible in the list is repeated after the start time plus this.
REORDER_MARGIN_S = 3.0
REFUSED_RETRY_S = 2.0
# After a refusal, cheap backend servers count as unavailable for the time of several retries.
UNAVAILABLE_S = 5 * REFUSED_RETRY_S
# Dedicated backend servers are given back only if no request had to wait for a slot for this long.
# A burst may come again, and a backend server takes several seconds to start.
QUIET_S = 15.0

_log = Log("relay.capacity")


class BackEndGroup(NamedTuple):
    """The dedicated or cheap backend servers of a service in an availability zone."""

    service: str
    zone: str
    cheap: bool


class ZoneState(NamedTuple):
    """The number of dedicated and cheap backend servers that serve in a zone.

    `cheap_refused` is True if a recent order of cheap ones was refused or not fulfilled.
    """

    dedicated: int = 0
    cheap: int = 0
    cheap_refused: bool = False


def min_dedicated(scaling: Scaling, initial_counts: Mapping[str, int]) -> int:
    """Return the minimum of dedicated backend servers per zone to survive the loss of cheap ones.

    If `LOST_ZONES` zones lose all their cheap ones, at least as many as in the initial deployment
    must remain, and the loss of one zone must be less than `MAX_LOST_SHARE` of all.

    >>> scaling = Scaling(1, 4, 4.0, 0.18, {})
    >>> min_dedicated(scaling, {"a": 2, "b": 2, "c": 2}), min_dedicated(scaling, {"a": 2})
    (2, 2)
    >>> min_dedicated(scaling, dict.fromkeys("abcdef", 2))
    1
    """
    for min_per_zone in range(max(1, scaling.min_count), max(initial_counts.values(), default=1)):
        totals = {zone: _total(scaling, count) for zone, count in initial_counts.items()}
        cheap = sorted(
            totals[zone] - min(min_per_zone, count) for zone, count in initial_counts.items()
        )
        left = sum(totals.values()) - sum(cheap[-LOST_ZONES:])
        if left >= sum(initial_counts.values()) and cheap[-1] < MAX_LOST_SHARE * sum(
            totals.values()
        ):
            return min_per_zone
    return max(initial_counts.values(), default=1)


def wanted_counts(
    service: RelayService,
    scaling: Scaling,
    initial_counts: Mapping[str, int],
    zones: Mapping[str, ZoneState],
    can_remove: bool = True,
    is_idle: bool = False,
) -> Mapping[BackEndGroup, int]:
    """Return how many backend servers of each kind a service should have in each zone.

    `initial_counts` is the number of dedicated ones by zone in the initial deployment. Cheap
    ones replace dedicated ones in steps. The limit of a zone counts both kinds, so the
    dedicated ones of a step are given back first. If cheap ones are unavailable,
    dedicated ones are ordered again. Without `can_remove`, no backend server is
    given back. It is False while the backend servers of the deployment still appear or
    requests wait for slots. If the service `is_idle`, as before its first request, all
    steps are made at once.
    """
    wanted = {}
    # During a step a zone lacks some backend servers for seconds, so all zones must be complete.
    all_complete = all(
        not state.cheap_refused
        and state.dedicated + state.cheap >= _total(scaling, initial_counts[zone])
        for zone, state in zones.items()
    )
    fleet = sum(_total(scaling, each) for each in initial_counts.values())
    steps_left = fleet if is_idle else max(1, round(STEP_SHARE * fleet))
    is_cheap_worthwhile = (
        scaling.cheap_price is not None and scaling.cheap_price <= WORTHWHILE_PRICE_SHARE
    )
    min_per_zone = min_dedicated(scaling, initial_counts)
    for zone, count in initial_counts.items():
        count = max(scaling.min_count, min(scaling.max_count, count))
        state = zones.get(zone, ZoneState())
        if not is_cheap_worthwhile:
            wanted[BackEndGroup(service.name, zone, False)] = count
            continue
        total = _total(scaling, count)
        min_here = max(scaling.min_count, min(min_per_zone, count))
        room = max(0, scaling.max_count - max(state.dedicated, min_here))
        # Cheap ones that already serve are kept, even if dedicated ones have returned meanwhile.
        cheap = min(total - min_here, max(room, state.cheap))
        expected = state.cheap if state.cheap_refused else cheap
        # Cheap ones are most of a zone's total, so without them it may get more dedicated ones than
        # it had initially, up to half of the total.
        dedicated = max(min_here, min(max(count, math.ceil(total / 2)), total - expected))
        spare = state.dedicated - min_here
        is_step_due = cheap < total - min_here and state.cheap >= cheap
        if is_step_due and spare > 0 and all_complete:
            step = spare if is_idle else min(max(1, spare // 2), steps_left)
            steps_left -= step
            dedicated = state.dedicated - step
        if not can_remove:
            dedicated = max(dedicated, state.dedicated)
        wanted[BackEndGroup(service.name, zone, True)] = cheap
        wanted[BackEndGroup(service.name, zone, False)] = min(dedicated, scaling.max_count)
    return wanted


def _total(scaling: Scaling, count: int) -> int:
    """Return the total of both kinds for a zone with `count` initial dedicated ones."""
    return max(count, min(round(MAX_CAPACITY_FACTOR * count), scaling.max_count))


class CapacityPlanner:
    """Orders backend servers until the list shows the wanted counts.

    `fleet` returns the listed backend servers and the load of their services.
    `can_all_see_list` returns whether all hosts can read the list. A host that can't notices
    late that a backend server leaves, so none is given back in that case.
    """

    def __init__(
        self,
        platform: Platform,
        sender: AuthorizedSender,
        wire: DutyWire,
        address: Callable[[], Address],
        services: Callable[[], Mapping[str, RelayService]],
        fleet: Callable[[], FleetView],
        can_all_see_list: Callable[[], bool] = lambda: True,
    ) -> None:
        self._platform = platform
        self._sender = sender
        self._duty_wire = wire
        self._address = address
        self._services = services
        self._fleet = fleet
        self._can_all_see_list = can_all_see_list
        self._last_orders: dict[BackEndGroup, tuple[int, float]] = {}
        # The time at which each service last had any work.
        self._busy_at: dict[str, float] = {}
        # The time at which the last order of a group was refused or got no answer.
        self._refused_at: dict[BackEndGroup, float] = {}
        self._initial_counts: dict[str, Mapping[str, int]] = {}
        # Initial counts that this host found under earlier leases, in case the store lost them.
        self._previous_counts: dict[str, Mapping[str, int]] = {}
        # Services whose backend servers are still being counted, and until when.
        self._counting_until: dict[str, float] = {}
        # The version of an invalid row that will be overwritten, 0 if there is no row.
        self._row_versions: dict[str, int] = {}
        self._fence = 0

    def step(self, authority: Authority, now: float) -> None:
        """Send the orders that are due."""
        if authority.fence != self._fence:
            self._fence = authority.fence
            self._last_orders.clear()
            self._refused_at.clear()
            self._previous_counts.update(self._initial_counts)
            self._initial_counts.clear()
            self._counting_until.clear()
        view = self._fleet()
        self._busy_at.update(dict.fromkeys(view.busy_services, now))
        listed = [entry for entry in view.back_ends if not entry.draining]
        for service in self._services().values():
            if service.scaling is None:
                continue
            initial_counts = self._initial_counts_of(service, listed, now)
            if initial_counts is None:
                continue
            current = Counter(
                BackEndGroup(entry.service, entry.zone, entry.cheap) for entry in listed
            )
            zones = {
                zone: self._zone_state(service.name, zone, current, now) for zone in initial_counts
            }
            is_quiet = now - view.last_short_at.get(service.name, float("-inf")) >= QUIET_S
            is_idle = now - self._busy_at.get(service.name, float("-inf")) >= QUIET_S
            is_counted = service.name not in self._counting_until
            has_limited = any(
                each.service == service.name and each.name in view.limited_back_ends
                for each in listed
            )
            can_remove = is_quiet and is_counted and not has_limited and self._can_all_see_list()
            wanted = wanted_counts(
                service, service.scaling, initial_counts, zones, can_remove, is_idle
            )
            for group, count in wanted.items():
                if current[group] != count:
                    boot_s = service.scaling.boot_s
                    self._order(authority, group, count, current[group], boot_s, now)

    def _zone_state(
        self, service: str, zone: str, current: Mapping[BackEndGroup, int], now: float
    ) -> ZoneState:
        cheap = BackEndGroup(service, zone, True)
        ordered, next_at = self._last_orders.get(cheap, (-1, 0.0))
        # An order that is due again was not fulfilled.
        refused_at = self._refused_at.get(cheap, float("-inf"))
        refused = now - refused_at < UNAVAILABLE_S or (current[cheap] < ordered and now >= next_at)
        return ZoneState(current[BackEndGroup(service, zone, False)], current[cheap], refused)

    def _initial_counts_of(
        self, service: RelayService, listed: list[ListedBackEnd], now: float
    ) -> Mapping[str, int] | None:
        """Return the number of dedicated backend servers by zone in the initial deployment.

        They appear one by one, so for a while the maximum seen counts. Then the lease holder stores
        the counts, so that its successors do not mistake a loss for the plan. Return None if the
        stored row can't be read.
        """
        name = service.name
        initial_counts = self._initial_counts.get(name)
        if initial_counts is not None and name not in self._counting_until:
            return initial_counts
        if initial_counts is None:
            row = self._platform.read(CAPACITY_TABLE, name)
            if row.is_error():
                return None
            counts = _counts(row.ok)
            if counts is not None:
                self._initial_counts[name] = counts
                return counts
            self._row_versions[name] = row.ok.version if row.ok is not None else 0
            previous_counts = self._previous_counts.get(name)
            initial_counts = self._initial_counts[name] = dict(previous_counts or {})
            self._counting_until[name] = now if previous_counts else now + DISCOVERY_S
        dedicated = [entry for entry in listed if entry.service == name and not entry.cheap]
        for zone, count in Counter(entry.zone for entry in dedicated).items():
            initial_counts[zone] = max(count, initial_counts.get(zone, 0))
        if initial_counts and now >= self._counting_until[name]:
            written = self._platform.transact(
                [Check(CAPACITY_TABLE, name, self._row_versions.get(name, 0))],
                [Write(CAPACITY_TABLE, name, {"dedicated": initial_counts})],
            )
            if written.is_ok():
                del self._counting_until[name]
            elif written.error.kind == "conflict":
                # Another lease holder wrote the row first; it is read in the next step.
                del self._counting_until[name], self._initial_counts[name]
        return initial_counts

    def _order(
        self,
        authority: Authority,
        group: BackEndGroup,
        count: int,
        current: int,
        boot_s: float,
        now: float,
    ) -> None:
        ordered, next_at = self._last_orders.get(group, (-1, 0.0))
        if ordered == count and now < next_at:
            return
        call = self._duty_wire.capacity(authority, group.service, group.zone, count, group.cheap)
        sent = self._sender.post(authority, self._address(), call.path, call.body, call.headers)
        if sent.is_ok() and sent.ok.status == 200:
            self._last_orders[group] = (count, now + boot_s + REORDER_MARGIN_S)
            self._refused_at.pop(group, None)
            _log.info(CAPACITY_ORDERED, **group._asdict(), count=count, have=current)
            return
        self._last_orders[group] = (count, now + REFUSED_RETRY_S)
        self._refused_at[group] = now
        detail = sent.error.detail if sent.is_error() else f"status {sent.ok.status}"
        _log.warning(CAPACITY_REFUSED, **group._asdict(), count=count, detail=detail[:200])


def _counts(row: Row | None) -> dict[str, int] | None:
    """Return the counts by zone of a stored row, or None if they must be counted again."""
    if row is None:
        return None
    try:
        return Fields(row.value).fields("dedicated").all_integers(0, MAX_ROW_COUNT)
    except FieldError as error:
        own_row_log.log_once(CAPACITY_TABLE, row.key, row.version, str(error))
        return None
