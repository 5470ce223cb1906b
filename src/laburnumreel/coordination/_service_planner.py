"""Demand of a service as estimated from delayed load reports, and the planning based on it."""

from collections.abc import Iterable, Mapping, Sequence

from laburnumreel.coordination._back_ends import LoadReport
from laburnumreel.coordination._capacity_planner import ZoneCapacity, ZoneCapacityPlanner
from laburnumreel.coordination._role_planner import (
    SHORT_MEAN_S,
    EngineView,
    MeanRates,
    RolePlanner,
)
from laburnumreel.state import Host, Profile, Service, Target, WantedOrder

# Load reports are some seconds old. An engine counts as drained only by a report taken at least
# this long after the first report that showed the drain, because an earlier report could miss a
# request that was admitted before the drain.
DRAIN_CONFIRM_S = 5.0
# Averaging time of the load. A single report shows whether an engine is busy, not for how much of
# the time, and ordered back ends are kept for minutes, so a few busy reports must not order any.
LOAD_MEAN_S = 60.0


def engine_demand(view: EngineView, profile: Profile) -> tuple[float, float]:
    """Return the demand of an engine's requests in prefill and decode tokens per second.

    A queued prompt shows that the engine prefills at full speed, so the queue is added to that.
    Where the queue takes longer than the first token goal, most streams still wait for their
    prefill, and only the share that the goal allows for counts as decoding.
    """
    queued = view.queued_prefill_tokens
    prefill = view.prefill_tokens_per_s + queued / SHORT_MEAN_S if queued else 0.0
    allowed_queue_tokens = view.prefill_tokens_per_s * profile.first_token_s
    decoding = view.streams * min(1.0, allowed_queue_tokens / queued if queued else 1.0)
    return prefill, decoding / profile.token_gap_s


def load_in_workers(views: Iterable[EngineView], profile: Profile) -> float:
    """Return the load as the number of engines that it would keep fully busy."""
    load = 0.0
    for view in views:
        prefill, decode = engine_demand(view, profile)
        load += max(
            prefill / max(view.prefill_tokens_per_s, 1e-9),
            decode / max(view.decode_tokens_per_s, 1e-9),
        )
    return load


class ServicePlanner:
    """Runs the role and the capacity planner of a service on each round of load reports."""

    def __init__(self, service: Service, profile: Profile) -> None:
        self.settings = (service, profile)
        self._profile = profile
        self._role_planner = RolePlanner.from_service(service, profile)
        self._capacity_planner = ZoneCapacityPlanner.from_service(service)
        self._mean_load = MeanRates(LOAD_MEAN_S)
        self._first_round_at: float | None = None
        self._last_round_at = 0.0
        self._is_load_known = False
        self._drain_seen_at: dict[str, float] = {}
        self._cheap_wanted: dict[str, int] = {}

    @property
    def is_load_known(self) -> bool:
        """Whether the load was observed for long enough to order fewer back ends."""
        return self._is_load_known

    def role_orders(
        self, hosts: Sequence[Host], reports: Mapping[str, LoadReport], now: float
    ) -> list[WantedOrder]:
        """Return the drain and role orders for the service's engines.

        A role change is ordered only where reports show that the engine is drained and empty.
        """
        views = _views(hosts, reports)
        elapsed_s = 0.0 if self._first_round_at is None else now - self._last_round_at
        demands = [engine_demand(view, self._profile) for view in views]
        prefill, decode = (sum(each[kind] for each in demands) for kind in (0, 1))
        self._role_planner.observe(prefill * elapsed_s, decode * elapsed_s, now)
        self._record_load(views, elapsed_s, now)
        self._record_drains(views, reports)
        plan = self._role_planner.plan(views, now)
        changes = {change.name: change.role for change in plan.change}
        orders = []
        for view in views:
            target, draining = Target.engine(view.name), reports[view.name].draining
            if draining != (view.name in plan.drain):
                # A drain outside the plan was ordered by an earlier plan or leaseholder: end it.
                orders.append(WantedOrder(target, "drain", {"on": not draining}))
            elif view.name in changes and self._is_drained(view, reports[view.name]):
                orders.append(WantedOrder(target, "role", {"role": changes[view.name]}))
        return orders

    def capacity(self, hosts: Sequence[Host], now: float) -> list[ZoneCapacity]:
        """Return the wanted number of back ends for each zone and kind."""
        for zone, count in self._cheap_wanted.items():
            states = [host.state for host in hosts if host.zone == zone and host.cheap]
            # All cheap back ends of a zone are reclaimed at once; an order lets only some leave.
            if count and states and all(state == "leaving" for state in states):
                self._capacity_planner.mark_unavailable(zone, "cheap", now)
        wanted = self._capacity_planner.plan(now)
        self._cheap_wanted = {each.zone: each.count for each in wanted if each.kind == "cheap"}
        return wanted

    def _record_load(self, views: Sequence[EngineView], elapsed_s: float, now: float) -> None:
        if self._first_round_at is None:
            self._first_round_at = now
        self._last_round_at = now
        if elapsed_s <= 0:
            return
        self._mean_load.add((load_in_workers(views, self._profile), 0.0), elapsed_s)
        if now - self._first_round_at < LOAD_MEAN_S:
            return
        self._is_load_known = True
        load = self._mean_load.rates[0]
        may_be_interrupted = self._profile.cheap_back_ends == "interruptible"
        uninterruptible, interruptible = (0.0, load) if may_be_interrupted else (load, 0.0)
        self._capacity_planner.observe(uninterruptible, interruptible, now)

    def _record_drains(
        self, views: Sequence[EngineView], reports: Mapping[str, LoadReport]
    ) -> None:
        # The wait starts again after a missing report or a report that shows no drain.
        self._drain_seen_at = {
            view.name: self._drain_seen_at.get(view.name, reports[view.name].at)
            for view in views
            if reports[view.name].draining
        }

    def _is_drained(self, view: EngineView, report: LoadReport) -> bool:
        drain_seen_at = self._drain_seen_at.get(view.name)
        is_confirmed = drain_seen_at is not None and report.at - drain_seen_at >= DRAIN_CONFIRM_S
        return is_confirmed and not view.streams and not view.queued_prefill_tokens


def _views(hosts: Sequence[Host], reports: Mapping[str, LoadReport]) -> list[EngineView]:
    return [
        EngineView(
            host.name,
            host.zone,
            report.role,
            report.prefill_tokens_per_s,
            report.decode_tokens_per_s,
            report.max_streams,
            report.decode_streams,
            report.queued_prefill_tokens,
        )
        for host in hosts
        if host.kind == "engine" and host.state == "live" and (report := reports.get(host.name))
    ]
