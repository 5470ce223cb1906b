"""Hosts of the platform over time, so that an outdated list can be returned."""

from collections.abc import Sequence
from typing import NamedTuple

from laburnumreel.state import CapacityOrder, Host

# Seconds for which a host that an order releases is listed as leaving.
LEAVING_S = 5.0
_NEVER = float("inf")


class _HostRecord(NamedTuple):
    host: Host
    arrives_at: float
    leaves_at: float = _NEVER
    gone_at: float = _NEVER


class HostList:
    """Hosts with the times at which they arrive, start to leave and are gone.

    Capacity orders change the list only after spare hosts are set. Times are in seconds.
    """

    def __init__(self) -> None:
        self._records: list[_HostRecord] = []
        self._spares: list[Host] = []
        self._arrival_delay_s: float | None = None

    def list_at(self, time: float) -> list[Host]:
        """Return the list as it was at a past time."""
        return [
            record.host._replace(state="leaving") if record.leaves_at <= time else record.host
            for record in self._records
            if record.arrives_at <= time < record.gone_at
        ]

    def replace(self, hosts: Sequence[Host], now: float) -> None:
        """Make `hosts` the list from `now` on. Hosts that are not in it are gone."""
        new_hosts = list(hosts)
        records = []
        for record in self._records:
            if record.gone_at > now and record.host in new_hosts:
                new_hosts.remove(record.host)
            elif record.gone_at > now:
                record = record._replace(gone_at=now)
            records.append(record)
        self._records = records + [_HostRecord(host, now) for host in new_hosts]

    def reclaim(self, zone: str, notice_s: float, now: float) -> list[str]:
        """Mark the cheap hosts of an availability zone as leaving and return their names.

        They are gone `notice_s` seconds later.
        """
        names = []
        for index, record in enumerate(self._records):
            host = record.host
            if host.zone == zone and host.cheap and record.arrives_at <= now < record.leaves_at:
                self._records[index] = record._replace(leaves_at=now, gone_at=now + notice_s)
                names.append(host.name)
        return names

    def set_spares(self, hosts: Sequence[Host], arrival_delay_s: float) -> None:
        """Set the hosts that orders can add, each `arrival_delay_s` seconds after its order."""
        self._spares = list(hosts)
        self._arrival_delay_s = arrival_delay_s

    def apply(self, zone: str, order: CapacityOrder, now: float) -> None:
        """Change the number of hosts of a kind to the ordered count.

        Missing hosts are taken from the spare hosts. Surplus hosts, the newest ones, leave.
        """
        if self._arrival_delay_s is None:
            return
        group = (zone, order.service, order.kind == "cheap")
        group_indexes = [
            index
            for index, record in enumerate(self._records)
            if _group_of(record.host) == group and record.leaves_at > now and record.gone_at > now
        ]
        for index in group_indexes[max(0, order.count) :]:
            record = self._records[index]
            self._records[index] = record._replace(leaves_at=now, gone_at=now + LEAVING_S)
        missing = max(0, order.count - len(group_indexes))
        for host in [spare for spare in self._spares if _group_of(spare) == group][:missing]:
            self._spares.remove(host)
            self._records.append(_HostRecord(host, now + self._arrival_delay_s))


def _group_of(host: Host) -> tuple[str, str, bool]:
    return host.zone, host.service, host.cheap
