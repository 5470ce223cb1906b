"""Tests of the plans for engines and their roles, without sockets."""

from types import SimpleNamespace

import pytest
from expression import Ok
from hypothesis import given
from hypothesis import strategies as st
from relay_samples import TRAITS, listed

from laburnumreel.coordination import Answer
from laburnumreel.relay._back_ends import Role
from laburnumreel.relay._capacity import CapacityPlanner, Group, wanted_counts
from laburnumreel.relay._config import (
    RelayService,
    Scaling,
)
from laburnumreel.relay._ports import DutyCall
from laburnumreel.relay._roles import LEAST_GENERATING, RolePlanner, wanted_change
from laburnumreel.relay._work import Work
from laburnumreel.state import Authority, Row


class TestPlans:
    SCALING = Scaling(1, 4, 4.0, 0.18, {"zone-a": 1.0, "zone-b": 0.8})

    def wanted(self, found, cheap_now, scaling=SCALING):
        service = RelayService("quotes", 300, TRAITS, scaling)
        wanted = wanted_counts(service, scaling, {"z": found}, {"z": cheap_now})
        return wanted[Group("quotes", "z", False)], wanted.get(Group("quotes", "z", True), 0)

    def test_small_zone_keeps_its_dedicated_engines(self):
        assert self.wanted(2, 0) == self.wanted(2, 2) == (2, 2)

    def test_cheap_engines_take_over_as_they_come_and_dedicated_ones_return(self):
        """A zone of eight gets cheap ones, then loses them all at once."""
        large = self.SCALING._replace(most=16)
        assert self.wanted(8, 0, large) == (8, 12)
        assert self.wanted(8, 10, large) == (6, 12)
        assert self.wanted(8, 12, large) == (4, 12)
        assert self.wanted(8, 0, large) == (8, 12)

    def test_cheap_engines_that_are_not_cheap_are_not_ordered(self):
        assert self.wanted(3, 0, self.SCALING._replace(cheap_price=0.9)) == (3, 0)
        assert self.wanted(3, 0, self.SCALING._replace(cheap_price=None)) == (3, 0)

    @given(st.integers(0, 30), st.integers(0, 30), st.integers(0, 5), st.integers(1, 30))
    def test_orders_stay_within_the_limits(self, found, cheap_now, least, most):
        scaling = self.SCALING._replace(least=least, most=max(least, most))
        dedicated, cheap = self.wanted(found, cheap_now, scaling)
        assert scaling.least <= dedicated <= scaling.most and cheap >= 0
        assert min(dedicated, scaling.most) + cheap <= scaling.most or cheap_now < cheap

    def test_planner_takes_no_engine_away_while_the_list_fills(self):
        """Engines come one by one, up to 2.5 s apart; a plan from the first ones ended the others."""
        back_ends, orders, rows = [], [], {}

        def transact(checks, writes):
            rows[writes[0].key] = Row(writes[0].key, writes[0].value, 1)
            return Ok(1)

        platform = SimpleNamespace(read=lambda table, key: Ok(rows.get(key)), transact=transact)
        wire = SimpleNamespace(
            capacity=lambda authority, service, zone, count, cheap: DutyCall(
                "/", {}, {"zone": zone, "count": count, "cheap": cheap}
            )
        )

        def post(authority, address, path, body, headers):
            orders.append((body["zone"], body["cheap"], body["count"]))
            return Ok(Answer(200, {}))

        services = {"orders": RelayService("orders", 300, TRAITS, self.SCALING)}
        planner = CapacityPlanner(
            platform,
            SimpleNamespace(post=post),
            wire,
            lambda: ("10.0.0.9", 80),
            lambda: services,
            lambda: (tuple(back_ends), {}),
        )
        authority = Authority("relay_duties", 3, 9, 100.0)
        for step in range(40):
            if step in (2, 12, 16, 26):
                zone = "zone-a" if step < 14 else "zone-b"
                back_ends.append(listed(f"e{step}", zone, Role.DECODE))
            planner.step(authority, step * 0.25)
        assert rows["orders"].value == {"dedicated": {"zone-a": 2, "zone-b": 2}}
        assert [order for order in orders if not order[1]] == []
        assert orders[-1] == ("zone-b", True, 2) and ("zone-a", True, 2) in orders
        assert len(orders) == len(set(orders)) == 4

    def engines(self, readers, generators):
        return [listed(f"p{index}", role=Role.PREFILL) for index in range(readers)] + [
            listed(f"d{index}", role=Role.DECODE) for index in range(generators)
        ]

    def test_idle_engine_changes_first(self):
        work = {f"d{index}": Work(streams=index) for index in range(8)}
        change = wanted_change(self.engines(2, 8), work, 0.5)
        assert (change.back_end.name, change.role) == ("d0", Role.PREFILL)

    def test_engine_that_changes_gets_one_order(self):
        """Guards against an order each step until the list shows the change seconds later."""
        engines, orders, heeded = self.engines(1, 39), [], []
        wire = SimpleNamespace(
            role=lambda authority, engine, role: DutyCall(engine.name, {}, {"role": str(role)})
        )

        def post(authority, address, path, body, headers):
            orders.append(path)
            return Ok(Answer(202, {}))

        services = {"orders": RelayService("orders", 300, TRAITS)}
        planner = RolePlanner(
            SimpleNamespace(post=post),
            wire,
            lambda: services,
            lambda: (engines, {}),
            lambda name, seconds: None,
            lambda engine, answer: heeded.append(engine.name),
        )
        authority = Authority("relay_duties", 3, 9, 100.0)
        for step in range(30):
            planner.step(authority, step * 0.1)
        assert len(orders) == len(set(orders)) == 4
        assert heeded == orders

    def test_enough_engines_go_on_generating(self):
        assert wanted_change(self.engines(1, LEAST_GENERATING), {}, 0.9) is None

    @pytest.mark.parametrize("total", range(4, 16))
    def test_changes_come_to_rest(self, total):
        readers = 0
        for _ in range(2 * total):
            change = wanted_change(self.engines(readers, total - readers), {}, 0.5)
            if change is None:
                break
            readers += 1 if change.role is Role.PREFILL else -1
        assert change is None
