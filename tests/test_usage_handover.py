"""Tests of usage counts when the relays that hold them are stopped together."""

import signal
import time

import pytest
from platform_answers import send_whole
from platform_world import wait_until
from relay_caller import Caller

pytestmark = pytest.mark.processes

RELAYS = 3
REQUESTS = 8
LATE_IN_STOP_S = 1.5
# The lease's term, its margins and the wait of its new holder, for the windows before the stop.
REPORT_WAIT_S = 20.0


def reported_requests(world):
    """Return the number of requests in all usage reports."""
    counts = {body["WindowId"]: body["Counts"] for path, _, body in world.duties.calls}
    return sum(sum(each.values()) for each in counts.values())


def test_counts_of_relays_that_stop_together_are_reported(world):
    world.worker("w1", Slots=16)
    relays = [world.start_relay(f"relay-{number}") for number in range(RELAYS)]
    for relay in relays:
        relay.process.send_signal(signal.SIGTERM)
    # Late enough that the last window ends too late to be reported before the processes end.
    time.sleep(LATE_IN_STOP_S)
    statuses = [Caller(relay).ask("/safe/x")[0] for relay in relays for _ in range(REQUESTS)]
    served = statuses.count(200)
    assert served
    assert [relay.process.wait(10) for relay in relays] == [0] * RELAYS
    for number in range(RELAYS):
        world.start_relay(f"relay-{number}")
    wait_until(
        lambda: reported_requests(world) >= served,
        "all requests are reported",
        REPORT_WAIT_S,
    )
    assert reported_requests(world) == served


def test_stopping_relay_does_not_acquire_the_lease(world):
    """Its successor would have to wait for another term, and report usage too late."""
    world.worker("w1", default_answer=lambda handler: (time.sleep(4.0), send_whole(handler)))
    holder = world.start_relay()
    wait_until(lambda: holder.find_log_lines("lease_acquired"), "the lease is acquired", 10)
    stopping = world.start_relay("relay-2")
    wait_until(lambda: stopping.find_log_lines("relay_peer_heard"), "the holder is heard")
    holder.process.kill()
    # The lease ends while the last request keeps the process.
    time.sleep(LATE_IN_STOP_S)
    stopping.process.terminate()
    time.sleep(LATE_IN_STOP_S)
    Caller(stopping).ask("/once/x")
    assert stopping.process.wait(8) == 0
    assert not stopping.find_log_lines("lease_acquired")
