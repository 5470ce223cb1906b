"""What late load reports say of a service's demand, and the planners' state between reports."""

from collections.abc import Iterable, Mapping, Sequence

from laburnumreel.coordination._back_ends import LoadReport
from laburnumreel.coordination._roles import (
    SHORT_MEAN_S,
    EngineView,
    Mean,
    RolePlanner,
)
from laburnumreel.coordination._spend import SpendPlanner, Wanted
from laburnumreel.state import Host, Profile, Service, Target, WantedOrder

# Reports are some seconds old. Only one taken this long after a report already showed the drain
# counts as a drained engine's: an older one could miss a request admitted before the drain.
REPORT_AGE_S = 5.0
# One report shows whether an engine is busy, not how much of the time. Ordered back ends are held
# for minutes, so a few busy reports must not order any.
SPEND_MEAN_S = 60.0


def engine_demand(view: EngineView, profile: Profile) -> tuple[float, float]:
    """Return the prefill and decode tokens a second that an engine's requests want.

    A queued prompt shows that the engine prefills at full speed and that the queue is wanted on
    top. Streams behind a queue longer than the first token goal mostly wait for their prefill, so
    only the part that the goal allows for counts as decoding.
    """
    queued = view.queued_prefill_tokens
    prefill = view.prefill_tokens_per_s + queued / SHORT_MEAN_S if queued else 0.0
    allowed = view.prefill_tokens_per_s * profile.first_token_s
    decoding = view.streams * min(1.0, allowed / queued if queued else 1.0)
    return prefill, decoding / profile.token_gap_s


def load_in_workers(views: Iterable[EngineView], profile: Profile) -> float:
    """Return how many engines the demand would keep busy."""
    load = 0.0
    for view in views:
        prefill, decode = engine_demand(view, profile)
        load += max(
            prefill / max(view.prefill_tokens_per_s, 1e-9),
            decode / max(view.decode_tokens_per_s, 1e-9),
        )
    return load


class ServicePlans:
    """Runs the role and the spend planner of one service on each round of reports."""

    def __init__(self, service: Service, profile: Profile) -> None:
        self.settings = (service, profile)
        self._profile = profile
        self._roles = RolePlanner.from_service(service, profile)
        self._spend = SpendPlanner.from_service(service)
        self._load = Mean(SPEND_MEAN_S)
        self._first_at: float | None = None
        self._last_at = 0.0
        self._drained_at: dict[str, float] = {}
        self._cheap_wanted: dict[str, int] = {}

    def role_orders(
        self, hosts: Sequence[Host], reports: Mapping[str, LoadReport], now: float
    ) -> list[WantedOrder]:
        """Return the drain and role orders of the service's engines.

        A role is ordered only where reports show the engine drained and without requests.
        """
        views = _views(hosts, reports)
        passed = 0.0 if self._first_at is None else now - self._last_at
        demands = [engine_demand(view, self._profile) for view in views]
        prefill, decode = (sum(each[kind] for each in demands) for kind in (0, 1))
        self._roles.observe(prefill * passed, decode * passed, now)
        self._observe_load(views, passed, now)
        self._note_drains(views, reports)
        plan = self._roles.plan(views, now)
        changes = {change.name: change.role for change in plan.change}
        orders = []
        for view in views:
            target, draining = Target.engine(view.name), reports[view.name].draining
            if draining != (view.name in plan.drain):
                # A drain that no plan wants is left from an earlier plan or a predecessor's.
                orders.append(WantedOrder(target, "drain", {"on": not draining}))
            elif view.name in changes and self._is_empty(view, reports[view.name]):
                orders.append(WantedOrder(target, "role", {"role": changes[view.name]}))
        return orders

    def capacity(self, hosts: Sequence[Host], now: float) -> list[Wanted]:
        """Return the wanted back ends of each zone and kind."""
        for zone, count in self._cheap_wanted.items():
            states = [host.state for host in hosts if host.zone == zone and host.cheap]
            # A zone is reclaimed as a whole; fewer that leave were given back by an order.
            if count and states and all(state == "leaving" for state in states):
                self._spend.unavailable(zone, "cheap", now)
        wanted = self._spend.plan(now)
        self._cheap_wanted = {each.zone: each.count for each in wanted if each.kind == "cheap"}
        return wanted

    def _observe_load(self, views: Sequence[EngineView], passed: float, now: float) -> None:
        if self._first_at is None:
            self._first_at = now
        self._last_at = now
        if passed <= 0:
            return
        self._load.add((load_in_workers(views, self._profile), 0.0), passed)
        if now - self._first_at < SPEND_MEAN_S:
            return
        load = self._load.rates[0]
        may_be_interrupted = self._profile.cheap_back_ends == "interruptible"
        firm, interruptible = (0.0, load) if may_be_interrupted else (load, 0.0)
        self._spend.observe(firm, interruptible, now)

    def _note_drains(self, views: Sequence[EngineView], reports: Mapping[str, LoadReport]) -> None:
        # A report that is missing or shows no drain starts the wait again.
        self._drained_at = {
            view.name: self._drained_at.get(view.name, reports[view.name].at)
            for view in views
            if reports[view.name].draining
        }

    def _is_empty(self, view: EngineView, report: LoadReport) -> bool:
        since = self._drained_at.get(view.name)
        settled = since is not None and report.at - since >= REPORT_AGE_S
        return settled and not view.streams and not view.queued_prefill_tokens


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
