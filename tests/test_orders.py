"""A state machine over several coordinators against receivers that ignore fencing numbers."""

import pytest
from authority_world import SimulatedCoordinator, World
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from planted import assert_oracle_fails
from test_odd_values import VALUES, mutations

from laburnumreel.coordination import OrderSender, Plan
from laburnumreel.state import Order, OrderState, Target, WantedOrder, Write
from laburnumreel.state._journal import Receipt, receipt_of_answer, receipt_of_list

NUMBERS = st.integers(0, 2)
PLACES = st.sampled_from(["call", "connect", "write", "answer"])
PAUSES = st.sampled_from([0.5, 3.0, 6.0, 12.0, None])


def wanted_order(target, value):
    if target == "zone":
        return WantedOrder(Target.zone("xela-a", "quoting", "dedicated"), "count", {"count": value})
    return WantedOrder(Target.engine(target), "load", {"model": f"m{value}", "at": target})


class AuthorityMachine(RuleBasedStateMachine):
    """Guards against an order after a successor's order, conflicting orders and repeated ones."""

    coordinator_type = SimulatedCoordinator

    @initialize()
    def start(self):
        self.world = World(self.coordinator_type)
        self.world.run(1.0)

    @rule(seconds=st.sampled_from([0.3, 2.0, 7.0]))
    def run(self, seconds):
        self.world.run(seconds)

    @rule(number=NUMBERS, place=st.sampled_from(["e1", "e2", "zone"]), value=st.integers(0, 3))
    def want(self, number, place, value):
        if self.world.coordinators[number] is not None:
            self.world.plan(number, [wanted_order(place, value)])

    @rule(place=st.sampled_from(["e1", "zone"]), value=st.integers(0, 3))
    def want_everywhere(self, place, value):
        for number in range(3):
            self.want(number, place, value)

    @rule(number=NUMBERS, place=PLACES, seconds=PAUSES)
    def pause_or_kill(self, number, place, seconds):
        if self.world.coordinators[number] is not None:
            self.world.coordinators[number].pause = (place, seconds)

    @rule(number=NUMBERS)
    def restart(self, number):
        self.world.restart(number)

    @rule(number=NUMBERS)
    def stop(self, number):
        process = self.world.coordinators[number]
        if process is not None:
            if process.sender.uncertain:
                process.keeper.lapse("orders")
            process.pause = None
            process.keeper.release_all()
            self.world.coordinators[number] = None

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
        if self.world.coordinators[number] is not None:
            clean = {"down": False, "delay_s": 0.0, "delay_after_s": 0.0, "methods": []}
            self.world.coordinators[number].platform.faults.change({**clean, **faults})

    @rule(
        number=NUMBERS,
        cut=st.booleans(),
        requests=st.integers(0, 1),
        answers=st.integers(0, 2),
        late_s=st.sampled_from([0.0, 0.2, 0.4]),
    )
    def fault_receivers(self, number, cut, requests, answers, late_s):
        process = self.world.coordinators[number]
        if process is not None:
            process.cut, process.lost_requests = cut, requests
            process.lost_answers, process.late_s = answers, late_s

    @invariant()
    def nothing_wrong_received(self):
        if hasattr(self, "world"):
            assert not self.world.violations, self.world.violations[0]


class NoTimer(SimulatedCoordinator):
    """The planted fault: a process runs on after its lease's end."""

    timer_works = False


class CarelessSender(OrderSender):
    """The planted fault: an order whose answer is lost counts as failed."""

    def _read_back(self, order):
        return "refused"

    def _settle(self, authority, order):
        return self._record(authority, order, OrderState.FAILED)


class CarelessCoordinator(SimulatedCoordinator):
    sender_type = CarelessSender


class CarelessMachine(AuthorityMachine):
    coordinator_type = CarelessCoordinator


TestAuthority = AuthorityMachine.TestCase
TestAuthority.settings = settings(stateful_step_count=30)


