"""Tests of silent back ends: silence is not a failure, and a request waits unless another answers."""

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from laburnumreel_standins._text import output_text
from laburnumreel_standins.caller import MODEL, Stream, bearer_headers, call
from laburnumreel_standins.processes import wait_until

pytestmark = pytest.mark.processes

SILENCE_S = 0.6
# Longer than the silence limit of a back end, and far shorter than the deadline.
PAUSE_S = 1.6
# A silence limit that an engine on a busy machine keeps.
LONG_SILENCE_S = 4.0
NO_RETRIES = {"retry_ratio": 0.0, "retry_minimum": 0}
TEXT = output_text("steady", 60)


def pause_engine(deployment, engine, seconds=PAUSE_S):
    """Stop the process of an engine for some seconds."""
    process = deployment.engines[engine][0]
    process.send_signal(signal.SIGSTOP)
    timer = threading.Timer(seconds, process.send_signal, [signal.SIGCONT])
    timer.start()
    return timer


def start_stream(gateway):
    """Return a stream and the text of its first events."""
    stream = Stream(gateway.caller_address, {"prompt": "steady", "max_tokens": 60})
    return stream, "".join(stream.next_text() for _ in range(3))


def wait_for_running_engine(deployment):
    return wait_until(
        lambda: next(
            (n for n in deployment.engines if deployment.engine_state(n)["running"]), None
        ),
        "an engine to run it",
    )


@pytest.mark.parametrize("engines, limits", [(1, {}), (2, NO_RETRIES)], ids=["slot", "permit"])
def test_silent_stream_is_not_cut_without_a_slot_or_permit(deployment, engines, limits):
    """A stream was cut when no slot or permit was available, though its engine resumed later."""
    deployment.configure(profile__chat={"silence_s": SILENCE_S, **limits})
    for _ in range(engines):
        deployment.add_engine("--stream-tokens-per-s", "40")
    gateway = deployment.start_gateway()
    stream, read = start_stream(gateway)
    pause_engine(deployment, wait_for_running_engine(deployment))
    text, done, error = stream.finish()
    assert (read + text, done, error) == (TEXT, True, None)
    assert gateway.metric("laburnumreel_retries_total") == 0


def test_request_waits_for_a_silent_engine_before_its_first_token(deployment):
    """A request failed before its first token, long before its deadline."""
    deployment.configure(profile__chat={"silence_s": SILENCE_S})
    engine = deployment.add_engine()
    gateway = deployment.start_gateway()
    pause_engine(deployment, engine)
    body = {"model": MODEL, "prompt": "steady", "max_tokens": 60}
    reply = call(gateway.caller_address, "POST", "/v1/completions", body, bearer_headers())
    assert reply.status == 200 and reply.json["choices"][0]["text"] == TEXT


def test_streams_stay_if_all_engines_are_silent(deployment):
    """Streams moved between silent engines, and each move cost a retry and a prompt."""
    deployment.configure(profile__chat={"silence_s": SILENCE_S})
    engines = [deployment.add_engine("--stream-tokens-per-s", "40") for _ in range(2)]
    gateway = deployment.start_gateway()
    streams = [start_stream(gateway) for _ in range(6)]
    assert all(deployment.engine_state(name)["running"] for name in engines)
    for engine in engines:
        pause_engine(deployment, engine)
    for stream, read in streams:
        text, done, error = stream.finish()
        assert (read + text, done, error) == (TEXT, True, None)
    # The first stream may not know yet that the other engine is silent.
    assert gateway.metric("laburnumreel_retries_total") <= 1


@pytest.mark.parametrize("method, status", [("POST", 201), ("GET", 200)])
def test_plain_request_waits_for_a_silent_server(deployment, method, status):
    """A request that must not run twice was given up as unknown, though its answer came later."""
    deployment.configure(profile__orders={"silence_s": SILENCE_S})
    plain = deployment.add_plain_server()
    gateway = deployment.start_gateway()
    plain.answers_allowed.clear()
    threading.Timer(PAUSE_S, plain.answers_allowed.set).start()
    reply = call(gateway.caller_address, method, "/orders/1", None, bearer_headers())
    assert (reply.status, reply.kind) == (status, None)
    assert len(plain.requests) == 1


def test_large_answer_is_not_cut_by_a_pause(deployment, start_scripted_server):
    """A partly sent answer was cut after a pause, though no other back end could complete it."""
    half = b"x" * 400_000

    def script(exchange):
        exchange.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 800000\r\n\r\n" + half)
        time.sleep(PAUSE_S)
        exchange.wfile.write(half)

    deployment.configure(profile__orders={"silence_s": SILENCE_S})
    start_scripted_server(script).register_with(deployment, "orders", "plain")
    gateway = deployment.start_gateway()
    reply = call(gateway.caller_address, "GET", "/orders/1", None, bearer_headers())
    assert (reply.status, len(reply.body)) == (200, 800_000)


