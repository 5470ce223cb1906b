"""Property tests of capacity planning."""

from hypothesis import given
from hypothesis import strategies as st

from laburnumreel.coordination import ZoneCapacityPlanner

ZONES = ("xela-a", "antigua-a", "puerto-a")


@given(
    workers=st.integers(0, 40),
    share=st.floats(0, 0.9),
    spare=st.booleans(),
    loads=st.lists(st.tuples(st.floats(0, 60), st.floats(0, 60)), min_size=1, max_size=20),
    reclaimed=st.sets(st.sampled_from(ZONES)),
)
def test_promise_survives_loss_of_any_zone_and_of_cheap_back_ends(
    workers, share, spare, loads, reclaimed
):
    """Guards against promises that depend on a single zone or on reclaimable back ends."""
    planner = ZoneCapacityPlanner(workers, share, ZONES, spare)
    now = 0.0
    for uninterruptible, interruptible in loads:
        planner.observe(uninterruptible, interruptible, now)
        now += 30.0
    for zone in reclaimed:
        planner.mark_unavailable(zone, "cheap", now)
    plan = planner.plan(now)
    dedicated = {each.zone: each.count for each in plan if each.kind == "dedicated"}
    cheap = {each.zone: each.count for each in plan if each.kind == "cheap"}
    total = sum(dedicated.values())
    assert planner.promised_workers >= max(workers, uninterruptible)
    assert total - (max(dedicated.values()) if spare else 0) >= planner.promised_workers
    assert sum(cheap.values()) <= share * (total + sum(cheap.values())) + 1e-6
    assert sum(cheap.values()) <= interruptible + 1
    assert all(cheap[zone] == 0 for zone in reclaimed)
    assert {each.zone for each in plan if each.kind == "cheap"} == set(ZONES)


@given(st.floats(0.5, 30), st.floats(0.005, 0.05))
def test_capacity_is_ordered_ahead_of_rising_demand(start, slope):
    """Guards against ordering dedicated back ends only when they are already missing."""
    planner = ZoneCapacityPlanner(0, 0.0, ZONES, False, lead_s=180.0)
    for step in range(60):
        planner.observe(start + slope * step * 10, 0.0, step * 10.0)
    assert planner.promised_workers >= start + slope * (590 + 170)
