"""Tests of calls with JSON bodies on a persistent connection."""

import json
import socket
import threading
import time

import pytest
from platform_world import HOST, Store, wait_until

from laburnumreel.transport import JsonCalls


@pytest.fixture
def store():
    running = Store()
    yield running
    running.end()


# Longer than any test runs, so that a call that ends sooner was not ended by a timeout.
UNREACHED_TIMEOUT_S = 600.0
# An interrupted call ends at once. On a busy machine, at least `MIN_PROMPT_TRIES` of `TRIES` must.
MAX_INTERRUPT_S, TRIES, MIN_PROMPT_TRIES = 0.5, 20, 16


def make_calls(store, timeout_s=1.0):
    host, _, port = store.address.rpartition(":")
    return JsonCalls((host, int(port)), timeout_s)


def time_interrupted_call(store):
    """Interrupt a call that waits at the store and return how many seconds it took to end.

    The call has no effective timeout.
    """
    calls, outcomes = make_calls(store, UNREACHED_TIMEOUT_S), []
    path = f"/v1/rows-feed?Table=op&after=0&WaitMs={int(1000 * UNREACHED_TIMEOUT_S)}"
    waiting = threading.Thread(
        target=lambda: outcomes.append(calls.read(path, wait_s=UNREACHED_TIMEOUT_S)), daemon=True
    )
    assert calls.read("/v1/rows-get?Table=op&part=").is_ok()
    store.calls.clear()
    waiting.start()
    wait_until(lambda: "/v1/rows-feed" in store.calls, "the call to wait at the store")
    started = time.monotonic()
    calls.interrupt()
    wait_until(lambda: outcomes, "the call to end")
    took_s = time.monotonic() - started
    assert outcomes[0].is_error()
    assert store.calls.count("/v1/rows-feed") == 1
    assert calls.read("/v1/rows-get?Table=op&part=").is_ok()
    return took_s


def test_interrupted_call_ends_and_is_not_sent_again(store):
    """Guards against a host that blocks for seconds when it stops or learns that it is behind."""
    assert (
        sum(time_interrupted_call(store) < MAX_INTERRUPT_S for _ in range(TRIES))
        >= MIN_PROMPT_TRIES
    )


def test_kept_connection_that_was_closed_is_replaced(store):
    calls = make_calls(store)
    assert calls.read("/v1/rows-get?Table=op&part=").is_ok()
    calls._idle_exchange.connection.sock.shutdown(socket.SHUT_RDWR)
    assert calls.read("/v1/rows-get?Table=op&part=").is_ok()


def test_refused_connection_is_reported_as_not_sent():
    failed = JsonCalls((HOST, 1), 0.5).change("/v1/rows-tx", {})
    assert failed.error.kind == "not_sent"


def test_duplicate_answer_is_not_read_by_a_later_call(start_scripted_server):
    """Guards against a duplicate answer that shifts the answers of all later calls by one."""
    idle, written = threading.Event(), threading.Event()

    def answer_twice(exchange):
        if exchange.number == 0:
            exchange.write_answer(b"{}", "503 Unavailable")
            # The second copy arrives while the connection is idle.
            idle.wait(5)
            exchange.write_answer(b"{}", "503 Unavailable")
            written.set()
        else:
            exchange.write_answer(json.dumps({"read": exchange.path}).encode())

    calls = JsonCalls(start_scripted_server(answer_twice).address, 1.0)
    assert calls.read("/0").ok.status == 503
    idle.set()
    assert written.wait(5)
    for path in ("/1", "/2", "/3"):
        answer = calls.read(path).ok
        assert (answer.status, answer.body) == (200, {"read": path})
