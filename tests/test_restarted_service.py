"""Tests that a begun stream waits for servers of its service that are starting again."""

import threading

import pytest
from platform_answers import begin_stream, chunk, close_unanswered, event, stream
from platform_config import config
from platform_world import WAIT_S, wait_until
from relay_caller import PROMPT_HEADERS, Caller

pytestmark = pytest.mark.processes

ROUTE_TIMEOUT_MS = 30_000
COUNT = 5


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
