"""Tests that servers which have crashed and started again get requests at once."""

import threading

import pytest
from platform_answers import begin_stream, chunk, close_unanswered, event, stream
from platform_config import config
from platform_world import WAIT_S, wait_until
from relay_caller import PROMPT_HEADERS, Caller
from relay_samples import HERE, listed

from laburnumreel.relay._fleet_state import FleetState
from laburnumreel.relay._health import INITIAL_BACKOFF_S
from laburnumreel.relay._ports import Listing

ROUTE_TIMEOUT_MS = 30_000
COUNT = 5


@pytest.mark.processes
def test_begun_stream_waits_for_a_server_that_starts_again(world):
    """All servers of the service crash at once; the one that is left refuses connections first."""
    chosen, has_begun, may_fail = [], threading.Event(), threading.Event()

    def make_answer(name):
        def answer(handler):
            if not handler.path.startswith("/talk/"):
                handler.respond(200)
                return
            chosen.append(name)
            begin_stream(handler)
            chunk(handler, event(1))
            has_begun.set()
            may_fail.wait(WAIT_S)
            close_unanswered(handler)

        return answer

    for name in ("q1", "q2"):
        world.worker(name, "quotes", make_answer(name))
    entry = config(2)
    entry["Routes"] = [{**route, "TimeoutMs": ROUTE_TIMEOUT_MS} for route in entry["Routes"]]
    world.store.put("op", "config", entry)
    relay = world.start_relay()
    caller, answers = Caller(relay, timeout_s=60.0), []
    headers = {**PROMPT_HEADERS, "Deadline_Ms": str(ROUTE_TIMEOUT_MS)}

    def ask():
        try:
            answers.append(caller.ask("/talk/1", **headers)[2])
        except Exception as error:
            answers.append(repr(error))

    thread = threading.Thread(target=ask)
    thread.start()
    try:
        assert has_begun.wait(WAIT_S)
        other = "q2" if chosen == ["q1"] else "q1"
        world.workers[other].end()
    finally:
        may_fail.set()
    wait_until(
        lambda: any(
            line["trouble"] == "unreachable" and line["back_end"] == other
            for line in relay.find_log_lines("attempt_failed")
        ),
        "the other server has refused a connection",
    )
    world.worker(other, "quotes", stream(COUNT), born=1_800_000_000_001)
    thread.join()
    assert answers == [b"".join(event(number) for number in range(1, COUNT + 1))]


@pytest.mark.parametrize("peer", [False, True], ids=["own", "peers"])
def test_backoff_ends_with_the_process_that_could_not_be_reached(peer):
    fleet_state, now = FleetState(HERE, {}, 2.2), 10.0
    old = listed("b1")._replace(started_at_ms=1)

    def list_entry(entry):
        fleet_state.on_listing(Listing({"b1": entry}, 1, 0.0, True), now)
        return fleet_state._health.is_in_backoff("b1", now)

    assert not list_entry(old)
    if peer:
        fleet_state._health.on_peer_backoff("b1", now + 5.0)
    else:
        fleet_state.record_unreachable("b1", now)
    assert list_entry(old._replace(beat=2))
    assert not list_entry(old._replace(started_at_ms=2))
    fleet_state.record_unreachable("b1", now)
    assert fleet_state._health.backoffs(now)["b1"] == pytest.approx(INITIAL_BACKOFF_S)
