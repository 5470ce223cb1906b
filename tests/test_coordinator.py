"""Tests of coordinators as processes, with engines, the platform and each other."""

import re
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from coordinators import USAGE, CoordinatorProcess, configure_service, is_stopped

from laburnumreel.coordination import UsageFlusher
from laburnumreel.core import SystemClock
from laburnumreel.state import ORDER_TABLE, Order, OrderState, UsageCount, UsageSettings
from laburnumreel_standins.caller import Stream, call
from laburnumreel_standins.processes import wait_until

pytestmark = pytest.mark.processes


def zone_orders(deployment):
    history = call(deployment.platform_address, "GET", "/standin/state").json["order_history"]
    return [(item["order"]["fence"], item["order"]["count"]) for item in history]


def engine_orders(deployment, name):
    address = deployment.engines[name][1]
    orders = call(address, "GET", "/standin/state").json["orders"]
    return [(order["fence"], order["arguments"]) for order in orders]


def ignore_fences(deployment, name):
    call(deployment.platform_address, "POST", "/standin/faults", {"fence_check": False})
    call(deployment.engines[name][1], "POST", "/standin/faults", {"fence_check": False})


def test_configured_models_and_workers_are_ordered_once(deployment):
    """Guards against orders that are missing, repeated or sent by two coordinators."""
    name = deployment.add_engine()
    first, second = (CoordinatorProcess(deployment, f"node-{n}") for n in range(2))
    configure_service(deployment, ["large"], 3)
    wait_until(lambda: engine_orders(deployment, name), "the engine's order")
    wait_until(lambda: len(zone_orders(deployment)) == 2, "the zones' orders")
    time.sleep(3)
    assert engine_orders(deployment, name) == [(1, {"model": "large"})]
    assert zone_orders(deployment) == [(1, 3), (1, 3)]
    assert sorted(first.leases() + second.leases()) == ["orders", "snapshot", "usage"]


def test_only_the_sending_thread_receives_the_timer_signal(deployment):
    """Guards against another thread receiving the signal while the sending thread continues."""
    running = CoordinatorProcess(deployment, "node-1").wait_for_lease("orders")
    open_threads = 0
    for status in Path(f"/proc/{running.process.pid}/task").glob("*/status"):
        blocked = int(re.search(r"SigBlk:\s*(\w+)", status.read_text())[1], 16)
        open_threads += not blocked >> (signal.SIGALRM - 1) & 1
    assert open_threads == 1


def test_planned_stop_hands_over_at_once(deployment):
    """Guards against a planned stop that fails, or after which no process leads for a term."""
    first = CoordinatorProcess(deployment, "node-1").wait_for_lease("orders")
    second = CoordinatorProcess(deployment, "node-2")
    first.process.send_signal(signal.SIGTERM)
    assert first.process.wait() == 0
    started_at = time.monotonic()
    second.wait_for_lease("orders")
    assert time.monotonic() - started_at < 2.0


def test_successor_does_not_reduce_what_was_ordered_for_the_load(deployment):
    """Guards against back ends that are given back under load because the leaseholder stopped."""
    name = deployment.add_engine()
    first = CoordinatorProcess(deployment, "node-1").wait_for_lease("orders")
    configure_service(deployment, [], 2)
    wait_until(lambda: len(zone_orders(deployment)) == 2, "the zones' orders")
    first.process.send_signal(signal.SIGTERM)
    assert first.process.wait() == 0
    # As if the load had called for more than the two workers that are promised.
    for row in deployment.platform.scan(ORDER_TABLE).ok.rows:
        order = Order.from_row(row)._replace(arguments={"count": 5})
        write = order.to_write(OrderState.DONE)
        assert deployment.platform.transact([order.check], [write]).is_ok()
    # The successor's first plan has another order, so that it is known to have been made.
    configure_service(deployment, ["large"], 2)
    CoordinatorProcess(deployment, "node-2").wait_for_lease("orders")
    wait_until(lambda: engine_orders(deployment, name), "an order of the successor")
    time.sleep(2)
    assert [count for _, count in zone_orders(deployment)] == [2, 2]


def test_killed_coordinator_is_succeeded(deployment):
    """Guards against having no leaseholder after a coordinator was killed."""
    first = CoordinatorProcess(deployment, "node-1").wait_for_lease("orders")
    CoordinatorProcess(deployment, "node-2")
    first.process.end()
    configure_service(deployment, [], 2)
    wait_until(lambda: [fence for fence, _ in zone_orders(deployment)] == [2, 2], "a successor")


def test_coordinator_survives_a_store_outage(deployment):
    """Guards against coordinators that exit or keep their authority while the store is down."""
    first = CoordinatorProcess(deployment, "node-1").wait_for_lease("orders")
    call(deployment.platform_address, "POST", "/standin/faults", {"down": True})
    wait_until(lambda: not first.leases(), "leases to be given up")
    time.sleep(3)
    assert first.process.exit_code is None
    call(deployment.platform_address, "POST", "/standin/faults", {"down": False})
    first.wait_for_lease("orders")