@pytest.mark.parametrize("place", ["write", "connect"])
@pytest.mark.parametrize("coordinator", [SimulatedCoordinator, NoTimer])
def test_order_of_a_coordinator_paused_past_its_lease(coordinator, place):
    """Guards against an order after a successor's, and against an oracle that does not see it."""
    world = World(coordinator)
    world.run(3.0)
    for number in range(3):
        world.plan(number, [wanted_order("e1", number)])
    holder = next(process for process in world.coordinators if "orders" in process.board.names)
    holder.pause = (place, 12.0)
    world.run(10.0)
    assert holder.pause is None and world.received
    # A pause before the check of the authority does no harm even without the timer.
    assert bool(world.violations) == (coordinator is NoTimer and place == "write")


def test_oracle_catches_orders_that_are_not_read_back():
    """Guards against an oracle that does not see conflicting orders."""
    assert_oracle_fails(CarelessMachine)


def test_a_plan_is_carried_out_once_nothing_is_wrong():
    """Guards against a sender that stays safe by giving no orders."""
    world = World(SimulatedCoordinator)
    for number in range(3):
        world.plan(number, [wanted_order("e1", 1), wanted_order("zone", 2)])
    world.run(8.0)
    assert sorted(key for key, _, _ in world.received) == [
        "engine:e1",
        "zone:xela-a:quoting:dedicated",
    ]
    rows = [row.value["state"] for row in world.state.scan("order").rows]
    assert rows == ["done", "done"]


@pytest.mark.parametrize("age", [0, 1])
def test_plan_from_an_earlier_authority_is_not_carried_out(age):
    """Guards against a role order to an engine that another holder has given work again."""
    world = World(SimulatedCoordinator)
    world.run(8.0)
    holder = next(process for process in world.coordinators if "orders" in process.board.names)
    fence = holder.board.current("orders").fence - age
    holder.sender.handle(Plan((wanted_order("e1", 1),), {"e1": "e1"}, fence))
    world.run(3.0)
    assert bool(world.received) == (age == 0)


SENT = {"order_id": "b-1-1", "fence": 1, "action": "load", "arguments": {}, "state": "sent"}
ODD_ROWS = {
    "engine:e1": {},
    "zone:xela-a:quoting:dedicated": {**SENT, "state": ["sent"]},
    "zone:xela-a": SENT,
    "nobody": SENT,
    "engine:e3": {**SENT, "arguments": [1], "fence": 10**30},
    "engine:e4": {**SENT, "order_id": None},
}


def test_odd_rows_of_the_journal_hold_up_no_order():
    """Guards against one row that ends the orders for all engines and zones."""
    world = World(SimulatedCoordinator)
    writes = [Write("order", key, value) for key, value in ODD_ROWS.items()]
    assert world.state.transact([], writes).is_ok()
    for number in range(3):
        world.plan(number, [wanted_order("e1", 1), wanted_order("zone", 2), wanted_order("e2", 1)])
    world.run(8.0)
    received = sorted(key for key, _, _ in world.received)
    assert received == ["engine:e1", "engine:e2", "zone:xela-a:quoting:dedicated"]


LISTED = {"order_id": "b-1-1", "state": "done"}


@given(
    st.sampled_from([Target.engine("e1"), Target.zone("a", "b", "dedicated")]),
    st.sampled_from(["orders", "history", "last"]),
    st.one_of(VALUES, st.lists(st.one_of(VALUES, mutations(LISTED)), max_size=3)),
)
def test_any_list_of_orders_says_what_became_of_one(target, name, value):
    """Guards against an engine whose odd list ends the orders for all others."""
    order = Order(target, "b-1-1", 1, "load", {}, OrderState.SENT)
    receipt_of_list(order, {name: value})
    if isinstance(value, list) and name == ("history" if target.engine_name else "orders"):
        assert receipt_of_list(order, {name: [*value, LISTED]}) is Receipt.DONE
    receipt_of_answer(200, {"state": value})
