"""Tests of the invariants of spend planning."""

from hypothesis import given
from hypothesis import strategies as st

from laburnumreel.coordination import SpendPlanner

ZONES = ("xela-a", "antigua-a", "puerto-a")


@given(
    workers=st.integers(0, 40),
    share=st.floats(0, 0.9),
    spare=st.booleans(),
    loads=st.lists(st.tuples(st.floats(0, 60), st.floats(0, 60)), min_size=1, max_size=20),
    reclaimed=st.sets(st.sampled_from(ZONES)),
)
def test_any_zone_may_go_and_cheap_back_ends_only_take_what_may_be_lost(
    workers, share, spare, loads, reclaimed
):
    """Guards against promises that rest on one zone or on back ends that can be reclaimed."""
    planner = SpendPlanner(workers, share, ZONES, spare)
    now = 0.0
    for firm, interruptible in loads:
        planner.observe(firm, interruptible, now)
        now += 30.0
    for zone in reclaimed:
        planner.unavailable(zone, "cheap", now)
    plan = planner.plan(now)
    dedicated = {each.zone: each.count for each in plan if each.kind == "dedicated"}
    cheap = {each.zone: each.count for each in plan if each.kind == "cheap"}
    total = sum(dedicated.values())
    assert planner.promised >= max(workers, firm)
    assert total - (max(dedicated.values()) if spare else 0) >= planner.promised
    assert sum(cheap.values()) <= share * (total + sum(cheap.values())) + 1e-6
    assert sum(cheap.values()) <= interruptible + 1
    assert all(cheap[zone] == 0 for zone in reclaimed)
    assert {each.zone for each in plan if each.kind == "cheap"} == set(ZONES)


@given(st.floats(0.5, 30), st.floats(0.005, 0.05))
def test_orders_are_ahead_of_rising_demand(start, slope):
    """Guards against dedicated back ends that are ordered only when they are already missing."""
    planner = SpendPlanner(0, 0.0, ZONES, False, lead_s=180.0)
    for step in range(60):
        planner.observe(start + slope * step * 10, 0.0, step * 10.0)
    assert planner.promised >= start + slope * (590 + 170)
