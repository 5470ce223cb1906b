"""How many backend servers of each kind a service should have in each availability zone.

Load patterns that this answers: a mix of prompts and answers that shifts faster than backend servers
start, so that room for the heavier mix is kept where it costs little; and an availability zone that
loses all its cheap backend servers at once, so that dedicated ones stay in every zone and cheap ones
are spread over all of them.
"""

import math
from collections import Counter
from collections.abc import Callable, Mapping
from typing import NamedTuple

from laburnumreel.coordination import GuardedSender
from laburnumreel.core import Log
from laburnumreel.relay._back_ends import Address, ListedBackEnd
from laburnumreel.relay._beliefs import FleetView
from laburnumreel.relay._config import RelayService, Scaling
from laburnumreel.relay._events import CAPACITY_ORDERED, CAPACITY_REFUSED
from laburnumreel.relay._ports import DutyWire
from laburnumreel.state import (
    Authority,
    Check,
    FieldError,
    Fields,
    Platform,
    Row,
    Write,
    own_rows,
)

# Cheap backend servers are worth room for the heavier mix up to this share of a dedicated one's
# price.
WORTHWHILE_PRICE_SHARE = 0.5
# Backend servers of both kinds together, for each one that the deployment came with: room for the
# heavier mix, and for the loss of a zone's cheap ones. The service's own limit is mostly lower.
ROOM = 3.0
# The zones that may lose all their cheap backend servers at once, before those that are left are
# fewer than the deployment came with.
LOST_ZONES = 2
# A zone that loses all its cheap ones takes less than this share of a service's backend servers away:
# above it, callers were served worse for all that was saved.
MOST_LOST_SHARE = 0.25
# Of a service's backend servers, this share may be away at once for such a step, and at least one.
STEP_SHARE = 0.1
CAPACITY_TABLE = "relay_capacity"
# Backend servers of a zone that a row may tell of.
MOST_FOUND = 1_000_000
# A deployment's backend servers make themselves known within some seconds of its start, each with its
# next sign of life.
GROW_S = 8.0
# An order that did not show in the list is repeated after the time to start and this much more.
REPEAT_S = 3.0
REFUSED_RETRY_S = 2.0
# After a refusal, cheap backend servers are taken as not to be had for this long: several tries.
DRY_S = 5 * REFUSED_RETRY_S
# Dedicated backend servers are given back only where no request has waited for a place for this long:
# a burst that has passed may come again, and one takes several seconds to come back.
CALM_S = 15.0

_log = Log("relay.capacity")


class Group(NamedTuple):
    """Backend servers of one kind of a service in an availability zone."""

    service: str
    zone: str
    cheap: bool


class ZoneState(NamedTuple):
    """What serves in a zone: dedicated and cheap backend servers, and whether cheap ones can be had.

    `cheap_refused` means that an order of cheap ones was refused lately, or that they did not come.
    """

    dedicated: int = 0
    cheap: int = 0
    cheap_refused: bool = False


def least_dedicated(scaling: Scaling, found: Mapping[str, int]) -> int:
    """Return the least dedicated backend servers of a zone that bears the loss of the cheap ones.

    What is left when some zones lose all their cheap ones must be as many as the deployment came
    with, and one zone's loss must be a bounded share.

    >>> scaling = Scaling(1, 4, 4.0, 0.18, {})
    >>> least_dedicated(scaling, {"a": 2, "b": 2, "c": 2}), least_dedicated(scaling, {"a": 2})
    (2, 2)
    >>> least_dedicated(scaling, dict.fromkeys("abcdef", 2))
    1
    """
    for least in range(max(1, scaling.least), max(found.values(), default=1)):
        totals = {zone: _total(scaling, count) for zone, count in found.items()}
        cheap = sorted(totals[zone] - min(least, count) for zone, count in found.items())
        left = sum(totals.values()) - sum(cheap[-LOST_ZONES:])
        if left >= sum(found.values()) and cheap[-1] < MOST_LOST_SHARE * sum(totals.values()):
            return least
    return max(found.values(), default=1)


