"""Tests of orders from several coordinators to receivers that ignore fencing numbers."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from oracle_checks import assert_oracle_fails
from simulated_cluster import SimulatedCluster, SimulatedCoordinator
from test_malformed_values import VALUES, mutations

from laburnumreel.coordination import OrderPlan, OrderSender
from laburnumreel.state import Order, OrderState, Target, WantedOrder, Write
from laburnumreel.state._journal import Receipt, find_receipt, read_receipt

NUMBERS = st.integers(0, 2)
PAUSE_POINTS = st.sampled_from(["call", "connect", "write", "answer"])
PAUSES = st.sampled_from([0.5, 3.0, 6.0, 12.0, None])


ZONE = Target.zone("xela-a", "quoting", "dedicated")


def wanted_order(target, value):
    if target == "zone":
        return WantedOrder(ZONE, "count", {"count": value})
    return WantedOrder(Target.engine(target), "load", {"model": f"m{value}", "at": target})


class AuthorityMachine(RuleBasedStateMachine):
    """Guards against conflicting and repeated orders, and orders after those of a successor."""

    coordinator_type = SimulatedCoordinator

    @initialize()
    def start(self):
        self.cluster = SimulatedCluster(self.coordinator_type)
        self.cluster.run(1.0)

    @rule(seconds=st.sampled_from([0.3, 2.0, 7.0]))
    def run(self, seconds):
        self.cluster.run(seconds)

    @rule(number=NUMBERS, place=st.sampled_from(["e1", "e2", "zone"]), value=st.integers(0, 3))
    def plan_order(self, number, place, value):
        if self.cluster.coordinators[number] is not None:
            self.cluster.plan(number, [wanted_order(place, value)])

    @rule(place=st.sampled_from(["e1", "zone"]), value=st.integers(0, 3))
    def plan_order_everywhere(self, place, value):
        for number in range(3):
            self.plan_order(number, place, value)

    @rule(number=NUMBERS, place=PAUSE_POINTS, seconds=PAUSES)
    def pause_or_kill(self, number, place, seconds):
        if self.cluster.coordinators[number] is not None:
            self.cluster.coordinators[number].pause = (place, seconds)

    @rule(number=NUMBERS)
    def restart(self, number):
        self.cluster.restart(number)

    @rule(number=NUMBERS)
    def stop(self, number):
        process = self.cluster.coordinators[number]
        if process is not None:
            if process.sender.has_uncertain_orders:
                process.lease_manager.lapse("orders")
            process.pause = None
            process.lease_manager.release_all()
            self.cluster.coordinators[number] = None

    @rule(
        number=NUMBERS,
        faults=st.sampled_from(
            [
                {},
                {"down": True},
                {"delay_s": 0.2},
                {"delay_s": 0.7},
                {"delay_after_s": 0.7},
                {"lose_answers": 1},
                {"lose_requests": 1},
                {"lose_answers": 4, "methods": ["POST"]},
            ]
        ),
    )
    def fault_store(self, number, faults):
        if self.cluster.coordinators[number] is not None:
            clean = {"down": False, "delay_s": 0.0, "delay_after_s": 0.0, "methods": []}
            self.cluster.coordinators[number].platform.faults.change({**clean, **faults})

    @rule(
        number=NUMBERS,
        is_cut_off=st.booleans(),
        requests=st.integers(0, 1),
        answers=st.integers(0, 2),
        delivery_delay_s=st.sampled_from([0.0, 0.2, 0.4]),
    )
    def fault_receivers(self, number, is_cut_off, requests, answers, delivery_delay_s):
        process = self.cluster.coordinators[number]
        if process is not None:
            process.is_cut_off, process.lost_requests = is_cut_off, requests
            process.lost_answers, process.delivery_delay_s = answers, delivery_delay_s

    @invariant()
    def no_violations(self):
        if hasattr(self, "cluster"):
            assert not self.cluster.violations, self.cluster.violations[0]


class NoTimer(SimulatedCoordinator):
    """A planted fault: the process continues to run after the end of its lease."""

    timer_enabled = False


class AssumeFailedSender(OrderSender):
    """A planted fault: an order whose answer is lost counts as failed."""

    def _query_receiver(self, order):
        return "refused"

    def _settle(self, authority, order):
        return self._record(authority, order, OrderState.FAILED)


class AssumeFailedCoordinator(SimulatedCoordinator):
    sender_type = AssumeFailedSender


class AssumeFailedMachine(AuthorityMachine):
    coordinator_type = AssumeFailedCoordinator


TestAuthority = AuthorityMachine.TestCase
TestAuthority.settings = settings(stateful_step_count=30)


@pytest.mark.parametrize("place", ["write", "connect"])
@pytest.mark.parametrize("coordinator", [SimulatedCoordinator, NoTimer])
def test_no_order_from_coordinator_paused_past_its_lease(coordinator, place):
    """Guards against an order after a successor's, and against an oracle that misses it."""
    cluster = SimulatedCluster(coordinator)
    cluster.run(3.0)
    for number in range(3):
        cluster.plan(number, [wanted_order("e1", number)])
    holder = next(
        process for process in cluster.coordinators if "orders" in process.authorities.names
    )
    holder.pause = (place, 12.0)
    cluster.run(10.0)
    assert holder.pause is None and cluster.received
    # A pause before the check of the authority is harmless even without the timer.
    assert bool(cluster.violations) == (coordinator is NoTimer and place == "write")


