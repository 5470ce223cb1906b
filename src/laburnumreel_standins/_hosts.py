"""The platform's hosts over time, so that a lagging list can be shown."""

from collections.abc import Sequence
from typing import NamedTuple

from laburnumreel.state import CapacityOrder, Host

# Seconds for which a host that an order gives up is shown as leaving.
LEAVE_S = 5.0
_NEVER = float("inf")


class _Record(NamedTuple):
    host: Host
    arrives: float
    leaves: float = _NEVER
    gone: float = _NEVER


class HostList:
    """Hosts with the times at which they arrive, start to leave and are gone.

    Orders for capacity change the list only once spare hosts are set. Methods that change the list
    take the current time in seconds.
    """

    def __init__(self) -> None:
        self._records: list[_Record] = []
        self._spares: list[Host] = []
        self._arrive_s: float | None = None

    def at(self, seen: float) -> list[Host]:
        """Return the list as it was at a time that has passed."""
        return [
            record.host._replace(state="leaving") if record.leaves <= seen else record.host
            for record in self._records
            if record.arrives <= seen < record.gone
        ]

    def replace(self, hosts: Sequence[Host], now: float) -> None:
        """Make `hosts` the list from now on. Hosts that it lacks are gone."""
        wanted = list(hosts)
        records = []
        for record in self._records:
            if record.gone > now and record.host in wanted:
                wanted.remove(record.host)
            elif record.gone > now:
                record = record._replace(gone=now)
            records.append(record)
        self._records = records + [_Record(host, now) for host in wanted]

    def reclaim(self, zone: str, notice_s: float, now: float) -> list[str]:
        """Let a zone's cheap hosts leave now and be gone after the notice; return their names."""
        names = []
        for index, record in enumerate(self._records):
            host = record.host
            if host.zone == zone and host.cheap and record.arrives <= now < record.leaves:
                self._records[index] = record._replace(leaves=now, gone=now + notice_s)
                names.append(host.name)
        return names

    def set_spares(self, hosts: Sequence[Host], arrive_s: float) -> None:
        """Set the hosts that orders can bring up, each `arrive_s` after its order."""
        self._spares = list(hosts)
        self._arrive_s = arrive_s

    def apply(self, zone: str, order: CapacityOrder, now: float) -> None:
        """Bring up spare hosts, or let the newest hosts leave, until the ordered count is there."""
        if self._arrive_s is None:
            return
        wanted = (zone, order.service, order.kind == "cheap")
        own = [
            index
            for index, record in enumerate(self._records)
            if _group(record.host) == wanted and record.leaves > now and record.gone > now
        ]
        for index in own[max(0, order.count) :]:
            record = self._records[index]
            self._records[index] = record._replace(leaves=now, gone=now + LEAVE_S)
        missing = max(0, order.count - len(own))
        for host in [spare for spare in self._spares if _group(spare) == wanted][:missing]:
            self._spares.remove(host)
            self._records.append(_Record(host, now + self._arrive_s))


def _group(host: Host) -> tuple[str, str, bool]:
    return host.zone, host.service, host.cheap
