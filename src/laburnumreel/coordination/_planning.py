"""The task that decides which orders should be given."""

from collections.abc import Callable, Sequence
from concurrent.futures import Executor
from typing import Protocol

from expression import Result

from laburnumreel.coordination._authority import AuthorityBoard
from laburnumreel.coordination._demand import ServicePlans
from laburnumreel.coordination._events import HOSTS_UNREADABLE
from laburnumreel.coordination._fleet import LoadReport
from laburnumreel.coordination._guarded_send import Address
from laburnumreel.coordination._orders import ORDERS_LEASE, Plan
from laburnumreel.coordination._wanted import Capacity, capacity_orders, model_orders
from laburnumreel.core import Clock, Log, SystemClock, Task
from laburnumreel.state import Configuration, Host, Platform

PLAN_EVERY_S = 1.0

_log = Log("coordination.planning")


class LoadReader(Protocol):
    """Reads an engine's load report."""

    def read_load(self, address: Address) -> Result[LoadReport, str]: ...


class Planner(Task):
    """Reads hosts and loads while this process holds the lease, and hands out plans."""

    def __init__(
        self,
        platform: Platform,
        board: AuthorityBoard,
        loads: LoadReader,
        readers: Executor,
        configuration: Callable[[], Configuration | None],
        give: Callable[[Plan], None],
        clock: Clock | None = None,
    ) -> None:
        super().__init__("planner", PLAN_EVERY_S)
        self._platform = platform
        self._board = board
        self._loads = loads
        self._readers = readers
        self._configuration = configuration
        self._give = give
        self._clock = clock or SystemClock()
        self._fence = 0
        self._services: dict[str, ServicePlans] = {}

    def tick(self) -> None:
        configuration = self._configuration()
        authority = self._board.current(ORDERS_LEASE)
        if configuration is None or authority is None:
            return
        if authority.fence != self._fence:
            # Another process may have given orders since; its drains and changes are not known.
            self._services.clear()
            self._fence = authority.fence
        hosts = self._platform.hosts()
        if hosts.is_error():
            _log.warning(HOSTS_UNREADABLE, error=hosts.error.detail)
            return
        self._give(self.plan(configuration, hosts.ok)._replace(fence=authority.fence))

    def plan(self, configuration: Configuration, hosts: Sequence[Host]) -> Plan:
        """Return the orders that these hosts need, with the addresses of their engines."""
        engines = {host.name: parse_address(host.address) for host in hosts if _is_engine(host)}
        reports = self._read_loads(engines)
        now = self._clock.now()
        wanted = model_orders(configuration, hosts, reports)
        self._keep_services(configuration)
        for name, plans in self._services.items():
            own = [host for host in hosts if host.service == name]
            wanted += plans.role_orders(own, reports, now)
            capacities = [
                Capacity(each.zone, name, each.kind, each.count)
                for each in plans.capacity(own, now)
            ]
            wanted += capacity_orders(capacities)
        return Plan(tuple(wanted), engines)

    def _keep_services(self, configuration: Configuration) -> None:
        """Start anew for services whose settings changed, and forget those that are gone."""
        known, self._services = self._services, {}
        for name, service in configuration.services.items():
            profile = configuration.profiles.get(service.profile)
            if profile is None:
                continue
            plans = known.get(name)
            if plans is None or plans.settings != (service, profile):
                plans = ServicePlans(service, profile)
            self._services[name] = plans

    def _read_loads(self, engines: dict[str, Address]) -> dict[str, LoadReport]:
        answers = self._readers.map(self._loads.read_load, engines.values())
        return {
            name: answer.ok for name, answer in zip(engines, answers, strict=True) if answer.is_ok()
        }


def parse_address(text: str) -> Address:
    """Read the HOST:PORT of the host list."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def _is_engine(host: Host) -> bool:
    return host.kind == "engine"
