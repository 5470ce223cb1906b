"""Tests of usage counts that stopping processes write to the store."""

import json

from expression import Error
from test_relay_upkeep import FakeStore

from laburnumreel.relay._usage_counters import Process, UsageCounters
from laburnumreel.relay._usage_store import (
    MAX_ROW_BYTES,
    MAX_STORED_COUNTS,
    USAGE_TABLE,
    UsageStore,
    window_prefix,
)
from laburnumreel.state import PlatformError

WINDOW = 20


class PrefixStore(FakeStore):
    """A store whose scans end a page after `page_rows` rows and skip keys without the prefix."""

    page_rows = 2

    def transact(self, checks, writes):
        if self.down:
            return Error(PlatformError("unreachable"))
        return super().transact(checks, writes)

    def scan(self, table, prefix="", after="", limit=500):
        page = super().scan(table, limit=10**9)
        return page.map(
            lambda ok: ok._replace(
                rows=(found := [row for row in ok.rows if row.key > max(after, prefix)])[
                    : self.page_rows
                ],
                more=len(found) > self.page_rows,
            )
        ).map(lambda ok: ok._replace(rows=[row for row in ok.rows if row.key.startswith(prefix)]))


def make_store(rows, name, **counts):
    counters = UsageCounters(5.0)
    for customer, count in counts.items():
        for _ in range(count):
            counters.record_request(customer, 5.0 * WINDOW)
    return UsageStore(rows, Process(name, f"boot-{name}"), counters), counters


def total_after_reading(rows, name="reader"):
    store, counters = make_store(rows, name)
    assert store.read(WINDOW).is_ok()
    return counters.total_counts(WINDOW)


def test_counts_of_all_stopped_processes_add_up_once():
    rows = PrefixStore()
    first, first_counters = make_store(rows, "h1", a=3, b=1)
    second, second_counters = make_store(rows, "h2", a=4)
    # Each knows some of the counts of a process that was killed, and the second an old part of the
    # first one's.
    for counters, counts in ((first_counters, {"a": 5}), (second_counters, {"a": 2, "c": 7})):
        counters.record_peer_counts("h3", "killed", WINDOW, counts)
    second_counters.record_peer_counts("h1", "boot-h1", WINDOW, {"a": 1})
    assert second.write(0) and first.write(0) and second.write(0)
    assert total_after_reading(rows) == {"a": 3 + 4 + 5, "b": 1, "c": 7}
    # A process that reads its own rows counts its requests once.
    assert first.read(WINDOW).is_ok()
    assert first_counters.total_counts(WINDOW) == {"a": 3 + 4 + 5, "b": 1, "c": 7}


def test_only_changed_counts_of_open_windows_are_written():
    rows = PrefixStore()
    store, counters = make_store(rows, "h1", a=1)
    counters.record_request("a", 5.0 * (WINDOW - 1))
    counters.mark_fixed(WINDOW - 1)
    assert store.write(0)
    assert [key.startswith(window_prefix(WINDOW)) for key in rows.keys(USAGE_TABLE)] == [True]
    calls = rows.calls
    assert store.write(0) and rows.calls == calls
    counters.record_request("a", 5.0 * WINDOW)
    assert store.write(0) and rows.calls == calls + 1
    assert total_after_reading(rows) == {"a": 2}


def test_failed_write_is_tried_again():
    rows = PrefixStore()
    store, _ = make_store(rows, "h1", a=2)
    rows.down = True
    assert not store.write(0) and store.read(WINDOW).is_error()
    rows.down = False
    assert store.write(0)
    assert total_after_reading(rows) == {"a": 2}


def test_rows_and_written_counts_are_bounded():
    rows = PrefixStore()
    rows.page_rows = 500
    store, counters = make_store(rows, "h1")
    counts = {f"customer-{number:06d}": 1 for number in range(MAX_STORED_COUNTS)}
    counters.record_peer_counts("h2", "killed", WINDOW, counts)
    counters.record_peer_counts("h2", "killed", WINDOW - 1, {"customer": 1})
    assert store.write(0)
    assert total_after_reading(rows) == counts
    stored = [row for (table, _), row in rows.rows.items() if table == USAGE_TABLE]
    assert all(len(json.dumps(row.value)) < 2 * MAX_ROW_BYTES for row in stored)


def test_rows_of_other_writers_are_skipped():
    rows = PrefixStore()
    rows.page_rows = 500
    store, _ = make_store(rows, "h1", a=2)
    assert store.write(0)
    odd_values = [{}, {"host": 1}, {"host": "h", "boot": "b", "counts": {"a": -1}}]
    for number, value in enumerate(odd_values):
        rows.put(USAGE_TABLE, f"{window_prefix(WINDOW)}odd/{number}", value)
    assert total_after_reading(rows) == {"a": 2}


def test_hosts_that_stop_together_write_their_own_counts_only():
    """With rows for each other, 195 hosts would write 38,025 rows for each window."""
    rows, hosts = PrefixStore(), 20
    rows.page_rows = 500
    stores = []
    for number in range(hosts):
        store, counters = make_store(rows, f"h{number}", a=2)
        for peer in range(hosts):
            if peer != number:
                counters.record_peer_counts(f"h{peer}", f"boot-h{peer}", WINDOW, {"a": 1})
                counters.mark_running(f"h{peer}", f"boot-h{peer}")
                counters.mark_stopping(f"h{peer}", f"boot-h{peer}")
                counters.mark_silent(f"h{peer}")
        stores.append(store)
    assert all(store.write(0) for store in stores)
    assert len(rows.keys(USAGE_TABLE)) == rows.calls == hosts
    assert total_after_reading(rows) == {"a": 2 * hosts}


def test_rows_from_before_a_restore_of_the_store_are_not_read():
    """The restored store may lack the row with the fixed counts, which may have been reported."""
    rows, era = PrefixStore(), [0]
    store, counters = make_store(rows, "h1", a=2)
    assert store.write(0)
    successor_counters = UsageCounters(5.0)
    successor = UsageStore(rows, Process("h2", "boot-h2"), successor_counters, lambda: era[0])
    era[0] = 1
    assert successor.read(WINDOW).is_ok() and successor_counters.total_counts(WINDOW) == {}
