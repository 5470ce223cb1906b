"""Tests of refusals that a faulty server repeats on a reused connection."""

import json
import threading
import time

import pytest

from laburnumreel_standins.caller import MODEL, bearer_headers, call

pytestmark = pytest.mark.processes

# Long enough that a request that waits for it is recognisable on any machine.
SILENCE_S = 20.0
BODY = {"model": MODEL, "prompt": "x", "max_tokens": 2}


def make_stream_body(exchange):
    """Return the complete body of an engine's answer."""
    choice = {"index": 0, "text": "one", "finish_reason": "stop"}
    chunk = {"id": exchange.request_id, "choices": [choice]}
    return f"data: {json.dumps(chunk)}\n\ndata: [DONE]\n\n".encode()


def make_repeated_refusal(status, headers):
    """Return a script that writes a refusal before each answer except the first."""

    def script(exchange):
        earlier = getattr(exchange, "earlier", None)
        exchange.earlier = exchange.request_id
        if earlier is not None:
            exchange.write_answer(b"{}", status, headers.format(earlier=earlier))
            time.sleep(0.3)
        exchange.write_answer(make_stream_body(exchange))

    return script


@pytest.mark.parametrize("headers", ["", "X-Request-Id: {earlier}\r\n", "Retry-After: 3\r\n"])
@pytest.mark.parametrize("status", ["503 Service Unavailable", "429 Too Many", "400 Bad Request"])
def test_refusal_of_an_earlier_request_does_not_say_not_run(
    deployment, start_scripted_server, status, headers
):
    """A request that its engine was running was reported as "not run"."""
    server = start_scripted_server(make_repeated_refusal(status, headers))
    deployment.configure()
    server.register_with(deployment)
    gateway = deployment.start_gateway()
    replies = [
        call(
            gateway.caller_address,
            "POST",
            "/v1/completions",
            BODY,
            bearer_headers(Idempotency_Key=f"k{n}"),
        )
        for n in range(2)
    ]
    assert replies[0].status == 200 and len(server.request_ids) == 2
    assert (replies[1].run_state, replies[1].status != 200) == ("unknown", True)


@pytest.mark.parametrize("headers", ["", "Retry-After: 3\r\n"])
def test_refusal_on_a_reused_plain_connection_does_not_say_not_run(
    deployment, start_scripted_server, headers
):
    """A plain server sends no request ids, so the refused request cannot be identified."""
    server = start_scripted_server(make_repeated_refusal("503 Service Unavailable", headers))
    deployment.configure()
    server.register_with(deployment, "orders", "plain")
    gateway = deployment.start_gateway()
    replies = [
        call(gateway.caller_address, "GET", "/orders/1", None, bearer_headers()) for _ in range(2)
    ]
    assert replies[0].status == 200 and len(server.request_ids) == 2
    assert (replies[1].run_state, replies[1].status != 200) == ("unknown", True)


def test_refusal_by_a_server_listed_twice_does_not_say_not_run_after_a_run(
    deployment, start_scripted_server
):
    """A refused request was sent to the same server again, which ran it; its key was released."""
    run_request_ids = []

    def script(exchange):
        is_second, exchange.again = getattr(exchange, "again", False), True
        exchange.write_answer(b"{}", "503 Busy", f"X-Request-Id: {exchange.request_id}\r\n")
        if is_second:
            run_request_ids.append(exchange.request_id)
            time.sleep(0.3)
            exchange.write_answer(make_stream_body(exchange))

    server = start_scripted_server(script)
    deployment.configure()
    server.register_with(deployment)
    server.register_with(deployment)
    gateway = deployment.start_gateway()
    headers = bearer_headers(Idempotency_Key="k1")
    reply = call(gateway.caller_address, "POST", "/v1/completions", BODY, headers)
    assert len(server.request_ids) == 2
    assert (reply.status, reply.run_state, run_request_ids) == (503, "not-run", [])


def test_refusal_on_a_new_connection_still_says_not_run(deployment, start_scripted_server):
    """On a new connection there is no earlier request that the refusal could belong to."""
    script = make_repeated_refusal("503 Service Unavailable", "")
    server = start_scripted_server(
        lambda exchange: setattr(exchange, "earlier", "none") or script(exchange)
    )
    deployment.configure()
    server.register_with(deployment)
    gateway = deployment.start_gateway()
    reply = call(gateway.caller_address, "POST", "/v1/completions", BODY, bearer_headers())
    assert (reply.status, reply.run_state) == (503, "not-run")


def test_refusal_with_a_missing_body_is_a_refusal(deployment, start_scripted_server):
    """A refused request waited for the silence limit, and its run state became unknown."""

    def send_truncated_refusal(exchange):
        exchange.close_connection = True
        exchange.wfile.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 100\r\n\r\n")
        is_answered.wait(2 * SILENCE_S)

    is_answered = threading.Event()
    deployment.configure(profile__chat={"silence_s": SILENCE_S})
    start_scripted_server(send_truncated_refusal).register_with(deployment)
    gateway = deployment.start_gateway()
    # The request must not be repeated: an answer with several choices cannot be resumed.
    started = time.monotonic()
    reply = call(
        gateway.caller_address, "POST", "/v1/completions", {**BODY, "n": 2}, bearer_headers()
    )
    is_answered.set()
    assert (reply.status, reply.run_state) == (503, "not-run")
    # A refused request waits 2 s for another back end, not for the silence limit.
    assert time.monotonic() - started < SILENCE_S
