"""Tests of the demand estimated from load reports and of the orders planned for it."""

from hypothesis import given, settings
from hypothesis import strategies as st

from laburnumreel.coordination import LoadReport
from laburnumreel.coordination._service_planner import DRAIN_CONFIRM_S, ServicePlanner
from laburnumreel.state import (
    PROFILE_SCHEMA,
    SERVICE_SCHEMA,
    Host,
    Profile,
    Service,
    merge_sections,
)

NAMES = ("e0", "e1", "e2")
HOSTS = [Host(n, "127.0.0.1:1", "zone-a", "r", "s", "engine", False, "live") for n in NAMES]


def make_planner(**fields):
    profile = merge_sections(PROFILE_SCHEMA.parse("[profile]\nkind = model\n", "p.ini").ok)
    text = "[service]\nprofile = p\nmodels = m\ncustomers = *\nworkers = 3\n"
    service = {**merge_sections(SERVICE_SCHEMA.parse(text, "s.ini").ok), "change_s": 1.0, **fields}
    return ServicePlanner(Service.from_value("s", service), Profile.from_value("p", profile))


def make_report(at, queued, streams, draining, role="both"):
    return LoadReport(at, role, ("m",), queued, streams, 64, 2000.0, 3200.0, 10**6, draining)


@settings(max_examples=60, deadline=None)
@given(
    st.floats(0.0, DRAIN_CONFIRM_S - 1.0),
    st.lists(st.tuples(*[st.integers(0, 3)] * 3), min_size=50, max_size=70),
)
def test_role_is_ordered_only_for_an_engine_known_to_be_empty(lag_s, streams):
    """Guards against a role order that interrupts a stream not yet included in a report."""
    planner, draining, drained_at = make_planner(), dict.fromkeys(NAMES, False), {}
    for second, counts in enumerate(streams):
        now = float(second)
        reports = {
            name: make_report(now - lag_s, 0 if draining[name] else 20_000, count, draining[name])
            for name, count in zip(NAMES, counts, strict=True)
        }
        for order in planner.role_orders(HOSTS, reports, now):
            name = order.target.engine_name
            if order.action == "role":
                assert draining[name] and not reports[name].decode_streams
                assert reports[name].at >= drained_at[name]
            else:
                assert order.arguments["on"] != draining[name]
                draining[name] = order.arguments["on"]
                drained_at[name] = now
    assert drained_at, "no engine was drained"


def test_drain_of_a_previous_leaseholder_is_ended():
    """Guards against an engine that gets no work after a change of the leaseholder."""
    reports = {name: make_report(1.0, 0, 0, name == "e1") for name in NAMES}
    (order,) = make_planner().role_orders(HOSTS, reports, 1.0)
    assert (order.target.engine_name, order.arguments) == ("e1", {"on": False})


@given(st.lists(st.booleans(), min_size=1, max_size=59))
def test_busy_reports_of_less_than_a_minute_order_no_back_end(busy):
    """Guards against ordering back ends, which are kept for minutes, because of a short burst."""
    planner = make_planner(zones=("zone-a", "zone-b", "zone-c"))
    before = planner.capacity(HOSTS, 0.0)
    for second, queued in enumerate(busy):
        reports = {name: make_report(second, 50_000 * queued, 0, False) for name in NAMES}
        planner.role_orders(HOSTS, reports, float(second))
    assert planner.capacity(HOSTS, float(len(busy))) == before


def test_load_is_known_after_the_time_of_its_mean():
    """Guards against a new planner that takes the load for 0, or never orders fewer back ends."""
    planner, known = make_planner(), []
    for second in (0, 1, 59, 60):
        planner.role_orders(HOSTS, {}, float(second))
        known.append(planner.is_load_known)
    assert known == [False, False, False, True]


@given(st.integers(0, 12), st.booleans())
def test_promised_workers_survive_the_loss_of_any_zone(workers, spare_zone):
    """Guards against fewer dedicated back ends than promised after the loss of a zone."""
    planner = make_planner(workers=workers, zones=("a", "b", "c"), spare_zone=spare_zone)
    counts = [each.count for each in planner.capacity([], 0.0) if each.kind == "dedicated"]
    assert sum(counts) - (max(counts) if spare_zone else 0) >= workers


def test_only_a_fully_reclaimed_zone_is_in_backoff():
    """Guards against orders to a reclaimed zone, and a backoff for one that lost a single host."""

    def is_in_backoff(states):
        planner = make_planner(zones=("zone-a", "zone-b"), cheap_share=0.5)
        planner._cheap_wanted = {"zone-a": 1}
        hosts = [
            HOSTS[0]._replace(name=f"c{n}", cheap=True, state=state)
            for n, state in enumerate(states)
        ]
        planner.capacity(hosts, 0.0)
        return planner._capacity_planner._is_in_backoff("zone-a", "cheap", 1.0)

    assert is_in_backoff(["leaving", "leaving"])
    assert not is_in_backoff(["leaving", "live"])