def test_event_interrupted_by_a_pause_is_read_completely(deployment, start_scripted_server):
    """Bytes that were read before a pause must not be lost while waiting for the rest."""

    def script(exchange):
        exchange.wfile.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        event = f'data: {{"id":"{exchange.request_id}","choices":[{{"index":0,"text":"one"'.encode()
        rest = b',"finish_reason":"stop"}]}\n\ndata: [DONE]\n\n'
        size = b"%x\r\n" % len(event + rest)
        for piece in (size[:1], size[1:] + event, rest + b"\r\n0\r", b"\n\r\n"):
            exchange.wfile.write(piece)
            time.sleep(SILENCE_S + 0.3)

    deployment.configure(profile__chat={"silence_s": SILENCE_S})
    start_scripted_server(script).register_with(deployment)
    gateway = deployment.start_gateway()
    stream = Stream(gateway.caller_address, {"prompt": "steady", "max_tokens": 5})
    assert stream.finish() == ("one", True, None)


@pytest.mark.parametrize("fault", ["killed", "silent"])
def test_dead_engine_delays_callers_only_briefly(deployment, fault):
    """Waiting for silent engines must not delay the streams of dead engines."""
    deployment.configure(profile__chat={"silence_s": LONG_SILENCE_S})
    for _ in range(2):
        deployment.add_engine("--stream-tokens-per-s", "40")
    gateway = deployment.start_gateway()
    stream, _ = start_stream(gateway)
    process = deployment.engines[wait_for_running_engine(deployment)][0]
    process.send_signal(signal.SIGKILL if fault == "killed" else signal.SIGSTOP)
    started_at = last_event_at = time.monotonic()
    gaps, done = [], False
    for payload in stream.payloads():
        gaps.append(time.monotonic() - last_event_at)
        last_event_at = time.monotonic()
        done = payload == b"[DONE]"
    print(f"{fault}: longest gap {max(gaps):.3f} s, whole {last_event_at - started_at:.3f} s")
    assert done
    # A silent engine is awaited for one silence limit, and a killed one for none.
    assert max(gaps) < LONG_SILENCE_S * (2 if fault == "silent" else 1)


def test_dead_only_engine_fails_its_stream_at_once(deployment):
    """A request waits for a silent engine, but not for one whose process has ended."""
    deployment.configure(profile__chat={"silence_s": SILENCE_S})
    engine = deployment.add_engine("--stream-tokens-per-s", "40")
    gateway = deployment.start_gateway()
    stream, _ = start_stream(gateway)
    process = deployment.engines[engine][0]
    process.send_signal(signal.SIGSTOP)
    time.sleep(PAUSE_S)
    started = time.monotonic()
    process.send_signal(signal.SIGKILL)
    assert stream.finish()[1:] == (False, "back_end_lost")
    # A request that may have run waits 2 s for another back end.
    assert time.monotonic() - started < 3.5


def test_silent_engine_with_waiting_requests_gets_no_new_ones(deployment):
    """Further requests were sent to the silent engine, and waited there as well."""
    deployment.configure(profile__chat={"silence_s": LONG_SILENCE_S})
    engines = [deployment.add_engine("--stream-tokens-per-s", "40") for _ in range(2)]
    gateway = deployment.start_gateway()
    deployment.engines[engines[0]][0].send_signal(signal.SIGSTOP)
    body = {"model": MODEL, "prompt": "n choices", "max_tokens": 2, "n": 2}
    with ThreadPoolExecutor(4) as executor:
        # Answers with several choices cannot be moved; one of the two engines is silent.
        pending = [
            executor.submit(
                call, gateway.caller_address, "POST", "/v1/completions", body, bearer_headers()
            )
            for _ in range(4)
        ]
        wait_until(lambda: sum(not each.done() for each in pending) in (1, 2, 3), "one to be stuck")
        time.sleep(LONG_SILENCE_S + 0.5)
        further_ids = set()
        for number in range(6):
            one = {"model": MODEL, "prompt": f"other {number}", "max_tokens": 2}
            reply = call(gateway.caller_address, "POST", "/v1/completions", one, bearer_headers())
            assert reply.status == 200
            further_ids.add(reply.headers["x-request-id"])
        deployment.engines[engines[0]][0].send_signal(signal.SIGCONT)
        assert [each.result().status for each in pending] == [200] * 4
    state = deployment.engine_state(engines[0])
    assert state["requests"] and not further_ids & set(state["requests"])
