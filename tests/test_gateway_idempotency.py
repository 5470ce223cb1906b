"""Tests of the Idempotency-Key header across several gateways."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from laburnumreel_standins._text import output_text
from laburnumreel_standins.caller import MODEL, Stream, bearer_headers, call
from laburnumreel_standins.deployment import OTHER_KEY
from laburnumreel_standins.processes import wait_until

pytestmark = pytest.mark.processes


@pytest.fixture
def gateways(deployment):
    deployment.configure()
    deployment.add_engine("--stream-tokens-per-s", "60")
    return deployment.start_gateways(2)


def add_plain(deployment, gateways):
    """Start a plain server and wait until all gateways have it in their host list."""
    plain = deployment.add_plain_server()
    for gateway in gateways:
        wait_until(
            lambda address=gateway.caller_address: call(address, "GET", "/orders/ping").status
            == 200,
            "plain",
        )
    return plain


def book(gateway, key, body=b"12 crates", timeout_s=40):
    headers = bearer_headers(Idempotency_Key=key)
    return call(gateway.caller_address, "POST", "/orders/new", body, headers, timeout_s)


def test_key_without_a_customer_is_refused(deployment, gateways):
    """Guards against an answer, with its cookies, for another caller that chose the same key."""
    plain = add_plain(deployment, gateways)
    requests_before = len(plain.requests)
    for caller in ("ana", "ben"):
        headers = {"Idempotency-Key": "1", "Cookie": f"session={caller}"}
        reply = call(gateways[0].caller_address, "POST", "/orders/ping", b"12 crates", headers)
        assert (reply.status, reply.kind, reply.run_state) == (
            400,
            "bad_idempotency_key",
            "not-run",
        )
    assert len(plain.requests) == requests_before
    # A safe method needs no claim, so its key identifies nothing.
    headers = {"Idempotency-Key": "1"}
    assert call(gateways[0].caller_address, "GET", "/orders/ping", None, headers).status == 200


def test_replay_equals_the_first_answer(deployment, gateways):
    """Guards against a repeated request that runs again or gets a different answer."""
    plain = add_plain(deployment, gateways)
    requests_before = len(plain.requests)
    first = book(gateways[0], "order-1")
    replays = [book(gateway, "order-1") for gateway in gateways]
    assert len(plain.requests) == requests_before + 1
    for reply in replays:
        assert (reply.status, reply.body) == (first.status, first.body) == (201, first.body)
        assert reply.headers["x-request-id"] == first.headers["x-request-id"]
        assert reply.headers["idempotency-replayed"] == "true"
    assert book(gateways[1], "order-1", b"13 crates").kind == "idempotency_mismatch"
    assert book(gateways[1], "not a key").kind == "bad_idempotency_key"
    other = bearer_headers(OTHER_KEY, Idempotency_Key="order-1")
    assert (
        call(gateways[1].caller_address, "POST", "/orders/new", b"12 crates", other).status == 201
    )
    assert len(plain.requests) == requests_before + 2


def test_streams_are_replayed_with_their_events(deployment, gateways):
    """Guards against a replayed stream that misses events of the first one."""
    headers = bearer_headers(Idempotency_Key="stream-1")
    body = {"prompt": "steady", "max_tokens": 20}
    first = Stream(gateways[0].caller_address, body, headers)
    assert first.finish() == (output_text("steady", 20), True, None)
    second = Stream(gateways[1].caller_address, body, headers)
    second.finish()
    assert second.received == first.received
    whole = {"model": MODEL, "prompt": "steady", "max_tokens": 20}
    answers = [
        call(
            gateway.caller_address,
            "POST",
            "/v1/completions",
            whole,
            bearer_headers(Idempotency_Key="whole-1"),
        )
        for gateway in gateways
    ]
    assert answers[0].body == answers[1].body and answers[0].status == 200
    assert len(deployment.engine_state("engine-0")["requests"]) == 2


def test_second_copy_waits_for_the_first(deployment, gateways):
    """Guards against two gateways running the same request at the same time."""
    plain = add_plain(deployment, gateways)
    requests_before = len(plain.requests)
    plain.answers_allowed.clear()
    with ThreadPoolExecutor(1) as executor:
        first = executor.submit(book, gateways[0], "order-2")
        wait_until(lambda: len(plain.requests) > requests_before, "the first to run")
        for gateway in gateways:
            reply = book(gateway, "order-2")
            assert (reply.status, reply.kind) == (409, "idempotency_running")
            assert reply.run_state == "not-run" and reply.headers["retry-after"]
        plain.answers_allowed.set()
        assert first.result().status == 201
    assert book(gateways[1], "order-2").body == first.result().body
    assert len(plain.requests) == requests_before + 1


@pytest.mark.parametrize("fault", ["kill", "restart", "pause"])
def test_killed_gateway_leaves_the_request_unknown(deployment, gateways, fault):
    """Guards against a second gateway repeating a booking of a dead gateway."""
    plain = add_plain(deployment, gateways)
    requests_before = len(plain.requests)
    plain.answers_allowed.clear()
    with ThreadPoolExecutor(1) as executor:
        first = executor.submit(book, gateways[0], "order-3", timeout_s=3)
        wait_until(lambda: len(plain.requests) > requests_before, "the first to run")
        gateways[0].process.send_signal(signal.SIGSTOP if fault == "pause" else signal.SIGKILL)
        assert first.exception() is not None
    if fault == "restart":
        gateways[0].process.wait()
        deployment.restart_gateway(gateways[0])
    for _ in range(2):
        reply = book(gateways[1], "order-3")
        assert (reply.status, reply.kind) == (502, "idempotency_unknown")
        assert reply.run_state == "unknown"
    assert len(plain.requests) == requests_before + 1


def test_store_outage_refuses_before_sending(deployment, gateways):
    """Guards against a request with a key that runs without a claim."""
    plain = add_plain(deployment, gateways)
    requests_before = len(plain.requests)
    deployment.platform_faults(down=True, paths=["/table", "/objects"])
    reply = book(gateways[0], "order-4")
    assert (reply.status, reply.kind, reply.run_state) == (503, "store_unavailable", "not-run")
    assert len(plain.requests) == requests_before
    unkeyed = call(gateways[0].caller_address, "POST", "/orders/new", b"1", bearer_headers())
    assert unkeyed.status == 201
    deployment.platform_faults(down=False, paths=[])
    assert book(gateways[1], "order-4").status == 201
    deployment.platform_faults(lose_answers=1, paths=["/table/transact"])
    assert book(gateways[1], "order-5").status == 201
    assert book(gateways[0], "order-5").headers["idempotency-replayed"] == "true"
    assert len(plain.requests) == requests_before + 3


def test_answer_is_kept_for_a_disconnected_caller(deployment, gateways):
    """Guards against losing the outcome of a booking because its caller disconnected."""
    plain = add_plain(deployment, gateways)
    requests_before = len(plain.requests)
    plain.answers_allowed.clear()
    with pytest.raises(OSError):
        book(gateways[0], "order-6", timeout_s=1.0)
    time.sleep(0.6)
    plain.answers_allowed.set()
    wait_until(lambda: book(gateways[1], "order-6").status == 201, "the stored answer")
    assert len(plain.requests) == requests_before + 1
