"""State of the platform: tables, objects, orders, usage reports and hosts, without sockets."""

import bisect
import json
import threading
from collections.abc import Callable, Sequence
from operator import itemgetter
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from laburnumreel.state import CapacityOrder, Check, Host, Page, Row, Write
from laburnumreel_standins._host_list import HostList

MAX_SCAN_ROWS = 1000

FailedRows = dict[tuple[str, str], Row | None]


class OrderReceipt(NamedTuple):
    """Record of one received capacity order, for assertions in tests.

    `outcome` is "applied", "repeated" or the reason of the refusal.
    """

    at: float
    zone: str
    order: CapacityOrder
    outcome: str


class UsageReceipt(NamedTuple):
    """Record of one received usage report, for assertions in tests."""

    at: float
    customer: str
    window: str
    figures: dict[str, int]
    accepted: bool


class _Table:
    """Rows, encoded as JSON so that no caller shares a value with the table; keys are sorted."""

    def __init__(self) -> None:
        self._rows: dict[str, tuple[str, int]] = {}
        self._keys: list[str] = []

    def get(self, key: str) -> Row | None:
        stored = self._rows.get(key)
        return None if stored is None else Row(key, json.loads(stored[0]), stored[1])

    def version(self, key: str) -> int:
        return self._rows[key][1] if key in self._rows else 0

    def put(self, key: str, encoded: str, version: int) -> None:
        if key not in self._rows:
            bisect.insort(self._keys, key)
        self._rows[key] = (encoded, version)

    def delete(self, key: str) -> None:
        if self._rows.pop(key, None) is not None:
            del self._keys[bisect.bisect_left(self._keys, key)]

    def scan(self, prefix: str, after: str, limit: int) -> Page:
        start = max(bisect.bisect_left(self._keys, prefix), bisect.bisect_right(self._keys, after))
        rows: list[Row] = []
        for key in self._keys[start : start + limit + 1]:
            if not key.startswith(prefix):
                break
            rows.append(self.get(key))
        return Page(rows[:limit], len(rows) > limit)