def wanted_counts(
    service: RelayService,
    scaling: Scaling,
    found: Mapping[str, int],
    zones: Mapping[str, ZoneState],
    may_give_back: bool = True,
    is_idle: bool = False,
) -> Mapping[Group, int]:
    """Return how many backend servers of each kind a service should have in each zone.

    `found` gives the dedicated ones by zone that the deployment came with. Cheap ones take the place
    of dedicated ones in steps: a zone's limit counts both kinds, so that the dedicated ones of a step
    go first. Where cheap ones can't be had, dedicated ones are ordered back. None is given back
    without `may_give_back`, while the deployment still makes itself known or requests wait for places.
    Where a service `is_idle`, as before its first request, all steps are made at once.
    """
    wanted = {}
    # A step costs a zone some of its backend servers for seconds: no other zone may be short then.
    is_whole = all(
        not now.cheap_refused and now.dedicated + now.cheap >= _total(scaling, found[zone])
        for zone, now in zones.items()
    )
    fleet = sum(_total(scaling, each) for each in found.values())
    steps_left = fleet if is_idle else max(1, round(STEP_SHARE * fleet))
    cheap_enough = scaling.cheap_price is not None and scaling.cheap_price <= WORTHWHILE_PRICE_SHARE
    least = least_dedicated(scaling, found)
    for zone, count in found.items():
        count = max(scaling.least, min(scaling.most, count))
        now = zones.get(zone, ZoneState())
        if not cheap_enough:
            wanted[Group(service.name, zone, False)] = count
            continue
        total = _total(scaling, count)
        least_here = max(scaling.least, min(least, count))
        room = max(0, scaling.most - max(now.dedicated, least_here))
        # Cheap ones that serve stay, whatever else has come back meanwhile.
        cheap = min(total - least_here, max(room, now.cheap))
        expected = now.cheap if now.cheap_refused else cheap
        # A zone that came with few keeps more than it came with, as cheap ones are most of it.
        dedicated = max(least_here, min(max(count, math.ceil(total / 2)), total - expected))
        spare = now.dedicated - least_here
        full_step = cheap < total - least_here and now.cheap >= cheap
        if full_step and spare > 0 and is_whole:
            step = spare if is_idle else min(max(1, spare // 2), steps_left)
            steps_left -= step
            dedicated = now.dedicated - step
        if not may_give_back:
            dedicated = max(dedicated, now.dedicated)
        wanted[Group(service.name, zone, True)] = cheap
        wanted[Group(service.name, zone, False)] = min(dedicated, scaling.most)
    return wanted


def _total(scaling: Scaling, count: int) -> int:
    """Return the backend servers of both kinds of a zone that came with some dedicated ones."""
    return max(count, min(round(ROOM * count), scaling.most))


class CapacityPlanner:
    """Orders backend servers until the list shows the wanted counts.

    `fleet` gives the backend servers as listed and how busy their services are. `all_look` tells whether all hosts can look at the list: one that can't sees late that a
    backend server leaves, so that none is given back then.
    """

    def __init__(
        self,
        platform: Platform,
        sender: GuardedSender,
        wire: DutyWire,
        address: Callable[[], Address],
        services: Callable[[], Mapping[str, RelayService]],
        fleet: Callable[[], FleetView],
        all_look: Callable[[], bool] = lambda: True,
    ) -> None:
        self._platform = platform
        self._sender = sender
        self._wire = wire
        self._address = address
        self._services = services
        self._fleet = fleet
        self._all_look = all_look
        self._ordered: dict[Group, tuple[int, float]] = {}
        # When each service last had any work.
        self._busy_at: dict[str, float] = {}
        # When the last order of a group was refused or got no answer.
        self._refused: dict[Group, float] = {}
        self._found: dict[str, Mapping[str, int]] = {}
        # What this host found under earlier authorities, for a store that has forgotten it.
        self._remembered: dict[str, Mapping[str, int]] = {}
        # Services whose backend servers still make themselves known, and until when.
        self._growing: dict[str, float] = {}
        # The version of a row that tells no counts and is to be written over, 0 where there is none.
        self._row_versions: dict[str, int] = {}
        self._fence = 0

    def step(self, authority: Authority, now: float) -> None:
        """Give the orders that are due."""
        if authority.fence != self._fence:
            self._fence = authority.fence
            self._ordered.clear()
            self._refused.clear()
            self._remembered.update(self._found)
            self._found.clear()
            self._growing.clear()
        view = self._fleet()
        self._busy_at.update(dict.fromkeys(view.busy, now))
        listed = [entry for entry in view.back_ends if not entry.draining]
        for service in self._services().values():
            if service.scaling is None:
                continue
            found = self._found_counts(service, listed, now)
            if found is None:
                continue
            have = Counter(Group(entry.service, entry.zone, entry.cheap) for entry in listed)
            zones = {zone: self._zone_state(service.name, zone, have, now) for zone in found}
            calm = now - view.pressed.get(service.name, float("-inf")) >= CALM_S
            is_idle = now - self._busy_at.get(service.name, float("-inf")) >= CALM_S
            known = service.name not in self._growing
            in_need = any(
                each.service == service.name and each.name in view.limited for each in listed
            )
            may_give_back = calm and known and not in_need and self._all_look()
            wanted = wanted_counts(service, service.scaling, found, zones, may_give_back, is_idle)
            for group, count in wanted.items():
                if have[group] != count:
                    boot_s = service.scaling.boot_s
                    self._order(authority, group, count, have[group], boot_s, now)

    def _zone_state(
        self, service: str, zone: str, have: Mapping[Group, int], now: float
    ) -> ZoneState:
        cheap = Group(service, zone, True)
        ordered, next_at = self._ordered.get(cheap, (-1, 0.0))
        # An order that is due again has not brought what it asked for.
        refused_at = self._refused.get(cheap, float("-inf"))
        refused = now - refused_at < DRY_S or (have[cheap] < ordered and now >= next_at)
        return ZoneState(have[Group(service, zone, False)], have[cheap], refused)

    def _found_counts(
        self, service: RelayService, listed: list[ListedBackEnd], now: float
    ) -> Mapping[str, int] | None:
        """Return the dedicated backend servers by zone that the deployment came with.

        They make themselves known one by one, so for a while the most that were seen count. Then the
        holder writes them down, so that its successors do not take a loss for the plan.
        """
        name = service.name
        found = self._found.get(name)
        if found is not None and name not in self._growing:
            return found
        if found is None:
            row = self._platform.read(CAPACITY_TABLE, name)
            if row.is_error():
                return None
            counts = _counts(row.ok)
            if counts is not None:
                self._found[name] = counts
                return counts
            self._row_versions[name] = row.ok.version if row.ok is not None else 0
            remembered = self._remembered.get(name)
            found = self._found[name] = dict(remembered or {})
            self._growing[name] = now if remembered else now + GROW_S
        dedicated = [entry for entry in listed if entry.service == name and not entry.cheap]
        for zone, count in Counter(entry.zone for entry in dedicated).items():
            found[zone] = max(count, found.get(zone, 0))
        if found and now >= self._growing[name]:
            written = self._platform.transact(
                [Check(CAPACITY_TABLE, name, self._row_versions.get(name, 0))],
                [Write(CAPACITY_TABLE, name, {"dedicated": found})],
            )
            if written.is_ok():
                del self._growing[name]
            elif written.error.kind == "conflict":
                # Another holder was first; what it wrote is read in the next step.
                del self._growing[name], self._found[name]
        return found

    def _order(
        self,
        authority: Authority,
        group: Group,
        count: int,
        have: int,
        boot_s: float,
        now: float,
    ) -> None:
        ordered, next_at = self._ordered.get(group, (-1, 0.0))
        if ordered == count and now < next_at:
            return
        call = self._wire.capacity(authority, group.service, group.zone, count, group.cheap)
        sent = self._sender.post(authority, self._address(), call.path, call.body, call.headers)
        if sent.is_ok() and sent.ok.status == 200:
            self._ordered[group] = (count, now + boot_s + REPEAT_S)
            self._refused.pop(group, None)
            _log.info(CAPACITY_ORDERED, **group._asdict(), count=count, have=have)
            return
        self._ordered[group] = (count, now + REFUSED_RETRY_S)
        self._refused[group] = now
        detail = sent.error.detail if sent.is_error() else f"status {sent.ok.status}"
        _log.warning(CAPACITY_REFUSED, **group._asdict(), count=count, detail=detail[:200])


def _counts(row: Row | None) -> dict[str, int] | None:
    """Return the counts by zone that a row tells, or None where they are to be found anew."""
    if row is None:
        return None
    try:
        return Fields(row.value).fields("dedicated").wholes(0, MOST_FOUND)
    except FieldError as error:
        own_rows.tell(CAPACITY_TABLE, row.key, row.version, str(error))
        return None
