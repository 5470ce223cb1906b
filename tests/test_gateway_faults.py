"""Tests of the gateway with withdrawn keys, failing back ends and misbehaving callers."""

import json
import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from laburnumreel_standins._text import output_text
from laburnumreel_standins.caller import KEY, MODEL, Stream, bearer_headers, call
from laburnumreel_standins.deployment import OTHER_KEY
from laburnumreel_standins.processes import wait_until

pytestmark = pytest.mark.processes


def send_completion(gateway, prompt="x", tokens=5, headers=None, **fields):
    body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens, **fields}
    return call(
        gateway.caller_address, "POST", "/v1/completions", body, headers or bearer_headers()
    )


def find_engine(deployment, request_id):
    """Return the name of the engine that runs a request, or None."""
    for name, (process, _) in deployment.engines.items():
        if process.exit_code is None and request_id in deployment.engine_state(name)["requests"]:
            return name
    return None


def start_stream(deployment, gateway, prompt, tokens, **fields):
    """Return a stream after its first tokens, the text read from it, and its engine."""
    stream = Stream(gateway.caller_address, {"prompt": prompt, "max_tokens": tokens, **fields})
    read = "".join(stream.next_text() for _ in range(3))
    return stream, read, find_engine(deployment, stream.answer.getheader("X-Request-Id"))


def test_withdrawn_key_ends_a_stream(deployment):
    """Guards against a connected caller that continues to use a withdrawn key."""
    deployment.configure()
    deployment.add_engine("--stream-tokens-per-s", "20")
    gateway = deployment.start_gateway()
    stream, _, engine = start_stream(deployment, gateway, "long", 400)
    deployment.withdraw_key(KEY)
    started = time.monotonic()
    assert stream.finish()[1:] == (False, "withdrawn_key")
    assert time.monotonic() - started < 5
    wait_until(lambda: deployment.engine_state(engine)["running"] == 0, "the engine to be free")
    reply = send_completion(gateway)
    assert (reply.status, reply.kind, reply.run_state) == (401, "withdrawn_key", "not-run")
    assert gateway.metric("laburnumreel_refusals_total", kind="withdrawn_key") == 2


@pytest.mark.parametrize("fault", ["kill", "silent"])
def test_stream_resumes_at_another_engine_with_the_same_text(deployment, fault):
    """Guards against a resumed stream that loses, repeats or changes tokens."""
    deployment.configure(profile__chat={"silence_s": 1.0})
    for _ in range(2):
        deployment.add_engine("--stream-tokens-per-s", "40")
    gateway = deployment.start_gateway()
    stream, read, engine = start_stream(deployment, gateway, "steady", 60)
    signal_number = signal.SIGKILL if fault == "kill" else signal.SIGSTOP
    deployment.engines[engine][0].send_signal(signal_number)
    text, done, error = stream.finish()
    assert (read + text, done, error) == (output_text("steady", 60), True, None)
    assert gateway.metric("laburnumreel_retries_total") >= 1
    wait_until(lambda: deployment.count_stored_requests() == 1, "one request to be counted")


@pytest.mark.parametrize("fault", ["break_streams", "wrong_request_id"])
def test_broken_streams_are_errors(deployment, fault):
    """Guards against half an answer, or another request's answer, that looks complete."""
    deployment.configure()
    engine = deployment.add_engine()
    gateway = deployment.start_gateway()
    deployment.engine_faults(engine, **{fault: 1})
    stream = Stream(gateway.caller_address, {"prompt": "steady", "max_tokens": 60})
    text, done, error = stream.finish()
    assert not done and output_text("steady", 60).startswith(text)
    if fault == "break_streams":
        assert text and error in ("incomplete_answer", "back_end_lost")
    else:
        assert not text and stream.answer.getheader("X-Error-Kind") == "back_end_lost"
        assert stream.answer.getheader("X-Run-State") == "unknown"
    assert send_completion(gateway, "steady", 60).json["choices"][0]["text"] == output_text(
        "steady", 60
    )


