"""Tests of the state of the platform against simple models, in memory and over HTTP."""

import itertools
import threading
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from laburnumreel.core import ManualClock
from laburnumreel.state import CapacityOrder, Check, Host, HttpPlatform, Row, Write
from laburnumreel_standins import MemoryPlatform, PlatformState
from laburnumreel_standins._http import Server
from laburnumreel_standins._platform import PlatformService
from laburnumreel_standins.processes import fresh_host

TABLES = st.sampled_from(["lease", "order"])
KEYS = st.sampled_from(["", "a", "a/b", "ab", "b%", "é"])
VALUES = st.none() | st.dictionaries(st.sampled_from(["x", "y"]), st.integers(-5, 5), max_size=2)
WRITES = st.lists(
    st.builds(Write, TABLES, KEYS, VALUES), max_size=3, unique_by=lambda write: write[:2]
)
HOST = Host("e1", "127.0.0.1:1", "xela-a", "gt", "quotes", "engine", True, "live")


class TransactionMachine(RuleBasedStateMachine):
    """Runs transactions on the state and on a model, and compares them.

    The model is a dictionary from (table, key) to (value, version).
    """

    def __init__(self):
        super().__init__()
        self.state = PlatformState()
        self.rows: dict[tuple[str, str], tuple[Any, int]] = {}
        self.commit = 0

    @rule(data=st.data(), writes=WRITES)
    def transact(self, data, writes):
        """Guards against a transaction that is applied partially, or despite a failed check."""
        row_ids = data.draw(st.lists(st.tuples(TABLES, KEYS), max_size=3))
        checks = []
        for row_id in row_ids:
            version = self.rows.get(row_id, (None, 0))[1]
            version_error = data.draw(st.sampled_from([0, 0, 0, 1, -1]))
            checks.append(Check(*row_id, max(0, version + version_error)))
        outcome = self.state.transact(checks, writes)
        failed = {
            check[:2]: self.row(*check[:2])
            for check in checks
            if check.version != self.rows.get(check[:2], (None, 0))[1]
        }
        if failed:
            assert outcome.error == failed
            return
        self.commit += 1
        assert outcome.ok == self.commit
        for write in writes:
            self.rows.pop(write[:2], None)
            if write.value is not None:
                self.rows[write[:2]] = (write.value, self.commit)

    @precondition(lambda self: self.rows)
    @rule(data=st.data())
    def modify_a_value_that_was_read(self, data):
        """Guards against rows that share their value with a caller that read them."""
        row_id = data.draw(st.sampled_from(sorted(self.rows)))
        self.state.read(*row_id).value["changed"] = True

    @rule(table=TABLES, prefix=KEYS, after=KEYS, limit=st.integers(1, 4))
    def scan(self, table, prefix, after, limit):
        """Guards against pages that skip or repeat rows."""
        keys = sorted(
            key
            for name, key in self.rows
            if name == table and key.startswith(prefix) and key > after
        )
        page = self.state.scan(table, prefix, after, limit)
        assert page.rows == [self.row(table, key) for key in keys[:limit]]
        assert page.more == (len(keys) > limit)

    @invariant()
    def every_row_matches_the_model(self):
        for table in ("lease", "order"):
            for key in ("", "a", "a/b", "ab", "b%", "é"):
                assert self.state.read(table, key) == self.row(table, key)

    def row(self, table, key):
        stored = self.rows.get((table, key))
        return None if stored is None else Row(key, *stored)


TestTransactions = TransactionMachine.TestCase
TestTransactions.settings = settings(max_examples=60, stateful_step_count=30)


@pytest.fixture(scope="module")
def http_platform():
    """Return a client of a platform that serves HTTP on a thread of this process."""
    host = fresh_host()
    server = Server(PlatformService(PlatformState()), host, 0, threads=4)
    threading.Thread(target=server.run, daemon=True).start()
    return HttpPlatform((host, server.port))


NAMES = st.sampled_from(["a", "b/c"])
ORDERS = st.builds(
    CapacityOrder,
    st.sampled_from(["o1", "o2", "o3"]),
    st.integers(1, 3),
    st.just("cheap"),
    NAMES,
    st.integers(0, 2),
)
CALLS = st.one_of(
    st.tuples(st.just("read"), TABLES, KEYS.filter(bool)),
    st.tuples(st.just("scan"), TABLES, KEYS, KEYS, st.integers(1, 3)),
    st.tuples(
        st.just("transact"),
        st.lists(st.builds(Check, TABLES, KEYS, st.integers(0, 2)), max_size=2),
        WRITES,
    ),
    st.tuples(st.just("put_object"), NAMES, st.binary(max_size=8)),
    st.tuples(st.just("get_object"), NAMES),
    st.tuples(st.just("order_capacity"), NAMES, ORDERS),
    st.tuples(st.just("capacity_orders"), NAMES),
    st.tuples(
        st.just("report_usage"),
        NAMES,
        NAMES,
        st.fixed_dictionaries({"requests": st.integers(1, 2)}),
    ),
    st.tuples(st.just("read_usage"), NAMES, NAMES),
)

_run_numbers = itertools.count()