def test_usage_is_reported_once_when_the_leaseholder_is_killed(deployment):
    """Guards against lost usage and conflicting reports when the sealing process is killed."""
    running = [CoordinatorProcess(deployment, f"node-{n}").wait_for_ready() for n in range(2)]
    settings = UsageSettings(window_s=2, flush_s=0.2, shards=4, grace_s=1.0)
    flush = UsageFlusher(deployment.platform, "gateway-1", "boot", settings, SystemClock())
    with ThreadPoolExecutor(1) as executor:
        flush.start(executor)
        for number in range(40):
            flush.count(f"r{number}", UsageCount(f"customer-{number % 5}", "models", 1, 9, 4))
            if number == 20:
                holder = wait_until(
                    lambda: next((c for c in running if "usage" in c.leases()), None), "a holder"
                )
                holder.process.end()
            time.sleep(0.1)
        assert flush.flush_all(10.0)
        flush.stop()

    def reports():
        state = call(deployment.platform_address, "GET", "/standin/state").json
        return [(r["customer"], r["window"], r["figures"]) for r in state["usage_history"]]

    def total():
        figures = {(customer, window): item for customer, window, item in reports()}
        return sum(item["requests"] for item in figures.values())

    wait_until(lambda: total() == 40, "all requests to be reported")
    different = {(customer, window, str(item)) for customer, window, item in reports()}
    assert len(different) == len({(customer, window) for customer, window, _ in different})


def read_reports(deployment):
    """Return the figures that the platform has by customer and window, which must not change."""
    reports = {}
    for report in call(deployment.platform_address, "GET", "/standin/state").json["usage_history"]:
        key = report["customer"], report["window"]
        assert reports.setdefault(key, report["figures"]) == report["figures"], key
    return reports


@pytest.mark.parametrize("outage_s", [0.0, 1.0])
def test_usage_survives_a_stop_of_all_processes_together(deployment, outage_s):
    """Guards against usage of requests that end while all gateways and coordinators stop."""
    deployment.configure()
    deployment.add_engine("--stream-tokens-per-s", "20")
    coordinators = [CoordinatorProcess(deployment, f"coordinator-{n}") for n in range(2)]
    gateways = deployment.start_gateways(2, usage=f"{USAGE}flush_s = 60\n")
    for coordinator in coordinators:
        coordinator.wait_for_ready()
    # Some end before the signal, and some while the gateways stop.
    streams = [
        Stream(gateways[number % 2].caller_address, {"prompt": f"p{number}", "max_tokens": tokens})
        for number, tokens in enumerate([1, 1, 1, 30, 30, 40])
    ]
    assert [stream.finish()[1] for stream in streams[:3]] == [True] * 3
    processes = [each.process for each in (*gateways, *coordinators)]
    if outage_s:
        deployment.platform_faults(down=True)
    for process in processes:
        process.send_signal(signal.SIGTERM)
    time.sleep(outage_s)
    deployment.platform_faults(down=False)
    assert [stream.finish()[1] for stream in streams[3:]] == [True] * 3
    assert [process.wait() for process in processes] == [0] * 4
    CoordinatorProcess(deployment, "coordinator-2")
    wait_until(
        lambda: sum(item["requests"] for item in read_reports(deployment).values()) == 6,
        "all requests to be reported",
    )
    # A window later the figures are still the same.
    time.sleep(3)
    assert sum(item["requests"] for item in read_reports(deployment).values()) == 6


@pytest.mark.parametrize("target", ["engine", "zone"])
@pytest.mark.parametrize("timer", ["timer", "no-timer"])
def test_no_order_from_coordinator_paused_past_its_lease(deployment, timer, target):
    """Guards against an order after a successor's, at receivers that do not check fencing numbers.

    Without the process timer and the abort by the lease task the order arrives, which shows that
    the process pauses at the right place.
    """
    name = deployment.add_engine()
    ignore_fences(deployment, name)
    paused = CoordinatorProcess(deployment, "node-1", "coordinators", timer).wait_for_lease(
        "orders"
    )
    configure_service(
        deployment, ["old"] if target == "engine" else [], 0 if target == "engine" else 5
    )
    wait_until(lambda: is_stopped(paused.process), "the coordinator to stop itself")
    written = deployment.platform.scan("order").ok.rows
    assert [row.key.split(":")[0] for row in written] == [target], "paused at another order"
    successor = CoordinatorProcess(deployment, "node-2")
    successor.wait_for_lease("orders")

    def received():
        return engine_orders(deployment, name) if target == "engine" else zone_orders(deployment)

    wait_until(lambda: any(fence == 2 for fence, _ in received()), "the successor's order")
    paused.process.send_signal(signal.SIGCONT)
    if timer == "timer":
        assert paused.process.wait() == -signal.SIGALRM
        time.sleep(0.5)
        assert all(fence == 2 for fence, _ in received())
    else:
        # The successor may send more orders after the late one.
        wait_until(lambda: 1 in [fence for fence, _ in received()][1:], "the late order to arrive")
        assert received()[0][0] == 2