class PlatformState:
    """Complete state of the platform. Methods may be called by several threads.

    `now` is in seconds. `hosts` returns the list as it was `hosts_lag_s` seconds before.

    >>> state = PlatformState()
    >>> state.transact([Check("lease", "orders", 0)], [Write("lease", "orders", {"fence": 1})]).ok
    1
    >>> state.read("lease", "orders").value
    {'fence': 1}
    """

    def __init__(self, fence_check: bool = True, hosts_lag_s: float = 0.0) -> None:
        self.fence_check = fence_check
        self.hosts_lag_s = hosts_lag_s
        self._lock = threading.RLock()
        self._tables: dict[str, _Table] = {}
        self._commit = 0
        self._objects: dict[str, bytes] = {}
        self._orders: dict[str, list[CapacityOrder]] = {}
        self._highest_fences: dict[tuple[str, str], int] = {}
        self._order_history: list[OrderReceipt] = []
        self._denied_capacity: set[tuple[str, str]] = set()
        self._usage: dict[tuple[str, str], dict[str, int]] = {}
        self._usage_history: list[UsageReceipt] = []
        self._hosts = HostList()
        self._deferred: list[tuple[float, Callable[[], Any]]] = []

    @property
    def commit(self) -> int:
        """Commit number of the last transaction."""
        return self._commit

    @property
    def order_history(self) -> list[OrderReceipt]:
        with self._lock:
            return list(self._order_history)

    @property
    def usage_history(self) -> list[UsageReceipt]:
        with self._lock:
            return list(self._usage_history)

    @property
    def object_names(self) -> list[str]:
        with self._lock:
            return sorted(self._objects)

    def defer_effect(self, due_at: float, effect: Callable[[], Any]) -> None:
        """Store the effect of a delayed call, to be run at the time `due_at`."""
        with self._lock:
            self._deferred.append((due_at, effect))

    def run_due_effects(self, now: float) -> None:
        """Run the deferred effects that are due at `now`, in the order of their times."""
        with self._lock:
            due = sorted(
                (deferred for deferred in self._deferred if deferred[0] <= now), key=itemgetter(0)
            )
            self._deferred = [deferred for deferred in self._deferred if deferred[0] > now]
            for _, effect in due:
                effect()

    def table_sizes(self) -> dict[str, int]:
        """Return the number of rows in each table."""
        with self._lock:
            return {name: len(table._keys) for name, table in self._tables.items()}

    def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None if there is none."""
        with self._lock:
            return self._table(table).get(key)

    def scan(self, table: str, prefix: str = "", after: str = "", limit: int = 500) -> Page:
        """Return the first `limit` rows, by key, with the prefix and a key greater than `after`."""
        with self._lock:
            return self._table(table).scan(prefix, after, min(max(limit, 1), MAX_SCAN_ROWS))

    def transact(self, checks: Sequence[Check], writes: Sequence[Write]) -> Result[int, FailedRows]:
        """Write all rows if all checks hold, else none.

        Return the commit number, which becomes the version of every written row. The error value
        has the current rows whose checks failed. Raises ValueError if a value is not an object or
        a row is written twice.
        """
        encoded_rows = [
            None if write.value is None else _encode_row(write.value) for write in writes
        ]
        if len({(write.table, write.key) for write in writes}) < len(writes):
            raise ValueError("a row is written twice in one transaction")
        with self._lock:
            failed: FailedRows = {}
            for check in checks:
                table = self._table(check.table)
                if table.version(check.key) != check.version:
                    failed[check.table, check.key] = table.get(check.key)
            if failed:
                return Error(failed)
            self._commit += 1
            for write, encoded in zip(writes, encoded_rows, strict=True):
                if encoded is None:
                    self._table(write.table).delete(write.key)
                else:
                    self._table(write.table).put(write.key, encoded, self._commit)
            return Ok(self._commit)

    def put_object(self, name: str, body: bytes) -> None:
        """Store an object and replace an existing one."""
        with self._lock:
            self._objects[name] = bytes(body)

    def get_object(self, name: str) -> bytes | None:
        """Return an object, or None if there is none."""
        with self._lock:
            return self._objects.get(name)

    def delete_object(self, name: str) -> None:
        """Delete an object if it exists."""
        with self._lock:
            self._objects.pop(name, None)

    def order_capacity(self, zone: str, order: CapacityOrder, now: float) -> Result[None, str]:
        """Apply an order. The error is "old_fence", "no_capacity" or "order_id_reused".

        An order with an id that was applied before has no second effect. Fencing numbers are
        compared per availability zone and service.
        """
        with self._lock:
            outcome = self._decide_order(zone, order)
            self._order_history.append(OrderReceipt(now, zone, order, outcome))
            if outcome == "applied":
                self._orders.setdefault(zone, []).append(order)
                highest = self._highest_fences
                highest[zone, order.service] = max(
                    order.fence, highest.get((zone, order.service), order.fence)
                )
                self._hosts.apply(zone, order, now)
            return Ok(None) if outcome in ("applied", "repeated") else Error(outcome)

    def _decide_order(self, zone: str, order: CapacityOrder) -> str:
        if self.fence_check and order.fence < self._highest_fences.get(
            (zone, order.service), order.fence
        ):
            return "old_fence"
        for earlier in self._orders.get(zone, []):
            if earlier.order_id == order.order_id:
                return "repeated" if earlier == order else "order_id_reused"
        if (zone, order.kind) in self._denied_capacity and order.count > self._ordered_count(
            zone, order
        ):
            return "no_capacity"
        return "applied"

    def _ordered_count(self, zone: str, order: CapacityOrder) -> int:
        for earlier in reversed(self._orders.get(zone, [])):
            if (earlier.kind, earlier.service) == (order.kind, order.service):
                return earlier.count
        return 0

    def capacity_orders(self, zone: str) -> list[CapacityOrder]:
        """Return the applied orders of an availability zone, oldest first."""
        with self._lock:
            return list(self._orders.get(zone, []))

    def deny_capacity(self, zone: str, kind: str, denied: bool = True) -> None:
        """Set whether orders that raise the count of a kind in a zone are refused."""
        with self._lock:
            if denied:
                self._denied_capacity.add((zone, kind))
            else:
                self._denied_capacity.discard((zone, kind))

    def report_usage(
        self, customer: str, window: str, figures: dict[str, int], now: float
    ) -> Result[None, dict[str, int]]:
        """Store the usage of a customer in a window.

        A repeated report with the same figures is accepted. If the figures differ, the error value
        has those that were accepted first.
        """
        with self._lock:
            stored = self._usage.setdefault((customer, window), dict(figures))
            accepted = stored == figures
            receipt = UsageReceipt(now, customer, window, dict(figures), accepted)
            self._usage_history.append(receipt)
            return Ok(None) if accepted else Error(dict(stored))

    def read_usage(self, customer: str, window: str) -> dict[str, int] | None:
        """Return the accepted figures, or None if there are none."""
        with self._lock:
            figures = self._usage.get((customer, window))
            return None if figures is None else dict(figures)

    def set_hosts(self, hosts: Sequence[Host], now: float) -> None:
        """Make `hosts` the host list from `now` on. Hosts that are not in it are gone."""
        with self._lock:
            self._hosts.replace(hosts, now)

    def set_spares(self, hosts: Sequence[Host], arrival_delay_s: float) -> None:
        """Set the spare hosts, and let capacity orders change the host list from now on.

        An ordered host arrives `arrival_delay_s` seconds after its order.
        """
        with self._lock:
            self._hosts.set_spares(hosts, arrival_delay_s)

    def reclaim(self, zone: str, notice_s: float, now: float) -> list[str]:
        """Mark the cheap hosts of a zone as leaving and return their names.

        They are gone `notice_s` seconds later.
        """
        with self._lock:
            return self._hosts.reclaim(zone, notice_s, now)

    def hosts(self, now: float) -> list[Host]:
        """Return the hosts as they were `hosts_lag_s` seconds before `now`."""
        with self._lock:
            return self._hosts.list_at(now - self.hosts_lag_s)

    def _table(self, name: str) -> _Table:
        return self._tables.setdefault(name, _Table())


def _encode_row(value: Any) -> str:
    if not isinstance(value, dict):
        raise ValueError("a row's value is not an object")
    return json.dumps(value)
