"""The task that decides which orders should be given."""

from collections.abc import Callable, Sequence
from concurrent.futures import Executor
from typing import Protocol

from expression import Result

from laburnumreel.coordination._authority import AuthorityBoard
from laburnumreel.coordination._events import HOSTS_UNREADABLE
from laburnumreel.coordination._fleet import LoadReport
from laburnumreel.coordination._guarded_send import Address
from laburnumreel.coordination._orders import ORDERS_LEASE, Plan
from laburnumreel.coordination._wanted import (
    capacity_orders,
    even_capacity,
    model_orders,
)
from laburnumreel.core import Log, Task
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
    ) -> None:
        super().__init__("planner", PLAN_EVERY_S)
        self._platform = platform
        self._board = board
        self._loads = loads
        self._readers = readers
        self._configuration = configuration
        self._give = give

    def tick(self) -> None:
        configuration = self._configuration()
        if configuration is None or self._board.current(ORDERS_LEASE) is None:
            return
        hosts = self._platform.hosts()
        if hosts.is_error():
            _log.warning(HOSTS_UNREADABLE, error=hosts.error.detail)
            return
        self._give(self.plan(configuration, hosts.ok))

    def plan(self, configuration: Configuration, hosts: Sequence[Host]) -> Plan:
        """Return the orders that these hosts need, with the addresses of their engines."""
        engines = {host.name: parse_address(host.address) for host in hosts if _is_engine(host)}
        reports = self._read_loads(engines)
        wanted = model_orders(configuration, hosts, reports)
        for service in configuration.services.values():
            wanted += capacity_orders(even_capacity(service))
        return Plan(tuple(wanted), engines)

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