def test_whole_answer_survives_a_crash(deployment):
    """Guards against an incomplete or missing answer for a caller that does not stream."""
    deployment.configure()
    for _ in range(2):
        deployment.add_engine("--stream-tokens-per-s", "40")
    gateway = deployment.start_gateway()
    with ThreadPoolExecutor(1) as executor:
        answer = executor.submit(send_completion, gateway, "steady", 60)
        name = wait_until(
            lambda: next(
                (n for n in deployment.engines if deployment.engine_state(n)["running"]), 0
            ),
            "an engine to run it",
        )
        time.sleep(0.3)
        deployment.engines[name][0].send_signal(signal.SIGKILL)
        reply = answer.result()
    assert reply.status == 200 and reply.json["choices"][0]["text"] == output_text("steady", 60)
    assert reply.json["usage"]["completion_tokens"] == 60


def test_poison_request_is_quarantined(deployment):
    """Guards against a request that crashes one engine after another."""
    deployment.configure()
    for _ in range(4):
        name = deployment.add_engine("--stream-tokens-per-s", "40")
        deployment.engine_faults(name, crash_on="poison")
    gateway = deployment.start_gateway()
    neighbours = [start_stream(deployment, gateway, f"good {n}", 80)[:2] for n in range(4)]
    reply = send_completion(gateway, "poison", 5)
    assert (reply.status, reply.kind, reply.run_state) == (422, "quarantined", "unknown")
    crashed = [
        name for name, (process, _) in deployment.engines.items() if process.exit_code is not None
    ]
    assert 1 <= len(crashed) <= 2
    for _ in range(2):
        reply = send_completion(gateway, "poison", 5)
        assert (reply.kind, reply.run_state) == ("quarantined", "not-run")
        assert int(reply.headers["retry-after"]) > 500
    for number, (stream, read) in enumerate(neighbours):
        text, done, error = stream.finish()
        assert (read + text, done, error) == (output_text(f"good {number}", 80), True, None)
    # The retry budget may be used up until the dead engines are known to be dead.
    wait_until(lambda: send_completion(gateway, "good 0", 5).status == 200, "other work to run")


def test_silent_connections_are_replaced(deployment):
    """Guards against requests that wait for one dead pooled connection after another."""
    # Long enough that an engine on a busy machine is not mistaken for a silent one.
    silence_s = 2.0
    deployment.configure(profile__chat={"silence_s": silence_s})
    engine = deployment.add_engine()
    gateway = deployment.start_gateway()
    with ThreadPoolExecutor(8) as executor:
        assert all(
            r.status == 200 for r in executor.map(lambda n: send_completion(gateway), range(8))
        )
    deployment.engine_faults(engine, silent="open")
    deployment.add_engine()
    started = time.monotonic()
    assert [send_completion(gateway).status for _ in range(6)] == [200] * 6
    # Six consecutive waits would take longer; two silent connections are allowed below.
    assert time.monotonic() - started < 6 * silence_s
    assert gateway.metric("laburnumreel_silent_connections_total") <= 2


def test_refusing_engine_gets_no_more_work(deployment):
    """Guards against work being sent repeatedly to an engine that refuses it."""
    deployment.configure()
    engines = [deployment.add_engine() for _ in range(2)]
    gateway = deployment.start_gateway()
    deployment.engine_faults(engines[0], refuse=True)
    assert [send_completion(gateway).status for _ in range(12)] == [200] * 12
    assert sum(deployment.engine_state(engines[0])["refused"].values()) <= 4
    deployment.engine_faults(engines[1], refuse=True)
    reply = send_completion(gateway)
    assert (reply.status, reply.run_state) in ((502, "not-run"), (503, "not-run"))
    assert reply.headers["retry-after"]


def test_hung_request_ends_at_its_deadline(deployment):
    """Guards against a request that blocks its caller forever."""
    deployment.configure(profile__chat={"deadline_s": 1.5, "silence_s": 60.0})
    engine = deployment.add_engine()
    gateway = deployment.start_gateway()
    deployment.engines[engine][0].send_signal(signal.SIGSTOP)
    started = time.monotonic()
    reply = send_completion(gateway)
    assert (reply.status, reply.kind, reply.run_state) == (504, "back_end_timeout", "unknown")
    assert time.monotonic() - started < 4


