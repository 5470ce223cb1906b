"""Tests of concurrent requests that callers send with the same request id, or without one."""

import http.client
import threading
import time

import pytest
from platform_answers import send_whole
from platform_world import wait_until
from relay_caller import Caller

pytestmark = pytest.mark.processes

# The requests' deadline, and how much later their answer may arrive.
DEADLINE_S, MAX_LATE_S = 2.0, 0.5


def occupy_worker(relay, worker):
    """Take the only slot of the worker, for longer than the deadline of the other requests."""
    caller = Caller(relay)
    caller.send("/once/first")
    wait_until(lambda: worker.seen, "the worker has the first request")
    return caller


def ask_in_background(relay, outcomes, **headers):
    def ask():
        started = time.monotonic()
        try:
            status = Caller(relay, timeout_s=6).ask("/safe/x", **headers)[0]
        except (OSError, http.client.HTTPException) as error:
            status = repr(error)
        outcomes.append((status, time.monotonic() - started))

    thread = threading.Thread(target=ask)
    thread.start()
    return thread


@pytest.mark.parametrize("request_id", ["same", ""])
def test_each_waiting_request_with_the_same_id_is_answered(world, request_id):
    worker = world.worker(
        "w1",
        default_answer=lambda handler: (time.sleep(2.8), send_whole(handler)),
        Slots=1,
    )
    relay = world.start_relay()
    first = occupy_worker(relay, worker)
    outcomes = []
    headers = {"Request_Id": request_id, "Deadline_Ms": str(round(1000 * DEADLINE_S))}
    threads = [ask_in_background(relay, outcomes, **headers) for _ in range(4)]
    for thread in threads:
        thread.join()
    first.connection.getresponse().read()
    assert [status for status, _ in outcomes] == [503] * 4
    assert max(took_s for _, took_s in outcomes) < DEADLINE_S + MAX_LATE_S


def hang_until_cut(handler):
    """Send no answer, and set the worker's `cut_event` when the connection ends."""
    if handler.connection.recv(1) == b"":
        handler.server.cut_event.set()


def test_end_of_one_request_does_not_stop_the_watch_on_another_with_its_id(world):
    worker = world.worker("w1")
    worker.server.cut_event = worker.cut_event
    worker.script = [hang_until_cut, send_whole]
    relay = world.start_relay()
    first = Caller(relay)
    first.send("/once/x", Request_Id="same")
    wait_until(lambda: worker.seen, "the worker has the first request")
    assert Caller(relay).ask("/once/x", Request_Id="same")[0] == 200
    first.connection.close()
    assert worker.cut_event.wait(MAX_LATE_S)