def test_oracle_detects_orders_assumed_failed():
    """Guards against an oracle that misses conflicting orders."""
    assert_oracle_fails(AssumeFailedMachine)


def test_plan_is_carried_out_once_without_faults():
    """Guards against a sender that is safe only because it sends no orders."""
    cluster = SimulatedCluster(SimulatedCoordinator)
    for number in range(3):
        cluster.plan(number, [wanted_order("e1", 1), wanted_order("zone", 2)])
    cluster.run(8.0)
    assert sorted(key for key, _, _ in cluster.received) == [
        "engine:e1",
        "zone:xela-a:quoting:dedicated",
    ]
    rows = [row.value["state"] for row in cluster.state.scan("order").rows]
    assert rows == ["done", "done"]


@pytest.mark.parametrize("age", [0, 1])
def test_plan_from_earlier_authority_is_ignored(age):
    """Guards against a role order to an engine to which another leaseholder sent work again."""
    cluster = SimulatedCluster(SimulatedCoordinator)
    cluster.run(8.0)
    holder = next(
        process for process in cluster.coordinators if "orders" in process.authorities.names
    )
    fence = holder.authorities.current("orders").fence - age
    holder.sender.handle(OrderPlan((wanted_order("e1", 1),), {"e1": "e1"}, fence))
    cluster.run(3.0)
    assert bool(cluster.received) == (age == 0)


SENT_ORDER = {"order_id": "b-1-1", "fence": 1, "action": "load", "arguments": {}, "state": "sent"}
MALFORMED_ROWS = {
    "engine:e1": {},
    "zone:xela-a:quoting:dedicated": {**SENT_ORDER, "state": ["sent"]},
    "zone:xela-a": SENT_ORDER,
    "nobody": SENT_ORDER,
    "engine:e3": {**SENT_ORDER, "arguments": [1], "fence": 10**30},
    "engine:e4": {**SENT_ORDER, "order_id": None},
}


def test_malformed_journal_rows_do_not_block_orders():
    """Guards against one malformed row that stops the orders for all engines and zones."""
    cluster = SimulatedCluster(SimulatedCoordinator)
    writes = [Write("order", key, value) for key, value in MALFORMED_ROWS.items()]
    assert cluster.state.transact([], writes).is_ok()
    for number in range(3):
        cluster.plan(
            number, [wanted_order("e1", 1), wanted_order("zone", 2), wanted_order("e2", 1)]
        )
    cluster.run(8.0)
    received = sorted(key for key, _, _ in cluster.received)
    assert received == ["engine:e1", "engine:e2", "zone:xela-a:quoting:dedicated"]


LISTED_ORDER = {"order_id": "b-1-1", "state": "done"}


@given(
    st.sampled_from([Target.engine("e1"), Target.zone("a", "b", "dedicated")]),
    st.sampled_from(["orders", "history", "last"]),
    st.one_of(VALUES, st.lists(st.one_of(VALUES, mutations(LISTED_ORDER)), max_size=3)),
)
def test_receipt_is_found_in_any_list_of_orders(target, name, value):
    """Guards against a malformed list of one engine that stops the orders for all others."""
    order = Order(target, "b-1-1", 1, "load", {}, OrderState.SENT)
    find_receipt(order, {name: value})
    if isinstance(value, list) and name == ("history" if target.engine_name else "orders"):
        assert find_receipt(order, {name: [*value, LISTED_ORDER]}) is Receipt.DONE
    read_receipt(200, {"state": value})


@pytest.mark.parametrize("state", [OrderState.DONE, OrderState.FAILED])
def test_count_that_is_a_minimum_reduces_no_order(state):
    """Guards against a plan made without knowledge of the load that gives back ends away."""
    cluster = SimulatedCluster(SimulatedCoordinator)
    order = Order(ZONE, "earlier", 0, "count", {"count": 3}, state)
    cluster.state.transact([], [order.to_write(state)])
    cluster.run(1.0)
    holder = next(each for each in cluster.coordinators if "orders" in each.authorities.names)

    def ordered(value, minimum_targets):
        wanted = (wanted_order("zone", value),)
        holder.sender.handle(OrderPlan(wanted, minimum_targets=minimum_targets))
        cluster.run(8.0)
        return cluster.state.read("order", ZONE.key).value["arguments"]["count"]

    assert [ordered(value, frozenset({ZONE})) for value in (1, 4, 2)] == [3, 4, 4]
    assert ordered(2, frozenset()) == 2
    assert not cluster.violations
