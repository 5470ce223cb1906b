"""Property tests of role planning."""

from hypothesis import given
from hypothesis import strategies as st

from laburnumreel.coordination import EngineView, RolePlanner
from laburnumreel.coordination._role_planner import ROLE_SPEEDS

TOKEN_GAP_S = 0.032
ZONES = ("xela-a", "antigua-a", "puerto-a")


def make_view(name, role, zone, streams, queued):
    prefill, decode = ROLE_SPEEDS[role]
    return EngineView(name, zone, role, 20000 * prefill, 3200 * decode, 96, streams, queued)


engines = st.lists(
    st.tuples(
        st.sampled_from(sorted(ROLE_SPEEDS)),
        st.sampled_from(ZONES),
        st.integers(0, 96),
        st.integers(0, 5000),
    ),
    min_size=1,
    max_size=8,
).map(lambda rows: [make_view(f"e{number}", *row) for number, row in enumerate(rows)])


@given(
    rounds=st.lists(engines, min_size=1, max_size=12),
    demand=st.lists(st.tuples(st.integers(0, 250000), st.integers(0, 40000)), max_size=20),
    zone_limit=st.integers(1, 2),
    minimum=st.integers(0, 2),
)
def test_role_changes_keep_running_streams_limits_and_minimum(rounds, demand, zone_limit, minimum):
    """Guards against role changes that interrupt streams, empty a zone or leave a role unserved."""
    planner = RolePlanner(minimum, minimum, zone_limit, 5.0, TOKEN_GAP_S)
    now, drained_before = 0.0, set()
    for prefill, decode in demand:
        planner.observe(prefill, decode, now)
        now += 1.0
    for views in rounds:
        now += 2.0
        plan = planner.plan(views, now)
        known = {each.name: each for each in views}
        for change in plan.change:
            assert change.name in plan.drain
        new = [known[name] for name in plan.drain if name not in drained_before]
        if new:
            remaining = [each for each in views if each.name not in plan.drain]
            streams = sum(each.streams for each in views)
            assert sum(each.max_streams for each in remaining) >= streams
            assert sum(each.decode_tokens_per_s for each in remaining) * TOKEN_GAP_S >= streams
            for kind in ("prefill", "decode"):
                kept = [each.role in (kind, "both") for each in remaining]
                # An engine with a pending change counts in its new role.
                assert sum(kept) + len(plan.drain) >= minimum
        for zone in ZONES:
            drains = [name for name in plan.drain if name in known and known[name].zone == zone]
            started = [each for each in new if each.zone == zone]
            assert not started or len(drains) <= zone_limit
        drained_before = set(plan.drain)


def run_planner(planner, views, prefill, decode, rounds):
    """Run rounds in which engines drain and change at once; return roles and number of changes."""
    changes, now = 0, 0.0
    for _ in range(rounds):
        now += 1.0
        planner.observe(prefill, decode, now)
        plan = planner.plan(views, now)
        for number, each in enumerate(views):
            if each.name in plan.drain:
                views[number] = each._replace(streams=0, queued_prefill_tokens=0)
        for change in plan.change:
            index = [each.name for each in views].index(change.name)
            assert not views[index].streams
            changes += views[index].role != change.role
            old = views[index]
            views[index] = make_view(change.name, change.role, old.zone, 0, 0)
    return [each.role for each in views], changes


@given(st.floats(0.0, 0.9), st.floats(0.0, 0.9))
def test_no_role_changes_without_benefit(prefill, decode):
    """Guards against role changes without benefit while both demands are met."""
    views = [make_view(f"e{n}", "both", ZONES[n % 3], 10, 0) for n in range(6)]
    # An engine serves prompt and output, so the load is limited by the scarcer speed.
    load = max(prefill, decode)
    planner = RolePlanner(1, 1, 1, 5.0, TOKEN_GAP_S)
    roles, changes = run_planner(planner, views, 120000 * load, 19200 * load * 0.9, 60)
    assert (set(roles), changes) == ({"both"}, 0)


@given(st.booleans(), st.floats(1.25, 1.45))
def test_lasting_demand_changes_each_role_once(prefill_heavy, load):
    """Guards against a planner that never acts, and one that changes roles back and forth."""
    views = [make_view(f"e{n}", "both", ZONES[n % 3], 10, 0) for n in range(6)]
    wanted = (120000 * load, 1000) if prefill_heavy else (10000, 19200 * load)
    planner = RolePlanner(1, 0 if prefill_heavy else 1, 1, 5.0, TOKEN_GAP_S)
    roles, changes = run_planner(planner, views, *wanted, 200)
    moved = roles.count("prefill" if prefill_heavy else "decode")
    assert moved >= 3
    assert changes == moved