@settings(max_examples=40)
@given(st.lists(CALLS, max_size=12))
def test_memory_platform_matches_the_platform_over_http(http_platform, calls):
    """Guards against a platform in memory that behaves unlike the one over HTTP.

    Tests in one process use the former, tests with real processes the latter.
    """
    memory_platform = MemoryPlatform(PlatformState())
    run_prefix = f"run{next(_run_numbers)}-"
    versions: dict[int, int] = {}
    for name, *arguments in calls:
        # Each run uses its own tables, zones and objects on the shared server.
        prefixed = [_add_prefix(argument, run_prefix) for argument in arguments]
        expected = getattr(memory_platform, name)(*prefixed)
        actual = getattr(http_platform, name)(*prefixed)
        assert actual.is_ok() == expected.is_ok()
        if name == "transact" and expected.is_ok():
            versions[expected.ok] = actual.ok
        elif expected.is_ok():
            assert _without_versions(actual.ok) == _without_versions(expected.ok)
        else:
            assert actual.error.kind == expected.error.kind
            assert set(actual.error.rows) == set(expected.error.rows)
    assert list(versions.values()) == sorted(versions.values())


def _add_prefix(argument, run_prefix):
    if isinstance(argument, str):
        return f"{run_prefix}{argument}"
    if isinstance(argument, list):
        # Versions differ between the two platforms; only 0 (no row) means the same on both.
        prefixed = [item._replace(table=f"{run_prefix}{item.table}") for item in argument]
        return [item._replace(version=0) if isinstance(item, Check) else item for item in prefixed]
    return argument


def _without_versions(value):
    if isinstance(value, Row):
        return value._replace(version=0)
    if isinstance(value, tuple) and hasattr(value, "rows"):
        return value._replace(rows=[_without_versions(row) for row in value.rows])
    return value


def test_memory_platform_loses_calls_as_configured():
    """Guards against a lost answer without the effect, and a lost request with the effect."""
    clock = ManualClock()
    platform = MemoryPlatform(PlatformState(), clock, clock.advance, timeout_s=2.0)
    write = [Write("t", "k", {"n": 1})]
    platform.faults.change({"lose_requests": 1, "methods": ["POST"]})
    assert platform.transact([], write).error.kind == "lost"
    assert platform.read("t", "k").ok is None
    platform.faults.change({"lose_answers": 1})
    assert platform.transact([], write).error.kind == "lost"
    assert platform.read("t", "k").ok.version == 1
    platform.faults.change({"down": True})
    assert platform.transact([], write).error.kind == "unreachable"
    platform.faults.change({"down": False, "delay_s": 3.0})
    assert platform.transact([], write).error.kind == "lost"
    assert (clock.now(), platform.read("t", "k").ok.version) == (2.0, 1)
    clock.advance(1.0)
    assert platform.read("t", "k").ok.version == 2


@given(st.lists(ORDERS, max_size=8), st.booleans())
def test_fence_check_refuses_every_older_order(orders, is_fence_checked):
    """Guards against a platform that does not check fencing numbers.

    Tests of authority would pass on such a platform for the wrong reason.
    """
    state = PlatformState(fence_check=is_fence_checked)
    for order in orders:
        state.order_capacity("z", order, 0.0)
    for service in ("a", "b/c"):
        applied = [order for order in state.capacity_orders("z") if order.service == service]
        fences = [order.fence for order in applied]
        assert not is_fence_checked or fences == sorted(fences)
    outcomes = {receipt.outcome for receipt in state.order_history}
    assert is_fence_checked or "old_fence" not in outcomes
    assert [receipt.order for receipt in state.order_history] == orders


def test_denied_capacity_refuses_increases_and_accepts_decreases():
    """Guards against an availability zone without capacity that refuses to shrink."""
    state = PlatformState()
    order = CapacityOrder("o1", 1, "cheap", "a", 3)
    state.order_capacity("z", order, 0.0)
    state.deny_capacity("z", "cheap")
    assert state.order_capacity("z", order._replace(order_id="o2", count=4), 0.0).error
    assert state.order_capacity("z", order._replace(order_id="o3", count=2), 0.0).is_ok()
    assert state.order_capacity(
        "z", order._replace(order_id="o4", kind="dedicated", count=4), 0.0
    ).is_ok()


def test_reclaimed_hosts_leave_then_vanish_from_the_lagging_list():
    """Guards against a host list that shows a reclaim without its lag, or never."""
    state = PlatformState(hosts_lag_s=2.0)
    dedicated = HOST._replace(name="e2", cheap=False)
    state.set_hosts([HOST, dedicated], 0.0)
    assert state.hosts(1.9) == []
    assert state.reclaim("xela-a", 5.0, 10.0) == ["e1"]
    assert state.hosts(11.9) == [HOST, dedicated]
    assert state.hosts(12.0) == [HOST._replace(state="leaving"), dedicated]
    assert state.hosts(17.0) == [dedicated]


@given(st.lists(st.integers(0, 4), max_size=8))
def test_ordered_hosts_arrive_late_and_reach_the_ordered_count(counts):
    """Guards against capacity that arrives without delay.

    Also guards against an ordered count that is applied as a difference.
    """
    state = PlatformState()
    spares = [HOST._replace(name=f"e{number}") for number in range(40)]
    state.set_spares(spares, arrival_delay_s=20.0)
    now = 0.0
    for number, count in enumerate(counts):
        before = len(state.hosts(now))
        state.order_capacity("xela-a", CapacityOrder(str(number), 1, "cheap", "quotes", count), now)
        assert len(state.hosts(now + 10.0)) == min(before, count)
        now += 30.0
        assert [host.state for host in state.hosts(now)] == ["live"] * count
