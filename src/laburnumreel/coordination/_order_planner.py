"""The task that decides which orders should be sent."""

from collections.abc import Callable, Sequence
from concurrent.futures import Executor
from typing import Protocol

from expression import Result

from laburnumreel.coordination._authority import AuthorityRegistry
from laburnumreel.coordination._authorized_send import Address
from laburnumreel.coordination._events import HOSTS_UNREADABLE
from laburnumreel.coordination._fleet import LoadReport
from laburnumreel.coordination._order_sender import ORDERS_LEASE, OrderPlan
from laburnumreel.coordination._service_planner import ServicePlanner
from laburnumreel.coordination._wanted_orders import Capacity, capacity_orders, model_orders
from laburnumreel.core import Clock, Log, SystemClock, Task
from laburnumreel.state import Configuration, Host, Platform, Target

PLAN_INTERVAL_S = 1.0

_log = Log("coordination.planning")


class LoadReader(Protocol):
    """Reads the load reports of engines."""

    def read_load(self, address: Address) -> Result[LoadReport, str]: ...


class OrderPlanner(Task):
    """Plans orders from hosts and load reports while this process holds the orders lease."""

    def __init__(
        self,
        platform: Platform,
        authorities: AuthorityRegistry,
        load_reader: LoadReader,
        executor: Executor,
        configuration: Callable[[], Configuration | None],
        submit_plan: Callable[[OrderPlan], None],
        clock: Clock | None = None,
    ) -> None:
        super().__init__("planner", PLAN_INTERVAL_S)
        self._platform = platform
        self._authorities = authorities
        self._load_reader = load_reader
        self._executor = executor
        self._configuration = configuration
        self._submit_plan = submit_plan
        self._clock = clock or SystemClock()
        self._fence = 0
        self._planners: dict[str, ServicePlanner] = {}

    def tick(self) -> None:
        configuration = self._configuration()
        authority = self._authorities.current(ORDERS_LEASE)
        if configuration is None or authority is None:
            return
        if authority.fence != self._fence:
            # Another process may have sent orders since; its drains and changes are not known here.
            self._planners.clear()
            self._fence = authority.fence
        hosts = self._platform.hosts()
        if hosts.is_error():
            _log.warning(HOSTS_UNREADABLE, error=hosts.error.detail)
            return
        self._submit_plan(self.plan(configuration, hosts.ok)._replace(fence=authority.fence))

    def plan(self, configuration: Configuration, hosts: Sequence[Host]) -> OrderPlan:
        """Return the orders that these hosts need, and the addresses of their engines."""
        engines = {host.name: parse_address(host.address) for host in hosts if _is_engine(host)}
        reports = self._read_loads(engines)
        now = self._clock.now()
        wanted = model_orders(configuration, hosts, reports)
        self._update_services(configuration)
        minimum_targets: set[Target] = set()
        for name, planner in self._planners.items():
            service_hosts = [host for host in hosts if host.service == name]
            wanted += planner.role_orders(service_hosts, reports, now)
            capacities = [
                Capacity(each.zone, name, each.kind, each.count)
                for each in planner.capacity(service_hosts, now)
            ]
            counts = capacity_orders(capacities)
            wanted += counts
            if not planner.is_load_known:
                # What an earlier plan or leaseholder ordered for the load stays until it is.
                minimum_targets.update(order.target for order in counts)
        return OrderPlan(tuple(wanted), engines, minimum_targets=frozenset(minimum_targets))

    def _update_services(self, configuration: Configuration) -> None:
        """Recreate the planners of changed services and drop those of removed services."""
        previous, self._planners = self._planners, {}
        for name, service in configuration.services.items():
            profile = configuration.profiles.get(service.profile)
            if profile is None:
                continue
            planner = previous.get(name)
            if planner is None or planner.settings != (service, profile):
                planner = ServicePlanner(service, profile)
            self._planners[name] = planner

    def _read_loads(self, engines: dict[str, Address]) -> dict[str, LoadReport]:
        answers = self._executor.map(self._load_reader.read_load, engines.values())
        return {
            name: answer.ok for name, answer in zip(engines, answers, strict=True) if answer.is_ok()
        }


def parse_address(text: str) -> Address:
    """Parse a HOST:PORT text of the host list."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def _is_engine(host: Host) -> bool:
    return host.kind == "engine"