def test_caller_disconnect_frees_the_engine(deployment):
    """Guards against an engine that continues to work for a disconnected caller."""
    deployment.configure()
    engine = deployment.add_engine("--stream-tokens-per-s", "20")
    gateway = deployment.start_gateway()
    stream, _, _ = start_stream(deployment, gateway, "long", 400)
    stream.answer.close()
    stream.close()
    with socket.create_connection(gateway.caller_address) as sock:
        body = json.dumps({"model": MODEL, "prompt": "whole", "max_tokens": 400}).encode()
        head = f"POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\n"
        sock.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        wait_until(lambda: deployment.engine_state(engine)["running"] == 1, "the first to end")
        wait_until(lambda: len(deployment.engine_state(engine)["requests"]) == 2, "the second")
    wait_until(lambda: deployment.engine_state(engine)["running"] == 0, "the engine to be free")
    wait_until(lambda: gateway.metric("laburnumreel_running_requests") == 0, "free threads")
    assert gateway.metric("laburnumreel_refusals_total", kind="caller_gone") == 2
    assert send_completion(gateway).status == 200


def test_bad_input_gets_a_documented_error_kind(deployment):
    """Guards against bad input that gets an undocumented error or affects the next request."""
    deployment.configure(profile__chat={"max_body_bytes": 5000, "max_tokens": 100})
    deployment.add_engine()
    plain = deployment.add_plain_server()
    gateway = deployment.start_gateway()
    good = {"model": MODEL, "prompt": "x", "max_tokens": 2}
    path = "/v1/completions"
    cases = [
        ("bad_request", "POST", path, b"{", bearer_headers()),
        ("bad_request", "POST", path, {**good, "max_tokens": -4}, bearer_headers()),
        ("bad_request", "POST", path, {**good, "max_tokens": 10**9}, bearer_headers()),
        ("bad_request", "POST", "/v1/chat/completions", {"model": MODEL}, bearer_headers()),
        ("body_too_large", "POST", path, {**good, "prompt": "x" * 6000}, bearer_headers()),
        ("body_too_large", "POST", path, {**good, "prompt": "x" * 2_000_000}, bearer_headers()),
        ("header_too_large", "GET", "/v1/models", None, bearer_headers(A="x" * 40_000)),
        ("missing_key", "POST", path, good, {}),
        ("unknown_key", "POST", path, good, bearer_headers("lr-nobody")),
        ("unknown_key", "POST", path, good, bearer_headers("x" * 5000)),
        ("not_allowed", "POST", path, good, bearer_headers(OTHER_KEY)),
        ("unknown_model", "POST", path, {**good, "model": "huge"}, bearer_headers()),
        ("unknown_route", "GET", "/nothing", None, bearer_headers()),
        ("bad_request", "GET", "/orders/../v1/models", None, bearer_headers()),
        ("bad_request", "GET", "/orders/%2e%2e/x", None, bearer_headers()),
        ("method_not_allowed", "GET", path, None, bearer_headers()),
        ("method_not_allowed", "TRACE", "/orders/x", None, bearer_headers()),
    ]
    for kind, method, target, body, headers in cases:
        before = gateway.metric("laburnumreel_refusals_total", kind=kind)
        reply = call(gateway.caller_address, method, target, body, headers)
        assert (reply.kind, reply.run_state) == (kind, "not-run"), (kind, target, reply)
        assert reply.headers["x-request-id"]
        assert reply.json["error"]["code"] == kind
        assert gateway.metric("laburnumreel_refusals_total", kind=kind) == before + 1
        assert call(gateway.caller_address, "POST", path, good, bearer_headers()).status == 200
    assert not plain.requests


def test_full_gateway_refuses_at_once(deployment):
    """Guards against a request that waits for a free thread without getting an answer."""
    deployment.configure()
    deployment.add_engine("--stream-tokens-per-s", "20")
    gateway = deployment.start_gateway(threads="callers = 2\nreserve = 2\n")
    streams = [start_stream(deployment, gateway, f"long {n}", 400)[0] for n in range(2)]
    started = time.monotonic()
    reply = send_completion(gateway)
    assert (reply.kind, reply.run_state) == ("threads_exhausted", "not-run")
    assert reply.headers["retry-after"] and time.monotonic() - started < 2
    for stream in streams:
        stream.answer.close()
        stream.close()
    wait_until(lambda: send_completion(gateway).status == 200, "a free slot")
